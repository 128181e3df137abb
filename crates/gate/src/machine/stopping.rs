//! Planned stops: which requests a gateway that is about to end still takes, and sends.

use bytes::Bytes;
use wire::time::Instant;

use super::Machine;
use crate::{Action, event::RequestNumber, refusal::Reason};

/// Part of the grace time during which a stopping gateway still accepts requests.
const ACCEPT_SHARE: f64 = 0.35;
/// Part of the grace time during which a stopping gateway still sends requests to backend servers.
/// One that is sent later may not end in time, while another gateway can still serve its caller.
const DISPATCH_SHARE: f64 = 0.6;

impl Machine {
    /// Returns whether a new request may be accepted.
    pub(super) fn accepts_requests(&self, now: Instant) -> bool {
        self.end_of_share(ACCEPT_SHARE).is_none_or(|end| now <= end)
    }

    /// Returns whether a request may be sent to a backend server.
    pub(super) fn may_dispatch(&self, now: Instant) -> bool {
        self.end_of_share(DISPATCH_SHARE).is_none_or(|end| now < end)
    }

    /// Refuses all waiting requests once no more are sent.
    pub(super) fn refuse_at_stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.may_dispatch(now) {
            return;
        }
        let services: Vec<Bytes> = self.queues.keys().cloned().collect();
        for service in services {
            let Some(queue) = self.queues.get(&service) else { continue };
            let numbers: Vec<RequestNumber> = queue.numbers().collect();
            for number in numbers {
                self.refuse_waiting(now, number, Reason::Stopping, actions);
            }
        }
    }

    /// Returns when waiting requests are refused, if there are any.
    pub(super) fn next_stop_step(&self) -> Option<Instant> {
        let has_waiting = self.queues.values().any(|queue| !queue.is_empty());
        self.end_of_share(DISPATCH_SHARE).filter(|_| has_waiting)
    }

    /// Returns the end of a part of the grace time, if a stop was requested.
    fn end_of_share(&self, share: f64) -> Option<Instant> {
        self.stopping_since.map(|since| since + self.setup.bounds.grace.mul_f64(share))
    }
}
