//! Gateways that don't know whether what they have read is still the published state.

mod common;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use common::{MS, PLAIN, TestGateway, catalog, record, request, setup};
use gate::{
    Event,
    event::AttemptResult,
    message::{Datagram, Message, View},
    refusal::Reason,
};
use wire::time::Instant;

/// Bound on changes of the configuration and on servers that leave, as it is set by default.
const BOUND: Duration = Duration::from_secs(3);

/// Feeds a peer's state that it confirmed `age` ago.
fn receive_view(gateway: &mut TestGateway, sequence: u64, revision: u64, age: Duration) {
    let from = SocketAddr::from(([127, 0, 0, 1], 99));
    let view = Some(View { revision, age, reads: true });
    let message = Message { process: 99, from: Some(from), sequence, view, ..Message::default() };
    gateway.feed_datagram(Datagram::State(Box::new(message)));
}

/// Advances the clock while a large response of the store is on its way.
fn advance_during_read(gateway: &mut TestGateway, span: Duration) {
    let end = gateway.now + span;
    while gateway.now < end {
        gateway.feed(Event::StoreResponding);
        gateway.advance((200 * MS).min(end.since(gateway.now)));
    }
}

/// Guards against requests that are handled by a configuration and servers that changed longer ago
/// than the bounds allow, while a large change is on its way.
#[test]
fn nothing_is_sent_by_a_state_that_is_older_than_the_bounds() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    advance_during_read(&mut gateway, BOUND - 400 * MS);
    let served = gateway.arrive(request("public"));
    assert!(gateway.dispatched(served).is_some(), "within the bounds");
    assert!(gateway.machine.is_ready(gateway.now));
    advance_during_read(&mut gateway, 200 * MS);
    let waiting = gateway.arrive(request("public"));
    assert!(gateway.dispatched(waiting).is_none(), "a server may have left");
    advance_during_read(&mut gateway, 300 * MS);
    let refused = gateway.arrive(request("public"));
    assert_eq!(gateway.reason(refused), Some(Reason::Stale));
    assert!(!gateway.machine.is_ready(gateway.now));
    advance_during_read(&mut gateway, 600 * MS);
    assert_eq!(gateway.reason(waiting), Some(Reason::Stale));
    gateway.confirm();
    let served = gateway.arrive(request("public"));
    assert!(gateway.dispatched(served).is_some(), "confirmed again");
}

/// Guards against a request that waits for fresher state and is sent to a server that left meanwhile.
#[test]
fn a_waiting_request_is_sent_by_the_state_that_arrives() {
    let mut gateway = TestGateway::with_backends(PLAIN, 2);
    advance_during_read(&mut gateway, BOUND - 100 * MS);
    let waiting = gateway.arrive(request("public"));
    assert!(gateway.dispatched(waiting).is_none());
    gateway.feed(Event::Record { id: "r0".into(), record: None });
    gateway.confirm();
    let dispatch = gateway.dispatched(waiting).expect("the state is confirmed");
    assert_eq!(dispatch.id, Bytes::from("r1"));
}

/// Guards against a gateway that serves nobody while the store is away.
#[test]
fn the_last_state_is_used_while_the_store_is_away() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    receive_view(&mut gateway, 1, 1, Duration::ZERO);
    for sequence in 2..20 {
        gateway.advance_without_store(500 * MS);
        receive_view(&mut gateway, sequence, 1, 500 * MS * (sequence as u32 - 1));
    }
    let served = gateway.arrive(request("public"));
    assert!(gateway.dispatched(served).is_some());
}

/// Guards against a gateway that takes its own lost connection to the store, or an earlier failure,
/// for a store that is away.
#[test]
fn the_store_is_not_away_if_others_read_it_or_nobody_tried() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    gateway.advance_without_store(2 * BOUND);
    let served = gateway.arrive(request("public"));
    assert!(gateway.dispatched(served).is_some(), "no peer has read it later");
    receive_view(&mut gateway, 1, 1, 10 * MS);
    let refused = gateway.arrive(request("public"));
    assert_eq!(gateway.reason(refused), Some(Reason::Stale), "a peer has");

    let mut paused = TestGateway::with_backends(PLAIN, 1);
    paused.advance_without_store(2 * BOUND);
    paused.now = paused.now + BOUND;
    let refused = paused.arrive(request("public"));
    assert_eq!(paused.reason(refused), Some(Reason::Stale), "the failures were before a pause");
    paused.feed(Event::StoreUnreachable);
    let served = paused.arrive(request("public"));
    assert!(paused.dispatched(served).is_some(), "it is away again");
}

/// Guards against a request that is written to a connection which was opened after its server left,
/// or after the state became too old.
#[test]
fn a_request_that_waits_for_its_connection_is_checked_again() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    let number = gateway.arrive(request("public"));
    let dispatch = gateway.dispatched(number).expect("a dispatch");
    assert!(gateway.machine.may_send(gateway.now, &dispatch));
    advance_during_read(&mut gateway, BOUND);
    assert!(!gateway.machine.may_send(gateway.now, &dispatch), "the state is too old");
    gateway.confirm();
    assert!(gateway.machine.may_send(gateway.now, &dispatch));
    let leaving = gate::backends::Record { draining: true, ..record(PLAIN, 9_000) };
    gateway.add("r0", leaving);
    assert!(!gateway.machine.may_send(gateway.now, &dispatch), "the server left");
}

/// Guards against a sound store whose state is too old to be used for a part of each second, since the
/// bounds are shorter than two waits of a watch.
#[test]
fn the_state_stays_usable_between_two_watches() {
    for drain_ms in [1_000, 2_000, 3_000, 10_000] {
        let bound = Duration::from_millis(drain_ms);
        let mut own = setup(1, true);
        (own.bounds.drain, own.bounds.apply) = (bound, bound);
        let mut gateway = TestGateway::start(own, Instant(1_000_000));
        gateway.feed(Event::Catalog(Rc::new(catalog(1, &["k1"], 0.0))));
        gateway.confirm();
        gateway.add("r0", record(PLAIN, 9_000));
        let wait = gateway.machine.watch_wait();
        for _ in 0..10 {
            let at = gateway.now;
            gateway.advance(wait + 50 * MS);
            assert!(!gateway.machine.is_outdated(), "{bound:?}, watches of {wait:?}");
            let served = gateway.arrive(request("public"));
            assert!(gateway.dispatched(served).is_some(), "{bound:?}, watches of {wait:?}");
            let read = Event::StoreRead { at, from: Some(1), to: 1, entries: Vec::new() };
            gateway.feed(read);
            gateway.end(served, AttemptResult::Complete);
        }
    }
}
