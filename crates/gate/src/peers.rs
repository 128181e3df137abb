//! Other gateways and the last state that each of them reported.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use wire::time::Instant;

use crate::{message, quota::GatewayCounts};

/// Age up to which a peer's last message is used in a small deployment.
const MIN_MESSAGE_AGE: Duration = Duration::from_millis(1500);
/// The same in a large one, as a number of successive messages.
const MAX_MISSED_MESSAGES: u32 = 3;
/// Reports of usage that may be missed until a peer's usage counts as unknown, if that is sooner.
const MAX_MISSED_REPORTS: u32 = 2;
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
/// Time within which a message is received and handled, as a rule.
const MAX_LATENCY: Duration = Duration::from_millis(100);
/// Most messages that one gateway sends per second, which limits the cost with many gateways.
const MAX_MESSAGES_PER_S: f64 = 120.0;
/// Number of other gateways up to which all of them are near.
const MAX_NEAR_WITHOUT_ZONES: usize = 12;
/// Shortest time between load messages to nearby gateways.
const MIN_LOADS_PERIOD: Duration = Duration::from_millis(25);
/// Most load messages that one gateway sends per second to nearby ones.
const MAX_LOADS_PER_S: f64 = 400.0;

#[derive(Clone, Debug)]
struct Peer {
    last_seen: Option<Instant>,
    added_at: Instant,
    /// A silence that has ended, until the peer's usage of that time was received.
    silence: Option<Silence>,
    message: message::Message,
    /// Hash of the name of its availability zone, once received.
    zone: Option<u64>,
    /// Sequence number of the message that the load is from, and when it was received.
    load_sequence: u64,
    loads_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Instant,
    /// Messages received after it.
    messages: u64,
}

impl Peer {
    fn is_serving(&self, now: Instant) -> bool {
        match self.last_seen {
            Some(at) => now.since(at) < SERVING_TIMEOUT && !self.message.stopping,
            None => now.since(self.added_at) < FIRST_MESSAGE_TIMEOUT,
        }
    }

    fn is_reporting(&self, now: Instant, max_age: Duration) -> bool {
        let is_recent = self.last_seen.is_some_and(|at| now.since(at) < max_age);
        is_recent && self.silence.is_none() && !self.message.stopping
    }

    /// Returns the time up to which the peer's usage is known.
    fn reported_until(&self) -> Option<Instant> {
        self.silence.map(|silence| silence.since).or(self.last_seen)
    }
}

/// Load that a peer last reported.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    pub from: SocketAddr,
    pub age: Duration,
    /// Whether the peer reports each change of its load.
    pub is_near: bool,
    pub loads: &'a [message::Load],
    /// Number of requests that wait at the peer, by the hash of the service's name.
    pub waiting: &'a [(u64, u32)],
}

/// Peers by address.
#[derive(Clone, Debug)]
pub struct Peers {
    own_address: Option<SocketAddr>,
    /// Hash of the name of this gateway's availability zone.
    own_zone: u64,
    seeds: Vec<SocketAddr>,
    peers: HashMap<SocketAddr, Peer>,
}

impl Peers {
    /// Returns the seeds as peers without a message so far.
    pub fn new(
        now: Instant,
        own_address: Option<SocketAddr>,
        own_zone: u64,
        seeds: &[SocketAddr],
    ) -> Peers {
        let mut peers =
            Peers { own_address, own_zone, seeds: seeds.to_vec(), peers: HashMap::new() };
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
            silence: None,
            message: message::Message::default(),
            zone: None,
            load_sequence: 0,
            loads_at: now,
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
        let max_age = self.max_age();
        let peer = self.peers.get_mut(&from).ok_or(Discarded)?;
        let was_seen = peer.last_seen.is_some();
        let was_silent = peer.last_seen.is_some_and(|at| now.since(at) >= max_age);
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
        peer.silence = match (sender, peer.silence, peer.last_seen) {
            (Sender::Returned, None, Some(since)) => Some(Silence { since, messages: 1 }),
            (Sender::Returned | Sender::Unchanged, Some(silence), _) => {
                let messages = silence.messages + 1;
                (messages <= message::USAGE_INTERVAL).then_some(Silence { messages, ..silence })
            }
            _ => None,
        };
        peer.last_seen = Some(now);
        let mut message = message.clone();
        if was_seen && is_same_process && peer.load_sequence > message.sequence {
            // A load message overtook this one.
            message.loads = std::mem::take(&mut peer.message.loads);
            message.waiting = std::mem::take(&mut peer.message.waiting);
        } else {
            peer.load_sequence = message.sequence;
            peer.loads_at = now;
        }
        peer.message = message;
        Ok(sender)
    }

