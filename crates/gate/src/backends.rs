//! Backend servers as described by their records in the store.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use cause::Listing;
use slotmap::{SlotMap, new_key_type};
use wire::time::Instant;

use crate::{
    claims::{Claim, Claims},
    ending::Ending,
    evacuations::Evacuations,
    event::RequestNumber,
    load::{FailureShare, Load},
    message, origin, peers, plain_load, quota,
    statement::{Stated, Statement},
    warm_up,
};

/// Time after an outage of the store within which a running backend server writes its expired
/// record again.
const REAPPEAR_GRACE: Duration = Duration::from_millis(1900);
/// Time after the store came back from an older copy for which its records of backend servers that
/// had drained or ended are not used. Within it, those that run write their state again and the
/// records of the others expire.
const RESTORED_GRACE: Duration = Duration::from_secs(5);
/// Most runs kept of backend servers that drained or ended.
const MAX_DEPARTED: usize = 4096;

new_key_type! {
    /// Key of a backend server.
    pub struct Key;
}

/// Record of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub service: Bytes,
    pub address: SocketAddr,
    pub zone: Bytes,
    /// Version of its software; empty if it states none.
    pub version: Bytes,
    /// Requests that the backend server processes concurrently.
    pub slots: u32,
    pub draining: bool,
    /// Start time of the process that wrote the record. A backend server may restart under the same
    /// identifier.
    pub started: Option<u64>,
    /// Time for which the backend server still warms up when it writes the record; `None` if it
    /// doesn't say.
    pub warm_up_left: Option<Duration>,
}

impl Record {
    fn hash_run(&self, id: &[u8]) -> u64 {
        let mut run = id.to_vec();
        run.extend_from_slice(self.address.to_string().as_bytes());
        run.extend_from_slice(&self.started.unwrap_or_default().to_be_bytes());
        quota::hash(&run)
    }
}

/// A backend server that requests may be sent to.
#[derive(Clone, Debug)]
pub struct Backend {
    pub id: Bytes,
    /// Hash of the identifier, which messages between gateways use.
    pub hash: u32,
    /// Hash that identifies the run of the backend server, the same at all gateways.
    pub run: u64,
    /// Hash of the identifier, the same for all runs and at all gateways.
    pub server: u64,
    /// Key of the service and the software version of what answers at the address; see
    /// `origin::key`.
    pub origin: u64,
    pub record: Record,
    pub load: Load,
    /// Signs that the run has ended. What answers at the address since then is the next run, whose
    /// record has not been read yet.
    ending: Option<Ending>,
    /// End of the pause that the next run asked for.
    next_paused_until: Option<Instant>,
    /// Time at which the backend server is removed, set if its record is missing after an outage of
    /// the store.
    remove_at: Option<Instant>,
    /// Number of speed samples in the last message of each peer process.
    peer_samples: HashMap<u64, u32>,
}

impl Backend {
    /// Returns whether the run was taken to have ended.
    pub fn has_ended(&self) -> bool {
        self.ending.is_some()
    }

    /// Gives a run its origin back. Returns the key that it had meanwhile, and its own.
    fn restore_origin(&mut self) -> (u64, u64) {
        let key = origin::key(&self.record);
        (std::mem::replace(&mut self.origin, key), key)
    }
}

/// What this gateway has received of the load of others.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    pub reports: &'a [peers::Report<'a>],
    /// Whether some gateways don't report each change of their load. The load of backend servers
    /// in other availability zones is then received late.
    pub has_far: bool,
    pub own_address: SocketAddr,
    /// Availability zone of this gateway.
    pub zone: &'a Bytes,
    /// Requests that wait here, as in `message::Message::waiting`.
    pub own_waiting: &'a [(u64, u32)],
    /// Whether fractions of a slot are assigned anew.
    pub divides_anew: bool,
    /// Backend servers that each request needs a permit for. Their slots are divided by the permits.
    pub restricted: &'a HashSet<Key>,
}

