//! Gateways under load over a network that loses and repeats datagrams, and backend servers that
//! name rate limits in their responses.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use conf::gateway::WarmUpBounds;
use gate::{
    Action, Event,
    catalog::WarmUp,
    event::{AttemptResult, RequestNumber},
    message::Datagram,
    refusal::{Reason, Refusal},
    request::Request,
};
use wire::time::Instant;

use super::{MS, PLAIN, TestGateway, catalog, record, request, setup};

const STEP: Duration = Duration::from_millis(10);
/// Window in which requests at a limited backend server are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit was named from which the gateways keep it.
const NOTICE: Duration = Duration::from_millis(500);

/// How a backend server answers while it names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Complete,
    Failed,
    Rejected,
}

pub struct Server {
    pub limit: Option<f64>,
    pub manner: Manner,
    pub started: u64,
    pub service_time: Duration,
    pub warm_up_left: Option<Duration>,
    /// Whether the server refuses connections.
    pub is_down: bool,
}

/// A request at a backend server.
#[derive(Clone, Copy, Debug)]
struct Response {
    at: Instant,
    gateway: usize,
    number: RequestNumber,
    server: usize,
}

/// An arrival at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub gateway: usize,
    pub server: usize,
    /// Whether an earlier attempt of the request was sent to a backend server.
    pub is_repeat: bool,
    pub is_urgent: bool,
}

pub struct Fleet {
    pub gateways: Vec<TestGateway>,
    pub servers: Vec<Server>,
    pub now: Instant,
    /// Requests a second at each gateway.
    pub load: Vec<f64>,
    /// Requests a second of the most urgent tier, at each gateway.
    pub urgent_load: f64,
    /// Requests of that tier that were sent.
    pub urgent_count: usize,
    /// Part of the datagrams that are lost, and part that are repeated later.
    pub loss: f64,
    pub repeats: f64,
    /// Part of the partitioned network in which each gateway is.
    pub parts: Vec<u8>,
    pub paused: Vec<bool>,
    pub stopped: Vec<bool>,
    pub arrivals: Vec<Arrival>,
    pub refusals: Vec<(Instant, Refusal)>,
    /// Requests and the times at which they arrived.
    requests: Vec<(usize, RequestNumber, Instant)>,
    /// Longest time from the arrival of a request to its refusal.
    pub longest_wait: Duration,
    responses: Vec<Response>,
    datagrams: Vec<(Instant, usize, usize, Datagram)>,
    due: Vec<f64>,
    restarts: u64,
    warm_up: Option<WarmUp>,
    rng: fastrand::Rng,
}

impl Fleet {
    /// Returns gateways that have received each other's first messages.
    pub fn new(gateways: usize, servers: usize, load: f64, seed: u64) -> Fleet {
        Fleet::with_warm_up(gateways, servers, load, seed, None)
    }

    /// Returns gateways whose plain service warms up.
    pub fn with_warm_up(
        gateways: usize,
        servers: usize,
        load: f64,
        seed: u64,
        warm_up: Option<WarmUp>,
    ) -> Fleet {
        let server = |_| Server {
            limit: None,
            manner: Manner::Complete,
            started: 1,
            service_time: 50 * MS,
            warm_up_left: Some(Duration::ZERO),
            is_down: false,
        };
        let mut fleet = Fleet {
            gateways: Vec::new(),
            servers: (0..servers).map(server).collect(),
            now: Instant(1_000_000),
            load: vec![load; gateways],
            urgent_load: 0.0,
            urgent_count: 0,
            loss: 0.0,
            repeats: 0.0,
            parts: vec![0; gateways],
            paused: vec![false; gateways],
            stopped: vec![false; gateways],
            arrivals: Vec::new(),
            refusals: Vec::new(),
            requests: Vec::new(),
            longest_wait: Duration::ZERO,
            responses: Vec::new(),
            datagrams: Vec::new(),
            due: vec![0.0; gateways],
            restarts: 0,
            warm_up,
            rng: fastrand::Rng::with_seed(seed),
        };
        for index in 0..gateways {
            let gateway = fleet.start(index, true);
            fleet.gateways.push(gateway);
        }
        let load = std::mem::replace(&mut fleet.load, vec![0.0; gateways]);
        fleet.advance(Duration::from_secs(2));
        fleet.load = load;
        fleet
    }

