//! Load of the servers of a plain service under many gateways.

mod common;

use std::time::Duration;

use common::{
    PLAIN, TestGateway,
    plain::{Deployment, OBJECTIVE, Size, capacity_per_s},
    request,
};
use gate::{
    Event,
    event::AttemptResult,
    message,
    plain_load::{Answer, PlainLoad, Urgency},
    quota,
    refusal::Reason,
};
use wire::time::Instant;

/// Deployment of 36 gateways and 4 servers.
const LARGE: Size =
    Size { gateways: 36, servers: 4, load: 0.8, varies: false, is_cut_off: false, seed: 1 };
/// Other gateways' regular messages are up to 0.75 s old here.
const HUGE: Size = Size { gateways: 90, ..LARGE };
const SMALL: Size = Size { gateways: 4, ..LARGE };
/// Part of the requests that are answered in time while the service is not short.
const IN_TIME: f64 = 0.95;
/// Part of the servers' capacity that is answered in time while the service is short.
const USED: f64 = 0.8;
/// Time until a refusal, of the objective of 300 ms: the wait of the most urgent requests, and one
/// attempt that is rejected.
const REFUSED_MS: f64 = 120.0;
const SLOTS: u32 = 6;

/// What callers got, as shares of the requests of a time.
#[derive(Debug)]
struct Shares {
    in_time: f64,
    /// Answered, but not in time.
    late: f64,
    refused: f64,
    /// Answers in time, as a share of what the servers can answer.
    used: f64,
    /// Share in time of the requests of the more urgent route.
    urgent: f64,
    /// Share of the arrivals at servers that these rejected.
    rejected: f64,
    /// Longest time until a first refusal, in ms.
    refused_ms: f64,
}

fn measure(deployment: &mut Deployment, size: Size, span: Duration) -> Shares {
    deployment.set_load(size.load);
    let began_at = deployment.now;
    let (rejections, submissions) = (deployment.rejections, deployment.submissions);
    deployment.run(span + OBJECTIVE);
    let sent: Vec<_> = deployment.sent_since(began_at).collect();
    let share = |count: usize| count as f64 / sent.len() as f64;
    let in_time = sent.iter().filter(|sent| sent.is_in_time()).count();
    let answered = sent.iter().filter(|sent| sent.answered_ms.is_some()).count();
    let urgent: Vec<_> = sent.iter().filter(|sent| sent.path == "bid").collect();
    let urgent_in_time = urgent.iter().filter(|sent| sent.is_in_time()).count();
    let rejected = (deployment.rejections - rejections) as f64;
    let shares = Shares {
        in_time: share(in_time),
        late: share(answered - in_time),
        refused: share(sent.iter().filter(|sent| sent.refusals > 0).count()),
        used: in_time as f64 / span.as_secs_f64() / capacity_per_s(size.servers),
        urgent: urgent_in_time as f64 / urgent.len() as f64,
        rejected: rejected / (deployment.submissions - submissions) as f64,
        refused_ms: sent.iter().filter_map(|sent| sent.refused_ms).fold(0.0, f64::max),
    };
    println!("{size:?}: {shares:.3?}");
    shares
}

/// Plays a calm time and then the load.
fn play(size: Size) -> Shares {
    let mut deployment = Deployment::new(Size { load: 0.5, ..size });
    deployment.run(Duration::from_secs(2));
    measure(&mut deployment, size, Duration::from_secs(4))
}

/// Guards against refusals and waits while servers have free slots, also where the times of answers
/// vary by themselves.
#[test]
fn nothing_is_refused_while_the_service_is_not_short() {
    for (size, varies) in [(LARGE, false), (LARGE, true), (SMALL, true)] {
        // With other seeds, up to 0.88 of the capacity is asked for within the few seconds.
        let shares = play(Size { varies, seed: 5, ..size });
        assert!(shares.in_time >= IN_TIME, "{shares:?}");
        assert_eq!(shares.refused, 0.0);
    }
}

/// Guards against gateways that together fill the queues of the servers: half of the answers were
/// late at 1.3 of the capacity, and six in ten arrivals were rejected at 1.8.
#[test]
fn servers_answer_in_time_while_the_service_is_short() {
    for (size, load) in [(LARGE, 1.3), (LARGE, 1.8), (HUGE, 1.8), (SMALL, 1.8)] {
        let shares = play(Size { load, ..size });
        assert!(shares.used >= USED, "{shares:?}");
        assert!(shares.late <= 0.05, "{shares:?}");
        assert!(shares.rejected <= 0.01, "{shares:?}");
        // Few gateways may each have as many requests at a server as it has slots, and then wait as
        // before.
        let is_soon = shares.refused_ms <= REFUSED_MS;
        assert!(is_soon || size.gateways == SMALL.gateways, "{shares:?}");
        assert!(
            shares.urgent > shares.in_time + 0.1,
            "the less urgent are refused first: {shares:?}"
        );
    }
}

/// Guards against full queues at gateways that don't receive the load of others: 0.61 of the capacity
/// was answered in time.
#[test]
fn gateways_without_peers_throttle_themselves() {
    let shares = play(Size { load: 1.8, is_cut_off: true, ..LARGE });
    assert!(shares.used >= 0.7, "{shares:?}");
    let calm = play(Size { is_cut_off: true, varies: true, ..LARGE });
    assert!(calm.in_time >= IN_TIME, "{calm:?}");
    assert_eq!(calm.refused, 0.0);
}

