//! Configuration service: the read and blocking-query part of Consul's KV HTTP API.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    clock::Clock,
    http::{self, Body, HandlerResult, Request},
    port::{Controller, Port},
    signal::Signal,
};

const KV: &str = "/v1/kv/";
const CONTROL: &str = "/control/";
/// Largest value; Consul's own limit is 512 KB.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest wait of a blocking query, as in Consul.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Wait of a blocking query without a `wait` parameter, as in Consul.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

#[derive(Clone, Debug)]
struct Item {
    /// `None` marks a deleted key, which is kept so that its index wakes watches.
    value: Option<Bytes>,
    create_index: u64,
    modify_index: u64,
}

/// State of all keys at one time.
#[derive(Clone, Debug, Default)]
struct Snapshot {
    items: BTreeMap<String, Item>,
    index: u64,
}

/// One key in the form of the API.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Pair<'a> {
    lock_index: u64,
    key: &'a str,
    flags: u64,
    value: String,
    create_index: u64,
    modify_index: u64,
}

#[derive(Deserialize)]
struct Control {
    down: Option<bool>,
    stale: Option<bool>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    current: RefCell<Snapshot>,
    /// State that reads return while the service is stale.
    stale: RefCell<Option<Snapshot>>,
    down: Cell<bool>,
    changed: Signal,
    read_count: Cell<u64>,
}

/// A running configuration service; dropping it stops the server.
#[derive(Debug)]
pub struct Service {
    shared: Rc<Shared>,
    port: Port,
}

/// Starts the service on the current runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn spawn(address: SocketAddr) -> io::Result<Service> {
    let shared = Rc::new(Shared {
        clock: Clock::start(),
        current: RefCell::default(),
        stale: RefCell::default(),
        down: Cell::new(false),
        changed: Signal::default(),
        read_count: Cell::new(0),
    });
    let handler_shared = shared.clone();
    let controller = Rc::new(Controller::default());
    let port =
        http::serve(address, controller, move |request| handle(handler_shared.clone(), request))?;
    Ok(Service { shared, port })
}

impl Service {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Publishes a value and returns its index.
    pub fn publish(&self, key: &str, value: impl Into<Bytes>) -> u64 {
        self.shared.set(key, Some(value.into()))
    }

    /// Deletes a key and returns the index of the deletion.
    pub fn delete(&self, key: &str) -> u64 {
        self.shared.set(key, None)
    }

    /// Makes reads fail by dropping their connections, those of waiting watches included.
    pub fn set_down(&self, down: bool) {
        self.shared.set_down(down);
    }

    /// Makes reads return the keys as they are now, until this is unset.
    pub fn set_stale(&self, stale: bool) {
        self.shared.set_stale(stale);
    }

    /// Returns the number of reads so far; a watch counts once.
    pub fn read_count(&self) -> u64 {
        self.shared.read_count.get()
    }
}

impl Shared {
    fn set(&self, key: &str, value: Option<Bytes>) -> u64 {
        let mut current = self.current.borrow_mut();
        current.index += 1;
        let index = current.index;
        let item = current.items.entry(key.to_owned()).or_insert_with(|| Item {
            value: None,
            create_index: index,
            modify_index: index,
        });
        if item.value.is_none() {
            item.create_index = index;
        }
        item.value = value;
        item.modify_index = index;
        drop(current);
        self.changed.notify();
        index
    }

    fn set_down(&self, down: bool) {
        self.down.set(down);
        self.changed.notify();
    }

    fn set_stale(&self, stale: bool) {
        let snapshot = stale.then(|| self.current.borrow().clone());
        self.stale.replace(snapshot);
        self.changed.notify();
    }

    /// Runs `read` on the state that callers see.
    fn with_visible<T>(&self, read: impl FnOnce(&Snapshot) -> T) -> T {
        match &*self.stale.borrow() {
            Some(snapshot) => read(snapshot),
            None => read(&self.current.borrow()),
        }
    }
}

impl Snapshot {
    fn matching(&self, key: &str, recurse: bool) -> impl Iterator<Item = (&str, &Item)> {
        let range = self.items.range(key.to_owned()..);
        range
            .take_while(move |(name, _)| name.starts_with(key))
            .filter(move |(name, _)| recurse || *name == key)
            .map(|(name, item)| (name.as_str(), item))
    }

