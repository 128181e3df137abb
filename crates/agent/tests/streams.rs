//! Grants, and streams of dispatched requests.

mod support;

use agent::{Action, Event, Progress};
use conf::tree;
use support::{Harness, dispatches, frames, grants, head, ms, pool, refusals, stream_not_found};
use wire::{
    frame, grant, id,
    outcome::{Outcome, Reason},
    request,
};

fn resumes(actions: &[Action]) -> Vec<u64> {
    let offset = |action: &Action| match action {
        Action::Resume { offset, .. } => Some(*offset),
        _ => None,
    };
    actions.iter().filter_map(offset).collect()
}

fn cancels(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Cancel { .. }))
}

/// Guards against a slot that stays reserved after its entry has gone down, and against an expired
/// grant that runs.
#[test]
fn expired_grant_never_runs() {
    let mut harness = Harness::new(tree::Pool { max_running: 1, ..pool() });
    let grant = harness.grant(head(1));
    let (next, _) = harness.offer(head(2));
    harness.now = harness.now + ms(200);
    let (link, actions) = harness.commit(1, grant);
    assert_eq!(dispatches(&actions), 0);
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::GrantExpired)]);
    assert_eq!(grants(&actions)[0].0, next);
}

/// Guards against a second dispatch by a repeated commit.
#[test]
fn repeated_commit_attaches() {
    let mut harness = Harness::new(pool());
    let (grant, _) = harness.dispatch(head(1));
    harness.send_started(grant, "run-1");
    harness.send_data(grant, "abc");
    let (link, actions) = harness.commit(1, grant);
    assert_eq!(dispatches(&actions), 0);
    assert_eq!(frames(&actions, link).len(), 2);
    let actions = harness.send_progress(grant, Progress::End);
    let crc32 = crc32fast::hash(b"abc");
    assert_eq!(frames(&actions, link), [frame::Body::End { length: 3, crc32 }]);
    let (link, actions) = harness.commit(1, grant);
    assert_eq!(dispatches(&actions), 0);
    assert_eq!(frames(&actions, link).len(), 3);
}

/// Guards against `not_run` for a grant that may have run, and `unknown` for one that can't.
#[test]
fn distinguishes_discarded_from_uncommitted_grants() {
    let mut harness = Harness::new(pool());
    let (grant, _) = harness.dispatch(head(1));
    let unused = id::Grant { seq: grant.seq + 5, ..grant };
    assert_eq!(refusals(&harness.commit(9, unused).1)[0].1, Outcome::NotRun);
    let foreign = id::Grant { process: id::Process(8), ..grant };
    assert_eq!(refusals(&harness.commit(1, foreign).1)[0].2, Reason::AgentReplaced);
    assert_eq!(refusals(&harness.commit(2, grant).1)[0].1, Outcome::Unknown);
    harness.send_started(grant, "run-1");
    harness.send_progress(grant, Progress::End);
    harness.advance(ms(3001));
    let (link, actions) = harness.commit(1, grant);
    assert_eq!(refusals(&actions), [(link, Outcome::Unknown, Reason::GrantExpired)]);
    assert_eq!(refusals(&harness.attach(1, grant, 2).1)[0].1, Outcome::Incomplete);
}

/// Guards against a commit that arrives before or after its cancel and still runs.
#[test]
fn commit_of_a_cancelled_grant_is_refused() {
    let mut harness = Harness::new(tree::Pool { max_running: 1, ..pool() });
    let grant = harness.grant(head(1));
    let (next, _) = harness.offer(head(2));
    let commit = grant::Commit { grant, request: head(1).request };
    assert_eq!(grants(&harness.send(Event::Cancel { commit }))[0].0, next);
    assert_eq!(refusals(&harness.commit(1, grant).1)[0].1, Outcome::NotRun);
    assert!(grants(&harness.offer(head(3)).1).is_empty());
}

/// Guards against a running stream that nobody reads any more.
#[test]
fn cancel_and_orphan_end_the_stream() {
    let mut harness = Harness::new(pool());
    let (grant, _) = harness.dispatch(head(1));
    let commit = grant::Commit { grant, request: head(1).request };
    assert!(cancels(&harness.send(Event::Cancel { commit })));
    let (grant, link) = harness.dispatch(head(2));
    harness.send_started(grant, "run-1");
    harness.send(Event::LinkClosed { link });
    harness.advance(ms(900));
    harness.send_data(grant, "a");
    harness.advance(ms(900));
    harness.send_data(grant, "b");
    assert!(cancels(&harness.advance(ms(200))));
    assert_eq!(harness.status().running, 0);
}

