//! Errors of the tool. Each is printed as one line.

use std::{fmt, io, path::PathBuf};

use crate::{exit_codes, fetch, options, output};

/// Reason for an exit code other than 0.
#[derive(Debug)]
pub enum Error {
    /// The command line is invalid.
    Usage { message: String, subcommand: Option<options::Subcommand> },
    /// A file can't be read.
    File { path: PathBuf, cause: io::Error },
    /// Standard output can't be written.
    Output(io::Error),
    /// The I/O runtime can't be started.
    Runtime(io::Error),
    /// The HTTP client can't be set up.
    Client(String),
    /// Some of the `queried` processes did not respond.
    Unreachable { queried: usize, failures: Vec<fetch::Failure> },
    /// All processes responded and none of them runs on the host.
    NoSuchHost { host: String },
    /// Settings contain errors.
    Invalid { errors: usize, files: usize },
    /// No process has a trace of the request.
    NoTrace { request: String },
    /// The saved logs have no line of the request.
    NotLogged { request: String, lines: usize, skipped: usize },
    /// A watched condition was not met in time.
    NotMet { seconds: u64, state: String },
}

impl Error {
    /// Returns the exit code for the error.
    pub fn code(&self) -> exit_codes::Code {
        match self {
            Error::Usage { .. } => exit_codes::Code::Usage,
            Error::File { .. } | Error::Output(_) | Error::Runtime(_) | Error::Client(_) => {
                exit_codes::Code::File
            }
            Error::Unreachable { .. } | Error::NoSuchHost { .. } => exit_codes::Code::Unreachable,
            Error::Invalid { .. }
            | Error::NoTrace { .. }
            | Error::NotLogged { .. }
            | Error::NotMet { .. } => exit_codes::Code::Failed,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Usage { message, subcommand: None } => {
                write!(f, "{message}; see 'quincespoke --help'")
            }
            Error::Usage { message, subcommand: Some(subcommand) } => {
                write!(f, "{message}; see 'quincespoke {} --help'", subcommand.name())
            }
            Error::File { path, cause } => write!(f, "can't read {}: {cause}", path.display()),
            Error::Output(cause) => write!(f, "can't write to standard output: {cause}"),
            Error::Runtime(cause) => write!(f, "can't start the I/O runtime: {cause}"),
            Error::Client(cause) => write!(f, "can't set up the HTTP client: {cause}"),
            Error::Unreachable { queried, failures } => write_unreachable(f, *queried, failures),
            Error::NoSuchHost { host } => write!(
                f,
                "no process at the given addresses runs on host {host:?}; \
                 add its operator address with --at"
            ),
            Error::Invalid { errors, files } => {
                let errors = output::pluralize(*errors, "error");
                let files = output::pluralize(*files, "file");
                write!(f, "{errors} in {files}; correct them before publishing")
            }
            Error::NoTrace { request } => write!(
                f,
                "no process holds a trace of request {request}; \
                 traces are kept for a short time, by the entry and the agent that handled it"
            ),
            Error::NotLogged { request, lines, skipped } => write!(
                f,
                "none of {lines} log lines names request {request} ({skipped} skipped, no log lines); \
                 processes that drop log lines drop those of successful responses first"
            ),
            Error::NotMet { seconds, state } => {
                write!(f, "not met within {seconds} s: {state}")
            }
        }
    }
}

fn write_unreachable(
    f: &mut fmt::Formatter<'_>,
    queried: usize,
    failures: &[fetch::Failure],
) -> fmt::Result {
    write!(f, "{} of {queried} processes did not answer", failures.len())?;
    if let Some(first) = failures.first() {
        write!(f, ", first {}: {}", first.address, first.cause)?;
    }
    write!(f, "; check the operator addresses or raise --timeout-ms")
}
