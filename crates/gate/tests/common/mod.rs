//! A gateway with a configuration, backend servers and a clock that the test sets.

#![allow(dead_code, reason = "each test file uses a part of the helper")]

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use conf::gateway::Bounds;
use gate::{
    Action, Event, Machine,
    action::Dispatch,
    backends::Record,
    catalog::{Account, Catalog, Limits, Route, RouteKind, Service},
    event::{AttemptResult, RequestNumber},
    machine::Setup,
    message::Datagram,
    refusal::{Reason, Refusal},
    request::{Request, Tokens},
};
use wire::time::Instant;

pub mod cluster;
pub mod engines;
pub mod limited;
pub mod plain;

pub const MS: Duration = Duration::from_millis(1);
pub const MODEL: &str = "engines";
pub const PLAIN: &str = "plain";

/// A gateway under test.
pub struct TestGateway {
    pub machine: Machine,
    pub now: Instant,
    /// Actions that the test has not taken yet.
    pub actions: Vec<Action>,
    next: RequestNumber,
}

pub fn setup(own: u16, first_start: bool) -> Setup {
    Setup {
        process: u64::from(own),
        address: Some(SocketAddr::from(([127, 0, 0, 1], own))),
        availability_zone: "a".into(),
        seeds: Vec::new(),
        bounds: Bounds {
            retry_slack: 54.0,
            quota_overage: 0.25,
            quota_slack: 140_000.0,
            ..Bounds::default()
        },
        hedging: None,
        first_start,
        seed: 1,
    }
}

fn route(prefix: &str, kind: RouteKind, service: &str, tier: u32, attempts: u32) -> Route {
    Route {
        name: prefix.to_owned().into(),
        host: "h".into(),
        prefix: format!("/{prefix}/").into(),
        kind,
        timeout: Duration::from_secs(15),
        objective: Duration::from_millis(800),
        max_pause: Duration::from_millis(400),
        tier,
        split: vec![(service.to_owned().into(), 1)],
        max_attempts: attempts,
        public: prefix == "public",
        resumable: prefix == "resumable",
    }
}

/// Returns a configuration with the API keys `k1` and `k2` of one account.
pub fn catalog(version: u64, keys: &[&str], rate: f64) -> Catalog {
    let account = Account {
        name: "casa".into(),
        tier: Some(1),
        rate,
        burst: rate,
        counts_tokens: true,
        default_tokens: 100.0,
    };
    let service = |tokens_per_event| Service { tokens_per_event, warm_up: None };
    Catalog {
        version,
        routes: vec![
            route("essay", RouteKind::Stream, MODEL, 0, 1),
            route("resumable", RouteKind::Stream, MODEL, 1, 2),
            route("tag", RouteKind::Stream, MODEL, 2, 1),
            route("bid", RouteKind::Unsafe, PLAIN, 2, 1),
            route("status", RouteKind::Safe, PLAIN, 2, 2),
            route("public", RouteKind::Safe, PLAIN, 2, 2),
        ],
        services: HashMap::from([(MODEL.into(), service(Some(5))), (PLAIN.into(), service(None))]),
        accounts: vec![account],
        requires_api_key: true,
        api_keys: keys.iter().map(|key| (Bytes::from((*key).to_owned()), 0)).collect(),
        limits: Limits { max_body_bytes: 1 << 20 },
    }
}

pub fn record(service: &str, port: u16) -> Record {
    Record {
        service: service.to_owned().into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "a".into(),
        version: "v1".into(),
        slots: 2,
        draining: false,
        started: Some(1),
        warm_up_left: None,
    }
}

pub fn request(path: &str) -> Request {
    let is_model = ["essay", "resumable", "tag"].contains(&path);
    Request {
        id: "id".into(),
        host: "h".into(),
        path: format!("/{path}/x").into(),
        api_key: Some("k1".into()),
        deadline: Some(Duration::from_secs(10)),
        tokens: is_model.then_some(Tokens { prompt: 1_000, max_output: 100 }),
        fingerprint: 7,
        ..Request::default()
    }
}

impl TestGateway {
    /// Returns a gateway with a configuration that was just confirmed, without backend servers.
    pub fn new() -> TestGateway {
        let now = Instant(1_000_000);
        let machine = Machine::new(now, setup(1, true));
        let mut gateway = TestGateway { machine, now, actions: Vec::new(), next: 0 };
        gateway.feed(Event::Catalog(Rc::new(catalog(1, &["k1", "k2"], 0.0))));
        gateway.confirm();
        gateway
    }

