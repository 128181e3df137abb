//! Digests in brief: a hash in place of the revisions, which are equal most of the time.

use bytes::Bytes;
use wire::sync;

/// Reserved name whose revision is the hash of the sender's whole digest. No branch has it,
/// since names of branches don't start with '@'.
const HASH: &[u8] = b"@hash";

/// Returns the digest in brief; of its revisions it states those of `names` only.
pub(crate) fn of(digest: &sync::Digest, names: &[Bytes]) -> sync::Digest {
    let mut entries = vec![(Bytes::from_static(HASH), digest.hash())];
    let listed = digest.0.iter().filter(|(name, _)| names.contains(name));
    entries.extend(listed.cloned());
    sync::Digest(entries)
}

/// Returns the hash of the sender's whole digest and the revisions that the digest states, or
/// `None` if it is not in brief.
pub(crate) fn split(digest: &sync::Digest) -> Option<(u64, sync::Digest)> {
    let ((name, hash), listed) = digest.0.split_first()?;
    (name == HASH).then(|| (*hash, sync::Digest(listed.to_vec())))
}
