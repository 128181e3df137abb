//! Offers: admission, order of service, drain, idempotency keys and suspects.

mod support;

use std::collections::BTreeMap;

use agent::{Action, Event, Machine, Progress, Setup};
use bytes::Bytes;
use conf::tree;
use support::{
    Harness, SUSPECT_DELAY, account, dispatches, frames, grants, head, ms, pool, refusals,
    stream_not_found,
};
use wire::{
    frame, host, offer,
    outcome::{Outcome, Reason},
    request, tier,
};

fn tiered(seq: u64, rank: u8) -> request::Head {
    request::Head { tier: tier::Tier(rank), ..head(seq) }
}

fn sized(seq: u64, account: &'static str, prompt_tokens: u32) -> request::Head {
    let account = Bytes::from_static(account.as_bytes());
    request::Head { account, prompt_tokens, ..head(seq) }
}

/// Returns a harness whose backend server is at capacity, so that offers queue.
fn harness_at_capacity() -> Harness {
    let mut harness = Harness::new(tree::Pool { max_running: 1, ..pool() });
    harness.dispatch(head(1));
    harness
}

/// Ends the running request and returns the link of the offer that gets its slot.
fn next_served(harness: &mut Harness, running: &mut wire::id::Grant) -> Option<agent::Link> {
    harness.send_started(*running, "run-1");
    let (link, grant) = *grants(&harness.send_progress(*running, Progress::End)).first()?;
    *running = grant;
    Some(link)
}

/// Guards against offers accepted before the process is ready.
#[test]
fn refuses_before_ready() {
    let host = Bytes::from_static(support::HOST);
    let pool = Bytes::from_static(b"pool");
    let mut machine = Machine::new(Setup { process: support::PROCESS, host, pool, seed: 1 });
    let mut actions = Vec::new();
    let link = agent::Link(1);
    let offer = offer::Offer { head: head(1), settings: 0 };
    machine.handle(wire::time::Instant(1), Event::Offer { link, offer }, &mut actions);
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::NotReady)]);
}

/// Guards against refusing a higher tier while a lower one is queued.
#[test]
fn displaces_newest_of_lowest_tier() {
    let mut harness = harness_at_capacity();
    let links: Vec<_> = [2, 1, 2, 1, 1, 1]
        .into_iter()
        .zip(2..)
        .map(|(rank, seq)| harness.offer(tiered(seq, rank)).0)
        .collect();
    let (_, actions) = harness.offer(tiered(20, 0));
    assert_eq!(refusals(&actions), [(links[2], Outcome::NotRun, Reason::Displaced)]);
    let (_, actions) = harness.offer(tiered(21, 1));
    assert_eq!(refusals(&actions), [(links[0], Outcome::NotRun, Reason::Displaced)]);
    let (link, actions) = harness.offer(tiered(22, 1));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Overload)]);
    assert_eq!(harness.status().queued, BTreeMap::from([(0, 1), (1, 5)]));
}

/// Guards against one account that fills the queue, so that others are refused.
#[test]
fn limits_an_account_when_others_are_queued() {
    let mut harness = harness_at_capacity();
    for seq in 2..8 {
        harness.offer(sized(seq, "large", 50));
    }
    for seq in 10..13 {
        let (_, actions) = harness.offer(sized(seq, "small", 50));
        assert_eq!(refusals(&actions)[0].2, Reason::AccountLimit);
    }
    let (link, actions) = harness.offer(sized(13, "small", 50));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Overload)]);
}

/// Guards against service in arrival order alone, and against shares without effect.
#[test]
fn serves_accounts_by_share() {
    let mut harness = Harness::new(tree::Pool {
        max_running: 1,
        max_queued: 1000,
        max_queued_tokens: 1 << 30,
        ..pool()
    });
    harness.tree.accounts.insert(Bytes::from_static(b"x"), account(3));
    harness.apply_tree();
    let (mut running, _) = harness.dispatch(head(1));
    let mut owners = BTreeMap::new();
    for seq in 2..200 {
        let name = if seq < 101 { "x" } else { "y" };
        let (link, _) = harness.offer(sized(seq, name, 800));
        owners.insert(link, (seq, name));
    }
    let mut served = BTreeMap::new();
    for _ in 0..80 {
        let link = next_served(&mut harness, &mut running).expect("an offer is queued");
        let (seq, name) = owners[&link];
        harness.commit(seq, running);
        *served.entry(name).or_insert(0) += 1;
    }
    assert!((55..=65).contains(&served["x"]), "{served:?}");
}

