//! Errors of input and output, with the step and the peer at which they occurred.

use std::{error, fmt};

/// The operation that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Bind,
    Signal,
    Connect,
    Send,
    Receive,
    Decode,
}

/// The cause of an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The operation did not complete within the time limit.
    Timeout,
    /// The peer returned this HTTP status.
    Status(u16),
    /// The response is of an earlier state than one received before.
    Outdated,
    /// The message is over the size limit.
    TooLarge,
    Other(String),
}

/// An error of input or output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    pub step: Step,
    /// Address or URL of the peer.
    pub peer: String,
    pub kind: Kind,
}

impl Error {
    /// Returns an error for any displayable cause.
    pub fn new(step: Step, peer: impl fmt::Display, cause: impl fmt::Display) -> Error {
        Error { step, peer: peer.to_string(), kind: Kind::Other(cause.to_string()) }
    }

    /// Returns an error of this kind.
    pub fn with_kind(step: Step, peer: impl fmt::Display, kind: Kind) -> Error {
        Error { step, peer: peer.to_string(), kind }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Bind => "bind",
            Step::Signal => "signal",
            Step::Connect => "connect",
            Step::Send => "send",
            Step::Receive => "receive",
            Step::Decode => "decode",
        })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: ", self.step, self.peer)?;
        match &self.kind {
            Kind::Timeout => f.write_str("timed out"),
            Kind::Status(status) => write!(f, "returned status {status}"),
            Kind::TooLarge => f.write_str("message over the size limit"),
            Kind::Outdated => f.write_str("the response is outdated"),
            Kind::Other(cause) => f.write_str(cause),
        }
    }
}

impl error::Error for Error {}
