//! Memory and connections that the callers of one process may take together, and who gives way when
//! they are scarce.
//!
//! What a connection takes is counted as long as it takes it: the head and body of a request, the
//! response until the caller has read it, and some bytes for the connection itself. If there is no
//! room for more, connections that wait for their callers are closed, first those that have taken
//! the most for the longest. An ordinary caller sends its request and reads the response within
//! milliseconds, so it gives way last. Requests that the process has as a whole don't give way: they
//! may run.

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use wire::time::Instant;

/// Bytes that an open connection takes beside its request and response: the buffers of the HTTP
/// library and the task that serves it.
pub const CONNECTION_BYTES: u64 = 32 << 10;
/// Size from which a connection takes much.
const LARGE_BYTES: u64 = 256 << 10;
/// Part of the memory for connections that take much. The rest is for ordinary ones.
const LARGE_SHARE: f64 = 0.75;
/// Time without progress after which a response that its caller doesn't read may be cut.
const MIN_STALL: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a connection.
    pub struct Key;
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its caller, which has not sent a whole request.
    Request,
    /// The process, which has one.
    Answer,
    /// Its caller, which has not read what was sent.
    Delivery,
}

impl Stage {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Request => "request",
            Stage::Answer => "answer",
            Stage::Delivery => "delivery",
        }
    }
}

/// Most that callers may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub bytes: u64,
    pub connections: usize,
}

/// What one connection takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    pub stage: Stage,
    /// Time since which it is at this stage, or of its last progress.
    pub since: Instant,
    pub bytes: u64,
}

impl Share {
    /// Returns whether the connection may be closed for others.
    fn gives_way(&self, now: Instant) -> bool {
        match self.stage {
            Stage::Request => true,
            Stage::Answer => false,
            Stage::Delivery => now.since(self.since) >= MIN_STALL,
        }
    }

    /// Returns the bytes times the microseconds for which they were taken.
    fn weight(&self, now: Instant) -> u128 {
        u128::from(self.bytes) * now.since(self.since).as_micros().max(1)
    }
}

/// A connection that has to be closed for others, with what it took.
pub type Closed = (Key, Share);

/// There is no room, and nobody who gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// What all connections take.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    used: u64,
    shares: SlotMap<Key, Share>,
}

impl Budget {
    /// Returns a budget without connections.
    pub fn new(limits: Limits) -> Budget {
        Budget { limits, used: 0, shares: SlotMap::with_key() }
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the bytes that connections take.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.shares.len()
    }

    /// Adds a connection. Returns those that have to be closed for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for it.
    pub fn open(&mut self, now: Instant) -> Result<(Key, Vec<Closed>), Full> {
        let heaviest = match self.shares.len() < self.limits.connections {
            true => None,
            false => {
                let heaviest = self.candidates(now).max_by_key(|(_, share)| share.weight(now));
                Some(heaviest.ok_or(Full)?)
            }
        };
        let share = Share { stage: Stage::Request, since: now, bytes: 0 };
        let key = self.shares.insert(share);
        let mut closed = match self.take(now, key, CONNECTION_BYTES) {
            Ok(closed) => closed,
            Err(full) => {
                self.shares.remove(key);
                return Err(full);
            }
        };
        if let Some((heaviest, share)) = heaviest
            && self.close(heaviest).is_some()
        {
            closed.push((heaviest, share));
        }
        Ok((key, closed))
    }

    /// Takes more bytes for a connection. Returns those that have to be closed for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, since those that take more don't give way. Nothing is
    /// taken then, and nobody is closed.
    pub fn take(&mut self, now: Instant, key: Key, bytes: u64) -> Result<Vec<Closed>, Full> {
        let Some(mut own) = self.shares.get(key).copied() else { return Err(Full) };
        if own.stage == Stage::Request && own.bytes <= CONNECTION_BYTES {
            // A request begins. The connection may have been idle for long before.
            own.since = now;
        }
        let after = own.bytes + bytes;
        let limit = match after > LARGE_BYTES {
            true => (self.limits.bytes as f64 * LARGE_SHARE) as u64,
            false => self.limits.bytes,
        };
        let mut missing = (self.used + bytes).saturating_sub(limit);
        let mut chosen = Vec::new();
        if missing > 0 {
            let own_weight = Share { bytes: after, ..own }.weight(now);
            let mut others: Vec<Closed> =
                self.candidates(now).filter(|(other, _)| *other != key).collect();
            others.sort_unstable_by_key(|(_, share)| share.weight(now));
            while missing > 0 {
                let heavier = others.pop().filter(|(_, share)| share.weight(now) >= own_weight);
                let (other, share) = heavier.ok_or(Full)?;
                missing = missing.saturating_sub(share.bytes);
                chosen.push((other, share));
            }
        }
        for (other, _) in &chosen {
            self.close(*other);
        }
        if let Some(share) = self.shares.get_mut(key) {
            *share = Share { bytes: after, ..own };
        }
        self.used += bytes;
        Ok(chosen)
    }

    /// Gives back bytes of a connection.
    pub fn give_back(&mut self, key: Key, bytes: u64) {
        if let Some(share) = self.shares.get_mut(key) {
            let bytes = bytes.min(share.bytes);
            share.bytes -= bytes;
            self.used -= bytes;
        }
    }

    /// Gives back all that a connection took for its last request, which waits for the next one.
    pub fn finish(&mut self, now: Instant, key: Key) {
        if let Some(share) = self.shares.get(key).copied() {
            self.give_back(key, share.bytes.saturating_sub(CONNECTION_BYTES));
            self.enter(now, key, Stage::Request);
        }
    }

    /// Records the stage of a connection, or its progress at the same one.
    pub fn enter(&mut self, now: Instant, key: Key, stage: Stage) {
        if let Some(share) = self.shares.get_mut(key) {
            (share.stage, share.since) = (stage, now);
        }
    }

    /// Removes a connection and returns what it took.
    pub fn close(&mut self, key: Key) -> Option<Share> {
        let share = self.shares.remove(key)?;
        self.used -= share.bytes;
        Some(share)
    }

    fn candidates(&self, now: Instant) -> impl Iterator<Item = Closed> {
        let shares = self.shares.iter().map(|(key, share)| (key, *share));
        shares.filter(move |(_, share)| share.gives_way(now))
    }
}
