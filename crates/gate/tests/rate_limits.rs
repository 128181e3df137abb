//! Rate limits that backend servers name, which bind all gateways together.

mod common;

use std::time::Duration;

use common::{
    PLAIN, TestGateway,
    limited::{Fleet, Manner, WINDOW},
    request,
};
use gate::{Event, action::Dispatch, event::AttemptResult};

const S: Duration = Duration::from_secs(1);

/// Returns the most requests that a backend server may get in a window.
fn most_allowed(limit: f64) -> usize {
    (limit * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns a fleet under load in which the first backend server names a limit, and when it began.
fn limited_fleet(gateways: usize, limit: f64, seed: u64) -> (Fleet, wire::time::Instant) {
    let load = (120.0 / gateways as f64).max(4.0);
    let mut fleet = Fleet::new(gateways, 3, load, seed);
    fleet.advance(S);
    fleet.servers[0].limit = Some(limit);
    let named_at = fleet.now;
    (fleet, named_at)
}

fn assert_kept(fleet: &Fleet, named_at: wire::time::Instant, limit: f64) {
    let most = fleet.most_in_window(0, named_at);
    assert!(most <= most_allowed(limit), "{most} requests in a window, limit {limit}");
}

/// Asserts that a part of what the limit allows was used from a time on.
fn assert_used(fleet: &Fleet, from: wire::time::Instant, limit: f64, part: f64) {
    let used = fleet.arrivals_at(0, from).count() as f64;
    let allowed = limit * fleet.now.since(from).as_secs_f64();
    // The first and the last permit may fall outside.
    assert!(used >= allowed * part - 1.0, "{used} requests, {allowed} are allowed");
}

/// Guards against gateways that each use the whole limit, or together less than it allows.
#[test]
fn all_gateways_together_use_the_limit_of_a_server() {
    for (gateways, seed) in [(1, 1), (2, 2), (4, 3), (28, 4)] {
        for limit in [0.5, 1.0, 1.8, 7.5, 30.0] {
            let (mut fleet, named_at) = limited_fleet(gateways, limit, seed);
            fleet.advance(12 * S);
            assert_kept(&fleet, named_at, limit);
            assert_used(&fleet, named_at + S, limit, 0.8);
            assert!(fleet.refusals.is_empty(), "the other servers serve the rest");
        }
    }
}

/// Guards against a limit that many gateways break with one request each, or whose part for each is
/// too small to be used. `FLEET` is their number.
#[test]
fn many_gateways_keep_the_limit() {
    let gateways = number("FLEET", 60) as usize;
    let (mut fleet, named_at) = limited_fleet(gateways, 1.8, 11);
    fleet.advance(12 * S);
    assert_kept(&fleet, named_at, 1.8);
    assert_used(&fleet, named_at + 2 * S, 1.8, 0.7);
}

/// Guards against fixed parts of a limit, of which a gateway without callers uses nothing.
#[test]
fn a_gateway_with_all_callers_uses_the_whole_limit() {
    let (mut fleet, named_at) = limited_fleet(28, 1.8, 5);
    fleet.load = vec![0.0; 28];
    fleet.load[11] = 60.0;
    fleet.advance(12 * S);
    assert_kept(&fleet, named_at, 1.8);
    assert_used(&fleet, named_at + 2 * S, 1.8, 0.8);
}

/// Guards against a limit that is missed if it is named in failures or rejections only.
#[test]
fn a_limit_named_in_failures_and_rejections_is_kept() {
    for manner in [Manner::Failed, Manner::Rejected] {
        let (mut fleet, named_at) = limited_fleet(4, 1.8, 6);
        fleet.servers[0].manner = manner;
        fleet.advance(12 * S);
        assert_kept(&fleet, named_at, 1.8);
    }
}

/// Guards against retries, which are more than the first attempts if another server fails, that
/// don't count against the limit.
#[test]
fn retries_count_against_the_limit() {
    let (mut fleet, named_at) = limited_fleet(4, 1.8, 7);
    for server in [1, 2] {
        fleet.servers[server].limit = Some(1e6);
        fleet.servers[server].manner = Manner::Failed;
    }
    fleet.advance(12 * S);
    assert!(fleet.arrivals_at(0, named_at).any(|arrival| arrival.is_repeat), "no retry was sent");
    assert_kept(&fleet, named_at, 1.8);
}

/// Guards against permits of the earlier limit that are used after it fell, and against a limit
/// that never rises or ends again.
#[test]
fn a_limit_falls_rises_and_ends() {
    let (mut fleet, named_at) = limited_fleet(4, 20.0, 8);
    fleet.advance(8 * S);
    assert_kept(&fleet, named_at, 20.0);
    fleet.servers[0].limit = Some(1.0);
    let fell_at = fleet.now;
    fleet.advance(10 * S);
    assert_kept(&fleet, fell_at, 1.0);
    assert_used(&fleet, fell_at + S, 1.0, 0.7);
    fleet.servers[0].limit = Some(10.0);
    let rose_at = fleet.now;
    fleet.advance(12 * S);
    assert_kept(&fleet, rose_at, 10.0);
    assert_used(&fleet, rose_at + 2 * S, 10.0, 0.8);
    fleet.servers[0].limit = None;
    let ended_at = fleet.now;
    fleet.advance(5 * S);
    let after = fleet.arrivals_at(0, ended_at + 2 * S).count();
    assert!(after > 60, "{after} requests in 3 s after the end of the limit");
}

/// Guards against a server that is never asked again, so that the end of its limit isn't noticed.
#[test]
fn a_server_that_takes_no_requests_is_asked_again() {
    let (mut fleet, named_at) = limited_fleet(4, 0.0, 9);
    fleet.advance(12 * S);
    assert_kept(&fleet, named_at, 0.0);
    fleet.servers[0].limit = None;
    let ended_at = fleet.now;
    fleet.advance(12 * S);
    assert!(fleet.arrivals_at(0, ended_at).count() > 100, "the end was not noticed");
}

/// Guards against gateways that each have to be told by the server itself.
#[test]
fn a_limit_is_announced_at_once() {
    let mut fleet = Fleet::new(4, 1, 0.0, 10);
    fleet.servers[0].limit = Some(0.0);
    fleet.send(0, request("status"));
    fleet.advance(80 * common::MS);
    (1..4).for_each(|gateway| {
        fleet.send(gateway, request("status"));
    });
    assert_eq!(fleet.arrivals.len(), 1);
}

/// Guards against a limit that ends with a response that was sent before it was named.
#[test]
fn a_response_to_an_earlier_request_does_not_end_a_limit() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    let (first, second) = (gateway.arrive(request("bid")), gateway.arrive(request("bid")));
    gateway.advance(100 * common::MS);
    let state = |number, per_s| Event::RateLimitStated { number, per_s };
    gateway.feed(state(first, Some(0.0)));
    gateway.feed(state(second, None));
    gateway.end(first, AttemptResult::Complete);
    gateway.end(second, AttemptResult::Complete);
    let third = gateway.arrive(request("bid"));
    assert!(gateway.dispatched(third).is_none(), "the limit of 0 is in force");
}

/// Guards against permits of a higher limit that are used after it fell.
#[test]
fn permits_of_a_higher_limit_are_not_used() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    let (first, second) = (gateway.arrive(request("bid")), gateway.arrive(request("bid")));
    gateway.feed(Event::RateLimitStated { number: first, per_s: Some(100.0) });
    gateway.end(first, AttemptResult::Complete);
    gateway.advance(100 * common::MS);
    gateway.feed(Event::RateLimitStated { number: second, per_s: Some(0.0) });
    gateway.end(second, AttemptResult::Complete);
    let third = gateway.arrive(request("bid"));
    assert!(gateway.dispatched(third).is_none());
}

