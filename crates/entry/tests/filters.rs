//! Filters and the entry's own capacity.

mod common;

use std::time::Duration;

use common::{
    Fixture, data, end, find_offer, find_refusal, grant, incoming, service_request, started, tree,
};
use entry::{Action, Event, IncomingRequest};
use wire::outcome::{Outcome::*, Reason};

/// Guards against filters that accept a request they should refuse, and against refusals with
/// the wrong reason.
#[test]
fn each_filter_refuses_with_its_reason() {
    let small = IncomingRequest { account: "small".into(), ..incoming(1) };
    for (incoming, reason) in [
        (IncomingRequest { model: "large-2".into(), ..incoming(1) }, Reason::NoRoute),
        (service_request(1, "/floors", None), Reason::NoRoute),
        (IncomingRequest { account: "nobody".into(), ..incoming(1) }, Reason::UnknownAccount),
        (IncomingRequest { authenticated: false, ..incoming(1) }, Reason::UnknownAccount),
        (IncomingRequest { tier: Some("urgent".into()), ..small.clone() }, Reason::BadRequest),
        (IncomingRequest { tier: Some("unheard-of".into()), ..small }, Reason::BadRequest),
        (IncomingRequest { body_len: 10_001, ..incoming(1) }, Reason::TooLarge),
        (IncomingRequest { deadline: Some(Duration::ZERO), ..incoming(1) }, Reason::Deadline),
        (service_request(1, "/floor/bids/7", None), Reason::BadKey),
        (service_request(1, "/floor/bids/7", Some("made-up")), Reason::BadKey),
    ] {
        let actions = Fixture::new(tree(), 4).receive(incoming);
        assert_eq!((find_refusal(&actions), find_offer(&actions)), (Some((NotRun, reason)), None));
    }
}

/// Guards against routes matched by a shorter prefix than possible, against deadlines longer than
/// the tier's maximum, and against refusals on idempotent routes for callers whose client libraries
/// generate keys.
#[test]
fn offer_head_has_the_results_of_the_filters() {
    for (incoming, route, remaining_ms) in [
        (IncomingRequest { deadline: Some(Duration::from_secs(60)), ..incoming(1) }, "chat", 5000),
        (incoming(1), "chat", 2000),
        (service_request(1, "/floor/bid", None), "floor", 2000),
        (service_request(1, "/floor/notes?id=1", None), "notes", 2000),
        (service_request(1, "/floor/lots", Some("made-up")), "floor", 2000),
    ] {
        let actions = Fixture::new(tree(), 4).receive(incoming);
        assert!(has!(actions, Action::Offer { head, .. }
            if head.route == route
                && head.remaining.as_millis() == remaining_ms
                && head.key.is_none()));
    }
}

/// Guards against one account that uses up the entry's capacity, and against bodies that use up
/// its memory.
#[test]
fn account_and_body_limits_apply() {
    let mut tree = tree();
    tree.entry.max_held_bytes = 350;
    let mut fixture = Fixture::new(tree, 4);
    let small = |caller| IncomingRequest { account: "small".into(), ..incoming(caller) };
    let first = fixture.open_request(small(1));
    fixture.open_request(small(2));
    assert_eq!(find_refusal(&fixture.receive(small(3))), Some((NotRun, Reason::AccountLimit)));
    fixture.open_request(incoming(4));
    assert_eq!(find_refusal(&fixture.receive(incoming(5))), Some((NotRun, Reason::Overload)));
    fixture.reply_ready(first, grant(1));
    let actions = fixture.receive_frame(first, grant(1), started());
    assert!(has!(actions, Action::DropBody { request } if *request == first.0));
    fixture.open_request(incoming(6));
    fixture.handle(Event::CallerDisconnected { caller: 2 });
    fixture.open_request(small(7));
}

