//! Branches in force, and the revisions that were refused.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    str,
};

use bytes::Bytes;
use conf::{check, tree};
use serde_json::value::RawValue;
use wire::{host, sync};
use xxhash_rust::xxh3;

use crate::limit;

/// What was decided about a branch revision.
#[derive(Debug)]
pub(crate) enum Decision {
    /// It is in force now.
    Accepted,
    /// It is not newer than the one in force, or was refused and reported before.
    Ignored,
    /// It was refused for the first time.
    Refused(Vec<check::Error>),
}

/// Where a branch came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Service,
    Hosts,
    Peer,
}

/// A refused revision. The hash of the text is part of it because a faulty peer may send a bad
/// text under the same revision, which must not block the valid one.
#[derive(Debug, PartialEq, Eq)]
struct Refusal {
    name: Bytes,
    revision: u64,
    hash: u64,
}

/// The branches in force and the revisions refused.
#[derive(Debug, Default)]
pub(crate) struct Store {
    branches: BTreeMap<Bytes, sync::Branch>,
    parsed: BTreeMap<Bytes, tree::Branch>,
    hosts: Vec<host::Record>,
    digest: sync::Digest,
    /// Hash of `digest` as of the last `rehash`.
    hash: u64,
    total_bytes: usize,
    refused: VecDeque<Refusal>,
    /// Index and branch names of the latest read of the service.
    listing: (u64, BTreeSet<Bytes>),
}

impl Store {
    /// Applies a branch if it is valid and newer than the one in force.
    pub(crate) fn accept(&mut self, source: Source, branch: sync::Branch) -> Decision {
        let held = self.branches.get(&branch.name);
        if held.is_some_and(|held| held.revision >= branch.revision) {
            return Decision::Ignored;
        }
        let refusal = Refusal {
            name: truncate(&branch.name),
            revision: branch.revision,
            hash: xxh3::xxh3_64(&branch.text),
        };
        // A branch that exceeds a limit may fit later, so it is reported once but checked each
        // time.
        let limit_check = self.check_limits(&branch);
        if limit_check.is_ok() && self.refused.contains(&refusal) {
            return Decision::Ignored;
        }
        match limit_check.and_then(|()| self.apply(source, branch)) {
            Ok(()) => Decision::Accepted,
            Err(_) if self.refused.contains(&refusal) => Decision::Ignored,
            Err(errors) => {
                if self.refused.len() >= limit::MAX_REFUSED {
                    self.refused.pop_front();
                }
                self.refused.push_back(refusal);
                Decision::Refused(errors)
            }
        }
    }

    fn check_limits(&self, branch: &sync::Branch) -> Result<(), Vec<check::Error>> {
        let size = branch.text.len();
        let held = self.branches.get(&branch.name);
        let total = self.total_bytes - held.map_or(0, |held| held.text.len()) + size;
        let max_bytes = match branch.name == sync::HOSTS_BRANCH {
            true => limit::MAX_HOSTS_BYTES,
            false => limit::MAX_BRANCH_BYTES,
        };
        let allowed = if size > max_bytes {
            format!("at most {max_bytes} bytes")
        } else if total > limit::MAX_TOTAL_BYTES {
            format!("at most {} bytes in all branches", limit::MAX_TOTAL_BYTES)
        } else if held.is_none() && self.branches.len() >= limit::MAX_BRANCHES {
            format!("at most {} branches, deleted ones included", limit::MAX_BRANCHES)
        } else {
            return Ok(());
        };
        Err(vec![error(&branch.name, &format!("{size} bytes"), &allowed)])
    }

