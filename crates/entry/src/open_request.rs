//! One open request of a caller.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use fleet::view;
use wire::{id, outcome, request, time::Instant};

use crate::{capacity, grants::Grant};

slotmap::new_key_type! {
    /// Names an open request within the machine.
    pub struct Key;
}

/// Settings of the pool at the time the request was accepted.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub spread_size: u32,
    pub hedge: Duration,
    pub resume_limit: Duration,
    /// Prompts up to this size count as short.
    pub short_tokens: u32,
}

/// An offer without an answer.
#[derive(Clone, Debug)]
pub struct Offer {
    pub agent: view::Key,
    pub host: Bytes,
    pub peer: SocketAddr,
    pub sent_at: Instant,
}

/// An open request.
#[derive(Debug)]
pub struct OpenRequest {
    pub caller: u64,
    pub head: request::Head,
    pub limits: Limits,
    pub deadline: Instant,
    pub step: outcome::Step,
    /// Whether the shell holds the body.
    pub body_stored: bool,
    pub offers: Vec<Offer>,
    pub offers_sent: u32,
    /// The first live agents of its placement order, ejected or not, as of its first offer. An
    /// ejection must not widen them, or a poison request could cost a third engine.
    pub spread: Vec<view::Key>,
    /// Whether an agent of the spread refused it as a suspect: no agent beyond the spread is
    /// asked then, or a poison request could cost a third engine.
    pub spread_only: bool,
    /// When the next candidate of the spread is offered the request.
    pub hedge_at: Option<Instant>,
    /// Agents that refused or could not be reached.
    pub refused_by: Vec<view::Key>,
    /// The refusal that is passed on if no candidate is left.
    pub fallback_refusal: Option<outcome::Refusal>,
    /// Grants that were given up by their agent.
    pub abandoned: Vec<id::Grant>,
    pub grant: Option<Grant>,
    /// When the timer of this request is set.
    pub timer_at: Option<Instant>,
}

impl OpenRequest {
    /// Returns whether the request runs only at the agent that its key names.
    pub fn is_keyed(&self) -> bool {
        self.head.key.is_some()
    }

    /// Returns what the entry may say of a request that it has not committed. A keyed
    /// request may have run in an earlier use of its key.
    pub fn uncommitted_outcome(&self) -> outcome::Outcome {
        if self.is_keyed() { outcome::Outcome::Unknown } else { outcome::Outcome::NotRun }
    }

    /// Returns what the request occupies.
    pub fn usage(&self, key: Key) -> capacity::Usage {
        capacity::Usage {
            key,
            tier: self.head.tier,
            seq: self.head.request.seq,
            body_len: self.head.body_len,
            account: self.head.account.clone(),
        }
    }

    /// Returns when the request next needs attention.
    pub fn due_at(&self) -> Instant {
        match &self.grant {
            Some(grant) => grant.due_at(self.deadline, self.limits.resume_limit),
            None => self.hedge_at.map_or(self.deadline, |at| at.min(self.deadline)),
        }
    }
}