/// Advances the clock until a request is dispatched, which takes up to two periods of the limit.
fn wait_for_permit(gateway: &mut TestGateway, number: u64) -> Dispatch {
    for _ in 0..50 {
        if let Some(dispatch) = gateway.dispatched(number) {
            return dispatch;
        }
        gateway.advance(10 * common::MS);
    }
    panic!("no permit");
}

/// Guards against a permit that is lost with a request of which nothing was sent.
#[test]
fn a_request_that_was_not_sent_uses_no_permit() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    let first = gateway.arrive(request("bid"));
    gateway.feed(Event::RateLimitStated { number: first, per_s: Some(8.0) });
    gateway.end(first, AttemptResult::Complete);
    let unsent = gateway.arrive(request("bid"));
    let backend = wait_for_permit(&mut gateway, unsent).backend;
    gateway.feed(Event::NotSent { number: unsent });
    gateway.feed(Event::Probed { backend, reachable: true });
    let next = gateway.arrive(request("bid"));
    assert!(gateway.dispatched(next).is_some(), "the permit was not returned");
}

/// Guards against restarts, pauses, planned stops and kills of gateways that add to the limit.
#[test]
fn gateways_that_come_and_go_keep_the_limit() {
    for seed in 20..30 {
        let (mut fleet, named_at) = limited_fleet(4, 1.8, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        for _ in 0..16 {
            let index = rng.usize(0..4);
            match rng.u32(0..4) {
                0 => fleet.restart(index),
                1 => fleet.paused[index] = !fleet.paused[index],
                2 => fleet.stop(index),
                _ => fleet.kill(index),
            }
            fleet.advance(rng.u32(50..1_500) * common::MS);
            if rng.bool() {
                fleet.restart(index);
                fleet.load[index] = 30.0;
            }
        }
        assert_kept(&fleet, named_at, 1.8);
    }
}

/// Guards against gateways that are cut off from each other and each use the whole limit.
#[test]
fn gateways_cut_off_from_each_other_share_the_limit() {
    for parts in [vec![0, 0, 1, 1], vec![0, 1, 1, 1], vec![0, 1, 2, 3]] {
        let (mut fleet, named_at) = limited_fleet(4, 1.8, 40);
        fleet.advance(3 * S);
        fleet.parts = parts;
        let cut_at = fleet.now;
        fleet.advance(20 * S);
        fleet.parts = vec![0; 4];
        fleet.advance(10 * S);
        assert_kept(&fleet, named_at, 1.8);
        assert_used(&fleet, cut_at, 1.8, 0.6);
    }
}

/// Guards against lost, repeated and late datagrams that lose the limit or add permits to it.
#[test]
fn lost_and_repeated_datagrams_keep_the_limit() {
    let (mut fleet, named_at) = limited_fleet(8, 3.0, 50);
    (fleet.loss, fleet.repeats) = (0.3, 0.3);
    fleet.advance(20 * S);
    assert_kept(&fleet, named_at, 3.0);
    assert_used(&fleet, named_at + S, 3.0, 0.4);
}

/// Guards against a limit that stays in force for the next run of a server.
#[test]
fn a_restarted_server_has_no_limit() {
    let (mut fleet, _) = limited_fleet(4, 1.0, 60);
    fleet.advance(5 * S);
    fleet.restart_server(0);
    let restarted_at = fleet.now;
    fleet.advance(2 * S);
    assert!(fleet.arrivals_at(0, restarted_at).count() > 40, "the limit is still in force");
}

/// Guards against requests that wait although the limits of all servers leave no place for them.
#[test]
fn requests_beyond_the_limits_of_all_servers_are_refused_at_once() {
    let (mut fleet, named_at) = limited_fleet(4, 2.0, 70);
    for server in 0..3 {
        fleet.servers[server].limit = Some(2.0);
    }
    fleet.advance(10 * S);
    assert_kept(&fleet, named_at, 2.0);
    assert_used(&fleet, named_at + S, 2.0, 0.8);
    let (refused, all) = (fleet.refused_for_limit(), fleet.refusals.len());
    assert!(refused * 10 > all * 7, "{refused} of {all} were refused at once");
    assert!(fleet.refusals.iter().all(|(_, refusal)| refusal.retry_after.is_some()));
    assert!(fleet.refusals.iter().all(|(_, refusal)| refusal.reason.status() == 503));
}

/// Guards against the places of a limited server that go to requests of a lower tier.
#[test]
fn the_highest_tier_gets_the_places_of_a_limited_server() {
    let mut gateway = TestGateway::with_backends(PLAIN, 1);
    let first = gateway.arrive(request("bid"));
    gateway.feed(Event::RateLimitStated { number: first, per_s: Some(8.0) });
    gateway.end(first, AttemptResult::Complete);
    // A request without an account has the most urgent tier.
    let low = gateway.arrive(request("bid"));
    let urgent = gateway.arrive(request("public"));
    wait_for_permit(&mut gateway, urgent);
    assert!(gateway.dispatched(low).is_none());
}

/// Guards against urgent requests that are refused while others get the places of limited servers,
/// also at other gateways.
#[test]
fn urgent_requests_get_the_places_at_all_gateways() {
    let (mut fleet, named_at) = limited_fleet(4, 2.0, 80);
    for server in 0..3 {
        fleet.servers[server].limit = Some(2.0);
    }
    fleet.advance(2 * S);
    // Half of what the limits allow.
    fleet.urgent_load = 0.75;
    let from = fleet.now;
    fleet.advance(20 * S);
    assert_kept(&fleet, named_at, 2.0);
    let later = fleet.arrivals.iter().filter(|arrival| arrival.at >= from);
    let served = later.filter(|arrival| arrival.is_urgent).count();
    let sent = fleet.urgent_count;
    assert!(served * 10 >= sent * 9, "{served} of {sent} urgent requests got a place");
}

/// Guards against any order of faults in which the gateways together break a limit.
#[test]
fn random_faults_keep_the_limit() {
    fn keeps(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = rng.usize(2..8);
        let limit = [0.3, 1.0, 1.8, 4.0, 12.0][rng.usize(0..5)];
        let (mut fleet, named_at) = limited_fleet(gateways, limit, seed);
        fleet.loss = rng.f64() * 0.2;
        fleet.repeats = rng.f64() * 0.2;
        fleet.servers[0].manner =
            [Manner::Complete, Manner::Failed, Manner::Rejected][rng.usize(0..3)];
        for _ in 0..10 {
            let index = rng.usize(0..gateways);
            match rng.u32(0..6) {
                0 => fleet.restart(index),
                1 => fleet.paused[index] = !fleet.paused[index],
                2 => fleet.kill(index),
                3 => fleet.parts[index] = rng.u8(0..2),
                4 => fleet.load[index] = rng.f64() * 80.0,
                _ => fleet.parts = vec![0; gateways],
            }
            fleet.advance(rng.u32(100..2_000) * common::MS);
        }
        let most = fleet.most_in_window(0, named_at);
        if most > most_allowed(limit) {
            eprintln!("seed {seed}: {most} in a window, limit {limit}, {gateways} gateways");
        }
        most <= most_allowed(limit)
    }
    let (first, count) = (number("SCHEDULES_SEED", 1), number("SCHEDULES", 40));
    let broken: Vec<u64> = (first..first + count).filter(|seed| !keeps(*seed)).collect();
    assert!(broken.is_empty(), "seeds {broken:?}");
}

/// Returns a number from the environment.
fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
