//! Handling of grants: the single commit of a request and the stream of its response.
//!
//! At the deadline, a request whose response has not begun is refused as `unknown` and its grant
//! is cancelled. Waiting longer would delay the final response and can't add to goodput, since a
//! response that begins after the deadline is late. The outcome `not_run` would need a
//! confirmation by the agent. A response that has begun may continue past the deadline while it
//! makes progress, since its prefill is already done.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use fleet::view;
use wire::{
    grant, id,
    outcome::{Outcome, Reason, Step},
    request, sync,
    time::Instant,
};

use crate::{
    action::Action,
    open_request::{self, Offer},
    state::State,
};

const FIRST_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Doublings after which the backoff is at its maximum.
const MAX_DOUBLINGS: u32 = 6;

/// The grant to which a request is committed, and the progress of its response.
#[derive(Clone, Debug)]
pub struct Grant {
    pub id: id::Grant,
    pub agent: view::Key,
    pub host: Bytes,
    pub peer: SocketAddr,
    /// Whether the response to the caller has begun.
    pub started: bool,
    /// Number of bytes sent to the caller.
    pub offset: u64,
    pub crc: crc32fast::Hasher,
    /// Time of the commit or of the last frame that continued the response.
    pub last_progress: Instant,
    /// When the stream first failed since the last progress.
    pub failed_since: Option<Instant>,
    /// When to attach again; `None` while a stream is open.
    pub attach_at: Option<Instant>,
    /// Number of attaches since the last progress.
    pub attach_attempts: u32,
    /// Time of the last attach, or else of the commit.
    pub attached_at: Instant,
    /// Whether the request is reported as a suspect, since its agent could not be reached again.
    pub suspected: bool,
    /// Number of bytes received when an end frame gave a greater length; `None` if no end frame has
    /// done so since the last progress.
    pub early_end_offset: Option<u64>,
}

impl Grant {
    /// Returns when the timer of the request is due.
    pub fn due_at(&self, deadline: Instant, resume_limit: Duration) -> Instant {
        let attach_at = self.attach_at.or_else(|| self.stalled_at(resume_limit));
        let give_up_at = self.give_up_at(deadline, resume_limit);
        attach_at.map_or(give_up_at, |at| at.min(give_up_at))
    }

    /// Returns when a response that has begun counts as stalled although its stream appears open.
    /// A connection can break without an error and then delivers nothing more.
    fn stalled_at(&self, resume_limit: Duration) -> Option<Instant> {
        let stall_limit = (resume_limit / 2).max(MAX_BACKOFF);
        self.started.then(|| self.last_progress.max(self.attached_at) + stall_limit)
    }

    /// Returns when the entry stops waiting for the response and refuses the request.
    fn give_up_at(&self, deadline: Instant, resume_limit: Duration) -> Instant {
        let resume_by = self.last_progress + resume_limit;
        match (self.started, self.attach_at.is_some()) {
            (false, false) => deadline,
            (false, true) => {
                deadline.min(self.failed_since.unwrap_or(self.last_progress) + resume_limit)
            }
            (true, false) => deadline.max(resume_by),
            (true, true) if self.last_progress > deadline => resume_by,
            (true, true) => deadline.min(resume_by),
        }
    }

    /// Records a frame that continued the response.
    pub fn record_progress(&mut self, now: Instant) {
        self.last_progress = now;
        self.attach_attempts = 0;
        self.early_end_offset = None;
        self.failed_since = self.attach_at.map(|_| now);
    }
}

