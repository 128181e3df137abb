//! Exit codes of the daemon.

use std::process;

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    Success,
    /// A setting is wrong, or a check found errors.
    BadSettings,
    /// The command line is wrong.
    Usage,
    /// An address could not be bound, or the runtime could not start.
    Startup,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> process::ExitCode {
        match code {
            ExitCode::Success => 0,
            ExitCode::BadSettings => 1,
            ExitCode::Usage => 2,
            ExitCode::Startup => 3,
        }
        .into()
    }
}
