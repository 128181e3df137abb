//! Commands of the daemon: assembles the parts of a process and runs them.

use std::{cell::RefCell, fs, io::Write, rc::Rc, time::Duration};

use compio::{runtime, signal::unix};
use conf::{gateway as gateway_settings, process};
use futures_channel::oneshot;
use futures_util::future::{self, LocalBoxFuture};
use hyper::{Request, Response, body};
use signal_hook::consts;
use wire::{host, id, sync::Exchange};

use crate::{
    backend,
    caller::{self, Caller},
    callers::Callers,
    distribution::Distribution,
    error::{Error, Step},
    exit_code::ExitCode,
    gateway, http, log,
    metrics::Metrics,
    operators::Operators,
    options, peer,
    role::{Identity, Role},
    role_agent::Agent,
    role_entry::Entry,
    signal, trace,
};

const NAME: &str = "quincespoked";
/// Time for connections to send the last bytes of responses after a planned stop.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two reports of the metrics on callers.
const CALLERS_PERIOD: Duration = Duration::from_secs(1);
/// Bound on an encoded exchange: 4 MiB of branch text, a digest, requested names and suspects.
const MAX_ENCODED_EXCHANGE_BYTES: u64 = 8 << 20;

/// Prints text such as the help.
pub fn print_text(text: &str) -> ExitCode {
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::Success
}

/// Reports a bad command line.
pub fn report_usage_error(error: &lexopt::Error) -> ExitCode {
    eprintln!("{NAME}: {error}; see '{NAME} --help'");
    ExitCode::Usage
}

/// Checks the settings file and prints every error.
pub fn check(options: &options::Options) -> ExitCode {
    match read_settings(options) {
        Ok(_) => ExitCode::Success,
        Err(code) => code,
    }
}

/// Settings of a process of any role.
enum Settings {
    Gateway(gateway_settings::Settings),
    EntryOrAgent(process::Settings),
}

/// Runs the daemon until a planned stop is complete.
pub fn run(options: &options::Options) -> ExitCode {
    let settings = match read_settings(options) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let level = match &settings {
        Settings::Gateway(settings) => &settings.log_level,
        Settings::EntryOrAgent(settings) => &settings.log_level,
    };
    let _log = log::start(level);
    let runtime = match runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{NAME}: runtime: {error}");
            return ExitCode::Startup;
        }
    };
    let served = match &settings {
        Settings::Gateway(settings) => {
            runtime.block_on(gateway::serve(settings, &options.settings))
        }
        Settings::EntryOrAgent(settings) => runtime.block_on(serve(settings)),
    };
    match served {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            eprintln!("{NAME}: {error}");
            ExitCode::Startup
        }
    }
}

fn read_settings(options: &options::Options) -> Result<Settings, ExitCode> {
    let file = options.settings.display().to_string();
    let text = fs::read_to_string(&options.settings).map_err(|error| {
        eprintln!("{NAME}: {file}: {error}");
        ExitCode::BadSettings
    })?;
    let parsed = match gateway_settings::is_gateway(&text) {
        true => gateway_settings::parse(&file, &text).map(Settings::Gateway),
        false => process::parse(&file, &text).map(Settings::EntryOrAgent),
    };
    parsed.map_err(|errors| {
        for error in errors {
            eprintln!("{NAME}: {error}");
        }
        ExitCode::BadSettings
    })
}

/// Replies to messages of other processes. Settings exchanges go to settings distribution, all
/// other messages to the role.
struct Peers {
    role: Rc<dyn Role>,
    distribution: Rc<Distribution>,
}

impl http::Handler for Peers {
    fn handle(
        self: Rc<Self>,
        request: Request<body::Incoming>,
        caller: Caller,
    ) -> LocalBoxFuture<'static, Response<http::Body>> {
        if request.uri().path() != "/sync" {
            return self.role.clone().handle_message(request, caller);
        }
        Box::pin(async move {
            let limit = MAX_ENCODED_EXCHANGE_BYTES;
            let body = http::read_body(request.into_body(), limit, &caller).await;
            let exchange = body.ok().and_then(|b| wire::frame::decode::<Exchange>(&b).ok());
            let Some(exchange) = exchange else { return http::empty(400) };
            match self.distribution.handle_exchange(exchange).await {
                Some(reply) => http::buffered(200, peer::CONTENT_TYPE, wire::frame::encode(&reply)),
                None => http::empty(503),
            }
        })
    }
}

/// Settings and shared parts from which both roles are built.
struct Context<'a> {
    settings: &'a process::Settings,
    identity: Identity,
    metrics: Rc<Metrics>,
    traces: Rc<trace::Store>,
    registry: Rc<caller::Registry>,
    server: Rc<http::Server>,
    on_stopped: Rc<dyn Fn()>,
}

