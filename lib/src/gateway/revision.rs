//! Revisions of the store, in an order that survives restoring the store from a copy.
//!
//! A store that is restored from a copy continues from the copy's revision and assigns the same numbers
//! again, to other changes. Its era is incremented each time. A [`Revision`] holds both, with the era in
//! the upper bits, so that the later of two revisions is always the greater one, however often the store
//! was restored.

/// The store's change counter, as it appears in the store's responses.
pub type Number = u64;
/// How often the store has been restored from a copy.
pub type Era = u64;
/// A change number within its era.
pub type Revision = u64;

/// Width of the number in bits: enough for 1,000 changes a second for 30 years.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: Number = (1 << NUMBER_BITS) - 1;
const MAX_ERA: Era = u64::MAX >> NUMBER_BITS;

/// Returns the revision for a number within an era; values out of range are clamped to the largest.
pub fn in_era(era: Era, number: Number) -> Revision {
    era.min(MAX_ERA) << NUMBER_BITS | number.min(MAX_NUMBER)
}

/// Returns the era of a revision.
pub fn era(revision: Revision) -> Era {
    revision >> NUMBER_BITS
}

/// Returns the number of a revision, as the store knows it.
pub fn number(revision: Revision) -> Number {
    revision & MAX_NUMBER
}
