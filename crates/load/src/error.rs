//! Errors of the load tool.

use std::{fmt, path::PathBuf};

/// An error of the load tool.
#[derive(Debug)]
pub enum Error {
    /// The command line is wrong.
    Usage(lexopt::Error),
    /// A plot could not be written.
    Plot { path: PathBuf, reason: String },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Usage(error) => write!(f, "{error}"),
            Error::Plot { path, reason } => write!(f, "{}: {reason}", path.display()),
        }
    }
}

impl std::error::Error for Error {}
