//! One state machine with excessive, malformed or misleading messages from peers.

use std::time::Duration;

use bytes::Bytes;
use sync::{Action, Event, Machine, Setup, limit};
use wire::{
    id,
    sync::{Branch, Digest, Exchange, Suspect},
    time::Instant,
};

fn machine() -> Machine {
    let setup = Setup {
        process: id::Process(1),
        host: Bytes::from_static(b"h1"),
        availability_zone: Bytes::from_static(b"z1"),
        address: "10.0.0.1:7000".parse().unwrap(),
        seeds: vec!["10.0.0.2:7000".parse().unwrap()],
        seed: 1,
    };
    let mut machine = Machine::new(setup);
    machine.handle(Instant(1), Event::Start, &mut Vec::new());
    machine
}

fn exchange(branches: Vec<Branch>) -> Exchange {
    Exchange {
        process: id::Process(2),
        host: Bytes::from_static(b"h2"),
        digest: Digest::default(),
        branches,
        wanted: Vec::new(),
        suspects: Vec::new(),
    }
}

fn branch(name: &str, revision: u64, text: &str) -> Branch {
    let text = Bytes::copy_from_slice(text.as_bytes());
    Branch { name: Bytes::copy_from_slice(name.as_bytes()), revision, text }
}

fn send(machine: &mut Machine, exchange: Exchange) -> Vec<Action> {
    let mut actions = Vec::new();
    machine.handle(Instant(2), Event::Received { link: 1, exchange }, &mut actions);
    actions
}

fn refusals(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Refused { .. })).count()
}

/// Guards against memory use that grows with the number or size of branches that a peer sends.
#[test]
fn branches_are_bounded() {
    let mut machine = machine();
    let small: Vec<Branch> =
        (0..limit::MAX_BRANCHES + 100).map(|n| branch(&format!("b{n}"), 1, "[entry]")).collect();
    for part in small.chunks(500) {
        send(&mut machine, exchange(part.to_vec()));
    }
    assert_eq!(machine.digest().0.len(), limit::MAX_BRANCHES);
    let text = format!(";{}\n", "x".repeat(limit::MAX_BRANCH_BYTES));
    let large = || exchange(vec![branch("b1", 2, &text)]);
    assert_eq!(refusals(&send(&mut machine, large())), 1);
    assert_eq!(refusals(&send(&mut machine, large())), 0);
    let text = &text[..limit::MAX_BRANCH_BYTES / 2];
    let large = (0..100).map(|n| branch(&format!("b{n}"), 2, text)).collect();
    send(&mut machine, exchange(large));
    let held = machine.digest().0.iter().filter(|(_, revision)| *revision == 2).count();
    assert!(held * text.len() <= limit::MAX_TOTAL_BYTES, "{held} large branches");
}

/// Guards against a refused text that blocks a valid text of the same revision, is reported
/// twice, or replaces the accepted one.
#[test]
fn a_forged_bad_text_does_not_block_the_valid_one() {
    let mut machine = machine();
    send(&mut machine, exchange(vec![branch("b", 1, "[entry]")]));
    let bad = || exchange(vec![branch("b", 2, "[nonsense]")]);
    assert_eq!(refusals(&send(&mut machine, bad())), 1);
    assert_eq!(refusals(&send(&mut machine, bad())), 0);
    assert_eq!(machine.digest().0, [(Bytes::from_static(b"b"), 1)]);
    send(&mut machine, exchange(vec![branch("b", 2, "[entry]\nmax_open = 7")]));
    assert_eq!(machine.digest().0, [(Bytes::from_static(b"b"), 2)]);
}

/// Guards against malformed, empty or ambiguous host lists that isolate the process.
#[test]
fn unusable_host_lists_are_refused() {
    let mut machine = machine();
    let record = r#"{"host":"h","role":"entry","address":"10.0.0.9:1","availability_zone":"z","state":"live"}"#;
    let lists = ["", "[]", "{}", "[1]", &format!("[{record},{record}]")];
    for (revision, list) in (1..).zip(lists) {
        let mut actions = Vec::new();
        let text = Bytes::copy_from_slice(list.as_bytes());
        machine.handle(Instant(3), Event::Hosts { revision, text }, &mut actions);
        assert_eq!(refusals(&actions), 1, "{list}");
    }
    let text = Bytes::from(format!("[{record}]"));
    let mut actions = Vec::new();
    machine.handle(Instant(3), Event::Hosts { revision: 9, text }, &mut actions);
    assert!(actions.iter().any(|action| matches!(action, Action::Hosts(list) if list.len() == 1)));
}

