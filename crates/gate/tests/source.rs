//! Who reads the store, and what a peer's word is worth.

use std::{net::SocketAddr, time::Duration};

use gate::{
    share::{Answer, Entry, Sight},
    source::{Learned, MAX_DATAGRAM_BYTES, MAX_FETCHED_BYTES, Source, Verdict},
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
    source.read(at(0), None, 10, Vec::new());
    source
}

fn hear(source: &mut Source, now: u64, peer: u8, revision: u64, reads: bool) {
    let sight = Sight { revision, age: ms(100), reads };
    source.heard(at(now), address(peer), u64::from(peer), Some(sight));
}

fn ask(source: &mut Source, now: u64, age: u64) -> Option<(SocketAddr, gate::share::Ask)> {
    let mut random = fastrand::Rng::with_seed(1);
    source.ask(at(now), Some(address(50)), Some(ms(age)), &mut random)
}

fn answered(source: &mut Source, now: u64, answer: Answer) -> Verdict {
    source.answered(at(now), Some(address(50)), answer)
}

fn learned(verdict: Verdict) -> Learned {
    match verdict {
        Verdict::Learned(learned) => learned,
        other => panic!("{other:?}"),
    }
}

/// Guards against calls of the store that grow with the fleet, and against a fleet in which
/// nobody reads it.
#[test]
fn a_few_read_the_store() {
    let mut source = source();
    assert!(source.reads(at(1_000), OWN, Some(ms(500))), "alone");
    for peer in 1..=4 {
        hear(&mut source, 900, peer, 10, true);
    }
    assert!(!source.reads(at(1_000), OWN, Some(ms(500))));
    assert!(source.reads(at(1_000), 3, Some(ms(500))), "one of the first four");
    assert!(source.reads(at(1_000), OWN, Some(ms(2_500))), "nobody vouches");
    assert!(source.reads(at(1_000), OWN, None));
    hear(&mut source, 950, 2, 10, false);
    assert!(source.reads(at(1_000), OWN, Some(ms(500))), "one of them lost the store");
    hear(&mut source, 960, 5, 10, true);
    assert!(!source.reads(at(1_000), OWN, Some(ms(500))));
    assert!(source.reads(at(4_000), OWN, Some(ms(500))), "all fell silent");
}

/// Guards against a key that is used for too long after it was withdrawn: a datagram may come
/// late by any time, so an answer counts from the moment of its question.
#[test]
fn an_answer_counts_from_its_question() {
    let mut source = source();
    hear(&mut source, 900, 1, 10, true);
    let (to, question) = ask(&mut source, 1_000, 900).expect("a question");
    assert_eq!((to, question.revision), (address(1), 10));
    let answer =
        Answer { token: question.token, revision: 10, age: ms(300), entries: Some(Vec::new()) };
    // It comes four seconds later.
    let brought = learned(answered(&mut source, 5_000, answer.clone()));
    assert_eq!(brought.at, at(700));
    assert_eq!(
        answered(&mut source, 5_001, answer),
        Verdict::Void,
        "it answers no question any more"
    );
}

/// Guards against changes that are skipped or undone: an answer counts only for the state that
/// the question named.
#[test]
fn changes_go_on_from_the_revision_asked_for() {
    let mut reader = source();
    reader.read(at(10), Some(10), 12, vec![entry("a", "1"), entry("b", "1")]);
    reader.read(at(20), Some(12), 13, vec![entry("a", "2")]);
    let mut other = source();
    hear(&mut other, 100, 1, 13, true);
    let (_, question) = ask(&mut other, 150, 10).expect("a peer knows more");
    let answer = reader.answer(&question, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("an answer");
    assert_eq!(answer.entries, Some(vec![entry("b", "1"), entry("a", "2")]));
    let mut moved = other.clone();
    let brought = learned(answered(&mut other, 150, answer.clone()));
    assert_eq!((brought.from, brought.to), (10, 13));
    other.learned(brought.from, brought.to, brought.entries);
    assert_eq!(other.revision(), Some(13));
    moved.read(at(160), Some(10), 11, Vec::new());
    assert_eq!(answered(&mut moved, 170, answer), Verdict::Void, "its own reading came first");
}

/// Guards against a gateway that waits for changes that no peer can tell.
#[test]
fn unknown_or_large_changes_are_read_from_the_store() {
    let mut reader = source();
    reader.read(at(10), None, 13, Vec::new());
    let mut other = source();
    for peer in 1..=4 {
        hear(&mut other, 100, peer, 13, true);
    }
    assert!(!other.reads(at(150), OWN, Some(ms(10))));
    let (_, question) = ask(&mut other, 150, 10).expect("a peer knows more");
    let answer = reader.answer(&question, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("an answer");
    assert_eq!((answer.revision, &answer.entries), (13, &None));
    let Verdict::Large(peer, question) = answered(&mut other, 150, answer) else { panic!() };
    assert!(!other.reads(at(150), OWN, Some(ms(10))), "a peer is asked over a connection");
    assert!(ask(&mut other, 400, 900).is_none(), "the answer is on its way");
    assert_eq!(reader.answer(&question, Some(ms(50)), MAX_FETCHED_BYTES).unwrap().entries, None);
    let unknown = reader.answer(&question, Some(ms(50)), MAX_FETCHED_BYTES).expect("an answer");
    assert_eq!((peer, answered(&mut other, 160, unknown)), (peer, Verdict::Void));
    assert!(other.reads(at(160), OWN, Some(ms(10))), "the peer has forgotten the changes");
    other.read(at(200), Some(10), 13, Vec::new());
    assert!(!other.reads(at(250), OWN, Some(ms(10))));
}

/// Guards against a gateway that the store turns away and that goes stale by one large change.
#[test]
fn large_changes_come_over_a_connection() {
    let mut reader = source();
    let large = Entry { key: "c".into(), value: vec![b'x'; 20 << 10].into(), deleted: false };
    reader.read(at(10), Some(10), 13, vec![large.clone()]);
    let mut other = source();
    hear(&mut other, 100, 1, 13, true);
    let (_, question) = ask(&mut other, 150, 10).expect("a peer knows more");
    let answer = reader.answer(&question, Some(ms(50)), MAX_DATAGRAM_BYTES).expect("an answer");
    let Verdict::Large(peer, question) = answered(&mut other, 160, answer) else { panic!() };
    assert_eq!(peer, address(1));
    let answer = reader.answer(&question, Some(ms(50)), MAX_FETCHED_BYTES).expect("an answer");
    let brought = learned(answered(&mut other, 200, answer));
    assert_eq!((brought.to, brought.entries, brought.at), (13, vec![large], at(110)));
}
