//! Backend servers that warm up, and the rate that they tolerate meanwhile.
//!
//! What is known is kept by server and not by run: a gateway may learn of the warm-up of a run from
//! another gateway before it has read the record of that run, and the permits of both runs have to
//! come from one issuer. Each entry says which run it is about.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use bytes::Bytes;
use conf::gateway::WarmUpBounds;
use wire::time::Instant;

use crate::{backends::Backend, catalog, message};

pub use crate::message::WarmUpSource as Source;

/// Time for which a permit for a backend server that warms up is valid after its demand. With the
/// permits that accumulate in a quarter of a second, 1.5 times the rate can be used in a second.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(250);
/// Age up to which the issuer issues permits for a demand. The rest of `PERMIT_LIFETIME` is for the
/// way of the permit and of the request.
pub const DEMAND_AGE: Duration = Duration::from_millis(200);
/// Most requests in a second, as a multiple of the rate, that permits allow; see `PERMIT_LIFETIME`.
const PERMIT_OVERAGE: f64 = 1.5;
/// Longest warm-up. A statement of a longer one is taken for this one.
const MAX_DURATION: Duration = Duration::from_secs(3600);
/// Difference between two statements of one end up to which they count as the same, so that the time
/// that reports are on their way doesn't add up with each repetition, and not each response is
/// announced.
const TOLERANCE: Duration = Duration::from_millis(250);
/// Time within which all gateways read a record. Most do within some 0.8 s, and those that don't reach
/// the store or a peer at first later.
const READ_SPREAD: Duration = Duration::from_secs(3);
/// Time after a pause of the process within which it has received the warm-ups that it missed: other
/// gateways send them in reply to its first message.
const CATCH_UP: Duration = Duration::from_millis(100);
/// Time for which the end of a warm-up is kept, so that late reports don't begin it again.
const RETENTION: Duration = Duration::from_secs(60);

/// What is known of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    /// Run that the statement is about.
    run: u64,
    /// Rate that the server tolerates, as the gateway with the statement knows it.
    per_s: f64,
    /// Time that was stated, and when.
    left: Duration,
    since: Instant,
    /// End, which an earlier statement may have put later.
    until: Instant,
    /// End that other gateways were told of; `None` if they are told nothing of it.
    announced: Option<Instant>,
    source: Source,
    /// Whether the server refused connections and none has succeeded since.
    awaits_connection: bool,
}

impl Entry {
    fn is_warming(&self, now: Instant) -> bool {
        self.awaits_connection || now < self.until
    }

    /// Returns whether a record of this run with this value was the last statement.
    fn is_from_record(&self, run: u64) -> bool {
        self.source == Source::Record && self.run == run
    }

    /// Returns whether a record that says 0 ends the warm-up.
    fn is_ended_by(&self, reading: &Reading) -> bool {
        let Some(previous) = reading.previous else {
            // The run that refused connections or warmed up has ended.
            return self.run != reading.run && self.source.is_of_one_run();
        };
        let is_later = previous != Some(Duration::ZERO) && !reading.is_restored;
        let is_own = matches!(self.source, Source::Record | Source::Unstated);
        is_later && is_own && self.run == reading.run
    }
}

/// How the warm-up of a server changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Began,
    Extended,
    Ended,
}

impl Change {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Change::Began => "began",
            Change::Extended => "extended",
            Change::Ended => "ended",
        }
    }
}

/// A statement that a server warms up from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    pub server: u64,
    pub run: u64,
    pub left: Duration,
    pub source: Source,
}

/// A record of a backend server that was read and changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    pub server: u64,
    pub run: u64,
    pub left: Option<Duration>,
    /// The value in the previous record of the same run, or `None` if the run is new here.
    pub previous: Option<Option<Duration>>,
    /// Whether the record may be older than what was read before.
    pub is_restored: bool,
}

/// Servers that warm up, by the hash of their identifiers; see `backends::Backend::server`.
#[derive(Clone, Debug, Default)]
pub struct WarmUps {
    /// Services whose servers warm up, with the rate at which permits are issued.
    services: HashMap<Bytes, catalog::WarmUp>,
    entries: HashMap<u64, Entry>,
    /// Servers whose warm-up was learned here and not announced yet.
    unannounced: BTreeSet<u64>,
    /// Time until which other gateways may know of warm-ups that this one missed while it was paused.
    uncertain_until: Instant,
}

impl WarmUps {
    /// Sets the services of the configuration. None warm up where the bounds are not set.
    pub fn set_services(
        &mut self,
        bounds: Option<WarmUpBounds>,
        services: &HashMap<Bytes, catalog::Service>,
    ) {
        self.services.clear();
        let Some(bounds) = bounds else { return };
        let share = (bounds.overage / PERMIT_OVERAGE).min(1.0);
        for (name, service) in services {
            if let Some(warm_up) = service.warm_up {
                let per_s = (warm_up.per_s * share).max(rate::statement::MIN_RATE);
                self.services.insert(name.clone(), catalog::WarmUp { per_s, ..warm_up });
            }
        }
    }

