//! Gateways that exchange datagrams over a simulated network, and backend servers that crash while
//! they run a certain request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use gate::{
    Action, Event,
    action::Dispatch,
    event::{AttemptResult, RequestNumber},
    message::Datagram,
    request::Request,
};
use wire::time::Instant;

use super::{MODEL, MS, TestGateway, catalog, record, request, setup};

/// Fingerprint of the request that crashes each backend server that runs it.
pub const POISON: u64 = 7;
/// Time from the dispatch of a poison request to the crash.
const TIME_TO_CRASH: Duration = Duration::from_millis(50);
/// The same if the response goes on before it.
const TIME_TO_LATE_CRASH: Duration = Duration::from_millis(500);
/// Time after which a backend server that crashed is back under its identifier.
const TIME_TO_RESTART: Duration = Duration::from_millis(1500);
/// Time after which a caller without a response leaves.
const PATIENCE: Duration = Duration::from_millis(2500);

/// Times after the dispatch at which a request with prompt parts gets its first event, further ones
/// and its end.
const TIME_TO_FIRST_EVENT: Duration = Duration::from_millis(100);
const TIME_TO_EVENTS: Duration = Duration::from_millis(400);
const TIME_TO_END: Duration = Duration::from_millis(700);

/// How backend servers answer copies of a popular request that crashes none of them.
#[derive(Clone, Copy, Debug)]
pub struct Popular {
    pub fingerprint: u64,
    /// Time from the dispatch to the first event, if the response is a stream. A further one follows
    /// `TIME_TO_CONTINUE` later.
    pub first_event: Option<Duration>,
    /// Time from the dispatch to the end.
    pub end: Duration,
    /// How the response ends.
    pub result: AttemptResult,
    /// How one ends whose backend server crashed or exited.
    pub cut: AttemptResult,
    /// Time after which a caller without a response leaves.
    pub patience: Duration,
}

/// Time from the first event of a popular stream to the one that shows that it goes on.
const TIME_TO_CONTINUE: Duration = Duration::from_millis(260);
/// Time for which a backend server serves after it said that it drains.
const TIME_TO_EXIT: Duration = Duration::from_millis(2500);

/// Time after which the record of a backend server that stands still is removed.
const TIME_TO_EXPIRY: Duration = Duration::from_millis(3600);

/// How a crash appears to the gateway whose request caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    BeforeFirstEvent,
    AfterFirstEvent,
    /// As the end of a response that ends with its connection, after its first event.
    Unframed,
    /// As the end of a failure response that ends with its connection.
    Failure,
    /// As a lost connection, after the response went on for a while.
    Late,
    /// The connection is lost only after the backend server has written its record again.
    AfterRestart,
    /// The connection stays open without data.
    Silent,
}

#[derive(Clone, Copy, Debug, Default)]
struct Server {
    started: u64,
    crashes_at: Option<Instant>,
    restarts_at: Option<Instant>,
    /// Time at which it exits as planned.
    exits_at: Option<Instant>,
    /// Time until which it stands still.
    frozen_until: Option<Instant>,
    /// Time at which its record is removed since it stands still.
    expires_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Attempt {
    gateway: usize,
    number: RequestNumber,
    server: usize,
    request: Request,
    /// Position in `Cluster::sound`.
    sound: Option<usize>,
    caller_leaves_at: Instant,
    first_event_at: Option<Instant>,
    events_at: Option<Instant>,
    completes_at: Option<Instant>,
}

/// A request that crashes no backend server.
#[derive(Clone, Debug)]
pub struct Sound {
    pub sent_at: Instant,
    pub gateway: usize,
    pub request: Request,
    pub began: bool,
}

/// A deployment in which time advances by steps.
pub struct Cluster {
    pub gateways: Vec<TestGateway>,
    pub now: Instant,
    pub crash: Crash,
    /// Times at which a poison request crashed a backend server.
    pub crashes: Vec<Instant>,
    /// Times at which a poison request was dispatched, and the gateways that did.
    pub runs: Vec<(Instant, usize)>,
    pub popular: Option<Popular>,
    /// Prompt parts that crash each backend server which begins to answer a request with them.
    pub bad_parts: Vec<Bytes>,
    /// Requests with prompt parts, none of which is bad.
    pub sound: Vec<Sound>,
    /// Part of the partitioned network in which each gateway is.
    pub parts: Vec<u8>,
    /// Gateways that handle nothing until they are resumed.
    pub paused: Vec<bool>,
    /// Whether records of backend servers reach the gateways.
    pub store_up: bool,
    /// Units a second and burst of the account.
    pub account_rate: f64,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    servers: Vec<Server>,
    attempts: Vec<Attempt>,
    /// Requests that were dispatched to a backend server that is down, by the gateway.
    refused: Vec<(usize, RequestNumber)>,
    /// Datagrams in the network, by the gateway that receives them.
    datagrams: Vec<(usize, Datagram)>,
    restarts: u64,
    rng: fastrand::Rng,
}

impl Cluster {
    /// Returns a cluster whose gateways have received each other's first messages.
    pub fn new(gateways: usize, servers: usize, crash: Crash) -> Cluster {
        Cluster::with_account(gateways, servers, crash, 0.0)
    }

