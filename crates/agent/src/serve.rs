//! Slots: granting them to queued offers, exclusive runs, and releasing slots.

use std::time::Duration;

use bytes::Bytes;
use wire::{
    offer,
    outcome::{Reason, Step},
    request,
    time::Instant,
};

use crate::{
    Action, event::Context, grants, limit, machine::Machine, queue, suspects, timers::Timer,
};

/// Least time between the offer and the grant of a suspect. The report of a crash under the copy
/// before it may still be on its way.
const SUSPECT_DELAY: Duration = Duration::from_millis(100);

impl Machine {
    /// Reserves slots while the limits allow it and offers are queued.
    pub(crate) fn grant_slots(&mut self, cx: &mut Context<'_>) {
        while self.can_grant(cx.now) {
            if !self.rate_limit.allows_request(cx.now) {
                return;
            }
            if self.grant_exclusive(cx) || self.backend.exclusive {
                return;
            }
            if self.backend.check_preparation(cx.now) {
                return;
            }
            let Some(key) = self.select_offer() else { return };
            if self.check_selected(cx, key) {
                self.grant_slot(cx, key, false);
            }
        }
    }

    fn can_grant(&self, now: Instant) -> bool {
        let accepts_requests =
            self.drain.ready && !self.drain.is_leaving() && !self.pause.is_stale(now);
        accepts_requests
            && !self.backend.exclusive
            && self.backend.is_available(now)
            && self.queue.len() > 0
    }

    fn select_offer(&mut self) -> Option<queue::Key> {
        let tree = &self.tree;
        let limit = &self.limit;
        let share = |name: &Bytes| tree.accounts.get(name).map_or(1, |account| account.share);
        let fits = |entry: &queue::Entry, passing: bool| {
            limit.fits(limit.new_slot(entry.head.prompt_tokens), passing)
        };
        self.queue.select(&share, &fits)
    }

    /// Returns whether the selected offer may run among other requests. Otherwise it is refused, or
    /// moved to the offers that wait for an exclusive run or for a request with the same
    /// fingerprint.
    fn check_selected(&mut self, cx: &mut Context<'_>, key: queue::Key) -> bool {
        let Some(entry) = self.queue.get(key) else { return false };
        let head = &entry.head;
        let (kind, fingerprint) = (head.kind, head.fingerprint);
        if self.misses_deadline(cx.now, key) {
            self.refuse_queued(cx, key, Reason::Deadline);
            return false;
        }
        match self.suspects.restriction(cx.now, head) {
            suspects::Restriction::Quarantined(_) => {
                self.refuse_queued(cx, key, Reason::Poison);
                return false;
            }
            suspects::Restriction::RefusedHere(_) => {
                self.refuse_queued(cx, key, Reason::Suspect);
                return false;
            }
            suspects::Restriction::Exclusive => {
                self.queue.set_class(key, queue::Class::Exclusive);
                return false;
            }
            suspects::Restriction::Unrestricted => {}
        }
        if runs_one_at_a_time(kind, fingerprint) && self.backend.is_active(fingerprint) {
            self.queue.set_class(key, queue::Class::Blocked);
            return false;
        }
        true
    }

    /// Grants a slot to the first offer that needs an exclusive run, if the backend server is empty
    /// and either a run is due or no ordinary offer waits. If a run is due and the backend server
    /// is not empty, a preparation begins. Returns whether a slot was granted.
    fn grant_exclusive(&mut self, cx: &mut Context<'_>) -> bool {
        while let Some(key) = self.queue.first_exclusive() {
            let Some(entry) = self.queue.get(key) else { return false };
            let fingerprint = entry.head.fingerprint;
            let settled_at = entry.queued_at + SUSPECT_DELAY;
            let class = self.size_class(&entry.head);
            match self.suspects.restriction(cx.now, &entry.head) {
                suspects::Restriction::Quarantined(_) => {
                    self.refuse_queued(cx, key, Reason::Poison);
                    continue;
                }
                suspects::Restriction::RefusedHere(_) => {
                    self.refuse_queued(cx, key, Reason::Suspect);
                    continue;
                }
                suspects::Restriction::Unrestricted => {
                    self.queue.set_class(key, class);
                    continue;
                }
                suspects::Restriction::Exclusive => {}
            }
            if self.misses_deadline(cx.now, key) {
                self.refuse_queued(cx, key, Reason::Deadline);
                continue;
            }
            if cx.now < settled_at {
                self.timers.arm(settled_at, Timer::Backend);
                return false;
            }
            return self.try_grant_exclusive(cx, key, fingerprint);
        }
        self.backend.cancel_preparation();
        false
    }

