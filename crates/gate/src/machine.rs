//! State of the gateway and the handling of events.

mod admitting;
mod causes;
mod configuration;
mod demanding;
mod dispatching;
mod evacuating;
mod freshness;
mod hedging;
mod limiting;
mod loads;
mod peering;
mod plain;
mod responses;
mod resuming;
mod stopping;
mod warming;

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use conf::gateway::Bounds;
use wire::time::Instant;

use crate::{
    Action, Event,
    arrivals::Arrivals,
    backends::{self, Backends},
    catalog::Catalog,
    contact::Contact,
    deadlines::Deadlines,
    event::RequestNumber,
    hedging::Hedging,
    late_ends::LateEnds,
    lease::Lease,
    message,
    origin::Origin,
    peers::Peers,
    permits::Permits,
    queue::{Entry, Queue},
    quota::{self, Quotas},
    rate_limit::RateLimits,
    refusal::{self, Inputs, Refusal},
    retry_budget::RetryBudget,
    source::{self, Source},
    streams::Streams,
    suspects::Suspects,
    unanswered::Unanswered,
};

/// Time between attempts to connect to a backend server that refused connections.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Age of the state in force up to which it counts as confirmed: gateways read the store themselves
/// from about this age on.
const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(2500);

/// Identity and limits of a gateway process.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number that identifies this run of the process; see `source::process_number`.
    pub process: u64,
    /// Address for messages between gateways.
    pub address: Option<SocketAddr>,
    pub availability_zone: Bytes,
    /// Addresses of the first peers.
    pub seeds: Vec<SocketAddr>,
    pub bounds: Bounds,
    /// Limits on hedges; `None` if there are none.
    pub hedging: Option<conf::gateway::Hedging>,
    /// Whether all gateways start for the first time, so that no usage was admitted before.
    pub first_start: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Progress of an open request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Dispatched {
        backend: backends::Key,
        /// Run of the backend server, which may have ended since.
        run: u64,
        /// Service and software version of the backend server when the request was sent there.
        origin: u64,
        dispatched_at: Instant,
        tokens_ahead: u32,
        first_event_at: Option<Instant>,
        /// Whether the backend server went on to answer the request.
        went_on: bool,
        /// Whether the request was reported as unresponsive there.
        unresponsive: bool,
        /// Key of the permit and the time at which it would have expired, if the backend server has
        /// a rate limit or warms up.
        permit: Option<(u64, Instant)>,
        /// Requests that a server of a plain service had, without this one.
        running: f64,
    },
}

#[derive(Clone, Debug)]
struct OpenRequest {
    entry: Entry,
    state: State,
    /// Dispatch to the unresponsive backend server that goes on with the request, until the one that
    /// it moves to has accepted it.
    former: Option<State>,
    /// The other of the two attempts of a request that is hedged, while both run.
    hedge: Option<State>,
    /// Whether the request was hedged, which happens at most once.
    was_hedged: bool,
    /// Whether the time to the answer was recorded, or that an attempt took longer than some time.
    was_timed: bool,
}

impl OpenRequest {
    /// Replaces the origin of the request and of its attempts.
    fn replace_origin(&mut self, from: u64, to: u64) {
        if self.entry.origin == Origin::Known(from) {
            self.entry.origin = Origin::Known(to);
        }
        for state in [&mut self.state].into_iter().chain(&mut self.former).chain(&mut self.hedge) {
            if let State::Dispatched { origin, .. } = state
                && *origin == from
            {
                *origin = to;
            }
        }
    }

    /// Returns a request that waits for a backend server.
    fn waiting(entry: Entry) -> OpenRequest {
        OpenRequest {
            entry,
            state: State::Waiting,
            former: None,
            hedge: None,
            was_hedged: false,
            was_timed: false,
        }
    }
}

