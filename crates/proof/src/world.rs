//! The simulated world: processes, engines, connections and time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use conf::tree;
use wire::{
    Frame, frame, grant, host, id, offer, outcome, request, status::Status, sync, tier,
    time::Instant,
};

use crate::{
    engine::Engine,
    fault,
    node::Node,
    record::{Answer, Call, Record, Run, Shed},
};

/// Upper bound of the delay of one message, in microseconds.
const MAX_DELAY_US: u64 = 3_000;
/// Time for which exchanges of settings distribution carry a suspect.
const SUSPECT_SHARED: Duration = Duration::from_secs(10);

/// Time that the caller of the poison request waits before it looks for its answer.
const POISON_PAUSE: Duration = Duration::from_millis(8);

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Offer(id::Request),
    Stream(id::Request),
    Key(u64),
}

/// One connection from an entry to an agent. Its number is also the agent's link.
#[derive(Clone, Debug)]
struct Connection {
    entry: usize,
    entry_generation: u32,
    agent: usize,
    agent_generation: u32,
    purpose: Purpose,
    /// Earliest arrival of the next message to the entry, which keeps them in order.
    to_entry: Instant,
    /// Whether the entry saw a final frame; its end is then no loss.
    finished: bool,
}

/// Something that happens at a set time.
#[derive(Clone, Debug)]
enum Delivery {
    Entry {
        index: usize,
        generation: u32,
        event: entry::Event,
    },
    Agent {
        index: usize,
        generation: u32,
        event: agent::Event,
    },
    /// A message on a connection; dropped once the connection is gone.
    OnAgent {
        connection: u64,
        event: agent::Event,
    },
    OnEntry {
        connection: u64,
        event: entry::Event,
        last: bool,
    },
    /// The agent's end of a connection behind everything sent before.
    Close {
        connection: u64,
    },
    EngineTick {
        index: usize,
    },
    /// The caller of the poison request sends it again, this many times.
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

/// The simulated world.
pub struct World {
    pub now: Instant,
    pub rng: fastrand::Rng,
    pub entries: Vec<Node<entry::Machine, entry::Event>>,
    pub agents: Vec<Node<agent::Machine, agent::Event>>,
    pub engines: Vec<Engine>,
    pub record: Record,
    pub tree: Arc<tree::Tree>,
    pub hosts: Vec<host::Record>,
    /// Whether steps of requests are printed, to examine one plan.
    pub trace: bool,
    queue: BTreeMap<(Instant, u64), Delivery>,
    next: u64,
    connections: BTreeMap<u64, Connection>,
    /// Pairs of entry and agent that no message passes between.
    partitions: BTreeSet<(usize, usize)>,
    held: Vec<Delivery>,
    bodies: BTreeMap<(usize, id::Request), Bytes>,
    /// Suspects with the time of their report, which processes pass on for a while.
    suspects: Vec<(Instant, sync::Suspect)>,
    poison_caller: Option<u64>,
    callers: BTreeMap<id::Request, u64>,
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

impl World {
    /// Returns a world with all processes up, in which every agent serves `pool`.
    pub fn new(seed: u64, tree: tree::Tree, pool: &str, entries: usize, agents: usize) -> World {
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
        let mut world = World {
            now: Instant(1_000_000),
            rng: fastrand::Rng::with_seed(seed),
            entries: (0..entries).map(|_| Node::new()).collect(),
            agents: (0..agents).map(|_| Node::new()).collect(),
            engines: (0..agents).map(|_| Engine::default()).collect(),
            record: Record::default(),
            tree: Arc::new(tree),
            hosts,
            trace: std::env::var_os("PROOF_TRACE").is_some(),
            queue: BTreeMap::new(),
            next: 0,
            connections: BTreeMap::new(),
            partitions: BTreeSet::new(),
            held: Vec::new(),
            bodies: BTreeMap::new(),
            suspects: Vec::new(),
            poison_caller: None,
            callers: BTreeMap::new(),
        };
        for index in 0..agents {
            world.engines[index].pace = Duration::from_millis(world.rng.u64(5..40));
            world.start_agent(index);
        }
        for index in 0..entries {
            world.start_entry(index);
        }
        world
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
        self.entries[index].start(process, machine);
        self.entry_event(index, entry::Event::Settings(self.tree.clone()));
        self.entry_event(index, entry::Event::Hosts(self.hosts.clone()));
        self.entry_event(index, entry::Event::Ready);
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
        self.agents[index].start(process, machine);
        self.agent_event(index, agent::Event::Settings(self.tree.clone()));
        self.agent_event(index, agent::Event::Hosts(self.hosts.clone()));
        let instance = (!self.engines[index].down).then(|| self.engines[index].instance());
        self.agent_event(index, agent::Event::Probe { instance });
        let recent = self.suspects.iter().filter(|(at, _)| self.now.since(*at) < SUSPECT_SHARED);
        let suspects = recent.map(|(_, suspect)| *suspect).collect();
        self.agent_event(index, agent::Event::Suspects(suspects));
        self.agent_event(index, agent::Event::Ready);
    }

