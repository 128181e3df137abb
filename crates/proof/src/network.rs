//! Connections between entries and agents: opening, delivery in order, closing.

use std::{net::SocketAddr, time::Duration};

use crate::world::{Connection, Delivery, Purpose, World, agent_address};

impl World {
    pub(crate) fn deliver_to_agent(&mut self, number: u64, event: agent::Event) {
        let Some(connection) = self.connections.get(&number).cloned() else { return };
        if self.partitions.contains(&(connection.entry, connection.agent)) {
            self.held.push(Delivery::OnAgent { connection: number, event });
            return;
        }
        let node = &self.agents[connection.agent];
        if node.machine.is_none() || node.generation != connection.agent_generation {
            return self.close(number);
        }
        match &event {
            agent::Event::Offer { offer, .. } => {
                self.record.arrived.insert(offer.head.request);
            }
            agent::Event::Commit { commit, .. } => {
                self.record.granted.insert(commit.request);
            }
            _ => {}
        }
        self.agent_event(connection.agent, event);
    }

    pub(crate) fn deliver_to_entry(&mut self, number: u64, event: entry::Event, last: bool) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if self.partitions.contains(&(connection.entry, connection.agent)) {
            self.held.push(Delivery::OnEntry { connection: number, event, last });
            return;
        }
        connection.finished |= last;
        let connection = connection.clone();
        if self.entries[connection.entry].generation == connection.entry_generation {
            self.entry_event(connection.entry, event);
        }
        if last {
            self.close(number);
        }
    }

    pub(crate) fn close_where(&mut self, matches: impl Fn(&Connection) -> bool) {
        let found = self.connections.iter().filter(|(_, connection)| matches(connection));
        let numbers: Vec<u64> = found.map(|(number, _)| *number).collect();
        for number in numbers {
            self.close(number);
        }
    }

    /// Closes a connection; each side learns of it after its own delay.
    pub(crate) fn close(&mut self, number: u64) {
        let Some(connection) = self.connections.remove(&number) else { return };
        let at = self.now + self.delay();
        let link = agent::Link(number);
        let generation = connection.agent_generation;
        let index = connection.agent;
        let event = agent::Event::LinkClosed { link };
        self.schedule(at, Delivery::Agent { index, generation, event });
        if connection.finished {
            return;
        }
        let peer = agent_address(index);
        let event = match connection.purpose {
            Purpose::Offer(request) => entry::Event::OfferFailed { request, peer },
            Purpose::Stream(request) => entry::Event::StreamFailed { request, peer },
            Purpose::Key(caller) => entry::Event::KeyFailed { caller, peer },
        };
        let at = self.now + self.delay();
        let generation = connection.entry_generation;
        self.schedule(at, Delivery::Entry { index: connection.entry, generation, event });
    }

    /// Opens a connection and sends its first message. `None` sends nothing yet.
    pub(crate) fn open(
        &mut self,
        entry: usize,
        peer: SocketAddr,
        purpose: Purpose,
        event: impl FnOnce(agent::Link) -> agent::Event,
    ) {
        let agent = (peer.port() - 9_000) as usize;
        self.next += 1;
        let number = self.next;
        let at = self.now + self.delay();
        let connection = Connection {
            entry,
            entry_generation: self.entries[entry].generation,
            agent,
            agent_generation: self.agents[agent].generation,
            purpose,
            to_entry: self.now,
            finished: false,
        };
        self.connections.insert(number, connection);
        let event = event(agent::Link(number));
        self.schedule(at, Delivery::OnAgent { connection: number, event });
    }

    /// Sends a message to the entry of a connection, behind the ones sent before.
    pub(crate) fn reply(
        &mut self,
        link: agent::Link,
        last: bool,
        event: impl FnOnce(&Connection) -> entry::Event,
    ) {
        let delay = self.delay();
        let Some(connection) = self.connections.get_mut(&link.0) else { return };
        let at = (self.now + delay).max(connection.to_entry + Duration::from_micros(1));
        connection.to_entry = at;
        let event = event(connection);
        self.schedule(at, Delivery::OnEntry { connection: link.0, event, last });
    }

    /// Closes the entry's connections of a purpose without telling the entry.
    pub(crate) fn abandon(&mut self, entry: usize, purpose: Purpose, peer: Option<SocketAddr>) {
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
            self.close(number);
        }
    }
}
