//! Measures settings distribution in virtual time: messages, bytes, time until a change is in
//! force everywhere, reads of the platform's services and processor time of each event.
//!
//! `cargo run --release -p sync --example fleet -- MODE PROCESSES BRANCHES BRANCH_BYTES SECONDS`
//! with MODE `idle`, `changes` (48,000 a day), `zone` (one zone stopped), `regions` (two halves
//! apart for SECONDS, then joined) or `one` (one process at the target size).

mod net;
mod one;
mod report;
mod setup;

use std::{env, process::ExitCode};

use net::{Net, SECOND};

/// Configuration changes in one second at the target size.
const CHANGES_PER_SECOND: f64 = 48_000.0 / 86_400.0;
/// Time for every process to start and for the first settings to be in force everywhere.
const WARM_UP: u64 = 12 * SECOND;
/// Bounds of the arguments, so that a run ends.
const MAX_PROCESSES: usize = 13_000;
const MAX_SECONDS: u64 = 600;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let number = |at: usize| args.get(at).and_then(|text| text.parse::<usize>().ok());
    let (Some(mode), Some(count), Some(branches), Some(size), Some(seconds)) =
        (args.first(), number(1), number(2), number(3), number(4))
    else {
        eprintln!("usage: fleet MODE PROCESSES BRANCHES BRANCH_BYTES SECONDS");
        return ExitCode::FAILURE;
    };
    let (count, seconds) = (count.min(MAX_PROCESSES), (seconds as u64).min(MAX_SECONDS));
    if mode == "one" {
        one::run(count, branches, size);
        return ExitCode::SUCCESS;
    }
    let mut net = Net::new(count, branches, size);
    net.run_for(WARM_UP);
    println!("after the start: {}", report::line(&net, WARM_UP / SECOND));
    net.reset_counts();
    match mode.as_str() {
        "idle" => net.run_for(seconds * SECOND),
        "changes" => run_changes(&mut net, seconds),
        "zone" => {
            net.stop_zone(0);
            run_changes(&mut net, seconds);
        }
        "regions" => partition_regions(&mut net, seconds),
        _ => return ExitCode::FAILURE,
    }
    println!("mode={mode} branch_bytes={size} {}", report::line(&net, seconds));
    ExitCode::SUCCESS
}

/// Changes branches at the target rate, then runs long enough for the last change to spread.
fn run_changes(net: &mut Net, seconds: u64) {
    let changes = (seconds as f64 * CHANGES_PER_SECOND) as u64;
    for _ in 0..changes {
        net.change();
        net.run_for((SECOND as f64 / CHANGES_PER_SECOND) as u64);
    }
    net.run_for(4 * SECOND);
}

/// Partitions the regions into two halves, of which one reaches the service, and later ends the
/// partition.
fn partition_regions(net: &mut Net, seconds: u64) {
    net.set_partition(true);
    run_changes(net, seconds);
    println!("while apart: {}", report::line(net, seconds));
    net.reset_traffic();
    net.set_partition(false);
    let started = net.now;
    while net.pending_changes() > 0 && net.now < started + 30 * SECOND {
        net.run_for(SECOND / 10);
    }
    println!("joined_after_ms={}", (net.now - started) / 1_000);
}
