//! Run of the entry and agent state machines on an in-memory network.

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
    agenda::{self, Agenda},
    deployment::{self, CALLER_LATENCY, Deployment, SERVICE_US},
    engines::{self, Engines},
    ledger::{Answer, Ledger},
    scenario::{Fault, Scenario},
    workload::{Call, Class},
};

/// Period of the agents' probes and load reports, as in the daemon.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Time until the host list no longer names hosts that died.
const DELISTED: Duration = Duration::from_secs(2);
/// Bytes that stand for one token of an answer.
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
    Probes,
    Fault(Fault),
    Hosts,
}

/// What a connection to an agent carries.
#[derive(Clone, Copy, Debug)]
struct Link {
    entry: usize,
    agent: usize,
    request: id::Request,
}

struct World<'a> {
    deployment: &'a Deployment,
    calls: &'a [Call],
    now: Instant,
    rng: fastrand::Rng,
    agenda: Agenda<Event>,
    entries: Vec<entry::Machine>,
    agents: Vec<agent::Machine>,
    entry_ticks: Vec<Option<Instant>>,
    agent_ticks: Vec<Option<Instant>>,
    engines: Engines,
    links: HashMap<u64, Link>,
    offers: HashMap<(id::Request, usize), u64>,
    streams: HashMap<id::Request, u64>,
    next_link: u64,
    requests: HashMap<id::Request, usize>,
    grants: HashMap<(usize, u64), id::Grant>,
    ledger: Ledger,
}

