//! Streams of dispatched requests and their buffered bytes.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use serde::de::IgnoredAny;
use wire::{event_stream, frame, id, request, time::Instant};

use crate::{Link, limit, rate_limit};

/// Bytes buffered for one stream. Of a longer one only the end can be replayed.
const MAX_STREAM_BYTES: usize = 4 << 20;
/// Bytes buffered for all streams: a quarter of the 128 MB memory budget of a process.
const MAX_TOTAL_BYTES: usize = 32 << 20;
/// Most finished streams kept, with or without buffered bytes.
const MAX_FINISHED: usize = 16_384;
/// Other requests with the same idempotency key that may read a stream.
const MAX_ALIASES: usize = 16;
/// Readers of one stream.
const MAX_READERS: usize = 16;

const JSON: &[u8] = b"application/json";
/// Data of the last event of a chat stream.
const LAST_CHAT_EVENT: &[u8] = b"[DONE]";
/// Bytes kept to recognise the last event, which its line ends follow.
const TAIL_BYTES: usize = 16;

/// Buffered bytes of one stream.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    /// Offset of the first buffered byte.
    start_offset: u64,
    bytes: Vec<u8>,
    hasher: crc32fast::Hasher,
    scanner: event_stream::Scanner,
    /// The last bytes, which stay when the buffer is dropped.
    tail: Vec<u8>,
}

impl Buffer {
    /// Adds bytes and returns the number of events that they complete.
    fn push(&mut self, bytes: &[u8]) -> u32 {
        self.hasher.update(bytes);
        let events = self.scanner.scan(bytes).events;
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(TAIL_BYTES)..]);
        self.tail.drain(..self.tail.len().saturating_sub(TAIL_BYTES));
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() > MAX_STREAM_BYTES {
            self.drop_front(self.bytes.len() - MAX_STREAM_BYTES / 2);
        }
        events
    }

    fn drop_front(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.start_offset += count as u64;
    }

    pub(crate) fn start_offset(&self) -> u64 {
        self.start_offset
    }

    /// Returns the length of the stream so far, with the bytes dropped from the buffer.
    pub(crate) fn length(&self) -> u64 {
        self.start_offset + self.bytes.len() as u64
    }

    pub(crate) fn crc32(&self) -> u32 {
        self.hasher.clone().finalize()
    }

    /// Returns whether the last event of a chat stream was received.
    fn has_last_chat_event(&self) -> bool {
        self.tail.trim_ascii_end().ends_with(LAST_CHAT_EVENT)
    }

    /// Returns whether the bytes are a complete JSON text, as far as they are still buffered.
    fn is_complete_json(&self) -> bool {
        self.start_offset > 0 || serde_json::from_slice::<IgnoredAny>(&self.bytes).is_ok()
    }

    /// Returns a copy of the bytes from an offset on, which must not be below `start_offset`.
    pub(crate) fn copy_from(&self, offset: u64) -> Bytes {
        let start = (offset - self.start_offset).min(self.bytes.len() as u64) as usize;
        Bytes::copy_from_slice(&self.bytes[start..])
    }
}

/// A link to which the frames of a stream are sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reader {
    pub(crate) link: Link,
    pub(crate) request: id::Request,
    /// Offset of the next byte to send.
    pub(crate) offset: u64,
}

/// Attempts to resume a stream whose connection was lost or timed out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Resume {
    pub(crate) since: Instant,
    pub(crate) attempts: u32,
    /// When the next attempt is due; `None` while one is in progress.
    pub(crate) next_attempt: Option<Instant>,
    pub(crate) connected: bool,
}

