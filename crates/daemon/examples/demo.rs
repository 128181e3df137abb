//! Runs a small fleet as separate processes, sends requests through it and stops it.

#[path = "../tests/world/mod.rs"]
mod world;

use std::{env, ffi::OsString, process::ExitCode};

use daemon::{options, run};
use world::World;

/// Argument with which the demonstration starts itself as the daemon.
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
    let mut world = World::start(&[&program, AS_DAEMON], 2, 2, 1).await;

    println!("\nchat completion through {}:", world.entries[0].host);
    let chat = world.chat(0, "Describe lot 7: a walnut bureau, about 1780.", 12, true).await;
    println!("{}", String::from_utf8_lossy(&chat.body).trim_end());
    println!("status {}, request {}", chat.status, chat.request_id.clone().unwrap_or_default());

    println!("\na bid sent twice under one idempotency key, through both entries:");
    let key = world.key(0).await;
    let first = world.bid(0, &key).await;
    let again = world.bid(1, &key).await;
    println!("{} then {}: {}", first.status, again.status, String::from_utf8_lossy(&again.body));
    let ran = world.bids_run();
    println!("the service ran it {ran} time(s)");

    println!("\nstopping");
    let mut clean = true;
    for mut daemon in world.entries.drain(..).chain(world.agents.drain(..)) {
        daemon.signal("TERM");
        clean &= daemon.wait().await == Some(0);
    }
    let done = clean && chat.is_whole() && first.is_whole() && again.is_whole() && ran == 1;
    println!("{}", if done { "done" } else { "FAILED" });
    done
}
