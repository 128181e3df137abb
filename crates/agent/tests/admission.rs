//! Rules for offers: admission, order of service, drain, keys.

mod support;

use std::collections::BTreeMap;

use agent::{Action, Event, Machine, Progress, Setup};
use bytes::Bytes;
use conf::tree;
use support::{Rig, account, dispatches, frames, head, ms, no_stream, pool, readies, refusals};
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

/// Returns a rig whose engine is full, so that offers queue.
fn busy() -> Rig {
    let mut rig = Rig::new(tree::Pool { max_running: 1, ..pool() });
    rig.run(head(1));
    rig
}

/// Ends the running request and returns which offer is ready next.
fn next_served(rig: &mut Rig, running: &mut wire::id::Grant) -> Option<agent::Link> {
    rig.started(*running, "run-1");
    let (link, grant) = *readies(&rig.backend(*running, Progress::End)).first()?;
    *running = grant;
    Some(link)
}

/// Guards against work that is taken before the process is ready.
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

/// Guards against shedding a higher tier while a lower one is queued.
#[test]
fn displaces_newest_of_lowest_tier() {
    let mut rig = busy();
    let links: Vec<_> = [2, 1, 2, 1, 1, 1]
        .into_iter()
        .zip(2..)
        .map(|(rank, seq)| rig.offer(tiered(seq, rank)).0)
        .collect();
    let (_, actions) = rig.offer(tiered(20, 0));
    assert_eq!(refusals(&actions), [(links[2], Outcome::NotRun, Reason::Displaced)]);
    let (_, actions) = rig.offer(tiered(21, 1));
    assert_eq!(refusals(&actions), [(links[0], Outcome::NotRun, Reason::Displaced)]);
    let (link, actions) = rig.offer(tiered(22, 1));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Overload)]);
    assert_eq!(rig.status().queued, BTreeMap::from([(0, 1), (1, 5)]));
}

/// Guards against one account that fills the queue and locks the others out.
#[test]
fn bounds_account_when_others_wait() {
    let mut rig = busy();
    for seq in 2..8 {
        rig.offer(sized(seq, "large", 50));
    }
    for seq in 10..13 {
        let (_, actions) = rig.offer(sized(seq, "small", 50));
        assert_eq!(refusals(&actions)[0].2, Reason::AccountLimit);
    }
    let (link, actions) = rig.offer(sized(13, "small", 50));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Overload)]);
}

/// Guards against service by arrival order alone, and against shares that are ignored.
#[test]
fn serves_accounts_by_share() {
    let mut rig = Rig::new(tree::Pool {
        max_running: 1,
        max_queued: 1000,
        max_queued_tokens: 1 << 30,
        ..pool()
    });
    rig.tree.accounts.insert(Bytes::from_static(b"x"), account(3));
    rig.apply_tree();
    let (mut running, _) = rig.run(head(1));
    let mut owners = BTreeMap::new();
    for seq in 2..200 {
        let name = if seq < 101 { "x" } else { "y" };
        let (link, _) = rig.offer(sized(seq, name, 800));
        owners.insert(link, (seq, name));
    }
    let mut served = BTreeMap::new();
    for _ in 0..80 {
        let link = next_served(&mut rig, &mut running).expect("work is queued");
        let (seq, name) = owners[&link];
        rig.commit(seq, running);
        *served.entry(name).or_insert(0) += 1;
    }
    assert!((55..=65).contains(&served["x"]), "{served:?}");
}

/// Guards against a long prompt that blocks short ones, and against short ones that pass a
/// higher tier.
#[test]
fn short_passes_long_of_its_tier_only() {
    let mut rig = Rig::new(pool());
    rig.run(sized(1, "a", 2900));
    let (_, actions) = rig.offer(sized(2, "a", 2000));
    assert!(readies(&actions).is_empty());
    let (_, actions) = rig.offer(sized(3, "a", 60));
    assert_eq!(readies(&actions).len(), 1);
    let (_, actions) = rig.offer(tiered(4, 2));
    assert!(readies(&actions).is_empty());
}

