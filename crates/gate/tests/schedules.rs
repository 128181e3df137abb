//! Random sequences of requests, responses, failures, changes of backend servers and outages,
//! checked against the guarantees of a gateway by the dispatches of each request.

mod common;

use std::{collections::HashMap, rc::Rc, time::Duration};

use common::{MODEL, MS, PLAIN, TestGateway, catalog, record, request};
use gate::{
    Action, Event,
    action::Dispatch,
    event::{AttemptResult, RequestNumber},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Number of schedules in CI; see `stand::schedules`.
const SCHEDULES: u64 = 500;
/// Seed of the generator in CI.
const SEED: u64 = 1;
const PATHS: [&str; 6] = ["essay", "resumable", "tag", "bid", "status", "public"];

/// One step of a schedule. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Step {
    Arrive { path: usize, copy: bool },
    Respond { request: usize, kind: usize },
    Disconnect { request: usize },
    Backend { id: usize, state: usize },
    Wait { ms: u64 },
    Confirm,
    Withdraw,
    StoreUnreachable,
    Probe { reachable: bool },
    Stop,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let pick = |g: &mut Gen, below: usize| usize::arbitrary(g) % below;
        match pick(g, 24) {
            0..=6 => Step::Arrive { path: pick(g, PATHS.len()), copy: pick(g, 4) == 0 },
            7..=13 => Step::Respond { request: pick(g, 64), kind: pick(g, 10) },
            14 => Step::Disconnect { request: pick(g, 64) },
            15 | 16 => Step::Backend { id: pick(g, 6), state: pick(g, 4) },
            17 | 18 => Step::Wait { ms: pick(g, 400) as u64 },
            19 | 20 => Step::Confirm,
            21 => Step::Withdraw,
            22 => Step::Probe { reachable: bool::arbitrary(g) },
            _ if pick(g, 12) == 0 => Step::Stop,
            _ => Step::StoreUnreachable,
        }
    }
}

/// Progress of one request, from the actions of the machine.
#[derive(Default)]
struct Progress {
    path: &'static str,
    /// Number of dispatches that may have run.
    runs: u32,
    /// The dispatch without a response so far.
    open: Option<Dispatch>,
    /// The unresponsive dispatch that goes on until `open` is accepted or declined.
    former: Option<Dispatch>,
    refusals: u32,
    closed: bool,
}

struct Run {
    gateway: TestGateway,
    requests: HashMap<RequestNumber, Progress>,
    order: Vec<RequestNumber>,
    draining: Vec<String>,
    withdrawn: bool,
    confirmed_at: wire::time::Instant,
}

