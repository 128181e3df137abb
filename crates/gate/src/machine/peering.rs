//! Messages between gateways, and probes of backend servers.

use std::{net::SocketAddr, time::Duration};

use wire::time::Instant;

use super::{Machine, PROBE_PERIOD};
use crate::{
    Action, backends, message,
    peers::Sender,
    source::{self, Decision},
};

/// Rounds between messages with the addresses of other gateways.
const PEERS_INTERVAL: u64 = 8;
/// Rounds between messages with the speed estimates.
const SPEEDS_INTERVAL: u64 = 6;
/// Time between two regular messages from which a changed view is announced before the next one.
const MIN_ANNOUNCED_PERIOD: Duration = Duration::from_millis(250);
/// Time between messages with suspects to one peer that may have missed earlier ones.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

impl Machine {
    pub(super) fn receive_state(
        &mut self,
        now: Instant,
        message: message::Message,
        actions: &mut Vec<Action>,
    ) {
        let Ok(sender) = self.peers.receive(now, &message) else { return };
        if let Sender::Replaced(process) = sender {
            self.quotas.remove_process(process);
        }
        if let (Some(to), true) = (message.from, sender != Sender::Unchanged) {
            self.send_suspects(&[to], self.suspects.summary(now), actions);
            self.send_all_limits(now, to, actions);
            self.send_all_warm_ups(now, to, actions);
            self.send_kept_streams(now, to, actions);
        }
        if let (Some(to), Sender::New | Sender::Replaced(_)) = (message.from, sender) {
            // A process that has just started has neither the addresses of the other gateways nor
            // the usage of the accounts. Without the usage, it would grant each quota again.
            self.sequence += 1;
            let history = self.quotas.history(now, self.setup.bounds.quota_window);
            let message = message::Message { history, ..self.message(now, |_| true) };
            let datagram = message::Datagram::State(Box::new(message));
            actions.push(Action::Send { to, datagram });
        }
        if let (Some(to), true) = (message.from, sender != Sender::Unchanged) {
            self.send_loads_to(&[to], actions);
        }
        if let Some(from) = message.from {
            self.source.record_view(now, from, message.process, message.view);
        }
        self.query_peer(now, actions);
        self.backends.merge_peer_speeds(&message);
        self.quotas.record_report(now, &message, self.setup.bounds.quota_window);
    }

    pub(super) fn receive_suspects(&mut self, now: Instant, reports: &[message::Suspect]) {
        for report in reports {
            let fingerprint = report.fingerprint;
            if self.suspects.merge(now, report)
                && let Some(left) = self.suspects.quarantine_left(now, fingerprint)
            {
                tracing::info!(
                    event = "suspect_reported",
                    fingerprint = %format_args!("{fingerprint:016x}"),
                    ends = self.suspects.total(now, fingerprint),
                    left_ms = left.as_millis() as u64,
                );
            }
        }
    }

    /// Sends the changed suspects to all peers, and others to one of them.
    fn share_suspects(&mut self, now: Instant, targets: &[SocketAddr], actions: &mut Vec<Action>) {
        let changes = self.suspects.announce(now);
        self.send_suspects(targets, changes, actions);
        if now >= self.next_sample {
            self.next_sample = now + SAMPLE_PERIOD;
            let runs = self.backends.runs();
            self.record_listed(now, &runs);
            if !self.suspects.is_empty() {
                self.suspects.disprove(now, self.confirmed_since, |run| runs.contains(&run));
            }
            let sample = self.suspects.sample(now);
            if let Some(peer) = self.rng.choice(targets) {
                self.send_suspects(&[*peer], sample, actions);
            }
        }
    }

    fn send_suspects(
        &self,
        targets: &[SocketAddr],
        suspects: Vec<message::Suspect>,
        actions: &mut Vec<Action>,
    ) {
        if suspects.is_empty() {
            return;
        }
        for to in targets {
            let datagram = message::Datagram::Suspects(suspects.clone());
            actions.push(Action::Send { to: *to, datagram });
        }
    }

