//! Timing of reads of the configuration service and of the host list.

use std::time::Duration;

use wire::time::Instant;

use crate::{Action, limit};

/// Reads in flight, and the times of the next ones.
///
/// A blocking read and a backup read may be in flight at once. A reply doesn't identify its
/// read, so reads are counted and the next blocking read waits for all replies.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    in_flight: u32,
    /// When reads in flight count as failed.
    reads_expire_at: Instant,
    /// Earliest time of the next blocking read.
    next_read: Instant,
    last_index: Option<u64>,
    failures: u32,
    next_hosts_read: Instant,
    next_backup_read: Option<Instant>,
}

impl Schedule {
    /// Reads the service and the host list without waiting for a change.
    pub(crate) fn read_now(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // A backup read must not postpone the time at which a blocking one counts as failed.
        if self.in_flight == 0 {
            self.reads_expire_at = now + limit::READ_TIMEOUT;
        }
        self.in_flight += 1;
        actions.push(Action::Read { index: None, wait: Duration::ZERO });
        self.next_hosts_read = now + limit::HOSTS_PERIOD;
        actions.push(Action::ReadHosts);
    }

    /// Records the reply to a read.
    pub(crate) fn record_reply(&mut self, now: Instant, index: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.failures = 0;
        let has_new_index = self.last_index.is_none_or(|last| last < index);
        let interval =
            if has_new_index { limit::MIN_READ_INTERVAL } else { limit::MIN_IDLE_READ_INTERVAL };
        self.next_read = now + interval;
        self.last_index = Some(index);
    }

    /// Records a failed read.
    pub(crate) fn record_failure(&mut self, now: Instant, rng: &mut fastrand::Rng) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let (first, longest) = limit::BACKOFF;
        let delay = longest.min(first * (1 << self.failures.min(8)));
        self.failures = self.failures.saturating_add(1);
        self.next_read = now + delay.mul_f64(0.5 + rng.f64() / 2.0);
    }

    /// Delays the next read by up to `max_delay`.
    pub(crate) fn delay_next_read(
        &mut self,
        now: Instant,
        max_delay: Duration,
        rng: &mut fastrand::Rng,
    ) {
        self.next_read = self.next_read.max(now + max_delay.mul_f64(rng.f64()));
        self.next_hosts_read = self.next_hosts_read.max(self.next_read);
    }

    /// Issues the reads that are due. `is_reader` is whether the process reads the service
    /// itself. `host_count`, the number of hosts in the list in force, sets the rate of backup
    /// reads; there are none if it is 0.
    pub(crate) fn issue_due_reads(
        &mut self,
        now: Instant,
        is_reader: bool,
        host_count: usize,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        if self.in_flight > 0 && now >= self.reads_expire_at {
            self.in_flight = 0;
            self.record_failure(now, rng);
        }
        if is_reader && self.in_flight == 0 && now >= self.next_read {
            self.in_flight = 1;
            self.reads_expire_at = now + limit::READ_TIMEOUT;
            actions.push(Action::Read { index: self.last_index, wait: limit::READ_WAIT });
        }
        if is_reader && now >= self.next_hosts_read {
            self.next_hosts_read = now + limit::HOSTS_PERIOD;
            actions.push(Action::ReadHosts);
        }
        self.issue_backup_read(now, host_count, rng, actions);
    }

    fn issue_backup_read(
        &mut self,
        now: Instant,
        host_count: usize,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        if host_count == 0 {
            self.next_backup_read = None;
            return;
        }
        let mean = limit::MIN_BACKUP_PERIOD.max(limit::BACKUP_PERIOD * host_count as u32);
        match self.next_backup_read {
            // The random delay spreads the first reads of processes that started together.
            None => self.next_backup_read = Some(now + mean.mul_f64(rng.f64())),
            Some(due) if now >= due => {
                self.next_backup_read = Some(now + mean.mul_f64(0.5 + rng.f64()));
                self.read_now(now, actions);
            }
            Some(_) => {}
        }
    }

    /// Returns when the next read is due or a read in flight counts as failed.
    pub(crate) fn next_timer(&self, is_reader: bool) -> Option<Instant> {
        let read = if self.in_flight > 0 { self.reads_expire_at } else { self.next_read };
        let reads = is_reader.then(|| read.min(self.next_hosts_read));
        [reads, self.next_backup_read].into_iter().flatten().min()
    }
}
