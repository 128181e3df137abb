//! Callers of entries, and others at the addresses of entries and agents, that don't keep to the limits,
//! many at once.

#[path = "cluster/mod.rs"]
mod cluster;
mod crowd;

use std::{net::SocketAddr, thread, time::Duration};

use cluster::Cluster;
use crowd::Shape;

/// Time between checks whether a crowd has sent what it sends.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// An address of a process, which is an entry or an agent.
#[derive(Clone, Copy, Debug)]
enum Address {
    EntryCallers,
    EntryPeers,
    EntryOperators,
    AgentPeers,
    AgentOperators,
}

/// Runs a function that blocks beside the doubles of the test.
async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let thread = thread::spawn(work);
    while !thread.is_finished() {
        compio::time::sleep(POLL_PERIOD).await;
    }
    thread.join().expect("the work ends")
}

fn head(address: Address) -> String {
    let path = match address {
        Address::EntryCallers => "/bids/lot-7",
        Address::EntryPeers | Address::EntryOperators => "/sync",
        Address::AgentPeers | Address::AgentOperators => "/grant",
    };
    format!("POST {path} HTTP/1.1\r\nhost: h\r\nx-account: casa\r\nidempotency-key: k\r\n")
}

/// Returns the address and the process behind it.
fn find(cluster: &Cluster, address: Address) -> (SocketAddr, u32) {
    let (entry, agent) = (&cluster.entries[0], &cluster.agents[0]);
    let (at, daemon) = match address {
        Address::EntryCallers => (entry.callers.expect("an entry serves callers"), entry),
        Address::EntryPeers => (entry.peers, entry),
        Address::EntryOperators => (entry.operators, entry),
        Address::AgentPeers => (agent.peers, agent),
        Address::AgentOperators => (agent.operators, agent),
    };
    (at, daemon.child.id())
}

/// Checks that a process lives, stays within its limits, and that a bid is answered.
async fn assert_sound(cluster: &Cluster, pid: u32, what: &str) {
    let is_quiet = run_blocking(move || crowd::settle(pid)).await;
    assert!(is_quiet, "{what}: the process doesn't come to rest");
    crowd::assert_within_limits(pid, what);
    let key = cluster.issue_key(0).await;
    let response = cluster.send_bid(0, &key).await;
    assert_eq!(response.status, 200, "{what}: {response:?}");
    crowd::assert_within_limits(pid, what);
}

/// Lets crowds come to an address of a process with few resources.
fn assert_bears(address: Address, shapes: &[Shape]) {
    let _alone = crowd::run_alone();
    cluster::run(1, 0, 1, async |cluster| {
        cluster.resources = crowd::RESOURCES;
        cluster.replace_agent(0);
        cluster.replace_entry(0);
        cluster.wait_until_ready().await;
        let (at, pid) = find(cluster, address);
        for shape in shapes.iter().copied() {
            let what = format!("{shape:?} at {address:?}");
            let crowd = run_blocking(move || crowd::gather(at, shape, &head(address))).await;
            assert_sound(cluster, pid, &what).await;
            drop(crowd);
            assert_sound(cluster, pid, &format!("{what}, gone")).await;
        }
    });
}

/// Guards against an entry that runs out of memory since callers send large bodies and don't end.
#[test]
fn bodies_at_an_entry_are_borne() {
    assert_bears(Address::EntryCallers, &Shape::BODIES);
}

/// Guards against an entry that runs out of memory or descriptors since callers send heads and don't
/// end, or nothing.
#[test]
fn connections_at_an_entry_are_borne() {
    assert_bears(Address::EntryCallers, &Shape::CONNECTIONS);
}

/// Guards against the same at the other addresses of an entry.
#[test]
fn crowds_at_other_addresses_of_an_entry_are_borne() {
    let shapes = [Shape::Whole, Shape::LargeChunks, Shape::Head, Shape::Silent];
    assert_bears(Address::EntryPeers, &shapes);
    assert_bears(Address::EntryOperators, &shapes);
}

/// Guards against the same at the addresses of an agent.
#[test]
fn crowds_at_an_agent_are_borne() {
    let shapes = [Shape::Whole, Shape::LargeChunks, Shape::Head, Shape::Silent];
    assert_bears(Address::AgentPeers, &shapes);
    assert_bears(Address::AgentOperators, &shapes);
}

/// Guards against responses that an entry keeps for callers who read nothing.
#[test]
fn responses_of_an_entry_that_nobody_reads_are_borne() {
    let _alone = crowd::run_alone();
    cluster::run(1, 0, 1, async |cluster| {
        cluster.resources = crowd::RESOURCES;
        cluster.replace_entry(0);
        cluster.wait_until_ready().await;
        let (at, pid) = find(cluster, Address::EntryCallers);
        let mut keys = Vec::new();
        for _ in 0..crowd::CALLERS {
            keys.push(cluster.issue_key(0).await);
        }
        let request = move |n: usize| {
            format!(
                "POST /bids/large HTTP/1.1\r\nhost: h\r\nx-account: casa\r\nidempotency-key: {}\r\n\
                 content-length: 0\r\n\r\n",
                keys[n],
            )
        };
        let crowd = run_blocking(move || crowd::gather_slow_readers(at, request)).await;
        assert_sound(cluster, pid, "slow readers").await;
        drop(crowd);
        assert_sound(cluster, pid, "slow readers, gone").await;
    });
}