    /// Records the load of a nearby peer.
    ///
    /// # Errors
    ///
    /// Returns an error for a message out of order, or of a process that has not sent its state yet.
    pub fn receive_loads(&mut self, now: Instant, loads: message::Loads) -> Result<(), Discarded> {
        let peer = self.peers.get_mut(&loads.from).ok_or(Discarded)?;
        let is_known = peer.last_seen.is_some() && peer.message.process == loads.process;
        if !is_known || peer.load_sequence >= loads.sequence {
            return Err(Discarded);
        }
        peer.zone = Some(loads.availability_zone);
        peer.load_sequence = loads.sequence;
        peer.loads_at = now;
        peer.message.loads = loads.loads;
        peer.message.waiting = loads.waiting;
        Ok(())
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

    /// Returns the loads that peers reported recently enough.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = Report<'_>> {
        let (has_far, max_age) = (self.has_far(now), self.max_age());
        self.peers.iter().filter_map(move |(from, peer)| {
            let age = now.since(peer.last_seen.map(|_| peer.loads_at)?);
            (age < max_age).then_some(Report {
                from: *from,
                age,
                is_near: !has_far || peer.zone == Some(self.own_zone),
                loads: &peer.message.loads,
                waiting: &peer.message.waiting,
            })
        })
    }

    /// Returns whether some gateways don't report each change of their load to this one. In a small
    /// deployment all do.
    pub fn has_far(&self, now: Instant) -> bool {
        self.reachable(now).count() > MAX_NEAR_WITHOUT_ZONES
    }

    /// Returns the addresses of the peers that each change of the load is sent to, and the shortest
    /// time between two such messages.
    pub fn near(&self, now: Instant) -> (Vec<SocketAddr>, Duration) {
        let has_far = self.has_far(now);
        let is_near = |address: &SocketAddr| {
            let peer = self.peers.get(address);
            !has_far || peer.is_some_and(|peer| peer.zone == Some(self.own_zone))
        };
        let near: Vec<SocketAddr> = self.reachable(now).filter(is_near).collect();
        let period = Duration::from_secs_f64(near.len() as f64 / MAX_LOADS_PER_S);
        (near, period.max(MIN_LOADS_PERIOD))
    }

    /// Returns the number of gateways that may serve callers, this one included.
    pub fn serving_count(&self, now: Instant) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_serving(now)).count()
    }

    /// Returns the addresses of the other gateways whose messages are received and that don't stop.
    pub fn reachable(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let max_age = self.max_age();
        let peers = self.peers.iter().filter(move |(_, peer)| {
            let is_recent = peer.last_seen.is_some_and(|at| now.since(at) < max_age);
            is_recent && !peer.message.stopping
        });
        peers.map(|(address, _)| *address)
    }

    /// Returns which gateways may serve callers and which of them report their usage.
    pub fn counts(&self, now: Instant) -> GatewayCounts {
        let report_delay = self.send_period() * message::USAGE_INTERVAL as u32 + MAX_LATENCY;
        let max_age = self.max_age().min(report_delay * MAX_MISSED_REPORTS);
        let serving = || self.peers.values().filter(|peer| peer.is_serving(now));
        let silent = serving().filter(|peer| !peer.is_reporting(now, max_age));
        let silent = silent.map(Peer::reported_until);
        let starting = serving()
            .filter(|peer| peer.is_reporting(now, max_age) && peer.message.age < report_delay);
        // A peer that never reported may not have received any report either.
        let reported_until = silent.clone().min().flatten();
        GatewayCounts {
            serving: self.serving_count(now),
            silent: silent.count(),
            reported_until,
            starting: starting.count(),
            report_delay,
            max_report_age: max_age + report_delay,
        }
    }

    /// Returns the addresses to send the state to and the time until the next round.
    pub fn targets(&self) -> (Vec<SocketAddr>, Duration) {
        (self.peers.keys().copied().collect(), self.send_period())
    }

    /// Returns the age up to which a peer's last message is used.
    fn max_age(&self) -> Duration {
        MIN_MESSAGE_AGE.max(self.send_period() * MAX_MISSED_MESSAGES)
    }

    fn send_period(&self) -> Duration {
        MIN_SEND_PERIOD.max(Duration::from_secs_f64(self.peers.len() as f64 / MAX_MESSAGES_PER_S))
    }

    /// Returns the addresses of recently seen peers, which are sent to other gateways.
    pub fn advertised(&self, now: Instant) -> Vec<SocketAddr> {
        let max_age = self.max_age();
        let is_recent = |peer: &Peer| peer.last_seen.is_some_and(|at| now.since(at) < max_age);
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
