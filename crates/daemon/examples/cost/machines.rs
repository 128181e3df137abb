//! Processor time of the state machines with many open requests, and memory of histograms.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::{self, Duration},
};

use bytes::Bytes;
use conf::tree;
use daemon::metrics::Metrics;
use wire::{Frame, frame, grant, host, id, offer, request, tier, time::Instant};

use crate::usage;

const OPEN_REQUESTS: u64 = 5_000;
const ROUNDS: u64 = 20_000;
const ACCOUNTS: u64 = 2_300;
const AGENTS: usize = 40;
const TIERS: [&str; 3] = ["urgent", "desk", "batch"];
const RESPONSE: &[u8] = &[b'y'; 120];
/// Virtual time between events; 20,000 rounds end before any deadline.
const STEP: Duration = Duration::from_micros(20);

/// Number of events and their total time in microseconds, by kind of event.
#[derive(Default)]
struct Times(BTreeMap<&'static str, (u64, f64)>);

impl Times {
    fn time<R>(&mut self, kind: &'static str, work: impl FnOnce() -> R) -> R {
        let started = time::Instant::now();
        let result = work();
        let (count, total) = self.0.entry(kind).or_default();
        *count += 1;
        *total += started.elapsed().as_secs_f64() * 1e6;
        result
    }

    fn print(&self, name: &str) {
        let each: Vec<String> = self
            .0
            .iter()
            .map(|(kind, (count, total))| format!("{kind}_us={:.2}", total / *count as f64))
            .collect();
        let all: f64 = self.0.values().map(|(_, total)| total).sum();
        println!(
            "{name}: open={OPEN_REQUESTS} request_us={:.2} {}",
            all / ROUNDS as f64,
            each.join(" ")
        );
    }
}

/// Runs all measurements and prints their results.
pub fn run() {
    let before = usage::resident_kb(std::process::id());
    let tree = settings();
    println!("tree_kb={}", usage::resident_kb(std::process::id()) - before);
    time_entry(tree.clone());
    time_agent(tree);
    measure_histograms();
}

fn settings() -> tree::Tree {
    let long = Duration::from_secs(900);
    let pool = tree::Pool {
        max_running: 64,
        max_queued: 20_000,
        max_queued_tokens: u64::MAX,
        max_prompt_tokens: u64::MAX / 2,
        ..tree::Pool::default()
    };
    let mut tree = tree::Tree::default();
    tree.entry.max_open = 20_000;
    for (rank, name) in TIERS.into_iter().enumerate() {
        let rank = tier::Tier(rank as u8);
        tree.tiers.insert(name.into(), tree::Tier { rank, deadline: long, max_deadline: long });
    }
    for number in 0..ACCOUNTS {
        let account = tree::Account { top_tier: "urgent".into(), ..tree::Account::default() };
        tree.accounts.insert(account_name(number), account);
    }
    let route = tree::Route {
        model: "assistant".into(),
        pool: "assistant".into(),
        tier: "desk".into(),
        ..tree::Route::default()
    };
    tree.routes.insert("assist".into(), route);
    tree.pools.insert("assistant".into(), pool);
    tree
}

fn account_name(number: u64) -> Bytes {
    format!("account-{:04}", number % ACCOUNTS).into()
}

fn agent_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7000))
}

fn hosts() -> Vec<host::Record> {
    let record = |number: usize| host::Record {
        host: format!("backend-{number}").into(),
        role: host::Role::Agent,
        address: agent_address(number),
        availability_zone: format!("zone-{}", number % 4).into(),
        pool: "assistant".into(),
        speed: 100 + 50 * (number as u32 % 3),
        state: host::State::Live,
    };
    (0..AGENTS).map(record).collect()
}

/// Measures the entry: each round opens one request, receives its grant and completes the response.
fn time_entry(tree: tree::Tree) {
    let mut now = Instant(1_000_000);
    let mut machine = entry::Machine::new(entry::Setup {
        process: id::Process(1),
        host: "entry-0".into(),
        availability_zone: "zone-0".into(),
        seed: 7,
    });
    let mut times = Times::default();
    let mut send = |times: &mut Times, kind: &'static str, event: entry::Event| {
        now = now + STEP;
        let mut actions = Vec::new();
        times.time(kind, || machine.handle(now, event, &mut actions));
        actions
    };
    let mut setup = Times::default();
    send(&mut setup, "settings", entry::Event::Settings(tree.into()));
    send(&mut setup, "hosts", entry::Event::Hosts(hosts()));
    send(&mut setup, "ready", entry::Event::Ready);
    let offered = |actions: &[entry::Action]| {
        actions.iter().find_map(|action| match action {
            entry::Action::Offer { peer, head } => Some((head.request, *peer)),
            _ => None,
        })
    };
    for caller in 0..OPEN_REQUESTS {
        let actions = send(&mut setup, "open", entry::Event::Request(incoming_request(caller)));
        assert!(offered(&actions).is_some(), "each request is offered");
    }
    for round in 0..ROUNDS {
        let actions = send(
            &mut times,
            "call",
            entry::Event::Request(incoming_request(OPEN_REQUESTS + round)),
        );
        let (request, peer) = offered(&actions).expect("each request is offered");
        let grant = id::Grant { process: id::Process(9), seq: round };
        let reply = offer::Reply::Ready { grant, ttl: Duration::from_millis(250) };
        send(&mut times, "ready", entry::Event::OfferReply { request, peer, reply });
        for body in response_frames() {
            let frame = Frame { request, grant, body };
            send(&mut times, "frame", entry::Event::Frame { request, peer, frame });
        }
    }
    times.print("entry");
}

