//! Random schedules against scripted agents that delay, drop, repeat, reorder and misroute.

mod common;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use common::{Bench, address, call, grant, hosts, refused, started, tree};
use entry::{Action, Event, IncomingRequest};
use wire::{
    Frame,
    frame::Body,
    grant as grants, host, id, offer,
    outcome::{Outcome, Reason},
};

const SCHEDULES: u64 = 1_200;
const CALLS: usize = 30;
const AGENTS: u8 = 5;
const MAX_OPEN: u32 = 12;
const SPREAD: u64 = 2;

/// The answer to a request, known to every agent.
fn answer(request: id::Request) -> Vec<u8> {
    let length = request.seq * 37 % 90;
    (0..length).map(|at| (request.seq * 131 + at * 7) as u8).collect()
}

enum Happening {
    Event(Event),
    /// A commit or, with an offset, an attach reaches its agent.
    Agent(SocketAddr, grants::Commit, Option<u64>),
}

struct Slot {
    request: id::Request,
    expires: u64,
    committed: bool,
    given_up: bool,
}

#[derive(Default)]
struct Caller {
    rank: u8,
    request: Option<id::Request>,
    offers: u64,
    /// The outstanding commit and where it or its last attach went.
    commit: Option<(id::Grant, SocketAddr)>,
    runs: u32,
    answer: Vec<u8>,
    not_run: bool,
    finals: u32,
    gone: bool,
}

