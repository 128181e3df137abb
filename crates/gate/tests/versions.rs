//! Streams go on only at the software version of a backend server that began them: within one
//! response, in a later request of the caller at any gateway, and after the gateway that began them
//! is gone.

mod common;

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use common::{MODEL, MS, TestGateway, catalog, record, request, setup};
use gate::{
    Action, Event,
    action::Dispatch,
    event::{AttemptResult, RequestNumber},
    message::Datagram,
    refusal::Reason,
    request::{Request, Resumption},
};
use wire::time::Instant;

const FIRST_PORT: u16 = 9_000;
/// Time after which a process knows the versions that streams in progress may have begun at.
const STREAM_LIFE: Duration = Duration::from_secs(61);

/// A backend server and the version that its record states, if it runs.
#[derive(Clone, Debug)]
struct Server {
    version: Option<&'static str>,
    started: u64,
}

/// Gateways that exchange datagrams, and backend servers of several versions.
struct Fleet {
    gateways: Vec<TestGateway>,
    servers: Vec<Server>,
    now: Instant,
    /// Gateways whose datagrams are lost, in both directions.
    cut: Vec<bool>,
    paused: Vec<bool>,
    /// Gateways that have not read the latest records, and get no confirmation.
    behind: Vec<bool>,
    /// Gateways that read the store.
    reads: Vec<usize>,
    /// Share of the datagrams that are lost.
    loss: f64,
    datagrams: Vec<(usize, Datagram)>,
    /// Backend server of each open request, by gateway.
    running: HashMap<(usize, RequestNumber), usize>,
    restarts: u64,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(gateways: usize, versions: &[&'static str]) -> Fleet {
        let server = |version: &&'static str| Server { version: Some(*version), started: 1 };
        let mut fleet = Fleet {
            gateways: Vec::new(),
            servers: versions.iter().map(server).collect(),
            now: Instant(1_000_000),
            cut: vec![false; gateways],
            paused: vec![false; gateways],
            behind: vec![false; gateways],
            reads: Vec::new(),
            loss: 0.0,
            datagrams: Vec::new(),
            running: HashMap::new(),
            restarts: 0,
            rng: fastrand::Rng::with_seed(1),
        };
        for index in 0..gateways {
            let gateway = fleet.start(index);
            fleet.gateways.push(gateway);
        }
        fleet.advance(Duration::from_secs(2));
        fleet
    }

    fn start(&self, index: usize) -> TestGateway {
        let mut setup = setup(index as u16 + 1, self.restarts == 0);
        setup.process += 1_000 * self.restarts;
        setup.seeds = (1..=self.cut.len().min(3) as u16)
            .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
            .collect();
        let mut gateway = TestGateway::start(setup, self.now);
        gateway.feed(Event::Catalog(std::rc::Rc::new(catalog(1, &["k1", "k2"], 0.0))));
        for (index, server) in self.servers.iter().enumerate() {
            write_record(&mut gateway, index, server);
        }
        gateway.confirm();
        gateway
    }

    fn restart(&mut self, index: usize) {
        self.restarts += 1;
        self.running.retain(|(gateway, _), _| *gateway != index);
        self.paused[index] = false;
        self.gateways[index] = self.start(index);
    }

    /// Starts a backend server with a version in the place of another one, or ends it.
    fn replace(&mut self, server: usize, version: Option<&'static str>) {
        let broken: Vec<_> = self.running.iter().filter(|(_, at)| **at == server).collect();
        let broken: Vec<_> = broken.into_iter().map(|(open, _)| *open).collect();
        self.servers[server].started += 1;
        self.servers[server].version = version;
        for gateway in 0..self.gateways.len() {
            if self.behind[gateway] {
                continue;
            }
            self.gateways[gateway].now = self.now;
            write_record(&mut self.gateways[gateway], server, &self.servers[server]);
            self.take_actions(gateway);
        }
        for (gateway, number) in broken {
            self.lose_connection(gateway, number);
        }
    }

    fn send(&mut self, gateway: usize, request: Request) -> RequestNumber {
        self.gateways[gateway].now = self.now;
        let number = self.gateways[gateway].arrive(request);
        self.take_actions(gateway);
        number
    }

    /// Sends a request and its first event, and returns its number and version.
    fn begin(&mut self, gateway: usize, id: &str) -> (RequestNumber, &'static str) {
        let number = self.send(gateway, stream(id));
        let version = self.version_of(gateway, number).expect("dispatched");
        self.gateways[gateway].feed(Event::FirstEvent { number });
        self.advance(50 * MS);
        (number, version)
    }

    fn lose_connection(&mut self, gateway: usize, number: RequestNumber) {
        self.running.remove(&(gateway, number));
        self.gateways[gateway].now = self.now;
        self.gateways[gateway].end(number, AttemptResult::Broken);
        self.take_actions(gateway);
    }

    /// Returns the version at which an open request runs.
    fn version_of(&self, gateway: usize, number: RequestNumber) -> Option<&'static str> {
        self.servers[*self.running.get(&(gateway, number))?].version
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + 10 * MS;
            for (to, datagram) in std::mem::take(&mut self.datagrams) {
                if self.paused[to] {
                    self.datagrams.push((to, datagram));
                    continue;
                }
                self.gateways[to].now = self.now;
                self.gateways[to].feed_datagram(datagram);
                self.take_actions(to);
            }
            for index in std::mem::take(&mut self.reads) {
                self.gateways[index].now = self.now;
                self.read_store(index);
                self.take_actions(index);
            }
            for index in 0..self.gateways.len() {
                if self.paused[index] {
                    continue;
                }
                self.gateways[index].now = self.now;
                self.gateways[index].feed(Event::Tick);
                if self.now.0.is_multiple_of(500_000) && !self.behind[index] {
                    self.gateways[index].confirm();
                }
                self.take_actions(index);
            }
        }
    }

    /// Lets a gateway read the store.
    fn read_store(&mut self, index: usize) {
        for (server, state) in self.servers.iter().enumerate() {
            write_record(&mut self.gateways[index], server, state);
        }
        self.gateways[index].confirm();
        self.behind[index] = false;
    }

    fn take_actions(&mut self, index: usize) {
        for action in std::mem::take(&mut self.gateways[index].actions) {
            match action {
                Action::Dispatch(Dispatch { number, address, .. }) => {
                    let server = usize::from(address.port() - FIRST_PORT);
                    self.running.insert((index, number), server);
                }
                Action::Send { to, datagram } => {
                    let to = usize::from(to.port()) - 1;
                    let is_lost = self.cut[index] || self.cut[to] || self.rng.f64() < self.loss;
                    if !is_lost {
                        self.datagrams.push((to, datagram));
                    }
                }
                Action::ReadStore => self.reads.push(index),
                action => self.gateways[index].actions.push(action),
            }
        }
    }
}

