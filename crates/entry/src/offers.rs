//! Controller of offers: candidates in order, hedges, refusals and the retry budget.

use std::net::SocketAddr;

use fleet::{health, placement, view};
use wire::{
    id, offer,
    outcome::{Outcome, Reason, Refusal, Step},
    request,
};

use crate::{
    action::Action,
    flight::{self, Offer},
    state::State,
};

/// What a refusal by one agent means for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// It speaks for one agent: the next one in order is asked, within the retry budget.
    Agent,
    /// Other agents of the spread may be faster; agents beyond it are not asked.
    Spread,
    /// It speaks for the request: no other agent may get it.
    Request,
}

fn scope(refusal: &Refusal) -> Scope {
    if refusal.outcome != Outcome::NotRun {
        return Scope::Request;
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
        | Reason::AgentReplaced => Scope::Agent,
        // Lack of room must not widen the spread: copies of a poison request that arrive together
        // could then cost a third engine.
        Reason::Overload
        | Reason::Displaced
        | Reason::Deadline
        | Reason::AccountLimit
        | Reason::Suspect => Scope::Spread,
        _ => Scope::Request,
    }
}

impl State {
    /// Makes the first offer of a request.
    pub fn offer_first(&mut self, key: flight::Key) {
        let Some(flight) = self.flights.get(key) else { return };
        match flight.head.key.as_ref().map(|issued| issued.host.clone()) {
            Some(host) => self.offer_keyed(key, &host),
            None => {
                if !self.offer_next(key) {
                    self.refuse_unplaced(key);
                }
            }
        }
    }

    /// Offers a keyed request to the one agent that may run it.
    fn offer_keyed(&mut self, key: flight::Key, host: &[u8]) {
        let Some(flight) = self.flights.get(key) else { return };
        let agent = self.view.by_name(host);
        let record = agent.and_then(|agent| self.view.get(agent)).map(|host| &host.record);
        let pool = record.map(|record| record.pool == flight.head.pool);
        match (agent, pool) {
            (Some(agent), Some(true)) => self.send_offer(key, agent),
            (_, Some(false)) => self.refuse_uncommitted(key, Reason::BadKey),
            _ => self.refuse_uncommitted(key, Reason::AgentLost),
        }
    }

    /// Offers a request to its next candidate; returns whether there was one.
    pub fn offer_next(&mut self, key: flight::Key) -> bool {
        self.offer_within_spread(key) || self.offer_beyond_spread(key)
    }

    fn offer_within_spread(&mut self, key: flight::Key) -> bool {
        let Some(flight) = self.flights.get(key) else { return false };
        if flight.is_keyed() {
            return false;
        }
        if flight.offers_sent == 0 {
            let spread = self.choose_spread(key);
            self.flights[key].spread = spread;
        }
        let Some(flight) = self.flights.get(key) else { return false };
        let free = flight.spread.iter().find(|&&agent| {
            self.view.accepts_work(agent)
                && !flight.has_asked(agent)
                && self.health.is_eligible(self.now, agent)
        });
        let Some(agent) = free.copied() else { return false };
        // An agent is asked again after a grant that expired.
        let paid = flight.offers_sent >= flight.limits.spread.max(1);
        self.send_paid(key, agent, paid)
    }

    /// Offers a request to an agent beyond its spread. That is paid for from the retry budget,
    /// unless no agent of the spread could be asked.
    fn offer_beyond_spread(&mut self, key: flight::Key) -> bool {
        let Some(flight) = self.flights.get(key) else { return false };
        // While one of the spread considers it, another copy of it may be running there.
        if flight.is_keyed() || flight.confined || !flight.offers.is_empty() {
            return false;
        }
        let paid = flight.offers_sent > 0;
        let skip = |agent| flight.has_asked(agent) || !self.health.is_eligible(self.now, agent);
        let ordinary =
            self.candidate(&flight.head, |agent| skip(agent) || self.kept.contains(&agent));
        // A refusal by the others is no reason to put a long prompt on a kept agent.
        let may_use_kept = flight.is_short() || !self.has_ordinary(&flight.head.pool);
        let kept = || may_use_kept.then(|| self.candidate(&flight.head, skip)).flatten();
        let Some(agent) = ordinary.or_else(kept) else { return false };
        self.send_paid(key, agent, paid)
    }

    /// Sends an offer if the retry budget allows it or it is free; returns whether it did.
    fn send_paid(&mut self, key: flight::Key, agent: view::Key, paid: bool) -> bool {
        if paid {
            if !self.budget.allows() {
                return false;
            }
            self.budget.spend();
            self.counters.count("retries");
        }
        self.send_offer(key, agent);
        true
    }

