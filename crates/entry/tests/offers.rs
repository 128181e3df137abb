//! Offers, refusals, hedges and keys.

mod common;

use common::{Bench, Sent, address, call, grant, hosts, offered, refusal, refused, service, tree};
use entry::{Action, Event, IncomingRequest};
use wire::{
    frame, host,
    outcome::{Outcome::*, Reason},
};

fn bench() -> Bench {
    Bench::new(tree(), 6)
}

fn keyed(caller: u64, host: &str) -> IncomingRequest {
    service(caller, "/floor/bids", Some(&format!("{host}.63.5")))
}

/// Guards against a slow first candidate that holds a request, a grant for each candidate and
/// slots that stay reserved for nobody.
#[test]
fn the_hedge_goes_out_and_the_first_ready_wins() {
    let mut bench = bench();
    let first = bench.open(call(1));
    assert!(bench.tick(19).is_empty());
    let second = offered(&bench.tick(1)).expect("the hedge");
    assert!(bench.tick(100).is_empty(), "the spread is two");
    let actions = bench.ready(second, grant(1));
    assert!(has!(actions, Action::Commit { peer, .. } if *peer == second.1));
    assert!(has!(actions, Action::Withdraw { peer, .. } if *peer == first.1));
    let actions = bench.ready(first, grant(2));
    assert!(has!(actions, Action::Cancel { commit, .. } if commit.grant == grant(2)));
    assert!(bench.ready(second, grant(1)).is_empty(), "a repeat must not cancel the grant in use");
    let actions = bench.send(Event::CallerDisconnected { caller: 1 });
    assert!(has!(actions, Action::Cancel { commit, .. } if commit.grant == grant(1)));
    let next = bench.open(call(2));
    let actions = bench.send(Event::CallerDisconnected { caller: 2 });
    assert!(has!(actions, Action::Withdraw { .. }) && has!(actions, Action::DropBody { .. }));
    assert!(has!(bench.ready(next, grant(3)), Action::Cancel { .. }));
}

/// Guards against retry storms: offers beyond the spread are paid for.
#[test]
fn the_budget_bounds_offers_beyond_the_spread() {
    let mut bench = Bench::new(tree(), 40);
    let mut offers = 0;
    for caller in 0..200 {
        let mut next = Some(bench.open(call(caller)));
        while let Some(to) = next {
            offers += 1;
            let actions = bench.refuse(to, NotRun, Reason::NotReady);
            next = offered(&actions);
            assert!(
                next.is_some()
                    || has!(actions, Action::Refuse { refusal, .. }
                if refusal.reason == Reason::NotReady && refusal.retry_after.is_some())
            );
        }
    }
    assert_eq!(offers, 200 * 2 + 10 + 20);
}

/// Guards against a poison request that is handed to engines beyond its spread, and against an
/// answer held back although no candidate can meet the deadline.
#[test]
fn refusals_of_the_request_do_not_expand() {
    let spread = [Reason::Suspect, Reason::Deadline, Reason::Overload, Reason::Displaced];
    for reason in [Reason::Poison, Reason::BadKey].into_iter().chain(spread) {
        let mut bench = bench();
        let first = bench.open(call(1));
        let second = offered(&bench.tick(20)).unwrap();
        let mut actions = bench.refuse(first, NotRun, reason);
        if spread.contains(&reason) {
            assert!(actions.is_empty(), "the second candidate may run it");
            actions = bench.refuse(second, NotRun, reason);
        } else {
            assert!(has!(actions, Action::Withdraw { peer, .. } if *peer == second.1));
        }
        assert_eq!((offered(&actions), refusal(&actions)), (None, Some((NotRun, reason))));
    }
}

/// Guards against a caller that waits past its deadline for a slot, and a commit after it.
#[test]
fn the_deadline_before_the_grant_is_not_run_at_once() {
    let mut bench = bench();
    let late = Some((NotRun, Reason::Deadline));
    bench.open(call(1));
    assert_eq!(refusal(&bench.tick(1999)), None);
    assert_eq!(refusal(&bench.tick(1)), late);
    let first = bench.open(call(2));
    bench.now += 2000;
    let actions = bench.ready(first, grant(2));
    assert!(has!(actions, Action::Cancel { .. }) && !has!(actions, Action::Commit { .. }));
    assert_eq!(refusal(&actions), late);
}

