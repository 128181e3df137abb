//! The machine: events in, actions out.

use std::mem;

use bytes::Bytes;
use conf::tree;
use wire::{
    id, key,
    outcome::{Outcome, Reason, Step},
    request, status,
    time::Instant,
};
use xxhash_rust::xxh3;

use crate::{
    action::Action,
    event::Event,
    filter::{self, Draft, Filter},
    flight::{Flight, Limits},
    incoming::{IncomingRequest, Setup},
    route,
    state::State,
    timers::Owner,
};

/// Decisions of one entry process.
#[derive(Debug)]
pub struct Machine {
    state: State,
    filters: Vec<Box<dyn Filter>>,
}

impl Machine {
    /// Returns a machine that refuses every call until it is ready.
    pub fn new(setup: Setup) -> Machine {
        Machine { state: State::new(setup), filters: filter::chain() }
    }

    /// Handles one event and appends what has to be done.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        state.now = state.now.max(now);
        mem::swap(&mut state.actions, actions);
        // The event comes before timers that are due: after a pause of this process, an answer
        // that has arrived counts more than a deadline that has passed.
        self.dispatch(event);
        let state = &mut self.state;
        while let Some(owner) = state.timers.pop(state.now) {
            state.fire(owner);
        }
        state.check_stopped();
        mem::swap(&mut state.actions, actions);
    }

    fn dispatch(&mut self, event: Event) {
        let state = &mut self.state;
        match event {
            Event::Tick => {}
            Event::Request(call) => self.call(call),
            Event::CallerDisconnected { caller } => state.caller_gone(caller),
            Event::KeyRequest { caller, route } => state.key_call(caller, route),
            Event::KeyReply { caller, reply } => state.key_reply(caller, reply),
            Event::KeyFailed { caller, peer } => state.key_failed(caller, peer),
            Event::OfferReply { request, peer, reply } => state.offer_reply(request, peer, reply),
            Event::OfferFailed { request, peer } => state.offer_failed(request, peer),
            Event::Frame { request, peer, frame } => state.frame(request, peer, frame),
            Event::StreamFailed { request, peer } => state.stream_lost(request, peer),
            Event::Settings(tree) => {
                state.view.set_drains(tree.drains.keys());
                state.tree = tree;
                state.view_changed();
            }
            Event::Hosts(records) => {
                state.view.set_hosts(&records);
                state.view_changed();
            }
            Event::Ready => state.ready = true,
            Event::Stop => state.stopping = true,
        }
    }

    fn call(&mut self, call: IncomingRequest) {
        let state = &mut self.state;
        if state.by_caller.contains_key(&call.caller) || state.keys.contains(call.caller) {
            state.counters.count("repeated_callers");
            return;
        }
        let tree = state.tree.clone();
        let mut draft = Draft::new(&call, &tree);
        let checked =
            self.filters.iter().try_for_each(|filter| filter.check(&self.state, &mut draft));
        let state = &mut self.state;
        for victim in mem::take(&mut draft.displaced) {
            state.refuse_uncommitted(victim, Reason::Displaced);
        }
        match checked {
            Ok(()) => state.accept(&draft),
            Err(reason) => state.reject(&draft, reason),
        }
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.state.timers.next()
    }

    /// Returns whether new calls are taken.
    pub fn is_serving(&self) -> bool {
        self.state.ready && !self.state.stopping
    }

    /// Fills in queues, hosts and counters for operators.
    pub fn report(&self, now: Instant, status: &mut status::Status) {
        let _ = now;
        self.state.report(status);
    }
}

impl State {
    /// Holds a call that passed the filters and makes its first offer.
    fn accept(&mut self, draft: &Draft<'_>) {
        let Some((name, route)) = draft.route else { return };
        let Some(pool) = draft.tree.pools.get(&route.pool) else {
            self.reject(draft, Reason::NoBackend);
            return;
        };
        let request = id::Request { process: self.setup.process, seq: self.next_seq };
        self.next_seq += 1;
        let call = draft.call;
        let flight = Flight {
            caller: call.caller,
            head: head(draft, request, name, route),
            limits: Limits {
                spread: pool.spread,
                hedge: pool.hedge,
                resume_limit: pool.resume_limit,
                short_tokens: pool.short_tokens,
            },
            deadline: self.now + draft.deadline,
            step: Step::Received,
            held: true,
            offers: Vec::new(),
            offers_sent: 0,
            spread: Vec::new(),
            confined: false,
            hedge_at: None,
            refused: Vec::new(),
            refusal: None,
            abandoned: Vec::new(),
            grant: None,
            timer: None,
        };
        let key = self.flights.insert(flight);
        self.room.open(&self.flights[key].seat(key));
        self.by_seq.insert(request.seq, key);
        self.by_caller.insert(call.caller, key);
        self.budget.accept(draft.tree.entry.retry_percent);
        self.counters.count("accepted");
        self.push(Action::StoreBody { caller: call.caller, request });
        let peer = self.setup.host.clone();
        let host = peer.clone();
        self.push(Action::Trace { request, step: Step::Received, event: "received", peer: host });
        self.step(key, Step::QueuedAtEntry, "held", peer);
        self.arm(key);
        if draft.deadline.is_zero() {
            self.refuse_uncommitted(key, Reason::Deadline);
        } else {
            self.offer_first(key);
        }
    }

