//! Evacuated zones: no request reaches their servers, and evacuations outlast faults of the store.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{MODEL, MS, PLAIN, TestGateway, record, request};
use gate::{
    Action, Event,
    backends::Record,
    event::{AttemptResult, RequestNumber},
    refusal::Reason,
    request::{Request, Resumption, Tokens},
    statement::{Pause, Statement},
};

/// Time for which an evacuation that the store lost stays in force.
const GRACE: Duration = Duration::from_secs(10);

fn in_zone(zone: &'static str, port: u16, service: &str) -> Record {
    Record { zone: zone.into(), started: Some(u64::from(port)), ..record(service, port) }
}

/// Returns a gateway with a server in each of the zones.
fn start(service: &str, zones: &[&'static str]) -> TestGateway {
    let mut gateway = TestGateway::new();
    for (n, zone) in zones.iter().enumerate() {
        gateway.add(&format!("{zone}{n}"), in_zone(zone, 9_000 + n as u16, service));
    }
    gateway
}

fn set(gateway: &mut TestGateway, zone: &'static str, is_active: bool) {
    gateway.feed(Event::Evacuation { zone: zone.into(), is_active });
}

/// Feeds a read of all items with these evacuations, of the era of the store that is known.
fn read_all(gateway: &mut TestGateway, zones: &[&'static str]) {
    let zones = zones.iter().map(|zone| Bytes::from_static(zone.as_bytes()));
    gateway.feed(Event::Evacuations(zones.collect()));
}

fn restore(gateway: &mut TestGateway, zones: &[&'static str]) {
    gateway.feed(Event::StoreRestored);
    read_all(gateway, zones);
}

/// Returns the zone that a request is sent to.
fn zone_of(gateway: &mut TestGateway, number: RequestNumber) -> Option<Bytes> {
    gateway.dispatched(number).map(|dispatch| dispatch.zone)
}

/// Returns whether one of some requests that are sent at once reaches the zone.
fn is_used(gateway: &mut TestGateway, zone: &str) -> bool {
    let numbers: Vec<RequestNumber> = (0..4).map(|_| gateway.arrive(request("status"))).collect();
    let zones: Vec<_> = numbers.iter().map(|number| zone_of(gateway, *number)).collect();
    numbers.into_iter().for_each(|number| gateway.feed(Event::Closed { number }));
    gateway.actions.clear();
    zones.iter().flatten().any(|used| used == zone)
}

/// Guards against new and waiting requests that are sent to an evacuated zone, also when a slot
/// becomes free there, and against one that is not used after its end.
#[test]
fn new_and_waiting_requests_go_to_other_zones() {
    let mut gateway = start(PLAIN, &["a", "b"]);
    let first: Vec<RequestNumber> = (0..4).map(|_| gateway.arrive(request("status"))).collect();
    let waiting = gateway.arrive(request("bid"));
    let zones: Vec<_> = first.iter().map(|number| zone_of(&mut gateway, *number)).collect();
    set(&mut gateway, "a", true);
    let place = |zone: &str| zones.iter().position(|used| used.as_deref() == Some(zone.as_bytes()));
    let (here, there) = (first[place("a").expect("used")], first[place("b").expect("used")]);
    gateway.end(here, AttemptResult::Complete);
    assert_eq!(zone_of(&mut gateway, waiting), None);
    gateway.end(there, AttemptResult::Complete);
    assert_eq!(zone_of(&mut gateway, waiting).as_deref(), Some(&b"b"[..]));
    first.into_iter().for_each(|number| gateway.feed(Event::Closed { number }));
    assert!(!is_used(&mut gateway, "a"));
    set(&mut gateway, "a", false);
    assert!(is_used(&mut gateway, "a"));
    assert_eq!(gateway.machine.evacuations().ended_at(b"a"), Some(gateway.now));
}

/// Guards against retries, failovers, moves and trials in an evacuated zone.
#[test]
fn no_second_attempt_goes_to_an_evacuated_zone() {
    let attempts: [fn(&mut TestGateway, RequestNumber); 5] = [
        |gateway, number| gateway.feed(Event::Rejected { number, retry_after: None }),
        |gateway, number| gateway.feed(Event::NotSent { number }),
        |gateway, number| gateway.feed(Event::Misdirected { number }),
        |gateway, number| gateway.end(number, AttemptResult::Broken),
        |gateway, number| gateway.feed(Event::Unresponsive { number }),
    ];
    let reasons = [Reason::Overload, Reason::NoBackend, Reason::NoBackend, Reason::Lost].map(Some);
    let reasons = reasons.into_iter().chain([None]);
    for (n, (fail, reason)) in attempts.into_iter().zip(reasons).enumerate() {
        for others in [&["b", "b", "b"][..], &["b", "b", "c"]] {
            let mut gateway = start(PLAIN, others);
            set(&mut gateway, "b", true);
            gateway.add("a", in_zone("a", 9_100, PLAIN));
            set(&mut gateway, "c", true);
            let number = gateway.arrive(request("status"));
            assert_eq!(zone_of(&mut gateway, number).as_deref(), Some(&b"a"[..]));
            set(&mut gateway, "c", false);
            fail(&mut gateway, number);
            gateway.advance(100 * MS);
            let expected = others.contains(&"c").then_some(&b"c"[..]);
            assert_eq!(zone_of(&mut gateway, number).as_deref(), expected, "{n} {others:?}");
            let reason = reason.filter(|_| expected.is_none());
            assert_eq!(gateway.reason(number), reason, "{n} {others:?}");
        }
    }
}

/// Guards against the trial request to a server whose pause ends while its zone is evacuated.
#[test]
fn a_server_whose_pause_ends_gets_no_trial() {
    let mut gateway = start(PLAIN, &["a", "b"]);
    let number = gateway.arrive(request("status"));
    assert_eq!(zone_of(&mut gateway, number).as_deref(), Some(&b"a"[..]));
    let pause = Some(Pause::For(200 * MS));
    gateway.feed(Event::Stated { number, statement: Statement { pause, ..Statement::default() } });
    set(&mut gateway, "a", true);
    gateway.advance(300 * MS);
    assert!(!is_used(&mut gateway, "a"));
}

/// Guards against a request that is lost or sent after all because its zone was evacuated while it
/// waited for a connection.
#[test]
fn a_request_that_was_not_written_goes_to_another_zone() {
    for others in [&["a"][..], &["a", "b"]] {
        let mut gateway = start(PLAIN, others);
        let number = gateway.arrive(request("bid"));
        assert_eq!(zone_of(&mut gateway, number).as_deref(), Some(&b"a"[..]));
        set(&mut gateway, "a", true);
        gateway.feed(Event::Withdrawn { number });
        match others.len() {
            1 => assert_eq!(gateway.reason(number), Some(Reason::Evacuated)),
            _ => assert_eq!(zone_of(&mut gateway, number).as_deref(), Some(&b"b"[..])),
        }
        set(&mut gateway, "a", false);
        assert!(is_used(&mut gateway, "a"), "the server is not taken for unreachable");
    }
}

/// Guards against servers that join, restart, move or were withheld while their zone is evacuated.
#[test]
fn records_read_later_are_of_evacuated_servers() {
    let mut gateway = start(PLAIN, &["b"]);
    set(&mut gateway, "a", true);
    gateway.add("new", in_zone("a", 9_010, PLAIN));
    assert!(!is_used(&mut gateway, "a"));
    gateway.add("new", in_zone("a", 9_011, PLAIN));
    assert!(!is_used(&mut gateway, "a"));
    gateway.add("new", in_zone("c", 9_011, PLAIN));
    gateway.add("b0", in_zone("a", 9_000, PLAIN));
    assert!(!is_used(&mut gateway, "a"), "its record names another zone");
    gateway.feed(Event::Record { id: "new".into(), record: None });
    restore(&mut gateway, &["a", "c"]);
    let records = vec![("new".into(), in_zone("c", 9_011, PLAIN))];
    gateway.feed(Event::Records(records));
    gateway.advance_confirmed(Duration::from_secs(6));
    assert!(!is_used(&mut gateway, "c"), "a record that was withheld");
}

/// Guards against callers that wait although all servers are evacuated, and against a refusal while
/// one is left elsewhere.
#[test]
fn a_service_without_other_zones_refuses_at_once() {
    let mut gateway = start(PLAIN, &["a", "b"]);
    set(&mut gateway, "a", true);
    set(&mut gateway, "b", true);
    let number = gateway.arrive(request("status"));
    let refusal = gateway.refused(number).expect("refused");
    assert_eq!((refusal.reason, refusal.reason.status()), (Reason::Evacuated, 503));
    assert!(refusal.retry_after.is_some());
    gateway.add("c", Record { slots: 0, ..in_zone("c", 9_020, PLAIN) });
    let number = gateway.arrive(request("status"));
    assert_eq!(gateway.reason(number), None, "waits for a slot");
    set(&mut gateway, "c", true);
    assert_eq!(gateway.reason(number), Some(Reason::Evacuated), "waiting at the evacuation");
}

/// Guards against a stream that goes on in an evacuated zone or at another version, and against a
/// wait where no server of its version is left.
#[test]
fn a_stream_goes_on_only_at_its_version_elsewhere() {
    for (version, is_resumed) in [("v1", true), ("v2", false)] {
        let mut gateway = start(MODEL, &["a", "a"]);
        let number = gateway.arrive(request("resumable"));
        assert_eq!(zone_of(&mut gateway, number).as_deref(), Some(&b"a"[..]));
        gateway.feed(Event::FirstEvent { number });
        let other = Record { version: version.into(), ..in_zone("b", 9_010, MODEL) };
        gateway.add("other", other);
        set(&mut gateway, "a", true);
        gateway.end(number, AttemptResult::Broken);
        let zone = zone_of(&mut gateway, number);
        assert_eq!(zone.as_deref(), is_resumed.then_some(&b"b"[..]));
        assert_eq!(gateway.reason(number), (!is_resumed).then_some(Reason::Lost));
        // The caller takes the stream up itself.
        let resumption = Some(Resumption { first_attempt: Some("id".into()) });
        let taken_up = gateway.arrive(Request { resumption, ..request("resumable") });
        let zone = zone_of(&mut gateway, taken_up);
        assert_eq!(zone.as_deref(), is_resumed.then_some(&b"b"[..]));
        assert_eq!(gateway.reason(taken_up), (!is_resumed).then_some(Reason::Evacuated));
    }
}

/// Guards against an evacuation that ends during an outage of the store, and one that goes on
/// though a read of all items lacks it.
#[test]
fn evacuations_last_through_outages_and_end_with_a_full_read() {
    let mut gateway = start(PLAIN, &["a", "b"]);
    set(&mut gateway, "a", true);
    for _ in 0..30 {
        gateway.feed(Event::StoreUnreachable);
        gateway.advance(Duration::from_secs(1));
    }
    assert!(gateway.machine.evacuations().is_evacuated(b"a"));
    gateway.confirm();
    assert!(!is_used(&mut gateway, "a"));
    read_all(&mut gateway, &["b"]);
    assert!(!is_used(&mut gateway, "b"));
    assert!(is_used(&mut gateway, "a"));
}

/// Guards against requests to a zone whose evacuation the store lost and has again soon, and
/// against an evacuation without end if it hasn't.
#[test]
fn an_evacuation_that_the_store_lost_lasts_for_a_while() {
    for is_written_again in [true, false] {
        let mut gateway = start(PLAIN, &["a", "b"]);
        set(&mut gateway, "a", true);
        restore(&mut gateway, &["b"]);
        assert!(gateway.machine.evacuations().is_evacuated(b"b"), "the copy has it");
        gateway.advance_confirmed(GRACE / 2);
        read_all(&mut gateway, &["b"]);
        gateway.advance_confirmed(GRACE / 2 - 200 * MS);
        assert!(!is_used(&mut gateway, "a"));
        if is_written_again {
            set(&mut gateway, "a", true);
        }
        gateway.advance_confirmed(GRACE);
        assert_eq!(is_used(&mut gateway, "a"), !is_written_again);
    }
}

/// Guards against the end of a lost evacuation while what was written since can't be read, and
/// against one that outlasts the operators' removal.
#[test]
fn a_lost_evacuation_ends_only_by_what_was_read() {
    let mut gateway = start(PLAIN, &["a", "b"]);
    set(&mut gateway, "a", true);
    restore(&mut gateway, &[]);
    gateway.advance(2 * GRACE);
    assert!(gateway.machine.evacuations().is_evacuated(b"a"), "the store is unavailable");
    gateway.advance_confirmed(200 * MS);
    assert!(!gateway.machine.evacuations().is_evacuated(b"a"));
    set(&mut gateway, "a", true);
    restore(&mut gateway, &[]);
    set(&mut gateway, "a", false);
    assert!(is_used(&mut gateway, "a"));
}

/// Offers five times the load that the server in zone `b` can answer while zone `a` is evacuated, and
/// returns the paths of the requests that were refused before their waiting time was over.
fn refused_early(zones: &[&'static str]) -> Vec<Bytes> {
    let mut gateway = start(MODEL, zones);
    set(&mut gateway, "a", true);
    let mut running: Vec<RequestNumber> = Vec::new();
    let mut arrived = std::collections::HashMap::new();
    let mut early = Vec::new();
    for step in 0..400 {
        if step % 20 == 0 {
            let ended = std::mem::take(&mut running);
            ended.into_iter().for_each(|number| gateway.end(number, AttemptResult::Complete));
            for path in std::iter::once("essay").chain(["tag"; 9]) {
                let tokens = Some(Tokens { prompt: 100, max_output: 10 });
                let number = gateway.arrive(Request { tokens, ..request(path) });
                arrived.insert(number, (gateway.now, path));
            }
        }
        gateway.advance_confirmed(10 * MS);
        for action in std::mem::take(&mut gateway.actions) {
            match action {
                Action::Dispatch(dispatch) => running.push(dispatch.number),
                Action::Refuse { number, .. } => {
                    let (at, path) = arrived[&number];
                    let is_early = gateway.now.since(at) < 300 * MS;
                    early.extend(is_early.then(|| Bytes::from_static(path.as_bytes())));
                }
                _ => {}
            }
        }
    }
    early
}

/// Guards against requests that wait although those before them take all that the other zones can
/// do, and against the refusal of the most urgent ones.
#[test]
fn the_least_urgent_requests_beyond_the_capacity_are_refused_early() {
    let early = refused_early(&["a", "b"]);
    assert!(early.len() > 10, "{early:?}");
    assert!(early.iter().all(|path| path == "tag"), "{early:?}");
    assert!(refused_early(&["b"]).is_empty(), "no evacuated servers");
}

/// Guards against other decisions where no zone with servers is evacuated.
#[test]
fn an_evacuation_of_a_zone_without_servers_changes_nothing() {
    let run = |is_evacuated: bool| {
        let mut gateway = start(PLAIN, &["a", "b", "b"]);
        set(&mut gateway, "other", is_evacuated);
        for n in 0..60u64 {
            let path = ["status", "bid", "public"][n as usize % 3];
            gateway.arrive(request(path));
            gateway.advance_confirmed(20 * MS);
            match n % 4 {
                0 => gateway.end(n / 2, AttemptResult::Broken),
                1 => gateway.feed(Event::Rejected { number: n / 2, retry_after: None }),
                2 => gateway.feed(Event::NotSent { number: n / 3 }),
                _ => gateway.end(n / 3, AttemptResult::Complete),
            }
        }
        format!("{:?}", gateway.actions)
    };
    assert_eq!(run(true), run(false));
}
