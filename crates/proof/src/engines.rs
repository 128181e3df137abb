//! Runs the engines and reports their progress to the agents.

use std::time::Duration;

use bytes::Bytes;
use wire::{id, request};

use crate::{
    record::Run,
    simulation::{Delivery, Simulation},
};

impl Simulation {
    pub(crate) fn report_progress(
        &mut self,
        index: usize,
        grant: id::Grant,
        progress: agent::Progress,
    ) {
        let generation = self.agents[index].generation;
        let event = agent::Event::Backend { grant, progress };
        // The agent runs on the engine's host, so the delay is constant and progress stays in
        // order.
        let at = self.now + Duration::from_micros(100);
        self.schedule(at, Delivery::AgentEvent { index, generation, event });
    }

    pub(crate) fn dispatch_to_engine(
        &mut self,
        index: usize,
        generation: u32,
        grant: id::Grant,
        head: request::Head,
        body: &[u8],
    ) {
        if self.engines[index].down {
            return self.report_progress(index, grant, agent::Progress::Unreachable);
        }
        self.record.runs.push(Run {
            at: self.now,
            engine: index,
            request: head.request,
            grant,
            key: head.key.clone(),
            fingerprint: head.fingerprint,
            concurrent_requests: self.engines[index].running(),
        });
        self.engines[index].start(self.now, grant, head, body);
        if self.agents[index].generation != generation || self.agents[index].machine.is_none() {
            self.detach_reader(index, grant);
        }
        self.schedule_engine(index);
    }

    pub(crate) fn detach_reader(&mut self, index: usize, grant: id::Grant) {
        if let Some(stream) = self.engines[index].streams.get_mut(&grant) {
            stream.reader_offset = None;
        }
    }

    pub(crate) fn resume_stream(
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
            return self.report_progress(index, grant, agent::Progress::ConnectionLost);
        }
        let instance = self.engines[index].instance();
        let Some(stream) = self.engines[index].streams.get_mut(&grant) else {
            return self.report_progress(
                index,
                grant,
                agent::Progress::StreamNotFound { instance },
            );
        };
        stream.reader_offset = Some(offset as usize);
        stream.start_reported = false;
        self.relay_streams(index);
    }

    pub(crate) fn schedule_engine(&mut self, index: usize) {
        if let Some(at) = self.engines[index].next_timer() {
            self.schedule(at.max(self.now), Delivery::EngineTick { index });
        }
    }

    pub(crate) fn tick_engine(&mut self, index: usize) {
        if let Some(fingerprint) = self.engines[index].advance(self.now) {
            *self.record.crashes_by_fingerprint.entry(fingerprint).or_default() += 1;
            self.crash_engine(index);
            let restart = self.now + Duration::from_millis(300);
            let generation = self.agents[index].generation;
            self.engines[index].down = false;
            let instance = Some(self.engines[index].instance());
            let event = agent::Event::Probe { instance };
            return self.schedule(restart, Delivery::AgentEvent { index, generation, event });
        }
        self.relay_streams(index);
        self.schedule_engine(index);
    }

    /// Sends new progress of each stream to its attached reader.
    pub(crate) fn relay_streams(&mut self, index: usize) {
        let instance = self.engines[index].instance();
        let mut out = Vec::new();
        for (grant, stream) in &mut self.engines[index].streams {
            let Some(sent) = stream.reader_offset else { continue };
            if !stream.start_reported && stream.produced > 0 {
                stream.start_reported = true;
                let content_type = Bytes::from_static(b"text/event-stream");
                let instance = instance.clone();
                out.push((
                    *grant,
                    agent::Progress::Started { status: 200, content_type, instance },
                ));
            }
            if stream.produced > sent {
                let bytes = stream.response.slice(sent..stream.produced);
                out.push((*grant, agent::Progress::Data { offset: sent as u64, bytes }));
                stream.reader_offset = Some(stream.produced);
            }
            if stream.ended && stream.reader_offset.is_some() {
                let end = if stream.framed { agent::Progress::End } else { stream.closed() };
                out.push((*grant, end));
                stream.reader_offset = None;
            }
        }
        for (grant, progress) in out {
            self.report_progress(index, grant, progress);
        }
    }
}
