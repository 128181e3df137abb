//! Progress of dispatched requests: responses, lost connections, resumes and crashes of the backend
//! server.

use std::time::Duration;

use bytes::{Buf, Bytes};
use wire::{
    frame, id,
    outcome::{Outcome, Reason, Step},
    request,
    response::Meaning,
    sync,
};

use crate::{
    Action, Progress, backend_state, event::Context, machine::Machine, streams, timers::Timer,
};

/// Delay of the first attempt to resume. It doubles with each attempt up to the maximum.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

impl Machine {
    pub(crate) fn handle_progress(
        &mut self,
        cx: &mut Context<'_>,
        grant: id::Grant,
        progress: Progress,
    ) {
        match progress {
            Progress::Started { status, content_type, instance } => {
                self.handle_start(cx, grant, (status, content_type), &instance);
            }
            Progress::Data { offset, bytes } => self.append_data(cx, grant, offset, bytes),
            Progress::End => self.handle_end(cx, grant, true),
            Progress::Closed => self.handle_end(cx, grant, false),
            Progress::Unreachable => self.handle_unreachable(cx, grant),
            Progress::ConnectionLost => self.handle_lost_connection(cx, grant),
            Progress::StreamNotFound { instance } => {
                self.handle_missing_stream(cx, grant, &instance)
            }
        }
    }

    pub(crate) fn handle_probe(&mut self, cx: &mut Context<'_>, instance: Option<Bytes>) {
        self.rate_limit.take();
        match instance {
            None => self.backend.count_failed_probe(),
            Some(instance) => {
                self.backend.mark_responsive();
                self.observe_instance(cx, &instance);
            }
        }
    }

    /// Compares the instance that a message names with the last one. A new instance means that the
    /// previous one crashed, and the requests that ran there become suspects.
    fn observe_instance(&mut self, cx: &mut Context<'_>, instance: &Bytes) {
        match self.backend.observe_instance(instance) {
            backend_state::Observation::Ignored => {}
            backend_state::Observation::Unchanged => {
                let cleared = self.backend.remove_cleared(cx.now, true);
                for attempt in &cleared {
                    if attempt.ending == cause::Ending::Closed {
                        self.record_completion(cx, attempt.fingerprint);
                    }
                }
                self.unblock_ended(&cleared);
            }
            backend_state::Observation::First => {
                for grant in self.streams.open().clone() {
                    if let Some(stream) = self.streams.open_mut(grant)
                        && stream.instance.is_none()
                        && !stream.adopted
                    {
                        stream.instance = Some(instance.clone());
                    }
                }
            }
            backend_state::Observation::Restarted => self.record_crash(cx, instance),
        }
    }

    /// Returns an identifier of the last counted crash, different from those of other processes.
    fn crash_id(&self) -> u64 {
        let crashes = self.counters.get("backend_crashes").copied().unwrap_or_default();
        self.setup.process.0.wrapping_add(crashes)
    }

    fn record_crash(&mut self, cx: &mut Context<'_>, instance: &Bytes) {
        self.count("backend_crashes");
        let crash = self.crash_id();
        let ended = self.backend.remove_all_ended();
        let mut fingerprints: Vec<u64> = ended.iter().map(|attempt| attempt.fingerprint).collect();
        // The engine of a host that leaves may have been stopped as planned.
        let listing = match self.drain.is_host_leaving() {
            true => cause::Listing::Replaced,
            false => cause::Listing::Current,
        };
        for grant in self.streams.open().clone() {
            let Some(stream) = self.streams.open_mut(grant) else { continue };
            let on_new_instance = stream.instance.as_ref() == Some(instance);
            let unconfirmed = stream.adopted && stream.response_head.is_none();
            if !on_new_instance && stream.counted_crash.is_none() && !unconfirmed {
                stream.counted_crash = Some(crash);
                let answer = cause::Answer::since(cx.now, stream.first_byte_at);
                if answer.accuses_request(listing) {
                    fingerprints.push(stream.fingerprint);
                }
            }
        }
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.retain(|fingerprint| *fingerprint != 0);
        let suspect = |fingerprint| sync::Suspect { fingerprint, crash, cleared: false };
        let suspects: Vec<sync::Suspect> = fingerprints.into_iter().map(suspect).collect();
        for suspect in &suspects {
            self.suspects.record_own_crash(cx.now, *suspect, self.quarantine_ttl());
        }
        if !suspects.is_empty() {
            cx.push(Action::Suspects(suspects));
        }
        self.unblock_ended(&ended);
    }

