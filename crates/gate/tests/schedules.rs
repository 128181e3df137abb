//! Random orders of requests, answers, changes of backend servers and cuts, checked against what a
//! gateway promises. The history of dispatches is the ground truth.

mod common;

use std::{collections::HashMap, rc::Rc, time::Duration};

use common::{MODEL, MS, PLAIN, World, catalog, record, request};
use gate::{
    Action, Event,
    action::Dispatch,
    event::{Outcome, RequestNumber},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Schedules in CI; see `stand::schedules`.
const SCHEDULES: u64 = 500;
/// Generator seed in CI.
const SEED: u64 = 1;
const PATHS: [&str; 6] = ["essay", "resumable", "tag", "bid", "status", "public"];

/// One step of a schedule. Numbers pick among what is there.
#[derive(Clone, Debug)]
enum Step {
    Arrive { path: usize, copy: bool },
    Answer { request: usize, how: usize },
    Leave { request: usize },
    Backend { id: usize, state: usize },
    Wait { ms: u64 },
    Confirm,
    Withdraw,
    StoreLost,
    Probe { reachable: bool },
    Stop,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let pick = |g: &mut Gen, below: usize| usize::arbitrary(g) % below;
        match pick(g, 24) {
            0..=6 => Step::Arrive { path: pick(g, PATHS.len()), copy: pick(g, 4) == 0 },
            7..=13 => Step::Answer { request: pick(g, 64), how: pick(g, 9) },
            14 => Step::Leave { request: pick(g, 64) },
            15 | 16 => Step::Backend { id: pick(g, 6), state: pick(g, 4) },
            17 | 18 => Step::Wait { ms: pick(g, 400) as u64 },
            19 | 20 => Step::Confirm,
            21 => Step::Withdraw,
            22 => Step::Probe { reachable: bool::arbitrary(g) },
            _ if pick(g, 12) == 0 => Step::Stop,
            _ => Step::StoreLost,
        }
    }
}

/// What is known of one request.
#[derive(Default)]
struct Track {
    path: &'static str,
    /// Dispatches that may have run.
    ran: u32,
    /// The dispatch without an answer so far.
    open: Option<Dispatch>,
    refusals: u32,
    closed: bool,
}

struct Run {
    world: World,
    requests: HashMap<RequestNumber, Track>,
    order: Vec<RequestNumber>,
    draining: Vec<String>,
    withdrawn: bool,
    confirmed: wire::time::Instant,
}

