//! Host lists and settings of the simulated fleet.

use std::{fmt::Write, net::SocketAddr};

use bytes::Bytes;
use wire::sync::Branch;
use xxhash_rust::xxh3;

pub const ZONES: usize = 25;
pub const REGIONS: usize = 10;
/// Peers in the host list of one process of a large fleet. Full lists in all processes would
/// need memory that grows with the square of the fleet size; a sample has enough peers for random
/// choices.
const SAMPLED_PEERS: usize = 200;
/// Largest fleet in which each process has the full host list.
const MAX_FULL_LIST_HOSTS: usize = 1_000;

pub fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (process / 250) as u8, (process % 250) as u8], 7000))
}

pub fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("not an address of this network") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

pub fn zone(process: usize) -> usize {
    process % ZONES
}

pub fn region(process: usize) -> usize {
    zone(process) * REGIONS / ZONES
}

/// Returns a host list of these processes as JSON text.
pub fn list(processes: impl Iterator<Item = usize>) -> Bytes {
    let mut text = String::from("[");
    for process in processes {
        let separator = if text.len() > 1 { "," } else { "" };
        let (address, zone) = (address(process), zone(process));
        let _ = write!(
            text,
            r#"{separator}{{"host":"backend-{process:05}","role":"agent","address":"{address}","availability_zone":"zone-{zone:02}","pool":"assistant","speed":100,"state":"live"}}"#
        );
    }
    text.push(']');
    text.into()
}

/// Returns the host list of one process: the whole fleet, or a sample that contains the process
/// and the watchers of its zone.
pub fn list_for(process: usize, count: usize, rng: &mut fastrand::Rng) -> Bytes {
    if count <= MAX_FULL_LIST_HOSTS {
        return list(0..count);
    }
    let mut processes = watchers(zone(process), count);
    processes.push(process);
    processes.extend(rng.choose_multiple(0..count, SAMPLED_PEERS));
    processes.sort_unstable();
    processes.dedup();
    list(processes.into_iter())
}

/// Returns the number of hosts in the list of one process, approximate for a sample.
pub fn listed_hosts(count: usize) -> usize {
    if count <= MAX_FULL_LIST_HOSTS { count } else { SAMPLED_PEERS }
}

/// Returns the first processes of a zone in rendezvous order.
fn watchers(zone: usize, count: usize) -> Vec<usize> {
    let score = |process: &usize| {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(format!("zone-{zone:02}").as_bytes());
        hasher.update(&[0]);
        hasher.update(format!("backend-{process:05}").as_bytes());
        hasher.digest()
    };
    let mut processes: Vec<usize> = (zone..count).step_by(ZONES).collect();
    processes.sort_by_cached_key(score);
    processes.truncate(sync::limit::WATCHERS_PER_ZONE);
    processes
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
