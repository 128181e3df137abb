//! One random schedule: an agent's state machine between simulated entries and a simulated backend
//! server.

mod backend;
mod entries;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use agent::{Action, Event, Link, Machine, Progress, Setup};
use bytes::Bytes;
use conf::tree;
use wire::{grant, id, key, offer, request, status, tier, time::Instant};

use crate::support::{HOST, head, ms, pool, tree};

pub const REQUESTS: u64 = 30;
const FAULT_COUNT: u64 = 8;
/// Time without a message after which nothing may be in progress. Timers don't extend it, since the
/// heartbeat timer is always armed.
const MAX_IDLE: Duration = Duration::from_secs(600);
const POISON_FINGERPRINT: u64 = 666;

enum Message {
    Agent(Event),
    /// Progress on one connection, by its epoch. Connections that were replaced deliver nothing.
    Backend(id::Grant, u64, Progress),
    /// The backend server produces the next part of a response.
    Produce(id::Grant),
    Restart,
    Offer(u64),
    Attach(Link),
    Fault,
}

pub struct Simulation {
    rng: fastrand::Rng,
    machine: Machine,
    process: u64,
    now: Instant,
    tree: tree::Tree,
    messages: BTreeMap<(Instant, u64), Message>,
    sequence: u64,
    links: u64,
    keys: Vec<key::Key>,
    requests: BTreeMap<u64, request::Head>,
    offers: BTreeMap<Link, u64>,
    readers: BTreeMap<Link, entries::Reader>,
    cut_readers: BTreeMap<Link, entries::Reader>,
    instance_number: u64,
    backend_up: bool,
    runs: BTreeMap<id::Grant, backend::Run>,
    dispatched: BTreeSet<id::Grant>,
    runs_by_request: BTreeMap<u64, u32>,
    runs_by_key: HashMap<key::Key, u32>,
    reported_not_run: BTreeSet<id::Grant>,
    cancelled: BTreeSet<id::Grant>,
    suspects: BTreeSet<u64>,
    poison_crashes: u32,
    leaving: bool,
    stopping: bool,
    stopped: u32,
    /// Whether the agent process may be replaced.
    may_replace_agent: bool,
    whole_responses: u64,
    /// Counters of the last agent process.
    pub counters: BTreeMap<String, u64>,
}

fn machine(process: u64) -> Machine {
    let (host, pool) = (Bytes::from_static(HOST), Bytes::from_static(b"pool"));
    Machine::new(Setup { process: id::Process(process), host, pool, seed: process })
}

impl Simulation {
    pub fn new(seed: u64, may_replace_agent: bool) -> Simulation {
        Simulation {
            rng: fastrand::Rng::with_seed(seed),
            machine: machine(100),
            process: 100,
            now: Instant(1_000_000),
            tree: tree(pool()),
            messages: BTreeMap::new(),
            sequence: 0,
            links: 0,
            keys: Vec::new(),
            requests: BTreeMap::new(),
            offers: BTreeMap::new(),
            readers: BTreeMap::new(),
            cut_readers: BTreeMap::new(),
            instance_number: 1,
            backend_up: true,
            runs: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            runs_by_request: BTreeMap::new(),
            runs_by_key: HashMap::new(),
            reported_not_run: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            suspects: BTreeSet::new(),
            poison_crashes: 0,
            leaving: false,
            stopping: false,
            stopped: 0,
            may_replace_agent,
            whole_responses: 0,
            counters: BTreeMap::new(),
        }
    }

    fn new_link(&mut self) -> Link {
        self.links += 1;
        Link(self.links)
    }

    fn schedule(&mut self, max_ms: u64, message: Message) {
        let delay = Duration::from_micros(self.rng.u64(0..=max_ms * 1000));
        self.sequence += 1;
        self.messages.insert((self.now + delay, self.sequence), message);
    }

    fn instance(&self) -> Bytes {
        format!("run-{}", self.instance_number).into()
    }

