//! Deadlines that callers state, from which the time since their first attempt is derived.

mod common;

use std::time::Duration;

use common::{MODEL, TestGateway, record, request};
use gate::{
    Action, Event,
    admission::{self, max_retry_after},
    event::AttemptResult,
    refusal::Reason,
    request::Request,
};

/// Deadline of the most patient callers.
const LONGEST: Duration = Duration::from_secs(10);

fn with_deadline(share: f64) -> Request {
    Request { deadline: Some(LONGEST.mul_f64(share)), ..request("essay") }
}

/// Returns a gateway that has seen callers of all kinds of patience, with one slot that is taken.
fn busy_gateway(rng: &mut fastrand::Rng) -> (TestGateway, u64) {
    let mut gateway = TestGateway::new();
    gateway.add("r0", gate::backends::Record { slots: 1, ..record(MODEL, 9_000) });
    for _ in 0..200 {
        let number = gateway.arrive(with_deadline(0.85 + 0.15 * rng.f64()));
        gateway.dispatched(number).expect("dispatched");
        gateway.end(number, AttemptResult::Complete);
    }
    let running = gateway.arrive(with_deadline(1.0));
    gateway.dispatched(running).expect("dispatched");
    gateway.actions.clear();
    (gateway, running)
}

/// Guards against first attempts that are served last, since their callers have a little less
/// patience than others: with deadlines that differ by 0.15 that was a third of all callers.
#[test]
fn callers_with_less_patience_are_not_served_last() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20 {
        let (mut gateway, running) = busy_gateway(&mut rng);
        let less_patient = gateway.arrive(with_deadline(0.85));
        let patient = gateway.arrive(with_deadline(1.0));
        gateway.end(running, AttemptResult::Complete);
        assert!(gateway.dispatched(less_patient).is_some(), "it arrived first");
        assert!(gateway.dispatched(patient).is_none());
    }
}

/// Guards against callers that return after a refusal and take the slots of those that can still be
/// in time: with the least time to retry after, the most patient caller is known by what it has left.
#[test]
fn callers_that_return_when_told_to_are_served_after_first_attempts() {
    let mut rng = fastrand::Rng::with_seed(2);
    for _ in 0..50 {
        let refusal = admission::retry_later(Reason::Overload, LONGEST, &mut rng);
        let after = refusal.retry_after.expect("a time to retry after");
        assert!(after <= max_retry_after(LONGEST), "callers don't wait for longer");
        let (mut gateway, running) = busy_gateway(&mut rng);
        let left = (LONGEST - after).as_secs_f64() / LONGEST.as_secs_f64();
        let returning = gateway.arrive(with_deadline(left));
        let first_attempt = gateway.arrive(with_deadline(0.9));
        gateway.end(running, AttemptResult::Complete);
        assert!(gateway.dispatched(first_attempt).is_some(), "left {left:.3}");
        assert!(gateway.dispatched(returning).is_none());
    }
}

/// Guards against refusals in the log that don't say who was refused: the tier, the time waited and
/// whether the caller had come back.
#[test]
fn refusals_state_who_waited() {
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut gateway, _) = busy_gateway(&mut rng);
    let number = gateway.arrive(with_deadline(0.5));
    gateway.advance_confirmed(Duration::from_secs(1));
    let refusal = gateway.refused(number).expect("refused");
    let wait = refusal.inputs.wait.expect("it waited");
    assert!(wait.overdue && wait.waited_ms >= 400, "{wait:?}");
    assert!(!gateway.actions.iter().any(|action| matches!(action, Action::Dispatch(_))));
    gateway.feed(Event::Tick);
}
