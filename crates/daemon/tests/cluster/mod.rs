//! A small cluster of real processes with in-process test doubles around it, for the tests and
//! the demonstration.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use std::{
    fs,
    io::Read,
    net::SocketAddr,
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde_json::{Value, json};
use stand::{address, configuration, engine, hosts, proxy, service};
use wire::{host, status::Status};

mod response;

pub use response::Response;

/// Time limit of each wait. A slow host can need this long for what usually takes a second.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of the cluster, in a branch for each of three teams.
const BRANCHES: [(&str, &str); 3] = [
    (
        "auction/tiers",
        "[tier floor]\nrank = 0\ndeadline_ms = 30000\nmax_deadline_ms = 60000\n\
         [tier desk]\nrank = 1\ndeadline_ms = 40000\nmax_deadline_ms = 60000\n\
         [tier catalogue]\nrank = 2\ndeadline_ms = 60000\nmax_deadline_ms = 90000\n",
    ),
    ("auction/accounts", "[account casa]\ntop_tier = floor\n[account museo]\ntop_tier = desk\n"),
    (
        "auction/routes",
        "[pool appraisal]\n[pool floor]\n\
         [route appraise]\nkind = model\nmodel = appraiser\npool = appraisal\ntier = desk\n\
         [route bids]\nkind = service\npath = /bids\npool = floor\ntier = floor\n\
         idempotent = no\n",
    ),
];

/// A daemon process; killed when dropped.
pub struct Daemon {
    pub child: Child,
    pub host: String,
    pub callers: Option<SocketAddr>,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    settings: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Sends a signal by name, such as TERM for a planned stop.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([format!("-{name}"), pid]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{name} {}", self.host);
    }

    /// Waits for the process to end and returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < WAIT_LIMIT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{} did not end", self.host);
    }
}

/// The cluster and the platform around it.
pub struct Cluster {
    directory: PathBuf,
    program: Vec<String>,
    pub configuration: configuration::Service,
    /// Address of the configuration service for processes that are started from now on.
    pub configuration_address: SocketAddr,
    pub hosts: hosts::Hosts,
    /// Address of the host list for processes that are started from now on.
    pub hosts_address: SocketAddr,
    pub engines: Vec<engine::Engine>,
    pub services: Vec<service::Service>,
    /// One proxy between each agent and its backend server.
    pub backend_proxies: Vec<proxy::Proxy>,
    /// One proxy between the entries and each agent.
    pub peer_proxies: Vec<proxy::Proxy>,
    pub entries: Vec<Daemon>,
    pub agents: Vec<Daemon>,
    pub client: cyper::Client,
    /// Section of the settings with the resources of processes that are started from now on.
    pub resources: &'static str,
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % 4)
}

/// Runs a test of the daemon against a cluster of real processes.
pub fn run(entries: usize, engines: usize, services: usize, test: impl AsyncFnOnce(&mut Cluster)) {
    let program = option_env!("CARGO_BIN_EXE_quincespoked").unwrap_or_default();
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let mut cluster = Cluster::start(&[program], entries, engines, services).await;
        test(&mut cluster).await;
    });
}

impl Cluster {
    /// Starts the platform, engines, services, agents and entries. `program` runs the daemon.
    pub async fn start(
        program: &[&str],
        entries: usize,
        engines: usize,
        services: usize,
    ) -> Cluster {
        let directory = std::env::temp_dir().join(format!("quincespoke-{:x}", fastrand::u64(..)));
        fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let configuration = configuration::spawn(loopback()).expect("bind");
        for (branch, text) in BRANCHES {
            configuration.publish(&format!("quincespoke/{branch}"), text);
        }
        let hosts = hosts::spawn(loopback(), Duration::ZERO).expect("bind");
        let mut cluster = Cluster {
            directory,
            program: program.iter().map(ToString::to_string).collect(),
            configuration_address: configuration.address(),
            configuration,
            hosts_address: hosts.address(),
            hosts,
            engines: Vec::new(),
            services: Vec::new(),
            backend_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            client: cyper::Client::builder().no_proxy().build().expect("client without TLS"),
            resources: "",
        };
        cluster.start_backends(engines, services);
        cluster.publish_hosts(&[]);
        for index in 0..engines + services {
            cluster.agents.push(cluster.spawn_agent(index, address::find_free()));
            let target = cluster.agents[index].peers;
            cluster.peer_proxies.push(proxy::spawn(loopback(), target).expect("bind"));
        }
        cluster.publish_hosts(&[]);
        for index in 0..entries {
            let entry = cluster.spawn_entry(index);
            cluster.entries.push(entry);
        }
        cluster.wait_until_ready().await;
        cluster
    }