impl Run {
    /// Without `first_start` the retry budget is empty at first.
    fn new(first_start: bool) -> Run {
        let mut gateway = TestGateway::empty(common::setup(1, first_start));
        gateway.feed(Event::Catalog(Rc::new(catalog(1, &["k1", "k2"], 0.0))));
        gateway.confirm();
        let confirmed_at = gateway.now;
        let (requests, order, draining) = Default::default();
        Run { gateway, requests, order, draining, withdrawn: false, confirmed_at }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Arrive { path, copy } => self.arrive(PATHS[*path], *copy),
            Step::Respond { request, kind } => self.respond(*request, *kind),
            Step::Disconnect { request } => self.disconnect(*request),
            Step::Backend { id, state } => self.backend(*id, *state),
            Step::Wait { ms } => self.wait(Duration::from_millis(*ms))?,
            Step::Confirm => {
                self.confirmed_at = self.gateway.now;
                self.gateway.confirm();
            }
            Step::Withdraw => {
                self.withdrawn = true;
                self.gateway.feed(Event::Catalog(Rc::new(catalog(2, &["k2"], 0.0))));
            }
            Step::StoreUnreachable => self.gateway.feed(Event::StoreUnreachable),
            Step::Probe { reachable } => self.probe(*reachable),
            Step::Stop => self.gateway.stop(),
        }
        self.take_actions()
    }

    /// Advances the clock and checks each action at its time.
    fn wait(&mut self, span: Duration) -> Result<(), String> {
        let end = self.gateway.now + span;
        while self.gateway.now < end {
            self.gateway.advance((10 * MS).min(end.since(self.gateway.now)));
            self.take_actions()?;
        }
        Ok(())
    }

    fn arrive(&mut self, path: &'static str, copy: bool) {
        let mut request = request(path);
        let number = self.order.len() as u64 + 1;
        request.fingerprint = if copy { 7 } else { 1_000 + number };
        self.order.push(number);
        self.requests.insert(number, Progress { path, ..Progress::default() });
        assert_eq!(self.gateway.arrive(request), number);
    }

    fn respond(&mut self, request: usize, kind: usize) {
        let open: Vec<RequestNumber> = self
            .order
            .iter()
            .copied()
            .filter(|number| self.requests[number].open.is_some())
            .collect();
        let Some(&number) = open.get(request % open.len().max(1)) else { return };
        let progress = self.requests.get_mut(&number).expect("a request that was sent");
        let declines = [1, 2, 3, 5, 6, 8].contains(&kind);
        if !declines && progress.former.take().is_some() {
            self.gateway.feed(Event::Moved { number });
        }
        let mut close = |may_have_run: bool| {
            progress.open = progress.former.take();
            // The former one was counted when the other one was dispatched.
            progress.runs -= u32::from(progress.open.is_some());
            progress.runs += u32::from(may_have_run);
        };
        match kind {
            0 => self.gateway.feed(Event::FirstEvent { number }),
            1 => {
                close(false);
                self.gateway.feed(Event::NotSent { number });
            }
            2 => {
                close(false);
                self.gateway.feed(Event::Rejected { number, retry_after: None });
            }
            3 => {
                close(false);
                self.gateway.feed(Event::Misdirected { number });
            }
            4 => self.gateway.feed(Event::Unresponsive { number }),
            5 => {
                close(true);
                self.gateway.end(number, AttemptResult::Broken);
            }
            6 => {
                close(true);
                self.gateway.end(number, AttemptResult::Failed);
            }
            8 => {
                close(true);
                self.gateway.feed(Event::DoubtfulRejection { number });
            }
            _ => {
                close(true);
                progress.closed = true;
                self.gateway.end(number, AttemptResult::Complete);
            }
        }
    }

    fn disconnect(&mut self, request: usize) {
        let Some(&number) = self.order.get(request % self.order.len().max(1)) else { return };
        let progress = self.requests.get_mut(&number).expect("a request that was sent");
        progress.closed = true;
        progress.open = None;
        progress.former = None;
        self.gateway.feed(Event::Closed { number });
    }

    fn backend(&mut self, id: usize, state: usize) {
        let name = format!("r{id}");
        let service = if id < 3 { MODEL } else { PLAIN };
        let mut record = record(service, 9_000 + id as u16);
        record.draining = state == 2;
        self.draining.retain(|draining| *draining != name);
        let record = match state {
            3 => None,
            _ => Some(record),
        };
        if state >= 2 {
            self.draining.push(name.clone());
        }
        self.gateway.feed(Event::Record { id: name.into(), record });
    }

    fn probe(&mut self, reachable: bool) {
        let keys: Vec<_> = self.gateway.machine.backends().iter().map(|(key, _)| key).collect();
        for backend in keys {
            self.gateway.feed(Event::Probed { backend, reachable });
        }
    }

    fn take_actions(&mut self) -> Result<(), String> {
        for action in std::mem::take(&mut self.gateway.actions) {
            match action {
                Action::Dispatch(dispatch) => self.dispatched(dispatch)?,
                Action::Refuse { number, refusal } => {
                    let progress = self.requests.get_mut(&number).expect("a request that was sent");
                    progress.refusals += 1;
                    progress.closed = true;
                    progress.open = None;
                    let not_run = matches!(refusal.reason.status(), 408 | 421 | 429 | 503);
                    if not_run && progress.runs > 0 {
                        return Err(format!("request {number} ran and got {:?}", refusal.reason));
                    }
                    if progress.refusals > 1 {
                        return Err(format!("request {number} was refused twice"));
                    }
                }
                Action::Send { .. }
                | Action::ReadStore
                | Action::Probe { .. }
                | Action::Install(_)
                | Action::Fetch { .. } => {}
            }
        }
        Ok(())
    }

    fn dispatched(&mut self, dispatch: Dispatch) -> Result<(), String> {
        let number = dispatch.number;
        let id = String::from_utf8_lossy(&dispatch.id).into_owned();
        let now = self.gateway.now;
        let progress = self.requests.get_mut(&number).expect("a request that was sent");
        // If a dispatch may replace an unresponsive one, the earlier one may have run.
        progress.former = progress.open.take();
        progress.runs += u32::from(progress.former.is_some());
        let max_runs = match progress.path {
            "status" | "public" | "resumable" => 2,
            _ => 1,
        };
        if progress.closed || progress.runs >= max_runs {
            return Err(format!(
                "{} request {number} ran {} times",
                progress.path,
                progress.runs + 1
            ));
        }
        if self.draining.contains(&id) {
            return Err(format!("request {number} went to {id}, which drains"));
        }
        let requires_api_key = progress.path != "public";
        if requires_api_key && (self.withdrawn || now.since(self.confirmed_at) >= 5_000 * MS) {
            return Err(format!("request {number} ran with a key that may be withdrawn"));
        }
        progress.open = Some(dispatch);
        Ok(())
    }

    /// Closes all requests and checks that none is open and no slot is occupied.
    fn finish(mut self) -> Result<(), String> {
        self.wait(Duration::from_secs(3))?;
        for number in self.order.clone() {
            self.gateway.feed(Event::Closed { number });
        }
        if self.gateway.machine.open_count() != 0 {
            return Err("requests are still open".into());
        }
        let busy =
            self.gateway.machine.backends().iter().find(|(_, backend)| backend.load.running > 0);
        match busy {
            Some((_, backend)) => Err(format!("{:?} has an occupied slot", backend.id)),
            None => Ok(()),
        }
    }
}

