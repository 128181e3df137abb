//! Handling of offers: the order of agents, hedges, refusals and the retry budget.

use std::net::SocketAddr;

use fleet::{health, placement, view};
use wire::{
    id, offer,
    outcome::{Outcome, Reason, Refusal, Step},
    request,
};

use crate::{
    action::Action,
    open_request::{self, Offer},
    state::State,
};

/// Which agents may still get an offer after one agent refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalScope {
    /// The reason applies to one agent only. The request is offered to the next one in order,
    /// within the retry budget.
    Agent,
    /// Other agents of the spread may still run the request; agents beyond it get no offer.
    Spread,
    /// The reason applies to the request itself: no other agent may get an offer.
    Request,
}

fn classify_refusal(refusal: &Refusal) -> RefusalScope {
    if refusal.outcome != Outcome::NotRun {
        return RefusalScope::Request;
    }
    match refusal.reason {
        Reason::NotReady
        | Reason::Leaving
        | Reason::NoBackend
        | Reason::GrantExpired
        | Reason::BackendUnreachable
        | Reason::BackendCrashed
        | Reason::BackendSilent
        | Reason::AgentLost
        | Reason::AgentReplaced => RefusalScope::Agent,
        // Lack of capacity must not lead to offers beyond the spread: copies of a poison request
        // that arrive at the same time could then crash a third engine.
        Reason::Overload
        | Reason::Displaced
        | Reason::Deadline
        | Reason::AccountLimit
        | Reason::Suspect => RefusalScope::Spread,
        _ => RefusalScope::Request,
    }
}

impl State {
    /// Sends the first offer of a request.
    pub fn send_first_offer(&mut self, key: open_request::Key) {
        let Some(open_request) = self.open_requests.get(key) else { return };
        match open_request.head.key.as_ref().map(|idempotency_key| idempotency_key.host.clone()) {
            Some(host) => self.offer_to_key_host(key, &host),
            None => {
                if !self.offer_to_next(key) {
                    self.refuse_unplaced(key);
                }
            }
        }
    }

    /// Offers a request with an idempotency key to the only agent that may run it.
    fn offer_to_key_host(&mut self, key: open_request::Key, host: &[u8]) {
        let Some(open_request) = self.open_requests.get(key) else { return };
        let agent = self.view.by_name(host);
        let record = agent.and_then(|agent| self.view.get(agent)).map(|host| &host.record);
        let in_pool = record.map(|record| record.pool == open_request.head.pool);
        match (agent, in_pool) {
            (Some(agent), Some(true)) => self.send_offer(key, agent),
            (_, Some(false)) => self.refuse_uncommitted(key, Reason::BadKey),
            _ => self.refuse_uncommitted(key, Reason::AgentLost),
        }
    }

    /// Offers a request to the next agent of its spread or, if there is none, to one beyond it.
    /// Returns whether an offer was sent.
    pub fn offer_to_next(&mut self, key: open_request::Key) -> bool {
        self.offer_within_spread(key) || self.offer_beyond_spread(key)
    }

    fn offer_within_spread(&mut self, key: open_request::Key) -> bool {
        let Some(open_request) = self.open_requests.get(key) else { return false };
        if open_request.is_keyed() {
            return false;
        }
        if open_request.offers_sent == 0 {
            let spread = self.choose_spread(key);
            self.open_requests[key].spread = spread;
        }
        let Some(open_request) = self.open_requests.get(key) else { return false };
        let next = open_request.spread.iter().find(|&&agent| {
            self.view.accepts_work(agent)
                && !open_request.was_tried(agent)
                && self.health.is_eligible(self.now, agent)
        });
        let Some(agent) = next.copied() else { return false };
        // An agent whose grant expired may get another offer. Offers in excess of the size of the
        // spread are retries.
        let uses_budget = open_request.offers_sent >= open_request.pool_settings.spread_size.max(1);
        self.send_within_budget(key, agent, uses_budget)
    }

