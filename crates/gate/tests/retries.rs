//! What may be sent again, and what a refusal promises.

mod common;

use std::time::Duration;

use common::{MODEL, PLAIN, World, request};
use gate::{Event, event::Outcome, refusal::Reason};

/// Guards against an unsafe request that runs twice after its answer was lost.
#[test]
fn a_lost_answer_of_an_unsafe_call_is_final() {
    let mut world = World::with_replicas(PLAIN, 3);
    let number = world.arrive(request("bid"));
    world.dispatched(number).expect("dispatched");
    world.end(number, Outcome::Broken);
    assert!(world.dispatched(number).is_none());
    let refusal = world.refused(number).expect("refused");
    assert_eq!(refusal.reason.status(), 502, "it may have run, so nothing is promised");
    assert_eq!(refusal.retry_after, None);
}

/// Guards against a request that is given up although nothing of it was sent.
#[test]
fn an_unsent_call_goes_to_another_replica() {
    let mut world = World::with_replicas(PLAIN, 2);
    let number = world.arrive(request("bid"));
    let first = world.dispatched(number).expect("dispatched");
    world.feed(Event::NotSent { number });
    let second = world.dispatched(number).expect("dispatched again");
    assert_ne!(first.backend, second.backend);
}

/// Guards against a request that is dropped on the backend server's own word that it has not run.
#[test]
fn a_rejected_call_goes_to_another_replica() {
    let mut world = World::with_replicas(PLAIN, 2);
    let number = world.arrive(request("bid"));
    let first = world.dispatched(number).expect("dispatched");
    world.feed(Event::Rejected { number, retry_after: None });
    let second = world.dispatched(number).expect("dispatched again");
    assert_ne!(first.backend, second.backend);
    world.end(number, Outcome::Broken);
    assert_eq!(world.reason(number), Some(Reason::Lost));
}

/// Guards against a safe request that runs on more backend servers than its route allows.
#[test]
fn attempts_are_bounded_by_the_route() {
    let mut world = World::with_replicas(PLAIN, 4);
    let number = world.arrive(request("status"));
    for _ in 0..2 {
        world.dispatched(number).expect("dispatched");
        world.end(number, Outcome::Failed);
    }
    assert!(world.dispatched(number).is_none());
    assert_eq!(world.reason(number), Some(Reason::Lost));
}

/// Guards against repeats that multiply the load while backend servers fail: all of them together
/// stay below the ratio and the slack of a deployment with one gateway.
#[test]
fn repeats_are_bounded_by_the_budget() {
    let mut world = World::with_replicas(PLAIN, 8);
    let (mut requests, mut repeats) = (0.0, 0.0);
    for _ in 0..400 {
        let number = world.arrive(request("status"));
        requests += 1.0;
        world.dispatched(number).expect("dispatched");
        world.end(
            number,
            if number.is_multiple_of(2) { Outcome::Complete } else { Outcome::Failed },
        );
        if world.dispatched(number).is_some() {
            repeats += 1.0;
            world.end(number, Outcome::Complete);
        }
        world.advance_confirmed(Duration::from_millis(25));
    }
    assert!(repeats > 20.0, "the budget is used");
    assert!(repeats <= requests * 0.2 + 54.0, "{repeats} repeats of {requests} requests");
}

/// Guards against an answer that is ended because a backend server is silent while no other can take
/// the request: on the bench a stream was cut 7 s before its deadline.
#[test]
fn silence_ends_nothing_without_another_replica() {
    let mut world = World::with_replicas(MODEL, 1);
    let number = world.arrive(request("resumable"));
    world.dispatched(number).expect("dispatched");
    world.feed(Event::Unresponsive { number });
    assert!(world.dispatched(number).is_none());
    assert!(world.refused(number).is_none());
    world.end(number, Outcome::Complete);
    assert_eq!(world.machine.open_count(), 0);
}

/// Guards against a resumable stream that waits for a silent backend server although another is free.
#[test]
fn a_silent_stream_moves() {
    let mut world = World::with_replicas(MODEL, 2);
    let number = world.arrive(request("resumable"));
    let first = world.dispatched(number).expect("dispatched");
    world.feed(Event::Unresponsive { number });
    let second = world.dispatched(number).expect("moved");
    assert_ne!(first.backend, second.backend);
}

/// Guards against a stream that may not be resumed being sent to a second backend server.
#[test]
fn a_stream_that_may_not_be_resumed_stays() {
    let mut world = World::with_replicas(MODEL, 2);
    let number = world.arrive(request("essay"));
    world.dispatched(number).expect("dispatched");
    world.feed(Event::Unresponsive { number });
    assert!(world.dispatched(number).is_none());
    world.end(number, Outcome::Broken);
    assert_eq!(world.reason(number), Some(Reason::Lost));
}

/// Guards against copies of a poison request that crash a third backend server.
#[test]
fn poison_calls_are_refused_after_two_crashes() {
    let mut world = World::with_replicas(MODEL, 4);
    for _ in 0..2 {
        let number = world.arrive(request("essay"));
        world.dispatched(number).expect("dispatched");
        world.end(number, Outcome::Broken);
        assert_eq!(world.reason(number), Some(Reason::Lost));
    }
    let number = world.arrive(request("essay"));
    let refusal = world.refused(number).expect("refused");
    assert_eq!(refusal.reason, Reason::Poison);
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(60)), "it has not run");
}