impl Fleet {
    /// Sends a request for a new stream that is dispatched to a server.
    fn send_to(&mut self, gateway: usize, server: usize, id: &str) -> RequestNumber {
        for n in 0..100 {
            let number = self.send(gateway, stream(&format!("{id}-{n}")));
            if self.running.get(&(gateway, number)) == Some(&server) {
                return number;
            }
            self.gateways[gateway].feed(Event::Closed { number });
            self.take_actions(gateway);
        }
        panic!("no request is dispatched to server {server}");
    }

    /// Begins a stream at a server.
    fn begin_at(&mut self, gateway: usize, server: usize, id: &str) -> RequestNumber {
        let number = self.send_to(gateway, server, id);
        self.gateways[gateway].feed(Event::FirstEvent { number });
        self.advance(10 * MS);
        number
    }

    /// Lets a connection of a gateway to a server be refused, so that the server's run has ended. It
    /// accepts connections afterwards.
    fn refuse_connection(&mut self, gateway: usize, server: usize) {
        let number = self.send_to(gateway, server, &format!("refused-{server}"));
        self.gateways[gateway].feed(Event::Refused { number });
        self.take_actions(gateway);
        self.gateways[gateway].feed(Event::Closed { number });
        self.take_actions(gateway);
        let id = format!("r{server}");
        let backends = self.gateways[gateway].machine.backends();
        let found = backends.iter().find(|(_, backend)| backend.id == id);
        let backend = found.expect("listed").0;
        self.gateways[gateway].feed(Event::Probed { backend, reachable: true });
    }
}

fn write_record(gateway: &mut TestGateway, index: usize, server: &Server) {
    let id: Bytes = format!("r{index}").into();
    let record = server.version.map(|version| gate::backends::Record {
        version: version.into(),
        started: Some(server.started),
        slots: 20,
        ..record(MODEL, FIRST_PORT + index as u16)
    });
    gateway.feed(Event::Record { id, record });
}

/// Returns a request for a new stream that may be resumed.
fn stream(id: &str) -> Request {
    let fingerprint = id.bytes().fold(7, |hash: u64, byte| hash * 31 + u64::from(byte));
    Request { id: id.to_owned().into(), fingerprint, ..request("resumable") }
}

/// Returns a request that takes up the stream that began with the attempt `first`.
fn take_up(id: &str, first: Option<&str>) -> Request {
    let first_attempt = first.map(|first| Bytes::from(first.to_owned()));
    Request { resumption: Some(Resumption { first_attempt }), ..stream(id) }
}

