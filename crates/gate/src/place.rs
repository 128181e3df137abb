//! Choice of a replica for a call.

use bytes::Bytes;
use wire::time::Instant;

use crate::{
    queue::Entry,
    roster::{self, Replica, Roster},
};

/// Cost of another zone, in ms: its latency is small, but its bytes are paid for.
const OTHER_ZONE_MS: f64 = 2.0;
/// Cost of one call in progress at a replica of a plain service, in ms.
const RUNNING_MS: f64 = 10.0;

/// Returns the replica that is expected to answer first, if one has room.
pub fn choose(roster: &Roster, now: Instant, entry: &Entry, zone: &Bytes) -> Option<roster::Key> {
    let mut best = None;
    for &key in roster.of(&entry.service) {
        let Some(replica) = roster.get(key) else { continue };
        if !has_room(replica, now) || entry.tried.contains(&key) {
            continue;
        }
        let cost = cost(replica, entry, zone);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key)
}

fn has_room(replica: &Replica, now: Instant) -> bool {
    replica.load.is_usable(now) && replica.load.total() < replica.record.slots
}

fn cost(replica: &Replica, entry: &Entry, zone: &Bytes) -> f64 {
    let away = if replica.record.zone == *zone { 0.0 } else { OTHER_ZONE_MS };
    let load = &replica.load;
    match entry.call.tokens {
        Some(_) => {
            let first = load.first_ms(entry.call.prompt_tokens());
            away + first + load.output_ms(entry.call.output_tokens())
        }
        None => away + RUNNING_MS * f64::from(load.total()),
    }
}
