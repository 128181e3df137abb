//! Backend servers that warm up, and the rate that they tolerate from all gateways together.

mod common;

use std::time::Duration;

use common::{MS, PLAIN, TestGateway, limited::Fleet, record, request, setup};
use conf::gateway::WarmUpBounds;
use gate::{Action, Event, backends::Record, catalog::WarmUp, event::AttemptResult, message};
use wire::time::Instant;

const S: Duration = Duration::from_secs(1);
const DURATION: Duration = Duration::from_secs(8);

fn warm_fleet(gateways: usize, servers: usize, load: f64, per_s: f64, seed: u64) -> Fleet {
    let warm_up = Some(WarmUp { duration: DURATION, per_s });
    Fleet::with_warm_up(gateways, servers, load / gateways as f64, seed, warm_up)
}

/// Returns the most requests that a server got in a second, from a time on.
fn most_in_second(fleet: &Fleet, server: usize, from: Instant) -> usize {
    let times: Vec<Instant> = fleet.arrivals_at(server, from).map(|arrival| arrival.at).collect();
    let in_second =
        |end: &Instant| times.iter().filter(|at| **at <= *end && end.since(**at) < S).count();
    times.iter().map(in_second).max().unwrap_or(0)
}

fn assert_kept(fleet: &Fleet, server: usize, from: Instant, per_s: f64) {
    let most = most_in_second(fleet, server, from);
    assert!(most as f64 <= per_s * 1.5 + 5.0, "{most} requests in a second, {per_s} tolerated");
}

/// Returns a number set in the environment.
fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |number| number.parse().expect(name))
}

/// Begins a warm-up of a server, of a new run if `restarts`, that gateway 0 reads at once and the
/// others within 0.8 s.
fn warm_up(fleet: &mut Fleet, server: usize, restarts: bool) -> Instant {
    fleet.servers[server].started += u64::from(restarts);
    fleet.servers[server].warm_up_left = Some(DURATION);
    let began_at = fleet.now;
    fleet.read_record(0, server);
    let gateways = fleet.gateways.len();
    for part in 0..8 {
        fleet.advance(100 * MS);
        for gateway in (1..gateways).filter(|gateway| gateway % 8 == part) {
            if !fleet.paused[gateway] && fleet.parts[gateway] == fleet.parts[0] {
                fleet.read_record(gateway, server);
            }
        }
    }
    began_at
}

/// Guards against gateways that send their usual rate until each has read the record itself, for a
/// run that begins and for a server that begins to warm up while it is warm.
#[test]
fn the_first_gateway_that_reads_a_warm_up_tells_all() {
    for (gateways, seed) in [(1, 1), (4, 2), (28, 3)] {
        for (per_s, restarts) in [(14.0, true), (9.3, false)] {
            let mut fleet = warm_fleet(gateways, 3, 240.0, per_s, seed);
            fleet.advance(S);
            let began_at = warm_up(&mut fleet, 0, restarts);
            fleet.advance(6 * S);
            assert_kept(&fleet, 0, began_at, per_s);
            fleet.advance(3 * S);
            let after = fleet.arrivals_at(0, began_at + 9 * S).count();
            assert!(after > 30, "{after} requests in 0.8 s after the end");
        }
    }
}

/// Guards against a rate of which gateways use little while they refuse callers, since permits go to
/// gateways that don't need them or expire on their way. 0.7 is the requirement. `FLEET` is the
/// largest number of gateways.
#[test]
fn the_rate_is_used_while_callers_are_refused() {
    let most = number("FLEET", 40) as usize;
    for (gateways, servers, load, seed) in [(4, 3, 40.0, 1), (12, 10, 40.0, 2), (most, 4, 25.0, 3)]
    {
        let per_s = 14.0;
        let mut fleet = warm_fleet(gateways, servers, load * servers as f64, per_s, seed);
        let load = std::mem::replace(&mut fleet.load, vec![0.0; gateways]);
        fleet.advance(4 * S);
        fleet.load = load;
        let began_at = fleet.now;
        (0..servers).for_each(|server| fleet.servers[server].warm_up_left = Some(DURATION));
        for gateway in 0..gateways {
            (0..servers).for_each(|server| fleet.read_record(gateway, server));
        }
        fleet.advance(7 * S);
        let from = began_at + S;
        for server in 0..servers {
            assert_kept(&fleet, server, began_at, per_s);
        }
        let used: usize = (0..servers).map(|server| fleet.arrivals_at(server, from).count()).sum();
        let share = used as f64 / (6.0 * per_s * servers as f64);
        println!("{gateways} gateways, {servers} servers: {share:.2} of the rate");
        assert!(share >= 0.7, "{share} with {gateways} gateways");
        assert!(!fleet.refusals.is_empty());
    }
}

