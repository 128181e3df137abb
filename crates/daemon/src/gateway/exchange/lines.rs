//! Log lines of a request in progress.

use std::time::Duration;

use bytes::Bytes;
use gate::{Event, action::Dispatch, event::AttemptResult};
use hyper::StatusCode;

use crate::{framing::Framing, gateway::exchange::Exchange};

impl Exchange {
    /// Logs and counts a response. `first` is the time from the dispatch to the first event of a
    /// stream, or to the end of any other response.
    pub fn log_response(
        &self,
        dispatch: &Dispatch,
        status: StatusCode,
        framing: Framing,
        first: Duration,
    ) {
        let inputs = &dispatch.inputs;
        self.reporter.gateway.metrics.count_outcome("answered");
        self.reporter.gateway.metrics.record_response(dispatch, first);
        tracing::info!(
            event = "answered",
            id = %String::from_utf8_lossy(&self.reporter.id),
            replica = %String::from_utf8_lossy(&dispatch.id),
            status = status.as_u16(),
            framing = framing.name(),
            tier = inputs.tier,
            attempt = inputs.attempt,
            waited_ms = inputs.waited.as_millis() as u64,
            first_ms = first.as_millis() as u64,
            expected_ms = inputs.expected.as_millis() as u64,
            running = inputs.running,
            backlog = inputs.backlog,
            tokens = inputs.tokens,
            account = %String::from_utf8_lossy(dispatch.account.as_deref().unwrap_or_default()),
            units = inputs.units as u64,
            limit = inputs.rate_limit,
            warming_ms = inputs.warm_up_left.map(|left| left.as_millis() as u64),
            version = %String::from_utf8_lossy(&dispatch.version),
            configuration = inputs.configuration,
            age_ms = inputs.age.map(|age| age.as_millis() as u64),
            resumes = %String::from_utf8_lossy(self.resumes.as_deref().unwrap_or_default()),
        );
    }

    /// Logs whether a request in progress at an unresponsive backend server moved to another one.
    pub(super) fn log_move(&self, former: &Dispatch, other: &Dispatch, is_accepted: bool) {
        tracing::info!(
            event = "move",
            id = %String::from_utf8_lossy(&self.reporter.id),
            from = %String::from_utf8_lossy(&former.id),
            replica = %String::from_utf8_lossy(&other.id),
            accepted = is_accepted,
            attempt = other.inputs.attempt,
            running = other.inputs.running,
        );
    }

    /// Logs that one of the two attempts of a hedged request was cancelled for the other, and why: that
    /// one has an answer (`answered`), or both ran for as long as they may (`overlap`).
    pub(super) fn log_hedge_end(&self, winner: &Dispatch, cancelled: &Dispatch, how: &str) {
        tracing::info!(
            event = "hedge_ended",
            id = %String::from_utf8_lossy(&self.reporter.id),
            replica = %String::from_utf8_lossy(&winner.id),
            cancelled = %String::from_utf8_lossy(&cancelled.id),
            how,
            attempt = winner.inputs.attempt,
        );
    }

    /// Logs that a stream goes on at a backend server within its response.
    pub fn log_resumed(&self, dispatch: &Dispatch, last_event_id: Option<&Bytes>) {
        tracing::info!(
            event = "stream_resumed",
            id = %String::from_utf8_lossy(&self.reporter.id),
            replica = %String::from_utf8_lossy(&dispatch.id),
            version = %String::from_utf8_lossy(&dispatch.version),
            attempt = dispatch.inputs.attempt,
            last_event = %String::from_utf8_lossy(last_event_id.map_or(&[], |id| &id[..])),
        );
    }

    /// Logs why an attempt at a backend server failed.
    pub fn log_failure(&self, dispatch: &Dispatch, event: &Event) {
        let how = match event {
            Event::NotSent { .. } => "unsent",
            Event::Late { .. } => "late",
            Event::Refused { .. } => "refused",
            Event::Withdrawn { .. } => "withdrawn",
            Event::Rejected { .. } => "rejected",
            Event::Misdirected { .. } => "misdirected",
            Event::DoubtfulRejection { .. } => "doubtful",
            Event::Ended { result: AttemptResult::Broken, .. } => "broken",
            Event::Ended { result: AttemptResult::Invalid, .. } => "invalid",
            Event::Ended { result: AttemptResult::Discarded, .. } => "discarded",
            Event::Ended { result: AttemptResult::UnframedFailure, .. } => "failed_unframed",
            Event::Ended { .. } => "failed",
            _ => "other",
        };
        self.reporter.gateway.metrics.count_failed_attempt(how);
        tracing::info!(
            event = "attempt_failed",
            id = %String::from_utf8_lossy(&self.reporter.id),
            replica = %String::from_utf8_lossy(&dispatch.id),
            how,
            attempt = dispatch.inputs.attempt,
            running = dispatch.inputs.running,
            limit = dispatch.inputs.rate_limit,
        );
    }

    /// Logs that a backend server failed a request that has run with a status that promises that it has
    /// not, so the caller doesn't get its response.
    pub(super) fn log_withheld(&self, dispatch: &Dispatch, status: StatusCode) {
        tracing::info!(
            event = "response_withheld",
            id = %String::from_utf8_lossy(&self.reporter.id),
            replica = %String::from_utf8_lossy(&dispatch.id),
            status = status.as_u16(),
            attempt = dispatch.inputs.attempt,
        );
    }

    /// Logs that a backend server ended a stream, and how many bytes it sent after the last complete
    /// event.
    pub fn log_stream_end(
        &self,
        dispatch: &Dispatch,
        framing: Framing,
        partial_bytes: usize,
        last_event_id: Option<&Bytes>,
    ) {
        tracing::info!(
            event = "stream_ended",
            id = %String::from_utf8_lossy(&self.reporter.id),
            replica = %String::from_utf8_lossy(&dispatch.id),
            framing = framing.name(),
            partial_bytes,
            attempt = dispatch.inputs.attempt,
            last_event = %String::from_utf8_lossy(last_event_id.map_or(&[], |id| &id[..])),
        );
    }

    /// Logs that a stream is cut before its end, and why. `last_event_id` is the identifier of the
    /// last event that was forwarded.
    pub fn log_cut(&self, dispatch: &Dispatch, reason: &str, last_event_id: Option<&Bytes>) {
        self.reporter.gateway.metrics.count_outcome("cut");
        tracing::info!(
            event = "cut",
            id = %String::from_utf8_lossy(&self.reporter.id),
            replica = %String::from_utf8_lossy(&dispatch.id),
            reason,
            attempt = dispatch.inputs.attempt,
            last_event = %String::from_utf8_lossy(last_event_id.map_or(&[], |id| &id[..])),
        );
    }
}
