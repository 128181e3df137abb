//! Follows the store: one reading of everything, then a watch for changes.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::time;
use gate::{Event, Machine, source::Update};
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use platform::store::{self, Change, Page};

use crate::{
    clock,
    connection::Pool,
    error::{Error, Kind, Step},
    gateway::Gateway,
};

/// Time that a watch waits. Each return is a call that is paid for; a longer wait leaves less of
/// the lease on keys when the store falls silent.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Time for a watch's answer beyond the wait.
const WATCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Times for the answer of a store that was lost, one try after the other: a silent one is asked
/// often, and a slow one has time to answer.
const PROBE_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(300), Duration::from_millis(1200)];
/// Time for the answer of a reading.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time to connect to the store, which is some milliseconds away. A store that was silent is
/// found again only by a new try.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// First wait after a failure; each further one doubles it.
const FIRST_RETRY: Duration = Duration::from_millis(80);
/// Longest wait after a failure. While the store is lost, calls with keys are refused, which
/// costs callers more than the tries cost the store.
const MAX_RETRY: Duration = Duration::from_millis(240);
/// Time between looks whether this process has to read the store.
const IDLE_POLL: Duration = Duration::from_millis(50);
/// Age of what is known up to which a store that is lost is asked seldom: peers vouch for it.
const VOUCHED_AGE: Duration = Duration::from_millis(2000);
/// Wait after a failure while peers vouch for what is known.
const VOUCHED_RETRY: Duration = Duration::from_millis(1000);
/// Idle time after which the connection is not used again.
const IDLE: Duration = Duration::from_secs(5);

/// Reads and watches until the process ends, while the machine says so.
pub async fn follow(gateway: Rc<Gateway>, address: SocketAddr) {
    let pool = Pool::new(address, CONNECT_TIMEOUT);
    let mut reader = Reader { gateway, pool, compacted: false, failures: 0 };
    let mut retry = FIRST_RETRY;
    let mut lost = true;
    loop {
        if !reader.gateway.read(|machine| machine.must_read_store(clock::now())) {
            time::sleep(IDLE_POLL).await;
            continue;
        }
        match reader.step().await {
            Ok(()) => {
                if std::mem::take(&mut lost) {
                    let revision = reader.gateway.read(Machine::revision);
                    tracing::info!(event = "store_reached", revision);
                }
                retry = FIRST_RETRY;
                reader.failures = 0;
            }
            Err(error) => {
                reader.failures += 1;
                if !std::mem::replace(&mut lost, true) {
                    tracing::warn!(event = "store_lost", %error);
                }
                reader.gateway.feed(Event::StoreUnreachable);
                let age = reader.gateway.read(|machine| machine.age(clock::now()));
                let vouched = age.is_some_and(|age| age < VOUCHED_AGE);
                let pause = if vouched { VOUCHED_RETRY } else { retry };
                time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                retry = (retry * 2).min(MAX_RETRY);
            }
        }
    }
}

/// Puts in force what a peer's answer brought, unless the state has moved on meanwhile.
pub fn install(gateway: &Rc<Gateway>, learned: Update) {
    if gateway.read(Machine::revision) != Some(learned.from) {
        return;
    }
    for entry in &learned.entries {
        apply(gateway, store::decode_change(entry));
    }
    gateway.feed(Event::Installed(learned));
}

fn apply(gateway: &Rc<Gateway>, change: Change) {
    match change {
        Change::Catalog(catalog) => {
            let version = catalog.version;
            let routes = catalog.routes.len();
            tracing::info!(event = "configuration_read", version, routes);
            gateway.feed(Event::Catalog(Rc::new(catalog)));
        }
        Change::Backend { id, record } => {
            let name = String::from_utf8_lossy(&id).into_owned();
            let draining = record.as_ref().map(|record| record.draining);
            tracing::info!(event = "replica_changed", replica = name, ?draining);
            gateway.feed(Event::Record { id, record });
        }
        Change::Unreadable { key, error } => {
            tracing::warn!(event = "store_value_unreadable", key, error);
        }
        Change::Other => {}
    }
}

