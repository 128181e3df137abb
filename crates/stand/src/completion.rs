//! Generated chat completions. A response depends only on the request body, so that a checker
//! can detect truncated responses and responses to other requests.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use xxhash_rust::xxh3;

use crate::cache::Prompt;

/// Content type of a streamed response.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Content type of a response in one piece.
pub const JSON: &str = "application/json";
/// Last event of a streamed response.
pub const DONE: &[u8] = b"data: [DONE]\n\n";
/// A prompt that contains this text crashes the engine.
pub const POISON: &str = "crash-the-engine";

const DEFAULT_MAX_TOKENS: u32 = 16;
const BYTES_PER_TOKEN: usize = 4;
/// Prompts with the same first `PREFIX_BYTES` bytes share a cached prefix.
const PREFIX_BYTES: usize = 2048;

#[derive(Deserialize)]
struct Chat {
    #[serde(default)]
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

impl Message {
    /// Returns the text of the content, which is a string or a list of parts.
    fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            Value::Array(parts) => parts.iter().filter_map(|part| part["text"].as_str()).collect(),
            _ => String::new(),
        }
    }
}

/// A parsed chat-completions request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Hash of the request body.
    pub fingerprint: u64,
    pub model: String,
    pub prompt: Prompt,
    pub output_tokens: u32,
    pub stream: bool,
    pub poison: bool,
}

impl Request {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns the parser's message if the body is not a valid request.
    pub fn parse(body: &[u8]) -> Result<Request, String> {
        let chat: Chat = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let text: Vec<String> = chat.messages.iter().map(Message::text).collect();
        let text = text.join("\n");
        let full = xxh3::xxh3_64(text.as_bytes());
        let prefix_text = text.as_bytes().get(..PREFIX_BYTES);
        let token_count =
            |bytes: usize| u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(1);
        Ok(Request {
            fingerprint: xxh3::xxh3_64(body),
            model: chat.model,
            prompt: Prompt {
                tokens: token_count(text.len()).max(1),
                prefix_tokens: prefix_text.map_or(0, |prefix_text| token_count(prefix_text.len())),
                prefix: prefix_text.map_or(full, xxh3::xxh3_64),
                full,
            },
            output_tokens: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
            stream: chat.stream,
            poison: text.contains(POISON),
        })
    }

    /// Returns the content type of the response.
    pub fn content_type(&self) -> &'static str {
        if self.stream { EVENT_STREAM } else { JSON }
    }

    /// Returns token `index` of the response.
    pub fn token(&self, index: u32) -> String {
        let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), self.fingerprint);
        format!("{:06x} ", hash & 0xff_ffff)
    }

    /// Returns the event that carries token `index` of a streamed response.
    pub fn event(&self, index: u32) -> Bytes {
        let finish = (index + 1 == self.output_tokens).then_some("length");
        let choice = json!({
            "index": 0,
            "delta": {"content": self.token(index)},
            "finish_reason": finish,
        });
        format!("data: {}\n\n", self.wrap_choice("chat.completion.chunk", choice)).into()
    }

    /// Returns the whole response body.
    pub fn response_body(&self) -> Bytes {
        if self.stream {
            let events = (0..self.output_tokens).flat_map(|index| self.event(index));
            return events.chain(DONE.iter().copied()).collect();
        }
        let text: String = (0..self.output_tokens).map(|index| self.token(index)).collect();
        let choice = json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "length",
        });
        let mut value = self.wrap_choice("chat.completion", choice);
        value["usage"] = json!({
            "prompt_tokens": self.prompt.tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": self.prompt.tokens.saturating_add(self.output_tokens),
        });
        value.to_string().into()
    }

    fn wrap_choice(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": format!("chatcmpl-{:016x}", self.fingerprint),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }
}
