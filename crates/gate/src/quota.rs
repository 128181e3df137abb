//! Quotas of accounts across all gateways, based on the usage that gateways report to each other.
//!
//! Usage is counted over a sliding window. Up to the published quota a request is admitted with its
//! own tier. Between the quota and the tolerance of the deployment it is admitted behind all other
//! requests, so that it uses only capacity that is free.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use conf::gateway::Bounds;
use wire::time::Instant;

use crate::{catalog::Account, demand, message, request::Request, window};

/// Number of parts in which the usage of a window is sent to a process that has just started.
const HISTORY_PARTS: u32 = 16;
/// Longest time to retry after a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Shortest time to retry after a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Resolution of the window.
const SLICE_DURATION: Duration = Duration::from_millis(100);
/// Part of the tolerance that is used. The rest covers what gateways admit before they receive each
/// other's reports, and the time between admission and the start at the backend server.
const TOLERANCE_SHARE: f64 = 0.55;
/// Part of the tolerance that is used while the usage before the start of the process is unknown
/// and assumed to be the whole quota. If all gateways were killed, their restart takes a second or
/// more. With even usage, the units that leave the window in that time are about half of the
/// tolerance.
const INCOMPLETE_TOLERANCE_SHARE: f64 = 0.4;
/// Part of the tolerance that all processes use together that have just started and receive no
/// reports. Gateways from which they are cut off may use the rest.
const ISOLATED_TOLERANCE_SHARE: f64 = 0.2;
/// Time after a start with unknown earlier usage before any quota is granted. From then on, the
/// granted part grows evenly over one window. The delay covers accounts that use a window unevenly:
/// in a large deployment, one had used 3 % more than its even part.
const RAMP_DELAY: Duration = Duration::from_secs(1);
/// Share of the limit from which on gateways state their demand. Below it they admit what they are
/// asked for, so that their reports show it.
const NEAR_LIMIT: f64 = 0.5;

/// Gateways among which the quota of an account is shared.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayCounts {
    /// Gateways that may serve callers, this one included.
    pub serving: usize,
    /// Those among them whose usage is not known now.
    pub silent: usize,
    /// Time up to which the usage of all of them is known; `None` if one has never reported it.
    pub reported_until: Option<Instant>,
    /// Those among them that have reported, but started too recently to state their demand.
    pub starting: usize,
    /// Time by which gateways may differ on when a request was counted.
    pub report_delay: Duration,
    /// Age up to which a report may be the last one of a gateway that isn't silent.
    pub max_report_age: Duration,
}

impl GatewayCounts {
    /// Returns whether no other gateway reports its usage although some may serve callers.
    fn is_isolated(self) -> bool {
        self.silent > 0 && self.silent + 1 == self.serving
    }

    /// Returns the part of a limit that is left to the silent gateways, given the units of the
    /// window that they know of too. They and the others divide what these units leave.
    fn reserve(self, limit: f64, known_to_all: f64) -> f64 {
        let part = self.silent as f64 / self.serving.max(1) as f64;
        part * (limit - known_to_all).max(0.0)
    }
}

/// How a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Within the published quota.
    Within,
    /// Beyond the quota, within the tolerance.
    Beyond,
}

/// Usage of one account in the window.
#[derive(Clone, Debug, Default)]
struct Usage {
    window: window::Sum,
    /// Units admitted by this process since its start.
    admitted_here: f64,
    /// Units asked of this process, and those that other gateways may not know yet.
    demand: demand::Meter,
}

impl Usage {
    /// Returns the units of the window that all gateways have counted.
    fn known_to_all(&self, now: Instant, window: Duration, counts: GatewayCounts) -> f64 {
        let Some(until) = counts.reported_until else { return 0.0 };
        let delay = counts.report_delay;
        let is_known = |at: Instant| until.since(at) >= delay && now.since(at) + delay <= window;
        self.window.slices.iter().filter(|(at, _)| is_known(*at)).map(|(_, units)| units).sum()
    }

    /// Returns the units in equal parts of the window, the latest first.
    fn parts(&self, now: Instant, window: Duration) -> Vec<f32> {
        let mut parts = vec![0.0; HISTORY_PARTS as usize];
        for (at, units) in &self.window.slices {
            let part = now.since(*at).as_secs_f64() / window.as_secs_f64();
            let part = (part * f64::from(HISTORY_PARTS)) as usize;
            parts[part.min(HISTORY_PARTS as usize - 1)] += *units as f32;
        }
        parts
    }

