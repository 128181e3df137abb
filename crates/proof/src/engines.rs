//! Runs the engines and reports their progress to the agents.

use std::time::Duration;

use bytes::Bytes;
use wire::{id, request};

use crate::{
    record::Run,
    world::{Delivery, World},
};

impl World {
    pub(crate) fn progress(&mut self, index: usize, grant: id::Grant, progress: agent::Progress) {
        let generation = self.agents[index].generation;
        let event = agent::Event::Backend { grant, progress };
        // The agent is on the engine's host: progress keeps its order.
        let at = self.now + Duration::from_micros(100);
        self.schedule(at, Delivery::Agent { index, generation, event });
    }

    pub(crate) fn engine_dispatch(
        &mut self,
        index: usize,
        generation: u32,
        grant: id::Grant,
        head: request::Head,
        body: &[u8],
    ) {
        if self.engines[index].down {
            return self.progress(index, grant, agent::Progress::Unreachable);
        }
        self.record.runs.push(Run {
            at: self.now,
            engine: index,
            request: head.request,
            grant,
            key: head.key.clone(),
            fingerprint: head.fingerprint,
            beside: self.engines[index].running(),
        });
        self.engines[index].start(self.now, grant, head, body);
        if self.agents[index].generation != generation || self.agents[index].machine.is_none() {
            self.detach(index, grant);
        }
        self.schedule_engine(index);
    }

    pub(crate) fn detach(&mut self, index: usize, grant: id::Grant) {
        if let Some(stream) = self.engines[index].streams.get_mut(&grant) {
            stream.reader = None;
        }
    }

    pub(crate) fn engine_resume(
        &mut self,
        index: usize,
        generation: u32,
        grant: id::Grant,
        offset: u64,
    ) {
        if self.agents[index].generation != generation {
            return;
        }
        if self.engines[index].down {
            return self.progress(index, grant, agent::Progress::ConnectionLost);
        }
        let instance = self.engines[index].instance();
        let Some(stream) = self.engines[index].streams.get_mut(&grant) else {
            return self.progress(index, grant, agent::Progress::StreamNotFound { instance });
        };
        stream.reader = Some(offset as usize);
        stream.announced = false;
        self.relay(index);
    }

    pub(crate) fn schedule_engine(&mut self, index: usize) {
        if let Some(at) = self.engines[index].next_timer() {
            self.schedule(at.max(self.now), Delivery::EngineTick { index });
        }
    }

    pub(crate) fn engine_tick(&mut self, index: usize) {
        if let Some(fingerprint) = self.engines[index].advance(self.now) {
            *self.record.poisoned.entry(fingerprint).or_default() += 1;
            self.crash_engine(index);
            let restart = self.now + Duration::from_millis(300);
            let generation = self.agents[index].generation;
            self.engines[index].down = false;
            let instance = Some(self.engines[index].instance());
            let event = agent::Event::Probe { instance };
            return self.schedule(restart, Delivery::Agent { index, generation, event });
        }
        self.relay(index);
        self.schedule_engine(index);
    }

    /// Sends what attached readers have not seen.
    pub(crate) fn relay(&mut self, index: usize) {
        let instance = self.engines[index].instance();
        let mut out = Vec::new();
        for (grant, stream) in &mut self.engines[index].streams {
            let Some(sent) = stream.reader else { continue };
            if !stream.announced && stream.produced > 0 {
                stream.announced = true;
                let content_type = Bytes::from_static(b"text/event-stream");
                let instance = instance.clone();
                out.push((
                    *grant,
                    agent::Progress::Started { status: 200, content_type, instance },
                ));
            }
            if stream.produced > sent {
                let bytes = stream.answer.slice(sent..stream.produced);
                out.push((*grant, agent::Progress::Data { offset: sent as u64, bytes }));
                stream.reader = Some(stream.produced);
            }
            if stream.ended && stream.reader.is_some() {
                out.push((*grant, agent::Progress::End));
                stream.reader = None;
            }
        }
        for (grant, progress) in out {
            self.progress(index, grant, progress);
        }
    }
}
