//! Performs the actions of entries and records what callers receive.

use std::net::SocketAddr;

use wire::{grant, id, offer, outcome, status::Status, tier};

use crate::{
    record::{OverloadRefusal, Response},
    simulation::{Delivery, Purpose, Simulation, entry_host},
};

impl Simulation {
    pub(crate) fn handle_entry_event(&mut self, index: usize, event: entry::Event) {
        let process = &mut self.entries[index];
        if process.frozen {
            process.backlog.push(event);
            return;
        }
        let Some(machine) = &mut process.machine else { return };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        process.timer = machine.next_timer();
        for action in actions {
            self.perform_entry_action(index, action);
        }
    }

    pub(crate) fn perform_entry_action(&mut self, index: usize, action: entry::Action) {
        use entry::Action;
        match action {
            Action::Offer { peer, head } => {
                self.record.heads.insert(head.request, head.clone());
                self.open_connection(index, peer, Purpose::Offer(head.request), |link| {
                    agent::Event::Offer { link, offer: offer::Offer { head, settings: 0 } }
                });
            }
            Action::Withdraw { request, peer } => {
                self.close_for_purpose(index, Purpose::Offer(request), Some(peer));
            }
            Action::Commit { peer, commit } => {
                let body = self.bodies.get(&(index, commit.request)).cloned().unwrap_or_default();
                self.close_for_purpose(index, Purpose::Stream(commit.request), None);
                self.open_connection(index, peer, Purpose::Stream(commit.request), |link| {
                    agent::Event::Commit { link, commit, body }
                });
            }
            Action::Attach { peer, attach } => {
                self.close_for_purpose(index, Purpose::Stream(attach.request), None);
                self.open_connection(index, peer, Purpose::Stream(attach.request), |link| {
                    agent::Event::Attach { link, attach }
                });
            }
            Action::Cancel { peer, commit } => self.send_cancel(peer, commit),
            Action::KeyRequest { caller, peer, route } => {
                self.open_connection(index, peer, Purpose::Key(caller), |link| {
                    agent::Event::KeyRequest { link, route }
                });
            }
            Action::KeyResponse { caller, response } => {
                self.record.keys.insert(caller, response);
            }
            Action::StoreBody { caller, request } => self.store_body(index, caller, request),
            Action::DropBody { request } => {
                self.bodies.remove(&(index, request));
            }
            Action::Start { caller, .. } => {
                if let Some(request) = self.record.requests.get_mut(&caller) {
                    request.started = true;
                }
            }
            Action::Data { caller, bytes } => {
                if let Some(request) = self.record.requests.get_mut(&caller) {
                    request.received.extend_from_slice(&bytes);
                }
            }
            Action::Finish { caller } => self.record_complete(caller),
            Action::Refuse { caller, refusal, .. } => self.record_refusal(index, caller, refusal),
            Action::Suspects(suspects) => self.broadcast_suspects(None, &suspects),
            Action::Trace { request, step, event, .. } => {
                self.trace_step("entry", index, request, step, event);
            }
            Action::Stopped => {
                if self.entries[index].stopping {
                    self.kill_entry(index);
                }
            }
        }
    }

    pub(crate) fn store_body(&mut self, index: usize, caller: u64, request: id::Request) {
        self.callers.insert(request, caller);
        if let Some(recorded) = self.record.requests.get_mut(&caller) {
            recorded.id = Some(request);
            self.bodies.insert((index, request), recorded.body.clone());
        }
    }

    pub(crate) fn record_complete(&mut self, caller: u64) {
        let now = self.now;
        let Some(request) = self.record.requests.get_mut(&caller) else { return };
        let complete = Response::Complete(request.received.clone().into());
        request.responses.push((now, complete));
    }

    pub(crate) fn record_refusal(&mut self, index: usize, caller: u64, refusal: outcome::Refusal) {
        let now = self.now;
        let is_local = refusal.peer == entry_host(index);
        let lacks_capacity =
            matches!(refusal.reason, outcome::Reason::Overload | outcome::Reason::Displaced);
        if let Some(request) = self.record.requests.get_mut(&caller) {
            request.responses.push((now, Response::Refused(refusal)));
        }
        if let (true, true, Some(machine)) =
            (is_local, lacks_capacity, &self.entries[index].machine)
        {
            let mut status = Status::default();
            machine.report(now, &mut status);
            let name = self.record.requests[&caller].tier.clone();
            let tier = self.tree.tiers.get(&name).map_or(tier::Tier(0), |tier| tier.rank);
            let host = entry_host(index);
            self.record.overload_refusals.push(OverloadRefusal {
                at: now,
                host,
                tier,
                queued: status.queued,
            });
        }
    }

    pub(crate) fn send_cancel(&mut self, peer: SocketAddr, commit: grant::Commit) {
        let index = (peer.port() - 9_000) as usize;
        let generation = self.agents[index].generation;
        let at = self.now + self.draw_delay();
        let event = agent::Event::Cancel { commit };
        self.schedule(at, Delivery::AgentEvent { index, generation, event });
    }
}
