//! The state that gateways tell each other, and probes of replicas.

use wire::time::Instant;

use super::{Machine, PROBE_PERIOD};
use crate::{Action, quota, roster, share};

/// Messages from one that names other gateways to the next.
const PEERS_EVERY: u64 = 8;
/// Messages from one that tells the use of quotas to the next.
const USAGE_EVERY: u64 = 2;
/// Messages from one that tells the learned speeds to the next.
const SPEEDS_EVERY: u64 = 6;

impl Machine {
    pub(super) fn shared(&mut self, now: Instant, message: share::Message) {
        let Ok(replaced) = self.peers.hear(now, &message) else { return };
        if let Some(replaced) = replaced {
            self.quotas.forget(replaced);
        }
        self.roster.learn_speeds(&message);
        self.quotas.reported(now, &message, self.options.limits.quota_window);
        for (fingerprint, count) in &message.crashes {
            self.suspects.reported(now, *fingerprint, *count);
        }
    }

    pub(super) fn probed(&mut self, now: Instant, key: roster::Key, reachable: bool) {
        match self.roster.get_mut(key) {
            Some(replica) if reachable => {
                replica.load.unreachable = false;
                self.probes.remove(&key);
            }
            Some(_) => {
                self.probes.insert(key, now + PROBE_PERIOD);
            }
            None => {
                self.probes.remove(&key);
            }
        }
    }

    pub(super) fn share(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for process in self.peers.expire(now) {
            self.quotas.forget(process);
        }
        self.count_others(now);
        let (targets, period) = self.peers.targets();
        self.next_share = now + period;
        self.sequence += 1;
        let message = self.message(now);
        for to in targets {
            actions.push(Action::Share { to, message: message.clone() });
        }
    }

    pub(super) fn count_others(&mut self, now: Instant) {
        let own = self.waiting();
        let fresh: Vec<_> = self.peers.fresh(now).collect();
        self.roster.count_others(&fresh, &own, &mut self.random);
    }

    /// Returns how many calls wait for each service.
    pub(super) fn waiting(&self) -> Vec<(u64, u32)> {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        busy.map(|(service, queue)| (quota::hash(service), queue.len() as u32)).collect()
    }

    pub(super) fn message(&mut self, now: Instant) -> share::Message {
        let complete = self.quotas.is_complete(now, self.options.limits.quota_window);
        let busy = self.roster.iter().filter(|(_, r)| r.load.running > 0);
        let loads = busy.map(|(_, replica)| share::Load {
            replica: replica.hash,
            running: replica.load.running.min(u32::from(u16::MAX)) as u16,
            pending: replica.load.pending,
        });
        let learned = self.roster.iter().filter(|(_, r)| r.load.speed().samples > 0);
        let speeds = learned.map(|(_, replica)| (replica.hash, replica.load.speed()));
        let every = |period: u64| self.sequence.is_multiple_of(period);
        share::Message {
            process: self.options.process,
            from: self.options.own,
            sequence: self.sequence,
            stopping: self.stopping.is_some(),
            loads: loads.collect(),
            speeds: if every(SPEEDS_EVERY) { speeds.collect() } else { Vec::new() },
            waiting: self.waiting(),
            age: now.since(self.started),
            complete,
            usage: if every(USAGE_EVERY) { self.quotas.usage() } else { Vec::new() },
            crashes: self.suspects.shared(now),
            peers: if every(PEERS_EVERY) { self.peers.named(now) } else { Vec::new() },
        }
    }
}
