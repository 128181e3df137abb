//! Other gateways, as far as this one hears from them.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use wire::time::Instant;

use crate::message;

/// Age after which a peer's state is no longer counted.
const FRESH: Duration = Duration::from_millis(1500);
/// Silence after which a peer no longer counts as one that may serve callers. A process that
/// was killed is back within some seconds.
const GONE: Duration = Duration::from_secs(10);
/// Silence after which an address that was learned from others is dropped.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// Peers named in one message.
const MAX_NAMED: usize = 32;
/// Time between messages to one peer in a small fleet.
const PERIOD: Duration = Duration::from_millis(100);
/// Messages that one gateway sends a second, which bounds the cost in a large fleet.
const MAX_RATE: f64 = 120.0;

#[derive(Clone, Debug)]
struct Peer {
    heard: Option<Instant>,
    learned: Instant,
    message: message::Message,
}

/// Peers by address.
#[derive(Clone, Debug)]
pub struct Peers {
    own: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    peers: HashMap<SocketAddr, Peer>,
}

impl Peers {
    /// Returns the seeds as peers that were not heard yet.
    pub fn new(now: Instant, own: Option<SocketAddr>, seeds: &[SocketAddr]) -> Peers {
        let mut peers = Peers { own, seeds: seeds.to_vec(), peers: HashMap::new() };
        for seed in seeds {
            peers.learn(now, *seed);
        }
        peers
    }

    fn learn(&mut self, now: Instant, address: SocketAddr) {
        if Some(address) == self.own {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            heard: None,
            learned: now,
            message: message::Message::default(),
        });
    }

    /// Takes a peer's message and returns whether its process is new. A message that was
    /// overtaken by a later one is ignored and returns an error.
    ///
    /// # Errors
    ///
    /// Returns an error for a message without a sender or one that was overtaken.
    pub fn hear(&mut self, now: Instant, message: &message::Message) -> Result<Sender, Overtaken> {
        let from = message.from.ok_or(Overtaken)?;
        if Some(from) == self.own {
            return Err(Overtaken);
        }
        for address in message.peers.iter().take(MAX_NAMED) {
            self.learn(now, *address);
        }
        self.learn(now, from);
        let peer = self.peers.get_mut(&from).ok_or(Overtaken)?;
        let known = peer.heard.is_some();
        let same = peer.message.process == message.process;
        if known && same && peer.message.sequence >= message.sequence {
            return Err(Overtaken);
        }
        let sender = match (known, same) {
            (true, true) => Sender::Known,
            (true, false) => Sender::Replaced(peer.message.process),
            (false, _) => Sender::New,
        };
        peer.heard = Some(now);
        peer.message = message.clone();
        Ok(sender)
    }

    /// Drops peers that fell silent and returns their processes.
    pub fn expire(&mut self, now: Instant) -> Vec<u64> {
        let seeds = &self.seeds;
        let mut gone = Vec::new();
        self.peers.retain(|address, peer| {
            let silent = now.since(peer.heard.unwrap_or(peer.learned)) > FORGOTTEN;
            let keep = !silent || seeds.contains(address);
            if !keep && peer.heard.is_some() {
                gone.push(peer.message.process);
            }
            keep
        });
        gone
    }

    /// Returns the state of peers that is recent, with its age.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = (Duration, &message::Message)> {
        self.peers.values().filter_map(move |peer| {
            let age = now.since(peer.heard?);
            (age < FRESH).then_some((age, &peer.message))
        })
    }

    /// Returns how many gateways may serve callers, this one included.
    pub fn serving_count(&self, now: Instant) -> usize {
        let serving = |peer: &&Peer| match peer.heard {
            Some(at) => now.since(at) < GONE && !peer.message.stopping,
            // A seed that never answered may run; one that was started with this process and
            // is silent for long does not.
            None => now.since(peer.learned) < GONE,
        };
        1 + self.peers.values().filter(serving).count()
    }

    /// Returns how many gateways' usage is known, this one included.
    pub fn reporting_count(&self, now: Instant) -> usize {
        1 + self.fresh(now).filter(|(_, message)| !message.stopping).count()
    }

    /// Returns the addresses to send to and the time until the next message.
    pub fn targets(&self) -> (Vec<SocketAddr>, Duration) {
        let addresses: Vec<_> = self.peers.keys().copied().collect();
        let period = PERIOD.max(Duration::from_secs_f64(addresses.len() as f64 / MAX_RATE));
        (addresses, period)
    }

    /// Returns the addresses of peers that were heard, for others to learn.
    pub fn named(&self, now: Instant) -> Vec<SocketAddr> {
        let heard = |peer: &Peer| peer.heard.is_some_and(|at| now.since(at) < FRESH);
        let named = self.peers.iter().filter(|(_, peer)| heard(peer)).map(|(at, _)| *at);
        named.take(MAX_NAMED).collect()
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
pub struct Overtaken;
