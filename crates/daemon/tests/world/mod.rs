//! A small fleet of real processes with in-process stand-ins, for tests and the demonstration.

#![allow(dead_code, reason = "each test file uses a part of the helper")]

use std::{
    fs,
    io::Read,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde_json::{Value, json};
use stand::{configuration, engine, hosts, proxy, service};
use wire::{host, status::Status};

/// A slow machine needs this much for what takes a second here.
pub const DEADLINE: Duration = Duration::from_secs(60);
/// Time between looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// Settings of the fleet, as three teams publish them.
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
    /// Sends a signal by number, such as 15 for a planned stop.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([format!("-{name}"), pid]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill -{name} {}", self.host);
    }

    /// Waits for the process to end and returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < DEADLINE {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            compio::time::sleep(POLL).await;
        }
        panic!("{} did not end", self.host);
    }
}

/// The fleet and the platform around it.
pub struct World {
    directory: PathBuf,
    program: Vec<String>,
    pub configuration: configuration::Service,
    pub hosts: hosts::Hosts,
    pub engines: Vec<engine::Engine>,
    pub services: Vec<service::Service>,
    /// Between each agent and its backend server.
    pub backend_proxies: Vec<proxy::Proxy>,
    /// Between entries and each agent.
    pub peer_proxies: Vec<proxy::Proxy>,
    pub entries: Vec<Daemon>,
    pub agents: Vec<Daemon>,
    pub client: cyper::Client,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address that was free a moment ago.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).expect("loopback has free ports");
    listener.local_addr().expect("a bound listener has an address")
}

