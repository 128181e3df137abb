//! Sources of the published state: the store, or a peer that has confirmed it.
//!
//! Requests to the store are charged, and the store may refuse some hosts. Some gateways watch the
//! store and the others query their peers. Datagrams may be delayed without limit, so a reply
//! confirms the state as of the time of the query minus the age that the peer states.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use wire::time::Instant;

use crate::message::{Query, Reply, StoreEntry, View};

/// Number of gateways that watch the store, since each of them may lose the connection to it.
const MAX_WATCHERS: usize = 4;
/// Age of the state in force from which a peer is queried. A watch of the store returns after a
/// second at most, so the reply of a peer that watches it lowers the age.
const QUERY_AGE: Duration = Duration::from_millis(600);
/// Time between two queries.
const QUERY_PERIOD: Duration = Duration::from_millis(200);
/// Age of the state in force from which a gateway reads the store itself: twice the age that the
/// state reaches at gateways that watch the store.
const STORE_READ_AGE: Duration = Duration::from_millis(2200);
/// Time after its receipt for which a peer's view is used, and time after its last read for which a
/// gateway counts as watching the store.
const VIEW_TIMEOUT: Duration = Duration::from_millis(2500);
/// Peers that are sent the view at once when the revision rises. Each of them that lacks the changes
/// gets them from here and does the same, so that all have them within a few such steps.
pub const MAX_ANNOUNCEMENTS: usize = 8;
/// Classes of links from one to another that is twice as wide.
const LINK_CLASSES_PER_DOUBLING: f64 = 8.0;
/// Position of the class of the link in a process number, which has it in its highest bits.
const LINK_CLASS_SHIFT: u32 = u64::BITS - u8::BITS;
/// Number of reads whose changes are kept for peers.
const MAX_LOG_CHUNKS: usize = 64;
/// Largest size of the changes in a reply by datagram.
pub const MAX_DATAGRAM_BYTES: usize = 12 << 10;
/// Largest size of the changes in a reply over a connection, enough for a configuration of some
/// thousand routes.
pub const MAX_FETCHED_BYTES: usize = 4 << 20;

/// Returns the number that identifies a run of a process on a host with this link. `random` tells
/// runs apart. The gateways with the lowest numbers read the store, so those with wide links have
/// lower ones: a large change is received sooner there, and sent to others sooner.
pub fn process_number(link_mbps: f64, random: u64) -> u64 {
    let class = (u8::MAX as f64 - LINK_CLASSES_PER_DOUBLING * link_mbps.max(1.0).log2()) as u8;
    u64::from(class) << LINK_CLASS_SHIFT | random >> u8::BITS
}

/// Changes between two revisions, as read from the store or a peer.
#[derive(Clone, Debug)]
struct Chunk {
    from: u64,
    to: u64,
    entries: Vec<StoreEntry>,
}

impl Chunk {
    fn size(&self) -> usize {
        size(&self.entries)
    }
}

/// A query without a reply yet.
#[derive(Clone, Copy, Debug)]
struct OpenQuery {
    token: u64,
    sent_at: Instant,
    /// Revision in force when the query was sent.
    revision: u64,
    peer: SocketAddr,
    /// Whether the query was sent over a connection.
    by_connection: bool,
}

/// What to do after a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    Install(Update),
    /// Query the peer again, over a connection: its reply by datagram was without the changes, for
    /// example since they don't fit.
    Fetch(SocketAddr, Query),
    /// Nothing: the reply is unsolicited, outdated or without the changes.
    Ignore,
}

/// Changes from a valid reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Revision to which the entries apply.
    pub from: u64,
    pub to: u64,
    pub entries: Vec<StoreEntry>,
    /// Time at which `to` is confirmed as the published revision.
    pub at: Instant,
}

