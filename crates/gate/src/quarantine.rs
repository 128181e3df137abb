//! Decides which requests are not sent to backend servers, since copies of them or requests with the
//! same prompt part crashed some.
//!
//! An end is counted against a request and all parts that may have caused it. Parts that a backend
//! server went on to answer are acquitted. What stood beside the cause by chance has the same ends
//! only in part, or is acquitted by other requests.

use std::{collections::HashSet, time::Duration};

use cause::{Rule, rule};
use wire::time::Instant;

use crate::{
    late_ends::late_key,
    quota,
    request::Request,
    suspects::{End, RETENTION, Suspects},
};

/// Reason for which a request is not sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Position of the part in the prompt, or `None` for the request as a whole.
    pub part: Option<usize>,
    /// Number of ends of backend servers that count.
    pub ends: u32,
    /// Remaining time of the quarantine.
    pub left: Duration,
}

/// Returns the key under which ends are counted against a part of a prompt.
pub fn part_key(id: &[u8]) -> u64 {
    quota::hash(&[b"part ", id].concat())
}

/// Returns the keys of a request's shared parts.
pub fn part_keys(request: &Request) -> Vec<u64> {
    request.parts.iter().map(|id| part_key(id)).collect()
}

impl Suspects {
    /// Returns the quarantine of a request, if there is one.
    pub fn verdict(&self, now: Instant, request: &Request) -> Option<Verdict> {
        self.verdict_since(now, request, || None)
    }

    /// Returns the quarantine of a request, if there is one. `last_closed` returns when a copy last
    /// ended with a response that is whole unless its backend server ended, which is not known yet.
    pub fn verdict_since(
        &self,
        now: Instant,
        request: &Request,
        last_closed: impl FnOnce() -> Option<Instant>,
    ) -> Option<Verdict> {
        if self.is_empty() {
            return None;
        }
        let parts = part_keys(request);
        let (key, late) = (request.fingerprint, late_key(request.fingerprint));
        let mut own = parts.clone();
        own.extend([key, late]);
        let verdict = self.request_verdict(now, key, &own, last_closed);
        verdict.or_else(|| self.request_verdict(now, late, &own, || None)).or_else(|| {
            parts.iter().enumerate().find_map(|(part, key)| {
                let verdict = self.part_verdict(now, *key, &own)?;
                Some(Verdict { part: Some(part), ..verdict })
            })
        })
    }

    fn request_verdict(
        &self,
        now: Instant,
        key: u64,
        own: &[u64],
        last_closed: impl FnOnce() -> Option<Instant>,
    ) -> Option<Verdict> {
        let left = self.quarantine_left(now, key)?;
        let ends = self.ends(now, key);
        // A request that is known to complete is taken to have done so.
        let last_end = ends.first().map(|end| end.at);
        if self.is_known_to_complete(key) && last_closed() > last_end {
            return None;
        }
        // Two requests that crashed servers together each explain the ends of the other.
        let is_explained = self.explains(now, &ends, own, |others| others.len() > ends.len());
        let total = ends.iter().map(End::counted).sum();
        (!is_explained).then_some(Verdict { part: None, ends: total, left })
    }

    fn part_verdict(&self, now: Instant, key: u64, own: &[u64]) -> Option<Verdict> {
        let ends = self.ends(now, key);
        let rule = Rule::for_part(self.is_known(key));
        let spaced = rule.spaced(ends.iter().map(|end| (end.at, end.counted())));
        let total = spaced.iter().map(|(_, count)| count).sum();
        if total < rule.ends {
            return None;
        }
        let left = RETENTION.saturating_sub(now.since(spaced.last()?.0));
        let is_explained = self.explains(now, &ends, own, |_| true);
        (!is_explained).then_some(Verdict { part: None, ends: total, left })
    }

    /// Returns whether another request or part, not among `own`, explains the ends: those that it
    /// does not have are too few for a quarantine.
    fn explains(
        &self,
        now: Instant,
        ends: &[End],
        own: &[u64],
        may_explain: impl Fn(&[End]) -> bool,
    ) -> bool {
        self.all_ends(now).filter(|(key, _)| !own.contains(key)).any(|(_, others)| {
            let runs: HashSet<u64> = others.iter().map(|end| end.run).collect();
            let count = |is_common: bool| -> u32 {
                let some = ends.iter().filter(|end| runs.contains(&end.run) == is_common);
                some.map(End::counted).sum()
            };
            let most = rule::REQUEST.ends;
            count(true) >= most && count(false) < most && may_explain(&others)
        })
    }
}
