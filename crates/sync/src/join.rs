//! The start of a process, until it has the settings that its seeds have.

use std::net::SocketAddr;

use wire::time::Instant;

use crate::limit;

/// Progress of a start.
#[derive(Debug, Default)]
pub(crate) struct Join {
    started_at: Option<Instant>,
    /// Processes without a reply, with the time of the next exchange with each.
    pending: Vec<(SocketAddr, Instant)>,
    replies: usize,
    host_list_tried: bool,
    is_done: bool,
}

impl Join {
    /// Starts to request the settings of `seeds`.
    pub(crate) fn start(&mut self, now: Instant, seeds: &[SocketAddr]) {
        self.started_at = Some(now);
        self.add_peers(now, seeds);
    }

    /// Adds processes whose reply the start waits for.
    pub(crate) fn add_peers(&mut self, now: Instant, peers: &[SocketAddr]) {
        for peer in peers {
            if !self.pending.iter().any(|(pending, _)| pending == peer) {
                self.pending.push((*peer, now));
            }
        }
    }

    pub(crate) fn is_started(&self) -> bool {
        self.started_at.is_some()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns whether the start is not done and no process has replied.
    pub(crate) fn has_no_reply(&self) -> bool {
        !self.is_done && self.replies == 0
    }

    /// Records a reply of `peer` after which everything it has is in force here or was refused.
    pub(crate) fn record_reply(&mut self, peer: SocketAddr) {
        let before = self.pending.len();
        self.pending.retain(|(pending, _)| *pending != peer);
        self.replies += before - self.pending.len();
    }

    /// Records that a read of the host list succeeded or failed.
    pub(crate) fn record_host_list_read(&mut self) {
        self.host_list_tried = true;
    }

    /// Returns the processes to send an exchange to now, and schedules the next exchange with each.
    /// They are repeated until the process replies, since one lost message doesn't prove that it is
    /// unreachable.
    pub(crate) fn take_due_peers(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        if !self.is_done {
            for (peer, at) in self.pending.iter_mut().filter(|(_, at)| *at <= now) {
                *at = now + limit::SEED_RETRY_INTERVAL;
                due.push(*peer);
            }
        }
        due
    }

    /// Returns true once, when the process may serve: settings are in force, and all added peers
    /// have replied or the join timeout has passed. Without peers, the end of a read of the host
    /// list takes the place of the replies.
    pub(crate) fn finish(&mut self, now: Instant, has_settings: bool) -> bool {
        let Some(started_at) = self.started_at else { return false };
        let all_replied = self.pending.is_empty() && (self.replies > 0 || self.host_list_tried);
        let is_late = now >= started_at + limit::JOIN_TIMEOUT;
        if self.is_done || !has_settings || !(all_replied || is_late) {
            return false;
        }
        self.is_done = true;
        self.pending = Vec::new();
        true
    }

    /// Returns when the next exchange is due or the join timeout ends.
    pub(crate) fn next_timer(&self, now: Instant) -> Option<Instant> {
        if self.is_done {
            return None;
        }
        let end = self.started_at.map(|started_at| started_at + limit::JOIN_TIMEOUT);
        let retries = self.pending.iter().map(|(_, at)| *at);
        retries.chain(end.filter(|end| *end > now)).min()
    }
}
