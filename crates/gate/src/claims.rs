//! Claims of gateways to the free slots of a service, by the rank of the requests that wait there.
//!
//! Answers a burst that fills all slots: without claims, a gateway gives a slot that becomes free to
//! its own most urgent request, also if requests of a higher tier wait at other gateways and are
//! refused there. With claims, free slots go to the gateways where the most urgent requests wait.

use std::net::SocketAddr;

use crate::ranking;

/// Ranks are smaller than this number; see `queue::Entry::rank`.
const MAX_RANK: u32 = 1 << 20;

/// Returns the key under which a gateway reports its waiting requests of a rank and a service, given
/// by the hash of its name. Earlier builds ignore it, since it is the hash of no service.
pub fn key(service: u64, rank: u32) -> u64 {
    !service ^ u64::from(rank.min(MAX_RANK - 1))
}

fn rank(service: u64, key: u64) -> Option<u32> {
    u32::try_from(key ^ !service).ok().filter(|rank| *rank < MAX_RANK)
}

/// Requests of one rank and service that wait at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    pub gateway: SocketAddr,
    /// The most urgent rank comes first.
    pub rank: u32,
    pub count: u32,
}

impl Claim {
    /// Returns the claims of a gateway among the numbers of waiting requests that it reported.
    pub fn all(
        service: u64,
        gateway: SocketAddr,
        waiting: &[(u64, u32)],
    ) -> impl Iterator<Item = Claim> {
        let ranked = waiting.iter().filter_map(move |(key, count)| {
            Some(Claim { gateway, rank: rank(service, *key)?, count: *count })
        });
        ranked.filter(|claim| claim.count > 0)
    }
}

/// Parts of the gateways in fewer free slots than requests wait for.
#[derive(Clone, Debug, PartialEq)]
pub struct Claims {
    /// Slots of each gateway, in the order of their addresses, which is the same at all gateways.
    parts: Vec<(SocketAddr, f64)>,
    total: f64,
}

impl Claims {
    /// Divides free slots by rank, and among claims of the last rank that gets any in proportion to
    /// them. Returns `None` if there are enough for all.
    pub fn scarce(claims: impl Iterator<Item = Claim>, free: u32) -> Option<Claims> {
        let mut claims: Vec<Claim> = claims.collect();
        let waiting: u32 = claims.iter().map(|claim| claim.count).sum();
        if waiting <= free {
            return None;
        }
        claims.sort_unstable_by_key(|claim| (claim.rank, claim.gateway));
        let mut left = f64::from(free);
        let mut parts: Vec<(SocketAddr, f64)> = Vec::new();
        for same in claims.chunk_by(|a, b| a.rank == b.rank) {
            let count: u32 = same.iter().map(|claim| claim.count).sum();
            let granted = left.min(f64::from(count));
            left -= granted;
            let share = granted / f64::from(count);
            parts.extend(same.iter().map(|claim| (claim.gateway, share * f64::from(claim.count))));
        }
        parts.sort_unstable_by_key(|(gateway, _)| *gateway);
        let parts = parts.chunk_by(|a, b| a.0 == b.0);
        let parts = parts.map(|same| (same[0].0, same.iter().map(|(_, part)| part).sum()));
        Some(Claims { parts: parts.collect(), total: f64::from(free) })
    }

    /// Returns how many of the free slots of a backend server's run a gateway may use. Gateways with
    /// the same claims divide the slots without a rest, in proportion to their parts over many
    /// backend servers.
    pub fn slots(&self, gateway: SocketAddr, run: u64, free: u32) -> u32 {
        let Some(position) = self.parts.iter().position(|(other, _)| *other == gateway) else {
            return 0;
        };
        if free == 0 {
            return 0;
        }
        let before: f64 = self.parts[..position].iter().map(|(_, part)| part).sum();
        let after = before + self.parts[position].1;
        // The slots lie at equal distances on the line of all parts, from a start that differs
        // between backend servers.
        let seed = ranking::rank(run, &self.parts[0].0);
        let start = (seed >> 32) as f64 / (f64::from(u32::MAX) + 1.0);
        let slots_up_to = |part: f64| (part / self.total * f64::from(free) + start).floor();
        (slots_up_to(after) - slots_up_to(before)) as u32
    }
}
