//! Demands for permits, which gateways send to the issuers of limited backend servers.
//!
//! A change of what the most urgent waiting requests need is sent at once, since the issuer gives
//! the next permit to a less urgent request otherwise. Unchanged demands are repeated now and then,
//! since datagrams may be lost. The messages a second are bounded; changes have precedence.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use rate::bucket::Bucket;
use wire::time::Instant;

use super::{Machine, warming::Restriction};
use crate::{Action, message, ranking};

/// Shortest time between two looks at what is demanded, which bounds the processor time.
const CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Time between repeated demands in a deployment with few gateways.
const DEMAND_PERIOD: Duration = Duration::from_millis(200);
/// Most runs with a limit that one gateway demands permits for. In a large deployment, each gateway
/// uses some of the limited backend servers, which bounds its messages.
const MAX_DEMANDED_RUNS: usize = 16;
/// Most demands that one gateway sends per second.
const MAX_DEMANDS_PER_S: f64 = 25.0;
/// Time between repeated demands for servers that warm up. Permits are issued for demands of at most
/// `warm_up::DEMAND_AGE`.
const WARM_UP_DEMAND_PERIOD: Duration = Duration::from_millis(80);
/// Most servers that warm up for which one gateway demands permits.
const MAX_DEMANDED_SERVERS: usize = 8;
/// Time after which waiting requests are divided among the servers that warm up in another way, so
/// that none waits for an issuer that has ended.
const TURN: Duration = Duration::from_millis(400);
/// Most demands that one gateway sends per second while servers warm up.
const MAX_WARM_UP_DEMANDS_PER_S: f64 = 125.0;
/// Time for which permits are demanded ahead of the requests that are expected to arrive.
const AHEAD: Duration = Duration::from_millis(200);

/// What this gateway last demanded of each issuer.
#[derive(Debug)]
pub(super) struct State {
    sent: BTreeMap<SocketAddr, Sent>,
    next_check: Instant,
    /// Whether something happened since the last check.
    is_check_due: bool,
    /// Messages that may be sent.
    messages: Bucket,
}

#[derive(Debug, Default)]
struct Sent {
    at: Instant,
    demands: Vec<message::Demand>,
}

impl Default for State {
    fn default() -> State {
        State {
            sent: BTreeMap::new(),
            next_check: Instant::default(),
            is_check_due: false,
            messages: Bucket::empty(Instant::default()),
        }
    }
}

/// Demands for one issuer.
struct Update {
    to: SocketAddr,
    demands: Vec<message::Demand>,
    /// Whether the needs of the most urgent requests changed.
    is_changed: bool,
    sent_at: Instant,
}

impl Update {
    /// Returns the most urgent tier.
    fn tier(&self) -> (bool, Option<u32>) {
        let tiers = self.demands.iter().filter(|demand| demand.count > 0).map(|d| d.tier);
        let order = |tier: Option<u32>| (tier.is_none(), tier);
        tiers.map(order).min().unwrap_or((true, None))
    }
}

/// Returns the needs of the most urgent requests for each run.
fn most_urgent(demands: &[message::Demand]) -> BTreeMap<u64, message::Demand> {
    let waiting = demands.iter().filter(|demand| demand.count > 0 && demand.tier.is_some());
    // The first demand for each run remains.
    waiting.rev().map(|demand| (demand.run, *demand)).collect()
}

impl Machine {
    /// Sends demands to the issuers for which they changed, and repeats others.
    pub(super) fn update_demands(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.uses_permits() {
            return;
        }
        if now < self.demanding.next_check {
            self.demanding.is_check_due = true;
            return;
        }
        self.demanding.next_check = now + CHECK_PERIOD;
        self.demanding.is_check_due = false;
        let updates = self.demand_updates(now);
        let own_address = self.own_address();
        let max_per_s = match self.warming.warm_ups.is_empty() {
            true => MAX_DEMANDS_PER_S,
            false => MAX_WARM_UP_DEMANDS_PER_S,
        };
        self.demanding.messages.refill(now, max_per_s);
        for update in updates {
            if update.to != own_address {
                if !self.demanding.messages.has_permit() {
                    self.demanding.is_check_due = true;
                    continue;
                }
                self.demanding.messages.take();
            }
            self.send_demands(now, update.to, update.demands, actions);
        }
    }

