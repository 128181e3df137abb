//! Handling of requests for idempotency keys.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use fleet::view;
use wire::{
    key,
    outcome::{Outcome, Reason, Refusal, Step},
    time::Instant,
};

use crate::{action::Action, state::State, timers::Owner};

/// Time limit of a key request for a route whose tier has no settings.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller's open key request.
#[derive(Clone, Debug)]
struct OpenKeyRequest {
    route: Bytes,
    pool: Bytes,
    agent: view::Key,
    peer: SocketAddr,
    tried: Vec<view::Key>,
    deadline: Instant,
}

/// The open key requests, by caller.
#[derive(Clone, Debug)]
pub struct KeyRequests {
    open: HashMap<u64, OpenKeyRequest>,
    /// Position in the round robin over the agents. It starts at a random value, so that entries
    /// do not all begin with the same agent.
    round_robin: u64,
}

impl KeyRequests {
    /// Returns an empty set whose round robin starts at the given position.
    pub fn new(round_robin: u64) -> KeyRequests {
        KeyRequests { open: HashMap::new(), round_robin }
    }

    /// Returns whether no key request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns whether the caller has an open key request.
    pub fn contains(&self, caller: u64) -> bool {
        self.open.contains_key(&caller)
    }
}

impl State {
    /// Handles a caller's request for a key.
    pub fn handle_key_request(&mut self, caller: u64, route: Bytes) {
        if self.key_requests.contains(caller) || self.by_caller.contains_key(&caller) {
            self.counters.count("repeated_callers");
            return;
        }
        let tree = self.tree.clone();
        let settings = tree.routes.get(&route);
        let refusal_reason = if self.stopping {
            Some(Reason::Leaving)
        } else if !self.ready {
            Some(Reason::NotReady)
        } else {
            settings.is_none().then_some(Reason::NoRoute)
        };
        let Some(settings) = settings.filter(|_| refusal_reason.is_none()) else {
            let reason = refusal_reason.unwrap_or(Reason::NoRoute);
            self.refuse_key_request(caller, Step::Received, reason);
            return;
        };
        let timeout = tree.tiers.get(&settings.tier).map_or(DEFAULT_TIMEOUT, |tier| tier.deadline);
        let deadline = self.now + timeout;
        self.send_key_request(caller, route, settings.pool.clone(), Vec::new(), deadline);
    }

    /// Sends the key request to the next agent of the round robin that has not received it yet.
    fn send_key_request(
        &mut self,
        caller: u64,
        route: Bytes,
        pool: Bytes,
        mut tried: Vec<view::Key>,
        deadline: Instant,
    ) {
        let usable = |&agent: &view::Key| {
            self.view.accepts_work(agent)
                && !tried.contains(&agent)
                && self.health.is_eligible(self.now, agent)
        };
        let agents: Vec<_> = self.view.agents(&pool).iter().copied().filter(usable).collect();
        let round_robin = self.key_requests.round_robin;
        self.key_requests.round_robin = round_robin.wrapping_add(1);
        let index = round_robin.checked_rem(agents.len() as u64).map(|index| index as usize);
        let agent = index.map(|index| agents[index]);
        let Some((agent, host)) = agent.and_then(|agent| Some((agent, self.view.get(agent)?)))
        else {
            self.refuse_key_request(caller, Step::Received, Reason::NoBackend);
            return;
        };
        let peer = host.record.address;
        tried.push(agent);
        self.health.record_offer(self.now, agent);
        self.timers.arm(Owner::KeyRequest(caller), None, deadline);
        self.push(Action::KeyRequest { caller, peer, route: route.clone() });
        self.key_requests
            .open
            .insert(caller, OpenKeyRequest { route, pool, agent, peer, tried, deadline });
    }

    /// Handles an agent's reply to a key request.
    pub fn handle_key_reply(&mut self, caller: u64, reply: Result<key::Key, Refusal>) {
        let Some(key_request) = self.remove_key_request(caller) else { return };
        self.health.record_reply(self.now, key_request.agent);
        let may_try_next = |refusal: &Refusal| {
            let reason = refusal.reason;
            matches!(reason, Reason::NotReady | Reason::Leaving | Reason::Overload)
        };
        match reply {
            Err(refusal) if may_try_next(&refusal) => {
                let OpenKeyRequest { route, pool, tried, deadline, .. } = key_request;
                self.send_key_request(caller, route, pool, tried, deadline);
            }
            response => {
                if response.is_ok() {
                    self.counters.count("keys_issued");
                }
                self.push(Action::KeyResponse { caller, response });
            }
        }
    }

    /// Handles a key request whose connection closed without a reply. The request can be sent to
    /// another agent, since issuing a key commits nothing.
    pub fn handle_key_failed(&mut self, caller: u64, peer: SocketAddr) {
        if self.key_requests.open.get(&caller).is_none_or(|key_request| key_request.peer != peer) {
            return;
        }
        let Some(key_request) = self.remove_key_request(caller) else { return };
        self.record_agent_failure(key_request.agent);
        let OpenKeyRequest { route, pool, tried, deadline, .. } = key_request;
        self.send_key_request(caller, route, pool, tried, deadline);
    }

    /// Refuses a key request at its deadline.
    pub fn handle_key_timer(&mut self, caller: u64) {
        if self.remove_key_request(caller).is_some() {
            self.refuse_key_request(caller, Step::Offered, Reason::Deadline);
        }
    }

    /// Removes the key request, if any, of a caller that disconnected.
    pub fn discard_key_request(&mut self, caller: u64) {
        self.remove_key_request(caller);
    }

    fn remove_key_request(&mut self, caller: u64) -> Option<OpenKeyRequest> {
        let key_request = self.key_requests.open.remove(&caller)?;
        self.timers.disarm(Owner::KeyRequest(caller), Some(key_request.deadline));
        Some(key_request)
    }

    fn refuse_key_request(&mut self, caller: u64, step: Step, reason: Reason) {
        let refusal = self.build_refusal(Outcome::NotRun, step, reason);
        self.counters.count_refusal(&refusal);
        self.push(Action::KeyResponse { caller, response: Err(refusal) });
    }
}
