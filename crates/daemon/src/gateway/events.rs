//! Whole events of a stream, cut out of its bytes.

use bytes::{Bytes, BytesMut};
use platform::message;

const END: &[u8] = b"\n\n";

/// Holds back the bytes of an event that is not whole, so that a stream that breaks can go on
/// elsewhere after the last whole event.
#[derive(Debug, Default)]
pub struct Events {
    rest: BytesMut,
    last: Option<Bytes>,
}

impl Events {
    /// Adds bytes and returns those of the events that are whole now.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let whole = match self.rest.is_empty() && data.ends_with(END) {
            true => data,
            false => {
                self.rest.extend_from_slice(&data);
                let end = self.rest.windows(END.len()).rposition(|window| window == END);
                let end = end.map_or(0, |at| at + END.len());
                self.rest.split_to(end).freeze()
            }
        };
        if let Some(id) = last_event(&whole).and_then(message::parse_event_id) {
            self.last = Some(Bytes::copy_from_slice(id));
        }
        whole
    }

    /// Returns bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(&mut self.rest).freeze()
    }

    /// Returns the identifier of the last whole event.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last.as_ref()
    }
}

/// Returns the last one of whole events.
fn last_event(whole: &[u8]) -> Option<&[u8]> {
    let events = whole.strip_suffix(END)?;
    let start = events.windows(END.len()).rposition(|window| window == END);
    Some(&events[start.map_or(0, |at| at + END.len())..])
}
