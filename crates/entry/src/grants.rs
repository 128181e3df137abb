//! Controller of grants: the one commitment of a request and the stream that answers it.
//!
//! At the deadline a request whose answer has not begun is refused as `unknown` and its
//! grant is cancelled. Waiting longer would hold back a final answer and can't add to
//! goodput, since an answer that begins after the deadline is late; `not_run` would need the
//! agent's word. An answer that has begun may pass the deadline for as long as it makes
//! progress, since its prompt work is already done.

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
    flight::{self, Offer},
    state::State,
};

const FIRST_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Doublings after which the backoff is at its maximum.
const MAX_DOUBLINGS: u32 = 6;

/// The commitment of a request.
#[derive(Clone, Debug)]
pub struct Grant {
    pub id: id::Grant,
    pub agent: view::Key,
    pub host: Bytes,
    pub peer: SocketAddr,
    /// Whether the answer to the caller has begun.
    pub started: bool,
    /// Bytes passed on to the caller.
    pub offset: u64,
    pub crc: crc32fast::Hasher,
    /// Time of the commit or of the last frame that moved the answer on.
    pub progress: Instant,
    /// First loss of the stream since the last progress.
    pub lost_since: Option<Instant>,
    /// When the stream is attached again; `None` while one is open.
    pub attach_at: Option<Instant>,
    /// Attaches since the last progress.
    pub attempts: u32,
    /// When the stream was last attached, or the time of the commit.
    pub attached: Instant,
    /// Whether the request was reported as a suspect, since its agent could not be reached
    /// again.
    pub suspected: bool,
    /// Offset at which an end frame named bytes that had not arrived.
    pub short_end: Option<u64>,
}

impl Grant {
    /// Returns when the request needs attention.
    pub fn due(&self, deadline: Instant, limit: Duration) -> Instant {
        let attach_at = self.attach_at.or_else(|| self.stall_at(limit));
        let give_up_at = self.give_up_at(deadline, limit);
        attach_at.map_or(give_up_at, |at| at.min(give_up_at))
    }

    /// Returns when a begun answer counts as stalled although its stream seems open; a
    /// connection that was cut silently delivers nothing and is never reported lost.
    fn stall_at(&self, limit: Duration) -> Option<Instant> {
        let silent = (limit / 2).max(MAX_BACKOFF);
        self.started.then(|| self.progress.max(self.attached) + silent)
    }

    /// Returns when the answer is given up.
    fn give_up_at(&self, deadline: Instant, limit: Duration) -> Instant {
        let stalled = self.progress + limit;
        match (self.started, self.attach_at.is_some()) {
            (false, false) => deadline,
            (false, true) => deadline.min(self.lost_since.unwrap_or(self.progress) + limit),
            (true, false) => deadline.max(stalled),
            (true, true) if self.progress > deadline => stalled,
            (true, true) => deadline.min(stalled),
        }
    }

    /// Records a frame that moved the answer on.
    pub fn advance(&mut self, now: Instant) {
        self.progress = now;
        self.attempts = 0;
        self.short_end = None;
        self.lost_since = self.attach_at.map(|_| now);
    }
}