    /// Kills an entry; its callers' connections are lost.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].machine = None;
        for call in self.record.calls.values_mut() {
            if call.entry == index && call.answers.is_empty() {
                call.lost = true;
            }
        }
        self.bodies.retain(|(entry, _), _| *entry != index);
        self.close_where(|connection| connection.entry == index);
    }

    /// Kills an agent; its engine runs on.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents[index].machine = None;
        for stream in self.engines[index].streams.values_mut() {
            stream.reader = None;
        }
        self.close_where(|connection| connection.agent == index);
    }

    /// Ends an agent's process after a planned stop: connections close behind what was sent.
    fn exit_agent(&mut self, index: usize) {
        self.agents[index].machine = None;
        let open = self.connections.iter().filter(|(_, c)| c.agent == index);
        let ends: Vec<(u64, Instant)> = open.map(|(n, c)| (*n, c.to_entry)).collect();
        for (connection, sent) in ends {
            let at = sent.max(self.now) + Duration::from_micros(1);
            self.schedule(at, Delivery::Close { connection });
        }
    }

    /// Closes all connections between an entry and an agent.
    pub fn cut(&mut self, entry: usize, agent: usize) {
        self.close_where(|connection| connection.entry == entry && connection.agent == agent);
    }

    /// Stops all messages between an entry and an agent until `heal`.
    pub fn partition(&mut self, entry: usize, agent: usize) {
        self.partitions.insert((entry, agent));
    }

    /// Ends all partitions; held messages arrive late.
    pub fn heal(&mut self) {
        self.partitions.clear();
        for delivery in std::mem::take(&mut self.held) {
            let at = self.now + Duration::from_micros(1);
            self.schedule(at, delivery);
        }
    }

    /// Cuts the connections between an agent and its engine; the engine runs on.
    pub fn cut_engine(&mut self, index: usize) {
        let grants: Vec<id::Grant> = self.engines[index]
            .streams
            .iter_mut()
            .filter_map(|(grant, stream)| stream.reader.take().map(|_| *grant))
            .collect();
        for grant in grants {
            self.progress(index, grant, agent::Progress::Lost);
        }
    }

    /// Crashes an engine: all streams are lost and it stays down until `restart_engine`.
    pub fn crash_engine(&mut self, index: usize) {
        self.record.crashes.push((self.now, index));
        self.cut_engine(index);
        let engine = &mut self.engines[index];
        engine.streams.clear();
        engine.down = true;
        engine.instance += 1;
    }

    /// Brings a crashed engine back.
    pub fn restart_engine(&mut self, index: usize) {
        self.engines[index].down = false;
    }