    /// Lets requests run that waited for attempts with the same fingerprints.
    pub(crate) fn unblock_ended(&mut self, ended: &[backend_state::Attempt]) {
        let fingerprints: Vec<u64> = ended.iter().map(|attempt| attempt.fingerprint).collect();
        self.unblock_next(&fingerprints);
    }

    /// Records that a copy of a request completed, which clears it at all agents.
    fn record_completion(&mut self, cx: &mut Context<'_>, fingerprint: u64) {
        let crashes = self.suspects.record_completion(cx.now, fingerprint);
        if !crashes.is_empty() {
            let cleared = |crash| sync::Suspect { fingerprint, crash, cleared: true };
            cx.push(Action::Suspects(crashes.into_iter().map(cleared).collect()));
        }
    }

    fn handle_start(
        &mut self,
        cx: &mut Context<'_>,
        grant: id::Grant,
        response_head: (u16, Bytes),
        instance: &Bytes,
    ) {
        self.backend.mark_responsive();
        let Some(stream) = self.streams.open_mut(grant) else {
            return self.observe_instance(cx, instance);
        };
        let instance_changed = !instance.is_empty() && stream.instance.as_ref() != Some(instance);
        if instance_changed && stream.response_head.is_some() {
            // The first part came from another instance and need not match this one.
            self.observe_instance(cx, instance);
            return self.abort(cx, grant, Reason::BackendCrashed);
        }
        // The request was dispatched before the crash was detected, but to the new instance.
        let retracted_crash = if instance_changed { stream.counted_crash.take() } else { None };
        let fingerprint = stream.fingerprint;
        if instance_changed {
            stream.instance = Some(instance.clone());
        }
        stream.last_progress = cx.now;
        if let Some(resume) = &mut stream.resume {
            resume.connected = true;
            resume.next_attempt = None;
        }
        let first = stream.response_head.is_none();
        if first && !Meaning::of(response_head.0).is_forwarded() {
            self.withhold_response(cx, grant, response_head.0);
        } else if first {
            stream.response_head = Some(response_head.clone());
            stream.first_byte_at = Some(cx.now);
            let (elapsed, tokens_at_dispatch) =
                (cx.now.since(stream.dispatched_at), stream.tokens_at_dispatch);
            self.limit.end_prefill(&mut stream.slot);
            if stream.kind == request::Kind::Model && !stream.adopted && stream.resume.is_none() {
                self.limit.record_first_byte(cx.now, elapsed, tokens_at_dispatch);
            }
            let owner = stream.owner;
            self.trace(cx, owner, Step::MidStream, "started");
            self.send_started(cx, grant, response_head);
        }
        if let Some(crash) = retracted_crash {
            let suspect = sync::Suspect { fingerprint, crash, cleared: true };
            self.suspects.merge(cx.now, suspect, self.quarantine_ttl());
            cx.push(Action::Suspects(vec![suspect]));
        }
        self.observe_instance(cx, instance);
        self.rearm_stream(grant);
    }

    /// Ends a request whose backend server answers with a status that its caller must not get, since
    /// the request may have run.
    fn withhold_response(&mut self, cx: &mut Context<'_>, grant: id::Grant, status: u16) {
        let Some(stream) = self.streams.get(grant) else { return };
        let owner = stream.owner;
        tracing::info!(event = "response_withheld", request = %owner, %grant, status);
        self.count("withheld_responses");
        self.trace(cx, owner, Step::Dispatched, "withheld");
        let refusal = self.refusal(Outcome::Unknown, Step::Dispatched, Reason::BackendStatus, None);
        self.finish_stream(cx, grant, frame::Body::Refused(refusal));
    }

    fn send_started(
        &mut self,
        cx: &mut Context<'_>,
        grant: id::Grant,
        response_head: (u16, Bytes),
    ) {
        let Some(stream) = self.streams.get(grant) else { return };
        let (status, content_type) = response_head;
        for reader in stream.readers.iter().filter(|reader| reader.offset == 0) {
            let body = frame::Body::Started { status, content_type: content_type.clone() };
            let frame = wire::Frame { request: reader.request, grant, body };
            cx.push(Action::Frame { link: reader.link, frame });
        }
    }