/// Guards against refusing a request while one of a lower tier stays open, and against displacing
/// a request that already has its grant.
#[test]
fn new_request_displaces_the_newest_of_the_lowest_tier() {
    let mut tree = tree();
    tree.entry.max_open = 4;
    let mut fixture = Fixture::new(tree, 4);
    let incoming = |caller, tier: &'static str| IncomingRequest {
        tier: Some(tier.into()),
        ..incoming(caller)
    };
    let granted = fixture.open_request(incoming(1, "batch"));
    fixture.reply_ready(granted, grant(1));
    for (caller, tier) in [(2, "batch"), (3, "batch"), (4, "normal")] {
        fixture.open_request(incoming(caller, tier));
    }
    for (caller, tier, displaced) in [(5, "urgent", 3), (6, "normal", 2), (7, "urgent", 6)] {
        let actions = fixture.receive(incoming(caller, tier));
        assert!(find_offer(&actions).is_some());
        assert!(has!(actions, Action::Refuse { caller, refusal, .. }
            if (*caller, refusal.reason) == (displaced, Reason::Displaced)
                && refusal.retry_after.is_some()));
    }
    for (caller, tier) in [(8, "batch"), (9, "normal")] {
        assert_eq!(
            find_refusal(&fixture.receive(incoming(caller, tier))),
            Some((NotRun, Reason::Overload))
        );
    }
}

/// Guards against refusing a request of an account at its limit while the account has open
/// requests of lower tiers.
#[test]
fn account_at_its_limit_displaces_its_lower_tiers() {
    let mut fixture = Fixture::new(tree(), 4);
    let incoming = |caller, tier: &'static str| IncomingRequest {
        account: "small".into(),
        tier: Some(tier.into()),
        ..incoming(caller)
    };
    fixture.open_request(incoming(1, "batch"));
    fixture.open_request(incoming(2, "batch"));
    for (caller, displaced) in [(3, 2), (4, 1)] {
        let actions = fixture.receive(incoming(caller, "normal"));
        assert!(find_offer(&actions).is_some());
        assert!(has!(actions, Action::Refuse { caller, refusal, .. }
            if (*caller, refusal.reason) == (displaced, Reason::Displaced)));
    }
    assert_eq!(
        find_refusal(&fixture.receive(incoming(5, "normal"))),
        Some((NotRun, Reason::AccountLimit))
    );
}

/// Guards against displacing another account's request although the request that the account
/// displaces for its own limit frees enough bytes.
#[test]
fn a_displaced_request_of_the_account_frees_its_bytes() {
    let mut tree = tree();
    tree.entry.max_held_bytes = 350;
    let mut fixture = Fixture::new(tree, 4);
    let incoming = |caller, tier: &'static str| IncomingRequest {
        tier: Some(tier.into()),
        ..incoming(caller)
    };
    let small =
        |caller, tier| IncomingRequest { account: "small".into(), ..incoming(caller, tier) };
    fixture.open_request(small(1, "batch"));
    fixture.open_request(small(2, "batch"));
    fixture.open_request(incoming(3, "batch"));
    let actions = fixture.receive(small(4, "normal"));
    assert!(find_offer(&actions).is_some());
    let displaced = |number| {
        has!(actions, Action::Refuse { caller, refusal, .. }
            if *caller == number && refusal.reason == Reason::Displaced)
    };
    assert!(displaced(2), "the account is at its limit");
    assert!(!displaced(3), "there is capacity for the other account's request");
}

/// Guards against a planned stop that aborts open requests or never ends.
#[test]
fn planned_stop_finishes_open_requests() {
    let mut fixture = Fixture::new(tree(), 4);
    let open = fixture.start_response(incoming(1), grant(1));
    assert!(fixture.handle(Event::Stop).is_empty());
    assert_eq!(find_refusal(&fixture.receive(incoming(2))), Some((NotRun, Reason::Leaving)));
    fixture.receive_frame(open, grant(1), data(0, "bid"));
    let actions = fixture.receive_frame(open, grant(1), end("bid"));
    assert!(matches!(actions[..], [.., Action::Finish { caller: 1 }, Action::Stopped]));
}
