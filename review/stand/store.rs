//! The platform's metadata store. It loses what it acknowledged only when it is restored.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    listener::Listener,
    protocol,
    record::Record,
};

/// A change; `None` as the value is a deletion.
#[derive(Clone)]
struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
}

struct State {
    changes: Vec<Change>,
    revision: u64,
    era: u64,
}

/// First revision, which is above 0.
const FIRST_REVISION: u64 = 100;

pub struct Store {
    address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    run: Mutex<Option<Listener>>,
    record: Arc<Record>,
}

impl Store {
    pub fn start(address: SocketAddr, record: Arc<Record>) -> Arc<Store> {
        let state = State { changes: Vec::new(), revision: FIRST_REVISION, era: 1 };
        let store = Arc::new(Store {
            address,
            state: Mutex::new(state),
            changed: Condvar::new(),
            run: Mutex::default(),
            record,
        });
        store.resume();
        store
    }

    /// Writes an item, or deletes it, and returns the revision. The return is the acknowledgement.
    pub fn write(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.state.lock().expect("lock");
        state.revision += 1;
        let (key, value) = (key.to_owned(), value.map(str::to_owned));
        let shown = value.as_deref().unwrap_or("(removed)");
        self.record.line(&format!("store      revision {} {key} = {shown}", state.revision));
        let revision = state.revision;
        state.changes.push(Change { key, value, revision });
        self.changed.notify_all();
        revision
    }

    /// Returns the current revision, of which a copy may be kept.
    pub fn revision(&self) -> u64 {
        self.state.lock().expect("lock").revision
    }

    /// The store is away.
    pub fn stop(&self) {
        if let Some(run) = self.run.lock().expect("lock").take() {
            self.record.line("store      away");
            run.end();
        }
    }

    /// Loses what was written after a revision, and begins a new era.
    pub fn restore(&self, revision: u64) {
        let mut state = self.state.lock().expect("lock");
        state.changes.retain(|change| change.revision <= revision);
        state.revision = revision;
        state.era += 1;
        self.record.line(&format!("store      a copy of revision {revision}, era {}", state.era));
    }

    pub fn resume(self: &Arc<Store>) {
        let store = self.clone();
        let handler = move |request: &Message, stream: &mut std::net::TcpStream| {
            let (status, era, body) = store.answer(request);
            http::respond(stream, status, &format!("Store-Era: {era}\r\n"), &body).is_ok()
        };
        *self.run.lock().expect("lock") = Some(Listener::start(self.address, Arc::new(handler)));
        self.record.line("store      serves");
    }

    fn answer(&self, request: &Message) -> (u16, u64, String) {
        let path = request.target().split('?').next().unwrap_or_default();
        match path {
            protocol::RANGE_PATH => self.range(request.query("after").unwrap_or_default()),
            protocol::WATCH_PATH => {
                let number = |name| request.query(name).and_then(|v| v.parse().ok()).unwrap_or(0);
                self.watch(number("after"), Duration::from_millis(number("waitMs")))
            }
            _ => (404, self.state.lock().expect("lock").era, String::new()),
        }
    }

    fn range(&self, after: &str) -> (u16, u64, String) {
        let state = self.state.lock().expect("lock");
        let mut items = BTreeMap::new();
        for change in &state.changes {
            match &change.value {
                Some(_) => items.insert(change.key.clone(), change.clone()),
                None => items.remove(&change.key),
            };
        }
        let items = items.values().filter(|item| item.key.as_str() > after).map(encode);
        let items = items.collect::<Vec<_>>().join(",");
        let at = state.revision;
        (200, state.era, format!(r#"{{"items":[{items}],"hasMore":false,"at":{at}}}"#))
    }

    fn watch(&self, after: u64, wait: Duration) -> (u16, u64, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().expect("lock");
        loop {
            let (at, era) = (state.revision, state.era);
            if after > at {
                return (410, era, String::new());
            }
            let left = end.saturating_duration_since(Instant::now());
            let events = state.changes.iter().filter(|change| change.revision > after);
            let events = events.map(encode).collect::<Vec<_>>().join(",");
            if !events.is_empty() || left.is_zero() {
                return (200, era, format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            state = self.changed.wait_timeout(state, left).expect("lock").0;
        }
    }
}

fn encode(change: &Change) -> String {
    let Change { key, value, revision } = change;
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{revision},"lease":0}}"#,
            encode_base64(value.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"isDeleted":true}}"#),
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |n: usize| u32::from(group.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize] as char;
            text.push(if n <= group.len() { digit } else { '=' });
        }
    }
    text
}
