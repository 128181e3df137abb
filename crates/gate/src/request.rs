//! Requests of callers.

use std::time::Duration;

use bytes::Bytes;

/// Prompt size and output limit stated by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    pub prompt: u32,
    /// Most output tokens that may be generated.
    pub max_output: u32,
}

/// A stream that a caller takes up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resumption {
    /// Identifier of the caller's attempt that brought the first event, if the caller states it.
    pub first_attempt: Option<Bytes>,
}

/// A request that was read completely.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Identifier set by the caller.
    pub id: Bytes,
    pub host: Bytes,
    pub path: Bytes,
    pub api_key: Option<Bytes>,
    /// Time that the caller still allows for the response.
    pub deadline: Option<Duration>,
    pub tokens: Option<Tokens>,
    /// Output tokens that the caller expects.
    pub output_hint: Option<u32>,
    /// Set if the caller has received a part of the stream.
    pub resumption: Option<Resumption>,
    /// Identifiers of the parts of the prompt that other requests may share, in their order.
    pub parts: Vec<Bytes>,
    /// Hash of path, query, API key and body; equal for copies of a request.
    pub fingerprint: u64,
}

impl Request {
    /// Returns the identifiers of the shared parts of the prompt for a log line.
    pub fn parts_text(&self) -> String {
        String::from_utf8_lossy(&self.parts.join(&b","[..])).into_owned()
    }

    /// Returns the prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.tokens.map_or(0, |tokens| tokens.prompt)
    }

    /// Returns the expected output tokens.
    pub fn output_tokens(&self) -> u32 {
        let most = self.tokens.map_or(0, |tokens| tokens.max_output);
        self.output_hint.map_or(most, |hint| hint.min(most))
    }
}