    /// Returns the index of the last change to the matching keys; if none was ever set, the
    /// index of the store, but at least 1.
    fn index(&self, key: &str, recurse: bool) -> u64 {
        let last_change = self.matching(key, recurse).map(|(_, item)| item.modify_index).max();
        last_change.unwrap_or(self.index).max(1)
    }
}

async fn handle(shared: Rc<Shared>, request: Request) -> HandlerResult {
    if let Some(key) = request.path.strip_prefix(KV) {
        if request.method != Method::GET {
            return Ok(http::text(StatusCode::METHOD_NOT_ALLOWED, "read only\n"));
        }
        return read(&shared, key, &request).await;
    }
    Ok(match (&request.method, request.path.as_str()) {
        (&Method::GET, "/count") => {
            http::json(&serde_json::json!({"calls": shared.read_count.get()}))
        }
        (&Method::POST, "/control/state") => control(&shared, &request),
        _ => match request.path.strip_prefix(CONTROL) {
            Some(key) => publish(&shared, key, &request),
            None => http::not_found(),
        },
    })
}

fn publish(shared: &Shared, key: &str, request: &Request) -> Response<Body> {
    let index = match request.method {
        Method::PUT if request.body.len() > MAX_VALUE_BYTES => {
            return http::text(StatusCode::PAYLOAD_TOO_LARGE, "value over 1 MB\n");
        }
        Method::PUT => shared.set(key, Some(request.body.clone())),
        Method::DELETE => shared.set(key, None),
        _ => return http::not_found(),
    };
    http::json(&serde_json::json!({"index": index}))
}

fn control(shared: &Shared, request: &Request) -> Response<Body> {
    let control: Control = match request.json() {
        Ok(control) => control,
        Err(reason) => return http::bad_request(reason),
    };
    if let Some(down) = control.down {
        shared.set_down(down);
    }
    if let Some(stale) = control.stale {
        shared.set_stale(stale);
    }
    http::text(StatusCode::OK, "ok\n")
}

async fn read(shared: &Shared, key: &str, request: &Request) -> HandlerResult {
    shared.read_count.set(shared.read_count.get() + 1);
    let recurse = request.param("recurse").is_some_and(|value| value != "false");
    let known_index: u64 = match request.param("index").unwrap_or("0").parse() {
        Ok(known_index) => known_index,
        Err(_) => return Ok(http::bad_request("index: not a number\n")),
    };
    let Some(wait) = request.param("wait").map_or(Some(DEFAULT_WAIT), parse_duration) else {
        return Ok(http::bad_request("wait: not a time\n"));
    };
    let until = shared.clock.now() + wait.min(MAX_WAIT);
    loop {
        if shared.down.get() {
            return Err(http::connection_aborted());
        }
        let seen_changes = shared.changed.changes();
        let index = shared.with_visible(|keys| keys.index(key, recurse));
        if known_index == 0 || index > known_index {
            break;
        }
        let timeout = pin!(shared.clock.sleep_until(until));
        if let Either::Left(_) = select(timeout, pin!(shared.changed.wait(seen_changes))).await {
            break;
        }
    }
    Ok(shared.with_visible(|keys| pairs_response(keys, key, recurse)))
}

fn pairs_response(keys: &Snapshot, key: &str, recurse: bool) -> Response<Body> {
    let present = keys.matching(key, recurse).filter_map(|(key, item)| {
        Some(Pair {
            lock_index: 0,
            key,
            flags: 0,
            value: STANDARD.encode(item.value.as_ref()?),
            create_index: item.create_index,
            modify_index: item.modify_index,
        })
    });
    let present: Vec<Pair<'_>> = present.collect();
    let mut response = match present.is_empty() {
        true => http::text(StatusCode::NOT_FOUND, ""),
        false => http::json(&present),
    };
    response.headers_mut().insert("x-consul-index", keys.index(key, recurse).into());
    response
}

/// Parses a duration such as `55s`, `5m` or `100ms`.
fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (count, unit) = text.split_at(unit_start);
    let count: u64 = count.parse().ok()?;
    match unit {
        "ms" => Some(Duration::from_millis(count)),
        "s" => Some(Duration::from_secs(count)),
        "m" => Some(Duration::from_secs(count.checked_mul(60)?)),
        _ => None,
    }
}