/// Revision in force as an ordinal, which orders revisions of all eras of the store, the latest changes up to it, and the last reported views of peers.
#[derive(Clone, Debug, Default)]
pub struct Source {
    revision: Option<u64>,
    log: VecDeque<Chunk>,
    /// Time of this process's last read of the store.
    last_read: Option<Instant>,
    /// Whether a peer has a later revision but could not send the changes since the one in force.
    lacks_changes: bool,
    next_query_at: Instant,
    last_token: u64,
    open: Option<OpenQuery>,
    /// Last view of each peer, with the time of its receipt and the process that sent it.
    peers: HashMap<SocketAddr, (Instant, u64, View)>,
}

impl Source {
    /// Returns the revision of the state in force.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Records a read of the store. `entries` are the changes after `from`; if `from` is `None`,
    /// the whole state was read and the entries are not kept for peers.
    pub fn record_read(
        &mut self,
        now: Instant,
        from: Option<u64>,
        to: u64,
        entries: Vec<StoreEntry>,
    ) {
        self.last_read = Some(now);
        self.lacks_changes = false;
        self.advance(from, to, entries);
    }

    /// Records that the changes of a reply are in force.
    pub fn record_update(&mut self, from: u64, to: u64, entries: Vec<StoreEntry>) {
        self.advance(Some(from), to, entries);
    }

    fn advance(&mut self, from: Option<u64>, to: u64, entries: Vec<StoreEntry>) {
        let last = self.log.back().map(|chunk| chunk.to);
        if from.is_none() || last.is_some() && last != from {
            self.log.clear();
        }
        self.revision = Some(to);
        if let Some(from) = from.filter(|from| *from < to) {
            self.log.push_back(Chunk { from, to, entries });
            // Changes that don't fit in a reply are of no use to peers.
            while self.log.len() > MAX_LOG_CHUNKS || self.log_size() > MAX_FETCHED_BYTES {
                self.log.pop_front();
            }
        }
    }

    /// Returns the size of the changes that are kept for peers, in bytes.
    pub fn log_size(&self) -> usize {
        self.log.iter().map(Chunk::size).sum()
    }

    /// Returns the view that is sent to peers in each message.
    pub fn view(&self, now: Instant, age: Option<Duration>) -> Option<View> {
        let (revision, age) = (self.revision?, age?);
        let reads = self.last_read.is_some_and(|at| now.since(at) < VIEW_TIMEOUT);
        Some(View { revision, age, reads })
    }

    /// Returns the latest time at which a peer that is received had confirmed its state.
    pub fn confirmed_by_peers_at(&self, now: Instant) -> Option<Instant> {
        let recent = self.peers.values().filter(|(at, _, _)| now.since(*at) < VIEW_TIMEOUT);
        let confirmed_at = |received_at: &Instant, view: &View| {
            Instant(received_at.0.saturating_sub(view.age.as_micros() as u64))
        };
        recent.map(|(received_at, _, view)| confirmed_at(received_at, view)).max()
    }

    /// Records the view in a peer's message.
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

    /// Returns whether this process has to read the store: it is one of those that watch it, which
    /// are the ones with the lowest process numbers, or peers can't provide the state.
    pub fn must_read_store(&self, now: Instant, process: u64, age: Option<Duration>) -> bool {
        let is_old = age.is_none_or(|age| age > STORE_READ_AGE);
        if self.revision.is_none() || self.lacks_changes || is_old {
            return true;
        }
        let earlier_watchers = self.peers.values().filter(|(received_at, peer, view)| {
            now.since(*received_at) < VIEW_TIMEOUT && view.reads && *peer < process
        });
        earlier_watchers.count() < MAX_WATCHERS
    }

