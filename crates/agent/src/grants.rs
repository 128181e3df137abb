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
pub(crate) enum Absent {
    /// Issued by another process.
    Foreign,
    /// Below the low-water mark: it may have run.
    Forgotten,
    /// Never accepted, and never will be.
    Abandoned,
}

/// Numbers issued by this process.
#[derive(Debug)]
pub(crate) struct Grants {
    process: id::Process,
    next: u64,
    /// Low-water mark: all remembered below it are in the maps, the rest is forgotten.
    mark: u64,
    reserved: HashMap<u64, Reservation>,
}

impl Grants {
    pub(crate) fn new(process: id::Process) -> Grants {
        Grants { process, next: 1, mark: 1, reserved: HashMap::new() }
    }

    pub(crate) fn reserve(&mut self, reservation: Reservation) -> id::Grant {
        let seq = self.next;
        self.next += 1;
        self.reserved.insert(seq, reservation);
        id::Grant { process: self.process, seq }
    }

    pub(crate) fn get(&self, grant: id::Grant) -> Option<&Reservation> {
        let own = grant.process == self.process;
        own.then(|| self.reserved.get(&grant.seq)).flatten()
    }

    /// Returns the request that a slot is reserved for.
    pub(crate) fn request(&self, seq: u64) -> Option<id::Request> {
        self.reserved.get(&seq).map(|reservation| reservation.head.request)
    }

    /// Removes a reservation. Its number is abandoned unless a stream takes it over.
    pub(crate) fn take(&mut self, seq: u64) -> Option<Reservation> {
        self.reserved.remove(&seq)
    }

    /// Returns the number of reserved slots.
    pub(crate) fn len(&self) -> usize {
        self.reserved.len()
    }

    /// Raises the low-water mark above a finished grant whose stream is dropped.
    pub(crate) fn forget(&mut self, grant: id::Grant) {
        if grant.process == self.process {
            self.mark = self.mark.max(grant.seq + 1);
        }
    }

    /// Returns what is known about a number that has neither reservation nor stream.
    pub(crate) fn absent(&self, grant: id::Grant) -> Absent {
        if grant.process != self.process {
            return Absent::Foreign;
        }
        if grant.seq < self.mark { Absent::Forgotten } else { Absent::Abandoned }
    }
}