fn response_frames() -> [frame::Body; 3] {
    let bytes = Bytes::from_static(RESPONSE);
    [
        frame::Body::Started { status: 200, content_type: "application/json".into() },
        frame::Body::Data { offset: 0, bytes },
        frame::Body::End { length: RESPONSE.len() as u64, crc32: crc32fast::hash(RESPONSE) },
    ]
}

fn incoming_request(caller: u64) -> entry::IncomingRequest {
    entry::IncomingRequest {
        caller,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
        model: "assistant".into(),
        account: account_name(caller),
        authenticated: true,
        tier: Some(TIERS[caller as usize % TIERS.len()].into()),
        deadline: None,
        idempotency_key: None,
        prompt_tokens: 200,
        output_tokens: 100,
        body_len: 800,
        body_hash: caller,
        prefix_hash: caller,
    }
}

/// Measures the agent: each round queues one offer and runs the next request with a grant.
fn time_agent(tree: tree::Tree) {
    let mut now = Instant(1_000_000);
    let mut machine = agent::Machine::new(agent::Setup {
        process: id::Process(9),
        host: "backend-0".into(),
        pool: "assistant".into(),
        seed: 7,
    });
    let mut times = Times::default();
    let mut setup = Times::default();
    // Requests with a grant. The link of an offer has the request's sequence number.
    let mut ready = VecDeque::new();
    let mut send = |times: &mut Times, kind: &'static str, event: agent::Event| {
        now = now + STEP;
        let mut actions = Vec::new();
        times.time(kind, || machine.handle(now, event, &mut actions));
        for action in actions {
            match action {
                agent::Action::Reply { link, reply: offer::Reply::Ready { grant, .. } } => {
                    ready.push_back((link.0, grant));
                }
                agent::Action::Reply { reply: offer::Reply::Refused(refusal), .. } => {
                    panic!("an offer was refused: {refusal:?}");
                }
                _ => {}
            }
        }
        ready.pop_front()
    };
    send(&mut setup, "settings", agent::Event::Settings(tree.into()));
    send(&mut setup, "ready", agent::Event::Ready);
    let instance = Some(Bytes::from_static(b"run-1"));
    send(&mut setup, "probe", agent::Event::Probe { instance });
    let mut granted = VecDeque::new();
    for seq in 0..OPEN_REQUESTS {
        granted.extend(send(&mut setup, "open", offer_event(seq)));
    }
    for round in 0..ROUNDS {
        granted.extend(send(&mut times, "offer", offer_event(OPEN_REQUESTS + round)));
        let Some((seq, grant)) = granted.pop_front() else { panic!("no slot is reserved") };
        let request = request_id(seq);
        let commit = grant::Commit { grant, request };
        let link = agent::Link(u64::MAX / 2 + round);
        let body = Bytes::from_static(b"body");
        granted.extend(send(&mut times, "commit", agent::Event::Commit { link, commit, body }));
        for progress in progress_events() {
            let event = agent::Event::Backend { grant, progress };
            granted.extend(send(&mut times, "backend", event));
        }
        granted.extend(send(&mut times, "closed", agent::Event::LinkClosed { link }));
    }
    times.print("agent");
}

fn progress_events() -> [agent::Progress; 3] {
    [
        agent::Progress::Started {
            status: 200,
            content_type: "application/json".into(),
            instance: "run-1".into(),
        },
        agent::Progress::Data { offset: 0, bytes: Bytes::from_static(RESPONSE) },
        agent::Progress::End,
    ]
}

fn request_id(seq: u64) -> id::Request {
    id::Request { process: id::Process(1), seq }
}

fn offer_event(seq: u64) -> agent::Event {
    let head = request::Head {
        request: request_id(seq),
        kind: request::Kind::Model,
        route: "assist".into(),
        pool: "assistant".into(),
        account: account_name(seq),
        tier: tier::Tier(seq as u8 % TIERS.len() as u8),
        remaining: Duration::from_secs(900),
        prompt_tokens: 200,
        output_tokens: 100,
        fingerprint: seq,
        affinity: seq,
        idempotent: true,
        beyond_spread: false,
        key: None,
        body_len: 4,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
    };
    agent::Event::Offer { link: agent::Link(seq), offer: offer::Offer { head, settings: 0 } }
}

/// Measures the histograms that an entry keeps for each account, tier and name.
fn measure_histograms() {
    let before = usage::resident_kb(std::process::id());
    let metrics = Metrics::new(None);
    let names = ["first_token_ms", "between_tokens_ms", "total_ms"];
    for number in 0..ACCOUNTS {
        for tier in TIERS {
            for name in names {
                let time = Duration::from_micros(500 + 37 * number);
                metrics.record(name, &account_name(number), &Bytes::from(tier), time);
            }
        }
    }
    let series = ACCOUNTS as usize * TIERS.len() * names.len();
    let grown = usage::resident_kb(std::process::id()) - before;
    println!("histograms: series={series} kb={grown} bytes_each={}", grown * 1024 / series as i64);
}
