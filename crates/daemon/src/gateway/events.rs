//! Splits the bytes of a stream into complete events.

use bytes::{Bytes, BytesMut};
use platform::message;

const EVENT_END: &[u8] = b"\n\n";

/// Buffers the bytes of an incomplete event, so that an interrupted stream can be resumed at
/// another backend server after the last complete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<Bytes>,
}

impl EventBuffer {
    /// Adds bytes and returns those of the events that are complete now.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let complete = match self.partial.is_empty() && data.ends_with(EVENT_END) {
            true => data,
            false => {
                self.partial.extend_from_slice(&data);
                let end =
                    self.partial.windows(EVENT_END.len()).rposition(|window| window == EVENT_END);
                let end = end.map_or(0, |at| at + EVENT_END.len());
                self.partial.split_to(end).freeze()
            }
        };
        if let Some(id) = find_last_id(&complete) {
            self.last_id = Some(Bytes::copy_from_slice(id));
        }
        complete
    }

    /// Returns the number of complete events in bytes that `push` returned.
    pub fn count(complete: &[u8]) -> u32 {
        complete.windows(EVENT_END.len()).filter(|window| *window == EVENT_END).count() as u32
    }

    /// Takes the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }

    /// Returns the identifier of the last complete event, or of an earlier one if that has none.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}

/// Returns the last identifier in `complete`, which ends with a complete event or is empty.
fn find_last_id(complete: &[u8]) -> Option<&[u8]> {
    let mut events = complete.strip_suffix(EVENT_END)?;
    loop {
        let end = events.windows(EVENT_END.len()).rposition(|window| window == EVENT_END);
        let start = end.map_or(0, |at| at + EVENT_END.len());
        if let Some(id) = message::parse_event_id(&events[start..]) {
            return Some(id);
        }
        events = &events[..end?];
    }
}
