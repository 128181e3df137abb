//! A streamed body, bounded in the bytes that its reader is behind.

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

/// Bytes that a reader may be behind. The replay of a stream kept by an agent fits.
pub const MAX_UNREAD_BYTES: usize = 4 << 20;

/// Sending side; dropping it ends the body as whole.
pub struct Sender {
    parts: mpsc::UnboundedSender<Result<Bytes, Aborted>>,
    unread: Rc<Cell<usize>>,
}

/// Reading side.
pub struct Receiver {
    parts: mpsc::UnboundedReceiver<Result<Bytes, Aborted>>,
    unread: Rc<Cell<usize>>,
}

/// Returns the two sides of a body.
pub fn channel() -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded();
    let unread = Rc::new(Cell::new(0));
    (Sender { parts: sender, unread: unread.clone() }, Receiver { parts: receiver, unread })
}

impl Sender {
    /// Sends bytes. Returns false and drops them if the reader is too far behind.
    #[must_use]
    pub fn send(&self, bytes: Bytes) -> bool {
        if self.unread.get() > MAX_UNREAD_BYTES {
            return false;
        }
        self.unread.set(self.unread.get() + bytes.len());
        let _ = self.parts.unbounded_send(Ok(bytes));
        true
    }

    /// Ends the body as cut.
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
