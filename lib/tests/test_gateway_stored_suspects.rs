//! Which nodes write suspects to the store, and when.

use std::time::Duration;

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::revision;
use leadstage_lib::gateway::stored_suspects::StoreRole;
use leadstage_lib::gateway::stored_suspects::StoreWrite;
use leadstage_lib::gateway::stored_suspects::StoredSuspects;
use leadstage_lib::gateway::suspect::END_RETENTION;
use leadstage_lib::gateway::suspect::Suspect;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UnixMillis;

use crate::test_gateway_crash_ledger::fingerprint;
use crate::test_gateway_crash_ledger::replica;
use crate::test_gateway_crash_ledger::request;

const UNIX: UnixMillis = 1_800_000_000_000;
const NODE: StoreRole = StoreRole { is_watcher: false, is_alone: false };
const WATCHER: StoreRole = StoreRole { is_watcher: true, is_alone: false };
const ALONE: StoreRole = StoreRole { is_watcher: true, is_alone: true };

/// The state of one node.
#[derive(Default)]
struct Node {
    ledger: CrashLedger,
    stored: StoredSuspects,
}

impl Node {
    fn with_ends(ends: usize) -> Node {
        let mut node = Node::default();
        (0..ends).for_each(|n| node.end(n));
        node
    }

    fn end(&mut self, n: usize) {
        self.ledger.on_end(request(1), replica(n), UNIX);
    }

    fn due_writes(&mut self, role: StoreRole, at_ms: u64) -> Vec<StoreWrite> {
        let at: Timestamp = Duration::from_millis(at_ms);
        self.stored.due_writes(&self.ledger, role, at, UNIX + at_ms)
    }

    fn known(&self) -> Suspect {
        self.ledger.get(&fingerprint(1)).expect("the ledger holds the request")
    }
}

#[test]
fn test_a_node_that_observed_an_end_writes_from_the_second_end_on() {
    let mut node = Node::with_ends(1);
    node.stored.on_own_end(fingerprint(1));
    assert!(node.due_writes(NODE, 0).is_empty(), "a single end may happen to any request");
    node.end(2);
    let written = StoreWrite::Put(node.known());
    assert_eq!(node.due_writes(NODE, 100), [written]);
    assert!(node.due_writes(NODE, 200).is_empty(), "the write is in progress");
    node.stored.on_write_ended(fingerprint(1), true, Duration::from_millis(210));
    node.stored.on_put(&node.ledger.get(&fingerprint(1)).expect("the ledger holds the request"), 7);
    assert!(node.due_writes(NODE, 300).is_empty());
    node.end(3);
    assert_eq!(node.due_writes(NODE, 400).len(), 1, "the store lacks the third");
}

#[test]
fn test_a_node_that_knows_no_other_writes_the_first_end() {
    let mut node = Node::with_ends(1);
    node.stored.on_own_end(fingerprint(1));
    assert_eq!(node.due_writes(ALONE, 0).len(), 1);
}

#[test]
fn test_a_failed_write_is_retried() {
    let mut node = Node::with_ends(2);
    node.stored.on_own_end(fingerprint(1));
    assert_eq!(node.due_writes(NODE, 0).len(), 1);
    node.stored.on_write_ended(fingerprint(1), false, Duration::from_millis(500));
    assert!(node.due_writes(NODE, 600).is_empty());
    assert_eq!(node.due_writes(NODE, 1_500).len(), 1);
}

/// The node that observed the ends may be gone: then the watchers of the store write, and other nodes don't.
#[test]
fn test_watchers_write_what_no_other_node_has_written() {
    let mut node = Node::with_ends(3);
    assert!(node.due_writes(WATCHER, 0).is_empty());
    assert!(node.due_writes(WATCHER, 900).is_empty());
    assert_eq!(node.due_writes(WATCHER, 1_000).len(), 1);
    let mut node = Node::with_ends(3);
    assert!((0..50).all(|tick| node.due_writes(NODE, tick * 100).is_empty()));
    // Once another node has written, the watchers don't.
    let mut node = Node::with_ends(3);
    assert!(node.due_writes(WATCHER, 0).is_empty());
    let known = node.known();
    node.stored.on_put(&known, 5);
    assert!((0..50).all(|tick| node.due_writes(WATCHER, tick * 100).is_empty()));
}

