//! What this gateway's own reads show of whether the store can be reached.

use std::time::Duration;

use wire::time::Instant;

/// Time for which a failed read shows that the store is away, and bytes from it that it is not. Reads
/// of a store that is away are repeated sooner. After a pause of the process, what it saw before has
/// no meaning.
pub const MAX_AGE: Duration = Duration::from_millis(2500);

/// Latest results of reads of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    failed_at: Option<Instant>,
    received_at: Option<Instant>,
}

impl Contact {
    /// Records that a read failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Records that bytes of a response were received.
    pub fn record_bytes(&mut self, now: Instant) {
        self.received_at = Some(now);
    }

    /// Returns whether reads fail and the store sends nothing.
    pub fn is_lost(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.since(at) < MAX_AGE;
        self.failed_at.is_some_and(is_recent) && !self.received_at.is_some_and(is_recent)
    }
}
