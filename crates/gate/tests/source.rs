//! Who reads the store, and what a peer's word is worth.

use std::{net::SocketAddr, time::Duration};

use gate::{
    message::{Entry, Reply, View},
    source::{Decision, MAX_DATAGRAM_BYTES, MAX_FETCHED_BYTES, Source, Update},
};
use wire::time::Instant;

const OWN: u64 = 50;

fn at(ms: u64) -> Instant {
    Instant(ms * 1_000 + 1_000_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(n: u8) -> SocketAddr {
    ([127, 0, 0, n], 1).into()
}

fn entry(key: &'static str, value: &'static str) -> Entry {
    Entry { key: key.into(), value: value.into(), deleted: false }
}

/// Returns knowledge of revision 10, read at 0 ms.
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
    let mut random = fastrand::Rng::with_seed(1);
    source.next_query(at(now), Some(address(50)), Some(ms(age)), &mut random)
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

/// Guards against calls of the store that grow with the fleet, and against a fleet in which
/// nobody reads it.
#[test]
fn a_few_read_the_store() {
    let mut source = source();
    assert!(source.must_read_store(at(1_000), OWN, Some(ms(500))), "alone");
    for peer in 1..=4 {
        record_view(&mut source, 900, peer, 10, true);
    }
    assert!(!source.must_read_store(at(1_000), OWN, Some(ms(500))));
    assert!(source.must_read_store(at(1_000), 3, Some(ms(500))), "one of the first four");
    assert!(source.must_read_store(at(1_000), OWN, Some(ms(2_500))), "nobody vouches");
    assert!(source.must_read_store(at(1_000), OWN, None));
    record_view(&mut source, 950, 2, 10, false);
    assert!(source.must_read_store(at(1_000), OWN, Some(ms(500))), "one of them lost the store");
    record_view(&mut source, 960, 5, 10, true);
    assert!(!source.must_read_store(at(1_000), OWN, Some(ms(500))));
    assert!(source.must_read_store(at(4_000), OWN, Some(ms(500))), "all fell silent");
}

/// Guards against a key that is used for too long after it was withdrawn: a datagram may come
/// late by any time, so an answer counts from the moment of its question.
#[test]
fn an_answer_counts_from_its_question() {
    let mut source = source();
    record_view(&mut source, 900, 1, 10, true);
    let (to, query) = next_query(&mut source, 1_000, 900).expect("a question");
    assert_eq!((to, query.revision), (address(1), 10));
    let reply = Reply { token: query.token, revision: 10, age: ms(300), entries: Some(Vec::new()) };
    // It comes four seconds later.
    let update = update_of(process_reply(&mut source, 5_000, reply.clone()));
    assert_eq!(update.at, at(700));
    assert_eq!(
        process_reply(&mut source, 5_001, reply),
        Decision::Ignore,
        "it answers no query any more"
    );
}

/// Guards against changes that are skipped or undone: an answer counts only for the state that
/// the question named.
#[test]
fn changes_go_on_from_the_revision_asked_for() {
    let mut reader = source();
    reader.record_read(at(10), Some(10), 12, vec![entry("a", "1"), entry("b", "1")]);
    reader.record_read(at(20), Some(12), 13, vec![entry("a", "2")]);
    let mut other = source();
    record_view(&mut other, 100, 1, 13, true);
    let (_, query) = next_query(&mut other, 150, 10).expect("a peer knows more");
    let reply = reader.reply(&query, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("an answer");
    assert_eq!(reply.entries, Some(vec![entry("b", "1"), entry("a", "2")]));
    let mut moved = other.clone();
    let update = update_of(process_reply(&mut other, 150, reply.clone()));
    assert_eq!((update.from, update.to), (10, 13));
    other.record_update(update.from, update.to, update.entries);
    assert_eq!(other.revision(), Some(13));
    moved.record_read(at(160), Some(10), 11, Vec::new());
    assert_eq!(
        process_reply(&mut moved, 170, reply),
        Decision::Ignore,
        "its own reading came first"
    );
}

/// Guards against a gateway that waits for changes that no peer can tell.
#[test]
fn unknown_or_large_changes_are_read_from_the_store() {
    let mut reader = source();
    reader.record_read(at(10), None, 13, Vec::new());
    let mut other = source();
    for peer in 1..=4 {
        record_view(&mut other, 100, peer, 13, true);
    }
    assert!(!other.must_read_store(at(150), OWN, Some(ms(10))));
    let (_, query) = next_query(&mut other, 150, 10).expect("a peer knows more");
    let reply = reader.reply(&query, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("an answer");
    assert_eq!((reply.revision, &reply.entries), (13, &None));
    let Decision::Fetch(peer, query) = process_reply(&mut other, 150, reply) else { panic!() };
    assert!(
        !other.must_read_store(at(150), OWN, Some(ms(10))),
        "a peer is asked over a connection"
    );
    assert!(next_query(&mut other, 400, 900).is_none(), "the answer is on its way");
    assert_eq!(reader.reply(&query, Some(ms(50)), MAX_FETCHED_BYTES).unwrap().entries, None);
    let unknown = reader.reply(&query, Some(ms(50)), MAX_FETCHED_BYTES).expect("an answer");
    assert_eq!((peer, process_reply(&mut other, 160, unknown)), (peer, Decision::Ignore));
    assert!(
        other.must_read_store(at(160), OWN, Some(ms(10))),
        "the peer has forgotten the changes"
    );
    other.record_read(at(200), Some(10), 13, Vec::new());
    assert!(!other.must_read_store(at(250), OWN, Some(ms(10))));
}

/// Guards against a gateway that the store turns away and that goes stale by one large change.
#[test]
fn large_changes_come_over_a_connection() {
    let mut reader = source();
    let large = Entry { key: "c".into(), value: vec![b'x'; 20 << 10].into(), deleted: false };
    reader.record_read(at(10), Some(10), 13, vec![large.clone()]);
    let mut other = source();
    record_view(&mut other, 100, 1, 13, true);
    let (_, query) = next_query(&mut other, 150, 10).expect("a peer knows more");
    let reply = reader.reply(&query, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("an answer");
    let Decision::Fetch(peer, query) = process_reply(&mut other, 160, reply) else { panic!() };
    assert_eq!(peer, address(1));
    let reply = reader.reply(&query, Some(ms(50)), MAX_FETCHED_BYTES).expect("an answer");
    let update = update_of(process_reply(&mut other, 200, reply));
    assert_eq!((update.to, update.entries, update.at), (13, vec![large], at(110)));
}
