//! Measures what the daemon costs on loopback: latency, processor time and memory.
//!
//! `cargo run --release -p daemon --example cost -- MODE` with MODE
//! `latency`, `rate`, `stream`, `open`, `hosts`, `accounts`, `idle AGENTS` or `machines`.

mod client;
mod fleet;
mod machines;
mod usage;

use std::{
    env,
    ffi::OsString,
    process::ExitCode,
    time::{Duration, Instant},
};

use compio::time::sleep;
use daemon::{options, run};
use fleet::Fleet;

/// Pairs of calls in the comparison of latencies.
const PAIRS: usize = 4_000;
/// Calls in one measurement of the rate.
const CALLS: usize = 30_000;
/// Streamed answers for each caller.
const STREAMS: usize = 5;
/// Agents in one measurement at most.
const MAX_AGENTS: usize = 60;
/// Time for a process to settle before it is measured.
const SETTLE: Duration = Duration::from_secs(4);

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    let mode = args.get(1).and_then(|arg| arg.to_str()).unwrap_or_default().to_owned();
    if mode == fleet::AS_DAEMON {
        args.remove(1);
        return match options::parse(args) {
            Ok(options::Command::Run(options)) => run::run(&options).into(),
            _ => ExitCode::FAILURE,
        };
    }
    let number = args.get(2).and_then(|arg| arg.to_str()?.parse().ok()).unwrap_or(0);
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        match mode.as_str() {
            fleet::AS_SERVICE => fleet::serve(number).await,
            fleet::AS_ENGINE => fleet::serve_model().await,
            "latency" => latency().await,
            "stream" => stream().await,
            "rate" => rate().await,
            "open" => open().await,
            "hosts" => hosts().await,
            "accounts" => accounts().await,
            "idle" => idle((number as usize).min(MAX_AGENTS)).await,
            "machines" => machines::run(),
            _ => return ExitCode::FAILURE,
        }
        ExitCode::SUCCESS
    })
}

