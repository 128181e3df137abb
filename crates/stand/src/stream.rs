//! Response bodies of an engine, kept so that a reader can resume them at a byte offset.

use std::{cell::RefCell, io, rc::Rc};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use wire::time::Instant;

use crate::{completion, run::End, signal::Signal};

/// One response body as far as it is generated.
#[derive(Debug)]
pub struct Stream {
    pub request: completion::Request,
    state: RefCell<State>,
    grown: Signal,
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
        Rc::new(Stream { request, state: RefCell::default(), grown: Signal::default() })
    }

    /// Adds the tokens up to `tokens` and, if the job is over, the end.
    pub fn extend(&self, at: Instant, tokens: u32, end: Option<End>) {
        let mut state = self.state.borrow_mut();
        if self.request.stream {
            for index in state.tokens..tokens {
                state.bytes.extend_from_slice(&self.request.event(index));
            }
        }
        state.tokens = tokens;
        if end == Some(End::Finished) {
            let rest = if self.request.stream {
                completion::DONE.into()
            } else {
                self.request.response_body()
            };
            state.bytes.extend_from_slice(&rest);
        }
        state.end = end.map(|end| (at, end));
        drop(state);
        self.grown.notify();
    }

    /// Ends the body before its job has finished, unless it is over.
    pub fn abort(&self, at: Instant, end: End) {
        if self.ended().is_none() {
            self.state.borrow_mut().end = Some((at, end));
            self.grown.notify();
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

    /// Waits for the end and returns the whole body.
    ///
    /// # Errors
    ///
    /// Fails if the job was cancelled or lost.
    pub async fn whole(&self) -> io::Result<Bytes> {
        loop {
            let seen = self.grown.changes();
            match self.ended() {
                Some((_, End::Finished)) => {
                    return Ok(Bytes::copy_from_slice(&self.state.borrow().bytes));
                }
                Some(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
                None => self.grown.wait(seen).await,
            }
        }
    }

    /// Returns the body from byte `from` on, as it is generated. The parts end with an error
    /// if the job is cancelled or lost.
    pub fn follow(
        self: Rc<Stream>,
        from: usize,
    ) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
        stream::try_unfold((self, from), |(this, at)| async move {
            Ok(this.part(at).await?.map(|part| {
                let next = at + part.len();
                (part, (this, next))
            }))
        })
    }

    async fn part(&self, at: usize) -> io::Result<Option<Bytes>> {
        loop {
            let seen = self.grown.changes();
            if let Some(part) = self.state.borrow().bytes.get(at..).filter(|part| !part.is_empty())
            {
                return Ok(Some(Bytes::copy_from_slice(part)));
            }
            match self.ended() {
                Some((_, End::Finished)) => return Ok(None),
                Some(_) => return Err(io::ErrorKind::ConnectionAborted.into()),
                None => self.grown.wait(seen).await,
            }
        }
    }
}
