//! Checks before a request may reach a backend server.

mod common;

use std::{rc::Rc, time::Duration};

use common::{MODEL, MS, PLAIN, TestGateway, catalog, record, request, setup};
use gate::{Event, event::AttemptResult, refusal::Reason};

/// Guards against 404 from a process that has not read a configuration yet: the caller takes it as
/// final although the route exists.
#[test]
fn requests_before_the_first_configuration_are_refused_as_not_ready() {
    let mut gateway = TestGateway::empty(setup(1, true));
    let number = gateway.arrive(request("bid"));
    let refusal = gateway.refused(number).expect("refused");
    assert_eq!(refusal.reason, Reason::NotReady);
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after.is_some());
    assert!(!gateway.machine.is_ready(gateway.now));
}

/// Guards against 404 and 401 by a configuration that may be outdated.
#[test]
fn only_a_recently_confirmed_configuration_denies_routes_and_keys() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    let unknown = gateway.arrive(request("absent"));
    assert_eq!(gateway.reason(unknown), Some(Reason::NoRoute));
    let mut foreign = request("bid");
    foreign.api_key = Some("k9".into());
    let denied = gateway.arrive(foreign.clone());
    assert_eq!(gateway.reason(denied), Some(Reason::UnknownKey));

    gateway.advance(Duration::from_millis(3_600));
    let unknown = gateway.arrive(request("absent"));
    assert_eq!(gateway.reason(unknown), Some(Reason::Stale));
    let denied = gateway.arrive(foreign);
    assert_eq!(gateway.reason(denied), Some(Reason::Stale));
}

/// Guards against an earlier route taking precedence over one with a longer prefix.
#[test]
fn the_longest_prefix_wins() {
    let mut configuration = catalog(2, &["k1"], 0.0);
    let mut longer = configuration.routes[3].clone();
    longer.prefix = "/bid/x/".into();
    longer.name = "longer".into();
    configuration.routes.insert(0, longer);
    let name = |path: &[u8]| configuration.route(b"H", path).map(|route| route.name.clone());
    assert_eq!(name(b"/bid/x/y").as_deref(), Some(&b"longer"[..]));
    assert_eq!(name(b"/bid/xy").as_deref(), Some(&b"bid"[..]));
    assert_eq!(name(b"/bi"), None);
}

/// Guards against an API key that is accepted after its withdrawal, by a gateway that could not
/// reach the store.
#[test]
fn keys_are_accepted_only_with_a_recently_confirmed_configuration() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    gateway.advance_without_store(Duration::from_millis(4_800));
    let served = gateway.arrive(request("bid"));
    assert!(gateway.dispatched(served).is_some());
    gateway.end(served, AttemptResult::Complete);
    gateway.advance(Duration::from_millis(100));
    let refused = gateway.arrive(request("bid"));
    assert_eq!(gateway.reason(refused), Some(Reason::Stale));
    assert!(!gateway.machine.is_ready(gateway.now));
    let public = gateway.arrive(request("public"));
    assert!(gateway.dispatched(public).is_some(), "a public route needs no key");
}

/// Guards against an API key that is withdrawn while its request waits: a check only at arrival
/// would let the request run.
#[test]
fn keys_of_waiting_requests_are_checked_again() {
    let mut gateway = TestGateway::new();
    let withdrawn = gateway.arrive(request("bid"));
    let mut other = request("bid");
    other.api_key = Some("k2".into());
    let kept = gateway.arrive(other);
    gateway.feed(Event::Catalog(Rc::new(catalog(2, &["k2"], 0.0))));
    gateway.add("r", record(PLAIN, 9_000));
    assert_eq!(gateway.reason(withdrawn), Some(Reason::UnknownKey));
    assert!(gateway.dispatched(kept).is_some());
}

/// Guards against a return to an older configuration when the store or a peer sends it again.
#[test]
fn older_configuration_versions_are_ignored() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    gateway.feed(Event::Catalog(Rc::new(catalog(3, &["k2"], 0.0))));
    gateway.feed(Event::Catalog(Rc::new(catalog(2, &["k1"], 0.0))));
    let number = gateway.arrive(request("bid"));
    assert_eq!(gateway.reason(number), Some(Reason::UnknownKey));
}

