//! Hedges of slow responses.

mod common;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use common::{MODEL, MS, PLAIN, TestGateway, catalog, record, request, setup};
use conf::gateway::Hedging;
use gate::{
    Event,
    action::Dispatch,
    backends::Record,
    event::{AttemptResult, RequestNumber},
    message, quota,
    refusal::Reason,
    request::{Request, Resumption},
    statement::{Pause, Statement},
};
use wire::time::Instant;

const SETTINGS: Hedging = Hedging { work_share: 0.5, quantile: 0.9 };
/// Time of the usual response.
const USUAL: Duration = Duration::from_millis(60);

/// Returns a gateway whose route `status` allows `attempts`, with servers of 6 slots each.
fn gateway(hedging: Option<Hedging>, service: &str, servers: u16, attempts: u32) -> TestGateway {
    let setup = gate::machine::Setup { hedging, ..setup(1, true) };
    let mut gateway = TestGateway::empty(setup);
    let mut catalog = catalog(1, &["k1"], 0.0);
    for route in catalog.routes.iter_mut().filter(|route| &route.name[..] == b"status") {
        route.max_attempts = attempts;
    }
    gateway.feed(Event::Catalog(Rc::new(catalog)));
    gateway.confirm();
    for n in 0..servers {
        gateway.add(&format!("r{n}"), Record { slots: 6, ..record(service, 9_000 + n) });
    }
    gateway
}

/// Returns the event that reports an answer on a path.
fn answer(path: &str, number: RequestNumber) -> Event {
    match path == "status" || path == "bid" {
        true => Event::Ended { number, result: AttemptResult::Complete },
        false => Event::FirstEvent { number },
    }
}

/// Plays requests with the usual response time, so that the quantile is known.
fn play_usual(gateway: &mut TestGateway, path: &str, count: usize) {
    for n in 0..count {
        let number = gateway.arrive(Request { fingerprint: 1_000 + n as u64, ..request(path) });
        gateway.dispatched(number).expect("dispatched");
        gateway.advance_confirmed(USUAL);
        gateway.feed(answer(path, number));
        gateway.end(number, AttemptResult::Complete);
    }
}

/// Returns a gateway that knows the usual response time on a path, which allows two attempts.
fn ready(path: &str, servers: u16) -> TestGateway {
    ready_with(path, servers, 2)
}

fn ready_with(path: &str, servers: u16, attempts: u32) -> TestGateway {
    let service = if path == "status" || path == "bid" { PLAIN } else { MODEL };
    let mut gateway = gateway(Some(SETTINGS), service, servers, attempts);
    play_usual(&mut gateway, path, 30);
    gateway
}

fn second(number: RequestNumber, event: Event) -> Event {
    Event::Hedge { number, event: Box::new(event) }
}

/// Sends a request and a hedge for it.
fn hedge(gateway: &mut TestGateway, request: Request) -> (RequestNumber, [Dispatch; 2]) {
    let number = gateway.arrive(request);
    let first = gateway.dispatched(number).expect("dispatched");
    gateway.advance_confirmed(first.hedge.expect("may be hedged").after);
    gateway.feed(Event::Slow { number });
    let other = gateway.dispatched(number).expect("a hedge");
    assert_ne!(first.backend, other.backend);
    (number, [first, other])
}

/// Returns the requests in flight at all servers, as the gateway counts them.
fn running(gateway: &TestGateway) -> Vec<u32> {
    gateway.machine.backends().iter().map(|(_, b)| b.load.running + b.load.pending).collect()
}

fn withheld(gateway: &TestGateway) -> [u64; 4] {
    gateway.machine.hedge_counts().expect("hedging is on").withheld
}

/// Guards against a second answer, a slot that stays taken at the loser, and a request at two
/// engines for longer than allowed, whichever attempt wins.
#[test]
fn the_first_answer_cancels_the_other_attempt() {
    for path in ["status", "resumable"] {
        for wins in [false, true] {
            let mut gateway = ready_with(path, 4, 3);
            let (number, [first, _]) = hedge(&mut gateway, request(path));
            let hedge = first.hedge.expect("may be hedged");
            assert!(hedge.after >= USUAL && hedge.after < USUAL * 2, "{:?}", hedge.after);
            assert_eq!(hedge.max_overlap, (path == "resumable").then_some(300 * MS));
            gateway.feed(Event::Slow { number });
            assert!(gateway.dispatched(number).is_none(), "at most one hedge");
            let event = answer(path, number);
            gateway.feed(if wins { second(number, event) } else { event });
            let left = if path == "status" { 0 } else { 1 };
            assert_eq!(running(&gateway).iter().sum::<u32>(), left, "{path} {wins}");
            gateway.end(number, AttemptResult::Complete);
            assert_eq!(running(&gateway), [0; 4]);
            let counts = gateway.machine.hedge_counts().expect("hedging is on");
            assert_eq!(
                (counts.sent, counts.won, counts.cancelled),
                (1, wins.into(), (!wins).into())
            );
            assert!(gateway.reason(number).is_none());
        }
    }
}

