//! The peers of this process, and whether it is a watcher of its zone.

use std::{collections::BTreeSet, net::SocketAddr};

use bytes::Bytes;
use wire::host;
use xxhash_rust::xxh3;

use crate::{Setup, limit};

/// Processes to which this one may send exchanges.
#[derive(Debug)]
pub(crate) struct Peers {
    /// Hosts of the list in force and seeds, without this process. Seeds stay in the set so that a
    /// wrong host list can't isolate the process.
    peers: Vec<(Bytes, SocketAddr)>,
    /// Peers that have not had their turn for a digest exchange, the next one last.
    turns: Vec<SocketAddr>,
    is_watcher: bool,
    host_count: usize,
}

impl Peers {
    /// Returns the peers before a host list is in force.
    pub(crate) fn new(setup: &Setup) -> Peers {
        let mut peers =
            Peers { peers: Vec::new(), turns: Vec::new(), is_watcher: false, host_count: 0 };
        peers.update(setup, &[]);
        peers
    }

    /// Replaces the host list.
    pub(crate) fn update(&mut self, setup: &Setup, hosts: &[host::Record]) {
        let listed = hosts.iter().map(|record| (record.host.clone(), record.address));
        let seeds = setup.seeds.iter().map(|seed| (Bytes::new(), *seed));
        let mut seen = BTreeSet::from([setup.address]);
        self.peers = listed.chain(seeds).filter(|(_, address)| seen.insert(*address)).collect();
        self.turns.clear();
        self.host_count = hosts.len();
        self.is_watcher = is_watcher(setup, hosts);
    }

    /// Returns whether this process watches the service for its zone.
    pub(crate) fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Returns the number of hosts in the list in force.
    pub(crate) fn host_count(&self) -> usize {
        self.host_count
    }

    /// Returns the peer for the next digest exchange. Each peer has its turn before any has another
    /// one, in random order. A process that started without a reachable seed and host list depends
    /// on it, and independent choices could leave it out for long.
    pub(crate) fn next_turn(&mut self, rng: &mut fastrand::Rng) -> Option<SocketAddr> {
        if self.turns.is_empty() {
            self.turns = self.peers.iter().map(|(_, address)| *address).collect();
            rng.shuffle(&mut self.turns);
        }
        self.turns.pop()
    }

    /// Returns up to `count` distinct random peers, none of them on `excluded_host`.
    /// An empty name excludes none.
    pub(crate) fn choose(
        &self,
        rng: &mut fastrand::Rng,
        count: usize,
        excluded_host: &[u8],
    ) -> Vec<SocketAddr> {
        let is_allowed = |peer: &&(Bytes, SocketAddr)| peer.0.is_empty() || peer.0 != excluded_host;
        rng.choose_multiple(self.peers.iter().filter(is_allowed), count)
            .into_iter()
            .map(|(_, address)| *address)
            .collect()
    }
}

/// Returns whether the process is among the first of its zone in rendezvous order, hosts that
/// are leaving not counted. Before a host list is in force the seeds are watchers, or every
/// process if there are no seeds.
fn is_watcher(setup: &Setup, hosts: &[host::Record]) -> bool {
    if hosts.is_empty() {
        return setup.seeds.is_empty() || setup.seeds.contains(&setup.address);
    }
    let in_zone = |record: &&host::Record| {
        record.availability_zone == setup.availability_zone && record.state == host::State::Live
    };
    let score = |record: &host::Record| {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(&record.availability_zone);
        hasher.update(&[0]);
        hasher.update(&record.host);
        (hasher.digest(), record.address)
    };
    let mut order: Vec<_> = hosts.iter().filter(in_zone).map(score).collect();
    order.sort_unstable();
    order.iter().take(limit::WATCHERS_PER_ZONE).any(|(_, address)| *address == setup.address)
}
