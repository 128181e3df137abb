//! What backend servers state of themselves in their responses.

use std::time::Duration;

use wire::time::Instant;

/// Longest pause that a backend server gets.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Pause of a backend server whose statement can't be read.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);

/// What one response states.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Whether the backend server leaves, and takes no more requests.
    pub leaving: bool,
    /// Time for which it takes no more requests of this gateway.
    pub pause: Option<Pause>,
    /// Time for which it still warms up.
    pub warm_up_left: Option<Duration>,
}

/// A pause that a backend server asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pause {
    For(Duration),
    Unreadable,
}

impl Pause {
    /// Returns the time for which the backend server gets no requests.
    pub fn span(self) -> Duration {
        match self {
            Pause::For(span) => span.min(MAX_PAUSE),
            Pause::Unreadable => UNREADABLE_PAUSE,
        }
    }
}

/// Whether a run of a backend server takes requests, by its own statements.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stated {
    pub leaving: bool,
    /// End of its pause, until it has answered a request after that.
    pub paused_until: Option<Instant>,
}

impl Stated {
    /// Returns whether the backend server takes requests.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.leaving && self.paused_until.is_none_or(|until| now >= until)
    }
}
