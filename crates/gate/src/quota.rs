//! Quotas of accounts across all gateways, by usage that they tell each other.
//!
//! Usage is counted over a sliding window. Up to the published quota a request is admitted as it
//! is; between that and the tolerance of the deployment it is admitted behind all other requests,
//! so that capacity which is free serves it.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use conf::gateway::Bounds;
use wire::time::Instant;

use crate::{catalog::Account, message, request::Request};

/// Parts of the window in which a started process is told its usage.
const HISTORY_PARTS: u32 = 16;
/// Longest wait that a refused caller is told.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Shortest wait that a refused caller is told.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Resolution of the window.
const SLICE_DURATION: Duration = Duration::from_millis(100);
/// Part of the tolerance that is used. The rest covers what the gateways admit before they
/// hear of each other, and the time between admission and the backend server's start of work.
const TOLERANCE_SHARE: f64 = 0.55;
/// Part of the tolerance that a process uses while it does not know what was admitted before
/// its start. A fleet that was killed as a whole is away for a second or more, and what leaves
/// the window meanwhile is about half of the tolerance where usage was even.
const INCOMPLETE_TOLERANCE_SHARE: f64 = 0.4;
/// Time after such a start from which the quota is granted again, little by little. Accounts use
/// a window unevenly: on a grown site one had used 3 in 100 more than its even part.
const RAMP_DELAY: Duration = Duration::from_secs(1);

/// Part of an account's quota that this gateway may use, as it hears from its peers.
#[derive(Clone, Copy, Debug)]
pub struct Scope {
    /// Gateways that may serve the account.
    pub serving: usize,
    /// Those among them whose usage is known, this one included.
    pub reporting: usize,
}

impl Scope {
    /// A gateway that can't hear some of the others leaves them their part of the quota.
    fn share(self) -> f64 {
        self.reporting as f64 / self.serving.max(self.reporting).max(1) as f64
    }
}

/// How a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Within the published quota.
    Within,
    /// Within the tolerance only.
    Beyond,
}

/// Usage of one account in the window.
#[derive(Clone, Debug, Default)]
struct Usage {
    /// Units by the time of their slice, the oldest first.
    slices: VecDeque<(Instant, f64)>,
    sum: f64,
    /// Units admitted by this process since its start.
    admitted_here: f64,
}

impl Usage {
    fn add(&mut self, now: Instant, units: f64) {
        self.sum += units;
        match self.slices.back_mut() {
            Some((at, sum)) if now.since(*at) < SLICE_DURATION => *sum += units,
            _ => self.slices.push_back((now, units)),
        }
    }

