//! Rate limit that the backend server names in its responses.

mod support;

use std::time::Duration;

use agent::{Action, Event, Progress};
use support::{Harness, dispatches, grants, head, ms, pool, refusals};
use wire::{
    id,
    outcome::{Outcome, Reason},
    request, tier,
};

/// Returns a harness whose backend server has just named a limit.
fn limited(per_s: f64) -> Harness {
    let mut harness = Harness::new(pool());
    state(&mut harness, Some(per_s));
    harness
}

fn state(harness: &mut Harness, per_s: Option<f64>) -> Vec<Action> {
    let sent_at = harness.now;
    harness.send(Event::RateLimitStated { sent_at, per_s })
}

fn resumes(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Resume { .. })).count()
}

fn low_head(seq: u64) -> request::Head {
    request::Head { tier: tier::Tier(2), ..head(seq) }
}

/// Sends an offer each `period`, and dispatches and completes what is granted. Returns the number
/// of requests that reached the backend server.
fn run(harness: &mut Harness, first: u64, count: u64, period: Duration) -> usize {
    let mut sent = 0;
    for seq in first..first + count {
        let (_, mut actions) = harness.offer(head(seq));
        actions.extend(harness.advance(period));
        for (_, grant) in grants(&actions) {
            let request = find_request(harness, first..first + count, grant);
            sent += request;
        }
    }
    sent
}

/// Commits a grant for the request that it belongs to, completes it, and returns how many were
/// dispatched.
fn find_request(harness: &mut Harness, seqs: std::ops::Range<u64>, grant: id::Grant) -> usize {
    for seq in seqs {
        let (_, actions) = harness.commit(seq, grant);
        if dispatches(&actions) == 1 {
            harness.send_started(grant, "run-1");
            harness.send_data(grant, "done");
            harness.send_progress(grant, Progress::End);
            return 1;
        }
    }
    0
}

/// Guards against a backend server that gets more requests than the limit that it named, and
/// against a limit of which only a part is used.
#[test]
fn grants_keep_the_limit() {
    let mut harness = limited(10.0);
    let sent = run(&mut harness, 1, 60, ms(50));
    assert!((27..=31).contains(&sent), "{sent} requests in 3 s at 10 a second");
}

/// Guards against a place that is granted only with the next event.
#[test]
fn a_place_is_granted_when_it_is_due() {
    let mut harness = limited(20.0);
    (1..=3).for_each(|seq| assert!(grants(&harness.offer(head(seq)).1).is_empty()));
    // One place in 50 ms.
    let due = harness.machine.next_timer().expect("a timer").since(harness.now);
    assert!(due <= ms(51), "{due:?}");
    assert_eq!(grants(&harness.advance(ms(110))).len(), 2);
}

/// Guards against a limit that never ends, rises or falls.
#[test]
fn a_limit_changes_with_what_the_server_states() {
    let mut harness = limited(1.0);
    assert!(run(&mut harness, 1, 20, ms(50)) <= 1);
    state(&mut harness, Some(10.0));
    let sent = run(&mut harness, 100, 40, ms(50));
    assert!((18..=21).contains(&sent), "{sent} requests in 2 s at 10 a second");
    state(&mut harness, None);
    let sent = run(&mut harness, 200, 40, ms(50));
    assert!(sent >= 38, "{sent} of 40 requests without a limit");
}

/// Guards against a response to an earlier request, which ends a limit that was named since.
#[test]
fn a_response_to_an_earlier_request_does_not_end_the_limit() {
    let mut harness = Harness::new(pool());
    let sent_at = harness.now;
    harness.advance(ms(100));
    state(&mut harness, Some(0.0));
    harness.send(Event::RateLimitStated { sent_at, per_s: None });
    assert!(grants(&harness.offer(head(1)).1).is_empty());
}

/// Guards against places of a limited backend server that go to a lower tier first.
#[test]
fn the_highest_tier_gets_the_next_place() {
    let mut harness = limited(2.0);
    let (_, actions) = harness.offer(low_head(1));
    assert!(grants(&actions).is_empty());
    let (urgent, _) = harness.offer(head(2));
    let granted = grants(&harness.advance(ms(600)));
    assert_eq!(granted.iter().map(|(link, _)| *link).collect::<Vec<_>>(), [urgent]);
}

