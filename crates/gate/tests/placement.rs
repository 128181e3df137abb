//! Placement of requests under load, and backend servers that get none.

mod common;

use std::time::Duration;

use common::{MODEL, MS, TestGateway, record, request};
use gate::{Event, event::AttemptResult, message, request::Request};

/// Feeds a peer's reports of a backend server's speed.
fn report_speed(gateway: &mut TestGateway, id: &[u8], prompt_ms: f32, event_ms: f32) {
    let speed = message::Speed { prompt_ms, event_ms, samples: 9 };
    let hash = gate::quota::hash(id) as u32;
    let message = message::Message {
        process: 77,
        from: Some(([127, 0, 0, 9], 1).into()),
        sequence: gateway.now.0 + u64::from(hash) % 1_000,
        speeds: vec![(hash, speed)],
        ..message::Message::default()
    };
    for step in 0..9 {
        let mut message = message.clone();
        message.sequence += step * 1_000;
        message.speeds[0].1.samples += step as u32;
        gateway.feed(Event::StateReceived(message));
    }
}

/// Returns a gateway with one backend server that runs one request at a time.
fn with_one_slot() -> TestGateway {
    let mut gateway = TestGateway::new();
    let mut one = record(MODEL, 9_000);
    one.slots = 1;
    gateway.add("r0", one);
    gateway
}

/// Guards against new requests at a backend server that drains.
#[test]
fn draining_backends_get_no_requests() {
    let mut gateway = TestGateway::with_backends(MODEL, 2);
    let mut leaving = record(MODEL, 9_000);
    leaving.draining = true;
    gateway.add("r0", leaving);
    for _ in 0..2 {
        let number = gateway.arrive(request("essay"));
        assert_eq!(gateway.dispatched(number).expect("dispatched").id, "r1");
    }
    gateway.feed(Event::Record { id: "r1".into(), record: None });
    let number = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(number).is_none());
}

/// Guards against requests to a backend server whose record expired during an outage of the store
/// and was not written again, and against the removal of one whose record was.
#[test]
fn records_that_expired_in_an_outage_may_be_written_again() {
    let mut gateway = TestGateway::with_backends(MODEL, 2);
    gateway.feed(Event::StoreUnreachable);
    gateway.feed(Event::Records(Vec::new()));
    gateway.confirm();
    let number = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(number).is_some(), "the backend server may be running");
    gateway.end(number, AttemptResult::Complete);
    gateway.add("r1", record(MODEL, 9_001));
    gateway.advance_confirmed(Duration::from_secs(2));
    for _ in 0..2 {
        let number = gateway.arrive(request("essay"));
        assert_eq!(gateway.dispatched(number).expect("dispatched").id, "r1");
    }
}

/// Guards against requests to a backend server whose record is missing from a read although there
/// was no outage of the store.
#[test]
fn a_read_without_an_outage_removes_missing_backends_at_once() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    gateway.feed(Event::Records(Vec::new()));
    let number = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(number).is_none());
}

/// Guards against load from before a restart counted at a backend server that restarts under the
/// same identifier: its slots would never be free.
#[test]
fn a_restarted_backend_has_no_load() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    for _ in 0..2 {
        let number = gateway.arrive(request("essay"));
        gateway.dispatched(number).expect("dispatched");
    }
    let waiting = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(waiting).is_none(), "both slots are taken");
    let mut again = record(MODEL, 9_000);
    again.started = Some(2);
    gateway.add("r0", again);
    assert!(gateway.dispatched(waiting).is_some());
}

/// Guards against lower tiers that take the slots for which a higher tier waits.
#[test]
fn the_higher_tier_goes_first() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    let running: Vec<_> = (0..2).map(|_| gateway.arrive(request("tag"))).collect();
    let tag = gateway.arrive(request("tag"));
    let essay = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(tag).is_none() && gateway.dispatched(essay).is_none());
    gateway.end(running[0], AttemptResult::Complete);
    assert!(gateway.dispatched(essay).is_some());
    assert!(gateway.dispatched(tag).is_none());
}

