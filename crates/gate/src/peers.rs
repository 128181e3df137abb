//! Other gateways and the last state that each of them reported.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use wire::time::Instant;

use crate::message;

/// Age up to which a peer's last message is used.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(1500);
/// Time without a message after which a peer no longer counts as serving callers. A peer that can't
/// be reached may serve them all the while, with its part of the shared limits.
const SERVING_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which an address without a message so far counts as serving callers. A process that
/// runs would have sent one.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a message after which an address is removed, unless it is a seed.
const REMOVAL_TIMEOUT: Duration = SERVING_TIMEOUT;
/// Most peer addresses in one message.
const MAX_ADVERTISED: usize = 32;
/// Time between messages to one peer in a deployment with few gateways.
const MIN_SEND_PERIOD: Duration = Duration::from_millis(100);
/// Most messages that one gateway sends per second, which limits the cost with many gateways.
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
    /// Returns the seeds as peers without a message so far.
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

    /// Records a peer's message and returns whether its process is new.
    ///
    /// # Errors
    ///
    /// Returns an error for a message without a sender, from this gateway's own address, or out of
    /// order.
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
        let was_seen = peer.last_seen.is_some();
        let was_silent = peer.last_seen.is_some_and(|at| now.since(at) >= MAX_MESSAGE_AGE);
        let is_same_process = peer.message.process == message.process;
        if was_seen && is_same_process && peer.message.sequence >= message.sequence {
            return Err(Discarded);
        }
        let sender = match (was_seen, is_same_process) {
            (true, true) if was_silent => Sender::Returned,
            (true, true) => Sender::Unchanged,
            (true, false) => Sender::Replaced(peer.message.process),
            (false, _) => Sender::New,
        };
        peer.last_seen = Some(now);
        peer.message = message.clone();
        Ok(sender)
    }

    /// Removes peers that timed out and returns their process numbers.
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

    /// Returns the last messages of peers that are recent enough, each with its age.
    pub fn recent_messages(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Duration, &message::Message)> {
        self.peers.values().filter_map(move |peer| {
            let age = now.since(peer.last_seen?);
            (age < MAX_MESSAGE_AGE).then_some((age, &peer.message))
        })
    }

    /// Returns the number of gateways that may serve callers, this one included.
    pub fn serving_count(&self, now: Instant) -> usize {
        let serving = |peer: &&Peer| match peer.last_seen {
            Some(at) => now.since(at) < SERVING_TIMEOUT && !peer.message.stopping,
            None => now.since(peer.added_at) < FIRST_MESSAGE_TIMEOUT,
        };
        1 + self.peers.values().filter(serving).count()
    }

    /// Returns the number of gateways whose usage is recent, this one included.
    pub fn reporting_count(&self, now: Instant) -> usize {
        1 + self.recent_messages(now).filter(|(_, message)| !message.stopping).count()
    }

    /// Returns the addresses to send the state to and the time until the next round.
    pub fn targets(&self) -> (Vec<SocketAddr>, Duration) {
        let addresses: Vec<_> = self.peers.keys().copied().collect();
        let period = MIN_SEND_PERIOD
            .max(Duration::from_secs_f64(addresses.len() as f64 / MAX_MESSAGES_PER_S));
        (addresses, period)
    }

    /// Returns the addresses of recently seen peers, which are sent to other gateways.
    pub fn advertised(&self, now: Instant) -> Vec<SocketAddr> {
        let is_recent =
            |peer: &Peer| peer.last_seen.is_some_and(|at| now.since(at) < MAX_MESSAGE_AGE);
        let recent = self.peers.iter().filter(|(_, peer)| is_recent(peer)).map(|(at, _)| *at);
        recent.take(MAX_ADVERTISED).collect()
    }
}

/// Whether the process that sent a message is new or was silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    Unchanged,
    /// Sent no message for some time and may have missed those of this gateway.
    Returned,
    New,
    /// Has the address of an earlier process, whose number this is.
    Replaced(u64),
}

/// The message was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discarded;
