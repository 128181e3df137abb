//! Rate limits of backend servers: what they stated, and the permits for requests to them.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use rate::statement::Change;
use wire::time::Instant;

use super::Machine;
use crate::{
    Action,
    event::RequestNumber,
    issuer::{self, Issuer},
    message, permits,
    refusal::Reason,
    warm_up,
};

/// Most repeated reports that one gateway sends per second.
const MAX_REPEATS_PER_S: f64 = 25.0;
/// Time for which the issuer of a run is not determined again.
const ISSUER_PERIOD: Duration = Duration::from_millis(100);
/// Rounds of messages after which a gateway that was cut off has received those of the others.
const RISE_ROUNDS: u32 = 2;
/// Most limits in one datagram.
const MAX_REPORTS: usize = 128;

/// Permits that this gateway issues, and the limits that it has to announce.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) issuer: Issuer,
    /// Issuers of permits by run, as determined last.
    issuers: HashMap<u64, SocketAddr>,
    next_issuers: Instant,
    /// Part of each limit that this gateway may issue.
    issuer_share: f64,
    /// Part of the rate of each server that warms up. It rises later than `issuer_share`, since a
    /// gateway that was cut off may issue permits until it has received the messages of the others.
    warm_up_share: f64,
    /// Time at which that part rises.
    share_rises_at: Option<Instant>,
    /// Number of the last message with permits.
    permit_number: u64,
    /// Runs whose limit changed since the last announcement.
    unannounced_limits: BTreeSet<u64>,
    next_announcement: Instant,
}

impl Machine {
    /// Records the limit that a response named, and returns whether it changed.
    pub(super) fn record_rate_limit(
        &mut self,
        now: Instant,
        number: RequestNumber,
        per_s: Option<f64>,
    ) -> bool {
        let state = self.open_requests.get(&number).map(|open| open.state);
        let Some(super::State::Dispatched { run, dispatched_at, .. }) = state else {
            return false;
        };
        let Some(change) = self.rate_limits.record(now, run, dispatched_at, per_s) else {
            return false;
        };
        self.apply_limit_change(run, change, "response");
        self.limiting.unannounced_limits.insert(run);
        true
    }

    /// Merges the limits that a peer knows.
    pub(super) fn receive_rate_limits(&mut self, now: Instant, reports: &[message::RateLimit]) {
        for report in reports {
            if let Some(change) = self.rate_limits.merge(now, report) {
                self.apply_limit_change(report.run, change, "peer");
            }
        }
    }

    fn apply_limit_change(&mut self, run: u64, change: Change, source: &'static str) {
        // Permits were issued at the rate of the earlier limit.
        if change != Change::Rose {
            self.permits.revoke(run);
        }
        let backend = self.backends.iter().find(|(_, backend)| backend.run == run);
        let id = backend.map_or(&[][..], |(_, backend)| &backend.id[..]);
        tracing::info!(
            event = "limit_changed",
            replica = %String::from_utf8_lossy(id),
            change = change.name(),
            per_s = self.rate_limits.limit(run),
            source,
        );
    }

    /// Records a peer's demands, for the runs whose permits this gateway issues.
    pub(super) fn receive_demands(
        &mut self,
        now: Instant,
        demands: &message::Demands,
        actions: &mut Vec<Action>,
    ) {
        self.receive_rate_limits(now, &demands.limits);
        self.receive_warm_ups(now, &demands.warm_ups);
        let mut ended = Vec::new();
        for same in demands.demands.chunk_by(|a, b| a.run == b.run) {
            let run = same[0].run;
            if self.is_warm_up_key(run) {
                // This gateway may not have learned yet, or not any more, that the server warms up.
                if self.issuer_of(now, run) == self.own_address() {
                    let issuer = &mut self.limiting.issuer;
                    issuer.record_demands(now, demands.from, demands.token, run, same);
                    issuer.set_max_age(run, warm_up::DEMAND_AGE);
                }
            } else if !self.rate_limits.is_limited(run) {
                ended.extend(self.rate_limits.report(now, run));
            } else if self.issuer_of(now, run) == self.own_address() {
                self.limiting.issuer.record_demands(now, demands.from, demands.token, run, same);
            }
        }
        if !ended.is_empty() {
            let datagram = message::Datagram::RateLimits(ended);
            actions.push(Action::Send { to: demands.from, datagram });
        }
    }