/// Guards against a server that gets the usual rate as soon as it accepts connections again, since
/// its next record is read later.
#[test]
fn a_server_that_refused_connections_counts_as_warming_up() {
    let mut fleet = warm_fleet(28, 3, 240.0, 14.0, 5);
    fleet.advance(S);
    fleet.servers[0].is_down = true;
    fleet.advance(2 * S);
    fleet.servers[0].is_down = false;
    let began_at = fleet.now;
    fleet.advance(800 * MS);
    warm_up(&mut fleet, 0, true);
    fleet.advance(5 * S);
    assert_kept(&fleet, 0, began_at, 14.0);
    assert!(fleet.arrivals_at(0, began_at).count() > 40, "permits are issued");
}

/// Guards against an issuer whose end, stop or pause leaves two issuers or none.
#[test]
fn a_lost_issuer_keeps_the_rate() {
    for seed in 0..4 {
        let mut fleet = warm_fleet(4, 2, 160.0, 14.0, seed);
        let began_at = warm_up(&mut fleet, 0, true);
        let gateway = seed as usize;
        fleet.kill(gateway);
        fleet.advance(3 * S);
        assert_kept(&fleet, 0, began_at, 14.0);
        let used = fleet.arrivals_at(0, began_at + 3 * S).count();
        assert!(used >= 5, "{used} requests after the loss of gateway {gateway}");
        let load = fleet.load[(gateway + 1) % 4];
        fleet.restart(gateway);
        fleet.load[gateway] = load;
        fleet.advance(2 * S);
        assert_kept(&fleet, 0, began_at, 14.0);
    }
}

/// Guards against gateways that each issue the whole rate, since they start at once or don't receive
/// each other's messages.
#[test]
fn gateways_that_start_or_are_cut_off_keep_the_rate() {
    for seed in 0..4 {
        let mut fleet = warm_fleet(4, 2, 160.0, 14.0, seed);
        let began_at = warm_up(&mut fleet, 0, true);
        (0..4).for_each(|gateway| fleet.restart(gateway));
        fleet.advance(2 * S);
        fleet.parts = vec![0, 0, 1, 2];
        fleet.advance(2500 * MS);
        fleet.parts = vec![0; 4];
        fleet.advance(2 * S);
        assert_kept(&fleet, 0, began_at, 14.0);
    }
}

/// Guards against a bound that holds for each fault alone, but not for several. `SCHEDULES` is the
/// number of schedules, `SEED` the first one.
#[test]
fn random_schedules_keep_the_rate() {
    play_schedules(false, 0);
}

/// Guards against a gateway that is cut off from the others and the store when a warm server begins to
/// warm up, and sends it the usual rate until it reads the record.
#[test]
fn random_schedules_with_a_cut_at_the_begin_keep_the_rate() {
    play_schedules(true, 37);
}