    /// Adds the usage in a peer's history that is not recorded here yet. The usage recorded here is
    /// the latest part of that history. The units of a part count as used at its end, so that none
    /// leaves the window too early.
    fn merge_history(&mut self, now: Instant, window: Duration, parts: &[f32]) {
        let mut recorded = self.window.total.max(0.0);
        let step = window / HISTORY_PARTS;
        for (index, units) in parts.iter().take(HISTORY_PARTS as usize).enumerate() {
            let units = f64::from(*units);
            let covered = recorded.min(units).max(0.0);
            recorded -= covered;
            let age = (step * index as u32).as_micros() as u64;
            self.window.total += units - covered;
            self.window.slices.push_back((Instant(now.0.saturating_sub(age)), units - covered));
        }
        self.window.slices.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    /// Returns the time until `excess` units have left the window.
    fn time_until_freed(&self, now: Instant, window: Duration, excess: f64) -> Duration {
        let mut left = excess;
        for (at, units) in &self.window.slices {
            left -= units;
            if left <= 0.0 {
                return (*at + window).since(now);
            }
        }
        window
    }
}

/// Usage by account name.
#[derive(Clone, Debug)]
pub struct Quotas {
    started_at: Instant,
    /// Time at which demands were last measured.
    measured_at: Instant,
    /// Whether the usage of the whole window is recorded: all gateways started for the first time,
    /// a peer sent its history, or the process is older than the window.
    complete: bool,
    usages: HashMap<Bytes, Usage>,
    /// Account names by the hash that messages between gateways use.
    names: HashMap<u64, Bytes>,
    /// Last reports of peers by account.
    reported: HashMap<u64, demand::Reports>,
}

/// Returns the units that a request takes from its account's quota.
pub fn cost(account: &Account, request: &Request) -> f64 {
    if !account.counts_tokens {
        return 1.0;
    }
    match request.tokens {
        Some(tokens) => f64::from(tokens.prompt) + f64::from(tokens.max_output),
        None => account.default_tokens,
    }
}

/// Returns the published quota of an account for one window.
pub fn granted(account: &Account, bounds: &Bounds) -> f64 {
    account.rate * bounds.quota_window.as_secs_f64() + account.burst
}

impl Quotas {
    /// Returns quotas without usage. `complete` states that nothing was admitted before.
    pub fn new(now: Instant, complete: bool) -> Quotas {
        Quotas {
            started_at: now,
            measured_at: now,
            complete,
            usages: HashMap::new(),
            names: HashMap::new(),
            reported: HashMap::new(),
        }
    }