/// Guards against an engine that keeps a request beside the one that took it over, or against the
/// loss of the only attempt that is left.
#[test]
fn an_attempt_that_is_given_up_leaves_the_other_one() {
    let mut gateway = ready("resumable", 4);
    let (number, [first, _]) = hedge(&mut gateway, request("resumable"));
    gateway.feed(second(number, Event::Moved { number }));
    assert_eq!(gateway.machine.backends().get(first.backend).expect("listed").load.running, 0);
    assert_eq!(running(&gateway).iter().sum::<u32>(), 1 + 1_000);
    gateway.feed(second(number, Event::FirstEvent { number }));
    gateway.end(number, AttemptResult::Complete);
    assert_eq!((running(&gateway), gateway.machine.open_count()), (vec![0; 4], 0));
}

/// Guards against a refusal while an attempt is in progress, a third attempt after both failed, and
/// slots that stay taken.
#[test]
fn one_failure_leaves_the_other_attempt_and_two_end_the_request() {
    for is_second_first in [false, true] {
        let mut gateway = ready("status", 4);
        let (number, _) = hedge(&mut gateway, request("status"));
        let failed = Event::Ended { number, result: AttemptResult::Broken };
        let (one, other) = match is_second_first {
            true => (second(number, failed.clone()), failed),
            false => (failed.clone(), second(number, failed)),
        };
        gateway.feed(one);
        assert!(gateway.refused(number).is_none(), "the other attempt goes on");
        assert_eq!(running(&gateway).iter().sum::<u32>(), 1);
        gateway.feed(other);
        assert!(gateway.dispatched(number).is_none(), "two attempts are allowed");
        assert_eq!(gateway.reason(number), Some(Reason::Lost));
        assert_eq!(running(&gateway), [0; 4]);
    }
}

/// Guards against slots that stay taken when the caller leaves, when the first attempt ends before
/// the second one was sent, and when the gateway stops meanwhile.
#[test]
fn all_slots_are_released_at_the_end_of_a_race() {
    let mut gateway = ready("status", 4);
    let (number, _) = hedge(&mut gateway, request("status"));
    gateway.feed(Event::Closed { number });
    assert_eq!((running(&gateway), gateway.machine.open_count()), (vec![0; 4], 0));
    let (number, _) = hedge(&mut gateway, request("status"));
    gateway.end(number, AttemptResult::Failed);
    gateway.feed(second(number, Event::NotSent { number }));
    gateway.dispatched(number).expect("a further attempt, since the second was not sent");
    gateway.end(number, AttemptResult::Complete);
    assert_eq!(running(&gateway), [0; 4]);
    let (number, _) = hedge(&mut gateway, request("status"));
    gateway.stop();
    gateway.feed(second(number, answer("status", number)));
    assert_eq!((running(&gateway), gateway.machine.open_count()), (vec![0; 4], 0));
}

/// Guards against hedges of requests that may not be repeated, without enough samples, and with
/// hedging off.
#[test]
fn requests_that_may_not_be_hedged_are_not() {
    for (path, hedging, usual) in [
        ("bid", Some(SETTINGS), 30),
        ("essay", Some(SETTINGS), 30),
        ("status", Some(SETTINGS), 15),
        ("status", None, 30),
    ] {
        let service = if path == "essay" { MODEL } else { PLAIN };
        let mut gateway = gateway(hedging, service, 4, 2);
        play_usual(&mut gateway, path, usual);
        let number = gateway.arrive(request(path));
        let first = gateway.dispatched(number).expect("dispatched");
        assert_eq!(first.hedge, None, "{path}");
        gateway.advance(500 * MS);
        gateway.feed(Event::Slow { number });
        assert!(gateway.dispatched(number).is_none(), "{path}");
    }
}

/// Feeds an event on a request at each of two servers.
fn at_both(gateway: &mut TestGateway, event: impl Fn(RequestNumber) -> Event) {
    let numbers = [(); 2].map(|()| gateway.arrive(request("status")));
    numbers.iter().for_each(|number| gateway.feed(event(*number)));
    numbers.iter().for_each(|number| gateway.end(*number, AttemptResult::Complete));
}