    /// Returns a query and its peer, if a query is due.
    pub fn next_query(
        &mut self,
        now: Instant,
        own_address: Option<SocketAddr>,
        age: Option<Duration>,
        rng: &mut fastrand::Rng,
    ) -> Option<(SocketAddr, Query)> {
        let is_fetching = self.open.is_some_and(|open| open.by_connection);
        if is_fetching || now < self.next_query_at {
            return None;
        }
        let (revision, from) = (self.revision?, own_address?);
        let current_age = |received_at: Instant, view: &View| view.age + now.since(received_at);
        let fresh: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, (received_at, _, view))| {
                now.since(*received_at) < VIEW_TIMEOUT && view.revision >= revision
            })
            .map(|(address, (received_at, _, view))| {
                (*address, current_age(*received_at, view), *view)
            })
            .collect();
        let is_behind = fresh.iter().any(|(_, _, view)| view.revision > revision);
        let is_old = age.is_none_or(|age| age > QUERY_AGE);
        if !(is_old || is_behind) {
            return None;
        }
        let peer = match is_behind {
            // Those that have just got the changes are as good as those that read them.
            true => {
                let mut later = fresh;
                later.retain(|(_, _, view)| view.revision > revision);
                rng.choice(later)?.0
            }
            // The random part keeps the gateways from all querying the same peer.
            false => {
                let mut randomize = |age: Duration| age + QUERY_AGE.mul_f64(rng.f64() / 2.0);
                let scored = fresh.into_iter().map(|(peer, age, _)| (randomize(age), peer));
                scored.min()?.1
            }
        };
        self.next_query_at = now + QUERY_PERIOD;
        Some((peer, self.open_query(now, from, peer, revision, false)))
    }

    fn open_query(
        &mut self,
        now: Instant,
        from: SocketAddr,
        peer: SocketAddr,
        revision: u64,
        by_connection: bool,
    ) -> Query {
        self.last_token += 1;
        self.open =
            Some(OpenQuery { token: self.last_token, sent_at: now, revision, peer, by_connection });
        Query { token: self.last_token, from, revision }
    }

    /// Returns the reply to a peer's query.
    pub fn reply(&self, query: &Query, age: Option<Duration>, max_bytes: usize) -> Option<Reply> {
        let (revision, age) = (self.revision?, age?);
        let entries = self.changes(query.revision, revision, max_bytes);
        Some(Reply { token: query.token, revision, age, entries })
    }

    /// Returns the changes from revision `after` to `revision`, only the last one of each key.
    /// `None` if they are not available or exceed `max_bytes`.
    fn changes(&self, after: u64, revision: u64, max_bytes: usize) -> Option<Vec<StoreEntry>> {
        if after >= revision {
            return Some(Vec::new());
        }
        if self.log.front().is_none_or(|chunk| chunk.from > after) {
            return None;
        }
        let chunks = self.log.iter().filter(|chunk| chunk.to > after);
        let entries = chunks.flat_map(|chunk| chunk.entries.iter().cloned());
        let last = last_entry_per_key(entries.collect());
        (size(&last) <= max_bytes).then_some(last)
    }

    /// Records that a query over a connection has no reply, so that a peer is queried again. Until
    /// then it may be answered: how long that takes depends on the size of the reply.
    pub fn record_fetch_failure(&mut self, now: Instant, token: u64) {
        if self.open.take_if(|open| open.token == token).is_some() {
            self.next_query_at = now + QUERY_PERIOD;
        }
    }

    /// Processes a reply to the open query.
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
                let at = Instant(open.sent_at.0.saturating_sub(age));
                let to = reply.revision.max(open.revision);
                Decision::Install(Update { from: open.revision, to, entries, at })
            }
            (None, Some(own_address)) if !open.by_connection => {
                let query = self.open_query(now, own_address, open.peer, open.revision, true);
                Decision::Fetch(open.peer, query)
            }
            (None, _) => {
                self.lacks_changes = true;
                Decision::Ignore
            }
        }
    }
}

/// Returns the size of keys and values, in bytes.
fn size(entries: &[StoreEntry]) -> usize {
    entries.iter().map(|entry| entry.key.len() + entry.value.len()).sum()
}

/// Returns the entries with only the last one of each key.
fn last_entry_per_key(entries: Vec<StoreEntry>) -> Vec<StoreEntry> {
    let mut at: HashMap<Bytes, usize> = HashMap::new();
    let mut last: Vec<Option<StoreEntry>> = Vec::new();
    for entry in entries {
        if let Some(old) = at.insert(entry.key.clone(), last.len()) {
            last[old] = None;
        }
        last.push(Some(entry));
    }
    last.into_iter().flatten().collect()
}
