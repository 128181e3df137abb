//! Idempotency keys: issuing them, and offers that carry one.

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
    machine::{LinkUse, Machine},
    timers::Timer,
};

impl Machine {
    pub(crate) fn issue_key(&mut self, cx: &mut Context<'_>, link: Link, route: Bytes) {
        let Some(pool) = self.pool.as_ref().filter(|_| self.drain.ready) else {
            return self.refuse_key_request(cx, link, Reason::NotReady);
        };
        if self.drain.is_leaving() {
            return self.refuse_key_request(cx, link, Reason::Leaving);
        }
        let expires_at = cx.now + pool.key_ttl;
        let Some(seq) = self.keys.issue(route, expires_at) else {
            return self.refuse_key_request(cx, link, Reason::Overload);
        };
        self.timers.arm(expires_at, Timer::Key(seq));
        self.count("keys");
        let key = key::Key { host: self.host(), process: self.setup.process, seq };
        cx.push(Action::KeyReply { link, reply: Ok(key) });
    }

    fn refuse_key_request(&mut self, cx: &mut Context<'_>, link: Link, reason: Reason) {
        let retry_after = Some(self.queue_delay());
        let refusal = self.refusal(Outcome::NotRun, Step::Offered, reason, retry_after);
        cx.push(Action::KeyReply { link, reply: Err(refusal) });
    }

    /// Checks the key of an offer and returns whether the offer can be admitted like one without a
    /// key. If not, it has been refused, has received the grant of the request that used the key,
    /// or waits for the outcome of the offer that uses the key now.
    pub(crate) fn admit_keyed_offer(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        head: &request::Head,
        key: &key::Key,
        deadline: Instant,
    ) -> bool {
        if key.process != self.setup.process || key.host != self.setup.host {
            self.refuse_keyed_offer(cx, link, head, Outcome::Unknown, Reason::AgentReplaced);
            return false;
        }
        let issued = self.keys.was_issued(key);
        let Some(record) = self.keys.get_mut(key.seq) else {
            let not_issued = (Outcome::NotRun, Reason::BadKey);
            let (outcome, reason) =
                if issued { (Outcome::Unknown, Reason::KeyExpired) } else { not_issued };
            self.refuse_keyed_offer(cx, link, head, outcome, reason);
            return false;
        };
        let differs = record.fingerprint.is_some_and(|fingerprint| fingerprint != head.fingerprint);
        if record.route != head.route || differs {
            self.refuse_keyed_offer(cx, link, head, Outcome::NotRun, Reason::BadKey);
            return false;
        }
        match record.state {
            keys::State::Unused => true,
            keys::State::Used(grant) => {
                self.share_grant(cx, link, head, grant);
                false
            }
            keys::State::Pending(_) => {
                self.add_key_waiter(
                    cx,
                    key.seq,
                    keys::Waiter { link, head: head.clone(), deadline },
                );
                false
            }
        }
    }

    fn refuse_keyed_offer(
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

    fn add_key_waiter(&mut self, cx: &mut Context<'_>, seq: u64, waiter: keys::Waiter) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        let link = waiter.link;
        let Some(waiters) = record.waiters_if_not_full() else {
            // The offer that uses the key may still run.
            let (outcome, reason) = (Outcome::Unknown, Reason::KeyInUse);
            return self.refuse_keyed_offer(cx, link, &waiter.head, outcome, reason);
        };
        waiters.push(waiter);
        self.links.insert(link, LinkUse::Waiting(seq));
        self.rearm_key(seq);
    }

    fn rearm_key(&mut self, seq: u64) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        let due = record.due_at();
        if due != record.armed_for {
            self.timers.disarm(record.armed_for, Timer::Key(seq));
            record.armed_for = due;
            self.timers.arm(due, Timer::Key(seq));
        }
    }

    /// Removes a key that expired, and refuses waiters whose deadline passed.
    pub(crate) fn check_key(&mut self, cx: &mut Context<'_>, seq: u64) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        let expired = record.expires_at <= cx.now;
        let keys::State::Pending(waiters) = &mut record.state else {
            if expired {
                self.keys.remove(seq);
            } else {
                // The timer was armed for a waiter that has left; the key expires later.
                record.armed_for = record.expires_at;
                self.timers.arm(record.expires_at, Timer::Key(seq));
            }
            return;
        };
        let (refused, remaining) = std::mem::take(waiters)
            .into_iter()
            .partition::<Vec<_>, _>(|waiter| expired || waiter.deadline <= cx.now);
        *waiters = remaining;
        if expired {
            self.keys.remove(seq);
        } else {
            record.armed_for = record.due_at();
            self.timers.arm(record.armed_for, Timer::Key(seq));
        }
        let reason = if expired { Reason::KeyExpired } else { Reason::KeyInUse };
        for waiter in refused {
            self.links.remove(&waiter.link);
            self.refuse_keyed_offer(cx, waiter.link, &waiter.head, Outcome::Unknown, reason);
        }
    }

    /// Replies to a repeated request with the grant for which its key was used.
    fn share_grant(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        head: &request::Head,
        grant: id::Grant,
    ) {
        let ttl = self.pool.as_ref().map_or_else(Default::default, |pool| pool.grant_ttl);
        match self.streams.get_mut(grant) {
            Some(stream) if stream.buffer.start_offset() == 0 => {
                stream.add_alias(head.request);
                self.count("shared");
                self.trace(cx, head.request, Step::Offered, "shared");
                cx.push(Action::Reply { link, reply: offer::Reply::Ready { grant, ttl } });
            }
            _ => self.refuse_keyed_offer(cx, link, head, Outcome::Unknown, Reason::KeyExpired),
        }
    }

    /// Marks the key of a committed request as used and replies to its waiters.
    pub(crate) fn mark_key_used(&mut self, cx: &mut Context<'_>, seq: u64, grant: id::Grant) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        for waiter in record.replace_state(keys::State::Used(grant)) {
            self.links.remove(&waiter.link);
            self.share_grant(cx, waiter.link, &waiter.head, grant);
        }
    }

    /// Releases the key of a request that was given up before it ran. Its waiters are admitted in
    /// their order, so the first may use the key.
    pub(crate) fn release_request_key(&mut self, cx: &mut Context<'_>, head: &request::Head) {
        if let Some(key) = &head.key {
            self.release_key(cx, key.seq);
        }
    }

    pub(crate) fn release_key(&mut self, cx: &mut Context<'_>, seq: u64) {
        let Some(record) = self.keys.get_mut(seq) else { return };
        record.fingerprint = None;
        for waiter in record.replace_state(keys::State::Unused) {
            self.links.remove(&waiter.link);
            let keys::Waiter { link, mut head, deadline } = waiter;
            head.remaining = deadline.since(cx.now);
            self.admit(cx, link, head, deadline);
        }
    }
}
