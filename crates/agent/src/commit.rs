//! Commitments, attaching readers, and cancels.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use wire::{
    frame, grant, id,
    outcome::{Outcome, Reason, Step},
    request,
};

use crate::{
    Action, Link,
    event::Context,
    grants, limit,
    machine::{Machine, Use},
    streams, suspects,
    timers::Timer,
};

/// Bytes of one replayed frame, well below the bound of one message.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Running streams above which none is adopted. Own ones are bounded by the engine's limits.
const MAX_LIVE: usize = 4096;
/// Silence before the first byte that is allowed, as a multiple of the expected time.
const PREFILL_PATIENCE: u32 = 4;

impl Machine {
    /// Accepts a commitment once, or answers what became of its number.
    pub(crate) fn commit(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        commit: grant::Commit,
        body: Bytes,
    ) {
        let grant::Commit { grant, request } = commit;
        if let Some(stream) = self.streams.get(grant) {
            if stream.admits(request) {
                return self.add_reader(cx, link, grant, request, 0);
            }
            return self.refuse_commit(cx, link, commit, Outcome::Unknown, Reason::GrantExpired);
        }
        let reserved = self.grants.get(grant).map(|reservation| reservation.head.request);
        if reserved == Some(request) {
            return match self.objection(cx, grant) {
                Some(reason) => {
                    self.dissolve(cx, grant.seq);
                    self.refuse_commit(cx, link, commit, Outcome::NotRun, reason);
                }
                None => self.accept(cx, link, grant, body),
            };
        }
        let (outcome, reason) = match self.grants.absent(grant) {
            _ if reserved.is_some() => (Outcome::NotRun, Reason::GrantExpired),
            // An entry sends a commitment once, so what arrives here never reached the process
            // that issued the number.
            grants::Absent::Foreign => (Outcome::NotRun, Reason::AgentReplaced),
            grants::Absent::Forgotten => (Outcome::Unknown, Reason::GrantExpired),
            grants::Absent::Abandoned => (Outcome::NotRun, Reason::GrantExpired),
        };
        self.refuse_commit(cx, link, commit, outcome, reason);
    }

    fn refuse_commit(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        commit: grant::Commit,
        outcome: Outcome,
        reason: Reason,
    ) {
        let grant::Commit { grant, request } = commit;
        let retry = (outcome == Outcome::NotRun).then(|| self.queue_time());
        let refusal = self.refusal(outcome, Step::Granted, reason, retry);
        self.refuse_link(cx, link, grant, request, refusal);
    }

    /// Returns why a request can't run now although its slot was reserved: this process was
    /// paused since, or the request became a suspect.
    fn objection(&mut self, cx: &Context<'_>, grant: id::Grant) -> Option<Reason> {
        if self.pause.is_stale(cx.now) {
            return Some(Reason::NotReady);
        }
        let reservation = self.grants.get(grant)?;
        match self.suspects.verdict(cx.now, &reservation.head) {
            suspects::Verdict::Quarantined(_) => Some(Reason::Poison),
            suspects::Verdict::Held(_) => Some(Reason::Suspect),
            suspects::Verdict::Suspect if !reservation.isolated => Some(Reason::Suspect),
            _ => None,
        }
    }

    /// Turns a reservation into a stream and dispatches its request.
    fn accept(&mut self, cx: &mut Context<'_>, link: Link, grant: id::Grant, body: Bytes) {
        let Some(reservation) = self.grants.take(grant.seq) else { return };
        let grants::Reservation { head, expires, deadline, mut slot, isolated } = reservation;
        self.timers.disarm(expires, Timer::Reserved(grant.seq));
        let key = head.key.as_ref().map(|key| key.seq);
        let ahead = self.limit.dispatch(&mut slot);
        let patience = match head.kind {
            request::Kind::Model => self.limit.prefill_time(ahead) * PREFILL_PATIENCE,
            // A service may use all the time its caller allows and can't be asked again.
            request::Kind::Service => deadline.since(cx.now),
        };
        let stream = streams::Stream {
            fingerprint: head.fingerprint,
            key,
            isolated,
            ahead,
            output_tokens: head.output_tokens,
            patience,
            ..self.stream(cx, head.request, head.kind, slot)
        };
        self.streams.insert(grant, stream);
        self.count("dispatched");
        self.trace(cx, head.request, Step::Dispatched, "dispatched");
        let request = head.request;
        cx.push(Action::Dispatch { grant, head, body });
        if let Some(seq) = key {
            self.burn_key(cx, seq, grant);
        }
        self.add_reader(cx, link, grant, request, 0);
    }

    fn stream(
        &self,
        cx: &Context<'_>,
        owner: id::Request,
        kind: request::Kind,
        slot: limit::Slot,
    ) -> streams::Stream {
        streams::Stream {
            owner,
            aliases: VecDeque::new(),
            kind,
            fingerprint: 0,
            key: None,
            adopted: false,
            isolated: false,
            slot,
            instance: self.engine.instance.clone(),
            crashed: None,
            dispatched: cx.now,
            ahead: 0,
            output_tokens: 0,
            began: None,
            started: None,
            kept: streams::Kept::default(),
            end: None,
            readers: Vec::new(),
            orphan_since: None,
            last_progress: cx.now,
            patience: Duration::ZERO,
            resume: None,
            due: cx.now,
        }
    }