/// Guards against offers that wait although the limit leaves no place for them in time, and against
/// one of a higher tier that is refused for offers behind which it would not wait.
#[test]
fn offers_beyond_the_limit_are_refused_at_once() {
    let mut harness = limited(1.0);
    let short = |seq| request::Head { remaining: ms(2500), ..low_head(seq) };
    for seq in 1..=3 {
        assert!(refusals(&harness.offer(short(seq)).1).is_empty(), "offer {seq}");
    }
    let (link, actions) = harness.offer(short(4));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Overload)]);
    let urgent = request::Head { tier: tier::Tier(1), ..short(5) };
    assert!(refusals(&harness.offer(urgent).1).is_empty());
}

/// Guards against resumed streams that reach a limited backend server all at once.
#[test]
fn resumed_streams_count_against_the_limit() {
    let mut harness = Harness::new(pool());
    let streams: Vec<_> = (1..=4).map(|seq| harness.dispatch(head(seq)).0).collect();
    for grant in &streams {
        harness.send_started(*grant, "run-1");
        harness.send_data(*grant, "part");
    }
    state(&mut harness, Some(5.0));
    for grant in &streams {
        harness.send_progress(*grant, Progress::ConnectionLost);
    }
    assert_eq!(resumes(&harness.advance(ms(150))), 0, "the bucket is empty at first");
    assert_eq!(resumes(&harness.advance(ms(200))), 1);
    assert_eq!(resumes(&harness.advance(ms(400))), 2);
}

/// Guards against an adopted stream that is resumed at once at a limited backend server.
#[test]
fn an_adopted_stream_waits_for_the_limit() {
    let mut harness = limited(5.0);
    let grant = id::Grant { process: id::Process(3), seq: 9 };
    let (_, actions) = harness.attach(1, grant, 0);
    assert_eq!(resumes(&actions), 0);
    assert_eq!(resumes(&harness.advance(ms(250))), 1);
}

/// Guards against probes and load reports that use up the limit of a backend server in need.
#[test]
fn probes_use_a_part_of_the_limit() {
    let mut harness = Harness::new(pool());
    assert_eq!(harness.machine.probe_interval(), Duration::ZERO);
    state(&mut harness, Some(2.0));
    assert_eq!(harness.machine.probe_interval(), ms(2000));
    harness.advance(ms(600));
    harness.probe("run-1");
    assert!(grants(&harness.offer(head(1)).1).is_empty(), "the probe used the place");
}

/// Guards against a place that is lost with a request that was never sent.
#[test]
fn requests_that_were_not_sent_use_no_place() {
    let mut harness = limited(2.0);
    harness.advance(ms(600));
    let (_, actions) = harness.offer(head(1));
    assert_eq!(grants(&actions).len(), 1);
    // The grant expires without a commit.
    harness.advance(ms(300));
    let grant = harness.grant(head(2));
    harness.commit(2, grant);
    harness.send_progress(grant, Progress::Unreachable);
    // Grants are paused for a moment after a failed connection.
    harness.advance(ms(300));
    assert_eq!(grants(&harness.offer(head(3)).1).len(), 1);
}

/// Guards against a place that is given back although it was never taken, since the limit began
/// after the grant.
#[test]
fn a_grant_from_before_the_limit_gives_back_no_place() {
    let mut expired = Harness::new(pool());
    expired.grant(head(1));
    state(&mut expired, Some(1.0));
    // The grant expires without a commit.
    expired.advance(ms(300));
    assert!(grants(&expired.offer(head(2)).1).is_empty());

    let mut unreachable = Harness::new(pool());
    let grant = unreachable.grant(head(1));
    unreachable.commit(1, grant);
    state(&mut unreachable, Some(1.0));
    unreachable.send_progress(grant, Progress::Unreachable);
    // Grants are paused for a moment after a failed connection.
    unreachable.advance(ms(300));
    assert!(grants(&unreachable.offer(head(2)).1).is_empty());
}