struct World {
    bench: Bench,
    rng: fastrand::Rng,
    /// Chance in percent of each fault.
    fault: u32,
    agenda: BTreeMap<(u64, u64), Happening>,
    entered: u64,
    slots: HashMap<id::Grant, Slot>,
    callers: Vec<Caller>,
    requests: BTreeMap<id::Request, usize>,
    stopped: u32,
    finished: u32,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut tree = tree();
        tree.entry.max_open = MAX_OPEN;
        World {
            bench: Bench::new(tree, AGENTS),
            fault: rng.u32(0..25),
            rng,
            agenda: BTreeMap::new(),
            entered: 0,
            slots: HashMap::new(),
            callers: Vec::new(),
            requests: BTreeMap::new(),
            stopped: 0,
            finished: 0,
        }
    }

    fn faulty(&mut self) -> bool {
        self.rng.u32(0..100) < self.fault
    }

    fn later(&mut self, max_ms: u64, happening: Happening) {
        let at = self.bench.now + self.rng.u64(0..=max_ms);
        self.entered += 1;
        self.agenda.insert((at, self.entered), happening);
    }

    fn event(&mut self, max_ms: u64, event: Event) {
        if self.faulty() {
            self.later(max_ms * 3, Happening::Event(event.clone()));
        }
        self.later(max_ms, Happening::Event(event));
    }

    fn any_request(&mut self) -> id::Request {
        let index = self.rng.usize(0..self.requests.len());
        *self.requests.keys().nth(index).unwrap()
    }

    fn caller(&mut self, request: id::Request) -> &mut Caller {
        &mut self.callers[self.requests[&request]]
    }

    fn offer(&mut self, request: id::Request, peer: SocketAddr) {
        if self.faulty() {
            if self.rng.bool() {
                self.event(200, Event::OfferFailed { request, peer });
            }
            return;
        }
        let reply = if self.faulty() {
            let reasons = [Reason::Overload, Reason::Leaving, Reason::Deadline, Reason::Suspect];
            let reason = reasons[self.rng.usize(0..reasons.len())];
            offer::Reply::Refused(refused(Outcome::NotRun, reason))
        } else {
            let grant = grant(self.slots.len() as u64);
            let expires = self.bench.now + 400;
            let slot = Slot { request, expires, committed: false, given_up: false };
            self.slots.insert(grant, slot);
            offer::Reply::Ready { grant, ttl: Duration::from_millis(100) }
        };
        let request = if self.faulty() { self.any_request() } else { request };
        self.event(300, Event::OfferReply { request, peer, reply });
    }

    /// The agent's rules: a number is accepted once and in time, or never.
    fn agent(&mut self, peer: SocketAddr, commit: grants::Commit, attach: Option<u64>) {
        let (unreachable, now) = (self.faulty(), self.bench.now);
        let slot = self.slots.get_mut(&commit.grant).expect("a grant that an agent issued");
        if slot.committed {
            return self.stream(peer, commit, attach.unwrap_or(0));
        }
        let late = now > slot.expires || slot.given_up || attach.is_some();
        if late || unreachable {
            slot.given_up = true;
            let reason = if late { Reason::GrantExpired } else { Reason::BackendUnreachable };
            return self.send(peer, commit, Body::Refused(refused(Outcome::NotRun, reason)));
        }
        slot.committed = true;
        self.caller(commit.request).runs += 1;
        self.stream(peer, commit, 0);
    }

    fn stream(&mut self, peer: SocketAddr, commit: grants::Commit, from: u64) {
        let bytes = answer(commit.request);
        if self.faulty() && self.faulty() {
            let refusal = refused(Outcome::Unknown, Reason::AgentReplaced);
            return self.send(peer, commit, Body::Refused(refusal));
        }
        self.send(peer, commit, started());
        let mut at = from as usize;
        while at < bytes.len() {
            let end = (at + self.rng.usize(1..40)).min(bytes.len());
            let chunk = bytes[at..end].to_vec().into();
            self.send(peer, commit, Body::Data { offset: at as u64, bytes: chunk });
            at = end;
            if self.faulty() {
                return self.event(100, Event::StreamFailed { request: commit.request, peer });
            }
        }
        let crc32 = crc32fast::hash(&bytes);
        self.send(peer, commit, Body::End { length: bytes.len() as u64, crc32 });
    }

    fn send(&mut self, peer: SocketAddr, commit: grants::Commit, body: Body) {
        let mut request = commit.request;
        let mut frame = Frame { request, grant: commit.grant, body };
        if self.faulty() {
            match self.rng.u8(0..4) {
                0 => return self.event(50, Event::StreamFailed { request, peer }),
                1 => request = self.any_request(),
                2 => frame.request = self.any_request(),
                _ => {
                    // A refusal that names another grant of the same request by mistake is a lie
                    // that no entry can detect, so only grants of other requests are confused.
                    let other = grant(self.rng.u64(0..self.slots.len() as u64));
                    if self.slots[&other].request != request {
                        frame.grant = other;
                    }
                }
            }
        }
        self.event(60, Event::Frame { request, peer, frame });
    }

    /// Tells the agent of a commit or attach, or loses it with its connection.
    fn dispatch(&mut self, peer: SocketAddr, commit: grants::Commit, attach: Option<u64>) {
        self.caller(commit.request).commit = Some((commit.grant, peer));
        match self.faulty() {
            true => self.event(50, Event::StreamFailed { request: commit.request, peer }),
            false => self.later(200, Happening::Agent(peer, commit, attach)),
        }
    }

    fn deliver(&mut self, event: Event) {
        match &event {
            Event::Frame { request, peer, frame } if *request == frame.request => {
                let given_back = (frame.grant, *peer);
                if matches!(&frame.body, Body::Refused(r) if r.outcome == Outcome::NotRun) {
                    self.caller(*request).commit.take_if(|commit| *commit == given_back);
                }
            }
            Event::CallerDisconnected { caller } => {
                let caller = &mut self.callers[*caller as usize];
                caller.gone |= caller.request.is_some() && caller.finals == 0;
            }
            _ => {}
        }
        for action in self.bench.send(event) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StoreBody { caller, request } => {
                self.requests.insert(request, caller as usize);
                self.caller(request).request = Some(request);
            }
            Action::Offer { peer, head } => {
                let caller = self.caller(head.request);
                assert!(caller.finals == 0 && !caller.gone && caller.commit.is_none());
                caller.offers += 1;
                self.offer(head.request, peer);
            }
            Action::Commit { peer, commit } => {
                let caller = self.caller(commit.request);
                assert!(caller.finals == 0 && !caller.gone, "commit after the final answer");
                assert_eq!(caller.commit, None, "two outstanding commits");
                self.dispatch(peer, commit, None);
            }
            Action::Attach { peer, attach } => {
                let grants::Attach { grant, request, offset, .. } = attach;
                let committed = self.caller(request).commit;
                assert!(committed.is_some_and(|(id, _)| id == grant), "attach to another grant");
                self.dispatch(peer, grants::Commit { grant, request }, Some(offset));
            }
            Action::Data { caller, bytes } => {
                let caller = &mut self.callers[caller as usize];
                caller.answer.extend_from_slice(&bytes);
                let whole = answer(caller.request.unwrap());
                assert!(whole.starts_with(&caller.answer), "bytes of another request");
            }
            Action::Finish { caller } => {
                let caller = &mut self.callers[caller as usize];
                assert_eq!(caller.answer, answer(caller.request.unwrap()), "a truncated answer");
                caller.finals += 1;
                self.finished += 1;
            }
            Action::Refuse { caller, request, refusal } => {
                if request.is_none() && refusal.reason == Reason::Overload {
                    self.check_room(self.callers[caller as usize].rank);
                }
                let caller = &mut self.callers[caller as usize];
                caller.not_run = refusal.outcome == Outcome::NotRun;
                assert!(!caller.not_run || caller.commit.is_none(), "not_run of a commit");
                caller.finals += 1;
            }
            Action::Stopped => self.stopped += 1,
            _ => {}
        }
    }

    fn check_room(&self, rank: u8) {
        let waits = |c: &Caller| c.request.is_some() && c.commit.is_none() && c.finals == 0;
        let kept = |c: &Caller| waits(c) && !c.gone && c.rank > rank;
        assert!(!self.callers.iter().any(kept), "a lower tier is kept");
    }

    fn arrive(&mut self, caller: u64) {
        let rank = self.rng.u8(0..3);
        self.callers.push(Caller { rank, ..Caller::default() });
        let tier = ["urgent", "normal", "batch"][usize::from(rank)];
        let deadline = Some(Duration::from_millis(self.rng.u64(0..1500)));
        let call = IncomingRequest { tier: Some(tier.into()), deadline, ..call(caller) };
        self.later(1000, Happening::Event(Event::Request(call)));
    }

    fn plan(&mut self) {
        (0..CALLS as u64).for_each(|caller| self.arrive(caller));
        let mut list = hosts(AGENTS);
        for _ in 0..3 {
            let index = self.rng.usize(0..list.len());
            let leaving = self.rng.bool();
            list[index].state = if leaving { host::State::Leaving } else { host::State::Live };
            list[index].address = address(self.rng.u8(100..200));
            self.later(1500, Happening::Event(Event::Hosts(list.clone())));
        }
        for caller in [3, 7, 11] {
            self.later(1500, Happening::Event(Event::CallerDisconnected { caller }));
        }
        self.agenda.insert((self.bench.now + 1500, u64::MAX), Happening::Event(Event::Stop));
    }

    fn run(&mut self) {
        self.plan();
        loop {
            let timer = self.bench.machine.next_timer().map(|at| at.0.div_ceil(1000));
            let next = self.agenda.first_key_value().map(|((at, _), _)| *at);
            let Some(at) = timer.into_iter().chain(next).min() else { return };
            self.bench.now = self.bench.now.max(at);
            if self.rng.u32(0..600) == 0 {
                // The entry is paused: agents see its commits late, it sees everything late.
                self.bench.now += self.rng.u64(0..800);
            }
            if next.is_none_or(|next| next > at) {
                self.deliver(Event::Tick);
                continue;
            }
            match self.agenda.pop_first().unwrap().1 {
                Happening::Event(event) => self.deliver(event),
                Happening::Agent(peer, commit, attach) => self.agent(peer, commit, attach),
            }
        }
    }

    fn check(&self) {
        for (number, caller) in self.callers.iter().enumerate() {
            let expected = if caller.gone { 0 } else { 1 };
            assert_eq!(caller.finals, expected, "final answers of caller {number}");
            assert!(caller.runs <= 1, "caller {number} ran {} times", caller.runs);
            assert!(
                !caller.not_run || caller.runs == 0,
                "caller {number} ran, against its refusal"
            );
        }
        let beyond = |caller: &Caller| caller.offers.saturating_sub(SPREAD);
        let retries: u64 = self.callers.iter().map(beyond).sum();
        assert!(retries <= 10 + self.requests.len() as u64 / 10, "{retries} retries");
        let mut status = wire::status::Status::default();
        self.bench.machine.report(wire::time::Instant(self.bench.now * 1000), &mut status);
        assert_eq!((status.running, status.queued.values().sum::<u64>()), (0, 0));
        assert_eq!(self.stopped, 1, "the planned stop ends once");
    }
}

/// Guards against second runs, false or repeated final answers, mixed or truncated answers,
/// inverted tiers and retry storms, in any order of replies, frames and losses.
#[test]
fn random_schedules_keep_the_promises() {
    let mut finished = 0;
    let (count, first) = stand::schedules::read(SCHEDULES, 0);
    for seed in first..first + count {
        println!("seed {seed}");
        let mut world = World::new(seed);
        world.run();
        world.check();
        finished += world.finished;
    }
    assert!(finished > count as u32 * 5, "too few answers for the checks to mean anything");
}
