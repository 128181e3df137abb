//! One process at the target size: time of each event and memory.

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

struct Measured {
    machine: Machine,
    now: u64,
}

impl Measured {
    fn new(process: usize) -> Measured {
        let machine = Machine::new(Setup {
            process: id::Process(process as u64),
            host: format!("backend-{process:05}").into(),
            availability_zone: format!("zone-{:02}", setup::zone(process)).into(),
            address: setup::address(process),
            seeds: vec![setup::address(process + 1)],
            seed: process as u64,
        });
        let mut measured = Measured { machine, now: 1_000_000 };
        measured.handle_event(Event::Start);
        measured
    }

    fn handle_event(&mut self, event: Event) -> (Vec<Action>, f64) {
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
    let mut measured = Measured::new(0);
    let before = resident_kb();
    let all: Vec<Branch> = (0..branches).map(|number| branch(number, 1)).collect();
    let (_, read) = measured.handle_event(Event::Read { branches: all, index: 1 });
    println!("first_read_us={read:.0} settings_kb={}", resident_kb() - before);
    time_hosts(&mut measured, &list);
    time_changes(&mut measured, branches, &branch);
    time_exchanges(&mut measured);
}

fn time_hosts(measured: &mut Measured, list: &Bytes) {
    let before = resident_kb();
    let (mut accepted, mut total) = (0, 0.0);
    for revision in 1..=ROUNDS {
        // A copy for each event, since a real process decodes each list from its own message.
        let text = Bytes::copy_from_slice(list);
        let (actions, elapsed) = measured.handle_event(Event::Hosts { revision, text });
        accepted += u64::from(actions.iter().any(|action| matches!(action, Action::Hosts(_))));
        total += elapsed;
    }
    println!(
        "hosts_us={:.0} hosts_accepted={accepted}/{ROUNDS} hosts_kb={}",
        total / ROUNDS as f64,
        resident_kb() - before
    );
}

fn time_changes(measured: &mut Measured, branches: usize, branch: &impl Fn(usize, u64) -> Branch) {
    let mut total = 0.0;
    for round in 0..ROUNDS {
        let changed = branch(round as usize % branches, 1_000 + round);
        let exchange = message(measured, vec![changed]);
        total += measured.handle_event(Event::Received { link: 1, exchange }).1;
    }
    println!("change_us={:.0}", total / ROUNDS as f64);
}

fn time_exchanges(measured: &mut Measured) {
    let (mut total, mut bytes) = (0.0, 0);
    for _ in 0..ROUNDS {
        let exchange = message(measured, Vec::new());
        let encoded = frame::encode(&exchange);
        bytes = encoded.len();
        let started = time::Instant::now();
        let exchange: Exchange = frame::decode(&encoded).expect("an encoded exchange decodes");
        let decode = started.elapsed().as_secs_f64() * 1e6;
        let (actions, elapsed) = measured.handle_event(Event::Received { link: 1, exchange });
        let started = time::Instant::now();
        for action in &actions {
            if let Action::Reply { exchange, .. } = action {
                frame::encode(exchange);
            }
        }
        total += decode + elapsed + started.elapsed().as_secs_f64() * 1e6;
    }
    println!("equal_exchange_us={:.1} full_digest_exchange_bytes={bytes}", total / ROUNDS as f64);
}

fn message(measured: &Measured, branches: Vec<Branch>) -> Exchange {
    Exchange {
        process: id::Process(99),
        host: Bytes::from_static(b"backend-00099"),
        digest: measured.machine.digest().clone(),
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