    /// Offers a request to an agent beyond its spread. This uses the retry budget, unless no agent
    /// of the spread could get an offer.
    fn offer_beyond_spread(&mut self, key: open_request::Key) -> bool {
        let Some(open_request) = self.open_requests.get(key) else { return false };
        // While an offer to an agent of the spread is open, a copy of the request may already be
        // running there.
        if open_request.is_keyed() || open_request.spread_only || !open_request.offers.is_empty() {
            return false;
        }
        let uses_budget = open_request.offers_sent > 0;
        let is_excluded =
            |agent| open_request.was_tried(agent) || !self.health.is_eligible(self.now, agent);
        let general_agent = self.first_candidate(&open_request.head, |agent| {
            is_excluded(agent) || self.short_prompt_agents.contains(&agent)
        });
        // Refusals by the other agents are no reason to place a long prompt on an agent reserved
        // for short ones.
        let may_use_short_prompt_agents =
            open_request.has_short_prompt() || !self.has_general_agent(&open_request.head.pool);
        let short_prompt_agent = || {
            may_use_short_prompt_agents
                .then(|| self.first_candidate(&open_request.head, is_excluded))
                .flatten()
        };
        let Some(agent) = general_agent.or_else(short_prompt_agent) else { return false };
        self.send_within_budget(key, agent, uses_budget)
    }

    /// Sends an offer, which uses a token of the retry budget if `uses_budget` is set. Returns
    /// whether the offer was sent.
    fn send_within_budget(
        &mut self,
        key: open_request::Key,
        agent: view::Key,
        uses_budget: bool,
    ) -> bool {
        if uses_budget {
            if !self.retry_budget.has_token() {
                return false;
            }
            self.retry_budget.spend_token();
            self.counters.count("retries");
        }
        self.send_offer(key, agent);
        true
    }

    /// Returns the first agents in placement order that accept work. For a short prompt, the first
    /// agent is one reserved for short prompts and the next ones are others, so that it doesn't
    /// wait behind long prompts and can still use the whole pool. A long prompt gets reserved
    /// agents only if there are no others.
    fn choose_spread(&self, key: open_request::Key) -> Vec<view::Key> {
        let Some(open_request) = self.open_requests.get(key) else { return Vec::new() };
        let count = open_request.pool_settings.spread_size.max(1) as usize;
        let short = open_request.has_short_prompt();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count {
            let wants_short_prompt_agent = short && chosen.is_empty();
            let preferred = self.first_candidate(&open_request.head, |agent| {
                chosen.contains(&agent)
                    || self.short_prompt_agents.contains(&agent) != wants_short_prompt_agent
            });
            let any = || self.first_candidate(&open_request.head, |agent| chosen.contains(&agent));
            let may_use_any = short || chosen.is_empty();
            let any = || may_use_any.then(any).flatten();
            let Some(agent) = preferred.or_else(any) else { break };
            chosen.push(agent);
        }
        chosen
    }

    /// Returns whether an agent that is not reserved for short prompts accepts work and is eligible
    /// for placement.
    fn has_general_agent(&self, pool: &[u8]) -> bool {
        self.view.agents(pool).iter().any(|&agent| {
            let usable = self.view.accepts_work(agent) && self.health.is_eligible(self.now, agent);
            usable && !self.short_prompt_agents.contains(&agent)
        })
    }

    fn first_candidate(
        &self,
        head: &request::Head,
        is_excluded: impl FnMut(view::Key) -> bool,
    ) -> Option<view::Key> {
        let zone = &self.setup.availability_zone;
        placement::choose_agent(&self.view, &head.pool, head.affinity, zone, is_excluded)
    }

    fn send_offer(&mut self, key: open_request::Key, agent: view::Key) {
        let Some(host) = self.view.get(agent) else { return };
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let (peer, host) = (host.record.address, host.record.host.clone());
        open_request.offers.push(Offer { agent, host: host.clone(), peer, sent_at: self.now });
        open_request.offers_sent += 1;
        let may_hedge = open_request.offers_sent < open_request.pool_settings.spread_size;
        open_request.hedge_at =
            may_hedge.then(|| self.now + open_request.pool_settings.hedge_delay);
        let mut head = open_request.head.clone();
        head.remaining = open_request.deadline.since(self.now);
        head.beyond_spread = !open_request.is_keyed() && !open_request.spread.contains(&agent);
        self.health.record_offer(self.now, agent);
        self.counters.count("offers");
        self.push(Action::Offer { peer, head });
        self.enter_step(key, Step::Offered, "offered", host);
        self.arm_timer(key);
    }

