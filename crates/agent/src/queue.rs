//! Queue of offers: strict by tier, within a tier deficit round robin over accounts.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use slotmap::{SlotMap, new_key_type};
use wire::{request, tier, time::Instant};

use crate::Link;

/// Tokens an account of share 1 may send in one round. Around one typical prompt, so that
/// accounts alternate request by request.
const QUANTUM_TOKENS: i64 = 1024;

new_key_type! {
    /// Names a queued offer.
    pub(crate) struct Key;
}

/// Where a queued offer waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    Short,
    Long,
    /// Waits for an isolated run.
    Isolated,
    /// Waits for a request of equal fingerprint to end.
    Parked,
}

/// A queued offer.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) link: Link,
    pub(crate) head: request::Head,
    pub(crate) deadline: Instant,
    /// When the deadline is checked next.
    pub(crate) check_at: Instant,
    pub(crate) lane: Lane,
    /// Position in arrival order.
    seq: u64,
    /// Tokens counted against the queue's bound.
    charge: u64,
}

impl Entry {
    fn cost(&self) -> i64 {
        i64::from(self.head.prompt_tokens.max(1))
    }
}

#[derive(Debug, Default)]
struct Account {
    short: BTreeMap<u64, Key>,
    long: BTreeMap<u64, Key>,
    deficit: i64,
    /// Whether this turn's quantum was added.
    granted: bool,
}

impl Account {
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
struct Level {
    all: BTreeMap<u64, Key>,
    accounts: BTreeMap<Bytes, Account>,
    ring: VecDeque<Bytes>,
}

impl Level {
    /// Returns the offer whose turn it is.
    fn turn(
        &mut self,
        entries: &SlotMap<Key, Entry>,
        share: &dyn Fn(&Bytes) -> u32,
    ) -> Option<Key> {
        // After the first cycle whole rounds are added at once, so the second one finds a turn.
        for _ in 0..2 {
            for _ in 0..self.ring.len() {
                let name = self.ring.front()?;
                let account = self.accounts.get_mut(name)?;
                let key = account.oldest()?;
                let cost = entries[key].cost();
                if !account.granted {
                    account.granted = true;
                    account.deficit += quantum(share(name));
                }
                if account.deficit >= cost {
                    return Some(key);
                }
                account.granted = false;
                self.ring.rotate_left(1);
            }
            self.add_rounds(entries, share);
        }
        None
    }

    fn add_rounds(&mut self, entries: &SlotMap<Key, Entry>, share: &dyn Fn(&Bytes) -> u32) {
        let missing = |name: &Bytes, account: &Account| {
            let cost = account.oldest().map_or(0, |key| entries[key].cost());
            let quantum = quantum(share(name));
            (cost - account.deficit + quantum - 1) / quantum
        };
        let rounds = self.accounts.iter().map(|(name, a)| missing(name, a)).min().unwrap_or(0);
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
    levels: BTreeMap<tier::Tier, Level>,
    isolated: BTreeMap<(tier::Tier, u64), Key>,
    parked: BTreeMap<(u64, u64), Key>,
    tokens: u64,
    next_seq: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
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
        self.levels.iter().map(|(tier, level)| (*tier, level.all.len()))
    }

    /// Returns every queued offer, the oldest of the highest tier first.
    pub(crate) fn keys(&self) -> Vec<Key> {
        self.levels.values().flat_map(|level| level.all.values().copied()).collect()
    }

    /// Returns whether an offer of this charge is within the bounds.
    pub(crate) fn has_room(&self, charge: u64, max: usize, max_tokens: u64) -> bool {
        self.entries.len() < max && self.tokens + charge <= max_tokens
    }

    pub(crate) fn push(
        &mut self,
        link: Link,
        head: request::Head,
        deadline: Instant,
        lane: Lane,
        charge: u64,
    ) -> Key {
        self.next_seq += 1;
        let seq = self.next_seq;
        let tier = head.tier;
        let entry = Entry { link, head, deadline, check_at: deadline, lane, seq, charge };
        let key = self.entries.insert(entry);
        self.tokens += charge;
        self.levels.entry(tier).or_default().all.insert(seq, key);
        self.link_lane(key);
        key
    }

    /// Moves an offer to another lane, keeping its place in arrival order.
    pub(crate) fn set_lane(&mut self, key: Key, lane: Lane) {
        if self.entries.contains_key(key) {
            self.unlink_lane(key);
            self.entries[key].lane = lane;
            self.link_lane(key);
        }
    }

