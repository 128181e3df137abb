//! Offers, refusals, hedges and idempotency keys.

mod common;

use common::{
    Fixture, SentOffer, address, agent_refusal, find_offer, find_refusal, grant, hosts, incoming,
    service_request, tree,
};
use entry::{Action, Event, IncomingRequest};
use wire::{
    frame, host,
    outcome::{Outcome::*, Reason},
};

fn fixture() -> Fixture {
    Fixture::new(tree(), 6)
}

fn keyed_request(caller: u64, host: &str) -> IncomingRequest {
    service_request(caller, "/floor/bids", Some(&format!("{host}.63.5")))
}

/// Guards against a request delayed by a slow first agent, against two commits of a request, and
/// against slots that stay reserved although no request needs them.
#[test]
fn first_ready_reply_after_a_hedge_gets_the_commit() {
    let mut fixture = fixture();
    let first = fixture.open_request(incoming(1));
    assert!(fixture.advance(19).is_empty());
    let second = find_offer(&fixture.advance(1)).expect("a hedge");
    assert!(fixture.advance(100).is_empty(), "no third offer, since the spread is two");
    let actions = fixture.reply_ready(second, grant(1));
    assert!(has!(actions, Action::Commit { peer, .. } if *peer == second.1));
    assert!(has!(actions, Action::Withdraw { peer, .. } if *peer == first.1));
    let actions = fixture.reply_ready(first, grant(2));
    assert!(has!(actions, Action::Cancel { commit, .. } if commit.grant == grant(2)));
    assert!(
        fixture.reply_ready(second, grant(1)).is_empty(),
        "a repeated reply must not cancel the grant in use"
    );
    let actions = fixture.handle(Event::CallerDisconnected { caller: 1 });
    assert!(has!(actions, Action::Cancel { commit, .. } if commit.grant == grant(1)));
    let next = fixture.open_request(incoming(2));
    let actions = fixture.handle(Event::CallerDisconnected { caller: 2 });
    assert!(has!(actions, Action::Withdraw { .. }) && has!(actions, Action::DropBody { .. }));
    assert!(has!(fixture.reply_ready(next, grant(3)), Action::Cancel { .. }));
}

/// Guards against retry storms, which happen if offers beyond the spread don't use the retry
/// budget.
#[test]
fn retry_budget_limits_offers_beyond_the_spread() {
    let mut fixture = Fixture::new(tree(), 40);
    let mut offers = 0;
    for caller in 0..200 {
        let mut next = Some(fixture.open_request(incoming(caller)));
        while let Some(offer) = next {
            offers += 1;
            let actions = fixture.reply_refused(offer, NotRun, Reason::NotReady);
            next = find_offer(&actions);
            assert!(
                next.is_some()
                    || has!(actions, Action::Refuse { refusal, .. }
                if refusal.reason == Reason::NotReady && refusal.retry_after.is_some())
            );
        }
    }
    assert_eq!(offers, 200 * 2 + 10 + 20);
}

/// Guards against a poison request that is offered to engines beyond its spread, and against a
/// delayed refusal although no agent can meet the deadline.
#[test]
fn refusals_that_concern_the_request_do_not_widen_the_spread() {
    let spread_reasons = [Reason::Suspect, Reason::Deadline, Reason::Overload, Reason::Displaced];
    for reason in [Reason::Poison, Reason::BadKey].into_iter().chain(spread_reasons) {
        let mut fixture = fixture();
        let first = fixture.open_request(incoming(1));
        let second = find_offer(&fixture.advance(20)).unwrap();
        let mut actions = fixture.reply_refused(first, NotRun, reason);
        if spread_reasons.contains(&reason) {
            assert!(actions.is_empty(), "the second agent may run it");
            actions = fixture.reply_refused(second, NotRun, reason);
        } else {
            assert!(has!(actions, Action::Withdraw { peer, .. } if *peer == second.1));
        }
        assert_eq!((find_offer(&actions), find_refusal(&actions)), (None, Some((NotRun, reason))));
    }
}

/// Guards against a caller that waits past its deadline for a slot, and against a commit after
/// the deadline.
#[test]
fn deadline_before_the_grant_refuses_as_not_run() {
    let mut fixture = fixture();
    let late = Some((NotRun, Reason::Deadline));
    fixture.open_request(incoming(1));
    assert_eq!(find_refusal(&fixture.advance(1999)), None);
    assert_eq!(find_refusal(&fixture.advance(1)), late);
    let first = fixture.open_request(incoming(2));
    fixture.now += 2000;
    let actions = fixture.reply_ready(first, grant(2));
    assert!(has!(actions, Action::Cancel { .. }) && !has!(actions, Action::Commit { .. }));
    assert_eq!(find_refusal(&actions), late);
}

