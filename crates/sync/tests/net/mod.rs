//! Simulated network, configuration service and host list in virtual time.

#![allow(dead_code, reason = "each test file uses a part of the network")]

mod service;

use std::{
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
};

use bytes::Bytes;
use conf::tree;
use sync::{Action, Event, Machine, Setup};
use wire::{id, sync::Exchange, time::Instant};

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;

/// Time in which an accepted revision has to reach every connected process.
const BOUND: u64 = 3 * SECOND;

pub type Revisions = BTreeMap<Bytes, u64>;

/// One process, replaced with a higher `run` when it restarts.
pub struct Node {
    machine: Machine,
    pub run: u64,
    pub group: u8,
    pub is_ready: bool,
    pub held: Revisions,
    pub tree: Arc<tree::Tree>,
    pub suspects: Vec<wire::sync::Suspect>,
    pub refusals: usize,
    pub refreshed: usize,
    next_tick: Option<u64>,
    /// What reachable seeds held when the process started.
    floor: Revisions,
}

enum Item {
    Tick { node: usize },
    Request { from: usize, to: usize, exchange: Exchange },
    Reply { from: usize, to: usize, run: u64, exchange: Exchange },
    Event { node: usize, run: u64, event: Event },
    ReadLimit { node: usize, run: u64, number: u64 },
    Check { layout: u64, holders: Vec<(usize, u64)>, floors: BTreeMap<u8, Revisions> },
}