    fn expire(&mut self, now: Instant, window: Duration) {
        while let Some((at, units)) = self.slices.front().copied() {
            if now.since(at) <= window + SLICE_DURATION {
                break;
            }
            self.sum -= units;
            self.slices.pop_front();
        }
        if self.slices.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Returns the units in equal parts of the window, the latest first.
    fn parts(&self, now: Instant, window: Duration) -> Vec<f32> {
        let mut parts = vec![0.0; HISTORY_PARTS as usize];
        for (at, units) in &self.slices {
            let part = now.since(*at).as_secs_f64() / window.as_secs_f64();
            let part = (part * f64::from(HISTORY_PARTS)) as usize;
            parts[part.min(HISTORY_PARTS as usize - 1)] += *units as f32;
        }
        parts
    }

    /// Adds what a peer knows of the window beyond what is known here, which is the latest of
    /// it. Each part counts as used at its end, so that none leaves the window too early.
    fn merge_history(&mut self, now: Instant, window: Duration, parts: &[f32]) {
        let mut known = self.sum.max(0.0);
        let step = window / HISTORY_PARTS;
        for (index, units) in parts.iter().take(HISTORY_PARTS as usize).enumerate() {
            let units = f64::from(*units);
            let covered = known.min(units).max(0.0);
            known -= covered;
            let age = (step * index as u32).as_micros() as u64;
            self.sum += units - covered;
            self.slices.push_back((Instant(now.0.saturating_sub(age)), units - covered));
        }
        self.slices.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    /// Returns when `excess` units will have left the window.
    fn time_until_freed(&self, now: Instant, window: Duration, excess: f64) -> Duration {
        let mut left = excess;
        for (at, units) in &self.slices {
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
    started: Instant,
    /// Whether the usage of the whole window is known: this is the fleet's first start, a peer
    /// told it, or the process is older than the window.
    complete: bool,
    usages: HashMap<Bytes, Usage>,
    /// Account names by the hash that peers use.
    names: HashMap<u64, Bytes>,
    /// Usage that peers last reported, by process and account.
    reported: HashMap<(u64, u64), f64>,
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

impl Quotas {
    /// Returns quotas without usage. `complete` says that nothing was admitted before.
    pub fn new(now: Instant, complete: bool) -> Quotas {
        Quotas {
            started: now,
            complete,
            usages: HashMap::new(),
            names: HashMap::new(),
            reported: HashMap::new(),
        }
    }

    /// Takes a request's units, or returns when enough will be there.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if the account used what it may.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &Account,
        units: f64,
        scope: Scope,
        bounds: &Bounds,
    ) -> Result<Admission, Duration> {
        if account.rate <= 0.0 {
            return Ok(Admission::Within);
        }
        let window = bounds.quota_window;
        let share = scope.share();
        // What was admitted before the start is taken to be the quota, spread over the window.
        let known = match self.is_complete(now, window) {
            true => 1.0,
            false => now.since(self.started + RAMP_DELAY).as_secs_f64() / window.as_secs_f64(),
        };
        let tolerance_share =
            if known < 1.0 { INCOMPLETE_TOLERANCE_SHARE } else { TOLERANCE_SHARE };
        let full = (account.rate * window.as_secs_f64() + account.burst) * share;
        let tolerance =
            (full * bounds.quota_overage + bounds.quota_slack * share) * tolerance_share;
        let quota = full * known;
        let usage = self.usage_mut(&account.name);
        usage.expire(now, window);
        let total = usage.sum + units;
        if total > quota + tolerance {
            let excess = total - quota - tolerance;
            return Err(usage.time_until_freed(now, window, excess).clamp(MIN_WAIT, MAX_WAIT));
        }
        usage.add(now, units);
        usage.admitted_here += units;
        Ok(if total <= quota { Admission::Within } else { Admission::Beyond })
    }

    /// Gives back the units of a request that has not run.
    pub fn refund(&mut self, now: Instant, account: &Bytes, units: f64) {
        if let Some(usage) = self.usages.get_mut(account) {
            usage.add(now, -units);
            usage.admitted_here -= units;
        }
    }

    /// Returns whether the usage of the whole window is known.
    pub fn is_complete(&mut self, now: Instant, window: Duration) -> bool {
        self.complete = self.complete || now.since(self.started) >= window;
        self.complete
    }

    /// Takes what a peer admitted since its last report.
    ///
    /// Before the accounts are known a report can't be counted, and what a later one says covers
    /// it.
    pub fn record_report(&mut self, now: Instant, peer: &message::Message, window: Duration) {
        if self.names.is_empty() {
            return;
        }
        for usage in &peer.usage {
            let key = (peer.process, usage.account);
            let last = self.reported.insert(key, usage.admitted);
            let Some(name) = self.names.get(&usage.account).cloned() else { continue };
            // The counter of a process that was not heard before includes what has left the
            // window, unless the process is younger than that.
            let unknown = if peer.age < window { 0.0 } else { usage.admitted };
            self.usage_mut(&name).add(now, usage.admitted - last.unwrap_or(unknown));
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

    /// Forgets a process that is gone.
    pub fn remove_process(&mut self, process: u64) {
        self.reported.retain(|(from, _), _| *from != process);
    }

    /// Returns an account's units in the window.
    pub fn used(&self, account: &Bytes) -> Option<f64> {
        self.usages.get(account).map(|usage| usage.sum)
    }

    /// Returns the usage for peers.
    pub fn usage(&self) -> Vec<message::Usage> {
        let used = self.names.iter().filter_map(|(hash, name)| {
            let usage = self.usages.get(name)?;
            (usage.admitted_here != 0.0)
                .then_some(message::Usage { account: *hash, admitted: usage.admitted_here })
        });
        used.collect()
    }

    /// Returns the usage of the window for a process that has just started, if it is known here.
    pub fn history(&mut self, now: Instant, window: Duration) -> Option<Vec<message::History>> {
        if !self.is_complete(now, window) {
            return None;
        }
        let used = self.names.iter().filter_map(|(hash, name)| {
            let usage = self.usages.get(name).filter(|usage| usage.sum > 0.0)?;
            Some(message::History { account: *hash, parts: usage.parts(now, window) })
        });
        Some(used.collect())
    }

    /// Names the accounts, so that peers' reports are understood before the first request.
    pub fn set_accounts<'a>(&mut self, accounts: impl Iterator<Item = &'a Account>) {
        for account in accounts {
            self.names.insert(hash(&account.name), account.name.clone());
        }
    }

    fn usage_mut(&mut self, name: &Bytes) -> &mut Usage {
        self.usages.entry(name.clone()).or_default()
    }
}

/// Returns the hash by which gateways name an account or a backend server to each other.
pub fn hash(name: &[u8]) -> u64 {
    // FNV-1a: stable across processes, which the standard library's hasher is not.
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.iter().fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
