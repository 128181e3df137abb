//! State machine of an agent with helpers to feed it events.

#![allow(dead_code)]

use std::{collections::HashMap, sync::Arc, time::Duration};

use agent::{Action, Event, Link, Machine, Progress, Setup};
use bytes::Bytes;
use conf::tree;
use wire::{Frame, frame, grant, id, key, offer, outcome, request, status, tier, time::Instant};

pub const PROCESS: id::Process = id::Process(7);
pub const HOST: &[u8] = b"agent-1";
/// Time for which a suspect waits at least.
pub const SUSPECT_DELAY: Duration = Duration::from_millis(100);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn pool() -> tree::Pool {
    tree::Pool {
        spread: 2,
        hedge: ms(20),
        grant_ttl: ms(200),
        retention: ms(3000),
        orphan_ttl: ms(2000),
        key_ttl: ms(5000),
        resume_limit: ms(1000),
        max_running: 4,
        max_prompt_tokens: 4000,
        short_tokens: 100,
        short_share_percent: 25,
        prefill_tokens_per_s: 10_000,
        max_queued_tokens: 20_000,
        max_queued: 6,
        max_ejected_percent: 33,
        quarantine: Duration::from_secs(600),
        checks_fence: true,
    }
}

pub fn tree(pool: tree::Pool) -> tree::Tree {
    let mut tree = tree::Tree::default();
    tree.pools.insert(Bytes::from_static(b"pool"), pool);
    tree
}

pub fn account(share: u32) -> tree::Account {
    let text = Bytes::new();
    tree::Account { api_key_sha256: text.clone(), top_tier: text, share, max_open: 100 }
}

pub fn head(seq: u64) -> request::Head {
    request::Head {
        request: id::Request { process: id::Process(1), seq },
        kind: request::Kind::Model,
        route: Bytes::from_static(b"route"),
        pool: Bytes::from_static(b"pool"),
        account: Bytes::from_static(b"a"),
        tier: tier::Tier(1),
        remaining: Duration::from_secs(30),
        prompt_tokens: 50,
        output_tokens: 10,
        fingerprint: 1000 + seq,
        affinity: 0,
        idempotent: true,
        beyond_spread: false,
        key: None,
        body_len: 4,
        method: Bytes::from_static(b"POST"),
        path: Bytes::from_static(b"/"),
        content_type: Bytes::new(),
    }
}

pub struct Harness {
    pub machine: Machine,
    pub now: Instant,
    pub tree: tree::Tree,
    last_link: u64,
    /// Bytes of each response that `send_data` has sent.
    sent_bytes: HashMap<id::Grant, u64>,
}

