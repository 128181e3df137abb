//! Starts one test double as a process.

use std::{
    io::{self, Write},
    net::SocketAddr,
    pin::pin,
    process::ExitCode,
};

use compio::signal::unix;
use futures_util::future::select;
use stand::{
    configuration, engine, hosts,
    options::{Command, HELP, Options},
    proxy, service,
};

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let (listen, command) = match Options::parse(lexopt::Parser::from_env()) {
        Ok(Options::Run { listen, command }) => (listen, command),
        Ok(Options::Help) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Ok(Options::Version) => {
            println!("quincespoke-stand {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = compio::runtime::Runtime::new();
    match runtime.and_then(|runtime| runtime.block_on(run(listen, command))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {listen}: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(listen: SocketAddr, command: Command) -> io::Result<()> {
    match command {
        Command::Engine(settings) => {
            let engine = engine::spawn(listen, settings)?;
            run_until_signal(format!("listening={}", engine.address())).await
        }
        Command::Service(settings) => {
            let service = service::spawn(listen, settings)?;
            run_until_signal(format!("listening={}", service.address())).await
        }
        Command::Configuration => {
            let service = configuration::spawn(listen)?;
            run_until_signal(format!("listening={}", service.address())).await
        }
        Command::Hosts { lag } => {
            let hosts = hosts::spawn(listen, lag)?;
            run_until_signal(format!("listening={}", hosts.address())).await
        }
        Command::Proxy { target, control } => {
            let proxy = proxy::spawn(listen, target)?;
            let control = proxy.control(control)?;
            run_until_signal(format!("listening={} control={}", proxy.address(), control.address()))
                .await
        }
    }
}

/// Prints `line`, which contains the bound addresses, and waits for SIGTERM or SIGINT.
async fn run_until_signal(line: String) -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "{line}")?;
    out.flush()?;
    select(pin!(unix::signal(SIGTERM)), pin!(unix::signal(SIGINT))).await;
    Ok(())
}
