//! Requests that must not run twice, must not crash further engines, or must yield to higher
//! tiers.

mod cluster;

use std::time::Duration;

use bytes::Bytes;
use cluster::{Cluster, Response, chat_body, expected_response};
use futures_util::future;

const POISON: &str = "please crash-the-engine now";

/// Guards against a second run of a request that is not idempotent when its caller repeats it,
/// including after an entry is killed or the agent that issued the key is replaced.
#[test]
fn an_idempotency_key_runs_at_most_once() {
    cluster::run(2, 1, 1, async |cluster| {
        let path = "/v1/idempotency-keys?route=bids";
        let nobody = cluster.post(0, path, Default::default(), &[("x-account", "nobody")]).await;
        assert_eq!((nobody.status, &nobody.error()["code"]), (401, &"unknown_account".into()));
        let key = cluster.issue_key(0).await;
        let (first, second) =
            future::join(cluster.send_bid(0, &key), cluster.send_bid(1, &key)).await;
        let third = cluster.send_bid(0, &key).await;
        for response in [&first, &second, &third] {
            assert!(response.is_complete(), "{response:?}");
            assert_eq!(response.body, first.body);
        }
        assert_eq!(cluster.bid_run_count(), 1);

        // The entry that waits for the response is killed.
        let key = cluster.issue_key(0).await;
        cluster.services[0].set_latency(Duration::from_secs(2));
        let interrupted = compio::runtime::spawn(cluster.send_bid(0, &key));
        cluster.wait_until("run", || (cluster.bid_run_count() == 2).then_some(())).await;
        cluster.entries[0].signal("KILL");
        let interrupted = interrupted.await.expect("the request task does not panic");
        assert!(!interrupted.is_complete(), "{interrupted:?}");
        cluster.services[0].set_latency(Duration::ZERO);
        let retry = cluster.send_bid(1, &key).await;
        assert!(retry.is_complete(), "{retry:?}");
        assert_eq!(cluster.bid_run_count(), 2);

        // A replacement of the agent that issued the keys has no record of them.
        let unused = cluster.issue_key(1).await;
        cluster.replace_agent(1);
        cluster.wait_for(&cluster.agents[1], "ready", |status| status.ready).await;
        for key in [&key, &unused] {
            let response = cluster.send_bid(1, key).await;
            assert_eq!(response.error()["outcome"], "unknown", "{response:?}");
        }
        assert_eq!(cluster.bid_run_count(), 2);
        let fresh = cluster.issue_key(1).await;
        assert!(cluster.send_bid(1, &fresh).await.is_complete());
        assert_eq!(cluster.bid_run_count(), 3);
    });
}

/// Returns how often engines crashed since their instances were `started`.
fn count_crashes(cluster: &Cluster, started: &[u64]) -> u64 {
    let engines = cluster.engines.iter().zip(started);
    engines.map(|(engine, start)| engine.instance().wrapping_sub(*start)).sum()
}

/// Guards against a request that crashes engine after engine while its caller retries.
#[test]
fn a_poison_request_crashes_two_engines_at_most() {
    cluster::run(2, 4, 0, async |cluster| {
        let started: Vec<u64> = cluster.engines.iter().map(|engine| engine.instance()).collect();
        let mut last = None;
        for round in 0..8 {
            let poison = cluster.send_chat(round % 2, POISON, 5, true);
            let other = cluster.send_chat(1 - round % 2, &format!("beside {round}"), 5, false);
            let (poison, beside) = future::join(poison, other).await;
            assert!(!poison.is_complete(), "{poison:?}");
            // A response from the crashed batch may be incomplete, but only after its request
            // started to run, and the caller gets an outcome.
            assert!(beside.is_complete() || beside.outcome.is_some(), "{beside:?}");
            let body = chat_body(&format!("after {round}"), 5, round % 2 == 0);
            let after = cluster.send_chat_body(round % 2, body.clone()).await;
            assert!(after.is_complete(), "round {round}: {after:?}");
            assert_eq!(after.body, expected_response(&body));
            last = Some(poison);
        }
        let crashes = count_crashes(cluster, &started);
        assert!((1..=2).contains(&crashes), "{crashes} crashes");
        let last = last.expect("a response");
        assert_eq!(last.error()["outcome"], "not_run", "{last:?}");
    });
}

fn send_in_tier(
    cluster: &Cluster,
    tier: &str,
    body: &Bytes,
) -> compio::runtime::JoinHandle<Response> {
    let headers = [("x-account", "casa"), ("x-tier", tier)];
    compio::runtime::spawn(cluster.post(0, "/v1/chat/completions", body.clone(), &headers))
}

