//! Waits for a backend server, during which a request may move to another one or be hedged.

use std::{future::Future, pin::pin, time::Duration};

use bytes::Bytes;
use compio::time;
use futures_util::{
    FutureExt,
    future::{self, Either},
};
use gate::{Event, action::Dispatch};
use hyper::http::response;
use wire::time::Instant;

use crate::{
    clock,
    gateway::{
        Instruction,
        exchange::{Attempt, Exchange},
        offer::Offer,
        relay,
    },
};

/// Time for which a backend server may reject a request that moves to it while the former one goes
/// on. A full one rejects at once. Afterwards it counts as having accepted the request, since it may
/// run it, and two servers must not run the same request for long.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time at which a request without progress may move to another backend server.
pub struct Failover {
    timeout: Duration,
    due: Instant,
}

impl Failover {
    /// Returns a time that is due after `timeout`.
    pub fn new(timeout: Duration) -> Failover {
        Failover { timeout, due: clock::now() + timeout }
    }

    /// Begins anew, since there was progress or the request was not moved.
    pub fn restart(&mut self) {
        self.due = clock::now() + self.timeout;
    }
}

impl Exchange {
    /// Waits for `future` up to the dispatch's deadline. Each time that `failover` is due, the request
    /// may move to another backend server, which continues a stream after `last_event_id`. A second
    /// attempt is sent when it is due, and its answer ends the wait. `future` is dropped only if
    /// another server accepts the request or answers it.
    pub async fn wait<T>(
        &mut self,
        dispatch: &Dispatch,
        last_event_id: Option<&Bytes>,
        mut failover: Option<&mut Failover>,
        future: impl Future<Output = T>,
    ) -> Result<T, Attempt> {
        let mut future = pin!(future);
        loop {
            let now = clock::now();
            let failover_due = failover.as_deref().map(|failover| failover.due);
            let due = [failover_due, self.hedge.due()].into_iter().flatten().min();
            let due = due.filter(|due| *due < dispatch.deadline);
            let either = future::select(future.as_mut(), self.hedge.answer()).map(first_output);
            let until = due.unwrap_or(dispatch.deadline);
            match time::timeout(until.since(now), either).await {
                Ok(Either::Left(output)) => return Ok(output),
                Ok(Either::Right(result)) => match self.handle_second_end(dispatch, result) {
                    Some(attempt) => return Err(attempt),
                    None => continue,
                },
                Err(_) if due.is_none() => return Err(Attempt::Timeout),
                Err(_) => {}
            }
            if self.hedge.due() == due {
                match self.handle_hedge_due(dispatch) {
                    Some(attempt) => return Err(attempt),
                    None => continue,
                }
            }
            let Some(failover) = failover.as_deref_mut() else { continue };
            if self.hedge.is_running() {
                failover.restart();
                continue;
            }
            self.report(Event::Unresponsive { number: self.reporter.number });
            if let Ok(Instruction::Dispatch(other)) = self.instructions.try_recv() {
                let offer = self.offer(other, last_event_id.cloned());
                if let Some(accepted) = self.try_move(dispatch, offer).await {
                    return Err(Attempt::Moved(Box::new(accepted)));
                }
            }
            failover.restart();
        }
    }

    /// Sends a request in progress at a backend server to another one. Returns the offer if that one
    /// accepts it, or may have done so.
    async fn try_move(&mut self, former: &Dispatch, mut offer: Offer) -> Option<Offer> {
        let event = match time::timeout(ACCEPTANCE_TIMEOUT, offer.response()).await {
            Ok(result) => match self.reporter.classify(&offer.dispatch, result, &offer.pool) {
                Ok(unread) if accepts(&offer, &unread.head) => {
                    offer.received = Some(unread);
                    None
                }
                Ok(unread) => {
                    Some(self.build_ended(relay::declined_result(&unread.head, unread.framing)))
                }
                Err(event) => Some(*event),
            },
            Err(_) if offer.is_sent() => None,
            Err(_) => Some(Event::NotSent { number: self.reporter.number }),
        };
        self.log_move(former, &offer.dispatch, event.is_none());
        match event {
            None => {
                self.report(Event::Moved { number: self.reporter.number });
                Some(offer)
            }
            Some(event) => {
                self.log_failure(&offer.dispatch, &event);
                self.report(event);
                None
            }
        }
    }
}

/// Returns whether a response to an offer takes over the request of a former server.
fn accepts(offer: &Offer, head: &response::Parts) -> bool {
    match offer.last_event_id {
        Some(_) => relay::is_continuation(head),
        None => head.status.is_success(),
    }
}

/// Returns the output of the future that ended first.
fn first_output<A, B, F, G>(either: Either<(A, F), (B, G)>) -> Either<A, B> {
    match either {
        Either::Left((output, _)) => Either::Left(output),
        Either::Right((output, _)) => Either::Right(output),
    }
}
