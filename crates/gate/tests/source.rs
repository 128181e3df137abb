//! Which gateways read the store, and what replies of peers confirm.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use gate::{
    message::{Reply, StoreEntry, View},
    source::{Decision, MAX_DATAGRAM_BYTES, MAX_FETCHED_BYTES, Source, Update, process_number},
};
use wire::time::Instant;

const OWN_PROCESS: u64 = 50;

fn at(ms: u64) -> Instant {
    Instant(ms * 1_000 + 1_000_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(n: u8) -> SocketAddr {
    ([127, 0, 0, n], 1).into()
}

fn entry(key: &'static str, value: &'static str) -> StoreEntry {
    StoreEntry { key: key.into(), value: value.into(), deleted: false }
}

/// Returns a source with revision 10, read at 0 ms.
fn source() -> Source {
    let mut source = Source::default();
    source.record_read(at(0), None, 10, Vec::new());
    source
}

fn record_view(source: &mut Source, now: u64, peer: u8, revision: u64, reads: bool) {
    let view = View { revision, age: ms(100), reads };
    source.record_view(at(now), address(peer), u64::from(peer), Some(view));
}

fn next_query(
    source: &mut Source,
    now: u64,
    age: u64,
) -> Option<(SocketAddr, gate::message::Query)> {
    let mut rng = fastrand::Rng::with_seed(1);
    source.next_query(at(now), Some(address(50)), Some(ms(age)), &mut rng)
}

fn process_reply(source: &mut Source, now: u64, reply: Reply) -> Decision {
    source.process_reply(at(now), Some(address(50)), reply)
}

fn update_of(decision: Decision) -> Update {
    match decision {
        Decision::Install(update) => update,
        other => panic!("{other:?}"),
    }
}

/// Guards against requests to the store that grow with the number of gateways, and against a
/// deployment in which no gateway reads it.
#[test]
fn only_a_few_gateways_read_the_store() {
    let mut source = source();
    assert!(source.must_read_store(at(1_000), OWN_PROCESS, Some(ms(500))), "no peers");
    for peer in 1..=4 {
        record_view(&mut source, 900, peer, 10, true);
    }
    assert!(!source.must_read_store(at(1_000), OWN_PROCESS, Some(ms(500))));
    assert!(source.must_read_store(at(1_000), 3, Some(ms(500))), "one of the four watchers");
    assert!(
        source.must_read_store(at(1_000), OWN_PROCESS, Some(ms(2_500))),
        "the last confirmation is too old"
    );
    assert!(source.must_read_store(at(1_000), OWN_PROCESS, None));
    record_view(&mut source, 950, 2, 10, false);
    assert!(
        source.must_read_store(at(1_000), OWN_PROCESS, Some(ms(500))),
        "one of the watchers no longer reads the store"
    );
    record_view(&mut source, 960, 5, 10, true);
    assert!(!source.must_read_store(at(1_000), OWN_PROCESS, Some(ms(500))));
    assert!(
        source.must_read_store(at(4_000), OWN_PROCESS, Some(ms(500))),
        "no recent message from any peer"
    );
}

/// Guards against large changes that are received slowly and late by the gateways which all others get
/// them from.
#[test]
fn hosts_with_wide_links_read_the_store() {
    let number = |link_mbps, random| process_number(link_mbps, random);
    assert!(number(200.0, u64::MAX) < number(10.0, 0));
    assert!(number(1e6, u64::MAX) < number(1_000.0, 0));
    assert!(number(1_000.0, 1 << 8) < number(1_000.0, 2 << 8), "by chance on equal links");
    let mut source = source();
    for peer in 1..=4 {
        let view = View { revision: 10, age: ms(100), reads: true };
        let process = number(10.0, u64::from(peer));
        source.record_view(at(900), address(peer), process, Some(view));
    }
    assert!(source.must_read_store(at(1_000), number(200.0, u64::MAX), Some(ms(500))));
    assert!(!source.must_read_store(at(1_000), number(10.0, u64::MAX), Some(ms(500))));
}

/// Guards against an API key that is accepted for too long after its withdrawal: a datagram may be
/// delayed without limit, so a reply confirms the state as of its query.
#[test]
fn a_reply_confirms_the_time_of_its_query() {
    let mut source = source();
    record_view(&mut source, 900, 1, 10, true);
    let (to, query) = next_query(&mut source, 1_000, 900).expect("a query");
    assert_eq!((to, query.revision), (address(1), 10));
    let reply = Reply { token: query.token, revision: 10, age: ms(300), entries: Some(Vec::new()) };
    // The reply is received four seconds after the query.
    let update = update_of(process_reply(&mut source, 5_000, reply.clone()));
    assert_eq!(update.at, at(700));
    assert_eq!(
        process_reply(&mut source, 5_001, reply),
        Decision::Ignore,
        "the query is no longer open"
    );
}

/// Guards against changes that are skipped or reverted: a reply applies only to the revision that
/// the query named.
#[test]
fn a_reply_applies_only_to_the_revision_of_its_query() {
    let mut watcher = source();
    watcher.record_read(at(10), Some(10), 12, vec![entry("a", "1"), entry("b", "1")]);
    watcher.record_read(at(20), Some(12), 13, vec![entry("a", "2")]);
    let mut other = source();
    record_view(&mut other, 100, 1, 13, true);
    let (_, query) = next_query(&mut other, 150, 10).expect("a peer has a later revision");
    let reply = watcher.reply(&query, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("a reply");
    assert_eq!(reply.entries, Some(vec![entry("b", "1"), entry("a", "2")]));
    let mut advanced = other.clone();
    let update = update_of(process_reply(&mut other, 150, reply.clone()));
    assert_eq!((update.from, update.to), (10, 13));
    other.record_update(update.from, update.to, update.entries);
    assert_eq!(other.revision(), Some(13));
    advanced.record_read(at(160), Some(10), 11, Vec::new());
    assert_eq!(
        process_reply(&mut advanced, 170, reply),
        Decision::Ignore,
        "the revision has changed since the query"
    );
}

/// Guards against a gateway that waits for changes that no peer can send.
#[test]
fn changes_that_no_peer_has_are_read_from_the_store() {
    let mut watcher = source();
    watcher.record_read(at(10), None, 13, Vec::new());
    let mut other = source();
    for peer in 1..=4 {
        record_view(&mut other, 100, peer, 13, true);
    }
    assert!(!other.must_read_store(at(150), OWN_PROCESS, Some(ms(10))));
    let (_, query) = next_query(&mut other, 150, 10).expect("a peer has a later revision");
    let reply = watcher.reply(&query, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("a reply");
    assert_eq!((reply.revision, &reply.entries), (13, &None));
    let Decision::Fetch(peer, query) = process_reply(&mut other, 150, reply) else { panic!() };
    assert!(
        !other.must_read_store(at(150), OWN_PROCESS, Some(ms(10))),
        "a peer is queried over a connection"
    );
    assert!(next_query(&mut other, 400, 900).is_none(), "a query is open");
    assert_eq!(watcher.reply(&query, Some(ms(50)), MAX_FETCHED_BYTES).unwrap().entries, None);
    let unknown = watcher.reply(&query, Some(ms(50)), MAX_FETCHED_BYTES).expect("a reply");
    assert_eq!((peer, process_reply(&mut other, 160, unknown)), (peer, Decision::Ignore));
    assert!(
        other.must_read_store(at(160), OWN_PROCESS, Some(ms(10))),
        "the peer has no changes since this revision"
    );
    other.record_read(at(200), Some(10), 13, Vec::new());
    assert!(!other.must_read_store(at(250), OWN_PROCESS, Some(ms(10))));
}

/// Guards against a gateway that the store refuses and whose state becomes stale because of one
/// large change.
#[test]
fn large_changes_are_fetched_over_a_connection() {
    let mut watcher = source();
    let large = StoreEntry { key: "c".into(), value: vec![b'x'; 20 << 10].into(), deleted: false };
    watcher.record_read(at(10), Some(10), 13, vec![large.clone()]);
    let mut other = source();
    record_view(&mut other, 100, 1, 13, true);
    let (_, query) = next_query(&mut other, 150, 10).expect("a peer has a later revision");
    let reply = watcher.reply(&query, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("a reply");
    let Decision::Fetch(peer, query) = process_reply(&mut other, 160, reply) else { panic!() };
    assert_eq!(peer, address(1));
    let reply = watcher.reply(&query, Some(ms(50)), MAX_FETCHED_BYTES).expect("a reply");
    let update = update_of(process_reply(&mut other, 200, reply));
    assert_eq!((update.to, update.entries, update.at), (13, vec![large], at(110)));
}

/// Guards against memory that changes of any size take at a gateway which keeps them for its peers,
/// for example since another program writes a large value again and again.
#[test]
fn changes_are_kept_up_to_a_size() {
    let mut source = source();
    let value = Bytes::from(vec![b'A'; 1 << 20]);
    for revision in 10..80 {
        let entries = vec![StoreEntry { key: "k".into(), value: value.clone(), deleted: false }];
        source.record_read(at(revision), Some(revision), revision + 1, entries);
        let size = source.log_size();
        assert!(size <= MAX_FETCHED_BYTES, "{size} bytes are kept at revision {revision}");
    }
    let reply = |revision| {
        let query = gate::message::Query { token: 1, from: address(1), revision };
        source.reply(&query, Some(ms(1)), MAX_FETCHED_BYTES).expect("a reply").entries
    };
    assert_eq!(reply(77).expect("changes that are kept").len(), 1);
    assert_eq!(reply(70), None, "changes that are not kept are read from the store");
}

/// Guards against a large reply that is asked for again while it is being transferred, and against a
/// gateway that waits for one that failed.
#[test]
fn a_query_over_a_connection_is_open_until_it_ends() {
    let mut watcher = source();
    let large = StoreEntry { key: "c".into(), value: vec![b'x'; 20 << 10].into(), deleted: false };
    watcher.record_read(at(10), Some(10), 13, vec![large]);
    let mut other = source();
    record_view(&mut other, 100, 1, 13, true);
    let (_, query) = next_query(&mut other, 150, 10).expect("a peer has a later revision");
    let reply = watcher.reply(&query, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("a reply");
    let Decision::Fetch(_, query) = process_reply(&mut other, 160, reply) else { panic!() };
    record_view(&mut other, 9_900, 1, 13, true);
    assert_eq!(next_query(&mut other, 10_000, 9_900), None, "the reply may be on its way");
    other.record_fetch_failure(at(10_000), query.token - 1);
    assert_eq!(next_query(&mut other, 10_000, 9_900), None, "an earlier query failed");
    other.record_fetch_failure(at(10_000), query.token);
    assert!(next_query(&mut other, 10_200, 10_100).is_some());
}
