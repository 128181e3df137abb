//! Settings, hosts, requests and a fixture that the tests share.
#![allow(dead_code)]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use conf::tree;
use entry::{Action, Event, IncomingRequest, Machine, Setup};
use wire::{
    Frame, frame, host, id, offer,
    outcome::{Outcome, Reason, Refusal, Step},
    request, tier,
    time::Instant,
};

/// An offer: the request and the agent's address.
pub type SentOffer = (id::Request, SocketAddr);

fn route(
    path: &'static str,
    model: &'static str,
    idempotent: bool,
    require_key: bool,
) -> tree::Route {
    tree::Route {
        path: path.into(),
        model: model.into(),
        kind: if model.is_empty() { request::Kind::Service } else { request::Kind::Model },
        pool: "appraisal".into(),
        tier: "normal".into(),
        idempotent,
        require_key,
        max_body_bytes: 10_000,
    }
}

pub fn tree() -> tree::Tree {
    let ms = Duration::from_millis;
    let pool = tree::Pool {
        spread: 2,
        hedge: ms(20),
        grant_ttl: ms(100),
        retention: ms(2000),
        orphan_ttl: ms(500),
        key_ttl: ms(60_000),
        resume_limit: ms(1000),
        max_running: 16,
        max_prompt_tokens: 100_000,
        short_tokens: 500,
        short_share_percent: 20,
        prefill_tokens_per_s: 10_000,
        max_queued_tokens: 1_000_000,
        max_queued: 100,
        max_ejected_percent: 34,
        quarantine: ms(60_000),
        checks_fence: false,
    };
    let tier =
        |rank| tree::Tier { rank: tier::Tier(rank), deadline: ms(2000), max_deadline: ms(5000) };
    let account = |top_tier: &'static str, max_open| {
        let (api_key_sha256, top_tier) = ("00".into(), top_tier.into());
        tree::Account { api_key_sha256, top_tier, share: 1, max_open }
    };
    let routes = [
        ("chat", route("/v1/chat/completions", "large-1", true, false)),
        ("floor", route("/floor", "", true, false)),
        ("bids", route("/floor/bids", "", false, true)),
        ("notes", route("/floor/notes", "", false, false)),
    ];
    tree::Tree {
        tiers: [("urgent".into(), tier(0)), ("normal".into(), tier(1)), ("batch".into(), tier(2))]
            .into(),
        accounts: [("large".into(), account("urgent", 99)), ("small".into(), account("normal", 2))]
            .into(),
        routes: routes.into_iter().map(|(name, route)| (name.into(), route)).collect(),
        pools: [("appraisal".into(), pool)].into(),
        ..tree::Tree::default()
    }
}

pub fn address(agent: u8) -> SocketAddr {
    ([10, 0, 0, agent], 7000).into()
}

pub fn hosts(count: u8) -> Vec<host::Record> {
    let record = |agent| host::Record {
        host: format!("replica-{agent}").into(),
        role: host::Role::Agent,
        address: address(agent),
        availability_zone: "zone-1".into(),
        pool: "appraisal".into(),
        speed: 100,
        state: host::State::Live,
    };
    (0..count).map(record).collect()
}

pub fn incoming(caller: u64) -> IncomingRequest {
    IncomingRequest {
        caller,
        method: "POST".into(),
        path: "/v1/chat/completions?trace=1".into(),
        content_type: "application/json".into(),
        model: "large-1".into(),
        account: "large".into(),
        authenticated: true,
        tier: None,
        deadline: None,
        idempotency_key: None,
        prompt_tokens: 100,
        output_tokens: 100,
        body_len: 100,
        body_hash: caller,
        prefix_hash: caller,
    }
}

pub fn service_request(caller: u64, path: &'static str, key: Option<&str>) -> IncomingRequest {
    let idempotency_key = key.map(|key| Bytes::copy_from_slice(key.as_bytes()));
    IncomingRequest { path: path.into(), model: "".into(), idempotency_key, ..incoming(caller) }
}

