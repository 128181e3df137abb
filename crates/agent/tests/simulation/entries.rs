//! Simulated entries. They commit, cancel and attach, and check the replies and frames.

use agent::{Event, Link};
use bytes::Bytes;
use wire::{
    Frame, frame, grant, id, offer,
    outcome::{Outcome, Reason, Refusal},
    status,
};

use super::{Message, Simulation, backend};

/// A link on which an entry reads frames.
pub(super) struct Reader {
    pub(super) request: u64,
    pub(super) grant: id::Grant,
    pub(super) received: Vec<u8>,
}

impl Simulation {
    pub(super) fn cut_reader(&mut self, link: Link) {
        if let Some(reader) = self.readers.remove(&link) {
            self.cut_readers.insert(link, reader);
            self.schedule(500, Message::Attach(link));
            self.feed_event(Event::LinkClosed { link });
        }
    }

    pub(super) fn receive_reply(&mut self, link: Link, reply: offer::Reply) {
        let Some(seq) = self.offers.remove(&link) else { return };
        match reply {
            offer::Reply::Ready { grant, .. } => {
                let shared = self.dispatched.contains(&grant);
                assert!(
                    shared || !self.leaving,
                    "a new request gets a slot while the agent leaves"
                );
                self.commit(seq, grant);
            }
            offer::Reply::Refused(refusal) => self.handle_refused_offer(seq, &refusal),
        }
    }

    /// Commits in time, late, twice, after a cancel, or not at all.
    pub(super) fn commit(&mut self, seq: u64, grant: id::Grant) {
        let request = self.requests[&seq].request;
        let commit = grant::Commit { grant, request };
        let (copies, delay) = match self.rng.u32(0..20) {
            0 => (0, 0),
            1 => (2, 20),
            2 => (1, 800),
            3 => (2, 4000),
            _ => (1, 5),
        };
        if self.rng.u32(0..20) == 0 {
            self.cancelled.insert(grant);
            self.schedule(100, Message::Agent(Event::Cancel { commit }));
        }
        for _ in 0..copies {
            let link = self.new_link();
            self.readers.insert(link, Reader { request: seq, grant, received: Vec::new() });
            let body = Bytes::from_static(b"body");
            self.schedule(delay, Message::Agent(Event::Commit { link, commit, body }));
        }
    }

    pub(super) fn handle_refused_offer(&mut self, seq: u64, refusal: &Refusal) {
        let head = self.requests[&seq].clone();
        if refusal.outcome == Outcome::NotRun {
            assert!(!self.runs_by_request.contains_key(&seq), "request {seq} ran: {refusal:?}");
            let key_ran = head.key.as_ref().is_some_and(|key| self.runs_by_key.contains_key(key));
            assert!(!key_ran, "the key of request {seq} ran: {refusal:?}");
        }
        let capacity_reasons = [Reason::Overload, Reason::Displaced, Reason::AccountLimit];
        if capacity_reasons.contains(&refusal.reason) {
            let mut status = status::Status::default();
            self.machine.report(self.now, &mut status);
            let lower = status.queued.keys().any(|rank| *rank > head.tier.0);
            assert!(!lower, "tier {:?} is refused: {:?}", head.tier, status.queued);
        }
        if refusal.outcome == Outcome::NotRun && self.rng.u32(0..3) == 0 {
            self.schedule(1000, Message::Offer(seq));
        }
    }

    pub(super) fn receive_frame(&mut self, link: Link, frame: Frame) {
        let Some(reader) = self.readers.get_mut(&link) else { return };
        assert_eq!(frame.grant, reader.grant);
        assert_eq!(frame.request, self.requests[&reader.request].request);
        match frame.body {
            frame::Body::Started { .. } => {}
            frame::Body::Data { offset, bytes } => {
                assert_eq!(offset, reader.received.len() as u64, "bytes are missing");
                reader.received.extend_from_slice(&bytes);
            }
            frame::Body::End { length, crc32 } => {
                assert_eq!(
                    reader.received,
                    backend::response(&self.requests[&reader.request]),
                    "the response is incomplete"
                );
                assert_eq!(length, reader.received.len() as u64);
                assert_eq!(crc32, crc32fast::hash(&reader.received));
                self.whole_responses += 1;
                self.readers.remove(&link);
            }
            frame::Body::Refused(refusal) => {
                let grant = reader.grant;
                let request = reader.request;
                self.readers.remove(&link);
                if refusal.outcome == Outcome::NotRun {
                    let inactive =
                        self.runs.get(&grant).is_none_or(|run| run.produced == usize::MAX);
                    assert!(inactive, "{grant} runs: {refusal:?}");
                    assert!(
                        !self.runs_by_request.contains_key(&request),
                        "request ran: {refusal:?}"
                    );
                    self.reported_not_run.insert(grant);
                }
            }
        }
    }
}