    fn apply(&mut self, source: Source, branch: sync::Branch) -> Result<(), Vec<check::Error>> {
        let is_hosts = branch.name == sync::HOSTS_BRANCH;
        let is_name_allowed = match source {
            Source::Hosts => is_hosts,
            Source::Service => is_branch_name(&branch.name),
            Source::Peer => is_hosts || is_branch_name(&branch.name),
        };
        if !is_name_allowed {
            let allowed = "a name of 1 to 256 bytes of UTF-8 that doesn't start with '@'";
            return Err(vec![error(&branch.name, "", allowed)]);
        }
        if is_hosts {
            self.hosts = parse_hosts(&branch.text)?;
        } else {
            let parsed = parse_branch(&branch)?;
            self.parsed.insert(branch.name.clone(), parsed);
        }
        let entry = (branch.name.clone(), branch.revision);
        match self.digest.0.binary_search_by(|(name, _)| name.cmp(&branch.name)) {
            Ok(at) => self.digest.0[at] = entry,
            Err(at) => self.digest.0.insert(at, entry),
        }
        self.total_bytes += branch.text.len();
        if let Some(old) = self.branches.insert(branch.name.clone(), branch) {
            self.total_bytes -= old.text.len();
        }
        Ok(())
    }

    /// Records the names of all branches that the service had at `index`, unless a later read was
    /// recorded.
    ///
    /// A read without any branch is ignored, since it is more likely due to a wrong prefix or a
    /// service that lost its data than to the deletion of everything.
    pub(crate) fn record_listing(&mut self, listed: &[sync::Branch], index: u64) {
        if listed.is_empty() || listed.len() > limit::MAX_BRANCHES || index < self.listing.0 {
            return;
        }
        self.listing = (index, listed.iter().map(|branch| truncate(&branch.name)).collect());
    }

    /// Returns tombstones for branches that the last recorded read of the service doesn't
    /// contain, whether they were in force at that time or came from a peer since.
    ///
    /// A branch with a revision above the read's index was written after the read, not deleted
    /// before it. The tombstone has the index as its revision: it exceeds each revision before
    /// the deletion, and a branch created again later has a higher one.
    pub(crate) fn find_deleted(&self) -> Vec<sync::Branch> {
        let (index, names) = &self.listing;
        let is_deleted = |held: &&sync::Branch| {
            held.name != sync::HOSTS_BRANCH
                && !held.text.is_empty()
                && held.revision < *index
                && !names.contains(&held.name)
        };
        let tombstone = |held: &sync::Branch| sync::Branch {
            name: held.name.clone(),
            revision: *index,
            text: Bytes::new(),
        };
        self.branches.values().filter(is_deleted).map(tombstone).collect()
    }

    /// Returns the merged tree and the errors of the merge.
    pub(crate) fn merge(&self) -> (tree::Tree, Vec<check::Error>) {
        tree::merge(&self.parsed)
    }

    /// Returns the host list in force, empty if there is none.
    pub(crate) fn hosts(&self) -> &[host::Record] {
        &self.hosts
    }

    /// Returns whether a branch other than the host list is in force.
    pub(crate) fn has_settings(&self) -> bool {
        !self.parsed.is_empty()
    }

    pub(crate) fn digest(&self) -> &sync::Digest {
        &self.digest
    }

    /// Returns the hash of the digest, with which the hash in each offer is compared.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Updates the hash after branches were applied.
    pub(crate) fn rehash(&mut self) {
        self.hash = self.digest.hash();
    }

    /// Returns the names and revisions in `digest` that are newer than those in force here,
    /// leaving out revisions that were refused.
    pub(crate) fn missing_revisions(&self, digest: &sync::Digest) -> Vec<(Bytes, u64)> {
        let is_refused = |name: &Bytes, revision: u64| {
            self.refused.iter().any(|old| old.revision == revision && old.name == *name)
        };
        let is_missing = |(name, revision): &&(Bytes, u64)| {
            let held = self.branches.get(name);
            held.is_none_or(|held| held.revision < *revision)
                && (is_branch_name(name) || name == sync::HOSTS_BRANCH)
                && !is_refused(name, *revision)
        };
        let entries = digest.0.iter().take(limit::MAX_BRANCHES + 1);
        entries.filter(is_missing).take(limit::MAX_WANTED).cloned().collect()
    }

