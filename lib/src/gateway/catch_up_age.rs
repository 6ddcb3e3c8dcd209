//! Up to when a node that lacks changes of the store knows them.
//!
//! A watcher's pulse shows that the watcher knows the latest changes. A node that receives the pulse knows them only
//! once it has what the watcher has: the watcher may stop before it has handed that over.

use crate::ids::Timestamp;

/// The age of a node's knowledge of one kind of objects, whose versions are of type `V`.
#[derive(Debug, Default)]
pub struct CatchUpAge<V> {
    /// Up to this time the node knows all changes.
    known_at: Timestamp,
    /// The version that is awaited, and when the store last answered as that version became known.
    awaited: Option<(V, Timestamp)>,
}

impl<V: Copy + Ord> CatchUpAge<V> {
    /// Called a few times a second with the version that this node has, the newest one that any node is known to
    /// have, and the time of the store's last answer to any of them. Returns up to when this node knows all
    /// changes if it lacks some, and `None` if it lacks none.
    pub fn update(&mut self, own: V, newest: V, answered_at: Timestamp) -> Option<Timestamp> {
        if own >= newest {
            (self.known_at, self.awaited) = (answered_at, None);
            return None;
        }
        if let Some((_, at)) = self.awaited.take_if(|(version, _)| own >= *version) {
            self.known_at = at;
        }
        self.awaited.get_or_insert((newest, answered_at));
        Some(self.known_at)
    }
}