    /// Returns when `update_demands` has to be called next.
    pub(super) fn next_demand_update(&self) -> Option<Instant> {
        let demanding = &self.demanding;
        let repeat = demanding.sent.values().map(|sent| sent.at + self.demand_period(sent)).min();
        let check = demanding.is_check_due.then_some(demanding.next_check);
        let next = [repeat, check].into_iter().flatten().min()?;
        Some(next.max(demanding.next_check))
    }

    /// Returns the time after which unchanged demands are repeated.
    fn demand_period(&self, sent: &Sent) -> Duration {
        if sent.demands.iter().any(|demand| demand.count > 0 && self.is_warm_up_key(demand.run)) {
            return WARM_UP_DEMAND_PERIOD;
        }
        let issuers = self.demanding.sent.len() as f64;
        DEMAND_PERIOD.max(Duration::from_secs_f64(issuers / MAX_DEMANDS_PER_S))
    }

    /// Returns the demands to send, the most urgent first. A run that no permits are needed for any
    /// more gets a demand of none.
    fn demand_updates(&mut self, now: Instant) -> Vec<Update> {
        let mut by_issuer: BTreeMap<SocketAddr, Vec<message::Demand>> = BTreeMap::new();
        for demand in self.needed_permits(now) {
            by_issuer.entry(self.issuer_of(now, demand.run)).or_default().push(demand);
        }
        for (to, sent) in &self.demanding.sent {
            let demands = by_issuer.entry(*to).or_default();
            let runs: BTreeSet<u64> = demands.iter().map(|demand| demand.run).collect();
            let earlier: BTreeSet<u64> =
                sent.demands.iter().filter(|d| d.count > 0).map(|demand| demand.run).collect();
            let ended = earlier.difference(&runs);
            demands.extend(ended.map(|run| message::Demand { run: *run, tier: None, count: 0 }));
        }
        let mut updates = Vec::new();
        for (to, demands) in by_issuer {
            if demands.is_empty() {
                self.demanding.sent.remove(&to);
                continue;
            }
            let sent = self.demanding.sent.get(&to);
            let (sent_at, earlier) =
                sent.map_or((Instant::default(), &[][..]), |sent| (sent.at, &sent.demands[..]));
            let is_changed = most_urgent(&demands) != most_urgent(earlier);
            let period = sent.map_or(DEMAND_PERIOD, |sent| self.demand_period(sent));
            if is_changed || now >= sent_at + period {
                updates.push(Update { to, demands, is_changed, sent_at });
            }
        }
        updates.sort_by_key(|update| (!update.is_changed, update.tier(), update.sent_at));
        updates
    }

    fn send_demands(
        &mut self,
        now: Instant,
        to: SocketAddr,
        demands: Vec<message::Demand>,
        actions: &mut Vec<Action>,
    ) {
        let (from, token) = (self.own_address(), self.rng.u64(..));
        self.permits.record_demand(now, token);
        let runs: BTreeSet<u64> = demands.iter().map(|demand| demand.run).collect();
        let limits = runs.iter().filter_map(|run| self.rate_limits.report(now, *run));
        let limits = limits.collect();
        let warm_ups = runs.iter().filter_map(|run| self.warming.warm_ups.report(now, *run));
        let warm_ups = warm_ups.collect();
        self.demanding.sent.insert(to, Sent { at: now, demands: demands.clone() });
        let demands = message::Demands { from, token, limits, demands, warm_ups };
        if to == from {
            self.receive_demands(now, &demands, actions);
        } else {
            actions.push(Action::Send { to, datagram: message::Datagram::Demands(demands) });
        }
    }

