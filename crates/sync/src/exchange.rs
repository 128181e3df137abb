//! Messages with peers: pushes, digest exchanges and their replies.

use std::net::SocketAddr;

use bytes::Bytes;
use wire::{sync, time::Instant};

use crate::{Action, Machine, brief, limit, store};

impl Machine {
    fn message(&self, now: Instant) -> sync::Exchange {
        let digest = self.store.digest().clone();
        sync::Exchange { digest, ..self.message_without_digest(now) }
    }

    fn message_without_digest(&self, now: Instant) -> sync::Exchange {
        sync::Exchange {
            process: self.setup.process,
            host: self.setup.host.clone(),
            digest: sync::Digest::default(),
            branches: Vec::new(),
            wanted: Vec::new(),
            suspects: self.suspects.shared(now),
        }
    }

    /// Returns a message with the digest in brief, but a whole one from a process that is
    /// starting, which holds little and needs all that it lacks.
    fn brief_message(&self, now: Instant, names: &[Bytes]) -> sync::Exchange {
        if !self.join.is_done() {
            return self.message(now);
        }
        let digest = brief::of(self.store.digest(), names);
        sync::Exchange { digest, ..self.message_without_digest(now) }
    }

    /// Tells a peer the hash of the digest. If it differs, the peer answers with its own.
    pub(crate) fn compare_with(&self, now: Instant, peer: SocketAddr, actions: &mut Vec<Action>) {
        actions.push(Action::Send { peer, exchange: self.brief_message(now, &[]) });
    }

    pub(crate) fn exchange_with(&self, now: Instant, peer: SocketAddr, actions: &mut Vec<Action>) {
        actions.push(Action::Send { peer, exchange: self.message(now) });
    }

    /// Exchanges digests with one random peer.
    pub(crate) fn exchange_with_any(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for peer in self.peers.choose(&mut self.rng, 1, b"") {
            self.partner = Some(peer);
            if self.was_equal {
                self.compared = (self.compared + 1).min(1 + limit::EXCHANGE_RETRIES);
                self.compare_with(now, peer, actions);
            } else {
                self.exchange_with(now, peer, actions);
            }
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
        let mut exchange = self.brief_message(now, changed);
        exchange.branches = self.store.named(changed.iter());
        exchange.branches.retain(|branch| branch.text.len() <= limit::PUSH_BYTES);
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
        let mut reply = self.reply(now, &digest);
        // A process that is starting may hold settings of a stale service only. Its reply
        // must not count as a seed's answer, so it doesn't say what it holds.
        if !self.join.is_done() {
            reply.digest = sync::Digest::default();
        }
        actions.push(Action::Reply { link, exchange: reply });
        self.push(now, &changed, &host, actions);
    }

    fn reply(&mut self, now: Instant, digest: &sync::Digest) -> sync::Exchange {
        let Some((hash, listed)) = brief::split(digest) else {
            if digest == self.store.digest() {
                return self.brief_message(now, &[]);
            }
            let branches = self.store.ahead(digest);
            let wanted = self.wanted(now, digest);
            return sync::Exchange { branches, wanted, ..self.message(now) };
        };
        if hash != self.store.digest().hash() && listed.0.is_empty() {
            return self.message(now);
        }
        let branches = self.store.newer(&listed);
        let wanted = self.wanted(now, &listed);
        sync::Exchange { branches, wanted, ..self.brief_message(now, &[]) }
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
        let is_complete = self.is_complete(&digest);
        if is_complete {
            self.join.answered(peer);
        }
        let is_whole = !digest.0.is_empty() && brief::split(&digest).is_none();
        self.was_equal = is_complete && !is_whole;
        // Answers to pushes are in brief, so only a whole one can be that to a comparison.
        let was_compared = is_whole && self.compared > 0;
        self.compared -= u32::from(was_compared);
        // The rest of a difference that exceeds one message follows in the next.
        let is_partial = is_whole && !is_complete && !changed.is_empty();
        let differs = was_compared && digest != *self.store.digest();
        if self.follow_ups >= limit::MAX_FOLLOW_UPS {
            // The next digest exchange goes on.
        } else if is_partial || differs {
            self.follow_ups += 1;
            let branches = match differs {
                true => self.store.ahead(&digest),
                false => self.store.named(wanted.iter()),
            };
            let exchange = sync::Exchange { branches, ..self.message(now) };
            actions.push(Action::Send { peer, exchange });
        } else if !wanted.is_empty() {
            self.follow_ups += 1;
            let mut exchange = self.brief_message(now, &wanted);
            exchange.branches = self.store.named(wanted.iter());
            actions.push(Action::Send { peer, exchange });
        }
        self.push(now, &changed, &host, actions);
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
        // A message that leaves this process behind its sender is no complete exchange, and
        // one from a process that is starting says nothing about the fleet.
        if self.is_complete(&exchange.digest) {
            self.contact = now;
            self.is_orphan = false;
        }
        changed
    }

    /// Returns whether everything the holder of `digest` has is in force here or was refused.
    fn is_complete(&self, digest: &sync::Digest) -> bool {
        match brief::split(digest) {
            Some((hash, _)) => hash == self.store.digest().hash(),
            None => !digest.0.is_empty() && self.store.behind(digest).is_empty(),
        }
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