/// Guards against a stream that goes on at another version within one response.
#[test]
fn a_broken_stream_goes_on_at_its_version() {
    for run in 0..20 {
        let mut fleet = Fleet::new(1, &["v1", "v2", "v2", "v2", "v1", "v2"]);
        let (number, version) = fleet.begin(0, &format!("a{run}"));
        fleet.lose_connection(0, number);
        assert_eq!(fleet.version_of(0, number), Some(version));
    }
}

/// Guards against a request without any event that is kept at one version.
#[test]
fn a_request_without_events_goes_anywhere() {
    let mut fleet = Fleet::new(1, &["v1", "v2"]);
    let number = fleet.send(0, stream("a"));
    let version = fleet.version_of(0, number).expect("dispatched");
    fleet.lose_connection(0, number);
    assert_ne!(fleet.version_of(0, number).expect("dispatched"), version);
}

/// Guards against a stream that waits, or goes on, where no server of its version is left.
#[test]
fn a_broken_stream_ends_at_once_without_a_server_of_its_version() {
    let mut fleet = Fleet::new(1, &["v1", "v2", "v2"]);
    fleet.replace(1, None);
    fleet.replace(2, None);
    let (number, version) = fleet.begin(0, "a");
    assert_eq!(version, "v1");
    fleet.replace(1, Some("v2"));
    fleet.lose_connection(0, number);
    assert_eq!(fleet.version_of(0, number), None);
    assert_eq!(fleet.gateways[0].reason(number), Some(Reason::Lost));
}

/// Guards against a silent stream that moves to another version.
#[test]
fn a_silent_stream_moves_only_to_its_version() {
    for run in 0..20 {
        let mut fleet = Fleet::new(1, &["v1", "v2", "v2", "v2", "v1", "v2"]);
        let (number, version) = fleet.begin(0, &format!("a{run}"));
        let server = fleet.running[&(0, number)];
        fleet.gateways[0].feed(Event::Unresponsive { number });
        fleet.take_actions(0);
        assert_eq!(fleet.version_of(0, number), Some(version));
        assert_ne!(fleet.running[&(0, number)], server, "another server of the version is free");
    }
}

/// Guards against streams of two versions after a server started again under its identifier with
/// another version, and served before its record said so.
#[test]
fn a_stream_of_a_run_without_a_record_goes_on_nowhere_else() {
    for is_taken_up in [false, true] {
        let mut fleet = Fleet::new(4, &["v1", "v1", "v1"]);
        fleet.advance(STREAM_LIFE);
        // A connection to the former run is refused, so it has ended.
        let number = fleet.send(0, stream("refused"));
        let server = fleet.running[&(0, number)];
        fleet.gateways[0].feed(Event::Refused { number });
        fleet.take_actions(0);
        fleet.gateways[0].feed(Event::Closed { number });
        let keys = fleet.gateways[0].machine.backends();
        let backend = keys.iter().find(|(_, b)| b.id == format!("r{server}")).expect("listed").0;
        fleet.gateways[0].feed(Event::Probed { backend, reachable: true });
        let streams = (0..30).map(|n| {
            let id = format!("a{n}");
            let (number, _) = fleet.begin(0, &id);
            (id, number, fleet.running[&(0, number)])
        });
        let (id, number, _) = streams.into_iter().find(|(_, _, at)| *at == server).expect("used");
        fleet.advance(100 * MS);
        match is_taken_up {
            false => {
                fleet.lose_connection(0, number);
                assert_eq!(fleet.version_of(0, number), None, "within its response");
                assert_eq!(fleet.gateways[0].reason(number), Some(Reason::Lost));
            }
            true => {
                for gateway in 0..4 {
                    let number = fleet.send(gateway, take_up(&format!("b{gateway}"), Some(&id)));
                    fleet.advance(Duration::from_secs(1));
                    // The same gateway may send it to the same run.
                    let at = fleet.running.get(&(gateway, number)).copied();
                    let expected = (gateway == 0).then_some(server);
                    assert_eq!(at, expected, "at gateway {gateway}");
                }
            }
        }
    }
}

/// When a connection was opened, and when a request was sent on it, relative to a refused connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Both before.
    Before,
    /// Opened before and sent after.
    Across,
    /// Both after.
    After,
}