/// Guards against a lost connection to the backend server that ends the response or leaves a gap in
/// it.
#[test]
fn lost_stream_resumes_from_its_offset() {
    let mut harness = Harness::new(pool());
    let (grant, link) = harness.dispatch(head(1));
    harness.send_started(grant, "run-1");
    harness.send_data(grant, "abc");
    harness.send_progress(grant, Progress::ConnectionLost);
    assert_eq!(resumes(&harness.advance(ms(100))), [3]);
    harness.send_progress(grant, Progress::Unreachable);
    assert_eq!(resumes(&harness.advance(ms(100))), [3]);
    harness.send_started(grant, "run-1");
    harness.send_data(grant, "def");
    let actions = harness.send_progress(grant, Progress::End);
    let crc32 = crc32fast::hash(b"abcdef");
    assert_eq!(frames(&actions, link), [frame::Body::End { length: 6, crc32 }]);
}

/// Guards against repeated bytes in a response: after a pause of the process, bytes of the old
/// connection are handled among those of the resumed one.
#[test]
fn bytes_of_two_connections_are_sent_once() {
    let mut harness = Harness::new(pool());
    let (grant, link) = harness.dispatch(head(1));
    harness.send_started(grant, "run-1");
    let data = |offset, text: &'static str| {
        let bytes = bytes::Bytes::from_static(text.as_bytes());
        Progress::Data { offset, bytes }
    };
    harness.send_progress(grant, data(0, "abc"));
    harness.send_progress(grant, Progress::ConnectionLost);
    assert_eq!(resumes(&harness.advance(ms(100))), [3]);
    harness.send_progress(grant, data(3, "de"));
    harness.send_started(grant, "run-1");
    harness.send_progress(grant, data(3, "def"));
    let actions = harness.send_progress(grant, Progress::End);
    let crc32 = crc32fast::hash(b"abcdef");
    assert_eq!(frames(&actions, link), [frame::Body::End { length: 6, crc32 }]);
}

/// Guards against a wrong outcome of a stream that can't be resumed, for each cause.
#[test]
fn broken_stream_outcome_depends_on_whether_the_response_began() {
    let service = |seq| request::Head { kind: request::Kind::Service, ..head(seq) };
    for (started, outcome) in [(false, Outcome::Unknown), (true, Outcome::Incomplete)] {
        let mut harness = Harness::new(pool());
        let mut outcomes = Vec::new();
        for seq in 1..4 {
            let head = if seq == 1 { service(seq) } else { head(seq) };
            let (grant, _) = harness.dispatch(head);
            if started {
                harness.send_started(grant, "run-1");
            }
            let mut actions = harness.send_progress(grant, Progress::ConnectionLost);
            assert_eq!(refusals(&actions).len(), usize::from(seq == 1), "only services end here");
            if seq == 2 {
                actions.extend(harness.send_progress(grant, stream_not_found("run-1")));
            } else if seq == 3 {
                actions.extend(harness.advance(ms(1001)));
                assert!(cancels(&actions));
            }
            outcomes.extend(refusals(&actions).into_iter().map(|refusal| refusal.1));
            harness.probe("run-1");
        }
        assert_eq!(outcomes, [outcome; 3]);
    }
}

/// Guards against an unresponsive engine whose requests never end.
#[test]
fn stream_that_times_out_is_resumed_then_aborted() {
    let mut harness = Harness::new(pool());
    let (grant, _) = harness.dispatch(head(1));
    harness.send_started(grant, "run-1");
    assert_eq!(resumes(&harness.advance(ms(1000))), [0]);
    let actions = harness.advance(ms(1000));
    assert_eq!(refusals(&actions)[0].1, Outcome::Incomplete);
    assert_eq!(refusals(&actions)[0].2, Reason::BackendSilent);
}

/// Guards against a new agent process that loses a stream that the engine still has, or that
/// dispatches its request again.
#[test]
fn replacement_adopts_a_running_stream() {
    let mut harness = Harness::new(pool());
    let old = id::Grant { process: id::Process(3), seq: 4 };
    let (link, actions) = harness.attach(1, old, 2);
    assert_eq!(resumes(&actions), [0]);
    harness.send_started(old, "run-1");
    let actions = harness.send_data(old, "abcd");
    let bytes = bytes::Bytes::from_static(b"cd");
    assert_eq!(frames(&actions, link), [frame::Body::Data { offset: 2, bytes }]);
    let actions = harness.send_progress(old, Progress::End);
    let crc32 = crc32fast::hash(b"abcd");
    assert_eq!(frames(&actions, link), [frame::Body::End { length: 4, crc32 }]);
    for (offset, outcome) in [(0, Outcome::Unknown), (2, Outcome::Incomplete)] {
        let old = id::Grant { seq: 5 + offset, ..old };
        let (link, _) = harness.attach(1, old, offset);
        let actions = harness.send_progress(old, stream_not_found("run-1"));
        assert_eq!(refusals(&actions), [(link, outcome, Reason::AgentReplaced)]);
    }
}