/// State machine of one gateway process.
#[derive(Debug)]
pub struct Machine {
    setup: Setup,
    catalog: Option<Rc<Catalog>>,
    /// Number of times that the store came back from an older copy.
    restores: u64,
    /// The value of `restores` when the store last had the version in force.
    catalog_restores: u64,
    /// An older version that the store holds since then, with the time to put it in force.
    older_catalog: Option<(Rc<Catalog>, Instant)>,
    lease: Lease,
    contact: Contact,
    /// Whether the state was too old to be used at the last tick.
    is_outdated: bool,
    source: Source,
    backends: Backends,
    quotas: Quotas,
    rate_limits: RateLimits,
    permits: Permits,
    demanding: demanding::State,
    limiting: limiting::State,
    warming: warming::Warming,
    evacuating: evacuating::State,
    /// `None` if hedging is off.
    hedging: Option<Hedging>,
    /// Arrivals by service.
    arrivals: HashMap<Bytes, Arrivals>,
    retry_budgets: HashMap<Bytes, RetryBudget>,
    suspects: Suspects,
    unanswered: Unanswered,
    late_ends: LateEnds,
    streams: Streams,
    /// Searches for the origins of streams that callers take up.
    lookups: Vec<resuming::Lookup>,
    /// Earliest time of the next read of the store for these searches.
    next_store_read: Instant,
    deadlines: Deadlines,
    peers: Peers,
    open_requests: HashMap<RequestNumber, OpenRequest>,
    queues: HashMap<Bytes, Queue>,
    probes: HashMap<backends::Key, Instant>,
    started_at: Instant,
    stopping_since: Option<Instant>,
    sequence: u64,
    /// Number of rounds in which the state was sent to all peers.
    round: u64,
    next_send: Instant,
    /// Tiers and load of plain services.
    plain: plain::State,
    /// Exchange of the load with nearby gateways.
    load_exchange: loads::State,
    /// Time of the next message with suspects to one peer.
    next_sample: Instant,
    /// Time since which the state in force was confirmed all the while.
    confirmed_since: Instant,
    rng: fastrand::Rng,
}

impl Machine {
    /// Returns a gateway without configuration or backend servers.
    pub fn new(now: Instant, setup: Setup) -> Machine {
        Machine {
            lease: Lease::new(setup.bounds.revoke),
            peers: Peers::new(
                now,
                setup.address,
                quota::hash(&setup.availability_zone),
                &setup.seeds,
            ),
            rng: fastrand::Rng::with_seed(setup.seed),
            quotas: Quotas::new(now, setup.first_start),
            hedging: setup.hedging.map(Hedging::new),
            setup,
            contact: Contact::default(),
            is_outdated: false,
            source: Source::default(),
            catalog: None,
            restores: 0,
            catalog_restores: 0,
            older_catalog: None,
            backends: Backends::default(),
            started_at: now,
            rate_limits: RateLimits::default(),
            permits: Permits::default(),
            demanding: demanding::State::default(),
            limiting: limiting::State::default(),
            warming: warming::Warming::default(),
            evacuating: evacuating::State::default(),
            arrivals: HashMap::new(),
            retry_budgets: HashMap::new(),
            suspects: Suspects::default(),
            unanswered: Unanswered::default(),
            late_ends: LateEnds::default(),
            streams: Streams::default(),
            lookups: Vec::new(),
            next_store_read: now,
            deadlines: Deadlines::default(),
            open_requests: HashMap::new(),
            queues: HashMap::new(),
            probes: HashMap::new(),
            stopping_since: None,
            sequence: 0,
            round: 0,
            next_send: now,
            plain: plain::State::default(),
            load_exchange: loads::State::new(now),
            next_sample: now,
            confirmed_since: now,
        }
    }