async fn serve(settings: &process::Settings) -> Result<(), Error> {
    let terminate = signal::Listener::install(consts::SIGTERM)
        .map_err(|error| Error::new(Step::Signal, settings.peers, error))?;
    let peers = http::bind(settings.peers).await?;
    let operators = http::bind(settings.operators).await?;
    let (on_stopped, stop_complete) = stopped_channel();
    let registry = caller::Registry::new(settings.resources);
    let context = Context {
        settings,
        identity: identify(settings),
        metrics: Rc::new(Metrics::new(settings.statsd)),
        traces: Rc::default(),
        server: http::Server::new(&registry),
        registry,
        on_stopped,
    };
    let host = String::from_utf8_lossy(&settings.host).into_owned();
    tracing::info!(event = "started", host, peers = %settings.peers, role = ?settings.role);
    let (role, distribution) = match settings.role {
        host::Role::Entry => start_entry(&context).await?,
        host::Role::Agent => start_agent(&context),
    };
    listen(&context, role.clone(), distribution, peers, operators);
    let interrupt = Box::pin(unix::signal(consts::SIGINT));
    future::select(Box::pin(terminate.receive()), interrupt).await;
    tracing::info!(event = "stopping");
    role.stop();
    let _ = stop_complete.await;
    context.server.close(FLUSH_TIMEOUT).await;
    tracing::info!(event = "stopped");
    Ok(())
}

fn identify(settings: &process::Settings) -> Identity {
    Identity {
        process: id::Process(fastrand::u64(..)),
        host: settings.host.clone(),
        availability_zone: settings.availability_zone.clone(),
        role: settings.role,
        address: settings.peers,
        seed: fastrand::u64(..),
    }
}

async fn start_entry(context: &Context<'_>) -> Result<(Rc<dyn Role>, Rc<Distribution>), Error> {
    let entry = Entry::new(
        context.identity.clone(),
        context.metrics.clone(),
        context.traces.clone(),
        context.on_stopped.clone(),
    );
    if let Some(address) = context.settings.callers {
        let listener = http::bind(address).await?;
        let handler = Callers::new(entry.clone());
        runtime::spawn(context.server.clone().serve(listener, handler)).detach();
    }
    let distribution = Distribution::start(context.settings, &context.identity, entry.clone());
    entry.set_distribution(&distribution);
    Ok((entry, distribution))
}

fn start_agent(context: &Context<'_>) -> (Rc<dyn Role>, Rc<Distribution>) {
    let settings = context.settings;
    let agent = Agent::start(
        &context.identity,
        settings.pool.clone(),
        backend::Client::new(settings.backend.unwrap_or(settings.peers)),
        context.metrics.clone(),
        context.traces.clone(),
        context.on_stopped.clone(),
    );
    let distribution = Distribution::start(settings, &context.identity, agent.clone());
    agent.set_distribution(&distribution);
    (agent, distribution)
}

fn listen(
    context: &Context<'_>,
    role: Rc<dyn Role>,
    distribution: Rc<Distribution>,
    peers: compio::net::TcpListener,
    operators: compio::net::TcpListener,
) {
    let peer_handler = Rc::new(Peers { role: role.clone(), distribution: distribution.clone() });
    runtime::spawn(context.server.clone().serve(peers, peer_handler)).detach();
    let operator_handler = Rc::new(Operators {
        identity: context.identity.clone(),
        role,
        distribution,
        metrics: context.metrics.clone(),
        traces: context.traces.clone(),
    });
    // Operators watch a planned stop until the process ends, so their connections have a server of
    // their own, which the stop does not wait for.
    let operator_server = http::Server::new(&context.registry);
    if context.settings.statsd.is_some() {
        let (metrics, registry) = (context.metrics.clone(), context.registry.clone());
        runtime::spawn(send_callers(metrics, registry)).detach();
    }
    runtime::spawn(operator_server.serve(operators, operator_handler)).detach();
}

/// Sends the metrics on callers.
async fn send_callers(metrics: Rc<Metrics>, registry: Rc<caller::Registry>) {
    let mut before = registry.counts();
    loop {
        compio::time::sleep(CALLERS_PERIOD).await;
        metrics.send_callers(&registry, before);
        before = registry.counts();
    }
}

/// Returns a function to call at the end of a planned stop and a future that waits for that call.
fn stopped_channel() -> (Rc<dyn Fn()>, oneshot::Receiver<()>) {
    let (sender, receiver) = oneshot::channel();
    let sender = RefCell::new(Some(sender));
    let on_stopped = Rc::new(move || {
        if let Some(sender) = sender.borrow_mut().take() {
            let _ = sender.send(());
        }
    });
    (on_stopped, receiver)
}
