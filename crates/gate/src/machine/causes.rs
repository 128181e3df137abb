//! Requests and prompt parts as causes of the ends of backend servers.

use std::{cmp::Reverse, collections::HashSet};

use cause::{Answer, Ending};
use wire::time::Instant;

use super::{Machine, OpenRequest, State};
use crate::{
    event::RequestNumber,
    late_ends::{LateEnd, late_key},
    quarantine::{self, Verdict},
    request::Request,
    unanswered::Attempt,
};

impl Machine {
    /// Records that a dispatched request's backend server has ended, and counts that against the
    /// requests that were given up there.
    pub(super) fn record_ends_at_backend_of(&mut self, now: Instant, number: RequestNumber) {
        let state = self.open_requests.get(&number).map(|open| open.state);
        if let Some(State::Dispatched { run, .. }) = state {
            self.backends.record_end(now, run);
            let attempts = self.unanswered.take(now, run);
            self.record_ends(now, attempts);
        }
    }

    /// Returns the quarantine of a request, if there is one.
    pub(super) fn verdict(&self, now: Instant, request: &Request) -> Option<Verdict> {
        let last_closed = || self.unanswered.last_closed(request.fingerprint);
        self.suspects.verdict_since(now, request, last_closed)
    }

    /// Records that a dispatched request is given up without a response.
    pub(super) fn give_up(&mut self, now: Instant, open: &OpenRequest) {
        self.record_attempt(now, open, Ending::GivenUp, None);
    }

    /// Records that the response to a dispatched request ended with its connection. If the backend
    /// server has not ended, it is whole since `whole_since`; a failure says nothing of the request.
    pub(super) fn record_closed(
        &mut self,
        now: Instant,
        open: &OpenRequest,
        whole_since: Option<Instant>,
    ) {
        self.record_attempt(now, open, Ending::Closed, whole_since);
    }

    fn record_attempt(
        &mut self,
        now: Instant,
        open: &OpenRequest,
        ending: Ending,
        whole_since: Option<Instant>,
    ) {
        let State::Dispatched { backend, run, dispatched_at, .. } = open.state else { return };
        let answer = answer(now, open);
        let listing = self.backends.listing(backend, run);
        if !ending.accuses(answer, listing) {
            return;
        }
        let is_late = answer == Answer::Continued;
        let fingerprint = open.entry.request.fingerprint;
        let parts = match is_late {
            true => Vec::new(),
            false => quarantine::part_keys(&open.entry.request),
        };
        let ended_at = now;
        let attempt = Attempt {
            fingerprint,
            is_late,
            parts,
            run,
            dispatched_at,
            ended_at,
            ending,
            whole_since,
        };
        if self.unanswered.record(now, &attempt) {
            self.record_ends(now, vec![attempt]);
        }
    }

    /// Counts the end of a run against the requests whose attempts there may have caused it.
    pub(super) fn record_ends(&mut self, now: Instant, mut attempts: Vec<Attempt>) {
        // Of several copies, the one that was there last.
        attempts.sort_by_key(|attempt| Reverse(attempt.ending.time_of_end(attempt.ended_at, now)));
        for attempt in attempts {
            let Attempt { fingerprint, parts, run, dispatched_at, ended_at, ending, .. } = attempt;
            if let Some(began_at) = attempt.whole_since.filter(|_| attempt.is_late) {
                let answered_for = ended_at.since(began_at);
                let end = LateEnd { fingerprint, run, dispatched_at, at: ended_at, answered_for };
                self.late_ends.add(end);
                continue;
            }
            let at = ending.time_of_end(ended_at, now);
            for part in &parts {
                self.suspects.record_end(at, *part, run, dispatched_at);
            }
            if self.suspects.record_end(at, fingerprint, run, dispatched_at) {
                tracing::info!(
                    event = "suspect_unanswered",
                    fingerprint = %format_args!("{fingerprint:016x}"),
                    dispatched_ms = now.since(dispatched_at).as_millis() as u64,
                    ended_ms = now.since(ended_at).as_millis() as u64,
                    closed = ending == Ending::Closed,
                    ends = self.suspects.total(now, fingerprint),
                );
            }
        }
    }

    /// Records that the caller of a dispatched request left while it was answered.
    pub(super) fn record_left_answer(&mut self, now: Instant, open: &OpenRequest) {
        if let State::Dispatched { first_event_at: Some(at), .. } = open.state {
            let fingerprint = open.entry.request.fingerprint;
            if let Some(end) = self.late_ends.record_left(fingerprint, now.since(at)) {
                self.suspects.record_longer_answer(now, fingerprint, end);
            }
        }
    }