fn play_schedules(cuts_at_begin: bool, first: u64) {
    let first = number("SEED", first);
    for seed in first..first + number("SCHEDULES", 12) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = *rng.choice(&[4, 9, 28]).expect("a choice");
        let per_s = *rng.choice(&[14.0, 9.3, 2.0]).expect("a choice");
        let mut fleet = warm_fleet(gateways, 3, 90.0, per_s, seed);
        fleet.loss = rng.f64() * 0.1;
        fleet.repeats = rng.f64() * 0.1;
        let load = fleet.load[0];
        let disturbed = rng.usize(1..gateways);
        match cuts_at_begin {
            true => fleet.parts[disturbed] = 1,
            false => fleet.paused[disturbed] = rng.bool(),
        }
        let began_at = warm_up(&mut fleet, 0, rng.bool());
        while fleet.now.since(began_at) < 7 * S {
            let gateway = rng.usize(0..gateways);
            match rng.u8(0..6) {
                0 if !fleet.stopped[gateway] => fleet.kill(gateway),
                1 => {
                    fleet.restart(gateway);
                    fleet.load[gateway] = load;
                }
                2 => fleet.paused[gateway] = true,
                3 => fleet.paused.fill(false),
                4 => fleet.parts.iter_mut().for_each(|part| *part = rng.u8(0..2)),
                _ => fleet.parts.fill(0),
            }
            fleet.advance(rng.u32(5..60) * 10 * MS);
        }
        let most = most_in_second(&fleet, 0, began_at);
        let allowed = per_s * 1.5 + 5.0;
        assert!(most as f64 <= allowed, "seed {seed}: {most} requests in a second, {allowed}");
    }
}

/// Returns a gateway with a server of a service that warms up, as a record read after its start.
fn warm_gateway(left: Option<Duration>) -> TestGateway {
    let mut setup = setup(1, true);
    setup.bounds.warm_up = Some(WarmUpBounds { overage: 1.5, slack: 5.0 });
    let mut gateway = TestGateway::start(setup, Instant(1_000_000));
    let mut catalog = common::catalog(1, &["k1", "k2"], 0.0);
    let warm_up = Some(WarmUp { duration: DURATION, per_s: 10.0 });
    catalog.services.get_mut(PLAIN.as_bytes()).expect("plain").warm_up = warm_up;
    gateway.feed(Event::Catalog(std::rc::Rc::new(catalog)));
    gateway.confirm();
    write(&mut gateway, 1, left);
    gateway
}

fn write(gateway: &mut TestGateway, started: u64, left: Option<Duration>) {
    gateway.add("r0", written(started, left));
}

fn written(started: u64, left: Option<Duration>) -> Record {
    let slots = 1_000;
    Record { started: Some(started), warm_up_left: left, slots, ..record(PLAIN, 9_000) }
}

fn left(gateway: &TestGateway) -> u64 {
    let key = gateway.machine.backends().keys_of(PLAIN.as_bytes())[0];
    gateway.machine.warm_up_left(gateway.now, key).map_or(0, |(left, _)| left.as_secs())
}

/// Guards against a record without the field that counts as one of a warm server, and against a
/// process that has just started and uses no server at full rate for that.
#[test]
fn a_run_whose_record_says_nothing_warms_up_unless_the_gateway_has_just_started() {
    let mut gateway = warm_gateway(None);
    assert_eq!(left(&gateway), 8);
    write(&mut gateway, 1, Some(Duration::ZERO));
    assert_eq!(left(&gateway), 0, "a later record says that it is warm");
    let mut fleet = warm_fleet(1, 1, 0.0, 10.0, 1);
    fleet.servers[0].warm_up_left = None;
    fleet.restart(0);
    assert_eq!(fleet.gateways[0].machine.warming_count(fleet.now), 0);
}

/// Guards against a warm-up that ends by a record from before it, or of an older copy of the store,
/// or that never ends.
#[test]
fn a_warm_up_ends_in_time_or_by_a_later_record_only() {
    let mut gateway = warm_gateway(Some(Duration::ZERO));
    write(&mut gateway, 1, Some(4 * S));
    assert_eq!(left(&gateway), 4);
    gateway.feed(Event::StoreRestored);
    let older = vec![("r0".into(), written(1, Some(Duration::ZERO)))];
    gateway.feed(Event::Records(older));
    assert_eq!(left(&gateway), 4, "the copy is older");
    write(&mut gateway, 1, Some(3 * S));
    write(&mut gateway, 1, Some(Duration::ZERO));
    assert_eq!(left(&gateway), 0);
    write(&mut gateway, 2, Some(2 * S));
    gateway.advance_confirmed(3 * S);
    assert_eq!(left(&gateway), 0, "its time is over");
    write(&mut gateway, 2, Some(2 * S));
    assert_eq!(left(&gateway), 2, "it was written again");
}

