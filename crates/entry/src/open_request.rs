//! One open request of a caller.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use fleet::view;
use wire::{id, outcome, request, time::Instant};

use crate::{capacity, grants::Grant};

slotmap::new_key_type! {
    /// Identifies an open request within the machine.
    pub struct Key;
}

/// Settings of the pool at the time the request was accepted.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    pub spread_size: u32,
    /// Time after an offer until the next agent of the spread also gets one.
    pub hedge_delay: Duration,
    pub resume_limit: Duration,
    /// Prompts of up to this many tokens count as short.
    pub short_tokens: u32,
}

/// An offer without a reply yet.
#[derive(Clone, Debug)]
pub struct Offer {
    pub agent: view::Key,
    pub host: Bytes,
    pub peer: SocketAddr,
    pub sent_at: Instant,
}

/// An open request: one that was accepted and has had no final response yet.
#[derive(Debug)]
pub struct OpenRequest {
    pub caller: u64,
    pub head: request::Head,
    pub pool_settings: PoolSettings,
    pub deadline: Instant,
    pub step: outcome::Step,
    /// Whether the driver still stores the body.
    pub body_stored: bool,
    pub offers: Vec<Offer>,
    pub offers_sent: u32,
    /// The first agents in placement order that accepted work at the time of the first offer,
    /// ejected ones included. An ejection must not add agents, or a poison request could crash a
    /// third engine.
    pub spread: Vec<view::Key>,
    /// Whether an agent of the spread refused the request as a suspect. No agent beyond the
    /// spread gets an offer then, or a poison request could crash a third engine.
    pub spread_only: bool,
    /// When the request is also offered to the next agent of the spread.
    pub hedge_at: Option<Instant>,
    /// Agents that refused the request or could not be reached.
    pub refused_by: Vec<view::Key>,
    /// The refusal that the caller gets if no agent is left to offer the request to.
    pub fallback_refusal: Option<outcome::Refusal>,
    /// Whether the process was paused while the request was open.
    pub was_paused: bool,
    /// Grants that their agents ended without a run of the request.
    pub ended_grants: Vec<id::Grant>,
    pub grant: Option<Grant>,
    /// Time for which its timer is armed.
    pub armed_for: Option<Instant>,
}

impl OpenRequest {
    /// Returns whether the request has an idempotency key, so that only the agent on the host
    /// named in the key may run it.
    pub fn is_keyed(&self) -> bool {
        self.head.key.is_some()
    }

    /// Returns the outcome of a refusal while the request is not committed. With a key the
    /// outcome is unknown, since the request may have run in an earlier use of its key.
    pub fn uncommitted_outcome(&self) -> outcome::Outcome {
        if self.is_keyed() { outcome::Outcome::Unknown } else { outcome::Outcome::NotRun }
    }

    /// Returns the capacity that the request uses.
    pub fn usage(&self, key: Key) -> capacity::Usage {
        capacity::Usage {
            key,
            tier: self.head.tier,
            seq: self.head.request.seq,
            body_len: self.head.body_len,
            account: self.head.account.clone(),
        }
    }

    /// Returns when the timer of the request is due.
    pub fn due_at(&self) -> Instant {
        match &self.grant {
            Some(grant) => grant.due_at(self.deadline, self.pool_settings.resume_limit),
            None => self.hedge_at.map_or(self.deadline, |at| at.min(self.deadline)),
        }
    }
}
