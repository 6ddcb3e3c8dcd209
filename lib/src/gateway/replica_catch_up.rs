//! When a node that lacks replica updates fetches them, and from which node.
//!
//! Updates usually arrive on their own; what is still missing after a delay is fetched, from one node at a
//! time. Nodes of the own hall are queried first. Each node waits for a random delay of its own before it
//! queries other halls; by then a few nodes of its hall have fetched the updates, and the others get them
//! from these.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::gateway::revision::Revision;
use crate::ids::Timestamp;

/// Updates that a peer has usually arrive on their own; they are fetched from the peer if they have not
/// arrived within this time.
const UPDATE_WAIT: Duration = Duration::from_millis(120);
/// With many replicas, updates are batched for longer before they are sent; this much is added per replica,
/// up to `MAX_UPDATE_WAIT_FOR_REPLICAS`.
const UPDATE_WAIT_PER_REPLICA: Duration = Duration::from_micros(15);
const MAX_UPDATE_WAIT_FOR_REPLICAS: Duration = Duration::from_millis(150);
/// A node that lacks updates queries nodes of other halls after a random delay in this range.
const FAR_DELAY: Range<Duration> = Duration::from_millis(200)..Duration::from_millis(1_200);
/// A node that knows no replicas waits at most this long for a busy node, and then queries another one.
const MAX_BUSY_DELAY_AT_START: Duration = Duration::from_millis(60);

/// Where a node that knows a later revision runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A node of the own hall.
    Near,
    /// A node of another hall, while enough nodes of the own hall are known.
    Far,
    /// A node of any hall, as few nodes of the own hall are known.
    Any,
}

/// Whether this node lacks updates, and when it may fetch them.
#[derive(Debug)]
pub struct ReplicaCatchUp {
    /// Whether a fetch is in progress.
    is_fetching: bool,
    /// The time before which no fetch is started because a busy node requested a delay; updates may arrive
    /// earlier.
    fetch_not_before: Timestamp,
    /// Since when peers have known a later revision.
    behind_since: Option<Timestamp>,
    far_delay: Duration,
}

impl ReplicaCatchUp {
    /// Creates the state of a node that is not known to lack anything.
    pub fn new<R: Rng>(rng: &mut R) -> Self {
        let far_delay = rng.random_range(FAR_DELAY);
        ReplicaCatchUp {
            is_fetching: false,
            fetch_not_before: Timestamp::ZERO,
            behind_since: None,
            far_delay,
        }
    }

    /// A peer knows the replicas up to `peer_revision`, this node up to `own`. Returns the delay after
    /// which the peer is to be queried, unless updates arrive earlier; `None` if it is not to be queried.
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
        // An update with a few changes is of no use to a node that knows no replicas.
        let wait_for_replicas = UPDATE_WAIT_PER_REPLICA * replicas as u32;
        let update_wait = UPDATE_WAIT + wait_for_replicas.min(MAX_UPDATE_WAIT_FOR_REPLICAS);
        Some(if own > 0 { update_wait } else { Duration::ZERO })
    }

    /// The known revision has advanced.
    pub fn on_update(&mut self) {
        self.behind_since = None;
    }

    /// The queried node answered or failed to, or the query was not sent after all.
    pub fn on_answer(&mut self) {
        self.is_fetching = false;
    }

    /// The queried node is busy serving other nodes, and may be queried again after `after`.
    pub fn on_busy(&mut self, after: Duration, own: Revision, now: Timestamp) {
        self.is_fetching = false;
        self.fetch_not_before = now + if own > 0 { after } else { after.min(MAX_BUSY_DELAY_AT_START) };
    }
}
