//! Work that must not run twice, must not spread, or must give way.

mod world;

use std::time::Duration;

use bytes::Bytes;
use futures_util::future;
use world::{Reply, World, chat_body, expected};

const POISON: &str = "please crash-the-engine now";

/// Guards against a second run of a call that must not be repeated, whatever the caller tries.
#[test]
fn a_key_runs_at_most_once() {
    world::run(2, 1, 1, async |world| {
        let path = "/v1/idempotency-keys?route=bids";
        let nobody = world.post(0, path, Default::default(), &[("x-account", "nobody")]).await;
        assert_eq!((nobody.status, &nobody.error()["code"]), (401, &"unknown_account".into()));
        let key = world.key(0).await;
        let (first, second) = future::join(world.bid(0, &key), world.bid(1, &key)).await;
        let third = world.bid(0, &key).await;
        for reply in [&first, &second, &third] {
            assert!(reply.is_whole(), "{reply:?}");
            assert_eq!(reply.body, first.body);
        }
        assert_eq!(world.bids_run(), 1);

        // The reply is lost with the entry that waits for it.
        let key = world.key(0).await;
        world.services[0].set_latency(Duration::from_secs(2));
        let lost = compio::runtime::spawn(world.bid(0, &key));
        world.until("run", || (world.bids_run() == 2).then_some(())).await;
        world.entries[0].signal("KILL");
        let lost = lost.await.expect("the call does not panic");
        assert!(!lost.is_whole(), "{lost:?}");
        world.services[0].set_latency(Duration::ZERO);
        let retry = world.bid(1, &key).await;
        assert!(retry.is_whole(), "{retry:?}");
        assert_eq!(world.bids_run(), 2);

        // The agent that issued the keys is replaced.
        let unused = world.key(1).await;
        world.replace_agent(1);
        world.wait_for(&world.agents[1], "ready", |status| status.ready).await;
        for key in [&key, &unused] {
            let reply = world.bid(1, key).await;
            assert_eq!(reply.error()["outcome"], "unknown", "{reply:?}");
        }
        assert_eq!(world.bids_run(), 2);
        let fresh = world.key(1).await;
        assert!(world.bid(1, &fresh).await.is_whole());
        assert_eq!(world.bids_run(), 3);
    });
}

/// Returns how often engines crashed since they had these instances.
fn crashes(world: &World, started: &[u64]) -> u64 {
    let engines = world.engines.iter().zip(started);
    engines.map(|(engine, start)| engine.instance().wrapping_sub(*start)).sum()
}

/// Guards against a request that crashes engine after engine while its caller retries.
#[test]
fn a_poison_request_crashes_two_engines_at_most() {
    world::run(2, 4, 0, async |world| {
        let started: Vec<u64> = world.engines.iter().map(|engine| engine.instance()).collect();
        let mut last = None;
        for round in 0..8 {
            let poison = world.chat(round % 2, POISON, 5, true);
            let other = world.chat(1 - round % 2, &format!("beside {round}"), 5, false);
            let (poison, beside) = future::join(poison, other).await;
            assert!(!poison.is_whole(), "{poison:?}");
            // A request in the crashed batch may be incomplete, but only after it ran.
            assert!(beside.is_whole() || beside.outcome.is_some(), "{beside:?}");
            let body = chat_body(&format!("after {round}"), 5, round % 2 == 0);
            let after = world.complete(round % 2, body.clone()).await;
            assert!(after.is_whole(), "round {round}: {after:?}");
            assert_eq!(after.body, expected(&body));
            last = Some(poison);
        }
        let crashes = crashes(world, &started);
        assert!((1..=2).contains(&crashes), "{crashes} crashes");
        let last = last.expect("a reply");
        assert_eq!(last.error()["outcome"], "not_run", "{last:?}");
    });
}

fn in_tier(world: &World, tier: &str, body: &Bytes) -> compio::runtime::JoinHandle<Reply> {
    let headers = [("x-account", "casa"), ("x-tier", tier)];
    compio::runtime::spawn(world.post(0, "/v1/chat/completions", body.clone(), &headers))
}

