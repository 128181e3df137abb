//! One schedule: a machine between fake entries and a fake backend.

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
const FAULTS: u64 = 8;
/// Time without a message after which nothing may be in progress; the beat never ends.
const REST: Duration = Duration::from_secs(600);
const POISON: u64 = 666;

enum Message {
    Agent(Event),
    /// Progress on one connection; connections that were replaced deliver nothing.
    Backend(id::Grant, u64, Progress),
    /// The engine produces the next part of an answer.
    Produce(id::Grant),
    Restart,
    Offer(u64),
    Attach(Link),
    Fault,
}

pub struct World {
    rng: fastrand::Rng,
    machine: Machine,
    process: u64,
    now: Instant,
    tree: tree::Tree,
    inbox: BTreeMap<(Instant, u64), Message>,
    sequence: u64,
    links: u64,
    keys: Vec<key::Key>,
    heads: BTreeMap<u64, request::Head>,
    offers: BTreeMap<Link, u64>,
    readers: BTreeMap<Link, entries::Reader>,
    cut: BTreeMap<Link, entries::Reader>,
    engine: u64,
    up: bool,
    runs: BTreeMap<id::Grant, backend::Run>,
    dispatched: BTreeSet<id::Grant>,
    ran: BTreeMap<u64, u32>,
    keys_ran: HashMap<key::Key, u32>,
    given_up: BTreeSet<id::Grant>,
    cancelled: BTreeSet<id::Grant>,
    suspects: BTreeSet<u64>,
    poison_crashes: u32,
    leaving: bool,
    stopping: bool,
    stopped: u32,
    /// Whether the agent's process may be replaced.
    replaced: bool,
    ends: u64,
    /// Counters of the last agent process.
    pub counters: BTreeMap<String, u64>,
}

fn machine(process: u64) -> Machine {
    let (host, pool) = (Bytes::from_static(HOST), Bytes::from_static(b"pool"));
    Machine::new(Setup { process: id::Process(process), host, pool, seed: process })
}

impl World {
    pub fn new(seed: u64, replaced: bool) -> World {
        World {
            rng: fastrand::Rng::with_seed(seed),
            machine: machine(100),
            process: 100,
            now: Instant(1_000_000),
            tree: tree(pool()),
            inbox: BTreeMap::new(),
            sequence: 0,
            links: 0,
            keys: Vec::new(),
            heads: BTreeMap::new(),
            offers: BTreeMap::new(),
            readers: BTreeMap::new(),
            cut: BTreeMap::new(),
            engine: 1,
            up: true,
            runs: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            ran: BTreeMap::new(),
            keys_ran: HashMap::new(),
            given_up: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            suspects: BTreeSet::new(),
            poison_crashes: 0,
            leaving: false,
            stopping: false,
            stopped: 0,
            replaced,
            ends: 0,
            counters: BTreeMap::new(),
        }
    }

    fn link(&mut self) -> Link {
        self.links += 1;
        Link(self.links)
    }

    fn post(&mut self, max_ms: u64, message: Message) {
        let delay = Duration::from_micros(self.rng.u64(0..=max_ms * 1000));
        self.sequence += 1;
        self.inbox.insert((self.now + delay, self.sequence), message);
    }

    fn instance(&self) -> Bytes {
        format!("run-{}", self.engine).into()
    }

    fn begin(&mut self) {
        self.feed(Event::Settings(Arc::new(self.tree.clone())));
        self.feed(Event::Ready);
    }

