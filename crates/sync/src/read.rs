//! Timing of reads of the configuration service and of the host list.

use std::time::Duration;

use wire::time::Instant;

use crate::{Action, limit};

/// Reads in flight and due.
///
/// A blocking read and a backup read may be in flight together. Replies don't tell which
/// read they answer, so reads are counted and the next one waits for all replies.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    in_flight: u32,
    /// When reads in flight count as lost.
    lost: Instant,
    next: Instant,
    index: Option<u64>,
    failures: u32,
    next_hosts: Instant,
    next_backup: Option<Instant>,
}

impl Reader {
    /// Reads the service and the host list without waiting for a change.
    pub(crate) fn read_now(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // A backup read must not put off the time at which a blocking one counts as lost.
        if self.in_flight == 0 {
            self.lost = now + limit::READ_LIMIT;
        }
        self.in_flight += 1;
        actions.push(Action::Read { index: None, wait: Duration::ZERO });
        self.next_hosts = now + limit::HOSTS_PERIOD;
        actions.push(Action::ReadHosts);
    }

    /// Records the reply to a read.
    pub(crate) fn answered(&mut self, now: Instant, index: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.failures = 0;
        let progress = self.index.is_none_or(|last| last < index);
        let gap = if progress { limit::READ_GAP } else { limit::IDLE_READ_GAP };
        self.next = now + gap;
        self.index = Some(index);
    }

    /// Records a failed read.
    pub(crate) fn failed(&mut self, now: Instant, rng: &mut fastrand::Rng) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let (first, longest) = limit::BACKOFF;
        let delay = longest.min(first * (1 << self.failures.min(8)));
        self.failures = self.failures.saturating_add(1);
        self.next = now + delay.mul_f64(0.5 + rng.f64() / 2.0);
    }

    /// Delays the next read by up to `spread`.
    pub(crate) fn delay(&mut self, now: Instant, spread: Duration, rng: &mut fastrand::Rng) {
        self.next = self.next.max(now + spread.mul_f64(rng.f64()));
        self.next_hosts = self.next_hosts.max(self.next);
    }

    /// Issues the reads that are due. `is_reader` tells whether the process watches the
    /// service; `fleet` is the number of hosts, 0 if it takes no part in backup reads.
    pub(crate) fn run(
        &mut self,
        now: Instant,
        is_reader: bool,
        fleet: usize,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        if self.in_flight > 0 && now >= self.lost {
            self.in_flight = 0;
            self.failed(now, rng);
        }
        if is_reader && self.in_flight == 0 && now >= self.next {
            self.in_flight = 1;
            self.lost = now + limit::READ_LIMIT;
            actions.push(Action::Read { index: self.index, wait: limit::READ_WAIT });
        }
        if is_reader && now >= self.next_hosts {
            self.next_hosts = now + limit::HOSTS_PERIOD;
            actions.push(Action::ReadHosts);
        }
        self.run_backup(now, fleet, rng, actions);
    }

    fn run_backup(
        &mut self,
        now: Instant,
        fleet: usize,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        if fleet == 0 {
            self.next_backup = None;
            return;
        }
        let mean = limit::MIN_BACKUP_PERIOD.max(limit::BACKUP_PERIOD * fleet as u32);
        match self.next_backup {
            // The first one falls anywhere in the period, also for processes started together.
            None => self.next_backup = Some(now + mean.mul_f64(rng.f64())),
            Some(due) if now >= due => {
                self.next_backup = Some(now + mean.mul_f64(0.5 + rng.f64()));
                self.read_now(now, actions);
            }
            Some(_) => {}
        }
    }

    /// Returns when the next read is due or counts as lost.
    pub(crate) fn next_timer(&self, is_reader: bool) -> Option<Instant> {
        let read = if self.in_flight > 0 { self.lost } else { self.next };
        let reads = is_reader.then(|| read.min(self.next_hosts));
        [reads, self.next_backup].into_iter().flatten().min()
    }
}
