//! Backend servers that warm up: what is known of them, and its exchange with other gateways.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use wire::time::Instant;

use super::{Machine, State};
use crate::{
    Action, backends, catalog,
    event::RequestNumber,
    message,
    warm_up::{self, Change, Source, Statement, WarmUps},
};

/// Most servers in one datagram, which stays under 6 kB.
const MAX_REPORTS: usize = 128;
/// Shortest time between two announcements. Records of servers that start together are read
/// together.
const MIN_ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(10);
/// Most announcements that one gateway sends per second, counted by receiver.
const MAX_ANNOUNCEMENTS_PER_S: f64 = 2000.0;
/// Most repeated reports that one gateway sends per second.
const MAX_REPEATS_PER_S: f64 = 25.0;

/// Time without an event after which the process was paused. Ticks and messages of peers come several
/// times a second.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Warm-ups that are known, and their announcement.
#[derive(Debug, Default)]
pub(super) struct Warming {
    pub(super) warm_ups: WarmUps,
    next_announcement: Instant,
    /// Time of the last event.
    last_event: Option<Instant>,
    /// Permits that were used.
    permits_used: u64,
}

/// What a request to a backend server needs a permit for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Restriction {
    /// Run or server that the permits are for.
    pub(super) key: u64,
    /// Permits a second.
    pub(super) rate: f64,
    pub(super) is_warm_up: bool,
}

impl Warming {
    /// Returns the time of the last event.
    pub(super) fn last_event(&self) -> Instant {
        self.last_event.unwrap_or_default()
    }
}

impl Machine {
    /// Returns the time for which a backend server still warms up, and what says so.
    pub fn warm_up_left(&self, now: Instant, key: backends::Key) -> Option<(Duration, Source)> {
        self.warming.warm_ups.left(now, self.backends.get(key)?)
    }

    /// Returns the number of backend servers that warm up.
    pub fn warming_count(&self, now: Instant) -> usize {
        let warm_ups = &self.warming.warm_ups;
        self.backends.iter().filter(|(_, backend)| warm_ups.is_warming(now, backend)).count()
    }

    /// Returns the number of permits that were used for backend servers that warm up.
    pub fn warm_up_permits_used(&self) -> u64 {
        self.warming.permits_used
    }

    /// Returns what restricts the requests to a backend server: its warm-up, with the lower of both
    /// rates, or its rate limit.
    pub(super) fn restriction(
        &self,
        now: Instant,
        backend: &backends::Backend,
    ) -> Option<Restriction> {
        let limit = self.rate_limits.rate(backend.run);
        if self.warming.warm_ups.is_warming(now, backend) {
            let rate = self.warm_up_rate(backend.server)?;
            return Some(Restriction { key: backend.server, rate, is_warm_up: true });
        }
        limit.map(|rate| Restriction { key: backend.run, rate, is_warm_up: false })
    }

    /// Returns the backend servers that each request needs a permit for.
    pub(super) fn restricted(&self, now: Instant) -> HashSet<backends::Key> {
        if self.rate_limits.is_empty() && self.warming.warm_ups.is_disabled() {
            return HashSet::new();
        }
        let is_restricted = |backend| self.restriction(now, backend).is_some();
        let restricted = self.backends.iter().filter(|(_, backend)| is_restricted(backend));
        restricted.map(|(key, _)| key).collect()
    }

    /// Returns the permits a second for a server while it warms up, also if it is known to do so by
    /// other gateways only.
    pub(super) fn warm_up_rate(&self, server: u64) -> Option<f64> {
        let warm_ups = &self.warming.warm_ups;
        match self.backends.by_server(server) {
            Some(backend) => {
                let rate = warm_ups.of_service(&backend.record.service)?.per_s;
                let limit = self.rate_limits.rate(backend.run);
                Some(limit.map_or(rate, |limit| limit.min(rate)))
            }
            None => warm_ups.reported_rate(server),
        }
    }

    /// Returns whether a permit with this key is for a server that warms up.
    pub(super) fn is_warm_up_key(&self, key: u64) -> bool {
        !self.warming.warm_ups.is_disabled() && self.warm_up_rate(key).is_some()
    }

