//! Queue of offers: strict priority by tier, deficit round robin over the accounts of a tier.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use slotmap::{SlotMap, new_key_type};
use wire::{request, tier, time::Instant};

use crate::Link;

/// Tokens that an account with share 1 may use in one round. About one typical prompt, so that
/// accounts alternate request by request.
const QUANTUM_TOKENS: i64 = 1024;

new_key_type! {
    /// Key of a queued offer.
    pub(crate) struct Key;
}

/// How a queued offer is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    Short,
    Long,
    /// Waits for an exclusive run.
    Exclusive,
    /// Waits for a request with the same fingerprint to end.
    Blocked,
}

/// A queued offer.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) link: Link,
    pub(crate) head: request::Head,
    pub(crate) queued_at: Instant,
    pub(crate) deadline: Instant,
    /// When the deadline is checked next.
    pub(crate) check_at: Instant,
    pub(crate) class: Class,
    /// Position in arrival order.
    seq: u64,
    /// Tokens counted against the token limit of the queue.
    counted_tokens: u64,
}

impl Entry {
    fn cost(&self) -> i64 {
        i64::from(self.head.prompt_tokens.max(1))
    }
}

#[derive(Debug, Default)]
struct AccountQueue {
    short: BTreeMap<u64, Key>,
    long: BTreeMap<u64, Key>,
    deficit: i64,
    /// Whether the quantum of the present turn was added.
    quantum_added: bool,
}

impl AccountQueue {
    fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    fn oldest(&self) -> Option<Key> {
        let short = self.short.first_key_value();
        let long = self.long.first_key_value();
        [short, long].into_iter().flatten().min().map(|(_, key)| *key)
    }

    fn newest(&self) -> Option<Key> {
        let short = self.short.last_key_value();
        let long = self.long.last_key_value();
        [short, long].into_iter().flatten().max().map(|(_, key)| *key)
    }
}

/// Offers of one tier.
#[derive(Debug, Default)]
struct TierQueue {
    /// Offers of any class in arrival order.
    offers: BTreeMap<u64, Key>,
    accounts: BTreeMap<Bytes, AccountQueue>,
    /// Accounts with short or long offers, the one whose turn it is first.
    rotation: VecDeque<Bytes>,
}

impl TierQueue {
    /// Returns the offer that is next by deficit round robin.
    fn next_by_deficit(
        &mut self,
        entries: &SlotMap<Key, Entry>,
        share: &dyn Fn(&Bytes) -> u32,
    ) -> Option<Key> {
        // If no account's deficit covers its oldest offer after one cycle, the missing rounds are
        // added at once, so the second cycle finds an offer.
        for _ in 0..2 {
            for _ in 0..self.rotation.len() {
                let name = self.rotation.front()?;
                let account = self.accounts.get_mut(name)?;
                let key = account.oldest()?;
                let cost = entries[key].cost();
                if !account.quantum_added {
                    account.quantum_added = true;
                    account.deficit += quantum(share(name));
                }
                if account.deficit >= cost {
                    return Some(key);
                }
                account.quantum_added = false;
                self.rotation.rotate_left(1);
            }
            self.add_rounds(entries, share);
        }
        None
    }

    /// Adds the quanta of the missing rounds except the last one, which the next cycle adds.
    fn add_rounds(&mut self, entries: &SlotMap<Key, Entry>, share: &dyn Fn(&Bytes) -> u32) {
        let missing_rounds = |name: &Bytes, account: &AccountQueue| {
            let cost = account.oldest().map_or(0, |key| entries[key].cost());
            let quantum = quantum(share(name));
            (cost - account.deficit + quantum - 1) / quantum
        };
        let rounds =
            self.accounts.iter().map(|(name, a)| missing_rounds(name, a)).min().unwrap_or(0);
        for (name, account) in &mut self.accounts {
            account.deficit += (rounds - 1).max(0) * quantum(share(name));
        }
    }
}

