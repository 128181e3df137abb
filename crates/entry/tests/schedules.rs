//! Random schedules with simulated agents that delay, drop, repeat, reorder and misroute messages.

mod common;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use common::{Fixture, address, agent_refusal, grant, hosts, incoming, started, tree};
use entry::{Action, Event, IncomingRequest};
use wire::{
    Frame,
    frame::Body,
    grant as grants, host, id, offer,
    outcome::{Outcome, Reason},
};

const SCHEDULES: u64 = 1_200;
const REQUESTS: usize = 30;
const AGENTS: u8 = 5;
const MAX_OPEN: u32 = 12;
const SPREAD: u64 = 2;

/// Returns the bytes of the response to a request, which are the same at every agent.
fn response(request: id::Request) -> Vec<u8> {
    let length = request.seq * 37 % 90;
    (0..length).map(|at| (request.seq * 131 + at * 7) as u8).collect()
}

enum Delivery {
    ToEntry(Event),
    /// A commit or, with an offset, an attach for an agent.
    ToAgent(SocketAddr, grants::Commit, Option<u64>),
}

struct Slot {
    request: id::Request,
    expires_at: u64,
    committed: bool,
    ended: bool,
}

#[derive(Default)]
struct Caller {
    rank: u8,
    request: Option<id::Request>,
    offers: u64,
    /// The commit in effect and the address that it or its last attach was sent to.
    commit: Option<(id::Grant, SocketAddr)>,
    runs: u32,
    received: Vec<u8>,
    not_run: bool,
    final_responses: u32,
    disconnected: bool,
}

