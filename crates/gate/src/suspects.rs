//! Requests and prompt parts under which backend servers ended, joined from all gateways.
//!
//! An end is identified by the run of the backend server and not by the gateway that observed it.
//! Reports can therefore arrive in any order, repeatedly and through any gateway, and what a
//! gateway observed outlives its process.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use cause::{Answers, Rule, ending::VERIFICATION_TIME, rule};
use wire::time::Instant;

use crate::{late_ends::late_key, message};

/// Time for which an end counts.
pub(crate) const RETENTION: Duration = Duration::from_secs(600);
/// Age up to which an end is reported to peers. Without the margin, gateways that received it at
/// different times could return it to each other after it expired.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(540);
/// Most suspects kept. In a full table, one with the fewest ends is replaced.
const MAX_SUSPECTS: usize = 4096;
/// Most runs kept that said that they leave.
const MAX_LEAVING_RUNS: usize = 4096;
/// Most keys kept of parts that were acquitted.
const MAX_KNOWN: usize = 8192;
/// Most ends kept of one suspect.
const MAX_ENDS: usize = 16;
/// Most ends of one suspect in a message, the latest ones.
const MAX_REPORTED_ENDS: usize = 4;
/// Number of rounds in which a change is sent to all peers, since datagrams may be lost.
const ANNOUNCEMENTS: u8 = 6;
/// Most suspects in one message of a round, which keeps it within one datagram.
const MAX_ANNOUNCED: usize = 24;
/// Most suspects in a message to a peer that may have missed earlier ones.
const MAX_SUMMARY: usize = 128;

/// Ends of one run of a backend server under copies of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct End {
    pub run: u64,
    /// Ends that followed one another. More than one if the run that followed an end is not
    /// known, for example while the store is unreachable.
    count: u32,
    /// How many of them did not end the run: its connection was lost for another reason.
    disproved: u32,
    /// Time of the last one.
    pub at: Instant,
}

impl End {
    pub fn counted(&self) -> u32 {
        self.count - self.disproved
    }
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    ends: Vec<End>,
    /// Time at which a copy last completed or was seen to go on, or at which a backend server that went
    /// on began to answer a request with the part. Earlier ends don't count, and more are needed for a
    /// quarantine.
    completed_at: Option<Instant>,
    /// Rounds in which the last change is still to be sent.
    announcements: u8,
}

impl Suspect {
    /// Returns the ends that count, the latest first.
    fn counted(&self, now: Instant) -> Vec<End> {
        self.counted_since(now, self.completed_at)
    }

    fn counted_since(&self, now: Instant, completed_at: Option<Instant>) -> Vec<End> {
        let counts = |end: &&End| {
            end.counted() > 0 && Some(end.at) >= completed_at && now.since(end.at) < RETENTION
        };
        let mut counted: Vec<End> = self.ends.iter().filter(counts).copied().collect();
        counted.sort_by_key(|end| Reverse(end.at));
        counted
    }

    /// Returns the end from which on enough count against a request for its quarantine.
    fn deciding_end(&self, now: Instant) -> Option<Instant> {
        let ends = self.counted(now);
        let is_known = self.completed_at.is_some();
        // A gateway that has started since doesn't know which of several ends were disproved.
        let weigh = |end: &End| if is_known { 1 } else { end.counted() };
        Rule::for_request(is_known).deciding_end(ends.iter().map(|end| (end.at, weigh(end))))
    }

    fn total(&self, now: Instant) -> u32 {
        self.total_since(now, self.completed_at)
    }

    /// Returns the number of ends that would count if a copy had last completed at a time.
    fn total_since(&self, now: Instant, completed_at: Option<Instant>) -> u32 {
        self.counted_since(now, completed_at).iter().map(End::counted).sum()
    }

    /// Returns the sort key by which the suspects that matter most come first.
    fn rank(&self, now: Instant) -> Reverse<(u32, Option<Instant>)> {
        let latest = self.ends.iter().map(|end| end.at).max();
        Reverse((self.total(now).min(rule::REQUEST.ends), latest))
    }