    fn start_backends(&mut self, engines: usize, services: usize) {
        for _ in 0..engines {
            let mut settings = engine::Settings::default();
            settings.model.restart = Duration::from_millis(300);
            let engine = engine::spawn(loopback(), settings).expect("bind");
            let target = engine.address();
            self.engines.push(engine);
            self.backend_proxies.push(proxy::spawn(loopback(), target).expect("bind"));
        }
        for _ in 0..services {
            let settings = service::Settings {
                latency: Duration::from_millis(5),
                restart: Duration::from_millis(300),
            };
            let service = service::spawn(loopback(), settings).expect("bind");
            let target = service.address();
            self.services.push(service);
            self.backend_proxies.push(proxy::spawn(loopback(), target).expect("bind"));
        }
    }

    fn pool(&self, index: usize) -> &'static str {
        if index < self.engines.len() { "appraisal" } else { "floor" }
    }

    /// Publishes the host list, in which the agents with these indices are leaving.
    pub fn publish_hosts(&self, leaving: &[usize]) {
        let record = |index: usize| host::Record {
            host: format!("backend-{index}").into(),
            role: host::Role::Agent,
            address: self.peer_proxies[index].address(),
            availability_zone: zone(index).into(),
            pool: Bytes::from_static(self.pool(index).as_bytes()),
            speed: 100,
            state: match leaving.contains(&index) {
                true => host::State::Leaving,
                false => host::State::Live,
            },
        };
        self.hosts.set((0..self.peer_proxies.len()).map(record).collect());
    }

    /// Starts an agent process at an address.
    pub fn spawn_agent(&self, index: usize, peers: SocketAddr) -> Daemon {
        let backend = self.backend_proxies[index].address();
        let section = format!("[agent]\npool = {}\nbackend = {backend}\n", self.pool(index));
        self.spawn(&format!("backend-{index}"), index, peers, None, &section)
    }

    /// Kills an agent and starts a new process without its state at the same address.
    pub fn replace_agent(&mut self, index: usize) {
        let peers = self.agents[index].peers;
        let _ = self.agents[index].child.kill();
        let _ = self.agents[index].child.wait();
        self.agents[index] = self.spawn_agent(index, peers);
    }

    /// Kills an entry and starts a new process without its state at other addresses.
    pub fn replace_entry(&mut self, index: usize) {
        let _ = self.entries[index].child.kill();
        let _ = self.entries[index].child.wait();
        self.entries[index] = self.spawn_entry(index);
    }

    /// Starts an entry process.
    pub fn spawn_entry(&self, index: usize) -> Daemon {
        let callers = address::find_free();
        self.spawn(&format!("entry-{index}"), index, address::find_free(), Some(callers), "")
    }

    fn spawn(
        &self,
        host: &str,
        index: usize,
        peers: SocketAddr,
        callers: Option<SocketAddr>,
        section: &str,
    ) -> Daemon {
        let operators = address::find_free();
        let role = if callers.is_some() { "entry" } else { "agent" };
        let zone = zone(index);
        let callers_line = callers.map(|address| format!("callers = {address}\n"));
        let seeds: Vec<String> = self.agents.iter().map(|a| a.peers.to_string()).collect();
        let seeds = match seeds.is_empty() {
            true => String::new(),
            false => format!("[seeds]\npeers = {}\n", seeds.join(", ")),
        };
        let text = format!(
            "[process]\nrole = {role}\nhost = {host}\navailability_zone = {zone}\n\
             [listen]\n{}peers = {peers}\noperators = {operators}\n\
             [platform]\nconfiguration = http://{}\nhosts = http://{}/hosts\n\
             {seeds}{section}{}[log]\nlevel = debug\n",
            callers_line.unwrap_or_default(),
            self.configuration_address,
            self.hosts_address,
            self.resources,
        );
        let settings = self.directory.join(format!("{host}.ini"));
        fs::write(&settings, text).expect("the temporary directory is writable");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{host}.log")))
            .expect("the temporary directory is writable");
        let spawn_lock = address::lock_spawn();
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file can be duplicated"))
            .stderr(log)
            // The system hangs up the stopped processes of a group whose last parent outside it
            // ends, as the shell that started the tests may.
            .process_group(0)
            .spawn()
            .expect("the daemon's program exists");
        drop(spawn_lock);
        Daemon { child, host: host.into(), callers, peers, operators, settings }
    }

    /// Waits until every process is ready and every entry reports every agent.
    pub async fn wait_until_ready(&self) {
        let agents = self.agents.len();
        for daemon in self.entries.iter().chain(&self.agents) {
            self.wait_for(daemon, "ready", |status| {
                status.ready && (status.role == "agent" || status.hosts.len() >= agents)
            })
            .await;
        }
    }

    /// Waits until the status of a process meets a condition.
    ///
    /// # Panics
    ///
    /// Panics with the process's log if the condition is not met within the time limit.
    pub async fn wait_for(&self, daemon: &Daemon, what: &str, condition: impl Fn(&Status) -> bool) {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < WAIT_LIMIT {
            last = self.read_status(daemon).await;
            if last.as_ref().is_some_and(&condition) {
                return;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{} not {what}: {last:?}\n{}", daemon.host, self.read_log(&daemon.host));
    }

    /// Returns the status of a process, or `None` if it does not respond.
    pub async fn read_status(&self, daemon: &Daemon) -> Option<Status> {
        let url = format!("http://{}/status", daemon.operators);
        let response = self.client.get(url).ok()?.send().await.ok()?;
        serde_json::from_slice(&response.bytes().await.ok()?).ok()
    }

    /// Returns the end of a process's log.
    pub fn read_log(&self, host: &str) -> String {
        let mut text = String::new();
        if let Ok(mut file) = fs::File::open(self.directory.join(format!("{host}.log"))) {
            let _ = file.read_to_string(&mut text);
        }
        let start = text.len().saturating_sub(6_000);
        text.get(start..).unwrap_or_default().to_owned()
    }

    /// Publishes a branch, waits until it is in force in every process, and returns its revision.
    pub async fn configure(&self, branch: &str, text: &str) -> u64 {
        let revision =
            self.configuration.publish(&format!("quincespoke/{branch}"), text.to_owned());
        self.wait_for_revision(branch, revision).await;
        revision
    }

    /// Waits until a branch is in force in every process.
    pub async fn wait_for_revision(&self, branch: &str, revision: u64) {
        for daemon in self.entries.iter().chain(&self.agents) {
            let what = format!("at revision {revision} of {branch}");
            let is_in_force = |status: &Status| status.revisions.get(branch) == Some(&revision);
            self.wait_for(daemon, &what, is_in_force).await;
        }
    }

    /// Waits until a condition returns a value, and returns that value.
    ///
    /// # Panics
    ///
    /// Panics if it is not met within the time limit.
    pub async fn wait_until<T>(&self, what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
        let started = Instant::now();
        while started.elapsed() < WAIT_LIMIT {
            if let Some(value) = condition() {
                return value;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("not {what}");
    }

    /// Returns the runs of a chat body from the engines' records, with the engines' indices.
    pub fn runs(&self, body: &[u8]) -> Vec<(usize, engine::Entry)> {
        let request = stand::completion::Request::parse(body).expect("a valid body");
        let mut runs = self.all_runs();
        runs.retain(|(_, entry)| entry.run.fingerprint == request.fingerprint);
        runs
    }

    /// Returns all runs from the engines' records, with the engines' indices.
    pub fn all_runs(&self) -> Vec<(usize, engine::Entry)> {
        let engines = self.engines.iter().enumerate();
        engines.flat_map(|(at, e)| e.record().into_iter().map(move |run| (at, run))).collect()
    }

    /// Waits until an engine has generated a few tokens for a body, and returns its index.
    ///
    /// # Panics
    ///
    /// Panics if the run has already ended, because the fault would come too late.
    pub async fn wait_until_streaming(&self, body: &[u8]) -> usize {
        let running = || self.runs(body).pop().filter(|(_, entry)| entry.run.tokens >= 5);
        let (engine, entry) = self.wait_until("mid-stream", running).await;
        assert_eq!(entry.run.end, None, "the stream ended before the fault");
        engine
    }

    /// Sends a chat completion to an entry.
    pub fn send_chat(
        &self,
        entry: usize,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> impl Future<Output = Response> + use<> {
        self.send_chat_body(entry, chat_body(prompt, max_tokens, stream))
    }

    /// Sends a chat-completions body to an entry.
    pub fn send_chat_body(
        &self,
        entry: usize,
        body: Bytes,
    ) -> impl Future<Output = Response> + use<> {
        self.post(entry, "/v1/chat/completions", body, &[("x-account", "casa")])
    }

    /// Gets an idempotency key for bids from an entry.
    pub async fn issue_key(&self, entry: usize) -> String {
        let path = "/v1/idempotency-keys?route=bids";
        let response = self.post(entry, path, Bytes::new(), &[("x-account", "casa")]).await;
        let value: Value = serde_json::from_slice(&response.body).expect("keys are JSON");
        value["idempotency_key"].as_str().unwrap_or_else(|| panic!("{response:?}")).to_owned()
    }

    /// Sends a bid with a key to an entry.
    pub fn send_bid(&self, entry: usize, key: &str) -> impl Future<Output = Response> + use<> {
        self.send_bid_to(entry, "lot-7", key)
    }

    /// Sends a bid for a lot with a key to an entry.
    pub fn send_bid_to(
        &self,
        entry: usize,
        lot: &str,
        key: &str,
    ) -> impl Future<Output = Response> + use<> {
        let headers = [("x-account", "casa"), ("idempotency-key", key)];
        self.post(entry, &format!("/bids/{lot}"), Bytes::from(format!("bid under {key}")), &headers)
    }

    /// Returns the current time of the clock in an engine's record. This adds a run to the record.
    pub async fn engine_now(&self, engine: usize) -> wire::time::Instant {
        let url = format!("http://{}/v1/chat/completions", self.engines[engine].address());
        let probe = self.client.post(url).expect("valid URL").body(chat_body("clock", 1, false));
        probe.send().await.expect("the engine responds");
        self.engines[engine].record().last().expect("the run of the probe").run.arrival
    }

    /// Returns how many bids the services ran, from their own records, which contain probes as
    /// well.
    pub fn bid_run_count(&self) -> usize {
        let effects = self.services.iter().flat_map(|service| service.record());
        effects.filter(|effect| effect.method == "POST").count()
    }

    /// Sends any request to an entry.
    pub fn post(
        &self,
        entry: usize,
        path: &str,
        body: Bytes,
        headers: &[(&str, &str)],
    ) -> impl Future<Output = Response> + use<> {
        let callers = self.entries[entry].callers.expect("an entry serves callers");
        let mut request = self.client.post(format!("http://{callers}{path}")).expect("valid URL");
        for (name, value) in headers {
            request = request.header(*name, *value).expect("valid header");
        }
        let sent = request.body(body).send();
        async move {
            match sent.await {
                Ok(response) => Response::read(response).await,
                Err(error) => Response::failed(&error),
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.directory.display());
            for daemon in self.entries.iter_mut().chain(&mut self.agents) {
                if let Ok(Some(status)) = daemon.child.try_wait() {
                    eprintln!("{} ended with {status}", daemon.host);
                }
            }
        } else {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Returns a chat-completions body.
pub fn chat_body(prompt: &str, max_tokens: u32, stream: bool) -> Bytes {
    let body = json!({
        "model": "appraiser",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens,
        "stream": stream,
    });
    body.to_string().into()
}

/// Returns the response that an engine sends for a body.
pub fn expected_response(body: &[u8]) -> Bytes {
    stand::completion::Request::parse(body).expect("a valid body").response_body()
}
