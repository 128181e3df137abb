//! Where the published state is learned from: the store, or a peer that vouches for it.
//!
//! Calls of the store are paid for, and it may turn some hosts away. Some gateways watch it and
//! the others ask peers. Datagrams may be delayed without bound, so an answer counts from the
//! moment of the question, less the age that the peer states.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use wire::time::Instant;

use crate::message::{Entry, Query, Reply, View};

/// Gateways that watch the store; each of them may lose it.
const READERS: usize = 4;
/// Age of the confirmation from which a peer is asked. A watch returns after a second at most,
/// so the answer makes it younger.
const QUERY_AGE: Duration = Duration::from_millis(600);
/// Time between two questions.
const QUERY_PERIOD: Duration = Duration::from_millis(200);
/// Age from which a gateway reads the store itself; twice what peers that watch it have.
const OWN_AGE: Duration = Duration::from_millis(2200);
/// Time after its last reading for which a gateway counts as one that watches.
const READING: Duration = Duration::from_millis(2500);
/// Readings whose changes are kept for peers.
const MAX_LOG: usize = 64;
/// Largest changes in an answer by datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 12 << 10;
/// Largest changes in an answer over a connection, in bytes: configurations of some thousand
/// routes.
pub const MAX_FETCHED_BYTES: usize = 4 << 20;
/// Time for an answer over a connection before a peer is asked again.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Changes between two revisions.
#[derive(Clone, Debug)]
struct Chunk {
    from: u64,
    to: u64,
    entries: Vec<Entry>,
}

/// A question that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct Open {
    token: u64,
    at: Instant,
    revision: u64,
    peer: SocketAddr,
    /// Asked over a connection.
    fetches: bool,
}

/// What an answer means.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    Install(Update),
    /// The changes are large: the peer has to be asked over a connection.
    Fetch(SocketAddr, Query),
    /// It answers no open question, or brings nothing.
    Ignore,
}

/// What a valid answer brings.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Revision from which the entries go on.
    pub from: u64,
    pub to: u64,
    pub entries: Vec<Entry>,
    /// Time at which `to` was the published revision.
    pub at: Instant,
}

/// Knowledge of revisions.
#[derive(Clone, Debug, Default)]
pub struct Source {
    revision: Option<u64>,
    log: VecDeque<Chunk>,
    /// The last own reading of the store.
    read: Option<Instant>,
    /// A peer knows more and can't tell it.
    behind: bool,
    next_query_at: Instant,
    tokens: u64,
    open: Option<Open>,
    peers: HashMap<SocketAddr, (Instant, u64, View)>,
}

impl Source {
    /// Returns the revision of the state in force.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Notes what was read from the store, after `from`, or as a whole.
    pub fn record_read(&mut self, now: Instant, from: Option<u64>, to: u64, entries: Vec<Entry>) {
        self.read = Some(now);
        self.behind = false;
        self.advance(from, to, entries);
    }

    /// Notes that the changes of an answer are in force.
    pub fn record_update(&mut self, from: u64, to: u64, entries: Vec<Entry>) {
        self.advance(Some(from), to, entries);
    }

    fn advance(&mut self, from: Option<u64>, to: u64, entries: Vec<Entry>) {
        let last = self.log.back().map(|chunk| chunk.to);
        if from.is_none() || last.is_some() && last != from {
            self.log.clear();
        }
        self.revision = Some(to);
        if let Some(from) = from.filter(|from| *from < to) {
            self.log.push_back(Chunk { from, to, entries });
            if self.log.len() > MAX_LOG {
                self.log.pop_front();
            }
        }
    }

    /// Returns what peers are told in each message.
    pub fn view(&self, now: Instant, age: Option<Duration>) -> Option<View> {
        let (revision, age) = (self.revision?, age?);
        let reads = self.read.is_some_and(|at| now.since(at) < READING);
        Some(View { revision, age, reads })
    }

    /// Notes what a peer tells in its messages.
    pub fn record_view(
        &mut self,
        now: Instant,
        from: SocketAddr,
        process: u64,
        view: Option<View>,
    ) {
        match view {
            Some(view) => {
                self.peers.insert(from, (now, process, view));
            }
            None => {
                self.peers.remove(&from);
            }
        }
    }

    /// Returns whether this process has to read the store: it is one of those that watch it, or
    /// no peer keeps its knowledge young.
    pub fn must_read_store(&self, now: Instant, process: u64, age: Option<Duration>) -> bool {
        let is_old = age.is_none_or(|age| age > OWN_AGE);
        if self.revision.is_none() || self.behind || is_old {
            return true;
        }
        let before = self.peers.values().filter(|(received_at, peer, view)| {
            now.since(*received_at) < READING && view.reads && *peer < process
        });
        before.count() < READERS
    }