    fn is_expired(&self, now: Instant) -> bool {
        let times = self.ends.iter().map(|end| end.at).chain(self.completed_at);
        times.max().is_none_or(|at| now.since(at) >= RETENTION)
    }

    /// Adds ends of a run unless as many are known. Returns whether it changed.
    fn merge(&mut self, end: End) -> bool {
        let completed_at = self.completed_at;
        match self.ends.iter_mut().find(|known| known.run == end.run) {
            Some(known) if known.count >= end.count => {
                // The earlier of two times is the more accurate one: reports only add delay.
                if known.count == end.count {
                    known.at = known.at.min(end.at);
                }
                return false;
            }
            Some(known) => {
                // Those before a completion stay without effect.
                let is_cleared = Some(known.at) < completed_at;
                let disproved = if is_cleared { known.count } else { known.disproved };
                *known = End { disproved, ..end };
            }
            None => self.ends.push(end),
        }
        if self.ends.len() > MAX_ENDS {
            self.ends.sort_by_key(|end| Reverse(end.at));
            self.ends.truncate(MAX_ENDS);
        }
        true
    }

    /// Returns when the completion in a report was. A report may have been under way for long, so the
    /// time is that from the nearest end in it.
    fn convert_completion(&self, now: Instant, report: &message::Suspect) -> Option<Instant> {
        let age = report.completed?;
        let nearest = report.ends.iter().min_by_key(|end| end.age.abs_diff(age));
        let known = nearest.and_then(|end| {
            let known = self.ends.iter().find(|known| known.run == end.run)?;
            Some((known.at + end.age, age))
        });
        let (sent_at, age) = known.unwrap_or((now, age));
        Some(Instant(sent_at.0.saturating_sub(age.as_micros() as u64)))
    }

    fn report(&self, now: Instant, fingerprint: u64) -> message::Suspect {
        let is_shared = |end: &&End| end.counted() > 0 && now.since(end.at) < MAX_REPORTED_AGE;
        let shared = self.ends.iter().filter(is_shared);
        let mut ends: Vec<message::End> = shared
            .map(|end| message::End { run: end.run, count: end.count, age: now.since(end.at) })
            .collect();
        ends.sort_by_key(|end| end.age);
        ends.truncate(MAX_REPORTED_ENDS);
        let completed = self.completed_at.map(|at| now.since(at));
        message::Suspect { fingerprint, completed, ends }
    }
}

/// Suspects by the fingerprint of the request or the key of the part; see `quarantine::part_key`.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspects: HashMap<u64, Suspect>,
    /// Requests of which copies completed or went on here.
    answers: Answers,
    /// Runs that said that they leave. Their ends are planned.
    leaving_runs: HashSet<u64>,
    /// The same runs, the oldest first.
    leaving_order: VecDeque<u64>,
    /// Keys of parts that were acquitted here.
    known: HashSet<u64>,
    /// Position in the table from which the next sample is taken.
    sampled: usize,
}

impl Suspects {
    /// Records that a run of a backend server ended at a time, while a copy ran that was dispatched
    /// at `dispatched_at`. Copies that were running at the same end count once. Returns whether the
    /// end is new.
    pub fn record_end(
        &mut self,
        at: Instant,
        fingerprint: u64,
        run: u64,
        dispatched_at: Instant,
    ) -> bool {
        if self.leaving_runs.contains(&run) {
            return false;
        }
        let suspect = self.suspect_mut(at, fingerprint);
        let known = suspect.ends.iter().find(|end| end.run == run);
        let count = match known {
            Some(end) if dispatched_at < end.at && end.counted() > 0 => return false,
            Some(end) => end.count + 1,
            None => 1,
        };
        suspect.merge(End { run, count, disproved: 0, at });
        suspect.announcements = ANNOUNCEMENTS;
        true
    }

