//! A small engine: runs every dispatch it receives, keeps streams for resuming, and records.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use wire::{id, request, time::Instant};
use xxhash_rust::xxh3;

/// Text in a body that crashes the engine shortly after its run begins.
pub const POISON: &[u8] = b"poison";
/// Bytes of an response are sent in pieces of this size.
const PIECE_BYTES: usize = 64;

/// One stream of an engine.
#[derive(Clone, Debug)]
pub struct Stream {
    pub head: request::Head,
    pub response: Bytes,
    /// Bytes produced so far.
    pub produced: usize,
    /// Bytes sent to the attached reader; `None` without one.
    pub reader_offset: Option<usize>,
    pub poison: bool,
    pub next: Instant,
    /// Whether the attached reader was told that the response began.
    pub start_reported: bool,
    pub ended: bool,
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

/// Returns the response to a body: a fixed function of it, so that whole and own responses can be
/// told from others.
pub fn response(body: &[u8]) -> Bytes {
    let hash = xxh3::xxh3_64(body);
    let pieces = 1 + (hash % 6) as usize;
    let text = format!("{hash:016x}|");
    text.repeat(pieces * PIECE_BYTES / text.len() + 1).into()
}

impl Engine {
    /// Returns the name of the current run.
    pub fn instance(&self) -> Bytes {
        format!("run-{}", self.instance).into()
    }

    /// Starts a stream for a dispatch.
    pub fn start(&mut self, now: Instant, grant: id::Grant, head: request::Head, body: &[u8]) {
        let poison = body.windows(POISON.len()).any(|part| part == POISON);
        let stream = Stream {
            head,
            response: response(body),
            produced: 0,
            reader_offset: Some(0),
            poison,
            next: now + self.piece_interval,
            start_reported: false,
            ended: false,
        };
        self.streams.insert(grant, stream);
    }

    /// Returns the number of streams that are not at their end.
    pub fn running(&self) -> usize {
        self.streams.values().filter(|stream| !stream.ended).count()
    }

    /// Returns when the next stream makes progress.
    pub fn next_timer(&self) -> Option<Instant> {
        self.streams.values().filter(|stream| !stream.ended).map(|stream| stream.next).min()
    }

    /// Advances streams that are due. Returns whether a poison request crashed the engine.
    pub fn advance(&mut self, now: Instant) -> Option<u64> {
        for stream in self.streams.values_mut() {
            if stream.ended || stream.next > now {
                continue;
            }
            if stream.poison {
                return Some(stream.head.fingerprint);
            }
            stream.produced = (stream.produced + PIECE_BYTES).min(stream.response.len());
            stream.ended = stream.produced == stream.response.len();
            stream.next = now + self.piece_interval;
        }
        None
    }
}