    /// Returns a cluster whose account has a quota of `account_rate` units a second.
    pub fn with_account(
        gateways: usize,
        servers: usize,
        crash: Crash,
        account_rate: f64,
    ) -> Cluster {
        let mut cluster = Cluster {
            gateways: Vec::new(),
            now: Instant(1_000_000),
            crash,
            crashes: Vec::new(),
            runs: Vec::new(),
            popular: None,
            bad_parts: Vec::new(),
            sound: Vec::new(),
            parts: vec![0; gateways],
            paused: vec![false; gateways],
            store_up: true,
            account_rate,
            loss: 0.0,
            servers: vec![Server { started: 1, crashes_at: None, ..Server::default() }; servers],
            attempts: Vec::new(),
            refused: Vec::new(),
            datagrams: Vec::new(),
            restarts: 0,
            rng: fastrand::Rng::with_seed(1),
        };
        for index in 0..gateways {
            let gateway = cluster.start(index, true);
            cluster.gateways.push(gateway);
        }
        cluster.advance(Duration::from_secs(3));
        cluster
    }

    /// Returns a process that has read the store.
    fn start(&self, index: usize, first_start: bool) -> TestGateway {
        let mut setup = setup(index as u16 + 1, first_start);
        setup.process += 1_000 * self.restarts;
        setup.seeds = (1..=3u16).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        let mut gateway = TestGateway::start(setup, self.now);
        gateway.feed(Event::Catalog(std::rc::Rc::new(catalog(
            1,
            &["k1", "k2"],
            self.account_rate,
        ))));
        for server in 0..self.servers.len() {
            write_record(&mut gateway, server, self.servers[server].started);
        }
        gateway.confirm();
        gateway
    }

    /// Replaces a gateway's process by one with empty memory.
    pub fn restart(&mut self, index: usize) {
        self.restarts += 1;
        self.attempts.retain(|attempt| attempt.gateway != index);
        self.gateways[index] = self.start(index, false);
    }

    /// Sends a copy of the poison request to a gateway.
    pub fn send_copy(&mut self, gateway: usize) -> RequestNumber {
        self.send(gateway, request("essay"))
    }

    /// Sends a request to a gateway.
    pub fn send(&mut self, gateway: usize, request: Request) -> RequestNumber {
        self.gateways[gateway].now = self.now;
        let number = self.gateways[gateway].arrive(request.clone());
        let is_sound = !request.parts.is_empty() && !self.is_poison(&request);
        let sound = is_sound.then_some(self.sound.len());
        if is_sound {
            let (sent_at, request) = (self.now, request.clone());
            self.sound.push(Sound { sent_at, gateway, request, began: false });
        }
        let popular = self.popular_of(&request);
        self.attempts.push(Attempt {
            gateway,
            number,
            server: usize::MAX,
            request,
            sound,
            caller_leaves_at: self.now + popular.map_or(PATIENCE, |popular| popular.patience),
            first_event_at: None,
            events_at: None,
            completes_at: None,
        });
        self.take_actions(gateway);
        number
    }

