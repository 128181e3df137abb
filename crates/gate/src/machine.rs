//! The gateway's state machine.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use wire::time::Instant;

use crate::{
    Action, Event,
    action::{self, Dispatch},
    admit,
    budget::Budget,
    call::Call,
    catalog::{Catalog, Kind},
    event::{End, Ticket},
    lease::Lease,
    limits::Limits,
    peers::Peers,
    place,
    queue::{Entry, Queue},
    quota::{self, Admission, Quotas},
    refusal::{Basis, Reason, Refusal},
    roster::{self, Roster},
    share,
    suspects::Suspects,
};

/// Time between tries to reach a replica that refused connections.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Time for which a replica that refused a call as full gets no other.
const FULL_TIME: Duration = Duration::from_millis(60);
/// Part of the objective after which an answer that has not begun is given up, where the call
/// may go on elsewhere.
const PATIENCE_SHARE: f64 = 0.6;
/// Patience for the first event of a stream that may go on elsewhere.
const STREAM_PATIENCE: Duration = Duration::from_millis(1200);
/// Messages from one that tells the learned speeds to the next.
const SPEEDS_EVERY: u64 = 6;
/// Messages from one that tells the use of quotas to the next.
const USAGE_EVERY: u64 = 2;
/// Messages from one that names other gateways to the next.
const PEERS_EVERY: u64 = 8;
/// Tier of calls beyond their account's quota.
const BEYOND_QUOTA_TIER: u32 = u32::MAX;
/// Part of the grace time within which calls that arrive after the stop began are still served.
const STOP_SERVE_SHARE: f64 = 0.35;

/// Identity and bounds of a gateway process.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number drawn at the start.
    pub process: u64,
    pub own: Option<SocketAddr>,
    pub zone: Bytes,
    pub seeds: Vec<SocketAddr>,
    pub limits: Limits,
    /// The whole fleet starts for the first time, so nothing was admitted before.
    pub first_start: bool,
    pub seed: u64,
}

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Dispatched { replica: roster::Key, at: Instant, ahead: u32, began: Option<Instant> },
}

#[derive(Clone, Debug)]
struct Flight {
    entry: Entry,
    state: State,
}

/// The state machine.
#[derive(Debug)]
pub struct Machine {
    options: Options,
    catalog: Option<Rc<Catalog>>,
    lease: Lease,
    roster: Roster,
    quotas: Quotas,
    budgets: HashMap<Bytes, Budget>,
    suspects: Suspects,
    peers: Peers,
    flights: HashMap<Ticket, Flight>,
    queues: HashMap<Bytes, Queue>,
    probes: HashMap<roster::Key, Instant>,
    started: Instant,
    stopping: Option<Instant>,
    sequence: u64,
    next_share: Instant,
    random: fastrand::Rng,
}

impl Machine {
    /// Returns a gateway that knows nothing yet.
    pub fn new(now: Instant, options: Options) -> Machine {
        Machine {
            lease: Lease::new(options.limits.revoke),
            peers: Peers::new(now, options.own, &options.seeds),
            random: fastrand::Rng::with_seed(options.seed),
            quotas: Quotas::new(now, options.first_start),
            options,
            catalog: None,
            roster: Roster::default(),
            started: now,
            budgets: HashMap::new(),
            suspects: Suspects::default(),
            flights: HashMap::new(),
            queues: HashMap::new(),
            probes: HashMap::new(),
            stopping: None,
            sequence: 0,
            next_share: now,
        }
    }

