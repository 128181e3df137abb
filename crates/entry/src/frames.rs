//! Handling of the frames on the stream of a grant.
//!
//! A frame is accepted only if it names the open request and its current grant and comes from the
//! agent of that grant, so that late or misrouted frames never reach a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use wire::{
    Frame,
    frame::Body,
    id,
    outcome::{Outcome, Reason, Refusal, Step},
};

use crate::{action::Action, open_request, state::State};

impl State {
    /// Handles one frame.
    pub fn handle_frame(&mut self, request: id::Request, peer: SocketAddr, frame: Frame) {
        let Some(key) = self.match_frame(request, peer, &frame) else {
            self.counters.count("misrouted_frames");
            return;
        };
        match frame.body {
            Body::Started { status, content_type } => {
                self.handle_started(key, status, content_type)
            }
            Body::Data { offset, bytes } => self.handle_data(key, offset, bytes),
            Body::End { length, crc32 } => self.handle_end(key, length, crc32),
            Body::Refused(refusal) => self.handle_grant_refused(key, refusal),
        }
        self.arm_timer(key);
    }

    fn match_frame(
        &self,
        request: id::Request,
        peer: SocketAddr,
        frame: &Frame,
    ) -> Option<open_request::Key> {
        let key = self.find_request(request).filter(|_| frame.request == request)?;
        let grant = self.open_requests.get(key)?.grant.as_ref()?;
        (grant.id == frame.grant && grant.peer == peer).then_some(key)
    }

    fn handle_started(&mut self, key: open_request::Key, status: u16, content_type: Bytes) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let (caller, request) = (open_request.caller, open_request.head.request);
        let Some(grant) = open_request.grant.as_mut().filter(|grant| !grant.started) else {
            return;
        };
        grant.started = true;
        grant.record_progress(self.now);
        let (agent, host) = (grant.agent, grant.host.clone());
        self.health.record_reply(self.now, agent);
        self.push(Action::Start { caller, request, status, content_type });
        self.enter_step(key, Step::Dispatched, "started", host);
        // A request whose response has begun is never offered again, so no other agent needs the
        // body.
        self.drop_body(key);
    }

    fn handle_data(&mut self, key: open_request::Key, offset: u64, mut bytes: Bytes) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let caller = open_request.caller;
        let Some(grant) = open_request.grant.as_mut() else { return };
        if !grant.started || offset > grant.offset {
            self.resume_after_gap(key);
            return;
        }
        let overlap = grant.offset - offset;
        if overlap >= bytes.len() as u64 {
            return;
        }
        let fresh = bytes.split_off(overlap as usize);
        grant.offset += fresh.len() as u64;
        grant.crc.update(&fresh);
        grant.record_progress(self.now);
        let host = grant.host.clone();
        self.push(Action::Data { caller, bytes: fresh });
        self.enter_step(key, Step::MidStream, "first_data", host);
    }

    fn handle_end(&mut self, key: open_request::Key, length: u64, crc32: u32) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let caller = open_request.caller;
        let Some(grant) = open_request.grant.as_mut() else { return };
        // Bytes before the end frame may be lost in transit. A second end frame at the same offset
        // means that the agent does not have them.
        let repeated = grant.early_end_offset == Some(grant.offset);
        if !grant.started || length > grant.offset && !repeated {
            grant.early_end_offset = grant.started.then_some(grant.offset);
            self.resume_after_gap(key);
            return;
        }
        if length != grant.offset || crc32 != grant.crc.clone().finalize() {
            let mut refusal =
                self.build_refusal(Outcome::Incomplete, Step::MidStream, Reason::Corrupt);
            refusal.peer =
                self.open_requests[key].grant.as_ref().map_or(refusal.peer, |g| g.host.clone());
            self.refuse_request(key, refusal);
            return;
        }
        self.set_suspected(key, false);
        // The agent has finished the grant, so there is nothing to cancel.
        self.open_requests[key].grant = None;
        self.counters.count("finished");
        self.close_request(key, "finished");
        self.push(Action::Finish { caller });
    }

    /// Attaches again at the offset reached so far, after frames were lost.
    fn resume_after_gap(&mut self, key: open_request::Key) {
        self.counters.count("gaps");
        self.schedule_attach(key);
    }

    /// Handles a refusal frame, which ends the response before it is complete. The request is
    /// offered to other agents only if the outcome is `not_run` and no response has begun.
    fn handle_grant_refused(&mut self, key: open_request::Key, mut refusal: Refusal) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let Some(grant) = open_request.grant.as_ref() else { return };
        if grant.started {
            refusal.outcome = Outcome::Incomplete;
        }
        let replaced = refusal.reason == Reason::AgentReplaced;
        let expired = refusal.reason == Reason::GrantExpired;
        if open_request.is_keyed() && (replaced || expired) && refusal.outcome == Outcome::NotRun {
            // The replaced agent process may have run an earlier request with this key, and after
            // a reservation expired, another request with the key may have run.
            refusal.outcome = Outcome::Unknown;
        }
        let failed = matches!(
            refusal.reason,
            Reason::BackendUnreachable | Reason::BackendCrashed | Reason::BackendSilent
        );
        let agent = grant.agent;
        if !replaced {
            // The process that issued the grant has the outcome of the request and counts crashes
            // itself, so the entry withdraws its report.
            self.set_suspected(key, false);
        }
        if failed {
            self.record_agent_failure(agent);
        }
        if refusal.outcome != Outcome::NotRun {
            // The agent has ended the grant itself.
            self.open_requests[key].grant = None;
            self.refuse_request(key, refusal);
        } else if let Some(agent) = self.return_to_queue(key) {
            self.handle_offer_refused(key, agent, refusal);
        }
    }
}
