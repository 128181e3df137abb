//! Processes, connections and engines that fail while requests are in progress.

mod world;

use bytes::Bytes;
use futures_util::future;
use serde_json::Value;
use stand::{proxy, run::End};
use world::{Reply, World, chat_body, expected};

/// Tokens of an answer that takes the engine some seconds.
const LONG: u32 = 250;

fn assert_whole(reply: &Reply, body: &[u8]) {
    assert!(reply.is_whole(), "{reply:?}");
    assert_eq!(reply.body, expected(body));
}

/// Starts a streamed and a held call, waits until both are mid-stream, applies a fault to the
/// engine's number of each, and checks both answers and that each ran once.
async fn survive(world: &mut World, name: &str, fault: impl AsyncFn(&mut World, usize, &[u8])) {
    for stream in [true, false] {
        let body = chat_body(&format!("{name} {stream}"), LONG, stream);
        let call = compio::runtime::spawn(world.complete(0, body.clone()));
        let engine = world.mid_stream(&body).await;
        fault(world, engine, &body).await;
        let reply = call.await.expect("the call does not panic");
        assert_whole(&reply, &body);
        let runs = world.runs(&body);
        assert_eq!(runs.len(), 1, "{runs:?}");
    }
}

/// Guards against lost or repeated work when an agent is killed: a running stream is resumed by
/// the replacement, and queued work moves to another agent.
#[test]
fn a_killed_agent_loses_nothing() {
    world::run(1, 2, 0, async |world| {
        survive(world, "killed agent", async |world, engine, _| world.replace_agent(engine)).await;

        // One request runs at each agent and the others wait there.
        world.configure("auction/pools", "[pool appraisal]\nmax_running = 1\n").await;
        let bodies: Vec<Bytes> =
            (0..8).map(|n| chat_body(&format!("queued {n}"), 60, n % 2 == 0)).collect();
        let calls: Vec<_> = bodies
            .iter()
            .map(|body| compio::runtime::spawn(world.complete(0, body.clone())))
            .collect();
        let agent = &world.agents[0];
        let waits = |status: &wire::status::Status| status.queued.values().sum::<u64>() > 0;
        world.wait_for(agent, "with queued work", waits).await;
        // A request that its agent has dispatched and that the engine has not received yet is
        // lost with the agent, and truthfully `unknown`.
        let began = |body: &Bytes| world.runs(body).first().is_some_and(|(engine, _)| *engine == 0);
        world.until("at the engine", || bodies.iter().any(began).then_some(())).await;
        world.replace_agent(0);
        for (reply, body) in future::join_all(calls).await.into_iter().zip(&bodies) {
            assert_whole(&reply.expect("the call does not panic"), body);
            assert_eq!(world.runs(body).len(), 1);
        }
    });
}

/// Guards against cut, repeated or mixed-up answers when connections between entry and agent
/// are cut or stand still.
#[test]
fn a_lost_connection_to_an_agent_is_replaced() {
    world::run(1, 2, 0, async |world| {
        survive(world, "cut", async |world, engine, _| world.peer_proxies[engine].cut()).await;
        survive(world, "frozen", async |world, engine, body| {
            let freeze = proxy::Faults { freeze: true, ..proxy::Faults::default() };
            world.peer_proxies[engine].set(freeze);
            // The engine goes on while the proxy stands still.
            world.until("finished", || world.runs(body)[0].1.run.end).await;
            world.peer_proxies[engine].set(proxy::Faults::default());
        })
        .await;
    });
}

/// Guards against an answer that waits for ever, is cut or runs twice when the bytes of one
/// direction vanish mid-stream.
#[test]
fn a_connection_that_loses_one_direction_is_replaced() {
    world::run(1, 2, 0, async |world| {
        for direction in [proxy::Direction::ToClient, proxy::Direction::ToTarget] {
            survive(world, &format!("{direction:?}"), async |world, engine, body| {
                let drop = proxy::Faults { drop: Some(direction), ..proxy::Faults::default() };
                world.peer_proxies[engine].set(drop);
                let before = world.runs(body)[0].1.run.tokens;
                let more = || (world.runs(body)[0].1.run.tokens > before + 20).then_some(());
                world.until("further", more).await;
                world.peer_proxies[engine].set(proxy::Faults::default());
                world.peer_proxies[engine].cut();
            })
            .await;
        }
    });
}

