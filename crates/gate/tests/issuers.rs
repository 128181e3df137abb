//! Which gateway issues the permits of a limited backend server, and for which requests.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{MODEL, MS, TestGateway, request};
use gate::{Action, Event, event::AttemptResult, message, message::Datagram, ranking};

/// Limit in requests a second.
const LIMIT: f64 = 10.0;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a gateway whose only backend server named a limit, and the server's run.
fn limited_gateway() -> (TestGateway, u64) {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    let number = gateway.arrive(request("essay"));
    gateway.dispatched(number).expect("dispatched");
    gateway.feed(Event::RateLimitStated { number, per_s: Some(LIMIT) });
    gateway.end(number, AttemptResult::Complete);
    let run = gateway.machine.backends().iter().next().expect("a server").1.run;
    (gateway, run)
}

/// Returns the address of a peer that issues the permits of a run before this gateway, or after it.
fn peer(run: u64, is_before: bool) -> SocketAddr {
    let own = ranking::rank(run, &address(1));
    let mut peers = (2..200).map(address);
    peers.find(|peer| (ranking::rank(run, peer) > own) == is_before).expect("a peer")
}

/// Feeds the state of a peer, which can be reached then.
fn receive_state(gateway: &mut TestGateway, from: SocketAddr) {
    let (process, sequence) = (u64::from(from.port()), gateway.now.0);
    let message =
        message::Message { process, from: Some(from), sequence, ..message::Message::default() };
    gateway.feed(Event::StateReceived(message));
}

fn count_permits(gateway: &mut TestGateway) -> usize {
    let is_permit =
        |action: &Action| matches!(action, Action::Send { datagram: Datagram::Permits(_), .. });
    std::mem::take(&mut gateway.actions).iter().filter(|action| is_permit(action)).count()
}

/// Guards against permits of two gateways at once, since one still serves the demands that it got
/// before another one became the issuer.
#[test]
fn a_gateway_issues_nothing_once_another_is_the_issuer() {
    let (mut gateway, run) = limited_gateway();
    let (before, after) = (peer(run, true), peer(run, false));
    receive_state(&mut gateway, after);
    let demand = message::Demand { run, tier: Some(100), count: 9 };
    let demands = message::Demands {
        from: after,
        token: 1,
        demands: vec![demand],
        limits: Vec::new(),
        warm_ups: Vec::new(),
    };
    gateway.feed(Event::DemandsReceived(demands));
    gateway.advance(300 * MS);
    assert!(count_permits(&mut gateway) > 0, "it is the issuer at first");
    receive_state(&mut gateway, before);
    gateway.advance(110 * MS);
    count_permits(&mut gateway);
    gateway.advance(400 * MS);
    assert_eq!(count_permits(&mut gateway), 0);
}

/// Guards against less urgent requests that get the permits of urgent ones, since all are demanded
/// for the tier of the first.
#[test]
fn permits_are_demanded_by_tier() {
    let (mut gateway, run) = limited_gateway();
    let before = peer(run, true);
    receive_state(&mut gateway, before);
    gateway.advance(Duration::from_millis(120));
    gateway.actions.clear();
    for path in ["tag", "essay", "tag"] {
        gateway.arrive(request(path));
    }
    gateway.advance(100 * MS);
    let demands = gateway.actions.iter().filter_map(|action| match action {
        Action::Send { to, datagram: Datagram::Demands(demands) } if *to == before => Some(demands),
        _ => None,
    });
    let last = demands.last().expect("permits are demanded");
    let tiers: Vec<_> = last.demands.iter().map(|demand| (demand.tier, demand.count)).collect();
    assert_eq!(tiers[..2], [(Some(100), 1), (Some(102), 2)], "{tiers:?}");
}

/// Returns the first tier that a gateway last demanded permits for, of a peer.
fn last_demanded(gateway: &TestGateway, of: SocketAddr) -> Option<message::Demand> {
    let demands = gateway.actions.iter().filter_map(|action| match action {
        Action::Send { to, datagram: Datagram::Demands(demands) } if *to == of => Some(demands),
        _ => None,
    });
    demands.last()?.demands.first().copied()
}

fn last_token(gateway: &TestGateway) -> u64 {
    let tokens = gateway.actions.iter().filter_map(|action| match action {
        Action::Send { datagram: Datagram::Demands(demands), .. } => Some(demands.token),
        _ => None,
    });
    tokens.last().expect("permits are demanded")
}

/// Guards against permits that less urgent requests get while the issuer is not told of an urgent
/// one, or that are issued for an urgent one which has been served.
#[test]
fn a_change_of_the_urgent_requests_is_demanded_at_once() {
    let (mut gateway, run) = limited_gateway();
    let issuer = peer(run, true);
    receive_state(&mut gateway, issuer);
    gateway.advance(120 * MS);
    gateway.arrive(request("tag"));
    gateway.advance(100 * MS);
    assert_eq!(last_demanded(&gateway, issuer).and_then(|demand| demand.tier), Some(102));
    let urgent = gateway.arrive(request("essay"));
    gateway.advance(10 * MS);
    assert_eq!(last_demanded(&gateway, issuer).and_then(|demand| demand.tier), Some(100));
    gateway.advance(100 * MS);
    let token = last_token(&gateway);
    let permits = message::Permits { process: 7, number: 1, token, run, count: 1 };
    gateway.feed(Event::PermitsReceived(permits));
    gateway.dispatched(urgent).expect("it has a permit");
    gateway.advance(10 * MS);
    assert_eq!(last_demanded(&gateway, issuer).and_then(|demand| demand.tier), Some(102));
}

/// Guards against demands without bound while requests arrive and are served at a high rate.
#[test]
fn demands_are_bounded() {
    let (mut gateway, run) = limited_gateway();
    let issuer = peer(run, true);
    receive_state(&mut gateway, issuer);
    gateway.advance(120 * MS);
    gateway.actions.clear();
    for step in 0..100 {
        gateway.arrive(request(if step % 2 == 0 { "essay" } else { "tag" }));
        gateway.advance(10 * MS);
        if step % 20 == 0 {
            receive_state(&mut gateway, issuer);
        }
    }
    let is_demand =
        |action: &&Action| matches!(action, Action::Send { datagram: Datagram::Demands(_), .. });
    let sent = gateway.actions.iter().filter(is_demand).count();
    // 25 a second, and those that accumulated.
    assert!(sent <= 32, "{sent} in a second");
}
