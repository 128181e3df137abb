//! How the end of a received response body is known.

use hyper::{HeaderMap, body, body::Body, header};

/// The framing of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has a stated length, or the response has none.
    Length,
    /// The body ends with its last chunk.
    Chunks,
    /// The body ends when the connection is closed, as it also is if the server crashes.
    Close,
}

impl Framing {
    /// Returns the framing of a response whose body has not been read yet.
    pub fn of(headers: &HeaderMap, body: &body::Incoming) -> Framing {
        if body.size_hint().exact().is_some() {
            return Framing::Length;
        }
        let coding = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
        let last = coding.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        match last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            true => Framing::Chunks,
            false => Framing::Close,
        }
    }

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Close => "close",
        }
    }
}
