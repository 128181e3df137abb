//! Encoding of replies over a connection, which are compressed. A large value is sent as its difference
//! from one that the receiver has, if there is one.
//!
//! A configuration is one value, which is written as a whole for each change of it. Most of it is as
//! before, and links of small hosts carry a megabyte in a second at best. Records of servers are
//! small, but hundreds of them may change at once.

use std::{
    cell::RefCell,
    collections::VecDeque,
    fmt,
    io::{self, Read, Write},
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use gate::message::{self, StoreEntry};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Size from which a value is compressed by itself, in bytes. Smaller ones fit in datagrams.
const MIN_LARGE_BYTES: usize = 4 << 10;
/// Largest value after decompression, in bytes. The store has values of up to a megabyte.
const MAX_VALUE_BYTES: u64 = 8 << 20;
/// Largest reply after decompression, in bytes: the changes that are kept for peers, and more.
const MAX_REPLY_BYTES: u64 = 16 << 20;
/// Large values that are kept to refer to: the one in force, and two that peers may still have.
const MAX_KEPT_VALUES: usize = 3;
/// Compressed values that are kept, since several peers ask for the same.
const MAX_KEPT_DELTAS: usize = 4;
/// Compression level of the library. Differences are about as small at higher ones.
const LEVEL: i32 = 1;
/// Binary logarithm of the distance up to which parts of a former value are found.
const WINDOW_LOG: u32 = 21;

/// A reply before it is compressed.
#[derive(Debug, Serialize, Deserialize)]
struct Reply {
    token: u64,
    revision: u64,
    age: Duration,
    entries: Option<Vec<Entry>>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    key: Bytes,
    value: Value,
    deleted: bool,
}

#[derive(Debug, Serialize, Deserialize)]
enum Value {
    /// As the store encodes it.
    Encoded(Bytes),
    /// Without the store's encoding.
    Decoded(Bytes),
    /// Compressed, with the hash of the value that it is the difference from.
    Delta { base: Option<u64>, bytes: Bytes },
}

/// Why a reply could not be decoded.
#[derive(Debug)]
pub enum Error {
    /// It refers to a value that is not kept here.
    UnknownBase,
    Decompress(io::Error),
    Malformed(wire::error::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::UnknownBase => f.write_str("the value that a difference refers to is not kept"),
            Error::Decompress(error) => write!(f, "compressed reply: {error}"),
            Error::Malformed(error) => error.fmt(f),
        }
    }
}

/// A value that was compressed before.
struct Kept {
    base: Option<u64>,
    /// The value as the store encodes it. It is compared by its address.
    text: Bytes,
    delta: Bytes,
}

/// Large values that were in force here, which replies refer to.
#[derive(Default)]
pub struct Values {
    /// Each with its hash, the latest last.
    values: RefCell<VecDeque<(u64, Bytes)>>,
    deltas: RefCell<VecDeque<Kept>>,
}

impl Values {
    /// Keeps the values of entries that are now in force, if they are large.
    pub fn keep(&self, entries: &[StoreEntry]) {
        for entry in entries {
            let Some(value) = decode_large(&entry.value) else { continue };
            let hash = xxh3::xxh3_64(&value);
            let mut values = self.values.borrow_mut();
            values.retain(|(kept, _)| *kept != hash);
            if values.len() >= MAX_KEPT_VALUES {
                values.pop_front();
            }
            values.push_back((hash, value.into()));
        }
    }

    /// Returns the hashes of the values that a reply may refer to, the latest first.
    pub fn hashes(&self) -> Vec<u64> {
        self.values.borrow().iter().rev().map(|(hash, _)| *hash).collect()
    }

