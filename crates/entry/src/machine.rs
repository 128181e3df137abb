//! The order in which an event is handled, and the acceptance of requests.

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
    filter::{self, Context, Filter},
    incoming::{IncomingRequest, Setup},
    open_request::{OpenRequest, PoolSettings},
    route,
    state::State,
    timers::Owner,
};

/// State machine of one entry process.
#[derive(Debug)]
pub struct Machine {
    state: State,
    filters: Vec<Box<dyn Filter>>,
}

impl Machine {
    /// Returns a machine that refuses every request until `Event::Ready`.
    pub fn new(setup: Setup) -> Machine {
        Machine { state: State::new(setup), filters: filter::chain() }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        state.now = state.now.max(now);
        mem::swap(&mut state.actions, actions);
        state.detect_pause();
        // The event is handled before timers that are due, so that after a pause of this process
        // a reply that was received takes precedence over a deadline that has passed.
        self.dispatch(event);
        let state = &mut self.state;
        while let Some(owner) = state.timers.pop_due(state.now) {
            state.handle_timer(owner);
        }
        state.check_stopped();
        state.pause.restart(state.now, state.keyed_count > 0);
        mem::swap(&mut state.actions, actions);
    }

    fn dispatch(&mut self, event: Event) {
        let state = &mut self.state;
        match event {
            Event::Tick => {}
            Event::Request(incoming) => self.handle_request(incoming),
            Event::CallerDisconnected { caller } => state.handle_caller_disconnected(caller),
            Event::KeyRequest { caller, route } => state.handle_key_request(caller, route),
            Event::KeyReply { caller, reply } => state.handle_key_reply(caller, reply),
            Event::KeyFailed { caller, peer } => state.handle_key_failed(caller, peer),
            Event::OfferReply { request, peer, reply } => {
                state.handle_offer_reply(request, peer, reply)
            }
            Event::OfferFailed { request, peer } => state.handle_offer_failed(request, peer),
            Event::Frame { request, peer, frame } => state.handle_frame(request, peer, frame),
            Event::StreamFailed { request, peer } => state.handle_stream_failed(request, peer),
            Event::Settings(tree) => {
                state.view.set_drains(tree.drains.keys());
                state.tree = tree;
                state.apply_view_change();
            }
            Event::Hosts(records) => {
                state.view.set_hosts(&records);
                state.apply_view_change();
            }
            Event::Ready => state.ready = true,
            Event::Stop => state.stopping = true,
        }
    }

    fn handle_request(&mut self, incoming: IncomingRequest) {
        let state = &mut self.state;
        if state.by_caller.contains_key(&incoming.caller)
            || state.key_requests.contains(incoming.caller)
        {
            state.counters.count("repeated_callers");
            return;
        }
        let tree = state.tree.clone();
        let mut context = Context::new(&incoming, &tree);
        let checked =
            self.filters.iter().try_for_each(|filter| filter.check(&self.state, &mut context));
        let state = &mut self.state;
        for displaced in mem::take(&mut context.displaced) {
            state.refuse_uncommitted(displaced, Reason::Displaced);
        }
        match checked {
            Ok(()) => state.accept_request(&context),
            Err(reason) => state.refuse_incoming(&context, reason),
        }
    }

    /// Returns when the next `Event::Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        let heartbeat = self.state.pause.next_heartbeat();
        self.state.timers.next_due().into_iter().chain(heartbeat).min()
    }

    /// Returns whether new requests are accepted.
    pub fn is_serving(&self) -> bool {
        self.state.ready && !self.state.stopping
    }

    /// Adds queues, hosts and counters to the status for operators.
    pub fn report(&self, now: Instant, status: &mut status::Status) {
        let _ = now;
        self.state.report(status);
    }
}

