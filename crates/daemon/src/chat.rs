//! Reads from a chat-completions body what scheduling needs.

use std::borrow::Cow;

use serde::Deserialize;
use xxhash_rust::xxh3;

/// Output tokens assumed if the caller sets no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 512;
/// Maximum number of bytes of each text that enter the prefix hash, which covers the messages up
/// to the first user message.
const PREFIX_BYTES: usize = 2048;
/// Bytes of text per token, on average over the tokenizers in use.
const BYTES_PER_TOKEN: usize = 4;

/// Summary of a request body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    pub model: String,
    pub stream: bool,
    /// Estimate from the length of the text.
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub prefix_hash: u64,
}

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(borrow)]
    messages: Vec<Message<'a>>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow, default)]
    content: Option<Content<'a>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content<'a> {
    #[serde(borrow)]
    Text(Cow<'a, str>),
    #[serde(borrow)]
    Parts(Vec<Part<'a>>),
}

#[derive(Deserialize)]
struct Part<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}

impl Content<'_> {
    fn texts(&self) -> Vec<&str> {
        match self {
            Content::Text(text) => vec![text],
            Content::Parts(parts) => parts.iter().filter_map(|p| p.text.as_deref()).collect(),
        }
    }
}

/// Returns the summary of a chat-completions body.
///
/// # Errors
///
/// Returns an error that names the fault and its position if the body is not valid.
pub fn summarise(body: &[u8]) -> Result<Summary, serde_json::Error> {
    let body: Body<'_> = serde_json::from_slice(body)?;
    let mut bytes = 0;
    let mut prefix = xxh3::Xxh3::new();
    let mut has_user_message = false;
    for message in &body.messages {
        let texts = message.content.as_ref().map(Content::texts).unwrap_or_default();
        for text in texts {
            bytes += text.len();
            if !has_user_message {
                let end = text.len().min(PREFIX_BYTES);
                prefix.update(&text.as_bytes()[..end]);
            }
        }
        has_user_message |= message.role == "user";
    }
    Ok(Summary {
        model: body.model.into_owned(),
        stream: body.stream.unwrap_or(false),
        prompt_tokens: (bytes / BYTES_PER_TOKEN).clamp(1, u32::MAX as usize) as u32,
        output_tokens: body
            .max_completion_tokens
            .or(body.max_tokens)
            .unwrap_or(DEFAULT_OUTPUT_TOKENS),
        prefix_hash: prefix.digest(),
    })
}
