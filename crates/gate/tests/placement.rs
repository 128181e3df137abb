//! Where requests go under load, and which backend servers get none.

mod common;

use std::time::Duration;

use common::{MODEL, MS, World, record, request};
use gate::{Event, event::Outcome, message, request::Request};

/// Teaches the gateway how fast a backend server is, as a peer would.
fn teach(world: &mut World, id: &[u8], prompt_ms: f32, event_ms: f32) {
    let speed = message::Speed { prompt_ms, event_ms, samples: 9 };
    let hash = gate::quota::hash(id) as u32;
    let message = message::Message {
        process: 77,
        from: Some(([127, 0, 0, 9], 1).into()),
        sequence: world.now.0 + u64::from(hash) % 1_000,
        speeds: vec![(hash, speed)],
        ..message::Message::default()
    };
    for step in 0..9 {
        let mut message = message.clone();
        message.sequence += step * 1_000;
        message.speeds[0].1.samples += step as u32;
        world.feed(Event::StateReceived(message));
    }
}

/// Returns a gateway with one backend server that runs one request at a time.
fn with_one_place() -> World {
    let mut world = World::new();
    let mut one = record(MODEL, 9_000);
    one.slots = 1;
    world.add("r0", one);
    world
}

/// Guards against new work at a backend server that said it leaves.
#[test]
fn leaving_replicas_get_nothing() {
    let mut world = World::with_replicas(MODEL, 2);
    let mut leaving = record(MODEL, 9_000);
    leaving.draining = true;
    world.add("r0", leaving);
    for _ in 0..2 {
        let number = world.arrive(request("essay"));
        assert_eq!(world.dispatched(number).expect("dispatched").id, "r1");
    }
    world.feed(Event::Record { id: "r1".into(), record: None });
    let number = world.arrive(request("essay"));
    assert!(world.dispatched(number).is_none());
}

/// Guards against requests sent to a backend server whose record lapsed while the store was away and did
/// not come back, and against dropping one whose record does.
#[test]
fn lapsed_records_have_two_seconds_to_return() {
    let mut world = World::with_replicas(MODEL, 2);
    world.feed(Event::StoreUnreachable);
    world.feed(Event::Records(Vec::new()));
    world.confirm();
    let number = world.arrive(request("essay"));
    assert!(world.dispatched(number).is_some(), "it may live");
    world.end(number, Outcome::Complete);
    world.add("r1", record(MODEL, 9_001));
    world.advance_confirmed(Duration::from_secs(2));
    for _ in 0..2 {
        let number = world.arrive(request("essay"));
        assert_eq!(world.dispatched(number).expect("dispatched").id, "r1");
    }
}

/// Guards against a reading of a store that was never away keeping a backend server that is gone.
#[test]
fn a_reading_without_an_outage_drops_at_once() {
    let mut world = World::with_replicas(MODEL, 1);
    world.feed(Event::Records(Vec::new()));
    let number = world.arrive(request("essay"));
    assert!(world.dispatched(number).is_none());
}

/// Guards against load of its predecessor counted at a backend server that started again under its
/// identifier: its places would never be free.
#[test]
fn a_replica_that_starts_again_is_new() {
    let mut world = World::with_replicas(MODEL, 1);
    for _ in 0..2 {
        let number = world.arrive(request("essay"));
        world.dispatched(number).expect("dispatched");
    }
    let waiting = world.arrive(request("essay"));
    assert!(world.dispatched(waiting).is_none(), "both places are taken");
    let mut again = record(MODEL, 9_000);
    again.started = Some(2);
    world.add("r0", again);
    assert!(world.dispatched(waiting).is_some());
}

/// Guards against lower tiers that take the places for which a higher one waits.
#[test]
fn the_higher_tier_goes_first() {
    let mut world = World::with_replicas(MODEL, 1);
    let running: Vec<_> = (0..2).map(|_| world.arrive(request("tag"))).collect();
    let tag = world.arrive(request("tag"));
    let essay = world.arrive(request("essay"));
    assert!(world.dispatched(tag).is_none() && world.dispatched(essay).is_none());
    world.end(running[0], Outcome::Complete);
    assert!(world.dispatched(essay).is_some());
    assert!(world.dispatched(tag).is_none());
}

