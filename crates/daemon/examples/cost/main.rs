//! Measures the cost of the daemon on loopback: latency, processor time and memory.
//!
//! `cargo run --release -p daemon --example cost -- MODE` with MODE
//! `latency`, `rate`, `stream`, `open`, `hosts`, `accounts`, `idle AGENTS`, `machines` or
//! `configuration`.

mod caller;
mod cluster;
mod configuration;
mod machines;
mod usage;

use std::{
    env,
    ffi::OsString,
    process::ExitCode,
    time::{Duration, Instant},
};

use cluster::Cluster;
use compio::time::sleep;
use daemon::{options, run};

/// Number of request pairs in the latency comparison.
const PAIRS: usize = 4_000;
/// Number of requests in one measurement of processor time per request.
const REQUESTS: usize = 30_000;
/// Number of streamed responses for each caller.
const STREAMS: usize = 5;
/// Maximum number of agents in one measurement.
const MAX_AGENTS: usize = 60;
/// Time for processes to settle before a measurement, and unit of the length of measurements.
const SETTLE_TIME: Duration = Duration::from_secs(4);

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    let mode = args.get(1).and_then(|arg| arg.to_str()).unwrap_or_default().to_owned();
    if mode == cluster::AS_DAEMON {
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
            cluster::AS_SERVICE => cluster::serve(number).await,
            cluster::AS_ENGINE => cluster::serve_model().await,
            "latency" => measure_latency().await,
            "stream" => measure_stream().await,
            "rate" => measure_rate().await,
            "open" => measure_open().await,
            "hosts" => measure_hosts().await,
            "accounts" => measure_accounts().await,
            "idle" => measure_idle((number as usize).min(MAX_AGENTS)).await,
            "machines" => machines::run(),
            "configuration" => configuration::run(),
            _ => return ExitCode::FAILURE,
        }
        ExitCode::SUCCESS
    })
}