/// Runs all calls and returns what became of them and what the engines did.
pub(crate) fn run(
    deployment: &Deployment,
    scenario: &Scenario,
    calls: &[Call],
    seed: u64,
) -> (Ledger, Vec<Run>) {
    let mut world = World::new(deployment, calls, seed);
    for (index, call) in calls.iter().enumerate() {
        world.agenda.add(call.sent + CALLER_LATENCY, Event::Arrival(index));
    }
    if let Some((at, fault)) = scenario.fault {
        world.agenda.add(agenda::at(at), Event::Fault(fault));
    }
    world.agenda.add(Instant::default() + PROBE_PERIOD, Event::Probes);
    let end = engines::end(scenario.span);
    while let Some((now, event)) = world.agenda.pop(end) {
        world.now = now;
        world.apply(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(deployment: &'a Deployment, calls: &'a [Call], seed: u64) -> World<'a> {
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
        let hosts = deployment.hosts();
        let agents = hosts.iter().map(|host| {
            agent::Machine::new(agent::Setup {
                process: id::Process(rng.u64(..)),
                host: host.host.clone(),
                pool: host.pool.clone(),
                seed: rng.u64(..),
            })
        });
        let agents = agents.collect::<Vec<_>>();
        let mut world = World {
            now: Instant::default(),
            agenda: Agenda::new(),
            entry_ticks: vec![None; entries.len()],
            agent_ticks: vec![None; agents.len()],
            entries,
            agents,
            engines: Engines::new(deployment),
            links: HashMap::new(),
            offers: HashMap::new(),
            streams: HashMap::new(),
            next_link: 0,
            requests: HashMap::new(),
            grants: HashMap::new(),
            ledger: Ledger::new(calls.len()),
            rng,
            deployment,
            calls,
        };
        world.configure(&Arc::new(deployment.tree()), &hosts);
        world
    }

    fn configure(&mut self, tree: &Arc<tree::Tree>, hosts: &[host::Record]) {
        for index in 0..self.entries.len() {
            self.entry(index, entry::Event::Settings(tree.clone()));
            self.entry(index, entry::Event::Hosts(hosts.to_vec()));
            self.entry(index, entry::Event::Ready);
        }
        for index in 0..self.agents.len() {
            self.agent(index, agent::Event::Settings(tree.clone()));
            self.agent(index, agent::Event::Hosts(hosts.to_vec()));
            self.agent(index, agent::Event::Ready);
        }
        self.probe();
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrival(call) => self.arrive(call),
            Event::ToEntry(index, event) => self.entry(index, event),
            Event::ToAgent(index, event) => self.deliver(index, event),
            Event::EntryTick(index) => {
                self.entry_ticks[index] = None;
                self.entry(index, entry::Event::Tick);
            }
            Event::AgentTick(index) => {
                self.agent_ticks[index] = None;
                self.agent(index, agent::Event::Tick);
            }
            Event::EngineTick(index) => self.engine_tick(index),
            Event::ServiceDone(agent, grant) => self.service_done(agent, grant),
            Event::Probes => {
                self.probe();
                self.agenda.add(self.now + PROBE_PERIOD, Event::Probes);
            }
            Event::Fault(fault) => self.fault(fault),
            Event::Hosts => self.delist(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let call = &self.calls[index];
        let plain = call.class == Class::Plain;
        let prefix =
            if call.prompt.prefix_tokens > 0 { call.prompt.prefix } else { call.prompt.full };
        let path = if plain { deployment::SERVICE_PATH } else { "/v1/chat/completions" };
        let event = entry::IncomingRequest {
            caller: index as u64,
            method: Bytes::from_static(b"POST"),
            path: deployment::text(path),
            content_type: Bytes::from_static(b"application/json"),
            model: deployment::text(if plain { "" } else { deployment::MODEL }),
            account: self.deployment.account(call.account),
            authenticated: false,
            tier: (!plain).then(|| deployment::text(call.class.name())),
            deadline: Some(call.class.deadline()),
            key: None,
            prompt_tokens: call.prompt.tokens,
            output_tokens: call.output_tokens,
            body_len: u64::from(call.prompt.tokens) * 4,
            body_hash: call.prompt.full,
            prefix_hash: prefix,
        };
        self.entry(call.entry, entry::Event::Request(event));
    }

    fn entry(&mut self, index: usize, event: entry::Event) {
        let mut actions = Vec::new();
        self.entries[index].handle(self.now, event, &mut actions);
        if let Some(at) = self.entries[index].next_timer()
            && self.entry_ticks[index].is_none_or(|set| set > at)
        {
            self.entry_ticks[index] = Some(at);
            self.agenda.add(at.max(self.now), Event::EntryTick(index));
        }
        for action in actions {
            self.entry_action(index, action);
        }
    }

    fn entry_action(&mut self, index: usize, action: entry::Action) {
        use entry::Action;
        match action {
            Action::StoreBody { caller, request } => {
                self.requests.insert(request, caller as usize);
            }
            Action::Offer { peer, head } => {
                let request = head.request;
                let offer = offer::Offer { head, settings: 0 };
                let link =
                    self.open(index, peer, request, |link| agent::Event::Offer { link, offer });
                self.offers.insert((request, deployment::agent_at(peer)), link);
            }
            Action::Withdraw { request, peer } => {
                if let Some(link) = self.offers.remove(&(request, deployment::agent_at(peer))) {
                    self.close(link);
                }
            }
            Action::Commit { peer, commit } => {
                self.drop_stream(commit.request);
                let body = Bytes::new();
                let event = |link| agent::Event::Commit { link, commit, body };
                let link = self.open(index, peer, commit.request, event);
                self.streams.insert(commit.request, link);
            }
            Action::Attach { peer, attach } => {
                self.drop_stream(attach.request);
                let event = |link| agent::Event::Attach { link, attach };
                let link = self.open(index, peer, attach.request, event);
                self.streams.insert(attach.request, link);
            }
            Action::Cancel { peer, commit } => self.cancel(index, peer, commit),
            Action::Data { caller, .. } => self.ledger.token(caller as usize, self.now),
            Action::Finish { caller } => {
                self.ledger.answer(caller as usize, Answer::Whole(self.now + CALLER_LATENCY));
            }
            Action::Refuse { caller, refusal, .. } => {
                self.ledger.answer(caller as usize, Answer::Refused(refusal.reason));
            }
            _ => {}
        }
    }

    /// Opens a connection and sends its first message.
    fn open(
        &mut self,
        entry: usize,
        peer: SocketAddr,
        request: id::Request,
        event: impl FnOnce(agent::Link) -> agent::Event,
    ) -> u64 {
        let agent = deployment::agent_at(peer);
        self.next_link += 1;
        let link = self.next_link;
        self.links.insert(link, Link { entry, agent, request });
        let at = self.now + self.deployment.link(entry, agent);
        self.agenda.add(at, Event::ToAgent(agent, event(agent::Link(link))));
        link
    }

    /// Closes a connection at the entry; a message on its way to the entry is lost.
    fn close(&mut self, link: u64) {
        let Some(Link { entry, agent, .. }) = self.links.remove(&link) else { return };
        let at = self.now + self.deployment.link(entry, agent);
        let event = agent::Event::LinkClosed { link: agent::Link(link) };
        self.agenda.add(at, Event::ToAgent(agent, event));
    }

    fn drop_stream(&mut self, request: id::Request) {
        if let Some(link) = self.streams.remove(&request) {
            self.close(link);
        }
    }

    fn cancel(&mut self, entry: usize, peer: SocketAddr, commit: grant::Commit) {
        let agent = deployment::agent_at(peer);
        // The grant may be a late one of another agent than the one that answers.
        let stream = self.streams.get(&commit.request).and_then(|link| self.links.get(link));
        if stream.is_some_and(|link| link.agent == agent) {
            self.drop_stream(commit.request);
        }
        let at = self.now + self.deployment.link(entry, agent);
        self.agenda.add(at, Event::ToAgent(agent, agent::Event::Cancel { commit }));
    }

    fn deliver(&mut self, index: usize, event: agent::Event) {
        if !self.engines.is_dead(index) {
            return self.agent(index, event);
        }
        let (agent::Event::Offer { link, .. }
        | agent::Event::Commit { link, .. }
        | agent::Event::Attach { link, .. }) = event
        else {
            return;
        };
        self.lose(link.0);
    }

    /// Tells an entry that a connection is gone.
    fn lose(&mut self, number: u64) {
        let Some(link) = self.links.remove(&number) else { return };
        let (request, peer) = (link.request, deployment::address(link.agent));
        let offered =
            self.offers.remove(&(request, link.agent)).is_some_and(|offer| offer == number);
        let event = if offered {
            entry::Event::OfferFailed { request, peer }
        } else {
            entry::Event::StreamFailed { request, peer }
        };
        let at = self.now + self.deployment.link(link.entry, link.agent);
        self.agenda.add(at, Event::ToEntry(link.entry, event));
    }

    fn agent(&mut self, index: usize, event: agent::Event) {
        if self.engines.is_dead(index) {
            return;
        }
        let mut actions = Vec::new();
        self.agents[index].handle(self.now, event, &mut actions);
        if let Some(at) = self.agents[index].next_timer()
            && self.agent_ticks[index].is_none_or(|set| set > at)
        {
            self.agent_ticks[index] = Some(at);
            self.agenda.add(at.max(self.now), Event::AgentTick(index));
        }
        for action in actions {
            self.agent_action(index, action);
        }
    }

    fn agent_action(&mut self, index: usize, action: agent::Action) {
        use agent::Action;
        match action {
            Action::Reply { link, reply } => {
                let Some(link) = self.links.remove(&link.0) else { return };
                self.offers.remove(&(link.request, index));
                let (request, peer) = (link.request, deployment::address(index));
                let event = entry::Event::OfferReply { request, peer, reply };
                let at = self.now + self.deployment.link(link.entry, index);
                self.agenda.add(at, Event::ToEntry(link.entry, event));
            }
            Action::Frame { link, frame } => self.frame(link, frame),
            Action::Dispatch { grant, head, .. } => self.dispatch(index, grant, head.request),
            Action::Cancel { grant } if index < self.engines.len() => {
                self.engines.cancel(self.now, index, grant.seq);
                self.grants.remove(&(index, grant.seq));
            }
            Action::Resume { grant, .. } => {
                let instance = self.instance(index).unwrap_or_default();
                self.progress(index, grant, agent::Progress::StreamNotFound { instance });
            }
            _ => {}
        }
    }

    fn frame(&mut self, link: agent::Link, frame: wire::Frame) {
        let Some(&Link { entry, agent, request }) = self.links.get(&link.0) else { return };
        let at = self.now + self.deployment.link(entry, agent);
        if matches!(frame.body, frame::Body::End { .. } | frame::Body::Refused(_)) {
            self.links.remove(&link.0);
            self.streams.remove(&request);
        }
        let peer = deployment::address(agent);
        self.agenda.add(at, Event::ToEntry(entry, entry::Event::Frame { request, peer, frame }));
    }

    fn dispatch(&mut self, index: usize, grant: id::Grant, request: id::Request) {
        if index >= self.engines.len() {
            let busy = Duration::from_micros(self.rng.u64(SERVICE_US.0..=SERVICE_US.1));
            self.agenda.add(self.now + busy, Event::ServiceDone(index, grant));
            return;
        }
        let Some(&call) = self.requests.get(&request) else { return };
        if self.engines.submit(self.now, index, grant.seq, &self.calls[call]) {
            self.grants.insert((index, grant.seq), grant);
            self.schedule_engine(index);
        } else {
            self.progress(index, grant, agent::Progress::Unreachable);
        }
    }

    fn progress(&mut self, index: usize, grant: id::Grant, progress: agent::Progress) {
        let event = agent::Event::Backend { grant, progress };
        self.agenda.add(self.now, Event::ToAgent(index, event));
    }

    fn schedule_engine(&mut self, index: usize) {
        if let Some(at) = self.engines.due(index) {
            self.agenda.add(at, Event::EngineTick(index));
        }
    }

    fn engine_tick(&mut self, index: usize) {
        let mut out = Vec::new();
        self.engines.tick(self.now, index, &mut out);
        let instance = self.instance(index).unwrap_or_default();
        for output in out {
            let Some(&grant) = self.grants.get(&(index, output.id)) else { continue };
            if output.end == Some(run::End::Crashed) {
                self.progress(index, grant, agent::Progress::ConnectionLost);
                continue;
            }
            if output.tokens == 1 {
                let content_type = Bytes::from_static(b"text/event-stream");
                let instance = instance.clone();
                let started = agent::Progress::Started { status: 200, content_type, instance };
                self.progress(index, grant, started);
            }
            let offset = u64::from(output.tokens.saturating_sub(1)) * TOKEN.len() as u64;
            self.progress(index, grant, data(offset));
            if output.end.is_some() {
                self.grants.remove(&(index, output.id));
                self.progress(index, grant, agent::Progress::End);
            }
        }
        self.schedule_engine(index);
    }

    fn service_done(&mut self, index: usize, grant: id::Grant) {
        let content_type = Bytes::from_static(b"application/json");
        let instance = Bytes::new();
        let started = agent::Progress::Started { status: 200, content_type, instance };
        self.progress(index, grant, started);
        self.progress(index, grant, data(0));
        self.progress(index, grant, agent::Progress::End);
    }

    fn instance(&self, index: usize) -> Option<Bytes> {
        if index >= self.engines.len() {
            return Some(Bytes::from_static(b"service"));
        }
        let engine = self.engines.get(index);
        engine.is_up(self.now).then(|| engine.instance().to_string().into())
    }

    fn probe(&mut self) {
        for index in 0..self.agents.len() {
            let instance = self.instance(index);
            self.agent(index, agent::Event::Probe { instance });
            if index < self.engines.len() {
                let load = self.engines.get(index).load(self.now);
                let (running, waiting) = (load.running as u32, load.waiting as u32);
                self.agent(index, agent::Event::Load { running, waiting });
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        let dead = self.engines.fault(self.now, fault);
        let mut lost: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| self.engines.is_dead(link.agent))
            .map(|(number, _)| *number)
            .collect();
        lost.sort_unstable();
        for number in lost {
            self.lose(number);
        }
        if !dead.is_empty() {
            self.agenda.add(self.now + DELISTED, Event::Hosts);
        }
    }

    fn delist(&mut self) {
        let mut hosts = self.deployment.hosts();
        let mut index = 0;
        hosts.retain(|_| {
            index += 1;
            !self.engines.is_dead(index - 1)
        });
        for index in 0..self.entries.len() {
            self.entry(index, entry::Event::Hosts(hosts.clone()));
        }
    }

    fn finish(mut self) -> (Ledger, Vec<Run>) {
        let mut counters = BTreeMap::new();
        for machine in &self.entries {
            let mut status = Status::default();
            machine.report(self.now, &mut status);
            add(&mut counters, "entry", status);
        }
        for machine in &self.agents {
            let mut status = Status::default();
            machine.report(self.now, &mut status);
            add(&mut counters, "agent", status);
        }
        self.ledger.counters = counters;
        let engines = (0..self.engines.len()).map(|index| self.engines.get(index));
        let runs = engines.flat_map(|engine| engine.record().iter().cloned()).collect();
        (mem::take(&mut self.ledger), runs)
    }
}

/// Returns the progress of one token at an offset of the answer.
fn data(offset: u64) -> agent::Progress {
    agent::Progress::Data { offset, bytes: Bytes::from_static(TOKEN) }
}

fn add(counters: &mut BTreeMap<String, u64>, role: &str, status: Status) {
    for (name, value) in status.counters {
        *counters.entry(format!("{role}_{name}")).or_default() += value;
    }
}