/// Guards against work for a host that leaves, also if its agent does not know yet, and for
/// one that is ejected.
#[test]
fn leaving_and_ejected_hosts_get_no_work() {
    let mut bench = bench();
    let first = bench.open(call(1));
    let mut records = hosts(6);
    let leaving = records.iter_mut().find(|record| record.address == first.1).unwrap();
    leaving.state = host::State::Leaving;
    let actions = bench.send(Event::Hosts(records));
    assert!(has!(actions, Action::Withdraw { peer, .. } if *peer == first.1));
    assert!(offered(&actions).is_some_and(|next| next.1 != first.1));
    let actions = bench.ready(first, grant(1));
    assert!(!has!(actions, Action::Commit { .. }) && has!(actions, Action::Cancel { .. }));

    bench.send(Event::Hosts(hosts(6)));
    let same = |caller| IncomingRequest { prefix_hash: 1, ..call(caller) };
    for caller in 2..5 {
        let (request, peer) = bench.open(same(caller));
        assert_eq!(peer, first.1);
        bench.send(Event::OfferFailed { request, peer });
    }
    assert_ne!(bench.open(same(5)).1, first.1);
}

/// Guards against a keyed request at another agent, and against `not_run` for one that an
/// earlier use of its key may have run.
#[test]
fn a_key_binds_its_request_to_one_agent() {
    type Turn = fn(&mut Bench, Sent) -> Vec<Action>;
    let turns: [(Turn, _); 7] = [
        (|bench, to| bench.refuse(to, Unknown, Reason::KeyInUse), (Unknown, Reason::KeyInUse)),
        (|bench, to| bench.refuse(to, NotRun, Reason::Overload), (NotRun, Reason::Overload)),
        (
            |bench, (request, peer)| bench.send(Event::OfferFailed { request, peer }),
            (Unknown, Reason::AgentLost),
        ),
        (
            |bench, to| {
                bench.ready(to, grant(1));
                let replaced = refused(NotRun, Reason::AgentReplaced);
                bench.frame(to, grant(1), frame::Body::Refused(replaced))
            },
            (Unknown, Reason::AgentReplaced),
        ),
        (|bench, _| bench.tick(2000), (Unknown, Reason::Deadline)),
        (|bench, _| bench.call(keyed(2, "replica-77")), (Unknown, Reason::AgentLost)),
        (
            |bench, _| {
                bench.send(Event::Stop);
                bench.call(keyed(2, "replica-3"))
            },
            (Unknown, Reason::Leaving),
        ),
    ];
    for (turn, expected) in turns {
        let mut bench = bench();
        let to = bench.open(keyed(1, "replica-3"));
        assert_eq!(to.1, address(3));
        assert!(bench.tick(100).is_empty(), "no hedge");
        let actions = turn(&mut bench, to);
        assert_eq!((offered(&actions), refusal(&actions)), (None, Some(expected)));
    }
}

/// Guards against a key call that fails with its first agent or hangs.
#[test]
fn a_key_call_tries_one_agent_after_another() {
    let mut bench = Bench::new(tree(), 3);
    let mut peers = Vec::new();
    let mut actions = bench.send(Event::KeyRequest { caller: 1, route: "bids".into() });
    while let [Action::KeyRequest { peer, .. }] = actions[..] {
        peers.push(peer);
        actions = bench.send(Event::KeyFailed { caller: 1, peer });
    }
    peers.sort();
    assert_eq!(peers, [address(0), address(1), address(2)]);
    assert!(has!(actions, Action::KeyResponse { caller: 1, response: Err(_) }));
    bench.send(Event::KeyRequest { caller: 2, route: "bids".into() });
    assert!(has!(bench.tick(2000), Action::KeyResponse { caller: 2, response: Err(_) }));
}

/// Guards against long prompts on agents kept for short requests, also after refusals, and
/// against short requests that use those agents alone.
#[test]
fn long_prompts_stay_off_kept_agents() {
    let walk = |prompt_tokens| {
        let mut bench = Bench::new(tree(), 10);
        let mut next = Some(bench.open(IncomingRequest { prompt_tokens, ..call(1) }));
        let mut asked = Vec::new();
        while let Some(to) = next {
            asked.push(to.1);
            next = offered(&bench.refuse(to, NotRun, Reason::NotReady));
        }
        asked
    };
    let (short, long) = (walk(500), walk(501));
    assert_eq!((short.len(), long.len()), (10, 8), "two of ten agents are kept");
    assert!(!long.contains(&short[0]) && long.contains(&short[1]));
}

/// Guards against a third engine lost to copies of a poison request: while one agent of the
/// spread considers a request, the loss of another is no reason to go beyond the spread.
#[test]
fn a_lost_agent_does_not_widen_the_spread_while_another_considers() {
    let mut bench = bench();
    let first = bench.open(call(1));
    let second = offered(&bench.tick(20)).unwrap();
    let actions = bench.send(Event::OfferFailed { request: second.0, peer: second.1 });
    assert_eq!((offered(&actions), refusal(&actions)), (None, None));
    assert!(offered(&bench.refuse(first, NotRun, Reason::NotReady)).is_some(), "none considers");
}