/// Guards against a server whose streams go on nowhere any more, since it refused connections for a
/// moment; and against a run that counts as going on by a response that a later run may have sent.
#[test]
fn only_a_later_response_on_an_earlier_connection_shows_that_a_run_goes_on() {
    for evidence in [Evidence::Before, Evidence::Across, Evidence::After] {
        let mut fleet = Fleet::new(2, &["v1", "v1"]);
        fleet.advance(STREAM_LIFE);
        let (before, _) = fleet.begin(0, "before");
        let server = fleet.running[&(0, before)];
        fleet.advance(100 * MS);
        let opened_before = fleet.now;
        let early = fleet.send_to(0, server, "early");
        fleet.advance(10 * MS);
        fleet.refuse_connection(0, server);
        let began_between = fleet.begin_at(0, server, "between");
        fleet.advance(10 * MS);
        let opened_after = fleet.now;
        fleet.advance(10 * MS);
        let (number, connected_at) = match evidence {
            Evidence::Before => (early, opened_before),
            Evidence::Across => (fleet.send_to(0, server, "late"), opened_before),
            Evidence::After => (fleet.send_to(0, server, "late"), opened_after),
        };
        fleet.gateways[0].now = fleet.now;
        fleet.gateways[0].feed(Event::Responded { number, connected_at });
        fleet.take_actions(0);
        let goes_on = evidence == Evidence::Across;
        // What began before the refusal, and between it and the response, goes on at either server.
        for (id, number) in [("before", before), ("between", began_between)] {
            fleet.lose_connection(0, number);
            let at = fleet.running.get(&(0, number)).copied();
            let may_go_on = goes_on || id == "before";
            assert_eq!(at.is_some(), may_go_on, "{evidence:?}: {id} within its response");
        }
        let other = 1 - server;
        fleet.refuse_connection(0, other);
        let number = fleet.send(0, take_up("b", Some("before")));
        fleet.advance(100 * MS);
        let at = fleet.running.get(&(0, number)).copied();
        assert_eq!(at, goes_on.then_some(server), "{evidence:?}: taken up");
    }
}

/// Data of a stream: when the gateway began to wait for it after a refused connection, and when it
/// arrived, in milliseconds.
type Arrivals = &'static [(u64, u64)];

/// Guards against a run that counts as ended though its streams go on, and against one that counts as
/// going on by what had been sent before its end, or was sent again after a loss.
#[test]
fn only_later_progress_on_an_earlier_connection_shows_that_a_run_goes_on() {
    let cases: [(&str, bool, Arrivals, bool); 7] = [
        ("goes on", true, &[(1_020, 1_100), (1_300, 1_400)], true),
        ("goes on for long", true, &[(40, 80), (500, 600), (1_100, 1_200), (1_400, 1_500)], true),
        ("once", true, &[(1_020, 1_100)], false),
        ("a burst", true, &[(1_020, 1_100), (1_110, 1_120), (1_130, 1_140)], false),
        ("too early", true, &[(10, 40), (400, 500), (800, 900)], false),
        ("waited from before", true, &[(900, 1_500), (950, 1_900)], false),
        ("opened after", false, &[(1_020, 1_100), (1_300, 1_400), (1_700, 1_800)], false),
    ];
    for (case, is_earlier, arrivals, goes_on) in cases {
        let mut fleet = Fleet::new(1, &["v1", "v1"]);
        fleet.advance(STREAM_LIFE);
        let opened_before = fleet.now;
        let (number, _) = fleet.begin(0, "running");
        let server = fleet.running[&(0, number)];
        fleet.refuse_connection(0, server);
        let refused_at = fleet.now;
        let connected_at = if is_earlier { opened_before } else { refused_at + 10 * MS };
        for (since, at) in arrivals {
            let (since, at) = (Duration::from_millis(*since), Duration::from_millis(*at));
            fleet.advance((refused_at + at).since(fleet.now));
            let waiting_since = refused_at + since;
            fleet.gateways[0].now = fleet.now;
            fleet.gateways[0].feed(Event::Progressed { number, connected_at, waiting_since });
        }
        fleet.refuse_connection(0, 1 - server);
        let taken_up = fleet.send(0, take_up("b", Some("running")));
        fleet.advance(100 * MS);
        let at = fleet.running.get(&(0, taken_up)).copied();
        assert_eq!(at, goes_on.then_some(server), "{case}");
    }
}