/// Guards against a process that no longer follows the host list, and so misses hosts that leave, since
/// one record in it is odd.
#[test]
fn a_host_list_is_followed_despite_an_odd_record() {
    let record = r#"{"host":"h","role":"entry","address":"10.0.0.9:1","availability_zone":"z","state":"leaving"}"#;
    let nested =
        |open: &str, close: &str| format!("{}1{}", open.repeat(100_000), close.repeat(100_000));
    let other = record.replace("\"h\"", "\"other\"").replace("0.9:1", "0.8:1");
    for odd in [
        "1".to_owned(),
        "null".into(),
        "{}".into(),
        nested("[", "]"),
        nested("{\"a\":", "}"),
        other.replace("0.8:1", "0.8:65536"),
        other.replace("0.8:1", "0.8:-1"),
        other.replace("\"leaving\"", "\"resting\""),
        other.replace("\"leaving\"", &nested("[", "]")),
        other.replacen('{', "{\"speed\":1e400,", 1),
        other.replacen('{', "{\"speed\":4294967296,", 1),
    ] {
        for list in [format!("[{odd},{record}]"), format!("[{record},{odd}]")] {
            let mut machine = machine();
            let (text, mut actions) = (Bytes::from(list), Vec::new());
            machine.handle(Instant(3), Event::Hosts { revision: 1, text }, &mut actions);
            let hosts = actions.iter().find_map(|action| match action {
                Action::Hosts(hosts) => Some(&hosts[..]),
                _ => None,
            });
            let shown = &odd[..odd.len().min(80)];
            let names = hosts.map(|hosts| hosts.iter().map(|host| &host.host[..]).collect());
            assert_eq!(names, Some(vec![&b"h"[..]]), "{shown}");
        }
    }
}

/// Guards against unbounded memory use for suspects, and against exchanges that list all of
/// them.
#[test]
fn suspects_are_bounded() {
    let mut machine = machine();
    for round in 0..20_u64 {
        let suspect = |n| Suspect { fingerprint: round * 1_000 + n, crash: 1, cleared: false };
        let suspects = (0..1_000).map(suspect).collect();
        let actions = send(&mut machine, Exchange { suspects, ..exchange(Vec::new()) });
        for action in actions {
            if let Action::Reply { exchange, .. } = action {
                assert!(exchange.suspects.len() <= limit::MAX_SUSPECTS_SENT);
            }
        }
    }
}

/// Guards against a start that waits forever for an unreachable seed, or serves without settings.
#[test]
fn a_start_without_seeds_ends_after_the_join_timeout() {
    let step = |machine: &mut Machine, millis: u64, event| {
        let mut actions = Vec::new();
        machine.handle(Instant(millis * 1_000), event, &mut actions);
        actions.iter().any(|action| matches!(action, Action::Ready))
    };
    let read = || Event::Read { branches: vec![branch("b", 1, "[entry]")], index: 1 };
    let peer = "10.0.0.2:7000".parse().unwrap();
    let mut late = machine();
    assert!(!step(&mut late, 2_500, Event::Tick), "ready without settings");
    assert!(step(&mut late, 2_600, read()));
    let mut machine = machine();
    assert!(!step(&mut machine, 10, read()), "ready without its seed");
    assert!(!step(&mut machine, 1_999, Event::SendFailed { peer }));
    assert!(step(&mut machine, 2_001, Event::Tick));
}

/// Guards against a seed that is itself starting, has only the settings of a stale service, and
/// replies with a digest that makes other processes serve with these settings.
#[test]
fn a_starting_process_replies_with_an_empty_digest() {
    let mut machine = machine();
    let reply_entries = |machine: &mut Machine| {
        let find = |action| match action {
            Action::Reply { exchange, .. } => Some(exchange.digest.0.len()),
            _ => None,
        };
        send(machine, exchange(Vec::new())).into_iter().find_map(find)
    };
    let branches = vec![branch("b", 1, "[entry]")];
    machine.handle(Instant(2), Event::Read { branches, index: 1 }, &mut Vec::new());
    assert_eq!(reply_entries(&mut machine), Some(0));
    machine.handle(Instant(3_000_000), Event::Tick, &mut Vec::new());
    assert_eq!(reply_entries(&mut machine), Some(1));
}

