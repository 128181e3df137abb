//! Retries, and the guarantees of refusals.

mod common;

use std::time::Duration;

use common::{MODEL, PLAIN, TestGateway, request};
use gate::{
    Event,
    action::Dispatch,
    event::{AttemptResult, RequestNumber},
    refusal::Reason,
    request::Request,
};

/// Guards against an unsafe request that runs twice after its response broke off.
#[test]
fn an_unsafe_request_with_a_lost_response_is_not_repeated() {
    let mut gateway = TestGateway::with_backends(PLAIN, 3);
    let number = gateway.arrive(request("bid"));
    gateway.dispatched(number).expect("dispatched");
    gateway.end(number, AttemptResult::Broken);
    assert!(gateway.dispatched(number).is_none());
    let refusal = gateway.refused(number).expect("refused");
    assert_eq!(refusal.reason.status(), 502, "it may have run");
    assert_eq!(refusal.retry_after, None);
}

/// Guards against a refusal of a request of which nothing was sent.
#[test]
fn a_request_that_was_not_sent_goes_to_another_backend() {
    let mut gateway = TestGateway::with_backends(PLAIN, 2);
    let number = gateway.arrive(request("bid"));
    let first = gateway.dispatched(number).expect("dispatched");
    gateway.feed(Event::NotSent { number });
    let second = gateway.dispatched(number).expect("dispatched again");
    assert_ne!(first.backend, second.backend);
}

/// Guards against a refusal of a request although its backend server stated that it has not run.
#[test]
fn a_rejected_request_goes_to_another_backend() {
    let mut gateway = TestGateway::with_backends(PLAIN, 2);
    let number = gateway.arrive(request("bid"));
    let first = gateway.dispatched(number).expect("dispatched");
    gateway.feed(Event::Rejected { number, retry_after: None });
    let second = gateway.dispatched(number).expect("dispatched again");
    assert_ne!(first.backend, second.backend);
    gateway.end(number, AttemptResult::Broken);
    assert_eq!(gateway.reason(number), Some(Reason::Lost));
}

/// Guards against a request that runs twice, or is refused as not run, after a rejection that may
/// belong to an earlier request.
#[test]
fn a_doubtful_rejection_is_no_proof() {
    for (path, is_repeated) in [("bid", false), ("status", true)] {
        let mut gateway = TestGateway::with_backends(PLAIN, 2);
        let number = gateway.arrive(request(path));
        let first = gateway.dispatched(number).expect("dispatched");
        gateway.feed(Event::DoubtfulRejection { number });
        let second = gateway.dispatched(number);
        assert_eq!(second.is_some_and(|second| second.backend != first.backend), is_repeated);
        if is_repeated {
            gateway.feed(Event::Rejected { number, retry_after: None });
        }
        let refusal = gateway.refused(number).expect("refused");
        assert_eq!((refusal.reason, refusal.retry_after), (Reason::Lost, None), "{path}");
        assert_eq!(running(&gateway, &first), 0);
    }
}

/// Guards against a 503, which states that a request has not run, after an earlier attempt may have
/// run: a later one is rejected or misdirected while the retry budget is empty.
#[test]
fn a_request_that_may_have_run_is_never_refused_as_not_run() {
    for event in [
        |number| Event::Rejected { number, retry_after: Some(Duration::from_secs(1)) },
        |number| Event::Misdirected { number },
    ] {
        // Enough that failures eject only some of them.
        let mut gateway = TestGateway::with_backends(PLAIN, 40);
        let mut refused = 0;
        for fingerprint in 0..100 {
            let number = gateway.arrive(Request { fingerprint, ..request("status") });
            if gateway.dispatched(number).is_some() {
                gateway.end(number, AttemptResult::Failed);
            }
            if gateway.dispatched(number).is_some() {
                gateway.feed(event(number));
            }
            if let Some(refusal) = gateway.refused(number) {
                assert_eq!(refusal.reason, Reason::Lost);
                assert_eq!(refusal.retry_after, None);
                refused += 1;
            }
            gateway.feed(Event::Closed { number });
            gateway.actions.clear();
            gateway.advance_confirmed(Duration::from_millis(700));
        }
        assert!(refused > 10, "the budget was empty {refused} times");
    }
}