/// Guards against a stream of a run without a record that goes on elsewhere, since the state of the
/// store, which doesn't have that run, is confirmed before the gateways that know it have replied.
#[test]
fn a_confirmation_does_not_replace_the_replies_of_other_gateways() {
    let mut fleet = Fleet::new(4, &["v1", "v1", "v1"]);
    fleet.advance(STREAM_LIFE);
    fleet.refuse_connection(0, 0);
    let ids = (0..30).map(|n| format!("a{n}"));
    let began = ids.map(|id| {
        let (number, _) = fleet.begin(0, &id);
        (id, fleet.running[&(0, number)])
    });
    let began: Vec<(String, usize)> = began.collect();
    let (id, _) = began.iter().find(|(_, at)| *at == 0).expect("the next run is used");
    fleet.advance(100 * MS);
    for gateway in 1..4 {
        let number = fleet.send(gateway, take_up(&format!("b{gateway}"), Some(id)));
        fleet.gateways[gateway].confirm();
        fleet.take_actions(gateway);
        fleet.advance(Duration::from_secs(1));
        assert_eq!(fleet.version_of(gateway, number), None, "at gateway {gateway}");
        assert_eq!(fleet.gateways[gateway].reason(number), Some(Reason::NoVersion));
    }
}

/// Guards against a stream that goes on at another server which started again too: nobody knows the
/// version of either before its record is read.
#[test]
fn streams_of_two_runs_without_a_record_are_kept_apart() {
    for is_taken_up in [false, true] {
        let mut fleet = Fleet::new(1, &["v1", "v1"]);
        fleet.advance(STREAM_LIFE);
        for server in 0..2 {
            fleet.refuse_connection(0, server);
        }
        let (number, _) = fleet.begin(0, "a");
        fleet.advance(100 * MS);
        let server = fleet.running[&(0, number)];
        if is_taken_up {
            for n in 0..10 {
                let number = fleet.send(0, take_up(&format!("b{n}"), Some("a")));
                fleet.advance(100 * MS);
                assert_eq!(fleet.running.get(&(0, number)).copied(), Some(server), "taken up");
            }
        } else {
            fleet.lose_connection(0, number);
            assert_eq!(fleet.version_of(0, number), None, "within its response");
        }
    }
}

/// Guards against streams that callers take up at another version, at any gateway, also after the
/// gateway that began them is gone.
#[test]
fn a_stream_is_taken_up_at_its_version() {
    for gateways in [1, 2, 4, 28] {
        for run in 0..6 {
            let mut fleet = Fleet::new(gateways, &["v1", "v2", "v2", "v1", "v2", "v1"]);
            let first = run % gateways;
            let (number, version) = fleet.begin(first, "a");
            let is_killed = run % 2 == 1 && gateways > 1;
            match is_killed {
                true => fleet.restart(first),
                false => fleet.lose_connection(first, number),
            }
            fleet.advance(100 * MS);
            for gateway in 0..gateways {
                let next = fleet.send(gateway, take_up(&format!("b{gateway}"), Some("a")));
                fleet.advance(200 * MS);
                let at = fleet.version_of(gateway, next);
                let name = format!("{gateways} gateways, at {gateway} from {first}");
                assert_eq!(at, Some(version), "{name}");
            }
        }
    }
}

/// Guards against the versions of streams that are forgotten while all gateways restart in turn.
#[test]
fn versions_survive_rolling_restarts() {
    let mut fleet = Fleet::new(4, &["v1", "v2", "v2", "v1"]);
    let streams: Vec<_> =
        (0..8).map(|n| (format!("a{n}"), fleet.begin(n % 4, &format!("a{n}")).1)).collect();
    for gateway in 0..4 {
        fleet.restart(gateway);
        fleet.advance(Duration::from_millis(1300));
    }
    for (n, (id, version)) in streams.iter().enumerate() {
        let number = fleet.send(n % 4, take_up(&format!("b{n}"), Some(id)));
        fleet.advance(200 * MS);
        assert_eq!(fleet.version_of(n % 4, number), Some(*version), "{id}");
    }
}

/// Guards against the version of a stream that is lost with two gateways.
#[test]
fn versions_survive_two_gateways() {
    for other in 1..9 {
        let mut fleet = Fleet::new(10, &["v1", "v2", "v2", "v1"]);
        let (_, version) = fleet.begin(0, "a");
        fleet.advance(50 * MS);
        fleet.restart(0);
        fleet.restart(other);
        let number = fleet.send(9, take_up("b", Some("a")));
        fleet.advance(200 * MS);
        assert_eq!(fleet.version_of(9, number), Some(version), "lost with {other}");
    }
}

/// Guards against a stream that goes on anywhere since nobody knows which version began it, and
/// against a caller that waits for that.
#[test]
fn a_stream_of_an_unknown_version_is_refused_at_once() {
    for first in [Some("unknown"), None] {
        let mut fleet = Fleet::new(4, &["v1", "v2"]);
        let number = fleet.send(1, take_up("b", first));
        fleet.advance(300 * MS);
        assert_eq!(fleet.version_of(1, number), None);
        let refusal = fleet.gateways[1].refused(number).expect("refused");
        assert_eq!((refusal.reason, refusal.reason.status()), (Reason::NoVersion, 503));
    }
}