    /// Sends the view to a few peers if the revision has risen since `before`. In a small deployment
    /// the next regular message is about as soon.
    pub(super) fn announce(
        &mut self,
        now: Instant,
        before: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let (mut targets, period) = self.peers.targets();
        if period <= MIN_ANNOUNCED_PERIOD || self.source.revision() <= before {
            return;
        }
        let view = self.source.view(now, self.lease.age(now));
        let (Some(from), Some(view)) = (self.setup.address, view) else { return };
        let announcement = message::Announcement { process: self.setup.process, from, view };
        self.rng.shuffle(&mut targets);
        for to in targets.into_iter().take(source::MAX_ANNOUNCEMENTS) {
            let datagram = message::Datagram::Announcement(announcement);
            actions.push(Action::Send { to, datagram });
        }
    }

    /// Sends a query for the published state to a peer, if one is due.
    pub(super) fn query_peer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let (address, age) = (self.setup.address, self.lease.age(now));
        if let Some((to, query)) = self.source.next_query(now, address, age, &mut self.rng) {
            actions.push(Action::Send { to, datagram: message::Datagram::Query(query) });
        }
    }

    pub(super) fn send_reply(
        &self,
        now: Instant,
        query: &message::Query,
        actions: &mut Vec<Action>,
    ) {
        let max_bytes = source::MAX_DATAGRAM_BYTES;
        if let Some(reply) = self.source.reply(query, self.lease.age(now), max_bytes) {
            let datagram = message::Datagram::Reply(reply);
            actions.push(Action::Send { to: query.from, datagram });
        }
    }

    pub(super) fn process_reply(
        &mut self,
        now: Instant,
        reply: message::Reply,
        actions: &mut Vec<Action>,
    ) {
        match self.source.process_reply(now, self.setup.address, reply) {
            Decision::Install(update) if update.entries.is_empty() => {
                self.confirm(now, update.at);
                self.source.record_update(update.from, update.to, Vec::new());
            }
            Decision::Install(update) => actions.push(Action::Install(update)),
            Decision::Fetch(peer, query) => actions.push(Action::Fetch { peer, query }),
            Decision::Ignore => {}
        }
    }

    pub(super) fn handle_probe(&mut self, now: Instant, key: backends::Key, reachable: bool) {
        self.record_connection(now, key, reachable);
        match self.backends.get_mut(key) {
            Some(backend) if reachable => {
                backend.load.unreachable = false;
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

    pub(super) fn send_state(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for process in self.peers.expire(now) {
            self.quotas.remove_process(process);
        }
        self.record_peer_loads(now);
        let (targets, period) = self.peers.targets();
        self.next_send = now + period;
        self.sequence += 1;
        self.round += 1;
        let round = self.round;
        if round.is_multiple_of(message::USAGE_INTERVAL) {
            self.quotas.measure_demands(now);
        }
        let message = self.message(now, |rounds| round.is_multiple_of(rounds));
        for to in &targets {
            let datagram = message::Datagram::State(Box::new(message.clone()));
            actions.push(Action::Send { to: *to, datagram });
        }
        if round.is_multiple_of(PEERS_INTERVAL) {
            self.send_loads_to(&targets, actions);
        }
        self.share_suspects(now, &targets, actions);
        self.repeat_limits(now, targets.clone(), period, actions);
        self.repeat_warm_ups(now, targets, period, actions);
    }

    /// Returns the state of this gateway. A part that is only sent every few rounds is included if
    /// `every` returns true for that number of rounds.
    pub(super) fn message(&self, now: Instant, every: impl Fn(u64) -> bool) -> message::Message {
        let sampled =
            self.backends.iter().filter(|(_, backend)| backend.load.speed_estimate().samples > 0);
        let speeds = sampled.map(|(_, backend)| (backend.hash, backend.load.speed_estimate()));
        message::Message {
            process: self.setup.process,
            from: self.setup.address,
            sequence: self.sequence,
            view: self.source.view(now, self.lease.age(now)),
            stopping: self.stopping_since.is_some(),
            loads: self.own_loads(),
            speeds: if every(SPEEDS_INTERVAL) { speeds.collect() } else { Vec::new() },
            waiting: self.waiting(),
            age: now.since(self.started_at),
            history: None,
            usage: if every(message::USAGE_INTERVAL) { self.quotas.usage() } else { Vec::new() },
            demands: if every(message::USAGE_INTERVAL) {
                self.quotas.demands()
            } else {
                Vec::new()
            },
            peers: if every(PEERS_INTERVAL) { self.peers.advertised(now) } else { Vec::new() },
        }
    }
}
