//! Simulated network, configuration service and host list in virtual time.

use std::{cmp::Reverse, collections::BTreeMap, collections::BinaryHeap, time};

use bytes::Bytes;
use sync::{Action, Event, Machine, Setup};
use wire::{frame, id, sync::Exchange, time::Instant};

use crate::setup;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;
const SEEDS: usize = 5;
/// Accounts in each branch. A full set in each process would need too much memory for a large
/// fleet; `one` measures a process with all accounts.
const ACCOUNTS: usize = 2;
const KINDS: [&str; 7] = ["tick", "start", "read", "hosts", "received", "replied", "other"];

enum Item {
    Tick { node: usize },
    Request { from: usize, to: usize, exchange: Exchange },
    Reply { from: usize, to: usize, exchange: Exchange },
    Event { node: usize, event: Event },
    ReadLimit { node: usize, number: u64 },
}

struct Node {
    machine: Machine,
    list: Bytes,
    next_tick: Option<u64>,
    is_lost: bool,
    sent: u64,
    received: u64,
}

/// A revision on its way through the fleet.
struct Change {
    name: Bytes,
    revision: u64,
    at: u64,
    holders: Vec<bool>,
    left: usize,
}

/// What was counted since the last reset.
#[derive(Default)]
pub struct Counts {
    pub messages: u64,
    pub bytes: u64,
    pub watches: u64,
    pub other_reads: u64,
    pub read_bytes: u64,
    pub host_reads: u64,
    pub most_waiting: usize,
    pub spread_ms: Vec<u64>,
    /// Events and their processor time in nanoseconds, by kind.
    pub events: [(u64, u64); KINDS.len()],
}

pub struct Net {
    pub now: u64,
    pub counts: Counts,
    nodes: Vec<Node>,
    rng: fastrand::Rng,
    branches: Vec<wire::sync::Branch>,
    size: usize,
    index: u64,
    waiting: BTreeMap<u64, usize>,
    changes: Vec<Change>,
    is_cut: bool,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    items: BTreeMap<u64, Item>,
}

impl Net {
    pub fn new(count: usize, branches: usize, size: usize) -> Net {
        let mut rng = fastrand::Rng::with_seed(7);
        let branch = |number| setup::branch(number, ACCOUNTS, size, number as u64 + 1);
        let branches: Vec<_> = (0..branches).map(branch).collect();
        let nodes = (0..count).map(|node| Node::new(node, count, &mut rng)).collect();
        let mut net = Net {
            now: SECOND,
            counts: Counts::default(),
            nodes,
            rng,
            index: branches.len() as u64,
            branches,
            size,
            waiting: BTreeMap::new(),
            changes: Vec::new(),
            is_cut: false,
            sequence: 0,
            queue: BinaryHeap::new(),
            items: BTreeMap::new(),
        };
        (0..count).for_each(|node| net.act(node, Event::Start));
        net
    }

    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    pub fn pending(&self) -> usize {
        self.changes.len()
    }

    /// Returns the bytes sent and received by the busiest process.
    pub fn busiest(&self) -> u64 {
        self.nodes.iter().map(|node| node.sent + node.received).max().unwrap_or(0)
    }

    pub fn kinds(&self) -> impl Iterator<Item = (&'static str, u64, u64)> {
        KINDS.iter().zip(self.counts.events).map(|(kind, (count, ns))| (*kind, count, ns))
    }

    pub fn reset(&mut self) {
        self.changes.clear();
        self.reset_traffic();
    }

    pub fn reset_traffic(&mut self) {
        self.counts = Counts::default();
        self.nodes.iter_mut().for_each(|node| (node.sent, node.received) = (0, 0));
    }

    /// Cuts the regions into halves, or joins them. Only the first reaches the service.
    pub fn cut(&mut self, is_cut: bool) {
        self.is_cut = is_cut;
    }

    fn half(&self, node: usize) -> bool {
        self.is_cut && setup::region(node) >= setup::REGIONS / 2
    }

    /// Ends every process of a zone without telling the others.
    pub fn lose_zone(&mut self, zone: usize) {
        for (number, node) in self.nodes.iter_mut().enumerate() {
            node.is_lost |= setup::zone(number) == zone;
        }
    }

    /// Changes one branch in the service.
    pub fn change(&mut self) {
        self.index += 1;
        let number = self.rng.usize(..self.branches.len());
        let branch = setup::branch(number, ACCOUNTS, self.size, self.index);
        let holders: Vec<bool> = self.nodes.iter().map(|node| node.is_lost).collect();
        let left = holders.iter().filter(|held| !**held).count();
        let (name, revision) = (branch.name.clone(), branch.revision);
        self.changes.push(Change { name, revision, at: self.now, holders, left });
        self.branches[number] = branch;
        for (number, node) in std::mem::take(&mut self.waiting) {
            if self.half(node) {
                self.waiting.insert(number, node);
            } else {
                self.answer(node);
            }
        }
    }