#[test]
fn test_cleared_and_expired_requests_are_removed() {
    let mut node = Node::with_ends(3);
    let known = node.known();
    node.stored.on_put(&known, 5);
    assert!(node.due_writes(WATCHER, 0).is_empty());
    node.ledger.clear(fingerprint(1));
    assert_eq!(node.due_writes(WATCHER, 100), [StoreWrite::Remove(fingerprint(1))]);
    assert!(node.stored.on_removed(&fingerprint(1), 6));
    node.stored.on_write_ended(fingerprint(1), true, Duration::from_millis(200));
    assert!(node.due_writes(WATCHER, 300).is_empty());

    let mut node = Node::default();
    node.stored.on_put(&known, 5);
    let expiry = END_RETENTION.as_millis() as u64;
    assert!(node.due_writes(WATCHER, expiry - 1).is_empty());
    assert_eq!(node.due_writes(WATCHER, expiry), [StoreWrite::Remove(fingerprint(1))]);
}

/// An operator clears a request by removing its object. A list from before the object was written lacks it as
/// well, and must not clear the request.
#[test]
fn test_only_a_newer_revision_shows_that_an_object_was_removed() {
    let known = Node::with_ends(2).known();
    let mut stored = StoredSuspects::default();
    stored.on_put(&known, 50);
    assert!(stored.on_listed(&[], 49).is_empty());
    assert!(!stored.on_removed(&fingerprint(1), 49));
    assert_eq!(stored.on_listed(&[], 51), [fingerprint(1)]);
    assert!(stored.on_listed(&[], 52).is_empty(), "the removal is reported once");
    assert!(stored.on_listed(std::slice::from_ref(&known), 53).is_empty());
    assert!(stored.on_removed(&fingerprint(1), 54));
}

/// A node that observed a request's ends an hour ago is like any other node when replicas end again.
#[test]
fn test_observed_ends_are_removed_with_the_request() {
    let mut node = Node::with_ends(2);
    node.stored.on_own_end(fingerprint(1));
    assert_eq!(node.due_writes(NODE, 0).len(), 1);
    node.stored.on_write_ended(fingerprint(1), true, Duration::ZERO);
    let later = END_RETENTION.as_millis() as u64 + 1;
    assert!(node.ledger.forget(UNIX + later));
    assert!(node.due_writes(NODE, later).is_empty());
    for n in [5, 6] {
        node.ledger.on_end(request(1), replica(n), UNIX + later);
    }
    assert!(node.due_writes(NODE, later + 10_000).is_empty());
}

/// Objects that are missing after the store was restored from a copy were not removed by an operator: they
/// are written again, and no quarantine is lifted.
#[test]
fn test_objects_missing_from_a_copy_of_the_store_are_written_again() {
    let mut node = Node::with_ends(2);
    let suspect = node.known();
    node.stored.on_put(&suspect, revision::in_era(0, 50));
    assert!(node.due_writes(WATCHER, 0).is_empty());
    assert!(node.stored.on_listed(&[], revision::in_era(1, 20)).is_empty());
    assert!(node.due_writes(WATCHER, 100).is_empty(), "the node that observed the ends writes first");
    assert_eq!(node.due_writes(WATCHER, 2_000), [StoreWrite::Put(suspect.clone())]);
    node.stored.on_put(&suspect, revision::in_era(1, 21));
    assert_eq!(
        node.stored.on_listed(&[], revision::in_era(1, 22)),
        [fingerprint(1)],
        "an operator removed it"
    );
}