    /// Refuses a call that did not pass the filters.
    fn reject(&mut self, draft: &Draft<'_>, reason: Reason) {
        let call = draft.call;
        let idempotent = draft.route.is_some_and(|(_, route)| route.idempotent);
        let text = call.key.as_ref().and_then(|text| std::str::from_utf8(text).ok());
        let keyed = text.is_some_and(|text| text.parse::<key::Key>().is_ok());
        // An earlier use of an issued key may have run.
        let outcome = if keyed && !idempotent { Outcome::Unknown } else { Outcome::NotRun };
        let refusal = self.refusal(outcome, Step::Received, reason);
        self.counters.refuse(&refusal);
        self.push(Action::Refuse { caller: call.caller, request: None, refusal });
    }

    fn caller_gone(&mut self, caller: u64) {
        self.take_key_caller(caller);
        if let Some(&key) = self.by_caller.get(&caller) {
            self.counters.count("callers_gone");
            self.close(key, "caller_gone");
        }
    }

    fn fire(&mut self, owner: Owner) {
        let key = match owner {
            Owner::KeyCall(caller) => return self.key_timer(caller),
            Owner::Flight(key) => key,
        };
        let Some(flight) = self.flights.get_mut(key) else { return };
        flight.timer = None;
        if flight.grant.is_some() {
            self.grant_timer(key);
        } else {
            self.offer_timer(key);
        }
        self.arm(key);
    }

    fn check_stopped(&mut self) {
        let idle = self.flights.is_empty() && self.keys.is_empty();
        if self.stopping && idle && !self.stopped {
            self.stopped = true;
            self.push(Action::Stopped);
        }
    }

    fn report(&self, status: &mut status::Status) {
        status.role = "entry".to_owned();
        status.ready = self.ready;
        status.stopping = self.stopping;
        status.queued = self.room.queued().iter().map(|(tier, &count)| (tier.0, count)).collect();
        status.running = (self.room.len() - self.room.waiting()) as u64;
        let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        status.hosts = self
            .view
            .iter()
            .map(|(key, host)| status::Host {
                host: text(&host.record.host),
                role: format!("{:?}", host.record.role).to_lowercase(),
                address: host.record.address.to_string(),
                availability_zone: text(&host.record.availability_zone),
                pool: text(&host.record.pool),
                leaving: host.is_leaving(),
                ejected: self.health.is_ejected(key),
                ready_ms_p50: self.health.ready_ms_p50(key),
            })
            .collect();
        status.hosts.sort_by(|a, b| a.host.cmp(&b.host));
        self.counters.fill(&mut status.counters);
    }
}

fn head(
    draft: &Draft<'_>,
    request: id::Request,
    name: &Bytes,
    route: &tree::Route,
) -> request::Head {
    let call = draft.call;
    let model = route.kind == request::Kind::Model;
    let fixed = |value: &'static [u8], given: &Bytes| {
        if model { Bytes::from_static(value) } else { given.clone() }
    };
    request::Head {
        request,
        kind: route.kind,
        route: name.clone(),
        pool: route.pool.clone(),
        account: call.account.clone(),
        tier: draft.tier,
        remaining: draft.deadline,
        prompt_tokens: call.prompt_tokens,
        output_tokens: call.output_tokens,
        fingerprint: hash(&[&call.account, name], call.body_hash),
        affinity: hash(&[&call.account, &call.model], call.prefix_hash),
        idempotent: route.idempotent,
        beyond_spread: false,
        key: draft.key.clone(),
        body_len: call.body_len,
        method: fixed(b"POST", &call.method),
        path: fixed(route::CHAT_COMPLETIONS, &call.path),
        content_type: fixed(b"application/json", &call.content_type),
    }
}

fn hash(names: &[&Bytes], value: u64) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    for name in names {
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name);
    }
    hasher.update(&value.to_le_bytes());
    hasher.digest()
}
