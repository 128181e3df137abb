//! The simulated system: processes, engines, connections and time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use conf::tree;
use wire::{host, id, request, sync, time::Instant};

use crate::{
    engine::Engine,
    fault,
    process::Process,
    record::{Record, Request},
};

/// Upper bound of the delay of one message, in microseconds.
const MAX_DELAY_US: u64 = 3_000;
/// Time after its report for which a suspect is sent to agents that start, as settings
/// distribution does.
const SUSPECT_RETENTION: Duration = Duration::from_secs(10);

/// Interval at which the caller of the poison request checks for a response, after which it sends
/// the request again.
const POISON_RETRY_INTERVAL: Duration = Duration::from_millis(8);

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Offer(id::Request),
    Stream(id::Request),
    Key(u64),
}

/// A connection from an entry to an agent. Its number is also the agent's link.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    pub(crate) entry: usize,
    pub(crate) entry_generation: u32,
    pub(crate) agent: usize,
    pub(crate) agent_generation: u32,
    pub(crate) purpose: Purpose,
    /// Arrival time of the last message to the entry; later messages arrive after it, in order.
    pub(crate) last_arrival_at_entry: Instant,
    /// Whether the entry received the final message or abandoned the connection. Closing the
    /// connection is then not reported to the entry as a failure.
    pub(crate) finished: bool,
}

/// A scheduled step of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Delivery {
    EntryEvent {
        index: usize,
        generation: u32,
        event: entry::Event,
    },
    AgentEvent {
        index: usize,
        generation: u32,
        event: agent::Event,
    },
    /// A message on a connection; dropped if the connection was closed before.
    MessageToAgent {
        connection: u64,
        event: agent::Event,
    },
    MessageToEntry {
        connection: u64,
        event: entry::Event,
        last: bool,
    },
    /// The agent closes a connection, after all messages that it sent on it have arrived.
    Close {
        connection: u64,
    },
    /// Settings and host list of publication `number`. A process that received a later
    /// publication ignores them, as it ignores outdated revisions in the real system.
    Published {
        role: host::Role,
        index: usize,
        generation: u32,
        number: u64,
        tree: Arc<tree::Tree>,
        hosts: Vec<host::Record>,
    },
    EngineTick {
        index: usize,
    },
    /// The caller of the poison request has `copies` of it left to send.
    Poison {
        copies: u32,
    },
    Dispatch {
        index: usize,
        generation: u32,
        grant: id::Grant,
        head: request::Head,
        body: Bytes,
    },
    Resume {
        index: usize,
        generation: u32,
        grant: id::Grant,
        offset: u64,
    },
    CancelStream {
        index: usize,
        grant: id::Grant,
    },
}

/// The simulated system.
pub struct Simulation {
    pub now: Instant,
    pub rng: fastrand::Rng,
    pub entries: Vec<Process<entry::Machine, entry::Event>>,
    pub agents: Vec<Process<agent::Machine, agent::Event>>,
    pub engines: Vec<Engine>,
    pub record: Record,
    pub tree: Arc<tree::Tree>,
    pub hosts: Vec<host::Record>,
    /// Number of publications of settings and host list so far.
    pub(crate) publications: u64,
    /// Whether the steps of requests are printed, to debug a single plan.
    pub trace: bool,
    pub(crate) deliveries: BTreeMap<(Instant, u64), Delivery>,
    /// Last number given to a connection or a scheduled delivery.
    pub(crate) sequence: u64,
    pub(crate) connections: BTreeMap<u64, Connection>,
    /// Pairs of entry and agent that can't exchange messages.
    pub(crate) partitions: BTreeSet<(usize, usize)>,
    /// Messages to deliver once the partitions have ended.
    pub(crate) blocked_deliveries: Vec<Delivery>,
    pub(crate) bodies: BTreeMap<(usize, id::Request), Bytes>,
    /// Suspects, each with the time of its report.
    pub(crate) suspects: Vec<(Instant, sync::Suspect)>,
    pub(crate) poison_caller: Option<u64>,
    pub(crate) callers: BTreeMap<id::Request, u64>,
}

/// Returns the address of an agent.
pub fn agent_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16))
}

/// Returns the host name of an agent.
pub fn agent_host(index: usize) -> Bytes {
    format!("backend-{index}").into()
}

/// Returns the host name of an entry.
pub fn entry_host(index: usize) -> Bytes {
    format!("entry-{index}").into()
}