    /// Returns a gateway without configuration.
    pub fn empty(setup: Setup) -> TestGateway {
        TestGateway::start(setup, Instant(1_000_000))
    }

    /// Returns a gateway without configuration whose process starts now.
    pub fn start(setup: Setup, now: Instant) -> TestGateway {
        TestGateway { machine: Machine::new(now, setup), now, actions: Vec::new(), next: 0 }
    }

    pub fn with_backends(service: &str, count: u16) -> TestGateway {
        let mut gateway = TestGateway::new();
        for n in 0..count {
            gateway.add(&format!("r{n}"), record(service, 9_000 + n));
        }
        gateway
    }

    pub fn add(&mut self, id: &str, record: Record) {
        self.feed(Event::Record { id: id.to_owned().into(), record: Some(record) });
    }

    pub fn confirm(&mut self) {
        let (at, entries) = (self.now, Vec::new());
        self.feed(Event::StoreRead { at, from: Some(1), to: 1, entries });
    }

    pub fn feed(&mut self, event: Event) {
        self.machine.handle(self.now, event, &mut self.actions);
    }

    /// Requests a planned stop.
    #[allow(dead_code, reason = "not every test uses it")]
    pub fn stop(&mut self) {
        self.feed(Event::Stop { requested_at: self.now });
    }

    pub fn feed_datagram(&mut self, datagram: Datagram) {
        self.feed(match datagram {
            Datagram::State(message) => Event::StateReceived(*message),
            Datagram::Loads(loads) => Event::LoadsReceived(loads),
            Datagram::PlainLoads(loads) => Event::PlainLoadsReceived(loads),
            Datagram::Query(query) => Event::QueryReceived(query),
            Datagram::Reply(reply) => Event::ReplyReceived(reply),
            Datagram::Suspects(reports) => Event::SuspectsReceived(reports),
            Datagram::RateLimits(reports) => Event::RateLimitsReceived(reports),
            Datagram::Demands(demands) => Event::DemandsReceived(demands),
            Datagram::Permits(permits) => Event::PermitsReceived(permits),
            Datagram::Streams(reports) => Event::StreamsReceived(reports),
            Datagram::WarmUps(reports) => Event::WarmUpsReceived(reports),
            Datagram::StreamQuery(query) => Event::StreamQueryReceived(query),
            Datagram::Announcement(announcement) => Event::AnnouncementReceived(announcement),
        });
    }

    /// Advances the clock and feeds the ticks.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            self.feed(Event::Tick);
        }
    }

    /// Advances the clock while reads of the store fail.
    pub fn advance_without_store(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.feed(Event::StoreUnreachable);
            self.advance((500 * MS).min(end.since(self.now)));
        }
    }

    /// Advances the clock while the store confirms the state.
    pub fn advance_confirmed(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.advance((100 * MS).min(end.since(self.now)));
            self.confirm();
        }
    }

    pub fn arrive(&mut self, request: Request) -> RequestNumber {
        self.next += 1;
        self.feed(Event::Arrived { number: self.next, request });
        self.next
    }

    /// Removes and returns the dispatch of a request.
    pub fn dispatched(&mut self, number: RequestNumber) -> Option<Dispatch> {
        let at = self
            .actions
            .iter()
            .position(|a| matches!(a, Action::Dispatch(d) if d.number == number))?;
        let Action::Dispatch(dispatch) = self.actions.remove(at) else { return None };
        Some(dispatch)
    }

    /// Removes and returns the refusal of a request.
    pub fn refused(&mut self, number: RequestNumber) -> Option<Refusal> {
        let refuses = |action: &Action| matches!(action, Action::Refuse { number: refused, .. } if *refused == number);
        let at = self.actions.iter().position(refuses)?;
        let Action::Refuse { refusal, .. } = self.actions.remove(at) else { return None };
        Some(refusal)
    }

    pub fn reason(&mut self, number: RequestNumber) -> Option<Reason> {
        self.refused(number).map(|refusal| refusal.reason)
    }

    pub fn end(&mut self, number: RequestNumber, result: AttemptResult) {
        self.feed(Event::Ended { number, result });
    }
}
