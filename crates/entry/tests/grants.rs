//! Streams of granted requests: losses, gaps, checks and the way back from a grant.

mod common;

use std::net::SocketAddr;

use common::{
    Bench, address, call, data, end, grant, hosts, offered, refusal, refused, service, started,
    tree,
};
use entry::{Action, Event};
use wire::{
    frame::Body,
    outcome::{Outcome::*, Reason},
};

fn bench() -> Bench {
    Bench::new(tree(), 6)
}

fn bytes(actions: &[Action]) -> String {
    let data = actions.iter().filter_map(|action| match action {
        Action::Data { bytes, .. } => Some(String::from_utf8_lossy(bytes)),
        _ => None,
    });
    data.collect()
}

/// Where an attach goes, its offset and whether it is resumable.
fn attached(actions: &[Action]) -> Option<(SocketAddr, u64, bool)> {
    actions.iter().find_map(|action| match action {
        Action::Attach { peer, attach } => Some((*peer, attach.offset, attach.resumable)),
        _ => None,
    })
}

fn next_timer(bench: &mut Bench) -> Vec<Action> {
    bench.now = bench.machine.next_timer().unwrap().0.div_ceil(1000);
    bench.send(Event::Tick)
}

/// Guards against repeated, missing or foreign bytes after a lost stream.
#[test]
fn an_answer_is_whole_after_losses_gaps_and_overlaps() {
    let mut bench = bench();
    let to = bench.start(call(1), grant(1));
    let mut got = bytes(&bench.frame(to, grant(1), data(0, "going ")));
    bench.send(Event::StreamFailed { request: to.0, peer: to.1 });
    assert_eq!(attached(&next_timer(&mut bench)), Some((to.1, 6, true)));
    assert!(bench.frame(to, grant(1), started()).is_empty(), "one start");
    got += &bytes(&bench.frame(to, grant(1), data(3, "ng once ")));
    assert!(bench.frame(to, grant(2), data(11, "stray")).is_empty());
    assert!(bench.frame(to, grant(1), data(20, "gap")).is_empty());
    assert_eq!(attached(&next_timer(&mut bench)), Some((to.1, 11, true)));
    got += &bytes(&bench.frame(to, grant(1), data(11, "gone")));
    assert_eq!(got, "going once gone");
    let actions = bench.frame(to, grant(1), end("going once gone"));
    assert!(has!(actions, Action::Finish { caller: 1 }) && !has!(actions, Action::Cancel { .. }));
}

/// Guards against a truncated or damaged answer that is presented as whole.
#[test]
fn an_end_that_does_not_match_is_incomplete() {
    for (body, short) in [(end("sold!"), true), (end("so"), false), (end("gold"), false)] {
        let mut bench = bench();
        let to = bench.start(call(1), grant(1));
        bench.frame(to, grant(1), data(0, "sold"));
        let mut actions = bench.frame(to, grant(1), body.clone());
        if short {
            assert!(actions.is_empty(), "the missing byte may still come");
            assert_eq!(attached(&next_timer(&mut bench)), Some((to.1, 4, true)));
            actions = bench.frame(to, grant(1), body);
        }
        assert_eq!(refusal(&actions), Some((Incomplete, Reason::Corrupt)));
        assert!(!has!(actions, Action::Finish { .. }));
    }
}

/// Guards against a second run: only the agent's own `not_run` frees the request.
#[test]
fn only_the_agents_word_gives_a_grant_back() {
    let mut bench = bench();
    let to = bench.open(call(1));
    bench.ready(to, grant(1));
    assert!(bench.send(Event::OfferFailed { request: to.0, peer: to.1 }).is_empty());
    let gone = Body::Refused(refused(NotRun, Reason::GrantExpired));
    assert!(bench.frame(to, grant(7), gone.clone()).is_empty(), "another grant");
    let next = offered(&bench.frame(to, grant(1), gone.clone())).expect("another offer");
    assert!(bench.frame(to, grant(1), started()).is_empty(), "a grant that was given up");
    assert!(!has!(bench.ready(next, grant(1)), Action::Commit { .. }), "a repeated reply");
    assert!(has!(bench.ready(next, grant(2)), Action::Commit { .. }));
    let actions =
        bench.frame(next, grant(2), Body::Refused(refused(Unknown, Reason::AgentReplaced)));
    assert_eq!(
        (offered(&actions), refusal(&actions)),
        (None, Some((Unknown, Reason::AgentReplaced)))
    );

    let to = bench.start(call(2), grant(3));
    let actions = bench.frame(to, grant(3), gone);
    assert_eq!(refusal(&actions), Some((Incomplete, Reason::GrantExpired)), "it has begun");
}

