//! The start of a process, until it holds what its seeds hold.

use std::net::SocketAddr;

use wire::time::Instant;

use crate::limit;

/// Progress of a start.
#[derive(Debug, Default)]
pub(crate) struct Join {
    started: Option<Instant>,
    pending: Vec<(SocketAddr, Instant)>,
    answered: usize,
    hosts_tried: bool,
    done: bool,
}

impl Join {
    /// Starts to ask `seeds`.
    pub(crate) fn start(&mut self, now: Instant, seeds: &[SocketAddr]) {
        self.started = Some(now);
        self.ask(now, seeds);
    }

    /// Adds processes whose answer the start waits for.
    pub(crate) fn ask(&mut self, now: Instant, peers: &[SocketAddr]) {
        for peer in peers {
            if !self.pending.iter().any(|(pending, _)| pending == peer) {
                self.pending.push((*peer, now));
            }
        }
    }

    pub(crate) fn is_started(&self) -> bool {
        self.started.is_some()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether no process has answered yet.
    pub(crate) fn is_alone(&self) -> bool {
        !self.done && self.answered == 0
    }

    /// Records that everything `peer` holds is in force here or was refused.
    pub(crate) fn answered(&mut self, peer: SocketAddr) {
        let before = self.pending.len();
        self.pending.retain(|(pending, _)| *pending != peer);
        self.answered += before - self.pending.len();
    }

    /// Records that the host list answered or failed.
    pub(crate) fn hosts_tried(&mut self) {
        self.hosts_tried = true;
    }

    /// Returns the processes to ask now: at first and again until they answer, since a lost
    /// message doesn't prove that a process is unreachable.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        if !self.done {
            for (peer, at) in self.pending.iter_mut().filter(|(_, at)| *at <= now) {
                *at = now + limit::SEED_RETRY;
                due.push(*peer);
            }
        }
        due
    }

    /// Returns true once: when the process may serve.
    pub(crate) fn finish(&mut self, now: Instant, has_settings: bool) -> bool {
        let Some(started) = self.started else { return false };
        let all_answered = self.pending.is_empty() && (self.answered > 0 || self.hosts_tried);
        let late = now >= started + limit::JOIN_TIME;
        if self.done || !has_settings || !(all_answered || late) {
            return false;
        }
        self.done = true;
        self.pending = Vec::new();
        true
    }

    /// Returns when a process is asked next or the join time ends.
    pub(crate) fn next_timer(&self, now: Instant) -> Option<Instant> {
        if self.done {
            return None;
        }
        let end = self.started.map(|started| started + limit::JOIN_TIME);
        let asks = self.pending.iter().map(|(_, at)| *at);
        asks.chain(end.filter(|end| *end > now)).min()
    }
}