/// Guards against hedges beyond the route's attempts and the budget, at servers that may not take
/// them, and while the service is short of capacity.
#[test]
fn hedges_are_withheld_with_a_reason() {
    let pause = Statement { pause: Some(Pause::For(300 * MS)), ..Statement::default() };
    let tiny = Hedging { work_share: 0.01, ..SETTINGS };
    type Case<'a> = (&'a str, Hedging, u32, &'a dyn Fn(&mut TestGateway));
    let cases: [Case<'_>; 7] = [
        ("attempts", SETTINGS, 1, &|_| ()),
        ("budget", tiny, 2, &|_| ()),
        ("busy", SETTINGS, 2, &|gateway| {
            (0..11).for_each(|n| {
                gateway.arrive(Request { fingerprint: n, ..request("status") });
            });
        }),
        ("busy", SETTINGS, 2, &|gateway| {
            let message = message::Message {
                process: 2,
                from: Some(([127, 0, 0, 2], 1).into()),
                sequence: 1,
                waiting: vec![(quota::hash(PLAIN.as_bytes()), 1)],
                ..message::Message::default()
            };
            gateway.feed(Event::StateReceived(message));
        }),
        ("no_server", SETTINGS, 2, &|gateway| {
            at_both(gateway, |number| Event::Stated { number, statement: pause });
            gateway.advance_confirmed(400 * MS);
        }),
        ("no_server", SETTINGS, 2, &|gateway| {
            at_both(gateway, |number| Event::RateLimitStated { number, per_s: Some(100.0) });
            gateway.advance_confirmed(400 * MS);
        }),
        ("no_server", SETTINGS, 2, &|gateway| {
            let number = gateway.arrive(request("status"));
            let statement = Statement { leaving: true, ..Statement::default() };
            gateway.feed(Event::Stated { number, statement });
            gateway.end(number, AttemptResult::Complete);
        }),
    ];
    for (reason, settings, attempts, prepare) in cases {
        let mut gateway = gateway(Some(settings), PLAIN, 2, attempts);
        play_usual(&mut gateway, "status", 30);
        prepare(&mut gateway);
        gateway.actions.clear();
        let number = gateway.arrive(request("status"));
        gateway.advance(70 * MS);
        gateway.dispatched(number).expect("dispatched");
        gateway.feed(Event::Slow { number });
        assert!(gateway.dispatched(number).is_none(), "{reason}");
        let names = gate::hedging::Withheld::ALL.map(gate::hedging::Withheld::name);
        assert_eq!(withheld(&gateway), names.map(|name| u64::from(name == reason)), "{reason}");
    }
}

/// Guards against traffic between zones for hedges that a server of the own zone can take, and against
/// hedges that are withheld where only another zone has one.
#[test]
fn hedges_go_to_the_own_zone_first() {
    for near in [1, 3] {
        let mut gateway = ready("status", near);
        for fingerprint in 1..u64::from(near) {
            gateway.arrive(Request { fingerprint, ..request("status") });
        }
        let far = Record { zone: "b".into(), slots: 6, ..record(PLAIN, 9_100) };
        let number = gateway.arrive(request("status"));
        gateway.dispatched(number).expect("dispatched");
        gateway.add("far", far);
        gateway.feed(Event::Slow { number });
        let other = gateway.dispatched(number).expect("a hedge");
        assert_eq!(other.address.port() == 9_100, near == 1);
    }
}

/// Guards against a stream with events of two versions.
#[test]
fn a_stream_that_is_taken_up_is_hedged_at_its_version() {
    let mut gateway = ready("resumable", 2);
    for n in 2..6 {
        let record = Record { slots: 6, version: "v2".into(), ..record(MODEL, 9_000 + n) };
        gateway.add(&format!("r{n}"), record);
    }
    for n in 0..8 {
        let began = gateway.arrive(Request { id: format!("b{n}").into(), ..request("resumable") });
        let version = gateway.dispatched(began).expect("dispatched").version;
        gateway.feed(Event::FirstEvent { number: began });
        gateway.feed(Event::Closed { number: began });
        let first_attempt = Some(format!("b{n}").into());
        let resumption = Some(Resumption { first_attempt });
        let taken_up = Request { id: format!("t{n}").into(), resumption, ..request("resumable") };
        let (number, [first, other]) = hedge(&mut gateway, taken_up);
        assert_eq!((&first.version, &other.version), (&version, &version));
        gateway.feed(Event::Closed { number });
        play_usual(&mut gateway, "resumable", 8);
    }
}

/// Guards against the quarantine of a request whose cancelled attempts ran at servers that go on,
/// and against a crash that goes unnoticed since the attempt had been cancelled.
#[test]
fn a_cancelled_attempt_counts_only_if_its_server_ended() {
    let mut gateway = ready("status", 4);
    let (number, [_, other]) = hedge(&mut gateway, request("status"));
    gateway.feed(answer("status", number));
    assert_eq!(gateway.machine.suspects().total(gateway.now, 7), 0);
    gateway.feed(Event::Record { id: other.id, record: None });
    assert_eq!(gateway.machine.suspects().total(gateway.now, 7), 1);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Slow(RequestNumber),
    Answer { number: RequestNumber, is_second: bool },
    EndOverlap(RequestNumber),
    End(RequestNumber),
}