    /// Records that a run said that it leaves. Its end is no fault of what runs there, also if it was
    /// counted before, or is reported by a peer that doesn't know.
    pub fn record_leaving(&mut self, run: u64) {
        if !self.leaving_runs.insert(run) {
            return;
        }
        self.leaving_order.push_back(run);
        if self.leaving_order.len() > MAX_LEAVING_RUNS
            && let Some(oldest) = self.leaving_order.pop_front()
        {
            self.leaving_runs.remove(&oldest);
        }
        self.disprove_run(run);
    }

    /// Disproves the ends of a run.
    pub fn disprove_run(&mut self, run: u64) {
        for end in self.suspects.values_mut().flat_map(|suspect| &mut suspect.ends) {
            if end.run == run {
                end.disproved = end.count;
            }
        }
    }

    /// Records that a copy completed at a time, so that earlier ends don't count.
    pub fn record_completion(&mut self, now: Instant, fingerprint: u64, at: Instant) {
        self.record_answered(now, fingerprint, at);
        self.record_answered(now, late_key(fingerprint), at);
    }

    /// Records that the answer to a copy went on, so that earlier ends under copies that had not got as
    /// far don't count.
    pub fn record_continuation(&mut self, now: Instant, fingerprint: u64) {
        self.record_answered(now, fingerprint, now);
    }

    /// Records that a backend server began to answer a request with the part `key` at a time and went
    /// on, so that earlier ends don't count.
    pub fn acquit_part(&mut self, now: Instant, key: u64, at: Instant) {
        if self.known.len() >= MAX_KNOWN && !self.known.contains(&key) {
            self.known.clear();
        }
        self.known.insert(key);
        self.discard_ends(now, key, at);
    }

    /// Records that a copy was answered for longer than those under which servers ended late, up to the
    /// end at `last_end`.
    pub fn record_longer_answer(&mut self, now: Instant, fingerprint: u64, last_end: Instant) {
        let after = last_end + Duration::from_micros(1);
        self.record_answered(now, late_key(fingerprint), after);
    }

    fn record_answered(&mut self, now: Instant, key: u64, at: Instant) {
        self.answers.record(key, at);
        self.discard_ends(now, key, at);
    }

    fn discard_ends(&mut self, now: Instant, key: u64, until: Instant) {
        let Some(suspect) = self.suspects.get_mut(&key) else { return };
        let before = suspect.total(now);
        suspect.completed_at = suspect.completed_at.max(Some(until));
        if suspect.total(now) < before {
            suspect.announcements = ANNOUNCEMENTS;
        }
    }

    /// Returns whether this gateway has acquitted a part.
    pub(crate) fn is_known(&self, key: u64) -> bool {
        self.known.contains(&key)
    }

    /// Returns the ends that count against a request or part, the latest first.
    pub(crate) fn ends(&self, now: Instant, key: u64) -> Vec<End> {
        self.suspects.get(&key).map(|suspect| suspect.counted(now)).unwrap_or_default()
    }

    /// Returns the ends that count against each request and part.
    pub(crate) fn all_ends(&self, now: Instant) -> impl Iterator<Item = (u64, Vec<End>)> {
        self.suspects.iter().map(move |(key, suspect)| (*key, suspect.counted(now)))
    }

    /// Disproves the ends of runs that are still listed. `confirmed_since` is the time since which
    /// the store has confirmed the list all the while.
    pub fn disprove(
        &mut self,
        now: Instant,
        confirmed_since: Instant,
        is_listed: impl Fn(u64) -> bool,
    ) {
        for end in self.suspects.values_mut().flat_map(|suspect| &mut suspect.ends) {
            let is_due = now.since(end.at.max(confirmed_since)) >= VERIFICATION_TIME;
            if is_due && is_listed(end.run) {
                end.disproved = end.count;
            }
        }
    }

