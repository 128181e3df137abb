//! The fake backend: an engine that can be resumed, crashes, and records what ran.

use std::time::Duration;

use agent::Progress;
use bytes::Bytes;
use wire::{id, request, time::Instant};

use super::{Message, POISON, World};

/// A request in the engine.
pub(super) struct Run {
    pub(super) answer: Bytes,
    pub(super) made: usize,
    pub(super) ended: bool,
    pub(super) poison: bool,
    /// Whether it was a suspect when it was dispatched.
    pub(super) alone: bool,
    pub(super) epoch: u64,
    pub(super) connected: bool,
    /// When the last message on the connection arrives, so that none overtakes it.
    pub(super) arrival: Instant,
}

pub(super) fn answer(request: &request::Head) -> Bytes {
    let text = format!("answer to {:x}; ", request.fingerprint);
    text.repeat(1 + request.fingerprint as usize % 7).into()
}

impl World {
    pub(super) fn crash(&mut self) {
        self.engine += 1;
        self.up = false;
        self.post(400, Message::Restart);
        for grant in self.runs.keys().copied().collect::<Vec<_>>() {
            self.cut_backend(grant, false);
        }
        self.runs.values_mut().for_each(|run| run.made = usize::MAX);
    }

    /// Cuts a connection to the engine; a silent cut is not reported.
    pub(super) fn cut_backend(&mut self, grant: id::Grant, silent: bool) {
        if let Some(run) = self.runs.get_mut(&grant) {
            run.epoch += 1;
            run.connected = false;
        }
        if !silent {
            self.tell(grant, Progress::ConnectionLost);
        }
    }

    /// Sends progress on the present connection, in order.
    pub(super) fn tell(&mut self, grant: id::Grant, progress: Progress) {
        let delay = Duration::from_micros(self.rng.u64(0..3000));
        let Some(run) = self.runs.get_mut(&grant) else { return };
        run.arrival = run.arrival.max(self.now + delay) + Duration::from_micros(1);
        self.sequence += 1;
        let message = Message::Backend(grant, run.epoch, progress);
        self.inbox.insert((run.arrival, self.sequence), message);
    }

    pub(super) fn produce(&mut self, grant: id::Grant) {
        let Some(run) = self.runs.get_mut(&grant) else { return };
        if run.ended || run.made == usize::MAX {
            return;
        }
        if run.poison && run.made > 0 {
            self.poison_crashes += 1;
            return self.crash();
        }
        if run.made == run.answer.len() {
            run.ended = true;
            if run.connected {
                self.tell(grant, Progress::End);
            }
            return;
        }
        let next = (run.made + 20).min(run.answer.len());
        let offset = run.made as u64;
        let bytes = run.answer.slice(run.made..next);
        run.made = next;
        if run.connected {
            self.tell(grant, Progress::Data { offset, bytes });
        }
        self.post(60, Message::Produce(grant));
    }

    pub(super) fn started(&self) -> Progress {
        let instance = self.instance();
        Progress::Started { status: 200, content_type: Bytes::new(), instance }
    }

    pub(super) fn dispatch(&mut self, grant: id::Grant, head: request::Head) {
        let seq = head.request.seq;
        assert!(self.dispatched.insert(grant), "{grant} is dispatched twice");
        assert!(!self.given_up.contains(&grant), "{grant} was given up and runs");
        let poison = head.fingerprint == POISON;
        let (made, ended, epoch) = (0, false, 0);
        let active = |run: &Run| !run.ended && run.made != usize::MAX;
        let others =
            self.runs.iter().filter(|(other, run)| other.process.0 == self.process && active(run));
        // One that became a suspect while it ran has others beside it already.
        let suspicious = |seq: u64| self.suspects.contains(&self.heads[&seq].fingerprint);
        for (_, other) in others {
            assert!(!suspicious(seq), "a suspect starts beside another request");
            assert!(!other.alone, "a request starts beside a suspect");
        }
        let alone = suspicious(seq);
        let arrival = self.now;
        let answer = answer(&head);
        let run = Run { answer, made, ended, poison, alone, epoch, connected: true, arrival };
        self.runs.insert(grant, run);
        if !self.up {
            self.runs.get_mut(&grant).expect("just inserted").made = usize::MAX;
            return self.tell(grant, Progress::Unreachable);
        }
        *self.ran.entry(seq).or_default() += 1;
        assert_eq!(self.ran[&seq], 1, "request {seq} runs twice");
        if let Some(key) = head.key {
            *self.keys_ran.entry(key.clone()).or_default() += 1;
            assert_eq!(self.keys_ran[&key], 1, "{key} runs twice");
        }
        let started = self.started();
        self.tell(grant, started);
        self.post(60, Message::Produce(grant));
    }

    pub(super) fn resume(&mut self, grant: id::Grant, offset: u64) {
        let (up, instance, started) = (self.up, self.instance(), self.started());
        let Some(run) = self.runs.get_mut(&grant) else { return };
        run.epoch += 1;
        run.connected = true;
        if !up {
            return self.tell(grant, Progress::Unreachable);
        }
        if run.made == usize::MAX {
            return self.tell(grant, Progress::StreamNotFound { instance });
        }
        let (bytes, ended) = (run.answer.slice(offset as usize..run.made), run.ended);
        self.tell(grant, started);
        self.tell(grant, Progress::Data { offset, bytes });
        if ended {
            self.tell(grant, Progress::End);
        }
    }
}
