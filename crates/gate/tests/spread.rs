//! Spread of a large change among hundreds of gateways on hosts with narrow links.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::TestGateway;
use gate::{
    Action, Event,
    message::{Announcement, Datagram, Message, Query, StoreEntry, View},
    source::{Decision, MAX_ANNOUNCEMENTS, MAX_DATAGRAM_BYTES, MAX_FETCHED_BYTES, Source},
    uplink::Uplink,
};
use wire::time::Instant;

/// Gateways of the largest deployment, and those of them that read the store.
const GATEWAYS: usize = 610;
const READERS: usize = 4;
/// Size of a change as it passes between gateways: 1,400 routes more, of 4,250.
const CHANGE_BYTES: usize = 25_000;
/// Time from the acceptance of a change to its use everywhere, less 1.2 s for the read of a megabyte
/// from the store over a link of 10 Mbit/s.
const BOUND: Duration = Duration::from_millis(1_800);
const STEP: Duration = Duration::from_millis(10);
const LINK_MBPS: f64 = 10.0;
/// Time between two messages from one gateway to another, at 120 messages a second.
const STATE_PERIOD: Duration = Duration::from_millis(5_080);
/// Time between two reads of the store at one gateway.
const READ_PERIOD: Duration = Duration::from_millis(1_000);
const BEFORE: u64 = 10;
const AFTER: u64 = 11;

struct Gateway {
    source: Source,
    confirmed_at: Instant,
    /// Reply in progress: the gateway that sends it, the query and the time at which it arrives.
    fetch: Option<(usize, Query, Instant)>,
    uplink: Uplink,
}

struct Fleet {
    now: Instant,
    gateways: Vec<Gateway>,
    rng: fastrand::Rng,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 1).into()
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("{address}") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn is_due(now: Instant, phase: Duration, period: Duration) -> bool {
    (now.0 + phase.as_micros() as u64) % (period.as_micros() as u64) < STEP.as_micros() as u64
}

impl Fleet {
    /// Returns gateways that have read the state before the change.
    fn new(seed: u64) -> Fleet {
        let now = Instant(60_000_000);
        let gateway = |_| {
            let mut source = Source::default();
            source.record_read(now, None, BEFORE, Vec::new());
            Gateway { source, confirmed_at: now, fetch: None, uplink: Uplink::new(LINK_MBPS) }
        };
        let gateways = (0..GATEWAYS).map(gateway).collect();
        Fleet { now, gateways, rng: fastrand::Rng::with_seed(seed) }
    }

    fn age(&self, gateway: usize) -> Duration {
        self.now.since(self.gateways[gateway].confirmed_at)
    }

    /// Sends what a gateway has confirmed to another one.
    fn announce(&mut self, from: usize, to: usize) {
        let view = self.gateways[from].source.view(self.now, Some(self.age(from)));
        let to = &mut self.gateways[to].source;
        to.record_view(self.now, address(from), from as u64, view);
    }

    fn announce_to_some(&mut self, from: usize) {
        for _ in 0..MAX_ANNOUNCEMENTS {
            let to = self.rng.usize(0..GATEWAYS);
            if to != from {
                self.announce(from, to);
            }
        }
    }