/// The stream of a dispatched or adopted request.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) owner: id::Request,
    pub(crate) aliases: VecDeque<id::Request>,
    pub(crate) kind: request::Kind,
    pub(crate) fingerprint: u64,
    /// Sequence number of the idempotency key.
    pub(crate) key_seq: Option<u64>,
    /// Whether another agent process dispatched it.
    pub(crate) adopted: bool,
    pub(crate) exclusive: bool,
    pub(crate) slot: limit::Slot,
    /// Permit for the request, if the backend server had a rate limit.
    pub(crate) permit: Option<rate_limit::Permit>,
    /// Instance of the backend server: the one last seen at the dispatch, then the one that sent
    /// the start of the response.
    pub(crate) instance: Option<Bytes>,
    /// Identifier of the crash that was counted against the request.
    pub(crate) counted_crash: Option<u64>,
    pub(crate) dispatched_at: Instant,
    /// Prompt tokens in the engine at dispatch, those of this request included.
    pub(crate) tokens_at_dispatch: u64,
    /// Estimated output tokens.
    pub(crate) output_tokens: u32,
    /// When the response began.
    pub(crate) first_byte_at: Option<Instant>,
    /// Status and content type of the response.
    pub(crate) response_head: Option<(u16, Bytes)>,
    pub(crate) buffer: Buffer,
    /// Body of the last frame and when it was set. A stream is open until then.
    pub(crate) end: Option<(Instant, frame::Body)>,
    pub(crate) readers: Vec<Reader>,
    pub(crate) orphan_since: Option<Instant>,
    pub(crate) last_progress: Instant,
    /// Time allowed without any message before the response begins.
    pub(crate) first_byte_timeout: Duration,
    pub(crate) resume: Option<Resume>,
    /// Time for which its timer is armed.
    pub(crate) armed_for: Instant,
}

/// Time limits of streams, from the settings of the pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) retention: Duration,
    pub(crate) orphan_ttl: Duration,
    pub(crate) resume_limit: Duration,
}

impl Stream {
    /// Returns whether the content is complete where the body ends. The end of a body that is not
    /// framed may be that of the backend server, so the content has to show it where it can.
    pub(crate) fn is_complete(&self, is_framed: bool) -> bool {
        let Some((status, content_type)) = &self.response_head else { return is_framed };
        let is_chat = self.kind == request::Kind::Model && (200..300).contains(status);
        if event_stream::is_event_stream(content_type) {
            let has_end = match is_chat {
                true => self.buffer.has_last_chat_event(),
                false => is_framed || self.buffer.length() > 0,
            };
            return has_end && !self.buffer.scanner.is_inside_event();
        }
        is_framed || !is_chat || &content_type[..] != JSON || self.buffer.is_complete_json()
    }

    /// Returns whether the end of the body is that of the response, as its framing or its content
    /// shows, and not only that of its connection.
    pub(crate) fn has_own_end(&self, is_framed: bool) -> bool {
        let Some((status, content_type)) = &self.response_head else { return is_framed };
        let is_chat = self.kind == request::Kind::Model && (200..300).contains(status);
        let shows_end = event_stream::is_event_stream(content_type) || &content_type[..] == JSON;
        is_framed || is_chat && shows_end
    }

    /// Returns whether a request may read this stream.
    pub(crate) fn may_read(&self, request: id::Request) -> bool {
        self.owner == request || self.aliases.contains(&request)
    }

    pub(crate) fn add_alias(&mut self, request: id::Request) {
        if self.may_read(request) {
            return;
        }
        if self.aliases.len() == MAX_ALIASES {
            self.aliases.pop_front();
        }
        self.aliases.push_back(request);
    }

    /// Adds a reader and returns the oldest one if that is evicted for it.
    pub(crate) fn add_reader(&mut self, reader: Reader) -> Option<Reader> {
        self.orphan_since = None;
        let evicted = (self.readers.len() == MAX_READERS).then(|| self.readers.remove(0));
        self.readers.push(reader);
        evicted
    }

    pub(crate) fn orphan_expires_at(&self, bounds: Bounds) -> Option<Instant> {
        self.orphan_since.map(|since| since + bounds.orphan_ttl)
    }