    /// Handles an agent's reply to an offer.
    pub fn handle_offer_reply(
        &mut self,
        request: id::Request,
        peer: SocketAddr,
        reply: offer::Reply,
    ) {
        if request.process != self.setup.process {
            self.counters.count("misrouted_replies");
            return;
        }
        let key = self.find_request(request);
        let offer = key.and_then(|key| self.remove_matching_offer(key, peer, &reply));
        match (key, offer, reply) {
            (Some(key), Some(offer), offer::Reply::Ready { grant, .. }) => {
                self.handle_ready(key, offer, grant);
            }
            (Some(key), Some(offer), offer::Reply::Refused(refusal)) => {
                self.record_refusal_health(&offer, &refusal);
                self.handle_offer_refused(key, offer.agent, refusal);
            }
            (_, None, offer::Reply::Ready { grant, .. }) => {
                self.decline_grant(request, peer, grant);
            }
            _ => self.counters.count("late_replies"),
        }
    }

    /// Removes and returns the offer that a reply belongs to. A repeated reply with a grant that
    /// the agent has ended belongs to none.
    fn remove_matching_offer(
        &mut self,
        key: open_request::Key,
        peer: SocketAddr,
        reply: &offer::Reply,
    ) -> Option<Offer> {
        let open_request = self.open_requests.get_mut(key)?;
        if let offer::Reply::Ready { grant, .. } = reply
            && open_request.ended_grants.contains(grant)
        {
            return None;
        }
        let index = open_request.offers.iter().position(|offer| offer.peer == peer)?;
        Some(open_request.offers.swap_remove(index))
    }

    fn record_refusal_health(&mut self, offer: &Offer, refusal: &Refusal) {
        let failed = matches!(
            refusal.reason,
            Reason::BackendUnreachable | Reason::BackendCrashed | Reason::BackendSilent
        );
        if failed {
            self.record_agent_failure(offer.agent);
        } else {
            self.health.record_reply(self.now, offer.agent);
        }
    }

    /// Handles an offer whose connection closed without a reply.
    pub fn handle_offer_failed(&mut self, request: id::Request, peer: SocketAddr) {
        let Some(key) = self.find_request(request) else { return };
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let Some(index) = open_request.offers.iter().position(|offer| offer.peer == peer) else {
            return;
        };
        let offer = open_request.offers.swap_remove(index);
        let reason = if open_request.is_keyed() { Reason::AgentLost } else { Reason::NoBackend };
        let outcome = open_request.uncommitted_outcome();
        self.record_agent_failure(offer.agent);
        let mut refusal = self.build_refusal(outcome, Step::Offered, reason);
        refusal.peer = offer.host;
        self.handle_offer_refused(key, offer.agent, refusal);
    }

    /// Handles the reservation of a slot: commits the request, unless its deadline has passed.
    fn handle_ready(&mut self, key: open_request::Key, offer: Offer, grant: id::Grant) {
        let max_percent = self.max_ejected_percent(offer.agent);
        let context = health::Context { now: self.now, view: &self.view, max_percent };
        self.health.record_ready(context, offer.agent, self.now.since(offer.sent_at));
        let Some(open_request) = self.open_requests.get(key) else { return };
        let request = open_request.head.request;
        if self.now >= open_request.deadline {
            self.decline_grant(request, offer.peer, grant);
            self.refuse_uncommitted(key, Reason::Deadline);
        } else {
            self.withdraw_offers(key, true);
            self.commit(key, offer, grant);
        }
    }