    /// Appends bytes of the response. After a pause of the process, bytes of the connection before
    /// a resume may be handled among those of the resumed connection, so bytes that are in the
    /// stream already are skipped.
    fn append_data(
        &mut self,
        cx: &mut Context<'_>,
        grant: id::Grant,
        offset: u64,
        mut bytes: Bytes,
    ) {
        let Some(stream) = self.streams.open_mut(grant) else { return };
        let start = stream.buffer.length();
        if offset > start {
            return self.schedule_resume(cx, grant);
        }
        let duplicates = (start - offset).min(bytes.len() as u64) as usize;
        bytes.advance(duplicates);
        let has_progress = self.streams.append(grant, &bytes);
        let Some(stream) = self.streams.open_mut(grant) else { return };
        let resumed = has_progress && stream.resume.take().is_some();
        if has_progress {
            stream.last_progress = cx.now;
        }
        let end = start + bytes.len() as u64;
        for reader in stream.readers.iter_mut().filter(|reader| reader.offset < end) {
            let skip = reader.offset.saturating_sub(start) as usize;
            let body = frame::Body::Data { offset: reader.offset, bytes: bytes.slice(skip..) };
            reader.offset = end;
            let frame = wire::Frame { request: reader.request, grant, body };
            cx.push(Action::Frame { link: reader.link, frame });
        }
        if resumed {
            self.rearm_stream(grant);
        }
        self.discard_excess_streams();
    }

    /// Handles the end of a body. If its content isn't complete there, it was broken off.
    fn handle_end(&mut self, cx: &mut Context<'_>, grant: id::Grant, is_framed: bool) {
        let Some(stream) = self.streams.open_mut(grant) else { return };
        if stream.is_complete(is_framed) {
            let has_own_end = stream.has_own_end(is_framed);
            return self.finish_response(cx, grant, has_own_end);
        }
        let (owner, offset) = (stream.owner, stream.buffer.length());
        tracing::info!(event = "broken_off", request = %owner, %grant, offset, is_framed);
        self.count("broken_off");
        self.trace(cx, owner, Step::MidStream, "broken_off");
        self.handle_lost_connection(cx, grant);
    }

    /// Ends a response that is complete. Unless it has an end of its own, it is known to be that of
    /// the whole response only once the backend server goes on.
    fn finish_response(&mut self, cx: &mut Context<'_>, grant: id::Grant, has_own_end: bool) {
        let Some(stream) = self.streams.open_mut(grant) else { return };
        let body =
            frame::Body::End { length: stream.buffer.length(), crc32: stream.buffer.crc32() };
        let (fingerprint, owner) = (stream.fingerprint, stream.owner);
        let (first_byte_at, output_tokens) = (stream.first_byte_at, stream.output_tokens);
        if let Some(first_byte_at) = first_byte_at.filter(|_| stream.kind == request::Kind::Model) {
            self.limit.record_output(cx.now.since(first_byte_at), output_tokens);
        }
        self.count("ended");
        self.trace(cx, owner, Step::Answered, "ended");
        if !has_own_end && fingerprint != 0 {
            self.add_ended(cx, fingerprint, cause::Ending::Closed);
        }
        self.finish_stream(cx, grant, body);
        if has_own_end {
            self.record_completion(cx, fingerprint);
        }
    }

    fn add_ended(&mut self, cx: &Context<'_>, fingerprint: u64, ending: cause::Ending) {
        let attempt = backend_state::Attempt { at: cx.now, fingerprint, ending };
        let until = self.backend.add_ended(attempt);
        self.timers.arm(until, Timer::Backend);
    }

    fn handle_unreachable(&mut self, cx: &mut Context<'_>, grant: id::Grant) {
        let until = self.backend.pause_grants(cx.now);
        self.timers.arm(until, Timer::Backend);
        let Some(stream) = self.streams.open_mut(grant) else { return };
        if stream.resume.is_some() || stream.response_head.is_some() {
            return self.schedule_resume(cx, grant);
        }
        let (key_seq, kind, permit) = (stream.key_seq, stream.kind, stream.permit.take());
        self.rate_limit.put_back(permit);
        let retry_after = Some(self.queue_delay());
        let reason = Reason::BackendUnreachable;
        let refusal = self.refusal(Outcome::NotRun, Step::Dispatched, reason, retry_after);
        tracing::debug!(grant = %grant, kind = ?kind, "backend unreachable");
        self.finish_stream(cx, grant, frame::Body::Refused(refusal));
        if let Some(seq) = key_seq {
            self.release_key(cx, seq);
        }
    }

    fn handle_lost_connection(&mut self, cx: &mut Context<'_>, grant: id::Grant) {
        let until = self.backend.pause_grants(cx.now);
        self.timers.arm(until, Timer::Backend);
        let Some(stream) = self.streams.open_mut(grant) else { return };
        match stream.kind {
            request::Kind::Model => self.schedule_resume(cx, grant),
            request::Kind::Service => self.abort(cx, grant, Reason::BackendSilent),
        }
    }

