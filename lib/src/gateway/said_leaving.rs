//! Replicas that said in an answer to this node that they leave.
//!
//! Such a word is the replica's own and newer than any entry or list that this node may read afterwards, so nothing
//! but another start of the replica ends it.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::replica_record;
use crate::gateway::replica_record::Born;
use crate::gateway::replica_record::Incarnation;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// A replica that leaves has ended this long after its word: it serves on for as long as the store is away.
pub const LONGEST_LEAVING: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Said {
    born: Born,
    at: Timestamp,
}

/// The replicas that said so.
#[derive(Debug, Default)]
pub struct SaidLeaving {
    said: HashMap<UpstreamId, Said>,
}

impl SaidLeaving {
    /// A replica said so. Returns whether this start of it had not before.
    pub fn on_said(&mut self, of: &Incarnation, now: Timestamp) -> bool {
        if self.since(of).is_some() {
            return false;
        }
        self.said.retain(|_, said| now < said.at + LONGEST_LEAVING);
        self.said.insert(of.id.clone(), Said { born: of.born, at: now });
        true
    }

    /// When this start of a replica first said so.
    pub fn since(&self, of: &Incarnation) -> Option<Timestamp> {
        let said = self.said.get(&of.id)?;
        replica_record::holds_for(said.born, of.born).then_some(said.at)
    }
}