/// Guards against a safe request that runs on more backend servers than its route allows.
#[test]
fn attempts_are_limited_by_the_route() {
    let mut gateway = TestGateway::with_backends(PLAIN, 4);
    let number = gateway.arrive(request("status"));
    for _ in 0..2 {
        gateway.dispatched(number).expect("dispatched");
        gateway.end(number, AttemptResult::Failed);
    }
    assert!(gateway.dispatched(number).is_none());
    assert_eq!(gateway.reason(number), Some(Reason::Lost));
}

/// Guards against retries that multiply the load while backend servers fail: all retries stay below
/// the ratio and the slack of a deployment with one gateway.
#[test]
fn retries_are_limited_by_the_budget() {
    let mut gateway = TestGateway::with_backends(PLAIN, 8);
    let (mut requests, mut retries) = (0.0, 0.0);
    for _ in 0..400 {
        let number = gateway.arrive(request("status"));
        requests += 1.0;
        gateway.dispatched(number).expect("dispatched");
        gateway.end(
            number,
            if number.is_multiple_of(2) { AttemptResult::Complete } else { AttemptResult::Failed },
        );
        if gateway.dispatched(number).is_some() {
            retries += 1.0;
            gateway.end(number, AttemptResult::Complete);
        }
        gateway.advance_confirmed(Duration::from_millis(25));
    }
    assert!(retries > 20.0, "the budget is used");
    assert!(retries <= requests * 0.2 + 54.0, "{retries} retries of {requests} requests");
}

/// Guards against a response that ends because a backend server is unresponsive while no other can
/// take the request: a stream was cut 7 s before its deadline.
#[test]
fn an_unresponsive_stream_stays_without_another_backend() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    let number = gateway.arrive(request("resumable"));
    gateway.dispatched(number).expect("dispatched");
    gateway.feed(Event::Unresponsive { number });
    assert!(gateway.dispatched(number).is_none());
    assert!(gateway.refused(number).is_none());
    gateway.end(number, AttemptResult::Complete);
    assert_eq!(gateway.machine.open_count(), 0);
}

/// Guards against running work that is started elsewhere or given up since its backend server was
/// silent towards the store for a while, so that its record lapsed.
#[test]
fn requests_at_a_server_whose_record_lapsed_go_on() {
    for path in ["status", "bid"] {
        let mut gateway = TestGateway::with_backends(PLAIN, 2);
        let number = gateway.arrive(request(path));
        let first = gateway.dispatched(number).expect("dispatched");
        gateway.feed(Event::Record { id: first.id.clone(), record: None });
        gateway.advance_confirmed(Duration::from_secs(3));
        assert!(gateway.dispatched(number).is_none(), "{path} was started again");
        assert!(gateway.refused(number).is_none(), "{path} was given up");
        gateway.add("r0", common::record(PLAIN, 9_000));
        gateway.end(number, AttemptResult::Complete);
        assert_eq!(gateway.machine.open_count(), 0);
    }
}

/// Guards against a question to an unresponsive backend server that is repeated and counts as
/// another end of it each time.
#[test]
fn a_repeated_question_counts_once() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    let number = gateway.arrive(request("resumable"));
    let dispatch = gateway.dispatched(number).expect("dispatched");
    (0..5).for_each(|_| gateway.feed(Event::Unresponsive { number }));
    gateway.feed(Event::Record { id: dispatch.id, record: None });
    assert_eq!(gateway.machine.suspects().total(gateway.now, 7), 1);
}

/// Guards against a resumable stream that waits for an unresponsive backend server although another
/// has a free slot.
#[test]
fn an_unresponsive_stream_moves_to_another_backend() {
    let mut gateway = TestGateway::with_backends(MODEL, 2);
    let number = gateway.arrive(request("resumable"));
    let first = gateway.dispatched(number).expect("dispatched");
    gateway.feed(Event::Unresponsive { number });
    let second = gateway.dispatched(number).expect("moved");
    assert_ne!(first.backend, second.backend);
}

/// Returns a gateway with two backend servers and a resumable stream that is offered to the second
/// one, since the first one is unresponsive.
fn gateway_with_offered_stream() -> (TestGateway, RequestNumber, [Dispatch; 2]) {
    let mut gateway = TestGateway::with_backends(MODEL, 2);
    let number = gateway.arrive(request("resumable"));
    let first = gateway.dispatched(number).expect("dispatched");
    gateway.feed(Event::FirstEvent { number });
    gateway.advance_confirmed(Duration::from_secs(2));
    gateway.feed(Event::Unresponsive { number });
    let second = gateway.dispatched(number).expect("offered");
    (gateway, number, [first, second])
}

