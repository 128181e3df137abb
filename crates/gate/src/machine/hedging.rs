//! Second attempts beside the first one, for requests whose response is slow.

use std::{collections::HashSet, time::Duration};

use wire::time::Instant;

use super::{Machine, OpenRequest, State};
use crate::{
    Action, Event,
    backends::{self, Backend},
    event::RequestNumber,
    hedging::{Counts, Withheld},
    queue::{Entry, Queue},
    quota,
};

/// Part of the slots of a service's usable backend servers above which it counts as short of
/// capacity, so that hedges don't take the slots of requests that arrive next.
const MAX_TAKEN_SHARE: f64 = 0.7;

impl Machine {
    /// Returns the numbers of hedges; `None` if hedging is off.
    pub fn hedge_counts(&self) -> Option<Counts> {
        self.hedging.as_ref().map(|hedging| hedging.counts)
    }

    /// Sends a slow request to a second backend server, if a hedge is allowed now.
    pub(super) fn handle_slow(
        &mut self,
        now: Instant,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get(&number) else { return };
        let State::Dispatched { backend: first, dispatched_at, first_event_at: None, .. } =
            open.state
        else {
            return;
        };
        if open.former.is_some() || open.was_hedged || !open.entry.is_repeatable {
            return;
        }
        let entry = open.entry.clone();
        if self.hedging.is_none()
            || now >= entry.deadline
            || self.check_dispatch(now, &entry).is_err()
        {
            return;
        }
        match self.choose_second(now, number, &entry, first) {
            Ok(second) => {
                self.log_hedge(now, &entry, [first, second], now.since(dispatched_at));
                self.dispatch_second(now, number, second, actions);
            }
            Err(reason) => {
                if let Some(hedging) = &mut self.hedging {
                    hedging.count_withheld(reason);
                }
            }
        }
    }

    /// Handles an event on the second attempt of a hedged request. If only that is left, it is the
    /// one that all events are on.
    pub(super) fn handle_second(
        &mut self,
        now: Instant,
        number: RequestNumber,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        self.swap_attempts(number);
        self.handle(now, event, actions);
        self.swap_attempts(number);
    }

    fn swap_attempts(&mut self, number: RequestNumber) {
        if let Some(open) = self.open_requests.get_mut(&number)
            && let Some(hedge) = &mut open.hedge
        {
            std::mem::swap(hedge, &mut open.state);
        }
    }

    /// Returns the backend server for a hedge and takes its share of the budgets, or the reason why
    /// the request gets none.
    fn choose_second(
        &mut self,
        now: Instant,
        number: RequestNumber,
        entry: &Entry,
        first: backends::Key,
    ) -> Result<backends::Key, Withheld> {
        if entry.attempts >= entry.max_attempts {
            return Err(Withheld::Attempts);
        }
        if self.is_short_of_capacity(now, entry) {
            return Err(Withheld::Busy);
        }
        let second = self.hedge_candidate(now, entry, first).ok_or(Withheld::NoServer)?;
        let has_work = self.hedging.as_mut().is_some_and(|hedging| hedging.take_work(now, entry));
        if !has_work {
            return Err(Withheld::Budget);
        }
        if !self.take_retry(now, number) {
            self.put_back_work(now, entry);
            return Err(Withheld::Budget);
        }
        Ok(second)
    }

    /// Returns whether requests wait for the service here or, as reported, at another gateway, or
    /// few slots of its usable backend servers are free.
    fn is_short_of_capacity(&self, now: Instant, entry: &Entry) -> bool {
        let service = quota::hash(&entry.service);
        let waits_here =
            self.queues.get(&entry.service).is_some_and(|queue| !Queue::is_empty(queue));
        let is_waiting = |(hash, count): &(u64, u32)| *hash == service && *count > 0;
        let waits_elsewhere =
            self.peers.reports(now).any(|report| report.waiting.iter().any(is_waiting));
        let (mut taken, mut slots) = (0.0, 0.0);
        for backend in self.backends.usable(&entry.service, now) {
            taken += f64::from(backend.load.total_running());
            slots += f64::from(backend.record.slots);
        }
        waits_here || waits_elsewhere || taken > slots * MAX_TAKEN_SHARE
    }

    /// Returns a backend server for a hedge, preferably one in this gateway's availability zone.
    fn hedge_candidate(
        &mut self,
        now: Instant,
        entry: &Entry,
        first: backends::Key,
    ) -> Option<backends::Key> {
        let mut entry = entry.clone();
        entry.excluded.push(first);
        let (mut unfit, mut elsewhere) = (HashSet::new(), HashSet::new());
        for key in self.backends.keys_of(&entry.service) {
            let Some(backend) = self.backends.get(*key) else { continue };
            if !self.may_take_hedge(now, backend) {
                unfit.insert(*key);
            } else if backend.record.zone != self.setup.availability_zone {
                elsewhere.insert(*key);
            }
        }
        elsewhere.extend(&unfit);
        let near = self.choose(now, &entry, &elsewhere);
        near.or_else(|| self.choose(now, &entry, &unfit))
    }

