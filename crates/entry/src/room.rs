//! Capacity of the entry: open requests, bytes of held bodies and the requests that a
//! higher tier may displace.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use wire::tier;

use crate::flight;

/// What a request occupies.
#[derive(Clone, Debug)]
pub struct Seat {
    pub key: flight::Key,
    pub tier: tier::Tier,
    /// Number of the request; a higher one is newer.
    pub seq: u64,
    pub body_len: u64,
    pub account: Bytes,
}

/// What is occupied.
#[derive(Clone, Debug, Default)]
pub struct Room {
    open: usize,
    held_bytes: u64,
    by_account: HashMap<Bytes, u32>,
    /// Requests without a grant; the last is the newest of the lowest tier.
    waiting: BTreeMap<(tier::Tier, u64), (flight::Key, u64)>,
    /// The same for each account.
    waiting_of: HashMap<Bytes, BTreeMap<(tier::Tier, u64), flight::Key>>,
    by_tier: BTreeMap<tier::Tier, u64>,
}

/// Which requests an arrival displaces.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub displaced: Vec<flight::Key>,
    /// Whether the arrival has room after that.
    pub fits: bool,
}

impl Room {
    /// Opens a request that waits for a grant.
    pub fn open(&mut self, seat: &Seat) {
        self.open += 1;
        self.held_bytes += seat.body_len;
        *self.by_account.entry(seat.account.clone()).or_default() += 1;
        self.wait(seat);
    }

    /// Closes a request that does not wait any more and whose body was released.
    pub fn close(&mut self, account: &Bytes) {
        self.open -= 1;
        if let Some(count) = self.by_account.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.by_account.remove(account);
            }
        }
    }

    /// Gives back the bytes of a body.
    pub fn release(&mut self, body_len: u64) {
        self.held_bytes -= body_len;
    }

    /// Adds a request to those without a grant.
    pub fn wait(&mut self, seat: &Seat) {
        let value = (seat.key, seat.body_len);
        let order = (seat.tier, seat.seq);
        self.waiting_of.entry(seat.account.clone()).or_default().insert(order, seat.key);
        if self.waiting.insert(order, value).is_none() {
            *self.by_tier.entry(seat.tier).or_default() += 1;
        }
    }

    /// Removes a request from those without a grant.
    pub fn leave(&mut self, seat: &Seat) {
        let order = (seat.tier, seat.seq);
        if let Some(waiting) = self.waiting_of.get_mut(&seat.account) {
            waiting.remove(&order);
            if waiting.is_empty() {
                self.waiting_of.remove(&seat.account);
            }
        }
        if self.waiting.remove(&order).is_some() {
            *self.by_tier.entry(seat.tier).or_default() -= 1;
        }
    }

    /// Returns whether an arrival fits under the limits and which requests of lower tiers,
    /// newest of the lowest first, it displaces. If it does not fit, all of them are
    /// displaced, since none may be kept when a higher tier is refused.
    ///
    /// `displaced` are requests that the arrival displaces already.
    pub fn admit(
        &self,
        tier: tier::Tier,
        body_len: u64,
        limits: (u32, u64),
        displaced: Vec<flight::Key>,
    ) -> Verdict {
        let (max_open, max_bytes) = limits;
        let waiting = self.waiting.iter().rev();
        let mut lower = waiting.take_while(|((other, _), _)| tier.outranks(*other));
        let (mut open, mut bytes) = (self.open - displaced.len(), self.held_bytes);
        let mut verdict = Verdict { displaced, fits: false };
        loop {
            verdict.fits = open < max_open as usize && bytes + body_len <= max_bytes;
            if verdict.fits {
                return verdict;
            }
            let Some((_, &(key, freed))) = lower.next() else { return verdict };
            if verdict.displaced.contains(&key) {
                bytes -= freed;
                continue;
            }
            verdict.displaced.push(key);
            open -= 1;
            bytes -= freed;
        }
    }

    /// Returns the newest request without a grant of an account's lowest tier, if that is below
    /// `tier`.
    pub fn newest_below(&self, account: &[u8], tier: tier::Tier) -> Option<flight::Key> {
        let ((lowest, _), key) = self.waiting_of.get(account)?.last_key_value()?;
        tier.outranks(*lowest).then_some(*key)
    }

    /// Returns the number of open requests of an account.
    pub fn of_account(&self, account: &[u8]) -> u32 {
        self.by_account.get(account).copied().unwrap_or(0)
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.open
    }

    /// Returns the number of requests without a grant, by tier.
    pub fn queued(&self) -> &BTreeMap<tier::Tier, u64> {
        &self.by_tier
    }

    /// Returns the number of requests without a grant.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