/// Guards against a differing digest hash that causes no exchange, or one for each message.
#[test]
fn a_differing_hash_causes_one_exchange() {
    let mut machine = machine();
    let peer = "10.0.0.7:7000".parse().unwrap();
    let mut sends = |millis: u64, hash| {
        let mut actions = Vec::new();
        machine.handle(Instant(millis * 1_000), Event::DigestHash { peer, hash }, &mut actions);
        let to_peer = |a: &&Action| matches!(a, Action::Send { peer: to, .. } if *to == peer);
        actions.iter().filter(to_peer).count()
    };
    assert_eq!(sends(10, Digest::default().hash()), 0);
    assert_eq!([sends(11, 1), sends(12, 1), sends(99, 1)], [1, 0, 1]);
}

/// Guards against a deleted branch that a peer sends and that is then in force until the next read
/// of the service.
#[test]
fn a_branch_missing_from_the_last_read_is_deleted() {
    let mut machine = machine();
    let branches = vec![branch("a", 3, "[entry]")];
    machine.handle(Instant(2), Event::Read { branches, index: 9 }, &mut Vec::new());
    let old = exchange(vec![branch("b", 5, "[pool p]"), branch("c", 10, "[pool q]")]);
    let actions = send(&mut machine, old);
    let revisions: Vec<u64> = machine.digest().0.iter().map(|(_, revision)| *revision).collect();
    assert_eq!(revisions, [3, 9, 10]);
    let settings = |action: &Action| match action {
        Action::Settings(tree) => Some(tree.pools.keys().cloned().collect::<Vec<_>>()),
        _ => None,
    };
    assert_eq!(actions.iter().find_map(settings), Some(vec![Bytes::from_static(b"q")]));
}

/// Runs the timers for `seconds` with a peer that sends `message` every 500 ms, and a service
/// that replies to backup reads only. Returns the number of blocking reads.
fn blocking_reads(machine: &mut Machine, seconds: u64, message: Option<&Exchange>) -> usize {
    let mut count = 0;
    for step in 1..=seconds * 20 {
        let now = Instant(1_000_000 + step * 50_000);
        let mut actions = Vec::new();
        machine.handle(now, Event::Tick, &mut actions);
        if let Some(exchange) = message.filter(|_| step % 10 == 0) {
            let exchange = exchange.clone();
            machine.handle(now, Event::Received { link: 1, exchange }, &mut actions);
        }
        for action in actions {
            match action {
                Action::Read { wait, .. } if wait > Duration::ZERO => count += 1,
                Action::Read { .. } => {
                    let branches = vec![branch("a", 3, "[entry]")];
                    machine.handle(now, Event::Read { branches, index: 9 }, &mut Vec::new());
                }
                _ => {}
            }
        }
    }
    count
}

fn machine_with_hosts(address: &str) -> Machine {
    let mut machine = machine();
    let text = format!(
        r#"[{{"host":"h","role":"entry","address":"{address}","availability_zone":"z1","state":"live"}}]"#
    );
    let event = Event::Hosts { revision: 1, text: Bytes::from(text) };
    machine.handle(Instant(3), event, &mut Vec::new());
    let branches = vec![branch("a", 3, "[entry]")];
    machine.handle(Instant(4), Event::Read { branches, index: 9 }, &mut Vec::new());
    machine
}

/// Guards against a blocking read that hangs and is never repeated, because the replies to
/// backup reads keep it from counting as failed.
#[test]
fn a_hanging_read_is_issued_again() {
    let count = blocking_reads(&mut machine_with_hosts("10.0.0.1:7000"), 60, None);
    assert!((4..=6).contains(&count), "{count}");
}

/// Guards against a process that never reads the service because it counts exchanges as complete
/// although the sender has newer revisions.
#[test]
fn an_exchange_with_missing_revisions_is_not_complete() {
    let mut machine = machine_with_hosts("10.0.0.9:7000");
    let digest = machine.digest().clone();
    let equal = Exchange { digest, ..exchange(Vec::new()) };
    assert_eq!(blocking_reads(&mut machine, 10, Some(&equal)), 0);
    let mut machine = machine_with_hosts("10.0.0.9:7000");
    let mut ahead = equal;
    ahead.digest.0.push((Bytes::from_static(b"z"), 12));
    assert_eq!(blocking_reads(&mut machine, 10, Some(&ahead)), 1);
}

