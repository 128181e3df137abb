//! Many requests under faults in combination, with the same invariants for each.

mod world;

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use futures_util::future;
use stand::proxy;
use world::{Reply, World, chat_body, expected};

/// Requests of one schedule.
const REQUESTS: usize = 240;
/// Answers between two faults.
const PERIOD: usize = 12;

/// Sends requests one after another through one entry.
async fn caller(
    calls: Vec<(Bytes, impl Future<Output = Reply>)>,
    answered: Rc<Cell<usize>>,
) -> Vec<(Bytes, Reply)> {
    let mut replies = Vec::new();
    for (body, call) in calls {
        replies.push((body, call.await));
        answered.set(answered.get() + 1);
    }
    replies
}

/// Applies one fault and lifts the one before it.
fn disturb(world: &mut World, rng: &mut fastrand::Rng) {
    let none = proxy::Faults::default;
    for proxy in world.peer_proxies.iter().chain(&world.backend_proxies) {
        proxy.set(none());
    }
    for daemon in world.agents.iter().chain(&world.entries) {
        daemon.signal("CONT");
    }
    let at = rng.usize(..world.agents.len());
    match rng.u32(..9) {
        0 => world.peer_proxies[at].cut(),
        1 => world.backend_proxies[at].cut(),
        2 => world.peer_proxies[at].set(proxy::Faults { freeze: true, ..none() }),
        3 => world.backend_proxies[at].set(proxy::Faults { refuse: true, ..none() }),
        4 => world.peer_proxies[at].set(proxy::Faults { delay_ms: 30, ..none() }),
        5 => world.agents[at].signal("STOP"),
        6 => world.entries[rng.usize(..world.entries.len())].signal("STOP"),
        7 => world.engines[at].crash(),
        _ => world.replace_agent(at),
    }
}

/// Checks one reply.
fn check(world: &World, body: &Bytes, reply: &Reply) {
    let runs = world.runs(body);
    assert!(runs.len() <= 1, "ran twice: {reply:?} {runs:?}");
    let streamed_error = String::from_utf8_lossy(&reply.body).contains("event: error");
    if reply.is_whole() {
        assert_eq!(reply.body, expected(body), "not its own answer");
        assert_eq!(runs.len(), 1);
    } else if reply.status == 200 {
        assert!(reply.broken.is_some() && streamed_error, "cut without a word: {reply:?}");
        assert_eq!(runs.len(), 1);
    } else {
        let outcome = reply.error()["outcome"].clone();
        assert_eq!(reply.outcome.as_deref(), outcome.as_str());
        assert!(outcome != "not_run" || runs.is_empty(), "untrue: {reply:?} {runs:?}");
        assert!(outcome != "incomplete" || runs.len() == 1, "untrue: {reply:?} {runs:?}");
    }
}

async fn schedule(world: &mut World, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let answered = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    for n in 0..12 {
        let calls: Vec<_> = (0..REQUESTS / 12)
            .map(|m| {
                let tokens = rng.u32(1..60);
                let body = chat_body(&format!("{seed} {n} {m}"), tokens, rng.bool());
                (body.clone(), world.complete(n % world.entries.len(), body))
            })
            .collect();
        tasks.push(compio::runtime::spawn(caller(calls, answered.clone())));
    }
    let mut next = PERIOD;
    while next < REQUESTS {
        // With every caller held up by a fault, nothing is answered until it is lifted.
        let mut looks = 0;
        let reached = || {
            looks += 1;
            (answered.get() >= next || looks > 50).then_some(())
        };
        world.until("answered", reached).await;
        disturb(world, &mut rng);
        next = answered.get() + PERIOD;
    }
    disturb(world, &mut rng);
    for daemon in world.agents.iter().chain(&world.entries) {
        daemon.signal("CONT");
    }
    let mut whole = 0;
    for replies in future::join_all(tasks).await {
        for (body, reply) in replies.expect("the caller does not panic") {
            check(world, &body, &reply);
            whole += usize::from(reply.is_whole());
        }
    }
    println!("seed {seed}: {whole} of {REQUESTS} whole");
    assert!(whole > REQUESTS / 2, "seed {seed}: {whole} whole answers");
}

/// Guards against second runs, untrue refusals, and cut or crossed answers when faults of all
/// kinds meet.
#[test]
fn invariants_hold_under_faults_in_combination() {
    let seeds = (0..3).map(|seed| {
        std::thread::spawn(move || {
            world::run(2, 4, 0, async |world| schedule(world, seed).await);
        })
    });
    let failed = seeds.collect::<Vec<_>>().into_iter().filter_map(|seed| seed.join().err());
    assert_eq!(failed.count(), 0, "the output above names the seed");
}