    /// Counts the ends of servers under answers that had gone on, unless others get further.
    pub(super) fn record_late_ends(&mut self, now: Instant) {
        let answered_for = |open: &OpenRequest| match open.state {
            State::Dispatched { first_event_at: Some(at), .. } => Some(now.since(at)),
            _ => None,
        };
        let open = self.open_requests.values();
        let answers =
            open.filter_map(|open| Some((open.entry.request.fingerprint, answered_for(open)?)));
        let answers = answers.chain(self.unanswered.closed());
        for end in self.late_ends.take_due(now, answers) {
            let key = late_key(end.fingerprint);
            let counted = self.suspects.record_end(end.at, key, end.run, end.dispatched_at);
            tracing::info!(
                event = "suspect_late",
                fingerprint = %format_args!("{:016x}", end.fingerprint),
                answered_ms = end.answered_for.as_millis() as u64,
                counted,
                ends = self.suspects.total(now, key),
            );
        }
    }

    /// Records that the run of a backend server answers a request that was dispatched at
    /// `dispatched_at`, so that it had not ended before.
    pub(super) fn record_answer(&mut self, now: Instant, run: u64, dispatched_at: Instant) {
        for attempt in self.unanswered.record_answer(run, dispatched_at) {
            if attempt.ending.is_whole_by_answer(attempt.ended_at, dispatched_at) {
                self.record_whole(now, &attempt);
            } else if let Some(since) = attempt.whole_since {
                self.acquit_parts(now, &attempt.parts, since);
            }
        }
    }

    /// Records that the backend server of a dispatched request answers it.
    pub(super) fn record_answer_to(&mut self, now: Instant, number: RequestNumber) {
        let state = self.open_requests.get(&number).map(|open| open.state);
        if let Some(State::Dispatched { run, dispatched_at, .. }) = state {
            self.record_answer(now, run, dispatched_at);
        }
    }

    /// Records responses that ended with their connections and are whole, since their backend servers
    /// are still listed.
    pub(super) fn record_listed(&mut self, now: Instant, runs: &HashSet<u64>) {
        let is_listed = |run: u64| runs.contains(&run);
        for attempt in self.unanswered.take_whole(now, self.confirmed_since, is_listed) {
            self.record_whole(now, &attempt);
        }
    }

    /// Records that the response to an attempt is whole, though it ended with its connection.
    fn record_whole(&mut self, now: Instant, attempt: &Attempt) {
        let Some(since) = attempt.whole_since else { return };
        self.suspects.record_completion(now, attempt.fingerprint, attempt.ended_at);
        self.acquit_parts(now, &attempt.parts, since);
    }

    /// Records that a backend server began to answer a request with these parts at a time and went
    /// on.
    pub(super) fn acquit_parts(&mut self, now: Instant, parts: &[u64], at: Instant) {
        for part in parts {
            self.suspects.acquit_part(now, *part, at);
        }
    }

    /// Records that the response to a request went on for `CONTINUATION_TIME`.
    pub(super) fn record_continuation(&mut self, now: Instant, number: RequestNumber) {
        let Some(open) = self.open_requests.get_mut(&number) else { return };
        let State::Dispatched { first_event_at: Some(at), went_on, .. } = &mut open.state else {
            return;
        };
        *went_on = true;
        let (at, parts) = (*at, quarantine::part_keys(&open.entry.request));
        self.suspects.record_continuation(now, open.entry.request.fingerprint);
        self.acquit_parts(now, &parts, at);
    }

    /// Counts the end of a backend server whose connection was lost against the request.
    pub(super) fn record_broken(&mut self, now: Instant, open: &OpenRequest) {
        let State::Dispatched { backend, run, dispatched_at, first_event_at, .. } = open.state
        else {
            return;
        };
        let fingerprint = open.entry.request.fingerprint;
        let listing = self.backends.listing(backend, run);
        let answer = answer(now, open);
        if answer.accuses_parts(listing) {
            for part in quarantine::part_keys(&open.entry.request) {
                self.suspects.record_end(now, part, run, dispatched_at);
            }
        }
        let is_accused = answer.accuses_request(listing);
        let counted = match first_event_at.filter(|_| answer == Answer::Continued) {
            _ if !is_accused => false,
            None => self.suspects.record_end(now, fingerprint, run, dispatched_at),
            Some(began_at) => {
                let answered_for = now.since(began_at);
                let end = LateEnd { fingerprint, run, dispatched_at, at: now, answered_for };
                self.late_ends.add(end);
                false
            }
        };
        let backend = self.backends.get(backend).map(|backend| &backend.id[..]);
        tracing::info!(
            event = "suspect",
            id = %String::from_utf8_lossy(&open.entry.request.id),
            fingerprint = %format_args!("{fingerprint:016x}"),
            parts = open.entry.request.parts_text(),
            replica = %String::from_utf8_lossy(backend.unwrap_or_default()),
            counted,
            had_first_event = first_event_at.is_some(),
            first_event_ms = first_event_at.map(|at| now.since(at).as_millis() as u64),
            ends = self.suspects.total(now, fingerprint),
        );
    }
}

/// Returns how far the answer to a dispatched request is.
fn answer(now: Instant, open: &OpenRequest) -> Answer {
    match open.state {
        State::Dispatched { went_on: true, .. } => Answer::Continued,
        State::Dispatched { first_event_at, .. } => Answer::since(now, first_event_at),
        State::Waiting => Answer::Begun,
    }
}
