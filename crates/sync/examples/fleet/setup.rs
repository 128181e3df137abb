//! Host lists and settings of the simulated fleet.

use std::{fmt::Write, net::SocketAddr};

use bytes::Bytes;
use wire::sync::Branch;
use xxhash_rust::xxh3;

pub const ZONES: usize = 25;
pub const REGIONS: usize = 10;
/// Peers in the list of one process of a large fleet: all lists whole would need memory in the
/// square of the fleet. A process still chooses among enough random peers.
const SAMPLE: usize = 200;
/// Largest fleet in which each process has the whole list.
const WHOLE: usize = 1_000;

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7000))
}

pub fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("not an address of this network") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

pub fn zone(node: usize) -> usize {
    node % ZONES
}

pub fn region(node: usize) -> usize {
    zone(node) * REGIONS / ZONES
}

/// Returns the JSON text of a list of these processes.
pub fn list(nodes: impl Iterator<Item = usize>) -> Bytes {
    let mut text = String::from("[");
    for node in nodes {
        let separator = if text.len() > 1 { "," } else { "" };
        let (address, zone) = (address(node), zone(node));
        let _ = write!(
            text,
            r#"{separator}{{"host":"backend-{node:05}","role":"agent","address":"{address}","availability_zone":"zone-{zone:02}","pool":"assistant","speed":100,"state":"live"}}"#
        );
    }
    text.push(']');
    text.into()
}

/// Returns the list that one process is given: the whole fleet, or a sample that contains the
/// watchers of its zone.
pub fn list_for(node: usize, count: usize, rng: &mut fastrand::Rng) -> Bytes {
    if count <= WHOLE {
        return list(0..count);
    }
    let mut nodes = watchers(zone(node), count);
    nodes.push(node);
    nodes.extend(rng.choose_multiple(0..count, SAMPLE));
    nodes.sort_unstable();
    nodes.dedup();
    list(nodes.into_iter())
}

/// Returns how many hosts the list of one process names.
pub fn listed(count: usize) -> usize {
    if count <= WHOLE { count } else { SAMPLE }
}

/// Returns the first processes of a zone in rendezvous order.
fn watchers(zone: usize, count: usize) -> Vec<usize> {
    let score = |node: &usize| {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(format!("zone-{zone:02}").as_bytes());
        hasher.update(&[0]);
        hasher.update(format!("backend-{node:05}").as_bytes());
        hasher.digest()
    };
    let mut nodes: Vec<usize> = (zone..count).step_by(ZONES).collect();
    nodes.sort_by_cached_key(score);
    nodes.truncate(sync::limit::WATCHERS_PER_ZONE);
    nodes
}

/// Returns one branch: accounts, filled up with comments to `size` bytes.
pub fn branch(number: usize, accounts: usize, size: usize, revision: u64) -> Branch {
    let mut text = String::new();
    if number == 0 {
        text.push_str("[tier desk]\nrank = 0\ndeadline_ms = 30000\nmax_deadline_ms = 60000\n");
    }
    for account in 0..accounts {
        let share = 1 + revision % 9_000;
        let _ = write!(
            text,
            "[account team-{number:03}-{account:03}]\ntop_tier = desk\nshare = {share}\n"
        );
    }
    while text.len() < size {
        text.push_str("; maintained by the owning team, reviewed weekly\n");
    }
    Branch { name: name(number), revision, text: text.into() }
}

pub fn name(number: usize) -> Bytes {
    format!("team-{number:03}/accounts").into()
}
