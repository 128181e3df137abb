//! Responses, failures and timeouts of dispatched requests.

use std::{collections::HashSet, time::Duration};

use wire::time::Instant;

use super::{Machine, OpenRequest, PROBE_PERIOD, State};
use crate::{
    Action, admission, backends,
    catalog::RouteKind,
    event::{AttemptResult, RequestNumber},
    origin::Origin,
    quarantine,
    refusal::{Reason, Refusal},
    statement::{Pause, Statement},
    streams,
};

/// Time for which a backend server that refused a request as overloaded gets no other request.
const FULL_COOLDOWN: Duration = Duration::from_millis(60);

impl Machine {
    /// Releases the slots and the prompt tokens of a dispatched request.
    pub(super) fn release_slots(&mut self, open: &OpenRequest) {
        for state in open.former.into_iter().chain(open.hedge).chain([open.state]) {
            self.release_slot(state, open.entry.request.prompt_tokens());
        }
    }

    pub(super) fn release_slot(&mut self, state: State, prompt_tokens: u32) {
        let State::Dispatched { backend, dispatched_at, first_event_at, .. } = state else {
            return;
        };
        let withholds_slots = self.withholds_slots();
        let Some(backend) = self.backends.get_mut(backend) else { return };
        backend.load.end_trial(dispatched_at, false);
        backend.load.remove_request(if first_event_at.is_none() { prompt_tokens } else { 0 });
        if withholds_slots {
            backend.load.withhold_slot();
        }
        self.load_exchange.mark_changed();
    }

    /// Withdraws a dispatched request from its backend server and returns that server. If the
    /// request was about to move there, it stays at the former one, and if it is hedged, at that of
    /// its other attempt. Otherwise it waits again, and its backend server is excluded from further
    /// attempts.
    pub(super) fn withdraw_dispatch(
        &mut self,
        now: Instant,
        number: RequestNumber,
        may_have_run: bool,
    ) -> Option<backends::Key> {
        if !may_have_run {
            self.put_back_hedge_work(now, number);
        }
        let open = self.open_requests.get_mut(&number)?;
        let (state, prompt_tokens) = (open.state, open.entry.request.prompt_tokens());
        let State::Dispatched { backend, .. } = state else { return None };
        if !may_have_run {
            open.entry.attempts -= 1;
        }
        // A server that doesn't take a request which stays at another one may be asked again.
        let other = open.former.take().or(open.hedge.take());
        if may_have_run || other.is_none() {
            open.entry.excluded.push(backend);
        }
        open.state = other.unwrap_or(State::Waiting);
        self.release_slot(state, prompt_tokens);
        Some(backend)
    }

    /// Returns whether a request that was withdrawn stays at its former backend server.
    pub(super) fn stays_at_former(&self, number: RequestNumber) -> bool {
        let open = self.open_requests.get(&number);
        open.is_some_and(|open| open.state != State::Waiting)
    }

    /// Adds a withdrawn request to its queue again.
    pub(super) fn requeue(&mut self, number: RequestNumber) {
        if let Some(open) = self.open_requests.get(&number) {
            let queue = self.queues.entry(open.entry.service.clone()).or_default();
            queue.push(&open.entry, number);
        }
    }

    /// Returns whether the service of a request has a backend server that it may be sent to, now or
    /// later. If not, a wait would serve nobody.
    pub(super) fn has_candidate(&self, number: RequestNumber) -> bool {
        self.open_requests.get(&number).is_some_and(|open| {
            let keys = self.backends.keys_of(&open.entry.service).iter();
            let mut backends = keys.filter_map(|key| Some((*key, self.backends.get(*key)?)));
            backends.any(|(key, backend)| {
                !backend.load.stated.leaving
                    && !backend.load.is_evacuated
                    && open.entry.admits(key, backend)
            })
        })
    }

    /// Adds a withdrawn request of which nothing was sent to its queue again, or refuses it if no
    /// backend server is left for it.
    pub(super) fn requeue_or_refuse(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        match self.has_candidate(number) {
            true => self.requeue(number),
            false => {
                let reason = self.reason_without_server(number, Reason::NoBackend);
                self.refuse_waiting(now, number, reason, actions);
            }
        }
    }

    pub(super) fn handle_not_sent(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        self.put_back_permit(number);
        let Some(key) = self.withdraw_dispatch(now, number, false) else { return };
        if let Some(backend) = self.backends.get_mut(key) {
            backend.load.unreachable = true;
            self.probes.entry(key).or_insert(now + PROBE_PERIOD);
        }
        if self.stays_at_former(number) {
            return;
        }
        self.requeue_or_refuse(now, number, actions);
    }

