//! Streams of granted requests: failures, gaps, checks of frames and refusals after the grant.

mod common;

use std::net::SocketAddr;

use common::{
    Fixture, address, agent_refusal, data, end, find_offer, find_refusal, grant, hosts, incoming,
    service_request, started, tree,
};
use entry::{Action, Event};
use wire::{
    frame::Body,
    outcome::{Outcome::*, Reason},
};

fn fixture() -> Fixture {
    Fixture::new(tree(), 6)
}

fn collect_bytes(actions: &[Action]) -> String {
    let data = actions.iter().filter_map(|action| match action {
        Action::Data { bytes, .. } => Some(String::from_utf8_lossy(bytes)),
        _ => None,
    });
    data.collect()
}

/// Returns the address, the offset and the `resumable` flag of the first attach.
fn find_attach(actions: &[Action]) -> Option<(SocketAddr, u64, bool)> {
    actions.iter().find_map(|action| match action {
        Action::Attach { peer, attach } => Some((*peer, attach.offset, attach.resumable)),
        _ => None,
    })
}

fn advance_to_timer(fixture: &mut Fixture) -> Vec<Action> {
    fixture.now = fixture.machine.next_timer().unwrap().0.div_ceil(1000);
    fixture.handle(Event::Tick)
}

/// Guards against bytes that are repeated, missing or of another grant in a response whose stream
/// failed.
#[test]
fn response_is_complete_after_failures_gaps_and_overlaps() {
    let mut fixture = fixture();
    let offer = fixture.start_response(incoming(1), grant(1));
    let mut received = collect_bytes(&fixture.receive_frame(offer, grant(1), data(0, "going ")));
    fixture.handle(Event::StreamFailed { request: offer.0, peer: offer.1 });
    assert_eq!(find_attach(&advance_to_timer(&mut fixture)), Some((offer.1, 6, true)));
    assert!(
        fixture.receive_frame(offer, grant(1), started()).is_empty(),
        "the response starts once"
    );
    received += &collect_bytes(&fixture.receive_frame(offer, grant(1), data(3, "ng once ")));
    assert!(fixture.receive_frame(offer, grant(2), data(11, "stray")).is_empty());
    assert!(fixture.receive_frame(offer, grant(1), data(20, "gap")).is_empty());
    assert_eq!(find_attach(&advance_to_timer(&mut fixture)), Some((offer.1, 11, true)));
    received += &collect_bytes(&fixture.receive_frame(offer, grant(1), data(11, "gone")));
    assert_eq!(received, "going once gone");
    let actions = fixture.receive_frame(offer, grant(1), end("going once gone"));
    assert!(has!(actions, Action::Finish { caller: 1 }) && !has!(actions, Action::Cancel { .. }));
}

/// Guards against a truncated or corrupt response that is reported as complete.
#[test]
fn mismatched_end_frame_makes_the_response_incomplete() {
    for (body, bytes_missing) in [(end("sold!"), true), (end("so"), false), (end("gold"), false)] {
        let mut fixture = fixture();
        let offer = fixture.start_response(incoming(1), grant(1));
        fixture.receive_frame(offer, grant(1), data(0, "sold"));
        let mut actions = fixture.receive_frame(offer, grant(1), body.clone());
        if bytes_missing {
            assert!(actions.is_empty(), "the missing byte may still be received");
            assert_eq!(find_attach(&advance_to_timer(&mut fixture)), Some((offer.1, 4, true)));
            actions = fixture.receive_frame(offer, grant(1), body);
        }
        assert_eq!(find_refusal(&actions), Some((Incomplete, Reason::Corrupt)));
        assert!(!has!(actions, Action::Finish { .. }));
    }
}

/// Guards against a second run of a request, which happens if it is offered again without a
/// `not_run` refusal by the agent that has its grant.
#[test]
fn only_a_refusal_by_the_agent_releases_a_granted_request() {
    let mut fixture = fixture();
    let offer = fixture.open_request(incoming(1));
    fixture.reply_ready(offer, grant(1));
    assert!(fixture.handle(Event::OfferFailed { request: offer.0, peer: offer.1 }).is_empty());
    let expired = Body::Refused(agent_refusal(NotRun, Reason::GrantExpired));
    assert!(fixture.receive_frame(offer, grant(7), expired.clone()).is_empty(), "another grant");
    let next = find_offer(&fixture.receive_frame(offer, grant(1), expired.clone()))
        .expect("another offer");
    assert!(
        fixture.receive_frame(offer, grant(1), started()).is_empty(),
        "a grant that the agent has ended"
    );
    assert!(!has!(fixture.reply_ready(next, grant(1)), Action::Commit { .. }), "a repeated reply");
    assert!(has!(fixture.reply_ready(next, grant(2)), Action::Commit { .. }));
    let actions = fixture.receive_frame(
        next,
        grant(2),
        Body::Refused(agent_refusal(Unknown, Reason::AgentReplaced)),
    );
    assert_eq!(
        (find_offer(&actions), find_refusal(&actions)),
        (None, Some((Unknown, Reason::AgentReplaced)))
    );

    let offer = fixture.start_response(incoming(2), grant(3));
    let actions = fixture.receive_frame(offer, grant(3), expired);
    assert_eq!(
        find_refusal(&actions),
        Some((Incomplete, Reason::GrantExpired)),
        "the response has begun"
    );
}