/// Guards against long prompts at slow backend servers while fast ones are available: their first
/// event would miss the objective.
#[test]
fn long_prompts_go_to_fast_backends() {
    let mut gateway = TestGateway::with_backends(MODEL, 2);
    report_speed(&mut gateway, b"r0", 0.2, 60.0);
    report_speed(&mut gateway, b"r1", 0.012, 15.0);
    gateway.advance_confirmed(200 * MS);
    let mut long = request("essay");
    long.tokens.as_mut().expect("tokens").prompt = 8_000;
    for _ in 0..2 {
        let number = gateway.arrive(long.clone());
        assert_eq!(gateway.dispatched(number).expect("dispatched").id, "r1");
    }
    let third = gateway.arrive(long);
    assert!(gateway.dispatched(third).is_none(), "it waits for the fast backend server");
    let short = gateway.arrive(request("tag"));
    assert_eq!(gateway.dispatched(short).expect("dispatched").id, "r0");
    gateway.end(short, AttemptResult::Complete);
    gateway.advance_confirmed(300 * MS);
    assert!(gateway.dispatched(third).is_some(), "late is better than refused");
}

/// Guards against several gateways that each use all free slots of a backend server at the same
/// time: while requests wait at other gateways, each takes a part of them.
#[test]
fn free_slots_are_divided_while_requests_wait_at_other_gateways() {
    let mut gateway = TestGateway::new();
    let message = message::Message {
        process: 2,
        from: Some(([127, 0, 0, 9], 1).into()),
        sequence: 1,
        waiting: vec![(gate::quota::hash(MODEL.as_bytes()), 30)],
        ..message::Message::default()
    };
    gateway.feed(Event::StateReceived(message));
    let mut large = record(MODEL, 9_000);
    large.slots = 9;
    let numbers: Vec<_> = (0..9).map(|_| gateway.arrive(request("tag"))).collect();
    gateway.add("r0", large);
    let taken = numbers.iter().filter(|number| gateway.dispatched(**number).is_some()).count();
    assert!((1..=4).contains(&taken), "{taken} of 9 slots");
}

/// Guards against repeated requests to a backend server that can't be reached.
#[test]
fn unreachable_backends_are_probed_before_use() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    let number = gateway.arrive(request("essay"));
    let first = gateway.dispatched(number).expect("dispatched");
    gateway.feed(Event::NotSent { number });
    gateway.feed(Event::Closed { number });
    let waiting = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(waiting).is_none());
    gateway.feed(Event::Probed { backend: first.backend, reachable: true });
    assert!(gateway.dispatched(waiting).is_some());
}

/// Guards against slots taken by requests that are late in any case while others could still be in
/// time: after a burst, most waiting callers have been refused before.
#[test]
fn requests_that_can_be_in_time_go_first() {
    let mut gateway = with_one_slot();
    let running = gateway.arrive(request("essay"));
    gateway.dispatched(running).expect("dispatched");
    let retry = Request { deadline: Some(Duration::from_secs(7)), ..request("essay") };
    let retry = gateway.arrive(retry);
    let fresh = gateway.arrive(request("essay"));
    gateway.end(running, AttemptResult::Complete);
    assert!(gateway.dispatched(fresh).is_some(), "the first attempt of its caller");
    assert!(gateway.dispatched(retry).is_none());
    gateway.end(fresh, AttemptResult::Complete);
    assert!(gateway.dispatched(retry).is_some(), "it is served when a slot is free");
}

/// Guards against all other callers counted as overdue because one caller states a long deadline.
#[test]
fn one_long_deadline_makes_no_other_caller_overdue() {
    let mut gateway = with_one_slot();
    let long = Request { deadline: Some(Duration::from_secs(600)), ..request("essay") };
    for arriving in [request("essay"), long] {
        let number = gateway.arrive(arriving);
        gateway.dispatched(number).expect("dispatched");
        gateway.end(number, AttemptResult::Complete);
    }
    let running = gateway.arrive(request("essay"));
    gateway.dispatched(running).expect("dispatched");
    let first = gateway.arrive(request("essay"));
    let second =
        gateway.arrive(Request { deadline: Some(Duration::from_secs(20)), ..request("essay") });
    gateway.end(running, AttemptResult::Complete);
    assert!(
        gateway.dispatched(first).is_some(),
        "neither is overdue, so the first arrival goes first"
    );
    assert!(gateway.dispatched(second).is_none());
}

/// Guards against an overdue request of an urgent route that goes before requests of the same
/// account that could still be in time.
#[test]
fn overdue_requests_go_last_within_an_accounts_tier() {
    let mut gateway = with_one_slot();
    let running = gateway.arrive(request("essay"));
    gateway.dispatched(running).expect("dispatched");
    let retry = Request { deadline: Some(Duration::from_secs(7)), ..request("essay") };
    let retry = gateway.arrive(retry);
    let tag = gateway.arrive(request("tag"));
    let essay = gateway.arrive(request("essay"));
    for (done, next) in [(running, essay), (essay, tag), (tag, retry)] {
        gateway.end(done, AttemptResult::Complete);
        assert!(gateway.dispatched(next).is_some());
    }
}
