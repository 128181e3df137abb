//! A request that is sent to a backend server, until the head of the response.

use std::{cell::Cell, future::Future, rc::Rc};

use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};
use gate::action::Dispatch;
use http_body_util::Full;
use hyper::Request;
use wire::time::Instant;

use crate::{
    clock,
    connection::{Fault, Pool, Sent},
    gateway::exchange::UnreadResponse,
};

/// A request that is sent to a backend server.
pub struct Offer {
    pub dispatch: Dispatch,
    pub pool: Pool,
    pub sent_at: Instant,
    /// Identifier of the stream's event that the response goes on after.
    pub last_event_id: Option<Bytes>,
    /// The head of the response, if it was classified before.
    pub received: Option<Box<UnreadResponse>>,
    response: LocalBoxFuture<'static, Result<Sent, Fault>>,
    is_sent: Rc<Cell<bool>>,
}

impl Offer {
    /// Begins to send a request, or returns an offer that fails as not sent if there is none.
    /// `may_send` returns whether the request may still be written once there is a connection.
    pub fn new(
        dispatch: Dispatch,
        pool: Pool,
        last_event_id: Option<Bytes>,
        request: Option<Request<Full<Bytes>>>,
        may_send: impl Fn() -> bool + 'static,
    ) -> Offer {
        let is_sent = Rc::new(Cell::new(false));
        let (sending_pool, flag) = (pool.clone(), is_sent.clone());
        let send_by = dispatch.send_by;
        let response = async move {
            let request = request.ok_or(Fault::Unsent)?;
            let check = || match may_send() {
                false => Err(Fault::Withdrawn),
                true if send_by.is_some_and(|send_by| clock::now() >= send_by) => Err(Fault::Late),
                true => Ok(()),
            };
            sending_pool.send_watched(request, &flag, check).await
        };
        Offer {
            dispatch,
            pool,
            sent_at: clock::now(),
            last_event_id,
            received: None,
            response: response.boxed_local(),
            is_sent,
        }
    }

    /// Waits for the response. The wait may be abandoned and begun again.
    pub fn response(&mut self) -> impl Future<Output = Result<Sent, Fault>> {
        self.response.as_mut()
    }

    /// Returns a flag that says the same as `is_sent`, also after the offer has been moved.
    pub fn sent_flag(&self) -> Rc<Cell<bool>> {
        self.is_sent.clone()
    }

    /// Returns whether the request was passed to a connection, so that the backend server may run
    /// it.
    pub fn is_sent(&self) -> bool {
        self.is_sent.get()
    }
}
