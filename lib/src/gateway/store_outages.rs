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
    /// When it last seemed to answer no node.
    unanswered_at: Option<Timestamp>,
    /// When it was last restored from a copy.
    restored_at: Option<Timestamp>,
}

impl StoreOutages {
    /// The store answers no node that asks it.
    pub fn on_store_unavailable(&mut self, now: Timestamp) {
        self.unanswered_at = Some(now);
    }

    /// The store was restored from a copy.
    pub fn on_store_restored(&mut self, now: Timestamp) {
        self.restored_at = Some(now);
    }

    /// The store answered other nodes while it answered none of those that asked. Returns whether entries that
    /// disappeared had counted as missing for that reason alone; they were removed.
    pub fn on_refuted(&mut self, now: Timestamp) -> bool {
        let counted = self.missing_since(now).is_some();
        self.unanswered_at = None;
        counted && self.missing_since(now).is_none()
    }

    /// The time from which an entry that disappears now counts as missing, if it may only have expired. The
    /// replica is gone if its entry is still missing [`RELIST_GRACE`] after that time. `None` if the entry
    /// was removed.
    pub fn missing_since(&self, now: Timestamp) -> Option<Timestamp> {
        let unavailable_at = self.unanswered_at.max(self.restored_at);
        unavailable_at.filter(|unavailable_at| now < *unavailable_at + RELIST_GRACE)
    }
}