impl View<'_> {
    /// Returns the part of the free slots of a service's backend servers that this gateway may use,
    /// if requests wait at other gateways too. Backend servers that are not far are left to the
    /// gateways near them.
    fn own_share(&self, service: u64, is_far: bool) -> f64 {
        let count = |waiting: &[(u64, u32)]| {
            waiting.iter().find(|(hash, _)| *hash == service).map_or(0, |(_, count)| *count)
        };
        let rivals = || self.reports.iter().filter(|report| is_far || report.is_near);
        let waiting_at_others: u32 = rivals().map(|report| count(report.waiting)).sum();
        if waiting_at_others == 0 {
            return 1.0;
        }
        // The added 1 for each gateway stands for the requests that arrive next.
        let here = f64::from(count(self.own_waiting) + 1);
        here / (here + f64::from(waiting_at_others) + rivals().count() as f64)
    }

    /// Returns the claims of the requests that wait for a service's backend servers, if those servers
    /// have too few free slots for all of them.
    fn scarce_claims(&self, service: u64, is_far: bool, free: u32) -> Option<Claims> {
        let rivals = self.reports.iter().filter(|report| is_far || report.is_near);
        let rivals = rivals.map(|report| (report.from, report.waiting));
        let all = rivals.chain([(self.own_address, self.own_waiting)]);
        Claims::scarce(all.flat_map(|(from, waiting)| Claim::all(service, from, waiting)), free)
    }
}

/// Backend servers by key, identifier and service.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    entries: SlotMap<Key, Backend>,
    keys_by_id: HashMap<Bytes, Key>,
    keys_by_server: HashMap<u64, Key>,
    keys_by_service: HashMap<Bytes, Vec<Key>>,
    store_failed: bool,
    /// Runs whose record was removed or replaced, other than by draining, since the last call of
    /// `take_ended_runs`.
    ended_runs: Vec<u64>,
    /// Runs that said that they leave since the last call of `take_leaving_runs`.
    leaving_runs: Vec<u64>,
    /// Runs whose records were removed and are there again since the last call of
    /// `take_returned_runs`.
    returned_runs: Vec<u64>,
    /// Services and origins of backend servers that left since the last call of `take_departures`.
    departures: Vec<(Bytes, u64)>,
    /// Statements of runs, also of those whose record is away for a while.
    stated: HashMap<u64, Stated>,
    /// Whether the next read of all records is of a store that came back from an older copy.
    is_restored: bool,
    /// Runs that were removed, with the hashes of their identifiers, the oldest first.
    departed: VecDeque<(u64, u64)>,
    /// Records from an older copy of the store, with the time from which they are used.
    withheld: Vec<(Bytes, Record, Instant)>,
    /// Whether all records are being read, so that one may be read again without being written.
    reads_all: bool,
    /// Records that changed since the last call of `take_readings`.
    readings: Vec<warm_up::Reading>,
    evacuations: Evacuations,
}

impl Backends {
    /// Applies a record that was written, or its removal (`None`). A backend server that drains is
    /// removed, too.
    pub fn apply_record(&mut self, id: Bytes, record: Option<Record>) {
        self.withheld.retain(|(withheld, _, _)| *withheld != id);
        match record {
            Some(record) if !record.draining => self.insert(id, record),
            Some(record) => {
                self.leaving_runs.push(record.hash_run(&id));
                self.departures.push((record.service.clone(), origin::key(&record)));
                self.remove(&id);
            }
            None => self.remove_ended(&id),
        }
    }

