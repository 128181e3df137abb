//! Grant numbers: reserved slots and what may still become of a number.

use std::collections::HashMap;

use wire::{id, request, time::Instant};

use crate::limit;

/// A slot held for a request until its commitment arrives.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) head: request::Head,
    pub(crate) expires: Instant,
    pub(crate) deadline: Instant,
    pub(crate) slot: limit::Slot,
    /// Whether the request was let in to run alone.
    pub(crate) isolated: bool,
}

/// What is known about a number with neither reservation nor stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Missing {
    /// Issued by another process.
    OtherProcess,
    /// Below the low-water low_water_mark: it may have run.
    Discarded,
    /// Never accepted, and never will be.
    NeverCommitted,
}

/// Numbers issued by this process.
#[derive(Debug)]
pub(crate) struct Grants {
    process: id::Process,
    next: u64,
    /// Low-water low_water_mark: all remembered below it are in the maps, the rest is forgotten.
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

    /// Returns the request that a slot is reserved for.
    pub(crate) fn request(&self, seq: u64) -> Option<id::Request> {
        self.reserved.get(&seq).map(|reservation| reservation.head.request)
    }

    /// Removes a reservation. Its number is abandoned unless a stream takes it over.
    pub(crate) fn remove(&mut self, seq: u64) -> Option<Reservation> {
        self.reserved.remove(&seq)
    }

    /// Returns the number of reserved slots.
    pub(crate) fn len(&self) -> usize {
        self.reserved.len()
    }

    /// Raises the low-water low_water_mark above a finished grant whose stream is dropped.
    pub(crate) fn raise_low_water_mark(&mut self, grant: id::Grant) {
        if grant.process == self.process {
            self.low_water_mark = self.low_water_mark.max(grant.seq + 1);
        }
    }

    /// Returns what is known about a number that has neither reservation nor stream.
    pub(crate) fn classify_missing(&self, grant: id::Grant) -> Missing {
        if grant.process != self.process {
            return Missing::OtherProcess;
        }
        if grant.seq < self.low_water_mark { Missing::Discarded } else { Missing::NeverCommitted }
    }
}
