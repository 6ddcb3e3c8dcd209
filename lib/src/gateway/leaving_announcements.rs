//! Replicas that said in an answer to this node that they leave.
//!
//! Such a word is the replica's own and newer than any entry or list that this node may read afterwards, so nothing
//! but another start of the replica ends it.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::replica_record;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::StartTime;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// A replica that leaves has ended this long after its word: it serves on for as long as the store is away.
pub const MAX_LEAVING_TIME: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Announcement {
    born: StartTime,
    at: Timestamp,
}

/// The replicas that said so.
#[derive(Debug, Default)]
pub struct LeavingAnnouncements {
    announcements: HashMap<UpstreamId, Announcement>,
}

impl LeavingAnnouncements {
    /// A replica said so. Returns whether this start of it had not before.
    pub fn on_announced(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        if self.since(incarnation).is_some() {
            return false;
        }
        self.announcements.retain(|_, announcement| now < announcement.at + MAX_LEAVING_TIME);
        self.announcements.insert(incarnation.id.clone(), Announcement { born: incarnation.born, at: now });
        true
    }

    /// When this start of a replica first said so.
    pub fn since(&self, incarnation: &Incarnation) -> Option<Timestamp> {
        let announcement = self.announcements.get(&incarnation.id)?;
        replica_record::applies_to(announcement.born, incarnation.born).then_some(announcement.at)
    }
}
