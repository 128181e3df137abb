//! Software version that began a stream. What two versions write doesn't fit together, so a stream
//! goes on only at backend servers of the version that began it.

use crate::{
    backends::{Backend, Record},
    quota,
};

/// Where a request may run with regard to events that its caller has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// The caller has received no event.
    #[default]
    None,
    /// It isn't known yet where the stream began.
    Unknown,
    /// The service and version that began the stream; see `key`.
    Known(u64),
}

impl Origin {
    /// Returns whether a backend server may run the request.
    pub fn admits(self, backend: &Backend) -> bool {
        match self {
            Origin::None => true,
            Origin::Unknown => false,
            Origin::Known(key) => backend.origin == key,
        }
    }
}

/// Returns the key of a backend server's service and version, the same at all gateways.
pub fn key(record: &Record) -> u64 {
    quota::hash(&[&record.service[..], b"\0", &record.version].concat())
}

/// Returns the key of the run that follows `run`, which has this key, at its address. Its version isn't
/// known before its record has been read, so no other backend server has the key, nor one that
/// follows another run of the same version.
pub fn next_run_key(key: u64, run: u64) -> u64 {
    let (key, run) = (key.to_be_bytes(), run.to_be_bytes());
    quota::hash(&[b"next run\0", &key[..], &run[..]].concat())
}