/// Guards against a warm-up that only a response of the server states.
#[test]
fn a_response_states_a_warm_up() {
    let mut gateway = warm_gateway(Some(Duration::ZERO));
    let number = gateway.arrive(request("bid"));
    let statement = gate::statement::Statement {
        warm_up_left: Some(5 * S),
        ..gate::statement::Statement::default()
    };
    gateway.feed(Event::Stated { number, statement });
    gateway.end(number, AttemptResult::Complete);
    assert_eq!(left(&gateway), 5);
    let next = gateway.arrive(request("bid"));
    assert!(gateway.dispatched(next).is_none(), "it has no permit");
    gateway.advance_confirmed(400 * MS);
    let dispatch = gateway.dispatched(next).expect("a permit was issued");
    assert!(dispatch.inputs.warm_up_left.is_some());
    let send_by = dispatch.send_by.expect("a permit ends");
    assert!(send_by <= gateway.now + 250 * MS);
}

/// Guards against a request whose connection took longer than its permit was valid and that is
/// refused, or whose server counts as unreachable.
#[test]
fn a_request_whose_connection_took_long_waits_again() {
    let mut gateway = warm_gateway(Some(Duration::ZERO));
    let number = gateway.arrive(request("bid"));
    let dispatch = gateway.dispatched(number).expect("warm");
    assert_eq!(dispatch.send_by, Some(gateway.now + 250 * MS), "it may have begun to warm up");
    gateway.feed(Event::Late { number });
    let again = gateway.dispatched(number).expect("the server is usable");
    assert_eq!(again.inputs.attempt, 1, "it counts as not sent");
}

/// Guards against permits for an earlier rate that are used in a warm-up, and against permits of a
/// warm-up that are valid as long as those of rate limits.
#[test]
fn permits_from_before_a_warm_up_are_dropped_and_new_ones_are_short() {
    let mut gateway = warm_gateway(Some(Duration::ZERO));
    let number = gateway.arrive(request("bid"));
    gateway.feed(Event::RateLimitStated { number, per_s: Some(100.0) });
    gateway.end(number, AttemptResult::Complete);
    gateway.advance_confirmed(200 * MS);
    let held = gateway.arrive(request("bid"));
    assert!(gateway.dispatched(held).is_some(), "permits are held ahead");
    write(&mut gateway, 1, Some(DURATION));
    let number = gateway.arrive(request("bid"));
    assert!(gateway.dispatched(number).is_none());
    gateway.advance_confirmed(300 * MS);
    let dispatch = gateway.dispatched(number).expect("a permit was issued");
    assert_eq!(dispatch.inputs.rate_limit, Some(10.0), "the lower rate binds");
    // Arrivals are expected, so permits are held ahead of them.
    gateway.advance_confirmed(300 * MS);
    let dispatches = |gateway: &mut TestGateway| {
        let number = gateway.arrive(request("bid"));
        gateway.dispatched(number).is_some()
    };
    assert!(dispatches(&mut gateway), "a permit is held");
    gateway.advance_confirmed(300 * MS);
    gateway.now = gateway.now + 260 * MS;
    assert!(!dispatches(&mut gateway), "it was not used in time");
    gateway.advance_confirmed(600 * MS);
    write(&mut gateway, 2, Some(DURATION));
    assert!(!dispatches(&mut gateway), "it was issued for the run before");
}

