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

/// What the store says of a backend server whose connection is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Its record is there, as it is for some seconds after a crash.
    Current,
    /// The record of its next process has been read, perhaps before the loss of the connection was
    /// noticed.
    Replaced,
    /// Its record was removed while the connection was there. A server that crashed has lost its
    /// connections by then, so this one leaves.
    Gone,
}

impl Answer {
    /// Returns the state of an answer that began at a time, if it did.
    pub fn since(now: Instant, began_at: Option<Instant>) -> Answer {
        match began_at.is_some_and(|at| now.since(at) >= CONTINUATION_TIME) {
            true => Answer::Continued,
            false => Answer::Begun,
        }
    }

    /// Returns whether the end of a backend server may count against the request.
    pub fn accuses_request(self, listing: Listing) -> bool {
        match listing {
            Listing::Current => true,
            Listing::Replaced => self == Answer::Begun,
            Listing::Gone => false,
        }
    }

    /// Returns whether it may count against the parts of the request's prompt.
    pub fn accuses_parts(self, listing: Listing) -> bool {
        self == Answer::Begun && self.accuses_request(listing)
    }
}