    fn start(&self, index: usize, first_start: bool) -> TestGateway {
        let mut setup = setup(index as u16 + 1, first_start);
        setup.process += 10_000 * self.restarts;
        setup.seed = setup.process;
        let seeds = self.load.len().min(3) as u16;
        setup.seeds = (1..=seeds).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        setup.bounds.warm_up =
            self.warm_up.is_some().then_some(WarmUpBounds { overage: 1.5, slack: 5.0 });
        let mut gateway = TestGateway::start(setup, self.now);
        let mut catalog = catalog(1, &["k1", "k2"], 0.0);
        if let Some(service) = catalog.services.get_mut(PLAIN.as_bytes()) {
            service.warm_up = self.warm_up;
        }
        gateway.feed(Event::Catalog(Rc::new(catalog)));
        for (index, server) in self.servers.iter().enumerate() {
            write_record(&mut gateway, index, server);
        }
        gateway.confirm();
        gateway
    }

    /// Replaces a gateway's process by one with empty memory.
    pub fn restart(&mut self, index: usize) {
        self.restarts += 1;
        self.responses.retain(|response| response.gateway != index);
        self.requests.retain(|(gateway, _, _)| *gateway != index);
        (self.paused[index], self.stopped[index]) = (false, false);
        self.gateways[index] = self.start(index, false);
    }

    /// Restarts a backend server, which then names no limit.
    pub fn restart_server(&mut self, index: usize) {
        self.servers[index].started += 1;
        self.servers[index].limit = None;
        for gateway in 0..self.gateways.len() {
            self.read_record(gateway, index);
        }
    }

    /// Lets a gateway read the record of a backend server.
    pub fn read_record(&mut self, gateway: usize, server: usize) {
        self.gateways[gateway].now = self.now;
        write_record(&mut self.gateways[gateway], server, &self.servers[server]);
        self.take_actions(gateway);
    }

    /// Begins a planned stop of a gateway, which gets no new requests.
    pub fn stop(&mut self, index: usize) {
        self.gateways[index].stop();
        self.load[index] = 0.0;
        self.take_actions(index);
    }

    /// Ends a gateway's process.
    pub fn kill(&mut self, index: usize) {
        self.stopped[index] = true;
        self.load[index] = 0.0;
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.deliver();
        self.respond();
        for index in 0..self.gateways.len() {
            if self.paused[index] || self.stopped[index] {
                continue;
            }
            let gateway = &mut self.gateways[index];
            gateway.now = self.now;
            gateway.feed(Event::Tick);
            if self.now.0.is_multiple_of(500_000) {
                gateway.confirm();
            }
            self.due[index] += self.load[index] * STEP.as_secs_f64() * self.rng.f64() * 2.0;
            while self.due[index] >= 1.0 {
                self.due[index] -= 1.0;
                self.send(index, request("status"));
            }
            if self.rng.f64() < self.urgent_load * STEP.as_secs_f64() {
                self.urgent_count += 1;
                self.send(index, request("public"));
            }
            self.take_actions(index);
        }
    }