/// Guards against prefill of a prompt whose answer would come too late.
#[test]
fn drops_infeasible_deadline() {
    let mut rig = busy();
    let late = |seq, remaining| request::Head {
        remaining: ms(remaining),
        prompt_tokens: 1000,
        ..head(seq)
    };
    let (link, actions) = rig.offer(late(2, 99));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Deadline)]);
    let (link, actions) = rig.offer(late(3, 150));
    assert!(refusals(&actions).is_empty());
    assert!(rig.wait(ms(50)).is_empty());
    assert_eq!(refusals(&rig.wait(ms(1))), [(link, Outcome::NotRun, Reason::Deadline)]);
}

/// Guards against new work after a drain order, a lost grant at the drain, and a drain that
/// can't be lifted.
#[test]
fn drain_returns_queue_and_keeps_grants() {
    let mut rig = Rig::new(tree::Pool { max_running: 2, short_share_percent: 0, ..pool() });
    let first = rig.ready(head(1));
    rig.ready(head(2));
    let (queued, _) = rig.offer(head(3));
    rig.tree.drains.insert(Bytes::from_static(support::HOST), tree::Drain { reason: Bytes::new() });
    let actions = rig.apply_tree();
    assert_eq!(refusals(&actions), [(queued, Outcome::NotRun, Reason::Leaving)]);
    assert_eq!(dispatches(&rig.commit(1, first).1), 1);
    rig.wait(ms(300));
    assert_eq!(refusals(&rig.offer(head(4)).1)[0].2, Reason::Leaving);
    rig.tree.drains.clear();
    rig.apply_tree();
    rig.ready(head(5));
    let record = host::Record {
        host: Bytes::from_static(support::HOST),
        role: host::Role::Agent,
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: Bytes::new(),
        pool: Bytes::from_static(b"pool"),
        speed: 100,
        state: host::State::Leaving,
    };
    rig.send(Event::Hosts(vec![record]));
    assert_eq!(refusals(&rig.offer(head(6)).1)[0].2, Reason::Leaving);
}

/// Guards against a stop that cuts streams, or that never ends.
#[test]
fn stop_finishes_running_streams() {
    let mut rig = busy();
    let (queued, _) = rig.offer(head(2));
    let grant = wire::id::Grant { process: support::PROCESS, seq: 1 };
    let actions = rig.send(Event::Stop);
    assert_eq!(refusals(&actions), [(queued, Outcome::NotRun, Reason::Leaving)]);
    rig.started(grant, "run-1");
    let actions = rig.backend(grant, Progress::End);
    assert!(matches!(actions.last(), Some(Action::Stopped)));
    assert!(!rig.wait(ms(9000)).iter().any(|action| matches!(action, Action::Stopped)));
}

/// Guards against an order that is repeated or follows a newer one.
#[test]
fn gives_each_order_once() {
    let mut rig = Rig::new(pool());
    let mut given = Vec::new();
    for fence in [5, 5, 4, 6] {
        let action = Bytes::from_static(b"load_model");
        let order = tree::Order { action, argument: Bytes::new(), fence };
        rig.tree.orders.insert(Bytes::from_static(support::HOST), order);
        for action in rig.apply_tree() {
            if let Action::Order { order } = action {
                given.push(order.fence);
            }
        }
    }
    assert_eq!(given, [5, 6]);
}

