//! Splits the bytes of a stream into complete events.

use std::mem;

use bytes::{Bytes, BytesMut};
use platform::message;
use wire::event_stream::Scanner;

use crate::{budget::Full, caller::Caller};

/// Unit in which memory for an incomplete event is taken, in bytes.
const TAKEN_BYTES: usize = 4 << 10;

/// Buffers the bytes of an incomplete event, so that an interrupted stream can be resumed at
/// another backend server after the last complete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    scanner: Scanner,
    partial: BytesMut,
    last_id: Option<Bytes>,
    /// Bytes that are taken for the incomplete event.
    taken: usize,
}

/// Events that were completed by some bytes.
#[derive(Debug)]
pub struct Completed {
    /// The events and the comments between them.
    pub bytes: Bytes,
    pub count: u32,
    /// Whether one of the events has an identifier.
    pub has_id: bool,
}

impl EventBuffer {
    /// Adds bytes and returns the events that are complete now.
    pub fn push(&mut self, mut data: Bytes) -> Completed {
        let scanned = self.scanner.scan(&data);
        let mut bytes = data.split_to(scanned.len);
        if !self.partial.is_empty() && !bytes.is_empty() {
            self.partial.extend_from_slice(&bytes);
            bytes = mem::take(&mut self.partial).freeze();
        }
        self.partial.extend_from_slice(&data);
        let id = message::parse_last_event_id(&bytes).map(Bytes::copy_from_slice);
        let has_id = id.is_some();
        self.last_id = id.or(self.last_id.take());
        Completed { bytes, count: scanned.events, has_id }
    }

    /// Takes the bytes of the incomplete event for the caller, or gives those of the last one back.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for them.
    pub fn settle(&mut self, caller: &Caller) -> Result<(), Full> {
        let needed = self.partial.len().next_multiple_of(TAKEN_BYTES);
        match needed.checked_sub(self.taken) {
            Some(more) => caller.take(more)?,
            None => caller.give_back(self.taken - needed),
        }
        self.taken = needed;
        Ok(())
    }

    /// Returns whether a stream that ends now ends inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Takes the bytes after the last complete event. The next bytes begin a new event.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanner = Scanner::default();
        mem::take(&mut self.partial).freeze()
    }

    /// Returns the identifier of the last complete event, or of an earlier one if that has none.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}
