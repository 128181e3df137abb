//! Runs a small cluster of separate processes, sends requests through it and stops it.

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use std::{env, ffi::OsString, process::ExitCode};

use cluster::Cluster;
use daemon::{options, run};

/// Argument that makes this program run as the daemon.
const AS_DAEMON: &str = "as-daemon";

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    if args.get(1).is_some_and(|arg| arg == AS_DAEMON) {
        args.remove(1);
        return match options::parse(args) {
            Ok(options::Command::Run(options)) => run::run(&options).into(),
            _ => ExitCode::FAILURE,
        };
    }
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(demonstrate()) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

async fn demonstrate() -> bool {
    let program = env::current_exe().expect("the program has a path");
    let program = program.display().to_string();
    println!("starting 2 entries, 3 agents, 2 stand-in engines and 1 stand-in service");
    let mut cluster = Cluster::start(&[&program, AS_DAEMON], 2, 2, 1).await;

    println!("\nchat completion through {}:", cluster.entries[0].host);
    let chat = cluster.send_chat(0, "Describe lot 7: a walnut bureau, about 1780.", 12, true).await;
    println!("{}", String::from_utf8_lossy(&chat.body).trim_end());
    println!("status {}, request {}", chat.status, chat.request_id.clone().unwrap_or_default());

    println!("\na bid sent twice under one idempotency key, through both entries:");
    let key = cluster.issue_key(0).await;
    let first = cluster.send_bid(0, &key).await;
    let second = cluster.send_bid(1, &key).await;
    println!("{} then {}: {}", first.status, second.status, String::from_utf8_lossy(&second.body));
    let run_count = cluster.bid_run_count();
    println!("the service ran it {run_count} time(s)");

    println!("\nstopping");
    let mut is_clean = true;
    for mut daemon in cluster.entries.drain(..).chain(cluster.agents.drain(..)) {
        daemon.signal("TERM");
        is_clean &= daemon.wait().await == Some(0);
    }
    let is_success = is_clean
        && chat.is_complete()
        && first.is_complete()
        && second.is_complete()
        && run_count == 1;
    println!("{}", if is_success { "done" } else { "FAILED" });
    is_success
}