    pub fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let item = self.items.remove(&number).expect("each queued number has an item");
            self.deliver(item);
        }
        self.now = end;
    }

    fn act(&mut self, node: usize, event: Event) {
        if self.nodes[node].is_lost {
            return;
        }
        let kind = kind(&event);
        let mut actions = Vec::new();
        let started = time::Instant::now();
        self.nodes[node].machine.handle(Instant(self.now), event, &mut actions);
        let spent = started.elapsed().as_nanos() as u64;
        let (count, total) = &mut self.counts.events[kind];
        *count += 1;
        *total += spent;
        self.note_held(node);
        for action in actions {
            self.perform(node, action);
        }
        let due = self.nodes[node].machine.next_timer().map(|at| at.0);
        if due != self.nodes[node].next_tick {
            self.nodes[node].next_tick = due;
            if let Some(due) = due {
                self.post(due.saturating_sub(self.now), Item::Tick { node });
            }
        }
    }

    fn note_held(&mut self, node: usize) {
        let digest = &self.nodes[node].machine.digest().0;
        for change in self.changes.iter_mut().filter(|change| !change.holders[node]) {
            let at = digest.binary_search_by(|(name, _)| name.cmp(&change.name));
            if at.is_ok_and(|at| digest[at].1 >= change.revision) {
                change.holders[node] = true;
                change.left -= 1;
            }
        }
        let now = self.now;
        let spread = &mut self.counts.spread_ms;
        self.changes.retain(|change| {
            if change.left == 0 {
                spread.push((now - change.at) / MS);
            }
            change.left > 0
        });
    }

    fn post(&mut self, delay: u64, item: Item) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.items.insert(self.sequence, item);
    }

    /// Returns a one-way delay: under a millisecond in a zone, some between zones of a region
    /// and tens between regions.
    fn delay(&mut self, a: usize, b: usize) -> u64 {
        if setup::region(a) != setup::region(b) {
            self.rng.u64(30 * MS..80 * MS)
        } else if setup::zone(a) != setup::zone(b) {
            self.rng.u64(500..2 * MS)
        } else {
            self.rng.u64(200..800)
        }
    }

    fn count_message(&mut self, from: usize, to: usize, exchange: &Exchange) {
        let bytes = frame::encode(exchange).len() as u64;
        self.counts.messages += 1;
        self.counts.bytes += bytes;
        self.nodes[from].sent += bytes;
        self.nodes[to].received += bytes;
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Read { index, wait } => self.read(node, index, wait.is_zero()),
            Action::ReadHosts => {
                self.counts.host_reads += 1;
                let text = self.nodes[node].list.clone();
                self.post(0, Item::Event { node, event: Event::Hosts { revision: 1, text } });
            }
            Action::Send { peer, exchange } => {
                let to = setup::index(peer);
                self.count_message(node, to, &exchange);
                let delay = self.delay(node, to);
                self.post(delay, Item::Request { from: node, to, exchange });
            }
            Action::Reply { link, exchange } => {
                let to = link as usize;
                self.count_message(node, to, &exchange);
                let delay = self.delay(node, to);
                self.post(delay, Item::Reply { from: node, to, exchange });
            }
            Action::Refused { branch, errors, .. } => panic!("{branch:?} refused: {errors:?}"),
            _ => {}
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
                if self.nodes[to].is_lost || self.half(from) != self.half(to) {
                    let event = Event::SendFailed { peer: setup::address(to) };
                    return self.post(2 * SECOND, Item::Event { node: from, event });
                }
                self.act(to, Event::Received { link: from as u64, exchange });
            }
            Item::Reply { from, to, exchange } => {
                self.act(to, Event::Replied { peer: setup::address(from), exchange });
            }
            Item::Event { node, event } => self.act(node, event),
            Item::ReadLimit { node, number } => {
                if self.waiting.remove(&number).is_none() {
                    return;
                }
                match self.half(node) {
                    true => self.post(0, Item::Event { node, event: Event::ReadFailed }),
                    false => self.answer(node),
                }
            }
        }
    }

    fn read(&mut self, node: usize, index: Option<u64>, is_backup: bool) {
        if self.half(node) {
            self.counts.other_reads += 1;
            return self.post(2 * SECOND, Item::Event { node, event: Event::ReadFailed });
        }
        if is_backup {
            // A process with a sampled list makes more backup reads than one that knows the
            // size of the fleet, so only the right part of them is counted and answered.
            if self.rng.usize(..self.count()) < setup::listed(self.count()) {
                self.counts.other_reads += 1;
                return self.answer(node);
            }
            return self.post(MS, Item::Event { node, event: Event::ReadFailed });
        }
        self.counts.watches += 1;
        if index.is_none_or(|index| index < self.index) {
            return self.answer(node);
        }
        self.sequence += 1;
        let number = self.sequence;
        self.waiting.insert(number, node);
        self.counts.most_waiting = self.counts.most_waiting.max(self.waiting.len());
        let wait = sync::limit::READ_WAIT.as_micros() as u64;
        self.post(wait, Item::ReadLimit { node, number });
    }

    fn answer(&mut self, node: usize) {
        let branches = self.branches.clone();
        self.counts.read_bytes += branches.iter().map(|b| b.text.len() as u64 * 4 / 3).sum::<u64>();
        let event = Event::Read { branches, index: self.index };
        let delay = self.rng.u64(MS..10 * MS);
        self.post(delay, Item::Event { node, event });
    }
}

impl Node {
    fn new(node: usize, count: usize, rng: &mut fastrand::Rng) -> Node {
        let setup = Setup {
            process: id::Process(rng.u64(..)),
            host: format!("backend-{node:05}").into(),
            availability_zone: format!("zone-{:02}", setup::zone(node)).into(),
            address: setup::address(node),
            seeds: (0..SEEDS).map(setup::address).collect(),
            seed: rng.u64(..),
        };
        Node {
            machine: Machine::new(setup),
            list: setup::list_for(node, count, rng),
            next_tick: None,
            is_lost: false,
            sent: 0,
            received: 0,
        }
    }
}

fn kind(event: &Event) -> usize {
    match event {
        Event::Tick => 0,
        Event::Start => 1,
        Event::Read { .. } => 2,
        Event::Hosts { .. } => 3,
        Event::Received { .. } => 4,
        Event::Replied { .. } => 5,
        _ => 6,
    }
}
