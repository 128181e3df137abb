//! Requests that count as the cause of a crash of the backend server, and what clears them; see
//! `docs/design/causes.md`.

mod support;

use agent::{Action, Event, Progress};
use bytes::Bytes;
use conf::tree;
use support::{Harness, grants, head, ms, pool, refusals};
use wire::{
    outcome::{Outcome, Reason},
    request, sync,
};

/// Fingerprint of the requests of these tests.
const COPY: u64 = 666;

/// Returns a copy of a request to a plain service.
fn page(seq: u64) -> request::Head {
    request::Head { fingerprint: COPY, kind: request::Kind::Service, ..head(seq) }
}

fn suspects(actions: &[Action]) -> Vec<sync::Suspect> {
    let reported = actions.iter().filter_map(|action| match action {
        Action::Suspects(suspects) => Some(suspects.clone()),
        _ => None,
    });
    reported.flatten().collect()
}

/// Runs a copy of a request that was reported for a crash, and returns the actions at its end.
fn run_suspect(end: Progress) -> (Harness, Vec<Action>) {
    let mut harness = Harness::new(pool());
    let suspect = sync::Suspect { fingerprint: COPY, crash: 1, cleared: false };
    harness.send(Event::Suspects(vec![suspect]));
    let grant = harness.grant_suspect(page(1));
    harness.commit(1, grant);
    harness.send_started(grant, "run-1");
    harness.send_data(grant, "found");
    let actions = harness.send_progress(grant, end);
    (harness, actions)
}

/// Guards against a request that is never held to be the cause since the backend server sends the begin
/// of a response without a length before it crashes.
#[test]
fn a_crash_after_a_response_without_a_length_counts() {
    for (end, count) in [(Progress::Closed, 1), (Progress::End, 0)] {
        let (mut harness, actions) = run_suspect(end.clone());
        let cleared = suspects(&actions).iter().filter(|suspect| suspect.cleared).count();
        assert_eq!(cleared, 1 - count, "{end:?} clears");
        let reported = suspects(&harness.probe("run-2"));
        assert_eq!(reported.iter().filter(|suspect| !suspect.cleared).count(), count, "{end:?}");
        let (link, actions) = harness.offer(page(2));
        let refused = [(link, Outcome::NotRun, Reason::Poison)];
        assert_eq!(refusals(&actions) == refused, count == 1, "{end:?}");
    }
}

/// Guards against a request that stays a suspect though the backend server went on after its response
/// without a length.
#[test]
fn a_response_without_a_length_clears_once_its_server_goes_on() {
    let (mut harness, actions) = run_suspect(Progress::Closed);
    assert!(suspects(&actions).is_empty());
    harness.advance(ms(1_100));
    let reported = suspects(&harness.probe("run-1"));
    assert!(reported.iter().any(|suspect| suspect.cleared), "{reported:?}");
    assert!(suspects(&harness.probe("run-2")).is_empty(), "a later crash is another's");
    assert_eq!(grants(&harness.offer(page(2)).1).len(), 1);
}

/// Runs a copy to the end of its response.
fn complete(harness: &mut Harness, seq: u64) {
    let (grant, _) = harness.dispatch(page(seq));
    harness.send_started(grant, "run-1");
    harness.send_data(grant, "found");
    harness.send_progress(grant, Progress::End);
}

/// Guards against a popular request that is refused, or runs only alone, since other agents' engines
/// crashed while they ran copies of it.
#[test]
fn a_request_that_completed_before_keeps_its_service_after_two_crashes() {
    let mut harness = Harness::new(pool());
    complete(&mut harness, 1);
    for crash in 1..3 {
        let suspect = sync::Suspect { fingerprint: COPY, crash, cleared: false };
        harness.send(Event::Suspects(vec![suspect]));
        harness.advance(ms(3_000));
        harness.probe("run-1");
        let grants = grants(&harness.offer(page(1 + crash)).1);
        assert_eq!(grants.len(), 1, "after {crash} crashes");
    }
    let suspect = sync::Suspect { fingerprint: COPY, crash: 3, cleared: false };
    harness.send(Event::Suspects(vec![suspect]));
    let (link, actions) = harness.offer(page(4));
    assert_eq!(
        refusals(&actions),
        [(link, Outcome::NotRun, Reason::Poison)],
        "it crashes engines now"
    );
}

/// Guards against a popular stream that counts as the cause when the engine of a host that drains is
/// stopped under it.
#[test]
fn a_planned_exit_accuses_no_stream_that_went_on() {
    for (drains, answered_ms, count) in [(true, 300, 0), (true, 100, 1), (false, 300, 1)] {
        let mut harness = Harness::new(pool());
        let stream = request::Head { fingerprint: COPY, ..head(1) };
        let (grant, _) = harness.dispatch(stream);
        harness.send_started(grant, "run-1");
        if drains {
            let host = Bytes::from_static(support::HOST);
            harness.tree.drains.insert(host, tree::Drain { reason: Bytes::new() });
            harness.apply_tree();
        }
        harness.advance(ms(answered_ms));
        harness.send_progress(grant, Progress::ConnectionLost);
        let reported = suspects(&harness.probe("run-2"));
        assert_eq!(reported.len(), count, "drains {drains}, answered for {answered_ms} ms");
    }
}
