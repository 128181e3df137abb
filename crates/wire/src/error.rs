//! Errors of the codec.

use std::{error, fmt};

/// Why bytes could not be read as a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Malformed(why) => write!(f, "malformed message: {why}"),
        }
    }
}

impl error::Error for Error {}