/// Guards against a second run of a keyed call, and against a retry that gets another answer.
#[test]
fn keyed_retry_shares_the_run() {
    let mut rig = Rig::new(pool());
    let key = rig.key();
    let keyed = |seq| request::Head { key: Some(key.clone()), fingerprint: 9, ..head(seq) };
    let grant = rig.ready(keyed(1));
    let (waiting, actions) = rig.offer(keyed(2));
    assert!(actions.is_empty());
    let (_, actions) = rig.commit(1, grant);
    assert_eq!(readies(&actions), [(waiting, grant)]);
    let (link, actions) = rig.commit(2, grant);
    assert_eq!(dispatches(&actions), 0);
    rig.started(grant, "run-1");
    rig.data(grant, "answer");
    let actions = rig.backend(grant, Progress::End);
    assert!(matches!(frames(&actions, link)[..], [frame::Body::End { length: 6, .. }]));
    assert_eq!(rig.ready(keyed(3)), grant);
    let (link, actions) = rig.commit(3, grant);
    assert_eq!(frames(&actions, link).len(), 3);
    let (link, actions) = rig.offer(request::Head { fingerprint: 10, ..keyed(4) });
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::BadKey)]);
    rig.wait(ms(3001));
    let (link, actions) = rig.offer(keyed(5));
    assert_eq!(refusals(&actions), [(link, Outcome::Unknown, Reason::KeyExpired)]);
}

/// Guards against a false refusal of a key: only one that proves that nothing ran is `not_run`.
#[test]
fn key_refusals_are_true() {
    let mut rig = Rig::new(pool());
    let key = rig.key();
    let with = |seq, key: &wire::key::Key| request::Head { key: Some(key.clone()), ..head(seq) };
    let other = wire::key::Key { process: wire::id::Process(8), ..key.clone() };
    assert_eq!(refusals(&rig.offer(with(1, &other)).1)[0].1, Outcome::Unknown);
    let forged = wire::key::Key { seq: 99, ..key.clone() };
    let (link, actions) = rig.offer(with(2, &forged));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::BadKey)]);
    let grant = rig.ready(with(3, &key));
    rig.commit(3, grant);
    let actions = rig.backend(grant, Progress::Unreachable);
    assert_eq!(refusals(&actions)[0].1, Outcome::NotRun);
    rig.probe("run-1");
    let second = rig.ready(with(4, &key));
    assert_ne!(second, grant);
    rig.wait(ms(6000));
    assert_eq!(refusals(&rig.offer(with(5, &key)).1)[0].2, Reason::KeyExpired);
}

/// Guards against an offer that waits for a key whose holder is gone.
#[test]
fn waiter_takes_over_a_free_key() {
    let mut rig = Rig::new(pool());
    let key = rig.key();
    let keyed = |seq| request::Head { key: Some(key.clone()), fingerprint: 9, ..head(seq) };
    let first = rig.ready(keyed(1));
    let (waiting, _) = rig.offer(keyed(2));
    let ready = readies(&rig.wait(ms(200)));
    assert_eq!(ready.len(), 1);
    assert_eq!(ready[0].0, waiting);
    assert_eq!(refusals(&rig.commit(1, first).1)[0].1, Outcome::NotRun);
    assert_eq!(dispatches(&rig.commit(2, ready[0].1).1), 1);
}

/// Guards against work for a backend server that does not answer.
#[test]
fn pauses_while_probes_are_unanswered() {
    let mut rig = Rig::new(pool());
    for _ in 0..3 {
        rig.send(Event::Probe { instance: None });
    }
    assert!(readies(&rig.offer(head(1)).1).is_empty());
    assert_eq!(readies(&rig.probe("run-1")).len(), 1);
}

