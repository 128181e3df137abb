//! Placement by many gateways that receive each other's load with a delay.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    TestGateway,
    engines::{Deployment, KINDS, Size},
    record, request,
};
use gate::{Action, Event, message, quota};

/// Seeds of the arrivals.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Part of the requests that begin in time, from the target of the first token for 95 in 100.
const TARGET: f64 = 0.95;
/// Gateways of a deployment in which a gateway sends to each other one every 2.5 s.
const LARGE: u16 = 300;

fn play(size: Size, span: Duration) -> Deployment {
    let mut deployment = Deployment::new(size);
    deployment.run(span);
    deployment.finish(Duration::from_secs(8));
    let in_time: Vec<String> =
        (0..KINDS.len()).map(|kind| format!("{:.3}", deployment.in_time(kind))).collect();
    println!(
        "{size:?}: in time {}, refused {:.3} of {}, {:.0} datagrams a second and gateway",
        in_time.join(" "),
        deployment.refused(),
        deployment.outcomes.len(),
        deployment.datagrams as f64 / (span.as_secs_f64() + 8.0) / size.gateways as f64,
    );
    deployment
}

/// Guards against requests that begin late at a load that the engines can carry: gateways that
/// receive each other's load late fill the same engines, and requests wait there for a slot.
#[test]
fn requests_begin_in_time_with_many_gateways() {
    for seed in SEEDS {
        let size = Size { zones: 4, gateways: 40, engines: 64, per_engine_s: 3.6, seed };
        let deployment = play(size, Duration::from_secs(8));
        for (kind, name) in KINDS.iter().enumerate() {
            let in_time = deployment.in_time(kind);
            assert!(in_time >= TARGET, "seed {seed}: {in_time:.3} of {} in time", name.path);
        }
    }
}

fn peer(index: u8) -> SocketAddr {
    ([127, 0, 0, index], 1).into()
}

/// Returns a message with the load of a peer in an availability zone.
fn loads(index: u8, sequence: u64, zone: &str, loads: Vec<message::Load>) -> message::Loads {
    message::Loads {
        process: u64::from(index),
        from: peer(index),
        sequence,
        availability_zone: quota::hash(zone.as_bytes()),
        loads,
        waiting: Vec::new(),
    }
}

/// Introduces peers 2 to `last`, those with an even number in the gateway's availability zone.
fn introduce(gateway: &mut TestGateway, last: u8) {
    for index in 2..=last {
        let message = message::Message {
            process: u64::from(index),
            from: Some(peer(index)),
            sequence: 1,
            ..message::Message::default()
        };
        gateway.feed(Event::StateReceived(message));
        let zone = if index.is_multiple_of(2) { "a" } else { "b" };
        gateway.feed(Event::LoadsReceived(loads(index, 2, zone, Vec::new())));
    }
    gateway.actions.clear();
}

fn full(id: &str) -> Vec<message::Load> {
    let backend = quota::hash(id.as_bytes()) as u32;
    vec![message::Load { backend, running: 2, pending: 0 }]
}

/// Removes the actions and returns the peers that the load was sent to.
fn told(gateway: &mut TestGateway) -> Vec<u8> {
    let actions = std::mem::take(&mut gateway.actions);
    let told = actions.into_iter().filter_map(|action| match action {
        Action::Send { to: SocketAddr::V4(to), datagram: message::Datagram::Loads(_) } => {
            Some(to.ip().octets()[3])
        }
        _ => None,
    });
    let mut told: Vec<u8> = told.collect();
    told.sort_unstable();
    told
}

/// Guards against gateways of one availability zone that learn of each other's requests only with
/// the next round of messages, and against messages to all gateways of a large deployment.
#[test]
fn changes_of_the_load_are_sent_to_the_zone_at_once() {
    let mut gateway = TestGateway::with_backends(common::MODEL, 2);
    introduce(&mut gateway, 30);
    gateway.arrive(request("essay"));
    assert_eq!(told(&mut gateway), (2..=30).step_by(2).collect::<Vec<u8>>());
    // A change right after it waits until the messages are sent again.
    gateway.arrive(request("essay"));
    assert!(told(&mut gateway).is_empty());
    gateway.advance(Duration::from_millis(50));
    assert!(!told(&mut gateway).is_empty());
}

/// Guards against a small deployment in which gateways of other availability zones are told late.
#[test]
fn changes_of_the_load_are_sent_to_all_gateways_of_a_small_deployment() {
    let mut gateway = TestGateway::with_backends(common::MODEL, 2);
    introduce(&mut gateway, 5);
    gateway.arrive(request("essay"));
    assert_eq!(told(&mut gateway), [2, 3, 4, 5]);
}