/// Guards against streams of an unknown version that are refused although all servers have had one
/// version for longer than a stream takes.
#[test]
fn a_stream_of_an_unknown_version_goes_on_where_there_is_one() {
    let mut fleet = Fleet::new(2, &["v1", "v1"]);
    let number = fleet.send(0, take_up("a", Some("unknown")));
    fleet.advance(300 * MS);
    assert_eq!(fleet.version_of(0, number), Some("v1"), "there is no earlier process");
    fleet.restart(0);
    fleet.restart(1);
    fleet.advance(Duration::from_secs(2));
    let number = fleet.send(0, take_up("b", Some("unknown")));
    fleet.advance(300 * MS);
    assert_eq!(fleet.version_of(0, number), None, "an earlier process may have begun it elsewhere");
    fleet.advance(STREAM_LIFE);
    let number = fleet.send(0, take_up("c", Some("unknown")));
    fleet.advance(300 * MS);
    assert_eq!(fleet.version_of(0, number), Some("v1"));
    fleet.replace(1, Some("v2"));
    fleet.advance(Duration::from_secs(1));
    fleet.replace(1, Some("v1"));
    let number = fleet.send(0, take_up("d", Some("unknown")));
    fleet.advance(300 * MS);
    assert_eq!(fleet.version_of(0, number), None, "it may have begun at v2");
}

/// Returns gateways that have known one version for longer than a stream takes, and that a second
/// version joins while the last of them reads nothing.
fn fleet_with_gateway_behind(gateways: usize) -> Fleet {
    let mut fleet = Fleet::new(gateways, &["v1", "v1", "v2", "v2"]);
    fleet.replace(2, None);
    fleet.replace(3, None);
    fleet.advance(STREAM_LIFE + Duration::from_secs(1));
    fleet.behind[gateways - 1] = true;
    fleet.replace(2, Some("v2"));
    fleet.replace(3, Some("v2"));
    fleet.replace(0, None);
    fleet
}

/// Guards against a stream that a gateway which was out of step for a moment joins from two versions:
/// it knows no other version, and the gateways that know one are gone.
#[test]
fn a_gateway_that_is_behind_joins_no_versions() {
    for is_paused in [false, true] {
        let mut fleet = fleet_with_gateway_behind(4);
        fleet.paused[3] = is_paused;
        let begun: Vec<_> = (0..12)
            .map(|n| {
                let (number, _) = fleet.begin(n % 3, &format!("a{n}"));
                let server = fleet.running[&(n % 3, number)];
                fleet.lose_connection(n % 3, number);
                server
            })
            .collect();
        fleet.paused[3] = false;
        fleet.cut[3] = true;
        let mut take_ups = Vec::new();
        for (n, first) in begun.into_iter().enumerate() {
            let number = fleet.send(3, take_up(&format!("b{n}"), Some(&format!("a{n}"))));
            take_ups.push((number, first));
        }
        fleet.advance(Duration::from_secs(1));
        let mut refused = 0;
        for (number, first) in take_ups {
            // The first two servers have one version, the others have another.
            let joins = |server: &&usize| (**server < 2) != (first < 2);
            let joined = fleet.running.get(&(3, number)).filter(joins);
            assert_eq!(joined, None, "begun at {first}, paused: {is_paused}");
            refused += usize::from(fleet.gateways[3].reason(number) == Some(Reason::NoVersion));
        }
        assert!(refused > 0, "it kept some streams of the others itself, not all");
    }
}

/// Guards against a stream that goes on at the only version which a gateway knows, although other
/// gateways know that it began at another one.
#[test]
fn a_gateway_that_is_behind_asks_the_others_first() {
    for n in 0..8 {
        let mut fleet = fleet_with_gateway_behind(4);
        fleet.replace(1, None);
        let id = format!("a{n}");
        let (number, version) = fleet.begin(0, &id);
        assert_eq!(version, "v2");
        fleet.lose_connection(0, number);
        let number = fleet.send(3, take_up("b", Some(&id)));
        fleet.advance(Duration::from_secs(1));
        let server = fleet.running.get(&(3, number));
        assert!(server.is_none_or(|server| [2, 3].contains(server)), "{id}: {server:?}");
        if fleet.behind[3] {
            fleet.read_store(3);
        }
        let number = fleet.send(3, take_up("c", Some(&id)));
        fleet.advance(Duration::from_secs(1));
        assert_eq!(fleet.version_of(3, number), Some("v2"), "{id}");
    }
}

