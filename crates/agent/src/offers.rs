//! Offers that arrive, and offers that leave the queue without a grant.

use bytes::Bytes;
use wire::{
    outcome::{Outcome, Reason, Step},
    request,
    time::Instant,
};

use crate::{
    Link, admission,
    event::Context,
    keys,
    machine::{LinkUse, Machine},
    queue, suspects,
    timers::Timer,
};

/// Most offers that may wait for an exclusive run. Each such run uses the backend server alone.
const MAX_QUEUED_EXCLUSIVE: usize = 32;

impl Machine {
    pub(crate) fn handle_offer(&mut self, cx: &mut Context<'_>, link: Link, head: request::Head) {
        let deadline = cx.now + head.remaining;
        self.admit(cx, link, head, deadline);
    }

    /// Queues an offer or refuses it.
    pub(crate) fn admit(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        head: request::Head,
        deadline: Instant,
    ) {
        if let Some(idempotency_key) = head.key.clone()
            && !self.admit_keyed_offer(cx, link, &head, &idempotency_key, deadline)
        {
            return;
        }
        let inputs = admission::Inputs {
            now: cx.now,
            drain: &self.drain,
            has_settings: self.pool.is_some(),
            limit: &self.limit,
            rate_limit: &self.rate_limit,
            ahead: self.queue.count_to(head.tier),
            suspects: &self.suspects,
        };
        if let Some((reason, retry_after)) =
            self.filters.iter().find_map(|f| f.check(&inputs, &head))
        {
            let refusal = self.refusal(Outcome::NotRun, Step::Offered, reason, Some(retry_after));
            return self.refuse_offer(cx, link, &head, refusal);
        }
        let suspect =
            self.suspects.restriction(cx.now, &head) != suspects::Restriction::Unrestricted;
        if let Err(reason) = self.ensure_capacity(cx, &head, suspect) {
            let retry_after = self.queue_delay();
            let refusal = self.refusal(Outcome::NotRun, Step::Offered, reason, Some(retry_after));
            return self.refuse_offer(cx, link, &head, refusal);
        }
        let class = if suspect { queue::Class::Exclusive } else { self.size_class(&head) };
        self.enqueue(cx, link, head, deadline, class);
    }

    pub(crate) fn size_class(&self, head: &request::Head) -> queue::Class {
        let short = self.limit.is_short(head.prompt_tokens);
        if short { queue::Class::Short } else { queue::Class::Long }
    }

    /// Returns the tokens that an offer counts against the token limit of the queue. They are
    /// capped at the limit, so that a larger offer can be queued alone.
    fn counted_tokens(&self, head: &request::Head) -> u64 {
        let max = self.pool.as_ref().map_or(0, |pool| pool.max_queued_tokens);
        u64::from(head.prompt_tokens).min(max)
    }

    /// Displaces queued offers until there is capacity for this one: first those of lower tiers,
    /// then, in the same tier, those of the account with the most queued offers in relation to its
    /// share. A suspect displaces none.
    fn ensure_capacity(
        &mut self,
        cx: &mut Context<'_>,
        head: &request::Head,
        suspect: bool,
    ) -> Result<(), Reason> {
        let Some(pool) = &self.pool else { return Err(Reason::NotReady) };
        let (max, max_tokens) = (pool.max_queued as usize, pool.max_queued_tokens);
        let counted_tokens = self.counted_tokens(head);
        if suspect && self.queue.exclusive_len() >= MAX_QUEUED_EXCLUSIVE {
            return Err(Reason::Suspect);
        }
        while !self.queue.has_capacity(counted_tokens, max, max_tokens) {
            if suspect {
                return Err(Reason::Suspect);
            }
            if let Some(key) = self.queue.newest_below(head.tier) {
                self.refuse_queued(cx, key, Reason::Displaced);
                continue;
            }
            let tree = self.tree.clone();
            let share = |name: &Bytes| tree.accounts.get(name).map_or(1, |a| a.share);
            match self.queue.newest_of_largest(head.tier, &head.account, &share) {
                Some(key) => self.refuse_queued(cx, key, Reason::AccountLimit),
                None => return Err(Reason::Overload),
            }
        }
        Ok(())
    }