    fn try_grant_exclusive(
        &mut self,
        cx: &mut Context<'_>,
        key: queue::Key,
        fingerprint: u64,
    ) -> bool {
        let due = self.backend.is_exclusive_run_due(cx.now);
        let idle = self.limit.used_slots() == 0;
        if idle
            && (due || !self.queue.has_ordinary_offers())
            && !self.backend.is_active(fingerprint)
        {
            self.grant_slot(cx, key, true);
            return true;
        }
        if !idle
            && due
            && let Some(until) = self.backend.prepare_exclusive_run(cx.now)
        {
            self.timers.arm(until, Timer::Backend);
        }
        false
    }

    fn grant_slot(&mut self, cx: &mut Context<'_>, key: queue::Key, exclusive: bool) {
        let Some(pool) = &self.pool else { return };
        let ttl = pool.grant_ttl;
        let Some(entry) = self.queue.remove_served(key) else { return };
        self.timers.disarm(entry.check_at, Timer::Queued(key));
        self.links.remove(&entry.link);
        let queue::Entry { link, head, deadline, .. } = entry;
        let slot = self.limit.new_slot(head.prompt_tokens);
        self.limit.reserve(slot);
        let permit = self.rate_limit.take();
        self.add_active_fingerprint(head.kind, head.fingerprint);
        if exclusive {
            self.backend.begin_exclusive_run(cx.now);
        }
        self.count("ready");
        self.trace(cx, head.request, Step::Granted, "ready");
        let expires_at = cx.now + ttl;
        let reservation =
            grants::Reservation { head, expires_at, deadline, slot, permit, exclusive };
        let grant = self.grants.reserve(reservation);
        self.timers.arm(expires_at, Timer::Reserved(grant.seq));
        cx.push(Action::Reply { link, reply: offer::Reply::Ready { grant, ttl } });
    }

    pub(crate) fn expire_reservation(&mut self, cx: &mut Context<'_>, seq: u64) {
        self.count("grants_expired");
        if let Some(request) = self.grants.request(seq) {
            self.trace(cx, request, Step::Granted, "expired");
        }
        self.cancel_reservation(cx, seq);
    }

    /// Releases a reserved slot. A later commit of its grant is refused.
    pub(crate) fn cancel_reservation(&mut self, cx: &mut Context<'_>, seq: u64) {
        let Some(reservation) = self.grants.remove(seq) else { return };
        self.timers.disarm(reservation.expires_at, Timer::Reserved(seq));
        let grants::Reservation { head, slot, permit, exclusive, .. } = reservation;
        self.release_slot(cx.now, slot, exclusive);
        self.rate_limit.put_back(permit);
        self.remove_active_fingerprint(head.kind, head.fingerprint);
        self.release_request_key(cx, &head);
    }

    pub(crate) fn release_slot(&mut self, now: Instant, slot: limit::Slot, exclusive: bool) {
        self.limit.release(slot);
        if exclusive {
            let next = self.backend.end_exclusive_run(now);
            self.timers.arm(next, Timer::Backend);
        }
    }

    fn add_active_fingerprint(&mut self, kind: request::Kind, fingerprint: u64) {
        if runs_one_at_a_time(kind, fingerprint) {
            self.backend.add_active(fingerprint);
        }
    }

    /// Records that a request with this fingerprint has ended, and unblocks the next one.
    pub(crate) fn remove_active_fingerprint(&mut self, kind: request::Kind, fingerprint: u64) {
        if runs_one_at_a_time(kind, fingerprint) {
            self.backend.remove_active(fingerprint);
            self.unblock_next(&[fingerprint]);
        }
    }

    /// Unblocks the first blocked offer of each fingerprint that is no longer active.
    pub(crate) fn unblock_next(&mut self, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            if !self.backend.is_active(*fingerprint)
                && let Some(key) = self.queue.first_blocked(*fingerprint)
                && let Some(entry) = self.queue.get(key)
            {
                let class = self.size_class(&entry.head);
                self.queue.set_class(key, class);
            }
        }
    }
}

/// Returns whether requests with the same fingerprint run one at a time, so that copies of a poison
/// request that arrive together crash the backend server only once before they are suspects.
/// Requests to a plain service often have no body and so share one fingerprint; they are exempt, as
/// is fingerprint 0, which means none.
fn runs_one_at_a_time(kind: request::Kind, fingerprint: u64) -> bool {
    kind == request::Kind::Model && fingerprint != 0
}
