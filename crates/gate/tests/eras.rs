//! A store that comes back from an older copy: what it lost is written again, and its revisions are
//! given out again.

mod common;

use std::{rc::Rc, time::Duration};

use common::{MODEL, PLAIN, TestGateway, catalog, record, request};
use gate::{
    Event, backends::Record, message::View, refusal::Reason, revision::Revision, source::Source,
};
use wire::time::Instant;

/// Time after which gateways use what the store holds, although it is older.
const LONG: Duration = Duration::from_secs(11);

fn publish(gateway: &mut TestGateway, version: u64, keys: &[&str]) {
    gateway.feed(Event::Catalog(Rc::new(catalog(version, keys, 0.0))));
}

/// Feeds a read of the whole store in its next era.
fn restore(gateway: &mut TestGateway, version: u64, keys: &[&str], records: &[(&str, Record)]) {
    gateway.feed(Event::StoreRestored);
    publish(gateway, version, keys);
    let records = records.iter().map(|(id, record)| ((*id).to_owned().into(), record.clone()));
    gateway.feed(Event::Records(records.collect()));
    let (at, to) = (gateway.now, Revision { era: 1, number: 1 }.ordinal());
    gateway.feed(Event::StoreRead { at, from: None, to, entries: Vec::new() });
}

/// Advances the clock while the store confirms the state of the new era.
fn advance(gateway: &mut TestGateway, span: Duration) {
    let end = gateway.now + span;
    while gateway.now < end {
        gateway.advance(Duration::from_millis(100));
        let (at, to) = (gateway.now, Revision { era: 1, number: 1 }.ordinal());
        gateway.feed(Event::StoreRead { at, from: Some(to), to, entries: Vec::new() });
    }
}

/// Returns whether a request with the API key is dispatched.
fn is_accepted(gateway: &mut TestGateway, key: &'static str) -> bool {
    let request = gate::request::Request { api_key: Some(key.into()), ..request("public") };
    let request = gate::request::Request { path: "/bid/x".into(), ..request };
    let number = gateway.arrive(request);
    let dispatched = gateway.dispatched(number).is_some();
    gateway.feed(Event::Closed { number });
    gateway.actions.clear();
    dispatched
}

/// Guards against a withdrawn key that is accepted again while the withdrawal is lost.
#[test]
fn a_restored_version_does_not_revert_the_one_in_force() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    publish(&mut gateway, 7, &["k2"]);
    restore(&mut gateway, 5, &["k1", "k2"], &[("r0", record(PLAIN, 9_000))]);
    advance(&mut gateway, Duration::from_secs(4));
    assert!(!is_accepted(&mut gateway, "k1"));
    assert!(is_accepted(&mut gateway, "k2"));
    // The versions that were lost are written again, one after the other.
    publish(&mut gateway, 6, &["k1", "k2"]);
    advance(&mut gateway, Duration::from_millis(300));
    publish(&mut gateway, 7, &["k2"]);
    advance(&mut gateway, LONG);
    assert_eq!(gateway.machine.catalog().map(|catalog| catalog.version), Some(7));
}

/// Guards against a revert that comes early since the store was read once more.
#[test]
fn a_repeated_read_does_not_shorten_the_grace_time() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    publish(&mut gateway, 7, &["k2"]);
    restore(&mut gateway, 5, &["k1"], &[("r0", record(PLAIN, 9_000))]);
    advance(&mut gateway, Duration::from_secs(1));
    publish(&mut gateway, 5, &["k1"]);
    advance(&mut gateway, Duration::from_secs(4));
    assert_eq!(gateway.machine.catalog().map(|catalog| catalog.version), Some(7));
}

/// Guards against a gateway that keeps a version which the store lost and nobody wrote again.
#[test]
fn a_lost_version_does_not_stay_in_force() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    publish(&mut gateway, 7, &["k2"]);
    restore(&mut gateway, 5, &["k1"], &[("r0", record(PLAIN, 9_000))]);
    advance(&mut gateway, LONG);
    assert!(is_accepted(&mut gateway, "k1"));
    assert!(!is_accepted(&mut gateway, "k2"));
    publish(&mut gateway, 4, &["k2"]);
    assert!(is_accepted(&mut gateway, "k1"), "within an era, an older version is ignored");
}

/// Guards against a gateway that keeps a lost version although the operator wrote another one with
/// its number, or only one with a lower number.
#[test]
fn versions_written_since_the_restore_replace_lost_ones() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    publish(&mut gateway, 7, &["k2"]);
    restore(&mut gateway, 5, &["k1"], &[("r0", record(PLAIN, 9_000))]);
    publish(&mut gateway, 7, &["k1", "k2"]);
    assert!(is_accepted(&mut gateway, "k1"), "the same number, other content");
    restore(&mut gateway, 5, &["k1"], &[("r0", record(PLAIN, 9_000))]);
    publish(&mut gateway, 6, &["k2"]);
    advance(&mut gateway, LONG);
    assert!(!is_accepted(&mut gateway, "k1"), "a lower number, written since");
}