/// Compares the latency of direct requests with that of requests through entry and agent, which
/// alternate.
async fn measure_latency() {
    let mut cluster = Cluster::start(23).await;
    cluster.start_agents(1, 0).await;
    cluster.start_entry().await;
    let mut direct = caller::Caller::connect(cluster.backends[0].address).await;
    let mut through = caller::Caller::connect(cluster.entries[0].address).await;
    let (mut direct_times, mut through_times) = (Vec::new(), Vec::new());
    for pair in 0..PAIRS + PAIRS / 10 {
        let started = Instant::now();
        direct.send().await;
        let first = started.elapsed();
        through.send().await;
        // The first requests open connections and are not counted.
        if pair >= PAIRS / 10 {
            direct_times.push(first);
            through_times.push(started.elapsed() - first);
        }
    }
    direct_times.sort_unstable();
    through_times.sort_unstable();
    for (name, part) in [("median", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let at = (PAIRS as f64 * part) as usize;
        let (direct, through) =
            (direct_times[at].as_secs_f64() * 1e3, through_times[at].as_secs_f64() * 1e3);
        println!(
            "{name}: direct_ms={direct:.3} through_ms={through:.3} added_ms={:.3} ratio={:.1}",
            through - direct,
            through / direct
        );
    }
}

/// Measures processor time of entry and agents for each short plain request.
async fn measure_rate() {
    let mut cluster = Cluster::start(23).await;
    cluster.start_agents(3, 0).await;
    cluster.start_entry().await;
    for width in [1, 16, 64] {
        let entry = usage::Usage::start(cluster.entries[0].pid());
        let agents: Vec<_> = cluster.agents.iter().map(|a| usage::Usage::start(a.pid())).collect();
        let services: Vec<_> =
            cluster.backends.iter().map(|s| usage::Usage::start(s.pid())).collect();
        let callers = usage::Usage::start(std::process::id());
        let started = Instant::now();
        let requests = if width == 1 { REQUESTS / 6 } else { REQUESTS };
        let complete = caller::send_requests(cluster.entries[0].address, width, requests).await;
        let wall = started.elapsed().as_secs_f64();
        let each = |seconds: f64| seconds * 1e6 / complete as f64;
        let entry = entry.used_seconds();
        let agent: f64 = agents.iter().map(usage::Usage::used_seconds).sum();
        let service: f64 = services.iter().map(usage::Usage::used_seconds).sum();
        println!(
            "width={width} answered={complete}/{requests} wall_per_s={:.0} entry_us={:.1} \
             agent_us={:.1} stand_in_us={:.1} caller_us={:.1} entry_per_core_s={:.0} \
             agent_per_core_s={:.0} entry_busy={:.2}",
            complete as f64 / wall,
            each(entry),
            each(agent),
            each(service),
            each(callers.used_seconds()),
            complete as f64 / entry,
            complete as f64 / agent,
            entry / wall,
        );
    }
}

/// Measures processor time of entry and agents for each generated token of streamed responses.
async fn measure_stream() {
    let mut cluster = Cluster::start(23).await;
    cluster.serves_models = true;
    cluster.start_agents(3, 0).await;
    cluster.start_entry().await;
    for width in [8, 48] {
        let entry = usage::Usage::start(cluster.entries[0].pid());
        let agents: Vec<_> = cluster.agents.iter().map(|a| usage::Usage::start(a.pid())).collect();
        let started = Instant::now();
        let frames = caller::read_streams(cluster.entries[0].address, width, STREAMS * width).await;
        let (wall, entry) = (started.elapsed().as_secs_f64(), entry.used_seconds());
        let agent: f64 = agents.iter().map(usage::Usage::used_seconds).sum();
        println!(
            "streams={width} frames={frames} frames_per_s={:.0} entry_us={:.1} agent_us={:.1}",
            frames as f64 / wall,
            entry * 1e6 / frames as f64,
            agent * 1e6 / frames as f64
        );
    }
}

/// Measures memory of entry and agent for each open request that waits.
async fn measure_open() {
    let mut cluster = Cluster::start(23).await;
    cluster.service_latency_ms = 600_000;
    cluster.start_agents(1, 0).await;
    cluster.start_entry().await;
    sleep(SETTLE_TIME).await;
    let mut open_requests = Vec::new();
    let (entry, agent) = (cluster.entries[0].pid(), cluster.agents[0].pid());
    let first = (usage::resident_kb(entry), usage::resident_kb(agent));
    for count in [0, 1_000, 5_000] {
        while open_requests.len() < count {
            open_requests.push(caller::open_delayed(cluster.entries[0].address).await);
        }
        sleep(SETTLE_TIME).await;
        let now = (usage::resident_kb(entry), usage::resident_kb(agent));
        let each = |now: i64, first: i64| (now - first) as f64 / count.max(1) as f64;
        println!(
            "open={count} entry_kb={} agent_kb={} entry_kb_each={:.2} agent_kb_each={:.2} {}",
            now.0,
            now.1,
            each(now.0, first.0),
            each(now.1, first.1),
            cluster.summarise_status(&cluster.entries[0]).await,
        );
    }
    let before = (usage::Usage::start(entry), usage::Usage::start(agent));
    sleep(SETTLE_TIME).await;
    let one_percent = SETTLE_TIME.as_secs_f64() / 100.0;
    println!(
        "waiting: entry_percent={:.2} agent_percent={:.2}",
        before.0.used_seconds() / one_percent,
        before.1.used_seconds() / one_percent
    );
}

/// Measures memory and processor time of an entry for each host of the list.
async fn measure_hosts() {
    for count in [100, 1_000, 5_000, 12_600] {
        let mut cluster = Cluster::start(23).await;
        cluster.start_agents(1, count - 1).await;
        cluster.start_entry().await;
        let pid = cluster.entries[0].pid();
        sleep(SETTLE_TIME).await;
        let resident = usage::resident_kb(pid);
        let before = usage::Usage::start(pid);
        sleep(SETTLE_TIME).await;
        let percent = before.used_seconds() * 100.0 / SETTLE_TIME.as_secs_f64();
        let status = cluster.summarise_status(&cluster.entries[0]).await;
        println!("hosts={count} entry_kb={resident} idle_percent={percent:.2} {status}");
    }
}

/// Measures memory of entry and agent for each account.
async fn measure_accounts() {
    for count in [23, 2_300] {
        let mut cluster = Cluster::start(count).await;
        cluster.start_agents(1, 0).await;
        cluster.start_entry().await;
        sleep(SETTLE_TIME).await;
        let entry = usage::resident_kb(cluster.entries[0].pid());
        let agent = usage::resident_kb(cluster.agents[0].pid());
        println!("accounts={count} entry_kb={entry} agent_kb={agent}");
    }
}

/// Measures the control plane of idle agents: processor time, memory and bytes on loopback.
async fn measure_idle(count: usize) {
    let mut cluster = Cluster::start(2_300).await;
    cluster.start_agents(count, 0).await;
    sleep(2 * SETTLE_TIME).await;
    let agents: Vec<_> = cluster.agents.iter().map(|a| usage::Usage::start(a.pid())).collect();
    let (bytes, started) = (usage::loopback_bytes(), Instant::now());
    sleep(5 * SETTLE_TIME).await;
    let (bytes, span) = (usage::loopback_bytes() - bytes, started.elapsed().as_secs_f64());
    let spent: Vec<f64> = agents.iter().map(|usage| usage.used_seconds() * 100.0 / span).collect();
    let resident: Vec<i64> = cluster.agents.iter().map(|a| usage::resident_kb(a.pid())).collect();
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
