//! Whether the state in force may be used, by the time since it was confirmed as the published one.
//!
//! A gateway that has not read a change in time can't tell: the change may be on its way behind a
//! large one. So the age of the state decides, and not whether a change is known. Only a store that
//! is away has no changes, and the last state is used for as long as it is.

use std::time::Duration;

use wire::time::Instant;

use super::Machine;
use crate::action::Dispatch;

/// Time from the check of a request to its arrival at the backend server, as a rule.
const SEND_TIME: Duration = Duration::from_millis(250);
/// Time within which gateways that reach each other confirm the same state.
const CONFIRMATION_SPREAD: Duration = Duration::from_millis(300);

/// Longest time that the store waits for a change before it responds to a watch. Each watch is a
/// request that is paid for. With a longer wait, less of the lease on keys is left by the time an
/// unresponsive store is noticed.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Shortest time, whatever the bounds are.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(100);
/// Time for the response to a watch, and until its confirmation has reached the other gateways.
const CONFIRMATION_TIME: Duration = Duration::from_millis(250);

impl Machine {
    /// Returns the time for which the store may wait before it responds to a watch. A response
    /// confirms the state at the time of its request, so the state is as old as two waits when the
    /// next one is due, and has to be usable until then.
    pub fn watch_wait(&self) -> Duration {
        let bounds = &self.setup.bounds;
        let usable = bounds.apply.min(bounds.drain.saturating_sub(SEND_TIME));
        let wait = usable.saturating_sub(CONFIRMATION_TIME) / 2;
        wait.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
    }

    /// Returns whether the configuration may lack changes that have to be in force.
    pub(super) fn may_lack_configuration(&self, now: Instant) -> bool {
        self.may_lack_changes(now, self.setup.bounds.apply)
    }

    /// Returns whether the records may lack servers that left so long ago that they must not get
    /// requests any more.
    pub(super) fn may_lack_departures(&self, now: Instant) -> bool {
        self.may_lack_changes(now, self.setup.bounds.drain.saturating_sub(SEND_TIME))
    }

    /// Returns whether a request may still be written to a connection to its backend server.
    pub fn may_send(&self, now: Instant, dispatch: &Dispatch) -> bool {
        let backend = self.backends.get(dispatch.backend);
        backend.is_some_and(|backend| !backend.load.stated.leaving)
            && !self.evacuations().is_evacuated(&dispatch.zone)
            && !self.may_lack_departures(now)
    }

    /// Returns whether changes that were published `bound` ago or earlier may be missing.
    fn may_lack_changes(&self, now: Instant, bound: Duration) -> bool {
        let is_old = self.lease.age(now).is_none_or(|age| age >= bound);
        is_old && !self.is_store_away(now)
    }

    /// Returns whether reads of the store fail here, and no peer has confirmed its state since this
    /// gateway did.
    fn is_store_away(&self, now: Instant) -> bool {
        let is_confirmed_later = |at: Instant| {
            let spread = CONFIRMATION_SPREAD.as_micros() as u64;
            !self.lease.is_confirmed_since(Instant(at.0.saturating_sub(spread)))
        };
        let confirmed_by_peers_at = self.source.confirmed_by_peers_at(now);
        self.contact.is_lost(now) && !confirmed_by_peers_at.is_some_and(is_confirmed_later)
    }

    /// Logs when the state becomes too old to be used, and when it may be used again.
    pub(super) fn log_freshness(&mut self, now: Instant) {
        let is_outdated = self.lease.age(now).is_some() && self.may_lack_departures(now);
        if std::mem::replace(&mut self.is_outdated, is_outdated) == is_outdated {
            return;
        }
        let age_ms = self.lease.age(now).map(|age| age.as_millis() as u64);
        match is_outdated {
            true => tracing::warn!(event = "state_outdated", age_ms),
            false => tracing::info!(event = "state_current", age_ms),
        }
    }

    /// Returns whether the state was too old to be used when the gateway last checked.
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }
}
