//! Large replies to peers, as far as the link of the host carries them.

use std::time::Duration;

use wire::time::Instant;

/// Time for which the link may be taken by replies that were begun before another one is. Few replies
/// at once arrive sooner than many, and gateways that have the changes reply to others in turn.
const MAX_BACKLOG: Duration = Duration::from_millis(200);
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Use of a link by replies to peers.
#[derive(Clone, Copy, Debug)]
pub struct Uplink {
    bytes_per_s: f64,
    /// Time at which the replies that were begun have left.
    free_at: Instant,
}

impl Uplink {
    /// Returns a link that is free.
    pub fn new(link_mbps: f64) -> Uplink {
        Uplink { bytes_per_s: link_mbps * BYTES_PER_MEGABIT, free_at: Instant::default() }
    }

    /// Returns the time at which a reply of this size leaves if it is begun now; `None` if those
    /// before it take the link for too long.
    pub fn begin(&mut self, now: Instant, bytes: usize) -> Option<Instant> {
        if self.free_at.since(now) > MAX_BACKLOG {
            return None;
        }
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.free_at = self.free_at.max(now) + time;
        Some(self.free_at)
    }
}
