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

/// Time within which an accepted revision has to be in force at every connected process.
const BOUND: u64 = 3 * SECOND;

pub type Revisions = BTreeMap<Bytes, u64>;

/// One process. A restart replaces it by one with a higher `run`.
pub struct Process {
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
    /// Highest revisions that reachable seeds had in force when the process started.
    floor: Revisions,
}

enum Item {
    Tick { process: usize },
    Request { from: usize, to: usize, exchange: Exchange },
    Reply { from: usize, to: usize, run: u64, exchange: Exchange },
    Event { process: usize, run: u64, event: Event },
    ReadLimit { process: usize, run: u64, number: u64 },
    Check { partition_count: u64, runs: Vec<(usize, u64)>, floors: BTreeMap<u8, Revisions> },
}

#[derive(Default)]
pub struct Net {
    pub now: u64,
    pub processes: Vec<Process>,
    pub rng: fastrand::Rng,
    pub loss_percent: u32,
    pub service: service::Service,
    pub hosts: (u64, Bytes),
    pub host_list_up: bool,
    pub checks: u64,
    pub ready_checks: u64,
    pub reads: u64,
    pub host_reads: u64,
    seeds: usize,
    zones: usize,
    partition_count: u64,
    highest: Revisions,
    sequence: u64,
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    items: BTreeMap<u64, Item>,
}

