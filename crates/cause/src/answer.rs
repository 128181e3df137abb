//! How far the answer to one copy of a request was when its attempt ended.

use std::time::Duration;

use wire::time::Instant;

/// Time after the begin of an answer from which its further parts show that the request does not
/// crash its backend server as soon as it is answered.
pub const CONTINUATION_TIME: Duration = Duration::from_millis(250);

/// How far the answer to one copy of a request was when its attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It had not begun, or less than [`CONTINUATION_TIME`] before.
    Begun,
    /// It had gone on for [`CONTINUATION_TIME`] or longer.
    Continued,
}

impl Answer {
    /// Returns the state of an answer that began at a time, if it did.
    pub fn since(now: Instant, began_at: Option<Instant>) -> Answer {
        match began_at.is_some_and(|at| now.since(at) >= CONTINUATION_TIME) {
            true => Answer::Continued,
            false => Answer::Begun,
        }
    }

    /// Returns whether the end of the backend server counts against the parts of the request's prompt.
    pub fn accuses_parts(self) -> bool {
        self == Answer::Begun
    }

    /// Returns whether the end of the backend server may count against the request. `is_listed` tells
    /// whether the store still lists the server: one that crashed is listed for some seconds, and one
    /// that goes on to answer when it isn't listed any more leaves.
    pub fn accuses_request(self, is_listed: bool) -> bool {
        self == Answer::Begun || is_listed
    }
}
