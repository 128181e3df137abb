//! The filter chain and the entry's own capacity.

mod common;

use std::time::Duration;

use common::{Bench, call, data, end, grant, offered, refusal, service, started, tree};
use entry::{Action, Event, IncomingRequest};
use wire::outcome::{Outcome::*, Reason};

/// Guards against calls that pass a check they fail, and against a reason that misleads.
#[test]
fn each_filter_refuses_with_its_reason() {
    let small = IncomingRequest { account: "small".into(), ..call(1) };
    for (call, reason) in [
        (IncomingRequest { model: "large-2".into(), ..call(1) }, Reason::NoRoute),
        (service(1, "/floors", None), Reason::NoRoute),
        (IncomingRequest { account: "nobody".into(), ..call(1) }, Reason::UnknownAccount),
        (IncomingRequest { authenticated: false, ..call(1) }, Reason::UnknownAccount),
        (IncomingRequest { tier: Some("urgent".into()), ..small.clone() }, Reason::BadRequest),
        (IncomingRequest { tier: Some("unheard-of".into()), ..small }, Reason::BadRequest),
        (IncomingRequest { body_len: 10_001, ..call(1) }, Reason::TooLarge),
        (IncomingRequest { deadline: Some(Duration::ZERO), ..call(1) }, Reason::Deadline),
        (service(1, "/floor/bids/7", None), Reason::BadKey),
        (service(1, "/floor/bids/7", Some("made-up")), Reason::BadKey),
    ] {
        let actions = Bench::new(tree(), 4).call(call);
        assert_eq!((refusal(&actions), offered(&actions)), (Some((NotRun, reason)), None));
    }
}

/// Guards against a path that reaches a shorter route, deadlines over the tier's, and client
/// libraries that fail on idempotent routes because they make up keys.
#[test]
fn the_head_says_what_the_filters_found() {
    for (call, route, left) in [
        (IncomingRequest { deadline: Some(Duration::from_secs(60)), ..call(1) }, "chat", 5000),
        (call(1), "chat", 2000),
        (service(1, "/floor/bid", None), "floor", 2000),
        (service(1, "/floor/notes?id=1", None), "notes", 2000),
        (service(1, "/floor/lots", Some("made-up")), "floor", 2000),
    ] {
        let actions = Bench::new(tree(), 4).call(call);
        assert!(has!(actions, Action::Offer { head, .. }
            if head.route == route && head.remaining.as_millis() == left && head.key.is_none()));
    }
}

/// Guards against one account that fills the entry, and bodies that fill its memory.
#[test]
fn accounts_and_bodies_keep_to_their_bounds() {
    let mut tree = tree();
    tree.entry.max_held_bytes = 350;
    let mut bench = Bench::new(tree, 4);
    let small = |caller| IncomingRequest { account: "small".into(), ..call(caller) };
    let first = bench.open(small(1));
    bench.open(small(2));
    assert_eq!(refusal(&bench.call(small(3))), Some((NotRun, Reason::AccountLimit)));
    bench.open(call(4));
    assert_eq!(refusal(&bench.call(call(5))), Some((NotRun, Reason::Overload)));
    bench.ready(first, grant(1));
    let actions = bench.frame(first, grant(1), started());
    assert!(has!(actions, Action::DropBody { request } if *request == first.0));
    bench.open(call(6));
    bench.send(Event::CallerDisconnected { caller: 2 });
    bench.open(small(7));
}

/// Guards against a higher tier refused while a lower one is kept, and against displacing a
/// request that has its grant.
#[test]
fn an_arrival_displaces_the_newest_of_the_lowest_tier() {
    let mut tree = tree();
    tree.entry.max_open = 4;
    let mut bench = Bench::new(tree, 4);
    let call =
        |caller, tier: &'static str| IncomingRequest { tier: Some(tier.into()), ..call(caller) };
    let granted = bench.open(call(1, "batch"));
    bench.ready(granted, grant(1));
    for (caller, tier) in [(2, "batch"), (3, "batch"), (4, "normal")] {
        bench.open(call(caller, tier));
    }
    for (caller, tier, displaced) in [(5, "urgent", 3), (6, "normal", 2), (7, "urgent", 6)] {
        let actions = bench.call(call(caller, tier));
        assert!(offered(&actions).is_some());
        assert!(has!(actions, Action::Refuse { caller, refusal, .. }
            if (*caller, refusal.reason) == (displaced, Reason::Displaced)
                && refusal.retry_after.is_some()));
    }
    for (caller, tier) in [(8, "batch"), (9, "normal")] {
        assert_eq!(refusal(&bench.call(call(caller, tier))), Some((NotRun, Reason::Overload)));
    }
}

/// Guards against an account's urgent call that is refused while calls of its own lower tiers
/// keep their places.
#[test]
fn an_account_at_its_bound_gives_up_its_lower_tiers() {
    let mut bench = Bench::new(tree(), 4);
    let call = |caller, tier: &'static str| IncomingRequest {
        account: "small".into(),
        tier: Some(tier.into()),
        ..call(caller)
    };
    bench.open(call(1, "batch"));
    bench.open(call(2, "batch"));
    for (caller, displaced) in [(3, 2), (4, 1)] {
        let actions = bench.call(call(caller, "normal"));
        assert!(offered(&actions).is_some());
        assert!(has!(actions, Action::Refuse { caller, refusal, .. }
            if (*caller, refusal.reason) == (displaced, Reason::Displaced)));
    }
    assert_eq!(refusal(&bench.call(call(5, "normal"))), Some((NotRun, Reason::AccountLimit)));
}

/// Guards against a stop that cuts open requests off or never ends.
#[test]
fn a_planned_stop_finishes_what_is_open() {
    let mut bench = Bench::new(tree(), 4);
    let open = bench.start(call(1), grant(1));
    assert!(bench.send(Event::Stop).is_empty());
    assert_eq!(refusal(&bench.call(call(2))), Some((NotRun, Reason::Leaving)));
    bench.frame(open, grant(1), data(0, "bid"));
    let actions = bench.frame(open, grant(1), end("bid"));
    assert!(matches!(actions[..], [.., Action::Finish { caller: 1 }, Action::Stopped]));
}