    /// Sends a request to a gateway.
    pub fn send(&mut self, index: usize, request: Request) -> RequestNumber {
        let fingerprint = self.rng.u64(..);
        self.gateways[index].now = self.now;
        let number = self.gateways[index].arrive(Request { fingerprint, ..request });
        self.requests.push((index, number, self.now));
        self.take_actions(index);
        number
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.datagrams).into_iter().partition(|(at, ..)| now >= *at);
        self.datagrams = later;
        for (at, from, to, datagram) in due {
            if self.paused[to] {
                self.datagrams.push((at, from, to, datagram));
                continue;
            }
            if self.stopped[to] || self.parts[from] != self.parts[to] {
                continue;
            }
            self.gateways[to].now = now;
            self.gateways[to].feed_datagram(datagram);
            self.take_actions(to);
        }
    }

    fn respond(&mut self) {
        let now = self.now;
        let paused = self.paused.clone();
        let (due, later) = std::mem::take(&mut self.responses)
            .into_iter()
            .partition(|response| now >= response.at && !paused[response.gateway]);
        self.responses = later;
        for Response { gateway: index, number, server, .. } in due {
            if self.stopped[index] {
                continue;
            }
            let Server { limit, manner, .. } = self.servers[server];
            let gateway = &mut self.gateways[index];
            gateway.now = now;
            gateway.feed(Event::RateLimitStated { number, per_s: limit });
            gateway.feed(match (limit, manner) {
                (Some(_), Manner::Failed) => Event::Ended { number, result: AttemptResult::Failed },
                (Some(_), Manner::Rejected) => Event::Rejected { number, retry_after: None },
                _ => Event::Ended { number, result: AttemptResult::Complete },
            });
            self.take_actions(index);
        }
    }

    fn take_actions(&mut self, index: usize) {
        let now = self.now;
        for action in std::mem::take(&mut self.gateways[index].actions) {
            match action {
                Action::Probe { backend, address } => {
                    let is_down = self.servers[usize::from(address.port()) - 9_000].is_down;
                    self.gateways[index].feed(Event::Probed { backend, reachable: !is_down });
                }
                Action::Dispatch(dispatch)
                    if self.servers[usize::from(dispatch.address.port()) - 9_000].is_down =>
                {
                    self.gateways[index].feed(Event::Refused { number: dispatch.number });
                }
                Action::Dispatch(dispatch) => {
                    let server = usize::from(dispatch.address.port()) - 9_000;
                    let number = dispatch.number;
                    let is_repeat = dispatch.inputs.attempt > 1;
                    // Only requests without an account have that tier.
                    let is_urgent = dispatch.account.is_none();
                    let arrival = Arrival { at: now, gateway: index, server, is_repeat, is_urgent };
                    self.arrivals.push(arrival);
                    let at = now + self.servers[server].service_time;
                    self.responses.push(Response { at, gateway: index, number, server });
                }
                Action::Send { to, datagram } => self.transmit(index, to, datagram),
                Action::Refuse { number, refusal } => {
                    let is_this = |(gateway, other, _): &&(usize, RequestNumber, Instant)| {
                        (*gateway, *other) == (index, number)
                    };
                    let arrived = self.requests.iter().find(is_this).map(|(.., at)| *at);
                    let waited = arrived.map_or(Duration::ZERO, |at| now.since(at));
                    self.longest_wait = self.longest_wait.max(waited);
                    self.refusals.push((now, refusal));
                }
                _ => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let to = usize::from(to.port()) - 1;
        if to >= self.gateways.len().max(self.parts.len()) || self.parts[to] != self.parts[from] {
            return;
        }
        if self.rng.f64() < self.loss {
            return;
        }
        if self.rng.f64() < self.repeats {
            let late = self.now + self.rng.u32(20..300) * MS;
            self.datagrams.push((late, from, to, datagram.clone()));
        }
        self.datagrams.push((self.now, from, to, datagram));
    }

    /// Returns the arrivals at a backend server from a time on.
    pub fn arrivals_at(&self, server: usize, from: Instant) -> impl Iterator<Item = &Arrival> {
        self.arrivals.iter().filter(move |a| a.server == server && a.at >= from)
    }

    /// Returns the most requests that a backend server got in one window, counted once the gateways
    /// had received the limit that it named at `named_at`.
    pub fn most_in_window(&self, server: usize, named_at: Instant) -> usize {
        let times: Vec<Instant> =
            self.arrivals_at(server, named_at + NOTICE).map(|arrival| arrival.at).collect();
        let in_window = |end: &Instant| {
            times.iter().filter(|at| **at <= *end && end.since(**at) < WINDOW).count()
        };
        times.iter().map(in_window).max().unwrap_or(0)
    }

    /// Returns the number of requests that were refused for a rate limit.
    pub fn refused_for_limit(&self) -> usize {
        self.refusals.iter().filter(|(_, refusal)| refusal.reason == Reason::RateLimit).count()
    }
}

fn write_record(gateway: &mut TestGateway, index: usize, server: &Server) {
    let record = record(PLAIN, 9_000 + index as u16);
    gateway.add(
        &format!("r{index}"),
        gate::backends::Record {
            started: Some(server.started),
            slots: 1_000,
            warm_up_left: server.warm_up_left,
            ..record
        },
    );
}