    /// Returns whether a request crashes the backend servers that run it.
    pub fn is_poison(&self, request: &Request) -> bool {
        let has_bad_part = request.parts.iter().any(|part| self.bad_parts.contains(part));
        has_bad_part || request.parts.is_empty() && request.fingerprint == POISON
    }

    /// Returns the number of requests that crash backend servers and were dispatched later than
    /// `contact` after the fifth crash, by gateways for which `counts` returns true.
    pub fn late_runs(&self, contact: Duration, counts: impl Fn(Instant, usize) -> bool) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        let late = self
            .runs
            .iter()
            .filter(|(at, gateway)| *at > *fifth + contact && counts(*at, *gateway));
        late.count()
    }

    /// Ends a dispatched request as if its connection was lost.
    pub fn break_connection(&mut self, gateway: usize, number: RequestNumber) {
        self.attempts.retain(|a| (a.gateway, a.number) != (gateway, number));
        self.gateways[gateway].end(number, AttemptResult::Broken);
        self.take_actions(gateway);
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + 10 * MS;
        self.deliver();
        self.run_servers();
        for index in 0..self.gateways.len() {
            if self.paused[index] {
                continue;
            }
            let gateway = &mut self.gateways[index];
            gateway.now = self.now;
            gateway.feed(Event::Tick);
            if self.store_up && self.now.0.is_multiple_of(500_000) {
                gateway.confirm();
            }
            self.take_actions(index);
        }
    }

    fn deliver(&mut self) {
        for (to, datagram) in std::mem::take(&mut self.datagrams) {
            if self.paused[to] {
                self.datagrams.push((to, datagram));
                continue;
            }
            self.gateways[to].now = self.now;
            self.gateways[to].feed_datagram(datagram);
            self.take_actions(to);
        }
    }

    fn run_servers(&mut self) {
        let now = self.now;
        for (gateway, number) in std::mem::take(&mut self.refused) {
            self.gateways[gateway].feed(Event::Refused { number });
            self.take_actions(gateway);
        }
        for index in 0..self.servers.len() {
            if self.servers[index].crashes_at.is_some_and(|at| now >= at) {
                self.crash_server(index);
            }
            if self.servers[index].restarts_at.is_some_and(|at| now >= at) {
                self.restart_server(index);
            }
            if self.servers[index].expires_at.take_if(|at| now >= *at).is_some() {
                self.publish_removal(index);
            }
            if self.servers[index].frozen_until.take_if(|at| now >= *at).is_some() {
                let is_running = self.servers[index].restarts_at.is_none();
                if self.servers[index].expires_at.take().is_none() && is_running && self.store_up {
                    self.publish(index);
                }
            }
            if self.servers[index].exits_at.take_if(|at| now >= *at).is_some() {
                self.servers[index].restarts_at = Some(Instant(u64::MAX));
                self.break_connections(index);
            }
        }
        let is_due = |at: Option<Instant>| at.is_some_and(|at| now >= at);
        for index in 0..self.attempts.len() {
            let attempt = &mut self.attempts[index];
            let (gateway, number) = (attempt.gateway, attempt.number);
            if self.paused[gateway] {
                continue;
            }
            if attempt.first_event_at.take_if(|at| now >= *at).is_some() {
                if let Some(sound) = attempt.sound {
                    self.sound[sound].began = true;
                }
                self.gateways[gateway].feed(Event::FirstEvent { number });
                self.take_actions(gateway);
            } else if attempt.events_at.take_if(|at| now >= *at).is_some() {
                self.gateways[gateway].feed(Event::Continued { number });
                self.take_actions(gateway);
            }
        }
        for attempt in self.take_attempts(|attempt| is_due(attempt.completes_at)) {
            let popular = self.popular_of(&attempt.request);
            let result = popular.map_or(AttemptResult::Complete, |popular| popular.result);
            self.gateways[attempt.gateway].end(attempt.number, result);
            self.take_actions(attempt.gateway);
        }
        for attempt in self.take_attempts(|attempt| now >= attempt.caller_leaves_at) {
            self.gateways[attempt.gateway].feed(Event::Closed { number: attempt.number });
            self.take_actions(attempt.gateway);
        }
    }

    /// Crashes a backend server for another reason than a request.
    pub fn crash_other(&mut self, server: usize) {
        if self.servers[server].restarts_at.is_none() {
            self.stop_server(server);
        }
    }