    /// Admits a request and counts its units.
    ///
    /// # Errors
    ///
    /// Returns the time to retry after if the account used its quota and tolerance.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &Account,
        units: f64,
        counts: GatewayCounts,
        bounds: &Bounds,
    ) -> Result<Admission, Duration> {
        if account.rate <= 0.0 {
            return Ok(Admission::Within);
        }
        let window = bounds.quota_window;
        // Usage before the start is assumed to be the whole quota, evenly spread over the window.
        let quota_share = match self.is_complete(now, window) {
            true => 1.0,
            false => now.since(self.started_at + RAMP_DELAY).as_secs_f64() / window.as_secs_f64(),
        };
        let full = granted(account, bounds);
        let quota = full * quota_share;
        let tolerance = full * bounds.quota_overage + bounds.quota_slack;
        let limit = match (quota_share < 1.0, counts.is_isolated()) {
            // The predecessor may have used its part of the quota since the others fell silent.
            (true, true) => tolerance * ISOLATED_TOLERANCE_SHARE,
            (true, false) => quota + tolerance * INCOMPLETE_TOLERANCE_SHARE,
            (false, _) => quota + tolerance * TOLERANCE_SHARE,
        };
        let reports = self.reported.get(&hash(&account.name));
        let usage = self.usages.entry(account.name.clone()).or_default();
        usage.window.expire(now, window + SLICE_DURATION);
        usage.demand.expire(now, counts.report_delay, now.since(self.measured_at));
        let total = usage.window.total + units;
        let known_to_all = usage.known_to_all(now, window, counts);
        let available = limit - counts.reserve(limit, known_to_all);
        let left = available - (usage.window.total - usage.demand.recent());
        let unreported = usage.demand.unreported_of_others(now, reports, counts, left);
        usage.demand.ask(now, units, total + unreported > available * NEAR_LIMIT);
        let excess = total + unreported - available;
        if excess > 0.0 {
            return Err(usage
                .time_until_freed(now, window, excess)
                .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        let is_within = total + counts.reserve(quota, known_to_all) <= quota;
        usage.window.add(now, units, SLICE_DURATION);
        usage.admitted_here += units;
        usage.demand.admit(now, units);
        Ok(if is_within { Admission::Within } else { Admission::Beyond })
    }

    /// Refunds the units of a request that has not run.
    pub fn refund(&mut self, now: Instant, account: &Bytes, units: f64) {
        if let Some(usage) = self.usages.get_mut(account) {
            usage.window.add(now, -units, SLICE_DURATION);
            usage.admitted_here -= units;
            usage.demand.admit(now, -units);
        }
    }

    /// Returns whether the usage of the whole window is recorded.
    pub fn is_complete(&mut self, now: Instant, window: Duration) -> bool {
        self.complete = self.complete || now.since(self.started_at) >= window;
        self.complete
    }

    /// Records the units that a peer admitted since its last report.
    ///
    /// A report is ignored before the account names are set; the next one covers the same units.
    pub fn record_report(&mut self, now: Instant, peer: &message::Message, window: Duration) {
        if self.names.is_empty() {
            return;
        }
        for usage in &peer.usage {
            let stated = peer.demands.iter().find(|(account, _)| *account == usage.account);
            let stated = stated.map(|(_, per_s)| f64::from(*per_s));
            let reports = self.reported.entry(usage.account).or_default();
            let last = reports.get(&peer.process).copied();
            let report = demand::Report::new(now, peer.age, usage.admitted, stated, last);
            reports.insert(peer.process, report);
            let last = last.map(|report| report.admitted);
            let Some(name) = self.names.get(&usage.account).cloned() else { continue };
            // The total of a process seen for the first time may include units that have left the
            // window, unless the process is younger than the window.
            let before_first = if peer.age < window { 0.0 } else { usage.admitted };
            let admitted = usage.admitted - last.unwrap_or(before_first);
            self.usage_mut(&name).window.add(now, admitted, SLICE_DURATION);
        }
        if let Some(history) = &peer.history
            && !self.is_complete(now, window)
        {
            for message::History { account, parts } in history {
                if let Some(name) = self.names.get(account).cloned() {
                    self.usage_mut(&name).merge_history(now, window, parts);
                }
            }
            self.complete = true;
        }
    }

    /// Removes the last reports of a process that no longer runs.
    pub fn remove_process(&mut self, process: u64) {
        for reports in self.reported.values_mut() {
            reports.remove(&process);
        }
    }

    /// Returns the units that an account used in the window.
    pub fn used(&self, account: &Bytes) -> f64 {
        self.usages.get(account).map_or(0.0, |usage| usage.window.total)
    }

    /// Returns the units that this process admitted, for the message to peers.
    pub fn usage(&self) -> Vec<message::Usage> {
        let used = self.names.iter().filter_map(|(hash, name)| {
            let usage = self.usages.get(name)?;
            (usage.admitted_here != 0.0 || usage.demand.stated().is_some())
                .then_some(message::Usage { account: *hash, admitted: usage.admitted_here })
        });
        used.collect()
    }

    /// Measures the demand since the last call. It is stated to peers until the next one.
    pub fn measure_demands(&mut self, now: Instant) {
        for usage in self.usages.values_mut() {
            usage.demand.measure(now.since(self.measured_at));
        }
        self.measured_at = now;
    }

    /// Returns the units a second that were asked of this process, of accounts near their limit.
    pub fn demands(&self) -> Vec<(u64, u32)> {
        let stated = self.names.iter().filter_map(|(hash, name)| {
            let per_s = self.usages.get(name)?.demand.stated()?;
            Some((*hash, per_s as u32))
        });
        stated.collect()
    }

    /// Returns the usage of the window for a process that has just started, if it is complete here.
    pub fn history(&mut self, now: Instant, window: Duration) -> Option<Vec<message::History>> {
        if !self.is_complete(now, window) {
            return None;
        }
        let used = self.names.iter().filter_map(|(hash, name)| {
            let usage = self.usages.get(name).filter(|usage| usage.window.total > 0.0)?;
            Some(message::History { account: *hash, parts: usage.parts(now, window) })
        });
        Some(used.collect())
    }

    /// Sets the account names, so that peers' reports can be counted before the first request.
    pub fn set_accounts<'a>(&mut self, accounts: impl Iterator<Item = &'a Account>) {
        for account in accounts {
            self.names.insert(hash(&account.name), account.name.clone());
        }
    }

    fn usage_mut(&mut self, name: &Bytes) -> &mut Usage {
        self.usages.entry(name.clone()).or_default()
    }
}

/// Returns the hash that messages between gateways use for the name of an account, service or
/// backend server.
pub fn hash(name: &[u8]) -> u64 {
    // FNV-1a, which is the same in all processes, unlike the standard library's hasher.
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.iter().fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