    pub fn play(&mut self) {
        self.begin();
        for _ in 0..3 {
            let link = self.link();
            self.feed(Event::KeyRequest { link, route: Bytes::from_static(b"route") });
        }
        for seq in 1..=REQUESTS {
            self.make_head(seq);
            // Copies of a poison request that arrive together must not crash the engine together.
            let burst = self.heads[&seq].fingerprint == POISON && self.rng.bool();
            self.post(if burst { 50 } else { 1500 }, Message::Offer(seq));
        }
        for _ in 0..FAULTS {
            self.post(2500, Message::Fault);
        }
        if !self.replaced && self.rng.u32(0..4) == 0 {
            self.post(2500, Message::Agent(Event::Stop));
        }
        for tick in 0..300 {
            let event = Event::Probe { instance: None };
            self.sequence += 1;
            let at = self.now + ms(100 * tick);
            self.inbox.insert((at, self.sequence), Message::Agent(event));
        }
        let mut end = self.now + REST;
        while let Some(at) = self.next().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            match self.inbox.first_key_value() {
                Some((key, _)) if key.0 <= self.now => {
                    end = self.now + REST;
                    let (_, message) = self.inbox.pop_first().expect("an entry was seen");
                    self.deliver(message);
                }
                _ => self.feed(Event::Tick),
            }
        }
        self.check_end();
    }

    fn next(&self) -> Option<Instant> {
        let message = self.inbox.first_key_value().map(|(key, _)| key.0);
        message.into_iter().chain(self.machine.next_timer()).min()
    }

    fn make_head(&mut self, seq: u64) {
        let poison = self.rng.u32(0..8) == 0;
        let keyed = !poison && self.rng.u32(0..4) == 0;
        let index = self.rng.usize(0..self.keys.len());
        let mut head = head(seq);
        head.tier = tier::Tier(if keyed { 0 } else { self.rng.u8(0..3) });
        head.prompt_tokens = if self.rng.bool() { 50 } else { 1500 };
        head.account = Bytes::from(if self.rng.bool() { "a" } else { "b" });
        head.remaining = ms(self.rng.u64(200..20_000));
        if poison {
            head.fingerprint = POISON;
        } else if keyed {
            head.fingerprint = 10 + index as u64;
            head.key = Some(self.keys[index].clone());
        }
        self.heads.insert(seq, head);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Agent(Event::Probe { .. }) => {
                let instance = self.up.then(|| self.instance());
                self.feed(Event::Probe { instance });
            }
            Message::Agent(event) => {
                if matches!(event, Event::Stop) {
                    (self.leaving, self.stopping) = (true, true);
                }
                self.feed(event);
            }
            Message::Backend(grant, epoch, progress) => {
                if self.runs.get(&grant).is_some_and(|run| run.epoch == epoch) {
                    self.feed(Event::Backend { grant, progress });
                }
            }
            Message::Produce(grant) => self.produce(grant),
            Message::Restart => self.up = true,
            Message::Offer(seq) => {
                // Apart from due timers, so that queues are seen as they were at a refusal.
                self.feed(Event::Tick);
                let link = self.link();
                self.offers.insert(link, seq);
                let head = self.heads[&seq].clone();
                self.feed(Event::Offer { link, offer: offer::Offer { head, settings: 0 } });
                if self.rng.u32(0..10) == 0 {
                    self.post(50, Message::Agent(Event::LinkClosed { link }));
                }
            }
            Message::Attach(old) => {
                let Some(reader) = self.cut.remove(&old) else { return };
                let link = self.link();
                let offset = reader.received.len() as u64;
                let request = self.heads[&reader.request].request;
                let attach = grant::Attach {
                    grant: reader.grant,
                    request,
                    offset,
                    fingerprint: 0,
                    resumable: true,
                };
                self.readers.insert(link, reader);
                self.feed(Event::Attach { link, attach });
            }
            Message::Fault => self.fault(),
        }
    }

    fn fault(&mut self) {
        match self.rng.u32(0..9) {
            0 => self.crash(),
            1 | 2 => {
                let grants: Vec<_> = self.runs.keys().copied().collect();
                if !grants.is_empty() {
                    let grant = grants[self.rng.usize(0..grants.len())];
                    let silent = self.rng.bool();
                    self.cut_backend(grant, silent);
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
                self.feed(Event::Settings(Arc::new(self.tree.clone())));
            }
            7 if self.replaced => self.replace(),
            _ => {}
        }
    }

    /// Replaces the agent's process; offers are void and readers attach to the new one.
    fn replace(&mut self) {
        self.process += 1;
        self.machine = machine(self.process);
        self.offers.clear();
        self.suspects.clear();
        self.begin();
        for link in self.readers.keys().copied().collect::<Vec<_>>() {
            self.cut_reader(link);
        }
    }

    /// Hands an event to the machine and checks its actions.
    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Reply { link, reply } => self.reply(link, reply),
                Action::Frame { link, frame } => self.frame(link, frame),
                Action::KeyReply { reply, .. } => self.keys.extend(reply.ok()),
                Action::Dispatch { grant, head, .. } => self.dispatch(grant, head),
                Action::Resume { grant, offset } => self.resume(grant, offset),
                Action::Cancel { grant } => {
                    if let Some(run) = self.runs.get_mut(&grant) {
                        run.made = usize::MAX;
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
        self.counters.insert("runs".to_owned(), self.ran.len() as u64);
        self.counters.insert("whole_answers".to_owned(), self.ends);
        self.counters.insert("poison_crashes".to_owned(), u64::from(self.poison_crashes));
        if !self.replaced {
            assert!(self.poison_crashes <= 2, "{} crashes by poison", self.poison_crashes);
        }
    }
}