    fn enqueue(
        &mut self,
        cx: &mut Context<'_>,
        link: Link,
        head: request::Head,
        deadline: Instant,
        class: queue::Class,
    ) {
        if let Some(idempotency_key) = &head.key
            && let Some(record) = self.keys.get_mut(idempotency_key.seq)
        {
            record.fingerprint = Some(head.fingerprint);
            record.replace_state(keys::State::Pending(Vec::new()));
        }
        self.count("queued");
        self.trace(cx, head.request, Step::QueuedAtAgent, "queued");
        let counted_tokens = self.counted_tokens(&head);
        let key = self.queue.push(cx.now, link, head, deadline, class, counted_tokens);
        self.links.insert(link, LinkUse::Queued(key));
        self.arm_queued(cx.now, key);
    }

    /// Arms the timer for the first moment at which the deadline can no longer be met.
    fn arm_queued(&mut self, now: Instant, key: queue::Key) {
        let Some(entry) = self.queue.get_mut(key) else { return };
        let needed = self.limit.response_time(&entry.head);
        let latest = entry.deadline.0.saturating_sub(needed.as_micros() as u64);
        entry.check_at = Instant(latest.max(now.0) + 1);
        self.timers.arm(entry.check_at, Timer::Queued(key));
    }

    pub(crate) fn check_queued(&mut self, cx: &mut Context<'_>, key: queue::Key) {
        if self.misses_deadline(cx.now, key) {
            self.refuse_queued(cx, key, Reason::Deadline);
        } else {
            self.arm_queued(cx.now, key);
        }
    }

    /// Returns whether the estimated response of a queued offer ends after its deadline.
    pub(crate) fn misses_deadline(&self, now: Instant, key: queue::Key) -> bool {
        self.queue
            .get(key)
            .is_some_and(|entry| now + self.limit.response_time(&entry.head) > entry.deadline)
    }

    /// Removes an offer from the queue and refuses it.
    pub(crate) fn refuse_queued(&mut self, cx: &mut Context<'_>, key: queue::Key, reason: Reason) {
        let Some(entry) = self.remove_queued(key) else { return };
        let retry_after = match self.suspects.restriction(cx.now, &entry.head) {
            suspects::Restriction::Quarantined(left) if reason == Reason::Poison => left,
            suspects::Restriction::RefusedHere(left) if reason == Reason::Suspect => left,
            _ => self.queue_delay(),
        };
        let refusal = self.refusal(Outcome::NotRun, Step::QueuedAtAgent, reason, Some(retry_after));
        self.refuse_offer(cx, entry.link, &entry.head, refusal);
        self.release_request_key(cx, &entry.head);
    }

    fn remove_queued(&mut self, key: queue::Key) -> Option<queue::Entry> {
        let entry = self.queue.remove(key)?;
        self.timers.disarm(entry.check_at, Timer::Queued(key));
        self.links.remove(&entry.link);
        // An offer with the same fingerprint may be blocked by this one.
        self.unblock_next(&[entry.head.fingerprint]);
        Some(entry)
    }

    /// Removes the offer or reader of a closed link.
    pub(crate) fn close_link(&mut self, cx: &mut Context<'_>, link: Link) {
        match self.links.remove(&link) {
            Some(LinkUse::Queued(key)) => {
                if let Some(entry) = self.remove_queued(key) {
                    self.count("withdrawn");
                    self.trace(cx, entry.head.request, Step::QueuedAtAgent, "withdrawn");
                    self.release_request_key(cx, &entry.head);
                }
            }
            Some(LinkUse::Waiting(seq)) => {
                if let Some(record) = self.keys.get_mut(seq)
                    && let keys::State::Pending(waiters) = &mut record.state
                {
                    waiters.retain(|waiter| waiter.link != link);
                }
            }
            Some(LinkUse::Reader(grant)) => self.remove_reader(cx, grant, link),
            None => {}
        }
    }
}
