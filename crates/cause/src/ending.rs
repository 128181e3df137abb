//! How the attempt of a copy ended, and what that says of the end of its backend server.

use std::time::Duration;

use wire::time::Instant;

use crate::{Answer, Listing};

/// Time after which a server that is still listed has not ended. The record of one that ended is
/// removed or replaced within some seconds.
pub const VERIFICATION_TIME: Duration = Duration::from_secs(10);
/// Time after the end of a server within which no other process answers at its address.
pub const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// How the attempt of a copy ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The process that waited for the answer gave it up. The server may have gone on with it.
    GivenUp,
    /// The answer ended with its connection. It is whole unless the server ended at that time.
    Closed,
}

impl Ending {
    /// Returns whether the end of the backend server may count against the request, if it shows later.
    pub fn accuses(self, answer: Answer, listing: Listing) -> bool {
        match self {
            Ending::GivenUp => answer == Answer::Begun,
            Ending::Closed => answer.accuses_request(listing),
        }
    }

    /// Returns when the server ended, if the request was the cause: an attempt that ended at
    /// `ended_at`, and an end that was noticed at `noticed_at`.
    pub fn time_of_end(self, ended_at: Instant, noticed_at: Instant) -> Instant {
        match self {
            Ending::GivenUp => noticed_at,
            Ending::Closed => ended_at,
        }
    }

    /// Returns whether the server was still there when the attempt had ended, so that its answer is
    /// whole. `listed_since` is the time since which it was listed all the while, until now.
    pub fn is_whole(self, now: Instant, ended_at: Instant, listed_since: Instant) -> bool {
        self == Ending::Closed && now.since(ended_at.max(listed_since)) >= VERIFICATION_TIME
    }

    /// Returns whether an answer to a request that was dispatched at `dispatched_at` shows that the
    /// answer of this attempt is whole. After a longer time another process may have answered.
    pub fn is_whole_by_answer(self, ended_at: Instant, dispatched_at: Instant) -> bool {
        self == Ending::Closed && dispatched_at.since(ended_at) < MIN_RESTART_TIME
    }
}