    /// Returns whether no service warms up.
    pub fn is_disabled(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns whether no warm-up is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() || self.is_disabled()
    }

    /// Returns how a service warms up, with the rate at which permits are issued.
    pub fn of_service(&self, service: &[u8]) -> Option<&catalog::WarmUp> {
        self.services.get(service)
    }

    /// Returns whether a server of a service that warms up does so now.
    pub fn is_warming(&self, now: Instant, backend: &Backend) -> bool {
        let entry = self.entries.get(&backend.server);
        entry.is_some_and(|entry| entry.is_warming(now))
            && self.services.contains_key(&backend.record.service)
    }

    /// Records that this process was paused, so that it may have missed warm-ups.
    pub fn record_pause(&mut self, now: Instant) {
        self.uncertain_until = now + CATCH_UP;
    }

    /// Returns the time until which servers that may warm up get no requests, if it is not over.
    pub fn uncertain_until(&self, now: Instant) -> Option<Instant> {
        (now < self.uncertain_until && !self.is_disabled()).then_some(self.uncertain_until)
    }

    /// Returns whether a server of a service that warms up may do so without this gateway knowing.
    pub fn is_uncertain(&self, now: Instant, backend: &Backend) -> bool {
        now < self.uncertain_until && self.services.contains_key(&backend.record.service)
    }

    /// Returns the time for which a server still warms up and where that is known from. The time
    /// is counted anew while no connection succeeds.
    pub fn left(&self, now: Instant, backend: &Backend) -> Option<(Duration, Source)> {
        let entry = self.entries.get(&backend.server)?;
        self.is_warming(now, backend).then(|| (entry.until.since(now), entry.source))
    }

    /// Returns the rate that was reported with the warm-up of a server.
    pub fn reported_rate(&self, server: u64) -> Option<f64> {
        self.entries.get(&server).map(|entry| entry.per_s).filter(|_| !self.is_disabled())
    }

    /// Records a statement. Returns a change if other gateways have to be told of it.
    pub fn record(&mut self, now: Instant, statement: Statement, per_s: f64) -> Option<Change> {
        let Statement { server, run, left, source } = statement;
        let left = left.min(MAX_DURATION);
        let until = now + left;
        if left.is_zero() {
            return None;
        }
        let current = self.entries.get_mut(&server).filter(|entry| entry.is_warming(now));
        if let Some(entry) = current.filter(|entry| entry.run == run) {
            if until <= entry.until {
                return None;
            }
            let is_announced = entry.announced.is_some_and(|end| until <= end + TOLERANCE);
            let announced = if is_announced { entry.announced } else { Some(until) };
            *entry = Entry { per_s, left, since: now, until, announced, source, ..*entry };
            return (!is_announced).then(|| self.announce(server, Change::Extended));
        }
        let earlier = self.entries.get(&server).filter(|entry| entry.is_warming(now));
        let until = earlier.map_or(until, |entry| entry.until.max(until));
        let awaits_connection = false;
        let entry = Entry {
            run,
            per_s,
            left,
            since: now,
            until,
            announced: Some(until),
            source,
            awaits_connection,
        };
        self.entries.insert(server, entry);
        Some(self.announce(server, Change::Began))
    }

    fn announce(&mut self, server: u64, change: Change) -> Change {
        self.unannounced.insert(server);
        change
    }

    /// Records that a server refused a connection. It warms up from the first connection that
    /// succeeds.
    pub fn record_refusal(
        &mut self,
        now: Instant,
        statement: Statement,
        per_s: f64,
    ) -> Option<Change> {
        let change = self.record(now, statement, per_s);
        if let Some(entry) = self.entries.get_mut(&statement.server) {
            entry.awaits_connection = true;
        }
        change
    }

    /// Records whether a connection to a server succeeded that had refused one.
    pub fn record_connection(
        &mut self,
        now: Instant,
        server: u64,
        duration: Duration,
        is_connected: bool,
    ) -> Option<Change> {
        let entry = self.entries.get_mut(&server).filter(|entry| entry.awaits_connection)?;
        if is_connected {
            entry.awaits_connection = false;
        } else if now.since(entry.since) < duration / 2 {
            // Other gateways know of the refusal for half of the time yet.
            return None;
        }
        let until = entry.until.max(now + duration);
        *entry = Entry { left: duration, since: now, until, announced: Some(until), ..*entry };
        Some(self.announce(server, Change::Extended))
    }

