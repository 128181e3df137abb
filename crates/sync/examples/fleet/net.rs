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
    Tick { process: usize },
    Request { from: usize, to: usize, exchange: Exchange },
    Reply { from: usize, to: usize, exchange: Exchange },
    Event { process: usize, event: Event },
    ReadLimit { process: usize, number: u64 },
}

struct Process {
    machine: Machine,
    list: Bytes,
    next_tick: Option<u64>,
    is_down: bool,
    sent: u64,
    received: u64,
}

/// A revision that is not in force everywhere yet.
struct Change {
    name: Bytes,
    revision: u64,
    changed_at: u64,
    holders: Vec<bool>,
    missing: usize,
}

/// Counts since the last reset.
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
    processes: Vec<Process>,
    rng: fastrand::Rng,
    branches: Vec<wire::sync::Branch>,
    size: usize,
    index: u64,
    waiting: BTreeMap<u64, usize>,
    changes: Vec<Change>,
    is_partitioned: bool,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    items: BTreeMap<u64, Item>,
}

impl Net {
    pub fn new(count: usize, branches: usize, size: usize) -> Net {
        let mut rng = fastrand::Rng::with_seed(7);
        let branch = |number| setup::branch(number, ACCOUNTS, size, number as u64 + 1);
        let branches: Vec<_> = (0..branches).map(branch).collect();
        let processes = (0..count).map(|process| Process::new(process, count, &mut rng)).collect();
        let mut net = Net {
            now: SECOND,
            counts: Counts::default(),
            processes,
            rng,
            index: branches.len() as u64,
            branches,
            size,
            waiting: BTreeMap::new(),
            changes: Vec::new(),
            is_partitioned: false,
            sequence: 0,
            queue: BinaryHeap::new(),
            items: BTreeMap::new(),
        };
        (0..count).for_each(|process| net.handle_event(process, Event::Start));
        net
    }

    pub fn count(&self) -> usize {
        self.processes.len()
    }

    pub fn pending_changes(&self) -> usize {
        self.changes.len()
    }

    /// Returns the most bytes that one process sent and received.
    pub fn max_process_bytes(&self) -> u64 {
        self.processes.iter().map(|process| process.sent + process.received).max().unwrap_or(0)
    }

    pub fn event_times(&self) -> impl Iterator<Item = (&'static str, u64, u64)> {
        KINDS.iter().zip(self.counts.events).map(|(kind, (count, ns))| (*kind, count, ns))
    }

    pub fn reset_counts(&mut self) {
        self.changes.clear();
        self.reset_traffic();
    }

    pub fn reset_traffic(&mut self) {
        self.counts = Counts::default();
        self.processes.iter_mut().for_each(|process| (process.sent, process.received) = (0, 0));
    }

    /// Partitions the regions into two halves, or ends the partition. Only the first half
    /// reaches the service.
    pub fn set_partition(&mut self, is_partitioned: bool) {
        self.is_partitioned = is_partitioned;
    }

    /// Returns whether a partition puts the process in the half that can't reach the service.
    fn is_in_second_half(&self, process: usize) -> bool {
        self.is_partitioned && setup::region(process) >= setup::REGIONS / 2
    }

    /// Stops every process of a zone; the host list still names them.
    pub fn stop_zone(&mut self, zone: usize) {
        for (number, process) in self.processes.iter_mut().enumerate() {
            process.is_down |= setup::zone(number) == zone;
        }
    }