/// Guards against a process that was paused while a warm-up began and sends the requests that came
/// meanwhile to that server.
#[test]
fn a_gateway_that_was_paused_waits_for_what_it_missed() {
    let mut fleet = warm_fleet(4, 3, 0.0, 14.0, 1);
    fleet.paused[3] = true;
    fleet.servers[0].warm_up_left = Some(DURATION);
    (0..3).for_each(|gateway| fleet.read_record(gateway, 0));
    fleet.advance(2 * S);
    fleet.paused[3] = false;
    let resumed_at = fleet.now;
    (0..30).for_each(|_| {
        fleet.send(3, request("status"));
    });
    assert!(fleet.arrivals.is_empty());
    fleet.advance(300 * MS);
    let at = |server| fleet.arrivals_at(server, resumed_at).count();
    assert!(at(0) <= 5 && at(0) + at(1) + at(2) == 30, "{} {} {}", at(0), at(1), at(2));
}

/// Guards against a large deployment, in which repeated reports reach few gateways, where a process
/// that has just started doesn't learn of warm-ups.
#[test]
fn a_started_process_gets_the_warm_ups_at_once() {
    let mut gateway = warm_gateway(Some(Duration::ZERO));
    write(&mut gateway, 1, Some(DURATION));
    gateway.advance_confirmed(300 * MS);
    gateway.actions.clear();
    let from = Some(([127, 0, 0, 9], 1).into());
    let message = message::Message { process: 2, from, sequence: 1, ..Default::default() };
    gateway.feed(Event::StateReceived(message));
    let sent = gateway.actions.iter().find_map(|action| match action {
        Action::Send { to, datagram: message::Datagram::WarmUps(reports) } if Some(*to) == from => {
            Some(reports.len())
        }
        _ => None,
    });
    assert_eq!(sent, Some(1));
}

/// Guards against an issuer that issues the whole rate as soon as it receives gateways that were cut
/// off, while their issuer has not received it yet. Rounds of messages take half a second here.
#[test]
fn gateways_that_are_connected_again_keep_the_rate() {
    let mut fleet = warm_fleet(60, 1, 300.0, 100.0, 1);
    fleet.advance(2 * S);
    warm_up(&mut fleet, 0, true);
    fleet.parts = (0..60).map(|gateway| gateway % 2).collect();
    fleet.advance(3 * S);
    fleet.parts.fill(0);
    let healed_at = fleet.now;
    fleet.advance(2 * S);
    assert_kept(&fleet, 0, healed_at, 100.0);
    // 95 were seen, and 120 if the part of the rate rises at once.
    let most = most_in_second(&fleet, 0, healed_at);
    assert!(most <= 110, "{most} requests in a second");
}

/// Guards against a gateway that misses an announcement and the record, and sends its usual rate once
/// it is back.
#[test]
fn a_gateway_that_was_cut_off_learns_of_a_warm_up() {
    let mut fleet = warm_fleet(4, 2, 0.0, 14.0, 1);
    fleet.parts[3] = 1;
    fleet.servers[0].warm_up_left = Some(DURATION);
    (0..3).for_each(|gateway| fleet.read_record(gateway, 0));
    fleet.advance(2 * S);
    let knows = |fleet: &Fleet| fleet.gateways[3].machine.warming_count(fleet.now) == 1;
    assert!(!knows(&fleet));
    fleet.parts[3] = 0;
    fleet.advance(300 * MS);
    assert!(knows(&fleet), "its first message is answered with the warm-ups");
}

/// Guards against a change of behaviour where the bounds are not set.
#[test]
fn without_bounds_nothing_warms_up() {
    let mut gateway = TestGateway::start(setup(1, true), Instant(1_000_000));
    let mut catalog = common::catalog(1, &["k1", "k2"], 0.0);
    let warm_up = Some(WarmUp { duration: DURATION, per_s: 10.0 });
    catalog.services.get_mut(PLAIN.as_bytes()).expect("plain").warm_up = warm_up;
    gateway.feed(Event::Catalog(std::rc::Rc::new(catalog)));
    gateway.confirm();
    write(&mut gateway, 1, Some(DURATION));
    let number = gateway.arrive(request("bid"));
    assert_eq!(gateway.dispatched(number).expect("warm").send_by, None);
    assert!(!gateway.actions.iter().any(|action| matches!(
        action,
        Action::Send { datagram: message::Datagram::WarmUps(_), .. }
    )));
}
