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

use crate::{caller::Caller, http::Aborted};

/// Unread bytes above which nothing more is accepted. The replay of a stream that an agent stores
/// fits within this bound.
pub const MAX_UNREAD_BYTES: usize = 4 << 20;

enum Part {
    Data(Bytes),
    End,
}

/// Unread bytes of a body.
struct Unread {
    bytes: Cell<usize>,
    /// The caller that they are taken for, if there is one.
    caller: Option<Caller>,
}

impl Unread {
    /// Adds bytes, if there is room for them.
    fn add(&self, bytes: usize) -> bool {
        let has_room = self.bytes.get() <= MAX_UNREAD_BYTES
            && self.caller.as_ref().is_none_or(|caller| caller.take(bytes).is_ok());
        if has_room {
            self.bytes.set(self.bytes.get() + bytes);
        }
        has_room
    }

    fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() - bytes);
        if let Some(caller) = &self.caller {
            caller.give_back(bytes);
        }
    }
}

/// Sending half; dropping it ends the body as truncated.
pub struct Sender {
    parts: mpsc::UnboundedSender<Part>,
    unread: Rc<Unread>,
}

/// Receiving half.
pub struct Receiver {
    parts: mpsc::UnboundedReceiver<Part>,
    unread: Rc<Unread>,
    has_ended: bool,
}

/// Returns the two halves of a body, whose unread bytes are taken for the caller.
pub fn channel(caller: Option<Caller>) -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::unbounded();
    let unread = Rc::new(Unread { bytes: Cell::new(0), caller });
    let sender = Sender { parts: sender, unread: unread.clone() };
    (sender, Receiver { parts: receiver, unread, has_ended: false })
}

impl Sender {
    /// Sends bytes. Returns false and drops them if too many bytes are unread.
    #[must_use]
    pub fn send(&self, bytes: Bytes) -> bool {
        if !self.unread.add(bytes.len()) {
            return false;
        }
        let _ = self.parts.unbounded_send(Part::Data(bytes));
        true
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        let _ = self.parts.unbounded_send(Part::End);
    }
}

impl Stream for Receiver {
    type Item = Result<Bytes, Aborted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        Poll::Ready(match ready!(self.parts.poll_next_unpin(cx)) {
            Some(Part::Data(bytes)) => {
                self.unread.remove(bytes.len());
                Some(Ok(bytes))
            }
            Some(Part::End) => {
                self.has_ended = true;
                None
            }
            None => {
                self.has_ended = true;
                Some(Err(Aborted))
            }
        })
    }
}