    /// Returns the time by which a request has to be written to its connection. Without a permit,
    /// the server may have begun to warm up while the connection was opened.
    pub(super) fn send_by(
        &self,
        now: Instant,
        service: &[u8],
        permit: Option<Instant>,
    ) -> Option<Instant> {
        self.warming.warm_ups.of_service(service)?;
        let latest = now + warm_up::PERMIT_LIFETIME;
        Some(permit.map_or(latest, |expires_at| expires_at.min(latest)))
    }

    /// Records the time of an event, which may be the first one after a pause of the process.
    pub(super) fn notice_pause(&mut self, now: Instant) {
        let last = self.warming.last_event.replace(now);
        if last.is_some_and(|last| now.since(last) >= MIN_PAUSE) {
            self.warming.warm_ups.record_pause(now);
        }
    }

    pub(super) fn count_warm_up_permit(&mut self) {
        self.warming.permits_used += 1;
    }

    /// Puts the warm-ups of a configuration in force.
    pub(super) fn configure_warm_ups(&mut self, catalog: &catalog::Catalog) {
        self.warming.warm_ups.set_services(self.setup.bounds.warm_up, &catalog.services);
    }

    /// Uses what the records that changed say.
    pub(super) fn apply_readings(&mut self, now: Instant) {
        let has_just_started = self.lease.age(now).is_none();
        for reading in self.backends.take_readings() {
            let Some(warm_up) = self.warm_up_of(reading.server) else { continue };
            let catalog::WarmUp { duration, per_s } = warm_up;
            let warm_ups = &mut self.warming.warm_ups;
            let change = warm_ups.read(now, &reading, per_s, duration, has_just_started);
            self.apply_warm_up(now, reading.server, reading.run, change);
        }
    }

    /// Records that a response says for how long its server still warms up.
    pub(super) fn record_warm_up(&mut self, now: Instant, key: backends::Key, left: Duration) {
        let Some(backend) = self.backends.get(key) else { return };
        let (server, run) = (backend.server, backend.run);
        let Some(warm_up) = self.warm_up_of(server) else { return };
        let statement = Statement { server, run, left, source: Source::Response };
        let change = self.warming.warm_ups.record(now, statement, warm_up.per_s);
        self.apply_warm_up(now, server, run, change);
    }

    /// Records that the server of a dispatched request refused the connection.
    pub(super) fn record_connection_refusal(&mut self, now: Instant, number: RequestNumber) {
        let state = self.open_requests.get(&number).map(|open| open.state);
        let Some(State::Dispatched { backend, .. }) = state else { return };
        let Some(backend) = self.backends.get(backend) else { return };
        let (server, run) = (backend.server, backend.run);
        let Some(warm_up) = self.warm_up_of(server) else { return };
        let left = warm_up.duration;
        let statement = Statement { server, run, left, source: Source::Refusal };
        let change = self.warming.warm_ups.record_refusal(now, statement, warm_up.per_s);
        self.apply_warm_up(now, server, run, change);
    }

    /// Records whether a probe reached a server.
    pub(super) fn record_connection(
        &mut self,
        now: Instant,
        key: backends::Key,
        is_connected: bool,
    ) {
        let Some(backend) = self.backends.get(key) else { return };
        let (server, run) = (backend.server, backend.run);
        let Some(warm_up) = self.warm_up_of(server) else { return };
        let warm_ups = &mut self.warming.warm_ups;
        let change = warm_ups.record_connection(now, server, warm_up.duration, is_connected);
        self.apply_warm_up(now, server, run, change);
    }

    /// Records that a run of a backend server counts as warming up for its service's time from now
    /// on, since the evacuation of its zone ended.
    pub(super) fn presume_warm_up(&mut self, now: Instant, run: u64) {
        let backend = self.backends.iter().find(|(_, backend)| backend.run == run);
        let Some(server) = backend.map(|(_, backend)| backend.server) else { return };
        let Some(warm_up) = self.warm_up_of(server) else { return };
        let left = warm_up.duration;
        let statement = Statement { server, run, left, source: Source::Evacuation };
        let change = self.warming.warm_ups.record(now, statement, warm_up.per_s);
        self.apply_warm_up(now, server, run, change);
    }