fn running(gateway: &TestGateway, dispatch: &Dispatch) -> u32 {
    gateway.machine.backends().get(dispatch.backend).expect("a backend server").load.running
}

/// Guards against a stream that is refused, and so cut, since its sound but silent backend server was
/// given up before the other one had taken it.
#[test]
fn an_unresponsive_stream_stays_if_the_other_backend_declines() {
    for decline in [
        |number| Event::Rejected { number, retry_after: None },
        |number| Event::NotSent { number },
        |number| Event::Refused { number },
        |number| Event::Misdirected { number },
        |number| Event::DoubtfulRejection { number },
        |number| Event::Ended { number, result: AttemptResult::Failed },
        |number| Event::Ended { number, result: AttemptResult::Broken },
        |number| Event::Ended { number, result: AttemptResult::Invalid },
    ] {
        let (mut gateway, number, [first, second]) = gateway_with_offered_stream();
        assert_eq!((running(&gateway, &first), running(&gateway, &second)), (1, 1));
        let event = decline(number);
        gateway.feed(event.clone());
        assert_eq!(gateway.reason(number), None, "{event:?}");
        assert!(gateway.dispatched(number).is_none(), "{event:?}");
        assert_eq!((running(&gateway, &first), running(&gateway, &second)), (1, 0), "{event:?}");
        gateway.advance_confirmed(Duration::from_secs(2));
        assert_eq!(gateway.reason(number), None, "{event:?}");
        gateway.end(number, AttemptResult::Complete);
        assert_eq!(gateway.machine.open_count(), 0);
        assert_eq!(running(&gateway, &first), 0);
    }
}

/// Guards against a stream that stays at an unresponsive backend server although another one that was
/// full before has a free slot again.
#[test]
fn a_backend_that_declined_is_asked_again() {
    let (mut gateway, number, [_, second]) = gateway_with_offered_stream();
    gateway.feed(Event::Rejected { number, retry_after: None });
    gateway.advance_confirmed(Duration::from_secs(1));
    gateway.feed(Event::Unresponsive { number });
    assert_eq!(gateway.dispatched(number).expect("offered again").backend, second.backend);
}

/// Guards against slots that stay occupied, and against a former backend server that is used again,
/// after a stream has moved or its caller has left.
#[test]
fn a_stream_that_moved_occupies_one_slot() {
    let (mut gateway, number, [first, second]) = gateway_with_offered_stream();
    gateway.feed(Event::Unresponsive { number });
    assert!(gateway.dispatched(number).is_none(), "it is offered to one at a time");
    gateway.feed(Event::Moved { number });
    assert_eq!((running(&gateway, &first), running(&gateway, &second)), (0, 1));
    gateway.end(number, AttemptResult::Broken);
    assert_eq!(gateway.reason(number), Some(Reason::Lost), "both attempts were used");
    assert_eq!(running(&gateway, &second), 0);

    let (mut gateway, number, [first, second]) = gateway_with_offered_stream();
    gateway.feed(Event::Closed { number });
    assert_eq!((running(&gateway, &first), running(&gateway, &second)), (0, 0));
}

/// Guards against a stream that is not resumable being sent to a second backend server.
#[test]
fn a_stream_that_is_not_resumable_stays() {
    let mut gateway = TestGateway::with_backends(MODEL, 2);
    let number = gateway.arrive(request("essay"));
    gateway.dispatched(number).expect("dispatched");
    gateway.feed(Event::Unresponsive { number });
    assert!(gateway.dispatched(number).is_none());
    gateway.end(number, AttemptResult::Broken);
    assert_eq!(gateway.reason(number), Some(Reason::Lost));
}

/// Guards against copies of a poison request that crash a third backend server.
#[test]
fn poison_requests_are_refused_after_two_crashes() {
    let mut gateway = TestGateway::with_backends(MODEL, 4);
    for _ in 0..2 {
        let number = gateway.arrive(request("essay"));
        gateway.dispatched(number).expect("dispatched");
        gateway.end(number, AttemptResult::Broken);
        assert_eq!(gateway.reason(number), Some(Reason::Lost));
    }
    let number = gateway.arrive(request("essay"));
    let refusal = gateway.refused(number).expect("refused");
    assert_eq!(refusal.reason, Reason::Poison);
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(600)), "it has not run");
}