    /// Returns branches that are newer here than in `digest`, up to the size of one exchange.
    pub(crate) fn newer_branches(&self, digest: &sync::Digest) -> Vec<sync::Branch> {
        let entries = digest.0.iter().take(limit::MAX_BRANCHES + 1);
        let remote: HashMap<&Bytes, u64> =
            entries.map(|(name, revision)| (name, *revision)).collect();
        let is_newer = |held: &&sync::Branch| {
            remote.get(&held.name).is_none_or(|revision| *revision < held.revision)
        };
        take_fitting(self.branches.values().filter(is_newer))
    }

    /// Returns the named branches, up to the size of one exchange.
    pub(crate) fn branches_named<'a>(
        &self,
        names: impl Iterator<Item = &'a Bytes>,
    ) -> Vec<sync::Branch> {
        let names: BTreeSet<&Bytes> = names.take(limit::MAX_WANTED).collect();
        take_fitting(names.into_iter().filter_map(|name| self.branches.get(name)))
    }
}

/// Returns the first branches that fit in one exchange, and the first even if it is too large.
fn take_fitting<'a>(branches: impl Iterator<Item = &'a sync::Branch>) -> Vec<sync::Branch> {
    let mut size = 0;
    let fits = |branch: &&sync::Branch| {
        let is_first = size == 0;
        size += branch.name.len() + branch.text.len();
        is_first || size <= limit::MAX_EXCHANGE_BYTES
    };
    branches.take_while(fits).cloned().collect()
}

fn is_branch_name(name: &[u8]) -> bool {
    (1..=limit::MAX_NAME_BYTES).contains(&name.len())
        && !name.starts_with(b"@")
        && str::from_utf8(name).is_ok()
}

fn parse_branch(branch: &sync::Branch) -> Result<tree::Branch, Vec<check::Error>> {
    let Ok(text) = str::from_utf8(&branch.text) else {
        return Err(vec![error(&branch.name, "", "text in UTF-8")]);
    };
    tree::parse(&String::from_utf8_lossy(&branch.name), text)
}

fn parse_hosts(text: &[u8]) -> Result<Vec<host::Record>, Vec<check::Error>> {
    let fail = |value: &str, allowed: &str| vec![error(sync::HOSTS_BRANCH, value, allowed)];
    let texts: Vec<&RawValue> = serde_json::from_slice(text)
        .map_err(|error| fail(&error.to_string(), "a JSON array of host records"))?;
    let mut records: Vec<host::Record> = Vec::new();
    let mut odd = Vec::new();
    for text in texts {
        match serde_json::from_str(text.get()) {
            Ok(record) => records.push(record),
            Err(error) => odd.push(error.to_string()),
        }
    }
    // An empty list would isolate this process from the fleet.
    if records.is_empty() {
        let value = odd.first().map_or("[]", |error| error);
        return Err(fail(value, "at least one host record"));
    }
    // One odd record must not keep the states of all other hosts from coming into force.
    if let Some(error) = odd.first() {
        tracing::warn!(count = odd.len(), error, "records left out of the host list");
    }
    let mut addresses = BTreeSet::new();
    let mut names = BTreeSet::new();
    let mut errors = Vec::new();
    for record in &records {
        let name = String::from_utf8_lossy(&record.host);
        if !addresses.insert(record.address) {
            errors.extend(fail(&record.address.to_string(), "each address once"));
        }
        if !names.insert((&record.host, record.role == host::Role::Agent)) {
            errors.extend(fail(&name, "each host once in each role"));
        }
    }
    if errors.is_empty() { Ok(records) } else { Err(errors) }
}

fn error(name: &[u8], value: &str, allowed: &str) -> check::Error {
    check::Error {
        file: String::from_utf8_lossy(&truncate(name)).into_owned(),
        section: String::new(),
        key: String::new(),
        value: value.to_owned(),
        allowed: allowed.to_owned(),
    }
}

fn truncate(name: &[u8]) -> Bytes {
    Bytes::copy_from_slice(&name[..name.len().min(limit::MAX_NAME_BYTES)])
}
