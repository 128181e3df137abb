//! Splits the bytes of a stream into complete events.

use bytes::Bytes;
use platform::message;
use wire::event_stream::Scanner;

use crate::{
    budget::Full,
    caller::{Buffer, Caller},
};

/// Largest event that is buffered until it is complete, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of an incomplete event, so that an interrupted stream can be resumed at
/// another backend server after the last complete event.
pub struct EventBuffer {
    scanner: Scanner,
    partial: Buffer,
    last_id: Option<Bytes>,
}

/// Events that were completed by some bytes.
pub struct Completed {
    /// The events and the comments between them.
    pub bytes: Bytes,
    pub count: u32,
    /// Whether one of the events has an identifier.
    pub has_id: bool,
}

impl EventBuffer {
    /// Returns a buffer whose bytes are taken for the caller.
    pub fn new(caller: Caller) -> EventBuffer {
        EventBuffer { scanner: Scanner::default(), partial: Buffer::new(caller), last_id: None }
    }

    /// Adds bytes and returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for an incomplete event.
    pub fn push(&mut self, mut data: Bytes) -> Result<Completed, Full> {
        let scanned = self.scanner.scan(&data);
        let mut bytes = data.split_to(scanned.len);
        if !self.partial.is_empty() && !bytes.is_empty() {
            self.partial.extend(&bytes, MAX_EVENT_BYTES)?;
            bytes = self.partial.take();
        }
        self.partial.extend(&data, MAX_EVENT_BYTES)?;
        let id = message::parse_last_event_id(&bytes).map(Bytes::copy_from_slice);
        let has_id = id.is_some();
        self.last_id = id.or(self.last_id.take());
        Ok(Completed { bytes, count: scanned.events, has_id })
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
        self.partial.take()
    }

    /// Returns the identifier of the last complete event, or of an earlier one if that has none.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}