/// Guards against a long prompt that blocks short ones, and against short ones that pass a higher
/// tier.
#[test]
fn short_passes_long_of_its_tier_only() {
    let mut harness = Harness::new(pool());
    harness.dispatch(sized(1, "a", 2900));
    let (_, actions) = harness.offer(sized(2, "a", 2000));
    assert!(grants(&actions).is_empty());
    let (_, actions) = harness.offer(sized(3, "a", 60));
    assert_eq!(grants(&actions).len(), 1);
    let (_, actions) = harness.offer(tiered(4, 2));
    assert!(grants(&actions).is_empty());
}

/// Guards against prefill of a prompt whose response would come too late.
#[test]
fn refuses_a_deadline_that_cannot_be_met() {
    let mut harness = harness_at_capacity();
    let late = |seq, remaining| request::Head {
        remaining: ms(remaining),
        prompt_tokens: 1000,
        ..head(seq)
    };
    let (link, actions) = harness.offer(late(2, 99));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Deadline)]);
    let (link, actions) = harness.offer(late(3, 150));
    assert!(refusals(&actions).is_empty());
    assert!(harness.advance(ms(50)).is_empty());
    assert_eq!(refusals(&harness.advance(ms(1))), [(link, Outcome::NotRun, Reason::Deadline)]);
}

/// Guards against new requests after a drain order, against a drain that revokes grants, and
/// against a drain that can't be ended.
#[test]
fn drain_returns_queue_and_keeps_grants() {
    let mut harness = Harness::new(tree::Pool { max_running: 2, short_share_percent: 0, ..pool() });
    let first = harness.grant(head(1));
    harness.grant(head(2));
    let (queued, _) = harness.offer(head(3));
    harness
        .tree
        .drains
        .insert(Bytes::from_static(support::HOST), tree::Drain { reason: Bytes::new() });
    let actions = harness.apply_tree();
    assert_eq!(refusals(&actions), [(queued, Outcome::NotRun, Reason::Leaving)]);
    assert_eq!(dispatches(&harness.commit(1, first).1), 1);
    harness.advance(ms(300));
    assert_eq!(refusals(&harness.offer(head(4)).1)[0].2, Reason::Leaving);
    harness.tree.drains.clear();
    harness.apply_tree();
    harness.grant(head(5));
    let record = host::Record {
        host: Bytes::from_static(support::HOST),
        role: host::Role::Agent,
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: Bytes::new(),
        pool: Bytes::from_static(b"pool"),
        speed: 100,
        state: host::State::Leaving,
    };
    harness.send(Event::Hosts(vec![record]));
    assert_eq!(refusals(&harness.offer(head(6)).1)[0].2, Reason::Leaving);
}

/// Guards against a stop that cuts streams, and against one that never completes.
#[test]
fn stop_finishes_running_streams() {
    let mut harness = harness_at_capacity();
    let (queued, _) = harness.offer(head(2));
    let grant = wire::id::Grant { process: support::PROCESS, seq: 1 };
    let actions = harness.send(Event::Stop);
    assert_eq!(refusals(&actions), [(queued, Outcome::NotRun, Reason::Leaving)]);
    harness.send_started(grant, "run-1");
    let actions = harness.send_progress(grant, Progress::End);
    assert!(matches!(actions.last(), Some(Action::Stopped)));
    assert!(!harness.advance(ms(9000)).iter().any(|action| matches!(action, Action::Stopped)));
}

/// Guards against an order that is repeated or follows a newer one.
#[test]
fn gives_each_order_once() {
    let mut harness = Harness::new(pool());
    let mut given = Vec::new();
    for fence in [5, 5, 4, 6] {
        let action = Bytes::from_static(b"load_model");
        let order = tree::Order { action, argument: Bytes::new(), fence };
        harness.tree.orders.insert(Bytes::from_static(support::HOST), order);
        for action in harness.apply_tree() {
            if let Action::Order { order } = action {
                given.push(order.fence);
            }
        }
    }
    assert_eq!(given, [5, 6]);
}

