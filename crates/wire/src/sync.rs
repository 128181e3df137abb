//! Messages that distribute settings, the host list and suspects between processes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::id;

/// Name of the branch that carries the platform's host list as JSON.
pub const HOSTS_BRANCH: &[u8] = b"@hosts";

/// One branch of the settings tree at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Branch {
    pub name: Bytes,
    pub revision: u64,
    pub text: Bytes,
}

/// The revision of each branch that a process has in force, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub Vec<(Bytes, u64)>);

impl Digest {
    /// Returns a hash that differs between digests that differ.
    pub fn hash(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for (name, revision) in &self.0 {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name);
            hasher.update(&revision.to_le_bytes());
        }
        hasher.digest()
    }
}

/// A request that was running when an engine crashed, or whose agent became unreachable while
/// it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    pub fingerprint: u64,
    /// Identifies the crash, so that several reports of one crash count once and crashes of two
    /// engines count twice, in whatever order the reports arrive.
    pub crash: u64,
    /// Whether this crash no longer counts, since the request completed in a later run or turned
    /// out not to have been dispatched to the crashed instance.
    pub cleared: bool,
}

impl Suspect {
    /// Returns the suspect for a granted request that may have been running when its agent became
    /// unreachable or was replaced. The entry and the replacement agent compute the same crash
    /// number from the grant; the complement keeps it distinct from the numbers that agents give
    /// to crashes of engines.
    pub fn from_unreachable_agent(grant: id::Grant, fingerprint: u64) -> Suspect {
        let crash = !grant.process.0.wrapping_add(grant.seq);
        Suspect { fingerprint, crash, cleared: false }
    }
}

/// One message of an exchange; the reply has the same form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    pub process: id::Process,
    pub host: Bytes,
    pub digest: Digest,
    /// Branches that the receiver may not have.
    pub branches: Vec<Branch>,
    /// Names of branches that the sender requests, since the receiver has newer revisions.
    pub wanted: Vec<Bytes>,
    pub suspects: Vec<Suspect>,
}