    /// Handles a connection that was opened too late to send the request on it. Its server may get
    /// the next requests at once.
    pub(super) fn handle_late(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = self.withdraw_dispatch(now, number, false) else { return };
        if self.stays_at_former(number) {
            return;
        }
        if let Some(open) = self.open_requests.get_mut(&number) {
            open.entry.excluded.retain(|excluded| *excluded != key);
        }
        match self.has_candidate(number) {
            true => self.requeue(number),
            false => self.refuse_waiting(now, number, Reason::NoBackend, actions),
        }
    }

    /// Returns the permit of a dispatched request of which nothing was sent.
    pub(super) fn put_back_permit(&mut self, number: RequestNumber) {
        let state = self.open_requests.get(&number).map(|open| open.state);
        if let Some(State::Dispatched { permit: Some((key, expires_at)), .. }) = state {
            self.permits.put_back(key, expires_at);
        }
    }

    /// Handles a refused connection: the run that listened there has ended.
    pub(super) fn handle_refused(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        self.record_ends_at_backend_of(now, number);
        self.record_connection_refusal(now, number);
        self.handle_not_sent(now, number, actions);
    }

    pub(super) fn handle_rejection(
        &mut self,
        now: Instant,
        number: RequestNumber,
        retry_after: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        self.record_answer_to(now, number);
        let Some(key) = self.withdraw_dispatch(now, number, false) else { return };
        let entry = self.open_requests.get(&number).map(|open| &open.entry);
        let plain = entry.filter(|entry| entry.is_plain()).cloned();
        if let Some(entry) = plain.as_ref().filter(|entry| entry.attempts == 0) {
            self.record_plain_outcome(entry, false);
        }
        if let Some(backend) = self.backends.get_mut(key) {
            backend.load.full_until = now + FULL_COOLDOWN;
            if let Some(entry) = plain {
                let slots = backend.record.slots;
                backend.load.plain.record_rejection(now, slots, entry.objective_duration);
            }
        }
        if self.stays_at_former(number) {
            return;
        }
        if self.has_candidate(number) && self.take_retry(now, number) {
            self.requeue(number);
            return;
        }
        let Some(entry) = self.open_requests.get(&number).map(|open| open.entry.clone()) else {
            return;
        };
        let reason = self.reason_without_server(number, Reason::Overload);
        let refusal = self.build_refusal(now, &entry, reason);
        let most = admission::max_retry_after(entry.deadline.since(now));
        let retry_after = refusal.retry_after.map(|own| retry_after.unwrap_or(own).min(most));
        self.refuse(now, number, Refusal { retry_after, ..refusal }, actions);
    }

    pub(super) fn handle_misdirected(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        self.record_ends_at_backend_of(now, number);
        let Some(key) = self.withdraw_dispatch(now, number, false) else { return };
        if let Some(backend) = self.backends.get_mut(key) {
            // The address belongs to another backend server now, and the removal of the old record
            // has not been read yet. The second ejection doubles the time without requests.
            backend.load.eject(now);
            backend.load.eject(now);
        }
        if self.stays_at_former(number) {
            return;
        }
        match self.has_candidate(number) && self.take_retry(now, number) {
            true => self.requeue(number),
            false => {
                let reason = self.reason_without_server(number, Reason::NoBackend);
                self.refuse_waiting(now, number, reason, actions);
            }
        }
    }

    /// Handles a rejection that proves nothing: the backend server may be full, or may run the
    /// request.
    pub(super) fn handle_doubtful_rejection(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = self.withdraw_dispatch(now, number, true) else { return };
        if let Some(backend) = self.backends.get_mut(key) {
            backend.load.full_until = now + FULL_COOLDOWN;
        }
        self.continue_or_refuse(now, number, actions);
    }

    /// Queues a withdrawn request that may have run again, or refuses it if it may not be sent to
    /// another backend server.
    fn continue_or_refuse(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        if self.stays_at_former(number) {
            return;
        }
        if self.may_continue_elsewhere(now, number)
            && self.has_candidate(number)
            && self.take_retry(now, number)
        {
            self.requeue(number);
            return;
        }
        self.refuse(now, number, Refusal::new(Reason::Lost), actions);
    }

    /// Records that a response was received on a connection that was opened at `connected_at`.
    pub(super) fn record_response(
        &mut self,
        now: Instant,
        number: RequestNumber,
        connected_at: Instant,
    ) {
        let state = self.open_requests.get(&number).map(|open| open.state);
        let Some(State::Dispatched { backend, run, dispatched_at, .. }) = state else { return };
        let renewed = self.backends.record_response(run, connected_at, dispatched_at);
        self.replace_origin(now, backend, renewed, "response");
    }