/// Guards against late answers from a server that became slow, and from those that are left when one
/// has ended.
#[test]
fn other_servers_answer_in_time_when_one_is_slow_or_gone() {
    for factor in [Some(4.0), None] {
        let size = Size { load: 1.0, ..LARGE };
        let mut deployment = Deployment::new(Size { load: 0.6, ..size });
        deployment.run(Duration::from_secs(2));
        match factor {
            Some(factor) => deployment.slow_down(0, factor),
            None => deployment.end_server(0),
        }
        deployment.run(Duration::from_secs(1));
        let shares = measure(&mut deployment, size, Duration::from_secs(3));
        assert!(shares.used >= 0.75 * USED, "{shares:?}");
        assert!(shares.late <= 0.1, "{shares:?}");
        assert!(shares.refused_ms <= REFUSED_MS, "{shares:?}");
    }
}

/// Returns estimates of a server whose requests take 60 ms.
fn server(now: Instant) -> PlainLoad {
    let mut load = PlainLoad::default();
    for _ in 0..8 {
        load.record_answer(now, Duration::from_millis(60), SLOTS, 2.0);
    }
    load
}

/// Guards against a queue that is seen where one answer took long by itself, and against one that is
/// not seen although reports are missing.
#[test]
fn two_long_answers_show_a_queue() {
    let now = Instant(10_000_000);
    let mut load = server(now);
    let long = Answer { received_at: now, ms: 300.0 };
    load.record_peer_answer(long);
    assert_eq!(load.running(now, 3, SLOTS), 3.0);
    assert!(load.wait(now, 3, SLOTS, OBJECTIVE, Urgency::First).is_zero());
    load.record_peer_answer(long);
    assert!(load.running(now, 3, SLOTS) > 20.0);
    let wait = load.wait(now, 3, SLOTS, OBJECTIVE, Urgency::First);
    assert!(!wait.is_zero());
    assert!(load.wait(now + wait, 3, SLOTS, OBJECTIVE, Urgency::First).is_zero(), "it drains");
    assert!(load.wait(now + wait, 3, SLOTS, OBJECTIVE, Urgency::Later) > Duration::ZERO);
}

/// Guards against requests that are sent at once again to a server whose queue is full although it
/// looks free by the reports.
#[test]
fn a_rejection_shows_a_queue() {
    let now = Instant(10_000_000);
    let mut load = server(now);
    load.record_rejection(now, SLOTS, OBJECTIVE);
    assert!(!load.wait(now, 0, SLOTS, OBJECTIVE, Urgency::First).is_zero());
    let later = now + Duration::from_millis(200);
    assert!(load.wait(later, 0, SLOTS, OBJECTIVE, Urgency::Overdue).is_zero(), "it drains");
}

/// Guards against a wait of any request, however late or long its work, while a slot is free.
#[test]
fn a_free_slot_is_always_used() {
    let now = Instant(10_000_000);
    for urgency in [Urgency::First, Urgency::Later, Urgency::Overdue] {
        let free = server(now).wait(now, SLOTS - 1, SLOTS, Duration::from_millis(20), urgency);
        assert_eq!(free, Duration::ZERO);
        let full = server(now).wait(now, SLOTS, SLOTS, Duration::from_millis(20), urgency);
        assert!(full > Duration::ZERO);
    }
}

/// Guards against a 502 for a request that no server has run: all servers rejected it, or an
/// unresponsive one was abandoned for one that has no free slot either.
#[test]
fn what_servers_rejected_is_refused_as_not_run() {
    for path in ["bid", "status"] {
        let mut gateway = TestGateway::with_backends(PLAIN, 2);
        let number = gateway.arrive(request(path));
        for _ in 0..2 {
            gateway.dispatched(number).expect("dispatched");
            gateway.feed(Event::Rejected { number, retry_after: None });
        }
        let refusal = gateway.refused(number).expect("refused");
        assert_eq!((refusal.reason, refusal.reason.status()), (Reason::Overload, 503));
        assert!(refusal.retry_after.is_some());
    }
    let mut gateway = TestGateway::with_backends(PLAIN, 2);
    let answered: Vec<_> = (0..4).map(|_| gateway.arrive(request("bid"))).collect();
    gateway.advance(Duration::from_millis(60));
    for number in answered {
        gateway.end(number, AttemptResult::Complete);
    }
    let loads = ["r0", "r1"].map(|id| message::Load {
        backend: quota::hash(id.as_bytes()) as u32,
        running: 2,
        pending: 0,
    });
    let message = message::Message {
        process: 2,
        from: Some(([127, 0, 0, 9], 1).into()),
        sequence: 1,
        loads: loads.to_vec(),
        ..message::Message::default()
    };
    gateway.feed(Event::StateReceived(message));
    gateway.advance(Duration::from_millis(200));
    let number = gateway.arrive(request("status"));
    gateway.dispatched(number).expect("dispatched to a queue");
    gateway.feed(Event::Unresponsive { number });
    assert!(gateway.dispatched(number).is_none(), "all slots are taken");
    for _ in 0..2 {
        gateway.feed(Event::Rejected { number, retry_after: None });
        gateway.dispatched(number);
    }
    assert_eq!(gateway.reason(number), Some(Reason::Overload));
}
