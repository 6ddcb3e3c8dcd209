//! Whether an entry that goes away may have lapsed only because the store was away, or lack in a copy that it came back
//! from.
//!
//! The grace of such an entry counts from when the store was last known to be away, not from when
//! the entry was seen to go: two spans one after the other would leave a replica that is gone in
//! use for up to five seconds.

use std::time::Duration;

use crate::ids::Timestamp;

/// Live replicas are listed again within this after the store is back.
pub const RELIST_GRACE: Duration = Duration::from_secs(2);

/// When the store was away.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutages {
    unavailable_at: Option<Timestamp>,
}

impl StoreOutages {
    /// The store answers nobody, or has come back from a copy.
    pub fn on_store_unavailable(&mut self, now: Timestamp) {
        self.unavailable_at = Some(now);
    }

    /// Since when an entry that goes now is missing, if it may only have lapsed: it is gone when
    /// [`LAPSED_GRACE`] after that it is still missing.
    pub fn missing_since(&self, now: Timestamp) -> Option<Timestamp> {
        self.unavailable_at.filter(|unavailable_at| now < *unavailable_at + RELIST_GRACE)
    }
}
