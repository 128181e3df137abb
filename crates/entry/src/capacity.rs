//! Capacity of the entry: open requests, bytes of stored bodies and the requests that one of a
//! higher tier may displace.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use wire::tier;

use crate::open_request;

/// Capacity that one request uses.
#[derive(Clone, Debug)]
pub struct Usage {
    pub key: open_request::Key,
    pub tier: tier::Tier,
    /// Sequence number of the request; a higher one is newer.
    pub seq: u64,
    pub body_len: u64,
    pub account: Bytes,
}

/// Capacity in use.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    open_count: usize,
    stored_bytes: u64,
    open_by_account: HashMap<Bytes, u32>,
    /// Requests without a grant and the lengths of their bodies; the last is the newest of the
    /// lowest tier.
    waiting: BTreeMap<(tier::Tier, u64), (open_request::Key, u64)>,
    /// Requests without a grant in the same order, for each account.
    waiting_by_account: HashMap<Bytes, BTreeMap<(tier::Tier, u64), open_request::Key>>,
    waiting_by_tier: BTreeMap<tier::Tier, u64>,
}

/// Result of the capacity check of a new request.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// Open requests that the new one displaces.
    pub displaced: Vec<open_request::Key>,
    /// Whether there is capacity for the new request once these are closed.
    pub fits: bool,
}

impl Capacity {
    /// Adds an open request, which waits for a grant.
    pub fn add_request(&mut self, usage: &Usage) {
        self.open_count += 1;
        self.stored_bytes += usage.body_len;
        *self.open_by_account.entry(usage.account.clone()).or_default() += 1;
        self.add_waiting(usage);
    }

    /// Removes an open request, which must not be waiting any more and whose body must have been
    /// dropped.
    pub fn remove_request(&mut self, account: &Bytes) {
        self.open_count -= 1;
        if let Some(count) = self.open_by_account.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.open_by_account.remove(account);
            }
        }
    }

    /// Releases the bytes of a body that was dropped.
    pub fn release_bytes(&mut self, body_len: u64) {
        self.stored_bytes -= body_len;
    }

    /// Adds a request to those without a grant.
    pub fn add_waiting(&mut self, usage: &Usage) {
        let value = (usage.key, usage.body_len);
        let order = (usage.tier, usage.seq);
        self.waiting_by_account.entry(usage.account.clone()).or_default().insert(order, usage.key);
        if self.waiting.insert(order, value).is_none() {
            *self.waiting_by_tier.entry(usage.tier).or_default() += 1;
        }
    }

    /// Removes a request from those without a grant.
    pub fn remove_waiting(&mut self, usage: &Usage) {
        let order = (usage.tier, usage.seq);
        if let Some(waiting) = self.waiting_by_account.get_mut(&usage.account) {
            waiting.remove(&order);
            if waiting.is_empty() {
                self.waiting_by_account.remove(&usage.account);
            }
        }
        if self.waiting.remove(&order).is_some() {
            *self.waiting_by_tier.entry(usage.tier).or_default() -= 1;
        }
    }

    /// Returns whether a new request fits under the limits and which requests of lower tiers it
    /// displaces, newest of the lowest tier first. If it does not fit, all of them are displaced,
    /// since no request of a lower tier may stay open when one of a higher tier is refused.
    ///
    /// `limits` are the maximum number of open requests and the maximum number of bytes of stored
    /// bodies. `displaced` are requests that the new one displaces already, since its account is at
    /// its limit, with the bytes that they free.
    pub fn plan_admission(
        &self,
        tier: tier::Tier,
        body_len: u64,
        limits: (u32, u64),
        displaced: (Vec<open_request::Key>, u64),
    ) -> Admission {
        let (max_open, max_bytes) = limits;
        let waiting = self.waiting.iter().rev();
        let mut lower = waiting.take_while(|((other, _), _)| tier.outranks(*other));
        let (displaced, freed) = displaced;
        let (mut open, mut bytes) = (self.open_count - displaced.len(), self.stored_bytes - freed);
        let mut admission = Admission { displaced, fits: false };
        loop {
            admission.fits = open < max_open as usize && bytes + body_len <= max_bytes;
            if admission.fits {
                return admission;
            }
            let Some((_, &(key, freed))) = lower.next() else { return admission };
            if admission.displaced.contains(&key) {
                continue;
            }
            admission.displaced.push(key);
            open -= 1;
            bytes -= freed;
        }
    }

    /// Returns the account's newest request without a grant in the lowest tier that has any, and the
    /// length of its body, if that tier is below `tier`.
    pub fn newest_waiting_below(
        &self,
        account: &[u8],
        tier: tier::Tier,
    ) -> Option<(open_request::Key, u64)> {
        let (order, _) = self.waiting_by_account.get(account)?.last_key_value()?;
        let lowest = self.waiting.get(order)?;
        tier.outranks(order.0).then_some(*lowest)
    }

    /// Returns the number of open requests of an account.
    pub fn open_for_account(&self, account: &[u8]) -> u32 {
        self.open_by_account.get(account).copied().unwrap_or(0)
    }

    /// Returns the number of open requests.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns the number of requests without a grant, by tier.
    pub fn waiting_by_tier(&self) -> &BTreeMap<tier::Tier, u64> {
        &self.waiting_by_tier
    }

    /// Returns the number of requests without a grant.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
}