    /// Schedules the next attempt to resume, with jitter so that the streams of one backend server
    /// don't reconnect all at once.
    fn schedule_resume(&mut self, cx: &mut Context<'_>, grant: id::Grant) {
        let Some(stream) = self.streams.open_mut(grant) else { return };
        let first_attempt =
            streams::Resume { since: cx.now, attempts: 0, next_attempt: None, connected: false };
        let resume = stream.resume.get_or_insert(first_attempt);
        let backoff = (MIN_BACKOFF * 2u32.saturating_pow(resume.attempts)).min(MAX_BACKOFF);
        let jittered = backoff * self.rng.u32(50..150) / 100;
        resume.next_attempt = Some(cx.now + jittered);
        resume.connected = false;
        self.rearm_stream(grant);
    }

    /// Resumes a stream, or schedules that for the time at which the rate limit allows it.
    pub(crate) fn resume(&mut self, cx: &mut Context<'_>, grant: id::Grant) {
        let is_allowed = self.rate_limit.allows_request(cx.now);
        let next_request = self.rate_limit.next_request();
        let Some(stream) = self.streams.open_mut(grant) else { return };
        let first_attempt =
            streams::Resume { since: cx.now, attempts: 0, next_attempt: None, connected: false };
        let resume = stream.resume.get_or_insert(first_attempt);
        if !is_allowed {
            resume.next_attempt = next_request;
            resume.connected = false;
            return self.rearm_stream(grant);
        }
        resume.attempts = resume.attempts.saturating_add(1).min(16);
        resume.next_attempt = None;
        let offset = stream.buffer.length();
        self.rate_limit.take();
        self.count("resumes");
        cx.push(Action::Resume { grant, offset });
        self.rearm_stream(grant);
    }

    fn handle_missing_stream(&mut self, cx: &mut Context<'_>, grant: id::Grant, instance: &Bytes) {
        self.backend.mark_responsive();
        let Some(stream) = self.streams.open_mut(grant) else {
            return self.observe_instance(cx, instance);
        };
        let unknown_instance = stream.instance.is_none() || instance.is_empty();
        let restarted = !unknown_instance && stream.instance.as_ref() != Some(instance);
        let unconfirmed = stream.adopted && stream.response_head.is_none();
        self.observe_instance(cx, instance);
        if unconfirmed {
            self.abort(cx, grant, Reason::AgentReplaced);
        } else if restarted {
            self.abort(cx, grant, Reason::BackendCrashed);
        } else {
            self.abort(cx, grant, Reason::BackendSilent);
        }
    }

    /// Counts a crash against a request whose agent and backend server both went down while it ran,
    /// since the replaced agent could not report it.
    fn suspect_adopted(&mut self, cx: &mut Context<'_>, grant: id::Grant) {
        let Some(stream) = self.streams.open_mut(grant) else { return };
        let fingerprint = stream.fingerprint;
        if fingerprint == 0 {
            return;
        }
        let suspect = sync::Suspect::from_unreachable_agent(grant, fingerprint);
        self.suspects.record_own_crash(cx.now, suspect, self.quarantine_ttl());
        cx.push(Action::Suspects(vec![suspect]));
    }

    /// Ends a stream whose request may have run and whose response is incomplete.
    pub(crate) fn abort(&mut self, cx: &mut Context<'_>, grant: id::Grant, reason: Reason) {
        let Some(stream) = self.streams.open_mut(grant) else { return };
        let has_begun = stream.response_head.is_some() || stream.buffer.length() > 0;
        // A request whose connection was lost may not have reached the backend server.
        let outcome = if has_begun { Outcome::Incomplete } else { Outcome::Unknown };
        let step = if has_begun { Step::MidStream } else { Step::Dispatched };
        let (owner, fingerprint) = (stream.owner, stream.fingerprint);
        let already_counted = stream.counted_crash.is_some() || stream.adopted;
        let unconfirmed = stream.adopted && stream.response_head.is_none();
        if matches!(reason, Reason::CallerGone | Reason::BackendSilent) {
            cx.push(Action::Cancel { grant });
        }
        let reason = match reason {
            // This process can't tell whether the engine crashed together with the replaced one.
            // The entry keeps its own report only for this reason.
            Reason::BackendSilent if unconfirmed => Reason::AgentReplaced,
            reason => reason,
        };
        if unconfirmed && reason == Reason::AgentReplaced {
            self.suspect_adopted(cx, grant);
        }
        let refusal = self.refusal(outcome, step, reason, None);
        self.trace(cx, owner, step, "aborted");
        // Recorded before the slot is released, so that no request with the same fingerprint gets
        // it at once.
        if !already_counted && fingerprint != 0 {
            self.add_ended(cx, fingerprint, cause::Ending::GivenUp);
        }
        self.finish_stream(cx, grant, frame::Body::Refused(refusal));
    }

