//! The race of the two attempts of a hedged request.

use std::{cell::Cell, future, future::Future, rc::Rc, task::Poll, time::Duration};

use futures_util::{FutureExt, future::LocalBoxFuture};
use gate::{Event, action::Dispatch};
use wire::time::Instant;

use crate::{
    clock,
    gateway::{
        Instruction,
        answer::{self, Answer, Content, Failure},
        exchange::{Attempt, Exchange, Failover},
        reporter::Reporter,
    },
};

/// Hedge of a request.
pub enum Hedge {
    /// None is sent any more, or hedging is off.
    Off,
    /// A hedge is due at this time unless there is an answer before.
    Due(Instant, Option<Duration>),
    /// The second attempt is in progress.
    Running(Race),
}

/// The second attempt of a request. Dropping it closes its connection.
pub struct Race {
    dispatch: Dispatch,
    sent_at: Instant,
    reporter: Reporter,
    answer: LocalBoxFuture<'static, Result<Content, Failure>>,
    /// Whether the backend server may have received the request.
    is_sent: Rc<Cell<bool>>,
    /// Time at which one of the attempts has to end.
    overlap_end: Option<Instant>,
}

impl Hedge {
    /// Returns the hedge of a dispatch that is sent at `sent_at`.
    pub fn for_dispatch(dispatch: &Dispatch, sent_at: Instant) -> Hedge {
        match dispatch.hedge {
            Some(hedge) => Hedge::Due(sent_at + hedge.after, hedge.max_overlap),
            None => Hedge::Off,
        }
    }

    /// Returns the time at which `Exchange::handle_hedge_due` has to be called.
    pub fn due(&self) -> Option<Instant> {
        match self {
            Hedge::Off => None,
            Hedge::Due(at, _) => Some(*at),
            Hedge::Running(race) => race.overlap_end,
        }
    }

    /// Returns whether the second attempt is in progress.
    pub fn is_running(&self) -> bool {
        matches!(self, Hedge::Running(_))
    }

    /// Waits for the answer of the second attempt, for ever if there is none.
    pub fn answer(&mut self) -> impl Future<Output = Result<Content, Failure>> + Unpin {
        future::poll_fn(|context| match self {
            Hedge::Running(race) => race.answer.as_mut().poll(context),
            Hedge::Off | Hedge::Due(..) => Poll::Pending,
        })
    }

    /// Takes the second attempt.
    pub fn take(&mut self) -> Option<Race> {
        match std::mem::replace(self, Hedge::Off) {
            Hedge::Running(race) => Some(race),
            Hedge::Off | Hedge::Due(..) => None,
        }
    }
}

impl Race {
    /// Returns the dispatch of the second attempt.
    pub fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }
}

impl Exchange {
    /// Sends the second attempt if it is due and the machine allows it. If both attempts have run
    /// for long enough, ends one of them; returns `Attempt::Abandoned` if that is the first one.
    pub(super) fn handle_hedge_due(&mut self, first: &Dispatch) -> Option<Attempt> {
        match std::mem::replace(&mut self.hedge, Hedge::Off) {
            Hedge::Off => None,
            Hedge::Due(_, max_overlap) => {
                self.report(Event::Slow { number: self.reporter.number });
                if let Ok(Instruction::Dispatch(dispatch)) = self.instructions.try_recv() {
                    let overlap_end = max_overlap.map(|span| clock::now() + span);
                    self.hedge = Hedge::Running(self.start_second(dispatch, overlap_end));
                }
                None
            }
            Hedge::Running(race) if race.is_sent.get() => {
                race.reporter.report(Event::Moved { number: race.reporter.number });
                self.log_hedge_end(&race.dispatch, first, "overlap");
                self.hedge = Hedge::Running(Race { overlap_end: None, ..race });
                Some(Attempt::Abandoned)
            }
            Hedge::Running(race) => {
                let event = Event::NotSent { number: race.reporter.number };
                self.log_failure(&race.dispatch, &event);
                race.reporter.report(event);
                None
            }
        }
    }

    fn start_second(&self, dispatch: Dispatch, overlap_end: Option<Instant>) -> Race {
        let reporter = Reporter { is_second: true, ..self.reporter.clone() };
        let offer = self.offer(dispatch.clone(), None);
        let (sent_at, is_sent) = (offer.sent_at, offer.sent_flag());
        let answer = answer::receive(reporter.clone(), offer, self.caller.clone()).boxed_local();
        Race { dispatch, sent_at, reporter, answer, is_sent, overlap_end }
    }

    /// Handles the end of the second attempt while the first one is in progress. Returns its answer
    /// if it has one, and otherwise the first attempt goes on.
    pub(super) fn handle_second_end(
        &mut self,
        first: &Dispatch,
        result: Result<Content, Failure>,
    ) -> Option<Attempt> {
        let Race { dispatch, sent_at, reporter, .. } = self.hedge.take()?;
        let number = reporter.number;
        match result {
            Ok(content) => {
                let event = content.build_event(number).unwrap_or(Event::Moved { number });
                reporter.report(event);
                self.log_hedge_end(&dispatch, first, "answered");
                Some(Attempt::Answered(Box::new(Answer { dispatch, sent_at, content })))
            }
            Err(failure) => {
                let event = self.record_failure(&dispatch, failure);
                self.log_failure(&dispatch, &event);
                reporter.report(event);
                None
            }
        }
    }

    /// Waits for the answer of the second attempt, which is the only one left.
    pub(super) async fn follow(&mut self, race: Race) -> Result<Answer, Attempt> {
        let Race { dispatch, sent_at, answer, .. } = race;
        let mut failover = dispatch.failover_timeout.map(Failover::new);
        let result = self.wait(&dispatch, None, failover.as_mut(), answer).await?;
        self.accept(dispatch, sent_at, result)
    }
}
