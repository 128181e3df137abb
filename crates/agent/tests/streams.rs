//! Rules for grants and streams.

mod support;

use agent::{Action, Event, Progress};
use conf::tree;
use support::{Rig, dispatches, frames, head, ms, no_stream, pool, readies, refusals};
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

/// Guards against a slot that is lost with its entry, and against an expired number that runs.
#[test]
fn expired_grant_never_runs() {
    let mut rig = Rig::new(tree::Pool { max_running: 1, ..pool() });
    let grant = rig.ready(head(1));
    let (next, _) = rig.offer(head(2));
    rig.now = rig.now + ms(200);
    let (link, actions) = rig.commit(1, grant);
    assert_eq!(dispatches(&actions), 0);
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::GrantExpired)]);
    assert_eq!(readies(&actions)[0].0, next);
}

/// Guards against a second dispatch by a repeated commitment.
#[test]
fn repeated_commit_attaches() {
    let mut rig = Rig::new(pool());
    let (grant, _) = rig.run(head(1));
    rig.started(grant, "run-1");
    rig.data(grant, "abc");
    let (link, actions) = rig.commit(1, grant);
    assert_eq!(dispatches(&actions), 0);
    assert_eq!(frames(&actions, link).len(), 2);
    let actions = rig.backend(grant, Progress::End);
    let crc32 = crc32fast::hash(b"abc");
    assert_eq!(frames(&actions, link), [frame::Body::End { length: 3, crc32 }]);
    let (link, actions) = rig.commit(1, grant);
    assert_eq!(dispatches(&actions), 0);
    assert_eq!(frames(&actions, link).len(), 3);
}

/// Guards against `not_run` for a number that may have run, and `unknown` for one that can't.
#[test]
fn tells_forgotten_from_abandoned() {
    let mut rig = Rig::new(pool());
    let (grant, _) = rig.run(head(1));
    let unused = id::Grant { seq: grant.seq + 5, ..grant };
    assert_eq!(refusals(&rig.commit(9, unused).1)[0].1, Outcome::NotRun);
    let foreign = id::Grant { process: id::Process(8), ..grant };
    assert_eq!(refusals(&rig.commit(1, foreign).1)[0].2, Reason::AgentReplaced);
    assert_eq!(refusals(&rig.commit(2, grant).1)[0].1, Outcome::Unknown);
    rig.started(grant, "run-1");
    rig.backend(grant, Progress::End);
    rig.wait(ms(3001));
    let (link, actions) = rig.commit(1, grant);
    assert_eq!(refusals(&actions), [(link, Outcome::Unknown, Reason::GrantExpired)]);
    assert_eq!(refusals(&rig.attach(1, grant, 2).1)[0].1, Outcome::Incomplete);
}

/// Guards against a commitment that overtakes or follows its cancel and still runs.
#[test]
fn cancelled_reservation_is_abandoned() {
    let mut rig = Rig::new(tree::Pool { max_running: 1, ..pool() });
    let grant = rig.ready(head(1));
    let (next, _) = rig.offer(head(2));
    let commit = grant::Commit { grant, request: head(1).request };
    assert_eq!(readies(&rig.send(Event::Cancel { commit }))[0].0, next);
    assert_eq!(refusals(&rig.commit(1, grant).1)[0].1, Outcome::NotRun);
    assert!(readies(&rig.offer(head(3)).1).is_empty());
}

/// Guards against a running stream that goes on for nobody.
#[test]
fn cancel_and_orphan_end_the_stream() {
    let mut rig = Rig::new(pool());
    let (grant, _) = rig.run(head(1));
    let commit = grant::Commit { grant, request: head(1).request };
    assert!(cancels(&rig.send(Event::Cancel { commit })));
    let (grant, link) = rig.run(head(2));
    rig.started(grant, "run-1");
    rig.send(Event::LinkClosed { link });
    rig.wait(ms(900));
    rig.data(grant, "a");
    rig.wait(ms(900));
    rig.data(grant, "b");
    assert!(cancels(&rig.wait(ms(200))));
    assert_eq!(rig.status().running, 0);
}

/// Guards against a cut connection to the engine that ends the answer or tears a hole in it.
#[test]
fn lost_stream_resumes_from_its_offset() {
    let mut rig = Rig::new(pool());
    let (grant, link) = rig.run(head(1));
    rig.started(grant, "run-1");
    rig.data(grant, "abc");
    rig.backend(grant, Progress::ConnectionLost);
    assert_eq!(resumes(&rig.wait(ms(100))), [3]);
    rig.backend(grant, Progress::Unreachable);
    assert_eq!(resumes(&rig.wait(ms(100))), [3]);
    rig.started(grant, "run-1");
    rig.data(grant, "def");
    let actions = rig.backend(grant, Progress::End);
    let crc32 = crc32fast::hash(b"abcdef");
    assert_eq!(frames(&actions, link), [frame::Body::End { length: 6, crc32 }]);
}