/// Guards against a size limit that refuses the host list of the largest supported fleet.
#[test]
fn a_host_list_of_the_largest_fleet_is_accepted() {
    let record = |n: u32| {
        format!(
            r#"{{"host":"backend-{n:05}","role":"agent","address":"10.0.{}.{}:7000",
            "availability_zone":"zone-{:02}","pool":"assistant","speed":100,"state":"live"}}"#,
            n / 250,
            n % 250,
            n % 25
        )
    };
    let list: Vec<String> = (0..12_610).map(record).collect();
    let text = Bytes::from(format!("[{}]", list.join(",")));
    let mut actions = Vec::new();
    machine().handle(Instant(2), Event::Hosts { revision: 1, text }, &mut actions);
    assert!(actions.iter().any(|a| matches!(a, Action::Hosts(hosts) if hosts.len() == 12_610)));
}

/// Guards against processes with equal revisions that exchange full digests, and against a
/// differing hash whose reply has no full digest.
#[test]
fn only_an_equal_hash_replaces_the_full_digest() {
    let mut machine = machine_with_hosts("10.0.0.9:7000");
    let mut actions = Vec::new();
    // The first tick ends the start, during which full digests are sent.
    machine.handle(Instant(60_000_000), Event::Tick, &mut Vec::new());
    machine.handle(Instant(62_000_000), Event::Tick, &mut actions);
    let full = machine.digest().clone();
    assert!(full.0.len() > 1);
    let sent = actions.into_iter().find_map(|action| match action {
        Action::Send { exchange, .. } => Some(exchange.digest),
        _ => None,
    });
    let summary = sent.expect("a periodic exchange");
    assert_eq!(summary.0.len(), 1);
    let mut reply = |digest: &Digest| {
        let digest = digest.clone();
        let actions = send(&mut machine, Exchange { digest, ..exchange(Vec::new()) });
        actions.into_iter().find_map(|action| match action {
            Action::Reply { exchange, .. } => Some(exchange.digest),
            _ => None,
        })
    };
    assert_eq!(reply(&summary), Some(summary.clone()));
    let other = Digest(vec![(summary.0[0].0.clone(), summary.0[0].1 + 1)]);
    assert_eq!(reply(&other), Some(full));
}

quickcheck::quickcheck! {
    /// Guards against messages that panic the machine or lower a revision in force.
    fn arbitrary_messages_never_lower_a_revision(messages: Vec<(u8, u64, Vec<u8>)>) -> bool {
        let mut machine = machine();
        let mut before = Digest::default();
        for (kind, number, bytes) in messages {
            let bytes = Bytes::from(bytes);
            let name = if kind % 3 == 0 { Bytes::from_static(b"@hosts") } else { bytes.clone() };
            let peer = "10.0.0.2:7000".parse().unwrap();
            let branch = Branch { name: name.clone(), revision: number, text: bytes.clone() };
            let message = Exchange {
                digest: Digest(vec![(name.clone(), number)]),
                wanted: vec![name],
                ..exchange(vec![branch.clone()])
            };
            let event = match kind % 6 {
                0 => Event::Received { link: number, exchange: message },
                1 => Event::Replied { peer, exchange: message },
                2 => Event::Read { branches: vec![branch], index: number },
                3 => Event::Hosts { revision: number, text: bytes },
                4 => Event::DigestHash { peer, hash: number },
                _ => Event::SendFailed { peer },
            };
            machine.handle(Instant(number / 2), event, &mut Vec::new());
            let _ = machine.next_timer();
            let now = machine.digest().clone();
            let is_held = |(name, old): &(Bytes, u64)| {
                now.0.iter().any(|(held, revision)| held == name && revision >= old)
            };
            assert!(before.0.iter().all(is_held));
            before = now;
        }
        true
    }
}

/// Guards against a refresh after a pause that ends while a peer has newer revisions.
#[test]
fn a_refresh_ends_when_no_revision_is_missing() {
    let mut machine = machine();
    send(&mut machine, exchange(vec![branch("b", 1, "[entry]")]));
    machine.handle(Instant(3), Event::Refresh, &mut Vec::new());
    let refreshed =
        |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Refreshed));
    let newer = |branches| {
        let digest = Digest([(Bytes::from_static(b"b"), 2)].into());
        Exchange { digest, ..exchange(branches) }
    };
    assert!(!refreshed(&send(&mut machine, newer(Vec::new()))), "revision 2 is missing");
    assert!(refreshed(&send(&mut machine, newer(vec![branch("b", 2, "[entry]")]))));
    assert!(!refreshed(&send(&mut machine, newer(Vec::new()))), "reported once");
}
