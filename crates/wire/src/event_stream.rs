//! Position in a body of type `text/event-stream`.

use std::mem;

/// Content type of event streams.
const CONTENT_TYPE: &[u8] = b"text/event-stream";

/// Returns whether a content type, with or without parameters, is that of event streams.
pub fn is_event_stream(content_type: &[u8]) -> bool {
    let end = content_type.iter().position(|byte| *byte == b';').unwrap_or(content_type.len());
    content_type[..end].trim_ascii().eq_ignore_ascii_case(CONTENT_TYPE)
}

/// Follows a body as its bytes arrive. Lines end with a line feed, a carriage return or both, and
/// events with an empty line.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    in_line: bool,
    /// Whether the event that has not ended yet has a line other than comments.
    has_field: bool,
    /// Whether the last byte was a carriage return, to which a line feed may belong.
    after_return: bool,
    /// Whether the last line was an empty one.
    after_event: bool,
}

/// The complete events in some bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scanned {
    /// Number of bytes up to the end of the last event that ended.
    pub len: usize,
    /// Number of events that ended.
    pub events: u32,
}

impl Scanner {
    /// Reads the next bytes of the body.
    pub fn scan(&mut self, bytes: &[u8]) -> Scanned {
        let mut scanned = Scanned::default();
        for (at, byte) in bytes.iter().enumerate() {
            let after_return = mem::replace(&mut self.after_return, *byte == b'\r');
            match byte {
                b'\n' if after_return && self.after_event => scanned.len = at + 1,
                b'\n' if after_return => {}
                b'\r' | b'\n' => {
                    self.after_event = !mem::take(&mut self.in_line);
                    if self.after_event {
                        scanned.len = at + 1;
                        scanned.events += u32::from(mem::take(&mut self.has_field));
                    }
                }
                _ => {
                    let is_comment = !self.in_line && *byte == b':';
                    self.has_field |= !self.in_line && !is_comment;
                    self.in_line = true;
                    self.after_event = false;
                }
            }
        }
        scanned
    }

    /// Returns whether a body that ends here ends inside an event or inside a line.
    pub fn is_inside_event(&self) -> bool {
        self.in_line || self.has_field
    }
}
