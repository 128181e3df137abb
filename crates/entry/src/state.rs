//! State shared by the filters and controllers.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use conf::tree;
use fleet::{health, placement, view};
use slotmap::SlotMap;
use wire::{
    id,
    outcome::{Outcome, Reason, Refusal, Step},
    time::Instant,
};

use crate::{
    action::Action,
    budget::Budget,
    counters::Counters,
    flight::{self, Flight},
    incoming::Setup,
    keys::Keys,
    pace::Pace,
    room::Room,
    timers::{Owner, Timers},
};

/// Everything the machine knows.
#[derive(Debug)]
pub struct State {
    pub setup: Setup,
    pub rng: fastrand::Rng,
    /// Time of the event in progress.
    pub now: Instant,
    /// Actions of the event in progress.
    pub actions: Vec<Action>,
    pub tree: Arc<tree::Tree>,
    pub view: fleet::View,
    pub health: fleet::Health,
    pub flights: SlotMap<flight::Key, Flight>,
    pub by_seq: HashMap<u64, flight::Key>,
    pub by_caller: HashMap<u64, flight::Key>,
    pub next_seq: u64,
    pub timers: Timers,
    pub room: Room,
    pub budget: Budget,
    pub pace: Pace,
    /// Agents that are kept free of long prompts.
    pub kept: HashSet<view::Key>,
    pub counters: Counters,
    pub keys: Keys,
    pub ready: bool,
    pub stopping: bool,
    pub stopped: bool,
}

impl State {
    /// Returns the state of an entry that has just started.
    pub fn new(setup: Setup) -> State {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        State {
            keys: Keys::new(rng.u64(..)),
            rng,
            setup,
            now: Instant::default(),
            actions: Vec::new(),
            tree: Arc::default(),
            view: fleet::View::default(),
            health: fleet::Health::default(),
            flights: SlotMap::with_key(),
            by_seq: HashMap::new(),
            by_caller: HashMap::new(),
            next_seq: 1,
            timers: Timers::default(),
            room: Room::default(),
            budget: Budget::default(),
            pace: Pace::default(),
            kept: HashSet::new(),
            counters: Counters::default(),
            ready: false,
            stopping: false,
            stopped: false,
        }
    }

    /// Appends an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Returns the open request with this identifier.
    pub fn find(&self, request: id::Request) -> Option<flight::Key> {
        if request.process != self.setup.process {
            return None;
        }
        self.by_seq.get(&request.seq).copied()
    }

    /// Moves a request to a step and traces the change.
    pub fn step(&mut self, key: flight::Key, step: Step, event: &'static str, peer: Bytes) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        if flight.step == step {
            return;
        }
        flight.step = step;
        let request = flight.head.request;
        self.push(Action::Trace { request, step, event, peer });
    }

    /// Sets the request's timer if its next due time is earlier than the timer. A timer that
    /// is too early is set again when it fires, which is cheaper than moving it per frame.
    pub fn arm(&mut self, key: flight::Key) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let due = flight.due();
        if flight.timer.is_some_and(|at| at <= due) {
            return;
        }
        self.timers.set(Owner::Flight(key), flight.timer, due);
        flight.timer = Some(due);
    }

    /// Returns a refusal that arose at this entry.
    pub fn refusal(&self, outcome: Outcome, step: Step, reason: Reason) -> Refusal {
        Refusal {
            outcome,
            step,
            reason,
            peer: self.setup.host.clone(),
            retry_after: self.retry_after(reason),
        }
    }

    /// Returns when a caller may try again, for reasons that pass.
    pub fn retry_after(&self, reason: Reason) -> Option<Duration> {
        let passes = matches!(
            reason,
            Reason::NotReady
                | Reason::Overload
                | Reason::Displaced
                | Reason::AccountLimit
                | Reason::Leaving
                | Reason::NoBackend
                | Reason::BackendUnreachable
                | Reason::Suspect
        );
        passes.then(|| self.pace.retry_after(self.room.waiting()))
    }

    /// Gives a request its final refusal.
    pub fn refuse(&mut self, key: flight::Key, mut refusal: Refusal) {
        let Some(flight) = self.flights.get(key) else { return };
        let (caller, request) = (flight.caller, flight.head.request);
        if refusal.retry_after.is_none() && refusal.outcome == Outcome::NotRun {
            refusal.retry_after = self.retry_after(refusal.reason);
        }
        self.counters.refuse(&refusal);
        self.close(key, "refused");
        self.push(Action::Refuse { caller, request: Some(request), refusal });
    }

    /// Closes a request: nothing is left outstanding for it at any agent.
    pub fn close(&mut self, key: flight::Key, event: &'static str) {
        self.withdraw(key, false);
        self.cancel(key);
        self.release_body(key);
        let peer = self.setup.host.clone();
        self.step(key, Step::Answered, event, peer);
        let Some(flight) = self.flights.remove(key) else { return };
        self.by_seq.remove(&flight.head.request.seq);
        self.by_caller.remove(&flight.caller);
        self.timers.clear(Owner::Flight(key), flight.timer);
        self.room.leave(&flight.seat(key));
        self.room.close(&flight.head.account);
    }

    /// Lets the shell drop a request's body.
    pub fn release_body(&mut self, key: flight::Key) {
        let Some(flight) = self.flights.get_mut(key).filter(|flight| flight.held) else { return };
        flight.held = false;
        let (request, body_len) = (flight.head.request, flight.head.body_len);
        self.room.release(body_len);
        self.push(Action::DropBody { request });
    }

    /// Records that an agent could not be reached or failed a request.
    pub fn blame(&mut self, agent: view::Key) {
        let max_percent = self.max_ejected_percent(agent);
        let scope = health::Context { now: self.now, view: &self.view, max_percent };
        self.health.record_failure(scope, agent);
    }

    /// Returns the ejection ceiling of an agent's pool.
    pub fn max_ejected_percent(&self, agent: view::Key) -> u32 {
        let host = self.view.get(agent);
        let pool = host.and_then(|host| self.tree.pools.get(&host.record.pool));
        pool.map_or(0, |pool| pool.max_ejected_percent)
    }

    /// Brings ejections and open requests in line with a changed view.
    pub fn view_changed(&mut self) {
        let tree = self.tree.clone();
        self.health.refresh(&self.view, |pool| {
            tree.pools.get(pool).map_or(0, |pool| pool.max_ejected_percent)
        });
        let kept = tree.pools.iter().flat_map(|(name, pool)| {
            placement::reserved_for_short(&self.view, name, pool.short_share_percent)
        });
        self.kept = kept.collect();
        let keys: Vec<_> = self.flights.keys().collect();
        for key in keys {
            self.void_leaving(key);
            self.follow_host(key);
            self.arm(key);
        }
    }
}