    /// The gateways that read the store read the change.
    fn publish(&mut self) {
        let value = vec![b'x'; CHANGE_BYTES].into();
        let entry = StoreEntry { key: "c".into(), value, deleted: false };
        for reader in 0..READERS {
            let gateway = &mut self.gateways[reader];
            gateway.source.record_read(self.now, Some(BEFORE), AFTER, vec![entry.clone()]);
            gateway.confirmed_at = self.now;
            self.announce_to_some(reader);
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for reader in 0..READERS {
            if is_due(self.now, READ_PERIOD / READERS as u32 * reader as u32, READ_PERIOD) {
                let gateway = &mut self.gateways[reader];
                let revision = gateway.source.revision().expect("a revision");
                gateway.source.record_read(self.now, Some(revision), revision, Vec::new());
                gateway.confirmed_at = self.now;
            }
        }
        for from in 0..GATEWAYS {
            if is_due(self.now, STATE_PERIOD / GATEWAYS as u32 * from as u32, STATE_PERIOD) {
                for to in (0..GATEWAYS).filter(|to| *to != from) {
                    self.announce(from, to);
                }
            }
        }
        for gateway in READERS..GATEWAYS {
            self.query(gateway);
        }
        for gateway in READERS..GATEWAYS {
            self.end_fetch(gateway);
        }
    }

    fn query(&mut self, from: usize) {
        let (now, age) = (self.now, self.age(from));
        let gateway = &mut self.gateways[from].source;
        let query = gateway.next_query(now, Some(address(from)), Some(age), &mut self.rng);
        let Some((to, query)) = query else { return };
        self.reply(from, index(to), query, MAX_DATAGRAM_BYTES);
    }

    fn reply(&mut self, from: usize, to: usize, query: Query, max_bytes: usize) {
        let age = self.age(to);
        let reply = self.gateways[to].source.reply(&query, Some(age), max_bytes).expect("a reply");
        let gateway = &mut self.gateways[from];
        match gateway.source.process_reply(self.now, Some(address(from)), reply) {
            Decision::Install(update) => {
                gateway.confirmed_at = gateway.confirmed_at.max(update.at);
                let is_newer = update.to > update.from;
                gateway.source.record_update(update.from, update.to, update.entries);
                if is_newer {
                    self.announce_to_some(from);
                }
            }
            Decision::Fetch(_, query) => {
                match self.gateways[to].uplink.begin(self.now, CHANGE_BYTES) {
                    Some(arrives_at) => {
                        self.gateways[from].fetch = Some((to, query, arrives_at));
                    }
                    None => {
                        let gateway = &mut self.gateways[from];
                        gateway.source.record_fetch_failure(self.now, query.token);
                    }
                }
            }
            Decision::Ignore => {}
        }
    }

    /// Ends the fetch of a gateway whose reply has arrived.
    fn end_fetch(&mut self, to: usize) {
        let now = self.now;
        let fetch = self.gateways[to].fetch.take_if(|(_, _, arrives_at)| now >= *arrives_at);
        if let Some((from, query, _)) = fetch {
            self.reply(to, from, query, MAX_FETCHED_BYTES);
        }
    }

    /// Returns the number of gateways that have the change.
    fn count(&self) -> usize {
        let has_change = |gateway: &&Gateway| gateway.source.revision() == Some(AFTER);
        self.gateways.iter().filter(has_change).count()
    }
}

/// Guards against a change that all gateways fetch from the few that read it, whose links it fills for
/// seconds.
#[test]
fn a_large_change_reaches_hundreds_of_gateways_in_time() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(seed);
        for _ in 0..600 {
            fleet.step();
        }
        fleet.publish();
        let published_at = fleet.now;
        while fleet.count() < GATEWAYS {
            fleet.step();
            let elapsed = fleet.now.since(published_at);
            assert!(elapsed <= BOUND, "seed {seed}: {} gateways after {elapsed:?}", fleet.count());
        }
    }
}

/// Returns a gateway that receives so many others.
fn gateway_with_peers(count: usize) -> TestGateway {
    let mut gateway = TestGateway::new();
    for peer in 1..=count {
        let (process, from) = (peer as u64, Some(address(peer)));
        let message = Message { process, from, sequence: 1, ..Message::default() };
        gateway.feed_datagram(Datagram::State(Box::new(message)));
    }
    gateway.actions.clear();
    gateway
}

/// Guards against a change that hundreds of gateways learn of only by the next regular message, and
/// against messages beside it in a small deployment.
#[test]
fn a_change_is_announced_to_a_few_of_many_peers() {
    let count_announcements = |peers| {
        let mut gateway = gateway_with_peers(peers);
        let read = |now, to| Event::StoreRead { at: now, from: Some(1), to, entries: Vec::new() };
        gateway.feed(read(gateway.now, 2));
        gateway.feed(read(gateway.now, 2));
        let is_announcement = |action: &&Action| {
            matches!(action, Action::Send { datagram: Datagram::Announcement(_), .. })
        };
        gateway.actions.iter().filter(is_announcement).count()
    };
    assert_eq!(count_announcements(100), MAX_ANNOUNCEMENTS);
    assert_eq!(count_announcements(12), 0);
}

/// Guards against an announcement that waits for the next regular query.
#[test]
fn a_peer_that_announces_a_change_is_queried_at_once() {
    let mut gateway = gateway_with_peers(12);
    let view = View { revision: 2, age: Duration::ZERO, reads: false };
    let announcement = Announcement { process: 7, from: address(7), view };
    gateway.feed_datagram(Datagram::Announcement(announcement));
    let is_query = |action: &Action| matches!(action, Action::Send { to, datagram: Datagram::Query(_) } if *to == address(7));
    assert!(gateway.actions.iter().any(is_query), "{:?}", gateway.actions);
}