/// Guards against a caller that waits forever for an unreachable agent, against a false `not_run`,
/// and against a service request that a replacement agent resumes as if it were a model stream.
#[test]
fn request_with_a_failed_stream_is_refused_at_the_resume_limit() {
    for (incoming, started_first) in
        [(incoming(1), false), (incoming(1), true), (service_request(1, "/floor", None), true)]
    {
        let mut fixture = fixture();
        let (is_model, offer) = (!incoming.model.is_empty(), fixture.open_request(incoming));
        fixture.reply_ready(offer, grant(1));
        if started_first {
            fixture.receive_frame(offer, grant(1), started());
        }
        let (started_at, mut attaches) = (fixture.now, 0);
        let actions = loop {
            assert!(
                fixture.handle(Event::StreamFailed { request: offer.0, peer: offer.1 }).is_empty()
            );
            let actions = advance_to_timer(&mut fixture);
            if find_refusal(&actions).is_some() {
                break actions;
            }
            assert_eq!(find_attach(&actions), Some((offer.1, 0, is_model)));
            attaches += 1;
        };
        let outcome = if started_first { Incomplete } else { Unknown };
        assert_eq!(find_refusal(&actions), Some((outcome, Reason::AgentLost)));
        assert!(has!(actions, Action::Cancel { .. }));
        assert!(fixture.now - started_at <= 1000 && (5..20).contains(&attaches), "{attaches}");
    }
}

/// Guards against `not_run` for a committed request without a response, and against aborting a
/// response that makes progress after the deadline.
#[test]
fn deadline_after_the_grant_does_not_end_a_response_in_progress() {
    let mut fixture = fixture();
    let offer = fixture.open_request(incoming(1));
    fixture.reply_ready(offer, grant(1));
    let actions = fixture.advance(2000);
    assert_eq!(find_refusal(&actions), Some((Unknown, Reason::Deadline)));
    assert!(has!(actions, Action::Cancel { .. }));

    let offer = fixture.start_response(incoming(2), grant(2));
    for offset in 0..6 {
        assert_eq!(find_refusal(&fixture.advance(450)), None);
        assert_eq!(collect_bytes(&fixture.receive_frame(offer, grant(2), data(offset, "x"))), "x");
    }
    assert_eq!(find_refusal(&fixture.advance(1000)), Some((Incomplete, Reason::AgentLost)));
}

/// Guards against attaching to a replaced agent at its previous address.
#[test]
fn attach_uses_the_new_address_of_the_host() {
    let mut fixture = fixture();
    let offer = fixture.start_response(incoming(1), grant(1));
    let mut records = hosts(6);
    let moved = records.iter_mut().find(|record| record.address == offer.1).unwrap();
    moved.address = address(200);
    let actions = fixture.handle(Event::Hosts(records));
    assert_eq!(find_attach(&actions), Some((address(200), 0, true)));
    assert!(fixture.receive_frame(offer, grant(1), data(0, "old")).is_empty());
    assert_eq!(
        collect_bytes(&fixture.receive_frame((offer.0, address(200)), grant(1), data(0, "new"))),
        "new"
    );
}

/// Guards against an unreported poison request. If it crashes its engine and agent, neither can
/// report it, and the entry may crash before it refuses the request.
#[test]
fn request_of_an_unreachable_agent_is_a_suspect() {
    let reports = |actions: &[Action]| {
        let lists = actions.iter().filter_map(|action| match action {
            Action::Suspects(list) => Some(list.clone()),
            _ => None,
        });
        lists.flatten().map(|suspect| suspect.cleared).collect::<Vec<_>>()
    };
    let mut fixture = fixture();
    let offer = fixture.start_response(incoming(1), grant(1));
    fixture.handle(Event::StreamFailed { request: offer.0, peer: offer.1 });
    assert!(
        reports(&advance_to_timer(&mut fixture)).is_empty(),
        "one failed connection is not reported"
    );
    fixture.handle(Event::StreamFailed { request: offer.0, peer: offer.1 });
    assert_eq!(reports(&advance_to_timer(&mut fixture)), [false]);
    fixture.handle(Event::StreamFailed { request: offer.0, peer: offer.1 });
    assert!(
        reports(&advance_to_timer(&mut fixture)).is_empty(),
        "the suspect was reported already"
    );
    fixture.receive_frame(offer, grant(1), data(0, "whole"));
    assert_eq!(reports(&fixture.receive_frame(offer, grant(1), end("whole"))), [true]);
}

/// Guards against `not_run` for a request whose reservation expired, since another request with
/// the same key may have run afterwards.
#[test]
fn keyed_request_with_an_expired_grant_is_unknown() {
    let mut fixture = fixture();
    let host = String::from_utf8_lossy(&hosts(1)[0].host).into_owned();
    let offer =
        fixture.open_request(service_request(1, "/floor/bids", Some(&format!("{host}.63.5"))));
    fixture.reply_ready(offer, grant(1));
    let expired = Body::Refused(agent_refusal(NotRun, Reason::GrantExpired));
    assert_eq!(
        find_refusal(&fixture.receive_frame(offer, grant(1), expired)),
        Some((Unknown, Reason::GrantExpired))
    );
}
