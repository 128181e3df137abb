//! Processes of one measurement, without proxies between them and with only errors logged.

use std::{
    env, fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use bytes::Bytes;
use compio::time::sleep;
use stand::{configuration, engine, hosts, service};
use wire::{host, status::Status};

/// Argument that makes this program run as the daemon.
pub const AS_DAEMON: &str = "as-daemon";
/// Argument that makes this program run as a plain backend server.
pub const AS_SERVICE: &str = "as-service";
/// Argument that makes this program run as a model engine.
pub const AS_ENGINE: &str = "as-engine";
/// Maximum number of accounts in one settings branch.
const ACCOUNTS_PER_BRANCH: usize = 23;
/// First port of hosts that are only listed. The range is below the ephemeral ports.
const FIRST_LISTED_PORT: u16 = 2_000;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: usize = 600;
const SETTINGS: &str = "\
[tier desk]\nrank = 0\ndeadline_ms = 900000\nmax_deadline_ms = 1800000\n\
[pool quotes]\nmax_running = 256\nmax_queued = 20000\n\
[pool assist]\n[route assist]\nkind = model\nmodel = assistant\npool = assist\ntier = desk\n\
[route quotes]\nkind = service\npath = /quotes\npool = quotes\ntier = desk\n\
[entry]\nmax_open = 20000\n";

/// One process, killed when dropped.
pub struct Process {
    child: Child,
    /// Address for callers, or for other processes if this is not an entry.
    pub address: SocketAddr,
    operators: SocketAddr,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The platform and the processes of the system.
pub struct Cluster {
    directory: PathBuf,
    configuration: configuration::Service,
    hosts: hosts::Hosts,
    http: cyper::Client,
    pub service_latency_ms: u64,
    pub serves_models: bool,
    pub backends: Vec<Process>,
    pub agents: Vec<Process>,
    pub entries: Vec<Process>,
}

/// Runs the plain backend server until the process is killed.
pub async fn serve(latency_ms: u64) {
    let latency = Duration::from_millis(latency_ms);
    let settings = service::Settings { latency, restart: Duration::ZERO };
    let service = service::spawn(loopback(0), settings).expect("loopback has free ports");
    println!("{}", service.address());
    let _ = std::io::stdout().flush();
    std::future::pending::<()>().await;
}

/// Runs a model engine until the process is killed. Its steps are short, so that it generates many
/// tokens.
pub async fn serve_model() {
    let mut settings = engine::Settings::default();
    settings.model.step_base = Duration::from_millis(5);
    settings.model.step_per_job = Duration::ZERO;
    let engine = engine::spawn(loopback(0), settings).expect("loopback has free ports");
    println!("{}", engine.address());
    let _ = std::io::stdout().flush();
    std::future::pending::<()>().await;
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).expect("loopback has free ports");
    listener.local_addr().expect("a bound listener has an address")
}

impl Cluster {
    /// Starts the platform with this many accounts.
    pub async fn start(accounts: usize) -> Cluster {
        let directory = env::temp_dir().join(format!("quincespoke-cost-{:x}", fastrand::u64(..)));
        fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let configuration = configuration::spawn(loopback(0)).expect("loopback has free ports");
        configuration.publish("quincespoke/base", SETTINGS);
        for first in (0..accounts).step_by(ACCOUNTS_PER_BRANCH) {
            let account = |number: usize| {
                format!("[account account-{number:04}]\ntop_tier = desk\nmax_open = 100000\n")
            };
            let text: String =
                (first..accounts.min(first + ACCOUNTS_PER_BRANCH)).map(account).collect();
            configuration.publish(&format!("quincespoke/accounts-{first:04}"), text);
        }
        Cluster {
            directory,
            configuration,
            hosts: hosts::spawn(loopback(0), Duration::ZERO).expect("loopback has free ports"),
            http: cyper::Client::builder().no_proxy().build().expect("client without TLS"),
            service_latency_ms: 0,
            serves_models: false,
            backends: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
        }
    }

    /// Starts agents, which share up to four backend servers, and lists further hosts that don't
    /// run.
    pub async fn start_agents(&mut self, count: usize, listed: usize) {
        for number in 0..count {
            if number < 4 {
                self.backends.push(self.spawn_backend());
            }
            let backend = self.backends[number % self.backends.len()].address;
            let pool = self.pool();
            let section = format!("[agent]\npool = {pool}\nbackend = {backend}\n");
            let agent = self.spawn(&format!("backend-{number}"), "agent", None, &section);
            self.agents.push(agent);
        }
        let real = self.agents.iter().enumerate().map(|(number, agent)| {
            record(format!("backend-{number}"), number, self.pool(), agent.address)
        });
        let others = (0..listed).map(|number| {
            let address = loopback(FIRST_LISTED_PORT + number as u16);
            record(format!("listed-{number}"), number, "other", address)
        });
        self.hosts.set(real.chain(others).collect());
        for agent in &self.agents {
            self.wait_until_ready(agent).await;
        }
    }

    /// Starts an entry and waits until it is ready.
    pub async fn start_entry(&mut self) {
        let callers = free_address();
        let entry = self.spawn("entry-0", "entry", Some(callers), "");
        self.wait_until_ready(&entry).await;
        self.entries.push(entry);
        sleep(10 * POLL_INTERVAL).await;
    }

    fn pool(&self) -> &'static str {
        if self.serves_models { "assist" } else { "quotes" }
    }

    fn spawn_backend(&self) -> Process {
        let program = env::current_exe().expect("the program has a path");
        let latency = self.service_latency_ms.to_string();
        let mut child = Command::new(program)
            .args([if self.serves_models { AS_ENGINE } else { AS_SERVICE }, &latency])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts itself");
        let mut line = String::new();
        let out = child.stdout.take().expect("the output is piped");
        BufReader::new(out).read_line(&mut line).expect("the backend server prints its address");
        let address = line.trim().parse().expect("an address");
        Process { child, address, operators: address }
    }

    fn spawn(&self, host: &str, role: &str, callers: Option<SocketAddr>, section: &str) -> Process {
        let (peers, operators) = (free_address(), free_address());
        let callers_line = callers.map(|address| format!("callers = {address}\n"));
        let text = format!(
            "[process]\nrole = {role}\nhost = {host}\navailability_zone = zone-{}\n\
             [listen]\n{}peers = {peers}\noperators = {operators}\n\
             [platform]\nconfiguration = http://{}\nhosts = http://{}/hosts\n\
             {section}[log]\nlevel = error\n",
            self.agents.len() % 4,
            callers_line.unwrap_or_default(),
            self.configuration.address(),
            self.hosts.address(),
        );
        let settings = self.directory.join(format!("{host}.ini"));
        fs::write(&settings, text).expect("the temporary directory is writable");
        let child = Command::new(env::current_exe().expect("the program has a path"))
            .arg(AS_DAEMON)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts itself");
        Process { child, address: callers.unwrap_or(peers), operators }
    }

    async fn wait_until_ready(&self, process: &Process) {
        for _ in 0..MAX_POLLS {
            if self.read_status(process).await.is_some_and(|status| status.ready) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("a process is not ready");
    }

    /// Returns a short summary of a process's status.
    pub async fn summarise_status(&self, process: &Process) -> String {
        let Some(status) = self.read_status(process).await else { return "no status".into() };
        let queued: u64 = status.queued.values().sum();
        let (hosts, running) = (status.hosts.len(), status.running);
        let refused = status.refused_revisions.len();
        format!("queued={queued} running={running} known_hosts={hosts} refused={refused}")
    }

    async fn read_status(&self, process: &Process) -> Option<Status> {
        let url = format!("http://{}/status", process.operators);
        let response = self.http.get(url).ok()?.send().await.ok()?;
        serde_json::from_slice(&response.bytes().await.ok()?).ok()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn record(host: String, number: usize, pool: &'static str, address: SocketAddr) -> host::Record {
    host::Record {
        host: host.into(),
        role: host::Role::Agent,
        address,
        availability_zone: format!("zone-{}", number % 4).into(),
        pool: Bytes::from_static(pool.as_bytes()),
        speed: 100,
        state: host::State::Live,
    }
}
