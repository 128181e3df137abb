//! Messages with peers: pushes, digest exchanges and their replies.

use std::net::SocketAddr;

use bytes::Bytes;
use wire::{sync, time::Instant};

use crate::{Action, Machine, limit, store, summary};

impl Machine {
    fn message(&self, now: Instant, digest: sync::Digest) -> sync::Exchange {
        sync::Exchange {
            process: self.setup.process,
            host: self.setup.host.clone(),
            digest,
            branches: Vec::new(),
            wanted: Vec::new(),
            suspects: self.suspects.shared(now),
        }
    }

    /// Returns a message with all revisions in force.
    pub(crate) fn full(&self, now: Instant) -> sync::Exchange {
        self.message(now, self.store.digest().clone())
    }

    /// Returns a message that names some branches and carries the small ones of them.
    pub(crate) fn brief(&self, now: Instant, names: &[Bytes]) -> sync::Exchange {
        let names = &names[..names.len().min(limit::MAX_WANTED)];
        let mut exchange =
            self.message(now, summary::of(self.store.digest(), self.store.hash(), names));
        exchange.branches = self.store.named(names.iter());
        exchange.branches.retain(|branch| branch.text.len() <= limit::PUSH_BYTES);
        exchange
    }

    /// Compares digests with one random peer.
    pub(crate) fn exchange_with_any(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for peer in self.peers.choose(&mut self.rng, 1, b"") {
            self.partner = Some(peer);
            actions.push(Action::Send { peer, exchange: self.brief(now, &[]) });
        }
    }

    /// Tells random peers of revisions that just came into force.
    pub(crate) fn push(
        &mut self,
        now: Instant,
        changed: &[Bytes],
        except: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if changed.is_empty() {
            return;
        }
        let exchange = self.brief(now, changed);
        for peer in self.peers.choose(&mut self.rng, limit::FANOUT, except) {
            actions.push(Action::Send { peer, exchange: exchange.clone() });
        }
    }

    /// Answers a peer's exchange.
    pub(crate) fn received(
        &mut self,
        now: Instant,
        link: u64,
        exchange: sync::Exchange,
        actions: &mut Vec<Action>,
    ) {
        let digest = exchange.digest.clone();
        let host = exchange.host.clone();
        let changed = self.absorb(now, exchange, actions);
        let hash = summary::hash(&digest);
        // Branches that the sender named are on their way, from it or from another peer.
        let is_settled = hash == Some(self.store.hash())
            || hash.is_some() && !self.store.behind(&digest).is_empty();
        let mut reply = if is_settled { self.brief(now, &[]) } else { self.full(now) };
        if hash.is_none() {
            reply.branches = self.store.ahead(&digest);
        }
        reply.wanted = self.wanted(now, &digest);
        // A process that is starting may hold settings of a stale service only. Its reply
        // must not count as a seed's answer, so it doesn't say what it holds.
        if !self.join.is_done() {
            reply.digest = sync::Digest::default();
        }
        actions.push(Action::Reply { link, exchange: reply });
        self.push(now, &changed, &host, actions);
    }

    /// Takes a peer's reply.
    pub(crate) fn replied(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        exchange: sync::Exchange,
        actions: &mut Vec<Action>,
    ) {
        let digest = exchange.digest.clone();
        let host = exchange.host.clone();
        let wanted = exchange.wanted.clone();
        let changed = self.absorb(now, exchange, actions);
        if self.is_level(&digest) {
            self.join.answered(peer);
        }
        if self.follow_ups < limit::MAX_FOLLOW_UPS
            && let Some(exchange) = self.follow_up(now, &digest, &wanted)
        {
            self.follow_ups += 1;
            actions.push(Action::Send { peer, exchange });
        }
        self.push(now, &changed, &host, actions);
    }

    /// Returns the message that continues an exchange after a reply, if one is needed.
    fn follow_up(
        &self,
        now: Instant,
        digest: &sync::Digest,
        wanted: &[Bytes],
    ) -> Option<sync::Exchange> {
        if !wanted.is_empty() {
            let mut exchange = self.brief(now, &[]);
            exchange.branches = self.store.named(wanted.iter());
            return Some(exchange);
        }
        // An empty digest comes from a process that is starting and asks by itself.
        if digest.0.is_empty() || summary::hash(digest).is_some() {
            return None;
        }
        if !self.store.behind(digest).is_empty() {
            return Some(self.full(now));
        }
        let lacking: Vec<Bytes> =
            self.store.ahead(digest).into_iter().map(|branch| branch.name).collect();
        (!lacking.is_empty()).then(|| self.brief(now, &lacking))
    }

    /// Returns whether the holder of `digest` has nothing that this process lacks. An empty
    /// digest comes from a process that is starting and says nothing about the fleet.
    fn is_level(&self, digest: &sync::Digest) -> bool {
        match summary::hash(digest) {
            Some(hash) => !self.store.digest().0.is_empty() && hash == self.store.hash(),
            None => !digest.0.is_empty() && self.store.behind(digest).is_empty(),
        }
    }

    /// Takes what a message carries and returns the names of branches that changed.
    fn absorb(
        &mut self,
        now: Instant,
        exchange: sync::Exchange,
        actions: &mut Vec<Action>,
    ) -> Vec<Bytes> {
        let new = self.suspects.learn(now, &exchange.suspects);
        if !new.is_empty() {
            actions.push(Action::Suspects(new));
        }
        let branches = exchange.branches.into_iter().take(limit::MAX_BRANCHES);
        let changed = self.take(store::Source::Peer, branches, actions);
        // A message that may leave this process behind its sender is no complete exchange.
        if self.is_level(&exchange.digest) {
            self.contact = now;
            self.is_orphan = false;
            if std::mem::take(&mut self.is_refreshing) {
                actions.push(Action::Refreshed);
            }
        }
        changed
    }

    /// Returns the branches to ask of the holder of `digest`, leaving out those asked of
    /// another peer just before.
    fn wanted(&mut self, now: Instant, digest: &sync::Digest) -> Vec<Bytes> {
        self.asked.retain(|_, (_, at)| now.since(*at) < limit::ASK_AGAIN);
        let mut wanted = Vec::new();
        for (name, revision) in self.store.behind(digest) {
            let asked = self.asked.get(&name);
            let is_asked = asked.is_some_and(|(asked, _)| *asked >= revision);
            if !is_asked && (asked.is_some() || self.asked.len() < limit::MAX_BRANCHES) {
                self.asked.insert(name.clone(), (revision, now));
                wanted.push(name);
            }
        }
        wanted
    }
}
