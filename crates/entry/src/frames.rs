//! Checks of the frames that answer a grant.
//!
//! A frame counts only if it names the open request and its current grant and comes from the
//! agent that holds the grant, so that late or crossed frames never reach a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use wire::{
    Frame,
    frame::Body,
    id,
    outcome::{Outcome, Reason, Refusal, Step},
};

use crate::{action::Action, flight, state::State};

impl State {
    /// Handles one frame.
    pub fn frame(&mut self, request: id::Request, peer: SocketAddr, frame: Frame) {
        let Some(key) = self.match_frame(request, peer, &frame) else {
            self.counters.count("misrouted_frames");
            return;
        };
        match frame.body {
            Body::Started { status, content_type } => self.started(key, status, content_type),
            Body::Data { offset, bytes } => self.data(key, offset, bytes),
            Body::End { length, crc32 } => self.end(key, length, crc32),
            Body::Refused(refusal) => self.grant_refused(key, refusal),
        }
        self.arm(key);
    }

    fn match_frame(
        &self,
        request: id::Request,
        peer: SocketAddr,
        frame: &Frame,
    ) -> Option<flight::Key> {
        let key = self.find(request).filter(|_| frame.request == request)?;
        let grant = self.flights.get(key)?.grant.as_ref()?;
        (grant.id == frame.grant && grant.peer == peer).then_some(key)
    }

    fn started(&mut self, key: flight::Key, status: u16, content_type: Bytes) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let (caller, request) = (flight.caller, flight.head.request);
        let Some(grant) = flight.grant.as_mut().filter(|grant| !grant.started) else { return };
        grant.started = true;
        grant.advance(self.now);
        let (agent, host) = (grant.agent, grant.host.clone());
        self.health.record_reply(self.now, agent);
        self.push(Action::Start { caller, request, status, content_type });
        self.step(key, Step::Dispatched, "started", host);
        // An answer that began is never given back, so no other agent needs the body.
        self.release_body(key);
    }

    fn data(&mut self, key: flight::Key, offset: u64, mut bytes: Bytes) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let caller = flight.caller;
        let Some(grant) = flight.grant.as_mut() else { return };
        if !grant.started || offset > grant.offset {
            self.gap(key);
            return;
        }
        let known = grant.offset - offset;
        if known >= bytes.len() as u64 {
            return;
        }
        let fresh = bytes.split_off(known as usize);
        grant.offset += fresh.len() as u64;
        grant.crc.update(&fresh);
        grant.advance(self.now);
        let host = grant.host.clone();
        self.push(Action::Data { caller, bytes: fresh });
        self.step(key, Step::MidStream, "first_data", host);
    }

    fn end(&mut self, key: flight::Key, length: u64, crc32: u32) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let caller = flight.caller;
        let Some(grant) = flight.grant.as_mut() else { return };
        // Bytes before the end may be lost on the way. A second end at the same place means
        // that the agent does not have them.
        let repeated = grant.short_end == Some(grant.offset);
        if !grant.started || length > grant.offset && !repeated {
            grant.short_end = grant.started.then_some(grant.offset);
            self.gap(key);
            return;
        }
        if length != grant.offset || crc32 != grant.crc.clone().finalize() {
            let mut refusal = self.refusal(Outcome::Incomplete, Step::MidStream, Reason::Corrupt);
            refusal.peer =
                self.flights[key].grant.as_ref().map_or(refusal.peer, |g| g.host.clone());
            self.refuse(key, refusal);
            return;
        }
        self.suspect(key, false);
        // The agent has finished the grant, so there is nothing to cancel.
        self.flights[key].grant = None;
        self.counters.count("finished");
        self.close(key, "finished");
        self.push(Action::Finish { caller });
    }

    /// Reads on from the offset reached after frames were lost.
    fn gap(&mut self, key: flight::Key) {
        self.counters.count("gaps");
        self.schedule_attach(key);
    }

    /// Handles the agent's word that the answer ends without being whole. Only `not_run`
    /// before the answer began releases the request to other agents.
    fn grant_refused(&mut self, key: flight::Key, mut refusal: Refusal) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let Some(grant) = flight.grant.as_ref() else { return };
        if grant.started {
            refusal.outcome = Outcome::Incomplete;
        }
        let replaced = refusal.reason == Reason::AgentReplaced;
        let expired = refusal.reason == Reason::GrantExpired;
        if flight.is_keyed() && (replaced || expired) && refusal.outcome == Outcome::NotRun {
            // The replaced process may have run the key for an earlier call, and since a
            // reservation expired, the key was free for another call to run.
            refusal.outcome = Outcome::Unknown;
        }
        let failed = matches!(
            refusal.reason,
            Reason::BackendUnreachable | Reason::BackendCrashed | Reason::BackendSilent
        );
        let agent = grant.agent;
        if !replaced {
            // The agent knows what became of the request and counts crashes itself.
            self.suspect(key, false);
        }
        if failed {
            self.blame(agent);
        }
        if refusal.outcome != Outcome::NotRun {
            // The agent has ended the grant itself.
            self.flights[key].grant = None;
            self.refuse(key, refusal);
        } else if let Some(agent) = self.give_back(key) {
            self.offer_refused(key, agent, refusal);
        }
    }
}
