//! Offers with an idempotency key: the normal path, waiting, or sharing a grant.

use bytes::Bytes;
use wire::{
    id, key, offer, outcome,
    outcome::{Outcome, Reason, Step},
    request,
    time::Instant,
};

use crate::{
    Action, Link,
    event::Context,
    keys,
    machine::{Machine, Use},
    timers::Timer,
};

impl Machine {
    pub(crate) fn issue_key(&mut self, cx: &mut Context<'_>, link: Link, route: Bytes) {
        let Some(pool) = self.pool.as_ref().filter(|_| self.drain.ready) else {
            return self.refuse_key(cx, link, Reason::NotReady);
        };
        if self.drain.is_leaving() {
            return self.refuse_key(cx, link, Reason::Leaving);
        }
        let expires = cx.now + pool.key_ttl;
        let Some(seq) = self.keys.issue(route, expires) else {
            return self.refuse_key(cx, link, Reason::Overload);
        };
        self.timers.arm(expires, Timer::Key(seq));
        self.count("keys");
        let key = key::Key { host: self.host(), process: self.setup.process, seq };
        cx.push(Action::KeyReply { link, reply: Ok(key) });
    }

    fn refuse_key(&mut self, cx: &mut Context<'_>, link: Link, reason: Reason) {
        let retry = Some(self.queue_time());
        let refusal = self.refusal(Outcome::NotRun, Step::Offered, reason, retry);
        cx.push(Action::KeyReply { link, reply: Err(refusal) });
    }

    /// Returns whether a keyed offer takes the normal path. Otherwise it is answered, or it
    /// waits for the outcome of the offer that holds the key.
    pub(crate) fn admit_key(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        head: &request::Head,
        key: &key::Key,
        deadline: Instant,
    ) -> bool {
        if key.process != self.setup.process || key.host != self.setup.host {
            self.refuse_keyed(cx, link, head, Outcome::Unknown, Reason::AgentReplaced);
            return false;
        }
        let issued = self.keys.was_issued(key);
        let Some(record) = self.keys.get_mut(key.seq) else {
            let never = (Outcome::NotRun, Reason::BadKey);
            let (outcome, reason) =
                if issued { (Outcome::Unknown, Reason::KeyExpired) } else { never };
            self.refuse_keyed(cx, link, head, outcome, reason);
            return false;
        };
        let other = record.fingerprint.is_some_and(|print| print != head.fingerprint);
        if record.route != head.route || other {
            self.refuse_keyed(cx, link, head, Outcome::NotRun, Reason::BadKey);
            return false;
        }
        match record.state {
            keys::State::Unused => true,
            keys::State::Used(grant) => {
                self.share_grant(cx, link, head, grant);
                false
            }
            keys::State::Pending(_) => {
                self.wait_for_key(cx, key.seq, keys::Waiter { link, head: head.clone(), deadline });
                false
            }
        }
    }

    fn refuse_keyed(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        head: &request::Head,
        outcome: outcome::Outcome,
        reason: Reason,
    ) {
        let refusal = self.refusal(outcome, Step::Offered, reason, None);
        self.refuse_offer(cx, link, head, refusal);
    }

    fn wait_for_key(&mut self, cx: &mut Context<'_>, seq: u64, waiter: keys::Waiter) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        let link = waiter.link;
        let Some(waiters) = record.waiters() else {
            // The offer that holds the key may still run.
            let (outcome, reason) = (Outcome::Unknown, Reason::KeyInUse);
            return self.refuse_keyed(cx, link, &waiter.head, outcome, reason);
        };
        waiters.push(waiter);
        self.links.insert(link, Use::Waiting(seq));
        self.rearm_key(seq);
    }

    fn rearm_key(&mut self, seq: u64) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        let due = record.due_at();
        if due != record.due {
            self.timers.disarm(record.due, Timer::Key(seq));
            record.due = due;
            self.timers.arm(due, Timer::Key(seq));
        }
    }

    /// Drops a key that expired, or waiters whose deadline passed.
    pub(crate) fn check_key(&mut self, cx: &mut Context<'_>, seq: u64) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        let expired = record.expires <= cx.now;
        let keys::State::Pending(waiters) = &mut record.state else {
            if expired {
                self.keys.remove(seq);
            } else {
                // Fired for a waiter that is gone; the expiry is still ahead.
                record.due = record.expires;
                self.timers.arm(record.expires, Timer::Key(seq));
            }
            return;
        };
        let (gone, kept) = std::mem::take(waiters)
            .into_iter()
            .partition::<Vec<_>, _>(|waiter| expired || waiter.deadline <= cx.now);
        *waiters = kept;
        if expired {
            self.keys.remove(seq);
        } else {
            record.due = record.due_at();
            self.timers.arm(record.due, Timer::Key(seq));
        }
        let reason = if expired { Reason::KeyExpired } else { Reason::KeyInUse };
        for waiter in gone {
            self.links.remove(&waiter.link);
            self.refuse_keyed(cx, waiter.link, &waiter.head, Outcome::Unknown, reason);
        }
    }

    /// Answers a repeated call with the grant that its key was burned for.
    fn share_grant(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        head: &request::Head,
        grant: id::Grant,
    ) {
        let ttl = self.pool.as_ref().map_or_else(Default::default, |pool| pool.grant_ttl);
        match self.streams.get_mut(grant) {
            Some(stream) if stream.kept.base() == 0 => {
                stream.add_alias(head.request);
                self.count("shared");
                self.trace(cx, head.request, Step::Offered, "shared");
                cx.push(Action::Reply { link, reply: offer::Reply::Ready { grant, ttl } });
            }
            _ => self.refuse_keyed(cx, link, head, Outcome::Unknown, Reason::KeyExpired),
        }
    }

    /// Marks the key of an accepted commitment as used and answers those who wait for it.
    pub(crate) fn burn_key(&mut self, cx: &mut Context<'_>, seq: u64, grant: id::Grant) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        for waiter in record.replace(keys::State::Used(grant)) {
            self.links.remove(&waiter.link);
            self.share_grant(cx, waiter.link, &waiter.head, grant);
        }
    }

    /// Frees the key of a request that was given up before it ran. Those who wait for it
    /// compete for its place in their order.
    pub(crate) fn release_key(&mut self, cx: &mut Context<'_>, head: &request::Head) {
        if let Some(key) = &head.key {
            self.free_key(cx, key.seq);
        }
    }

    pub(crate) fn free_key(&mut self, cx: &mut Context<'_>, seq: u64) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        record.fingerprint = None;
        for waiter in record.replace(keys::State::Unused) {
            self.links.remove(&waiter.link);
            let keys::Waiter { link, mut head, deadline } = waiter;
            head.remaining = deadline.since(cx.now);
            self.admit(cx, link, head, deadline);
        }
    }
}