pub fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (process / 250) as u8, (process % 250) as u8], 7000))
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
        let mut net = Net { now: SECOND, rng, host_list_up: true, seeds, zones, ..Net::default() };
        net.write("base", "[entry]\n");
        net.service.save_state();
        for process in 0..count {
            let fresh = net.new_process(process, 0);
            net.processes.push(fresh);
        }
        net.set_hosts(1, count);
        (0..count).for_each(|process| net.handle_event(process, Event::Start));
        net
    }

    fn new_process(&mut self, process: usize, run: u64) -> Process {
        let setup = Setup {
            process: id::Process(self.rng.u64(..)),
            host: Bytes::from(format!("h{process}")),
            availability_zone: Bytes::from(format!("z{}", process % self.zones)),
            address: address(process),
            seeds: (0..self.seeds).map(address).collect(),
            seed: self.rng.u64(..),
        };
        Process {
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
        let text = |process: usize| {
            let (address, zone) = (address(process), process % self.zones);
            format!(
                r#"{{"host":"h{process}","role":"agent","address":"{address}","availability_zone":"z{zone}","state":"live"}}"#
            )
        };
        let list: Vec<String> = (0..count).map(text).collect();
        self.hosts = (revision, Bytes::from(format!("[{}]", list.join(","))));
    }

    /// Replaces a process by one with nothing in force.
    pub fn restart(&mut self, process: usize) {
        let (run, group) = (self.processes[process].run + 1, self.processes[process].group);
        let mut fresh = self.new_process(process, run);
        fresh.group = group;
        for seed in (0..self.seeds).filter(|seed| *seed != process) {
            let seed = &self.processes[seed];
            if seed.group == group && seed.is_ready {
                raise_to(&mut fresh.floor, &seed.held);
            }
        }
        // Starting processes need not get what only the replaced process had in force.
        self.processes
            .iter_mut()
            .filter(|other| !other.is_ready)
            .for_each(|other| other.floor.clear());
        self.processes[process] = fresh;
        self.handle_event(process, Event::Start);
    }

    /// Partitions the network: processes reach only those of the same group.
    pub fn partition(&mut self, group: impl Fn(usize) -> u8) {
        self.partition_count += 1;
        for (index, process) in self.processes.iter_mut().enumerate() {
            process.group = group(index);
            process.floor.clear();
        }
        self.expect_convergence();
    }

    /// Writes a branch in the service and returns its revision.
    pub fn write(&mut self, name: &str, text: &str) -> u64 {
        let revision = self.service.write(name, Some(text));
        self.reply_to_waiting();
        revision
    }

    pub fn delete(&mut self, name: &str) {
        self.service.write(name, None);
        self.reply_to_waiting();
    }

    /// Lets a process handle an event, and carries out the resulting actions.
    pub fn handle_event(&mut self, process: usize, event: Event) {
        let mut actions = Vec::new();
        self.processes[process].machine.handle(Instant(self.now), event, &mut actions);
        self.check_revisions(process);
        for action in actions {
            self.perform(process, action);
        }
        let due = self.processes[process].machine.next_timer().map(|at| at.0);
        if due != self.processes[process].next_tick {
            self.processes[process].next_tick = due;
            if let Some(due) = due {
                assert!(due > self.now, "a timer that is due was left");
                self.schedule(due - self.now, Item::Tick { process });
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

    fn schedule(&mut self, delay: u64, item: Item) {
        self.sequence += 1;
        self.queue.push(std::cmp::Reverse((self.now + delay, self.sequence)));
        self.items.insert(self.sequence, item);
    }

    fn delay(&mut self) -> u64 {
        let slow = self.loss_percent > 0 && self.rng.u32(..100) < 5;
        if slow { self.rng.u64(5 * MS..250 * MS) } else { self.rng.u64(200..3 * MS) }
    }

    fn is_dropped(&mut self, a: usize, b: usize) -> bool {
        self.processes[a].group != self.processes[b].group
            || self.rng.u32(..100) < self.loss_percent
    }

    fn schedule_event(&mut self, delay: u64, process: usize, event: Event) {
        let run = self.processes[process].run;
        self.schedule(delay, Item::Event { process, run, event });
    }

    fn perform(&mut self, process: usize, action: Action) {
        match action {
            Action::Read { index, .. } => self.read(process, index),
            Action::ReadHosts => self.read_hosts(process),
            Action::Send { peer, exchange } => {
                let item = Item::Request { from: process, to: index(peer), exchange };
                let delay = self.delay();
                self.schedule(delay, item);
            }
            Action::Reply { link, exchange } => {
                let (to, run) = ((link >> 32) as usize, link & 0xffff_ffff);
                let delay = self.delay();
                self.schedule(delay, Item::Reply { from: process, to, run, exchange });
            }
            Action::Settings(tree) => self.processes[process].tree = tree,
            Action::Suspects(new) => self.processes[process].suspects.extend(new),
            Action::Refused { .. } => self.processes[process].refusals += 1,
            Action::Refreshed => self.processes[process].refreshed += 1,
            Action::Hosts(list) => assert!(!list.is_empty()),
            Action::Ready => {
                let process = &mut self.processes[process];
                assert!(!process.is_ready, "ready twice");
                process.is_ready = true;
                self.ready_checks += u64::from(!process.floor.is_empty());
                assert_floor(
                    &process.held,
                    &process.floor,
                    "ready with less than a reachable seed",
                );
            }
        }
    }

    fn deliver(&mut self, item: Item) {
        match item {
            Item::Tick { process } => {
                if self.processes[process].next_tick == Some(self.now) {
                    self.processes[process].next_tick = None;
                    self.handle_event(process, Event::Tick);
                }
            }
            Item::Request { from, to, exchange } => {
                if to >= self.processes.len() || self.is_dropped(from, to) {
                    return self.schedule_event(
                        200 * MS,
                        from,
                        Event::SendFailed { peer: address(to) },
                    );
                }
                let link = ((from as u64) << 32) | self.processes[from].run;
                if self.loss_percent > 0 && self.rng.u32(..100) < 5 {
                    let exchange = exchange.clone();
                    self.schedule_event(20 * MS, to, Event::Received { link, exchange });
                }
                self.handle_event(to, Event::Received { link, exchange });
            }
            Item::Reply { from, to, run, exchange } => {
                if self.is_dropped(from, to) {
                    let peer = address(from);
                    self.schedule_event(200 * MS, to, Event::SendFailed { peer });
                } else if self.processes[to].run == run {
                    self.handle_event(to, Event::Replied { peer: address(from), exchange });
                }
            }
            Item::Event { process, run, event } => {
                if self.processes[process].run == run {
                    self.handle_event(process, event);
                }
            }
            Item::ReadLimit { process, run, number } => {
                if self.service.waiting.remove(&number).is_some() {
                    let event = self.service.read_reply();
                    self.schedule(0, Item::Event { process, run, event });
                }
            }
            Item::Check { partition_count, runs, floors } => {
                self.check(partition_count, &runs, &floors)
            }
        }
    }

    fn read(&mut self, process: usize, index: Option<u64>) {
        self.reads += 1;
        let run = self.processes[process].run;
        let delay = self.delay();
        if !self.service.is_up(self.processes[process].group) {
            return self.schedule_event(delay, process, Event::ReadFailed);
        }
        if index.is_none_or(|index| index < self.service.index()) {
            let event = self.service.read_reply();
            return self.schedule_event(delay, process, event);
        }
        self.sequence += 1;
        let number = self.sequence;
        self.service.waiting.insert(number, (process, run));
        self.schedule(10 * SECOND, Item::ReadLimit { process, run, number });
    }

    fn reply_to_waiting(&mut self) {
        if self.service.is_stale() {
            return;
        }
        for (_, (process, run)) in std::mem::take(&mut self.service.waiting) {
            if self.service.is_up(self.processes[process].group) {
                let (delay, event) = (self.delay(), self.service.read_reply());
                self.schedule(delay, Item::Event { process, run, event });
            }
        }
    }

    fn read_hosts(&mut self, process: usize) {
        self.host_reads += 1;
        let (revision, text) = self.hosts.clone();
        let event = match self.host_list_up {
            true => Event::Hosts { revision, text },
            false => Event::HostsFailed,
        };
        let delay = self.delay();
        self.schedule_event(delay, process, event);
    }

    fn check_revisions(&mut self, process: usize) {
        let digest = self.processes[process].machine.digest();
        let held: Revisions = digest.0.iter().cloned().collect();
        let old = std::mem::replace(&mut self.processes[process].held, held);
        let held = &self.processes[process].held;
        assert_floor(held, &old, "a revision went down");
        let mut is_new = false;
        for (name, revision) in held {
            let is_bad = self.service.bad.contains(&(name.clone(), *revision));
            assert!(!is_bad, "bad revision {revision} of {name:?} in force");
            if self.highest.get(name).is_none_or(|highest| highest < revision) {
                self.highest.insert(name.clone(), *revision);
                is_new = true;
            }
        }
        if is_new {
            self.expect_convergence();
        }
    }

    /// Schedules a check that after 3 s each process has in force what any process of its group
    /// has in force now.
    fn expect_convergence(&mut self) {
        let mut floors: BTreeMap<u8, Revisions> = BTreeMap::new();
        for process in &self.processes {
            raise_to(floors.entry(process.group).or_default(), &process.held);
        }
        let runs =
            self.processes.iter().map(|process| (process.group as usize, process.run)).collect();
        self.schedule(BOUND, Item::Check { partition_count: self.partition_count, runs, floors });
    }

    /// Checks that each process has at least the revisions in `floors`. Does nothing after
    /// another partition or a restart, which may have removed the only copy.
    fn check(
        &mut self,
        partition_count: u64,
        before: &[(usize, u64)],
        floors: &BTreeMap<u8, Revisions>,
    ) {
        let same_runs =
            self.processes.iter().zip(before).all(|(process, (_, run))| process.run == *run);
        if partition_count != self.partition_count
            || !same_runs
            || self.processes.len() != before.len()
        {
            return;
        }
        self.checks += 1;
        for process in &self.processes {
            assert_floor(&process.held, &floors[&process.group], "not everywhere within 3 s");
        }
    }
}

fn raise_to(floor: &mut Revisions, held: &Revisions) {
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