/// Guards against a crash by one request that is dispatched again and again, and against
/// innocent requests that stay under suspicion.
#[test]
fn poison_is_isolated_then_quarantined() {
    let mut rig = Rig::new(pool());
    let poison = |seq| request::Head { fingerprint: 666, ..head(seq) };
    let (bad, _) = rig.run(poison(1));
    let (innocent, _) = rig.run(head(2));
    rig.backend(bad, Progress::ConnectionLost);
    rig.backend(innocent, Progress::ConnectionLost);
    rig.probe("run-2");
    for grant in [bad, innocent] {
        let actions = rig.backend(grant, no_stream("run-2"));
        assert_eq!(refusals(&actions)[0].1, Outcome::Unknown);
    }
    // The other agent of the spread may still run it, so this one does not yet.
    let (link, actions) = rig.offer(poison(3));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Suspect)]);
    rig.wait(ms(10_000));
    rig.probe("run-2");
    let (alone, _) = rig.run(head(2));
    assert!(readies(&rig.offer(poison(3)).1).is_empty());
    assert!(readies(&rig.offer(head(4)).1).is_empty());
    rig.wait(ms(100));
    rig.started(alone, "run-2");
    let actions = rig.backend(alone, Progress::End);
    assert!(actions.iter().any(|a| matches!(a, Action::Suspects(list) if list[0].cleared)));
    let grant = readies(&actions)[0].1;
    rig.commit(4, grant);
    rig.started(grant, "run-2");
    let grant = readies(&rig.backend(grant, Progress::End))[0].1;
    assert_eq!(dispatches(&rig.commit(3, grant).1), 1);
    rig.probe("run-3");
    let (link, actions) = rig.offer(poison(5));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Poison)]);
}

/// Guards against copies of one poison request that crash the engine before it is known.
#[test]
fn equal_requests_run_one_after_the_other() {
    let mut rig = Rig::new(pool());
    let copy = |seq| request::Head { fingerprint: 666, ..head(seq) };
    let (grant, _) = rig.run(copy(1));
    let (second, actions) = rig.offer(copy(2));
    assert!(readies(&actions).is_empty());
    let (third, _) = rig.offer(copy(3));
    rig.ready(head(4));
    rig.started(grant, "run-1");
    assert_eq!(readies(&rig.backend(grant, Progress::End))[0].0, second);
    assert_eq!(readies(&rig.wait(ms(200)))[0].0, third);
}

/// Guards against a suspect that runs among others since its slot was reserved before.
#[test]
fn suspect_is_given_up_at_commit() {
    let mut rig = Rig::new(pool());
    let grant = rig.ready(head(1));
    let suspect = |crash| wire::sync::Suspect { fingerprint: 1001, crash, cleared: false };
    rig.send(Event::Suspects(vec![suspect(1)]));
    let (link, actions) = rig.commit(1, grant);
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Suspect)]);
    let grant = rig.ready(head(1));
    assert_eq!(dispatches(&rig.commit(1, grant).1), 1);
    rig.send(Event::Suspects(vec![suspect(2)]));
    let (link, actions) = rig.offer(head(1));
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Poison)]);
    rig.started(grant, "run-1");
    rig.backend(grant, Progress::End);
    rig.ready(head(1));
}

/// Guards against a queued request that becomes a suspect and still runs among others.
#[test]
fn queued_suspect_waits_for_an_isolated_run() {
    let mut rig = Rig::new(tree::Pool { max_running: 2, short_share_percent: 0, ..pool() });
    let (first, _) = rig.run(head(1));
    let (second, _) = rig.run(head(2));
    let (queued, _) = rig.offer(head(3));
    let suspect = wire::sync::Suspect { fingerprint: 1003, crash: 1, cleared: false };
    rig.send(Event::Suspects(vec![suspect]));
    rig.started(first, "run-1");
    assert!(readies(&rig.backend(first, Progress::End)).is_empty());
    rig.started(second, "run-1");
    assert_eq!(readies(&rig.backend(second, Progress::End))[0].0, queued);
}

/// Guards against suspicion of a request that was sent to the new run before the crash of the
/// old one was noticed.
#[test]
fn crash_of_an_earlier_run_is_taken_back() {
    let mut rig = Rig::new(pool());
    let (grant, _) = rig.run(head(1));
    let counted = rig.probe("run-2");
    assert!(matches!(&counted[..], [Action::Suspects(list)] if !list[0].cleared));
    rig.started(grant, "run-2");
    assert!(rig.status().quarantined.is_empty());
}

