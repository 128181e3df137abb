//! Commits, attaches and cancels.

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
    machine::{LinkUse, Machine},
    streams, suspects,
    timers::Timer,
};

/// Bytes of one replayed frame, well below the size limit of one message.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Streams are adopted only while fewer than this are open. Dispatched streams need no such limit,
/// since the capacity of the backend server bounds them.
const MAX_OPEN_STREAMS: usize = 4096;
/// Time allowed until the response begins, as a multiple of the estimated prefill time.
const FIRST_BYTE_TIMEOUT_FACTOR: u32 = 4;

impl Machine {
    /// Accepts a commit once. A repeated one attaches to the stream. A commit of a grant that has
    /// expired or that another process issued is refused.
    pub(crate) fn handle_commit(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        commit: grant::Commit,
        body: Bytes,
    ) {
        let grant::Commit { grant, request } = commit;
        if let Some(stream) = self.streams.get(grant) {
            if stream.may_read(request) {
                return self.add_reader(cx, link, grant, request, 0);
            }
            return self.refuse_commit(cx, link, commit, Outcome::Unknown, Reason::GrantExpired);
        }
        let reserved = self.grants.get(grant).map(|reservation| reservation.head.request);
        if reserved == Some(request) {
            return match self.commit_refusal_reason(cx, grant) {
                Some(reason) => {
                    self.cancel_reservation(cx, grant.seq);
                    self.refuse_commit(cx, link, commit, Outcome::NotRun, reason);
                }
                None => self.accept_commit(cx, link, grant, body),
            };
        }
        let (outcome, reason) = match self.grants.classify_missing(grant) {
            _ if reserved.is_some() => (Outcome::NotRun, Reason::GrantExpired),
            // An entry sends a commit once, so one that arrives here was never received by the
            // process that issued the grant.
            grants::Missing::OtherProcess => (Outcome::NotRun, Reason::AgentReplaced),
            grants::Missing::Discarded => (Outcome::Unknown, Reason::GrantExpired),
            grants::Missing::NeverCommitted => (Outcome::NotRun, Reason::GrantExpired),
        };
        self.refuse_commit(cx, link, commit, outcome, reason);
    }

    /// Refuses a commit, or an attach with this grant and request.
    fn refuse_commit(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        commit: grant::Commit,
        outcome: Outcome,
        reason: Reason,
    ) {
        let grant::Commit { grant, request } = commit;
        let retry_after = (outcome == Outcome::NotRun).then(|| self.queue_delay());
        let refusal = self.refusal(outcome, Step::Granted, reason, retry_after);
        self.refuse_stream(cx, link, grant, request, refusal);
    }

    /// Returns why a request with a reserved slot is refused all the same: this process has been
    /// paused since, or the request has become a suspect.
    fn commit_refusal_reason(&mut self, cx: &Context<'_>, grant: id::Grant) -> Option<Reason> {
        if self.pause.is_stale(cx.now) {
            return Some(Reason::NotReady);
        }
        let reservation = self.grants.get(grant)?;
        match self.suspects.restriction(cx.now, &reservation.head) {
            suspects::Restriction::Quarantined(_) => Some(Reason::Poison),
            suspects::Restriction::RefusedHere(_) => Some(Reason::Suspect),
            suspects::Restriction::Exclusive if !reservation.exclusive => Some(Reason::Suspect),
            _ => None,
        }
    }

    /// Turns a reservation into a stream and dispatches its request.
    fn accept_commit(&mut self, cx: &mut Context<'_>, link: Link, grant: id::Grant, body: Bytes) {
        let Some(reservation) = self.grants.remove(grant.seq) else { return };
        let grants::Reservation { head, expires_at, deadline, mut slot, permit, exclusive } =
            reservation;
        self.timers.disarm(expires_at, Timer::Reserved(grant.seq));
        let key_seq = head.key.as_ref().map(|key| key.seq);
        let tokens_at_dispatch = self.limit.dispatch(&mut slot);
        let first_byte_timeout = match head.kind {
            request::Kind::Model => {
                self.limit.prefill_time(tokens_at_dispatch) * FIRST_BYTE_TIMEOUT_FACTOR
            }
            // A service may use all the time until the deadline, and its streams can't be resumed.
            request::Kind::Service => deadline.since(cx.now),
        };
        let stream = streams::Stream {
            fingerprint: head.fingerprint,
            key_seq,
            permit,
            exclusive,
            tokens_at_dispatch,
            output_tokens: head.output_tokens,
            first_byte_timeout,
            ..self.new_stream(cx, head.request, head.kind, slot)
        };
        self.streams.insert(grant, stream);
        self.count("dispatched");
        self.trace(cx, head.request, Step::Dispatched, "dispatched");
        let request = head.request;
        cx.push(Action::Dispatch { grant, head, body });
        if let Some(seq) = key_seq {
            self.mark_key_used(cx, seq, grant);
        }
        self.add_reader(cx, link, grant, request, 0);
    }

