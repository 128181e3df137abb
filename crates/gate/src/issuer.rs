//! Issue of permits for requests to backend servers with a rate limit.
//!
//! A limit is often lower than the number of gateways, so it can't be divided into equal parts.
//! Instead, one gateway issues a permit for each request, at the rate of the limit, to the gateways
//! that have requests for the server. Which one is determined by rendezvous hashing among those
//! that receive each other's messages. An issuer that doesn't receive messages of all gateways
//! leaves their part of the rate to them, since they may have an issuer of their own.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    mem,
    net::SocketAddr,
    time::Duration,
};

use rate::bucket::Bucket;
use wire::time::Instant;

use crate::{message, permits, ranking};

/// Returns the gateway that issues the permits of a run.
pub fn choose(run: u64, gateways: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    gateways.max_by_key(|gateway| ranking::rank(run, gateway))
}

/// Requests that wait, by the time since which permits are demanded for them, the earliest first.
#[derive(Clone, Debug, Default)]
struct Waiting(VecDeque<(Instant, u16)>);

impl Waiting {
    /// Changes the number of requests. Those that are no longer there are the ones that waited
    /// longest.
    fn resize(&mut self, now: Instant, count: u16) {
        let mut excess = self.count().saturating_sub(count);
        while excess > 0
            && let Some((_, first)) = self.0.front_mut()
        {
            let removed = excess.min(*first);
            *first -= removed;
            excess -= removed;
            if *first == 0 {
                self.0.pop_front();
            }
        }
        let missing = count - self.count();
        if missing > 0 {
            self.0.push_back((now, missing));
        }
    }

    fn count(&self) -> u16 {
        self.0.iter().map(|(_, count)| count).sum()
    }

    /// Returns the time since which the first request has waited.
    fn since(&self) -> Option<Instant> {
        self.0.front().map(|(since, _)| *since)
    }
}

/// Permits that a gateway demands for requests of one tier.
#[derive(Clone, Debug)]
struct Demand {
    from: SocketAddr,
    /// Tier of the requests that wait there; `None` if they may arrive next.
    tier: Option<u32>,
    waiting: Waiting,
    token: u64,
    received_at: Instant,
}

/// Permits of one run and the demands for them.
#[derive(Clone, Debug)]
struct Supply {
    bucket: Bucket,
    demands: Vec<Demand>,
    /// Age up to which permits are issued for a demand.
    max_age: Duration,
    /// Time of the last permit of each gateway.
    last_issues: HashMap<SocketAddr, Instant>,
}

impl Supply {
    /// Returns a supply without permits. Its debt differs between runs, which spreads the permits of
    /// servers whose limits began at the same time.
    fn empty(now: Instant, run: u64) -> Supply {
        let debt = (run >> 32) as f64 / f64::from(u32::MAX);
        let bucket = Bucket::with_debt(now, debt);
        let max_age = permits::LIFETIME;
        Supply { bucket, demands: Vec::new(), max_age, last_issues: HashMap::new() }
    }

    /// Takes a permit for the most urgent request, and among equals for the one that has waited
    /// longest, so that none is refused while a later one is served elsewhere. Gateways without a
    /// waiting request get a permit ahead of their next request if no other gateway needs it.
    fn issue(&mut self, now: Instant) -> Option<(SocketAddr, u64)> {
        if !self.bucket.has_permit() {
            return None;
        }
        let open = self.demands.iter_mut().filter(|demand| demand.waiting.count() > 0);
        let last_issues = &mut self.last_issues;
        let demand = open.min_by_key(|demand| {
            let last_issue = last_issues.get(&demand.from).copied();
            // Requests that may arrive next don't wait.
            let since = demand.tier.and_then(|_| demand.waiting.since());
            (demand.tier.is_none(), demand.tier, since, last_issue, demand.from)
        })?;
        demand.waiting.resize(now, demand.waiting.count() - 1);
        last_issues.insert(demand.from, now);
        self.bucket.take();
        Some((demand.from, demand.token))
    }

    fn is_demanded(&self) -> bool {
        self.demands.iter().any(|demand| demand.waiting.count() > 0)
    }
}

/// A permit and the gateway that it is issued to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    pub to: SocketAddr,
    pub run: u64,
    /// Token of the demand.
    pub token: u64,
}

/// Permits to issue, by run.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    supplies: BTreeMap<u64, Supply>,
}

impl Issuer {
    /// Records what a gateway demands, which replaces its earlier demands for the run. A run that is
    /// new here has no permits yet, since another issuer may just have issued some.
    pub fn record_demands(
        &mut self,
        now: Instant,
        from: SocketAddr,
        token: u64,
        run: u64,
        demands: &[message::Demand],
    ) {
        let supply = self.supplies.entry(run).or_insert_with(|| Supply::empty(now, run));
        let mut earlier: Vec<Demand> =
            supply.demands.extract_if(.., |demand| demand.from == from).collect();
        for message::Demand { tier, count, .. } in demands {
            let same = earlier.iter_mut().find(|demand| demand.tier == *tier);
            let mut waiting = same.map(|demand| mem::take(&mut demand.waiting)).unwrap_or_default();
            waiting.resize(now, *count);
            supply.demands.push(Demand { from, tier: *tier, waiting, token, received_at: now });
        }
    }

    /// Sets the age up to which permits are issued for a demand for a run.
    pub fn set_max_age(&mut self, run: u64, max_age: Duration) {
        if let Some(supply) = self.supplies.get_mut(&run) {
            supply.max_age = max_age;
        }
    }

    /// Returns whether no permits were demanded.
    pub fn is_empty(&self) -> bool {
        self.supplies.is_empty()
    }

    /// Returns the runs that permits were demanded for.
    pub fn runs(&self) -> Vec<u64> {
        self.supplies.keys().copied().collect()
    }

    /// Issues the permits that are available. `rate` returns the permits a second for a run, or
    /// `None` if this gateway doesn't issue them any more.
    pub fn issue(&mut self, now: Instant, rate: impl Fn(u64) -> Option<f64>) -> Vec<Permit> {
        let mut issued = Vec::new();
        self.supplies.retain(|run, supply| {
            let Some(rate) = rate(*run) else { return false };
            supply.bucket.refill(now, rate);
            let max_age = supply.max_age;
            supply.demands.retain(|demand| now.since(demand.received_at) < max_age);
            while let Some((to, token)) = supply.issue(now) {
                issued.push(Permit { to, run: *run, token });
            }
            true
        });
        issued
    }

    /// Returns when the next permit is available that is demanded.
    pub fn next_issue(&self, rate: impl Fn(u64) -> Option<f64>) -> Option<Instant> {
        let demanded = self.supplies.iter().filter(|(_, supply)| supply.is_demanded());
        demanded.filter_map(|(run, supply)| supply.bucket.next_permit(rate(*run)?)).min()
    }
}