/// Guards against a second run of a request with a key, and against a retry that gets a different
/// response.
#[test]
fn keyed_retry_shares_the_run() {
    let mut harness = Harness::new(pool());
    let key = harness.issue_key();
    let keyed = |seq| request::Head { key: Some(key.clone()), fingerprint: 9, ..head(seq) };
    let grant = harness.grant(keyed(1));
    let (waiting, actions) = harness.offer(keyed(2));
    assert!(actions.is_empty());
    let (_, actions) = harness.commit(1, grant);
    assert_eq!(grants(&actions), [(waiting, grant)]);
    let (link, actions) = harness.commit(2, grant);
    assert_eq!(dispatches(&actions), 0);
    harness.send_started(grant, "run-1");
    harness.send_data(grant, "answer");
    let actions = harness.send_progress(grant, Progress::End);
    assert!(matches!(frames(&actions, link)[..], [frame::Body::End { length: 6, .. }]));
    assert_eq!(harness.grant(keyed(3)), grant);
    let (link, actions) = harness.commit(3, grant);
    assert_eq!(frames(&actions, link).len(), 3);
    let (link, actions) = harness.offer(request::Head { fingerprint: 10, ..keyed(4) });
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::BadKey)]);
    harness.advance(ms(3001));
    let (link, actions) = harness.offer(keyed(5));
    assert_eq!(refusals(&actions), [(link, Outcome::Unknown, Reason::KeyExpired)]);
}

/// Guards against a refusal as `not_run` of an offer whose key may have been used for a run.
#[test]
fn key_refusal_is_not_run_only_if_nothing_ran() {
    let mut harness = Harness::new(pool());
    let key = harness.issue_key();
    let with = |seq, key: &wire::key::Key| request::Head { key: Some(key.clone()), ..head(seq) };
    let other = wire::key::Key { process: wire::id::Process(8), ..key.clone() };
    assert_eq!(refusals(&harness.offer(with(1, &other)).1)[0].1, Outcome::Unknown);
    let forged = wire::key::Key { seq: 99, ..key.clone() };
    let (link, actions) = harness.offer(with(2, &forged));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::BadKey)]);
    let grant = harness.grant(with(3, &key));
    harness.commit(3, grant);
    let actions = harness.send_progress(grant, Progress::Unreachable);
    assert_eq!(refusals(&actions)[0].1, Outcome::NotRun);
    harness.probe("run-1");
    let second = harness.grant(with(4, &key));
    assert_ne!(second, grant);
    harness.advance(ms(6000));
    assert_eq!(refusals(&harness.offer(with(5, &key)).1)[0].2, Reason::KeyExpired);
}

/// Guards against an offer that waits forever for a key whose grant has expired.
#[test]
fn waiter_uses_a_released_key() {
    let mut harness = Harness::new(pool());
    let key = harness.issue_key();
    let keyed = |seq| request::Head { key: Some(key.clone()), fingerprint: 9, ..head(seq) };
    let first = harness.grant(keyed(1));
    let (waiting, _) = harness.offer(keyed(2));
    let ready = grants(&harness.advance(ms(200)));
    assert_eq!(ready.len(), 1);
    assert_eq!(ready[0].0, waiting);
    assert_eq!(refusals(&harness.commit(1, first).1)[0].1, Outcome::NotRun);
    assert_eq!(dispatches(&harness.commit(2, ready[0].1).1), 1);
}

/// Guards against grants while the backend server does not respond to probes.
#[test]
fn pauses_while_probes_are_unanswered() {
    let mut harness = Harness::new(pool());
    for _ in 0..3 {
        harness.send(Event::Probe { instance: None });
    }
    assert!(grants(&harness.offer(head(1)).1).is_empty());
    assert_eq!(grants(&harness.probe("run-1")).len(), 1);
}

/// Guards against repeated crashes by one request, and against requests that stay suspects after
/// they ran alone without a crash.
#[test]
fn poison_request_runs_alone_then_is_quarantined() {
    let mut harness = Harness::new(pool());
    let poison = |seq| request::Head { fingerprint: 666, ..head(seq) };
    let (poison_grant, _) = harness.dispatch(poison(1));
    let (other_grant, _) = harness.dispatch(head(2));
    harness.send_progress(poison_grant, Progress::ConnectionLost);
    harness.send_progress(other_grant, Progress::ConnectionLost);
    harness.probe("run-2");
    for grant in [poison_grant, other_grant] {
        let actions = harness.send_progress(grant, stream_not_found("run-2"));
        assert_eq!(refusals(&actions)[0].1, Outcome::Unknown);
    }
    // The other agent of the spread may still run it, so it is refused here for some time.
    let (link, actions) = harness.offer(poison(3));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Suspect)]);
    harness.advance(ms(10_000));
    harness.probe("run-2");
    let alone = harness.grant_suspect(head(2));
    assert_eq!(dispatches(&harness.commit(2, alone).1), 1);
    assert!(grants(&harness.offer(poison(3)).1).is_empty());
    assert!(grants(&harness.offer(head(4)).1).is_empty());
    harness.advance(ms(100));
    harness.send_started(alone, "run-2");
    let actions = harness.send_progress(alone, Progress::End);
    assert!(actions.iter().any(|a| matches!(a, Action::Suspects(list) if list[0].cleared)));
    let grant = grants(&actions)[0].1;
    harness.commit(4, grant);
    harness.send_started(grant, "run-2");
    let grant = grants(&harness.send_progress(grant, Progress::End))[0].1;
    assert_eq!(dispatches(&harness.commit(3, grant).1), 1);
    harness.probe("run-3");
    let (link, actions) = harness.offer(poison(5));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Poison)]);
}