    /// Sends the last frame to all readers and releases the slot and the fingerprint of the stream.
    fn finish_stream(&mut self, cx: &mut Context<'_>, grant: id::Grant, body: frame::Body) {
        let Some(stream) = self.streams.open_mut(grant) else { return };
        stream.end = Some((cx.now, body.clone()));
        stream.orphan_since = None;
        let readers = std::mem::take(&mut stream.readers);
        let (slot, exclusive) = (stream.slot, stream.exclusive);
        let (kind, fingerprint, adopted) = (stream.kind, stream.fingerprint, stream.adopted);
        for reader in readers {
            self.send_end(cx, grant, reader, &body);
        }
        self.streams.finish(grant);
        self.release_slot(cx.now, slot, exclusive);
        if !adopted {
            self.remove_active_fingerprint(kind, fingerprint);
        }
        self.rearm_stream(grant);
        self.discard_excess_streams();
    }

    /// Sends the last frame to one reader. A reader that has received part of the response gets
    /// `incomplete` instead of `unknown`. One whose offset is beyond the end gets a refusal with
    /// reason `corrupt`.
    pub(crate) fn send_end(
        &mut self,
        cx: &mut Context<'_>,
        grant: id::Grant,
        reader: streams::Reader,
        body: &frame::Body,
    ) {
        let mut body = body.clone();
        match &mut body {
            frame::Body::Refused(refusal)
                if reader.offset > 0 && refusal.outcome == Outcome::Unknown =>
            {
                refusal.outcome = Outcome::Incomplete;
            }
            frame::Body::End { length, .. } if reader.offset > *length => {
                let (outcome, reason) = (Outcome::Incomplete, Reason::Corrupt);
                let refusal = self.refusal(outcome, Step::MidStream, reason, None);
                body = frame::Body::Refused(refusal);
            }
            _ => {}
        }
        self.links.remove(&reader.link);
        let frame = wire::Frame { request: reader.request, grant, body };
        cx.push(Action::Frame { link: reader.link, frame });
        cx.push(Action::Close { link: reader.link });
    }

    pub(crate) fn rearm_stream(&mut self, grant: id::Grant) {
        let bounds = self.stream_bounds();
        let Some(stream) = self.streams.get_mut(grant) else { return };
        self.timers.disarm(stream.armed_for, Timer::Stream(grant));
        stream.armed_for = stream.due_at(bounds);
        self.timers.arm(stream.armed_for, Timer::Stream(grant));
    }

    /// Handles the timer of a stream: discards one whose retention time has passed, aborts an
    /// orphan or one that wasn't resumed in time or can't be resumed, and resumes any other.
    pub(crate) fn check_stream(&mut self, cx: &mut Context<'_>, grant: id::Grant) {
        let bounds = self.stream_bounds();
        let Some(stream) = self.streams.get(grant) else { return };
        if stream.due_at(bounds) > cx.now {
            return self.rearm_stream(grant);
        }
        if stream.end.is_some() {
            return self.discard_stream(grant);
        }
        if stream.orphan_expires_at(bounds).is_some_and(|at| at <= cx.now) {
            return self.abort(cx, grant, Reason::CallerGone);
        }
        let resumable = stream.kind == request::Kind::Model;
        match stream.resume {
            Some(resume) if resume.since + bounds.resume_limit <= cx.now => {
                self.abort(cx, grant, Reason::BackendSilent);
            }
            None if !resumable => self.abort(cx, grant, Reason::BackendSilent),
            _ => self.resume(cx, grant),
        }
    }

    fn discard_stream(&mut self, grant: id::Grant) {
        if let Some(stream) = self.streams.remove(grant) {
            self.timers.disarm(stream.armed_for, Timer::Stream(grant));
            self.grants.raise_low_water_mark(grant);
        }
    }

    fn discard_excess_streams(&mut self) {
        while let Some(oldest) = self.streams.oldest_to_discard() {
            self.discard_stream(oldest);
        }
    }
}