struct Reader {
    gateway: Rc<Gateway>,
    pool: Pool,
    /// The store has forgotten the changes since the revision in force.
    compacted: bool,
    /// Calls in a row that failed.
    failures: usize,
}

impl Reader {
    async fn step(&mut self) -> Result<(), Error> {
        match self.revision().filter(|_| !self.compacted) {
            Some(revision) => self.watch(revision).await,
            None => self.read().await,
        }
    }

    /// Returns the revision up to which changes are known, from the store or from a peer.
    fn revision(&self) -> Option<u64> {
        self.gateway.read(Machine::revision)
    }

    async fn watch(&mut self, revision: u64) -> Result<(), Error> {
        let at = clock::now();
        let (wait, limit) = match self.failures {
            0 => (WATCH_WAIT, WATCH_WAIT + WATCH_TIMEOUT),
            failures => (Duration::ZERO, PROBE_TIMEOUTS[failures % PROBE_TIMEOUTS.len()]),
        };
        let path = store::watch_path(revision, wait);
        let (status, text) = self.get(&path, limit).await?;
        if store::is_compacted(status) {
            tracing::info!(event = "store_compacted", revision);
            self.compacted = true;
            return Ok(());
        }
        let reading = self.accept(status, &text, store::decode_watch)?;
        if self.revision() != Some(revision) {
            // A peer told more meanwhile; the next watch goes on from there.
            return Ok(());
        }
        for entry in &reading.entries {
            apply(&self.gateway, store::decode_change(entry));
        }
        let to = reading.revision.max(revision);
        let entries = reading.entries;
        self.gateway.feed(Event::StoreRead { at, from: Some(revision), to, entries });
        Ok(())
    }

    /// Reads everything. Pages are no snapshot, so the watch goes on from the first one's
    /// revision.
    async fn read(&mut self) -> Result<(), Error> {
        let at = clock::now();
        let before = self.revision();
        let mut changes = Vec::new();
        let mut first = None;
        let mut path = Some(store::first_page_path());
        while let Some(next) = path {
            let (status, text) = self.get(&next, READ_TIMEOUT).await?;
            let reading = self.accept(status, &text, store::decode_page)?;
            first.get_or_insert(reading.revision);
            changes.extend(reading.entries.iter().map(store::decode_change));
            path = reading.next;
        }
        if self.revision() != before {
            return Ok(());
        }
        let mut records = Vec::new();
        for change in changes {
            match change {
                Change::Backend { id, record: Some(record) } => records.push((id, record)),
                Change::Backend { record: None, .. } => {}
                change => apply(&self.gateway, change),
            }
        }
        self.compacted = false;
        self.gateway.feed(Event::Records(records));
        let to = first.unwrap_or_default();
        self.gateway.feed(Event::StoreRead { at, from: None, to, entries: Vec::new() });
        Ok(())
    }

    fn accept(
        &self,
        status: u16,
        text: &Bytes,
        decode: fn(&[u8]) -> Result<Page, serde_json::Error>,
    ) -> Result<Page, Error> {
        let address = self.pool.address();
        if status != 200 {
            return Err(Error::of_kind(Step::Receive, address, Kind::Status(status)));
        }
        decode(text).map_err(|error| Error::new(Step::Decode, address, error))
    }

    async fn get(&self, path: &str, limit: Duration) -> Result<(u16, Bytes), Error> {
        let address = self.pool.address();
        self.gateway.metrics.count_store_call();
        let request = Request::builder()
            .uri(path)
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| Error::new(Step::Send, address, error))?;
        let answer = async {
            let sent = self.pool.send(request).await;
            let (response, sender) =
                sent.map_err(|fault| Error::new(Step::Send, address, format!("{fault:?}")))?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| Error::new(Step::Receive, address, error))?;
            self.pool.keep(sender, IDLE);
            Ok((status, body.to_bytes()))
        };
        let answer = time::timeout(limit, answer).await;
        answer.map_err(|_| Error::of_kind(Step::Receive, address, Kind::Timeout))?
    }
}