impl State {
    /// Commits a request to an agent that has reserved a slot for it.
    pub fn commit(&mut self, key: open_request::Key, offer: Offer, id: id::Grant) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let request = open_request.head.request;
        let Offer { agent, host, peer, .. } = offer;
        open_request.hedge_at = None;
        open_request.grant = Some(Grant {
            id,
            agent,
            host: host.clone(),
            peer,
            started: false,
            offset: 0,
            crc: crc32fast::Hasher::new(),
            last_progress: self.now,
            failed_since: None,
            attach_at: None,
            attach_attempts: 0,
            attached_at: self.now,
            suspected: false,
            early_end_offset: None,
        });
        let usage = open_request.usage(key);
        self.capacity.remove_waiting(&usage);
        self.grant_rate.record_grant(self.now);
        self.counters.count("commits");
        self.push(Action::Commit { peer, commit: grant::Commit { grant: id, request } });
        self.enter_step(key, Step::Granted, "granted", host);
        self.arm_timer(key);
    }

    /// Cancels a grant that the request does not need, which frees the slot at the agent. A
    /// repeated `Ready` reply for the current grant must not cancel that grant.
    pub fn decline_grant(&mut self, request: id::Request, peer: SocketAddr, id: id::Grant) {
        let open_request = self.find_request(request).and_then(|key| self.open_requests.get(key));
        let current = open_request.and_then(|open_request| open_request.grant.as_ref());
        if current.is_some_and(|grant| grant.id == id) {
            self.counters.count("late_replies");
            return;
        }
        self.counters.count("declined_grants");
        self.push(Action::Cancel { peer, commit: grant::Commit { grant: id, request } });
    }

    /// Cancels the grant of a request, if it has one.
    pub fn cancel_grant(&mut self, key: open_request::Key) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let request = open_request.head.request;
        let Some(Grant { id, peer, .. }) = open_request.grant.take() else { return };
        self.push(Action::Cancel { peer, commit: grant::Commit { grant: id, request } });
    }

    /// Returns a request to the queue after its agent ended the grant without a run, and returns
    /// that agent.
    pub fn return_to_queue(&mut self, key: open_request::Key) -> Option<view::Key> {
        let open_request = self.open_requests.get_mut(key)?;
        let grant = open_request.grant.take()?;
        open_request.ended_grants.push(grant.id);
        let usage = open_request.usage(key);
        self.capacity.add_waiting(&usage);
        self.counters.count("given_back");
        let host = self.setup.host.clone();
        self.enter_step(key, Step::QueuedAtEntry, "given_back", host);
        Some(grant.agent)
    }

    /// Handles the failure of a grant's stream.
    pub fn handle_stream_failed(&mut self, request: id::Request, peer: SocketAddr) {
        let Some(key) = self.find_request(request) else { return };
        let Some(open_request) = self.open_requests.get(key) else { return };
        let Some(grant) = &open_request.grant else { return };
        // The event is repeated, or the stream was replaced by an attach at a new address.
        if grant.peer != peer || grant.attach_at.is_some() {
            return;
        }
        let agent = grant.agent;
        self.record_agent_failure(agent);
        self.schedule_attach(key);
    }

    /// Reports a model request as a suspect, since its agent became unreachable while the request
    /// may have been running, or withdraws that report. An agent that crashes together with its
    /// engine cannot report the crash. The report is not delayed until the request is refused,
    /// since the entry may itself crash before that.
    pub fn set_suspected(&mut self, key: open_request::Key, suspected: bool) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let head = &open_request.head;
        let Some(grant) = open_request.grant.as_mut() else { return };
        let reportable = head.kind == request::Kind::Model && head.fingerprint != 0;
        if !reportable || grant.suspected == suspected {
            return;
        }
        grant.suspected = suspected;
        let suspect = sync::Suspect::from_unreachable_agent(grant.id, head.fingerprint);
        self.push(Action::Suspects(vec![sync::Suspect { cleared: !suspected, ..suspect }]));
    }

    /// Schedules an attach after a backoff, unless one is scheduled already.
    pub fn schedule_attach(&mut self, key: open_request::Key) {
        let jitter = 0.5 + self.rng.f64() / 2.0;
        let Some(grant) =
            self.open_requests.get_mut(key).and_then(|open_request| open_request.grant.as_mut())
        else {
            return;
        };
        if grant.attach_at.is_some() {
            return;
        }
        let doublings = grant.attach_attempts.min(MAX_DOUBLINGS);
        let backoff = FIRST_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        grant.attach_at = Some(self.now + backoff.mul_f64(jitter));
        grant.failed_since.get_or_insert(self.now);
        self.arm_timer(key);
    }

    /// Attaches to a grant at its host's current address.
    fn attach(&mut self, key: open_request::Key) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        if open_request.grant.as_ref().is_some_and(|grant| grant.attach_attempts > 0) {
            self.set_suspected(key, true);
        }
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let head = &open_request.head;
        let (request, fingerprint) = (head.request, head.fingerprint);
        let resumable = head.kind == request::Kind::Model;
        let Some(grant) = open_request.grant.as_mut() else { return };
        let host = self.view.by_name(&grant.host).and_then(|agent| self.view.get(agent));
        if let Some(host) = host {
            grant.peer = host.record.address;
        }
        grant.attach_at = None;
        grant.attach_attempts += 1;
        grant.attached_at = self.now;
        let (id, offset, peer) = (grant.id, grant.offset, grant.peer);
        let attach = grant::Attach { grant: id, request, offset, fingerprint, resumable };
        self.counters.count("attaches");
        self.push(Action::Attach { peer, attach });
        self.arm_timer(key);
    }

    /// Attaches at once if the host list has a new address for the host of the grant.
    pub fn attach_if_host_moved(&mut self, key: open_request::Key) {
        let grant =
            self.open_requests.get(key).and_then(|open_request| open_request.grant.as_ref());
        let Some(grant) = grant else { return };
        let host = self.view.by_name(&grant.host).and_then(|agent| self.view.get(agent));
        if host.is_some_and(|host| host.record.address != grant.peer) {
            self.attach(key);
        }
    }

    /// Handles the timer of a request with a grant: refuses it or attaches again.
    pub fn handle_grant_timer(&mut self, key: open_request::Key) {
        let Some(open_request) = self.open_requests.get(key) else { return };
        let Some(grant) = &open_request.grant else { return };
        let resume_limit = open_request.pool_settings.resume_limit;
        if self.now >= grant.give_up_at(open_request.deadline, resume_limit) {
            self.refuse_without_response(key);
            return;
        }
        let attach_at = grant.attach_at.or_else(|| grant.stalled_at(resume_limit));
        if attach_at.is_some_and(|at| at <= self.now) {
            self.attach(key);
        }
    }

    /// Refuses a request that may have run, but whose response was not received in time.
    fn refuse_without_response(&mut self, key: open_request::Key) {
        let Some(open_request) = self.open_requests.get(key) else { return };
        let Some(grant) = &open_request.grant else { return };
        let (agent, host) = (grant.agent, grant.host.clone());
        let past_deadline = self.now >= open_request.deadline && grant.attach_at.is_none();
        let outcome = if grant.started { Outcome::Incomplete } else { Outcome::Unknown };
        let reason =
            if past_deadline && !grant.started { Reason::Deadline } else { Reason::AgentLost };
        let mut refusal = self.build_refusal(outcome, open_request.step, reason);
        refusal.peer = host;
        self.record_agent_failure(agent);
        self.refuse_request(key, refusal);
    }
}