impl World {
    /// Starts the platform, engines, services, agents and entries. `program` runs the daemon.
    pub async fn start(program: &[&str], entries: usize, engines: usize, services: usize) -> World {
        let directory = std::env::temp_dir().join(format!("quincespoke-{:x}", fastrand::u64(..)));
        fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let configuration = configuration::spawn(loopback()).expect("bind");
        for (branch, text) in BRANCHES {
            configuration.publish(&format!("quincespoke/{branch}"), text);
        }
        let mut world = World {
            directory,
            program: program.iter().map(ToString::to_string).collect(),
            configuration,
            hosts: hosts::spawn(loopback(), Duration::ZERO).expect("bind"),
            engines: Vec::new(),
            services: Vec::new(),
            backend_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            client: cyper::Client::builder().no_proxy().build().expect("client without TLS"),
        };
        world.start_backends(engines, services);
        world.publish_hosts(&[]);
        for index in 0..engines + services {
            world.agents.push(world.spawn_agent(index, free_address()));
            let target = world.agents[index].peers;
            world.peer_proxies.push(proxy::spawn(loopback(), target).expect("bind"));
        }
        world.publish_hosts(&[]);
        for index in 0..entries {
            let entry = world.spawn_entry(index);
            world.entries.push(entry);
        }
        world.wait_until_ready().await;
        world
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

    /// Publishes the host list; the named agents are leaving.
    pub fn publish_hosts(&self, leaving: &[usize]) {
        let record = |index: usize| host::Record {
            host: format!("backend-{index}").into(),
            role: host::Role::Agent,
            address: self.peer_proxies[index].address(),
            availability_zone: format!("zone-{}", index % 4).into(),
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
        self.spawn(&format!("backend-{index}"), "agent", peers, None, &section)
    }

    /// Replaces an agent by a new process with empty memory at the same address.
    pub fn replace_agent(&mut self, index: usize) {
        let peers = self.agents[index].peers;
        let _ = self.agents[index].child.kill();
        let _ = self.agents[index].child.wait();
        self.agents[index] = self.spawn_agent(index, peers);
    }

    /// Starts an entry process.
    pub fn spawn_entry(&self, index: usize) -> Daemon {
        let callers = free_address();
        self.spawn(&format!("entry-{index}"), "entry", free_address(), Some(callers), "")
    }

    fn spawn(
        &self,
        host: &str,
        role: &str,
        peers: SocketAddr,
        callers: Option<SocketAddr>,
        section: &str,
    ) -> Daemon {
        let operators = free_address();
        let callers_line = callers.map(|address| format!("callers = {address}\n"));
        let seeds: Vec<String> = self.agents.iter().map(|a| a.peers.to_string()).collect();
        let seeds = match seeds.is_empty() {
            true => String::new(),
            false => format!("[seeds]\npeers = {}\n", seeds.join(", ")),
        };
        let text = format!(
            "[process]\nrole = {role}\nhost = {host}\navailability_zone = zone-0\n\
             [listen]\n{}peers = {peers}\noperators = {operators}\n\
             [platform]\nconfiguration = http://{}\nhosts = http://{}/hosts\n\
             {seeds}{section}[log]\nlevel = debug\n",
            callers_line.unwrap_or_default(),
            self.configuration.address(),
            self.hosts.address(),
        );
        let settings = self.directory.join(format!("{host}.ini"));
        fs::write(&settings, text).expect("the temporary directory is writable");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{host}.log")))
            .expect("the temporary directory is writable");
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon's program exists");
        Daemon { child, host: host.into(), callers, peers, operators, settings }
    }

    /// Waits until every process is ready and every entry sees every agent.
    pub async fn wait_until_ready(&self) {
        let agents = self.agents.len();
        for daemon in self.entries.iter().chain(&self.agents) {
            self.wait_for(daemon, "ready", |status| {
                status.ready && (status.role == "agent" || status.hosts.len() >= agents)
            })
            .await;
        }
    }

    /// Waits until a process reports a condition.
    ///
    /// # Panics
    ///
    /// Panics with the process's log if the condition does not hold within the deadline.
    pub async fn wait_for(&self, daemon: &Daemon, what: &str, holds: impl Fn(&Status) -> bool) {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < DEADLINE {
            last = self.status(daemon).await;
            if last.as_ref().is_some_and(&holds) {
                return;
            }
            compio::time::sleep(POLL).await;
        }
        panic!("{} not {what}: {last:?}\n{}", daemon.host, self.log(&daemon.host));
    }

    /// Returns a process's report, or `None` if it does not answer.
    pub async fn status(&self, daemon: &Daemon) -> Option<Status> {
        let url = format!("http://{}/status", daemon.operators);
        let response = self.client.get(url).ok()?.send().await.ok()?;
        serde_json::from_slice(&response.bytes().await.ok()?).ok()
    }

    /// Returns the end of a process's log.
    pub fn log(&self, host: &str) -> String {
        let mut text = String::new();
        if let Ok(mut file) = fs::File::open(self.directory.join(format!("{host}.log"))) {
            let _ = file.read_to_string(&mut text);
        }
        let start = text.len().saturating_sub(6_000);
        text.get(start..).unwrap_or_default().to_owned()
    }

    /// Sends a chat completion to an entry.
    pub async fn chat(&self, entry: usize, prompt: &str, max_tokens: u32, stream: bool) -> Reply {
        let body = chat_body(prompt, max_tokens, stream);
        self.post(entry, "/v1/chat/completions", body, &[("x-account", "casa")]).await
    }

    /// Gets an idempotency key for bids from an entry.
    pub async fn key(&self, entry: usize) -> String {
        let path = "/v1/idempotency-keys?route=bids";
        let reply = self.post(entry, path, Bytes::new(), &[]).await;
        let value: Value = serde_json::from_slice(&reply.body).expect("keys are JSON");
        value["idempotency_key"].as_str().unwrap_or_else(|| panic!("{reply:?}")).to_owned()
    }

    /// Sends a bid with a key to an entry.
    pub async fn bid(&self, entry: usize, key: &str) -> Reply {
        let headers = [("x-account", "casa"), ("idempotency-key", key)];
        self.post(entry, "/bids/lot-7", Bytes::from(format!("bid under {key}")), &headers).await
    }

    /// Returns how many bids the services ran, by their own record, which has probes as well.
    pub fn bids_run(&self) -> usize {
        let effects = self.services.iter().flat_map(|service| service.record());
        effects.filter(|effect| effect.method == "POST").count()
    }

    /// Sends any request to an entry.
    pub async fn post(
        &self,
        entry: usize,
        path: &str,
        body: Bytes,
        headers: &[(&str, &str)],
    ) -> Reply {
        let callers = self.entries[entry].callers.expect("an entry serves callers");
        let mut request = self.client.post(format!("http://{callers}{path}")).expect("valid URL");
        for (name, value) in headers {
            request = request.header(*name, *value).expect("valid header");
        }
        let response = match request.body(body).send().await {
            Ok(response) => response,
            Err(error) => return Reply::broken(&error),
        };
        let text = |name: &str| {
            let value = response.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let status = response.status().as_u16();
        let outcome = text("x-outcome");
        let request_id = text("x-request-id");
        match response.bytes().await {
            Ok(body) => Reply { status, outcome, request_id, body, broken: None },
            Err(error) => {
                let broken = Reply::broken(&error);
                Reply { status, outcome, request_id, ..broken }
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.directory.display());
        } else {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub outcome: Option<String>,
    pub request_id: Option<String>,
    pub body: Bytes,
    /// Why the answer is not whole.
    pub broken: Option<String>,
}

impl Reply {
    fn broken(error: &cyper::Error) -> Reply {
        Reply {
            status: 0,
            outcome: None,
            request_id: None,
            body: Bytes::new(),
            broken: Some(error.to_string()),
        }
    }

    /// Returns whether the answer is whole and successful.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.broken.is_none()
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

/// Returns the answer that an engine gives to a body.
pub fn expected(body: &[u8]) -> Bytes {
    stand::answer::Request::parse(body).expect("a valid body").body()
}