    /// Records what a record says. `duration` is how long servers of its service warm up. A gateway
    /// that has just started can't tell when a record was written that it reads for the first time.
    /// The others have read it before, so they are not told.
    pub fn read(
        &mut self,
        now: Instant,
        reading: &Reading,
        per_s: f64,
        duration: Duration,
        has_just_started: bool,
    ) -> Option<Change> {
        let Reading { server, run, left, previous, is_restored } = *reading;
        let statement = |left, source| Statement { server, run, left, source };
        let current = self.entries.get_mut(&server).filter(|entry| entry.is_warming(now));
        match (left, current) {
            (Some(Duration::ZERO), Some(entry)) => {
                if !entry.is_ended_by(reading) {
                    return None;
                }
                (entry.since, entry.until, entry.awaits_connection) = (now, now, false);
                self.unannounced.remove(&server);
                Some(Change::Ended)
            }
            (Some(Duration::ZERO), None) => None,
            // Another gateway has read the same record, and earlier.
            (Some(left), Some(entry))
                if entry.is_from_record(run)
                    && entry.left == left
                    && now.since(entry.since) < READ_SPREAD =>
            {
                None
            }
            (Some(left), current) => {
                if let Some(entry) = current
                    && entry.is_from_record(run)
                    && entry.until == entry.since + entry.left
                    && !is_restored
                {
                    // A record tells the rest of the time better than the one before it.
                    entry.until = entry.until.min(now + left);
                    (entry.left, entry.since) = (entry.until.since(now), now);
                }
                let change = self.record(now, statement(left, Source::Record), per_s);
                if has_just_started && let Some(entry) = self.entries.get_mut(&server) {
                    entry.announced = None;
                    self.unannounced.remove(&server);
                }
                change
            }
            (None, _) if previous.is_none() && !has_just_started => {
                self.record(now, statement(duration, Source::Unstated), per_s)
            }
            (None, _) => None,
        }
    }

    /// Merges a peer's report. `known` is the run and the value in the record that was read here.
    pub fn merge(
        &mut self,
        now: Instant,
        report: &message::WarmUp,
        known: Option<(u64, Option<Duration>)>,
    ) -> Option<Change> {
        let message::WarmUp { server, run, source, .. } = *report;
        let since = Instant(now.0.saturating_sub(report.age.as_micros() as u64));
        let left = report.left.min(MAX_DURATION);
        let until = since + left;
        if until <= now || self.is_disabled() {
            return None;
        }
        let entry = self.entries.get(&server);
        let is_read_here = source == Source::Record && known == Some((run, Some(report.left)));
        if is_read_here && entry.is_some_and(|entry| entry.is_warming(now)) {
            return None;
        }
        let is_old = entry.is_some_and(|entry| {
            since <= entry.since && (entry.run != run || !entry.is_warming(now))
        });
        let current = entry.filter(|entry| entry.is_warming(now));
        let is_known = |entry: &Entry| entry.run == run && until <= entry.until + TOLERANCE;
        if is_old || current.is_some_and(is_known) {
            return None;
        }
        let is_same_run = current.is_some_and(|entry| entry.run == run);
        let awaits_connection = current.is_some_and(|entry| entry.awaits_connection && is_same_run);
        let until = current.map_or(until, |entry| entry.until.max(until));
        let (per_s, announced) = (bound_rate(report.per_s), Some(until));
        let entry = Entry { run, per_s, left, since, until, announced, source, awaits_connection };
        self.entries.insert(server, entry);
        self.unannounced.remove(&server);
        Some(if is_same_run { Change::Extended } else { Change::Began })
    }

    /// Returns the report on a server for a peer, if it warms up.
    pub fn report(&self, now: Instant, server: u64) -> Option<message::WarmUp> {
        let entry = self.entries.get(&server).filter(|entry| entry.is_warming(now))?;
        entry.announced?;
        let Entry { run, per_s, left, since, until, source, .. } = *entry;
        // The end may be that of an earlier statement.
        let (left, age) = (left.max(until.since(since)), now.since(since));
        Some(message::WarmUp { server, run, per_s, left, age, source })
    }

    /// Returns the servers that warm up.
    pub fn servers(&self, now: Instant) -> impl Iterator<Item = u64> {
        let warming = self.entries.iter().filter(move |(_, entry)| entry.is_warming(now));
        warming.map(|(server, _)| *server)
    }

    /// Returns whether warm-ups were learned here that were not announced.
    pub fn has_unannounced(&self) -> bool {
        !self.unannounced.is_empty()
    }

    /// Returns the servers whose warm-up was learned here since the last call.
    pub fn take_unannounced(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.unannounced)
    }

    /// Removes warm-ups that ended some time ago, and those of servers that are gone.
    pub fn expire(&mut self, now: Instant, is_listed: impl Fn(u64) -> bool) {
        self.entries.retain(|server, entry| {
            let is_recent = now.since(entry.until) < RETENTION;
            is_recent || (entry.awaits_connection && is_listed(*server))
        });
    }
}

/// Returns a reported rate within bounds.
fn bound_rate(per_s: f64) -> f64 {
    match per_s.is_finite() {
        true => per_s.clamp(rate::statement::MIN_RATE, rate::statement::MAX_RATE),
        false => rate::statement::MIN_RATE,
    }
}