fn quantum(share: u32) -> i64 {
    QUANTUM_TOKENS * i64::from(share.max(1))
}

/// All queued offers.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: SlotMap<Key, Entry>,
    tiers: BTreeMap<tier::Tier, TierQueue>,
    exclusive: BTreeMap<(tier::Tier, u64), Key>,
    blocked: BTreeMap<(u64, u64), Key>,
    tokens: u64,
    next_seq: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of offers of a tier and the higher ones.
    pub(crate) fn count_to(&self, tier: tier::Tier) -> usize {
        self.tiers.range(..=tier).map(|(_, tier_queue)| tier_queue.offers.len()).sum()
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(crate) fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Returns the number of queued offers of each tier.
    pub(crate) fn by_tier(&self) -> impl Iterator<Item = (tier::Tier, usize)> + '_ {
        self.tiers.iter().map(|(tier, tier_queue)| (*tier, tier_queue.offers.len()))
    }

    /// Returns every queued offer, highest tier first and oldest first within a tier.
    pub(crate) fn keys(&self) -> Vec<Key> {
        self.tiers.values().flat_map(|tier_queue| tier_queue.offers.values().copied()).collect()
    }

    /// Returns whether an offer with these tokens fits into the limits.
    pub(crate) fn has_capacity(&self, counted_tokens: u64, max: usize, max_tokens: u64) -> bool {
        self.entries.len() < max && self.tokens + counted_tokens <= max_tokens
    }

    pub(crate) fn push(
        &mut self,
        now: Instant,
        link: Link,
        head: request::Head,
        deadline: Instant,
        class: Class,
        counted_tokens: u64,
    ) -> Key {
        self.next_seq += 1;
        let seq = self.next_seq;
        let tier = head.tier;
        let entry = Entry {
            link,
            head,
            queued_at: now,
            deadline,
            check_at: deadline,
            class,
            seq,
            counted_tokens,
        };
        let key = self.entries.insert(entry);
        self.tokens += counted_tokens;
        self.tiers.entry(tier).or_default().offers.insert(seq, key);
        self.add_to_index(key);
        key
    }

    /// Changes the class of an offer. Its position in arrival order stays.
    pub(crate) fn set_class(&mut self, key: Key, class: Class) {
        if self.entries.contains_key(key) {
            self.remove_from_index(key);
            self.entries[key].class = class;
            self.add_to_index(key);
        }
    }

    fn add_to_index(&mut self, key: Key) {
        let Entry { head, class, seq, .. } = &self.entries[key];
        if *class == Class::Exclusive {
            self.exclusive.insert((head.tier, *seq), key);
            return;
        }
        if *class == Class::Blocked {
            self.blocked.insert((head.fingerprint, *seq), key);
            return;
        }
        let tier_queue = self.tiers.entry(head.tier).or_default();
        if !tier_queue.accounts.contains_key(&head.account) {
            tier_queue.rotation.push_back(head.account.clone());
        }
        let account = tier_queue.accounts.entry(head.account.clone()).or_default();
        let list = if *class == Class::Short { &mut account.short } else { &mut account.long };
        list.insert(*seq, key);
    }

    fn remove_from_index(&mut self, key: Key) {
        let Entry { head, class, seq, .. } = &self.entries[key];
        if *class == Class::Exclusive {
            self.exclusive.remove(&(head.tier, *seq));
            return;
        }
        if *class == Class::Blocked {
            self.blocked.remove(&(head.fingerprint, *seq));
            return;
        }
        let Some(tier_queue) = self.tiers.get_mut(&head.tier) else { return };
        let Some(account) = tier_queue.accounts.get_mut(&head.account) else { return };
        account.short.remove(seq);
        account.long.remove(seq);
        if account.len() == 0 {
            tier_queue.accounts.remove(&head.account);
            tier_queue.rotation.retain(|name| *name != head.account);
        }
    }

    /// Removes an offer without charging its account.
    pub(crate) fn remove(&mut self, key: Key) -> Option<Entry> {
        if !self.entries.contains_key(key) {
            return None;
        }
        self.remove_from_index(key);
        let entry = self.entries.remove(key)?;
        self.tokens -= entry.counted_tokens;
        if let Some(tier_queue) = self.tiers.get_mut(&entry.head.tier) {
            tier_queue.offers.remove(&entry.seq);
            if tier_queue.offers.is_empty() {
                self.tiers.remove(&entry.head.tier);
            }
        }
        Some(entry)
    }

    /// Removes an offer that is granted a slot and charges its account.
    pub(crate) fn remove_served(&mut self, key: Key) -> Option<Entry> {
        let entry = self.entries.get(key)?;
        let cost = entry.cost();
        let tier_queue = self.tiers.get_mut(&entry.head.tier)?;
        if let Some(account) = tier_queue.accounts.get_mut(&entry.head.account) {
            account.deficit -= cost;
        }
        self.remove(key)
    }

    /// Returns the offer to serve next, if it fits. If it is long and does not fit, a short one of
    /// the same tier may pass it: `fits` is called for the short one with `passing` set. No offer
    /// passes one of a higher tier.
    pub(crate) fn select(
        &mut self,
        share: &dyn Fn(&Bytes) -> u32,
        fits: &dyn Fn(&Entry, bool) -> bool,
    ) -> Option<Key> {
        let tier_queue =
            self.tiers.values_mut().find(|tier_queue| !tier_queue.rotation.is_empty())?;
        let key = tier_queue.next_by_deficit(&self.entries, share)?;
        let entry = &self.entries[key];
        if fits(entry, false) {
            return Some(key);
        }
        if entry.class == Class::Short {
            return None;
        }
        let shorts = tier_queue
            .rotation
            .iter()
            .filter_map(|name| tier_queue.accounts[name].short.values().next());
        shorts.copied().find(|key| fits(&self.entries[*key], true))
    }

    /// Returns the newest offer of the lowest tier below `tier`.
    pub(crate) fn newest_below(&self, tier: tier::Tier) -> Option<Key> {
        let (lowest, tier_queue) = self.tiers.last_key_value()?;
        if !tier.outranks(*lowest) {
            return None;
        }
        tier_queue.offers.values().next_back().copied()
    }

    /// Returns the newest offer of the account with the most queued offers of a tier relative to
    /// its share. Returns `None` unless `account` stays below that account with one more offer.
    pub(crate) fn newest_of_largest(
        &self,
        tier: tier::Tier,
        account: &Bytes,
        share: &dyn Fn(&Bytes) -> u32,
    ) -> Option<Key> {
        let tier_queue = self.tiers.get(&tier)?;
        let weighted_len = |name: &Bytes, extra: usize| {
            let len = tier_queue.accounts.get(name).map_or(0, AccountQueue::len) + extra;
            len as u64 * 1000 / u64::from(share(name).max(1))
        };
        let largest = tier_queue.rotation.iter().max_by_key(|name| weighted_len(name, 0))?;
        if largest == account || weighted_len(largest, 0) <= weighted_len(account, 1) {
            return None;
        }
        tier_queue.accounts[largest].newest()
    }

    /// Returns the first offer that waits for an exclusive run.
    pub(crate) fn first_exclusive(&self) -> Option<Key> {
        self.exclusive.values().next().copied()
    }

    pub(crate) fn exclusive_len(&self) -> usize {
        self.exclusive.len()
    }

    /// Returns whether offers are queued that need no exclusive run and are not blocked.
    pub(crate) fn has_ordinary_offers(&self) -> bool {
        self.tiers.values().any(|tier_queue| !tier_queue.rotation.is_empty())
    }

    /// Returns the first offer that waits for a request with this fingerprint to end.
    pub(crate) fn first_blocked(&self, fingerprint: u64) -> Option<Key> {
        self.blocked.range((fingerprint, 0)..=(fingerprint, u64::MAX)).next().map(|(_, key)| *key)
    }
}