    /// Handles the refusal or failure of an offer: offers the request to another agent or refuses
    /// it.
    pub fn handle_offer_refused(
        &mut self,
        key: open_request::Key,
        agent: view::Key,
        refusal: Refusal,
    ) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        // An agent whose grant expired has not refused the request and may get another offer.
        if refusal.reason != Reason::GrantExpired {
            open_request.refused_by.push(agent);
        }
        open_request.spread_only |= refusal.reason == Reason::Suspect;
        let scope = if open_request.is_keyed() {
            RefusalScope::Request
        } else {
            classify_refusal(&refusal)
        };
        if scope == RefusalScope::Request {
            self.refuse_request(key, refusal);
            return;
        }
        open_request.update_fallback_refusal(refusal);
        if self.now >= open_request.deadline {
            self.refuse_uncommitted(key, Reason::Deadline);
            return;
        }
        match scope {
            RefusalScope::Agent => self.offer_to_next(key),
            _ => self.offer_within_spread(key),
        };
        let has_offers =
            self.open_requests.get(key).is_some_and(|open_request| !open_request.offers.is_empty());
        if !has_offers {
            self.refuse_unplaced(key);
        }
        self.arm_timer(key);
    }

    /// Refuses a request for which no agent is left.
    fn refuse_unplaced(&mut self, key: open_request::Key) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let refusal = open_request.fallback_refusal.take();
        let step = open_request.step;
        let pool = open_request.head.pool.clone();
        let refusal = refusal.unwrap_or_else(|| {
            let agents = self.view.agents(&pool);
            let leaving = !agents.is_empty() && !agents.iter().any(|&a| self.view.accepts_work(a));
            let reason = if leaving { Reason::Leaving } else { Reason::NoBackend };
            self.build_refusal(Outcome::NotRun, step, reason)
        });
        self.refuse_request(key, refusal);
    }

    /// Refuses a request that is not committed, with a refusal that originates at this entry.
    pub fn refuse_uncommitted(&mut self, key: open_request::Key, reason: Reason) {
        let Some(open_request) = self.open_requests.get(key) else { return };
        let refusal =
            self.build_refusal(open_request.uncommitted_outcome(), open_request.step, reason);
        self.refuse_request(key, refusal);
    }

    /// Withdraws all open offers. With `too_slow`, the agents had not replied before another one
    /// or before the deadline, which counts in their health.
    pub fn withdraw_offers(&mut self, key: open_request::Key, too_slow: bool) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        let request = open_request.head.request;
        open_request.hedge_at = None;
        for offer in std::mem::take(&mut open_request.offers) {
            if too_slow {
                let max_percent = self.max_ejected_percent(offer.agent);
                let context = health::Context { now: self.now, view: &self.view, max_percent };
                self.health.record_withdrawal(context, offer.agent, self.now.since(offer.sent_at));
            }
            self.push(Action::Withdraw { request, peer: offer.peer });
        }
    }

    /// Withdraws the offers of a request to agents that are leaving or are no longer in the host
    /// list, and handles each as refused.
    pub fn withdraw_offers_to_leaving(&mut self, key: open_request::Key) {
        loop {
            let Some(open_request) =
                self.open_requests.get_mut(key).filter(|open_request| !open_request.is_keyed())
            else {
                return;
            };
            let is_leaving = |offer: &Offer| !self.view.accepts_work(offer.agent);
            let Some(index) = open_request.offers.iter().position(is_leaving) else { return };
            let offer = open_request.offers.swap_remove(index);
            let request = open_request.head.request;
            self.push(Action::Withdraw { request, peer: offer.peer });
            self.handle_leaving_agent(key, offer);
        }
    }

    fn handle_leaving_agent(&mut self, key: open_request::Key, offer: Offer) {
        let mut refusal = self.build_refusal(Outcome::NotRun, Step::Offered, Reason::Leaving);
        refusal.peer = offer.host;
        self.handle_offer_refused(key, offer.agent, refusal);
    }

    /// Handles the timer of a request without a grant: refuses it at its deadline or sends a
    /// hedge.
    pub fn handle_offer_timer(&mut self, key: open_request::Key) {
        let Some(open_request) = self.open_requests.get_mut(key) else { return };
        if self.now >= open_request.deadline {
            self.withdraw_offers(key, true);
            self.refuse_uncommitted(key, Reason::Deadline);
            return;
        }
        if open_request.hedge_at.take_if(|at| *at <= self.now).is_some() {
            self.offer_within_spread(key);
        }
    }
}

impl open_request::OpenRequest {
    fn has_short_prompt(&self) -> bool {
        self.head.prompt_tokens <= self.pool_settings.short_tokens
    }

    /// Returns whether an agent has refused the request, could not be reached or has an open offer
    /// of it.
    fn was_tried(&self, agent: view::Key) -> bool {
        self.refused_by.contains(&agent) || self.offers.iter().any(|offer| offer.agent == agent)
    }

    /// Replaces the fallback refusal, unless that one is for lack of capacity and the new one is
    /// not. A refusal for lack of capacity is more useful to the caller, since it has a time to
    /// retry after.
    fn update_fallback_refusal(&mut self, refusal: Refusal) {
        let is_capacity = |r: &Refusal| matches!(r.reason, Reason::Overload | Reason::Displaced);
        if !self.fallback_refusal.as_ref().is_some_and(is_capacity) || is_capacity(&refusal) {
            self.fallback_refusal = Some(refusal);
        }
    }
}
