//! Rate limit of a backend server with an agent, in a cluster of real processes.

mod cluster;

use std::time::Duration;

use cluster::Cluster;
use futures_util::future;

/// Requests a second that the limited engine takes.
const LIMIT: f64 = 2.0;
/// Most requests that it may get in a window of four seconds: one and a half times the limit, and
/// five.
const MOST_IN_WINDOW: usize = 17;
const WINDOW: Duration = Duration::from_secs(4);

async fn send_rounds(cluster: &Cluster, name: &str, rounds: u32) {
    for round in 0..rounds {
        let requests = (0..10)
            .map(|n| cluster.send_chat(n % 2, &format!("{name} {round} {n}"), 3, n % 3 == 0));
        for response in future::join_all(requests).await {
            assert!(response.is_complete(), "{response:?}");
        }
        compio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against an agent that ignores the limit which its backend server names, and against
/// requests that aren't served by the others.
#[test]
fn agents_keep_the_limit_that_an_engine_names() {
    cluster::run(2, 3, 0, async |cluster| {
        send_rounds(cluster, "before", 2).await;
        cluster.engines[0].set_rate_limit(Some(LIMIT));
        let is_limited = |status: &wire::status::Status| {
            status.counters.get("limit_changes").is_some_and(|count| *count > 0)
        };
        // A probe has the limit.
        cluster.wait_for(&cluster.agents[0], "limited", is_limited).await;
        let earlier = cluster.engines[0].record().len();
        send_rounds(cluster, "limited", 40).await;
        let record = cluster.engines[0].record();
        let arrivals: Vec<_> = record[earlier..].iter().map(|entry| entry.run.arrival).collect();
        let in_window = |end: &wire::time::Instant| {
            arrivals.iter().filter(|at| **at <= *end && end.since(**at) < WINDOW).count()
        };
        let most = arrivals.iter().map(in_window).max().unwrap_or(0);
        assert!(most <= MOST_IN_WINDOW, "{most} requests in a window");
        assert!(cluster.engines[1].record().len() > 60, "the others serve the rest");
    });
}