    /// Returns the runs whose record was removed or replaced since the last call. A backend server
    /// that drained is not among them.
    pub fn take_ended_runs(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.ended_runs)
    }

    /// Returns the runs that said that they leave, in their record or a response, since the last call.
    pub fn take_leaving_runs(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.leaving_runs)
    }

    /// Returns the runs whose records were removed and are there again since the last call.
    pub fn take_returned_runs(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.returned_runs)
    }

    /// Returns the records that changed since the last call, by what they say of warm-ups.
    pub fn take_readings(&mut self) -> Vec<warm_up::Reading> {
        std::mem::take(&mut self.readings)
    }

    /// Returns the backend server with this hash of its identifier.
    pub fn by_server(&self, server: u64) -> Option<&Backend> {
        self.entries.get(*self.keys_by_server.get(&server)?)
    }

    /// Records what a run of a backend server states of itself. Returns whether that changes which
    /// requests it gets.
    pub fn record_statement(&mut self, now: Instant, run: u64, statement: Statement) -> bool {
        let pause = statement.pause.map(|pause| now + pause.span()).filter(|until| *until > now);
        if !statement.leaving && pause.is_none() {
            return false;
        }
        if self.stated.len() >= MAX_DEPARTED {
            let listed: HashSet<u64> = self.entries.values().map(|backend| backend.run).collect();
            self.stated.retain(|run, _| listed.contains(run));
        }
        let stated = self.stated.entry(run).or_default();
        let before = *stated;
        if statement.leaving && !before.leaving {
            self.leaving_runs.push(run);
        }
        stated.leaving |= statement.leaving;
        stated.paused_until = stated.paused_until.max(pause);
        let stated = *stated;
        if let Some(backend) = self.entries.values_mut().find(|backend| backend.run == run) {
            backend.load.stated = stated;
            if backend.ending.is_some() {
                backend.next_paused_until = backend.next_paused_until.max(pause);
            }
        }
        stated != before
    }

    /// Records that the run of a backend server has ended, though its record is still there.
    pub fn record_end(&mut self, now: Instant, run: u64) {
        if let Some(backend) = self.entries.values_mut().find(|backend| backend.run == run) {
            backend.ending.get_or_insert_with(|| Ending::new(now)).record_sign(now);
            backend.origin = origin::next_run_key(backend.origin, backend.run);
        }
    }

    /// Records a response to a request that was dispatched at `dispatched_at`, on a connection that
    /// was opened at `connected_at`. If the run was taken to have ended in between, it goes on: no
    /// later run has connections of an earlier one. Returns the key that it had meanwhile, and its own.
    pub fn record_response(
        &mut self,
        run: u64,
        connected_at: Instant,
        dispatched_at: Instant,
    ) -> Option<(u64, u64)> {
        let backend = self.entries.values_mut().find(|backend| backend.run == run)?;
        backend.ending.take_if(|ending| ending.is_disproved(connected_at, dispatched_at))?;
        Some(backend.restore_origin())
    }

    /// Records that data of a response arrived for which the gateway had waited since `waiting_since`,
    /// in the same way.
    pub fn record_progress(
        &mut self,
        now: Instant,
        run: u64,
        number: RequestNumber,
        connected_at: Instant,
        waiting_since: Instant,
    ) -> Option<(u64, u64)> {
        let backend = self.entries.values_mut().find(|backend| backend.run == run)?;
        let ending = &mut backend.ending;
        ending
            .take_if(|ending| ending.record_progress(now, number, connected_at, waiting_since))?;
        Some(backend.restore_origin())
    }

    /// Returns the services and origins of the backend servers that left since the last call.
    pub fn take_departures(&mut self) -> Vec<(Bytes, u64)> {
        std::mem::take(&mut self.departures)
    }

    /// Applies a read of all records. Backend servers whose records expired during an outage of the
    /// store have some time to write them again.
    pub fn replace_all(&mut self, now: Instant, records: Vec<(Bytes, Record)>) {
        let is_restored = std::mem::take(&mut self.is_restored);
        let after_outage = std::mem::take(&mut self.store_failed) || is_restored;
        let present: HashSet<&Bytes> = records.iter().map(|(id, _)| id).collect();
        let absent: Vec<Bytes> =
            self.keys_by_id.keys().filter(|id| !present.contains(id)).cloned().collect();
        for id in absent {
            match after_outage {
                true => self.set_removal_time(&id, now + REAPPEAR_GRACE),
                false => self.remove_ended(&id),
            }
        }
        self.reads_all = true;
        for (id, record) in records {
            if is_restored && self.has_departed(record.hash_run(&id)) {
                self.departures.push((record.service.clone(), origin::key(&record)));
                self.withheld.push((id, record, now + RESTORED_GRACE));
            } else {
                let first = self.readings.len();
                self.apply_record(id, Some(record));
                for reading in &mut self.readings[first..] {
                    reading.is_restored = is_restored;
                }
            }
        }
        self.reads_all = false;
    }

    /// Records that the store came back from an older copy.
    pub fn record_restore(&mut self) {
        self.is_restored = true;
        self.evacuations.record_restore();
    }

    /// Returns the evacuated zones.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Changes the evacuated zones with `change` and returns its result. The backend servers of
    /// these zones are not usable.
    pub fn change_evacuations<R>(&mut self, change: impl FnOnce(&mut Evacuations) -> R) -> R {
        let result = change(&mut self.evacuations);
        for backend in self.entries.values_mut() {
            backend.load.is_evacuated = self.evacuations.is_evacuated(&backend.record.zone);
        }
        result
    }

    /// Records that a request to the store failed.
    pub fn record_store_failure(&mut self) {
        self.store_failed = true;
    }

    /// Removes backend servers whose records were not written again in time, and uses records that
    /// were withheld for long enough.
    pub fn expire(&mut self, now: Instant) {
        let due = |backend: &Backend| backend.remove_at.is_some_and(|at| now >= at);
        let expired: Vec<Bytes> = self
            .entries
            .values()
            .filter(|backend| due(backend))
            .map(|backend| backend.id.clone())
            .collect();
        for id in expired {
            self.remove_ended(&id);
        }
        let (due, withheld) =
            std::mem::take(&mut self.withheld).into_iter().partition(|(_, _, at)| now >= *at);
        self.withheld = withheld;
        for (id, record, _) in due {
            self.apply_record(id, Some(record));
        }
    }

    /// Returns the time of the next call of `expire` that may have an effect.
    pub fn next_expiry(&self) -> Option<Instant> {
        let removals = self.entries.values().filter_map(|backend| backend.remove_at);
        removals.chain(self.withheld.iter().map(|(_, _, at)| *at)).min()
    }

    /// Returns the keys of a service's backend servers.
    pub fn keys_of(&self, service: &[u8]) -> &[Key] {
        self.keys_by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the runs whose records tell them from later runs under the same identifier.
    pub fn runs(&self) -> HashSet<u64> {
        let distinct = self.entries.values().filter(|backend| backend.record.started.is_some());
        distinct.map(|backend| backend.run).collect()
    }

    /// Returns the backend servers of a service.
    pub fn of_service(&self, service: &[u8]) -> impl Iterator<Item = &Backend> {
        self.keys_of(service).iter().filter_map(|key| self.get(*key))
    }

    /// Returns the backend servers of a service that requests may be sent to.
    pub fn usable(&self, service: &[u8], now: Instant) -> impl Iterator<Item = &Backend> {
        let backends = self.of_service(service);
        backends.filter(move |backend| backend.load.is_usable(now))
    }

    /// Returns the mean number of requests in flight at a service's backend servers, apart from
    /// those in evacuated zones.
    pub fn mean_running(&self, service: &[u8]) -> f64 {
        let backends = self.of_service(service).filter(|backend| !backend.load.is_evacuated);
        let (running, count) = backends.fold((0, 0u32), |(running, count), backend| {
            (running + backend.load.total_running(), count + 1)
        });
        f64::from(running) / f64::from(count.max(1))
    }

    /// Returns the share of failures in the answers of a service's other backend servers, or in those
    /// of this one if it is the only one.
    pub fn usual_failures(&self, key: Key) -> f64 {
        let Some(backend) = self.get(key) else { return 0.0 };
        let keys = self.keys_of(&backend.record.service);
        let others = keys.iter().filter(|other| **other != key || keys.len() == 1);
        let others = others.filter_map(|key| self.get(*key));
        FailureShare::of_all(others.map(|backend| backend.load.failure_share()))
    }

    /// Returns a backend server, unless it was removed.
    pub fn get(&self, key: Key) -> Option<&Backend> {
        self.entries.get(key)
    }

    /// Returns a mutable reference to a backend server, unless it was removed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Backend> {
        self.entries.get_mut(key)
    }

    /// Returns what the store says of a run.
    pub fn listing(&self, key: Key, run: u64) -> Listing {
        if self.entries.contains_key(key) {
            return Listing::Current;
        }
        let departed = self.departed.iter().rev().find(|(departed, _)| *departed == run);
        match departed.is_some_and(|(_, server)| !self.keys_by_server.contains_key(server)) {
            true => Listing::Gone,
            false => Listing::Replaced,
        }
    }

    fn has_departed(&self, run: u64) -> bool {
        self.departed.iter().any(|(departed, _)| *departed == run)
    }

    /// Returns all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Backend)> {
        self.entries.iter()
    }

    /// Records the loads and the numbers of waiting requests that other gateways reported. Returns
    /// whether more requests wait for a service than there are free slots.
    pub fn record_peer_loads(
        &mut self,
        now: Instant,
        view: &View<'_>,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let mut loads: Vec<(Duration, message::Load)> = Vec::new();
        for report in view.reports {
            loads.extend(report.loads.iter().map(|load| (report.age, *load)));
        }
        loads.sort_unstable_by_key(|(_, load)| load.backend);
        // Free slots by the hash of the service, and whether the backend servers are far.
        let mut free: HashMap<(u64, bool), u32> = HashMap::new();
        for (key, backend) in &mut self.entries {
            let first = loads.partition_point(|(_, load)| load.backend < backend.hash);
            let count = loads[first..].partition_point(|(_, load)| load.backend == backend.hash);
            let is_far = view.has_far && backend.record.zone != *view.zone;
            let slots = backend.record.slots;
            backend.load.record_peer_loads(now, &loads[first..first + count], slots, is_far);
            let service = quota::hash(&backend.record.service);
            let is_open = backend.load.is_usable(now) && !view.restricted.contains(&key);
            *free.entry((service, is_far)).or_default() +=
                if is_open { backend.load.free() } else { 0 };
        }
        let divide = |(service, is_far): (u64, bool), free: u32| {
            let share = view.own_share(service, is_far);
            (share, view.scarce_claims(service, is_far, free))
        };
        let divisions: HashMap<(u64, bool), (f64, Option<Claims>)> =
            free.into_iter().map(|(class, free)| (class, divide(class, free))).collect();
        for (key, backend) in &mut self.entries {
            let class = (quota::hash(&backend.record.service), backend.load.is_far);
            let Some((own_share, claims)) = divisions.get(&class) else { continue };
            let is_claimed = backend.load.is_usable(now)
                && backend.load.is_claimed(now)
                && !view.restricted.contains(&key);
            match claims.as_ref().filter(|_| is_claimed) {
                Some(claims) => {
                    let free = backend.load.free();
                    let slots = claims.slots(view.own_address, backend.run, free);
                    backend.load.set_free_slots(slots);
                }
                None => {
                    if view.divides_anew && *own_share < 1.0 {
                        backend.load.divide_anew(rng);
                    }
                    backend.load.take_share(*own_share);
                }
            }
        }
        divisions.values().any(|(_, claims)| claims.is_some())
    }

    /// Updates the speed estimates for which a peer has new samples.
    pub fn merge_peer_speeds(&mut self, message: &message::Message) {
        for (hash, speed) in &message.speeds {
            let backend = self.entries.values_mut().find(|backend| backend.hash == *hash);
            let Some(backend) = backend else { continue };
            let last = backend.peer_samples.insert(message.process, speed.samples);
            if speed.samples > last.unwrap_or(0) {
                backend.load.merge_peer_estimate(speed);
            }
        }
    }

    /// Lets servers of a service that have not answered this gateway count like one that has.
    pub fn assume_work(&mut self, key: Key) {
        let Some(backend) = self.get(key) else { return };
        let Some(work_ms) = backend.load.plain.work_ms() else { return };
        for other in self.keys_of(&backend.record.service).to_vec() {
            if let Some(other) = self.entries.get_mut(other) {
                other.load.plain.assume_work(work_ms);
            }
        }
    }

    /// Returns the latest answers from servers of plain services that were not returned before.
    pub fn take_answers(&mut self, now: Instant) -> Vec<message::Answer> {
        let answers = self.entries.values_mut().filter_map(|backend| {
            let answer = backend.load.plain.take_report(now)?;
            Some(message::Answer {
                backend: backend.hash,
                took: Duration::from_secs_f64(answer.ms / 1e3),
                age: now.since(answer.received_at),
            })
        });
        answers.collect()
    }

    /// Records the times of answers that a peer received from backend servers of plain services.
    pub fn record_peer_answers(&mut self, now: Instant, answers: &[message::Answer]) {
        for answer in answers {
            let backend = self.entries.values_mut().find(|backend| backend.hash == answer.backend);
            let Some(backend) = backend else { continue };
            let received_at = Instant(now.0.saturating_sub(answer.age.as_micros() as u64));
            let ms = answer.took.as_secs_f64() * 1e3;
            backend.load.plain.record_peer_answer(plain_load::Answer { received_at, ms });
        }
    }

    fn insert(&mut self, id: Bytes, record: Record) {
        let (run, server) = (record.hash_run(&id), quota::hash(&id));
        let left = record.warm_up_left;
        let reading =
            |previous| warm_up::Reading { server, run, left, previous, is_restored: false };
        let existing = self.keys_by_id.get(&id).and_then(|key| self.entries.get_mut(*key));
        if let Some(backend) = existing {
            let is_same = backend.record.address == record.address
                && backend.record.service == record.service
                && backend.record.started == record.started;
            if is_same {
                let (origin, before) = (origin::key(&record), origin::key(&backend.record));
                if before != origin {
                    self.departures.push((record.service.clone(), before));
                }
                // A record that is merely read again doesn't show that its run goes on.
                if backend.ending.is_none() || backend.record != record {
                    backend.origin = origin;
                }
                let is_written = !self.reads_all && left.is_some_and(|left| !left.is_zero());
                if backend.record.warm_up_left != left || is_written {
                    self.readings.push(reading(Some(backend.record.warm_up_left)));
                }
                backend.load.is_evacuated = self.evacuations.is_evacuated(&record.zone);
                backend.record = record;
                backend.remove_at = None;
                return;
            }
            let has_same_address = backend.record.address == record.address;
            let pause = backend.next_paused_until.filter(|_| has_same_address);
            self.remove_ended(&id);
            if pause.is_some() {
                let stated = self.stated.entry(run).or_default();
                stated.paused_until = stated.paused_until.max(pause);
            }
        }
        self.readings.push(reading(None));
        if record.started.is_some() && self.has_departed(run) {
            self.returned_runs.push(run);
        }
        let service = record.service.clone();
        let mut load = Load::default();
        load.stated = self.stated.get(&run).copied().unwrap_or_default();
        load.is_evacuated = self.evacuations.is_evacuated(&record.zone);
        let backend = Backend {
            id: id.clone(),
            hash: server as u32,
            run,
            server,
            origin: origin::key(&record),
            record,
            load,
            ending: None,
            next_paused_until: None,
            remove_at: None,
            peer_samples: HashMap::new(),
        };
        let key = self.entries.insert(backend);
        self.keys_by_id.insert(id, key);
        self.keys_by_server.insert(server, key);
        self.keys_by_service.entry(service).or_default().push(key);
    }

    fn set_removal_time(&mut self, id: &Bytes, at: Instant) {
        let backend = self.keys_by_id.get(id).and_then(|key| self.entries.get_mut(*key));
        if let Some(backend) = backend {
            backend.remove_at.get_or_insert(at);
        }
    }

    fn remove_ended(&mut self, id: &Bytes) {
        let run = self.remove(id);
        self.ended_runs.extend(run);
    }

    /// Removes a backend server and returns its run.
    fn remove(&mut self, id: &Bytes) -> Option<u64> {
        let key = self.keys_by_id.remove(id)?;
        let backend = self.entries.remove(key)?;
        self.keys_by_server.remove(&backend.server);
        if backend.record.started.is_none() {
            // A later run under the identifier has the same hash.
            self.stated.remove(&backend.run);
        }
        if let Some(keys) = self.keys_by_service.get_mut(&backend.record.service) {
            keys.retain(|other| *other != key);
        }
        let origin = origin::key(&backend.record);
        self.departures.push((backend.record.service.clone(), origin));
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back((backend.run, backend.server));
        Some(backend.run)
    }
}