    /// Returns when the backend server times out unless it sends more.
    pub(crate) fn times_out_at(&self, bounds: Bounds) -> Instant {
        match self.response_head {
            Some(_) => self.last_progress + bounds.resume_limit,
            None => self.last_progress + self.first_byte_timeout.max(bounds.resume_limit),
        }
    }

    /// Returns when [`Machine::check_stream`](crate::Machine::check_stream) is due.
    pub(crate) fn due_at(&self, bounds: Bounds) -> Instant {
        if let Some((at, _)) = &self.end {
            return *at + bounds.retention;
        }
        let wait = match self.resume {
            Some(resume) if !resume.connected => {
                let limit = resume.since + bounds.resume_limit;
                resume.next_attempt.map_or(limit, |at| at.min(limit))
            }
            _ => self.times_out_at(bounds),
        };
        self.orphan_expires_at(bounds).map_or(wait, |orphan| orphan.min(wait))
    }
}

/// All streams by their grant.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    map: HashMap<id::Grant, Stream>,
    open: BTreeSet<id::Grant>,
    /// Finished streams, oldest first. Some have been removed from `map` already.
    finished: VecDeque<id::Grant>,
    buffered_bytes: usize,
}

impl Streams {
    pub(crate) fn insert(&mut self, grant: id::Grant, stream: Stream) {
        self.open.insert(grant);
        self.map.insert(grant, stream);
    }

    pub(crate) fn get(&self, grant: id::Grant) -> Option<&Stream> {
        self.map.get(&grant)
    }

    pub(crate) fn get_mut(&mut self, grant: id::Grant) -> Option<&mut Stream> {
        self.map.get_mut(&grant)
    }

    /// Returns a stream that has no last frame yet.
    pub(crate) fn open_mut(&mut self, grant: id::Grant) -> Option<&mut Stream> {
        self.map.get_mut(&grant).filter(|stream| stream.end.is_none())
    }

    /// Returns the grants of streams that have no last frame yet.
    pub(crate) fn open(&self) -> &BTreeSet<id::Grant> {
        &self.open
    }

    /// Buffers received bytes. If the buffers exceed their total limit and no finished stream can
    /// be discarded, the whole buffer of this stream is dropped.
    /// Appends bytes of a response and returns whether they are progress: a complete event, or any
    /// byte of a response without events.
    pub(crate) fn append(&mut self, grant: id::Grant, bytes: &[u8]) -> bool {
        let Some(stream) = self.map.get_mut(&grant) else { return false };
        self.buffered_bytes -= stream.buffer.bytes.len();
        let events = stream.buffer.push(bytes);
        let has_events = stream
            .response_head
            .as_ref()
            .is_some_and(|(_, content_type)| event_stream::is_event_stream(content_type));
        if self.buffered_bytes + stream.buffer.bytes.len() > MAX_TOTAL_BYTES
            && self.finished.is_empty()
        {
            stream.buffer.drop_front(stream.buffer.bytes.len());
        }
        self.buffered_bytes += stream.buffer.bytes.len();
        events > 0 || !has_events
    }

    pub(crate) fn finish(&mut self, grant: id::Grant) {
        if self.open.remove(&grant) {
            self.finished.push_back(grant);
            if let Some(stream) = self.map.get_mut(&grant) {
                stream.buffer.bytes.shrink_to_fit();
            }
        }
    }

    /// Returns the oldest finished stream if there are too many of them or too many buffered bytes.
    pub(crate) fn oldest_to_discard(&self) -> Option<id::Grant> {
        let over_limit =
            self.buffered_bytes > MAX_TOTAL_BYTES || self.finished.len() > MAX_FINISHED;
        if over_limit { self.finished.front().copied() } else { None }
    }

    /// Removes a finished stream.
    pub(crate) fn remove(&mut self, grant: id::Grant) -> Option<Stream> {
        let stream = self.map.remove(&grant)?;
        self.buffered_bytes -= stream.buffer.bytes.len();
        while self.finished.front().is_some_and(|grant| !self.map.contains_key(grant)) {
            self.finished.pop_front();
        }
        Some(stream)
    }
}