/// Guards against bytes that stand twice in an answer: after a pause of the process, what the old
/// connection delivered is handled beside what a resume brings.
#[test]
fn bytes_of_two_connections_are_taken_once() {
    let mut rig = Rig::new(pool());
    let (grant, link) = rig.run(head(1));
    rig.started(grant, "run-1");
    let data = |offset, text: &'static str| {
        let bytes = bytes::Bytes::from_static(text.as_bytes());
        Progress::Data { offset, bytes }
    };
    rig.backend(grant, data(0, "abc"));
    rig.backend(grant, Progress::ConnectionLost);
    assert_eq!(resumes(&rig.wait(ms(100))), [3]);
    rig.backend(grant, data(3, "de"));
    rig.started(grant, "run-1");
    rig.backend(grant, data(3, "def"));
    let actions = rig.backend(grant, Progress::End);
    let crc32 = crc32fast::hash(b"abcdef");
    assert_eq!(frames(&actions, link), [frame::Body::End { length: 6, crc32 }]);
}

/// Guards against a wrong outcome of each way in which a stream is lost.
#[test]
fn lost_streams_have_true_outcomes() {
    let service = |seq| request::Head { kind: request::Kind::Service, ..head(seq) };
    for (started, outcome) in [(false, Outcome::Unknown), (true, Outcome::Incomplete)] {
        let mut rig = Rig::new(pool());
        let mut outcomes = Vec::new();
        for seq in 1..4 {
            let head = if seq == 1 { service(seq) } else { head(seq) };
            let (grant, _) = rig.run(head);
            if started {
                rig.started(grant, "run-1");
            }
            let mut actions = rig.backend(grant, Progress::ConnectionLost);
            assert_eq!(refusals(&actions).len(), usize::from(seq == 1), "only services end here");
            if seq == 2 {
                actions.extend(rig.backend(grant, no_stream("run-1")));
            } else if seq == 3 {
                actions.extend(rig.wait(ms(1001)));
                assert!(cancels(&actions));
            }
            outcomes.extend(refusals(&actions).into_iter().map(|refusal| refusal.1));
            rig.probe("run-1");
        }
        assert_eq!(outcomes, [outcome; 3]);
    }
}

/// Guards against a silent engine that holds its requests for ever.
#[test]
fn silent_stream_is_resumed_then_given_up() {
    let mut rig = Rig::new(pool());
    let (grant, _) = rig.run(head(1));
    rig.started(grant, "run-1");
    assert_eq!(resumes(&rig.wait(ms(1000))), [0]);
    let actions = rig.wait(ms(1000));
    assert_eq!(refusals(&actions)[0].1, Outcome::Incomplete);
    assert_eq!(refusals(&actions)[0].2, Reason::BackendSilent);
}

/// Guards against an agent's replacement that loses a stream the engine still has, or that
/// dispatches again.
#[test]
fn replacement_adopts_the_engines_stream() {
    let mut rig = Rig::new(pool());
    let old = id::Grant { process: id::Process(3), seq: 4 };
    let (link, actions) = rig.attach(1, old, 2);
    assert_eq!(resumes(&actions), [0]);
    rig.started(old, "run-1");
    let actions = rig.data(old, "abcd");
    let bytes = bytes::Bytes::from_static(b"cd");
    assert_eq!(frames(&actions, link), [frame::Body::Data { offset: 2, bytes }]);
    let actions = rig.backend(old, Progress::End);
    let crc32 = crc32fast::hash(b"abcd");
    assert_eq!(frames(&actions, link), [frame::Body::End { length: 4, crc32 }]);
    for (offset, outcome) in [(0, Outcome::Unknown), (2, Outcome::Incomplete)] {
        let old = id::Grant { seq: 5 + offset, ..old };
        let (link, _) = rig.attach(1, old, offset);
        let actions = rig.backend(old, no_stream("run-1"));
        assert_eq!(refusals(&actions), [(link, outcome, Reason::AgentReplaced)]);
    }
}

/// Guards against memory that grows with an answer, and against a replay with a hole.
#[test]
fn long_stream_keeps_its_end_only() {
    let mut rig = Rig::new(pool());
    let (grant, link) = rig.run(head(1));
    rig.started(grant, "run-1");
    let part = bytes::Bytes::from(vec![7; 1 << 20]);
    for piece in 0..6 {
        let (offset, bytes) = (piece << 20, part.clone());
        rig.backend(grant, Progress::Data { offset, bytes });
    }
    let (_, actions) = rig.attach(1, grant, 0);
    assert_eq!(refusals(&actions)[0].1, Outcome::Incomplete);
    let (late, actions) = rig.attach(1, grant, 5 << 20);
    let bytes = part.clone();
    assert_eq!(frames(&actions, late), [frame::Body::Data { offset: 5 << 20, bytes }]);
    let actions = rig.backend(grant, Progress::End);
    let end = frame::Body::End { length: 6 << 20, crc32: crc32fast::hash(&part.repeat(6)) };
    assert_eq!(frames(&actions, link), std::slice::from_ref(&end));
    assert_eq!(frames(&actions, late), [end]);
}

/// Guards against an engine that is kept overfull although it answers late.
#[test]
fn count_limit_follows_first_token_times() {
    let mut rig = Rig::new(tree::Pool { max_running: 16, ..pool() });
    let limit = |rig: &Rig| rig.status().counters["count_limit"];
    for seq in 1..20 {
        let (grant, _) = rig.run(head(seq));
        rig.wait(ms(900));
        rig.started(grant, "run-1");
        rig.backend(grant, Progress::End);
    }
    assert!(limit(&rig) < 8, "{}", limit(&rig));
    assert!(limit(&rig) >= 2);
}
