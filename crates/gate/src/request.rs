//! A caller's request as the decisions see it.

use std::time::Duration;

use bytes::Bytes;

/// Prompt and output size that a caller states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    pub prompt: u32,
    /// Most tokens that may be generated.
    pub max_output: u32,
}

/// A request that was read in full.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Identifier that the caller gave.
    pub id: Bytes,
    pub host: Bytes,
    pub path: Bytes,
    pub key: Option<Bytes>,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    pub tokens: Option<Tokens>,
    /// The caller's estimate of the output.
    pub output_hint: Option<u32>,
    /// Hash of host, path, key and body; equal for copies of a request.
    pub fingerprint: u64,
}

impl Request {
    /// Returns the size of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.tokens.map_or(0, |tokens| tokens.prompt)
    }

    /// Returns the expected size of the output.
    pub fn output_tokens(&self) -> u32 {
        let most = self.tokens.map_or(0, |tokens| tokens.max_output);
        self.output_hint.map_or(most, |hint| hint.min(most))
    }
}