    /// Returns a question for a peer, if one is due.
    pub fn next_query(
        &mut self,
        now: Instant,
        own_address: Option<SocketAddr>,
        age: Option<Duration>,
        random: &mut fastrand::Rng,
    ) -> Option<(SocketAddr, Query)> {
        if now < self.next_query_at {
            return None;
        }
        let (revision, from) = (self.revision?, own_address?);
        let estimate = |received_at: Instant, view: &View| view.age + now.since(received_at);
        let fresh: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, (received_at, _, view))| {
                now.since(*received_at) < READING && view.revision >= revision
            })
            .map(|(address, (received_at, _, view))| {
                (*address, estimate(*received_at, view), *view)
            })
            .collect();
        let is_behind = fresh.iter().any(|(_, _, view)| view.revision > revision);
        let is_old = age.is_none_or(|age| age > QUERY_AGE);
        if !(is_old || is_behind) {
            return None;
        }
        let candidates =
            fresh.into_iter().filter(|(_, _, view)| view.revision > revision || !is_behind);
        // The spread keeps gateways from asking the same peer.
        let spread =
            |age: Duration, random: &mut fastrand::Rng| age + QUERY_AGE.mul_f64(random.f64() / 2.0);
        let scored: Vec<_> = candidates.map(|(peer, age, _)| (spread(age, random), peer)).collect();
        let (_, peer) = scored.into_iter().min()?;
        self.next_query_at = now + QUERY_PERIOD;
        Some((peer, self.open_query(now, from, peer, revision, false)))
    }

    fn open_query(
        &mut self,
        now: Instant,
        from: SocketAddr,
        peer: SocketAddr,
        revision: u64,
        fetches: bool,
    ) -> Query {
        self.tokens += 1;
        self.open = Some(Open { token: self.tokens, at: now, revision, peer, fetches });
        Query { token: self.tokens, from, revision }
    }

    /// Returns the answer to a peer's question.
    pub fn reply(&self, query: &Query, age: Option<Duration>, max_bytes: usize) -> Option<Reply> {
        let (revision, age) = (self.revision?, age?);
        let entries = self.changes(query.revision, revision, max_bytes);
        Some(Reply { token: query.token, revision, age, entries })
    }

    /// Returns the changes after a revision, the last of each key, if they are known and fit.
    fn changes(&self, after: u64, revision: u64, max_bytes: usize) -> Option<Vec<Entry>> {
        if after >= revision {
            return Some(Vec::new());
        }
        if self.log.front().is_none_or(|chunk| chunk.from > after) {
            return None;
        }
        let chunks = self.log.iter().filter(|chunk| chunk.to > after);
        let entries = chunks.flat_map(|chunk| chunk.entries.iter().cloned());
        let last = last_of_each(entries.collect());
        let size: usize = last.iter().map(|entry| entry.key.len() + entry.value.len()).sum();
        (size <= max_bytes).then_some(last)
    }

    /// Takes an answer to the open question.
    pub fn process_reply(
        &mut self,
        now: Instant,
        own_address: Option<SocketAddr>,
        reply: Reply,
    ) -> Decision {
        let Some(open) = self.open.take_if(|open| open.token == reply.token) else {
            return Decision::Ignore;
        };
        if self.revision != Some(open.revision) {
            return Decision::Ignore;
        }
        match (reply.entries, own_address) {
            (Some(entries), _) => {
                let age = reply.age.as_micros() as u64;
                let at = Instant(open.at.0.saturating_sub(age));
                let to = reply.revision.max(open.revision);
                Decision::Install(Update { from: open.revision, to, entries, at })
            }
            (None, Some(own_address)) if !open.fetches => {
                self.next_query_at = now + FETCH_TIMEOUT;
                let query = self.open_query(now, own_address, open.peer, open.revision, true);
                Decision::Fetch(open.peer, query)
            }
            (None, _) => {
                self.behind = true;
                Decision::Ignore
            }
        }
    }
}

/// Returns the entries with only the last one of each key.
fn last_of_each(entries: Vec<Entry>) -> Vec<Entry> {
    let mut at: HashMap<Bytes, usize> = HashMap::new();
    let mut last: Vec<Option<Entry>> = Vec::new();
    for entry in entries {
        if let Some(old) = at.insert(entry.key.clone(), last.len()) {
            last[old] = None;
        }
        last.push(Some(entry));
    }
    last.into_iter().flatten().collect()
}
