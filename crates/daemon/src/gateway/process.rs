//! Start and stop of a gateway process.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use compio::{net, runtime, time};
use conf::gateway;
use futures_channel::mpsc;
use futures_util::future::LocalBoxFuture;
use gate::{Event, Machine, machine::Setup, source};
use hyper::{Request, Response, body};
use signal_hook::consts;
use wire::time::Instant;

use crate::{
    caller::{self, Caller},
    clock,
    error::{Error, Step},
    gateway::{Gateway, peers, requests::RequestHandler, store},
    http, log, signal,
};

/// Part of the grace time in which connections stay open after a stop began, since the load balancer
/// opens connections until two of its readiness checks have failed.
const ACCEPT_SHARE: f64 = 0.4;
/// Part of the grace time after which the process ends. The rest is for the end itself.
const END_SHARE: f64 = 0.95;

/// Part of the grace time after which requests without a response are answered, so that their callers
/// get it before the process ends.
const INTERRUPT_SHARE: f64 = 0.9;

/// Longest time for which callers' connections wait at the start of the process. Callers give up a
/// connection after a second.
const MAX_START_WAIT: Duration = Duration::from_millis(600);
/// Time between checks for a SIGHUP.
const RELOAD_POLL_PERIOD: Duration = Duration::from_millis(500);
/// Time between reports of dropped log lines.
const DROP_REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Content type of the metrics page.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Time between checks at the start whether the machine is ready.
const START_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Runs a gateway until a planned stop is complete. `file` is read and checked again on SIGHUP.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a signal handler can't be installed.
pub async fn serve(settings: &gateway::Settings, file: &Path) -> Result<(), Error> {
    // Both signal handlers are installed before the first connection is accepted.
    let install_error = |error| Error::new(Step::Signal, settings.callers, error);
    let terminate = signal::Listener::install(consts::SIGTERM).map_err(install_error)?;
    let hangup = Arc::new(AtomicBool::new(false));
    let registered = signal_hook::flag::register(consts::SIGHUP, hangup.clone());
    registered.map_err(install_error)?;
    let socket = net::UdpSocket::bind(settings.peers).await;
    let socket = socket.map_err(|error| Error::new(Step::Bind, settings.peers, error))?;
    let peers = http::bind(settings.peers).await?;
    let callers = http::bind(settings.callers).await?;
    let readiness = http::bind(settings.readiness).await?;
    let operators = http::bind(settings.operators).await?;
    let (outbox, datagrams) = mpsc::unbounded();
    let machine = Machine::new(clock::now(), build_setup(settings));
    let (store_reads, read_requests) = mpsc::unbounded();
    let registry = caller::Registry::new(settings.resources);
    let gateway = Gateway::new(
        machine,
        registry.clone(),
        settings.link_mbps,
        outbox,
        store_reads,
        terminate.clone(),
    );
    let host = String::from_utf8_lossy(&settings.host).into_owned();
    tracing::info!(
        event = "started",
        host,
        callers = %settings.callers,
        store = %settings.store,
        memory_bytes = settings.resources.memory,
        descriptors = settings.resources.descriptors,
    );
    peers::start(&gateway, Rc::new(socket), datagrams);
    let query_handler = Rc::new(peers::QueryHandler { gateway: gateway.clone() });
    runtime::spawn(http::Server::new(&registry).serve(peers, query_handler)).detach();
    runtime::spawn(store::follow(gateway.clone(), settings.store)).detach();
    let on_demand = store::read_on_demand(gateway.clone(), settings.store, read_requests);
    runtime::spawn(on_demand).detach();
    let internal_server = http::Server::new(&registry);
    let handler = Rc::new(ReadinessHandler { gateway: gateway.clone() });
    runtime::spawn(internal_server.clone().serve(readiness, handler.clone())).detach();
    let handler = Rc::new(MetricsHandler { gateway: gateway.clone() });
    runtime::spawn(internal_server.serve(operators, handler)).detach();
    runtime::spawn(report_dropped_lines()).detach();
    let server = http::Server::new(&registry);
    let handler = Rc::new(RequestHandler { gateway: gateway.clone() });
    runtime::spawn(serve_callers(gateway.clone(), server.clone(), callers, handler)).detach();
    runtime::spawn(reload(hangup, settings.clone(), file.to_owned())).detach();
    gateway.feed(Event::Tick);
    let requested_at = terminate.receive().await;
    stop(&gateway, &server, requested_at, settings.bounds.grace).await;
    gateway.driver.close();
    Ok(())
}

/// Serves callers once the machine is ready or `MAX_START_WAIT` is over. Connections wait until
/// then, since reading the store takes much less time than a refused caller waits before it
/// retries.
async fn serve_callers(
    gateway: Rc<Gateway>,
    server: Rc<http::Server>,
    listener: net::TcpListener,
    handler: Rc<RequestHandler>,
) {
    let started = clock::now();
    let ready = || gateway.read(|machine| machine.is_ready(clock::now()));
    while !ready() && clock::now().since(started) < MAX_START_WAIT {
        time::sleep(START_POLL_PERIOD).await;
    }
    server.serve(listener, handler).await;
}

