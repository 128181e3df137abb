//! Injects and repairs faults: kills, closed connections, partitions, freezes, stops and changes of
//! settings.

use std::time::Duration;

use wire::{host, id, time::Instant};

use crate::simulation::{Delivery, Simulation};

impl Simulation {
    /// Kills an entry, which closes its callers' connections.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].machine = None;
        for request in self.record.requests.values_mut() {
            if request.entry == index && request.responses.is_empty() {
                request.disconnected = true;
            }
        }
        self.bodies.retain(|(entry, _), _| *entry != index);
        self.close_matching(|connection| connection.entry == index);
    }

    /// Kills an agent; its engine keeps running.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents[index].machine = None;
        for stream in self.engines[index].streams.values_mut() {
            stream.reader_offset = None;
        }
        self.close_matching(|connection| connection.agent == index);
    }

    /// Ends an agent's process after a planned stop. Its connections close after the messages
    /// already sent have arrived.
    pub(crate) fn end_agent(&mut self, index: usize) {
        self.agents[index].machine = None;
        let open = self.connections.iter().filter(|(_, c)| c.agent == index);
        let last_arrivals: Vec<(u64, Instant)> =
            open.map(|(n, c)| (*n, c.last_arrival_at_entry)).collect();
        for (connection, last_arrival) in last_arrivals {
            let at = last_arrival.max(self.now) + Duration::from_micros(1);
            self.schedule(at, Delivery::Close { connection });
        }
    }

    /// Closes all connections between an entry and an agent.
    pub fn close_connections(&mut self, entry: usize, agent: usize) {
        self.close_matching(|connection| connection.entry == entry && connection.agent == agent);
    }

    /// Blocks all messages between an entry and an agent until `heal_partitions`.
    pub fn partition(&mut self, entry: usize, agent: usize) {
        self.partitions.insert((entry, agent));
    }

    /// Ends all partitions; blocked messages then arrive late.
    pub fn heal_partitions(&mut self) {
        self.partitions.clear();
        for delivery in std::mem::take(&mut self.blocked_deliveries) {
            let at = self.now + Duration::from_micros(1);
            self.schedule(at, delivery);
        }
    }

    /// Closes the connections between an agent and its engine; the engine keeps running.
    pub fn disconnect_engine(&mut self, index: usize) {
        let closed: Vec<(id::Grant, agent::Progress)> = self.engines[index]
            .streams
            .iter_mut()
            .filter_map(|(grant, stream)| {
                stream.reader_offset.take().map(|_| (*grant, stream.closed()))
            })
            .collect();
        for (grant, progress) in closed {
            self.report_progress(index, grant, progress);
        }
    }

    /// Crashes an engine: it loses all streams and stays down until `restart_engine`.
    pub fn crash_engine(&mut self, index: usize) {
        self.record.crashes.push((self.now, index));
        self.disconnect_engine(index);
        let engine = &mut self.engines[index];
        engine.streams.clear();
        engine.down = true;
        engine.instance += 1;
    }

    /// Restarts a crashed engine.
    pub fn restart_engine(&mut self, index: usize) {
        self.engines[index].down = false;
    }

    /// Sends the settings and the host list to all processes, to each after a random delay up
    /// to `max_delay`.
    pub fn publish(&mut self, max_delay: Duration) {
        self.publications += 1;
        let entries = self.entries.iter().map(|process| process.generation).enumerate();
        let agents = self.agents.iter().map(|process| process.generation).enumerate();
        let roles = [host::Role::Entry, host::Role::Agent];
        let processes: [Vec<(usize, u32)>; 2] = [entries.collect(), agents.collect()];
        for (role, processes) in roles.into_iter().zip(processes) {
            for (index, generation) in processes {
                let at = self.now + self.draw_delay_up_to(max_delay);
                let (number, tree) = (self.publications, self.tree.clone());
                let hosts = self.hosts.clone();
                let delivery = Delivery::Published { role, index, generation, number, tree, hosts };
                self.schedule(at, delivery);
            }
        }
    }

    /// Makes an entry unresponsive until `unfreeze_all`.
    pub fn freeze_entry(&mut self, index: usize) {
        self.entries[index].frozen = true;
    }

    /// Makes an agent unresponsive until `unfreeze_all`.
    pub fn freeze_agent(&mut self, index: usize) {
        self.agents[index].frozen = true;
    }

    /// Unfreezes all processes, which then handle the events that arrived meanwhile.
    pub fn unfreeze_all(&mut self) {
        for index in 0..self.entries.len() {
            self.entries[index].frozen = false;
            for event in std::mem::take(&mut self.entries[index].backlog) {
                self.handle_entry_event(index, event);
            }
        }
        for index in 0..self.agents.len() {
            self.agents[index].frozen = false;
            for event in std::mem::take(&mut self.agents[index].backlog) {
                self.handle_agent_event(index, event);
            }
        }
    }

    /// Starts a planned stop of an agent.
    pub fn stop_agent(&mut self, index: usize) {
        self.agents[index].stopping = true;
        let running = self.engines[index].streams.values().filter(|s| s.reader_offset.is_some());
        let requests = running.map(|stream| stream.head.request).collect();
        self.record.planned_stops.push((self.now, requests));
        self.handle_agent_event(index, agent::Event::Stop);
    }

    /// Starts a planned stop of an entry.
    pub fn stop_entry(&mut self, index: usize) {
        self.entries[index].stopping = true;
        let received = self.record.requests.values().filter(|request| request.entry == index);
        let received: Vec<id::Request> = received.filter_map(|request| request.id).collect();
        let streams = self.engines.iter().flat_map(|engine| engine.streams.values());
        let running = streams.filter(|s| s.reader_offset.is_some()).map(|s| s.head.request);
        let requests = running.filter(|request| received.contains(request)).collect();
        self.record.planned_stops.push((self.now, requests));
        self.handle_entry_event(index, entry::Event::Stop);
    }
}
