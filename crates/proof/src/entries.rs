//! Carries out the actions of entries and records what callers see.

use std::net::SocketAddr;

use wire::{grant, id, offer, outcome, status::Status, tier};

use crate::{
    record::{Answer, Shed},
    world::{Delivery, Purpose, World, entry_host},
};

impl World {
    pub(crate) fn entry_event(&mut self, index: usize, event: entry::Event) {
        let node = &mut self.entries[index];
        if node.frozen {
            node.backlog.push(event);
            return;
        }
        let Some(machine) = &mut node.machine else { return };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        node.timer = machine.next_timer();
        for action in actions {
            self.entry_action(index, action);
        }
    }

    pub(crate) fn entry_action(&mut self, index: usize, action: entry::Action) {
        use entry::Action;
        match action {
            Action::Offer { peer, head } => {
                self.record.heads.insert(head.request, head.clone());
                self.open(index, peer, Purpose::Offer(head.request), |link| agent::Event::Offer {
                    link,
                    offer: offer::Offer { head, settings: 0 },
                });
            }
            Action::Withdraw { request, peer } => {
                self.abandon(index, Purpose::Offer(request), Some(peer));
            }
            Action::Commit { peer, commit } => {
                let body = self.bodies.get(&(index, commit.request)).cloned().unwrap_or_default();
                self.abandon(index, Purpose::Stream(commit.request), None);
                self.open(index, peer, Purpose::Stream(commit.request), |link| {
                    agent::Event::Commit { link, commit, body }
                });
            }
            Action::Attach { peer, attach } => {
                self.abandon(index, Purpose::Stream(attach.request), None);
                self.open(index, peer, Purpose::Stream(attach.request), |link| {
                    agent::Event::Attach { link, attach }
                });
            }
            Action::Cancel { peer, commit } => self.send_cancel(peer, commit),
            Action::KeyRequest { caller, peer, route } => {
                self.open(index, peer, Purpose::Key(caller), |link| agent::Event::KeyRequest {
                    link,
                    route,
                });
            }
            Action::KeyResponse { caller, response } => {
                self.record.keys.insert(caller, response);
            }
            Action::StoreBody { caller, request } => self.hold(index, caller, request),
            Action::DropBody { request } => {
                self.bodies.remove(&(index, request));
            }
            Action::Start { caller, .. } => {
                if let Some(call) = self.record.calls.get_mut(&caller) {
                    call.started = true;
                }
            }
            Action::Data { caller, bytes } => {
                if let Some(call) = self.record.calls.get_mut(&caller) {
                    call.received.extend_from_slice(&bytes);
                }
            }
            Action::Finish { caller } => self.finish(caller),
            Action::Refuse { caller, refusal, .. } => self.refuse(index, caller, refusal),
            Action::Suspects(suspects) => self.spread_suspects(None, &suspects),
            Action::Trace { request, step, event, .. } => {
                self.print_step("entry", index, request, step, event);
            }
            Action::Stopped => {
                if self.entries[index].stopping {
                    self.kill_entry(index);
                }
            }
        }
    }

    pub(crate) fn hold(&mut self, index: usize, caller: u64, request: id::Request) {
        self.callers.insert(request, caller);
        if let Some(call) = self.record.calls.get_mut(&caller) {
            call.request = Some(request);
            self.bodies.insert((index, request), call.body.clone());
        }
    }

    pub(crate) fn finish(&mut self, caller: u64) {
        let now = self.now;
        let Some(call) = self.record.calls.get_mut(&caller) else { return };
        let whole = Answer::Whole(call.received.clone().into());
        call.answers.push((now, whole));
    }

    pub(crate) fn refuse(&mut self, index: usize, caller: u64, refusal: outcome::Refusal) {
        let now = self.now;
        let local = refusal.peer == entry_host(index);
        let shed = matches!(refusal.reason, outcome::Reason::Overload | outcome::Reason::Displaced);
        if let Some(call) = self.record.calls.get_mut(&caller) {
            call.answers.push((now, Answer::Refused(refusal)));
        }
        if let (true, true, Some(machine)) = (local, shed, &self.entries[index].machine) {
            let mut status = Status::default();
            machine.report(now, &mut status);
            let name = self.record.calls[&caller].tier.clone();
            let tier = self.tree.tiers.get(&name).map_or(tier::Tier(0), |tier| tier.rank);
            let host = entry_host(index);
            self.record.sheds.push(Shed { at: now, host, tier, queued: status.queued });
        }
    }

    pub(crate) fn send_cancel(&mut self, peer: SocketAddr, commit: grant::Commit) {
        let index = (peer.port() - 9_000) as usize;
        let generation = self.agents[index].generation;
        let at = self.now + self.delay();
        let event = agent::Event::Cancel { commit };
        self.schedule(at, Delivery::Agent { index, generation, event });
    }
}