/// Guards against requests that are lost, or granted twice, when offers or their replies vanish.
#[test]
fn vanished_offers_move_on() {
    world::run(1, 2, 0, async |world| {
        for agent in 0..2 {
            for direction in [proxy::Direction::ToTarget, proxy::Direction::ToClient] {
                let drop = proxy::Faults { drop: Some(direction), ..proxy::Faults::default() };
                world.peer_proxies[agent].set(drop);
                let name = |n| format!("vanished {agent} {direction:?} {n}");
                let bodies: Vec<Bytes> =
                    (0..6).map(|n| chat_body(&name(n), 5, n % 2 == 0)).collect();
                let calls = bodies.iter().map(|body| world.complete(0, body.clone()));
                for (reply, body) in future::join_all(calls).await.iter().zip(&bodies) {
                    assert_whole(reply, body);
                    assert_eq!(world.runs(body).len(), 1);
                }
                world.peer_proxies[agent].set(proxy::Faults::default());
                world.peer_proxies[agent].cut();
            }
        }
    });
}

/// Guards against a second run or an untrue refusal when the agent's connection to its engine
/// is cut mid-stream or refused before dispatch.
#[test]
fn a_lost_connection_to_an_engine_is_resumed() {
    world::run(1, 2, 0, async |world| {
        survive(world, "engine cut", async |world, engine, _| world.backend_proxies[engine].cut())
            .await;
        let refuse = proxy::Faults { refuse: true, ..proxy::Faults::default() };
        for engine in 0..2 {
            world.backend_proxies[engine].set(refuse.clone());
            world.backend_proxies[engine].cut();
            let body = chat_body(&format!("refused {engine}"), 5, true);
            let reply = world.complete(0, body.clone()).await;
            let runs = world.runs(&body).len();
            match reply.outcome.as_deref() {
                None => assert_whole(&reply, &body),
                outcome => assert_eq!(outcome, Some("not_run"), "{reply:?}"),
            }
            assert_eq!(runs, usize::from(reply.outcome.is_none()), "{reply:?}");
        }
        let body = chat_body("refused by both", 5, false);
        let reply = world.complete(0, body.clone()).await;
        assert_eq!(reply.error()["outcome"], "not_run", "{reply:?}");
        assert_eq!(world.runs(&body).len(), 0);
    });
}

/// Guards against a cut answer that looks whole, and against a repeated run after a crash.
#[test]
fn an_engine_crash_is_told_truly_and_never_run_again() {
    world::run(1, 2, 0, async |world| {
        for stream in [true, false] {
            let body = chat_body(&format!("crash {stream}"), LONG, stream);
            let call = compio::runtime::spawn(world.complete(0, body.clone()));
            let engine = world.mid_stream(&body).await;
            world.engines[engine].crash();
            let reply = call.await.expect("the call does not panic");
            if stream {
                assert_eq!(reply.status, 200);
                assert!(reply.broken.is_some(), "the body ended as if whole: {reply:?}");
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                assert!(!text.contains("[DONE]"), "{text}");
                let (_, event) = text.split_once("event: error\ndata: ").expect("an error event");
                let error: Value = serde_json::from_str(event.trim_end()).unwrap();
                assert_eq!(error["error"]["outcome"], "incomplete");
            } else {
                // The engine begins to answer at the end, so the agent can't tell that it ran.
                assert_eq!((reply.status, &reply.error()["outcome"]), (504, &"unknown".into()));
            }
            let runs = world.runs(&body);
            assert_eq!(runs.len(), 1, "{runs:?}");
            assert_eq!(runs[0].1.run.end, Some(End::Crashed));
        }
        // Whatever was to be tried again had time while this request was served.
        let body = chat_body("after the crashes", 20, true);
        assert_whole(&world.complete(0, body.clone()).await, &body);
        assert_eq!(world.all_runs().len(), 3);
    });
}

