//! What is reported to the machine on one attempt of a request.

use std::rc::Rc;

use bytes::Bytes;
use gate::{
    Event,
    action::Dispatch,
    backends,
    event::{AttemptResult, RequestNumber},
    statement::Statement,
};
use hyper::http::response;
use platform::message::{self, RateLimit, ResponseKind};

use crate::{
    connection::{Fault, Pool, Sent},
    framing::Framing,
    gateway::{Gateway, exchange::UnreadResponse},
};

/// Reports events on an attempt of a request.
#[derive(Clone)]
pub struct Reporter {
    pub gateway: Rc<Gateway>,
    pub number: RequestNumber,
    pub id: Bytes,
    /// Whether it is the second attempt of a hedged request.
    pub is_second: bool,
}

impl Reporter {
    /// Passes an event on the attempt to the machine.
    pub fn report(&self, event: Event) {
        let number = self.number;
        self.gateway.feed(match self.is_second {
            true => Event::Hedge { number, event: Box::new(event) },
            false => event,
        });
    }

    /// Returns whether the run of a dispatch's backend server was taken to have ended, so that signs
    /// that it goes on are of interest.
    pub fn has_ended(&self, dispatch: &Dispatch) -> bool {
        let has_ended = backends::Backend::has_ended;
        self.gateway.read(|machine| machine.backends().get(dispatch.backend).is_some_and(has_ended))
    }

    /// Returns `Event::Ended` for the request.
    pub fn build_ended(&self, result: AttemptResult) -> Event {
        Event::Ended { number: self.number, result }
    }

    /// Reports what the head of a response states.
    ///
    /// # Errors
    ///
    /// Returns the event on an attempt that failed.
    pub fn classify(
        &self,
        dispatch: &Dispatch,
        result: Result<Sent, Fault>,
        pool: &Pool,
    ) -> Result<Box<UnreadResponse>, Box<Event>> {
        let number = self.number;
        let Sent { response, sender, is_reused } = match result {
            Ok(sent) => sent,
            Err(Fault::Unsent) => return Err(Box::new(Event::NotSent { number })),
            Err(Fault::Late) => return Err(Box::new(Event::Late { number })),
            Err(Fault::Refused) => return Err(Box::new(Event::Refused { number })),
            Err(Fault::Withdrawn) => return Err(Box::new(Event::Withdrawn { number })),
            Err(Fault::Lost) => return Err(Box::new(self.build_ended(AttemptResult::Broken))),
        };
        let (head, body) = response.into_parts();
        self.report_rate_limit(dispatch, &head);
        let is_certain = message::is_certain(&head, is_reused);
        let mut statement = message::parse_statement(&head, &self.id);
        // A server that leaves says so in all its responses. A pause binds also in doubt: the next
        // requests would not be taken.
        statement.leaving &= is_certain;
        if statement != Statement::default() {
            self.report(Event::Stated { number, statement });
        }
        match message::classify_response(&head, &self.id) {
            ResponseKind::NotRun { .. } | ResponseKind::Misdirected if !is_certain => {
                Err(Box::new(Event::DoubtfulRejection { number }))
            }
            ResponseKind::NotRun { retry_after } => {
                Err(Box::new(Event::Rejected { number, retry_after }))
            }
            ResponseKind::Misdirected => Err(Box::new(Event::Misdirected { number })),
            ResponseKind::Unverified => Err(Box::new(self.build_ended(AttemptResult::Invalid))),
            ResponseKind::Failed | ResponseKind::Success => {
                if is_reused && self.has_ended(dispatch) {
                    self.report(Event::Responded { number, connected_at: sender.opened_at });
                }
                let framing = Framing::of(&head.headers, &body);
                let pool = pool.clone();
                Ok(Box::new(UnreadResponse { head, framing, body, sender, pool }))
            }
        }
    }

    /// Reports the rate limit that a backend server named in its response.
    fn report_rate_limit(&self, dispatch: &Dispatch, head: &response::Parts) {
        let number = self.number;
        match message::parse_rate_limit(head, &self.id) {
            RateLimit::Absent => self.report(Event::RateLimitStated { number, per_s: None }),
            RateLimit::Named(per_s) => {
                self.report(Event::RateLimitStated { number, per_s: Some(per_s) });
            }
            RateLimit::Unverified => {}
            // The limit named before stays in force.
            RateLimit::Malformed => tracing::warn!(
                event = "limit_malformed",
                id = %String::from_utf8_lossy(&self.id),
                replica = %String::from_utf8_lossy(&dispatch.id),
            ),
        }
    }
}
