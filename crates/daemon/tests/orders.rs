//! Settings, drain orders and the host list while the platform is down, stale or lagging.

mod cluster;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use cluster::{Cluster, chat_body};
use futures_util::future;
use stand::{configuration, proxy};
use wire::status::Status;

/// Time after which a backend server that is leaving gets no new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Sends a round of requests through an entry and checks that all responses are complete.
async fn send_round(cluster: &Cluster, entry: usize, name: &str) {
    let requests = (0..12).map(|n| cluster.send_chat(entry, &format!("{name} {n}"), 3, n % 2 == 0));
    for response in future::join_all(requests).await {
        assert!(response.is_complete(), "{response:?}");
    }
}

/// Waits until an agent reports that it is leaving, continues with load past the limit, resumes
/// the stopped entry while requests wait for it, and checks the engine's own record.
async fn check_drain(cluster: &Cluster, leaving: usize) {
    let agent = &cluster.agents[leaving];
    cluster.wait_for(agent, "leaving", |status| status.leaving).await;
    let leaving_since = Instant::now();
    let limit = cluster.engine_now(leaving).await + DRAIN_LIMIT;
    let mut round = 0;
    while leaving_since.elapsed() < DRAIN_LIMIT {
        send_round(cluster, 0, &format!("drain {leaving} round {round}")).await;
        round += 1;
    }
    let late = (0..12).map(|n| cluster.send_chat(1, &format!("late {leaving} {n}"), 3, n % 2 == 0));
    let late: Vec<_> = late.map(compio::runtime::spawn).collect();
    cluster.entries[1].signal("CONT");
    for response in future::join_all(late).await {
        let response = response.expect("the request task does not panic");
        assert!(response.is_complete(), "{response:?}");
    }
    send_round(cluster, 1, &format!("drain {leaving} after the wake")).await;
    let record = cluster.engines[leaving].record();
    let after: Vec<_> = record.iter().filter(|entry| entry.run.arrival > limit).collect();
    assert!(after.is_empty(), "new requests at a drained engine: {after:?}");
}

/// Guards against new requests at a drained backend server, also from an entry that was paused. The
/// drain is ordered by settings just before the configuration service fails, or by a lagging host
/// list.
#[test]
fn a_drained_backend_gets_no_new_requests() {
    cluster::run(2, 3, 0, async |cluster| {
        send_round(cluster, 0, "before").await;
        send_round(cluster, 1, "before, again").await;
        assert!(cluster.engines.iter().all(|engine| !engine.record().is_empty()));

        cluster.entries[1].signal("STOP");
        let order = "[drain backend-0]\nreason = test\n";
        let revision = cluster.configuration.publish("quincespoke/auction/drains", order);
        let is_in_force =
            |status: Status| status.revisions.get("auction/drains") == Some(&revision);
        'in_force: loop {
            for daemon in cluster.agents.iter().chain([&cluster.entries[0]]) {
                if cluster.read_status(daemon).await.is_some_and(is_in_force) {
                    break 'in_force;
                }
            }
        }
        cluster.configuration.set_down(true);
        check_drain(cluster, 0).await;

        cluster.entries[1].signal("STOP");
        cluster.hosts.set_lag(Duration::from_secs(1));
        cluster.publish_hosts(&[1]);
        check_drain(cluster, 1).await;
    });
}

/// Polls the status of processes and panics if a revision decreases. Returns the number of reports.
async fn watch_revisions(
    client: cyper::Client,
    operators: Rc<RefCell<Vec<SocketAddr>>>,
    done: Rc<Cell<bool>>,
) -> usize {
    let mut highest: BTreeMap<(SocketAddr, String), u64> = BTreeMap::new();
    let mut reports = 0;
    while !done.get() {
        let addresses = operators.borrow().clone();
        for address in &addresses {
            let Ok(request) = client.get(format!("http://{address}/status")) else { continue };
            let Ok(response) = request.send().await else { continue };
            let Ok(bytes) = response.bytes().await else { continue };
            let status: Status = serde_json::from_slice(&bytes).expect("a status");
            for (branch, revision) in status.revisions {
                let last = highest.entry((*address, branch)).or_default();
                assert!(revision >= *last, "{} reverted: {highest:?}", status.host);
                *last = revision;
            }
            reports += 1;
        }
    }
    reports
}

const LIMITS: &str = "[entry]\nretry_percent = 20\n";

