//! State shared by the filters and the handlers of events.

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
    capacity::Capacity,
    counters::Counters,
    grant_rate::GrantRate,
    incoming::Setup,
    key_requests::KeyRequests,
    open_request::{self, OpenRequest},
    pause::Pause,
    retry_budget::RetryBudget,
    timers::{Owner, Timers},
};

/// State of the machine.
#[derive(Debug)]
pub struct State {
    pub setup: Setup,
    pub rng: fastrand::Rng,
    /// Time of the event being handled.
    pub now: Instant,
    /// Actions of the event being handled.
    pub actions: Vec<Action>,
    pub tree: Arc<tree::Tree>,
    pub view: fleet::View,
    pub health: fleet::Health,
    pub open_requests: SlotMap<open_request::Key, OpenRequest>,
    pub by_seq: HashMap<u64, open_request::Key>,
    pub by_caller: HashMap<u64, open_request::Key>,
    pub next_seq: u64,
    pub timers: Timers,
    pub pause: Pause,
    /// Number of open requests with an idempotency key.
    pub keyed_count: usize,
    pub capacity: Capacity,
    pub retry_budget: RetryBudget,
    pub grant_rate: GrantRate,
    /// Agents reserved for short prompts; long ones use them only if the pool has no others.
    pub short_prompt_agents: HashSet<view::Key>,
    pub counters: Counters,
    pub key_requests: KeyRequests,
    pub ready: bool,
    pub stopping: bool,
    pub stopped: bool,
}

impl State {
    /// Returns the state of an entry that has just started.
    pub fn new(setup: Setup) -> State {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        State {
            key_requests: KeyRequests::new(rng.u64(..)),
            rng,
            setup,
            now: Instant::default(),
            actions: Vec::new(),
            tree: Arc::default(),
            view: fleet::View::default(),
            health: fleet::Health::default(),
            open_requests: SlotMap::with_key(),
            by_seq: HashMap::new(),
            by_caller: HashMap::new(),
            next_seq: 1,
            timers: Timers::default(),
            pause: Pause::default(),
            keyed_count: 0,
            capacity: Capacity::default(),
            retry_budget: RetryBudget::default(),
            grant_rate: GrantRate::default(),
            short_prompt_agents: HashSet::new(),
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
    pub fn find_request(&self, request: id::Request) -> Option<open_request::Key> {
        if request.process != self.setup.process {
            return None;
        }
        self.by_seq.get(&request.seq).copied()
    }

    /// Sets the step of a request and traces the change.
    pub fn enter_step(
        &mut self,
        key: open_request::Key,
        step: Step,
        event: &'static str,
        peer: Bytes,
    ) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        if open_request.step == step {
            return;
        }
        open_request.step = step;
        let request = open_request.head.request;
        self.push(Action::Trace { request, step, event, peer });
    }

    /// Arms the request's timer for its due time, unless the timer is already armed for that time
    /// or an earlier one. A timer that fires too early is armed again then, which is cheaper than
    /// moving it with every frame.
    pub fn arm_timer(&mut self, key: open_request::Key) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let due = open_request.due_at();
        if open_request.armed_for.is_some_and(|at| at <= due) {
            return;
        }
        self.timers.arm(Owner::Request(key), open_request.armed_for, due);
        open_request.armed_for = Some(due);
    }

    /// Returns a refusal that names this entry as its origin.
    pub fn build_refusal(&self, outcome: Outcome, step: Step, reason: Reason) -> Refusal {
        Refusal {
            outcome,
            step,
            reason,
            peer: self.setup.host.clone(),
            retry_after: self.retry_after(reason),
        }
    }

    /// Returns the time to retry after, if the reason is temporary.
    pub fn retry_after(&self, reason: Reason) -> Option<Duration> {
        let is_temporary = matches!(
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
        is_temporary.then(|| self.grant_rate.retry_after(self.capacity.waiting_count()))
    }

    /// Marks the open requests if this process was paused.
    pub fn detect_pause(&mut self) {
        if self.pause.detect(self.now) {
            self.counters.count("pauses");
            for open_request in self.open_requests.values_mut() {
                open_request.was_paused = true;
            }
        }
    }

    /// Refuses a request and closes it.
    pub fn refuse_request(&mut self, key: open_request::Key, mut refusal: Refusal) {
        let Some(open_request) = self.open_requests.get(key) else { return };
        if open_request.is_keyed() && open_request.was_paused && refusal.outcome == Outcome::NotRun
        {
            // Another request with the key may have run during the pause.
            refusal.outcome = Outcome::Unknown;
        }
        let (caller, request) = (open_request.caller, open_request.head.request);
        if refusal.retry_after.is_none() && refusal.outcome == Outcome::NotRun {
            refusal.retry_after = self.retry_after(refusal.reason);
        }
        self.counters.count_refusal(&refusal);
        self.close_request(key, "refused");
        self.push(Action::Refuse { caller, request: Some(request), refusal });
    }

    /// Closes a request: withdraws its offers, cancels its grant and drops its body, so that no
    /// agent still works on it or reserves a slot for it.
    pub fn close_request(&mut self, key: open_request::Key, event: &'static str) {
        self.withdraw_offers(key, false);
        self.cancel_grant(key);
        self.drop_body(key);
        let peer = self.setup.host.clone();
        self.enter_step(key, Step::Answered, event, peer);
        let Some(open_request) = self.open_requests.remove(key) else { return };
        self.keyed_count -= usize::from(open_request.is_keyed());
        self.by_seq.remove(&open_request.head.request.seq);
        self.by_caller.remove(&open_request.caller);
        self.timers.disarm(Owner::Request(key), open_request.armed_for);
        self.capacity.remove_waiting(&open_request.usage(key));
        self.capacity.remove_request(&open_request.head.account);
    }

    /// Drops the body of a request, if it is still stored.
    pub fn drop_body(&mut self, key: open_request::Key) {
        let Some(open_request) =
            self.open_requests.get_mut(key).filter(|open_request| open_request.body_stored)
        else {
            return;
        };
        open_request.body_stored = false;
        let (request, body_len) = (open_request.head.request, open_request.head.body_len);
        self.capacity.release_bytes(body_len);
        self.push(Action::DropBody { request });
    }

    /// Records that an agent could not be reached or failed a request.
    pub fn record_agent_failure(&mut self, agent: view::Key) {
        let max_percent = self.max_ejected_percent(agent);
        let context = health::Context { now: self.now, view: &self.view, max_percent };
        self.health.record_failure(context, agent);
    }

    /// Returns the largest percentage of an agent's pool that may be ejected.
    pub fn max_ejected_percent(&self, agent: view::Key) -> u32 {
        let host = self.view.get(agent);
        let pool = host.and_then(|host| self.tree.pools.get(&host.record.pool));
        pool.map_or(0, |pool| pool.max_ejected_percent)
    }

    /// Updates ejections, the agents reserved for short prompts and the open requests after a
    /// change of the settings or of the host list.
    pub fn apply_view_change(&mut self) {
        let tree = self.tree.clone();
        self.health.refresh(&self.view, |pool| {
            tree.pools.get(pool).map_or(0, |pool| pool.max_ejected_percent)
        });
        let short_prompt_agents = tree.pools.iter().flat_map(|(name, pool)| {
            placement::reserved_for_short(&self.view, name, pool.short_share_percent)
        });
        self.short_prompt_agents = short_prompt_agents.collect();
        let keys: Vec<_> = self.open_requests.keys().collect();
        for key in keys {
            self.withdraw_offers_to_leaving(key);
            self.attach_if_host_moved(key);
            self.arm_timer(key);
        }
    }
}