/// Plays the steps, each after a time for which the process is frozen.
fn play<'a>(
    steps: impl Iterator<Item = (Duration, &'a Step)>,
    first_start: bool,
) -> Result<(), String> {
    let mut run = Run::new(first_start);
    for (id, state) in [(0, 0), (1, 0), (3, 0), (4, 0)] {
        run.backend(id, state);
    }
    for (frozen, step) in steps {
        run.gateway.now = run.gateway.now + frozen;
        run.step(step)?;
    }
    run.finish()
}

/// Guards against a request that runs more often than its route allows, a refusal as not run after
/// it may have run, requests to a draining backend server or with a withdrawn API key, a second
/// refusal, and slots that are not released.
#[test]
fn guarantees_hold_in_any_order_of_events() {
    fn holds(steps: Vec<Step>, first_start: bool) -> Result<(), String> {
        play(steps.iter().map(|step| (Duration::ZERO, step)), first_start)
    }
    let (count, seed) = stand::schedules::read(SCHEDULES, SEED);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, seed))
        .tests(count)
        .max_tests(u64::MAX)
        .quickcheck(holds as fn(Vec<Step>, bool) -> Result<(), String>);
}

/// Longest time for which a process freezes, longer than anything that a gateway may use without a
/// confirmation.
const MAX_FREEZE_MS: u64 = 9_000;
/// One in how many steps follows a freeze.
const FREEZE_PERIOD: u64 = 8;

/// A time for which the process handles nothing before a step; 0 for most steps.
#[derive(Clone, Copy, Debug)]
struct Freeze {
    ms: u64,
}

impl Arbitrary for Freeze {
    fn arbitrary(g: &mut Gen) -> Freeze {
        let ms = match u64::arbitrary(g) % FREEZE_PERIOD {
            0 => u64::arbitrary(g) % MAX_FREEZE_MS,
            _ => 0,
        };
        Freeze { ms }
    }
}

/// Guards against a gateway that acts on what expired while it was frozen: keys, records, deadlines
/// and waiting times. Any event may be the first one after it wakes, so no timer is handled before.
#[test]
fn guarantees_hold_when_the_process_freezes() {
    fn holds(steps: Vec<(Freeze, Step)>, first_start: bool) -> Result<(), String> {
        let frozen = |freeze: &Freeze| Duration::from_millis(freeze.ms);
        play(steps.iter().map(|(freeze, step)| (frozen(freeze), step)), first_start)
    }
    let (count, seed) = stand::schedules::read(SCHEDULES, SEED);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, seed))
        .tests(count)
        .max_tests(u64::MAX)
        .quickcheck(holds as fn(Vec<(Freeze, Step)>, bool) -> Result<(), String>);
}
