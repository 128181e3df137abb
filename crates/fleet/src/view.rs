//! The arena of hosts, built from the host list and the drain orders.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use bytes::Bytes;
use slotmap::SlotMap;
use wire::host;
use xxhash_rust::xxh3;

slotmap::new_key_type! {
    /// Key of a host in a view; stays the same while the host is listed.
    pub struct Key;
}

/// One host.
#[derive(Clone, Debug)]
pub struct Host {
    pub record: host::Record,
    /// Whether a drain order names the host.
    pub drained: bool,
    /// Hash of the host's name, an input of placement.
    pub name_hash: u64,
}

impl Host {
    /// Returns whether the host takes no new work, by the host list or by a drain order.
    pub fn is_leaving(&self) -> bool {
        self.drained || self.record.state == host::State::Leaving
    }
}

/// The listed hosts in the view of this process.
#[derive(Clone, Debug, Default)]
pub struct View {
    hosts: SlotMap<Key, Host>,
    by_name: HashMap<Bytes, Key>,
    by_address: HashMap<SocketAddr, Key>,
    /// Agents of each pool in name order.
    pools: BTreeMap<Bytes, Vec<Key>>,
    drains: BTreeSet<Bytes>,
}

impl View {
    /// Replaces the host list. Hosts that remain keep their keys; of two records with the same
    /// name the first is used.
    pub fn set_hosts(&mut self, records: &[host::Record]) {
        let mut listed = BTreeMap::new();
        for record in records {
            listed.entry(&record.host).or_insert(record);
        }
        self.hosts.retain(|_, host| listed.contains_key(&host.record.host));
        self.by_name.retain(|name, _| listed.contains_key(name));
        for record in listed.into_values() {
            self.set_host(record);
        }
        self.rebuild_indexes();
    }

    fn set_host(&mut self, record: &host::Record) {
        if let Some(&key) = self.by_name.get(&record.host) {
            self.hosts[key].record = record.clone();
            return;
        }
        let drained = self.drains.contains(&record.host);
        let name_hash = xxh3::xxh3_64(&record.host);
        let key = self.hosts.insert(Host { record: record.clone(), drained, name_hash });
        self.by_name.insert(record.host.clone(), key);
    }

    fn rebuild_indexes(&mut self) {
        self.by_address.clear();
        self.pools.clear();
        for (key, host) in &self.hosts {
            self.by_address.insert(host.record.address, key);
            if host.record.role == host::Role::Agent {
                self.pools.entry(host.record.pool.clone()).or_default().push(key);
            }
        }
        for keys in self.pools.values_mut() {
            keys.sort_unstable_by(|&a, &b| {
                self.hosts[a].record.host.cmp(&self.hosts[b].record.host)
            });
        }
    }

    /// Replaces the set of hosts that drain orders name. An order for a host that is not listed
    /// takes effect when the host is listed.
    pub fn set_drains<'a>(&mut self, names: impl IntoIterator<Item = &'a Bytes>) {
        self.drains = names.into_iter().cloned().collect();
        for host in self.hosts.values_mut() {
            host.drained = self.drains.contains(&host.record.host);
        }
    }

    /// Returns a host, or `None` if it is no longer listed.
    pub fn get(&self, key: Key) -> Option<&Host> {
        self.hosts.get(key)
    }

    /// Returns the key of the host with this name.
    pub fn by_name(&self, name: &[u8]) -> Option<Key> {
        self.by_name.get(name).copied()
    }

    /// Returns the key of the host whose process listens at this address.
    pub fn by_address(&self, address: SocketAddr) -> Option<Key> {
        self.by_address.get(&address).copied()
    }

    /// Returns the agents of a pool in name order, leaving ones included.
    pub fn agents(&self, pool: &[u8]) -> &[Key] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a host is listed and takes new work.
    pub fn accepts_work(&self, key: Key) -> bool {
        self.get(key).is_some_and(|host| !host.is_leaving())
    }

    /// Returns the names of all pools that have agents.
    pub fn pools(&self) -> impl Iterator<Item = &Bytes> {
        self.pools.keys()
    }

    /// Returns all hosts.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Host)> {
        self.hosts.iter()
    }
}
