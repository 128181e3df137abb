//! Candidates of a request in weighted rendezvous order.
//!
//! The score of a host depends on the affinity hash, the host's name and its speed class
//! alone. So every process with the same view computes the same order, and the order of two
//! hosts does not depend on which others are listed.

use std::cmp::Ordering;

use xxhash_rust::xxh3;

use crate::view::{Host, Key, View};

#[derive(Clone, Copy, Debug)]
struct Rank<'a> {
    score: f64,
    near: bool,
    host: &'a Host,
}

impl Rank<'_> {
    fn compare(&self, other: &Rank<'_>) -> Ordering {
        self.score
            .total_cmp(&other.score)
            .then(self.near.cmp(&other.near))
            .then_with(|| other.host.record.host.cmp(&self.host.record.host))
    }
}

/// Returns the live agents of a pool, best candidate first. `zone` is preferred between
/// hosts of equal score only.
pub fn rank_agents(view: &View, pool: &[u8], affinity: u64, zone: &[u8]) -> Vec<Key> {
    let mut ranked: Vec<_> = ranks(view, pool, affinity, zone).collect();
    ranked.sort_unstable_by(|(_, a), (_, b)| b.compare(a));
    ranked.into_iter().map(|(key, _)| key).collect()
}

/// Returns the best candidate for which `skip` returns false. One pass over the pool and no
/// allocation, since most requests need one or two candidates.
pub fn choose_agent(
    view: &View,
    pool: &[u8],
    affinity: u64,
    zone: &[u8],
    mut skip: impl FnMut(Key) -> bool,
) -> Option<Key> {
    ranks(view, pool, affinity, zone)
        .filter(|&(key, _)| !skip(key))
        .max_by(|(_, a), (_, b)| a.compare(b))
        .map(|(key, _)| key)
}

/// Returns the live agents of a pool that are kept free of long prompts: `percent` of them,
/// rounded down, in a rendezvous order that depends on the pool alone.
pub fn reserved_for_short(view: &View, pool: &[u8], percent: u32) -> Vec<Key> {
    let mut kept = rank_agents(view, pool, xxh3::xxh3_64(pool), &[]);
    kept.truncate(kept.len() * percent.min(100) as usize / 100);
    kept
}

fn ranks<'a>(
    view: &'a View,
    pool: &[u8],
    affinity: u64,
    zone: &[u8],
) -> impl Iterator<Item = (Key, Rank<'a>)> {
    view.agents(pool).iter().filter_map(move |&key| {
        let host = view.get(key).filter(|host| !host.is_leaving())?;
        let near = host.record.availability_zone == zone;
        Some((key, Rank { score: score(host, affinity), near, host }))
    })
}

/// Weighted rendezvous score: `-weight / ln(u)` with `u` uniform in (0, 1) gives each host a
/// share of first places in proportion to its weight.
fn score(host: &Host, affinity: u64) -> f64 {
    let mut input = [0; 16];
    input[..8].copy_from_slice(&affinity.to_le_bytes());
    input[8..].copy_from_slice(&host.name_hash.to_le_bytes());
    let hash = xxh3::xxh3_64(&input);
    // The upper 53 bits fit an f64 exactly; the half keeps the value off 0 and 1.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    let weight = f64::from(host.record.speed.max(1));
    -weight / uniform.ln()
}
