//! The store's revisions, in an order that outlasts its returns from copies.
//!
//! A store that comes back from a copy goes on from the copy's revision and gives numbers out again, for other changes. Its
//! era rises each time. A [`Revision`] holds both, the era before the number, so that of two words the later one is the
//! greater one whatever the store has been through.

/// The store's counter of changes as it stands in its answers.
pub type Number = u64;
/// How often the store has come back from a copy.
pub type Era = u64;
/// A number in its era.
pub type Revision = u64;

/// Bits of the number: 1,000 changes a second for 30 years.
const NUMBER_BITS: u32 = 40;
const LARGEST_NUMBER: Number = (1 << NUMBER_BITS) - 1;
const LARGEST_ERA: Era = u64::MAX >> NUMBER_BITS;

/// A number of an era; what is larger than either can be is taken for the largest.
pub fn in_era(era: Era, number: Number) -> Revision {
    era.min(LARGEST_ERA) << NUMBER_BITS | number.min(LARGEST_NUMBER)
}

/// The era of a revision.
pub fn era(revision: Revision) -> Era {
    revision >> NUMBER_BITS
}

/// The number of a revision, as the store knows it.
pub fn number(revision: Revision) -> Number {
    revision & LARGEST_NUMBER
}