impl Harness {
    pub fn new(pool: tree::Pool) -> Harness {
        let host = Bytes::from_static(HOST);
        let pool_name = Bytes::from_static(b"pool");
        let setup = Setup { process: PROCESS, host, pool: pool_name, seed: 1 };
        let machine = Machine::new(setup);
        let (now, tree) = (Instant(1_000_000), tree(pool));
        let mut harness = Harness { machine, now, tree, last_link: 0, sent_bytes: HashMap::new() };
        harness.apply_tree();
        harness.send(Event::Ready);
        harness.probe("run-1");
        harness
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::Trace { .. }));
        actions
    }

    /// Advances the clock, handling each timer at its time.
    pub fn advance(&mut self, span: Duration) -> Vec<Action> {
        let until = self.now + span;
        let mut actions = Vec::new();
        while let Some(next) = self.machine.next_timer().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            actions.extend(self.send(Event::Tick));
        }
        self.now = until;
        actions.extend(self.send(Event::Tick));
        actions
    }

    pub fn apply_tree(&mut self) -> Vec<Action> {
        let tree = Arc::new(self.tree.clone());
        self.send(Event::Settings(tree))
    }

    pub fn probe(&mut self, instance: &'static str) -> Vec<Action> {
        self.send(Event::Probe { instance: Some(Bytes::from_static(instance.as_bytes())) })
    }

    pub fn new_link(&mut self) -> Link {
        self.last_link += 1;
        Link(self.last_link)
    }

    pub fn offer(&mut self, head: request::Head) -> (Link, Vec<Action>) {
        let link = self.new_link();
        (link, self.send(Event::Offer { link, offer: offer::Offer { head, settings: 0 } }))
    }

    pub fn grant(&mut self, head: request::Head) -> id::Grant {
        let (_, actions) = self.offer(head);
        grants(&actions).first().expect("a slot is free").1
    }

    /// Offers a suspect and returns its grant, which it gets after a delay.
    pub fn grant_suspect(&mut self, head: request::Head) -> id::Grant {
        let (_, actions) = self.offer(head);
        assert!(grants(&actions).is_empty(), "a suspect waits");
        grants(&self.advance(SUSPECT_DELAY)).first().expect("a slot is free").1
    }

    pub fn commit(&mut self, seq: u64, grant: id::Grant) -> (Link, Vec<Action>) {
        let link = self.new_link();
        let commit = grant::Commit { grant, request: head(seq).request };
        (link, self.send(Event::Commit { link, commit, body: Bytes::from_static(b"body") }))
    }

    pub fn dispatch(&mut self, head: request::Head) -> (id::Grant, Link) {
        let seq = head.request.seq;
        let grant = self.grant(head);
        let (link, actions) = self.commit(seq, grant);
        assert_eq!(dispatches(&actions), 1);
        (grant, link)
    }

    pub fn attach(&mut self, seq: u64, grant: id::Grant, offset: u64) -> (Link, Vec<Action>) {
        let link = self.new_link();
        let request = head(seq).request;
        let attach = grant::Attach { grant, request, offset, fingerprint: 0, resumable: true };
        (link, self.send(Event::Attach { link, attach }))
    }

    pub fn send_progress(&mut self, grant: id::Grant, progress: Progress) -> Vec<Action> {
        self.send(Event::Backend { grant, progress })
    }

    pub fn send_started(&mut self, grant: id::Grant, instance: &'static str) -> Vec<Action> {
        self.send_progress(grant, started(instance))
    }

    pub fn send_data(&mut self, grant: id::Grant, text: &'static str) -> Vec<Action> {
        let bytes = Bytes::from_static(text.as_bytes());
        let sent = self.sent_bytes.entry(grant).or_default();
        let offset = *sent;
        *sent += bytes.len() as u64;
        self.send_progress(grant, Progress::Data { offset, bytes })
    }

    pub fn issue_key(&mut self) -> key::Key {
        let link = self.new_link();
        let route = Bytes::from_static(b"route");
        match self.send(Event::KeyRequest { link, route }).pop() {
            Some(Action::KeyReply { reply: Ok(key), .. }) => key,
            other => panic!("no key: {other:?}"),
        }
    }

    pub fn status(&self) -> status::Status {
        let mut status = status::Status::default();
        self.machine.report(self.now, &mut status);
        status
    }
}

pub fn started(instance: &'static str) -> Progress {
    let instance = Bytes::from_static(instance.as_bytes());
    Progress::Started { status: 200, content_type: Bytes::new(), instance }
}

pub fn stream_not_found(instance: &'static str) -> Progress {
    Progress::StreamNotFound { instance: Bytes::from_static(instance.as_bytes()) }
}

pub fn dispatches(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Dispatch { .. })).count()
}

pub fn grants(actions: &[Action]) -> Vec<(Link, id::Grant)> {
    let ready = |action: &Action| match action {
        Action::Reply { link, reply: offer::Reply::Ready { grant, .. } } => Some((*link, *grant)),
        _ => None,
    };
    actions.iter().filter_map(ready).collect()
}

/// Returns link, outcome and reason of each refused offer, commit and attach.
pub fn refusals(actions: &[Action]) -> Vec<(Link, outcome::Outcome, outcome::Reason)> {
    let refused = |action: &Action| match action {
        Action::Reply { link, reply: offer::Reply::Refused(r) } => {
            Some((*link, r.outcome, r.reason))
        }
        Action::Frame { link, frame: Frame { body: frame::Body::Refused(r), .. } } => {
            Some((*link, r.outcome, r.reason))
        }
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

pub fn frames(actions: &[Action], link: Link) -> Vec<frame::Body> {
    let body = |action: &Action| match action {
        Action::Frame { link: to, frame } if *to == link => Some(frame.body.clone()),
        _ => None,
    };
    actions.iter().filter_map(body).collect()
}