fn build_setup(settings: &gateway::Settings) -> Setup {
    let port = settings.peers.port();
    Setup {
        process: source::process_number(settings.link_mbps, fastrand::u64(..)),
        address: Some(settings.peers),
        availability_zone: settings.availability_zone.clone(),
        seeds: settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect(),
        bounds: settings.bounds,
        hedging: settings.hedging,
        first_start: settings.first_start,
        seed: fastrand::u64(..),
    }
}

/// Carries out a planned stop. The grace time counts from the arrival of the signal, which the
/// process may handle later.
async fn stop(
    gateway: &Rc<Gateway>,
    server: &Rc<http::Server>,
    requested_at: Instant,
    grace: Duration,
) {
    tracing::info!(
        event = "stopping",
        open = gateway.read(Machine::open_count),
        connections = server.open_connections(),
        delay_ms = clock::now().since(requested_at).as_millis() as u64,
    );
    gateway.begin_stop(requested_at);
    runtime::spawn(interrupt(gateway.clone(), requested_at + grace.mul_f64(INTERRUPT_SHARE)))
        .detach();
    let wait_until = requested_at + grace.mul_f64(ACCEPT_SHARE);
    time::sleep(wait_until.since(clock::now())).await;
    let end = requested_at + grace.mul_f64(END_SHARE);
    server.close(end.since(clock::now())).await;
    gateway.read(|machine| log_abandoned(machine, requested_at));
    tracing::info!(
        event = "stopped",
        open = gateway.read(Machine::open_count),
        connections = server.open_connections(),
        took_ms = clock::now().since(requested_at).as_millis() as u64,
    );
}

/// Ends the requests for which no response has begun, at `end`.
async fn interrupt(gateway: Rc<Gateway>, end: Instant) {
    time::sleep(end.since(clock::now())).await;
    gateway.interrupt();
}

/// Logs the requests that end with the process. `arrived_ms` is the time from the request to stop to
/// the arrival of the request, and negative if it arrived before.
fn log_abandoned(machine: &Machine, requested_at: Instant) {
    for entry in machine.open_entries() {
        let arrived_ms = (entry.arrived_at.0 as i64 - requested_at.0 as i64) / 1000;
        tracing::warn!(
            event = "abandoned",
            id = %String::from_utf8_lossy(&entry.request.id),
            arrived_ms,
            attempts = entry.attempts,
        );
    }
}

/// Reads and checks the settings again after each SIGHUP. Changes take effect at the next start.
///
/// The signal handler is installed only once. If it were installed anew for each signal, a signal
/// that arrives in between would end the process.
async fn reload(hangup: Arc<AtomicBool>, settings: gateway::Settings, file: std::path::PathBuf) {
    loop {
        time::sleep(RELOAD_POLL_PERIOD).await;
        if !hangup.swap(false, Ordering::Relaxed) {
            continue;
        }
        let name = file.display().to_string();
        let read = fs::read_to_string(&file).map_err(|error| error.to_string());
        let parsed = read.and_then(|text| {
            let join_errors = |errors: Vec<conf::check::Error>| {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                lines.join("; ")
            };
            gateway::parse(&name, &text).map_err(join_errors)
        });
        match parsed {
            Ok(new) => tracing::info!(event = "settings_read", restart = new != settings),
            Err(error) => tracing::error!(event = "settings_refused", error),
        }
    }
}

/// Logs periodically how many log lines were dropped.
async fn report_dropped_lines() {
    let mut reported = 0;
    loop {
        time::sleep(DROP_REPORT_PERIOD).await;
        let dropped = log::dropped_lines();
        if dropped > reported {
            tracing::warn!(event = "log_lines_dropped", count = dropped - reported);
            reported = dropped;
        }
    }
}

/// Serves the metrics.
struct MetricsHandler {
    gateway: Rc<Gateway>,
}

impl http::Handler for MetricsHandler {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        _caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        let page = || {
            let now = clock::now();
            self.gateway.metrics.record_callers(&self.gateway.registry);
            self.gateway.read(|machine| self.gateway.metrics.encode(now, machine))
        };
        let response = match request.uri().path() {
            "/metrics" => match page() {
                Ok(page) => http::buffered(200, METRICS_CONTENT_TYPE, page.into()),
                Err(error) => {
                    tracing::error!(event = "metrics_failed", %error);
                    http::empty(500)
                }
            },
            _ => http::empty(404),
        };
        Box::pin(async move { response })
    }
}

/// Responds to the load balancer's readiness checks.
struct ReadinessHandler {
    gateway: Rc<Gateway>,
}

impl http::Handler for ReadinessHandler {
    fn handle(
        self: Rc<Self>,
        _request: Request<body::Incoming>,
        _caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        self.gateway.begin_requested_stop();
        let ready = self.gateway.read(|machine| machine.is_ready(clock::now()));
        Box::pin(async move { http::empty(if ready { 200 } else { 503 }) })
    }
}
