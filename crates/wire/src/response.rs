//! What the status of a backend server's response means to the caller of a request that has run.
//!
//! Gateways and agents decide by this alone which statuses of their servers callers receive.

/// Meaning of a status in the response to a request that a backend server may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The request was carried out.
    Success,
    /// A redirect or a failure. It says nothing about whether the request has run.
    Failure,
    /// Callers take it as a promise that the request has not run and never will, and send it again.
    NotRun,
    /// No final response has this status: it is that of an interim response, or outside the range of
    /// the protocol.
    Invalid,
}

impl Meaning {
    /// Returns the meaning of a status.
    pub fn of(status: u16) -> Meaning {
        match status {
            200..=299 => Meaning::Success,
            408 | 421 | 429 | 503 => Meaning::NotRun,
            300..=599 => Meaning::Failure,
            _ => Meaning::Invalid,
        }
    }

    /// Returns whether a caller may receive the response with its status. Otherwise the caller gets
    /// one that leaves open whether the request has run.
    pub fn is_forwarded(self) -> bool {
        matches!(self, Meaning::Success | Meaning::Failure)
    }
}
