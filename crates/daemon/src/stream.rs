//! A streamed response body with a bound on its unread bytes.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::{Stream, StreamExt};

use crate::http::Aborted;

/// Unread bytes above which nothing more is accepted. The replay of a stream that an agent stores
/// fits within this bound.
pub const MAX_UNREAD_BYTES: usize = 4 << 20;

/// Sending half; dropping it ends the body as complete.
pub struct Sender {
    parts: mpsc::UnboundedSender<Result<Bytes, Aborted>>,
    unread: Rc<Cell<usize>>,
}

/// Receiving half.
pub struct Receiver {
    parts: mpsc::UnboundedReceiver<Result<Bytes, Aborted>>,
    unread: Rc<Cell<usize>>,
}

/// Returns the two halves of a body.
pub fn channel() -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded();
    let unread = Rc::new(Cell::new(0));
    (Sender { parts: sender, unread: unread.clone() }, Receiver { parts: receiver, unread })
}

impl Sender {
    /// Sends bytes. Returns false and drops them if too many bytes are unread.
    #[must_use]
    pub fn send(&self, bytes: Bytes) -> bool {
        if self.unread.get() > MAX_UNREAD_BYTES {
            return false;
        }
        self.unread.set(self.unread.get() + bytes.len());
        let _ = self.parts.unbounded_send(Ok(bytes));
        true
    }

    /// Ends the body as truncated.
    pub fn abort(self) {
        let _ = self.parts.unbounded_send(Err(Aborted));
    }
}

impl Stream for Receiver {
    type Item = Result<Bytes, Aborted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let part = ready!(self.parts.poll_next_unpin(cx));
        if let Some(Ok(bytes)) = &part {
            self.unread.set(self.unread.get() - bytes.len());
        }
        Poll::Ready(part)
    }
}
