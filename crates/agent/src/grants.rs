//! Grants issued by this process and their reserved slots.

use std::collections::HashMap;

use wire::{id, request, time::Instant};

use crate::{limit, rate_limit};

/// A slot reserved for a request until its commit arrives.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) head: request::Head,
    pub(crate) expires_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) slot: limit::Slot,
    /// Permit for the request, if the backend server had a rate limit.
    pub(crate) permit: Option<rate_limit::Permit>,
    /// Whether the request has to run alone.
    pub(crate) exclusive: bool,
}

/// Why a grant has neither a reservation nor a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Missing {
    /// Another process issued it.
    OtherProcess,
    /// It is below the low-water mark.
    Discarded,
    /// It was never committed, and a commit would be refused.
    NeverCommitted,
}

/// Grants issued by this process.
#[derive(Debug)]
pub(crate) struct Grants {
    process: id::Process,
    next: u64,
    /// Low-water mark: a grant below it without a reservation or a stream may have had a stream
    /// that was discarded since.
    low_water_mark: u64,
    reserved: HashMap<u64, Reservation>,
}

impl Grants {
    pub(crate) fn new(process: id::Process) -> Grants {
        Grants { process, next: 1, low_water_mark: 1, reserved: HashMap::new() }
    }

    pub(crate) fn reserve(&mut self, reservation: Reservation) -> id::Grant {
        let seq = self.next;
        self.next += 1;
        self.reserved.insert(seq, reservation);
        id::Grant { process: self.process, seq }
    }

    pub(crate) fn get(&self, grant: id::Grant) -> Option<&Reservation> {
        let issued_here = grant.process == self.process;
        issued_here.then(|| self.reserved.get(&grant.seq)).flatten()
    }

    /// Returns the request for which a slot is reserved.
    pub(crate) fn request(&self, seq: u64) -> Option<id::Request> {
        self.reserved.get(&seq).map(|reservation| reservation.head.request)
    }

    /// Removes a reservation. Unless its grant gets a stream, a later commit of it is refused.
    pub(crate) fn remove(&mut self, seq: u64) -> Option<Reservation> {
        self.reserved.remove(&seq)
    }

    /// Returns the number of reserved slots.
    pub(crate) fn len(&self) -> usize {
        self.reserved.len()
    }

    /// Raises the low-water mark above a grant whose stream is discarded.
    pub(crate) fn raise_low_water_mark(&mut self, grant: id::Grant) {
        if grant.process == self.process {
            self.low_water_mark = self.low_water_mark.max(grant.seq + 1);
        }
    }

    /// Returns why a grant has neither a reservation nor a stream. The caller has checked that it
    /// has none.
    pub(crate) fn classify_missing(&self, grant: id::Grant) -> Missing {
        if grant.process != self.process {
            return Missing::OtherProcess;
        }
        if grant.seq < self.low_water_mark { Missing::Discarded } else { Missing::NeverCommitted }
    }
}