    /// Returns whether the load balancer should open new connections to the gateway.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.stopping_since.is_none()
            && self.catalog.is_some()
            && self.lease.is_valid(now)
            && !self.may_lack_configuration(now)
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the backend servers.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Returns the time since the state in force was last confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.lease.age(now)
    }

    /// Returns the ordinal of the revision in force; see `revision::Revision`.
    pub fn revision(&self) -> Option<u64> {
        self.source.revision()
    }

    /// Returns the reply to a query that a peer sent over a connection.
    pub fn reply_to_fetch(&self, now: Instant, query: &message::Query) -> Option<message::Reply> {
        self.source.reply(query, self.lease.age(now), source::MAX_FETCHED_BYTES)
    }

    /// Returns whether this process has to read the store itself.
    pub fn must_read_store(&self, now: Instant) -> bool {
        self.source.must_read_store(now, self.setup.process, self.lease.age(now))
    }

    /// Returns how many gateways may serve callers, this one included.
    pub fn gateways(&self, now: Instant) -> usize {
        self.peers.serving_count(now)
    }

    /// Returns the requests under which backend servers ended.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the number of backend servers with a rate limit.
    pub fn limited_count(&self) -> usize {
        self.backends.iter().filter(|(_, b)| self.rate_limits.is_limited(b.run)).count()
    }

    /// Returns the number of open requests, waiting and dispatched.
    pub fn open_count(&self) -> usize {
        self.open_requests.len()
    }

    /// Returns the open requests, waiting and dispatched.
    pub fn open_entries(&self) -> impl Iterator<Item = &Entry> {
        self.open_requests.values().map(|open| &open.entry)
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.notice_pause(now);
        match event {
            Event::Arrived { number, request } => {
                self.handle_arrival(now, number, request, actions)
            }
            Event::Closed { number } => self.close(now, number),
            Event::NotSent { number } => self.handle_not_sent(now, number, actions),
            Event::Late { number } => self.handle_late(now, number, actions),
            Event::Refused { number } => self.handle_refused(now, number, actions),
            Event::Withdrawn { number } => self.handle_withdrawn(now, number, actions),
            Event::Rejected { number, retry_after } => {
                self.handle_rejection(now, number, retry_after, actions);
            }
            Event::Misdirected { number } => self.handle_misdirected(now, number, actions),
            Event::DoubtfulRejection { number } => {
                self.handle_doubtful_rejection(now, number, actions);
            }
            Event::RateLimitStated { number, per_s } => {
                if !self.record_rate_limit(now, number, per_s) {
                    return;
                }
            }
            Event::Responded { number, connected_at } => {
                self.record_response(now, number, connected_at);
                return;
            }
            Event::Progressed { number, connected_at, waiting_since } => {
                self.record_progress(now, number, connected_at, waiting_since);
                return;
            }
            Event::Stated { number, statement } => self.record_statement(now, number, statement),
            Event::FirstEvent { number } => self.record_first_event(now, number),
            Event::Unresponsive { number } => self.handle_unresponsive(now, number, actions),
            Event::Slow { number } => self.handle_slow(now, number, actions),
            Event::Hedge { number, event } => {
                self.handle_second(now, number, *event, actions);
                return;
            }
            Event::Moved { number } => self.handle_move(now, number),
            Event::Continued { number } => {
                self.record_continuation(now, number);
                return;
            }
            Event::EventsReceived { number, events, span } => {
                self.record_events(number, events, span);
                return;
            }
            Event::Ended { number, result } => self.handle_result(now, number, result, actions),
            Event::Catalog(catalog) => self.install_catalog(now, catalog, actions),
            Event::Evacuation { zone, is_active } => self.apply_evacuation(now, zone, is_active),
            Event::Evacuations(zones) => self.replace_evacuations(now, zones),
            Event::Record { id, record } => {
                self.backends.apply_record(id, record);
                self.record_peer_loads(now);
            }
            Event::Records(records) => {
                self.backends.replace_all(now, records);
                self.record_peer_loads(now);
            }
            Event::StoreRestored => self.record_restore(),
            Event::StoreRead { at, from, to, entries } => {
                self.confirm(now, at);
                let before = self.source.revision();
                self.source.record_read(now, from, to, entries);
                self.announce(now, before, actions);
            }
            Event::Installed(update) => {
                self.confirm(now, update.at);
                let before = self.source.revision();
                self.source.record_update(update.from, update.to, update.entries);
                self.announce(now, before, actions);
            }
            Event::AnnouncementReceived(announcement) => {
                let message::Announcement { process, from, view } = announcement;
                self.source.record_view(now, from, process, Some(view));
                self.query_peer(now, actions);
                return;
            }
            Event::QueryReceived(query) => self.send_reply(now, &query, actions),
            Event::ReplyReceived(reply) => self.process_reply(now, reply, actions),
            Event::FetchFailed { token } => self.source.record_fetch_failure(now, token),
            Event::StoreUnreachable => {
                self.contact.record_failure(now);
                self.backends.record_store_failure();
            }
            Event::StoreResponding => {
                self.contact.record_bytes(now);
                return;
            }
            Event::StateReceived(message) => self.receive_state(now, message, actions),
            Event::LoadsReceived(loads) => {
                self.receive_loads(now, loads);
                return;
            }
            Event::PlainLoadsReceived(loads) => {
                self.backends.record_peer_answers(now, &loads.answers);
                self.receive_loads(now, loads.loads);
                return;
            }
            Event::SuspectsReceived(reports) => self.receive_suspects(now, &reports),
            Event::RateLimitsReceived(reports) => self.receive_rate_limits(now, &reports),
            Event::DemandsReceived(demands) => self.receive_demands(now, &demands, actions),
            Event::PermitsReceived(permits) => {
                self.receive_permits(now, &permits);
            }
            Event::WarmUpsReceived(reports) => self.receive_warm_ups(now, &reports),
            Event::StreamsReceived(reports) => self.streams.merge(now, &reports),
            Event::StreamQueryReceived(query) => {
                self.receive_stream_query(now, &query, actions);
                return;
            }
            Event::Probed { backend, reachable } => self.handle_probe(now, backend, reachable),
            Event::Stop { requested_at } => self.stopping_since = Some(requested_at),
            Event::Tick => self.tick(now, actions),
        }
        self.apply_readings(now);
        for run in self.backends.take_returned_runs() {
            self.unanswered.record_return(run);
            self.suspects.disprove_run(run);
        }
        for run in self.backends.take_leaving_runs() {
            self.suspects.record_leaving(run);
        }
        for run in self.backends.take_ended_runs() {
            let attempts = self.unanswered.end_run(now, run);
            self.record_ends(now, attempts);
        }
        self.record_late_ends(now);
        for (service, origin) in self.backends.take_departures() {
            self.streams.record_departure(now, service, origin);
        }
        self.update_streams(now, actions);
        self.update_permits(now, actions);
        self.dispatch_all_waiting(now, actions);
        self.update_demands(now, actions);
        self.send_loads(now, actions);
        self.send_plain_loads(now, actions);
        self.log_plain_load(now);
    }

    /// Returns when the next tick is due.
    pub fn next_timer(&self) -> Option<Instant> {
        let waiting = self.queues.values().flat_map(Queue::numbers);
        let wait_until = waiting
            .filter_map(|number| Some(self.open_requests.get(&number)?.entry.wait_until))
            .min();
        let probe = self.probes.values().min().copied();
        let older_catalog = self.older_catalog.as_ref().map(|(_, at)| *at);
        let expiry = self.backends.next_expiry();
        let permits = self.next_permit_update();
        let streams = self.next_stream_update();
        let loads = self.next_load_update();
        let plain_loads = self.next_plain_update();
        let times = [
            Some(self.next_send),
            wait_until,
            probe,
            older_catalog,
            expiry,
            permits,
            streams,
            loads,
            plain_loads,
            self.late_ends.next_due(),
            self.next_stop_step(),
        ];
        times.into_iter().flatten().min()
    }

    fn close(&mut self, now: Instant, number: RequestNumber) {
        let Some(open) = self.open_requests.remove(&number) else { return };
        match open.state {
            State::Waiting => {
                self.dequeue(&open.entry, number);
                self.refund(now, &open.entry);
            }
            State::Dispatched { .. } => {
                self.release_slots(&open);
                self.record_slow_end(now, &open);
                self.record_left_answer(now, &open);
                self.give_up(now, &open);
                if let Some(state) = open.hedge {
                    self.give_up(now, &OpenRequest { state, ..open });
                }
            }
        }
    }

    fn dequeue(&mut self, entry: &Entry, number: RequestNumber) {
        if let Some(queue) = self.queues.get_mut(&entry.service) {
            queue.remove(entry, number);
        }
    }

    /// Refunds the quota units of a request that no backend server can have run.
    fn refund(&mut self, now: Instant, entry: &Entry) {
        if let Some(account) = &entry.account
            && entry.attempts == 0
        {
            self.quotas.refund(now, account, entry.units);
        }
    }

    fn refuse(
        &mut self,
        now: Instant,
        number: RequestNumber,
        mut refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        if let Some(open) = self.open_requests.remove(&number) {
            self.refund(now, &open.entry);
            let Entry { tier, arrived_at, overdue, .. } = open.entry;
            let wait = refusal::Wait {
                tier,
                waited_ms: now.since(arrived_at).as_millis() as u32,
                overdue,
            };
            let inputs = self.refusal_inputs(now, &open.entry.service);
            refusal.inputs = Inputs { wait: Some(wait), ..inputs };
            actions.push(Action::Refuse { number, refusal });
        }
    }

    /// Returns the inputs of a refusal.
    fn refusal_inputs(&self, now: Instant, service: &Bytes) -> Inputs {
        let counts = self.peers.counts(now);
        let is_limited = |backend: &&backends::Backend| self.rate_limits.is_limited(backend.run);
        let is_excluded = |backend: &&backends::Backend| {
            self.warming.warm_ups.is_warming(now, backend)
                && self.permits.count(now, backend.server) == 0
        };
        Inputs {
            version: self.catalog.as_ref().map_or(0, |catalog| catalog.version),
            age: self.lease.age(now),
            gateways: counts.serving as u32,
            reporting: (counts.serving - counts.silent) as u32,
            waiting: self.queues.get(service).map_or(0, Queue::len) as u32,
            usable: self.backends.usable(service, now).count() as u32,
            limited: self.backends.usable(service, now).filter(is_limited).count() as u32,
            warming: self.backends.usable(service, now).filter(is_excluded).count() as u32,
            quota: None,
            wait: None,
        }
    }

    /// Records that the state in force was the published one at `at`.
    fn confirm(&mut self, now: Instant, at: Instant) {
        // A process that was paused may handle this before its next tick.
        if self.lease.age(at).is_none_or(|age| age > MAX_CONFIRMED_AGE) {
            self.confirmed_since = now;
        }
        self.lease.confirm(at);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.backends.expire(now);
        if self.lease.age(now).is_none_or(|age| age > MAX_CONFIRMED_AGE) {
            self.confirmed_since = now;
        }
        self.log_freshness(now);
        self.use_older_catalog(now, actions);
        self.expire_evacuations(now);
        self.query_peer(now, actions);
        if now >= self.next_send {
            self.send_state(now, actions);
        }
        let due = self.probes.iter().filter(|(_, at)| now >= **at).map(|(key, _)| *key);
        let due: Vec<backends::Key> = due.collect();
        for key in due {
            match self.backends.get(key) {
                Some(backend) => {
                    let address = backend.record.address;
                    actions.push(Action::Probe { backend: key, address });
                    // The next probe is scheduled when this one ends. Until then, the long delay
                    // keeps another one from starting.
                    self.probes.insert(key, now + PROBE_PERIOD * 10);
                }
                None => {
                    self.probes.remove(&key);
                }
            }
        }
    }
}