    /// Merges the warm-ups that a peer knows.
    pub(super) fn receive_warm_ups(&mut self, now: Instant, reports: &[message::WarmUp]) {
        for report in reports {
            let backend = self.backends.by_server(report.server);
            let known = backend.map(|backend| (backend.run, backend.record.warm_up_left));
            let change = self.warming.warm_ups.merge(now, report, known);
            self.apply_warm_up(now, report.server, report.run, change);
        }
    }

    /// Returns how the service of a server warms up.
    fn warm_up_of(&self, server: u64) -> Option<catalog::WarmUp> {
        let backend = self.backends.by_server(server)?;
        self.warming.warm_ups.of_service(&backend.record.service).copied()
    }

    /// Drops the permits from before a warm-up, and logs the change.
    fn apply_warm_up(&mut self, now: Instant, server: u64, run: u64, change: Option<Change>) {
        let Some(change) = change else { return };
        let backend = self.backends.by_server(server);
        let current_run = backend.map(|backend| backend.run);
        let id = backend.map_or(&[][..], |backend| &backend.id[..]);
        let left = backend.and_then(|backend| self.warming.warm_ups.left(now, backend));
        tracing::info!(
            event = "warm_up_changed",
            replica = %String::from_utf8_lossy(id),
            change = change.name(),
            left_ms = left.map_or(0, |(left, _)| left.as_millis() as u64),
            source = left.map_or(Source::Record, |(_, source)| source).name(),
        );
        if change == Change::Began {
            for key in [Some(server), Some(run), current_run].into_iter().flatten() {
                self.permits.revoke(key);
            }
        }
    }

    /// Returns when warm-ups have to be announced.
    pub(super) fn next_warm_up_announcement(&self) -> Option<Instant> {
        let is_due = self.warming.warm_ups.has_unannounced();
        is_due.then_some(self.warming.next_announcement)
    }

    /// Sends warm-ups that were learned here to all gateways.
    pub(super) fn announce_warm_ups(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.warming.warm_ups.has_unannounced() || now < self.warming.next_announcement {
            return;
        }
        let (targets, _) = self.peers.targets();
        let period = Duration::from_secs_f64(targets.len() as f64 / MAX_ANNOUNCEMENTS_PER_S);
        self.warming.next_announcement = now + period.max(MIN_ANNOUNCEMENT_PERIOD);
        let servers: Vec<u64> = self.warming.warm_ups.take_unannounced().into_iter().collect();
        self.send_warm_ups(now, &targets, &servers, actions);
    }

    /// Sends the warm-ups of the servers whose permits this gateway issues again, as
    /// `repeat_limits` does.
    pub(super) fn repeat_warm_ups(
        &mut self,
        now: Instant,
        mut targets: Vec<SocketAddr>,
        period: Duration,
        actions: &mut Vec<Action>,
    ) {
        let backends = &self.backends;
        self.warming.warm_ups.expire(now, |server| backends.by_server(server).is_some());
        let own_address = self.own_address();
        let mut servers: Vec<u64> = self.warming.warm_ups.servers(now).collect();
        servers.retain(|server| self.issuer_of(now, *server) == own_address);
        if servers.is_empty() {
            return;
        }
        self.rng.shuffle(&mut targets);
        targets.truncate((MAX_REPEATS_PER_S * period.as_secs_f64()).ceil() as usize);
        self.send_warm_ups(now, &targets, &servers, actions);
    }

    /// Sends all warm-ups to a peer that may not have received them.
    pub(super) fn send_all_warm_ups(
        &self,
        now: Instant,
        to: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let servers: Vec<u64> = self.warming.warm_ups.servers(now).collect();
        self.send_warm_ups(now, &[to], &servers, actions);
    }

    fn send_warm_ups(
        &self,
        now: Instant,
        targets: &[SocketAddr],
        servers: &[u64],
        actions: &mut Vec<Action>,
    ) {
        for servers in servers.chunks(MAX_REPORTS) {
            let warm_ups = &self.warming.warm_ups;
            let reports = servers.iter().filter_map(|server| warm_ups.report(now, *server));
            let reports: Vec<message::WarmUp> = reports.collect();
            for to in targets {
                let datagram = message::Datagram::WarmUps(reports.clone());
                actions.push(Action::Send { to: *to, datagram });
            }
        }
    }
}