/// Guards against a second run or a second answer when a process is stopped at any step and
/// wakes late.
#[test]
fn a_late_wake_runs_nothing_again() {
    world::run(2, 2, 0, async |world| {
        // The agent sleeps mid-stream until the engine is done.
        survive(world, "agent sleeps", async |world, engine, body| {
            world.agents[engine].signal("STOP");
            world.until("finished", || world.runs(body)[0].1.run.end).await;
            world.agents[engine].signal("CONT");
        })
        .await;
        // The entry sleeps mid-stream until the engine is done.
        survive(world, "entry sleeps", async |world, _, body| {
            world.entries[0].signal("STOP");
            world.until("finished", || world.runs(body)[0].1.run.end).await;
            world.entries[0].signal("CONT");
        })
        .await;
        late_wakes_before_dispatch(world).await;
    });
}

/// Stops each process before requests arrive and lets it wake once others were served.
async fn late_wakes_before_dispatch(world: &World) {
    for sleeper in 0..3 {
        let daemon = if sleeper < 2 { &world.agents[sleeper] } else { &world.entries[0] };
        daemon.signal("STOP");
        let bodies: Vec<Bytes> =
            (0..6).map(|n| chat_body(&format!("sleeper {sleeper} {n}"), 10, n % 2 == 0)).collect();
        let calls: Vec<_> = bodies
            .iter()
            .map(|body| compio::runtime::spawn(world.complete(0, body.clone())))
            .collect();
        let body = chat_body(&format!("beside sleeper {sleeper}"), 100, false);
        assert_whole(&world.complete(1, body.clone()).await, &body);
        daemon.signal("CONT");
        for (reply, body) in future::join_all(calls).await.into_iter().zip(&bodies) {
            assert_whole(&reply.expect("the call does not panic"), body);
            assert_eq!(world.runs(body).len(), 1);
        }
    }
}

/// Guards against a grant that is taken from an entry which slept past its time, and against
/// queued work that is lost or runs twice by such a sleep.
#[test]
fn grants_expire_while_an_entry_sleeps() {
    world::run(2, 1, 0, async |world| {
        world.configure("auction/pools", "[pool appraisal]\nmax_running = 1\n").await;
        let long = chat_body("holds the engine", LONG, true);
        let running = compio::runtime::spawn(world.complete(1, long.clone()));
        world.mid_stream(&long).await;
        let bodies: Vec<Bytes> =
            (0..3).map(|n| chat_body(&format!("slept on {n}"), 5, n % 2 == 0)).collect();
        let calls: Vec<_> = bodies
            .iter()
            .map(|body| compio::runtime::spawn(world.complete(0, body.clone())))
            .collect();
        let waits = |status: &wire::status::Status| status.queued.values().sum::<u64>() == 3;
        world.wait_for(&world.agents[0], "with queued work", waits).await;
        world.entries[0].signal("STOP");
        assert_whole(&running.await.expect("the call does not panic"), &long);
        // Each reservation for the sleeping entry has to expire before this one runs.
        let body = chat_body("behind the sleeper", 5, false);
        assert_whole(&world.complete(1, body.clone()).await, &body);
        assert!(bodies.iter().all(|body| world.runs(body).is_empty()));
        world.entries[0].signal("CONT");
        for (reply, body) in future::join_all(calls).await.into_iter().zip(&bodies) {
            assert_whole(&reply.expect("the call does not panic"), body);
            assert_eq!(world.runs(body).len(), 1);
        }
    });
}

/// Returns what an entry tells a load balancer.
async fn health(world: &World, entry: usize) -> u16 {
    let callers = world.entries[entry].callers.expect("an entry serves callers");
    let request = world.client.get(format!("http://{callers}/healthz")).expect("valid URL");
    request.send().await.expect("an answer").status().as_u16()
}

