//! Digests that list some branches only.
//!
//! A full digest grows with the number of branches, and each process sends one or more per
//! second. A summary has the hash of the full digest as its last entry, under a reserved
//! name, after the entries that matter to the message. Equal hashes settle an exchange.

use bytes::Bytes;
use wire::sync;

/// Name of the entry that carries the hash.
const NAME: &[u8] = b"@digest";

/// Returns a summary of `digest`, whose hash is `hash`, that lists the branches in `names`.
pub(crate) fn of(digest: &sync::Digest, hash: u64, names: &[Bytes]) -> sync::Digest {
    let listed = |entry: &&(Bytes, u64)| names.contains(&entry.0);
    let mut entries: Vec<(Bytes, u64)> = match names {
        [] => Vec::new(),
        _ => digest.0.iter().filter(listed).cloned().collect(),
    };
    entries.push((Bytes::from_static(NAME), hash));
    sync::Digest(entries)
}

/// Returns the hash of a summary, `None` for a full digest.
pub(crate) fn hash(digest: &sync::Digest) -> Option<u64> {
    digest.0.last().filter(|(name, _)| name == NAME).map(|(_, hash)| *hash)
}