    /// Returns whether a backend server may take a hedge, beside the conditions that it has to meet
    /// for any request: it has a free slot, needs no permit and has not asked for a pause that its
    /// next request has to end.
    fn may_take_hedge(&self, now: Instant, backend: &Backend) -> bool {
        self.restriction(now, backend).is_none()
            && backend.load.stated.paused_until.is_none()
            && backend.load.total_running() < backend.record.slots
    }

    fn dispatch_second(
        &mut self,
        now: Instant,
        number: RequestNumber,
        second: backends::Key,
        actions: &mut Vec<Action>,
    ) {
        let first = self.open_requests.get(&number).map(|open| open.state);
        self.dispatch(now, number, second, actions);
        if let Some(open) = self.open_requests.get_mut(&number) {
            open.was_hedged = true;
            open.hedge = first;
        }
        self.swap_attempts(number);
        if let Some(hedging) = &mut self.hedging {
            hedging.counts.sent += 1;
        }
    }

    /// Cancels the other attempt of a hedged request, since this one has an answer or goes on alone.
    /// The cancelled attempt counts against the request only if its backend server has ended.
    pub(super) fn cancel_other_attempt(&mut self, now: Instant, number: RequestNumber) {
        let Some(open) = self.open_requests.get_mut(&number) else { return };
        let Some(state) = open.hedge.take() else { return };
        let State::Dispatched { backend, dispatched_at, tokens_ahead, .. } = state else { return };
        let is_won = dispatch_time(state) < dispatch_time(open.state);
        open.entry.excluded.push(backend);
        let cancelled = OpenRequest { state, ..open.clone() };
        self.release_slot(state, cancelled.entry.request.prompt_tokens());
        self.give_up(now, &cancelled);
        if let Some(backend) = self.backends.get_mut(backend).filter(|_| is_won) {
            let ms = now.since(dispatched_at).as_secs_f64() * 1e3;
            let tokens = cancelled.entry.request.prompt_tokens().saturating_add(tokens_ahead);
            backend.load.record_lost_race(now, ms, tokens);
        }
        if let Some(hedging) = &mut self.hedging {
            let count =
                if is_won { &mut hedging.counts.won } else { &mut hedging.counts.cancelled };
            *count += 1;
        }
    }

    /// Records how long a request took, or at least took at its first attempt, from the dispatch of
    /// the earliest attempt that is in progress.
    pub(super) fn record_answer_time(&mut self, now: Instant, number: RequestNumber) {
        let Some(hedging) = &mut self.hedging else { return };
        let Some(open) = self.open_requests.get_mut(&number) else { return };
        if std::mem::replace(&mut open.was_timed, true) {
            return;
        }
        let attempts = [Some(open.state), open.former, open.hedge];
        if let Some(since) = attempts.into_iter().flatten().filter_map(dispatch_time).min() {
            hedging.record_time(now, &open.entry, now.since(since));
        }
    }

    /// Records the time of a request that ended without an answer, if it is known to be slow.
    pub(super) fn record_slow_end(&mut self, now: Instant, open: &OpenRequest) {
        let Some(hedging) = &mut self.hedging else { return };
        let Some(since) = dispatch_time(open.state).filter(|_| !open.was_timed) else { return };
        let time = now.since(since);
        if hedging.threshold(now, &open.entry).is_some_and(|threshold| time >= threshold) {
            hedging.record_time(now, &open.entry, time);
        }
    }

    /// Puts the work of a hedge back if the attempt that all events are on is the second of two.
    pub(super) fn put_back_hedge_work(&mut self, now: Instant, number: RequestNumber) {
        let Some(open) = self.open_requests.get(&number) else { return };
        let Some(other) = open.hedge else { return };
        if dispatch_time(other) < dispatch_time(open.state) {
            let entry = open.entry.clone();
            self.put_back_work(now, &entry);
        }
    }

    fn put_back_work(&mut self, now: Instant, entry: &Entry) {
        if let Some(hedging) = &mut self.hedging {
            hedging.put_back_work(now, entry);
        }
    }

    fn log_hedge(
        &mut self,
        now: Instant,
        entry: &Entry,
        keys: [backends::Key; 2],
        waited: Duration,
    ) {
        let [first, second] = keys.map(|key| {
            let id = self.backends.get(key).map(|backend| backend.id.clone());
            id.unwrap_or_default()
        });
        let threshold = self.hedging.as_mut().and_then(|hedging| hedging.threshold(now, entry));
        tracing::info!(
            event = "hedge",
            id = %String::from_utf8_lossy(&entry.request.id),
            first = %String::from_utf8_lossy(&first),
            second = %String::from_utf8_lossy(&second),
            waited_ms = waited.as_millis() as u64,
            quantile_ms = threshold.map(|threshold| threshold.as_millis() as u64),
        );
    }
}

fn dispatch_time(state: State) -> Option<Instant> {
    match state {
        State::Waiting => None,
        State::Dispatched { dispatched_at, .. } => Some(dispatched_at),
    }
}