/// Compares a direct call with one through entry and agent, one of each in turn.
async fn latency() {
    let mut fleet = Fleet::start(23).await;
    fleet.start_agents(1, 0).await;
    fleet.start_entry().await;
    let mut direct = client::Client::connect(fleet.services[0].address).await;
    let mut through = client::Client::connect(fleet.entries[0].address).await;
    let (mut plain, mut added) = (Vec::new(), Vec::new());
    for pair in 0..PAIRS + PAIRS / 10 {
        let started = Instant::now();
        direct.call().await;
        let first = started.elapsed();
        through.call().await;
        // The first calls open connections and are left out.
        if pair >= PAIRS / 10 {
            plain.push(first);
            added.push(started.elapsed() - first);
        }
    }
    plain.sort_unstable();
    added.sort_unstable();
    for (name, part) in [("median", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let at = (PAIRS as f64 * part) as usize;
        let (direct, through) = (plain[at].as_secs_f64() * 1e3, added[at].as_secs_f64() * 1e3);
        println!(
            "{name}: direct_ms={direct:.3} through_ms={through:.3} added_ms={:.3} ratio={:.1}",
            through - direct,
            through / direct
        );
    }
}

/// Measures processor time of entry and agents for each short plain request.
async fn rate() {
    let mut fleet = Fleet::start(23).await;
    fleet.start_agents(3, 0).await;
    fleet.start_entry().await;
    for width in [1, 16, 64] {
        let entry = usage::Usage::of(fleet.entries[0].pid());
        let agents: Vec<_> = fleet.agents.iter().map(|a| usage::Usage::of(a.pid())).collect();
        let services: Vec<_> = fleet.services.iter().map(|s| usage::Usage::of(s.pid())).collect();
        let own = usage::Usage::of(std::process::id());
        let started = Instant::now();
        let calls = if width == 1 { CALLS / 6 } else { CALLS };
        let answered = client::run(fleet.entries[0].address, width, calls).await;
        let wall = started.elapsed().as_secs_f64();
        let each = |seconds: f64| seconds * 1e6 / answered as f64;
        let entry = entry.spent();
        let agent: f64 = agents.iter().map(usage::Usage::spent).sum();
        let service: f64 = services.iter().map(usage::Usage::spent).sum();
        println!(
            "width={width} answered={answered}/{calls} wall_per_s={:.0} entry_us={:.1} \
             agent_us={:.1} stand_in_us={:.1} caller_us={:.1} entry_per_core_s={:.0} \
             agent_per_core_s={:.0} entry_busy={:.2}",
            answered as f64 / wall,
            each(entry),
            each(agent),
            each(service),
            each(own.spent()),
            answered as f64 / entry,
            answered as f64 / agent,
            entry / wall,
        );
    }
}

/// Measures processor time of entry and agents for each generated token of streamed answers.
async fn stream() {
    let mut fleet = Fleet::start(23).await;
    fleet.serves_models = true;
    fleet.start_agents(3, 0).await;
    fleet.start_entry().await;
    for width in [8, 48] {
        let entry = usage::Usage::of(fleet.entries[0].pid());
        let agents: Vec<_> = fleet.agents.iter().map(|a| usage::Usage::of(a.pid())).collect();
        let started = Instant::now();
        let frames = client::stream(fleet.entries[0].address, width, STREAMS * width).await;
        let (wall, entry) = (started.elapsed().as_secs_f64(), entry.spent());
        let agent: f64 = agents.iter().map(usage::Usage::spent).sum();
        println!(
            "streams={width} frames={frames} frames_per_s={:.0} entry_us={:.1} agent_us={:.1}",
            frames as f64 / wall,
            entry * 1e6 / frames as f64,
            agent * 1e6 / frames as f64
        );
    }
}

/// Measures memory of entry and agent for open requests that wait.
async fn open() {
    let mut fleet = Fleet::start(23).await;
    fleet.service_latency_ms = 600_000;
    fleet.start_agents(1, 0).await;
    fleet.start_entry().await;
    sleep(SETTLE).await;
    let mut held = Vec::new();
    let (entry, agent) = (fleet.entries[0].pid(), fleet.agents[0].pid());
    let first = (usage::resident_kb(entry), usage::resident_kb(agent));
    for count in [0, 1_000, 5_000] {
        while held.len() < count {
            held.push(client::open(fleet.entries[0].address).await);
        }
        sleep(SETTLE).await;
        let now = (usage::resident_kb(entry), usage::resident_kb(agent));
        let each = |now: i64, first: i64| (now - first) as f64 / count.max(1) as f64;
        println!(
            "open={count} entry_kb={} agent_kb={} entry_kb_each={:.2} agent_kb_each={:.2} {}",
            now.0,
            now.1,
            each(now.0, first.0),
            each(now.1, first.1),
            fleet.status(&fleet.entries[0]).await,
        );
    }
    let before = (usage::Usage::of(entry), usage::Usage::of(agent));
    sleep(SETTLE).await;
    let span = SETTLE.as_secs_f64() / 100.0;
    println!(
        "waiting: entry_percent={:.2} agent_percent={:.2}",
        before.0.spent() / span,
        before.1.spent() / span
    );
}

/// Measures memory and processor time of an entry for each host of the list.
async fn hosts() {
    for count in [100, 1_000, 5_000, 12_600] {
        let mut fleet = Fleet::start(23).await;
        fleet.start_agents(1, count - 1).await;
        fleet.start_entry().await;
        let pid = fleet.entries[0].pid();
        sleep(SETTLE).await;
        let resident = usage::resident_kb(pid);
        let before = usage::Usage::of(pid);
        sleep(SETTLE).await;
        let percent = before.spent() * 100.0 / SETTLE.as_secs_f64();
        let status = fleet.status(&fleet.entries[0]).await;
        println!("hosts={count} entry_kb={resident} idle_percent={percent:.2} {status}");
    }
}

/// Measures memory of entry and agent for each account.
async fn accounts() {
    for count in [23, 2_300] {
        let mut fleet = Fleet::start(count).await;
        fleet.start_agents(1, 0).await;
        fleet.start_entry().await;
        sleep(SETTLE).await;
        let entry = usage::resident_kb(fleet.entries[0].pid());
        let agent = usage::resident_kb(fleet.agents[0].pid());
        println!("accounts={count} entry_kb={entry} agent_kb={agent}");
    }
}

/// Measures control of idle agents: processor time, memory and bytes on loopback.
async fn idle(count: usize) {
    let mut fleet = Fleet::start(2_300).await;
    fleet.start_agents(count, 0).await;
    sleep(2 * SETTLE).await;
    let agents: Vec<_> = fleet.agents.iter().map(|a| usage::Usage::of(a.pid())).collect();
    let (bytes, started) = (usage::loopback_bytes(), Instant::now());
    sleep(5 * SETTLE).await;
    let (bytes, span) = (usage::loopback_bytes() - bytes, started.elapsed().as_secs_f64());
    let spent: Vec<f64> = agents.iter().map(|usage| usage.spent() * 100.0 / span).collect();
    let resident: Vec<i64> = fleet.agents.iter().map(|a| usage::resident_kb(a.pid())).collect();
    println!(
        "agents={count} percent_mean={:.2} percent_max={:.2} kb_mean={} kb_max={} \
         loopback_bytes_s_per_agent={:.0}",
        spent.iter().sum::<f64>() / count as f64,
        spent.iter().copied().fold(0.0, f64::max),
        resident.iter().sum::<i64>() / count as i64,
        resident.iter().max().unwrap_or(&0),
        bytes as f64 / span / count as f64,
    );
}
