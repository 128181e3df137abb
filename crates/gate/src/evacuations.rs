//! Availability zones that operators evacuate. Nothing more is sent to the backend servers of such a
//! zone until operators take it back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use wire::time::Instant;

/// Time for which an evacuation stays in force that a store which came back from an older copy
/// lacks. The operators' writes that the store lost are written again within it.
const RESTORED_GRACE: Duration = Duration::from_secs(10);
/// Most zones whose last end is kept. Deployments have up to four zones; the limit bounds the memory
/// if items with ever new names are written and removed.
const MAX_ENDED: usize = 64;

/// How a change of an evacuation became known, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An item was written or removed, as read from the store or a peer.
    Change,
    /// A read of all items has it, or lacks it.
    FullRead,
    /// The store came back from an older copy that lacks it, and it was not written again.
    OlderCopy,
}

impl Source {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Source::Change => "change",
            Source::FullRead => "full_read",
            Source::OlderCopy => "older_copy",
        }
    }
}

/// Begin or end of an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub zone: Bytes,
    pub source: Source,
    /// Time at which the evacuation began, if this is its end.
    pub ended_since: Option<Instant>,
}

/// An evacuation in force.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    since: Instant,
    /// Time until which it stays in force though the store lacks it.
    kept_until: Option<Instant>,
}

/// Evacuated zones, and when the evacuations of others ended.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    active: BTreeMap<Bytes, Evacuation>,
    ended: BTreeMap<Bytes, Instant>,
    /// Whether the next read of all items is of a store that came back from an older copy.
    is_restored: bool,
}

impl Evacuations {
    /// Applies an item that was written, or its removal. Returns what changes by that.
    pub fn apply(&mut self, now: Instant, zone: Bytes, is_active: bool) -> Option<Change> {
        match is_active {
            true => self.begin(now, zone, Source::Change),
            false => self.end(now, &zone, Source::Change),
        }
    }

    /// Applies a read of all items. After the store came back from an older copy, evacuations that
    /// the copy lacks stay in force for a while.
    pub fn replace_all(&mut self, now: Instant, zones: Vec<Bytes>) -> Vec<Change> {
        let is_restored = std::mem::take(&mut self.is_restored);
        let present: BTreeSet<Bytes> = zones.into_iter().collect();
        let absent = self.active.keys().filter(|zone| !present.contains(*zone));
        let absent: Vec<Bytes> = absent.cloned().collect();
        let mut changes = Vec::new();
        for zone in absent {
            let Some(evacuation) = self.active.get_mut(&zone) else { continue };
            if is_restored {
                evacuation.kept_until = Some(now + RESTORED_GRACE);
            } else if evacuation.kept_until.is_none() {
                changes.extend(self.end(now, &zone, Source::FullRead));
            }
        }
        for zone in present {
            changes.extend(self.begin(now, zone, Source::FullRead));
        }
        changes
    }

    /// Records that the store came back from an older copy.
    pub fn record_restore(&mut self) {
        self.is_restored = true;
    }

    /// Ends the evacuations that the store lost and that were not written again in time.
    /// `is_confirmed` returns whether the state in force was the published one at a time or later;
    /// an item that can't have been read yet may have been written.
    pub fn expire(&mut self, now: Instant, is_confirmed: impl Fn(Instant) -> bool) -> Vec<Change> {
        let is_due = |evacuation: &Evacuation| {
            evacuation.kept_until.is_some_and(|until| now >= until && is_confirmed(until))
        };
        let due = self.active.iter().filter(|(_, evacuation)| is_due(evacuation));
        let due: Vec<Bytes> = due.map(|(zone, _)| zone.clone()).collect();
        due.iter().filter_map(|zone| self.end(now, zone, Source::OlderCopy)).collect()
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &[u8]) -> bool {
        self.active.contains_key(zone)
    }

    /// Returns the evacuated zones, each with the time since which it is.
    pub fn iter(&self) -> impl Iterator<Item = (&Bytes, Instant)> {
        self.active.iter().map(|(zone, evacuation)| (zone, evacuation.since))
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Returns when the last evacuation of a zone ended, unless the zone is evacuated.
    pub fn ended_at(&self, zone: &[u8]) -> Option<Instant> {
        self.ended.get(zone).copied()
    }

    fn begin(&mut self, now: Instant, zone: Bytes, source: Source) -> Option<Change> {
        if let Some(evacuation) = self.active.get_mut(&zone) {
            evacuation.kept_until = None;
            return None;
        }
        self.ended.remove(&zone);
        self.active.insert(zone.clone(), Evacuation { since: now, kept_until: None });
        Some(Change { zone, source, ended_since: None })
    }

    fn end(&mut self, now: Instant, zone: &Bytes, source: Source) -> Option<Change> {
        let evacuation = self.active.remove(zone)?;
        if self.ended.len() >= MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(zone, _)| zone.clone());
            oldest.and_then(|zone| self.ended.remove(&zone));
        }
        self.ended.insert(zone.clone(), now);
        Some(Change { zone: zone.clone(), source, ended_since: Some(evacuation.since) })
    }
}
