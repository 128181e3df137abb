//! Other gateways, as far as this one hears from them.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use wire::time::Instant;

use crate::message;

/// Age after which a peer's state is no longer counted.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(1500);
/// Silence after which a peer no longer counts as one that may serve callers. A process that
/// was killed is back within some seconds.
const SERVING_TIMEOUT: Duration = Duration::from_secs(10);
/// Silence after which an address that was learned from others is dropped.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Peers named in one message.
const MAX_ADVERTISED: usize = 32;
/// Time between messages to one peer in a small fleet.
const MIN_PERIOD: Duration = Duration::from_millis(100);
/// Messages that one gateway sends a second, which bounds the cost in a large fleet.
const MAX_MESSAGES_PER_S: f64 = 120.0;

#[derive(Clone, Debug)]
struct Peer {
    last_seen: Option<Instant>,
    added_at: Instant,
    message: message::Message,
}

/// Peers by address.
#[derive(Clone, Debug)]
pub struct Peers {
    own_address: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    peers: HashMap<SocketAddr, Peer>,
}

impl Peers {
    /// Returns the seeds as peers that were not heard yet.
    pub fn new(now: Instant, own_address: Option<SocketAddr>, seeds: &[SocketAddr]) -> Peers {
        let mut peers = Peers { own_address, seeds: seeds.to_vec(), peers: HashMap::new() };
        for seed in seeds {
            peers.add(now, *seed);
        }
        peers
    }

    fn add(&mut self, now: Instant, address: SocketAddr) {
        if Some(address) == self.own_address {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            last_seen: None,
            added_at: now,
            message: message::Message::default(),
        });
    }

    /// Takes a peer's message and returns whether its process is new. A message that was
    /// overtaken by a later one is ignored and returns an error.
    ///
    /// # Errors
    ///
    /// Returns an error for a message without a sender or one that was overtaken.
    pub fn receive(
        &mut self,
        now: Instant,
        message: &message::Message,
    ) -> Result<Sender, Discarded> {
        let from = message.from.ok_or(Discarded)?;
        if Some(from) == self.own_address {
            return Err(Discarded);
        }
        for address in message.peers.iter().take(MAX_ADVERTISED) {
            self.add(now, *address);
        }
        self.add(now, from);
        let peer = self.peers.get_mut(&from).ok_or(Discarded)?;
        let is_known = peer.last_seen.is_some();
        let is_same = peer.message.process == message.process;
        if is_known && is_same && peer.message.sequence >= message.sequence {
            return Err(Discarded);
        }
        let sender = match (is_known, is_same) {
            (true, true) => Sender::Known,
            (true, false) => Sender::Replaced(peer.message.process),
            (false, _) => Sender::New,
        };
        peer.last_seen = Some(now);
        peer.message = message.clone();
        Ok(sender)
    }

    /// Drops peers that fell silent and returns their processes.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let seeds = &self.seeds;
        let mut removed = Vec::new();
        self.peers.retain(|address, peer| {
            let timed_out = now.since(peer.last_seen.unwrap_or(peer.added_at)) > REMOVAL_TIMEOUT;
            let is_kept = !timed_out || seeds.contains(address);
            if !is_kept && peer.last_seen.is_some() {
                removed.push(peer.message.process);
            }
            is_kept
        });
        removed
    }

    /// Returns the state of peers that is recent, with its age.
    pub fn recent_messages(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Duration, &message::Message)> {
        self.peers.values().filter_map(move |peer| {
            let age = now.since(peer.last_seen?);
            (age < MAX_MESSAGE_AGE).then_some((age, &peer.message))
        })
    }

    /// Returns how many gateways may serve callers, this one included.
    pub fn serving_count(&self, now: Instant) -> usize {
        let serving = |peer: &&Peer| match peer.last_seen {
            Some(at) => now.since(at) < SERVING_TIMEOUT && !peer.message.stopping,
            // A seed that never answered may run; one that was started with this process and
            // is silent for long does not.
            None => now.since(peer.added_at) < SERVING_TIMEOUT,
        };
        1 + self.peers.values().filter(serving).count()
    }

    /// Returns how many gateways' usage is known, this one included.
    pub fn reporting_count(&self, now: Instant) -> usize {
        1 + self.recent_messages(now).filter(|(_, message)| !message.stopping).count()
    }

    /// Returns the addresses to send to and the time until the next message.
    pub fn targets(&self) -> (Vec<SocketAddr>, Duration) {
        let addresses: Vec<_> = self.peers.keys().copied().collect();
        let period =
            MIN_PERIOD.max(Duration::from_secs_f64(addresses.len() as f64 / MAX_MESSAGES_PER_S));
        (addresses, period)
    }

    /// Returns the addresses of peers that were heard, for others to learn.
    pub fn advertised(&self, now: Instant) -> Vec<SocketAddr> {
        let last_seen =
            |peer: &Peer| peer.last_seen.is_some_and(|at| now.since(at) < MAX_MESSAGE_AGE);
        let recent = self.peers.iter().filter(|(_, peer)| last_seen(peer)).map(|(at, _)| *at);
        recent.take(MAX_ADVERTISED).collect()
    }
}

/// What is known of the process that sent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    Known,
    New,
    /// It runs in place of a process that was heard before.
    Replaced(u64),
}

/// A message that says nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discarded;
