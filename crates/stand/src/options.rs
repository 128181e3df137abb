//! Command line of `quincespoke-stand`.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use lexopt::{Arg, Parser, ValueExt};

use crate::{engine, service};

/// Text printed for `--help`.
pub const HELP: &str = "\
Test doubles for the systems around quincespoke.

Usage: quincespoke-stand COMMAND [OPTIONS]

Commands and their options:
  engine         model engine
    --prefill-rate N          prompt tokens per second at speed 1 [20000]
    --step-us N               base time of a decode step [10000]
    --step-per-job-us N       time each decoding job adds to a step [200]
    --speed X                 speed relative to these figures [1]
    --chunk-tokens N          prompt tokens per step at most [512]
    --max-batch N             jobs in the batch at most [64]
    --block-tokens N          tokens per block of the prefix cache [64]
    --cache-blocks N          blocks in the prefix cache [4096]
    --load-lag-ms N           age of the load reports [500]
    --restart-ms N            time from a crash to the next instance [2000]
    --retention-ms N          how long finished streams can be resumed [30000]
    --checks-fence            refuse orders with a lower x-fence
  service        plain service
    --latency-ms N            time from a call to its answer [0]
    --restart-ms N            time from a crash to the next instance [0]
  configuration  configuration service
  hosts          host list
    --lag-ms N                time until a change is visible [0]
  proxy          fault-injecting TCP proxy
    --target ADDR             address to connect to
    --control ADDR            address of the control interface [127.0.0.1:0]

Options of all commands:
  --listen ADDR  address to listen on [127.0.0.1:0]
  --help         print this text
  --version      print the version

Prints `listening=ADDR` when bound. SIGTERM and SIGINT stop it.
";

/// Test double to start, with its settings.
#[derive(Clone, Debug)]
pub enum Command {
    Engine(engine::Settings),
    Service(service::Settings),
    Configuration,
    Hosts { lag: Duration },
    Proxy { target: SocketAddr, control: SocketAddr },
}

/// Parsed command line.
#[derive(Clone, Debug)]
pub enum Options {
    Help,
    Version,
    Run { listen: SocketAddr, command: Command },
}

impl Options {
    /// Parses a command line.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid argument.
    pub fn parse(mut parser: Parser) -> Result<Options, lexopt::Error> {
        let mut command = match parser.next()? {
            Some(Arg::Value(name)) => default_command(&name.string()?)?,
            Some(Arg::Long("help") | Arg::Short('h')) => return Ok(Options::Help),
            Some(Arg::Long("version") | Arg::Short('V')) => return Ok(Options::Version),
            Some(arg) => return Err(arg.unexpected()),
            None => return Err("no command; see --help".into()),
        };
        let mut listen = any_port();
        while let Some(arg) = parser.next()? {
            let name = match arg {
                Arg::Long("help") | Arg::Short('h') => return Ok(Options::Help),
                Arg::Long("version") | Arg::Short('V') => return Ok(Options::Version),
                Arg::Long(name) => name.to_owned(),
                _ => return Err(arg.unexpected()),
            };
            match name.as_str() {
                "listen" => listen = parse_value(&mut parser)?,
                name => set_option(&mut command, name, &mut parser)?,
            }
        }
        if matches!(&command, Command::Proxy { target, .. } if target.port() == 0) {
            return Err("proxy: --target is required".into());
        }
        Ok(Options::Run { listen, command })
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn default_command(name: &str) -> Result<Command, lexopt::Error> {
    match name {
        "engine" => Ok(Command::Engine(engine::Settings::default())),
        "service" => Ok(Command::Service(service::Settings::default())),
        "configuration" => Ok(Command::Configuration),
        "hosts" => Ok(Command::Hosts { lag: Duration::ZERO }),
        "proxy" => Ok(Command::Proxy { target: any_port(), control: any_port() }),
        other => Err(format!("unknown command {other:?}; see --help").into()),
    }
}

fn set_option(command: &mut Command, name: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
    match (command, name) {
        (Command::Engine(engine), name) => return set_engine(engine, name, parser),
        (Command::Service(service), "latency-ms") => service.latency = parse_millis(parser)?,
        (Command::Service(service), "restart-ms") => service.restart = parse_millis(parser)?,
        (Command::Hosts { lag }, "lag-ms") => *lag = parse_millis(parser)?,
        (Command::Proxy { target, .. }, "target") => *target = parse_value(parser)?,
        (Command::Proxy { control, .. }, "control") => *control = parse_value(parser)?,
        _ => return Err(format!("invalid option '--{name}'").into()),
    }
    Ok(())
}

fn set_engine(
    engine: &mut engine::Settings,
    name: &str,
    parser: &mut Parser,
) -> Result<(), lexopt::Error> {
    let model = &mut engine.model;
    match name {
        "prefill-rate" => model.prefill_rate = parse_positive(parser)?,
        "step-us" => model.step_base = parse_micros(parser)?,
        "step-per-job-us" => model.step_per_job = parse_micros(parser)?,
        "speed" => model.speed = parse_positive(parser)?,
        "chunk-tokens" => model.chunk_tokens = parse_value(parser)?,
        "max-batch" => model.max_batch = parse_value(parser)?,
        "block-tokens" => model.block_tokens = parse_value(parser)?,
        "cache-blocks" => model.cache_blocks = parse_value(parser)?,
        "load-lag-ms" => model.load_lag = parse_millis(parser)?,
        "restart-ms" => model.restart = parse_millis(parser)?,
        "retention-ms" => engine.retention = parse_millis(parser)?,
        "checks-fence" => engine.checks_fence = true,
        _ => return Err(format!("invalid option '--{name}'").into()),
    }
    Ok(())
}

fn parse_value<T>(parser: &mut Parser) -> Result<T, lexopt::Error>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    parser.value()?.parse()
}

fn parse_positive(parser: &mut Parser) -> Result<f64, lexopt::Error> {
    let number: f64 = parse_value(parser)?;
    if number.is_finite() && number > 0.0 {
        return Ok(number);
    }
    Err(format!("{number} is not a positive number").into())
}

fn parse_millis(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(parse_value(parser)?))
}

fn parse_micros(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_micros(parse_value(parser)?))
}
