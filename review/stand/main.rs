//! Stand-ins of the review: the store, replicas and clients, and one case for each name that the
//! scripts give. The gateways are the project's own program.
//!
//! usage: stand CASE RECORD; the disruption is left out with TROUBLE=0 in the environment.

mod client;
mod gateway;
mod http;
mod listener;
mod record;
mod replica;
mod store;

mod protocol {
    include!("protocol.in");
}

mod cases;

use std::{env, path::Path, process, thread, time::Duration};

/// Exit codes of a case.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;
/// Longest time for a case. The script then ends the gateways.
const TIMEOUT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: stand CASE RECORD");
        process::exit(NOT_RUN);
    };
    thread::spawn(|| {
        thread::sleep(TIMEOUT);
        eprintln!("the case takes too long");
        process::exit(NOT_RUN);
    });
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, record) = (case.clone(), record.clone());
    let result = std::panic::catch_unwind(|| cases::run(&case, Path::new(&record), trouble));
    process::exit(match result {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(_) => NOT_RUN,
    });
}