    fn link_lane(&mut self, key: Key) {
        let Entry { head, lane, seq, .. } = &self.entries[key];
        if *lane == Lane::Isolated {
            self.isolated.insert((head.tier, *seq), key);
            return;
        }
        if *lane == Lane::Parked {
            self.parked.insert((head.fingerprint, *seq), key);
            return;
        }
        let level = self.levels.entry(head.tier).or_default();
        if !level.accounts.contains_key(&head.account) {
            level.ring.push_back(head.account.clone());
        }
        let account = level.accounts.entry(head.account.clone()).or_default();
        let list = if *lane == Lane::Short { &mut account.short } else { &mut account.long };
        list.insert(*seq, key);
    }

    fn unlink_lane(&mut self, key: Key) {
        let Entry { head, lane, seq, .. } = &self.entries[key];
        if *lane == Lane::Isolated {
            self.isolated.remove(&(head.tier, *seq));
            return;
        }
        if *lane == Lane::Parked {
            self.parked.remove(&(head.fingerprint, *seq));
            return;
        }
        let Some(level) = self.levels.get_mut(&head.tier) else { return };
        let Some(account) = level.accounts.get_mut(&head.account) else { return };
        account.short.remove(seq);
        account.long.remove(seq);
        if account.len() == 0 {
            level.accounts.remove(&head.account);
            level.ring.retain(|name| *name != head.account);
        }
    }

    /// Removes an offer without charging its account.
    pub(crate) fn remove(&mut self, key: Key) -> Option<Entry> {
        if !self.entries.contains_key(key) {
            return None;
        }
        self.unlink_lane(key);
        let entry = self.entries.remove(key)?;
        self.tokens -= entry.charge;
        if let Some(level) = self.levels.get_mut(&entry.head.tier) {
            level.all.remove(&entry.seq);
            if level.all.is_empty() {
                self.levels.remove(&entry.head.tier);
            }
        }
        Some(entry)
    }

    /// Removes an offer that is served and charges its account.
    pub(crate) fn take(&mut self, key: Key) -> Option<Entry> {
        let entry = self.entries.get(key)?;
        let cost = entry.cost();
        let level = self.levels.get_mut(&entry.head.tier)?;
        if let Some(account) = level.accounts.get_mut(&entry.head.account) {
            account.deficit -= cost;
        }
        self.remove(key)
    }

    /// Returns the offer to serve next, if it fits. `fits` is asked with `passing` set for a
    /// short offer that would pass a long one; it may then use the short share only. Nothing
    /// passes an offer of a higher tier.
    pub(crate) fn pick(
        &mut self,
        share: &dyn Fn(&Bytes) -> u32,
        fits: &dyn Fn(&Entry, bool) -> bool,
    ) -> Option<Key> {
        let level = self.levels.values_mut().find(|level| !level.ring.is_empty())?;
        let key = level.turn(&self.entries, share)?;
        let entry = &self.entries[key];
        if fits(entry, false) {
            return Some(key);
        }
        if entry.lane == Lane::Short {
            return None;
        }
        let shorts =
            level.ring.iter().filter_map(|name| level.accounts[name].short.values().next());
        shorts.copied().find(|key| fits(&self.entries[*key], true))
    }

    /// Returns the newest offer of the lowest tier below `tier`.
    pub(crate) fn newest_below(&self, tier: tier::Tier) -> Option<Key> {
        let (lowest, level) = self.levels.last_key_value()?;
        if !tier.outranks(*lowest) {
            return None;
        }
        level.all.values().next_back().copied()
    }

    /// Returns the newest offer of the account that holds most of a tier for its share, if
    /// `account` would hold less than it with one offer more.
    pub(crate) fn newest_of_largest(
        &self,
        tier: tier::Tier,
        account: &Bytes,
        share: &dyn Fn(&Bytes) -> u32,
    ) -> Option<Key> {
        let level = self.levels.get(&tier)?;
        let weigh = |name: &Bytes, extra: usize| {
            let len = level.accounts.get(name).map_or(0, Account::len) + extra;
            len as u64 * 1000 / u64::from(share(name).max(1))
        };
        let largest = level.ring.iter().max_by_key(|name| weigh(name, 0))?;
        if largest == account || weigh(largest, 0) <= weigh(account, 1) {
            return None;
        }
        level.accounts[largest].newest()
    }

    /// Returns the first offer that waits for an isolated run.
    pub(crate) fn first_isolated(&self) -> Option<Key> {
        self.isolated.values().next().copied()
    }

    pub(crate) fn isolated_len(&self) -> usize {
        self.isolated.len()
    }

    /// Returns whether offers other than those for isolated runs wait to be served.
    pub(crate) fn has_ordinary(&self) -> bool {
        self.levels.values().any(|level| !level.ring.is_empty())
    }

    /// Returns the first offer parked for a fingerprint.
    pub(crate) fn first_parked(&self, fingerprint: u64) -> Option<Key> {
        self.parked.range((fingerprint, 0)..=(fingerprint, u64::MAX)).next().map(|(_, key)| *key)
    }
}