    /// Lets processes learn new settings and a new host list, each after its own delay.
    pub fn publish(&mut self, max_delay: Duration) {
        for index in 0..self.entries.len() {
            let at = self.now + self.delay_up_to(max_delay);
            let generation = self.entries[index].generation;
            let settings = entry::Event::Settings(self.tree.clone());
            let hosts = entry::Event::Hosts(self.hosts.clone());
            for event in [settings, hosts] {
                self.schedule(at, Delivery::Entry { index, generation, event });
            }
        }
        for index in 0..self.agents.len() {
            let at = self.now + self.delay_up_to(max_delay);
            let generation = self.agents[index].generation;
            let settings = agent::Event::Settings(self.tree.clone());
            let hosts = agent::Event::Hosts(self.hosts.clone());
            for event in [settings, hosts] {
                self.schedule(at, Delivery::Agent { index, generation, event });
            }
        }
    }

    /// Lets one agent learn the settings and the host list at once.
    pub fn tell_agent(&mut self, index: usize) {
        self.agent_event(index, agent::Event::Settings(self.tree.clone()));
        self.agent_event(index, agent::Event::Hosts(self.hosts.clone()));
    }

    /// Makes a process unresponsive until `wake`.
    pub fn freeze_entry(&mut self, index: usize) {
        self.entries[index].frozen = true;
    }

    /// Makes a process unresponsive until `wake`.
    pub fn freeze_agent(&mut self, index: usize) {
        self.agents[index].frozen = true;
    }

    /// Wakes all frozen processes, which then see everything that they missed.
    pub fn wake(&mut self) {
        for index in 0..self.entries.len() {
            self.entries[index].frozen = false;
            for event in std::mem::take(&mut self.entries[index].backlog) {
                self.entry_event(index, event);
            }
        }
        for index in 0..self.agents.len() {
            self.agents[index].frozen = false;
            for event in std::mem::take(&mut self.agents[index].backlog) {
                self.agent_event(index, event);
            }
        }
    }

    /// Orders a planned stop of an agent.
    pub fn stop_agent(&mut self, index: usize) {
        self.agents[index].stopping = true;
        let running = self.engines[index].streams.values().filter(|s| s.reader.is_some());
        let requests = running.map(|stream| stream.head.request).collect();
        self.record.stopped.push((self.now, requests));
        self.agent_event(index, agent::Event::Stop);
    }

    /// Orders a planned stop of an entry.
    pub fn stop_entry(&mut self, index: usize) {
        self.entries[index].stopping = true;
        self.entry_event(index, entry::Event::Stop);
    }

    /// Sends a call to an entry.
    pub fn call(&mut self, index: usize, call: entry::Call, body: Bytes) {
        let recorded = Call {
            entry: index,
            at: self.now,
            body,
            tier: call.tier.clone().unwrap_or_default(),
            key: call.key.clone(),
            request: None,
            started: false,
            received: Vec::new(),
            answers: Vec::new(),
            lost: self.entries[index].machine.is_none(),
        };
        self.record.calls.insert(call.caller, recorded);
        self.entry_event(index, entry::Event::Call(call));
    }

    /// Closes a caller's connection before its answer.
    pub fn hang_up(&mut self, caller: u64) {
        let Some(call) = self.record.calls.get_mut(&caller) else { return };
        call.lost = call.answers.is_empty();
        let index = call.entry;
        self.entry_event(index, entry::Event::CallerGone { caller });
    }

    /// Lets the caller of the poison request send it from `at` on, each copy after the answer to
    /// the one before.
    pub fn schedule_poison(&mut self, at: Instant, copies: u32) {
        self.schedule(at, Delivery::Poison { copies });
    }

    fn send_poison(&mut self, copies: u32) {
        let open = self.poison_caller.and_then(|caller| self.record.calls.get(&caller));
        let waits = open.is_some_and(|call| !call.lost && call.answers.is_empty());
        let entry = self.rng.usize(0..self.entries.len());
        let sent = !waits && self.entries[entry].machine.is_some();
        if sent {
            self.poison_caller = Some(fault::send_poison(self, entry));
        }
        let left = copies - u32::from(sent);
        if left > 0 {
            let at = self.now + POISON_PAUSE;
            self.schedule_poison(at, left);
        }
    }

    /// Asks an entry for an idempotency key.
    pub fn ask_key(&mut self, index: usize, caller: u64, route: Bytes) {
        self.entry_event(index, entry::Event::KeyCall { caller, route });
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Instant) {
        while self.step(end) {}
        self.now = self.now.max(end);
    }

