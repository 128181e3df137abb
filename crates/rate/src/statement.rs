//! What a backend server last stated about the requests that it takes.

use wire::time::Instant;

/// Lowest rate, in requests a second. A backend server that takes none is asked at this rate, since
/// only a response shows the end of its limit.
pub const MIN_RATE: f64 = 0.2;
/// Highest rate, in requests a second.
pub const MAX_RATE: f64 = 1e6;

/// A statement and the time at which its response was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests a second from the whole system, or `None` without a limit.
    pub per_s: Option<f64>,
    pub received_at: Instant,
}

/// How a limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Began,
    Fell,
    Rose,
    Ended,
}

/// Parses a limit: a decimal number of requests a second.
pub fn parse(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

impl Statement {
    /// Returns a statement without a limit.
    pub fn unlimited(received_at: Instant) -> Statement {
        Statement { per_s: None, received_at }
    }

    /// Returns a statement whose number is within bounds.
    pub fn new(per_s: Option<f64>, received_at: Instant) -> Statement {
        let bound = |rate: f64| if rate.is_nan() { 0.0 } else { rate.clamp(0.0, MAX_RATE) };
        Statement { per_s: per_s.map(bound), received_at }
    }

    /// Returns the rate at which requests may be sent, per second, if there is a limit.
    pub fn rate(&self) -> Option<f64> {
        self.per_s.map(|limit| limit.max(MIN_RATE))
    }

    /// Returns whether a response states something newer, given the time at which its request was
    /// sent. Responses on different connections may overtake each other, so a limit rises or ends
    /// only by the response to a request that was sent after the limit was last named.
    pub fn is_updated_by(&self, sent_at: Instant, per_s: Option<f64>) -> bool {
        let is_lower = match (self.per_s, per_s) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(current), Some(stated)) => stated <= current,
        };
        is_lower || sent_at >= self.received_at
    }

    /// Returns how the limit changes with a later statement.
    pub fn change_to(&self, later: &Statement) -> Option<Change> {
        match (self.per_s, later.per_s) {
            (None, Some(_)) => Some(Change::Began),
            (Some(_), None) => Some(Change::Ended),
            (Some(old), Some(new)) if new < old => Some(Change::Fell),
            (Some(old), Some(new)) if new > old => Some(Change::Rose),
            _ => None,
        }
    }
}

impl Change {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Change::Began => "began",
            Change::Fell => "fell",
            Change::Rose => "rose",
            Change::Ended => "ended",
        }
    }
}
