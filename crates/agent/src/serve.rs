//! Turns: which queued offer gets a reserved slot next.

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

impl Machine {
    /// Reserves slots as long as limits allow and requests wait.
    pub(crate) fn serve(&mut self, cx: &mut Context<'_>) {
        while self.takes_turns(cx.now) {
            if self.isolated_turn(cx) || self.engine.isolated {
                return;
            }
            if self.engine.holds(cx.now) {
                return;
            }
            let Some(key) = self.pick() else { return };
            if self.screen(cx, key) {
                self.grant(cx, key, false);
            }
        }
    }

    fn takes_turns(&self, now: Instant) -> bool {
        let open = self.drain.ready && !self.drain.is_leaving() && !self.pause.is_stale(now);
        open && !self.engine.isolated && self.engine.answers(now) && self.queue.len() > 0
    }

    fn pick(&mut self) -> Option<queue::Key> {
        let tree = &self.tree;
        let limit = &self.limit;
        let share = |name: &Bytes| tree.accounts.get(name).map_or(1, |account| account.share);
        let fits = |entry: &queue::Entry, passing: bool| {
            limit.fits(limit.slot(entry.head.prompt_tokens), passing)
        };
        self.queue.pick(&share, &fits)
    }

    /// Returns whether an offer whose turn it is may run now among others; otherwise it is
    /// refused or put aside.
    fn screen(&mut self, cx: &mut Context<'_>, key: queue::Key) -> bool {
        let Some(entry) = self.queue.get(key) else { return false };
        let head = &entry.head;
        let (kind, fingerprint) = (head.kind, head.fingerprint);
        if self.misses_deadline(cx.now, key) {
            self.drop_queued(cx, key, Reason::Deadline);
            return false;
        }
        match self.suspects.verdict(cx.now, head) {
            suspects::Verdict::Quarantined(_) => {
                self.drop_queued(cx, key, Reason::Poison);
                return false;
            }
            suspects::Verdict::Held(_) => {
                self.drop_queued(cx, key, Reason::Suspect);
                return false;
            }
            suspects::Verdict::Suspect => {
                self.queue.set_lane(key, queue::Lane::Isolated);
                return false;
            }
            suspects::Verdict::Clean => {}
        }
        if counts_as_busy(kind, fingerprint) && self.engine.is_busy(fingerprint) {
            self.queue.set_lane(key, queue::Lane::Parked);
            return false;
        }
        true
    }

    /// Serves an offer that has to run alone if its turn has come. Returns whether one was
    /// served.
    fn isolated_turn(&mut self, cx: &mut Context<'_>) -> bool {
        while let Some(key) = self.queue.first_isolated() {
            let Some(entry) = self.queue.get(key) else { return false };
            let fingerprint = entry.head.fingerprint;
            let lane = self.lane(&entry.head);
            match self.suspects.verdict(cx.now, &entry.head) {
                suspects::Verdict::Quarantined(_) => {
                    self.drop_queued(cx, key, Reason::Poison);
                    continue;
                }
                suspects::Verdict::Held(_) => {
                    self.drop_queued(cx, key, Reason::Suspect);
                    continue;
                }
                suspects::Verdict::Clean => {
                    self.queue.set_lane(key, lane);
                    continue;
                }
                suspects::Verdict::Suspect => {}
            }
            if self.misses_deadline(cx.now, key) {
                self.drop_queued(cx, key, Reason::Deadline);
                continue;
            }
            return self.start_alone(cx, key, fingerprint);
        }
        self.engine.cancel_hold();
        false
    }

    fn start_alone(&mut self, cx: &mut Context<'_>, key: queue::Key, fingerprint: u64) -> bool {
        let due = self.engine.isolation_due(cx.now);
        let idle = self.limit.in_engine() == 0;
        if idle && (due || !self.queue.has_ordinary()) && !self.engine.is_busy(fingerprint) {
            self.grant(cx, key, true);
            return true;
        }
        if !idle
            && due
            && let Some(until) = self.engine.hold(cx.now)
        {
            self.timers.arm(until, Timer::Engine);
        }
        false
    }

    fn grant(&mut self, cx: &mut Context<'_>, key: queue::Key, isolated: bool) {
        let Some(pool) = &self.pool else { return };
        let ttl = pool.grant_ttl;
        let Some(entry) = self.queue.take(key) else { return };
        self.timers.disarm(entry.check_at, Timer::Queued(key));
        self.links.remove(&entry.link);
        let queue::Entry { link, head, deadline, .. } = entry;
        let slot = self.limit.slot(head.prompt_tokens);
        self.limit.reserve(slot);
        self.hold_fingerprint(head.kind, head.fingerprint);
        if isolated {
            self.engine.begin_isolation(cx.now);
        }
        self.count("ready");
        self.trace(cx, head.request, Step::Granted, "ready");
        let expires = cx.now + ttl;
        let reservation = grants::Reservation { head, expires, deadline, slot, isolated };
        let grant = self.grants.reserve(reservation);
        self.timers.arm(expires, Timer::Reserved(grant.seq));
        cx.push(Action::Reply { link, reply: offer::Reply::Ready { grant, ttl } });
    }

    pub(crate) fn expire_reservation(&mut self, cx: &mut Context<'_>, seq: u64) {
        self.count("grants_expired");
        if let Some(request) = self.grants.request(seq) {
            self.trace(cx, request, Step::Granted, "expired");
        }
        self.dissolve(cx, seq);
    }

    /// Abandons a reserved slot and its number for good.
    pub(crate) fn dissolve(&mut self, cx: &mut Context<'_>, seq: u64) {
        let Some(reservation) = self.grants.take(seq) else { return };
        self.timers.disarm(reservation.expires, Timer::Reserved(seq));
        let grants::Reservation { head, slot, isolated, .. } = reservation;
        self.release_slot(cx.now, slot, isolated);
        self.free_fingerprint(head.kind, head.fingerprint);
        self.release_key(cx, &head);
    }

    pub(crate) fn release_slot(&mut self, now: Instant, slot: limit::Slot, isolated: bool) {
        self.limit.release(slot);
        if isolated {
            let next = self.engine.end_isolation(now);
            self.timers.arm(next, Timer::Engine);
        }
    }

    fn hold_fingerprint(&mut self, kind: request::Kind, fingerprint: u64) {
        if counts_as_busy(kind, fingerprint) {
            self.engine.add_busy(fingerprint);
        }
    }

    /// Lets the next request of equal fingerprint take part in turns again.
    pub(crate) fn free_fingerprint(&mut self, kind: request::Kind, fingerprint: u64) {
        if counts_as_busy(kind, fingerprint) {
            self.engine.remove_busy(fingerprint);
            self.unpark(&[fingerprint]);
        }
    }

    pub(crate) fn unpark(&mut self, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            if !self.engine.is_busy(*fingerprint)
                && let Some(key) = self.queue.first_parked(*fingerprint)
                && let Some(entry) = self.queue.get(key)
            {
                let lane = self.lane(&entry.head);
                self.queue.set_lane(key, lane);
            }
        }
    }
}

/// Returns whether equal requests run one after the other. With that, a poison request whose
/// copies arrive together crashes an engine once before it is known. Calls of a plain service
/// often have no body and then share one fingerprint, so they are exempt, as is 0, which
/// stands for no fingerprint.
fn counts_as_busy(kind: request::Kind, fingerprint: u64) -> bool {
    kind == request::Kind::Model && fingerprint != 0
}
