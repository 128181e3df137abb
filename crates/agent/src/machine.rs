//! State of the agent and the order in which an event is handled.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use conf::tree;
use wire::{id, outcome, request, time::Instant};

use crate::{
    Action, Event, Link, Setup, admission, backend_state, drain, event::Context, grants, keys,
    limit, pause, queue, rate_limit, streams, suspects, timers, timers::Timer,
};

/// Bounds of a stream that is adopted before settings arrive.
const DEFAULT_BOUNDS: streams::Bounds = streams::Bounds {
    retention: Duration::from_secs(30),
    orphan_ttl: Duration::from_secs(10),
    resume_limit: Duration::from_secs(5),
};

/// What a link is used for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkUse {
    Queued(queue::Key),
    /// An offer that waits for another one with the same idempotency key, which has this sequence
    /// number.
    Waiting(u64),
    Reader(id::Grant),
}

/// State machine of one agent process.
#[derive(Debug)]
pub struct Machine {
    pub(crate) setup: Setup,
    pub(crate) now: Instant,
    pub(crate) rng: fastrand::Rng,
    pub(crate) tree: Arc<tree::Tree>,
    pub(crate) pool: Option<tree::Pool>,
    pub(crate) filters: Vec<Box<dyn admission::Filter>>,
    pub(crate) drain: drain::Drain,
    pub(crate) pause: pause::Pause,
    pub(crate) backend: backend_state::State,
    pub(crate) queue: queue::Queue,
    pub(crate) limit: limit::Limit,
    pub(crate) rate_limit: rate_limit::RateLimit,
    pub(crate) grants: grants::Grants,
    pub(crate) streams: streams::Streams,
    pub(crate) suspects: suspects::Suspects,
    pub(crate) keys: keys::Keys,
    pub(crate) timers: timers::Timers,
    pub(crate) links: HashMap<Link, LinkUse>,
    pub(crate) counters: BTreeMap<&'static str, u64>,
    pub(crate) refusals: BTreeMap<outcome::Reason, u64>,
}

impl Machine {
    /// Returns a machine that refuses every offer until it is ready.
    pub fn new(setup: Setup) -> Machine {
        Machine {
            now: Instant::default(),
            rng: fastrand::Rng::with_seed(setup.seed),
            tree: Arc::default(),
            pool: None,
            filters: admission::filters(),
            drain: drain::Drain::default(),
            pause: pause::Pause::default(),
            backend: backend_state::State::default(),
            queue: queue::Queue::default(),
            limit: limit::Limit::new(),
            rate_limit: rate_limit::RateLimit::new(),
            grants: grants::Grants::new(setup.process),
            streams: streams::Streams::default(),
            suspects: suspects::Suspects::default(),
            keys: keys::Keys::default(),
            timers: timers::Timers::default(),
            links: HashMap::new(),
            counters: BTreeMap::new(),
            refusals: BTreeMap::new(),
            setup,
        }
    }

