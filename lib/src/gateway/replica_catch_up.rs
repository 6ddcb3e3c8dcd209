//! When a node fetches what it lacks of the replicas, and from whom.
//!
//! News usually comes by itself; what is still missing after a pause is fetched, from one node at a time. Nodes of the own hall
//! are asked first: each node asks others only after a time of its own, by which a few of a hall have fetched what the rest of
//! it then gets from them.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::gateway::revision::Revision;
use crate::ids::Timestamp;

/// What another node knows usually comes by itself; it is fetched from that node if it has not come within this.
const UPDATE_WAIT: Duration = Duration::from_millis(120);
/// With many replicas news are gathered for longer before they are told, up to this.
const UPDATE_WAIT_PER_REPLICA: Duration = Duration::from_micros(15);
const MAX_UPDATE_WAIT_FOR_REPLICAS: Duration = Duration::from_millis(150);
/// A node that lacks something asks nodes of other halls for it after some time between these.
const FAR_DELAY: Range<Duration> = Duration::from_millis(200)..Duration::from_millis(1_200);
/// A node that knows no replicas leaves a busy node alone no longer than this, and asks another one.
const MAX_BUSY_DELAY_AT_START: Duration = Duration::from_millis(60);

/// Who knows more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A node of the own hall.
    Near,
    /// Another one; there are enough of the own hall.
    Far,
    /// Any node: few of the own hall are known.
    Any,
}

/// What a node lacks.
#[derive(Debug)]
pub struct ReplicaCatchUp {
    /// Another node is asked.
    is_fetching: bool,
    /// A node that was busy said that it may be asked from then on; news may come before.
    fetch_not_before: Timestamp,
    /// Since when others have known more.
    behind_since: Option<Timestamp>,
    far_delay: Duration,
}

impl ReplicaCatchUp {
    /// Nothing is known to be missing.
    pub fn new<R: Rng>(rng: &mut R) -> Self {
        let far_delay = rng.random_range(FAR_DELAY);
        ReplicaCatchUp {
            is_fetching: false,
            fetch_not_before: Timestamp::ZERO,
            behind_since: None,
            far_delay,
        }
    }

    /// Another node knows the replicas up to `theirs`, this one up to `own`. Returns the pause after which that one is
    /// to be asked, if it is and news have not come meanwhile.
    pub fn on_peer_revision(
        &mut self,
        peer_revision: Revision,
        own: Revision,
        source: Source,
        replicas: usize,
        now: Timestamp,
    ) -> Option<Duration> {
        if self.is_fetching || peer_revision <= own || now < self.fetch_not_before {
            return None;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        if source == Source::Far && now < behind_since + self.far_delay {
            return None;
        }
        self.is_fetching = true;
        // News of a few changes is of no use to who knows nothing.
        let wait_for_replicas = UPDATE_WAIT_PER_REPLICA * replicas as u32;
        let update_wait = UPDATE_WAIT + wait_for_replicas.min(MAX_UPDATE_WAIT_FOR_REPLICAS);
        Some(if own > 0 { update_wait } else { Duration::ZERO })
    }

    /// More is known than before.
    pub fn on_update(&mut self) {
        self.behind_since = None;
    }

    /// The node that was asked answered, or did not; or it was not asked after all.
    pub fn on_answer(&mut self) {
        self.is_fetching = false;
    }

    /// The node that was asked hands out to others, and may be asked again after some time.
    pub fn on_busy(&mut self, after: Duration, own: Revision, now: Timestamp) {
        self.is_fetching = false;
        self.fetch_not_before = now + if own > 0 { after } else { after.min(MAX_BUSY_DELAY_AT_START) };
    }
}