/// Guards against settings that don't reach a process, revert, or take effect although they are
/// invalid, when the service is down for some or all processes or serves an old state, or when two
/// operators publish the same branch at the same time.
#[test]
fn settings_reach_every_process_and_never_revert() {
    cluster::run(2, 2, 0, async |cluster| {
        let daemons = cluster.entries.iter().chain(&cluster.agents);
        let operators: Vec<_> = daemons.map(|daemon| daemon.operators).collect();
        let operators = Rc::new(RefCell::new(operators));
        let done = Rc::new(Cell::new(false));
        let watcher = compio::runtime::spawn(watch_revisions(
            cluster.client.clone(),
            operators.clone(),
            done.clone(),
        ));

        // An entry that can't reach the service gets the settings from the agents.
        let service = cluster.configuration.address();
        let service_proxy = proxy::spawn(cluster::loopback(), service).unwrap();
        let proxy_address = service_proxy.address();
        service_proxy.set(proxy::Faults { refuse: true, ..proxy::Faults::default() });
        cluster.configuration_address = proxy_address;
        cluster.entries.push(cluster.spawn_entry(2));
        cluster.wait_until_ready().await;
        operators.borrow_mut().push(cluster.entries[2].operators);
        let first = cluster.configure("auction/limits", LIMITS).await;

        // The service returns to an old state, at lower revisions.
        let old = configuration::spawn(cluster::loopback()).unwrap();
        old.publish("quincespoke/auction/limits", "[entry]\nretry_percent = 5\n");
        drop(service_proxy);
        let service_proxy = proxy::spawn(proxy_address, old.address()).unwrap();
        cluster.configuration.set_down(true);
        cold_start(cluster, 3, first, &operators).await;
        let reads = old.read_count();
        let read_again = || (old.read_count() > reads).then_some(());
        cluster.wait_until("read again from the old state", read_again).await;
        cluster.wait_for_revision("auction/limits", first).await;

        // A process without any state starts while no service is reachable.
        service_proxy.set(proxy::Faults { refuse: true, ..proxy::Faults::default() });
        service_proxy.cut();
        cold_start(cluster, 4, first, &operators).await;

        cluster.configuration.set_down(false);
        drop(service_proxy);
        let _service_proxy = proxy::spawn(proxy_address, service).unwrap();
        let first = publish_concurrently(cluster).await;
        check_refused_settings(cluster, first).await;
        done.set(true);
        assert!(watcher.await.expect("no revision decreases") > 0);
    });
}

/// Starts an entry and checks that a revision is in force there as soon as it is ready.
async fn cold_start(
    cluster: &mut Cluster,
    index: usize,
    revision: u64,
    operators: &RefCell<Vec<SocketAddr>>,
) {
    let entry = cluster.spawn_entry(index);
    operators.borrow_mut().push(entry.operators);
    cluster.wait_for(&entry, "ready", |status| status.ready).await;
    let status = cluster.read_status(&entry).await.expect("a status");
    assert_eq!(status.revisions.get("auction/limits"), Some(&revision), "{status:?}");
    cluster.entries.push(entry);
    cluster.wait_until_ready().await;
    send_round(cluster, index, &format!("cold start {index}")).await;
}

/// Publishes one branch in turns for two operators that don't wait for each other. Returns the last
/// revision, once it is in force in every process.
async fn publish_concurrently(cluster: &Cluster) -> u64 {
    let mut last = 0;
    for round in 0..10 {
        for operator in [10, 20] {
            let text = format!("[entry]\nretry_percent = {}\n", operator + round % 5);
            last = cluster.configuration.publish("quincespoke/auction/limits", text);
            // Leaves time for reads that wait for a change to return between two publications.
            cluster.read_status(&cluster.agents[0]).await;
        }
    }
    cluster.wait_for_revision("auction/limits", last).await;
    last
}

async fn check_refused_settings(cluster: &Cluster, in_force: u64) {
    let branch = "auction/limits";
    let bad = "[entry]\nretry_percent = 30\nretry_percnt = 40\n";
    let refused = cluster.configuration.publish("quincespoke/auction/limits", bad);
    for daemon in cluster.entries.iter().chain(&cluster.agents) {
        let reported = |status: &Status| {
            let reason = status.refused_revisions.get(branch);
            reason.is_some_and(|reason| {
                reason.contains(&refused.to_string()) && reason.contains("retry_percnt")
            })
        };
        cluster.wait_for(daemon, "refusing", reported).await;
    }
    cluster.wait_for_revision(branch, in_force).await;
    let accepted = cluster.configure(branch, "[entry]\nretry_percent = 15\n").await;
    assert!(accepted > refused);
    let body = chat_body("after refused settings", 3, false);
    assert!(cluster.send_chat_body(0, body).await.is_complete());
}
