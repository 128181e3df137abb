//! What may be sent again, and what a refusal promises.

mod common;

use std::time::Duration;

use common::{MODEL, PLAIN, World, call};
use gate::{Event, event::End, refusal::Reason};

/// Guards against an unsafe call that runs twice after its answer was lost.
#[test]
fn a_lost_answer_of_an_unsafe_call_is_final() {
    let mut world = World::with_replicas(PLAIN, 3);
    let ticket = world.arrive(call("bid"));
    world.dispatched(ticket).expect("dispatched");
    world.end(ticket, End::Broken);
    assert!(world.dispatched(ticket).is_none());
    let refusal = world.refused(ticket).expect("refused");
    assert_eq!(refusal.reason.status(), 502, "it may have run, so nothing is promised");
    assert_eq!(refusal.retry_after, None);
}

/// Guards against a call that is given up although nothing of it was sent.
#[test]
fn an_unsent_call_goes_to_another_replica() {
    let mut world = World::with_replicas(PLAIN, 2);
    let ticket = world.arrive(call("bid"));
    let first = world.dispatched(ticket).expect("dispatched");
    world.feed(Event::Unsent { ticket });
    let second = world.dispatched(ticket).expect("dispatched again");
    assert_ne!(first.replica, second.replica);
}

/// Guards against a call that is dropped on the replica's own word that it has not run.
#[test]
fn a_rejected_call_goes_to_another_replica() {
    let mut world = World::with_replicas(PLAIN, 2);
    let ticket = world.arrive(call("bid"));
    let first = world.dispatched(ticket).expect("dispatched");
    world.feed(Event::Rejected { ticket, retry_after: None });
    let second = world.dispatched(ticket).expect("dispatched again");
    assert_ne!(first.replica, second.replica);
    world.end(ticket, End::Broken);
    assert_eq!(world.reason(ticket), Some(Reason::Lost));
}

/// Guards against a safe call that runs on more replicas than its route allows.
#[test]
fn attempts_are_bounded_by_the_route() {
    let mut world = World::with_replicas(PLAIN, 4);
    let ticket = world.arrive(call("status"));
    for _ in 0..2 {
        world.dispatched(ticket).expect("dispatched");
        world.end(ticket, End::Failed);
    }
    assert!(world.dispatched(ticket).is_none());
    assert_eq!(world.reason(ticket), Some(Reason::Lost));
}

/// Guards against repeats that multiply the load while replicas fail: all of them together
/// stay below the ratio and the slack of a deployment with one gateway.
#[test]
fn repeats_are_bounded_by_the_budget() {
    let mut world = World::with_replicas(PLAIN, 8);
    let (mut calls, mut repeats) = (0.0, 0.0);
    for _ in 0..400 {
        let ticket = world.arrive(call("status"));
        calls += 1.0;
        world.dispatched(ticket).expect("dispatched");
        world.end(ticket, if ticket.is_multiple_of(2) { End::Whole } else { End::Failed });
        if world.dispatched(ticket).is_some() {
            repeats += 1.0;
            world.end(ticket, End::Whole);
        }
        world.advance_confirmed(Duration::from_millis(25));
    }
    assert!(repeats > 20.0, "the budget is used");
    assert!(repeats <= calls * 0.2 + 54.0, "{repeats} repeats of {calls} calls");
}

/// Guards against an answer that is ended because a replica is silent while no other can take
/// the call: on the bench a stream was cut 7 s before its deadline.
#[test]
fn silence_ends_nothing_without_another_replica() {
    let mut world = World::with_replicas(MODEL, 1);
    let ticket = world.arrive(call("resumable"));
    world.dispatched(ticket).expect("dispatched");
    world.feed(Event::Silent { ticket });
    assert!(world.dispatched(ticket).is_none());
    assert!(world.refused(ticket).is_none());
    world.end(ticket, End::Whole);
    assert_eq!(world.machine.open(), 0);
}

/// Guards against a resumable stream that waits for a silent replica although another is free.
#[test]
fn a_silent_stream_moves() {
    let mut world = World::with_replicas(MODEL, 2);
    let ticket = world.arrive(call("resumable"));
    let first = world.dispatched(ticket).expect("dispatched");
    world.feed(Event::Silent { ticket });
    let second = world.dispatched(ticket).expect("moved");
    assert_ne!(first.replica, second.replica);
}

/// Guards against a stream that may not be resumed being sent to a second replica.
#[test]
fn a_stream_that_may_not_be_resumed_stays() {
    let mut world = World::with_replicas(MODEL, 2);
    let ticket = world.arrive(call("essay"));
    world.dispatched(ticket).expect("dispatched");
    world.feed(Event::Silent { ticket });
    assert!(world.dispatched(ticket).is_none());
    world.end(ticket, End::Broken);
    assert_eq!(world.reason(ticket), Some(Reason::Lost));
}

/// Guards against copies of a poison call that crash a third replica.
#[test]
fn poison_calls_are_refused_after_two_crashes() {
    let mut world = World::with_replicas(MODEL, 4);
    for _ in 0..2 {
        let ticket = world.arrive(call("essay"));
        world.dispatched(ticket).expect("dispatched");
        world.end(ticket, End::Broken);
        assert_eq!(world.reason(ticket), Some(Reason::Lost));
    }
    let ticket = world.arrive(call("essay"));
    let refusal = world.refused(ticket).expect("refused");
    assert_eq!(refusal.reason, Reason::Poison);
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(60)), "it has not run");
}
