//! Replicas that announced in a response to this node that they are leaving.
//!
//! Such an announcement comes from the replica itself and is newer than any entry or list that this node
//! may read afterwards, so only a later incarnation of the replica ends it.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::replica_record;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::StartTime;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// A leaving replica has ended this long after its announcement. It may keep serving for as long as the
/// store is unavailable.
pub const MAX_LEAVING_TIME: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Announcement {
    born: StartTime,
    at: Timestamp,
}

/// The replicas that announced that they are leaving.
#[derive(Debug, Default)]
pub struct LeavingAnnouncements {
    announcements: HashMap<UpstreamId, Announcement>,
}

impl LeavingAnnouncements {
    /// A replica announced that it is leaving. Returns whether this is the first announcement of its
    /// incarnation.
    pub fn on_announced(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        if self.since(incarnation).is_some() {
            return false;
        }
        self.announcements.retain(|_, announcement| now < announcement.at + MAX_LEAVING_TIME);
        self.announcements.insert(incarnation.id.clone(), Announcement { born: incarnation.born, at: now });
        true
    }

    /// When this incarnation of a replica first announced that it is leaving.
    pub fn since(&self, incarnation: &Incarnation) -> Option<Timestamp> {
        let announcement = self.announcements.get(&incarnation.id)?;
        replica_record::applies_to(announcement.born, incarnation.born).then_some(announcement.at)
    }
}
