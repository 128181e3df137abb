//! Rendezvous hashing: an order of the gateways for each item, the same at all gateways.

use std::{cmp::Reverse, net::SocketAddr};

use crate::quota;

/// Room for the text of an address and the bytes of an item.
const MAX_NAME_BYTES: usize = 80;

/// Returns the rank of a gateway for an item, a pseudorandom number that is the same at all gateways.
pub fn rank(item: u64, gateway: &SocketAddr) -> u64 {
    rank_of_name(item, gateway.to_string().as_bytes())
}

fn rank_of_name(item: u64, name: &[u8]) -> u64 {
    let mut bytes = [0; MAX_NAME_BYTES];
    let len = name.len() + size_of::<u64>();
    bytes[..name.len()].copy_from_slice(name);
    bytes[name.len()..len].copy_from_slice(&item.to_be_bytes());
    // Without the last step, the first bytes of the name would decide for most items.
    let hash = quota::hash(&bytes[..len]);
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Returns whether fewer than `count` of the other ranks are greater than `own`. Of many others, only
/// a few are evaluated, as a rule.
pub fn is_among_first(own: u64, others: impl Iterator<Item = u64>, count: usize) -> bool {
    others.filter(|rank| *rank > own).take(count).count() < count
}

/// Gateways in no order, with the names that their ranks follow from. A gateway that starts is ranked
/// for each of thousands of streams at every other one, so names are not built for each.
#[derive(Clone, Debug)]
pub struct Ranking {
    gateways: Vec<(SocketAddr, Vec<u8>)>,
}

impl Ranking {
    /// Returns the ranking of these gateways.
    pub fn new(gateways: impl Iterator<Item = SocketAddr>) -> Ranking {
        let gateways = gateways.map(|gateway| (gateway, gateway.to_string().into_bytes()));
        Ranking { gateways: gateways.collect() }
    }

    /// Returns the `count` gateways with the greatest ranks for an item, the greatest first.
    pub fn first(&self, item: u64, count: usize) -> Vec<SocketAddr> {
        let mut ranked: Vec<(Reverse<u64>, SocketAddr)> = self
            .gateways
            .iter()
            .map(|(gateway, name)| (Reverse(rank_of_name(item, name)), *gateway))
            .collect();
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, gateway)| gateway).collect()
    }

    /// Returns whether a gateway is among the `count` ones with the greatest ranks for an item. It
    /// may be one of the ranked gateways or another one.
    pub fn has_among_first(&self, item: u64, gateway: &SocketAddr, count: usize) -> bool {
        let others = self.gateways.iter().filter(|(other, _)| other != gateway);
        let ranks = others.map(|(_, name)| rank_of_name(item, name));
        is_among_first(rank(item, gateway), ranks, count)
    }
}