/// Guards against offers to a host that is leaving, also if its agent has not received that
/// state yet, and to a host that is ejected.
#[test]
fn leaving_and_ejected_hosts_get_no_offers() {
    let mut fixture = fixture();
    let first = fixture.open_request(incoming(1));
    let mut records = hosts(6);
    let leaving = records.iter_mut().find(|record| record.address == first.1).unwrap();
    leaving.state = host::State::Leaving;
    let actions = fixture.handle(Event::Hosts(records));
    assert!(has!(actions, Action::Withdraw { peer, .. } if *peer == first.1));
    assert!(find_offer(&actions).is_some_and(|next| next.1 != first.1));
    let actions = fixture.reply_ready(first, grant(1));
    assert!(!has!(actions, Action::Commit { .. }) && has!(actions, Action::Cancel { .. }));

    fixture.handle(Event::Hosts(hosts(6)));
    let same = |caller| IncomingRequest { prefix_hash: 1, ..incoming(caller) };
    for caller in 2..5 {
        let (request, peer) = fixture.open_request(same(caller));
        assert_eq!(peer, first.1);
        fixture.handle(Event::OfferFailed { request, peer });
    }
    assert_ne!(fixture.open_request(same(5)).1, first.1);
}

/// Guards against offering a keyed request to another agent, and against `not_run` for one that
/// may have run in an earlier use of its key.
#[test]
fn keyed_request_is_offered_to_one_agent_only() {
    type React = fn(&mut Fixture, SentOffer) -> Vec<Action>;
    let cases: [(React, _); 7] = [
        (
            |fixture, offer| fixture.reply_refused(offer, Unknown, Reason::KeyInUse),
            (Unknown, Reason::KeyInUse),
        ),
        (
            |fixture, offer| fixture.reply_refused(offer, NotRun, Reason::Overload),
            (NotRun, Reason::Overload),
        ),
        (
            |fixture, (request, peer)| fixture.handle(Event::OfferFailed { request, peer }),
            (Unknown, Reason::AgentLost),
        ),
        (
            |fixture, offer| {
                fixture.reply_ready(offer, grant(1));
                let replaced = agent_refusal(NotRun, Reason::AgentReplaced);
                fixture.receive_frame(offer, grant(1), frame::Body::Refused(replaced))
            },
            (Unknown, Reason::AgentReplaced),
        ),
        (|fixture, _| fixture.advance(2000), (Unknown, Reason::Deadline)),
        (
            |fixture, _| fixture.receive(keyed_request(2, "replica-77")),
            (Unknown, Reason::AgentLost),
        ),
        (
            |fixture, _| {
                fixture.handle(Event::Stop);
                fixture.receive(keyed_request(2, "replica-3"))
            },
            (Unknown, Reason::Leaving),
        ),
    ];
    for (react, expected) in cases {
        let mut fixture = fixture();
        let offer = fixture.open_request(keyed_request(1, "replica-3"));
        assert_eq!(offer.1, address(3));
        assert!(fixture.advance(100).is_empty(), "no hedge");
        let actions = react(&mut fixture, offer);
        assert_eq!((find_offer(&actions), find_refusal(&actions)), (None, Some(expected)));
    }
}

/// Guards against a key request that fails because its first agent is unreachable, or that never
/// ends.
#[test]
fn key_request_tries_one_agent_after_another() {
    let mut fixture = Fixture::new(tree(), 3);
    let mut peers = Vec::new();
    let mut actions = fixture.handle(Event::KeyRequest { caller: 1, route: "bids".into() });
    while let [Action::KeyRequest { peer, .. }] = actions[..] {
        peers.push(peer);
        actions = fixture.handle(Event::KeyFailed { caller: 1, peer });
    }
    peers.sort();
    assert_eq!(peers, [address(0), address(1), address(2)]);
    assert!(has!(actions, Action::KeyResponse { caller: 1, response: Err(_) }));
    fixture.handle(Event::KeyRequest { caller: 2, route: "bids".into() });
    assert!(has!(fixture.advance(2000), Action::KeyResponse { caller: 2, response: Err(_) }));
}

/// Guards against long prompts on agents reserved for short ones, also after refusals, and
/// against short prompts that use only those agents.
#[test]
fn long_prompts_avoid_agents_reserved_for_short_ones() {
    let agents_tried = |prompt_tokens| {
        let mut fixture = Fixture::new(tree(), 10);
        let mut next = Some(fixture.open_request(IncomingRequest { prompt_tokens, ..incoming(1) }));
        let mut tried = Vec::new();
        while let Some(offer) = next {
            tried.push(offer.1);
            next = find_offer(&fixture.reply_refused(offer, NotRun, Reason::NotReady));
        }
        tried
    };
    let (short, long) = (agents_tried(500), agents_tried(501));
    assert_eq!((short.len(), long.len()), (10, 8), "two of ten agents are reserved");
    assert!(!long.contains(&short[0]) && long.contains(&short[1]));
}

/// Guards against a third engine crashed by copies of a poison request. While an offer to one
/// agent of the spread is open, a failed offer to another must not lead to offers beyond it.
#[test]
fn failed_offer_does_not_widen_the_spread_while_another_is_open() {
    let mut fixture = fixture();
    let first = fixture.open_request(incoming(1));
    let second = find_offer(&fixture.advance(20)).unwrap();
    let actions = fixture.handle(Event::OfferFailed { request: second.0, peer: second.1 });
    assert_eq!((find_offer(&actions), find_refusal(&actions)), (None, None));
    assert!(
        find_offer(&fixture.reply_refused(first, NotRun, Reason::NotReady)).is_some(),
        "no offer is open any more"
    );
}