    /// Issues the permits that are available and announces changed limits.
    pub(super) fn update_permits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.announce_limits(now, actions);
        self.announce_warm_ups(now, actions);
        if self.uses_permits() || !self.limiting.issuer.is_empty() {
            self.issue_permits(now, actions);
        }
    }

    /// Returns when permits have to be issued or demanded next.
    pub(super) fn next_permit_update(&self) -> Option<Instant> {
        let uncertain = self.warming.warm_ups.uncertain_until(self.warming.last_event());
        if !self.uses_permits() {
            return uncertain;
        }
        let issue = self.limiting.issuer.next_issue(|key| self.issue_rate(key));
        let announcement = self.next_warm_up_announcement();
        [issue, announcement, uncertain, self.next_demand_update()].into_iter().flatten().min()
    }

    /// Returns whether some backend server has a rate limit, or warms up or did so lately.
    pub(super) fn uses_permits(&self) -> bool {
        !self.rate_limits.is_empty() || !self.warming.warm_ups.is_empty()
    }

    /// Returns the permits a second that this gateway may issue for a run with a rate limit or a
    /// server that warms up.
    fn issue_rate(&self, key: u64) -> Option<f64> {
        match self.is_warm_up_key(key) {
            true => Some(self.warm_up_rate(key)? * self.limiting.warm_up_share),
            false => Some(self.rate_limits.rate(key)? * self.limiting.issuer_share),
        }
    }

    /// Adds permits that were issued to this gateway.
    pub(super) fn receive_permits(&mut self, now: Instant, permits: &message::Permits) {
        let lifetime = match self.is_warm_up_key(permits.run) {
            true => warm_up::PERMIT_LIFETIME,
            false => permits::LIFETIME,
        };
        self.permits.receive_within(now, permits, lifetime);
    }

    fn issue_permits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let own_address = self.own_address();
        let mut runs = self.limiting.issuer.runs();
        runs.retain(|run| self.issuer_of(now, *run) == own_address);
        let rates: HashMap<u64, f64> =
            runs.iter().filter_map(|run| Some((*run, self.issue_rate(*run)?))).collect();
        let issued = self.limiting.issuer.issue(now, |run| rates.get(&run).copied());
        for same in issued.chunk_by(|a, b| a == b) {
            let issuer::Permit { to, run, token } = same[0];
            self.limiting.permit_number += 1;
            let (process, number) = (self.setup.process, self.limiting.permit_number);
            let count = same.len() as u16;
            let permits = message::Permits { process, number, token, run, count };
            if to == own_address {
                self.receive_permits(now, &permits);
            } else {
                actions.push(Action::Send { to, datagram: message::Datagram::Permits(permits) });
            }
        }
    }

    /// Returns the gateway that issues the permits of a run.
    pub(super) fn issuer_of(&mut self, now: Instant, run: u64) -> SocketAddr {
        if now >= self.limiting.next_issuers {
            self.limiting.next_issuers = now + ISSUER_PERIOD;
            self.limiting.issuers.clear();
            self.update_issuer_share(now);
        }
        if let Some(issuer) = self.limiting.issuers.get(&run) {
            return *issuer;
        }
        let own_address = self.own_address();
        let own = self.stopping_since.is_none().then_some(own_address);
        let issuer = issuer::choose(run, self.peers.reachable(now).chain(own));
        let issuer = issuer.unwrap_or(own_address);
        self.limiting.issuers.insert(run, issuer);
        issuer
    }

    /// Determines the part of a limit that this gateway may issue. Gateways that may serve callers
    /// but aren't reachable keep their part, since they may have another issuer.
    fn update_issuer_share(&mut self, now: Instant) {
        let serving = self.peers.serving_count(now);
        let reachable = 1 + self.peers.reachable(now).count();
        let share = (reachable as f64 / serving.max(1) as f64).min(1.0);
        self.limiting.issuer_share = share;
        let limiting = &mut self.limiting;
        if share <= limiting.warm_up_share {
            (limiting.warm_up_share, limiting.share_rises_at) = (share, None);
            return;
        }
        let (_, period) = self.peers.targets();
        let rises_at = *limiting.share_rises_at.get_or_insert(now + period * RISE_ROUNDS);
        if now >= rises_at {
            (limiting.warm_up_share, limiting.share_rises_at) = (share, None);
        }
    }

    /// Sends changed limits to all peers at once, but no more often than the state.
    fn announce_limits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.limiting.unannounced_limits.is_empty() || now < self.limiting.next_announcement {
            return;
        }
        let (targets, period) = self.peers.targets();
        self.limiting.next_announcement = now + period;
        let runs: Vec<u64> =
            std::mem::take(&mut self.limiting.unannounced_limits).into_iter().collect();
        self.send_rate_limits(now, &targets, &runs, actions);
    }

    /// Sends the limits of the runs whose permits this gateway issues again, since datagrams may be
    /// lost: to all peers in a small deployment, and to some of them in a large one.
    pub(super) fn repeat_limits(
        &mut self,
        now: Instant,
        mut targets: Vec<SocketAddr>,
        period: Duration,
        actions: &mut Vec<Action>,
    ) {
        let listed: BTreeSet<u64> = self.backends.iter().map(|(_, backend)| backend.run).collect();
        self.rate_limits.expire(now, |run| listed.contains(&run));
        let own_address = self.own_address();
        let mut runs: Vec<u64> = self.rate_limits.runs().collect();
        runs.retain(|run| self.issuer_of(now, *run) == own_address);
        if runs.is_empty() {
            return;
        }
        self.rng.shuffle(&mut targets);
        targets.truncate((MAX_REPEATS_PER_S * period.as_secs_f64()).ceil() as usize);
        self.send_rate_limits(now, &targets, &runs, actions);
    }

    /// Sends all limits to a peer that may not have received them.
    pub(super) fn send_all_limits(&self, now: Instant, to: SocketAddr, actions: &mut Vec<Action>) {
        let runs: Vec<u64> = self.rate_limits.runs().collect();
        self.send_rate_limits(now, &[to], &runs, actions);
    }

    fn send_rate_limits(
        &self,
        now: Instant,
        targets: &[SocketAddr],
        runs: &[u64],
        actions: &mut Vec<Action>,
    ) {
        for runs in runs.chunks(MAX_REPORTS) {
            let reports = runs.iter().filter_map(|run| self.rate_limits.report(now, *run));
            let reports: Vec<message::RateLimit> = reports.collect();
            for to in targets {
                let datagram = message::Datagram::RateLimits(reports.clone());
                actions.push(Action::Send { to: *to, datagram });
            }
        }
    }

    /// Refuses requests that can't be sent in time under the rate limits, if all backend servers of
    /// the service have one. The most urgent request may always wait.
    pub(super) fn refuse_beyond_limits(
        &mut self,
        now: Instant,
        service: &Bytes,
        actions: &mut Vec<Action>,
    ) {
        let Some(queue) = self.queues.get(service) else { return };
        let usable = self.backends.usable(service, now);
        let rates = usable.map(|backend| Some(self.restriction(now, backend)?.rate));
        let Some(rate) = rates.sum::<Option<f64>>().filter(|rate| *rate > 0.0) else { return };
        let is_beyond = |(position, number): &(usize, RequestNumber)| {
            let open = self.open_requests.get(number);
            let left = open.map_or(0.0, |open| open.entry.wait_until.since(now).as_secs_f64());
            *position as f64 >= (rate * left).max(1.0)
        };
        let beyond: Vec<RequestNumber> =
            queue.numbers().enumerate().filter(is_beyond).map(|(_, number)| number).collect();
        for number in beyond {
            self.refuse_waiting(now, number, Reason::RateLimit, actions);
        }
    }

    /// Returns this gateway's address, which may be unspecified if it has no peers.
    pub(super) fn own_address(&self) -> SocketAddr {
        self.setup.address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }
}