/// What a load of 20 s brought: the times to the answers in ms in ascending order, and the requests
/// that arrived at servers.
struct Played {
    times: Vec<f64>,
    arrivals: usize,
}

impl Played {
    fn quantile(&self, quantile: f64) -> f64 {
        self.times[(self.times.len() as f64 * quantile) as usize]
    }
}

/// Plays 60 requests a second on 10 servers. Two plain servers take ten times as long as the others;
/// engines, whose speed placement learns, all take as long for 7 in 100 requests.
fn play(path: &str, hedging: Option<Hedging>, seed: u64) -> Played {
    let service = if path == "status" { PLAIN } else { MODEL };
    let mut gateway = gateway(hedging, service, 10, 2);
    let mut rng = fastrand::Rng::with_seed(seed);
    let (end, mut played) = (gateway.now + 20_000 * MS, Played { times: Vec::new(), arrivals: 0 });
    let mut open: BTreeMap<RequestNumber, Instant> = BTreeMap::new();
    let mut steps = BTreeMap::from([((gateway.now, 0), Step::Arrive)]);
    let mut order = 0;
    while let Some(((at, _), step)) = steps.pop_first() {
        gateway.advance(at.since(gateway.now));
        gateway.confirm();
        let mut next = Vec::new();
        let mut number = 0;
        match step {
            Step::Arrive => {
                number = gateway.arrive(Request { fingerprint: rng.u64(..), ..request(path) });
                open.insert(number, at);
                let wait = Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / 60.0);
                next.extend((at + wait < end).then_some((at + wait, Step::Arrive)));
            }
            Step::Slow(slow) if open.contains_key(&slow) => {
                number = slow;
                gateway.feed(Event::Slow { number });
            }
            Step::EndOverlap(number) if open.contains_key(&number) => {
                gateway.feed(second(number, Event::Moved { number }));
                steps.retain(|_, step| *step != Step::Answer { number, is_second: false });
            }
            Step::Answer { number, is_second } => {
                let Some(sent_at) = open.remove(&number) else { continue };
                let event = answer(path, number);
                gateway.feed(if is_second { second(number, event) } else { event });
                played.times.push(at.since(sent_at).as_secs_f64() * 1e3);
                next.push((at + 200 * MS, Step::End(number)));
            }
            Step::End(number) => gateway.end(number, AttemptResult::Complete),
            Step::Slow(_) | Step::EndOverlap(_) => {}
        }
        if let Some(dispatch) = gateway.dispatched(number) {
            played.arrivals += 1;
            let is_slow = match path == "status" {
                true => dispatch.address.port() < 9_002,
                false => rng.f64() < 0.07,
            };
            let ratio = if is_slow { 10.0 } else { 1.0 };
            let time = USUAL.mul_f64(ratio * (0.8 + 0.4 * rng.f64()));
            let is_second = matches!(step, Step::Slow(_));
            next.push((at + time, Step::Answer { number, is_second }));
            next.extend(dispatch.hedge.map(|hedge| (at + hedge.after, Step::Slow(number))));
            if is_second && path != "status" {
                next.push((at + 300 * MS, Step::EndOverlap(number)));
            }
        }
        for (at, step) in next {
            order += 1;
            steps.insert((at, order), step);
        }
    }
    played.times.sort_by(f64::total_cmp);
    played
}

/// Guards against hedges that don't shorten the slowest responses, and against more extra work than
/// the share that operators set.
#[test]
fn the_slowest_answers_get_faster_within_the_work_share() {
    for path in ["status", "resumable"] {
        for seed in 1..=3 {
            let off = play(path, None, seed);
            for work_share in [0.02, 0.2] {
                let on = play(path, Some(Hedging { work_share, ..SETTINGS }), seed);
                let [off95, off99, on95, on99] =
                    [off.quantile(0.95), off.quantile(0.99), on.quantile(0.95), on.quantile(0.99)];
                let requests = on.times.len();
                let extra = (on.arrivals - requests) as f64 / requests as f64;
                println!(
                    "{path} {seed} {work_share}: 95: {off95:.0} {on95:.0}, 99: {off99:.0} {on99:.0} \
                     ms, extra {extra:.3}"
                );
                assert!(extra <= work_share, "{path} {seed}: {extra:.3} extra attempts");
                if work_share == 0.2 {
                    assert!(on95 < off95 * 1.05 && on99 < off99 * 0.6, "{path} {seed}");
                }
            }
        }
    }
}
