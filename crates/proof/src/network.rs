//! Connections between entries and agents: opening, delivery in order, closing.

use std::{net::SocketAddr, time::Duration};

use crate::simulation::{Connection, Delivery, Purpose, Simulation, agent_address};

impl Simulation {
    pub(crate) fn deliver_to_agent(&mut self, number: u64, event: agent::Event) {
        let Some(connection) = self.connections.get(&number).cloned() else { return };
        if self.partitions.contains(&(connection.entry, connection.agent)) {
            self.blocked_deliveries.push(Delivery::MessageToAgent { connection: number, event });
            return;
        }
        let process = &self.agents[connection.agent];
        if process.machine.is_none() || process.generation != connection.agent_generation {
            return self.close_connection(number);
        }
        match &event {
            agent::Event::Offer { offer, .. } => {
                self.record.offers_received.insert(offer.head.request);
            }
            agent::Event::Commit { commit, .. } => {
                self.record.commits_received.insert(commit.request);
            }
            _ => {}
        }
        self.handle_agent_event(connection.agent, event);
    }

    pub(crate) fn deliver_to_entry(&mut self, number: u64, event: entry::Event, last: bool) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if self.partitions.contains(&(connection.entry, connection.agent)) {
            self.blocked_deliveries.push(Delivery::MessageToEntry {
                connection: number,
                event,
                last,
            });
            return;
        }
        connection.finished |= last;
        let connection = connection.clone();
        if self.entries[connection.entry].generation == connection.entry_generation {
            self.handle_entry_event(connection.entry, event);
        }
        if last {
            self.close_connection(number);
        }
    }

    pub(crate) fn close_matching(&mut self, matches: impl Fn(&Connection) -> bool) {
        let found = self.connections.iter().filter(|(_, connection)| matches(connection));
        let numbers: Vec<u64> = found.map(|(number, _)| *number).collect();
        for number in numbers {
            self.close_connection(number);
        }
    }

    /// Closes a connection and reports this after a delay to the agent and, as a failure, to the
    /// entry. If the connection is finished, it is not reported to the entry.
    pub(crate) fn close_connection(&mut self, number: u64) {
        let Some(connection) = self.connections.remove(&number) else { return };
        let at = self.now + self.draw_delay();
        let link = agent::Link(number);
        let generation = connection.agent_generation;
        let index = connection.agent;
        let event = agent::Event::LinkClosed { link };
        self.schedule(at, Delivery::AgentEvent { index, generation, event });
        if connection.finished {
            return;
        }
        let peer = agent_address(index);
        let event = match connection.purpose {
            Purpose::Offer(request) => entry::Event::OfferFailed { request, peer },
            Purpose::Stream(request) => entry::Event::StreamFailed { request, peer },
            Purpose::Key(caller) => entry::Event::KeyFailed { caller, peer },
        };
        let at = self.now + self.draw_delay();
        let generation = connection.entry_generation;
        self.schedule(at, Delivery::EntryEvent { index: connection.entry, generation, event });
    }

    /// Opens a connection and sends its first message.
    pub(crate) fn open_connection(
        &mut self,
        entry: usize,
        peer: SocketAddr,
        purpose: Purpose,
        event: impl FnOnce(agent::Link) -> agent::Event,
    ) {
        let agent = (peer.port() - 9_000) as usize;
        self.sequence += 1;
        let number = self.sequence;
        let at = self.now + self.draw_delay();
        let connection = Connection {
            entry,
            entry_generation: self.entries[entry].generation,
            agent,
            agent_generation: self.agents[agent].generation,
            purpose,
            last_arrival_at_entry: self.now,
            finished: false,
        };
        self.connections.insert(number, connection);
        let event = event(agent::Link(number));
        self.schedule(at, Delivery::MessageToAgent { connection: number, event });
    }

    /// Sends a message to the entry of a connection, after the messages sent before.
    pub(crate) fn send_to_entry(
        &mut self,
        link: agent::Link,
        last: bool,
        event: impl FnOnce(&Connection) -> entry::Event,
    ) {
        let delay = self.draw_delay();
        let Some(connection) = self.connections.get_mut(&link.0) else { return };
        let at =
            (self.now + delay).max(connection.last_arrival_at_entry + Duration::from_micros(1));
        connection.last_arrival_at_entry = at;
        let event = event(connection);
        self.schedule(at, Delivery::MessageToEntry { connection: link.0, event, last });
    }

    /// Closes the entry's connections for a purpose without reporting a failure to the entry.
    pub(crate) fn close_for_purpose(
        &mut self,
        entry: usize,
        purpose: Purpose,
        peer: Option<SocketAddr>,
    ) {
        let found: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| c.entry == entry && c.purpose == purpose)
            .filter(|(_, c)| peer.is_none_or(|peer| agent_address(c.agent) == peer))
            .map(|(number, _)| *number)
            .collect();
        for number in found {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.finished = true;
            }
            self.close_connection(number);
        }
    }
}