    /// Returns the first live agents in placement order. A short request has an agent that is
    /// kept free of long prompts in the first place and others behind it, so that it doesn't
    /// wait behind long prompts and can still use the whole pool. A long one has kept agents
    /// only if there are no others.
    fn choose_spread(&self, key: flight::Key) -> Vec<view::Key> {
        let Some(flight) = self.flights.get(key) else { return Vec::new() };
        let count = flight.limits.spread.max(1) as usize;
        let short = flight.is_short();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count {
            let wants_kept = short && chosen.is_empty();
            let preferred = self.candidate(&flight.head, |agent| {
                chosen.contains(&agent) || self.kept.contains(&agent) != wants_kept
            });
            let any = || self.candidate(&flight.head, |agent| chosen.contains(&agent));
            let may_use_any = short || chosen.is_empty();
            let any = || may_use_any.then(any).flatten();
            let Some(agent) = preferred.or_else(any) else { break };
            chosen.push(agent);
        }
        chosen
    }

    /// Returns whether an agent that takes long prompts is live and admitted.
    fn has_ordinary(&self, pool: &[u8]) -> bool {
        self.view.agents(pool).iter().any(|&agent| {
            let usable = self.view.accepts_work(agent) && self.health.is_eligible(self.now, agent);
            usable && !self.kept.contains(&agent)
        })
    }

    fn candidate(
        &self,
        head: &request::Head,
        skip: impl FnMut(view::Key) -> bool,
    ) -> Option<view::Key> {
        let zone = &self.setup.availability_zone;
        placement::choose_agent(&self.view, &head.pool, head.affinity, zone, skip)
    }

    fn send_offer(&mut self, key: flight::Key, agent: view::Key) {
        let Some(host) = self.view.get(agent) else { return };
        let Some(flight) = self.flights.get_mut(key) else { return };
        let (peer, host) = (host.record.address, host.record.host.clone());
        flight.offers.push(Offer { agent, host: host.clone(), peer, sent: self.now });
        flight.offers_sent += 1;
        let hedged = flight.offers_sent < flight.limits.spread;
        flight.hedge_at = hedged.then(|| self.now + flight.limits.hedge);
        let mut head = flight.head.clone();
        head.remaining = flight.deadline.since(self.now);
        head.beyond_spread = !flight.is_keyed() && !flight.spread.contains(&agent);
        self.health.record_offer(self.now, agent);
        self.counters.count("offers");
        self.push(Action::Offer { peer, head });
        self.step(key, Step::Offered, "offered", host);
        self.arm(key);
    }

    /// Handles an agent's answer to an offer.
    pub fn offer_reply(&mut self, request: id::Request, peer: SocketAddr, reply: offer::Reply) {
        if request.process != self.setup.process {
            self.counters.count("misrouted_replies");
            return;
        }
        let key = self.find(request);
        let offer = key.and_then(|key| self.take_offer(key, peer, &reply));
        match (key, offer, reply) {
            (Some(key), Some(offer), offer::Reply::Ready { grant, .. }) => {
                self.ready(key, offer, grant);
            }
            (Some(key), Some(offer), offer::Reply::Refused(refusal)) => {
                self.note_refusal(&offer, &refusal);
                self.offer_refused(key, offer.agent, refusal);
            }
            (_, None, offer::Reply::Ready { grant, .. }) => {
                self.decline(request, peer, grant);
            }
            _ => self.counters.count("late_replies"),
        }
    }

    /// Removes the offer that a reply answers. A repeat of a grant that was given up answers
    /// nothing.
    fn take_offer(
        &mut self,
        key: flight::Key,
        peer: SocketAddr,
        reply: &offer::Reply,
    ) -> Option<Offer> {
        let flight = self.flights.get_mut(key)?;
        if let offer::Reply::Ready { grant, .. } = reply
            && flight.abandoned.contains(grant)
        {
            return None;
        }
        let index = flight.offers.iter().position(|offer| offer.peer == peer)?;
        Some(flight.offers.swap_remove(index))
    }

    fn note_refusal(&mut self, offer: &Offer, refusal: &Refusal) {
        let failed = matches!(
            refusal.reason,
            Reason::BackendUnreachable | Reason::BackendCrashed | Reason::BackendSilent
        );
        if failed {
            self.blame(offer.agent);
        } else {
            self.health.record_reply(self.now, offer.agent);
        }
    }

    /// Handles the close of an offer's connection without an answer.
    pub fn offer_failed(&mut self, request: id::Request, peer: SocketAddr) {
        let Some(key) = self.find(request) else { return };
        let Some(flight) = self.flights.get_mut(key) else { return };
        let Some(index) = flight.offers.iter().position(|offer| offer.peer == peer) else { return };
        let offer = flight.offers.swap_remove(index);
        let reason = if flight.is_keyed() { Reason::AgentLost } else { Reason::NoBackend };
        let outcome = flight.uncommitted();
        self.blame(offer.agent);
        let mut refusal = self.refusal(outcome, Step::Offered, reason);
        refusal.peer = offer.host;
        self.offer_refused(key, offer.agent, refusal);
    }

    /// Handles a reserved slot: commits, if the request may still be committed there.
    fn ready(&mut self, key: flight::Key, offer: Offer, grant: id::Grant) {
        let max_percent = self.max_ejected_percent(offer.agent);
        let scope = health::Context { now: self.now, view: &self.view, max_percent };
        self.health.record_ready(scope, offer.agent, self.now.since(offer.sent));
        let Some(flight) = self.flights.get(key) else { return };
        let request = flight.head.request;
        if self.now >= flight.deadline {
            self.decline(request, offer.peer, grant);
            self.refuse_uncommitted(key, Reason::Deadline);
        } else {
            self.withdraw(key, true);
            self.commit(key, offer, grant);
        }
    }

