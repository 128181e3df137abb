//! What a request must pass before it may reach a backend server.

mod common;

use std::{rc::Rc, time::Duration};

use common::{MODEL, MS, PLAIN, World, catalog, options, record, request};
use gate::{Event, event::Outcome, refusal::Reason};

/// Guards against a denial by a process that does not know the configuration yet: a caller
/// takes 404 as final, although the route exists.
#[test]
fn nothing_is_denied_before_a_configuration_is_known() {
    let mut world = World::empty(options(1, true));
    let number = world.arrive(request("bid"));
    let refusal = world.refused(number).expect("refused");
    assert_eq!(refusal.reason, Reason::NotReady);
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after.is_some());
    assert!(!world.machine.is_ready(world.now));
}

/// Guards against 404 and 401 from knowledge that may be out of date.
#[test]
fn routes_and_keys_are_denied_by_fresh_knowledge_only() {
    let mut world = World::with_replicas(PLAIN, 1);
    let unknown = world.arrive(request("absent"));
    assert_eq!(world.reason(unknown), Some(Reason::NoRoute));
    let mut foreign = request("bid");
    foreign.key = Some("k9".into());
    let denied = world.arrive(foreign.clone());
    assert_eq!(world.reason(denied), Some(Reason::UnknownKey));

    world.advance(Duration::from_millis(3_600));
    let unknown = world.arrive(request("absent"));
    assert_eq!(world.reason(unknown), Some(Reason::Stale));
    let denied = world.arrive(foreign);
    assert_eq!(world.reason(denied), Some(Reason::Stale));
}

/// Guards against the longest prefix losing to an earlier route.
#[test]
fn the_longest_prefix_wins() {
    let mut known = catalog(2, &["k1"], 0.0);
    let mut longer = known.routes[3].clone();
    longer.prefix = "/bid/x/".into();
    longer.name = "longer".into();
    known.routes.insert(0, longer);
    let name = |path: &[u8]| known.route(b"H", path).map(|route| route.name.clone());
    assert_eq!(name(b"/bid/x/y").as_deref(), Some(&b"longer"[..]));
    assert_eq!(name(b"/bid/xy").as_deref(), Some(&b"bid"[..]));
    assert_eq!(name(b"/bi"), None);
}

/// Guards against a key that runs after its withdrawal at a gateway that was cut off from the
/// store, or that was suspended and has noticed nothing.
#[test]
fn keys_need_a_recent_confirmation() {
    let mut world = World::with_replicas(PLAIN, 1);
    world.advance(Duration::from_millis(4_800));
    let served = world.arrive(request("bid"));
    assert!(world.dispatched(served).is_some());
    world.end(served, Outcome::Complete);
    world.advance(Duration::from_millis(100));
    let refused = world.arrive(request("bid"));
    assert_eq!(world.reason(refused), Some(Reason::Stale));
    assert!(!world.machine.is_ready(world.now));
    let public = world.arrive(request("public"));
    assert!(world.dispatched(public).is_some(), "a public route needs no key");
}

/// Guards against a key that was withdrawn while its request waited: the check at arrival alone
/// would let it run.
#[test]
fn waiting_calls_are_checked_again() {
    let mut world = World::new();
    let withdrawn = world.arrive(request("bid"));
    let mut other = request("bid");
    other.key = Some("k2".into());
    let kept = world.arrive(other);
    world.feed(Event::Catalog(Rc::new(catalog(2, &["k2"], 0.0))));
    world.add("r", record(PLAIN, 9_000));
    assert_eq!(world.reason(withdrawn), Some(Reason::UnknownKey));
    assert!(world.dispatched(kept).is_some());
}

/// Guards against a configuration that reverts when an older version is read again.
#[test]
fn versions_never_go_back() {
    let mut world = World::with_replicas(PLAIN, 1);
    world.feed(Event::Catalog(Rc::new(catalog(3, &["k2"], 0.0))));
    world.feed(Event::Catalog(Rc::new(catalog(2, &["k1"], 0.0))));
    let number = world.arrive(request("bid"));
    assert_eq!(world.reason(number), Some(Reason::UnknownKey));
}

/// Guards against a request that is held and then dropped silently: what can't be placed is
/// refused as not run, well before its objective.
#[test]
fn calls_without_a_replica_are_refused_in_time() {
    let mut world = World::new();
    let number = world.arrive(request("essay"));
    world.advance_confirmed(600 * MS);
    let refusal = world.refused(number).expect("refused");
    assert_eq!(refusal.reason, Reason::NoReplica);
    let after = refusal.retry_after.expect("a time to come back");
    assert!(after < Duration::from_secs(10) / 3, "callers don't honour more than a third");
    assert_eq!(world.machine.open_count(), 0);
}

/// Guards against new work at a gateway whose end is near.
#[test]
fn a_stopping_gateway_serves_for_a_while() {
    let mut world = World::with_replicas(MODEL, 1);
    world.feed(Event::Stop);
    assert!(!world.machine.is_ready(world.now));
    let served = world.arrive(request("essay"));
    assert!(world.dispatched(served).is_some());
    world.advance_confirmed(Duration::from_secs(3));
    let late = world.arrive(request("essay"));
    assert_eq!(world.reason(late), Some(Reason::Stopping));
}