/// Guards against a lost agent that holds its caller for ever, a false `not_run`, and a
/// service call that a replacement agent resumes as if it were a stream.
#[test]
fn a_lost_stream_is_given_up_at_the_resume_limit() {
    for (call, begun) in [(call(1), false), (call(1), true), (service(1, "/floor", None), true)] {
        let mut bench = bench();
        let (model, to) = (!call.model.is_empty(), bench.open(call));
        bench.ready(to, grant(1));
        if begun {
            bench.frame(to, grant(1), started());
        }
        let (since, mut attaches) = (bench.now, 0);
        let actions = loop {
            assert!(bench.send(Event::StreamFailed { request: to.0, peer: to.1 }).is_empty());
            let actions = next_timer(&mut bench);
            if refusal(&actions).is_some() {
                break actions;
            }
            assert_eq!(attached(&actions), Some((to.1, 0, model)));
            attaches += 1;
        };
        let outcome = if begun { Incomplete } else { Unknown };
        assert_eq!(refusal(&actions), Some((outcome, Reason::AgentLost)));
        assert!(has!(actions, Action::Cancel { .. }));
        assert!(bench.now - since <= 1000 && (5..20).contains(&attaches), "{attaches}");
    }
}

/// Guards against `not_run` for a commit without an answer, and against cutting an answer off
/// that makes progress.
#[test]
fn the_deadline_after_the_grant() {
    let mut bench = bench();
    let to = bench.open(call(1));
    bench.ready(to, grant(1));
    let actions = bench.tick(2000);
    assert_eq!(refusal(&actions), Some((Unknown, Reason::Deadline)));
    assert!(has!(actions, Action::Cancel { .. }));

    let to = bench.start(call(2), grant(2));
    for offset in 0..6 {
        assert_eq!(refusal(&bench.tick(450)), None);
        assert_eq!(bytes(&bench.frame(to, grant(2), data(offset, "x"))), "x");
    }
    assert_eq!(refusal(&bench.tick(1000)), Some((Incomplete, Reason::AgentLost)));
}

/// Guards against a replaced agent that is sought at its old address.
#[test]
fn an_attach_follows_the_host() {
    let mut bench = bench();
    let to = bench.start(call(1), grant(1));
    let mut records = hosts(6);
    let moved = records.iter_mut().find(|record| record.address == to.1).unwrap();
    moved.address = address(200);
    let actions = bench.send(Event::Hosts(records));
    assert_eq!(attached(&actions), Some((address(200), 0, true)));
    assert!(bench.frame(to, grant(1), data(0, "old")).is_empty());
    assert_eq!(bytes(&bench.frame((to.0, address(200)), grant(1), data(0, "new"))), "new");
}

/// Guards against a poison request that kills its engine and agent unseen: neither can report
/// it, and this entry may die before it gives the request up.
#[test]
fn a_request_whose_agent_stays_lost_is_a_suspect() {
    let reports = |actions: &[Action]| {
        let lists = actions.iter().filter_map(|action| match action {
            Action::Suspects(list) => Some(list.clone()),
            _ => None,
        });
        lists.flatten().map(|suspect| suspect.cleared).collect::<Vec<_>>()
    };
    let mut bench = bench();
    let to = bench.start(call(1), grant(1));
    bench.send(Event::StreamFailed { request: to.0, peer: to.1 });
    assert!(reports(&next_timer(&mut bench)).is_empty(), "a cut connection is no loss");
    bench.send(Event::StreamFailed { request: to.0, peer: to.1 });
    assert_eq!(reports(&next_timer(&mut bench)), [false]);
    bench.send(Event::StreamFailed { request: to.0, peer: to.1 });
    assert!(reports(&next_timer(&mut bench)).is_empty(), "reported twice");
    bench.frame(to, grant(1), data(0, "whole"));
    assert_eq!(reports(&bench.frame(to, grant(1), end("whole"))), [true]);
}

/// Guards against `not_run` for a key whose reservation expired and that another call ran.
#[test]
fn an_expired_reservation_of_a_key_is_unknown() {
    let mut bench = bench();
    let host = String::from_utf8_lossy(&hosts(1)[0].host).into_owned();
    let to = bench.open(service(1, "/floor/bids", Some(&format!("{host}.63.5"))));
    bench.ready(to, grant(1));
    let gone = Body::Refused(refused(NotRun, Reason::GrantExpired));
    assert_eq!(refusal(&bench.frame(to, grant(1), gone)), Some((Unknown, Reason::GrantExpired)));
}
