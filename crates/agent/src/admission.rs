//! Checks of an offer before it is queued.

use std::{fmt, time::Duration};

use wire::{outcome, request, time::Instant};

use crate::{drain, limit, rate_limit, suspects};

/// Time to retry after while this agent accepts no requests.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Inputs of the filters.
pub(crate) struct Inputs<'a> {
    pub(crate) now: Instant,
    pub(crate) drain: &'a drain::Drain,
    pub(crate) has_settings: bool,
    pub(crate) limit: &'a limit::Limit,
    pub(crate) rate_limit: &'a rate_limit::RateLimit,
    /// Queued offers of the same or a higher tier.
    pub(crate) ahead: usize,
    pub(crate) suspects: &'a suspects::Suspects,
}

/// Reason of a refusal and the time to retry after.
pub(crate) type RefusalReason = (outcome::Reason, Duration);

/// One check of an offer.
pub(crate) trait Filter: fmt::Debug {
    /// Returns why the offer is refused, if it is.
    fn check(&self, inputs: &Inputs<'_>, head: &request::Head) -> Option<RefusalReason>;
}

/// Returns the filters in the order in which they run.
pub(crate) fn filters() -> Vec<Box<dyn Filter>> {
    vec![
        Box::new(Ready),
        Box::new(Leaving),
        Box::new(Poison),
        Box::new(Deadline),
        Box::new(RateLimit),
    ]
}

#[derive(Debug)]
struct Ready;

impl Filter for Ready {
    fn check(&self, inputs: &Inputs<'_>, _head: &request::Head) -> Option<RefusalReason> {
        let ready = inputs.drain.ready && inputs.has_settings;
        (!ready).then_some((outcome::Reason::NotReady, UNAVAILABLE_RETRY_AFTER))
    }
}

#[derive(Debug)]
struct Leaving;

impl Filter for Leaving {
    fn check(&self, inputs: &Inputs<'_>, _head: &request::Head) -> Option<RefusalReason> {
        inputs.drain.is_leaving().then_some((outcome::Reason::Leaving, UNAVAILABLE_RETRY_AFTER))
    }
}

#[derive(Debug)]
struct Poison;

impl Filter for Poison {
    fn check(&self, inputs: &Inputs<'_>, head: &request::Head) -> Option<RefusalReason> {
        match inputs.suspects.restriction(inputs.now, head) {
            suspects::Restriction::Quarantined(left) => Some((outcome::Reason::Poison, left)),
            suspects::Restriction::RefusedHere(left) => Some((outcome::Reason::Suspect, left)),
            _ => None,
        }
    }
}

#[derive(Debug)]
struct Deadline;

impl Filter for Deadline {
    fn check(&self, inputs: &Inputs<'_>, head: &request::Head) -> Option<RefusalReason> {
        let needed = inputs.limit.response_time(head);
        (head.remaining < needed).then_some((outcome::Reason::Deadline, needed))
    }
}

#[derive(Debug)]
struct RateLimit;

impl Filter for RateLimit {
    fn check(&self, inputs: &Inputs<'_>, head: &request::Head) -> Option<RefusalReason> {
        let delay = inputs.rate_limit.time_for(inputs.ahead);
        let needed = delay + inputs.limit.response_time(head);
        (head.remaining < needed).then_some((outcome::Reason::Overload, delay))
    }
}