/// Guards against copies of one poison request that run together and crash the backend server
/// before the request is a suspect.
#[test]
fn requests_with_the_same_fingerprint_run_one_at_a_time() {
    let mut harness = Harness::new(pool());
    let copy = |seq| request::Head { fingerprint: 666, ..head(seq) };
    let (grant, _) = harness.dispatch(copy(1));
    let (second, actions) = harness.offer(copy(2));
    assert!(grants(&actions).is_empty());
    let (third, _) = harness.offer(copy(3));
    harness.grant(head(4));
    harness.send_started(grant, "run-1");
    assert_eq!(grants(&harness.send_progress(grant, Progress::End))[0].0, second);
    assert_eq!(grants(&harness.advance(ms(200)))[0].0, third);
}

/// Guards against a suspect that runs among others since its slot was reserved before it became
/// one.
#[test]
fn suspect_is_refused_at_commit() {
    let mut harness = Harness::new(pool());
    let grant = harness.grant(head(1));
    let suspect = |crash| wire::sync::Suspect { fingerprint: 1001, crash, cleared: false };
    harness.send(Event::Suspects(vec![suspect(1)]));
    let (link, actions) = harness.commit(1, grant);
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Suspect)]);
    let grant = harness.grant_suspect(head(1));
    assert_eq!(dispatches(&harness.commit(1, grant).1), 1);
    harness.send(Event::Suspects(vec![suspect(2)]));
    let (link, actions) = harness.offer(head(1));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Poison)]);
    harness.send_started(grant, "run-1");
    harness.send_progress(grant, Progress::End);
    harness.grant(head(1));
}

/// Guards against a copy of a poison request that runs at once after the crash under the copy
/// before, of which the report is still on its way.
#[test]
fn a_suspect_waits_for_a_report_that_is_on_its_way() {
    let mut harness = Harness::new(pool());
    let suspect = |crash| wire::sync::Suspect { fingerprint: 1001, crash, cleared: false };
    harness.send(Event::Suspects(vec![suspect(1)]));
    let (link, actions) = harness.offer(head(1));
    assert!(grants(&actions).is_empty());
    assert!(grants(&harness.advance(SUSPECT_DELAY - ms(1))).is_empty());
    let actions = harness.send(Event::Suspects(vec![suspect(2)]));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Poison)]);
}

/// Guards against a queued request that becomes a suspect and still runs among others.
#[test]
fn queued_suspect_waits_for_an_exclusive_run() {
    let mut harness = Harness::new(tree::Pool { max_running: 2, short_share_percent: 0, ..pool() });
    let (first, _) = harness.dispatch(head(1));
    let (second, _) = harness.dispatch(head(2));
    let (queued, _) = harness.offer(head(3));
    let suspect = wire::sync::Suspect { fingerprint: 1003, crash: 1, cleared: false };
    harness.send(Event::Suspects(vec![suspect]));
    harness.advance(SUSPECT_DELAY);
    harness.send_started(first, "run-1");
    assert!(grants(&harness.send_progress(first, Progress::End)).is_empty());
    harness.send_started(second, "run-1");
    assert_eq!(grants(&harness.send_progress(second, Progress::End))[0].0, queued);
}

/// Guards against a request that stays a suspect although it was dispatched to the new instance,
/// before the crash of the previous one was detected.
#[test]
fn crash_of_an_earlier_instance_is_retracted() {
    let mut harness = Harness::new(pool());
    let (grant, _) = harness.dispatch(head(1));
    let counted = harness.probe("run-2");
    assert!(matches!(&counted[..], [Action::Suspects(list)] if !list[0].cleared));
    harness.send_started(grant, "run-2");
    assert!(harness.status().quarantined.is_empty());
}