    /// Merges a peer's report and returns whether it changed the number of ends.
    pub fn merge(&mut self, now: Instant, report: &message::Suspect) -> bool {
        let earlier = |age: Duration| Instant(now.0.saturating_sub(age.as_micros() as u64));
        let recent = |age: Duration| age < RETENTION;
        let is_counted =
            |end: &&message::End| recent(end.age) && !self.leaving_runs.contains(&end.run);
        let ends: Vec<message::End> =
            report.ends.iter().filter(is_counted).take(MAX_ENDS).copied().collect();
        if ends.is_empty() {
            return false;
        }
        let suspect = self.suspect_mut(now, report.fingerprint);
        let before = suspect.total(now);
        for message::End { run, count, age } in ends {
            suspect.merge(End { run, count, disproved: 0, at: earlier(age) });
        }
        let completed_at = suspect.convert_completion(now, report);
        // The sender, and others that it reports to, may have no answer that this gateway has.
        let knows_more = suspect.completed_at.is_some() && completed_at.is_none();
        let disproves = suspect.total(now) < suspect.total_since(now, completed_at);
        if knows_more || disproves {
            suspect.announcements = ANNOUNCEMENTS;
        }
        suspect.completed_at = suspect.completed_at.max(completed_at);
        suspect.total(now) != before
    }

    /// Returns whether copies of a request completed before its ends, or are said to have.
    pub(crate) fn is_known_to_complete(&self, fingerprint: u64) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| suspect.completed_at.is_some())
    }

    /// Returns the number of ends that count against a request.
    pub fn total(&self, now: Instant, fingerprint: u64) -> u32 {
        self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.total(now))
    }

    /// Returns the remaining time of the request's quarantine, if any.
    pub fn quarantine_left(&self, now: Instant, fingerprint: u64) -> Option<Duration> {
        let deciding = self.suspects.get(&fingerprint)?.deciding_end(now)?;
        Some(RETENTION.saturating_sub(now.since(deciding)))
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the numbers of suspects and of those in quarantine.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let counted = self.suspects.values().filter(|suspect| suspect.total(now) > 0);
        counted.fold((0, 0), |(all, quarantined), suspect| {
            (all + 1, quarantined + usize::from(suspect.deciding_end(now).is_some()))
        })
    }

    /// Returns the changes to send to all peers in this round.
    pub fn announce(&mut self, now: Instant) -> Vec<message::Suspect> {
        let changed = self.suspects.iter().filter(|(_, suspect)| suspect.announcements > 0);
        let mut changed: Vec<_> = changed.map(|(key, suspect)| (suspect.rank(now), *key)).collect();
        changed.sort();
        changed.truncate(MAX_ANNOUNCED);
        let reports = changed.into_iter().filter_map(|(_, fingerprint)| {
            let suspect = self.suspects.get_mut(&fingerprint)?;
            suspect.announcements -= 1;
            Some(suspect.report(now, fingerprint))
        });
        reports.collect()
    }

    /// Returns the suspects that matter most, for a peer that may have missed reports.
    pub fn summary(&self, now: Instant) -> Vec<message::Suspect> {
        self.reports(now, 0, MAX_SUMMARY)
    }

    /// Returns another part of the suspects with each call, for a peer that may have missed
    /// reports without being noticed. Removes expired ones.
    pub fn sample(&mut self, now: Instant) -> Vec<message::Suspect> {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        let start = std::mem::take(&mut self.sampled);
        let reports = self.reports(now, start, MAX_ANNOUNCED);
        if start + MAX_ANNOUNCED < self.suspects.len() {
            self.sampled = start + MAX_ANNOUNCED;
        }
        reports
    }

    fn reports(&self, now: Instant, start: usize, count: usize) -> Vec<message::Suspect> {
        let mut ranked: Vec<_> =
            self.suspects.iter().map(|(key, suspect)| (suspect.rank(now), *key)).collect();
        ranked.sort();
        let part = ranked.into_iter().skip(start).take(count);
        part.filter_map(|(_, key)| Some(self.suspects.get(&key)?.report(now, key))).collect()
    }

    fn suspect_mut(&mut self, now: Instant, fingerprint: u64) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            let last = self.suspects.iter().max_by_key(|(_, suspect)| suspect.rank(now));
            if let Some(last) = last.map(|(key, _)| *key) {
                self.suspects.remove(&last);
            }
        }
        self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            completed_at: self.answers.last(now, fingerprint, RETENTION),
            ..Suspect::default()
        })
    }
}