impl State {
    /// Accepts a request that passed the filters and sends its first offer.
    fn accept_request(&mut self, context: &Context<'_>) {
        let Some((name, route)) = context.route else { return };
        let Some(pool) = context.tree.pools.get(&route.pool) else {
            self.refuse_incoming(context, Reason::NoBackend);
            return;
        };
        let request = id::Request { process: self.setup.process, seq: self.next_seq };
        self.next_seq += 1;
        let incoming = context.incoming;
        let open_request = OpenRequest {
            caller: incoming.caller,
            head: build_head(context, request, name, route),
            pool_settings: PoolSettings {
                spread_size: pool.spread,
                hedge_delay: pool.hedge,
                resume_limit: pool.resume_limit,
                short_tokens: pool.short_tokens,
            },
            deadline: self.now + context.deadline,
            step: Step::Received,
            body_stored: true,
            offers: Vec::new(),
            offers_sent: 0,
            spread: Vec::new(),
            spread_only: false,
            hedge_at: None,
            refused_by: Vec::new(),
            fallback_refusal: None,
            was_paused: false,
            ended_grants: Vec::new(),
            grant: None,
            armed_for: None,
        };
        self.keyed_count += usize::from(open_request.is_keyed());
        let key = self.open_requests.insert(open_request);
        self.capacity.add_request(&self.open_requests[key].usage(key));
        self.by_seq.insert(request.seq, key);
        self.by_caller.insert(incoming.caller, key);
        self.retry_budget.record_request(context.tree.entry.retry_percent);
        self.counters.count("accepted");
        self.push(Action::StoreBody { caller: incoming.caller, request });
        let peer = self.setup.host.clone();
        let host = peer.clone();
        self.push(Action::Trace { request, step: Step::Received, event: "received", peer: host });
        self.enter_step(key, Step::QueuedAtEntry, "held", peer);
        self.arm_timer(key);
        if context.deadline.is_zero() {
            self.refuse_uncommitted(key, Reason::Deadline);
        } else {
            self.send_first_offer(key);
        }
    }

    /// Refuses a request that did not pass the filters.
    fn refuse_incoming(&mut self, context: &Context<'_>, reason: Reason) {
        let incoming = context.incoming;
        let idempotent = context.route.is_some_and(|(_, route)| route.idempotent);
        let text =
            incoming.idempotency_key.as_ref().and_then(|text| std::str::from_utf8(text).ok());
        let keyed = text.is_some_and(|text| text.parse::<key::Key>().is_ok());
        // The request may have run in an earlier use of the same key.
        let outcome = if keyed && !idempotent { Outcome::Unknown } else { Outcome::NotRun };
        let refusal = self.build_refusal(outcome, Step::Received, reason);
        self.counters.count_refusal(&refusal);
        self.push(Action::Refuse { caller: incoming.caller, request: None, refusal });
    }

    fn handle_caller_disconnected(&mut self, caller: u64) {
        self.discard_key_request(caller);
        if let Some(&key) = self.by_caller.get(&caller) {
            self.counters.count("callers_gone");
            self.close_request(key, "caller_gone");
        }
    }

    fn handle_timer(&mut self, owner: Owner) {
        let key = match owner {
            Owner::KeyRequest(caller) => return self.handle_key_timer(caller),
            Owner::Request(key) => key,
        };
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        open_request.armed_for = None;
        if open_request.grant.is_some() {
            self.handle_grant_timer(key);
        } else {
            self.handle_offer_timer(key);
        }
        self.arm_timer(key);
    }

    fn check_stopped(&mut self) {
        let idle = self.open_requests.is_empty() && self.key_requests.is_empty();
        if self.stopping && idle && !self.stopped {
            self.stopped = true;
            self.push(Action::Stopped);
        }
    }

    fn report(&self, status: &mut status::Status) {
        status.role = "entry".to_owned();
        status.ready = self.ready;
        status.stopping = self.stopping;
        status.queued =
            self.capacity.waiting_by_tier().iter().map(|(tier, &count)| (tier.0, count)).collect();
        status.running = (self.capacity.open_count() - self.capacity.waiting_count()) as u64;
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
        self.counters.add_to(&mut status.counters);
    }
}

fn build_head(
    context: &Context<'_>,
    request: id::Request,
    name: &Bytes,
    route: &tree::Route,
) -> request::Head {
    let incoming = context.incoming;
    let model = route.kind == request::Kind::Model;
    let fixed_if_model = |value: &'static [u8], given: &Bytes| {
        if model { Bytes::from_static(value) } else { given.clone() }
    };
    request::Head {
        request,
        kind: route.kind,
        route: name.clone(),
        pool: route.pool.clone(),
        account: incoming.account.clone(),
        tier: context.tier,
        remaining: context.deadline,
        prompt_tokens: incoming.prompt_tokens,
        output_tokens: incoming.output_tokens,
        fingerprint: hash(&[&incoming.account, name], incoming.body_hash),
        affinity: hash(&[&incoming.account, &incoming.model], incoming.prefix_hash),
        idempotent: route.idempotent,
        beyond_spread: false,
        key: context.key.clone(),
        body_len: incoming.body_len,
        method: fixed_if_model(b"POST", &incoming.method),
        path: fixed_if_model(route::CHAT_PATH, &incoming.path),
        content_type: fixed_if_model(b"application/json", &incoming.content_type),
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
