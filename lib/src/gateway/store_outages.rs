//! Whether a store entry that disappears may have expired only because of a store outage, or be missing
//! from the copy that the store was restored from.
//!
//! The grace period of such an entry counts from when the store was last known to be unavailable, not from
//! when the entry was seen to disappear: two periods one after the other would leave a replica that is gone
//! in use for up to five seconds.

use std::time::Duration;

use crate::ids::Timestamp;

/// Live replicas are listed again within this time after the store is back.
pub const RELIST_GRACE: Duration = Duration::from_secs(2);

/// When the store was last unavailable.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutages {
    unavailable_at: Option<Timestamp>,
}

impl StoreOutages {
    /// The store answers no node that asks it, or was restored from a copy.
    pub fn on_store_unavailable(&mut self, now: Timestamp) {
        self.unavailable_at = Some(now);
    }

    /// The time from which an entry that disappears now counts as missing, if it may only have expired. The
    /// replica is gone if its entry is still missing [`RELIST_GRACE`] after that time. `None` if the entry
    /// was removed.
    pub fn missing_since(&self, now: Timestamp) -> Option<Timestamp> {
        self.unavailable_at.filter(|unavailable_at| now < *unavailable_at + RELIST_GRACE)
    }
}