    fn new_stream(
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
            key_seq: None,
            adopted: false,
            exclusive: false,
            slot,
            permit: None,
            instance: self.backend.instance.clone(),
            counted_crash: None,
            dispatched_at: cx.now,
            tokens_at_dispatch: 0,
            output_tokens: 0,
            first_byte_at: None,
            response_head: None,
            buffer: streams::Buffer::default(),
            end: None,
            readers: Vec::new(),
            orphan_since: None,
            last_progress: cx.now,
            first_byte_timeout: Duration::ZERO,
            resume: None,
            armed_for: cx.now,
        }
    }

    /// Attaches a reader to a stream. A stream that a replaced process dispatched is adopted first.
    pub(crate) fn handle_attach(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        attach: grant::Attach,
    ) {
        let grant::Attach { grant, request, offset, fingerprint, resumable } = attach;
        let commit = grant::Commit { grant, request };
        let missing_outcome = if offset > 0 { Outcome::Incomplete } else { Outcome::Unknown };
        if let Some(stream) = self.streams.get(grant) {
            if stream.may_read(request) {
                return self.add_reader(cx, link, grant, request, offset);
            }
            return self.refuse_commit(cx, link, commit, missing_outcome, Reason::GrantExpired);
        }
        if let Some(reservation) = self.grants.get(grant) {
            // The commit has not arrived. The reservation is cancelled, so that `not_run` stays
            // true if the commit arrives later.
            if reservation.head.request == request {
                self.cancel_reservation(cx, grant.seq);
            }
            return self.refuse_commit(cx, link, commit, Outcome::NotRun, Reason::GrantExpired);
        }
        match self.grants.classify_missing(grant) {
            grants::Missing::OtherProcess if resumable && self.may_adopt() => {
                self.adopt(cx, grant, request, fingerprint);
                self.add_reader(cx, link, grant, request, offset);
            }
            grants::Missing::OtherProcess => {
                self.refuse_commit(cx, link, commit, missing_outcome, Reason::AgentReplaced);
            }
            grants::Missing::Discarded => {
                self.refuse_commit(cx, link, commit, missing_outcome, Reason::GrantExpired);
            }
            grants::Missing::NeverCommitted => {
                self.refuse_commit(cx, link, commit, Outcome::NotRun, Reason::GrantExpired);
            }
        }
    }

    fn may_adopt(&self) -> bool {
        self.serves_models() && self.streams.open().len() < MAX_OPEN_STREAMS
    }

    /// Resumes the stream of a replaced process from its start, since the checksum covers all of
    /// it.
    fn adopt(
        &mut self,
        cx: &mut Context<'_>,
        grant: id::Grant,
        request: id::Request,
        fingerprint: u64,
    ) {
        let slot = self.limit.new_slot(0);
        self.limit.reserve(slot);
        let resume =
            streams::Resume { since: cx.now, attempts: 0, next_attempt: None, connected: false };
        let stream = streams::Stream {
            adopted: true,
            fingerprint,
            instance: None,
            resume: Some(resume),
            ..self.new_stream(cx, request, request::Kind::Model, slot)
        };
        self.streams.insert(grant, stream);
        self.count("adopted");
        self.trace(cx, request, Step::Dispatched, "adopted");
        self.resume(cx, grant);
    }

    /// Replays a stream from an offset. While the stream is open, the link stays as a reader.
    fn add_reader(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        grant: id::Grant,
        request: id::Request,
        offset: u64,
    ) {
        let Some(stream) = self.streams.get(grant) else { return };
        if offset < stream.buffer.start_offset() {
            let commit = grant::Commit { grant, request };
            return self.refuse_commit(cx, link, commit, Outcome::Incomplete, Reason::Overload);
        }
        let mut frames = Vec::new();
        if let Some((status, content_type)) = &stream.response_head
            && offset == 0
        {
            let (status, content_type) = (*status, content_type.clone());
            frames.push(frame::Body::Started { status, content_type });
        }
        let length = stream.buffer.length();
        if offset < length {
            let mut rest = stream.buffer.copy_from(offset);
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
        self.links.insert(link, LinkUse::Reader(grant));
        match stream.end.clone() {
            Some((_, end)) => self.send_end(cx, grant, reader, &end),
            None => {
                let stream = self.streams.get_mut(grant);
                if let Some(evicted) = stream.and_then(|stream| stream.add_reader(reader)) {
                    self.links.remove(&evicted.link);
                    cx.push(Action::Close { link: evicted.link });
                }
                self.rearm_stream(grant);
            }
        }
    }

    /// Removes a reader. A stream without readers is an orphan.
    pub(crate) fn remove_reader(&mut self, cx: &mut Context<'_>, grant: id::Grant, link: Link) {
        let Some(stream) = self.streams.open_mut(grant) else { return };
        stream.readers.retain(|reader| reader.link != link);
        if stream.readers.is_empty() {
            stream.orphan_since = Some(cx.now);
        }
        self.rearm_stream(grant);
    }

    /// Releases a slot that has not been committed, or ends the stream of this request if no other
    /// request reads it.
    pub(crate) fn handle_cancel(&mut self, cx: &mut Context<'_>, commit: grant::Commit) {
        let grant::Commit { grant, request } = commit;
        if self.grants.get(grant).is_some_and(|r| r.head.request == request) {
            self.count("cancelled");
            return self.cancel_reservation(cx, grant.seq);
        }
        let Some(stream) = self.streams.open_mut(grant) else { return };
        if !stream.may_read(request) {
            return;
        }
        let (cancelled, others): (Vec<_>, Vec<_>) =
            stream.readers.drain(..).partition(|reader| reader.request == request);
        stream.readers = others;
        let read_by_others = !stream.readers.is_empty();
        let is_owner = stream.owner == request;
        if !read_by_others {
            stream.orphan_since = Some(cx.now);
        }
        for reader in cancelled {
            self.links.remove(&reader.link);
            cx.push(Action::Close { link: reader.link });
        }
        if is_owner && !read_by_others {
            self.count("cancelled");
            self.abort(cx, grant, Reason::CallerGone);
        } else {
            self.rearm_stream(grant);
        }
    }
}
