//! Permits for requests to backend servers with a rate limit, as a gateway holds them.
//!
//! One gateway issues the permits of a server; see `issuer`. A permit is valid for a time that the
//! holder counts from the demand it was issued for, so a permit that was delayed on its way or in a
//! paused process is not used late.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use wire::time::Instant;

use crate::message;

/// Time for which a permit is valid after the demand was sent.
pub const LIFETIME: Duration = Duration::from_secs(1);

/// Permits held by one gateway.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Times at which the permits of a run expire, the earliest first.
    held: HashMap<u64, VecDeque<Instant>>,
    /// Demands that permits may be issued for: their tokens and the times at which they were sent.
    demands: VecDeque<(u64, Instant)>,
    /// Number of the last permits of each issuing process.
    last_numbers: HashMap<u64, u64>,
}

impl Permits {
    /// Records a demand that is sent now.
    pub fn record_demand(&mut self, now: Instant, token: u64) {
        self.expire(now);
        self.demands.push_back((token, now));
    }

    /// Adds permits, unless they expired on their way, repeat earlier ones or are for no demand of
    /// this process. Returns whether any was added.
    pub fn receive(&mut self, now: Instant, permits: &message::Permits) -> bool {
        self.receive_within(now, permits, LIFETIME)
    }

    /// Adds permits as `receive` does. They are valid for `lifetime` after the demand.
    pub fn receive_within(
        &mut self,
        now: Instant,
        permits: &message::Permits,
        lifetime: Duration,
    ) -> bool {
        self.expire(now);
        let last = self.last_numbers.entry(permits.process).or_default();
        if permits.number <= *last {
            return false;
        }
        *last = permits.number;
        let demand = self.demands.iter().find(|(token, _)| *token == permits.token);
        let Some((_, sent_at)) = demand.copied() else { return false };
        let expires_at = sent_at + lifetime;
        if now >= expires_at {
            return false;
        }
        for _ in 0..permits.count {
            self.put_back(permits.run, expires_at);
        }
        permits.count > 0
    }

    /// Returns the number of valid permits for a run.
    pub fn count(&self, now: Instant, run: u64) -> usize {
        let held = self.held.get(&run);
        held.map_or(0, |held| held.iter().filter(|expires_at| now < **expires_at).count())
    }

    /// Uses a permit and returns the time at which it would have expired.
    pub fn take(&mut self, now: Instant, run: u64) -> Option<Instant> {
        self.expire(now);
        self.held.get_mut(&run)?.pop_front()
    }

    /// Adds a permit, or returns one with which nothing was sent.
    pub fn put_back(&mut self, run: u64, expires_at: Instant) {
        let held = self.held.entry(run).or_default();
        let at = held.partition_point(|other| *other <= expires_at);
        held.insert(at, expires_at);
    }

    /// Drops the permits for a run.
    pub fn revoke(&mut self, run: u64) {
        self.held.remove(&run);
    }

    fn expire(&mut self, now: Instant) {
        self.held.retain(|_, held| {
            held.retain(|expires_at| now < *expires_at);
            !held.is_empty()
        });
        self.demands.retain(|(_, sent_at)| now.since(*sent_at) < LIFETIME);
    }
}
