//! Branches in force, and the revisions that were refused.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    str,
};

use bytes::Bytes;
use conf::{check, tree};
use wire::{host, sync};
use xxhash_rust::xxh3;

use crate::limit;

/// What became of a branch revision.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// It is in force now.
    Accepted,
    /// It is not newer than the one in force, or it was refused and reported before.
    Known,
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

/// A refused revision. The hash tells the text apart from another one that a faulty peer
/// sends under the same revision, which must not block the valid text.
#[derive(Debug, PartialEq, Eq)]
struct Refusal {
    name: Bytes,
    revision: u64,
    hash: u64,
}

/// The branches in force and the revisions refused.
#[derive(Debug, Default)]
pub(crate) struct Store {
    held: BTreeMap<Bytes, sync::Branch>,
    parsed: BTreeMap<Bytes, tree::Branch>,
    hosts: Vec<host::Record>,
    digest: sync::Digest,
    /// Hash of `digest` as of the last `rehash`.
    hash: u64,
    total_bytes: usize,
    refused: VecDeque<Refusal>,
    /// Index and names of the latest reading of the service.
    listing: (u64, BTreeSet<Bytes>),
}

impl Store {
    /// Applies a branch if it is valid and newer than the one in force.
    pub(crate) fn accept(&mut self, source: Source, branch: sync::Branch) -> Verdict {
        let held = self.held.get(&branch.name);
        if held.is_some_and(|held| held.revision >= branch.revision) {
            return Verdict::Known;
        }
        let refusal = Refusal {
            name: truncate(&branch.name),
            revision: branch.revision,
            hash: xxh3::xxh3_64(&branch.text),
        };
        // Lack of room may pass, so a refusal for it is reported once but checked again.
        let room = self.check_room(&branch);
        if room.is_ok() && self.refused.contains(&refusal) {
            return Verdict::Known;
        }
        match room.and_then(|()| self.apply(source, branch)) {
            Ok(()) => Verdict::Accepted,
            Err(_) if self.refused.contains(&refusal) => Verdict::Known,
            Err(errors) => {
                if self.refused.len() >= limit::MAX_REFUSED {
                    self.refused.pop_front();
                }
                self.refused.push_back(refusal);
                Verdict::Refused(errors)
            }
        }
    }

    fn check_room(&self, branch: &sync::Branch) -> Result<(), Vec<check::Error>> {
        let size = branch.text.len();
        let held = self.held.get(&branch.name);
        let total = self.total_bytes - held.map_or(0, |held| held.text.len()) + size;
        let longest = match branch.name == sync::HOSTS_BRANCH {
            true => limit::MAX_HOSTS_BYTES,
            false => limit::MAX_BRANCH_BYTES,
        };
        let allowed = if size > longest {
            format!("at most {longest} bytes")
        } else if total > limit::MAX_TOTAL_BYTES {
            format!("at most {} bytes in all branches", limit::MAX_TOTAL_BYTES)
        } else if held.is_none() && self.held.len() >= limit::MAX_BRANCHES {
            format!("at most {} branches, deleted ones included", limit::MAX_BRANCHES)
        } else {
            return Ok(());
        };
        Err(vec![error(&branch.name, &format!("{size} bytes"), &allowed)])
    }

    fn apply(&mut self, source: Source, branch: sync::Branch) -> Result<(), Vec<check::Error>> {
        let is_hosts = branch.name == sync::HOSTS_BRANCH;
        let name_allowed = match source {
            Source::Hosts => is_hosts,
            Source::Service => is_branch_name(&branch.name),
            Source::Peer => is_hosts || is_branch_name(&branch.name),
        };
        if !name_allowed {
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
        if let Some(old) = self.held.insert(branch.name.clone(), branch) {
            self.total_bytes -= old.text.len();
        }
        Ok(())
    }

    /// Remembers a complete reading of the service at `index`, unless a later one is known.
    ///
    /// A reading without any branch is ignored, since it is more likely a wrong prefix or a
    /// service that lost its data than the deletion of everything.
    pub(crate) fn note_listing(&mut self, listed: &[sync::Branch], index: u64) {
        if listed.is_empty() || listed.len() > limit::MAX_BRANCHES || index < self.listing.0 {
            return;
        }
        self.listing = (index, listed.iter().map(|branch| truncate(&branch.name)).collect());
    }

    /// Returns tombstones for branches that the last reading of the service doesn't contain,
    /// whether they were held at that time or came from a peer since.
    ///
    /// A branch newer than the reading is unknown to it rather than deleted. The tombstone
    /// has the reading's index as its revision: it exceeds each revision before the deletion,
    /// and a branch created again later has a higher one.
    pub(crate) fn find_deleted(&self) -> Vec<sync::Branch> {
        let (index, names) = &self.listing;
        let deleted = |held: &&sync::Branch| {
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
        self.held.values().filter(deleted).map(tombstone).collect()
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

    /// Returns the hash of the digest, which each offer is compared with.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Updates the hash after branches were applied.
    pub(crate) fn rehash(&mut self) {
        self.hash = self.digest.hash();
    }

    /// Returns the names and revisions that `digest` has ahead of this process, leaving out
    /// revisions that were refused here.
    pub(crate) fn behind(&self, digest: &sync::Digest) -> Vec<(Bytes, u64)> {
        let refused = |name: &Bytes, revision: u64| {
            self.refused.iter().any(|old| old.revision == revision && old.name == *name)
        };
        let is_ahead = |(name, revision): &&(Bytes, u64)| {
            let held = self.held.get(name);
            held.is_none_or(|held| held.revision < *revision)
                && (is_branch_name(name) || name == sync::HOSTS_BRANCH)
                && !refused(name, *revision)
        };
        let entries = digest.0.iter().take(limit::MAX_BRANCHES + 1);
        entries.filter(is_ahead).take(limit::MAX_WANTED).cloned().collect()
    }

    /// Returns branches that the holder of `digest` lacks, up to the size of one exchange.
    pub(crate) fn ahead(&self, digest: &sync::Digest) -> Vec<sync::Branch> {
        let entries = digest.0.iter().take(limit::MAX_BRANCHES + 1);
        let theirs: HashMap<&Bytes, u64> =
            entries.map(|(name, revision)| (name, *revision)).collect();
        let newer = |held: &&sync::Branch| {
            theirs.get(&held.name).is_none_or(|revision| *revision < held.revision)
        };
        fit(self.held.values().filter(newer))
    }

    /// Returns the named branches, up to the size of one exchange.
    pub(crate) fn named<'a>(&self, names: impl Iterator<Item = &'a Bytes>) -> Vec<sync::Branch> {
        let names: BTreeSet<&Bytes> = names.take(limit::MAX_WANTED).collect();
        fit(names.into_iter().filter_map(|name| self.held.get(name)))
    }
}

/// Returns the first branches that fit in one exchange, at least one if there is one.
fn fit<'a>(branches: impl Iterator<Item = &'a sync::Branch>) -> Vec<sync::Branch> {
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
    let records: Vec<host::Record> = serde_json::from_slice(text)
        .map_err(|why| fail(&why.to_string(), "a JSON array of host records"))?;
    // An empty list would cut this process off from the fleet.
    if records.is_empty() {
        return Err(fail("[]", "at least one host"));
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
