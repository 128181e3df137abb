//! Rate limits of backend servers: what they stated, and the permits for requests to them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
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
    message, ranking,
    refusal::Reason,
};

/// Time between demands in a deployment with few gateways.
const DEMAND_PERIOD: Duration = Duration::from_millis(50);
/// Most runs with a limit that one gateway demands permits for. In a large deployment, each gateway
/// uses some of the limited backend servers, which bounds its messages.
const MAX_DEMANDED_RUNS: usize = 16;
/// Most demands that one gateway sends per second.
const MAX_DEMANDS_PER_S: f64 = 25.0;
/// Most repeated reports that one gateway sends per second.
const MAX_REPEATS_PER_S: f64 = 25.0;
/// Time for which permits are demanded ahead of the requests that are expected to arrive.
const AHEAD: Duration = Duration::from_millis(200);
/// Time for which the issuer of a run is not determined again.
const ISSUER_PERIOD: Duration = Duration::from_millis(100);
/// Most limits in one datagram.
const MAX_REPORTS: usize = 128;

/// Permits that this gateway issues and demands, and the limits that it has to announce.
#[derive(Debug, Default)]
pub(super) struct State {
    issuer: Issuer,
    /// Issuers of permits by run, as determined last.
    issuers: HashMap<u64, SocketAddr>,
    next_issuers: Instant,
    /// Part of each limit that this gateway may issue.
    issuer_share: f64,
    /// Number of the last message with permits.
    permit_number: u64,
    next_demand: Instant,
    demand_period: Duration,
    /// Runs that permits were demanded for when demands were last sent.
    demanded_runs: BTreeSet<u64>,
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
        let mut ended = Vec::new();
        for demand in &demands.demands {
            if !self.rate_limits.is_limited(demand.run) {
                ended.extend(self.rate_limits.report(now, demand.run));
            } else if self.issuer_of(now, demand.run) == self.own_address() {
                self.limiting.issuer.record_demand(now, demands.from, demands.token, demand);
            }
        }
        if !ended.is_empty() {
            let datagram = message::Datagram::RateLimits(ended);
            actions.push(Action::Send { to: demands.from, datagram });
        }
    }

    /// Demands permits, issues those that are available, and announces changed limits.
    pub(super) fn update_permits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.announce_limits(now, actions);
        if self.rate_limits.is_empty() {
            return;
        }
        if now >= self.limiting.next_demand {
            self.send_demands(now, actions);
        }
        self.issue_permits(now, actions);
    }

    /// Returns when `update_permits` has to be called next for requests that wait.
    pub(super) fn next_permit_update(&self) -> Option<Instant> {
        if self.rate_limits.is_empty() {
            return None;
        }
        let share = self.limiting.issuer_share;
        let issue =
            self.limiting.issuer.next_issue(|run| Some(self.rate_limits.rate(run)? * share));
        let waits = self.queues.values().any(|queue| !queue.is_empty());
        [issue, waits.then_some(self.limiting.next_demand)].into_iter().flatten().min()
    }

    fn send_demands(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut by_issuer: BTreeMap<SocketAddr, Vec<message::Demand>> = BTreeMap::new();
        for demand in self.demands(now) {
            by_issuer.entry(self.issuer_of(now, demand.run)).or_default().push(demand);
        }
        if by_issuer.is_empty() {
            return;
        }
        let period = Duration::from_secs_f64(by_issuer.len() as f64 / MAX_DEMANDS_PER_S);
        self.limiting.demand_period = DEMAND_PERIOD.max(period);
        self.limiting.next_demand = now + self.limiting.demand_period;
        let from = self.own_address();
        for (to, demands) in by_issuer {
            let token = self.rng.u64(..);
            self.permits.record_demand(now, token);
            let runs: BTreeSet<u64> = demands.iter().map(|demand| demand.run).collect();
            let limits = runs.into_iter().filter_map(|run| self.rate_limits.report(now, run));
            let demands = message::Demands { from, token, limits: limits.collect(), demands };
            if to == from {
                self.receive_demands(now, &demands, actions);
            } else {
                actions.push(Action::Send { to, datagram: message::Datagram::Demands(demands) });
            }
        }
    }

    /// Adds permits. The other issuers get the new demands soon, so that they don't issue more for
    /// the same requests.
    pub(super) fn receive_permits(&mut self, now: Instant, permits: &message::Permits) {
        if self.permits.receive(now, permits) {
            self.limiting.next_demand =
                self.limiting.next_demand.min(now + self.limiting.demand_period / 4);
        }
    }

    /// Returns the permits that this gateway needs beside those that it holds, and ends the demands
    /// for runs that it needs none for any more.
    fn demands(&mut self, now: Instant) -> Vec<message::Demand> {
        let mut demands = self.needed_permits(now);
        let runs: BTreeSet<u64> = demands.iter().map(|demand| demand.run).collect();
        let ended = self.limiting.demanded_runs.difference(&runs);
        demands.extend(ended.map(|run| message::Demand { run: *run, tier: None, count: 0 }));
        self.limiting.demanded_runs = runs;
        demands
    }

    fn needed_permits(&self, now: Instant) -> Vec<message::Demand> {
        let mut by_run = Vec::new();
        for (_, backend) in self.backends.iter() {
            let run = backend.run;
            let Some(rate) = self.rate_limits.rate(run) else { continue };
            if !backend.load.is_usable(now) {
                continue;
            }
            let service = &backend.record.service;
            let waiting = self.waiting_tiers(service);
            let arrivals = self.arrivals.get(service);
            let expected = arrivals.map_or(0.0, |arrivals| arrivals.expected(now, AHEAD)).ceil();
            let needed = waiting.len().max(expected as usize);
            let needed = needed.min(rate.ceil() as usize).min(usize::from(u16::MAX));
            let held = self.permits.count(now, run);
            let tiers: Vec<_> = (held..needed).map(|n| waiting.get(n).copied()).collect();
            let of_tier = |tiers: &[Option<u32>]| message::Demand {
                run,
                tier: tiers[0],
                count: tiers.len() as u16,
            };
            let demands: Vec<_> = tiers.chunk_by(|a, b| a == b).map(of_tier).collect();
            if !demands.is_empty() {
                by_run.push((run, demands));
            }
        }
        if by_run.len() > MAX_DEMANDED_RUNS {
            let own_address = self.own_address();
            by_run.sort_by_key(|(run, _)| ranking::rank(*run, &own_address));
            by_run.truncate(MAX_DEMANDED_RUNS);
        }
        by_run.into_iter().flat_map(|(_, demands)| demands).collect()
    }

    /// Returns the tiers of the requests that wait for a service, in the order of dispatch.
    fn waiting_tiers(&self, service: &Bytes) -> Vec<u32> {
        let numbers = self.queues.get(service).into_iter().flat_map(|queue| queue.numbers());
        numbers.filter_map(|number| Some(self.open_requests.get(&number)?.entry.tier)).collect()
    }

    fn issue_permits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let own_address = self.own_address();
        let mut runs = self.limiting.issuer.runs();
        runs.retain(|run| self.issuer_of(now, *run) == own_address);
        let share = self.limiting.issuer_share;
        let rate = |run| Some(self.rate_limits.rate(run).filter(|_| runs.contains(&run))? * share);
        let issued = self.limiting.issuer.issue(now, rate);
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
    fn issuer_of(&mut self, now: Instant, run: u64) -> SocketAddr {
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
        self.limiting.issuer_share = (reachable as f64 / serving.max(1) as f64).min(1.0);
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
        let rates = self.backends.usable(service, now).map(|b| self.rate_limits.rate(b.run));
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
    fn own_address(&self) -> SocketAddr {
        self.setup.address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }
}