#[derive(Default)]
pub struct Net {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub rng: fastrand::Rng,
    /// Messages lost, of 100.
    pub drop_percent: u32,
    pub service: service::Service,
    pub hosts: (u64, Bytes),
    pub hosts_up: bool,
    pub checks: u64,
    pub ready_checks: u64,
    pub reads: u64,
    pub host_reads: u64,
    seeds: usize,
    zones: usize,
    layout: u64,
    seen: Revisions,
    sequence: u64,
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    items: BTreeMap<u64, Item>,
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7000))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("not an address of this network") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl Net {
    /// Returns a network of `count` processes, the first `seeds` of which are seeds.
    pub fn new(seed: u64, count: usize, zones: usize, seeds: usize) -> Net {
        let rng = fastrand::Rng::with_seed(seed);
        let mut net = Net { now: SECOND, rng, hosts_up: true, seeds, zones, ..Net::default() };
        net.write("base", "[entry]\n");
        net.service.save();
        for node in 0..count {
            let fresh = net.fresh(node, 0);
            net.nodes.push(fresh);
        }
        net.set_hosts(1, count);
        (0..count).for_each(|node| net.act(node, Event::Start));
        net
    }

    fn fresh(&mut self, node: usize, run: u64) -> Node {
        let setup = Setup {
            process: id::Process(self.rng.u64(..)),
            host: Bytes::from(format!("h{node}")),
            availability_zone: Bytes::from(format!("z{}", node % self.zones)),
            address: address(node),
            seeds: (0..self.seeds).map(address).collect(),
            seed: self.rng.u64(..),
        };
        Node {
            machine: Machine::new(setup),
            run,
            group: 0,
            is_ready: false,
            held: Revisions::new(),
            tree: Arc::default(),
            suspects: Vec::new(),
            refusals: 0,
            refreshed: 0,
            next_tick: None,
            floor: Revisions::new(),
        }
    }

    /// Publishes a host list with the first `count` processes.
    pub fn set_hosts(&mut self, revision: u64, count: usize) {
        let text = |node: usize| {
            let (address, zone) = (address(node), node % self.zones);
            format!(
                r#"{{"host":"h{node}","role":"agent","address":"{address}","availability_zone":"z{zone}","state":"live"}}"#
            )
        };
        let list: Vec<String> = (0..count).map(text).collect();
        self.hosts = (revision, Bytes::from(format!("[{}]", list.join(","))));
    }

    /// Replaces a process by one that holds nothing.
    pub fn restart(&mut self, node: usize) {
        let (run, group) = (self.nodes[node].run + 1, self.nodes[node].group);
        let mut fresh = self.fresh(node, run);
        fresh.group = group;
        for seed in (0..self.seeds).filter(|seed| *seed != node) {
            let seed = &self.nodes[seed];
            if seed.group == group && seed.is_ready {
                raise(&mut fresh.floor, &seed.held);
            }
        }
        // What only the replaced process could tell others is not expected of them.
        self.nodes.iter_mut().filter(|other| !other.is_ready).for_each(|other| other.floor.clear());
        self.nodes[node] = fresh;
        self.act(node, Event::Start);
    }

    /// Splits the network; processes reach those of the same group only.
    pub fn partition(&mut self, group: impl Fn(usize) -> u8) {
        self.layout += 1;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.group = group(index);
            node.floor.clear();
        }
        self.expect_all();
    }

    /// Writes a branch in the service and returns its revision.
    pub fn write(&mut self, name: &str, text: &str) -> u64 {
        let revision = self.service.write(name, Some(text));
        self.answer_waiting();
        revision
    }

    pub fn delete(&mut self, name: &str) {
        self.service.write(name, None);
        self.answer_waiting();
    }

    /// Hands an event to a process.
    pub fn act(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].machine.handle(Instant(self.now), event, &mut actions);
        self.check_revisions(node);
        for action in actions {
            self.perform(node, action);
        }
        let due = self.nodes[node].machine.next_timer().map(|at| at.0);
        if due != self.nodes[node].next_tick {
            self.nodes[node].next_tick = due;
            if let Some(due) = due {
                assert!(due > self.now, "a timer that is due was left");
                self.post(due - self.now, Item::Tick { node });
            }
        }
    }

    pub fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(std::cmp::Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let item = self.items.remove(&number).unwrap();
            self.deliver(item);
        }
        self.now = end;
    }

    fn post(&mut self, delay: u64, item: Item) {
        self.sequence += 1;
        self.queue.push(std::cmp::Reverse((self.now + delay, self.sequence)));
        self.items.insert(self.sequence, item);
    }

    fn delay(&mut self) -> u64 {
        let slow = self.drop_percent > 0 && self.rng.u32(..100) < 5;
        if slow { self.rng.u64(5 * MS..250 * MS) } else { self.rng.u64(200..3 * MS) }
    }

    fn is_lost(&mut self, a: usize, b: usize) -> bool {
        self.nodes[a].group != self.nodes[b].group || self.rng.u32(..100) < self.drop_percent
    }

    fn post_event(&mut self, delay: u64, node: usize, event: Event) {
        let run = self.nodes[node].run;
        self.post(delay, Item::Event { node, run, event });
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Read { index, .. } => self.read(node, index),
            Action::ReadHosts => self.read_hosts(node),
            Action::Send { peer, exchange } => {
                let item = Item::Request { from: node, to: index(peer), exchange };
                let delay = self.delay();
                self.post(delay, item);
            }
            Action::Reply { link, exchange } => {
                let (to, run) = ((link >> 32) as usize, link & 0xffff_ffff);
                let delay = self.delay();
                self.post(delay, Item::Reply { from: node, to, run, exchange });
            }
            Action::Settings(tree) => self.nodes[node].tree = tree,
            Action::Suspects(new) => self.nodes[node].suspects.extend(new),
            Action::Refused { .. } => self.nodes[node].refusals += 1,
            Action::Refreshed => self.nodes[node].refreshed += 1,
            Action::Hosts(list) => assert!(!list.is_empty()),
            Action::Ready => {
                let node = &mut self.nodes[node];
                assert!(!node.is_ready, "ready twice");
                node.is_ready = true;
                self.ready_checks += u64::from(!node.floor.is_empty());
                assert_floor(&node.held, &node.floor, "ready with less than a reachable seed");
            }
        }
    }

    fn deliver(&mut self, item: Item) {
        match item {
            Item::Tick { node } => {
                if self.nodes[node].next_tick == Some(self.now) {
                    self.nodes[node].next_tick = None;
                    self.act(node, Event::Tick);
                }
            }
            Item::Request { from, to, exchange } => {
                if to >= self.nodes.len() || self.is_lost(from, to) {
                    return self.post_event(
                        200 * MS,
                        from,
                        Event::SendFailed { peer: address(to) },
                    );
                }
                let link = ((from as u64) << 32) | self.nodes[from].run;
                if self.drop_percent > 0 && self.rng.u32(..100) < 5 {
                    let exchange = exchange.clone();
                    self.post_event(20 * MS, to, Event::Received { link, exchange });
                }
                self.act(to, Event::Received { link, exchange });
            }
            Item::Reply { from, to, run, exchange } => {
                if self.is_lost(from, to) {
                    let peer = address(from);
                    self.post_event(200 * MS, to, Event::SendFailed { peer });
                } else if self.nodes[to].run == run {
                    self.act(to, Event::Replied { peer: address(from), exchange });
                }
            }
            Item::Event { node, run, event } => {
                if self.nodes[node].run == run {
                    self.act(node, event);
                }
            }
            Item::ReadLimit { node, run, number } => {
                if self.service.waiting.remove(&number).is_some() {
                    let event = self.service.answer();
                    self.post(0, Item::Event { node, run, event });
                }
            }
            Item::Check { layout, holders, floors } => self.check(layout, &holders, &floors),
        }
    }

    fn read(&mut self, node: usize, index: Option<u64>) {
        self.reads += 1;
        let run = self.nodes[node].run;
        let delay = self.delay();
        if !self.service.is_up(self.nodes[node].group) {
            return self.post_event(delay, node, Event::ReadFailed);
        }
        if index.is_none_or(|index| index < self.service.index()) {
            let event = self.service.answer();
            return self.post_event(delay, node, event);
        }
        self.sequence += 1;
        let number = self.sequence;
        self.service.waiting.insert(number, (node, run));
        self.post(10 * SECOND, Item::ReadLimit { node, run, number });
    }

    fn answer_waiting(&mut self) {
        if self.service.is_stale() {
            return;
        }
        for (_, (node, run)) in std::mem::take(&mut self.service.waiting) {
            if self.service.is_up(self.nodes[node].group) {
                let (delay, event) = (self.delay(), self.service.answer());
                self.post(delay, Item::Event { node, run, event });
            }
        }
    }

    fn read_hosts(&mut self, node: usize) {
        self.host_reads += 1;
        let (revision, text) = self.hosts.clone();
        let event = match self.hosts_up {
            true => Event::Hosts { revision, text },
            false => Event::HostsFailed,
        };
        let delay = self.delay();
        self.post_event(delay, node, event);
    }

    fn check_revisions(&mut self, node: usize) {
        let digest = self.nodes[node].machine.digest();
        let held: Revisions = digest.0.iter().cloned().collect();
        let old = std::mem::replace(&mut self.nodes[node].held, held);
        let held = &self.nodes[node].held;
        assert_floor(held, &old, "a revision went down");
        let mut is_new = false;
        for (name, revision) in held {
            let is_bad = self.service.bad.contains(&(name.clone(), *revision));
            assert!(!is_bad, "bad revision {revision} of {name:?} in force");
            if self.seen.get(name).is_none_or(|seen| seen < revision) {
                self.seen.insert(name.clone(), *revision);
                is_new = true;
            }
        }
        if is_new {
            self.expect_all();
        }
    }

    /// Expects that in 3 s each process holds what its group holds now.
    fn expect_all(&mut self) {
        let mut floors: BTreeMap<u8, Revisions> = BTreeMap::new();
        for node in &self.nodes {
            raise(floors.entry(node.group).or_default(), &node.held);
        }
        let holders = self.nodes.iter().map(|node| (node.group as usize, node.run)).collect();
        self.post(BOUND, Item::Check { layout: self.layout, holders, floors });
    }

    /// Checks one expectation. It is void after another partition, or after a restart, which
    /// may have taken the only holder.
    fn check(&mut self, layout: u64, before: &[(usize, u64)], floors: &BTreeMap<u8, Revisions>) {
        let same_runs = self.nodes.iter().zip(before).all(|(node, (_, run))| node.run == *run);
        if layout != self.layout || !same_runs || self.nodes.len() != before.len() {
            return;
        }
        self.checks += 1;
        for node in &self.nodes {
            assert_floor(&node.held, &floors[&node.group], "not everywhere within 3 s");
        }
    }
}

fn raise(floor: &mut Revisions, held: &Revisions) {
    for (name, revision) in held {
        let entry = floor.entry(name.clone()).or_default();
        *entry = (*entry).max(*revision);
    }
}

fn assert_floor(held: &Revisions, floor: &Revisions, message: &str) {
    for (name, revision) in floor {
        let has = held.get(name);
        assert!(has >= Some(revision), "{message}: {name:?} is {has:?}, not {revision}");
    }
}
