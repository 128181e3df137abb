//! One process at the target size: time for each event and memory.

use std::{fs, time};

use bytes::Bytes;
use sync::{Action, Event, Machine, Setup};
use wire::{
    frame, id,
    sync::{Branch, Exchange},
    time::Instant,
};

use crate::setup;

/// Client accounts at the target size.
const ACCOUNTS: usize = 2_300;
/// Events timed of each kind.
const ROUNDS: u64 = 50;

struct One {
    machine: Machine,
    now: u64,
}

impl One {
    fn new(node: usize) -> One {
        let machine = Machine::new(Setup {
            process: id::Process(node as u64),
            host: format!("backend-{node:05}").into(),
            availability_zone: format!("zone-{:02}", setup::zone(node)).into(),
            address: setup::address(node),
            seeds: vec![setup::address(node + 1)],
            seed: node as u64,
        });
        let mut one = One { machine, now: 1_000_000 };
        one.act(Event::Start);
        one
    }

    fn act(&mut self, event: Event) -> (Vec<Action>, f64) {
        self.now += 1_000;
        let mut actions = Vec::new();
        let started = time::Instant::now();
        self.machine.handle(Instant(self.now), event, &mut actions);
        (actions, started.elapsed().as_secs_f64() * 1e6)
    }
}

/// Prints the time of each event and the memory of a process with `count` hosts.
pub fn run(count: usize, branches: usize, size: usize) {
    let accounts = ACCOUNTS.div_ceil(branches);
    let branch = |number: usize, revision| setup::branch(number, accounts, size, revision);
    let list = setup::list(0..count);
    println!("host_list_bytes={} records={count}", list.len());
    let mut one = One::new(0);
    let before = resident_kb();
    let all: Vec<Branch> = (0..branches).map(|number| branch(number, 1)).collect();
    let (_, read) = one.act(Event::Read { branches: all, index: 1 });
    println!("first_read_us={read:.0} settings_kb={}", resident_kb() - before);
    time_hosts(&mut one, &list);
    time_changes(&mut one, branches, &branch);
    time_exchanges(&mut one);
}

fn time_hosts(one: &mut One, list: &Bytes) {
    let before = resident_kb();
    let (mut accepted, mut total) = (0, 0.0);
    for revision in 1..=ROUNDS {
        // The real text is decoded from a message of its own each time.
        let text = Bytes::copy_from_slice(list);
        let (actions, spent) = one.act(Event::Hosts { revision, text });
        accepted += u64::from(actions.iter().any(|action| matches!(action, Action::Hosts(_))));
        total += spent;
    }
    println!(
        "hosts_us={:.0} hosts_accepted={accepted}/{ROUNDS} hosts_kb={}",
        total / ROUNDS as f64,
        resident_kb() - before
    );
}

fn time_changes(one: &mut One, branches: usize, branch: &impl Fn(usize, u64) -> Branch) {
    let mut total = 0.0;
    for round in 0..ROUNDS {
        let changed = branch(round as usize % branches, 1_000 + round);
        let exchange = message(one, vec![changed]);
        total += one.act(Event::Received { link: 1, exchange }).1;
    }
    println!("change_us={:.0}", total / ROUNDS as f64);
}

fn time_exchanges(one: &mut One) {
    let (mut total, mut bytes) = (0.0, 0);
    for _ in 0..ROUNDS {
        let exchange = message(one, Vec::new());
        let encoded = frame::encode(&exchange);
        bytes = encoded.len();
        let started = time::Instant::now();
        let exchange: Exchange = frame::decode(&encoded).expect("an encoded exchange decodes");
        let decode = started.elapsed().as_secs_f64() * 1e6;
        let (actions, spent) = one.act(Event::Received { link: 1, exchange });
        let started = time::Instant::now();
        for action in &actions {
            if let Action::Reply { exchange, .. } = action {
                frame::encode(exchange);
            }
        }
        total += decode + spent + started.elapsed().as_secs_f64() * 1e6;
    }
    println!("equal_exchange_us={:.1} full_digest_exchange_bytes={bytes}", total / ROUNDS as f64);
}

fn message(one: &One, branches: Vec<Branch>) -> Exchange {
    Exchange {
        process: id::Process(99),
        host: Bytes::from_static(b"backend-00099"),
        digest: one.machine.digest().clone(),
        branches,
        wanted: Vec::new(),
        suspects: Vec::new(),
    }
}

fn resident_kb() -> i64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}
