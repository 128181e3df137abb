//! Backend servers that state that they leave, or ask for a pause.

mod common;

use std::{collections::HashMap, time::Duration};

use common::{MODEL, MS, TestGateway, record, request};
use gate::{
    Action, Event,
    backends::Record,
    event::{AttemptResult, RequestNumber},
    refusal::Reason,
    request::Request,
    statement::{Pause, Statement},
};
use wire::time::Instant;

const LEAVING: Statement = Statement { leaving: true, pause: None, warm_up_left: None };

fn pause(span: Duration) -> Statement {
    Statement { pause: Some(Pause::For(span)), ..Statement::default() }
}

/// Sends a request and returns its number and the server that it was dispatched to.
fn send(gateway: &mut TestGateway) -> (RequestNumber, Option<String>) {
    // Copies of one request would be refused where servers end under them.
    let fingerprint = gateway.now.0;
    let number = gateway.arrive(Request { fingerprint, ..request("resumable") });
    let server = gateway.dispatched(number).map(|dispatch| dispatch.id);
    (number, server.map(|id| String::from_utf8_lossy(&id).into_owned()))
}

/// Sends a request whose response states something, and completes it. Returns its server.
fn state(gateway: &mut TestGateway, statement: Statement) -> String {
    let (number, server) = send(gateway);
    gateway.feed(Event::Stated { number, statement });
    gateway.end(number, AttemptResult::Complete);
    server.expect("dispatched")
}

/// Sends a request whose server turns it away and asks for a pause. Returns that server.
fn turn_away(gateway: &mut TestGateway, span: Duration) -> String {
    let (number, server) = send(gateway);
    gateway.feed(Event::Stated { number, statement: pause(span) });
    gateway.feed(Event::Rejected { number, retry_after: Some(span) });
    gateway.dispatched(number);
    gateway.feed(Event::Closed { number });
    server.expect("dispatched")
}

/// Guards against a leave that is forgotten when the record lapses and is written again, and one
/// that binds the next run under the identifier.
#[test]
fn a_leave_binds_one_run() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    assert_eq!(state(&mut gateway, LEAVING), "r0");
    gateway.feed(Event::Record { id: "r0".into(), record: None });
    gateway.add("r0", record(MODEL, 9_000));
    assert_eq!(send(&mut gateway).1, None, "the same run");
    gateway.add("r0", Record { started: Some(2), ..record(MODEL, 9_000) });
    assert_eq!(send(&mut gateway).1.as_deref(), Some("r0"), "a new run");
}

/// Guards against a leave of a server without a start time that binds its successor for ever.
#[test]
fn a_leave_without_a_start_time_ends_with_the_record() {
    let mut gateway = TestGateway::new();
    let unstated = Record { started: None, ..record(MODEL, 9_000) };
    gateway.add("r0", unstated.clone());
    state(&mut gateway, LEAVING);
    assert_eq!(send(&mut gateway).1, None);
    gateway.feed(Event::Record { id: "r0".into(), record: None });
    gateway.add("r0", unstated);
    assert!(send(&mut gateway).1.is_some());
}

/// Guards against queued, resumed and moved requests that are sent to a server which leaves.
#[test]
fn no_request_reaches_a_server_that_leaves() {
    let mut gateway = TestGateway::with_backends(MODEL, 2);
    let running: Vec<_> = (0..4).map(|_| send(&mut gateway)).collect();
    let at_first = running.iter().find(|(_, server)| server.as_deref() == Some("r0"));
    let at_second = running.iter().find(|(_, server)| server.as_deref() == Some("r1"));
    let (at_first, at_second) = (at_first.expect("r0").0, at_second.expect("r1").0);
    let (waiting, server) = send(&mut gateway);
    assert_eq!(server, None, "all slots are taken");
    gateway.feed(Event::Stated { number: at_first, statement: LEAVING });
    gateway.end(at_first, AttemptResult::Complete);
    assert!(gateway.dispatched(waiting).is_none());
    gateway.feed(Event::FirstEvent { number: at_second });
    gateway.feed(Event::Unresponsive { number: at_second });
    assert!(gateway.dispatched(at_second).is_none(), "it doesn't move");
    gateway.end(at_second, AttemptResult::Broken);
    assert!(gateway.dispatched(at_second).is_none(), "it doesn't go on");
    assert_eq!(gateway.reason(at_second), Some(Reason::Lost));
    assert_eq!(gateway.dispatched(waiting).expect("the other server").id, "r1");
}