/// Guards against long prompts at slow backend servers while fast ones are free: their first event
/// would miss the objective.
#[test]
fn long_prompts_go_to_fast_replicas() {
    let mut world = World::with_replicas(MODEL, 2);
    teach(&mut world, b"r0", 0.2, 60.0);
    teach(&mut world, b"r1", 0.012, 15.0);
    world.advance_confirmed(200 * MS);
    let mut long = request("essay");
    long.tokens.as_mut().expect("tokens").prompt = 8_000;
    for _ in 0..2 {
        let number = world.arrive(long.clone());
        assert_eq!(world.dispatched(number).expect("dispatched").id, "r1");
    }
    let third = world.arrive(long);
    assert!(world.dispatched(third).is_none(), "it waits for the fast backend");
    let short = world.arrive(request("tag"));
    assert_eq!(world.dispatched(short).expect("dispatched").id, "r0");
    world.end(short, Outcome::Complete);
    world.advance_confirmed(300 * MS);
    assert!(world.dispatched(third).is_some(), "late is better than refused");
}

/// Guards against several gateways that each fill a backend server at the same moment: with requests
/// waiting at the others, one takes its part of the free places.
#[test]
fn free_places_are_divided_while_calls_wait_elsewhere() {
    let mut world = World::new();
    let message = message::Message {
        process: 2,
        from: Some(([127, 0, 0, 9], 1).into()),
        sequence: 1,
        waiting: vec![(gate::quota::hash(MODEL.as_bytes()), 30)],
        ..message::Message::default()
    };
    world.feed(Event::StateReceived(message));
    let mut large = record(MODEL, 9_000);
    large.slots = 9;
    let numbers: Vec<_> = (0..9).map(|_| world.arrive(request("tag"))).collect();
    world.add("r0", large);
    let taken = numbers.iter().filter(|number| world.dispatched(**number).is_some()).count();
    assert!((1..=4).contains(&taken), "{taken} of 9 places");
}

/// Guards against requests sent again and again to a backend server that can't be reached.
#[test]
fn unreachable_replicas_are_probed_before_use() {
    let mut world = World::with_replicas(MODEL, 1);
    let number = world.arrive(request("essay"));
    let first = world.dispatched(number).expect("dispatched");
    world.feed(Event::NotSent { number });
    world.feed(Event::Closed { number });
    let waiting = world.arrive(request("essay"));
    assert!(world.dispatched(waiting).is_none());
    world.feed(Event::Probed { backend: first.backend, reachable: true });
    assert!(world.dispatched(waiting).is_some());
}

/// Guards against places taken by callers whose answer is late in any case while others could
/// still be served in time: after a burst most of those who wait have been refused before.
#[test]
fn calls_that_can_be_in_time_go_first() {
    let mut world = with_one_place();
    let running = world.arrive(request("essay"));
    world.dispatched(running).expect("dispatched");
    let back = Request { deadline: Some(Duration::from_secs(7)), ..request("essay") };
    let back = world.arrive(back);
    let fresh = world.arrive(request("essay"));
    world.end(running, Outcome::Complete);
    assert!(world.dispatched(fresh).is_some(), "the first request of its caller");
    assert!(world.dispatched(back).is_none());
    world.end(fresh, Outcome::Complete);
    assert!(world.dispatched(back).is_some(), "it is served when a place is free");
}

/// Guards against all callers taken for late ones because one states a long deadline.
#[test]
fn one_long_deadline_makes_no_caller_late() {
    let mut world = with_one_place();
    let long = Request { deadline: Some(Duration::from_secs(600)), ..request("essay") };
    for deadline in [request("essay"), long] {
        let number = world.arrive(deadline);
        world.dispatched(number).expect("dispatched");
        world.end(number, Outcome::Complete);
    }
    let running = world.arrive(request("essay"));
    world.dispatched(running).expect("dispatched");
    let first = world.arrive(request("essay"));
    let second =
        world.arrive(Request { deadline: Some(Duration::from_secs(20)), ..request("essay") });
    world.end(running, Outcome::Complete);
    assert!(world.dispatched(first).is_some(), "first come, first served");
    assert!(world.dispatched(second).is_none());
}

/// Guards against an overdue request of an urgent route that goes before requests of the same account
/// that could still be in time.
#[test]
fn overdue_calls_go_last_within_an_accounts_tier() {
    let mut world = with_one_place();
    let running = world.arrive(request("essay"));
    world.dispatched(running).expect("dispatched");
    let back = Request { deadline: Some(Duration::from_secs(7)), ..request("essay") };
    let back = world.arrive(back);
    let tag = world.arrive(request("tag"));
    let essay = world.arrive(request("essay"));
    for (done, next) in [(running, essay), (essay, tag), (tag, back)] {
        world.end(done, Outcome::Complete);
        assert!(world.dispatched(next).is_some());
    }
}