/// Guards against a withdrawn key that is accepted again while lost versions are written again, one
/// after the other and slowly.
#[test]
fn versions_that_are_written_again_slowly_do_not_revert_the_one_in_force() {
    for pause in [300, 1_600, 4_000].map(Duration::from_millis) {
        let mut gateway = TestGateway::with_backends(PLAIN, 1);
        publish(&mut gateway, 7, &["k2"]);
        restore(&mut gateway, 4, &["k0"], &[("r0", record(PLAIN, 9_000))]);
        advance(&mut gateway, Duration::from_secs(2));
        for (version, key) in [(5, "k1"), (6, "k1")] {
            publish(&mut gateway, version, &[key, "k2"]);
            let end = gateway.now + pause;
            while gateway.now < end {
                advance(&mut gateway, Duration::from_millis(100));
                assert!(!is_accepted(&mut gateway, "k1"), "{version}, {pause:?}");
                assert!(is_accepted(&mut gateway, "k2"), "{version}, {pause:?}");
            }
        }
        publish(&mut gateway, 7, &["k2"]);
        advance(&mut gateway, LONG);
        assert_eq!(gateway.machine.catalog().map(|catalog| catalog.version), Some(7));
    }
}

/// Guards against requests to a backend server that had reported that it leaves, since the copy of
/// the store is older than that report; and against leaving out one that runs.
#[test]
fn restored_records_do_not_bring_back_servers_that_left() {
    let mut gateway = TestGateway::new();
    for (id, port) in [("runs", 1), ("drained", 2), ("ended", 3), ("lapsed", 4)] {
        gateway.add(id, record(MODEL, port));
    }
    let drained = Some(Record { draining: true, ..record(MODEL, 2) });
    gateway.feed(Event::Record { id: "drained".into(), record: drained.clone() });
    gateway.feed(Event::Record { id: "ended".into(), record: None });
    gateway.feed(Event::Record { id: "lapsed".into(), record: None });
    let copy = [("drained", 2), ("ended", 3), ("lapsed", 4)];
    let copy: Vec<_> = copy.iter().map(|(id, port)| (*id, record(MODEL, *port))).collect();
    restore(&mut gateway, 1, &["k1", "k2"], &copy);
    let ids = |gateway: &TestGateway| {
        let backends = gateway.machine.backends().iter();
        let mut ids: Vec<_> = backends.map(|(_, backend)| backend.id.clone()).collect();
        ids.sort();
        ids
    };
    assert_eq!(ids(&gateway), ["runs"], "the record that the copy lacks may be written again");
    gateway.add("runs", record(MODEL, 1));
    gateway.add("lapsed", record(MODEL, 4));
    gateway.feed(Event::Record { id: "drained".into(), record: drained });
    advance(&mut gateway, Duration::from_secs(3));
    assert_eq!(ids(&gateway), ["lapsed", "runs"]);
    advance(&mut gateway, Duration::from_secs(3));
    assert_eq!(ids(&gateway), ["ended", "lapsed", "runs"], "still published after 5 s");
}

/// Guards against a gateway that takes a peer's revision of an earlier era for a later one, and
/// applies changes that the store lost.
#[test]
fn a_later_era_goes_before_a_higher_number() {
    let at = Instant(1_000_000);
    let ordinal = |era, number| Revision { era, number }.ordinal();
    let source = |revision: u64, peer_revision: u64| {
        let mut source = Source::default();
        source.record_read(at, None, revision, Vec::new());
        let view = View { revision: peer_revision, age: Duration::from_millis(100), reads: true };
        source.record_view(at, ([127, 0, 0, 1], 1).into(), 1, Some(view));
        source
    };
    let query = |mut source: Source| {
        let own = Some(([127, 0, 0, 9], 1).into());
        let age = Some(Duration::from_millis(10));
        source.next_query(at, own, age, &mut fastrand::Rng::with_seed(1))
    };
    assert!(query(source(ordinal(1, 90), ordinal(0, 100))).is_none());
    let (_, query) = query(source(ordinal(0, 100), ordinal(1, 90))).expect("it is behind");
    let peer = source(ordinal(1, 90), ordinal(1, 90));
    let reply = peer.reply(&query, Some(Duration::ZERO), 1_000).expect("a reply");
    assert_eq!(reply.entries, None, "the changes between eras are read from the store");
    assert_eq!(Revision::from_ordinal(ordinal(3, 7)), Revision { era: 3, number: 7 });
    assert_eq!(ordinal(0, 7), 7, "a store without eras");
}

/// Guards against a request that is refused as not run because the store came back.
#[test]
fn open_requests_survive_a_restore() {
    let mut gateway = TestGateway::with_backends(PLAIN, 2);
    let number = gateway.arrive(request("status"));
    gateway.dispatched(number).expect("dispatched");
    restore(&mut gateway, 1, &["k1", "k2"], &[]);
    assert_eq!(gateway.reason(number), None::<Reason>);
    assert_eq!(gateway.machine.open_count(), 1);
}
