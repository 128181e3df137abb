//! Simulated backend server. Its streams can be resumed, it crashes, and it records which requests
//! ran.

use std::time::Duration;

use agent::Progress;
use bytes::Bytes;
use wire::{id, request, time::Instant};

use super::{Message, POISON_FINGERPRINT, Simulation};

/// A request at the backend server.
pub(super) struct Run {
    pub(super) response: Bytes,
    /// Bytes produced; `usize::MAX` after a crash or a cancel.
    pub(super) produced: usize,
    pub(super) ended: bool,
    pub(super) poison: bool,
    /// Whether it was a suspect when it was dispatched.
    pub(super) exclusive: bool,
    pub(super) epoch: u64,
    pub(super) connected: bool,
    /// Arrival of the last message on the connection; later messages arrive after it.
    pub(super) arrival: Instant,
}

pub(super) fn response(request: &request::Head) -> Bytes {
    let text = format!("answer to {:x}; ", request.fingerprint);
    text.repeat(1 + request.fingerprint as usize % 7).into()
}

impl Simulation {
    pub(super) fn crash(&mut self) {
        self.instance_number += 1;
        self.backend_up = false;
        self.schedule(400, Message::Restart);
        for grant in self.runs.keys().copied().collect::<Vec<_>>() {
            self.cut_connection(grant, false);
        }
        self.runs.values_mut().for_each(|run| run.produced = usize::MAX);
    }

    /// Cuts the connection of a stream. An unreported cut sends no progress.
    pub(super) fn cut_connection(&mut self, grant: id::Grant, unreported: bool) {
        if let Some(run) = self.runs.get_mut(&grant) {
            run.epoch += 1;
            run.connected = false;
        }
        if !unreported {
            self.send_progress(grant, Progress::ConnectionLost);
        }
    }

    /// Sends progress on the present connection, in order.
    pub(super) fn send_progress(&mut self, grant: id::Grant, progress: Progress) {
        let delay = Duration::from_micros(self.rng.u64(0..3000));
        let Some(run) = self.runs.get_mut(&grant) else { return };
        run.arrival = run.arrival.max(self.now + delay) + Duration::from_micros(1);
        self.sequence += 1;
        let message = Message::Backend(grant, run.epoch, progress);
        self.messages.insert((run.arrival, self.sequence), message);
    }

    pub(super) fn produce(&mut self, grant: id::Grant) {
        let Some(run) = self.runs.get_mut(&grant) else { return };
        if run.ended || run.produced == usize::MAX {
            return;
        }
        if run.poison && run.produced > 0 {
            self.poison_crashes += 1;
            return self.crash();
        }
        if run.produced == run.response.len() {
            run.ended = true;
            if run.connected {
                self.send_progress(grant, Progress::End);
            }
            return;
        }
        let next = (run.produced + 20).min(run.response.len());
        let offset = run.produced as u64;
        let bytes = run.response.slice(run.produced..next);
        run.produced = next;
        if run.connected {
            self.send_progress(grant, Progress::Data { offset, bytes });
        }
        self.schedule(60, Message::Produce(grant));
    }

    pub(super) fn started(&self) -> Progress {
        let instance = self.instance();
        Progress::Started { status: 200, content_type: Bytes::new(), instance }
    }

    pub(super) fn dispatch(&mut self, grant: id::Grant, head: request::Head) {
        let seq = head.request.seq;
        assert!(self.dispatched.insert(grant), "{grant} is dispatched twice");
        assert!(
            !self.reported_not_run.contains(&grant),
            "{grant} was reported as not run and runs"
        );
        let poison = head.fingerprint == POISON_FINGERPRINT;
        let (produced, ended, epoch) = (0, false, 0);
        let active = |run: &Run| !run.ended && run.produced != usize::MAX;
        let others =
            self.runs.iter().filter(|(other, run)| other.process.0 == self.process && active(run));
        // A request that became a suspect while it ran may have others beside it already.
        let is_suspect = |seq: u64| self.suspects.contains(&self.requests[&seq].fingerprint);
        for (_, other) in others {
            assert!(!is_suspect(seq), "a suspect starts beside another request");
            assert!(!other.exclusive, "a request starts beside a suspect");
        }
        let exclusive = is_suspect(seq);
        let arrival = self.now;
        let response = response(&head);
        let run =
            Run { response, produced, ended, poison, exclusive, epoch, connected: true, arrival };
        self.runs.insert(grant, run);
        if !self.backend_up {
            self.runs.get_mut(&grant).expect("just inserted").produced = usize::MAX;
            return self.send_progress(grant, Progress::Unreachable);
        }
        *self.runs_by_request.entry(seq).or_default() += 1;
        assert_eq!(self.runs_by_request[&seq], 1, "request {seq} runs twice");
        if let Some(key) = head.key {
            *self.runs_by_key.entry(key.clone()).or_default() += 1;
            assert_eq!(self.runs_by_key[&key], 1, "{key} runs twice");
        }
        let started = self.started();
        self.send_progress(grant, started);
        self.schedule(60, Message::Produce(grant));
    }

    pub(super) fn resume(&mut self, grant: id::Grant, offset: u64) {
        let (backend_up, instance, started) = (self.backend_up, self.instance(), self.started());
        let Some(run) = self.runs.get_mut(&grant) else { return };
        run.epoch += 1;
        run.connected = true;
        if !backend_up {
            return self.send_progress(grant, Progress::Unreachable);
        }
        if run.produced == usize::MAX {
            return self.send_progress(grant, Progress::StreamNotFound { instance });
        }
        let (bytes, ended) = (run.response.slice(offset as usize..run.produced), run.ended);
        self.send_progress(grant, started);
        self.send_progress(grant, Progress::Data { offset, bytes });
        if ended {
            self.send_progress(grant, Progress::End);
        }
    }
}