/// Guards against a suspect that waits for ever beside ordinary work, and against ordinary work
/// that is held up for it without bound.
#[test]
fn isolated_run_gets_a_bounded_hold() {
    let mut rig = Rig::new(pool());
    let (running, _) = rig.run(head(1));
    let suspect = wire::sync::Suspect { fingerprint: 666, crash: 1, cleared: false };
    rig.send(Event::Suspects(vec![suspect]));
    let (alone, _) = rig.offer(request::Head { fingerprint: 666, ..head(2) });
    let (ordinary, actions) = rig.offer(head(3));
    assert!(readies(&actions).is_empty());
    assert_eq!(readies(&rig.wait(ms(500)))[0].0, ordinary);
    rig.wait(ms(300));
    rig.ready(head(4));
    rig.started(running, "run-1");
    for _ in 0..3 {
        rig.wait(ms(600));
        rig.data(running, "part");
    }
    assert!(readies(&rig.offer(head(5)).1).is_empty());
    assert_eq!(readies(&rig.backend(running, Progress::End))[0].0, alone);
}

/// Guards against short requests that wait inside the engine, where no other agent can serve
/// them, behind prompts that take longer than the bound.
#[test]
fn waits_at_the_agent_while_the_engine_has_prefill_ahead() {
    let mut rig = Rig::new(pool());
    let (grant, _) = rig.run(sized(1, "a", 1500));
    let (link, actions) = rig.offer(sized(2, "a", 60));
    assert!(readies(&actions).is_empty());
    assert_eq!(readies(&rig.started(grant, "run-1")).first().map(|ready| ready.0), Some(link));
}

/// Guards against prefill of a prompt whose output can't end before the deadline.
#[test]
fn refuses_output_that_takes_too_long() {
    let mut rig = Rig::new(pool());
    let (grant, _) = rig.run(request::Head { output_tokens: 1, ..head(1) });
    rig.started(grant, "run-1");
    rig.wait(ms(400));
    rig.backend(grant, Progress::End);
    let (remaining, output_tokens) = (ms(500), 1000);
    let (link, actions) = rig.offer(request::Head { remaining, output_tokens, ..head(2) });
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Deadline)]);
}

/// Guards against work that a drain order forbids: after a pause, a commitment and an offer are
/// handled before the settings that waited behind them.
#[test]
fn no_work_starts_after_a_pause_until_settings_are_compared() {
    let mut rig = Rig::new(pool());
    let grant = rig.ready(head(1));
    rig.now = rig.now + ms(450);
    let (link, actions) = rig.commit(1, grant);
    assert!(actions.iter().any(|action| matches!(action, Action::Refresh)));
    assert_eq!(refusals(&actions)[0].0, link);
    let (_, actions) = rig.offer(head(2));
    assert!(readies(&actions).is_empty() && refusals(&actions).is_empty(), "it waits");
    assert_eq!(readies(&rig.send(Event::Refreshed)).len(), 1);
    // The loss of all other processes must not stop service.
    rig.now = rig.now + ms(450);
    assert!(readies(&rig.offer(head(3)).1).is_empty());
    assert_eq!(readies(&rig.wait(ms(1_200))).len(), 1);
}

/// Guards against a third engine lost to copies of a poison request: beyond its spread an agent
/// runs no suspect, not even alone.
#[test]
fn a_suspect_does_not_run_beyond_its_spread() {
    let mut rig = Rig::new(pool());
    let suspect = wire::sync::Suspect { fingerprint: 1001, crash: 1, cleared: false };
    rig.send(Event::Suspects(vec![suspect]));
    let copy = request::Head { fingerprint: 1001, beyond_spread: true, ..head(1) };
    let (link, actions) = rig.offer(copy.clone());
    assert_eq!(refusals(&actions), [(link, Outcome::NotRun, Reason::Suspect)]);
    let within = request::Head { beyond_spread: false, ..copy };
    assert_eq!(readies(&rig.offer(within).1).len(), 1);
}
