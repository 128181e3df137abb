//! Runs of the entry and agent state machines on an in-memory network.

use std::{
    collections::{BTreeMap, HashMap},
    mem,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use conf::tree;
use stand::run::{self, Run};
use wire::{frame, grant, host, id, offer, status::Status, time::Instant};

use crate::{
    deployment::{self, CALLER_LATENCY, Deployment, SERVICE_TIME_US},
    engines::{self, Engines},
    event_queue::{self, EventQueue},
    record::{Outcome, Record},
    scenario::{Fault, Scenario},
    workload::{Class, Request},
};

/// Period of the agents' probes and load reports, as in the daemon.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Time from the failure of hosts until the host list omits them.
const HOST_LIST_DELAY: Duration = Duration::from_secs(2);
/// Bytes that represent one token of a response.
const TOKEN: &[u8] = b"tag ";

#[derive(Debug)]
enum Event {
    Arrival(usize),
    ToEntry(usize, entry::Event),
    ToAgent(usize, agent::Event),
    EntryTick(usize),
    AgentTick(usize),
    EngineTick(usize),
    ServiceDone(usize, id::Grant),
    Probe,
    Fault(Fault),
    HostList,
}

/// A connection from an entry to an agent.
#[derive(Clone, Copy, Debug)]
struct Connection {
    entry: usize,
    agent: usize,
    request: id::Request,
}

struct Simulation<'a> {
    deployment: &'a Deployment,
    requests: &'a [Request],
    now: Instant,
    rng: fastrand::Rng,
    events: EventQueue<Event>,
    entries: Vec<entry::Machine>,
    agents: Vec<agent::Machine>,
    entry_ticks: Vec<Option<Instant>>,
    agent_ticks: Vec<Option<Instant>>,
    engines: Engines,
    connections: HashMap<u64, Connection>,
    /// Connections of open offers, by request and agent.
    offers: HashMap<(id::Request, usize), u64>,
    /// Connections of response streams.
    streams: HashMap<id::Request, u64>,
    last_connection: u64,
    request_indices: HashMap<id::Request, usize>,
    grants: HashMap<(usize, u64), id::Grant>,
    record: Record,
}

/// Runs all requests and returns their record and the runs of the engines.
pub(crate) fn run(
    deployment: &Deployment,
    scenario: &Scenario,
    requests: &[Request],
    seed: u64,
) -> (Record, Vec<Run>) {
    let mut simulation = Simulation::new(deployment, requests, seed);
    for (index, request) in requests.iter().enumerate() {
        simulation.events.push(request.sent + CALLER_LATENCY, Event::Arrival(index));
    }
    if let Some((at, fault)) = scenario.fault {
        simulation.events.push(event_queue::instant(at), Event::Fault(fault));
    }
    simulation.events.push(Instant::default() + PROBE_PERIOD, Event::Probe);
    let end = engines::run_end(scenario.span);
    while let Some((now, event)) = simulation.events.pop(end) {
        simulation.now = now;
        simulation.handle_event(event);
    }
    simulation.finish_record()
}