    /// Records that data of a response arrived after `waiting_since`.
    pub(super) fn record_progress(
        &mut self,
        now: Instant,
        number: RequestNumber,
        connected_at: Instant,
        waiting_since: Instant,
    ) {
        let state = self.open_requests.get(&number).map(|open| open.state);
        let Some(State::Dispatched { backend, run, .. }) = state else { return };
        let backends = &mut self.backends;
        let renewed = backends.record_progress(now, run, number, connected_at, waiting_since);
        self.replace_origin(now, backend, renewed, "progress");
    }

    /// Gives the streams of a run that goes on their origin back, if it was taken to have ended: those
    /// that began meanwhile have the first of two keys.
    fn replace_origin(
        &mut self,
        now: Instant,
        backend: backends::Key,
        renewed: Option<(u64, u64)>,
        sign: &'static str,
    ) {
        let Some((from, to)) = renewed else { return };
        self.streams.replace_origin(from, to);
        for open in self.open_requests.values_mut() {
            open.replace_origin(from, to);
        }
        let backend = self.backends.get(backend).map(|backend| &backend.id[..]);
        tracing::info!(
            event = "run_goes_on",
            replica = %String::from_utf8_lossy(backend.unwrap_or_default()),
            sign,
            age_ms = self.lease.age(now).map(|age| age.as_millis() as u64),
        );
    }

    /// Records what the backend server of a dispatched request states of itself.
    pub(super) fn record_statement(
        &mut self,
        now: Instant,
        number: RequestNumber,
        statement: Statement,
    ) {
        let state = self.open_requests.get(&number).map(|open| open.state);
        let Some(State::Dispatched { backend, run, .. }) = state else { return };
        if let Some(left) = statement.warm_up_left {
            self.record_warm_up(now, backend, left);
        }
        if self.backends.record_statement(now, run, statement) {
            let backend = self.backends.get(backend).map(|backend| &backend.id[..]);
            tracing::info!(
                event = "replica_stated",
                replica = %String::from_utf8_lossy(backend.unwrap_or_default()),
                leaving = statement.leaving,
                pause_ms = statement.pause.map(|pause| pause.span().as_millis() as u64),
                unreadable = statement.pause == Some(Pause::Unreadable),
            );
        }
    }

    pub(super) fn take_retry(&mut self, now: Instant, number: RequestNumber) -> bool {
        let Some(open) = self.open_requests.get(&number) else { return false };
        let gateways = self.peers.serving_count(now);
        let budget = self.retry_budgets.get_mut(&open.entry.service);
        budget.is_some_and(|budget| budget.take_retry(now, &self.setup.bounds, gateways))
    }

    pub(super) fn record_first_event(&mut self, now: Instant, number: RequestNumber) {
        let Some(open) = self.open_requests.get_mut(&number) else { return };
        let tokens = open.entry.request.prompt_tokens();
        let State::Dispatched { origin, dispatched_at, tokens_ahead, first_event_at, .. } =
            &mut open.state
        else {
            return;
        };
        let tokens_ahead = *tokens_ahead;
        if first_event_at.is_some() {
            return;
        }
        *first_event_at = Some(now);
        let (origin, dispatched_at) = (*origin, *dispatched_at);
        if open.entry.origin == Origin::None {
            open.entry.origin = Origin::Known(origin);
        }
        if open.entry.kind == RouteKind::Stream && open.entry.is_repeatable {
            let attempt = streams::attempt_key(&open.entry.request.id);
            self.streams.record(now, attempt, origin);
        }
        let State::Dispatched { backend, run, .. } = open.state else { return };
        self.record_answer_time(now, number);
        self.cancel_other_attempt(now, number);
        self.record_answer(now, run, dispatched_at);
        let Some(backend) = self.backends.get_mut(backend) else { return };
        backend.load.end_trial(dispatched_at, true);
        backend.load.pending = backend.load.pending.saturating_sub(tokens);
        self.load_exchange.mark_changed();
        let waited = now.since(dispatched_at).as_secs_f64() * 1e3;
        backend.load.record_first_event(waited, tokens.saturating_add(tokens_ahead));
    }