pub fn agent_refusal(outcome: Outcome, reason: Reason) -> Refusal {
    Refusal {
        outcome,
        step: Step::QueuedAtAgent,
        reason,
        peer: "replica".into(),
        retry_after: None,
    }
}

/// A state machine with a clock in milliseconds.
pub struct Fixture {
    pub machine: Machine,
    pub now: u64,
}

impl Fixture {
    pub fn new(tree: tree::Tree, agents: u8) -> Fixture {
        let (host, availability_zone) = ("entry-1".into(), "zone-1".into());
        let setup = Setup { process: id::Process(1), host, availability_zone, seed: 7 };
        let mut fixture = Fixture { machine: Machine::new(setup), now: 1000 };
        for event in [Event::Settings(tree.into()), Event::Hosts(hosts(agents)), Event::Ready] {
            fixture.handle(event);
        }
        fixture
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.machine.handle(Instant(self.now * 1000), event, &mut actions);
        actions
    }

    pub fn advance(&mut self, ms: u64) -> Vec<Action> {
        self.now += ms;
        self.handle(Event::Tick)
    }

    pub fn receive(&mut self, incoming: IncomingRequest) -> Vec<Action> {
        self.handle(Event::Request(incoming))
    }

    /// Sends a request that the machine offers to an agent, and returns the offer.
    pub fn open_request(&mut self, incoming: IncomingRequest) -> SentOffer {
        find_offer(&self.receive(incoming)).expect("an offer")
    }

    pub fn reply_ready(&mut self, offer: SentOffer, grant: id::Grant) -> Vec<Action> {
        let reply = offer::Reply::Ready { grant, ttl: Duration::from_millis(100) };
        self.handle(Event::OfferReply { request: offer.0, peer: offer.1, reply })
    }

    pub fn reply_refused(
        &mut self,
        offer: SentOffer,
        outcome: Outcome,
        reason: Reason,
    ) -> Vec<Action> {
        let reply = offer::Reply::Refused(agent_refusal(outcome, reason));
        self.handle(Event::OfferReply { request: offer.0, peer: offer.1, reply })
    }

    pub fn receive_frame(
        &mut self,
        offer: SentOffer,
        grant: id::Grant,
        body: frame::Body,
    ) -> Vec<Action> {
        let frame = Frame { request: offer.0, grant, body };
        self.handle(Event::Frame { request: offer.0, peer: offer.1, frame })
    }

    /// Sends a request, has it committed and starts its response.
    pub fn start_response(&mut self, incoming: IncomingRequest, grant: id::Grant) -> SentOffer {
        let offer = self.open_request(incoming);
        self.reply_ready(offer, grant);
        self.receive_frame(offer, grant, started());
        offer
    }
}

pub fn grant(seq: u64) -> id::Grant {
    id::Grant { process: id::Process(99), seq }
}

pub fn started() -> frame::Body {
    frame::Body::Started { status: 200, content_type: "text/event-stream".into() }
}

pub fn data(offset: u64, bytes: &'static str) -> frame::Body {
    frame::Body::Data { offset, bytes: bytes.into() }
}

pub fn end(bytes: &str) -> frame::Body {
    frame::Body::End { length: bytes.len() as u64, crc32: crc32fast::hash(bytes.as_bytes()) }
}

pub fn find_offer(actions: &[Action]) -> Option<SentOffer> {
    actions.iter().find_map(|action| match action {
        Action::Offer { peer, head } => Some((head.request, *peer)),
        _ => None,
    })
}

pub fn find_refusal(actions: &[Action]) -> Option<(Outcome, Reason)> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some((refusal.outcome, refusal.reason)),
        _ => None,
    })
}

#[macro_export]
macro_rules! has {
    ($actions:expr, $pattern:pat $(if $guard:expr)?) => {
        $actions.iter().any(|action| matches!(action, $pattern $(if $guard)?))
    };
}