/// Guards against a planned stop that cuts answers, takes new work or ends with an error.
#[test]
fn a_planned_stop_finishes_what_runs() {
    world::run(2, 2, 0, async |world| {
        let bodies = [chat_body("stop a", LONG, true), chat_body("stop b", LONG, false)];
        let calls: Vec<_> = bodies
            .iter()
            .map(|body| compio::runtime::spawn(world.complete(0, body.clone())))
            .collect();
        let engine = world.mid_stream(&bodies[0]).await;
        world.mid_stream(&bodies[1]).await;
        world.agents[engine].signal("TERM");
        world.entries[0].signal("TERM");
        for daemon in [&world.agents[engine], &world.entries[0]] {
            world.wait_for(daemon, "stopping", |status| status.stopping).await;
        }
        let stopped = world.engines[engine].record().len();
        assert_eq!((health(world, 0).await, health(world, 1).await), (503, 200));
        for n in 0..6 {
            let body = chat_body(&format!("during the stop {n}"), 5, true);
            assert_whole(&world.complete(1, body.clone()).await, &body);
            let reply = world.complete(0, body).await;
            // The entry may have ended by now on a slow machine, but it takes nothing.
            let refused = reply.outcome.as_deref() == Some("not_run") || reply.status == 0;
            assert!(refused, "{reply:?}");
        }
        for (reply, body) in future::join_all(calls).await.into_iter().zip(&bodies) {
            assert_whole(&reply.expect("the call does not panic"), body);
            assert_eq!(world.runs(body).len(), 1);
        }
        assert_eq!(world.engines[engine].record().len(), stopped, "a stopping agent took work");
        assert_eq!(world.agents[engine].wait().await, Some(0), "{}", world.log("backend-0"));
        assert_eq!(world.entries[0].wait().await, Some(0), "{}", world.log("entry-0"));
    });
}

/// Guards against work that goes on, or places that stay taken, for a caller that is gone.
#[test]
fn an_abandoned_call_frees_its_place() {
    world::run(1, 1, 0, async |world| {
        world.configure("auction/pools", "[pool appraisal]\nmax_running = 1\n").await;
        for stream in [true, false] {
            let body = chat_body(&format!("abandoned {stream}"), 20 * LONG, stream);
            let running = compio::runtime::spawn(world.complete(0, body.clone()));
            world.mid_stream(&body).await;
            let waiting = chat_body(&format!("waits {stream}"), 5, stream);
            let queued = compio::runtime::spawn(world.complete(0, waiting.clone()));
            let waits = |status: &wire::status::Status| status.queued.values().sum::<u64>() == 1;
            world.wait_for(&world.agents[0], "with queued work", waits).await;
            // Dropping a call closes its connection.
            drop(queued);
            let empty = |status: &wire::status::Status| status.queued.values().sum::<u64>() == 0;
            for daemon in [&world.agents[0], &world.entries[0]] {
                world.wait_for(daemon, "without queued work", empty).await;
            }
            drop(running);
            for daemon in [&world.entries[0], &world.agents[0]] {
                world.wait_for(daemon, "idle", |status| status.running == 0).await;
            }
            let end = world.until("ended", || world.runs(&body)[0].1.run.end).await;
            assert_eq!(end, End::Cancelled);
            assert!(world.runs(&waiting).is_empty(), "a withdrawn request ran");
        }
    });
}

/// Guards against an engine that goes on for a caller whose entry was killed, and against a
/// cut answer that looks whole.
#[test]
fn a_killed_entry_leaves_no_run_behind() {
    world::run(2, 1, 0, async |world| {
        world.configure("auction/pools", "[pool appraisal]\norphan_ttl_ms = 200\n").await;
        for stream in [true, false] {
            let body = chat_body(&format!("killed entry {stream}"), 20 * LONG, stream);
            let call = compio::runtime::spawn(world.complete(0, body.clone()));
            world.mid_stream(&body).await;
            world.entries[0].signal("KILL");
            let reply = call.await.expect("the call does not panic");
            assert!(reply.broken.is_some(), "{reply:?}");
            let end = world.until("ended", || world.runs(&body)[0].1.run.end).await;
            assert_eq!((end, world.runs(&body).len()), (End::Cancelled, 1));
            let after = chat_body(&format!("after the kill {stream}"), 5, stream);
            assert_whole(&world.complete(1, after.clone()).await, &after);
            world.entries[0] = world.spawn_entry(0);
            world.wait_until_ready().await;
        }
    });
}