/// Guards against a gateway that counts its view as continuous over a time in which it read nothing,
/// since a read comes before its next timer: a version that joined and left meanwhile is unknown.
#[test]
fn a_gateway_that_read_nothing_for_a_while_knows_no_earlier_version() {
    let mut fleet = fleet_with_gateway_behind(2);
    fleet.paused[1] = true;
    let (number, _) = fleet.begin(0, "a");
    fleet.lose_connection(0, number);
    fleet.advance(Duration::from_secs(4));
    fleet.replace(2, None);
    fleet.replace(3, None);
    fleet.cut[1] = true;
    fleet.gateways[1].now = fleet.now;
    fleet.read_store(1);
    fleet.paused[1] = false;
    let number = fleet.send(1, take_up("b", Some("a")));
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.version_of(1, number), None, "it may have begun at v2");
}

/// Guards against a taken-up stream that waits although the last server of its version has left.
#[test]
fn a_waiting_stream_is_refused_once_its_version_is_gone() {
    let mut fleet = Fleet::new(1, &["v1", "v2"]);
    let (number, version) = fleet.begin(0, "a");
    let server = fleet.running[&(0, number)];
    let others = (0..19).map(|n| take_up(&format!("b{n}"), Some("a")));
    let others: Vec<_> = others.map(|request| fleet.send(0, request)).collect();
    assert!(others.iter().all(|other| fleet.version_of(0, *other) == Some(version)));
    let waiting = fleet.send(0, take_up("c", Some("a")));
    assert_eq!(fleet.version_of(0, waiting), None, "all slots are taken");
    assert_eq!(fleet.gateways[0].reason(waiting), None);
    fleet.servers[server].version = None;
    write_record(&mut fleet.gateways[0], server, &fleet.servers[server]);
    assert_eq!(fleet.gateways[0].reason(waiting), Some(Reason::NoVersion));
}

/// Guards against a version that isn't known since a datagram was lost or a gateway was paused.
#[test]
fn versions_are_known_despite_lost_datagrams_and_pauses() {
    let mut fleet = Fleet::new(4, &["v1", "v2", "v2", "v1"]);
    fleet.loss = 0.1;
    fleet.paused[3] = true;
    let mut known = 0;
    for n in 0..40 {
        let id = format!("a{n}");
        let (_, version) = fleet.begin(n % 3, &id);
        let number = fleet.send((n + 1) % 3, take_up(&format!("b{n}"), Some(&id)));
        fleet.advance(200 * MS);
        let at = fleet.version_of((n + 1) % 3, number);
        assert!(at.is_none() || at == Some(version), "{id}");
        known += usize::from(at.is_some());
        fleet.gateways[(n + 1) % 3].feed(Event::Closed { number });
    }
    assert!(known >= 36, "{known} of 40 went on");
    fleet.paused[3] = false;
    fleet.advance(200 * MS);
    let number = fleet.send(3, take_up("c", Some("a39")));
    fleet.advance(200 * MS);
    assert!(fleet.version_of(3, number).is_some(), "it asks the others");
}

/// Number of random schedules in CI; see `stand::schedules`.
const SCHEDULES: u64 = 40;

struct Begun {
    id: String,
    version: &'static str,
    at: Instant,
    /// Gateway and number of the request that brings its events.
    open: Option<(usize, RequestNumber)>,
}

