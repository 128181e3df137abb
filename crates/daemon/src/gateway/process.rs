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

use compio::{net, runtime, signal, time};
use conf::gateway;
use futures_channel::mpsc;
use futures_util::future::{LocalBoxFuture, poll_immediate};
use gate::{Event, Machine, machine::Options};
use hyper::{Request, Response, body};

use crate::{
    clock,
    error::{Error, Step},
    gateway::{Gateway, calls::Calls, peers, store},
    http, log,
};

const SIGTERM: i32 = 15;
/// Part of the grace time for which new connections are taken after a stop began, since the
/// balancer sends some until it has asked twice.
const LISTEN_SHARE: f64 = 0.4;
/// Part of the grace time within which open calls may end.
const FINISH_SHARE: f64 = 0.55;

/// Longest wait of callers' connections at the start. Callers give a connection up after a
/// second.
const START_WAIT: Duration = Duration::from_millis(600);
/// Time between looks for a SIGHUP.
const RELOAD_POLL: Duration = Duration::from_millis(500);
/// Time between lines about log lines that were left out.
const DROPPED_PERIOD: Duration = Duration::from_secs(5);
/// Type of the page of metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Time between looks at the state at the start.
const START_POLL: Duration = Duration::from_millis(5);

/// Runs a gateway until a planned stop is complete. `file` is read again on SIGHUP.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn serve(settings: &gateway::Gateway, file: &Path) -> Result<(), Error> {
    // Signals are handled before the first connection is taken.
    let mut terminate = Box::pin(signal::unix::signal(SIGTERM));
    let early = poll_immediate(&mut terminate).await;
    let hangup = Arc::new(AtomicBool::new(false));
    let handled = signal_hook::flag::register(signal_hook::consts::SIGHUP, hangup.clone());
    handled.map_err(|error| Error::new(Step::Signal, settings.callers, error))?;
    let socket = net::UdpSocket::bind(settings.peers).await;
    let socket = socket.map_err(|error| Error::new(Step::Bind, settings.peers, error))?;
    let peers = http::bind(settings.peers).await?;
    let callers = http::bind(settings.callers).await?;
    let readiness = http::bind(settings.readiness).await?;
    let operators = http::bind(settings.operators).await?;
    let (outbox, messages) = mpsc::unbounded();
    let gateway = Gateway::new(Machine::new(clock::now(), options(settings)), outbox);
    let host = String::from_utf8_lossy(&settings.host).into_owned();
    tracing::info!(event = "started", host, callers = %settings.callers, store = %settings.store);
    peers::start(&gateway, Rc::new(socket), messages);
    let answers = Rc::new(peers::Answers { gateway: gateway.clone() });
    runtime::spawn(Rc::new(http::Server::default()).serve(peers, answers)).detach();
    runtime::spawn(store::follow(gateway.clone(), settings.store)).detach();
    let checks = Rc::new(http::Server::default());
    let handler = Rc::new(Readiness { gateway: gateway.clone() });
    runtime::spawn(checks.clone().serve(readiness, handler.clone())).detach();
    let handler = Rc::new(Operators { gateway: gateway.clone() });
    runtime::spawn(checks.serve(operators, handler)).detach();
    runtime::spawn(report_dropped()).detach();
    let server = Rc::new(http::Server::default());
    let handler = Rc::new(Calls { gateway: gateway.clone() });
    runtime::spawn(accept(gateway.clone(), server.clone(), callers, handler)).detach();
    runtime::spawn(reload(hangup, settings.clone(), file.to_owned())).detach();
    gateway.feed(Event::Tick);
    let terminated = match early {
        Some(terminated) => terminated,
        None => terminate.await,
    };
    if let Err(error) = terminated {
        tracing::error!(event = "signal_failed", %error);
    }
    stop(&gateway, &server, settings.bounds.grace).await;
    Ok(())
}

/// Serves callers once the configuration is known. Connections wait until then, since a caller
/// that is refused comes back much later than a reading of the store takes.
async fn accept(
    gateway: Rc<Gateway>,
    server: Rc<http::Server>,
    listener: net::TcpListener,
    calls: Rc<Calls>,
) {
    let started = clock::now();
    let ready = || gateway.read(|machine| machine.is_ready(clock::now()));
    while !ready() && clock::now().since(started) < START_WAIT {
        time::sleep(START_POLL).await;
    }
    server.serve(listener, calls).await;
}

fn options(settings: &gateway::Gateway) -> Options {
    let port = settings.peers.port();
    Options {
        process: fastrand::u64(..),
        address: Some(settings.peers),
        zone: settings.availability_zone.clone(),
        seeds: settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect(),
        bounds: settings.bounds,
        first_start: settings.first_start,
        seed: fastrand::u64(..),
    }
}

async fn stop(gateway: &Rc<Gateway>, server: &Rc<http::Server>, grace: Duration) {
    let open = gateway.read(Machine::open_count);
    tracing::info!(event = "stopping", open);
    gateway.stopping.set(true);
    gateway.feed(Event::Stop);
    time::sleep(grace.mul_f64(LISTEN_SHARE)).await;
    server.close(grace.mul_f64(FINISH_SHARE)).await;
    let open = gateway.read(Machine::open_count);
    tracing::info!(event = "stopped", open);
}

/// Reads the settings again after each SIGHUP. Addresses and bounds hold until the next start.
///
/// The handler stays in place from the start on: one that is installed anew for each signal
/// leaves gaps in which the next signal ends the process.
async fn reload(hangup: Arc<AtomicBool>, settings: gateway::Gateway, file: std::path::PathBuf) {
    loop {
        time::sleep(RELOAD_POLL).await;
        if !hangup.swap(false, Ordering::Relaxed) {
            continue;
        }
        let name = file.display().to_string();
        let read = fs::read_to_string(&file).map_err(|error| error.to_string());
        let parsed = read.and_then(|text| {
            let joined = |errors: Vec<conf::check::Error>| {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                lines.join("; ")
            };
            gateway::parse(&name, &text).map_err(joined)
        });
        match parsed {
            Ok(new) => tracing::info!(event = "settings_read", restart = new != settings),
            Err(error) => tracing::error!(event = "settings_refused", error),
        }
    }
}

/// Logs from time to time how many lines were left out.
async fn report_dropped() {
    let mut known = 0;
    loop {
        time::sleep(DROPPED_PERIOD).await;
        let dropped = log::dropped_lines();
        if dropped > known {
            tracing::warn!(event = "log_lines_dropped", count = dropped - known);
            known = dropped;
        }
    }
}

/// Serves the metrics.
struct Operators {
    gateway: Rc<Gateway>,
}

impl http::Handler for Operators {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        let page = || {
            let now = clock::now();
            self.gateway.read(|machine| self.gateway.metrics.page(now, machine))
        };
        let response = match request.uri().path() {
            "/metrics" => match page() {
                Ok(page) => http::whole(200, METRICS_TYPE, page.into()),
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

/// Answers the balancer's checks.
struct Readiness {
    gateway: Rc<Gateway>,
}

impl http::Handler for Readiness {
    fn handle(
        self: Rc<Self>,
        _request: Request<body::Incoming>,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        let ready = self.gateway.read(|machine| machine.is_ready(clock::now()));
        Box::pin(async move { http::empty(if ready { 200 } else { 503 }) })
    }
}