/// Guards against callers that wait where all servers leave.
#[test]
fn callers_are_refused_at_once_where_all_servers_leave() {
    let mut gateway = TestGateway::with_backends(MODEL, 2);
    let first = state(&mut gateway, LEAVING);
    assert_ne!(state(&mut gateway, LEAVING), first);
    let (number, server) = send(&mut gateway);
    assert_eq!(server, None);
    assert_eq!(gateway.reason(number), Some(Reason::NoBackend));
}

/// Guards against a pause that isn't kept or doesn't end, and against all waiting requests being
/// sent when it ends.
#[test]
fn a_pause_ends_with_one_request() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    let span = Duration::from_millis(350);
    turn_away(&mut gateway, span);
    let waiting: Vec<_> = (0..3).map(|_| send(&mut gateway)).collect();
    assert!(waiting.iter().all(|(_, server)| server.is_none()));
    gateway.advance(340 * MS);
    assert!(waiting.iter().all(|(number, _)| gateway.dispatched(*number).is_none()));
    gateway.advance(20 * MS);
    let sent: Vec<_> = waiting.iter().filter(|w| gateway.dispatched(w.0).is_some()).collect();
    assert_eq!(sent.len(), 1, "one request is sent first");
    gateway.feed(Event::FirstEvent { number: sent[0].0 });
    let others = waiting.iter().filter(|w| gateway.dispatched(w.0).is_some()).count();
    assert_eq!(others, 1, "the other slot is used once it has answered");
}

/// Guards against a server that is never used again since the first request after its pause was
/// turned away, or its caller left.
#[test]
fn a_pause_ends_also_if_its_first_request_does_not() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    turn_away(&mut gateway, Duration::from_secs(1));
    gateway.advance_confirmed(Duration::from_millis(1_010));
    turn_away(&mut gateway, Duration::from_secs(1));
    gateway.advance_confirmed(Duration::from_millis(500));
    assert_eq!(send(&mut gateway).1, None, "the second pause");
    gateway.advance_confirmed(Duration::from_millis(600));
    let (number, server) = send(&mut gateway);
    assert!(server.is_some());
    gateway.feed(Event::Closed { number });
    assert!(send(&mut gateway).1.is_some());
}

/// Guards against a pause that is forgotten when the record of the run that asked for it is read
/// late, after the server has restarted under its identifier.
#[test]
fn a_pause_asked_for_before_the_record_of_the_run_is_kept() {
    for asks_after_end in [true, false] {
        let mut gateway = TestGateway::with_backends(MODEL, 1);
        let (number, _) = send(&mut gateway);
        if !asks_after_end {
            turn_away(&mut gateway, Duration::from_secs(3));
        }
        gateway.feed(Event::Refused { number });
        gateway.advance(500 * MS);
        let probed = gateway.actions.iter().find_map(|action| match action {
            Action::Probe { backend, .. } => Some(*backend),
            _ => None,
        });
        let backend = probed.expect("a probe");
        gateway.feed(Event::Probed { backend, reachable: true });
        if asks_after_end {
            turn_away(&mut gateway, Duration::from_secs(3));
        }
        gateway.advance_confirmed(Duration::from_secs(1));
        gateway.add("r0", Record { started: Some(2), ..record(MODEL, 9_000) });
        assert_eq!(send(&mut gateway).1.is_none(), asks_after_end, "{asks_after_end}");
        gateway.advance_confirmed(Duration::from_secs(2));
        let (_, server) = send(&mut gateway);
        assert!(server.is_some(), "it is used after the pause");
    }
}

/// Guards against callers that wait, or come back too late, where all servers pause.
#[test]
fn callers_are_told_how_long_all_servers_pause() {
    let mut gateway = TestGateway::with_backends(MODEL, 1);
    turn_away(&mut gateway, Duration::from_secs(2));
    gateway.advance(500 * MS);
    let (number, _) = send(&mut gateway);
    let refusal = gateway.refused(number).expect("refused at once");
    assert_eq!(refusal.reason, Reason::Paused);
    assert_eq!(refusal.retry_after, Some(Duration::from_millis(1_500)));
    assert_eq!(send(&mut gateway).1, None);
}

/// Guards against a pause without bound, or one that is ejected as a failure.
#[test]
fn a_pause_is_bounded_and_no_failure() {
    for (stated, bound) in [
        (Pause::For(Duration::from_secs(1_000_000)), Duration::from_secs(60)),
        (Pause::Unreadable, Duration::from_secs(1)),
        (Pause::For(Duration::ZERO), Duration::ZERO),
    ] {
        let mut gateway = TestGateway::with_backends(MODEL, 1);
        for _ in 0..6 {
            state(&mut gateway, Statement { pause: Some(stated), ..Statement::default() });
            gateway.advance_confirmed(bound + 100 * MS);
            let (number, server) = send(&mut gateway);
            assert!(server.is_some(), "{stated:?}: used after its bound");
            gateway.end(number, AttemptResult::Complete);
        }
    }
}

