//! Origins of streams in progress, so that callers can take them up at any gateway.
//!
//! A gateway records the streams that it begins, and tells a few other gateways, which are chosen by
//! the stream. It may be gone when the caller comes back.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use wire::time::Instant;

use crate::{message, quota, ranking::Ranking};

/// Time for which the origin of a stream is kept. Callers give up a stream at their deadline.
pub const RETENTION: Duration = Duration::from_secs(60);
/// Most streams kept; the oldest are replaced.
const MAX_STREAMS: usize = 65_536;
/// Number of other gateways that keep the origin of a stream.
const KEEPERS: usize = 2;
/// Most gateways that are asked for an origin. It is larger than `KEEPERS`, since the gateways may
/// not agree on who can be reached.
const MAX_ASKED: usize = 8;
/// Time for which new streams are collected before the others are told.
const SEND_DELAY: Duration = Duration::from_millis(50);
/// Most streams in one datagram.
const MAX_REPORTED: usize = 48;

#[derive(Clone, Copy, Debug)]
struct Stream {
    origin: u64,
    begun_at: Instant,
}

/// Origins by the attempt that began the stream.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    streams: HashMap<u64, Stream>,
    /// In the order in which they were added.
    attempts: VecDeque<u64>,
    unsent: Vec<u64>,
    /// Time at which the unsent streams are sent.
    next_send: Option<Instant>,
    /// Origins that a service had, with the time at which the last backend server left.
    departed: HashMap<Bytes, HashMap<u64, Instant>>,
}

/// Returns the key of a caller's attempt.
pub fn attempt_key(id: &[u8]) -> u64 {
    quota::hash(id)
}

impl Streams {
    /// Records a stream that begins here.
    pub fn record(&mut self, now: Instant, attempt: u64, origin: u64) {
        if self.insert(now, attempt, Stream { origin, begun_at: now }) {
            self.unsent.push(attempt);
            self.next_send.get_or_insert(now + SEND_DELAY);
        }
    }

    /// Replaces the origin of the streams that have `from`.
    pub fn replace_origin(&mut self, from: u64, to: u64) {
        for stream in self.streams.values_mut().filter(|stream| stream.origin == from) {
            stream.origin = to;
        }
    }

    /// Adds streams that began elsewhere.
    pub fn merge(&mut self, now: Instant, reports: &[message::Stream]) {
        for message::Stream { attempt, origin, age } in reports {
            let begun_at = Instant(now.0.saturating_sub(age.as_micros() as u64));
            self.insert(now, *attempt, Stream { origin: *origin, begun_at });
        }
    }

    fn insert(&mut self, now: Instant, attempt: u64, stream: Stream) -> bool {
        while let Some(oldest) = self.attempts.front() {
            let is_expired = self.get(now, *oldest).is_none();
            if !is_expired && self.streams.len() < MAX_STREAMS {
                break;
            }
            self.streams.remove(oldest);
            self.attempts.pop_front();
        }
        if now.since(stream.begun_at) >= RETENTION || self.streams.contains_key(&attempt) {
            return false;
        }
        self.streams.insert(attempt, stream);
        self.attempts.push_back(attempt);
        true
    }

    /// Returns the origin of a stream, if it is known.
    pub fn get(&self, now: Instant, attempt: u64) -> Option<u64> {
        let stream = self.streams.get(&attempt)?;
        (now.since(stream.begun_at) < RETENTION).then_some(stream.origin)
    }

    /// Returns when new streams have to be sent.
    pub fn next_send(&self) -> Option<Instant> {
        self.next_send
    }

    /// Returns the new streams that are due, by the gateway that keeps them.
    pub fn take_unsent(
        &mut self,
        now: Instant,
        reachable: impl Iterator<Item = SocketAddr>,
    ) -> Vec<(SocketAddr, Vec<message::Stream>)> {
        if self.next_send.take_if(|at| now >= *at).is_none() {
            return Vec::new();
        }
        let ranking = Ranking::new(reachable);
        let mut by_keeper: HashMap<SocketAddr, Vec<u64>> = HashMap::new();
        for attempt in std::mem::take(&mut self.unsent) {
            for keeper in ranking.first(attempt, KEEPERS) {
                by_keeper.entry(keeper).or_default().push(attempt);
            }
        }
        let mut sent: Vec<_> = by_keeper
            .into_iter()
            .flat_map(|(to, attempts)| {
                self.reports(now, &attempts).into_iter().map(move |reports| (to, reports))
            })
            .collect();
        sent.sort_by_key(|(to, _)| *to);
        sent
    }

    /// Returns the streams that a gateway keeps which may not know them.
    pub fn kept_by(
        &self,
        now: Instant,
        keeper: SocketAddr,
        reachable: impl Iterator<Item = SocketAddr>,
    ) -> Vec<Vec<message::Stream>> {
        let ranking = Ranking::new(reachable);
        let is_kept = |attempt: &u64| ranking.has_among_first(*attempt, &keeper, KEEPERS);
        let kept: Vec<u64> = self.attempts.iter().copied().filter(is_kept).collect();
        self.reports(now, &kept)
    }

    /// Returns the gateways to ask for the origin of a stream.
    pub fn gateways_to_ask(
        attempt: u64,
        reachable: impl Iterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        Ranking::new(reachable).first(attempt, MAX_ASKED)
    }

    /// Returns the streams that are known, in parts that fit in a datagram.
    pub fn reports(&self, now: Instant, attempts: &[u64]) -> Vec<Vec<message::Stream>> {
        let known = attempts.iter().filter_map(|attempt| {
            let origin = self.get(now, *attempt)?;
            let age = now.since(self.streams.get(attempt)?.begun_at);
            Some(message::Stream { attempt: *attempt, origin, age })
        });
        let known: Vec<message::Stream> = known.collect();
        known.chunks(MAX_REPORTED).map(<[_]>::to_vec).collect()
    }

    /// Records that a backend server with this origin left.
    pub fn record_departure(&mut self, now: Instant, service: Bytes, origin: u64) {
        let departed = self.departed.entry(service).or_default();
        departed.retain(|_, at| now.since(*at) < RETENTION);
        departed.insert(origin, now);
    }

    /// Returns the origins of a service at which streams in progress may have begun, though no
    /// backend server with them is left.
    pub fn departed(&self, now: Instant, service: &[u8]) -> impl Iterator<Item = u64> {
        let departed = self.departed.get(service).into_iter().flatten();
        departed.filter(move |(_, at)| now.since(**at) < RETENTION).map(|(origin, _)| *origin)
    }
}
