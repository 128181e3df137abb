//! Status for operators.

use wire::{
    status::{Quarantine, Status},
    time::Instant,
};

use crate::machine::Machine;

impl Machine {
    /// Adds queues, suspects and counters to the status for operators.
    pub fn report(&self, now: Instant, status: &mut Status) {
        status.ready = self.drain.ready && self.pool.is_some();
        status.stopping = self.drain.stopping;
        status.leaving = self.drain.is_leaving();
        status.queued = self.queue.by_tier().map(|(tier, len)| (tier.0, len as u64)).collect();
        status.running = (self.streams.open().len() + self.grants.len()) as u64;
        let suspects = self.suspects.list(now);
        status.quarantined = suspects
            .map(|(fingerprint, crashes, left)| Quarantine {
                fingerprint: format!("{fingerprint:016x}"),
                crashes,
                seconds_left: left.as_secs(),
            })
            .collect();
        for (counter, value) in &self.counters {
            status.counters.insert((*counter).to_owned(), *value);
        }
        for (reason, value) in &self.refusals {
            status.counters.insert(format!("refused_{reason}"), *value);
        }
        let gauges = [
            ("count_limit", u64::from(self.limit.count_limit())),
            ("prefill_tokens_per_s", self.limit.prefill_speed() as u64),
            ("prefilling_tokens", self.limit.prefill_tokens()),
            ("queued_tokens", self.queue.tokens()),
        ];
        for (gauge, value) in gauges {
            status.counters.insert(gauge.to_owned(), value);
        }
    }
}