struct Simulation {
    fixture: Fixture,
    rng: fastrand::Rng,
    /// Probability of each fault in percent.
    fault_percent: u32,
    deliveries: BTreeMap<(u64, u64), Delivery>,
    scheduled: u64,
    slots: HashMap<id::Grant, Slot>,
    callers: Vec<Caller>,
    requests: BTreeMap<id::Request, usize>,
    stopped: u32,
    finished: u32,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut tree = tree();
        tree.entry.max_open = MAX_OPEN;
        Simulation {
            fixture: Fixture::new(tree, AGENTS),
            fault_percent: rng.u32(0..25),
            rng,
            deliveries: BTreeMap::new(),
            scheduled: 0,
            slots: HashMap::new(),
            callers: Vec::new(),
            requests: BTreeMap::new(),
            stopped: 0,
            finished: 0,
        }
    }

    fn draw_fault(&mut self) -> bool {
        self.rng.u32(0..100) < self.fault_percent
    }

    fn schedule(&mut self, max_ms: u64, delivery: Delivery) {
        let at = self.fixture.now + self.rng.u64(0..=max_ms);
        self.scheduled += 1;
        self.deliveries.insert((at, self.scheduled), delivery);
    }

    fn schedule_event(&mut self, max_ms: u64, event: Event) {
        if self.draw_fault() {
            self.schedule(max_ms * 3, Delivery::ToEntry(event.clone()));
        }
        self.schedule(max_ms, Delivery::ToEntry(event));
    }

    fn random_request(&mut self) -> id::Request {
        let index = self.rng.usize(0..self.requests.len());
        *self.requests.keys().nth(index).unwrap()
    }

    fn caller(&mut self, request: id::Request) -> &mut Caller {
        &mut self.callers[self.requests[&request]]
    }

    fn reply_to_offer(&mut self, request: id::Request, peer: SocketAddr) {
        if self.draw_fault() {
            if self.rng.bool() {
                self.schedule_event(200, Event::OfferFailed { request, peer });
            }
            return;
        }
        let reply = if self.draw_fault() {
            let reasons = [Reason::Overload, Reason::Leaving, Reason::Deadline, Reason::Suspect];
            let reason = reasons[self.rng.usize(0..reasons.len())];
            offer::Reply::Refused(agent_refusal(Outcome::NotRun, reason))
        } else {
            let grant = grant(self.slots.len() as u64);
            let expires_at = self.fixture.now + 400;
            let slot = Slot { request, expires_at, committed: false, ended: false };
            self.slots.insert(grant, slot);
            offer::Reply::Ready { grant, ttl: Duration::from_millis(100) }
        };
        let request = if self.draw_fault() { self.random_request() } else { request };
        self.schedule_event(300, Event::OfferReply { request, peer, reply });
    }

    /// Handles a commit or attach as an agent does: it accepts the commit of a grant once and
    /// before the grant expires, or never.
    fn handle_at_agent(&mut self, peer: SocketAddr, commit: grants::Commit, attach: Option<u64>) {
        let (unreachable, now) = (self.draw_fault(), self.fixture.now);
        let slot = self.slots.get_mut(&commit.grant).expect("a grant that an agent issued");
        if slot.committed {
            return self.stream_response(peer, commit, attach.unwrap_or(0));
        }
        let late = now > slot.expires_at || slot.ended || attach.is_some();
        if late || unreachable {
            slot.ended = true;
            let reason = if late { Reason::GrantExpired } else { Reason::BackendUnreachable };
            return self.send_frame(
                peer,
                commit,
                Body::Refused(agent_refusal(Outcome::NotRun, reason)),
            );
        }
        slot.committed = true;
        self.caller(commit.request).runs += 1;
        self.stream_response(peer, commit, 0);
    }

    fn stream_response(&mut self, peer: SocketAddr, commit: grants::Commit, from: u64) {
        let bytes = response(commit.request);
        if self.draw_fault() && self.draw_fault() {
            let refusal = agent_refusal(Outcome::Unknown, Reason::AgentReplaced);
            return self.send_frame(peer, commit, Body::Refused(refusal));
        }
        self.send_frame(peer, commit, started());
        let mut at = from as usize;
        while at < bytes.len() {
            let end = (at + self.rng.usize(1..40)).min(bytes.len());
            let chunk = bytes[at..end].to_vec().into();
            self.send_frame(peer, commit, Body::Data { offset: at as u64, bytes: chunk });
            at = end;
            if self.draw_fault() {
                return self
                    .schedule_event(100, Event::StreamFailed { request: commit.request, peer });
            }
        }
        let crc32 = crc32fast::hash(&bytes);
        self.send_frame(peer, commit, Body::End { length: bytes.len() as u64, crc32 });
    }

    fn send_frame(&mut self, peer: SocketAddr, commit: grants::Commit, body: Body) {
        let mut request = commit.request;
        let mut frame = Frame { request, grant: commit.grant, body };
        if self.draw_fault() {
            match self.rng.u8(0..4) {
                0 => return self.schedule_event(50, Event::StreamFailed { request, peer }),
                1 => request = self.random_request(),
                2 => frame.request = self.random_request(),
                _ => {
                    // No entry can detect a refusal that names another grant of the same request
                    // by mistake, so only grants of other requests are mixed up.
                    let other = grant(self.rng.u64(0..self.slots.len() as u64));
                    if self.slots[&other].request != request {
                        frame.grant = other;
                    }
                }
            }
        }
        self.schedule_event(60, Event::Frame { request, peer, frame });
    }

    /// Delivers a commit or attach to its agent, or drops it and fails its connection.
    fn connect_to_agent(&mut self, peer: SocketAddr, commit: grants::Commit, attach: Option<u64>) {
        self.caller(commit.request).commit = Some((commit.grant, peer));
        match self.draw_fault() {
            true => self.schedule_event(50, Event::StreamFailed { request: commit.request, peer }),
            false => self.schedule(200, Delivery::ToAgent(peer, commit, attach)),
        }
    }

    fn deliver_to_entry(&mut self, event: Event) {
        match &event {
            Event::Frame { request, peer, frame } if *request == frame.request => {
                let refused_commit = (frame.grant, *peer);
                if matches!(&frame.body, Body::Refused(r) if r.outcome == Outcome::NotRun) {
                    self.caller(*request).commit.take_if(|commit| *commit == refused_commit);
                }
            }
            Event::CallerDisconnected { caller } => {
                let caller = &mut self.callers[*caller as usize];
                caller.disconnected |= caller.request.is_some() && caller.final_responses == 0;
            }
            _ => {}
        }
        for action in self.fixture.handle(event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::StoreBody { caller, request } => {
                self.requests.insert(request, caller as usize);
                self.caller(request).request = Some(request);
            }
            Action::Offer { peer, head } => {
                let caller = self.caller(head.request);
                assert!(
                    caller.final_responses == 0 && !caller.disconnected && caller.commit.is_none()
                );
                caller.offers += 1;
                self.reply_to_offer(head.request, peer);
            }
            Action::Commit { peer, commit } => {
                let caller = self.caller(commit.request);
                assert!(
                    caller.final_responses == 0 && !caller.disconnected,
                    "commit after the final response"
                );
                assert_eq!(caller.commit, None, "two outstanding commits");
                self.connect_to_agent(peer, commit, None);
            }
            Action::Attach { peer, attach } => {
                let grants::Attach { grant, request, offset, .. } = attach;
                let committed = self.caller(request).commit;
                assert!(committed.is_some_and(|(id, _)| id == grant), "attach to another grant");
                self.connect_to_agent(peer, grants::Commit { grant, request }, Some(offset));
            }
            Action::Data { caller, bytes } => {
                let caller = &mut self.callers[caller as usize];
                caller.received.extend_from_slice(&bytes);
                let expected = response(caller.request.unwrap());
                assert!(expected.starts_with(&caller.received), "bytes of another request");
            }
            Action::Finish { caller } => {
                let caller = &mut self.callers[caller as usize];
                assert_eq!(
                    caller.received,
                    response(caller.request.unwrap()),
                    "a truncated response"
                );
                caller.final_responses += 1;
                self.finished += 1;
            }
            Action::Refuse { caller, request, refusal } => {
                if request.is_none() && refusal.reason == Reason::Overload {
                    self.check_displacement(self.callers[caller as usize].rank);
                }
                let caller = &mut self.callers[caller as usize];
                caller.not_run = refusal.outcome == Outcome::NotRun;
                assert!(
                    !caller.not_run || caller.commit.is_none(),
                    "`not_run` for a committed request"
                );
                caller.final_responses += 1;
            }
            Action::Stopped => self.stopped += 1,
            _ => {}
        }
    }

    fn check_displacement(&self, rank: u8) {
        let waits =
            |c: &Caller| c.request.is_some() && c.commit.is_none() && c.final_responses == 0;
        let lower = |c: &Caller| waits(c) && !c.disconnected && c.rank > rank;
        assert!(!self.callers.iter().any(lower), "a request of a lower tier stays open");
    }

    fn schedule_request(&mut self, caller: u64) {
        let rank = self.rng.u8(0..3);
        self.callers.push(Caller { rank, ..Caller::default() });
        let tier = ["urgent", "normal", "batch"][usize::from(rank)];
        let deadline = Some(Duration::from_millis(self.rng.u64(0..1500)));
        let incoming = IncomingRequest { tier: Some(tier.into()), deadline, ..incoming(caller) };
        self.schedule(1000, Delivery::ToEntry(Event::Request(incoming)));
    }

    fn schedule_events(&mut self) {
        (0..REQUESTS as u64).for_each(|caller| self.schedule_request(caller));
        let mut records = hosts(AGENTS);
        for _ in 0..3 {
            let index = self.rng.usize(0..records.len());
            let leaving = self.rng.bool();
            records[index].state = if leaving { host::State::Leaving } else { host::State::Live };
            records[index].address = address(self.rng.u8(100..200));
            self.schedule(1500, Delivery::ToEntry(Event::Hosts(records.clone())));
        }
        for caller in [3, 7, 11] {
            self.schedule(1500, Delivery::ToEntry(Event::CallerDisconnected { caller }));
        }
        self.deliveries.insert((self.fixture.now + 1500, u64::MAX), Delivery::ToEntry(Event::Stop));
    }

    fn run(&mut self) {
        self.schedule_events();
        loop {
            let timer = self.fixture.machine.next_timer().map(|at| at.0.div_ceil(1000));
            let next = self.deliveries.first_key_value().map(|((at, _), _)| *at);
            let Some(at) = timer.into_iter().chain(next).min() else { return };
            self.fixture.now = self.fixture.now.max(at);
            if self.rng.u32(0..600) == 0 {
                // The entry process is paused, so that it handles all events late and its commits
                // reach the agents late.
                self.fixture.now += self.rng.u64(0..800);
            }
            if next.is_none_or(|next| next > at) {
                self.deliver_to_entry(Event::Tick);
                continue;
            }
            match self.deliveries.pop_first().unwrap().1 {
                Delivery::ToEntry(event) => self.deliver_to_entry(event),
                Delivery::ToAgent(peer, commit, attach) => {
                    self.handle_at_agent(peer, commit, attach)
                }
            }
        }
    }

    fn check(&self) {
        for (number, caller) in self.callers.iter().enumerate() {
            let expected = if caller.disconnected { 0 } else { 1 };
            assert_eq!(caller.final_responses, expected, "final responses of caller {number}");
            assert!(caller.runs <= 1, "request of caller {number} ran {} times", caller.runs);
            assert!(
                !caller.not_run || caller.runs == 0,
                "request of caller {number} ran, but was refused as not run"
            );
        }
        let beyond = |caller: &Caller| caller.offers.saturating_sub(SPREAD);
        let retries: u64 = self.callers.iter().map(beyond).sum();
        assert!(retries <= 10 + self.requests.len() as u64 / 10, "{retries} retries");
        let mut status = wire::status::Status::default();
        self.fixture.machine.report(wire::time::Instant(self.fixture.now * 1000), &mut status);
        assert_eq!((status.running, status.queued.values().sum::<u64>()), (0, 0));
        assert_eq!(self.stopped, 1, "the planned stop must end once");
    }
}

/// Guards against second runs, false or repeated final responses, mixed or truncated responses,
/// requests refused in favour of lower tiers and retry storms, in any order of replies, frames and
/// failures.
#[test]
fn random_schedules_keep_the_guarantees() {
    let mut finished = 0;
    let (count, first) = stand::schedules::read(SCHEDULES, 0);
    for seed in first..first + count {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed);
        simulation.run();
        simulation.check();
        finished += simulation.finished;
    }
    assert!(
        finished > count as u32 * 5,
        "too few complete responses for the checks to be meaningful"
    );
}