impl<'a> Simulation<'a> {
    fn new(deployment: &'a Deployment, requests: &'a [Request], seed: u64) -> Simulation<'a> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let entries = (0..deployment.entries).map(|index| {
            entry::Machine::new(entry::Setup {
                process: id::Process(rng.u64(..)),
                host: format!("entry-{index}").into(),
                availability_zone: deployment::zone(index),
                seed: rng.u64(..),
            })
        });
        let entries = entries.collect::<Vec<_>>();
        let hosts = deployment.host_list();
        let agents = hosts.iter().map(|host| {
            agent::Machine::new(agent::Setup {
                process: id::Process(rng.u64(..)),
                host: host.host.clone(),
                pool: host.pool.clone(),
                seed: rng.u64(..),
            })
        });
        let agents = agents.collect::<Vec<_>>();
        let mut simulation = Simulation {
            now: Instant::default(),
            events: EventQueue::new(),
            entry_ticks: vec![None; entries.len()],
            agent_ticks: vec![None; agents.len()],
            entries,
            agents,
            engines: Engines::new(deployment),
            connections: HashMap::new(),
            offers: HashMap::new(),
            streams: HashMap::new(),
            last_connection: 0,
            request_indices: HashMap::new(),
            grants: HashMap::new(),
            record: Record::new(requests.len()),
            rng,
            deployment,
            requests,
        };
        simulation.configure(&Arc::new(deployment.tree()), &hosts);
        simulation
    }

    fn configure(&mut self, tree: &Arc<tree::Tree>, hosts: &[host::Record]) {
        for index in 0..self.entries.len() {
            self.handle_entry_event(index, entry::Event::Settings(tree.clone()));
            self.handle_entry_event(index, entry::Event::Hosts(hosts.to_vec()));
            self.handle_entry_event(index, entry::Event::Ready);
        }
        for index in 0..self.agents.len() {
            self.handle_agent_event(index, agent::Event::Settings(tree.clone()));
            self.handle_agent_event(index, agent::Event::Hosts(hosts.to_vec()));
            self.handle_agent_event(index, agent::Event::Ready);
        }
        self.probe_backends();
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.handle_arrival(request),
            Event::ToEntry(index, event) => self.handle_entry_event(index, event),
            Event::ToAgent(index, event) => self.deliver_to_agent(index, event),
            Event::EntryTick(index) => {
                self.entry_ticks[index] = None;
                self.handle_entry_event(index, entry::Event::Tick);
            }
            Event::AgentTick(index) => {
                self.agent_ticks[index] = None;
                self.handle_agent_event(index, agent::Event::Tick);
            }
            Event::EngineTick(index) => self.tick_engine(index),
            Event::ServiceDone(agent, grant) => self.finish_service_request(agent, grant),
            Event::Probe => {
                self.probe_backends();
                self.events.push(self.now + PROBE_PERIOD, Event::Probe);
            }
            Event::Fault(fault) => self.inject_fault(fault),
            Event::HostList => self.remove_failed_hosts(),
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let request = &self.requests[index];
        let plain = request.class == Class::Plain;
        let prefix = if request.prompt.prefix_tokens > 0 {
            request.prompt.prefix
        } else {
            request.prompt.full
        };
        let path = if plain { deployment::SERVICE_PATH } else { "/v1/chat/completions" };
        let event = entry::IncomingRequest {
            caller: index as u64,
            method: Bytes::from_static(b"POST"),
            path: deployment::to_bytes(path),
            content_type: Bytes::from_static(b"application/json"),
            model: deployment::to_bytes(if plain { "" } else { deployment::MODEL }),
            account: self.deployment.account_name(request.account),
            authenticated: false,
            tier: (!plain).then(|| deployment::to_bytes(request.class.name())),
            deadline: Some(request.class.deadline()),
            idempotency_key: None,
            prompt_tokens: request.prompt.tokens,
            output_tokens: request.output_tokens,
            body_len: u64::from(request.prompt.tokens) * 4,
            body_hash: request.prompt.full,
            prefix_hash: prefix,
        };
        self.handle_entry_event(request.entry, entry::Event::Request(event));
    }

    fn handle_entry_event(&mut self, index: usize, event: entry::Event) {
        let mut actions = Vec::new();
        self.entries[index].handle(self.now, event, &mut actions);
        if let Some(at) = self.entries[index].next_timer()
            && self.entry_ticks[index].is_none_or(|set| set > at)
        {
            self.entry_ticks[index] = Some(at);
            self.events.push(at.max(self.now), Event::EntryTick(index));
        }
        for action in actions {
            self.perform_entry_action(index, action);
        }
    }

    fn perform_entry_action(&mut self, index: usize, action: entry::Action) {
        use entry::Action;
        match action {
            Action::StoreBody { caller, request } => {
                self.request_indices.insert(request, caller as usize);
            }
            Action::Offer { peer, head } => {
                let request = head.request;
                let offer = offer::Offer { head, settings: 0 };
                let number = self.open_connection(index, peer, request, |link| {
                    agent::Event::Offer { link, offer }
                });
                self.offers.insert((request, deployment::agent_index(peer)), number);
            }
            Action::Withdraw { request, peer } => {
                if let Some(number) = self.offers.remove(&(request, deployment::agent_index(peer)))
                {
                    self.close_connection(number);
                }
            }
            Action::Commit { peer, commit } => {
                self.close_stream(commit.request);
                let body = Bytes::new();
                let event = |link| agent::Event::Commit { link, commit, body };
                let number = self.open_connection(index, peer, commit.request, event);
                self.streams.insert(commit.request, number);
            }
            Action::Attach { peer, attach } => {
                self.close_stream(attach.request);
                let event = |link| agent::Event::Attach { link, attach };
                let number = self.open_connection(index, peer, attach.request, event);
                self.streams.insert(attach.request, number);
            }
            Action::Cancel { peer, commit } => self.send_cancel(index, peer, commit),
            Action::Data { caller, .. } => self.record.record_token(caller as usize, self.now),
            Action::Finish { caller } => {
                self.record
                    .record_outcome(caller as usize, Outcome::Complete(self.now + CALLER_LATENCY));
            }
            Action::Refuse { caller, refusal, .. } => {
                self.record.record_outcome(caller as usize, Outcome::Refused(refusal.reason));
            }
            _ => {}
        }
    }

    /// Opens a connection and sends its first message.
    fn open_connection(
        &mut self,
        entry: usize,
        peer: SocketAddr,
        request: id::Request,
        event: impl FnOnce(agent::Link) -> agent::Event,
    ) -> u64 {
        let agent = deployment::agent_index(peer);
        self.last_connection += 1;
        let number = self.last_connection;
        self.connections.insert(number, Connection { entry, agent, request });
        let at = self.now + self.deployment.latency_between(entry, agent);
        self.events.push(at, Event::ToAgent(agent, event(agent::Link(number))));
        number
    }

    /// Closes a connection at the entry. Messages already in flight to the entry still arrive;
    /// messages that the agent sends later are dropped.
    fn close_connection(&mut self, number: u64) {
        let Some(Connection { entry, agent, .. }) = self.connections.remove(&number) else {
            return;
        };
        let at = self.now + self.deployment.latency_between(entry, agent);
        let event = agent::Event::LinkClosed { link: agent::Link(number) };
        self.events.push(at, Event::ToAgent(agent, event));
    }

    fn close_stream(&mut self, request: id::Request) {
        if let Some(number) = self.streams.remove(&request) {
            self.close_connection(number);
        }
    }

    fn send_cancel(&mut self, entry: usize, peer: SocketAddr, commit: grant::Commit) {
        let agent = deployment::agent_index(peer);
        // The cancelled grant may be a late one of an agent other than the one that sends the
        // response.
        let stream =
            self.streams.get(&commit.request).and_then(|number| self.connections.get(number));
        if stream.is_some_and(|connection| connection.agent == agent) {
            self.close_stream(commit.request);
        }
        let at = self.now + self.deployment.latency_between(entry, agent);
        self.events.push(at, Event::ToAgent(agent, agent::Event::Cancel { commit }));
    }

    fn deliver_to_agent(&mut self, index: usize, event: agent::Event) {
        if !self.engines.has_failed(index) {
            return self.handle_agent_event(index, event);
        }
        let (agent::Event::Offer { link, .. }
        | agent::Event::Commit { link, .. }
        | agent::Event::Attach { link, .. }) = event
        else {
            return;
        };
        self.fail_connection(link.0);
    }

    /// Removes a connection and reports its failure to the entry.
    fn fail_connection(&mut self, number: u64) {
        let Some(connection) = self.connections.remove(&number) else { return };
        let (request, peer) = (connection.request, deployment::address(connection.agent));
        let offered =
            self.offers.remove(&(request, connection.agent)).is_some_and(|offer| offer == number);
        let event = if offered {
            entry::Event::OfferFailed { request, peer }
        } else {
            entry::Event::StreamFailed { request, peer }
        };
        let at = self.now + self.deployment.latency_between(connection.entry, connection.agent);
        self.events.push(at, Event::ToEntry(connection.entry, event));
    }

    fn handle_agent_event(&mut self, index: usize, event: agent::Event) {
        if self.engines.has_failed(index) {
            return;
        }
        let mut actions = Vec::new();
        self.agents[index].handle(self.now, event, &mut actions);
        if let Some(at) = self.agents[index].next_timer()
            && self.agent_ticks[index].is_none_or(|set| set > at)
        {
            self.agent_ticks[index] = Some(at);
            self.events.push(at.max(self.now), Event::AgentTick(index));
        }
        for action in actions {
            self.perform_agent_action(index, action);
        }
    }

    fn perform_agent_action(&mut self, index: usize, action: agent::Action) {
        use agent::Action;
        match action {
            Action::Reply { link, reply } => {
                let Some(connection) = self.connections.remove(&link.0) else { return };
                self.offers.remove(&(connection.request, index));
                let (request, peer) = (connection.request, deployment::address(index));
                let event = entry::Event::OfferReply { request, peer, reply };
                let at = self.now + self.deployment.latency_between(connection.entry, index);
                self.events.push(at, Event::ToEntry(connection.entry, event));
            }
            Action::Frame { link, frame } => self.forward_frame(link, frame),
            Action::Dispatch { grant, head, .. } => {
                self.dispatch_to_backend(index, grant, head.request)
            }
            Action::Cancel { grant } if index < self.engines.len() => {
                self.engines.cancel(self.now, index, grant.seq);
                self.grants.remove(&(index, grant.seq));
            }
            Action::Resume { grant, .. } => {
                let instance = self.backend_instance(index).unwrap_or_default();
                self.report_progress(index, grant, agent::Progress::StreamNotFound { instance });
            }
            _ => {}
        }
    }

    fn forward_frame(&mut self, link: agent::Link, frame: wire::Frame) {
        let Some(&Connection { entry, agent, request }) = self.connections.get(&link.0) else {
            return;
        };
        let at = self.now + self.deployment.latency_between(entry, agent);
        if matches!(frame.body, frame::Body::End { .. } | frame::Body::Refused(_)) {
            self.connections.remove(&link.0);
            self.streams.remove(&request);
        }
        let peer = deployment::address(agent);
        self.events.push(at, Event::ToEntry(entry, entry::Event::Frame { request, peer, frame }));
    }

    fn dispatch_to_backend(&mut self, index: usize, grant: id::Grant, request: id::Request) {
        if index >= self.engines.len() {
            let service_time =
                Duration::from_micros(self.rng.u64(SERVICE_TIME_US.0..=SERVICE_TIME_US.1));
            self.events.push(self.now + service_time, Event::ServiceDone(index, grant));
            return;
        }
        let Some(&request_index) = self.request_indices.get(&request) else { return };
        if self.engines.submit(self.now, index, grant.seq, &self.requests[request_index]) {
            self.grants.insert((index, grant.seq), grant);
            self.schedule_engine(index);
        } else {
            self.report_progress(index, grant, agent::Progress::Unreachable);
        }
    }

    fn report_progress(&mut self, index: usize, grant: id::Grant, progress: agent::Progress) {
        let event = agent::Event::Backend { grant, progress };
        self.events.push(self.now, Event::ToAgent(index, event));
    }

    fn schedule_engine(&mut self, index: usize) {
        if let Some(at) = self.engines.next_tick(index) {
            self.events.push(at, Event::EngineTick(index));
        }
    }

    fn tick_engine(&mut self, index: usize) {
        let mut out = Vec::new();
        self.engines.tick(self.now, index, &mut out);
        let instance = self.backend_instance(index).unwrap_or_default();
        for output in out {
            let Some(&grant) = self.grants.get(&(index, output.id)) else { continue };
            if output.end == Some(run::End::Crashed) {
                self.report_progress(index, grant, agent::Progress::ConnectionLost);
                continue;
            }
            if output.tokens == 1 {
                let content_type = Bytes::from_static(b"text/plain");
                let instance = instance.clone();
                let started = agent::Progress::Started { status: 200, content_type, instance };
                self.report_progress(index, grant, started);
            }
            let offset = u64::from(output.tokens.saturating_sub(1)) * TOKEN.len() as u64;
            self.report_progress(index, grant, token_progress(offset));
            if output.end.is_some() {
                self.grants.remove(&(index, output.id));
                self.report_progress(index, grant, agent::Progress::End);
            }
        }
        self.schedule_engine(index);
    }

    fn finish_service_request(&mut self, index: usize, grant: id::Grant) {
        let content_type = Bytes::from_static(b"application/json");
        let instance = Bytes::new();
        let started = agent::Progress::Started { status: 200, content_type, instance };
        self.report_progress(index, grant, started);
        self.report_progress(index, grant, token_progress(0));
        self.report_progress(index, grant, agent::Progress::End);
    }

    fn backend_instance(&self, index: usize) -> Option<Bytes> {
        if index >= self.engines.len() {
            return Some(Bytes::from_static(b"service"));
        }
        let engine = self.engines.get(index);
        engine.is_up(self.now).then(|| engine.instance().to_string().into())
    }

    fn probe_backends(&mut self) {
        for index in 0..self.agents.len() {
            let instance = self.backend_instance(index);
            self.handle_agent_event(index, agent::Event::Probe { instance });
            if index < self.engines.len() {
                let load = self.engines.get(index).load(self.now);
                let (running, waiting) = (load.running as u32, load.waiting as u32);
                self.handle_agent_event(index, agent::Event::Load { running, waiting });
            }
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        let failed = self.engines.inject_fault(self.now, fault);
        let mut closed: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| self.engines.has_failed(connection.agent))
            .map(|(number, _)| *number)
            .collect();
        closed.sort_unstable();
        for number in closed {
            self.fail_connection(number);
        }
        if !failed.is_empty() {
            self.events.push(self.now + HOST_LIST_DELAY, Event::HostList);
        }
    }

    fn remove_failed_hosts(&mut self) {
        let mut hosts = self.deployment.host_list();
        let mut index = 0;
        hosts.retain(|_| {
            index += 1;
            !self.engines.has_failed(index - 1)
        });
        for index in 0..self.entries.len() {
            self.handle_entry_event(index, entry::Event::Hosts(hosts.clone()));
        }
    }

    fn finish_record(mut self) -> (Record, Vec<Run>) {
        let mut counters = BTreeMap::new();
        for machine in &self.entries {
            let mut status = Status::default();
            machine.report(self.now, &mut status);
            add_counters(&mut counters, "entry", status);
        }
        for machine in &self.agents {
            let mut status = Status::default();
            machine.report(self.now, &mut status);
            add_counters(&mut counters, "agent", status);
        }
        self.record.counters = counters;
        let engines = (0..self.engines.len()).map(|index| self.engines.get(index));
        let runs = engines.flat_map(|engine| engine.record().iter().cloned()).collect();
        (mem::take(&mut self.record), runs)
    }
}

/// Returns the progress for one token at an offset of the response.
fn token_progress(offset: u64) -> agent::Progress {
    agent::Progress::Data { offset, bytes: Bytes::from_static(TOKEN) }
}

fn add_counters(counters: &mut BTreeMap<String, u64>, role: &str, status: Status) {
    for (name, value) in status.counters {
        *counters.entry(format!("{role}_{name}")).or_default() += value;
    }
}