    pub(super) fn record_events(&mut self, number: RequestNumber, events: u32, span: Duration) {
        let state = self.open_requests.get(&number).map(|open| open.state);
        let Some(State::Dispatched { backend, .. }) = state else { return };
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.load.record_events(span.as_secs_f64() * 1e3, events);
        }
    }

    pub(super) fn handle_result(
        &mut self,
        now: Instant,
        number: RequestNumber,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        match result {
            AttemptResult::Complete | AttemptResult::Unframed => {
                self.complete(now, number, result);
            }
            AttemptResult::Failed
            | AttemptResult::UnframedFailure
            | AttemptResult::Broken
            | AttemptResult::Invalid => self.handle_failure(now, number, result, actions),
            AttemptResult::Discarded => self.discard(now, number, actions),
        }
    }

    /// Ends a request whose response was not read. Another attempt would be in need of the same
    /// memory.
    fn discard(&mut self, now: Instant, number: RequestNumber, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&number).cloned() else { return };
        self.give_up(now, &open);
        if self.withdraw_dispatch(now, number, true).is_some() && !self.stays_at_former(number) {
            self.refuse_waiting(now, number, Reason::Lost, actions);
        }
    }

    pub(super) fn complete(&mut self, now: Instant, number: RequestNumber, result: AttemptResult) {
        self.record_answer_time(now, number);
        self.cancel_other_attempt(now, number);
        let Some(open) = self.open_requests.remove(&number) else { return };
        self.release_slots(&open);
        let State::Dispatched { backend, run, dispatched_at, first_event_at, running, .. } =
            open.state
        else {
            return;
        };
        let answered_at = first_event_at.unwrap_or(dispatched_at);
        self.record_answer(now, run, dispatched_at);
        if result == AttemptResult::Unframed {
            self.record_closed(now, &open, Some(answered_at));
        } else {
            self.suspects.record_completion(now, open.entry.request.fingerprint, now);
            self.acquit_parts(now, &quarantine::part_keys(&open.entry.request), answered_at);
            self.unanswered.record_completion(run);
        }
        let key = backend;
        let Some(backend) = self.backends.get_mut(key) else { return };
        backend.load.end_trial(dispatched_at, true);
        backend.load.record_success();
        if open.entry.is_plain() {
            let (slots, took) = (backend.record.slots, now.since(dispatched_at));
            backend.load.plain.record_answer(now, took, slots, running);
            let is_late = backend.load.plain.is_late(took, open.entry.objective_duration);
            self.backends.assume_work(key);
            self.record_plain_outcome(&open.entry, !is_late);
        }
    }

    pub(super) fn handle_failure(
        &mut self,
        now: Instant,
        number: RequestNumber,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get(&number).cloned() else { return };
        if result.is_failure() {
            self.record_answer_to(now, number);
        }
        match result {
            AttemptResult::Invalid => self.give_up(now, &open),
            AttemptResult::UnframedFailure => self.record_closed(now, &open, None),
            _ => {}
        }
        let Some(key) = self.withdraw_dispatch(now, number, true) else { return };
        let is_plain_response = result.is_failure() && open.entry.is_plain();
        let usual = is_plain_response.then(|| self.backends.usual_failures(key));
        if let Some(backend) = self.backends.get_mut(key) {
            match usual {
                Some(usual) => backend.load.record_failure_response(now, usual),
                None => backend.load.record_failure(now),
            };
        }
        if result == AttemptResult::Broken {
            self.record_broken(now, &open);
        }
        self.continue_or_refuse(now, number, actions);
    }

    /// Dispatches an unresponsive request to another backend server that has capacity. The former
    /// one goes on with it until that server has accepted it.
    pub(super) fn handle_unresponsive(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get_mut(&number) else { return };
        if open.former.is_some() || open.hedge.is_some() {
            return;
        }
        let State::Dispatched { backend, unresponsive, .. } = &mut open.state else { return };
        let (backend, is_first) = (*backend, !std::mem::replace(unresponsive, true));
        let open = open.clone();
        if is_first {
            self.give_up(now, &open);
        }
        let mut entry = open.entry;
        entry.excluded.push(backend);
        let Some(other) = self.choose(now, &entry, &HashSet::new()) else { return };
        if !self.may_continue_elsewhere(now, number) || !self.take_retry(now, number) {
            return;
        }
        if let Some(open) = self.open_requests.get_mut(&number) {
            open.former = Some(open.state);
        }
        self.dispatch(now, number, other, actions);
    }

    /// Gives up the former backend server of a request that has moved, or the first attempt of one
    /// that is hedged.
    pub(super) fn handle_move(&mut self, now: Instant, number: RequestNumber) {
        self.record_answer_time(now, number);
        self.cancel_other_attempt(now, number);
        let Some(open) = self.open_requests.get_mut(&number) else { return };
        let Some(former) = open.former.take() else { return };
        let State::Dispatched { backend, .. } = former else { return };
        open.entry.excluded.push(backend);
        let prompt_tokens = open.entry.request.prompt_tokens();
        self.release_slot(former, prompt_tokens);
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.load.record_failure(now);
        }
    }

    /// Returns whether a request that may have run can be sent to another backend server.
    pub(super) fn may_continue_elsewhere(&self, now: Instant, number: RequestNumber) -> bool {
        self.open_requests.get(&number).is_some_and(|open| {
            let entry = &open.entry;
            entry.is_repeatable
                && entry.attempts < entry.max_attempts
                && now < entry.deadline
                && self.check_dispatch(now, entry).is_ok()
        })
    }
}
