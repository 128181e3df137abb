//! Settings, drain orders and the host list, with the platform down, stale or lagging.

mod world;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future;
use stand::{configuration, proxy};
use wire::status::Status;
use world::{World, chat_body};

/// Time after which a leaving backend server gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Sends a round of requests through an entry and checks that all are answered in full.
async fn load(world: &World, entry: usize, name: &str) {
    let calls = (0..12).map(|n| world.chat(entry, &format!("{name} {n}"), 3, n % 2 == 0));
    for reply in future::join_all(calls).await {
        assert!(reply.is_whole(), "{reply:?}");
    }
}

/// Waits until an agent knows that it leaves, goes on with load past the limit, wakes the
/// stopped entry with calls waiting for it, and checks the engine's own record.
async fn check_drain(world: &World, leaving: usize) {
    let agent = &world.agents[leaving];
    world.wait_for(agent, "leaving", |status| status.leaving).await;
    let told = Instant::now();
    let limit = world.engine_now(leaving).await + DRAIN_LIMIT;
    let mut round = 0;
    while told.elapsed() < DRAIN_LIMIT {
        load(world, 0, &format!("drain {leaving} round {round}")).await;
        round += 1;
    }
    let late = (0..12).map(|n| world.chat(1, &format!("late {leaving} {n}"), 3, n % 2 == 0));
    let late: Vec<_> = late.map(compio::runtime::spawn).collect();
    world.entries[1].signal("CONT");
    for reply in future::join_all(late).await {
        let reply = reply.expect("the call does not panic");
        assert!(reply.is_whole(), "{reply:?}");
    }
    load(world, 1, &format!("drain {leaving} after the wake")).await;
    let record = world.engines[leaving].record();
    let after: Vec<_> = record.iter().filter(|entry| entry.run.arrival > limit).collect();
    assert!(after.is_empty(), "new work at a drained engine: {after:?}");
}

/// Guards against new work at a drained backend server, ordered by settings just before the
/// configuration service fails or by a lagging host list, also from an entry that was paused.
#[test]
fn a_drained_server_gets_no_work() {
    world::run(2, 3, 0, async |world| {
        load(world, 0, "before").await;
        load(world, 1, "before, again").await;
        assert!(world.engines.iter().all(|engine| !engine.record().is_empty()));

        world.entries[1].signal("STOP");
        let order = "[drain backend-0]\nreason = test\n";
        let revision = world.configuration.publish("quincespoke/auction/drains", order);
        let informed = |status: Status| status.revisions.get("auction/drains") == Some(&revision);
        'informed: loop {
            for daemon in world.agents.iter().chain([&world.entries[0]]) {
                if world.status(daemon).await.is_some_and(informed) {
                    break 'informed;
                }
            }
        }
        world.configuration.set_down(true);
        check_drain(world, 0).await;

        world.entries[1].signal("STOP");
        world.hosts.set_lag(Duration::from_secs(1));
        world.publish_hosts(&[1]);
        check_drain(world, 1).await;
    });
}

/// Watches the reports of processes and fails when a revision goes back.
async fn watch(
    client: cyper::Client,
    operators: Rc<RefCell<Vec<SocketAddr>>>,
    done: Rc<Cell<bool>>,
) -> usize {
    let mut highest: BTreeMap<(SocketAddr, String), u64> = BTreeMap::new();
    let mut reports = 0;
    while !done.get() {
        let now = operators.borrow().clone();
        for address in &now {
            let Ok(request) = client.get(format!("http://{address}/status")) else { continue };
            let Ok(response) = request.send().await else { continue };
            let Ok(bytes) = response.bytes().await else { continue };
            let status: Status = serde_json::from_slice(&bytes).expect("a status");
            for (branch, revision) in status.revisions {
                let last = highest.entry((*address, branch)).or_default();
                assert!(revision >= *last, "{} went back: {highest:?}", status.host);
                *last = revision;
            }
            reports += 1;
        }
    }
    reports
}

const TIGHT: &str = "[entry]\nretry_percent = 20\n";

