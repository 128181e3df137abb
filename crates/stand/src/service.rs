//! Plain service: responds on any path and records the requests that it ran.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use wire::{header, time::Instant};
use xxhash_rust::xxh3;

use crate::{
    clock::Clock,
    http::{self, Body, HandlerResult, Request},
    port::{Controller, Port},
};

/// Path whose responses are large, and the size of what fills them, in bytes.
const LARGE_PATH: &str = "/bids/large";
const LARGE_BYTES: usize = 1_000_000;
/// Prefix of paths that are answered with the status at their end.
const STATUS_PREFIX: &str = "/bids/status/";

/// Settings of the service.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Time from a request to its response.
    pub latency: Duration,
    /// Time from a crash until the port is open again.
    pub restart: Duration,
}

/// Record of one request that was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    pub request_id: String,
    pub method: String,
    pub path: String,
    /// Hash of the request body.
    pub body_hash: u64,
    pub instance: u64,
    /// Time of the effect on the service's own clock.
    pub at: Instant,
}

#[derive(Deserialize)]
struct Control {
    #[serde(default)]
    crash: bool,
    latency_ms: Option<u64>,
}

#[derive(Debug)]
struct Shared {
    restart: Duration,
    clock: Clock,
    controller: Rc<Controller>,
    latency: Cell<Duration>,
    instance: Cell<u64>,
    effects: RefCell<Vec<Effect>>,
}

/// A running service; dropping it stops the server.
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
pub fn spawn(address: SocketAddr, settings: Settings) -> io::Result<Service> {
    let controller = Rc::new(Controller::default());
    let shared = Rc::new(Shared {
        restart: settings.restart,
        clock: Clock::start(),
        controller: controller.clone(),
        latency: Cell::new(settings.latency),
        instance: Cell::new(fastrand::u64(..)),
        effects: RefCell::default(),
    });
    let handler_shared = shared.clone();
    let port =
        http::serve(address, controller, move |request| handle(handler_shared.clone(), request))?;
    Ok(Service { shared, port })
}

impl Service {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Returns the instance number; each crash changes it.
    pub fn instance(&self) -> u64 {
        self.shared.instance.get()
    }

    /// Returns the record of all requests that were run, over all instances.
    pub fn record(&self) -> Vec<Effect> {
        self.shared.effects.borrow().clone()
    }

    /// Changes the time from a request to its response.
    pub fn set_latency(&self, latency: Duration) {
        self.shared.latency.set(latency);
    }

    /// Drops all connections and restarts as a new instance.
    pub fn crash(&self) {
        crash(&self.shared, None);
    }
}

async fn handle(shared: Rc<Shared>, request: Request) -> HandlerResult {
    let id = request.header(header::REQUEST_ID).to_owned();
    Ok(http::add_request_id(respond(shared, request).await?, &id))
}

async fn respond(shared: Rc<Shared>, request: Request) -> HandlerResult {
    match request.path.as_str() {
        "/record" => Ok(http::json_lines(&*shared.effects.borrow())),
        "/control" => Ok(control(&shared, &request)),
        "/health" => Ok(add_instance_header(&shared, http::text(StatusCode::OK, "ok\n"))),
        _ => run(&shared, request).await,
    }
}

async fn run(shared: &Rc<Shared>, request: Request) -> HandlerResult {
    let instance = shared.instance.get();
    let body_hash = xxh3::xxh3_64(&request.body);
    shared.effects.borrow_mut().push(Effect {
        request_id: request.header(header::REQUEST_ID).to_owned(),
        method: request.method.to_string(),
        path: request.path.clone(),
        body_hash,
        instance,
        at: shared.clock.now(),
    });
    let latency = shared.latency.get();
    if !latency.is_zero() {
        compio::time::sleep(latency).await;
    }
    if shared.instance.get() != instance {
        return Err(http::connection_aborted());
    }
    let result = serde_json::json!({
        "method": request.method.as_str(),
        "path": request.path,
        "body_hash": format!("{body_hash:016x}"),
        "filler": if request.path == LARGE_PATH { "x".repeat(LARGE_BYTES) } else { String::new() },
    });
    let mut response = http::json(&result);
    if let Some(status) = request.path.strip_prefix(STATUS_PREFIX) {
        *response.status_mut() = status.parse().unwrap_or(StatusCode::NOT_FOUND);
    }
    Ok(add_instance_header(shared, response))
}

fn add_instance_header(shared: &Shared, response: Response<Body>) -> Response<Body> {
    http::add_instance_header(response, shared.instance.get())
}

fn control(shared: &Rc<Shared>, request: &Request) -> Response<Body> {
    let control: Control = match request.json() {
        Ok(control) => control,
        Err(reason) => return http::bad_request(reason),
    };
    if let Some(latency) = control.latency_ms {
        shared.latency.set(Duration::from_millis(latency));
    }
    if control.crash {
        crash(shared, Some(request.connection));
    }
    http::text(StatusCode::OK, "ok\n")
}

fn crash(shared: &Shared, kept_connection: Option<u64>) {
    shared.instance.set(shared.instance.get().wrapping_add(1));
    shared.controller.crash(kept_connection, shared.restart);
}