    /// Returns the permits that this gateway needs beside those that it holds.
    fn needed_permits(&self, now: Instant) -> Vec<message::Demand> {
        let mut by_run = Vec::new();
        let mut warming: BTreeMap<&Bytes, Vec<Restriction>> = BTreeMap::new();
        for (_, backend) in self.backends.iter() {
            let Some(restriction) = self.restriction(now, backend) else { continue };
            if !backend.load.is_usable(now) {
                continue;
            }
            let service = &backend.record.service;
            if restriction.is_warm_up {
                warming.entry(service).or_default().push(restriction);
                continue;
            }
            let waiting = self.waiting_tiers(service);
            let indices = 0..self.needed_count(now, service, &waiting);
            let demands = self.build_demands(now, &restriction, &waiting, indices);
            if !demands.is_empty() {
                by_run.push((restriction.key, demands));
            }
        }
        if by_run.len() > MAX_DEMANDED_RUNS {
            let own_address = self.own_address();
            by_run.sort_by_key(|(run, _)| ranking::rank(*run, &own_address));
            by_run.truncate(MAX_DEMANDED_RUNS);
        }
        let mut needed: Vec<_> = by_run.into_iter().flat_map(|(_, demands)| demands).collect();
        for (service, servers) in warming {
            needed.extend(self.divide_demands(now, service, servers));
        }
        needed
    }

    /// Divides the requests that wait or are expected among the servers that warm up. If each were
    /// demanded at all of them, several would issue a permit for the same one, and the others would
    /// expire: 0.45 of the rate was used with 68 gateways and four servers.
    fn divide_demands(
        &self,
        now: Instant,
        service: &Bytes,
        mut servers: Vec<Restriction>,
    ) -> Vec<message::Demand> {
        let own_address = self.own_address();
        servers.sort_by_key(|server| ranking::rank(server.key, &own_address));
        servers.truncate(MAX_DEMANDED_SERVERS);
        let waiting = self.waiting_tiers(service);
        let needed = self.needed_count(now, service, &waiting);
        let turn = (now.0 / TURN.as_micros() as u64) as usize;
        let mut demands = Vec::new();
        for (position, server) in servers.iter().enumerate() {
            let first = (position + turn) % servers.len();
            let indices = (first..needed).step_by(servers.len());
            demands.extend(self.build_demands(now, server, &waiting, indices));
        }
        demands
    }

    /// Returns how many requests of a service wait, or are expected soon if those are more.
    fn needed_count(&self, now: Instant, service: &Bytes, waiting: &[u32]) -> usize {
        let arrivals = self.arrivals.get(service);
        let expected = arrivals.map_or(0.0, |arrivals| arrivals.expected(now, AHEAD)).ceil();
        waiting.len().max(expected as usize)
    }

    /// Returns the demands of one server for requests of these indices in the order of dispatch,
    /// without those that permits are held for.
    fn build_demands(
        &self,
        now: Instant,
        restriction: &Restriction,
        waiting: &[u32],
        indices: impl Iterator<Item = usize>,
    ) -> Vec<message::Demand> {
        let Restriction { key: run, rate, .. } = *restriction;
        let most = (rate.ceil() as usize).min(usize::from(u16::MAX));
        let held = self.permits.count(now, run);
        let tiers = indices.take(most).skip(held).map(|index| waiting.get(index).copied());
        let tiers: Vec<Option<u32>> = tiers.collect();
        let of_tier = |tiers: &[Option<u32>]| message::Demand {
            run,
            tier: tiers[0],
            count: tiers.len() as u16,
        };
        tiers.chunk_by(|a, b| a == b).map(of_tier).collect()
    }

    /// Returns the tiers of the requests that wait for a service, in the order of dispatch.
    fn waiting_tiers(&self, service: &Bytes) -> Vec<u32> {
        let numbers = self.queues.get(service).into_iter().flat_map(|queue| queue.numbers());
        numbers.filter_map(|number| Some(self.open_requests.get(&number)?.entry.tier)).collect()
    }
}
