//! Response bodies of an engine, stored so that a reader can resume at a byte offset.

use std::{cell::RefCell, io, rc::Rc};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use wire::time::Instant;

use crate::{completion, run::End, signal::Signal};

/// One response body, as far as it has been generated.
#[derive(Debug)]
pub struct Stream {
    pub request: completion::Request,
    state: RefCell<State>,
    changed: Signal,
}

#[derive(Debug, Default)]
struct State {
    bytes: BytesMut,
    tokens: u32,
    end: Option<(Instant, End)>,
}

impl Stream {
    /// Returns an empty body.
    pub fn new(request: completion::Request) -> Rc<Stream> {
        Rc::new(Stream { request, state: RefCell::default(), changed: Signal::default() })
    }

    /// Appends tokens until the body has `tokens` of them and, if the job has ended, the end.
    pub fn extend(&self, at: Instant, tokens: u32, end: Option<End>) {
        let mut state = self.state.borrow_mut();
        if self.request.stream {
            for index in state.tokens..tokens {
                state.bytes.extend_from_slice(&self.request.event(index));
            }
        }
        state.tokens = tokens;
        if end == Some(End::Finished) {
            let final_bytes = if self.request.stream {
                completion::DONE.into()
            } else {
                self.request.response_body()
            };
            state.bytes.extend_from_slice(&final_bytes);
        }
        state.end = end.map(|end| (at, end));
        drop(state);
        self.changed.notify();
    }

    /// Ends an unfinished body; has no effect on one that has ended.
    pub fn abort(&self, at: Instant, end: End) {
        if self.ended().is_none() {
            self.state.borrow_mut().end = Some((at, end));
            self.changed.notify();
        }
    }

    /// Returns when and how the body ended.
    pub fn ended(&self) -> Option<(Instant, End)> {
        self.state.borrow().end
    }

    /// Returns the number of bytes so far.
    pub fn len(&self) -> usize {
        self.state.borrow().bytes.len()
    }

    /// Returns whether there are no bytes yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the job has finished and returns the complete body.
    ///
    /// # Errors
    ///
    /// Returns an error if the job was cancelled or lost in a crash.
    pub async fn wait_until_finished(&self) -> io::Result<Bytes> {
        loop {
            let seen_changes = self.changed.changes();
            match self.ended() {
                Some((_, End::Finished)) => {
                    return Ok(Bytes::copy_from_slice(&self.state.borrow().bytes));
                }
                Some(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
                None => self.changed.wait(seen_changes).await,
            }
        }
    }

    /// Returns the body from byte `offset` on, as it is generated. The stream ends with an error
    /// if the job is cancelled or lost in a crash.
    pub fn read_from(
        self: Rc<Stream>,
        offset: usize,
    ) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
        stream::try_unfold((self, offset), |(this, start)| async move {
            Ok(this.next_part(start).await?.map(|part| {
                let next = start + part.len();
                (part, (this, next))
            }))
        })
    }

    async fn next_part(&self, start: usize) -> io::Result<Option<Bytes>> {
        loop {
            let seen_changes = self.changed.changes();
            if let Some(part) =
                self.state.borrow().bytes.get(start..).filter(|part| !part.is_empty())
            {
                return Ok(Some(Bytes::copy_from_slice(part)));
            }
            match self.ended() {
                Some((_, End::Finished)) => return Ok(None),
                Some(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
                None => self.changed.wait(seen_changes).await,
            }
        }
    }
}