    /// Takes a refusal or failure into account: asks the next candidate or refuses.
    pub fn offer_refused(&mut self, key: flight::Key, agent: view::Key, refusal: Refusal) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        // An agent that gave up an expired grant may be asked again; it has not refused.
        if refusal.reason != Reason::GrantExpired {
            flight.refused.push(agent);
        }
        flight.confined |= refusal.reason == Reason::Suspect;
        let scope = if flight.is_keyed() { Scope::Request } else { scope(&refusal) };
        if scope == Scope::Request {
            self.refuse(key, refusal);
            return;
        }
        flight.keep_refusal(refusal);
        if self.now >= flight.deadline {
            self.refuse_uncommitted(key, Reason::Deadline);
            return;
        }
        match scope {
            Scope::Agent => self.offer_next(key),
            _ => self.offer_within_spread(key),
        };
        let waits = self.flights.get(key).is_some_and(|flight| !flight.offers.is_empty());
        if !waits {
            self.refuse_unplaced(key);
        }
        self.arm(key);
    }

    /// Refuses a request for which no candidate is left.
    fn refuse_unplaced(&mut self, key: flight::Key) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let refusal = flight.refusal.take();
        let step = flight.step;
        let pool = flight.head.pool.clone();
        let refusal = refusal.unwrap_or_else(|| {
            let agents = self.view.agents(&pool);
            let leaving = !agents.is_empty() && !agents.iter().any(|&a| self.view.accepts_work(a));
            let reason = if leaving { Reason::Leaving } else { Reason::NoBackend };
            self.refusal(Outcome::NotRun, step, reason)
        });
        self.refuse(key, refusal);
    }

    /// Refuses a request that has no commitment, for a reason of this entry.
    pub fn refuse_uncommitted(&mut self, key: flight::Key, reason: Reason) {
        let Some(flight) = self.flights.get(key) else { return };
        let refusal = self.refusal(flight.uncommitted(), flight.step, reason);
        self.refuse(key, refusal);
    }

    /// Withdraws all outstanding offers. With `passed_over`, the agents were slower than
    /// another one or than the deadline.
    pub fn withdraw(&mut self, key: flight::Key, passed_over: bool) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let request = flight.head.request;
        flight.hedge_at = None;
        for offer in std::mem::take(&mut flight.offers) {
            if passed_over {
                let max_percent = self.max_ejected_percent(offer.agent);
                let scope = health::Context { now: self.now, view: &self.view, max_percent };
                self.health.record_withdrawal(scope, offer.agent, self.now.since(offer.sent));
            }
            self.push(Action::Withdraw { request, peer: offer.peer });
        }
    }

    /// Withdraws offers from agents that leave or are no longer listed.
    pub fn void_leaving(&mut self, key: flight::Key) {
        loop {
            let Some(flight) = self.flights.get_mut(key).filter(|flight| !flight.is_keyed()) else {
                return;
            };
            let left = |offer: &Offer| !self.view.accepts_work(offer.agent);
            let Some(index) = flight.offers.iter().position(left) else { return };
            let offer = flight.offers.swap_remove(index);
            let request = flight.head.request;
            self.push(Action::Withdraw { request, peer: offer.peer });
            self.offer_left(key, offer);
        }
    }

    fn offer_left(&mut self, key: flight::Key, offer: Offer) {
        let mut refusal = self.refusal(Outcome::NotRun, Step::Offered, Reason::Leaving);
        refusal.peer = offer.host;
        self.offer_refused(key, offer.agent, refusal);
    }

    /// Handles the timer of a request without a grant: deadline or hedge.
    pub fn offer_timer(&mut self, key: flight::Key) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        if self.now >= flight.deadline {
            self.withdraw(key, true);
            self.refuse_uncommitted(key, Reason::Deadline);
            return;
        }
        if flight.hedge_at.take_if(|at| *at <= self.now).is_some() {
            self.offer_within_spread(key);
        }
    }
}

impl flight::Flight {
    fn is_short(&self) -> bool {
        self.head.prompt_tokens <= self.limits.short_tokens
    }

    /// Returns whether an agent has refused the request or holds an offer of it.
    fn has_asked(&self, agent: view::Key) -> bool {
        self.refused.contains(&agent) || self.offers.iter().any(|offer| offer.agent == agent)
    }

    /// Keeps the refusal that tells the caller most: lack of room before anything else, since
    /// it says when to come back.
    fn keep_refusal(&mut self, refusal: Refusal) {
        let is_room = |r: &Refusal| matches!(r.reason, Reason::Overload | Reason::Displaced);
        if !self.refusal.as_ref().is_some_and(is_room) || is_room(&refusal) {
            self.refusal = Some(refusal);
        }
    }
}