/// Guards against a request at a backend server whose slots another gateway has just taken.
#[test]
fn the_load_of_a_nearby_gateway_counts_at_once() {
    let mut gateway = TestGateway::with_backends(common::MODEL, 1);
    introduce(&mut gateway, 3);
    gateway.feed(Event::LoadsReceived(loads(2, 3, "a", full("r0"))));
    let waiting = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(waiting).is_none(), "both slots are taken");
    gateway.feed(Event::LoadsReceived(loads(2, 4, "a", Vec::new())));
    gateway.advance(Duration::from_millis(10));
    assert!(gateway.dispatched(waiting).is_some());
}

/// Guards against load messages that arrive out of order, from an earlier process or from one that
/// is not known.
#[test]
fn load_out_of_order_is_discarded() {
    let mut gateway = TestGateway::with_backends(common::MODEL, 1);
    introduce(&mut gateway, 3);
    gateway.feed(Event::LoadsReceived(loads(2, 5, "a", Vec::new())));
    gateway.feed(Event::LoadsReceived(loads(2, 4, "a", full("r0"))));
    let mut earlier = loads(2, 9, "a", full("r0"));
    earlier.process = 77;
    gateway.feed(Event::LoadsReceived(earlier));
    gateway.feed(Event::LoadsReceived(loads(9, 1, "a", full("r0"))));
    let older_state = message::Message {
        process: 2,
        from: Some(peer(2)),
        sequence: 3,
        loads: full("r0"),
        ..message::Message::default()
    };
    gateway.feed(Event::StateReceived(older_state));
    let number = gateway.arrive(request("essay"));
    assert!(gateway.dispatched(number).is_some());
}

/// Guards against requests that leave the availability zone of a large deployment while it has
/// slots: the load of the other zones is known late.
#[test]
fn backends_of_the_own_zone_go_first_in_a_large_deployment() {
    let mut gateway = TestGateway::new();
    for index in 0..4u16 {
        let zone = if index == 0 { "a" } else { "b" };
        let other =
            gate::backends::Record { zone: zone.into(), ..record(common::MODEL, 9_000 + index) };
        gateway.add(&format!("r{index}"), other);
    }
    introduce(&mut gateway, 30);
    let chosen: Vec<_> = (0..3)
        .map(|_| {
            let number = gateway.arrive(request("tag"));
            gateway.dispatched(number).expect("dispatched").id
        })
        .collect();
    assert_eq!(chosen[..2], ["r0", "r0"], "the slots of the own zone");
    assert_ne!(chosen[2], "r0", "another zone has free slots");
}

/// Guards against a timer that is due again and again without an effect, which would take all of the
/// processor: that of reports for requests that no longer wait when it is due.
#[test]
fn no_timer_is_due_while_nothing_waits() {
    let mut gateway = TestGateway::with_backends(common::MODEL, 1);
    introduce(&mut gateway, 3);
    gateway.feed(Event::LoadsReceived(loads(2, 3, "a", full("r0"))));
    let waiting = gateway.arrive(request("essay"));
    gateway.feed(Event::LoadsReceived(loads(2, 4, "a", full("r0"))));
    gateway.feed(Event::Closed { number: waiting });
    gateway.advance(Duration::from_millis(60));
    for _ in 0..3 {
        gateway.feed(Event::Tick);
        let due = gateway.machine.next_timer().expect("the next round");
        assert!(due > gateway.now, "{due:?} is not after {:?}", gateway.now);
    }
}

/// Guards against gateways of a large deployment that take each other for returned after every
/// message, since the time between two messages is longer than an age limit for small deployments:
/// each message would be answered with all suspects, limits and streams.
#[test]
fn regular_messages_of_a_large_deployment_are_no_return() {
    let mut gateway = TestGateway::with_backends(common::MODEL, 1);
    let peers: Vec<SocketAddr> =
        (0..LARGE).map(|n| ([127, 0, 1 + (n >> 8) as u8, n as u8], 1).into()).collect();
    let state = |peer: usize, sequence: u64| {
        let from = Some(peers[peer]);
        let process = peer as u64 + 100;
        Event::StateReceived(message::Message { process, from, sequence, ..Default::default() })
    };
    for peer in 0..peers.len() {
        gateway.feed(state(peer, 1));
    }
    // A gateway sends at most 120 messages a second.
    let period = Duration::from_secs_f64(f64::from(LARGE) / 120.0);
    for sequence in 2..5 {
        gateway.advance_confirmed(period);
        gateway.actions.clear();
        for peer in 0..peers.len() {
            gateway.feed(state(peer, sequence));
        }
        let replies = gateway.actions.iter().filter(|action| matches!(action, Action::Send { .. }));
        assert_eq!(replies.count(), 0, "replies to messages {sequence}");
    }
}
