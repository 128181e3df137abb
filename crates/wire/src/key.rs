//! Idempotency keys, which agents issue.

use std::{fmt, str};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id;

/// An idempotency key. It names the one agent process that may run a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key {
    pub host: Bytes,
    pub process: id::Process,
    pub seq: u64,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let host = String::from_utf8_lossy(&self.host);
        write!(f, "{host}.{:016x}.{:x}", self.process.0, self.seq)
    }
}

/// The error for a text that does not have the form of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Invalid;

impl str::FromStr for Key {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Key, Invalid> {
        let mut parts = text.rsplitn(3, '.');
        let seq = parts.next().ok_or(Invalid)?;
        let process = parts.next().ok_or(Invalid)?;
        let host = parts.next().filter(|host| !host.is_empty()).ok_or(Invalid)?;
        let seq = u64::from_str_radix(seq, 16).map_err(|_| Invalid)?;
        let process = u64::from_str_radix(process, 16).map_err(|_| Invalid)?;
        let host = Bytes::copy_from_slice(host.as_bytes());
        Ok(Key { host, process: id::Process(process), seq })
    }
}