/// Guards against a higher tier that is shed before a lower one, and against a displaced request
/// that runs although its caller got the outcome `not_run`.
#[test]
fn a_full_agent_sheds_the_lowest_tier() {
    cluster::run(1, 1, 0, async |cluster| {
        let text = "[pool appraisal]\nmax_running = 1\nmax_queued = 3\n";
        cluster.configure("auction/pools", text).await;
        let long = chat_body("occupies the engine", 300, false);
        let running = send_in_tier(cluster, "catalogue", &long);
        cluster.wait_until_streaming(&long).await;
        let bodies = |tier: &str| -> Vec<Bytes> {
            (0..3).map(|n| chat_body(&format!("{tier} {n}"), 3, n % 2 == 0)).collect()
        };
        let (low, high) = (bodies("low"), bodies("high"));
        let low_requests: Vec<_> =
            low.iter().map(|body| send_in_tier(cluster, "catalogue", body)).collect();
        let full = |status: &wire::status::Status| status.queued.get(&2) == Some(&3);
        cluster.wait_for(&cluster.agents[0], "full", full).await;
        let high_requests: Vec<_> =
            high.iter().map(|body| send_in_tier(cluster, "floor", body)).collect();
        for response in future::join_all(low_requests).await {
            let response = response.expect("the request task does not panic");
            assert_eq!(response.error()["outcome"], "not_run", "{response:?}");
        }
        for (response, body) in future::join_all(high_requests).await.into_iter().zip(&high) {
            let response = response.expect("the request task does not panic");
            assert!(response.is_complete(), "{response:?}");
            assert_eq!(cluster.runs(body).len(), 1);
        }
        assert!(running.await.expect("the request task does not panic").is_complete());
        assert!(low.iter().all(|body| cluster.runs(body).is_empty()), "a displaced request ran");
    });
}

/// Sends copies of a poison request at once, before any crash is reported, and returns the number
/// of crashes of each engine.
async fn send_copies(cluster: &Cluster) -> Vec<u64> {
    let started: Vec<u64> = cluster.engines.iter().map(|engine| engine.instance()).collect();
    for _ in 0..3 {
        let copies = (0..8).map(|n| cluster.send_chat(n % 2, POISON, 5, true));
        let responses = future::join_all(copies).await;
        assert!(responses.iter().all(|response| !response.is_complete()), "{responses:?}");
    }
    let engines = cluster.engines.iter().zip(&started);
    engines.map(|(engine, start)| engine.instance().wrapping_sub(*start)).collect()
}

/// Guards against copies of a poison request that crash more than two engines, or crash one engine
/// again before the crash of the other is reported.
#[test]
fn copies_of_a_poison_request_crash_two_engines_at_most() {
    cluster::run(2, 4, 0, async |cluster| {
        let crashes = send_copies(cluster).await;
        assert!((1..=2).contains(&crashes.iter().sum::<u64>()), "{crashes:?}");
        let body = chat_body("after the copies", 5, true);
        assert_eq!(cluster.send_chat_body(0, body.clone()).await.body, expected_response(&body));
    });
}

/// Guards against a second run of a request that is not idempotent when its service crashes, or a
/// connection on its path is closed, while it runs.
#[test]
fn an_idempotency_key_runs_at_most_once_when_connections_fail() {
    cluster::run(2, 0, 1, async |cluster| {
        for (round, fault) in ["peer", "backend", "service"].into_iter().enumerate() {
            let key = cluster.issue_key(0).await;
            cluster.services[0].set_latency(Duration::from_secs(1));
            let request = compio::runtime::spawn(cluster.send_bid(0, &key));
            cluster
                .wait_until("run", || (cluster.bid_run_count() == round + 1).then_some(()))
                .await;
            match fault {
                "peer" => cluster.peer_proxies[0].cut(),
                "backend" => cluster.backend_proxies[0].cut(),
                _ => cluster.services[0].crash(),
            }
            let response = request.await.expect("the request task does not panic");
            cluster.services[0].set_latency(Duration::ZERO);
            for retry in [cluster.send_bid(1, &key).await, cluster.send_bid(0, &key).await] {
                assert_eq!(
                    retry.is_complete(),
                    response.is_complete(),
                    "{fault}: {response:?} {retry:?}"
                );
            }
            let outcome = response.outcome.as_deref();
            match fault {
                "peer" => assert!(response.is_complete(), "{response:?}"),
                _ => assert!(matches!(outcome, Some("unknown" | "incomplete")), "{response:?}"),
            }
            assert_eq!(cluster.bid_run_count(), round + 1, "{fault}");
        }
    });
}