    /// Returns whether the gateway should get new connections.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.stopping.is_none() && self.catalog.is_some() && self.lease.is_valid(now)
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the known replicas.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the age of the last confirmation of the state in force.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.lease.age(now)
    }

    /// Returns how many calls are open.
    pub fn open(&self) -> usize {
        self.flights.len()
    }

    /// Handles one event and appends what has to be done.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrive { ticket, call } => self.arrive(now, ticket, call, actions),
            Event::Leave { ticket } => self.leave(now, ticket, actions),
            Event::Unsent { ticket } => self.unsent(now, ticket, actions),
            Event::Rejected { ticket, retry_after } => {
                self.rejected(now, ticket, retry_after, actions);
            }
            Event::Misdirected { ticket } => self.misdirected(now, ticket, actions),
            Event::Began { ticket } => self.began(now, ticket),
            Event::Silent { ticket } => self.silent(now, ticket, actions),
            Event::Paced { ticket, events, span } => {
                self.paced(ticket, events, span);
                return;
            }
            Event::Ended { ticket, end } => self.ended(now, ticket, end, actions),
            Event::Catalog(catalog) => self.install(now, catalog, actions),
            Event::Record { id, record } => {
                self.roster.write(id, record);
                self.count_others(now);
            }
            Event::Records(records) => {
                self.roster.replace(now, records);
                self.count_others(now);
            }
            Event::Confirmed { at } => self.lease.confirm(at),
            Event::StoreLost => self.roster.store_lost(),
            Event::Shared(message) => self.shared(now, message),
            Event::Probed { replica, reachable } => self.probed(now, replica, reachable),
            Event::Stop => self.stopping = Some(now),
            Event::Tick => self.tick(now, actions),
        }
        self.pump_all(now, actions);
    }

    /// Returns when the next tick is due.
    pub fn next_timer(&self) -> Option<Instant> {
        let waiting = self.queues.values().flat_map(Queue::tickets);
        let give_up = waiting.filter_map(|t| Some(self.flights.get(&t)?.entry.give_up)).min();
        let probe = self.probes.values().min().copied();
        let times = [Some(self.next_share), give_up, probe, self.roster.next_expiry()];
        times.into_iter().flatten().min()
    }

    fn arrive(&mut self, now: Instant, ticket: Ticket, call: Call, actions: &mut Vec<Action>) {
        match self.admit(now, call) {
            Ok(entry) => {
                let gateways = self.peers.known(now);
                let limits = &self.options.limits;
                let budget = self.budgets.entry(entry.service.clone());
                budget.or_insert_with(|| Budget::new(now, limits, gateways)).earn(limits, gateways);
                self.wait(ticket, entry);
            }
            Err(mut refusal) => {
                let quota_used = refusal.basis.quota_used;
                refusal.basis = Basis { quota_used, ..self.basis(now, &Bytes::new()) };
                actions.push(Action::Refuse { ticket, refusal });
            }
        }
    }

    fn admit(&mut self, now: Instant, call: Call) -> Result<Entry, Refusal> {
        let left = admit::time_left(&call);
        let serve = self.options.limits.grace.mul_f64(STOP_SERVE_SHARE);
        if self.stopping.is_some_and(|since| now.since(since) > serve) {
            return Err(admit::come_back(Reason::Stopping, left, &mut self.random));
        }
        let catalog = self.catalog.clone();
        let catalog =
            catalog.ok_or_else(|| admit::come_back(Reason::NotReady, left, &mut self.random))?;
        if self.suspects.is_quarantined(now, call.fingerprint) {
            return Err(Refusal::new(Reason::Poison));
        }
        let mut entry = admit::entry(&catalog, &self.lease, now, call, &mut self.random)?;
        if let Some(account) = &entry.account
            && let Some(account) = catalog.accounts.iter().find(|a| a.name == *account)
        {
            let scope = quota::Scope { known: self.peers.known(now), heard: self.peers.heard(now) };
            let units = quota::cost(account, &entry.call);
            match self.quotas.admit(now, account, units, scope, &self.options.limits) {
                Ok(Admission::Within) => {}
                Ok(Admission::Beyond) => entry.tier = BEYOND_QUOTA_TIER,
                Err(wait) => {
                    let quota_used = self.quotas.used(&account.name);
                    let basis = Basis { quota_used, ..Basis::default() };
                    return Err(Refusal { reason: Reason::Quota, retry_after: Some(wait), basis });
                }
            }
            entry.units = units;
        }
        Ok(entry)
    }

    fn wait(&mut self, ticket: Ticket, entry: Entry) {
        self.queues.entry(entry.service.clone()).or_default().push(entry.tier, ticket);
        self.flights.insert(ticket, Flight { entry, state: State::Waiting });
    }

    fn leave(&mut self, now: Instant, ticket: Ticket, _actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&ticket) else { return };
        match flight.state {
            State::Waiting => {
                self.unqueue(&flight.entry, ticket);
                self.refund(now, &flight.entry);
            }
            State::Dispatched { .. } => self.release(now, &flight),
        }
    }

    fn unqueue(&mut self, entry: &Entry, ticket: Ticket) {
        if let Some(queue) = self.queues.get_mut(&entry.service) {
            queue.remove(entry.tier, ticket);
        }
    }

    /// Gives back the units of a call that no replica may have run.
    fn refund(&mut self, now: Instant, entry: &Entry) {
        if let Some(account) = &entry.account
            && entry.attempts == 0
        {
            self.quotas.refund(now, account, entry.units);
        }
    }

    /// Takes a dispatched call's work off its replica.
    fn release(&mut self, _now: Instant, flight: &Flight) {
        let State::Dispatched { replica, began, .. } = flight.state else { return };
        let Some(replica) = self.roster.get_mut(replica) else { return };
        let unread = if began.is_none() { flight.entry.call.prompt_tokens() } else { 0 };
        replica.load.give_back(unread);
    }

    /// Takes a call back from its replica; `ran` says whether it may have run there.
    fn take_back(&mut self, now: Instant, ticket: Ticket, ran: bool) -> Option<roster::Key> {
        let mut flight = self.flights.remove(&ticket)?;
        let State::Dispatched { replica, .. } = flight.state else {
            self.flights.insert(ticket, flight);
            return None;
        };
        self.release(now, &flight);
        if !ran {
            flight.entry.attempts -= 1;
        }
        flight.entry.tried.push(replica);
        flight.state = State::Waiting;
        self.flights.insert(ticket, flight);
        Some(replica)
    }

    /// Puts a call that was taken back into its queue again.
    fn requeue(&mut self, ticket: Ticket) {
        if let Some(flight) = self.flights.get(&ticket) {
            let queue = self.queues.entry(flight.entry.service.clone()).or_default();
            queue.push(flight.entry.tier, ticket);
        }
    }

    fn refuse(
        &mut self,
        now: Instant,
        ticket: Ticket,
        mut refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        if let Some(flight) = self.flights.remove(&ticket) {
            self.refund(now, &flight.entry);
            refusal.basis = self.basis(now, &flight.entry.service);
            actions.push(Action::Refuse { ticket, refusal });
        }
    }

    fn unsent(&mut self, now: Instant, ticket: Ticket, _actions: &mut Vec<Action>) {
        let Some(key) = self.take_back(now, ticket, false) else { return };
        if let Some(replica) = self.roster.get_mut(key) {
            replica.load.unreachable = true;
            self.probes.entry(key).or_insert(now + PROBE_PERIOD);
        }
        self.requeue(ticket);
    }

    fn rejected(
        &mut self,
        now: Instant,
        ticket: Ticket,
        retry_after: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = self.take_back(now, ticket, false) else { return };
        if let Some(replica) = self.roster.get_mut(key) {
            replica.load.full_until = now + FULL_TIME;
        }
        if self.may_repeat(now, ticket) {
            self.requeue(ticket);
            return;
        }
        let left = self.left(now, ticket);
        let mut refusal = admit::come_back(Reason::Overload, left, &mut self.random);
        refusal.retry_after = retry_after.or(refusal.retry_after);
        self.refuse(now, ticket, refusal, actions);
    }

    fn misdirected(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(key) = self.take_back(now, ticket, false) else { return };
        if let Some(replica) = self.roster.get_mut(key) {
            // The address belongs to another replica now; the record's removal is under way.
            replica.load.put_aside(now);
            replica.load.put_aside(now);
        }
        match self.may_repeat(now, ticket) {
            true => self.requeue(ticket),
            false => {
                let left = self.left(now, ticket);
                let refusal = admit::come_back(Reason::NoReplica, left, &mut self.random);
                self.refuse(now, ticket, refusal, actions);
            }
        }
    }

    /// Returns the time left to a call.
    fn left(&self, now: Instant, ticket: Ticket) -> Duration {
        let flight = self.flights.get(&ticket);
        flight.map_or(Duration::ZERO, |flight| flight.entry.deadline.since(now))
    }

    /// Returns what a refusal rests on.
    fn basis(&self, now: Instant, service: &Bytes) -> Basis {
        let usable = |key: &&roster::Key| {
            self.roster.get(**key).is_some_and(|replica| replica.load.is_usable(now))
        };
        Basis {
            version: self.catalog.as_ref().map_or(0, |catalog| catalog.version),
            age: self.lease.age(now),
            gateways: self.peers.known(now),
            heard: self.peers.heard(now),
            waiting: self.queues.get(service).map_or(0, Queue::len),
            usable: self.roster.of(service).iter().filter(usable).count(),
            quota_used: None,
        }
    }

    fn may_repeat(&mut self, now: Instant, ticket: Ticket) -> bool {
        let Some(flight) = self.flights.get(&ticket) else { return false };
        let gateways = self.peers.known(now);
        let budget = self.budgets.get_mut(&flight.entry.service);
        budget.is_some_and(|budget| budget.spend(now, &self.options.limits, gateways))
    }

    fn began(&mut self, now: Instant, ticket: Ticket) {
        let Some(flight) = self.flights.get_mut(&ticket) else { return };
        let tokens = flight.entry.call.prompt_tokens();
        let State::Dispatched { replica, at, ahead, began } = &mut flight.state else { return };
        if began.is_some() {
            return;
        }
        *began = Some(now);
        let Some(replica) = self.roster.get_mut(*replica) else { return };
        replica.load.pending = replica.load.pending.saturating_sub(tokens);
        let waited = now.since(*at).as_secs_f64() * 1e3;
        replica.load.learn_first(waited, tokens.saturating_add(*ahead));
    }

    fn paced(&mut self, ticket: Ticket, events: u32, span: Duration) {
        let state = self.flights.get(&ticket).map(|flight| flight.state);
        let Some(State::Dispatched { replica, .. }) = state else { return };
        if let Some(replica) = self.roster.get_mut(replica) {
            replica.load.learn_events(span.as_secs_f64() * 1e3, events);
        }
    }

    fn ended(&mut self, now: Instant, ticket: Ticket, end: End, actions: &mut Vec<Action>) {
        match end {
            End::Whole => self.completed(now, ticket),
            End::Failed | End::Broken => self.failed(now, ticket, end, actions),
        }
    }

    fn completed(&mut self, now: Instant, ticket: Ticket) {
        let Some(flight) = self.flights.remove(&ticket) else { return };
        self.release(now, &flight);
        self.suspects.clear(flight.entry.call.fingerprint);
        let State::Dispatched { replica, .. } = flight.state else { return };
        let Some(replica) = self.roster.get_mut(replica) else { return };
        replica.load.succeeded();
    }

    fn failed(&mut self, now: Instant, ticket: Ticket, end: End, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&ticket) else { return };
        let fingerprint = flight.entry.call.fingerprint;
        let began = matches!(flight.state, State::Dispatched { began: Some(_), .. });
        let Some(key) = self.take_back(now, ticket, true) else { return };
        if let Some(replica) = self.roster.get_mut(key) {
            replica.load.failed(now);
            if end == End::Broken && !began {
                self.suspects.crashed(now, fingerprint);
            }
        }
        if self.may_go_on(now, ticket) && self.may_repeat(now, ticket) {
            self.requeue(ticket);
            return;
        }
        self.refuse(now, ticket, Refusal::new(Reason::Lost), actions);
    }

    fn silent(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&ticket) else { return };
        let State::Dispatched { replica, .. } = flight.state else { return };
        let mut entry = flight.entry.clone();
        entry.tried.push(replica);
        let other = self.choose(now, &entry, &HashSet::new());
        if other.is_none() || !self.may_go_on(now, ticket) || !self.may_repeat(now, ticket) {
            return;
        }
        if let Some(key) = self.take_back(now, ticket, true)
            && let Some(replica) = self.roster.get_mut(key)
        {
            replica.load.failed(now);
        }
        if let Some(other) = other {
            self.dispatch(now, ticket, other, actions);
        }
    }

    /// Returns whether a call that may have run can go on at another replica.
    fn may_go_on(&self, now: Instant, ticket: Ticket) -> bool {
        self.flights.get(&ticket).is_some_and(|flight| {
            let entry = &flight.entry;
            entry.repeatable
                && entry.attempts < entry.max_attempts
                && now < entry.deadline
                && self.check_key(now, entry).is_ok()
                && !self.suspects.is_quarantined(now, entry.call.fingerprint)
        })
    }

    fn install(&mut self, now: Instant, catalog: Rc<Catalog>, actions: &mut Vec<Action>) {
        if self.catalog.as_ref().is_some_and(|old| old.version >= catalog.version) {
            return;
        }
        self.quotas.name(catalog.accounts.iter());
        self.catalog = Some(catalog);
        self.recheck_keys(now, actions);
    }

    /// Refuses waiting calls whose key was taken away.
    fn recheck_keys(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let withdrawn = |flight: &Flight| {
            let checked = self.check_key(now, &flight.entry);
            flight.state == State::Waiting && checked == Err(Reason::UnknownKey)
        };
        let gone = self.flights.iter().filter(|(_, flight)| withdrawn(flight));
        let gone: Vec<Ticket> = gone.map(|(ticket, _)| *ticket).collect();
        for ticket in gone {
            self.refuse_waiting(now, ticket, Reason::UnknownKey, actions);
        }
    }

    fn shared(&mut self, now: Instant, message: share::Message) {
        let Ok(replaced) = self.peers.hear(now, &message) else { return };
        if let Some(replaced) = replaced {
            self.quotas.forget(replaced);
        }
        self.roster.learn_speeds(&message);
        self.quotas.reported(now, &message, self.options.limits.quota_window);
        for (fingerprint, count) in &message.crashes {
            self.suspects.reported(now, *fingerprint, *count);
        }
    }

    fn probed(&mut self, now: Instant, key: roster::Key, reachable: bool) {
        match self.roster.get_mut(key) {
            Some(replica) if reachable => {
                replica.load.unreachable = false;
                self.probes.remove(&key);
            }
            Some(_) => {
                self.probes.insert(key, now + PROBE_PERIOD);
            }
            None => {
                self.probes.remove(&key);
            }
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.roster.expire(now);
        if now >= self.next_share {
            self.share(now, actions);
        }
        let due = self.probes.iter().filter(|(_, at)| now >= **at).map(|(key, _)| *key);
        let due: Vec<roster::Key> = due.collect();
        for key in due {
            match self.roster.get(key) {
                Some(replica) => {
                    let address = replica.record.address;
                    actions.push(Action::Probe { replica: key, address });
                    // The next one is due when this one has ended.
                    self.probes.insert(key, now + PROBE_PERIOD * 10);
                }
                None => {
                    self.probes.remove(&key);
                }
            }
        }
    }

    fn share(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for process in self.peers.expire(now) {
            self.quotas.forget(process);
        }
        self.count_others(now);
        let (targets, period) = self.peers.targets();
        self.next_share = now + period;
        self.sequence += 1;
        let message = self.message(now);
        for to in targets {
            actions.push(Action::Share { to, message: message.clone() });
        }
    }

    fn count_others(&mut self, now: Instant) {
        let own = self.waiting();
        let fresh: Vec<_> = self.peers.fresh(now).collect();
        self.roster.count_others(&fresh, &own, &mut self.random);
    }

    /// Returns how many calls wait for each service.
    fn waiting(&self) -> Vec<(u64, u32)> {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        busy.map(|(service, queue)| (quota::hash(service), queue.len() as u32)).collect()
    }

    fn message(&mut self, now: Instant) -> share::Message {
        let complete = self.quotas.is_complete(now, self.options.limits.quota_window);
        let busy = self.roster.iter().filter(|(_, r)| r.load.running > 0);
        let loads = busy.map(|(_, replica)| share::Load {
            replica: replica.hash,
            running: replica.load.running.min(u32::from(u16::MAX)) as u16,
            pending: replica.load.pending,
        });
        let learned = self.roster.iter().filter(|(_, r)| r.load.speed().samples > 0);
        let speeds = learned.map(|(_, replica)| (replica.hash, replica.load.speed()));
        let every = |period: u64| self.sequence.is_multiple_of(period);
        share::Message {
            process: self.options.process,
            from: self.options.own,
            sequence: self.sequence,
            stopping: self.stopping.is_some(),
            loads: loads.collect(),
            speeds: if every(SPEEDS_EVERY) { speeds.collect() } else { Vec::new() },
            waiting: self.waiting(),
            age: now.since(self.started),
            complete,
            usage: if every(USAGE_EVERY) { self.quotas.usage() } else { Vec::new() },
            crashes: self.suspects.shared(now),
            peers: if every(PEERS_EVERY) { self.peers.named(now) } else { Vec::new() },
        }
    }

    fn pump_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<Bytes> = busy.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.give_up(now, &service, actions);
            self.pump(now, &service, actions);
        }
    }

    /// Refuses waiting calls whose time to wait is over.
    fn give_up(&mut self, now: Instant, service: &Bytes, actions: &mut Vec<Action>) {
        let Some(queue) = self.queues.get(service) else { return };
        let over = |t: &Ticket| self.flights.get(t).is_none_or(|f| now >= f.entry.give_up);
        let over: Vec<Ticket> = queue.tickets().filter(over).collect();
        let usable = |key: &roster::Key| {
            self.roster.get(*key).is_some_and(|replica| replica.load.is_usable(now))
        };
        let any = self.roster.of(service).iter().any(usable);
        let reason = if any { Reason::Overload } else { Reason::NoReplica };
        for ticket in over {
            self.refuse_waiting(now, ticket, reason, actions);
        }
    }

    /// Refuses a waiting call. One that may have run at a replica before gets no promise.
    fn refuse_waiting(
        &mut self,
        now: Instant,
        ticket: Ticket,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get(&ticket) else { return };
        let entry = flight.entry.clone();
        self.unqueue(&entry, ticket);
        let refusal = match entry.attempts {
            0 if reason == Reason::UnknownKey => Refusal::new(reason),
            0 => admit::come_back(reason, entry.deadline.since(now), &mut self.random),
            _ => Refusal::new(Reason::Lost),
        };
        self.refuse(now, ticket, refusal, actions);
    }

    /// Dispatches waiting calls while replicas have room.
    fn pump(&mut self, now: Instant, service: &Bytes, actions: &mut Vec<Action>) {
        let Some(queue) = self.queues.get(service) else { return };
        let tickets: Vec<Ticket> = queue.tickets().collect();
        let mut reserved = HashSet::new();
        for ticket in tickets {
            if reserved.len() >= self.roster.of(service).len() {
                break;
            }
            let Some(flight) = self.flights.get(&ticket) else { continue };
            let entry = flight.entry.clone();
            if let Err(reason) = self.check_key(now, &entry) {
                self.refuse_waiting(now, ticket, reason, actions);
                continue;
            }
            match self.choose(now, &entry, &reserved) {
                Some(key) => self.dispatch(now, ticket, key, actions),
                None => place::reserve(&self.scene(now), &entry, &mut reserved),
            }
        }
    }

    /// Checks that the key of a call is still in force, as far as this process knows. A call
    /// that came back from a replica passes here again.
    fn check_key(&self, now: Instant, entry: &Entry) -> Result<(), Reason> {
        if !entry.keyed {
            return Ok(());
        }
        let catalog = self.catalog.as_ref().ok_or(Reason::NotReady)?;
        let key = entry.call.key.as_ref().ok_or(Reason::UnknownKey)?;
        catalog.account(key).ok_or(Reason::UnknownKey)?;
        if self.lease.is_valid(now) { Ok(()) } else { Err(Reason::Stale) }
    }

    fn scene(&self, now: Instant) -> place::Scene<'_> {
        place::Scene { roster: &self.roster, now, zone: &self.options.zone }
    }

    fn choose(
        &mut self,
        now: Instant,
        entry: &Entry,
        reserved: &HashSet<roster::Key>,
    ) -> Option<roster::Key> {
        let scene = place::Scene { roster: &self.roster, now, zone: &self.options.zone };
        place::choose(&scene, entry, reserved, &mut self.random)
    }

    fn dispatch(
        &mut self,
        now: Instant,
        ticket: Ticket,
        key: roster::Key,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&ticket) else { return };
        let Some(replica) = self.roster.get_mut(key) else { return };
        let entry = &mut flight.entry;
        let ahead = replica.load.backlog();
        let tokens = entry.call.prompt_tokens();
        let expected = replica.load.first_ms(ahead, tokens).max(0.0);
        let basis = action::Basis {
            waited: now.since(entry.arrived),
            expected: Duration::from_micros((expected * 1e3) as u64),
            running: replica.load.total() + 1,
            backlog: ahead,
            tokens,
            attempt: entry.attempts + 1,
            tier: entry.tier,
        };
        replica.load.take(tokens);
        entry.attempts += 1;
        flight.state = State::Dispatched { replica: key, at: now, ahead, began: None };
        if let Some(queue) = self.queues.get_mut(&entry.service) {
            queue.remove(entry.tier, ticket);
        }
        let goes_on = entry.repeatable && entry.attempts < entry.max_attempts;
        let objective = entry.objective.since(entry.arrived);
        let patience = match entry.kind {
            Kind::Stream => STREAM_PATIENCE,
            _ => objective.mul_f64(PATIENCE_SHARE),
        };
        actions.push(Action::Dispatch(Dispatch {
            ticket,
            replica: key,
            id: replica.id.clone(),
            address: replica.record.address,
            account: entry.account.clone(),
            deadline: entry.deadline,
            patience: goes_on.then_some(patience),
            basis,
            stream: entry.kind == Kind::Stream,
            repeatable: entry.repeatable,
        }));
    }
}
