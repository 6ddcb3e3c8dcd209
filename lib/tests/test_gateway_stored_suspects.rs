//! Who writes to the store under which requests replicas ended, and when.

use std::time::Duration;

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::crash_ledger::KEPT_FOR;
use leadstage_lib::gateway::crash_ledger::Suspect;
use leadstage_lib::gateway::revision;
use leadstage_lib::gateway::stored_suspects::StoreRole;
use leadstage_lib::gateway::stored_suspects::StoreWrite;
use leadstage_lib::gateway::stored_suspects::StoredSuspects;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UnixMillis;

use crate::test_gateway_crash_ledger::fingerprint;
use crate::test_gateway_crash_ledger::replica;

const UNIX: UnixMillis = 1_800_000_000_000;
const NODE: StoreRole = StoreRole { follows: false, is_alone: false };
const WATCHER: StoreRole = StoreRole { follows: true, is_alone: false };
const ALONE: StoreRole = StoreRole { follows: true, is_alone: true };

/// A node's view, driven by hand.
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
        self.ledger.on_end(fingerprint(1), replica(n), UNIX);
    }

    fn writes(&mut self, role: StoreRole, at_ms: u64) -> Vec<StoreWrite> {
        let at: Timestamp = Duration::from_millis(at_ms);
        self.stored.writes(&self.ledger, role, at, UNIX + at_ms)
    }

    fn known(&self) -> Suspect {
        self.ledger.get(&fingerprint(1)).expect("it is known")
    }
}

#[test]
fn test_who_saw_an_end_writes_from_the_second_on() {
    let mut node = Node::with_ends(1);
    node.stored.on_own_end(fingerprint(1));
    assert!(node.writes(NODE, 0).is_empty(), "one end is any request's fate");
    node.end(2);
    let written = StoreWrite::Keep(node.known());
    assert_eq!(node.writes(NODE, 100), [written]);
    assert!(node.writes(NODE, 200).is_empty(), "that is under way");
    node.stored.on_write_ended(fingerprint(1), true, Duration::from_millis(210));
    node.stored.on_kept(&node.ledger.get(&fingerprint(1)).expect("known"), 7);
    assert!(node.writes(NODE, 300).is_empty());
    node.end(3);
    assert_eq!(node.writes(NODE, 400).len(), 1, "the store lacks the third");
}

#[test]
fn test_a_node_on_its_own_writes_the_first_end() {
    let mut node = Node::with_ends(1);
    node.stored.on_own_end(fingerprint(1));
    assert_eq!(node.writes(ALONE, 0).len(), 1);
}

#[test]
fn test_a_failed_write_is_tried_again() {
    let mut node = Node::with_ends(2);
    node.stored.on_own_end(fingerprint(1));
    assert_eq!(node.writes(NODE, 0).len(), 1);
    node.stored.on_write_ended(fingerprint(1), false, Duration::from_millis(500));
    assert!(node.writes(NODE, 600).is_empty());
    assert_eq!(node.writes(NODE, 1_500).len(), 1);
}

/// The node that saw the ends may be gone: those who follow the store write then. Others leave it to them.
#[test]
fn test_followers_of_the_store_write_what_nobody_has() {
    let mut node = Node::with_ends(3);
    assert!(node.writes(WATCHER, 0).is_empty());
    assert!(node.writes(WATCHER, 900).is_empty());
    assert_eq!(node.writes(WATCHER, 1_000).len(), 1);
    let mut node = Node::with_ends(3);
    assert!((0..50).all(|tick| node.writes(NODE, tick * 100).is_empty()));
    // Once somebody has, they need not.
    let mut node = Node::with_ends(3);
    assert!(node.writes(WATCHER, 0).is_empty());
    let known = node.known();
    node.stored.on_kept(&known, 5);
    assert!((0..50).all(|tick| node.writes(WATCHER, tick * 100).is_empty()));
}

#[test]
fn test_what_is_cleared_or_over_is_removed() {
    let mut node = Node::with_ends(3);
    let known = node.known();
    node.stored.on_kept(&known, 5);
    assert!(node.writes(WATCHER, 0).is_empty());
    node.ledger.clear(fingerprint(1));
    assert_eq!(node.writes(WATCHER, 100), [StoreWrite::Remove(fingerprint(1))]);
    assert!(node.stored.on_removed(&fingerprint(1), 6));
    node.stored.on_write_ended(fingerprint(1), true, Duration::from_millis(200));
    assert!(node.writes(WATCHER, 300).is_empty());

    let mut node = Node::default();
    node.stored.on_kept(&known, 5);
    let over = KEPT_FOR.as_millis() as u64;
    assert!(node.writes(WATCHER, over - 1).is_empty());
    assert_eq!(node.writes(WATCHER, over), [StoreWrite::Remove(fingerprint(1))]);
}

/// An operator clears a request by removing its object. A list that is some seconds old lacks it as well,
/// and says nothing.
#[test]
fn test_only_a_newer_word_shows_that_an_object_was_removed() {
    let known = Node::with_ends(2).known();
    let mut stored = StoredSuspects::default();
    stored.on_kept(&known, 50);
    assert!(stored.on_listed(&[], 49).is_empty());
    assert!(!stored.on_removed(&fingerprint(1), 49));
    assert_eq!(stored.on_listed(&[], 51), [fingerprint(1)]);
    assert!(stored.on_listed(&[], 52).is_empty(), "that is told once");
    assert!(stored.on_listed(std::slice::from_ref(&known), 53).is_empty());
    assert!(stored.on_removed(&fingerprint(1), 54));
}

/// A node that saw a request's ends an hour ago is like any other if it ends replicas again.
#[test]
fn test_own_ends_are_forgotten_with_the_request() {
    let mut node = Node::with_ends(2);
    node.stored.on_own_end(fingerprint(1));
    assert_eq!(node.writes(NODE, 0).len(), 1);
    node.stored.on_write_ended(fingerprint(1), true, Duration::ZERO);
    let later = KEPT_FOR.as_millis() as u64 + 1;
    assert!(node.ledger.forget(UNIX + later));
    assert!(node.writes(NODE, later).is_empty());
    for n in [5, 6] {
        node.ledger.on_end(fingerprint(1), replica(n), UNIX + later);
    }
    assert!(node.writes(NODE, later + 10_000).is_empty());
}

/// What a copy of the store lacks nobody removed: it is written again, and no quarantine is lifted.
#[test]
fn test_what_a_copy_of_the_store_lacks_is_written_again() {
    let mut node = Node::with_ends(2);
    let suspect = node.known();
    node.stored.on_kept(&suspect, revision::in_era(0, 50));
    assert!(node.writes(WATCHER, 0).is_empty());
    assert!(node.stored.on_listed(&[], revision::in_era(1, 20)).is_empty());
    assert!(node.writes(WATCHER, 100).is_empty(), "whoever saw the ends comes first");
    assert_eq!(node.writes(WATCHER, 2_000), [StoreWrite::Keep(suspect.clone())]);
    node.stored.on_kept(&suspect, revision::in_era(1, 21));
    assert_eq!(node.stored.on_listed(&[], revision::in_era(1, 22)), [fingerprint(1)], "an operator did");
}
