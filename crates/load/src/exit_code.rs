//! Exit codes of the load tool.

use std::process;

use crate::error::Error;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    Ok = 0,
    /// The command line is wrong.
    Usage = 2,
    /// A file could not be written.
    File = 4,
}

impl From<&Error> for Code {
    fn from(error: &Error) -> Code {
        match error {
            Error::Usage(_) => Code::Usage,
            Error::Plot { .. } => Code::File,
        }
    }
}

impl From<Code> for process::ExitCode {
    fn from(code: Code) -> process::ExitCode {
        process::ExitCode::from(code as u8)
    }
}
