//! Quotas of accounts across all gateways, by usage that they tell each other.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use crate::{call::Call, catalog::Account};

/// Longest wait that a refused caller is told.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Shortest wait that a refused caller is told.
const MIN_WAIT: Duration = Duration::from_millis(200);

/// Part of an account's quota that this gateway may use, as it hears from its peers.
#[derive(Clone, Copy, Debug)]
pub struct Scope {
    /// Gateways that may serve the account.
    pub known: usize,
    /// Those among them whose usage is known, this one included.
    pub heard: usize,
}

impl Scope {
    /// A gateway that can't hear some of the others leaves them their part of the quota.
    fn share(self) -> f64 {
        self.heard as f64 / self.known.max(self.heard).max(1) as f64
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    refilled: Instant,
    /// Units admitted by this process since its start.
    used: f64,
}

/// Token buckets by account name.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    buckets: HashMap<Bytes, Bucket>,
    /// Bucket names by the hash that peers use.
    names: HashMap<u64, Bytes>,
    /// Usage that peers last reported, by process and account.
    reported: HashMap<(u64, u64), f64>,
}

/// Returns the units that a call takes from its account's quota.
pub fn cost(account: &Account, call: &Call) -> f64 {
    if !account.tokens {
        return 1.0;
    }
    match call.tokens {
        Some(tokens) => f64::from(tokens.prompt) + f64::from(tokens.max_output),
        None => account.plain_tokens,
    }
}

impl Quotas {
    /// Takes a call's units, or returns when enough will be there.
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
    ) -> Result<(), Duration> {
        if account.rate <= 0.0 {
            return Ok(());
        }
        let rate = account.rate * scope.share();
        let bucket = self.bucket(now, account, scope);
        if bucket.level <= 0.0 {
            let wait = Duration::from_secs_f64((units - bucket.level) / rate.max(1.0));
            return Err(wait.clamp(MIN_WAIT, MAX_WAIT));
        }
        bucket.level -= units;
        bucket.used += units;
        Ok(())
    }

    /// Gives back the units of a call that has not run.
    pub fn refund(&mut self, account: &Bytes, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += units;
            bucket.used -= units;
        }
    }

    /// Takes what a peer admitted since its last report.
    pub fn reported(&mut self, process: u64, usage: &[(u64, f64)]) {
        for &(account, used) in usage {
            let last = self.reported.insert((process, account), used).unwrap_or(0.0);
            let bucket = self.names.get(&account).and_then(|name| self.buckets.get_mut(name));
            if let Some(bucket) = bucket {
                bucket.level -= used - last;
            }
        }
    }

    /// Forgets a process that is gone.
    pub fn forget(&mut self, process: u64) {
        self.reported.retain(|(from, _), _| *from != process);
    }

    /// Returns the units left to an account.
    pub fn left(&self, account: &Bytes) -> Option<f64> {
        self.buckets.get(account).map(|bucket| bucket.level)
    }

    /// Returns this process's usage for its peers.
    pub fn usage(&self) -> Vec<(u64, f64)> {
        let used = self.names.iter().filter_map(|(hash, name)| {
            let used = self.buckets.get(name)?.used;
            (used != 0.0).then_some((*hash, used))
        });
        used.collect()
    }

    fn bucket(&mut self, now: Instant, account: &Account, scope: Scope) -> &mut Bucket {
        let share = scope.share();
        if !self.buckets.contains_key(&account.name) {
            self.names.insert(hash(&account.name), account.name.clone());
        }
        let full = account.burst.max(account.rate) * share;
        let bucket = self.buckets.entry(account.name.clone()).or_insert(Bucket {
            // A replaced process does not know what its predecessor admitted.
            level: full / 2.0,
            refilled: now,
            used: 0.0,
        });
        let refill = now.since(bucket.refilled).as_secs_f64() * account.rate * share;
        bucket.level = (bucket.level + refill).min(full);
        bucket.refilled = now;
        bucket
    }
}

/// Returns the hash by which gateways name an account or a replica to each other.
pub fn hash(name: &[u8]) -> u64 {
    // FNV-1a: stable across processes, which the standard library's hasher is not.
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.iter().fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