/// Plays streams, callers that take them up anywhere, servers of several versions that come and go,
/// and gateways that restart, pause and are cut off. Returns the streams that hold events of two
/// versions, and of those taken up at gateways that were not disturbed while two servers of their
/// version ran, how many there were and how many went on.
fn run_schedule(seed: u64) -> (usize, usize, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let gateways = rng.usize(1..9);
    let names = ["v1", "v1.1", "v2"];
    let versions: Vec<&'static str> = (0..rng.usize(4..14)).map(|n| names[n % 3]).collect();
    let mut fleet = Fleet::new(gateways, &versions);
    fleet.rng.seed(seed);
    fleet.loss = [0.0, 0.02][rng.usize(..2)];
    let (mut begun, mut mixed, mut taken, mut went_on) = (Vec::<Begun>::new(), 0, 0, 0);
    let mut disturbed_at = fleet.now;
    for step in 0..150 {
        let gateway = rng.usize(..gateways);
        let server = rng.usize(..versions.len());
        match rng.u32(..60) {
            0 => fleet.restart(gateway),
            1 => fleet.paused[gateway] = true,
            2 => fleet.cut[gateway] = true,
            3..8 => {
                fleet.paused.fill(false);
                fleet.cut.fill(false);
            }
            8 | 9 => fleet.replace(server, None),
            10..14 => fleet.replace(server, Some(names[rng.usize(..3)])),
            _ => {}
        }
        let is_calm = !fleet.paused.contains(&true) && !fleet.cut.contains(&true);
        if !is_calm {
            disturbed_at = fleet.now;
        }
        let mut check = |fleet: &Fleet, stream: &mut Begun| {
            let Some((gateway, number)) = stream.open else { return };
            let at = fleet.version_of(gateway, number);
            mixed += usize::from(at.is_some_and(|at| at != stream.version));
            if at.is_none() {
                stream.open = None;
            }
        };
        begun.iter_mut().for_each(|stream| check(&fleet, stream));
        if fleet.paused[gateway] {
            fleet.advance(100 * MS);
            continue;
        }
        let old = begun.iter_mut().filter(|stream| fleet.now.since(stream.at) < STREAM_LIFE / 4);
        let old: Vec<&mut Begun> = old.collect();
        if rng.bool() && !old.is_empty() {
            let choice = rng.usize(..old.len());
            let stream = old.into_iter().nth(choice).expect("a stream");
            let request = take_up(&format!("t{step}"), Some(&stream.id));
            let number = fleet.send(gateway, request);
            fleet.advance(200 * MS);
            stream.open = Some((gateway, number));
            let is_on = fleet.version_of(gateway, number).is_some();
            check(&fleet, stream);
            let same = fleet.servers.iter().filter(|s| s.version == Some(stream.version)).count();
            let was_calm = fleet.now.since(disturbed_at) > Duration::from_secs(3);
            if is_calm && was_calm && same >= 2 {
                taken += 1;
                went_on += usize::from(is_on);
            }
        } else {
            let id = format!("s{step}");
            let number = fleet.send(gateway, stream(&id));
            if let Some(version) = fleet.version_of(gateway, number) {
                fleet.gateways[gateway].feed(Event::FirstEvent { number });
                let (at, open) = (fleet.now, Some((gateway, number)));
                begun.push(Begun { id, version, at, open });
            }
            fleet.advance(100 * MS);
        }
    }
    (mixed, taken, went_on)
}

/// Guards against mixed versions, and streams that don't go on, in any order of events.
#[test]
fn no_stream_mixes_versions_in_random_schedules() {
    let (count, first) = stand::schedules::read(SCHEDULES, 1);
    let (mut all_taken, mut all_went_on) = (0, 0);
    for seed in first..first + count {
        let (mixed, taken, went_on) = run_schedule(seed);
        assert_eq!(mixed, 0, "seed {seed}: streams hold events of two versions");
        (all_taken, all_went_on) = (all_taken + taken, all_went_on + went_on);
    }
    println!("{all_went_on} of {all_taken} went on");
    assert!(all_went_on * 2 >= all_taken, "{all_went_on} of {all_taken} went on");
}

/// Publishes a configuration that splits the route of streams between services.
fn split_route(gateway: &mut TestGateway, version: u64, services: &[&str]) {
    let mut catalog = catalog(version, &["k1"], 0.0);
    let route = catalog.routes.iter_mut().find(|route| &route.name[..] == b"resumable");
    let split = services.iter().map(|service| (Bytes::from((*service).to_owned()), 1));
    route.expect("a route").split = split.collect();
    gateway.feed(Event::Catalog(std::rc::Rc::new(catalog)));
    gateway.confirm();
}

/// Guards against a stream that goes on at another service, which may have the same version, and
/// against one that goes on where the configuration doesn't allow it any more.
#[test]
fn a_stream_is_taken_up_at_its_service() {
    let mut gateway = TestGateway::with_backends(MODEL, 2);
    gateway.add("other", record("others", 9_100));
    split_route(&mut gateway, 2, &[MODEL, "others"]);
    for n in 0..20 {
        let id = format!("a{n}");
        let number = gateway.arrive(stream(&id));
        let first = gateway.dispatched(number).expect("dispatched").id;
        gateway.feed(Event::FirstEvent { number });
        gateway.feed(Event::Closed { number });
        let number = gateway.arrive(take_up("b", Some(&id)));
        let again = gateway.dispatched(number).expect("dispatched").id;
        assert_eq!(first == "other", again == "other");
        gateway.feed(Event::Closed { number });
    }
    let number = gateway.arrive(stream("c"));
    let is_other = gateway.dispatched(number).expect("dispatched").id == "other";
    gateway.feed(Event::FirstEvent { number });
    split_route(&mut gateway, 3, if is_other { &[MODEL] } else { &["others"] });
    let number = gateway.arrive(take_up("d", Some("c")));
    assert_eq!(gateway.reason(number), Some(Reason::NoVersion));
}