/// Guards against a higher tier that is shed before a lower one, and against displaced work
/// that runs although its caller was told that it did not.
#[test]
fn a_full_agent_sheds_the_lowest_tier() {
    world::run(1, 1, 0, async |world| {
        let text = "[pool appraisal]\nmax_running = 1\nmax_queued = 3\n";
        world.configure("auction/pools", text).await;
        let long = chat_body("occupies the engine", 300, false);
        let running = in_tier(world, "catalogue", &long);
        world.mid_stream(&long).await;
        let bodies = |tier: &str| -> Vec<Bytes> {
            (0..3).map(|n| chat_body(&format!("{tier} {n}"), 3, n % 2 == 0)).collect()
        };
        let (low, high) = (bodies("low"), bodies("high"));
        let low_calls: Vec<_> = low.iter().map(|body| in_tier(world, "catalogue", body)).collect();
        let full = |status: &wire::status::Status| status.queued.get(&2) == Some(&3);
        world.wait_for(&world.agents[0], "full", full).await;
        let high_calls: Vec<_> = high.iter().map(|body| in_tier(world, "floor", body)).collect();
        for reply in future::join_all(low_calls).await {
            let reply = reply.expect("the call does not panic");
            assert_eq!(reply.error()["outcome"], "not_run", "{reply:?}");
        }
        for (reply, body) in future::join_all(high_calls).await.into_iter().zip(&high) {
            let reply = reply.expect("the call does not panic");
            assert!(reply.is_whole(), "{reply:?}");
            assert_eq!(world.runs(body).len(), 1);
        }
        assert!(running.await.expect("the call does not panic").is_whole());
        assert!(low.iter().all(|body| world.runs(body).is_empty()), "displaced work ran");
    });
}

/// Sends copies of a poison request at once, before any process knows of a crash, and returns
/// the crashes of each engine.
async fn send_copies(world: &World) -> Vec<u64> {
    let started: Vec<u64> = world.engines.iter().map(|engine| engine.instance()).collect();
    for _ in 0..3 {
        let copies = (0..8).map(|n| world.chat(n % 2, POISON, 5, true));
        let replies = future::join_all(copies).await;
        assert!(replies.iter().all(|reply| !reply.is_whole()), "{replies:?}");
    }
    let engines = world.engines.iter().zip(&started);
    engines.map(|(engine, start)| engine.instance().wrapping_sub(*start)).collect()
}

/// Guards against copies of a poison request that spread beyond its two engines, or crash one
/// of them again while the crash of the other is not known yet.
#[test]
fn copies_of_a_poison_request_crash_two_engines_at_most() {
    world::run(2, 4, 0, async |world| {
        let crashes = send_copies(world).await;
        assert!((1..=2).contains(&crashes.iter().sum::<u64>()), "{crashes:?}");
        let body = chat_body("after the copies", 5, true);
        assert_eq!(world.complete(0, body.clone()).await.body, expected(&body));
    });
}

/// Guards against a second run of a call that must not be repeated when its service, or a
/// connection on its way, is lost while it runs.
#[test]
fn a_key_runs_at_most_once_through_lost_connections() {
    world::run(2, 0, 1, async |world| {
        for (round, fault) in ["peer", "backend", "service"].into_iter().enumerate() {
            let key = world.key(0).await;
            world.services[0].set_latency(Duration::from_secs(1));
            let call = compio::runtime::spawn(world.bid(0, &key));
            world.until("run", || (world.bids_run() == round + 1).then_some(())).await;
            match fault {
                "peer" => world.peer_proxies[0].cut(),
                "backend" => world.backend_proxies[0].cut(),
                _ => world.services[0].crash(),
            }
            let reply = call.await.expect("the call does not panic");
            world.services[0].set_latency(Duration::ZERO);
            for retry in [world.bid(1, &key).await, world.bid(0, &key).await] {
                assert_eq!(retry.is_whole(), reply.is_whole(), "{fault}: {reply:?} {retry:?}");
            }
            let outcome = reply.outcome.as_deref();
            match fault {
                "peer" => assert!(reply.is_whole(), "{reply:?}"),
                _ => assert!(matches!(outcome, Some("unknown" | "incomplete")), "{reply:?}"),
            }
            assert_eq!(world.bids_run(), round + 1, "{fault}");
        }
    });
}
