//! Summaries: digests that list some branches only.
//!
//! A full digest grows with the number of branches, and each process sends one or more per
//! second. A summary lists only the entries that the message needs, followed by the hash of the
//! full digest under a reserved name. Processes with equal hashes have the same revisions and
//! exchange nothing more.

use bytes::Bytes;
use wire::sync;

/// Name of the entry that carries the hash.
const HASH_ENTRY: &[u8] = b"@digest";

/// Returns a summary of `digest`, whose hash is `hash`, that lists the branches in `names`.
pub(crate) fn build(digest: &sync::Digest, hash: u64, names: &[Bytes]) -> sync::Digest {
    let is_named = |entry: &&(Bytes, u64)| names.contains(&entry.0);
    let mut entries: Vec<(Bytes, u64)> = match names {
        [] => Vec::new(),
        _ => digest.0.iter().filter(is_named).cloned().collect(),
    };
    entries.push((Bytes::from_static(HASH_ENTRY), hash));
    sync::Digest(entries)
}

/// Returns the hash of a summary, `None` for a full digest.
pub(crate) fn find_hash(digest: &sync::Digest) -> Option<u64> {
    digest.0.last().filter(|(name, _)| name == HASH_ENTRY).map(|(_, hash)| *hash)
}