impl Simulation {
    /// Returns a simulation in which all processes run and every agent serves `pool`.
    pub fn new(
        seed: u64,
        tree: tree::Tree,
        pool: &str,
        entries: usize,
        agents: usize,
    ) -> Simulation {
        let hosts = (0..agents)
            .map(|index| host::Record {
                host: agent_host(index),
                role: host::Role::Agent,
                address: agent_address(index),
                availability_zone: format!("zone-{}", index % 4).into(),
                pool: Bytes::copy_from_slice(pool.as_bytes()),
                speed: 100,
                state: host::State::Live,
            })
            .collect();
        let mut simulation = Simulation {
            now: Instant(1_000_000),
            rng: fastrand::Rng::with_seed(seed),
            entries: (0..entries).map(|_| Process::new()).collect(),
            agents: (0..agents).map(|_| Process::new()).collect(),
            engines: (0..agents).map(|_| Engine::default()).collect(),
            record: Record::default(),
            tree: Arc::new(tree),
            hosts,
            publications: 0,
            trace: std::env::var_os("PROOF_TRACE").is_some(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            connections: BTreeMap::new(),
            partitions: BTreeSet::new(),
            blocked_deliveries: Vec::new(),
            bodies: BTreeMap::new(),
            suspects: Vec::new(),
            poison_caller: None,
            callers: BTreeMap::new(),
        };
        for index in 0..agents {
            simulation.engines[index].piece_interval =
                Duration::from_millis(simulation.rng.u64(5..40));
            simulation.start_agent(index);
        }
        for index in 0..entries {
            simulation.start_entry(index);
        }
        simulation
    }

    /// Starts an entry process with empty memory.
    pub fn start_entry(&mut self, index: usize) {
        let process = id::Process(self.rng.u64(..));
        let machine = entry::Machine::new(entry::Setup {
            process,
            host: entry_host(index),
            availability_zone: format!("zone-{}", index % 4).into(),
            seed: self.rng.u64(..),
        });
        self.entries[index].start(process, self.publications, machine);
        self.handle_entry_event(index, entry::Event::Settings(self.tree.clone()));
        self.handle_entry_event(index, entry::Event::Hosts(self.hosts.clone()));
        self.handle_entry_event(index, entry::Event::Ready);
    }

    /// Starts an agent process with empty memory.
    pub fn start_agent(&mut self, index: usize) {
        let process = id::Process(self.rng.u64(..));
        let machine = agent::Machine::new(agent::Setup {
            process,
            host: agent_host(index),
            pool: self.hosts[index].pool.clone(),
            seed: self.rng.u64(..),
        });
        self.agents[index].start(process, self.publications, machine);
        self.handle_agent_event(index, agent::Event::Settings(self.tree.clone()));
        self.handle_agent_event(index, agent::Event::Hosts(self.hosts.clone()));
        let instance = (!self.engines[index].down).then(|| self.engines[index].instance());
        self.handle_agent_event(index, agent::Event::Probe { instance });
        let recent = self.suspects.iter().filter(|(at, _)| self.now.since(*at) < SUSPECT_RETENTION);
        let suspects = recent.map(|(_, suspect)| *suspect).collect();
        self.handle_agent_event(index, agent::Event::Suspects(suspects));
        self.handle_agent_event(index, agent::Event::Ready);
    }

    /// Sends the settings and the host list to one agent, without delay.
    pub fn publish_to_agent(&mut self, index: usize) {
        self.publications += 1;
        let publication = (self.publications, self.tree.clone(), self.hosts.clone());
        let generation = self.agents[index].generation;
        self.apply_publication(host::Role::Agent, index, generation, publication);
    }

    fn apply_publication(
        &mut self,
        role: host::Role,
        index: usize,
        generation: u32,
        (number, tree, hosts): (u64, Arc<tree::Tree>, Vec<host::Record>),
    ) {
        match role {
            host::Role::Entry if self.entries[index].accept_publication(generation, number) => {
                self.handle_entry_event(index, entry::Event::Settings(tree));
                self.handle_entry_event(index, entry::Event::Hosts(hosts));
            }
            host::Role::Agent if self.agents[index].accept_publication(generation, number) => {
                self.handle_agent_event(index, agent::Event::Settings(tree));
                self.handle_agent_event(index, agent::Event::Hosts(hosts));
            }
            host::Role::Entry | host::Role::Agent => {}
        }
    }

    /// Sends a request to an entry.
    pub fn send_request(&mut self, index: usize, request: entry::IncomingRequest, body: Bytes) {
        let recorded = Request {
            entry: index,
            at: self.now,
            body,
            tier: request.tier.clone().unwrap_or_default(),
            key: request.idempotency_key.clone(),
            id: None,
            started: false,
            received: Vec::new(),
            responses: Vec::new(),
            disconnected: self.entries[index].machine.is_none(),
        };
        self.record.requests.insert(request.caller, recorded);
        self.handle_entry_event(index, entry::Event::Request(request));
    }

    /// Closes a caller's connection.
    pub fn disconnect_caller(&mut self, caller: u64) {
        let Some(request) = self.record.requests.get_mut(&caller) else { return };
        request.disconnected = request.responses.is_empty();
        let index = request.entry;
        self.handle_entry_event(index, entry::Event::CallerDisconnected { caller });
    }

    /// Schedules `copies` sends of the poison request from `at` on, each after the response to
    /// the previous one.
    pub fn schedule_poison(&mut self, at: Instant, copies: u32) {
        self.schedule(at, Delivery::Poison { copies });
    }

    pub(crate) fn send_next_poison(&mut self, copies: u32) {
        let open = self.poison_caller.and_then(|caller| self.record.requests.get(&caller));
        let waits =
            open.is_some_and(|request| !request.disconnected && request.responses.is_empty());
        let entry = self.rng.usize(0..self.entries.len());
        let sent = !waits && self.entries[entry].machine.is_some();
        if sent {
            self.poison_caller = Some(fault::send_poison(self, entry));
        }
        let left = copies - u32::from(sent);
        if left > 0 {
            let at = self.now + POISON_RETRY_INTERVAL;
            self.schedule_poison(at, left);
        }
    }

    /// Requests an idempotency key from an entry.
    pub fn request_key(&mut self, index: usize, caller: u64, route: Bytes) {
        self.handle_entry_event(index, entry::Event::KeyRequest { caller, route });
    }

    /// Handles the next timer or delivery that is due by `end`. Returns whether there was one.
    pub fn step(&mut self, end: Instant) -> bool {
        let timer = self.next_timer();
        let delivery = self.deliveries.first_key_value().map(|((at, _), _)| *at);
        let at = match (timer, delivery) {
            (None, None) => return false,
            (Some(timer), None) => timer,
            (None, Some(delivery)) => delivery,
            (Some(timer), Some(delivery)) => timer.min(delivery),
        };
        if at > end {
            return false;
        }
        self.now = self.now.max(at);
        if delivery == Some(at) {
            let (_, delivery) = self.deliveries.pop_first().expect("the queue is not empty");
            self.handle_delivery(delivery);
        } else {
            self.tick();
        }
        true
    }

    /// Returns whether every request has its final response or its caller was disconnected, and no
    /// copy of a poison request is still to be sent.
    pub fn all_requests_finished(&self) -> bool {
        let is_finished = |request: &Request| request.disconnected || !request.responses.is_empty();
        let sends_poison = |delivery: &Delivery| matches!(delivery, Delivery::Poison { .. });
        self.record.requests.values().all(is_finished)
            && !self.deliveries.values().any(sends_poison)
    }

    pub(crate) fn next_timer(&self) -> Option<Instant> {
        let entries = self.entries.iter().filter(|p| !p.frozen && p.machine.is_some());
        let agents = self.agents.iter().filter(|p| !p.frozen && p.machine.is_some());
        entries.filter_map(|p| p.timer).chain(agents.filter_map(|p| p.timer)).min()
    }

    pub(crate) fn tick(&mut self) {
        for index in 0..self.entries.len() {
            let process = &mut self.entries[index];
            if !process.frozen && process.timer.is_some_and(|due| due <= self.now) {
                self.handle_entry_event(index, entry::Event::Tick);
            }
        }
        for index in 0..self.agents.len() {
            let process = &mut self.agents[index];
            if !process.frozen && process.timer.is_some_and(|due| due <= self.now) {
                self.handle_agent_event(index, agent::Event::Tick);
            }
        }
    }

    pub(crate) fn draw_delay_up_to(&mut self, max: Duration) -> Duration {
        Duration::from_micros(self.rng.u64(1..=max.as_micros().max(1) as u64))
    }

    pub(crate) fn draw_delay(&mut self) -> Duration {
        self.draw_delay_up_to(Duration::from_micros(MAX_DELAY_US))
    }

    pub(crate) fn schedule(&mut self, at: Instant, delivery: Delivery) {
        self.sequence += 1;
        self.deliveries.insert((at, self.sequence), delivery);
    }

    pub(crate) fn handle_delivery(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::EntryEvent { index, generation, event } => {
                if self.entries[index].generation == generation {
                    self.handle_entry_event(index, event);
                }
            }
            Delivery::AgentEvent { index, generation, event } => {
                if self.agents[index].generation == generation {
                    self.handle_agent_event(index, event);
                }
            }
            Delivery::MessageToAgent { connection, event } => {
                self.deliver_to_agent(connection, event)
            }
            Delivery::MessageToEntry { connection, event, last } => {
                self.deliver_to_entry(connection, event, last);
            }
            Delivery::Close { connection } => self.close_connection(connection),
            Delivery::Published { role, index, generation, number, tree, hosts } => {
                self.apply_publication(role, index, generation, (number, tree, hosts));
            }
            Delivery::EngineTick { index } => self.tick_engine(index),
            Delivery::Poison { copies } => self.send_next_poison(copies),
            Delivery::Dispatch { index, generation, grant, head, body } => {
                self.dispatch_to_engine(index, generation, grant, head, &body);
            }
            Delivery::Resume { index, generation, grant, offset } => {
                self.resume_stream(index, generation, grant, offset);
            }
            Delivery::CancelStream { index, grant } => {
                self.engines[index].streams.remove(&grant);
            }
        }
    }

    /// Reports to each agent which instance of its engine runs, as a probe does.
    pub fn probe(&mut self) {
        for index in 0..self.agents.len() {
            let engine = &self.engines[index];
            let instance = (!engine.down).then(|| engine.instance());
            self.handle_agent_event(index, agent::Event::Probe { instance });
        }
    }
}