impl Run {
    fn new() -> Run {
        let world = World::new();
        let confirmed = world.now;
        let (requests, order, draining) = Default::default();
        Run { world, requests, order, draining, withdrawn: false, confirmed }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Arrive { path, copy } => self.arrive(PATHS[*path], *copy),
            Step::Answer { request, how } => self.answer(*request, *how),
            Step::Leave { request } => self.leave(*request),
            Step::Backend { id, state } => self.backend(*id, *state),
            Step::Wait { ms } => self.world.advance(Duration::from_millis(*ms)),
            Step::Confirm => {
                self.confirmed = self.world.now;
                self.world.confirm();
            }
            Step::Withdraw => {
                self.withdrawn = true;
                self.world.feed(Event::Catalog(Rc::new(catalog(2, &["k2"], 0.0))));
            }
            Step::StoreLost => self.world.feed(Event::StoreUnreachable),
            Step::Probe { reachable } => self.probe(*reachable),
            Step::Stop => self.world.feed(Event::Stop),
        }
        self.take_actions()
    }

    fn arrive(&mut self, path: &'static str, copy: bool) {
        let mut request = request(path);
        let number = self.order.len() as u64 + 1;
        request.fingerprint = if copy { 7 } else { 1_000 + number };
        self.order.push(number);
        self.requests.insert(number, Track { path, ..Track::default() });
        assert_eq!(self.world.arrive(request), number);
    }

    fn answer(&mut self, request: usize, how: usize) {
        let open: Vec<RequestNumber> =
            self.order.iter().copied().filter(|t| self.requests[t].open.is_some()).collect();
        let Some(&number) = open.get(request % open.len().max(1)) else { return };
        let track = self.requests.get_mut(&number).expect("known");
        let mut close = |ran: bool| {
            track.open = None;
            track.ran += u32::from(ran);
        };
        match how {
            0 => self.world.feed(Event::FirstEvent { number }),
            1 => {
                close(false);
                self.world.feed(Event::NotSent { number });
            }
            2 => {
                close(false);
                self.world.feed(Event::Rejected { number, retry_after: None });
            }
            3 => {
                close(false);
                self.world.feed(Event::Misdirected { number });
            }
            4 => self.world.feed(Event::Unresponsive { number }),
            5 => {
                close(true);
                self.world.end(number, Outcome::Broken);
            }
            6 => {
                close(true);
                self.world.end(number, Outcome::Failed);
            }
            _ => {
                close(true);
                track.closed = true;
                self.world.end(number, Outcome::Complete);
            }
        }
    }

    fn leave(&mut self, request: usize) {
        let Some(&number) = self.order.get(request % self.order.len().max(1)) else { return };
        let track = self.requests.get_mut(&number).expect("known");
        track.closed = true;
        track.open = None;
        self.world.feed(Event::Closed { number });
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
        self.world.feed(Event::Record { id: name.into(), record });
    }

    fn probe(&mut self, reachable: bool) {
        let keys: Vec<_> = self.world.machine.backends().iter().map(|(key, _)| key).collect();
        for backend in keys {
            self.world.feed(Event::Probed { backend, reachable });
        }
    }

    fn take_actions(&mut self) -> Result<(), String> {
        for action in std::mem::take(&mut self.world.actions) {
            match action {
                Action::Dispatch(dispatch) => self.dispatched(dispatch)?,
                Action::Refuse { number, refusal } => {
                    let track = self.requests.get_mut(&number).expect("known");
                    track.refusals += 1;
                    track.closed = true;
                    track.open = None;
                    let promise = matches!(refusal.reason.status(), 408 | 421 | 429 | 503);
                    if promise && track.ran > 0 {
                        return Err(format!("request {number} ran and got {:?}", refusal.reason));
                    }
                    if track.refusals > 1 {
                        return Err(format!("request {number} was refused twice"));
                    }
                }
                Action::Send { .. }
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
        let now = self.world.now;
        let track = self.requests.get_mut(&number).expect("known");
        // A dispatch that replaces a silent one may have run there.
        if track.open.take().is_some() {
            track.ran += 1;
        }
        let most = match track.path {
            "status" | "public" | "resumable" => 2,
            _ => 1,
        };
        if track.closed || track.ran >= most {
            return Err(format!("{} request {number} ran {} times", track.path, track.ran + 1));
        }
        if self.draining.contains(&id) {
            return Err(format!("request {number} went to {id}, which leaves"));
        }
        let requires_key = track.path != "public";
        if requires_key && (self.withdrawn || now.since(self.confirmed) >= 5_000 * MS) {
            return Err(format!("request {number} ran with a key that may be withdrawn"));
        }
        track.open = Some(dispatch);
        Ok(())
    }

    /// Lets all requests end and checks that nothing is left behind.
    fn finish(mut self) -> Result<(), String> {
        self.world.advance(Duration::from_secs(3));
        self.take_actions()?;
        for number in self.order.clone() {
            self.world.feed(Event::Closed { number });
        }
        if self.world.machine.open_count() != 0 {
            return Err("requests are left over".into());
        }
        let busy = self.world.machine.backends().iter().find(|(_, r)| r.load.running > 0);
        match busy {
            Some((_, backend)) => Err(format!("{:?} keeps a place", backend.id)),
            None => Ok(()),
        }
    }
}

/// Guards against a request that runs more often than its route allows, a promise to a request that
/// ran, work for a leaving backend server or with a withdrawn key, a second answer, and places that
/// stay taken.
#[test]
fn promises_hold_in_any_order_of_events() {
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        let mut run = Run::new();
        for (id, state) in [(0, 0), (1, 0), (3, 0), (4, 0)] {
            run.backend(id, state);
        }
        for step in &steps {
            run.step(step)?;
        }
        run.finish()
    }
    let (count, seed) = stand::schedules::read(SCHEDULES, SEED);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, seed))
        .tests(count)
        .quickcheck(holds as fn(Vec<Step>) -> Result<(), String>);
}