    /// Attaches a reader to a stream, adopting it from a replaced process if need be.
    pub(crate) fn attach(&mut self, cx: &mut Context<'_>, link: Link, attach: grant::Attach) {
        let grant::Attach { grant, request, offset, fingerprint, resumable } = attach;
        let commit = grant::Commit { grant, request };
        let partial = if offset > 0 { Outcome::Incomplete } else { Outcome::Unknown };
        if let Some(stream) = self.streams.get(grant) {
            if stream.admits(request) {
                return self.add_reader(cx, link, grant, request, offset);
            }
            return self.refuse_commit(cx, link, commit, partial, Reason::GrantExpired);
        }
        if let Some(reservation) = self.grants.get(grant) {
            // The commitment was lost on its way. The answer must stay true if it still comes.
            if reservation.head.request == request {
                self.dissolve(cx, grant.seq);
            }
            return self.refuse_commit(cx, link, commit, Outcome::NotRun, Reason::GrantExpired);
        }
        match self.grants.absent(grant) {
            grants::Absent::Foreign if resumable && self.may_adopt() => {
                self.adopt(cx, grant, request, fingerprint);
                self.add_reader(cx, link, grant, request, offset);
            }
            grants::Absent::Foreign => {
                self.refuse_commit(cx, link, commit, partial, Reason::AgentReplaced);
            }
            grants::Absent::Forgotten => {
                self.refuse_commit(cx, link, commit, partial, Reason::GrantExpired);
            }
            grants::Absent::Abandoned => {
                self.refuse_commit(cx, link, commit, Outcome::NotRun, Reason::GrantExpired);
            }
        }
    }

    fn may_adopt(&self) -> bool {
        self.serves_models() && self.streams.live().len() < MAX_LIVE
    }

    /// Resumes the stream of a replaced process from its start, so that the checksum covers
    /// the whole.
    fn adopt(
        &mut self,
        cx: &mut Context<'_>,
        grant: id::Grant,
        request: id::Request,
        fingerprint: u64,
    ) {
        let slot = self.limit.slot(0);
        self.limit.reserve(slot);
        let resume = streams::Resume { since: cx.now, attempts: 1, next: None, connected: false };
        let stream = streams::Stream {
            adopted: true,
            fingerprint,
            instance: None,
            resume: Some(resume),
            ..self.stream(cx, request, request::Kind::Model, slot)
        };
        self.streams.insert(grant, stream);
        self.count("adopted");
        self.trace(cx, request, Step::Dispatched, "adopted");
        cx.push(Action::Resume { grant, offset: 0 });
    }

    /// Replays a stream from an offset and keeps the link as a reader while it runs.
    fn add_reader(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        grant: id::Grant,
        request: id::Request,
        offset: u64,
    ) {
        let Some(stream) = self.streams.get(grant) else { return };
        if offset < stream.kept.base() {
            let commit = grant::Commit { grant, request };
            return self.refuse_commit(cx, link, commit, Outcome::Incomplete, Reason::Overload);
        }
        let mut frames = Vec::new();
        if let Some((status, content_type)) = &stream.started
            && offset == 0
        {
            let (status, content_type) = (*status, content_type.clone());
            frames.push(frame::Body::Started { status, content_type });
        }
        let length = stream.kept.length();
        if offset < length {
            let mut rest = stream.kept.from(offset);
            let mut offset = offset;
            while !rest.is_empty() {
                let bytes = rest.split_to(rest.len().min(MAX_FRAME_BYTES));
                let next = offset + bytes.len() as u64;
                frames.push(frame::Body::Data { offset, bytes });
                offset = next;
            }
        }
        for body in frames {
            cx.push(Action::Frame { link, frame: wire::Frame { request, grant, body } });
        }
        let reader = streams::Reader { link, request, offset: offset.max(length) };
        self.links.insert(link, Use::Reader(grant));
        match stream.end.clone() {
            Some((_, end)) => self.send_end(cx, grant, reader, &end),
            None => {
                let stream = self.streams.get_mut(grant);
                if let Some(evicted) = stream.and_then(|stream| stream.add_reader(reader)) {
                    self.links.remove(&evicted.link);
                    cx.push(Action::Close { link: evicted.link });
                }
                self.rearm(grant);
            }
        }
    }

    /// Takes a reader away; a stream without one is an orphan.
    pub(crate) fn detach(&mut self, cx: &mut Context<'_>, grant: id::Grant, link: Link) {
        let Some(stream) = self.streams.live_mut(grant) else { return };
        stream.readers.retain(|reader| reader.link != link);
        if stream.readers.is_empty() {
            stream.orphan_since = Some(cx.now);
        }
        self.rearm(grant);
    }

    /// Frees an uncommitted slot, or ends a running stream that nobody else reads.
    pub(crate) fn cancel(&mut self, cx: &mut Context<'_>, commit: grant::Commit) {
        let grant::Commit { grant, request } = commit;
        if self.grants.get(grant).is_some_and(|r| r.head.request == request) {
            self.count("cancelled");
            return self.dissolve(cx, grant.seq);
        }
        let Some(stream) = self.streams.live_mut(grant) else { return };
        if !stream.admits(request) {
            return;
        }
        let (own, others): (Vec<_>, Vec<_>) =
            stream.readers.drain(..).partition(|reader| reader.request == request);
        stream.readers = others;
        let read_by_others = !stream.readers.is_empty();
        let owned = stream.owner == request;
        if !read_by_others {
            stream.orphan_since = Some(cx.now);
        }
        for reader in own {
            self.links.remove(&reader.link);
            cx.push(Action::Close { link: reader.link });
        }
        if owned && !read_by_others {
            self.count("cancelled");
            self.abort(cx, grant, Reason::CallerGone);
        } else {
            self.rearm(grant);
        }
    }
}