    /// Handles the next event up to `end`. Returns whether there was one.
    pub fn step(&mut self, end: Instant) -> bool {
        let timer = self.next_timer();
        let delivery = self.queue.first_key_value().map(|((at, _), _)| *at);
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
            let (_, delivery) = self.queue.pop_first().expect("a first delivery was seen");
            self.deliver(delivery);
        } else {
            self.tick();
        }
        true
    }

    /// Returns whether every call has its final answer or was lost.
    pub fn is_quiet(&self) -> bool {
        self.record.calls.values().all(|call| call.lost || !call.answers.is_empty())
    }

    fn next_timer(&self) -> Option<Instant> {
        let entries = self.entries.iter().filter(|n| !n.frozen && n.machine.is_some());
        let agents = self.agents.iter().filter(|n| !n.frozen && n.machine.is_some());
        entries.filter_map(|n| n.timer).chain(agents.filter_map(|n| n.timer)).min()
    }

    fn tick(&mut self) {
        for index in 0..self.entries.len() {
            let node = &mut self.entries[index];
            if !node.frozen && node.timer.is_some_and(|due| due <= self.now) {
                self.entry_event(index, entry::Event::Tick);
            }
        }
        for index in 0..self.agents.len() {
            let node = &mut self.agents[index];
            if !node.frozen && node.timer.is_some_and(|due| due <= self.now) {
                self.agent_event(index, agent::Event::Tick);
            }
        }
    }

    fn delay_up_to(&mut self, max: Duration) -> Duration {
        Duration::from_micros(self.rng.u64(1..=max.as_micros().max(1) as u64))
    }

    fn delay(&mut self) -> Duration {
        self.delay_up_to(Duration::from_micros(MAX_DELAY_US))
    }

    fn schedule(&mut self, at: Instant, delivery: Delivery) {
        self.next += 1;
        self.queue.insert((at, self.next), delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Entry { index, generation, event } => {
                if self.entries[index].generation == generation {
                    self.entry_event(index, event);
                }
            }
            Delivery::Agent { index, generation, event } => {
                if self.agents[index].generation == generation {
                    self.agent_event(index, event);
                }
            }
            Delivery::OnAgent { connection, event } => self.deliver_to_agent(connection, event),
            Delivery::OnEntry { connection, event, last } => {
                self.deliver_to_entry(connection, event, last);
            }
            Delivery::Close { connection } => self.close(connection),
            Delivery::EngineTick { index } => self.engine_tick(index),
            Delivery::Poison { copies } => self.send_poison(copies),
            Delivery::Dispatch { index, generation, grant, head, body } => {
                self.engine_dispatch(index, generation, grant, head, &body);
            }
            Delivery::Resume { index, generation, grant, offset } => {
                self.engine_resume(index, generation, grant, offset);
            }
            Delivery::CancelStream { index, grant } => {
                self.engines[index].streams.remove(&grant);
            }
        }
    }

    fn deliver_to_agent(&mut self, number: u64, event: agent::Event) {
        let Some(connection) = self.connections.get(&number).cloned() else { return };
        if self.partitions.contains(&(connection.entry, connection.agent)) {
            self.held.push(Delivery::OnAgent { connection: number, event });
            return;
        }
        let node = &self.agents[connection.agent];
        if node.machine.is_none() || node.generation != connection.agent_generation {
            return self.close(number);
        }
        match &event {
            agent::Event::Offer { offer, .. } => {
                self.record.arrived.insert(offer.head.request);
            }
            agent::Event::Commit { commit, .. } => {
                self.record.granted.insert(commit.request);
            }
            _ => {}
        }
        self.agent_event(connection.agent, event);
    }

    fn deliver_to_entry(&mut self, number: u64, event: entry::Event, last: bool) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if self.partitions.contains(&(connection.entry, connection.agent)) {
            self.held.push(Delivery::OnEntry { connection: number, event, last });
            return;
        }
        connection.finished |= last;
        let connection = connection.clone();
        if self.entries[connection.entry].generation == connection.entry_generation {
            self.entry_event(connection.entry, event);
        }
        if last {
            self.close(number);
        }
    }

    fn close_where(&mut self, matches: impl Fn(&Connection) -> bool) {
        let found = self.connections.iter().filter(|(_, connection)| matches(connection));
        let numbers: Vec<u64> = found.map(|(number, _)| *number).collect();
        for number in numbers {
            self.close(number);
        }
    }

    /// Closes a connection; each side learns of it after its own delay.
    fn close(&mut self, number: u64) {
        let Some(connection) = self.connections.remove(&number) else { return };
        let at = self.now + self.delay();
        let link = agent::Link(number);
        let generation = connection.agent_generation;
        let index = connection.agent;
        let event = agent::Event::LinkClosed { link };
        self.schedule(at, Delivery::Agent { index, generation, event });
        if connection.finished {
            return;
        }
        let peer = agent_address(index);
        let event = match connection.purpose {
            Purpose::Offer(request) => entry::Event::OfferFailed { request, peer },
            Purpose::Stream(request) => entry::Event::StreamLost { request, peer },
            Purpose::Key(caller) => entry::Event::KeyFailed { caller, peer },
        };
        let at = self.now + self.delay();
        let generation = connection.entry_generation;
        self.schedule(at, Delivery::Entry { index: connection.entry, generation, event });
    }

    /// Opens a connection and sends its first message. `None` sends nothing yet.
    fn open(
        &mut self,
        entry: usize,
        peer: SocketAddr,
        purpose: Purpose,
        event: impl FnOnce(agent::Link) -> agent::Event,
    ) {
        let agent = (peer.port() - 9_000) as usize;
        self.next += 1;
        let number = self.next;
        let at = self.now + self.delay();
        let connection = Connection {
            entry,
            entry_generation: self.entries[entry].generation,
            agent,
            agent_generation: self.agents[agent].generation,
            purpose,
            to_entry: self.now,
            finished: false,
        };
        self.connections.insert(number, connection);
        let event = event(agent::Link(number));
        self.schedule(at, Delivery::OnAgent { connection: number, event });
    }

    /// Sends a message to the entry of a connection, behind the ones sent before.
    fn reply(
        &mut self,
        link: agent::Link,
        last: bool,
        event: impl FnOnce(&Connection) -> entry::Event,
    ) {
        let delay = self.delay();
        let Some(connection) = self.connections.get_mut(&link.0) else { return };
        let at = (self.now + delay).max(connection.to_entry + Duration::from_micros(1));
        connection.to_entry = at;
        let event = event(connection);
        self.schedule(at, Delivery::OnEntry { connection: link.0, event, last });
    }

    fn entry_event(&mut self, index: usize, event: entry::Event) {
        let node = &mut self.entries[index];
        if node.frozen {
            node.backlog.push(event);
            return;
        }
        let Some(machine) = &mut node.machine else { return };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        node.timer = machine.next_timer();
        for action in actions {
            self.entry_action(index, action);
        }
    }

    fn entry_action(&mut self, index: usize, action: entry::Action) {
        use entry::Action;
        match action {
            Action::Offer { peer, head } => {
                self.record.heads.insert(head.request, head.clone());
                self.open(index, peer, Purpose::Offer(head.request), |link| agent::Event::Offer {
                    link,
                    offer: offer::Offer { head, settings: 0 },
                });
            }
            Action::Withdraw { request, peer } => {
                self.abandon(index, Purpose::Offer(request), Some(peer));
            }
            Action::Commit { peer, commit } => {
                let body = self.bodies.get(&(index, commit.request)).cloned().unwrap_or_default();
                self.abandon(index, Purpose::Stream(commit.request), None);
                self.open(index, peer, Purpose::Stream(commit.request), |link| {
                    agent::Event::Commit { link, commit, body }
                });
            }
            Action::Attach { peer, attach } => {
                self.abandon(index, Purpose::Stream(attach.request), None);
                self.open(index, peer, Purpose::Stream(attach.request), |link| {
                    agent::Event::Attach { link, attach }
                });
            }
            Action::Cancel { peer, commit } => self.send_cancel(peer, commit),
            Action::KeyCall { caller, peer, route } => {
                self.open(index, peer, Purpose::Key(caller), |link| agent::Event::KeyCall {
                    link,
                    route,
                });
            }
            Action::KeyAnswer { caller, answer } => {
                self.record.keys.insert(caller, answer);
            }
            Action::Hold { caller, request } => self.hold(index, caller, request),
            Action::Drop { request } => {
                self.bodies.remove(&(index, request));
            }
            Action::Start { caller, .. } => {
                if let Some(call) = self.record.calls.get_mut(&caller) {
                    call.started = true;
                }
            }
            Action::Data { caller, bytes } => {
                if let Some(call) = self.record.calls.get_mut(&caller) {
                    call.received.extend_from_slice(&bytes);
                }
            }
            Action::Finish { caller } => self.finish(caller),
            Action::Refuse { caller, refusal, .. } => self.refuse(index, caller, refusal),
            Action::Trace { request, step, event, .. } => {
                self.print_step("entry", index, request, step, event);
            }
            Action::Stopped => {
                if self.entries[index].stopping {
                    self.kill_entry(index);
                }
            }
        }
    }

    fn hold(&mut self, index: usize, caller: u64, request: id::Request) {
        self.callers.insert(request, caller);
        if let Some(call) = self.record.calls.get_mut(&caller) {
            call.request = Some(request);
            self.bodies.insert((index, request), call.body.clone());
        }
    }

    fn finish(&mut self, caller: u64) {
        let now = self.now;
        let Some(call) = self.record.calls.get_mut(&caller) else { return };
        let whole = Answer::Whole(call.received.clone().into());
        call.answers.push((now, whole));
    }

    fn refuse(&mut self, index: usize, caller: u64, refusal: outcome::Refusal) {
        let now = self.now;
        let local = refusal.peer == entry_host(index);
        let shed = matches!(refusal.reason, outcome::Reason::Overload | outcome::Reason::Displaced);
        if let Some(call) = self.record.calls.get_mut(&caller) {
            call.answers.push((now, Answer::Refused(refusal)));
        }
        if let (true, true, Some(machine)) = (local, shed, &self.entries[index].machine) {
            let mut status = Status::default();
            machine.report(now, &mut status);
            let name = self.record.calls[&caller].tier.clone();
            let tier = self.tree.tiers.get(&name).map_or(tier::Tier(0), |tier| tier.rank);
            let host = entry_host(index);
            self.record.sheds.push(Shed { at: now, host, tier, queued: status.queued });
        }
    }

    /// Closes the entry's connections of a purpose without telling the entry.
    fn abandon(&mut self, entry: usize, purpose: Purpose, peer: Option<SocketAddr>) {
        let found: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| c.entry == entry && c.purpose == purpose)
            .filter(|(_, c)| peer.is_none_or(|peer| agent_address(c.agent) == peer))
            .map(|(number, _)| *number)
            .collect();
        for number in found {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.finished = true;
            }
            self.close(number);
        }
    }

    fn send_cancel(&mut self, peer: SocketAddr, commit: grant::Commit) {
        let index = (peer.port() - 9_000) as usize;
        let generation = self.agents[index].generation;
        let at = self.now + self.delay();
        let event = agent::Event::Cancel { commit };
        self.schedule(at, Delivery::Agent { index, generation, event });
    }

    fn agent_event(&mut self, index: usize, event: agent::Event) {
        let node = &mut self.agents[index];
        if node.frozen {
            node.backlog.push(event);
            return;
        }
        let Some(machine) = &mut node.machine else { return };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        node.timer = machine.next_timer();
        for action in actions {
            self.agent_action(index, action);
        }
    }

    fn agent_action(&mut self, index: usize, action: agent::Action) {
        use agent::Action;
        let generation = self.agents[index].generation;
        let peer = agent_address(index);
        match action {
            Action::Reply { link, reply } => {
                self.note_shed(index, link, &reply);
                self.reply(link, true, |connection| match connection.purpose {
                    Purpose::Offer(request) | Purpose::Stream(request) => {
                        entry::Event::OfferReply { request, peer, reply }
                    }
                    Purpose::Key(caller) => entry::Event::KeyFailed { caller, peer },
                });
            }
            Action::Frame { link, frame } => self.send_frame(link, peer, frame),
            Action::Close { link } => {
                let connection = link.0;
                if let Some(open) = self.connections.get(&connection) {
                    let at = open.to_entry.max(self.now) + Duration::from_micros(1);
                    self.schedule(at, Delivery::Close { connection });
                }
            }
            Action::KeyReply { link, reply } => {
                self.reply(link, true, |connection| match connection.purpose {
                    Purpose::Key(caller) => entry::Event::KeyReply { caller, reply },
                    Purpose::Offer(request) | Purpose::Stream(request) => {
                        entry::Event::StreamLost { request, peer }
                    }
                });
            }
            Action::Dispatch { grant, head, body } => {
                let at = self.now + self.delay();
                let delivery = Delivery::Dispatch { index, generation, grant, head, body };
                self.schedule(at, delivery);
            }
            Action::Resume { grant, offset } => {
                let at = self.now + self.delay();
                self.schedule(at, Delivery::Resume { index, generation, grant, offset });
            }
            Action::Cancel { grant } => {
                if let Some(stream) = self.engines[index].streams.get_mut(&grant) {
                    stream.reader = None;
                }
                let at = self.now + self.delay();
                self.schedule(at, Delivery::CancelStream { index, grant });
            }
            Action::Suspects(suspects) => self.spread_suspects(index, &suspects),
            Action::Trace { request, step, event, .. } => {
                self.print_step("agent", index, request, step, event);
            }
            Action::Order { .. } => {}
            Action::Stopped => {
                if self.agents[index].stopping {
                    self.exit_agent(index);
                }
            }
        }
    }

    fn print_step(
        &self,
        role: &str,
        index: usize,
        request: id::Request,
        step: outcome::Step,
        event: &str,
    ) {
        if self.trace {
            let at = self.now.0;
            eprintln!("at_us={at} {role}={index} request={request} step={step} event={event}");
        }
    }

    fn spread_suspects(&mut self, from: usize, suspects: &[sync::Suspect]) {
        self.suspects.extend(suspects.iter().map(|suspect| (self.now, *suspect)));
        if self.trace {
            eprintln!("at_us={} agent={from} suspects={suspects:?}", self.now.0);
        }
        for index in (0..self.agents.len()).filter(|index| *index != from) {
            let at = self.now + self.delay();
            let generation = self.agents[index].generation;
            let event = agent::Event::Suspects(suspects.to_vec());
            self.schedule(at, Delivery::Agent { index, generation, event });
        }
    }

    /// Records a refusal for lack of room with the queue that the agent keeps.
    fn note_shed(&mut self, index: usize, link: agent::Link, reply: &offer::Reply) {
        let offer::Reply::Refused(refusal) = reply else { return };
        if !matches!(refusal.reason, outcome::Reason::Overload | outcome::Reason::Displaced) {
            return;
        }
        let Some(Connection { purpose: Purpose::Offer(request), .. }) =
            self.connections.get(&link.0)
        else {
            return;
        };
        let tier = self.record.heads[request].tier;
        let Some(machine) = &self.agents[index].machine else { return };
        let mut status = Status::default();
        machine.report(self.now, &mut status);
        let host = agent_host(index);
        self.record.sheds.push(Shed { at: self.now, host, tier, queued: status.queued });
    }

    fn send_frame(&mut self, link: agent::Link, peer: SocketAddr, frame: Frame) {
        let last = matches!(frame.body, frame::Body::End { .. } | frame::Body::Refused(_));
        self.reply(link, last, |connection| match connection.purpose {
            Purpose::Offer(request) | Purpose::Stream(request) => {
                entry::Event::Frame { request, peer, frame }
            }
            Purpose::Key(caller) => entry::Event::KeyFailed { caller, peer },
        });
    }

    fn progress(&mut self, index: usize, grant: id::Grant, progress: agent::Progress) {
        let generation = self.agents[index].generation;
        let event = agent::Event::Backend { grant, progress };
        // The agent is on the engine's host: progress keeps its order.
        let at = self.now + Duration::from_micros(100);
        self.schedule(at, Delivery::Agent { index, generation, event });
    }

    fn engine_dispatch(
        &mut self,
        index: usize,
        generation: u32,
        grant: id::Grant,
        head: request::Head,
        body: &[u8],
    ) {
        if self.engines[index].down {
            return self.progress(index, grant, agent::Progress::Unreachable);
        }
        self.record.runs.push(Run {
            at: self.now,
            engine: index,
            request: head.request,
            grant,
            key: head.key.clone(),
            fingerprint: head.fingerprint,
            beside: self.engines[index].running(),
        });
        self.engines[index].start(self.now, grant, head, body);
        if self.agents[index].generation != generation || self.agents[index].machine.is_none() {
            self.detach(index, grant);
        }
        self.schedule_engine(index);
    }

    fn detach(&mut self, index: usize, grant: id::Grant) {
        if let Some(stream) = self.engines[index].streams.get_mut(&grant) {
            stream.reader = None;
        }
    }

    fn engine_resume(&mut self, index: usize, generation: u32, grant: id::Grant, offset: u64) {
        if self.agents[index].generation != generation {
            return;
        }
        if self.engines[index].down {
            return self.progress(index, grant, agent::Progress::Lost);
        }
        let instance = self.engines[index].instance();
        let Some(stream) = self.engines[index].streams.get_mut(&grant) else {
            return self.progress(index, grant, agent::Progress::NoStream { instance });
        };
        stream.reader = Some(offset as usize);
        stream.announced = false;
        self.relay(index);
    }

    fn schedule_engine(&mut self, index: usize) {
        if let Some(at) = self.engines[index].next_timer() {
            self.schedule(at.max(self.now), Delivery::EngineTick { index });
        }
    }

    fn engine_tick(&mut self, index: usize) {
        if let Some(fingerprint) = self.engines[index].advance(self.now) {
            *self.record.poisoned.entry(fingerprint).or_default() += 1;
            self.crash_engine(index);
            let restart = self.now + Duration::from_millis(300);
            let generation = self.agents[index].generation;
            self.engines[index].down = false;
            let instance = Some(self.engines[index].instance());
            let event = agent::Event::Probe { instance };
            return self.schedule(restart, Delivery::Agent { index, generation, event });
        }
        self.relay(index);
        self.schedule_engine(index);
    }

    /// Sends what attached readers have not seen.
    fn relay(&mut self, index: usize) {
        let instance = self.engines[index].instance();
        let mut out = Vec::new();
        for (grant, stream) in &mut self.engines[index].streams {
            let Some(sent) = stream.reader else { continue };
            if !stream.announced && stream.produced > 0 {
                stream.announced = true;
                let content_type = Bytes::from_static(b"text/event-stream");
                let instance = instance.clone();
                out.push((
                    *grant,
                    agent::Progress::Started { status: 200, content_type, instance },
                ));
            }
            if stream.produced > sent {
                let bytes = stream.answer.slice(sent..stream.produced);
                out.push((*grant, agent::Progress::Data(bytes)));
                stream.reader = Some(stream.produced);
            }
            if stream.ended && stream.reader.is_some() {
                out.push((*grant, agent::Progress::End));
                stream.reader = None;
            }
        }
        for (grant, progress) in out {
            self.progress(index, grant, progress);
        }
    }

    /// Tells every agent the run of its engine, as its probe does.
    pub fn probe(&mut self) {
        for index in 0..self.agents.len() {
            let engine = &self.engines[index];
            let instance = (!engine.down).then(|| engine.instance());
            self.agent_event(index, agent::Event::Probe { instance });
        }
    }
}