/// Guards against a suspect that waits forever behind other requests, and against others that are
/// delayed by it without bound.
#[test]
fn exclusive_run_withholds_other_grants_for_a_bounded_time() {
    let mut harness = Harness::new(pool());
    let (running, _) = harness.dispatch(head(1));
    let suspect = wire::sync::Suspect { fingerprint: 666, crash: 1, cleared: false };
    harness.send(Event::Suspects(vec![suspect]));
    let (alone, _) = harness.offer(request::Head { fingerprint: 666, ..head(2) });
    harness.advance(SUSPECT_DELAY);
    let (ordinary, actions) = harness.offer(head(3));
    assert!(grants(&actions).is_empty());
    assert_eq!(grants(&harness.advance(ms(500)))[0].0, ordinary);
    harness.advance(ms(300));
    harness.grant(head(4));
    harness.send_started(running, "run-1");
    for _ in 0..3 {
        harness.advance(ms(600));
        harness.send_data(running, "part");
    }
    assert!(grants(&harness.offer(head(5)).1).is_empty());
    assert_eq!(grants(&harness.send_progress(running, Progress::End))[0].0, alone);
}

/// Guards against short requests that wait in the engine, where no other agent can serve them,
/// behind prefill that takes longer than the limit.
#[test]
fn waits_at_the_agent_while_the_engine_has_prefill_ahead() {
    let mut harness = Harness::new(pool());
    let (grant, _) = harness.dispatch(sized(1, "a", 1500));
    let (link, actions) = harness.offer(sized(2, "a", 60));
    assert!(grants(&actions).is_empty());
    assert_eq!(
        grants(&harness.send_started(grant, "run-1")).first().map(|ready| ready.0),
        Some(link)
    );
}

/// Guards against prefill of a prompt whose output can't end before the deadline.
#[test]
fn refuses_output_that_takes_too_long() {
    let mut harness = Harness::new(pool());
    let (grant, _) = harness.dispatch(request::Head { output_tokens: 1, ..head(1) });
    harness.send_started(grant, "run-1");
    harness.advance(ms(400));
    harness.send_progress(grant, Progress::End);
    let (remaining, output_tokens) = (ms(500), 1000);
    let (link, actions) = harness.offer(request::Head { remaining, output_tokens, ..head(2) });
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Deadline)]);
}

/// Guards against requests that start despite a drain order: after a pause of the process, a commit
/// and an offer are handled before the settings with the order.
#[test]
fn no_request_starts_after_a_pause_until_settings_are_compared() {
    let mut harness = Harness::new(pool());
    let grant = harness.grant(head(1));
    harness.now = harness.now + ms(450);
    let (link, actions) = harness.commit(1, grant);
    assert!(actions.iter().any(|action| matches!(action, Action::Refresh)));
    assert_eq!(refusals(&actions)[0].0, link);
    let (_, actions) = harness.offer(head(2));
    assert!(grants(&actions).is_empty() && refusals(&actions).is_empty(), "the offer is queued");
    assert_eq!(grants(&harness.send(Event::Refreshed)).len(), 1);
    // The loss of all other processes must not stop service.
    harness.now = harness.now + ms(450);
    assert!(grants(&harness.offer(head(3)).1).is_empty());
    assert_eq!(grants(&harness.advance(ms(1_200))).len(), 1);
}

/// Guards against copies of a poison request that crash a third backend server: beyond its spread
/// an agent does not run a suspect, not even alone.
#[test]
fn a_suspect_does_not_run_beyond_its_spread() {
    let mut harness = Harness::new(pool());
    let suspect = wire::sync::Suspect { fingerprint: 1001, crash: 1, cleared: false };
    harness.send(Event::Suspects(vec![suspect]));
    let copy = request::Head { fingerprint: 1001, beyond_spread: true, ..head(1) };
    let (link, actions) = harness.offer(copy.clone());
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Suspect)]);
    let within = request::Head { beyond_spread: false, ..copy };
    harness.grant_suspect(within);
}

/// Guards against an overflow for a budget that no request can use up.
#[test]
fn an_unlimited_token_budget_admits_requests() {
    let mut harness =
        Harness::new(tree::Pool { max_prompt_tokens: u64::MAX, short_share_percent: 50, ..pool() });
    harness.dispatch(head(1));
}
