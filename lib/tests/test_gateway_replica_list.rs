//! Replica lists and changes that nodes fetch from each other.

use std::time::Duration;

use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::revision::Revision;
use proptest::prelude::*;

use crate::test_gateway_replicas::record;

const FORGET_AFTER: Duration = Duration::from_secs(30);

/// A node that follows the store.
#[derive(Default)]
struct Follower {
    table: ReplicaTable,
    at: Revision,
    now: Duration,
}

impl Follower {
    fn entry(&mut self, id: &str, leaving: bool) {
        let mut change = ListChange::default();
        self.table.on_entry(record(id, leaving), self.now, &mut change);
        self.record_change(&change);
    }

    fn unlisted(&mut self, id: &str) {
        let mut change = ListChange::default();
        self.table.on_unlisted(id, self.now, &mut change);
        self.record_change(&change);
    }

    fn sign(&mut self, id: &str) {
        if self.table.on_sign(&record(id, false).incarnation(), LeavingSign::Unhealthy, self.now) {
            self.record_change(&ListChange { leaving: vec![id.into()], ..ListChange::default() });
        }
    }

    fn wait(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        self.table.tick(self.now, FORGET_AFTER);
    }

    fn record_change(&mut self, change: &ListChange) {
        self.at += 1;
        self.table.set_changed_at(change, self.at);
    }

    /// Applies what another node serves to a node that knows as much as this one. Returns the number of
    /// transferred entries.
    fn fetch(&mut self, other: &Follower) -> usize {
        let list = other.table.since(other.at, self.at);
        let size = list.staying.len() + list.leaving.len();
        self.at = list.at;
        let change = self.table.on_peer_list(list, self.now);
        self.table.set_changed_at(&change, self.at);
        size
    }

    fn staying(&self) -> Vec<String> {
        let mut staying: Vec<String> =
            self.table.staying("m").map(|replica| replica.record.id.to_string()).collect();
        staying.sort();
        staying
    }
}

#[test]
fn test_only_changes_are_transferred() {
    let (mut watcher, mut other) = (Follower::default(), Follower::default());
    for n in 0..500 {
        watcher.entry(&format!("engine-{n:03}"), false);
    }
    assert_eq!(other.fetch(&watcher), 500);
    watcher.entry("engine-500", false);
    watcher.entry("engine-007", true);
    watcher.unlisted("engine-008");
    assert_eq!(other.fetch(&watcher), 3);
    assert_eq!(other.staying(), watcher.staying());
    assert_eq!(other.fetch(&watcher), 0);
}

/// A replica that was considered to be leaving and is listed as staying again counts as changed.
#[test]
fn test_a_replica_that_stays_again_is_transferred() {
    let (mut watcher, mut other) = (Follower::default(), Follower::default());
    watcher.entry("engine-1", false);
    watcher.unlisted("engine-1");
    other.fetch(&watcher);
    assert!(other.staying().is_empty());
    watcher.entry("engine-1", false);
    other.fetch(&watcher);
    assert_eq!(other.staying(), ["engine-1"]);
}

/// A node that has missed more than the other one remembers gets the whole list, and detects the missing
/// replicas.
#[test]
fn test_a_node_too_far_behind_gets_the_whole_list() {
    let (mut watcher, mut other) = (Follower::default(), Follower::default());
    watcher.entry("engine-1", false);
    watcher.entry("engine-2", false);
    other.fetch(&watcher);
    watcher.unlisted("engine-1");
    watcher.wait(60);
    assert!(watcher.table.since(watcher.at, other.at).is_whole);
    other.fetch(&watcher);
    other.wait(3);
    assert_eq!(other.staying(), ["engine-2"]);
}

proptest! {
    /// After any sequence of events, and however rarely it fetches, a node that fetches changes agrees with
    /// the node that follows the store, except during the grace period of expired entries.
    #[test]
    fn test_changes_add_up_to_the_list(steps in prop::collection::vec((0u8..6, 0u8..8), 1..80)) {
        let (mut watcher, mut other) = (Follower::default(), Follower::default());
        for (step, n) in steps {
            let id = format!("engine-{n}");
            match step {
                0 => watcher.entry(&id, false),
                1 => watcher.entry(&id, true),
                2 => watcher.unlisted(&id),
                3 => watcher.sign(&id),
                4 => {
                    other.now = watcher.now;
                    other.fetch(&watcher);
                }
                _ => watcher.wait(u64::from(n) * 6),
            }
        }
        other.now = watcher.now;
        other.fetch(&watcher);
        watcher.wait(3);
        other.wait(60);
        prop_assert_eq!(other.staying(), watcher.staying());
    }
}