/// Guards against settings that don't reach a process, go back, or take effect when invalid,
/// with the service down for some processes, down for all, or answering from an old state, or
/// with two operators who publish the same branch at the same time.
#[test]
fn settings_arrive_everywhere_and_never_revert() {
    world::run(2, 2, 0, async |world| {
        let every = world.entries.iter().chain(&world.agents);
        let operators: Vec<_> = every.map(|daemon| daemon.operators).collect();
        let operators = Rc::new(RefCell::new(operators));
        let done = Rc::new(Cell::new(false));
        let watch =
            compio::runtime::spawn(watch(world.client.clone(), operators.clone(), done.clone()));

        // Entries that can't reach the service learn from the agents.
        let service = world.configuration.address();
        let link = proxy::spawn(world::loopback(), service).unwrap();
        let place = link.address();
        link.set(proxy::Faults { refuse: true, ..proxy::Faults::default() });
        world.configuration_address = place;
        world.entries.push(world.spawn_entry(2));
        world.wait_until_ready().await;
        operators.borrow_mut().push(world.entries[2].operators);
        let first = world.configure("auction/limits", TIGHT).await;

        // An old state of the service, at lower revisions.
        let old = configuration::spawn(world::loopback()).unwrap();
        old.publish("quincespoke/auction/limits", "[entry]\nretry_percent = 5\n");
        drop(link);
        let link = proxy::spawn(place, old.address()).unwrap();
        world.configuration.set_down(true);
        cold_start(world, 3, first, &operators).await;
        let reads = old.read_count();
        let read_again = || (old.read_count() > reads).then_some(());
        world.until("read again from the old state", read_again).await;
        world.wait_for_revision("auction/limits", first).await;

        // A start from nothing with no service at all.
        link.set(proxy::Faults { refuse: true, ..proxy::Faults::default() });
        link.cut();
        cold_start(world, 4, first, &operators).await;

        world.configuration.set_down(false);
        drop(link);
        let _link = proxy::spawn(place, service).unwrap();
        let first = race_operators(world).await;
        refuse_bad_settings(world, first).await;
        done.set(true);
        assert!(watch.await.expect("no revision goes back") > 0);
    });
}

/// Starts an entry and checks that it holds a revision as soon as it is ready.
async fn cold_start(
    world: &mut World,
    index: usize,
    revision: u64,
    operators: &RefCell<Vec<SocketAddr>>,
) {
    let entry = world.spawn_entry(index);
    operators.borrow_mut().push(entry.operators);
    world.wait_for(&entry, "ready", |status| status.ready).await;
    let status = world.status(&entry).await.expect("a status");
    assert_eq!(status.revisions.get("auction/limits"), Some(&revision), "{status:?}");
    world.entries.push(entry);
    world.wait_until_ready().await;
    load(world, index, &format!("cold start {index}")).await;
}

/// Lets two operators publish one branch in turns without waiting for each other. Returns the
/// last revision, which every process must hold in the end.
async fn race_operators(world: &World) -> u64 {
    let mut last = 0;
    for round in 0..10 {
        for operator in [10, 20] {
            let text = format!("[entry]\nretry_percent = {}\n", operator + round % 5);
            last = world.configuration.publish("quincespoke/auction/limits", text);
            // Reads that wait for a change may be answered between two publications.
            world.status(&world.agents[0]).await;
        }
    }
    world.wait_for_revision("auction/limits", last).await;
    last
}

async fn refuse_bad_settings(world: &World, held: u64) {
    let branch = "auction/limits";
    let bad = "[entry]\nretry_percent = 30\nretry_percnt = 40\n";
    let refused = world.configuration.publish("quincespoke/auction/limits", bad);
    for daemon in world.entries.iter().chain(&world.agents) {
        let reported = |status: &Status| {
            let reason = status.refused_revisions.get(branch);
            reason.is_some_and(|reason| {
                reason.contains(&refused.to_string()) && reason.contains("retry_percnt")
            })
        };
        world.wait_for(daemon, "refusing", reported).await;
    }
    world.wait_for_revision(branch, held).await;
    let accepted = world.configure(branch, "[entry]\nretry_percent = 15\n").await;
    assert!(accepted > refused);
    let body = chat_body("after refused settings", 3, false);
    assert!(world.complete(0, body).await.is_whole());
}