    /// Handles one event and appends the actions that follow from it.
    ///
    /// Timers that are due are handled before the event, so an event that was delayed by a pause of
    /// the process meets the same state as it would have met in time. Progress of the backend
    /// server is the exception and is handled first: a timer may start a resume from the present
    /// offset, and bytes appended after that would be sent again by the resumed connection.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let now = self.now;
        let cx = &mut Context { now, out: actions };
        self.suspects.expire(now, self.quarantine_ttl());
        if self.pause.detect(now) {
            self.count("pauses");
            cx.push(Action::Refresh);
        }
        match event {
            Event::Backend { grant, progress } => {
                self.handle_progress(cx, grant, progress);
                self.handle_due_timers(cx);
            }
            event => {
                self.handle_due_timers(cx);
                self.apply_event(cx, event);
            }
        }
        self.grant_slots(cx);
        self.finish_stop(cx);
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        let permit = self.rate_limit.next_request().filter(|_| self.queue.len() > 0);
        let times = [self.timers.next_due(), self.pause.next_heartbeat(), permit];
        times.into_iter().flatten().min()
    }

    /// Returns the least time between probes, or zero if the backend server has no rate limit. A
    /// limited one is not asked for its load.
    pub fn probe_interval(&self) -> Duration {
        self.rate_limit.probe_interval()
    }

    fn handle_due_timers(&mut self, cx: &mut Context<'_>) {
        while let Some(timer) = self.timers.pop_due(cx.now) {
            self.handle_timer(cx, timer);
        }
    }

    fn handle_timer(&mut self, cx: &mut Context<'_>, timer: Timer) {
        match timer {
            Timer::Queued(key) => self.check_queued(cx, key),
            Timer::Reserved(seq) => self.expire_reservation(cx, seq),
            Timer::Stream(grant) => self.check_stream(cx, grant),
            Timer::Key(seq) => self.check_key(cx, seq),
            Timer::Backend => {
                let cleared = self.backend.remove_cleared(cx.now, false);
                self.unblock_ended(&cleared);
            }
        }
    }

    fn apply_event(&mut self, cx: &mut Context<'_>, event: Event) {
        match event {
            Event::Tick | Event::Backend { .. } => {}
            Event::Offer { link, offer } => self.handle_offer(cx, link, offer.head),
            Event::LinkClosed { link } => self.close_link(cx, link),
            Event::Commit { link, commit, body } => self.handle_commit(cx, link, commit, body),
            Event::Attach { link, attach } => self.handle_attach(cx, link, attach),
            Event::Cancel { commit } => self.handle_cancel(cx, commit),
            Event::KeyRequest { link, route } => self.issue_key(cx, link, route),
            Event::Probe { instance } => self.handle_probe(cx, instance),
            Event::RateLimitStated { sent_at, per_s } => self.record_rate_limit(cx, sent_at, per_s),
            Event::Load { waiting, .. } => self.limit.record_load(waiting),
            Event::Settings(tree) => self.apply_settings(cx, tree),
            Event::Hosts(hosts) => {
                self.drain.apply_hosts(&hosts, &self.setup.host);
                self.refuse_queued_if_leaving(cx);
            }
            Event::Ready => self.drain.ready = true,
            Event::Refreshed => self.pause.mark_refreshed(),
            Event::Suspects(suspects) => {
                for suspect in suspects {
                    self.suspects.merge(cx.now, suspect, self.quarantine_ttl());
                }
            }
            Event::Stop => {
                self.drain.stopping = true;
                self.refuse_queued_if_leaving(cx);
            }
        }
    }

    fn record_rate_limit(&mut self, cx: &Context<'_>, sent_at: Instant, per_s: Option<f64>) {
        if let Some(change) = self.rate_limit.record(cx.now, sent_at, per_s) {
            tracing::info!(event = "limit_changed", change = change.name(), per_s);
            self.count("limit_changes");
        }
    }

    fn apply_settings(&mut self, cx: &mut Context<'_>, tree: Arc<tree::Tree>) {
        if let Some(pool) = tree.pools.get(&self.setup.pool) {
            self.limit.apply_settings(pool);
            self.pool = Some(pool.clone());
        }
        if let Some(order) = self.drain.apply_settings(&tree, &self.setup.host) {
            self.count("orders");
            cx.push(Action::Order { order });
        }
        self.tree = tree;
        self.refuse_queued_if_leaving(cx);
    }

    fn refuse_queued_if_leaving(&mut self, cx: &mut Context<'_>) {
        if self.drain.is_leaving() {
            for key in self.queue.keys() {
                self.refuse_queued(cx, key, outcome::Reason::Leaving);
            }
        }
    }

    fn finish_stop(&mut self, cx: &mut Context<'_>) {
        let idle = self.streams.open().is_empty() && self.grants.len() == 0;
        if self.drain.stopping && idle && !self.drain.stopped {
            self.drain.stopped = true;
            cx.push(Action::Stopped);
        }
    }

    pub(crate) fn stream_bounds(&self) -> streams::Bounds {
        self.pool.as_ref().map_or(DEFAULT_BOUNDS, |pool| streams::Bounds {
            retention: pool.retention,
            orphan_ttl: pool.orphan_ttl,
            resume_limit: pool.resume_limit,
        })
    }

    pub(crate) fn quarantine_ttl(&self) -> Duration {
        self.pool.as_ref().map_or(Duration::ZERO, |pool| pool.quarantine)
    }

    /// Returns whether streams of this pool can be resumed. It is assumed before settings arrive,
    /// since a plain service responds to a resume that it has no such stream.
    pub(crate) fn serves_models(&self) -> bool {
        let pool_routes =
            || self.tree.routes.values().filter(|route| route.pool == self.setup.pool);
        pool_routes().next().is_none()
            || pool_routes().any(|route| route.kind == request::Kind::Model)
    }

    pub(crate) fn host(&self) -> Bytes {
        self.setup.host.clone()
    }

    pub(crate) fn count(&mut self, counter: &'static str) {
        *self.counters.entry(counter).or_default() += 1;
    }
}