    /// Removes the record of a backend server, which exits some time later.
    pub fn remove(&mut self, server: usize) {
        self.servers[server].exits_at = Some(self.now + TIME_TO_EXIT);
        self.publish_removal(server);
    }

    fn publish_removal(&mut self, server: usize) {
        for gateway in 0..self.gateways.len() {
            self.gateways[gateway].now = self.now;
            let id = format!("r{server}").into();
            self.gateways[gateway].feed(Event::Record { id, record: None });
            self.take_actions(gateway);
        }
    }

    /// Lets a backend server stand still for some time.
    pub fn freeze(&mut self, server: usize, span: Duration) {
        let state = &mut self.servers[server];
        state.frozen_until = Some(self.now + span);
        state.expires_at = Some(self.now + TIME_TO_EXPIRY);
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.server == server) {
            let times =
                [&mut attempt.first_event_at, &mut attempt.events_at, &mut attempt.completes_at];
            for time in times.into_iter().flatten() {
                *time = *time + span;
            }
        }
    }

    /// Returns whether a backend server runs, and neither stands still nor leaves.
    pub fn is_calm(&self, server: usize) -> bool {
        let Server { crashes_at, restarts_at, exits_at, frozen_until, .. } = self.servers[server];
        [crashes_at, restarts_at, exits_at, frozen_until].iter().all(Option::is_none)
    }

    /// Lets a backend server drain, and exit some time later.
    pub fn drain(&mut self, server: usize) {
        self.servers[server].exits_at = Some(self.now + TIME_TO_EXIT);
        for gateway in 0..self.gateways.len() {
            let record = record(MODEL, 9_000 + server as u16);
            let started = Some(self.servers[server].started);
            let record = gate::backends::Record { started, draining: true, ..record };
            self.gateways[gateway].now = self.now;
            self.gateways[gateway].add(&format!("r{server}"), record);
            self.take_actions(gateway);
        }
    }

    fn popular_of(&self, request: &Request) -> Option<Popular> {
        self.popular.filter(|popular| popular.fingerprint == request.fingerprint)
    }

    /// Returns the requests that a gateway refused as the cause of ends since the last call.
    pub fn take_refusals(&mut self, gateway: usize) -> Vec<RequestNumber> {
        let actions = std::mem::take(&mut self.gateways[gateway].actions);
        let refused = actions.into_iter().filter_map(|action| match action {
            Action::Refuse { number, refusal } => {
                (refusal.reason == gate::refusal::Reason::Poison).then_some(number)
            }
            _ => None,
        });
        refused.collect()
    }

    fn crash_server(&mut self, index: usize) {
        self.crashes.push(self.now);
        self.stop_server(index);
    }

    fn stop_server(&mut self, index: usize) {
        self.servers[index].crashes_at = None;
        self.servers[index].restarts_at = Some(self.now + TIME_TO_RESTART);
        for attempt in self.attempts.iter_mut().filter(|a| a.server == index && a.sound.is_some()) {
            (attempt.first_event_at, attempt.events_at, attempt.completes_at) = (None, None, None);
        }
        if !matches!(self.crash, Crash::Silent | Crash::AfterRestart) {
            self.break_connections(index);
        }
    }

    fn restart_server(&mut self, index: usize) {
        self.servers[index].started += 1;
        self.servers[index].restarts_at = None;
        if self.store_up {
            self.publish(index);
        }
        if self.crash == Crash::AfterRestart {
            self.break_connections(index);
        }
    }

    fn publish(&mut self, server: usize) {
        for gateway in 0..self.gateways.len() {
            self.gateways[gateway].now = self.now;
            write_record(&mut self.gateways[gateway], server, self.servers[server].started);
            self.take_actions(gateway);
        }
    }

    /// Makes the store reachable, with what backend servers wrote meanwhile, or unreachable.
    pub fn set_store(&mut self, up: bool) {
        self.store_up = up;
        if up {
            (0..self.servers.len()).for_each(|server| self.publish(server));
        }
    }

    fn break_connections(&mut self, server: usize) {
        for attempt in self.take_attempts(|attempt| attempt.server == server) {
            let popular = self.popular_of(&attempt.request);
            let gateway = &mut self.gateways[attempt.gateway];
            gateway.now = self.now;
            if let Some(popular) = popular {
                gateway.end(attempt.number, popular.cut);
                self.take_actions(attempt.gateway);
                continue;
            }
            if matches!(self.crash, Crash::AfterFirstEvent | Crash::Unframed) {
                gateway.feed(Event::FirstEvent { number: attempt.number });
            }
            let result = match self.crash {
                Crash::Unframed => AttemptResult::Unframed,
                Crash::Failure => AttemptResult::UnframedFailure,
                _ => AttemptResult::Broken,
            };
            gateway.end(attempt.number, result);
            self.take_actions(attempt.gateway);
        }
    }

    fn take_attempts(&mut self, is_due: impl Fn(&Attempt) -> bool) -> Vec<Attempt> {
        let paused = &self.paused;
        let (due, rest) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|attempt| !paused[attempt.gateway] && is_due(attempt));
        self.attempts = rest;
        due
    }

    fn take_actions(&mut self, index: usize) {
        for action in std::mem::take(&mut self.gateways[index].actions) {
            match action {
                Action::Dispatch(dispatch) => self.run(index, &dispatch),
                Action::Send { to, datagram } => {
                    let to = usize::from(to.port()) - 1;
                    // The seeds may be more than the gateways.
                    let is_lost = self.loss > 0.0 && self.rng.f64() < self.loss;
                    if self.parts.get(to) == Some(&self.parts[index]) && !is_lost {
                        self.datagrams.push((to, datagram));
                    }
                }
                action => self.gateways[index].actions.push(action),
            }
        }
    }

    /// Runs a dispatched request at its backend server.
    fn run(&mut self, gateway: usize, dispatch: &Dispatch) {
        let server = usize::from(dispatch.address.port()) - 9_000;
        let now = self.now;
        let is_this = |a: &&mut Attempt| (a.gateway, a.number) == (gateway, dispatch.number);
        // The connection of an earlier attempt was lost, and the request was requeued.
        let Some(attempt) = self.attempts.iter_mut().find(is_this) else { return };
        attempt.server = server;
        let (has_parts, is_sound) = (!attempt.request.parts.is_empty(), attempt.sound.is_some());
        let (first, events, end) = (TIME_TO_FIRST_EVENT, TIME_TO_EVENTS, TIME_TO_END);
        let is_down = self.servers[server].restarts_at.is_some();
        let popular = self.popular.filter(|p| p.fingerprint == attempt.request.fingerprint);
        let now = self.servers[server].frozen_until.unwrap_or(now);
        if (has_parts
            || popular.is_some()
            || matches!(self.crash, Crash::Unframed | Crash::Failure | Crash::Late))
            && is_down
        {
            if self.crash != Crash::Silent {
                self.refused.push((gateway, dispatch.number));
            }
            return;
        }
        if let Some(popular) = popular {
            attempt.first_event_at = popular.first_event.map(|time| now + time);
            attempt.events_at = attempt.first_event_at.map(|at| at + TIME_TO_CONTINUE);
            attempt.completes_at = Some(now + popular.end);
            return;
        }
        if is_sound {
            attempt.first_event_at = Some(now + first);
            attempt.events_at = Some(now + events);
            attempt.completes_at = Some(now + end);
            return;
        }
        if !has_parts && attempt.request.fingerprint != POISON {
            attempt.completes_at = Some(now + 100 * MS);
            return;
        }
        self.runs.push((now, gateway));
        let mut time_to_crash = TIME_TO_CRASH;
        if self.crash == Crash::Late {
            attempt.first_event_at = Some(now + first);
            attempt.events_at = Some(now + events);
            time_to_crash = TIME_TO_LATE_CRASH;
        }
        let server = &mut self.servers[server];
        if server.restarts_at.is_none() {
            server.crashes_at.get_or_insert(now + time_to_crash);
        }
    }
}

fn write_record(gateway: &mut TestGateway, server: usize, started: u64) {
    let record = record(MODEL, 9_000 + server as u16);
    gateway.add(&format!("r{server}"), gate::backends::Record { started: Some(started), ..record });
}