    /// Changes one branch in the service.
    pub fn change(&mut self) {
        self.index += 1;
        let number = self.rng.usize(..self.branches.len());
        let branch = setup::branch(number, ACCOUNTS, self.size, self.index);
        let holders: Vec<bool> = self.processes.iter().map(|process| process.is_down).collect();
        let missing = holders.iter().filter(|held| !**held).count();
        let (name, revision) = (branch.name.clone(), branch.revision);
        self.changes.push(Change { name, revision, changed_at: self.now, holders, missing });
        self.branches[number] = branch;
        for (number, process) in std::mem::take(&mut self.waiting) {
            if self.is_in_second_half(process) {
                self.waiting.insert(number, process);
            } else {
                self.reply_to_read(process);
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

    fn handle_event(&mut self, process: usize, event: Event) {
        if self.processes[process].is_down {
            return;
        }
        let kind = kind(&event);
        let mut actions = Vec::new();
        let started = time::Instant::now();
        self.processes[process].machine.handle(Instant(self.now), event, &mut actions);
        let elapsed = started.elapsed().as_nanos() as u64;
        let (count, total) = &mut self.counts.events[kind];
        *count += 1;
        *total += elapsed;
        self.record_holders(process);
        for action in actions {
            self.perform(process, action);
        }
        let due = self.processes[process].machine.next_timer().map(|at| at.0);
        if due != self.processes[process].next_tick {
            self.processes[process].next_tick = due;
            if let Some(due) = due {
                self.schedule(due.saturating_sub(self.now), Item::Tick { process });
            }
        }
    }

    fn record_holders(&mut self, process: usize) {
        let digest = &self.processes[process].machine.digest().0;
        for change in self.changes.iter_mut().filter(|change| !change.holders[process]) {
            let at = digest.binary_search_by(|(name, _)| name.cmp(&change.name));
            if at.is_ok_and(|at| digest[at].1 >= change.revision) {
                change.holders[process] = true;
                change.missing -= 1;
            }
        }
        let now = self.now;
        let spread = &mut self.counts.spread_ms;
        self.changes.retain(|change| {
            if change.missing == 0 {
                spread.push((now - change.changed_at) / MS);
            }
            change.missing > 0
        });
    }

    fn schedule(&mut self, delay: u64, item: Item) {
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
        self.processes[from].sent += bytes;
        self.processes[to].received += bytes;
    }

    fn perform(&mut self, process: usize, action: Action) {
        match action {
            Action::Read { index, wait } => self.read(process, index, wait.is_zero()),
            Action::ReadHosts => {
                self.counts.host_reads += 1;
                let text = self.processes[process].list.clone();
                self.schedule(
                    0,
                    Item::Event { process, event: Event::Hosts { revision: 1, text } },
                );
            }
            Action::Send { peer, exchange } => {
                let to = setup::index(peer);
                self.count_message(process, to, &exchange);
                let delay = self.delay(process, to);
                self.schedule(delay, Item::Request { from: process, to, exchange });
            }
            Action::Reply { link, exchange } => {
                let to = link as usize;
                self.count_message(process, to, &exchange);
                let delay = self.delay(process, to);
                self.schedule(delay, Item::Reply { from: process, to, exchange });
            }
            Action::Refused { branch, errors, .. } => panic!("{branch:?} refused: {errors:?}"),
            _ => {}
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
                if self.processes[to].is_down
                    || self.is_in_second_half(from) != self.is_in_second_half(to)
                {
                    let event = Event::SendFailed { peer: setup::address(to) };
                    return self.schedule(2 * SECOND, Item::Event { process: from, event });
                }
                self.handle_event(to, Event::Received { link: from as u64, exchange });
            }
            Item::Reply { from, to, exchange } => {
                self.handle_event(to, Event::Replied { peer: setup::address(from), exchange });
            }
            Item::Event { process, event } => self.handle_event(process, event),
            Item::ReadLimit { process, number } => {
                if self.waiting.remove(&number).is_none() {
                    return;
                }
                match self.is_in_second_half(process) {
                    true => self.schedule(0, Item::Event { process, event: Event::ReadFailed }),
                    false => self.reply_to_read(process),
                }
            }
        }
    }

    fn read(&mut self, process: usize, index: Option<u64>, is_backup: bool) {
        if self.is_in_second_half(process) {
            self.counts.other_reads += 1;
            return self.schedule(2 * SECOND, Item::Event { process, event: Event::ReadFailed });
        }
        if is_backup {
            // A process with a sampled list issues more backup reads than one with the full list,
            // so only as many as the full list would cause are counted and get a reply.
            if self.rng.usize(..self.count()) < setup::listed_hosts(self.count()) {
                self.counts.other_reads += 1;
                return self.reply_to_read(process);
            }
            return self.schedule(MS, Item::Event { process, event: Event::ReadFailed });
        }
        self.counts.watches += 1;
        if index.is_none_or(|index| index < self.index) {
            return self.reply_to_read(process);
        }
        self.sequence += 1;
        let number = self.sequence;
        self.waiting.insert(number, process);
        self.counts.most_waiting = self.counts.most_waiting.max(self.waiting.len());
        let wait = sync::limit::READ_WAIT.as_micros() as u64;
        self.schedule(wait, Item::ReadLimit { process, number });
    }

    fn reply_to_read(&mut self, process: usize) {
        let branches = self.branches.clone();
        self.counts.read_bytes += branches.iter().map(|b| b.text.len() as u64 * 4 / 3).sum::<u64>();
        let event = Event::Read { branches, index: self.index };
        let delay = self.rng.u64(MS..10 * MS);
        self.schedule(delay, Item::Event { process, event });
    }
}

impl Process {
    fn new(process: usize, count: usize, rng: &mut fastrand::Rng) -> Process {
        let setup = Setup {
            process: id::Process(rng.u64(..)),
            host: format!("backend-{process:05}").into(),
            availability_zone: format!("zone-{:02}", setup::zone(process)).into(),
            address: setup::address(process),
            seeds: (0..SEEDS).map(setup::address).collect(),
            seed: rng.u64(..),
        };
        Process {
            machine: Machine::new(setup),
            list: setup::list_for(process, count, rng),
            next_tick: None,
            is_down: false,
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
