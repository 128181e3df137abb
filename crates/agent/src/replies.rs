//! Refusals and traces.

use std::time::Duration;

use wire::{frame, id, offer, outcome, request};

use crate::{Action, Link, event::Context, machine::Machine};

/// Bounds of the time to retry after a refusal for lack of capacity.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Machine {
    /// Returns a refusal by this host and counts it.
    pub(crate) fn refusal(
        &mut self,
        outcome: outcome::Outcome,
        step: outcome::Step,
        reason: outcome::Reason,
        retry_after: Option<Duration>,
    ) -> outcome::Refusal {
        *self.refusals.entry(reason).or_default() += 1;
        outcome::Refusal { outcome, step, reason, peer: self.host(), retry_after }
    }

    /// Returns the time to retry after a refusal: the estimated prefill time of all queued offers,
    /// or the time in which the rate limit allows them.
    pub(crate) fn queue_delay(&self) -> Duration {
        let prefill = self.limit.prefill_time(self.queue.tokens());
        let limited = self.rate_limit.time_for(self.queue.len());
        prefill.max(limited).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(crate) fn refuse_offer(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        head: &request::Head,
        refusal: outcome::Refusal,
    ) {
        self.trace(cx, head.request, refusal.step, "refused");
        cx.push(Action::Reply { link, reply: offer::Reply::Refused(refusal) });
    }

    /// Refuses a commit or attach and closes its link.
    pub(crate) fn refuse_stream(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        grant: id::Grant,
        request: id::Request,
        refusal: outcome::Refusal,
    ) {
        self.trace(cx, request, refusal.step, "refused");
        let body = frame::Body::Refused(refusal);
        cx.push(Action::Frame { link, frame: wire::Frame { request, grant, body } });
        cx.push(Action::Close { link });
    }

    pub(crate) fn trace(
        &self,
        cx: &mut Context<'_>,
        request: id::Request,
        step: outcome::Step,
        event: &'static str,
    ) {
        cx.push(Action::Trace { request, step, event, peer: self.host() });
    }
}