/// Number of random schedules in CI; see `stand::schedules`.
const SCHEDULES: u64 = 30;

/// What a simulated server last stated, by its run.
#[derive(Clone, Copy, Default)]
struct Known {
    is_leaving: bool,
    paused_until: Option<Instant>,
}

/// Requests in flight, with the server and its run.
type Open = Vec<(RequestNumber, usize, u64)>;

/// Records the requests that were dispatched, and checks that their servers take them.
fn take_dispatches(
    gateway: &mut TestGateway,
    runs: &[u64],
    known: &HashMap<(usize, u64), Known>,
    open: &mut Open,
    seed: u64,
) {
    for action in std::mem::take(&mut gateway.actions) {
        let Action::Dispatch(dispatch) = action else { continue };
        let at = usize::from(dispatch.address.port() - 9_000);
        let state = known.get(&(at, runs[at])).copied().unwrap_or_default();
        assert!(!state.is_leaving, "seed {seed}: sent to a server that leaves");
        let is_paused = state.paused_until.is_some_and(|until| gateway.now < until);
        assert!(!is_paused, "seed {seed}: sent within a pause");
        open.retain(|(other, ..)| *other != dispatch.number);
        open.push((dispatch.number, at, runs[at]));
    }
}

/// Guards against requests at servers that leave or pause, and against servers that stay unused, in
/// any order of statements, restarts, lapsed records and lost answers.
#[test]
fn statements_are_obeyed_in_random_schedules() {
    let (count, first) = stand::schedules::read(SCHEDULES, 1);
    for seed in first..first + count {
        let mut rng = fastrand::Rng::with_seed(seed);
        let servers = rng.usize(1..6);
        let mut gateway = TestGateway::new();
        let mut runs = vec![1u64; servers];
        let mut known: HashMap<(usize, u64), Known> = HashMap::new();
        let write = |gateway: &mut TestGateway, server: usize, run: u64| {
            let port = 9_000 + server as u16;
            let started = Some(run);
            gateway.add(&format!("r{server}"), Record { started, ..record(MODEL, port) });
        };
        (0..servers).for_each(|server| write(&mut gateway, server, 1));
        let mut open: Open = Vec::new();
        for _ in 0..400 {
            let server = rng.usize(..servers);
            match rng.u32(..30) {
                0 => {
                    runs[server] += 1;
                    open.retain(|(_, at, _)| *at != server);
                    write(&mut gateway, server, runs[server]);
                }
                1 => gateway.feed(Event::Record { id: format!("r{server}").into(), record: None }),
                2..5 => write(&mut gateway, server, runs[server]),
                _ => {}
            }
            let fingerprint = gateway.now.0;
            gateway.arrive(Request { fingerprint, ..request("resumable") });
            take_dispatches(&mut gateway, &runs, &known, &mut open, seed);
            if let Some((number, at, run)) = (!open.is_empty()).then(|| {
                let choice = rng.usize(..open.len());
                open.swap_remove(choice)
            }) {
                let span = Duration::from_millis(rng.u64(100..3_000));
                let state = known.entry((at, run)).or_default();
                match rng.u32(..12) {
                    0 => {
                        gateway.feed(Event::Stated { number, statement: LEAVING });
                        state.is_leaving = true;
                        gateway.end(number, AttemptResult::Complete);
                    }
                    1 | 2 => {
                        gateway.feed(Event::Stated { number, statement: pause(span) });
                        state.paused_until = state.paused_until.max(Some(gateway.now + span));
                        gateway.feed(Event::Rejected { number, retry_after: Some(span) });
                    }
                    3 => gateway.feed(Event::Closed { number }),
                    4 => {
                        gateway.end(number, AttemptResult::Broken);
                    }
                    _ => {
                        gateway.feed(Event::FirstEvent { number });
                        gateway.end(number, AttemptResult::Complete);
                    }
                }
            }
            take_dispatches(&mut gateway, &runs, &known, &mut open, seed);
            for _ in 0..rng.u32(1..15) {
                gateway.advance_confirmed(10 * MS);
                take_dispatches(&mut gateway, &runs, &known, &mut open, seed);
            }
        }
        let last = gateway.arrive(request("resumable"));
        (1..=last).for_each(|number| gateway.feed(Event::Closed { number }));
        for (server, run) in runs.iter().enumerate() {
            write(&mut gateway, server, run + 1);
        }
        gateway.advance_confirmed(Duration::from_secs(10));
        gateway.actions.clear();
        let (number, server) = send(&mut gateway);
        assert!(server.is_some(), "seed {seed}: {:?}", gateway.refused(number));
    }
}
