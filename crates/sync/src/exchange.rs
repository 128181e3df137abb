//! Exchanges with peers: pushes of changed branches, periodic digest exchanges and replies.

use std::net::SocketAddr;

use bytes::Bytes;
use wire::{sync, time::Instant};

use crate::{Action, Machine, limit, store, summary};

impl Machine {
    fn build_exchange(&self, now: Instant, digest: sync::Digest) -> sync::Exchange {
        sync::Exchange {
            process: self.setup.process,
            host: self.setup.host.clone(),
            digest,
            branches: Vec::new(),
            wanted: Vec::new(),
            suspects: self.suspects.recent(now),
        }
    }

    /// Returns an exchange whose digest lists all revisions in force.
    pub(crate) fn build_full_exchange(&self, now: Instant) -> sync::Exchange {
        self.build_exchange(now, self.store.digest().clone())
    }

    /// Returns an exchange whose digest is a summary that lists the branches in `names`, with
    /// the text of the small ones.
    pub(crate) fn build_summary_exchange(&self, now: Instant, names: &[Bytes]) -> sync::Exchange {
        let names = &names[..names.len().min(limit::MAX_WANTED)];
        let mut exchange =
            self.build_exchange(now, summary::build(self.store.digest(), self.store.hash(), names));
        exchange.branches = self.store.branches_named(names.iter());
        exchange.branches.retain(|branch| branch.text.len() <= limit::MAX_PUSH_BYTES);
        exchange
    }

    /// Starts a digest exchange with one random peer.
    pub(crate) fn exchange_with_random_peer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(peer) = self.peers.next_turn(&mut self.rng) {
            self.exchange_peer = Some(peer);
            actions.push(Action::Send { peer, exchange: self.build_summary_exchange(now, &[]) });
        }
    }

    /// Sends revisions that just came into force to random peers, none of them on
    /// `excluded_host`. An empty name excludes none.
    pub(crate) fn push_changes(
        &mut self,
        now: Instant,
        changed: &[Bytes],
        excluded_host: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if changed.is_empty() {
            return;
        }
        let exchange = self.build_summary_exchange(now, changed);
        for peer in self.peers.choose(&mut self.rng, limit::FANOUT, excluded_host) {
            actions.push(Action::Send { peer, exchange: exchange.clone() });
        }
    }

    /// Applies a peer's exchange and replies to it.
    pub(crate) fn handle_exchange(
        &mut self,
        now: Instant,
        link: u64,
        exchange: sync::Exchange,
        actions: &mut Vec<Action>,
    ) {
        let digest = exchange.digest.clone();
        let host = exchange.host.clone();
        let changed = self.apply_exchange(now, exchange, actions);
        let hash = summary::find_hash(&digest);
        // Revisions in the sender's summary that are missing here are requested by this reply or
        // were requested from another peer just before, so the sender needs no full digest.
        let is_summary_sufficient = hash == Some(self.store.hash())
            || hash.is_some() && !self.store.missing_revisions(&digest).is_empty();
        let mut reply = if is_summary_sufficient {
            self.build_summary_exchange(now, &[])
        } else {
            self.build_full_exchange(now)
        };
        if hash.is_none() {
            reply.branches = self.store.newer_branches(&digest);
        }
        reply.wanted = self.select_wanted(now, &digest);
        if digest.0.is_empty() {
            reply.suspects = self.suspects.all(now);
        }
        // A process that is starting may have only the settings of a stale configuration service.
        // The empty digest keeps its reply from counting as the reply of a seed.
        if !self.join.is_done() {
            reply.digest = sync::Digest::default();
        }
        actions.push(Action::Reply { link, exchange: reply });
        self.push_changes(now, &changed, &host, actions);
    }

    /// Applies a peer's reply and sends a follow-up if one is needed.
    pub(crate) fn handle_reply(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        exchange: sync::Exchange,
        actions: &mut Vec<Action>,
    ) {
        let digest = exchange.digest.clone();
        let host = exchange.host.clone();
        let wanted = exchange.wanted.clone();
        let changed = self.apply_exchange(now, exchange, actions);
        if self.is_up_to_date_with(&digest) {
            self.join.record_reply(peer);
        }
        if self.follow_ups < limit::MAX_FOLLOW_UPS
            && let Some(exchange) = self.build_follow_up(now, &digest, &wanted)
        {
            self.follow_ups += 1;
            actions.push(Action::Send { peer, exchange });
        }
        self.push_changes(now, &changed, &host, actions);
    }

    /// Returns the message that continues an exchange after a reply, if one is needed.
    fn build_follow_up(
        &self,
        now: Instant,
        digest: &sync::Digest,
        wanted: &[Bytes],
    ) -> Option<sync::Exchange> {
        if !wanted.is_empty() {
            let mut exchange = self.build_summary_exchange(now, &[]);
            exchange.branches = self.store.branches_named(wanted.iter());
            return Some(exchange);
        }
        if summary::find_hash(digest).is_some() {
            return None;
        }
        if !self.store.missing_revisions(digest).is_empty() {
            return Some(self.build_full_exchange(now));
        }
        let missing_at_peer: Vec<Bytes> =
            self.store.newer_branches(digest).into_iter().map(|branch| branch.name).collect();
        if missing_at_peer.is_empty() {
            return None;
        }
        let mut exchange = self.build_summary_exchange(now, &missing_at_peer);
        if digest.0.is_empty() {
            exchange.suspects = self.suspects.all(now);
        }
        Some(exchange)
    }

    /// Returns whether each revision in `digest` is in force here, was refused or is lower than the
    /// one in force; of a summary only the hash is compared. False for an empty digest, which comes
    /// from a process that is starting and is no evidence of the state of the fleet.
    fn is_up_to_date_with(&self, digest: &sync::Digest) -> bool {
        match summary::find_hash(digest) {
            Some(hash) => !self.store.digest().0.is_empty() && hash == self.store.hash(),
            None => !digest.0.is_empty() && self.store.missing_revisions(digest).is_empty(),
        }
    }

    /// Applies the suspects and branches of an exchange and returns the names of branches that
    /// changed.
    fn apply_exchange(
        &mut self,
        now: Instant,
        exchange: sync::Exchange,
        actions: &mut Vec<Action>,
    ) -> Vec<Bytes> {
        let new = self.suspects.add(now, &exchange.suspects, !self.join.is_done());
        if !new.is_empty() {
            actions.push(Action::Suspects(new));
        }
        let branches = exchange.branches.into_iter().take(limit::MAX_BRANCHES);
        let changed = self.apply_branches(store::Source::Peer, branches, actions);
        // The exchange is complete only if the sender has no newer revisions.
        if self.is_up_to_date_with(&exchange.digest) {
            self.last_exchange = now;
            self.is_isolated = false;
            if std::mem::take(&mut self.is_refreshing) {
                actions.push(Action::Refreshed);
            }
        }
        changed
    }

    /// Returns the branches to request from the sender of `digest`, leaving out those requested
    /// from another peer just before.
    fn select_wanted(&mut self, now: Instant, digest: &sync::Digest) -> Vec<Bytes> {
        self.requested.retain(|_, (_, at)| now.since(*at) < limit::WANTED_RETRY_INTERVAL);
        let mut wanted = Vec::new();
        for (name, revision) in self.store.missing_revisions(digest) {
            let requested = self.requested.get(&name);
            let is_requested = requested.is_some_and(|(latest, _)| *latest >= revision);
            if !is_requested && (requested.is_some() || self.requested.len() < limit::MAX_BRANCHES)
            {
                self.requested.insert(name.clone(), (revision, now));
                wanted.push(name);
            }
        }
        wanted
    }
}