    /// Encodes a reply for a peer that keeps the values with these hashes.
    ///
    /// # Errors
    ///
    /// Returns the error of the compression.
    pub fn encode(&self, reply: message::Reply, known: &[u64]) -> io::Result<Bytes> {
        let base = known.iter().find_map(|hash| Some((*hash, self.value(*hash)?)));
        let message::Reply { token, revision, age, entries } = reply;
        let encode_entry = |StoreEntry { key, value, deleted }| {
            let value = match self.compress(&value, base.as_ref())? {
                Some(delta) => delta,
                None => decode_small(value),
            };
            Ok(Entry { key, value, deleted })
        };
        let entries = entries.map(|entries| entries.into_iter().map(encode_entry).collect());
        let entries: Option<io::Result<Vec<Entry>>> = entries;
        let entries = entries.transpose()?;
        let encoded = wire::frame::encode(&Reply { token, revision, age, entries });
        Ok(compress(&encoded, &[])?.into())
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// Returns an error if a value refers to one that is not kept, or if the reply is corrupt.
    pub fn decode(&self, reply: &[u8]) -> Result<message::Reply, Error> {
        let encoded = decompress(reply, &[], MAX_REPLY_BYTES).map_err(Error::Decompress)?;
        let decoded = wire::frame::decode(&encoded).map_err(Error::Malformed)?;
        let Reply { token, revision, age, entries } = decoded;
        // Many values that are small when compressed may be large together.
        let mut remaining = MAX_REPLY_BYTES;
        let decode_entry = |Entry { key, value, deleted }| {
            let value = match value {
                Value::Encoded(value) => value,
                Value::Decoded(value) => STANDARD.encode(value).into(),
                Value::Delta { base, bytes } => self.decompress(base, &bytes, &mut remaining)?,
            };
            Ok(StoreEntry { key, value, deleted })
        };
        let entries = entries.map(|entries| entries.into_iter().map(decode_entry).collect());
        Ok(message::Reply { token, revision, age, entries: entries.transpose()? })
    }

    fn value(&self, hash: u64) -> Option<Bytes> {
        let values = self.values.borrow();
        values.iter().find(|(kept, _)| *kept == hash).map(|(_, value)| value.clone())
    }

    /// Returns a large value as its difference from `base`, or compressed.
    fn compress(&self, text: &Bytes, base: Option<&(u64, Bytes)>) -> io::Result<Option<Value>> {
        if text.len() < MIN_LARGE_BYTES {
            return Ok(None);
        }
        let hash = base.map(|(hash, _)| *hash);
        let mut deltas = self.deltas.borrow_mut();
        let is_same = |kept: &&Kept| {
            kept.base == hash
                && kept.text.as_ptr() == text.as_ptr()
                && kept.text.len() == text.len()
        };
        if let Some(kept) = deltas.iter().find(is_same) {
            return Ok(Some(Value::Delta { base: hash, bytes: kept.delta.clone() }));
        }
        let Some(value) = decode_large(text) else { return Ok(None) };
        let prefix = base.map_or(&[][..], |(_, value)| value);
        let delta: Bytes = compress(&value, prefix)?.into();
        if deltas.len() >= MAX_KEPT_DELTAS {
            deltas.pop_front();
        }
        deltas.push_back(Kept { base: hash, text: text.clone(), delta: delta.clone() });
        Ok(Some(Value::Delta { base: hash, bytes: delta }))
    }

    /// Returns a value as the store encodes it, and takes its size from `remaining`.
    fn decompress(
        &self,
        base: Option<u64>,
        bytes: &[u8],
        remaining: &mut u64,
    ) -> Result<Bytes, Error> {
        let base = match base {
            Some(hash) => self.value(hash).ok_or(Error::UnknownBase)?,
            None => Bytes::new(),
        };
        let most = MAX_VALUE_BYTES.min(*remaining);
        let value = decompress(bytes, &base, most).map_err(Error::Decompress)?;
        *remaining -= value.len() as u64;
        Ok(STANDARD.encode(value).into())
    }
}

/// Returns a value of the store without its encoding, if it is large.
fn decode_large(text: &[u8]) -> Option<Vec<u8>> {
    if text.len() < MIN_LARGE_BYTES {
        return None;
    }
    STANDARD.decode(text).ok()
}

/// Returns a value without the store's encoding, if that can be restored from it.
fn decode_small(text: Bytes) -> Value {
    match STANDARD.decode(&text) {
        Ok(value) if STANDARD.encode(&value) == text => Value::Decoded(value.into()),
        _ => Value::Encoded(text),
    }
}

fn compress(value: &[u8], prefix: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::Encoder::with_ref_prefix(Vec::new(), LEVEL, prefix)?;
    encoder.window_log(WINDOW_LOG)?;
    encoder.long_distance_matching(true)?;
    encoder.set_pledged_src_size(Some(value.len() as u64))?;
    encoder.write_all(value)?;
    encoder.finish()
}

fn decompress(bytes: &[u8], prefix: &[u8], max_bytes: u64) -> io::Result<Vec<u8>> {
    let mut decoder = zstd::stream::Decoder::with_ref_prefix(bytes, prefix)?;
    decoder.window_log_max(WINDOW_LOG)?;
    let mut value = Vec::new();
    decoder.take(max_bytes + 1).read_to_end(&mut value)?;
    if value.len() as u64 > max_bytes {
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, "over the size limit"));
    }
    Ok(value)
}