/// Guards against memory use that grows with the response, and against a replay with a gap.
#[test]
fn long_stream_buffers_only_its_end() {
    let mut harness = Harness::new(pool());
    let (grant, link) = harness.dispatch(head(1));
    harness.send_started(grant, "run-1");
    let part = bytes::Bytes::from(vec![7; 1 << 20]);
    for piece in 0..6 {
        let (offset, bytes) = (piece << 20, part.clone());
        harness.send_progress(grant, Progress::Data { offset, bytes });
    }
    let (_, actions) = harness.attach(1, grant, 0);
    assert_eq!(refusals(&actions)[0].1, Outcome::Incomplete);
    let (late, actions) = harness.attach(1, grant, 5 << 20);
    let bytes = part.clone();
    assert_eq!(frames(&actions, late), [frame::Body::Data { offset: 5 << 20, bytes }]);
    let actions = harness.send_progress(grant, Progress::End);
    let end = frame::Body::End { length: 6 << 20, crc32: crc32fast::hash(&part.repeat(6)) };
    assert_eq!(frames(&actions, link), std::slice::from_ref(&end));
    assert_eq!(frames(&actions, late), [end]);
}

/// Guards against an engine that stays overloaded although its first tokens are late.
#[test]
fn count_limit_follows_first_token_times() {
    let mut harness = Harness::new(tree::Pool { max_running: 16, ..pool() });
    let limit = |harness: &Harness| harness.status().counters["count_limit"];
    for seq in 1..20 {
        let (grant, _) = harness.dispatch(head(seq));
        harness.advance(ms(900));
        harness.send_started(grant, "run-1");
        harness.send_progress(grant, Progress::End);
    }
    assert!(limit(&harness) < 8, "{}", limit(&harness));
    assert!(limit(&harness) >= 2);
}

/// Progress of a body after its head.
fn started(content_type: &'static str) -> Progress {
    let (content_type, instance) = (content_type.into(), "run-1".into());
    Progress::Started { status: 200, content_type, instance }
}

/// Dispatches a request whose response has this body and end, and returns whether the agent took
/// the response for a complete one.
fn looks_complete(
    kind: request::Kind,
    content_type: &'static str,
    text: &str,
    end: Progress,
) -> bool {
    let mut harness = Harness::new(pool());
    let (grant, link) = harness.dispatch(request::Head { kind, ..head(1) });
    harness.send_progress(grant, started(content_type));
    let bytes = text.to_owned().into();
    harness.send_progress(grant, Progress::Data { offset: 0, bytes });
    let actions = harness.send_progress(grant, end);
    frames(&actions, link).iter().any(|body| matches!(body, frame::Body::End { .. }))
}

/// Guards against a stream that is broken off inside an event and gets an end frame.
#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete() {
    for text in ["data: 1\n\ndata: 2", "data: 1\n\ndata: 2\n", "da"] {
        for kind in [request::Kind::Model, request::Kind::Service] {
            for end in [Progress::End, Progress::Closed] {
                let is_complete = looks_complete(kind, "text/event-stream", text, end.clone());
                assert!(!is_complete, "{kind:?} {text:?} {end:?}");
            }
        }
    }
}

/// Guards against a chat stream that its engine ends early, between two events, and gets an end
/// frame.
#[test]
fn a_chat_stream_without_its_last_event_is_not_complete() {
    for end in [Progress::End, Progress::Closed] {
        let is_complete =
            |text| looks_complete(request::Kind::Model, "text/event-stream", text, end.clone());
        assert!(!is_complete("data: 1\n\n"), "{end:?}");
        assert!(is_complete("data: 1\n\ndata: [DONE]\n\n"), "{end:?}");
    }
}

