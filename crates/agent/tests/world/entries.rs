//! Fake entries: they commit, cancel, attach and check what they are told.

use agent::{Event, Link};
use bytes::Bytes;
use wire::{
    Frame, frame, grant, id, offer,
    outcome::{Outcome, Reason, Refusal},
    status,
};

use super::{Message, World, backend};

/// A link on which an entry reads frames.
pub(super) struct Reader {
    pub(super) request: u64,
    pub(super) grant: id::Grant,
    pub(super) received: Vec<u8>,
}

impl World {
    pub(super) fn cut_reader(&mut self, link: Link) {
        if let Some(reader) = self.readers.remove(&link) {
            self.cut.insert(link, reader);
            self.post(500, Message::Attach(link));
            self.feed(Event::LinkClosed { link });
        }
    }

    pub(super) fn reply(&mut self, link: Link, reply: offer::Reply) {
        let Some(seq) = self.offers.remove(&link) else { return };
        match reply {
            offer::Reply::Ready { grant, .. } => {
                let shared = self.dispatched.contains(&grant);
                assert!(shared || !self.leaving, "new work is taken while leaving");
                self.commit(seq, grant);
            }
            offer::Reply::Refused(refusal) => self.refused_offer(seq, &refusal),
        }
    }

    /// Commits in time, late, twice, after a cancel, or not at all.
    pub(super) fn commit(&mut self, seq: u64, grant: id::Grant) {
        let request = self.heads[&seq].request;
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
            self.post(100, Message::Agent(Event::Cancel { commit }));
        }
        for _ in 0..copies {
            let link = self.link();
            self.readers.insert(link, Reader { request: seq, grant, received: Vec::new() });
            let body = Bytes::from_static(b"body");
            self.post(delay, Message::Agent(Event::Commit { link, commit, body }));
        }
    }

    pub(super) fn refused_offer(&mut self, seq: u64, refusal: &Refusal) {
        let head = self.heads[&seq].clone();
        if refusal.outcome == Outcome::NotRun {
            assert!(!self.ran.contains_key(&seq), "request {seq} ran: {refusal:?}");
            let ran = head.key.as_ref().is_some_and(|key| self.keys_ran.contains_key(key));
            assert!(!ran, "the key of request {seq} ran: {refusal:?}");
        }
        let room = [Reason::Overload, Reason::Displaced, Reason::AccountLimit];
        if room.contains(&refusal.reason) {
            let mut status = status::Status::default();
            self.machine.report(self.now, &mut status);
            let lower = status.queued.keys().any(|rank| *rank > head.tier.0);
            assert!(!lower, "tier {:?} is refused: {:?}", head.tier, status.queued);
        }
        if refusal.outcome == Outcome::NotRun && self.rng.u32(0..3) == 0 {
            self.post(1000, Message::Offer(seq));
        }
    }

    pub(super) fn frame(&mut self, link: Link, frame: Frame) {
        let Some(reader) = self.readers.get_mut(&link) else { return };
        assert_eq!(frame.grant, reader.grant);
        assert_eq!(frame.request, self.heads[&reader.request].request);
        match frame.body {
            frame::Body::Started { .. } => {}
            frame::Body::Data { offset, bytes } => {
                assert_eq!(offset, reader.received.len() as u64, "bytes are missing");
                reader.received.extend_from_slice(&bytes);
            }
            frame::Body::End { length, crc32 } => {
                assert_eq!(
                    reader.received,
                    backend::answer(&self.heads[&reader.request]),
                    "not whole"
                );
                assert_eq!(length, reader.received.len() as u64);
                assert_eq!(crc32, crc32fast::hash(&reader.received));
                self.ends += 1;
                self.readers.remove(&link);
            }
            frame::Body::Refused(refusal) => {
                let grant = reader.grant;
                let request = reader.request;
                self.readers.remove(&link);
                if refusal.outcome == Outcome::NotRun {
                    let given_up = self.runs.get(&grant).is_none_or(|run| run.made == usize::MAX);
                    assert!(given_up, "{grant} runs: {refusal:?}");
                    assert!(!self.ran.contains_key(&request), "request ran: {refusal:?}");
                    self.given_up.insert(grant);
                }
            }
        }
    }
}
