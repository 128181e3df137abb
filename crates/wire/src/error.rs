//! Errors of the codec.

use std::{error, fmt};

/// The reason why bytes could not be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Malformed(cause) => write!(f, "malformed message: {cause}"),
        }
    }
}

impl error::Error for Error {}