/// Guards against a request that waits without any response: one that no backend server can take is
/// refused as not run, well before its objective.
#[test]
fn requests_without_a_backend_are_refused_in_time() {
    let mut gateway = TestGateway::new();
    let number = gateway.arrive(request("essay"));
    gateway.advance_confirmed(600 * MS);
    let refusal = gateway.refused(number).expect("refused");
    assert_eq!(refusal.reason, Reason::NoBackend);
    let after = refusal.retry_after.expect("a time to retry");
    assert!(after < Duration::from_secs(10) / 3, "callers accept up to a third");
    assert_eq!(gateway.machine.open_count(), 0);
}

/// Guards against new requests at a gateway that exits soon, and against refusals as soon as a stop
/// begins.
#[test]
fn a_stopping_gateway_still_serves_for_part_of_the_grace_time() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    gateway.stop();
    assert!(!gateway.machine.is_ready(gateway.now));
    let served = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(served).is_some());
    gateway.advance_confirmed(Duration::from_secs(3));
    let late = gateway.arrive(request("essay"));
    assert_eq!(gateway.reason(late), Some(Reason::Stopping));
}

/// Guards against requests that are taken long after a stop was requested, since the process was busy
/// when the signal came.
#[test]
fn a_stop_that_is_handled_late_accepts_no_longer() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    let requested_at = gateway.now;
    gateway.advance_confirmed(Duration::from_secs(3));
    gateway.feed(Event::Stop { requested_at });
    let late = gateway.arrive(request("essay"));
    assert_eq!(gateway.reason(late), Some(Reason::Stopping));
}

/// Guards against a refusal whose log line shows no waiting requests and no usable servers.
#[test]
fn a_refusal_at_arrival_states_the_load_of_its_service() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    gateway.stop();
    gateway.now = gateway.now + Duration::from_secs(10);
    let number = gateway.arrive(request("status"));
    let refusal = gateway.refused(number).expect("refused");
    assert_eq!(refusal.reason, Reason::Stopping);
    assert_eq!(refusal.inputs.usable, 1);
}

/// Returns a gateway whose requests may wait for longer than a planned stop takes.
fn with_patient_callers(backends: u16) -> TestGateway {
    let mut gateway = TestGateway::with_backends(MODEL, backends);
    let mut patient = catalog(2, &["k1"], 1e6);
    for route in &mut patient.routes {
        route.objective = Duration::from_secs(20);
    }
    gateway.feed(Event::Catalog(Rc::new(patient)));
    gateway
}

/// Guards against requests that wait during a stop, are sent to a server at its end, and are cut.
#[test]
fn waiting_requests_are_refused_before_a_stop_is_over() {
    let mut gateway = with_patient_callers(1);
    let numbers: Vec<_> = (0..20).map(|_| gateway.arrive(request("essay"))).collect();
    let sent = numbers.iter().filter(|number| gateway.dispatched(**number).is_some()).count();
    assert!(sent > 0 && sent < numbers.len(), "{sent} of {}", numbers.len());
    gateway.stop();
    gateway.advance_confirmed(Duration::from_millis(4700));
    let waiting = gateway.machine.open_count() - sent;
    assert!(waiting > 0, "refused long before the end of the grace time");
    gateway.advance_confirmed(Duration::from_millis(200));
    assert_eq!(gateway.machine.open_count(), sent);
    let reasons: Vec<_> = numbers.iter().filter_map(|number| gateway.reason(*number)).collect();
    assert_eq!(reasons, vec![Reason::Stopping; waiting]);
}

/// Guards against a request whose server rejects it late in a stop, and that is sent to another one.
#[test]
fn no_request_is_sent_late_in_a_stop() {
    let mut gateway = with_patient_callers(2);
    let number = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(number).is_some());
    gateway.stop();
    gateway.advance_confirmed(Duration::from_millis(5000));
    gateway.feed(Event::Rejected { number, retry_after: None });
    assert!(gateway.dispatched(number).is_none());
    assert_eq!(gateway.reason(number), Some(Reason::Stopping));
}