    fn start_agent(&mut self) {
        self.feed_event(Event::Settings(Arc::new(self.tree.clone())));
        self.feed_event(Event::Ready);
    }

    pub fn run(&mut self) {
        self.start_agent();
        for _ in 0..3 {
            let link = self.new_link();
            self.feed_event(Event::KeyRequest { link, route: Bytes::from_static(b"route") });
        }
        for seq in 1..=REQUESTS {
            self.create_request(seq);
            // Copies of a poison request that arrive together must not crash the backend server
            // once each.
            let burst = self.requests[&seq].fingerprint == POISON_FINGERPRINT && self.rng.bool();
            self.schedule(if burst { 50 } else { 1500 }, Message::Offer(seq));
        }
        for _ in 0..FAULT_COUNT {
            self.schedule(2500, Message::Fault);
        }
        if !self.may_replace_agent && self.rng.u32(0..4) == 0 {
            self.schedule(2500, Message::Agent(Event::Stop));
        }
        for tick in 0..300 {
            let event = Event::Probe { instance: None };
            self.sequence += 1;
            let at = self.now + ms(100 * tick);
            self.messages.insert((at, self.sequence), Message::Agent(event));
        }
        let mut end = self.now + MAX_IDLE;
        while let Some(at) = self.next_event_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            match self.messages.first_key_value() {
                Some((key, _)) if key.0 <= self.now => {
                    end = self.now + MAX_IDLE;
                    let (_, message) =
                        self.messages.pop_first().expect("the first message was seen above");
                    self.deliver(message);
                }
                _ => self.feed_event(Event::Tick),
            }
        }
        self.check_end();
    }

    fn next_event_at(&self) -> Option<Instant> {
        let message = self.messages.first_key_value().map(|(key, _)| key.0);
        message.into_iter().chain(self.machine.next_timer()).min()
    }

    fn create_request(&mut self, seq: u64) {
        let poison = self.rng.u32(0..8) == 0;
        let keyed = !poison && self.rng.u32(0..4) == 0;
        let index = self.rng.usize(0..self.keys.len());
        let mut head = head(seq);
        head.tier = tier::Tier(if keyed { 0 } else { self.rng.u8(0..3) });
        head.prompt_tokens = if self.rng.bool() { 50 } else { 1500 };
        head.account = Bytes::from(if self.rng.bool() { "a" } else { "b" });
        head.remaining = ms(self.rng.u64(200..20_000));
        if poison {
            head.fingerprint = POISON_FINGERPRINT;
        } else if keyed {
            head.fingerprint = 10 + index as u64;
            head.key = Some(self.keys[index].clone());
        }
        self.requests.insert(seq, head);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Agent(Event::Probe { .. }) => {
                let instance = self.backend_up.then(|| self.instance());
                self.feed_event(Event::Probe { instance });
            }
            Message::Agent(event) => {
                if matches!(event, Event::Stop) {
                    (self.leaving, self.stopping) = (true, true);
                }
                self.feed_event(event);
            }
            Message::Backend(grant, epoch, progress) => {
                if self.runs.get(&grant).is_some_and(|run| run.epoch == epoch) {
                    self.feed_event(Event::Backend { grant, progress });
                }
            }
            Message::Produce(grant) => self.produce(grant),
            Message::Restart => self.backend_up = true,
            Message::Offer(seq) => {
                // Due timers are handled first, so that the queue is seen as it was when the offer
                // was refused.
                self.feed_event(Event::Tick);
                let link = self.new_link();
                self.offers.insert(link, seq);
                let head = self.requests[&seq].clone();
                self.feed_event(Event::Offer { link, offer: offer::Offer { head, settings: 0 } });
                if self.rng.u32(0..10) == 0 {
                    self.schedule(50, Message::Agent(Event::LinkClosed { link }));
                }
            }
            Message::Attach(old) => {
                let Some(reader) = self.cut_readers.remove(&old) else { return };
                let link = self.new_link();
                let offset = reader.received.len() as u64;
                let request = self.requests[&reader.request].request;
                let attach = grant::Attach {
                    grant: reader.grant,
                    request,
                    offset,
                    fingerprint: 0,
                    resumable: true,
                };
                self.readers.insert(link, reader);
                self.feed_event(Event::Attach { link, attach });
            }
            Message::Fault => self.inject_fault(),
        }
    }

    fn inject_fault(&mut self) {
        match self.rng.u32(0..9) {
            0 => self.crash(),
            1 | 2 => {
                let grants: Vec<_> = self.runs.keys().copied().collect();
                if !grants.is_empty() {
                    let grant = grants[self.rng.usize(0..grants.len())];
                    let unreported = self.rng.bool();
                    self.cut_connection(grant, unreported);
                }
            }
            3 | 4 => {
                let links: Vec<_> = self.readers.keys().copied().collect();
                if !links.is_empty() {
                    let link = links[self.rng.usize(0..links.len())];
                    self.cut_reader(link);
                }
            }
            5 => self.now = self.now + ms(self.rng.u64(100..4000)),
            6 => {
                let host = Bytes::from_static(HOST);
                if self.tree.drains.remove(&host).is_none() {
                    self.tree.drains.insert(host, tree::Drain { reason: Bytes::new() });
                }
                self.leaving = self.stopping || !self.tree.drains.is_empty();
                self.feed_event(Event::Settings(Arc::new(self.tree.clone())));
            }
            7 if self.may_replace_agent => self.replace_agent(),
            _ => {}
        }
    }

    /// Replaces the agent process. Open offers end, and readers attach to the new process.
    fn replace_agent(&mut self) {
        self.process += 1;
        self.machine = machine(self.process);
        self.offers.clear();
        self.suspects.clear();
        self.start_agent();
        for link in self.readers.keys().copied().collect::<Vec<_>>() {
            self.cut_reader(link);
        }
    }

    /// Feeds an event to the state machine and checks its actions.
    fn feed_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Reply { link, reply } => self.receive_reply(link, reply),
                Action::Frame { link, frame } => self.receive_frame(link, frame),
                Action::KeyReply { reply, .. } => self.keys.extend(reply.ok()),
                Action::Dispatch { grant, head, .. } => self.dispatch(grant, head),
                Action::Resume { grant, offset } => self.resume(grant, offset),
                Action::Cancel { grant } => {
                    if let Some(run) = self.runs.get_mut(&grant) {
                        run.produced = usize::MAX;
                        run.epoch += 1;
                    }
                }
                Action::Suspects(list) => {
                    for suspect in list {
                        self.suspects.remove(&suspect.fingerprint);
                        if !suspect.cleared {
                            self.suspects.insert(suspect.fingerprint);
                        }
                    }
                }
                Action::Stopped => self.stopped += 1,
                _ => {}
            }
        }
    }

    fn check_end(&mut self) {
        let mut status = status::Status::default();
        self.machine.report(self.now, &mut status);
        assert_eq!((status.running, status.queued.len()), (0, 0), "{:?}", status.counters);
        assert_eq!(self.stopped, u32::from(self.stopping));
        let unanswered = self.readers.values().filter(|r| !self.cancelled.contains(&r.grant));
        let unanswered: Vec<_> = unanswered.map(|reader| reader.grant).collect();
        assert!(unanswered.is_empty(), "unanswered: {unanswered:?}");
        self.counters = status.counters;
        self.counters.insert("runs".to_owned(), self.runs_by_request.len() as u64);
        self.counters.insert("whole_answers".to_owned(), self.whole_responses);
        self.counters.insert("poison_crashes".to_owned(), u64::from(self.poison_crashes));
        if !self.may_replace_agent {
            assert!(self.poison_crashes <= 2, "{} crashes by poison", self.poison_crashes);
        }
    }
}