impl State {
    /// Commits a request to the agent that is ready.
    pub fn commit(&mut self, key: flight::Key, offer: Offer, id: id::Grant) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let request = flight.head.request;
        let Offer { agent, host, peer, .. } = offer;
        flight.hedge_at = None;
        flight.grant = Some(Grant {
            id,
            agent,
            host: host.clone(),
            peer,
            started: false,
            offset: 0,
            crc: crc32fast::Hasher::new(),
            progress: self.now,
            lost_since: None,
            attach_at: None,
            attempts: 0,
            attached: self.now,
            suspected: false,
            short_end: None,
        });
        let seat = flight.seat(key);
        self.room.leave(&seat);
        self.pace.count(self.now);
        self.counters.count("commits");
        self.push(Action::Commit { peer, commit: grant::Commit { grant: id, request } });
        self.step(key, Step::Granted, "granted", host);
        self.arm(key);
    }

    /// Frees a slot that was reserved for a request that does not need it. A repeat of the
    /// current grant's `Ready` is no reason to cancel that grant.
    pub fn decline(&mut self, request: id::Request, peer: SocketAddr, id: id::Grant) {
        let flight = self.find(request).and_then(|key| self.flights.get(key));
        let current = flight.and_then(|flight| flight.grant.as_ref());
        if current.is_some_and(|grant| grant.id == id) {
            self.counters.count("late_replies");
            return;
        }
        self.counters.count("declined_grants");
        self.push(Action::Cancel { peer, commit: grant::Commit { grant: id, request } });
    }

    /// Cancels the grant of a request, if it has one.
    pub fn cancel(&mut self, key: flight::Key) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let request = flight.head.request;
        let Some(Grant { id, peer, .. }) = flight.grant.take() else { return };
        self.push(Action::Cancel { peer, commit: grant::Commit { grant: id, request } });
    }

    /// Takes back a commitment that its agent has given up, and returns the agent.
    pub fn give_back(&mut self, key: flight::Key) -> Option<view::Key> {
        let flight = self.flights.get_mut(key)?;
        let grant = flight.grant.take()?;
        flight.abandoned.push(grant.id);
        let seat = flight.seat(key);
        self.room.wait(&seat);
        self.counters.count("given_back");
        let host = self.setup.host.clone();
        self.step(key, Step::QueuedAtEntry, "given_back", host);
        Some(grant.agent)
    }

    /// Handles the loss of a grant's stream.
    pub fn stream_lost(&mut self, request: id::Request, peer: SocketAddr) {
        let Some(key) = self.find(request) else { return };
        let Some(flight) = self.flights.get(key) else { return };
        let Some(grant) = &flight.grant else { return };
        // A repeat, or the end of a stream that an attach elsewhere has replaced.
        if grant.peer != peer || grant.attach_at.is_some() {
            return;
        }
        let agent = grant.agent;
        self.blame(agent);
        self.schedule_attach(key);
    }

    /// Reports that the agent of a model request was lost while it may have run, or takes the
    /// report back. An agent that dies with its engine can tell nobody, and neither can this
    /// entry if it dies before the request is given up.
    pub fn suspect(&mut self, key: flight::Key, lost: bool) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let head = &flight.head;
        let Some(grant) = flight.grant.as_mut() else { return };
        let counts = head.kind == request::Kind::Model && head.fingerprint != 0;
        if !counts || grant.suspected == lost {
            return;
        }
        grant.suspected = lost;
        let suspect = sync::Suspect::from_lost_agent(grant.id, head.fingerprint);
        self.push(Action::Suspects(vec![sync::Suspect { cleared: !lost, ..suspect }]));
    }

    /// Schedules an attach after a backoff, unless one is scheduled.
    pub fn schedule_attach(&mut self, key: flight::Key) {
        let jitter = 0.5 + self.rng.f64() / 2.0;
        let Some(grant) = self.flights.get_mut(key).and_then(|flight| flight.grant.as_mut()) else {
            return;
        };
        if grant.attach_at.is_some() {
            return;
        }
        let doublings = grant.attempts.min(MAX_DOUBLINGS);
        let backoff = FIRST_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        grant.attach_at = Some(self.now + backoff.mul_f64(jitter));
        grant.lost_since.get_or_insert(self.now);
        self.arm(key);
    }

    /// Attaches to a grant at its host's current address.
    fn attach(&mut self, key: flight::Key) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        if flight.grant.as_ref().is_some_and(|grant| grant.attempts > 0) {
            self.suspect(key, true);
        }
        let Some(flight) = self.flights.get_mut(key) else { return };
        let head = &flight.head;
        let (request, fingerprint) = (head.request, head.fingerprint);
        let resumable = head.kind == request::Kind::Model;
        let Some(grant) = flight.grant.as_mut() else { return };
        let host = self.view.by_name(&grant.host).and_then(|agent| self.view.get(agent));
        if let Some(host) = host {
            grant.peer = host.record.address;
        }
        grant.attach_at = None;
        grant.attempts += 1;
        grant.attached = self.now;
        let (id, offset, peer) = (grant.id, grant.offset, grant.peer);
        let attach = grant::Attach { grant: id, request, offset, fingerprint, resumable };
        self.counters.count("attaches");
        self.push(Action::Attach { peer, attach });
        self.arm(key);
    }

    /// Attaches at once if the host of a grant is listed at a new address.
    pub fn follow_host(&mut self, key: flight::Key) {
        let grant = self.flights.get(key).and_then(|flight| flight.grant.as_ref());
        let Some(grant) = grant else { return };
        let host = self.view.by_name(&grant.host).and_then(|agent| self.view.get(agent));
        if host.is_some_and(|host| host.record.address != grant.peer) {
            self.attach(key);
        }
    }

    /// Handles the timer of a request with a grant: give up, or attach.
    pub fn grant_timer(&mut self, key: flight::Key) {
        let Some(flight) = self.flights.get(key) else { return };
        let Some(grant) = &flight.grant else { return };
        let limit = flight.limits.resume_limit;
        if self.now >= grant.give_up_at(flight.deadline, limit) {
            self.give_up(key);
            return;
        }
        let attach_at = grant.attach_at.or_else(|| grant.stall_at(limit));
        if attach_at.is_some_and(|at| at <= self.now) {
            self.attach(key);
        }
    }

    /// Refuses a request whose grant may have run and gives no answer in time.
    fn give_up(&mut self, key: flight::Key) {
        let Some(flight) = self.flights.get(key) else { return };
        let Some(grant) = &flight.grant else { return };
        let (agent, host) = (grant.agent, grant.host.clone());
        let late = self.now >= flight.deadline && grant.attach_at.is_none();
        let outcome = if grant.started { Outcome::Incomplete } else { Outcome::Unknown };
        let reason = if late && !grant.started { Reason::Deadline } else { Reason::AgentLost };
        let mut refusal = self.refusal(outcome, flight.step, reason);
        refusal.peer = host;
        self.blame(agent);
        self.refuse(key, refusal);
    }
}
