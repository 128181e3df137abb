//! Exit codes, which scripts can rely on.

use std::process;

/// Exit code of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    Ok = 0,
    /// A check failed, a watched condition was not met in time, or nothing was found.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// At least one process did not respond, or sent an unexpected response.
    Unreachable = 3,
    /// A file or standard output could not be used.
    File = 4,
}

impl From<Code> for process::ExitCode {
    fn from(code: Code) -> process::ExitCode {
        process::ExitCode::from(code as u8)
    }
}
