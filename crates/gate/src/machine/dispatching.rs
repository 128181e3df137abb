//! Dispatch of waiting requests, and refusal of requests that waited too long.

use std::{collections::HashSet, time::Duration};

use bytes::Bytes;
use wire::time::Instant;

use super::{Machine, State, warming::Restriction};
use crate::{
    Action,
    action::{self, Dispatch},
    admission, backends,
    catalog::RouteKind,
    event::RequestNumber,
    origin::Origin,
    placement,
    queue::Entry,
    refusal::{Reason, Refusal},
};

/// Time without a first event after which a stream may move to another backend server.
const STREAM_FAILOVER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Part of the objective after which a request without a response may move to another backend
/// server.
const FAILOVER_SHARE: f64 = 0.6;

impl Machine {
    pub(super) fn dispatch_all_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.refuse_at_stop(now, actions);
        let nonempty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<Bytes> = nonempty.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.refuse_evacuated(now, &service, actions);
            self.refuse_expired(now, &service, actions);
            self.dispatch_waiting(now, &service, actions);
        }
        self.end_backlogs();
    }

    /// Refuses waiting requests whose waiting time has expired.
    pub(super) fn refuse_expired(
        &mut self,
        now: Instant,
        service: &Bytes,
        actions: &mut Vec<Action>,
    ) {
        let Some(queue) = self.queues.get(service) else { return };
        let expired = |number: &RequestNumber| {
            self.open_requests.get(number).is_none_or(|open| now >= open.entry.wait_until)
        };
        let expired: Vec<RequestNumber> = queue.numbers().filter(expired).collect();
        let reason = match self.backends.usable(service, now).next() {
            _ if self.may_lack_departures(now) => Reason::Stale,
            Some(_) => Reason::Overload,
            None => Reason::NoBackend,
        };
        for number in expired {
            self.refuse_waiting(now, number, reason, actions);
        }
    }

    /// Refuses a waiting request.
    pub(super) fn refuse_waiting(
        &mut self,
        now: Instant,
        number: RequestNumber,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get(&number) else { return };
        let entry = open.entry.clone();
        self.dequeue(&entry, number);
        let refusal = self.build_refusal(now, &entry, reason);
        self.refuse(now, number, refusal, actions);
    }

    /// Returns the refusal of a request that is not at a backend server. If one may have run it
    /// before, the refusal doesn't state that the request has not run.
    pub(super) fn build_refusal(&mut self, now: Instant, entry: &Entry, reason: Reason) -> Refusal {
        match entry.attempts {
            0 if reason == Reason::UnknownKey => Refusal::new(reason),
            0 if reason == Reason::Poison => {
                let verdict = self.verdict(now, &entry.request);
                let retry_after = verdict.map(|verdict| verdict.left);
                Refusal { retry_after, ..Refusal::new(reason) }
            }
            0 => admission::retry_later(reason, entry.deadline.since(now), &mut self.rng),
            _ => Refusal::new(Reason::Lost),
        }
    }

    /// Dispatches waiting requests as long as backend servers have capacity.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: Instant,
        service: &Bytes,
        actions: &mut Vec<Action>,
    ) {
        self.refresh_loads(now);
        let Some(queue) = self.queues.get(service) else { return };
        let numbers: Vec<RequestNumber> = queue.numbers().collect();
        let mut reserved = HashSet::new();
        for number in numbers {
            if reserved.len() >= self.backends.keys_of(service).len() {
                break;
            }
            let Some(open) = self.open_requests.get(&number) else { continue };
            let entry = open.entry.clone();
            if let Err(reason) = self.check_dispatch(now, &entry) {
                self.refuse_waiting(now, number, reason, actions);
                continue;
            }
            if matches!(entry.origin, Origin::Known(_)) && !self.has_candidate(number) {
                self.refuse_waiting(now, number, Reason::NoVersion, actions);
                continue;
            }
            if self.refuse_unless_open(now, number, &entry, actions) {
                continue;
            }
            match self.choose(now, &entry, &reserved) {
                Some(key) => self.dispatch(now, number, key, actions),
                None => placement::reserve_candidates(&self.context(now), &entry, &mut reserved),
            }
        }
        self.refuse_beyond_limits(now, service, actions);
        self.refuse_beyond_capacity(now, service, actions);
        self.bound_plain_waits(now, service, actions);
    }

    /// Refuses a waiting request if all backend servers that it may be sent to have stated that they
    /// leave, or that they pause for longer than it waits, or are in evacuated zones. Returns whether
    /// it did.
    fn refuse_unless_open(
        &mut self,
        now: Instant,
        number: RequestNumber,
        entry: &Entry,
        actions: &mut Vec<Action>,
    ) -> bool {
        let keys = self.backends.keys_of(&entry.service).iter();
        let backends = keys.filter_map(|key| Some((*key, self.backends.get(*key)?)));
        let mut stated = backends
            .filter(|(key, backend)| entry.admits(*key, backend))
            .map(|(_, backend)| (backend.load.stated, backend.load.is_evacuated))
            .peekable();
        if stated.peek().is_none() {
            return false;
        }
        let mut pause = None;
        for (stated, is_evacuated) in stated {
            if is_evacuated {
                continue;
            }
            if stated.is_open(now) {
                return false;
            }
            if let Some(until) = stated.paused_until.filter(|_| !stated.leaving) {
                pause = Some(pause.map_or(until, |earliest: Instant| earliest.min(until)));
            }
        }
        let Some(until) = pause else {
            self.refuse_waiting(now, number, Reason::NoBackend, actions);
            return true;
        };
        if until < entry.wait_until {
            return false;
        }
        self.dequeue(entry, number);
        let refusal = self.build_refusal(now, entry, Reason::Paused);
        let most = admission::max_retry_after(entry.deadline.since(now));
        let retry_after = refusal.retry_after.map(|_| until.since(now).min(most));
        self.refuse(now, number, Refusal { retry_after, ..refusal }, actions);
        true
    }

    /// Checks that a request may be sent to a backend server now. What was checked at its arrival
    /// may have changed while it waited or ran elsewhere.
    pub(super) fn check_dispatch(&self, now: Instant, entry: &Entry) -> Result<(), Reason> {
        self.check_api_key(now, entry)?;
        if !self.may_dispatch(now) {
            return Err(Reason::Stopping);
        }
        match self.verdict(now, &entry.request) {
            Some(_) => Err(Reason::Poison),
            None => Ok(()),
        }
    }

    /// Checks that the configuration in force has the API key of a request and was confirmed
    /// recently enough.
    pub(super) fn check_api_key(&self, now: Instant, entry: &Entry) -> Result<(), Reason> {
        if !entry.requires_api_key {
            return Ok(());
        }
        let catalog = self.catalog.as_ref().ok_or(Reason::NotReady)?;
        let key = entry.request.api_key.as_ref().ok_or(Reason::UnknownKey)?;
        catalog.account(key).ok_or(Reason::UnknownKey)?;
        if self.lease.is_valid(now) { Ok(()) } else { Err(Reason::Stale) }
    }

    pub(super) fn context(&self, now: Instant) -> placement::Context<'_> {
        placement::Context {
            backends: &self.backends,
            rate_limits: &self.rate_limits,
            permits: &self.permits,
            warm_ups: &self.warming.warm_ups,
            now,
            zone: &self.setup.availability_zone,
        }
    }

    pub(super) fn choose(
        &mut self,
        now: Instant,
        entry: &Entry,
        reserved: &HashSet<backends::Key>,
    ) -> Option<backends::Key> {
        if self.may_lack_departures(now) {
            return None;
        }
        let context = placement::Context {
            backends: &self.backends,
            rate_limits: &self.rate_limits,
            permits: &self.permits,
            warm_ups: &self.warming.warm_ups,
            now,
            zone: &self.setup.availability_zone,
        };
        placement::choose(&context, entry, reserved, &mut self.rng)
    }

    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        number: RequestNumber,
        key: backends::Key,
        actions: &mut Vec<Action>,
    ) {
        let Some(backend) = self.backends.get(key) else { return };
        let restriction = self.restriction(now, backend);
        let warm_up_left = self.warm_up_left(now, key).map(|(left, _)| left);
        let rate_limit = match restriction {
            Some(restriction) if restriction.is_warm_up => Some(restriction.rate),
            _ => self.rate_limits.limit(backend.run),
        };
        let permit = restriction
            .and_then(|Restriction { key, .. }| Some((key, self.permits.take(now, key)?)));
        let send_by = self.send_by(now, &backend.record.service, permit.map(|(_, at)| at));
        if warm_up_left.is_some() {
            self.count_warm_up_permit();
        }
        let configuration = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let age = self.lease.age(now);
        let Some(open) = self.open_requests.get_mut(&number) else { return };
        let Some(backend) = self.backends.get_mut(key) else { return };
        let entry = &mut open.entry;
        let tokens_ahead = backend.load.backlog();
        let tokens = entry.request.prompt_tokens();
        let expected = backend.load.first_event_ms(tokens_ahead, tokens).max(0.0);
        let inputs = action::Inputs {
            waited: now.since(entry.arrived_at),
            configuration,
            age,
            expected: Duration::from_micros((expected * 1e3) as u64),
            running: backend.load.total_running() + 1,
            backlog: tokens_ahead,
            tokens,
            attempt: entry.attempts + 1,
            tier: entry.tier,
            units: entry.units,
            rate_limit,
            warm_up_left,
        };
        let hedge = self.hedging.as_mut().and_then(|hedging| {
            let service = self.catalog.as_ref()?.services.get(&entry.service);
            let is_model = service.is_some_and(|service| service.tokens_per_event.is_some());
            hedging.record_dispatch(now, entry, is_model)
        });
        let load = &backend.load;
        let running = load.plain.running(now, load.total_running(), backend.record.slots);
        backend.load.add_request(tokens);
        backend.load.begin_trial(now);
        self.load_exchange.mark_changed();
        entry.attempts += 1;
        self.evacuating.record_dispatch(&entry.service);
        open.state = State::Dispatched {
            backend: key,
            run: backend.run,
            origin: backend.origin,
            dispatched_at: now,
            tokens_ahead,
            first_event_at: None,
            went_on: false,
            unresponsive: false,
            permit,
            running,
        };
        if let Some(queue) = self.queues.get_mut(&entry.service) {
            queue.remove(entry, number);
        }
        let may_fail_over = entry.is_repeatable && entry.attempts < entry.max_attempts;
        let failover_timeout = match entry.kind {
            RouteKind::Stream => STREAM_FAILOVER_TIMEOUT,
            _ => entry.objective_duration.mul_f64(FAILOVER_SHARE),
        };
        actions.push(Action::Dispatch(Dispatch {
            number,
            backend: key,
            id: backend.id.clone(),
            address: backend.record.address,
            zone: backend.record.zone.clone(),
            account: entry.account.clone(),
            deadline: entry.deadline,
            send_by,
            version: backend.record.version.clone(),
            failover_timeout: may_fail_over.then_some(failover_timeout),
            hedge,
            inputs,
            stream: entry.kind == RouteKind::Stream,
        }));
    }
}
