//! Performs the actions of agents.

use std::{net::SocketAddr, time::Duration};

use wire::{Frame, frame, id, offer, outcome, status::Status, sync};

use crate::{
    record::OverloadRefusal,
    simulation::{Connection, Delivery, Purpose, Simulation, agent_address, agent_host},
};

impl Simulation {
    pub(crate) fn handle_agent_event(&mut self, index: usize, event: agent::Event) {
        let process = &mut self.agents[index];
        if process.frozen {
            process.backlog.push(event);
            return;
        }
        let Some(machine) = &mut process.machine else { return };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        process.timer = machine.next_timer();
        for action in actions {
            self.perform_agent_action(index, action);
        }
    }

    pub(crate) fn perform_agent_action(&mut self, index: usize, action: agent::Action) {
        use agent::Action;
        let generation = self.agents[index].generation;
        let peer = agent_address(index);
        match action {
            Action::Reply { link, reply } => {
                self.record_overload_refusal(index, link, &reply);
                self.send_to_entry(link, true, |connection| match connection.purpose {
                    Purpose::Offer(request) | Purpose::Stream(request) => {
                        entry::Event::OfferReply { request, peer, reply }
                    }
                    Purpose::Key(caller) => entry::Event::KeyFailed { caller, peer },
                });
            }
            Action::Frame { link, frame } => self.send_frame(link, peer, frame),
            Action::Close { link } => {
                let connection = link.0;
                if let Some(open) = self.connections.get(&connection) {
                    let at = open.last_arrival_at_entry.max(self.now) + Duration::from_micros(1);
                    self.schedule(at, Delivery::Close { connection });
                }
            }
            Action::KeyReply { link, reply } => {
                self.send_to_entry(link, true, |connection| match connection.purpose {
                    Purpose::Key(caller) => entry::Event::KeyReply { caller, reply },
                    Purpose::Offer(request) | Purpose::Stream(request) => {
                        entry::Event::StreamFailed { request, peer }
                    }
                });
            }
            Action::Dispatch { grant, head, body } => {
                let at = self.now + self.draw_delay();
                let delivery = Delivery::Dispatch { index, generation, grant, head, body };
                self.schedule(at, delivery);
            }
            Action::Resume { grant, offset } => {
                let at = self.now + self.draw_delay();
                self.schedule(at, Delivery::Resume { index, generation, grant, offset });
            }
            Action::Cancel { grant } => {
                if let Some(stream) = self.engines[index].streams.get_mut(&grant) {
                    stream.reader_offset = None;
                }
                let at = self.now + self.draw_delay();
                self.schedule(at, Delivery::CancelStream { index, grant });
            }
            Action::Refresh => {
                let at = self.now + self.draw_delay() + self.draw_delay();
                let event = agent::Event::Refreshed;
                self.schedule(at, Delivery::AgentEvent { index, generation, event });
            }
            Action::Suspects(suspects) => self.broadcast_suspects(Some(index), &suspects),
            Action::Trace { request, step, event, .. } => {
                self.trace_step("agent", index, request, step, event);
            }
            Action::Order { .. } => {}
            Action::Stopped => {
                if self.agents[index].stopping {
                    self.end_agent(index);
                }
            }
        }
    }

    pub(crate) fn trace_step(
        &self,
        role: &str,
        index: usize,
        request: id::Request,
        step: outcome::Step,
        event: &str,
    ) {
        if self.trace {
            let at = self.now.0;
            eprintln!("at_us={at} {role}={index} request={request} step={step} event={event}");
        }
    }

    /// Sends suspects to all agents but the reporting one.
    pub(crate) fn broadcast_suspects(&mut self, from: Option<usize>, suspects: &[sync::Suspect]) {
        self.suspects.extend(suspects.iter().map(|suspect| (self.now, *suspect)));
        if self.trace {
            eprintln!("at_us={} agent={from:?} suspects={suspects:?}", self.now.0);
        }
        for index in (0..self.agents.len()).filter(|index| Some(*index) != from) {
            let at = self.now + self.draw_delay();
            let generation = self.agents[index].generation;
            let event = agent::Event::Suspects(suspects.to_vec());
            self.schedule(at, Delivery::AgentEvent { index, generation, event });
        }
    }

    /// Records a refusal for lack of capacity, with the agent's queue.
    pub(crate) fn record_overload_refusal(
        &mut self,
        index: usize,
        link: agent::Link,
        reply: &offer::Reply,
    ) {
        let offer::Reply::Refused(refusal) = reply else { return };
        if !matches!(refusal.reason, outcome::Reason::Overload | outcome::Reason::Displaced) {
            return;
        }
        let Some(Connection { purpose: Purpose::Offer(request), .. }) =
            self.connections.get(&link.0)
        else {
            return;
        };
        let tier = self.record.heads[request].tier;
        let Some(machine) = &self.agents[index].machine else { return };
        let mut status = Status::default();
        machine.report(self.now, &mut status);
        let host = agent_host(index);
        self.record.overload_refusals.push(OverloadRefusal {
            at: self.now,
            host,
            tier,
            queued: status.queued,
        });
    }

    pub(crate) fn send_frame(&mut self, link: agent::Link, peer: SocketAddr, frame: Frame) {
        let last = matches!(frame.body, frame::Body::End { .. } | frame::Body::Refused(_));
        self.send_to_entry(link, last, |connection| match connection.purpose {
            Purpose::Offer(request) | Purpose::Stream(request) => {
                entry::Event::Frame { request, peer, frame }
            }
            Purpose::Key(caller) => entry::Event::KeyFailed { caller, peer },
        });
    }
}
