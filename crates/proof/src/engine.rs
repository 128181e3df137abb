//! A simulated engine that runs every dispatch it receives and keeps its streams for resuming.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use wire::{id, request, time::Instant};
use xxhash_rust::xxh3;

/// Text in a request body that crashes the engine shortly after the run starts.
pub const POISON: &[u8] = b"poison";
/// Size of the pieces in which a response is sent.
const PIECE_BYTES: usize = 64;

/// The response stream of one dispatch.
#[derive(Clone, Debug)]
pub struct Stream {
    pub head: request::Head,
    pub response: Bytes,
    /// Bytes produced so far.
    pub produced: usize,
    /// Bytes sent to the attached reader; `None` if no reader is attached.
    pub reader_offset: Option<usize>,
    pub poison: bool,
    pub next_piece_at: Instant,
    /// Whether the start of the response was sent to the attached reader.
    pub start_reported: bool,
    pub ended: bool,
    /// Whether the response is framed. The end of the connection is the end of any other response.
    pub framed: bool,
}

impl Stream {
    /// Returns what the reader observes when its connection is closed.
    pub fn closed(&self) -> agent::Progress {
        match self.start_reported && !self.framed {
            true => agent::Progress::Closed,
            false => agent::Progress::ConnectionLost,
        }
    }
}

/// An engine with its streams.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub instance: u64,
    pub down: bool,
    pub streams: BTreeMap<id::Grant, Stream>,
    /// Time to the first piece and between pieces.
    pub piece_interval: Duration,
}

/// Returns the response to a request body, a stream of events.
///
/// The response depends only on the body, so that the checker detects responses that are
/// incomplete or belong to another request.
pub fn response(body: &[u8]) -> Bytes {
    let hash = xxh3::xxh3_64(body);
    let pieces = 1 + (hash % 6) as usize;
    let text = format!("data: {hash:016x}\n\n");
    (text.repeat(pieces * PIECE_BYTES / text.len() + 1) + "data: [DONE]\n\n").into()
}

impl Engine {
    /// Returns the name of the current instance.
    pub fn instance(&self) -> Bytes {
        format!("run-{}", self.instance).into()
    }

    /// Starts a stream for a dispatch.
    pub fn start(&mut self, now: Instant, grant: id::Grant, head: request::Head, body: &[u8]) {
        let poison = body.windows(POISON.len()).any(|part| part == POISON);
        let stream = Stream {
            // A plain response that is not framed doesn't show whether it is complete.
            framed: head.kind == request::Kind::Service || grant.seq.is_multiple_of(2),
            head,
            response: response(body),
            produced: 0,
            reader_offset: Some(0),
            poison,
            next_piece_at: now + self.piece_interval,
            start_reported: false,
            ended: false,
        };
        self.streams.insert(grant, stream);
    }

    /// Returns the number of streams that have not ended.
    pub fn running(&self) -> usize {
        self.streams.values().filter(|stream| !stream.ended).count()
    }

    /// Returns the time at which the next stream makes progress.
    pub fn next_timer(&self) -> Option<Instant> {
        self.streams
            .values()
            .filter(|stream| !stream.ended)
            .map(|stream| stream.next_piece_at)
            .min()
    }

    /// Advances the streams that are due. Returns the fingerprint of a poison request that
    /// crashes the engine.
    pub fn advance(&mut self, now: Instant) -> Option<u64> {
        for stream in self.streams.values_mut() {
            if stream.ended || stream.next_piece_at > now {
                continue;
            }
            if stream.poison {
                return Some(stream.head.fingerprint);
            }
            stream.produced = (stream.produced + PIECE_BYTES).min(stream.response.len());
            stream.ended = stream.produced == stream.response.len();
            stream.next_piece_at = now + self.piece_interval;
        }
        None
    }
}
