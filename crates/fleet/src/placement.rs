//! Choice of agents for a request by weighted rendezvous hashing.
//!
//! The score of a host depends only on the affinity hash, the host's name and its relative
//! speed. So every process with the same view computes the same order, and the order of two
//! hosts does not depend on the other hosts.

use std::cmp::Ordering;

use xxhash_rust::xxh3;

use crate::view::{Host, Key, View};

#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    score: f64,
    same_zone: bool,
    host: &'a Host,
}

impl Candidate<'_> {
    fn compare(&self, other: &Candidate<'_>) -> Ordering {
        self.score
            .total_cmp(&other.score)
            .then(self.same_zone.cmp(&other.same_zone))
            .then_with(|| other.host.record.host.cmp(&self.host.record.host))
    }
}

/// Returns the agents of a pool that accept work, best candidate first. Of hosts with equal
/// scores, those in `zone` come first.
pub fn rank_agents(view: &View, pool: &[u8], affinity: u64, zone: &[u8]) -> Vec<Key> {
    let mut ranked: Vec<_> = candidates(view, pool, affinity, zone).collect();
    ranked.sort_unstable_by(|(_, a), (_, b)| b.compare(a));
    ranked.into_iter().map(|(key, _)| key).collect()
}

/// Returns the best candidate for which `is_excluded` returns false. Makes one pass over the pool
/// without an allocation, since most requests need only one or two candidates.
pub fn choose_agent(
    view: &View,
    pool: &[u8],
    affinity: u64,
    zone: &[u8],
    mut is_excluded: impl FnMut(Key) -> bool,
) -> Option<Key> {
    candidates(view, pool, affinity, zone)
        .filter(|&(key, _)| !is_excluded(key))
        .max_by(|(_, a), (_, b)| a.compare(b))
        .map(|(key, _)| key)
}

/// Returns the agents of a pool that accept work and are reserved for short prompts: `percent` of
/// all, rounded down, by a rendezvous order that depends only on the pool.
pub fn reserved_for_short(view: &View, pool: &[u8], percent: u32) -> Vec<Key> {
    let mut reserved = rank_agents(view, pool, xxh3::xxh3_64(pool), &[]);
    reserved.truncate(reserved.len() * percent.min(100) as usize / 100);
    reserved
}

fn candidates<'a>(
    view: &'a View,
    pool: &[u8],
    affinity: u64,
    zone: &[u8],
) -> impl Iterator<Item = (Key, Candidate<'a>)> {
    view.agents(pool).iter().filter_map(move |&key| {
        let host = view.get(key).filter(|host| !host.is_leaving())?;
        let same_zone = host.record.availability_zone == zone;
        Some((key, Candidate { score: score(host, affinity), same_zone, host }))
    })
}

/// Returns the weighted rendezvous score: `-weight / ln(u)` with `u` uniform in (0, 1) ranks each
/// host first for a share of requests in proportion to its weight.
fn score(host: &Host, affinity: u64) -> f64 {
    let mut input = [0; 16];
    input[..8].copy_from_slice(&affinity.to_le_bytes());
    input[8..].copy_from_slice(&host.name_hash.to_le_bytes());
    let hash = xxh3::xxh3_64(&input);
    // The upper 53 bits fit an f64 exactly; adding 0.5 excludes 0 and 1.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    let weight = f64::from(host.record.speed.max(1));
    -weight / uniform.ln()
}