/// Guards against a chat response that ends with its connection before its content does and gets an
/// end frame.
#[test]
fn a_chat_response_that_ends_with_its_connection_is_complete_after_its_last_event() {
    let is_complete = |content_type, text| {
        looks_complete(request::Kind::Model, content_type, text, Progress::Closed)
    };
    assert!(!is_complete("text/event-stream", ""));
    assert!(!is_complete("text/event-stream", "data: 1\n\n"));
    assert!(is_complete("text/event-stream", "data: 1\n\ndata: [DONE]\n\n"));
    assert!(is_complete("text/event-stream; charset=utf-8", "data: 1\r\n\r\ndata: [DONE]\r\n\r\n"));
    assert!(!is_complete("application/json", "{\"id\":\"1\""));
    assert!(is_complete("application/json", "{\"id\":\"1\"}"));
}

/// Guards against whole responses of plain services that count as broken, since they end with their
/// connection.
#[test]
fn a_plain_response_may_end_with_its_connection() {
    let is_complete = |content_type, text| {
        looks_complete(request::Kind::Service, content_type, text, Progress::Closed)
    };
    assert!(is_complete("text/plain", "sold"));
    assert!(is_complete("text/event-stream", "data: 1\n\n"));
}

/// Guards against a stream that is given up, or gets bytes twice, when its unframed response is
/// broken off inside an event and the engine has the rest.
#[test]
fn a_stream_closed_inside_an_event_is_resumed_where_it_ended() {
    let mut harness = Harness::new(pool());
    let (grant, link) = harness.dispatch(head(1));
    harness.send_progress(grant, started("text/event-stream"));
    harness.send_data(grant, "data: 1\n\nda");
    harness.send_progress(grant, Progress::Closed);
    harness.now = harness.now + ms(20);
    assert_eq!(resumes(&harness.send(Event::Tick)), [11]);
    harness.send_progress(grant, started("text/event-stream"));
    harness.send_data(grant, "ta: 2\n\ndata: [DONE]\n\n");
    let actions = harness.send_progress(grant, Progress::Closed);
    let text = b"data: 1\n\ndata: 2\n\ndata: [DONE]\n\n";
    let end = frame::Body::End { length: text.len() as u64, crc32: crc32fast::hash(text) };
    assert_eq!(frames(&actions, link), [end]);
}

/// Returns the number of resumes and whether the stream was cut while it gets `text` each 200 ms.
fn feed(text: &'static str) -> (usize, bool) {
    let mut harness = Harness::new(pool());
    let (grant, link) = harness.dispatch(head(1));
    harness.send_progress(grant, started("text/event-stream"));
    harness.send_data(grant, "data: 1\n\n");
    let (mut resume_count, mut is_cut) = (0, false);
    for _ in 0..50 {
        let actions = harness.advance(ms(200));
        if !resumes(&actions).is_empty() {
            resume_count += 1;
            harness.send_progress(grant, started("text/event-stream"));
        }
        is_cut |= refusals(&actions).iter().any(|(to, ..)| *to == link);
        harness.send_data(grant, text);
    }
    (resume_count, is_cut)
}

/// Guards against a stalled stream that never ends since it sends a byte now and then, and against a
/// slow but sound one that is cut.
#[test]
fn only_events_are_the_progress_of_a_stream() {
    assert_eq!(feed("data: 2\n\n"), (0, false));
    for text in ["x", ":\n"] {
        assert_eq!(feed(text), (1, true), "{text:?}");
    }
}

/// Guards against a status that promises that the request has not run, or that no final response has,
/// which reaches the caller of a request that has run; and against a second run with its key.
#[test]
fn a_status_that_promises_too_much_is_withheld() {
    for status in [408, 421, 429, 503, 0, 100, 101, 199, 600, 999] {
        let mut harness = Harness::new(tree::Pool { max_running: 1, ..pool() });
        let key = harness.issue_key();
        let service = request::Head { kind: request::Kind::Service, key: Some(key), ..head(1) };
        let (grant, link) = harness.dispatch(service.clone());
        let started = |status| Progress::Started {
            status,
            content_type: bytes::Bytes::new(),
            instance: "run-1".into(),
        };
        let actions = harness.send_progress(grant, started(status));
        let expected = [(link, Outcome::Unknown, Reason::BackendStatus)];
        assert_eq!(refusals(&actions), expected, "{status}");
        assert_eq!(frames(&actions, link).len(), 1, "{status}: the response has not begun");
        assert!(harness.send_progress(grant, Progress::End).is_empty(), "{status}");
        let again = request::Head { request: head(2).request, ..service };
        let actions = harness.offer(again).1;
        assert_eq!(dispatches(&actions), 0, "{status}: it runs once");
        assert_eq!(harness.status().running, 0, "{status}: its slot is free");
    }
}
