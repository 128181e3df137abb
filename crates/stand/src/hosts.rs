//! Host list of the platform, served as JSON over HTTP. Changes become visible after a lag.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::{Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use wire::{host, time::Instant};

use crate::{
    clock::Clock,
    http::{self, Body, HandlerResult, Request},
    port::{Controller, Port},
};

#[derive(Debug)]
struct Version {
    visible_at: Instant,
    revision: u64,
    hosts: Vec<host::Record>,
}

#[derive(Deserialize)]
struct Control {
    down: Option<bool>,
    lag_ms: Option<u64>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    lag: Cell<Duration>,
    down: Cell<bool>,
    /// Ordered by revision; the first one is visible to readers.
    versions: RefCell<VecDeque<Version>>,
}

/// A running host list; dropping it stops the server.
#[derive(Debug)]
pub struct Hosts {
    shared: Rc<Shared>,
    port: Port,
}

/// Starts the host list, empty at revision 0, on the current runtime.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn spawn(address: SocketAddr, lag: Duration) -> io::Result<Hosts> {
    let empty = Version { visible_at: Instant::default(), revision: 0, hosts: Vec::new() };
    let shared = Rc::new(Shared {
        clock: Clock::start(),
        lag: Cell::new(lag),
        down: Cell::new(false),
        versions: RefCell::new(VecDeque::from([empty])),
    });
    let handler_shared = shared.clone();
    let controller = Rc::new(Controller::default());
    let port =
        http::serve(address, controller, move |request| handle(handler_shared.clone(), request))?;
    Ok(Hosts { shared, port })
}

impl Hosts {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Replaces the list and returns its revision. The first list is visible immediately, each
    /// later one after the lag.
    pub fn set(&self, hosts: Vec<host::Record>) -> u64 {
        self.shared.publish(hosts)
    }

    /// Makes reads fail by dropping their connections.
    pub fn set_down(&self, down: bool) {
        self.shared.down.set(down);
    }

    /// Sets the lag of the changes that follow.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lag.set(lag);
    }
}

impl Shared {
    fn publish(&self, hosts: Vec<host::Record>) -> u64 {
        let mut versions = self.versions.borrow_mut();
        let latest = versions.back();
        let revision = latest.map_or(0, |latest| latest.revision) + 1;
        // Changes become visible in order, even if the lag was lowered between them.
        let earliest = latest.map_or(Instant::default(), |latest| latest.visible_at);
        let lag = if revision == 1 { Duration::ZERO } else { self.lag.get() };
        let visible_at = earliest.max(self.clock.now() + lag);
        versions.push_back(Version { visible_at, revision, hosts });
        revision
    }

    fn visible_list(&self) -> Response<Body> {
        let now = self.clock.now();
        let mut versions = self.versions.borrow_mut();
        while versions.get(1).is_some_and(|next| next.visible_at <= now) {
            versions.pop_front();
        }
        let visible = &versions[0];
        let hosts: Vec<Value> = visible.hosts.iter().map(record_json).collect();
        http::json(&json!({"revision": visible.revision, "hosts": hosts}))
    }
}

/// Returns a record as JSON with its names as strings. The derived form of a byte string is an
/// array of numbers, which the processes accept too but which operators can't read.
fn record_json(record: &host::Record) -> Value {
    let mut value = serde_json::to_value(record).expect("records serialise");
    value["host"] = String::from_utf8_lossy(&record.host).into();
    value["availability_zone"] = String::from_utf8_lossy(&record.availability_zone).into();
    value["pool"] = String::from_utf8_lossy(&record.pool).into();
    value
}

async fn handle(shared: Rc<Shared>, request: Request) -> HandlerResult {
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/hosts") if shared.down.get() => Err(http::connection_aborted()),
        (&Method::GET, "/hosts") => Ok(shared.visible_list()),
        (&Method::PUT, "/control/hosts") => {
            Ok(request.json().map_or_else(http::bad_request, |hosts| {
                http::json(&json!({"revision": shared.publish(hosts)}))
            }))
        }
        (&Method::POST, "/control/state") => Ok(control(&shared, &request)),
        _ => Ok(http::not_found()),
    }
}

fn control(shared: &Shared, request: &Request) -> Response<Body> {
    let control: Control = match request.json() {
        Ok(control) => control,
        Err(reason) => return http::bad_request(reason),
    };
    if let Some(down) = control.down {
        shared.down.set(down);
    }
    if let Some(lag) = control.lag_ms {
        shared.lag.set(Duration::from_millis(lag));
    }
    http::text(StatusCode::OK, "ok\n")
}
