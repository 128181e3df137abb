//! Revisions of the store across its eras. A store that comes back from an older copy begins a new
//! era, in which it gives out revisions again.

/// Bits of an ordinal that hold the number.
const NUMBER_BITS: u32 = 44;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// A revision of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Grows each time the store comes back from an older copy.
    pub era: u64,
    /// Grows with each change within an era.
    pub number: u64,
}

impl Revision {
    /// Returns the number by which revisions of all eras are ordered. It is equal to the revision's
    /// number in era 0.
    pub fn ordinal(self) -> u64 {
        let era = self.era.min(u64::MAX >> NUMBER_BITS);
        era << NUMBER_BITS | self.number.min(MAX_NUMBER)
    }

    /// Returns the revision with an ordinal.
    pub fn from_ordinal(ordinal: u64) -> Revision {
        Revision { era: ordinal >> NUMBER_BITS, number: ordinal & MAX_NUMBER }
    }
}
