//! Many requests under combined faults, with the same invariants for each.

mod cluster;

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use cluster::{Cluster, Response, chat_body, expected_response};
use futures_util::future;
use stand::proxy;

/// Number of requests for each seed.
const REQUESTS: usize = 240;
/// Number of responses between two faults.
const RESPONSES_PER_FAULT: usize = 12;

/// Sends requests one after another.
async fn send_in_order(
    requests: Vec<(Bytes, impl Future<Output = Response>)>,
    response_count: Rc<Cell<usize>>,
) -> Vec<(Bytes, Response)> {
    let mut responses = Vec::new();
    for (body, request) in requests {
        responses.push((body, request.await));
        response_count.set(response_count.get() + 1);
    }
    responses
}

/// Removes the previous fault and applies a new one.
fn apply_fault(cluster: &mut Cluster, rng: &mut fastrand::Rng) {
    let none = proxy::Faults::default;
    for proxy in cluster.peer_proxies.iter().chain(&cluster.backend_proxies) {
        proxy.set(none());
    }
    for daemon in cluster.agents.iter().chain(&cluster.entries) {
        daemon.signal("CONT");
    }
    let at = rng.usize(..cluster.agents.len());
    match rng.u32(..9) {
        0 => cluster.peer_proxies[at].cut(),
        1 => cluster.backend_proxies[at].cut(),
        2 => cluster.peer_proxies[at].set(proxy::Faults { freeze: true, ..none() }),
        3 => cluster.backend_proxies[at].set(proxy::Faults { refuse: true, ..none() }),
        4 => cluster.peer_proxies[at].set(proxy::Faults { delay_ms: 30, ..none() }),
        5 => cluster.agents[at].signal("STOP"),
        6 => cluster.entries[rng.usize(..cluster.entries.len())].signal("STOP"),
        7 => cluster.engines[at].crash(),
        _ => cluster.replace_agent(at),
    }
}

/// Checks the invariants for one request.
fn check(cluster: &Cluster, body: &Bytes, response: &Response) {
    let runs = cluster.runs(body);
    assert!(runs.len() <= 1, "ran twice: {response:?} {runs:?}");
    let streamed_error = String::from_utf8_lossy(&response.body).contains("event: error");
    if response.is_complete() {
        assert_eq!(response.body, expected_response(body), "not the response to this request");
        assert_eq!(runs.len(), 1);
    } else if response.status == 200 {
        assert!(
            response.transport_error.is_some() && streamed_error,
            "truncated without an error: {response:?}"
        );
        assert_eq!(runs.len(), 1);
    } else {
        let outcome = response.error()["outcome"].clone();
        assert_eq!(response.outcome.as_deref(), outcome.as_str());
        assert!(outcome != "not_run" || runs.is_empty(), "wrong outcome: {response:?} {runs:?}");
        assert!(outcome != "incomplete" || runs.len() == 1, "wrong outcome: {response:?} {runs:?}");
    }
}

async fn run_schedule(cluster: &mut Cluster, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let response_count = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    for n in 0..12 {
        let requests: Vec<_> = (0..REQUESTS / 12)
            .map(|m| {
                let tokens = rng.u32(1..60);
                let body = chat_body(&format!("{seed} {n} {m}"), tokens, rng.bool());
                (body.clone(), cluster.send_chat_body(n % cluster.entries.len(), body))
            })
            .collect();
        tasks.push(compio::runtime::spawn(send_in_order(requests, response_count.clone())));
    }
    let mut next_fault = RESPONSES_PER_FAULT;
    while next_fault < REQUESTS {
        // If a fault blocks every caller, no response arrives until the fault is removed.
        let mut checks = 0;
        let reached = || {
            checks += 1;
            (response_count.get() >= next_fault || checks > 50).then_some(())
        };
        cluster.wait_until("answered", reached).await;
        apply_fault(cluster, &mut rng);
        next_fault = response_count.get() + RESPONSES_PER_FAULT;
    }
    apply_fault(cluster, &mut rng);
    for daemon in cluster.agents.iter().chain(&cluster.entries) {
        daemon.signal("CONT");
    }
    let mut complete = 0;
    for responses in future::join_all(tasks).await {
        for (body, response) in responses.expect("the caller does not panic") {
            check(cluster, &body, &response);
            complete += usize::from(response.is_complete());
        }
    }
    println!("seed {seed}: {complete} of {REQUESTS} complete");
    assert!(complete > REQUESTS / 2, "seed {seed}: {complete} complete responses");
}

/// Guards against second runs, wrong outcomes, and truncated or swapped responses when faults of
/// all kinds occur together.
#[test]
fn invariants_hold_under_combined_faults() {
    let seeds = (0..3).map(|seed| {
        std::thread::spawn(move || {
            cluster::run(2, 4, 0, async |cluster| run_schedule(cluster, seed).await);
        })
    });
    let failed = seeds.collect::<Vec<_>>().into_iter().filter_map(|seed| seed.join().err());
    assert_eq!(failed.count(), 0, "the output above names the seed");
}
