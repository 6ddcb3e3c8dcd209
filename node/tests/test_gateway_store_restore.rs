//! A store that is restored from a backup that is some seconds old.

use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::metadata_store::Copy;
use leadstage_testutils::metadata_store::StoreFault;
use serde_json::json;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_fleet::assert_all_served;

const NODES: usize = 6;
/// Number of changes that the backup lacks.
const LOST_CHANGES: usize = 90;
/// How long the store is unavailable before it is restored.
const OUTAGE: Duration = Duration::from_millis(1_500);
/// Nodes follow a restored store again, and know of its changes, within this.
const FOLLOWED_WITHIN: Duration = Duration::from_secs(3);
/// A change of a replica's entry takes effect at all nodes within this.
const EFFECTIVE_WITHIN: Duration = Duration::from_secs(2);
/// After this it is settled which nodes follow the store, and they know that it is available.
const SETTLED_AFTER: Duration = Duration::from_secs(6);
/// How long the fleet is under load.
const LOAD_DURATION: Duration = Duration::from_secs(4);

/// Writes objects that no node reads, to advance the store's revision.
fn write_others(fleet: &LoadedFleet, objects: usize) {
    for n in 0..objects {
        fleet.gateway.store.put("others", &format!("o-{n}"), json!({}));
    }
}

/// Rewrites the entry of a replica.
fn write_entry(fleet: &LoadedFleet, replica: usize, state: &str) {
    fleet.gateway.write_entry(BOOKING, &fleet.replicas[replica], state);
}

/// Makes the store unavailable and restores it from a backup; returns once nodes follow it again.
async fn restore(fleet: &LoadedFleet, copy: Copy) {
    fleet.gateway.store.set_fault(StoreFault::Refuses);
    tokio::time::sleep(OUTAGE).await;
    fleet.gateway.store.restore_from(copy);
    tokio::time::sleep(FOLLOWED_WITHIN).await;
}

/// Starts a fleet and restores its store from a backup that lacks [`LOST_CHANGES`] changes and one more of
/// the first replica's entry.
async fn start_restored(replicas: usize) -> LoadedFleet {
    let fleet = LoadedFleet::start(BOOKING, NODES, replicas).await;
    let copy = fleet.gateway.store.copy();
    write_others(&fleet, LOST_CHANGES);
    write_entry(&fleet, 0, "ready");
    fleet.load(&[4.0; NODES], Duration::from_secs(1), read).await;
    restore(&fleet, copy).await;
    fleet
}

/// Asserts that no node has sent a request to a replica since `from`.
fn assert_unused(fleet: &LoadedFleet, replica: usize, from: Instant) {
    let used: Vec<usize> = (0..NODES).map(|node| fleet.arrivals_through(node, replica, from).len()).collect();
    assert_eq!(used, [0; NODES], "requests sent by each node\n{}", fleet.gateway.logs());
}

#[tokio::test]
async fn test_a_replica_that_leaves_after_a_store_restore_is_unused_by_all_nodes() {
    let fleet = start_restored(3).await;
    write_entry(&fleet, 0, "draining");
    tokio::time::sleep(EFFECTIVE_WITHIN).await;
    let from = Instant::now();
    assert_all_served(&fleet.load(&[8.0; NODES], LOAD_DURATION, read).await, &fleet);
    assert_unused(&fleet, 0, from);
}

#[tokio::test]
async fn test_a_replica_that_starts_after_a_store_restore_is_used_by_all_nodes() {
    let fleet = start_restored(1).await;
    let new = fleet.gateway.start_replica(BOOKING, "booking-new", 4).await;
    tokio::time::sleep(EFFECTIVE_WITHIN).await;
    assert_all_served(&fleet.load(&[8.0; NODES], LOAD_DURATION, read).await, &fleet);
    let seen = new.replica.received_requests();
    let through = |node: usize| {
        let of_node = |id: &str| id.starts_with(&format!("{node}-"));
        seen.iter().filter(|seen| seen.header("leadstage-request-id").is_some_and(of_node)).count()
    };
    let used: Vec<bool> = (0..NODES).map(|node| through(node) > 0).collect();
    assert_eq!(used, [true; NODES], "nodes that used it\n{}", fleet.gateway.logs());
}

/// After the restore the store assigns revisions again that nodes have seen for other changes. Watches resume
/// from such a revision, and no 410 response reveals the restore.
#[tokio::test]
async fn test_a_configuration_written_between_reused_revisions_comes_into_force() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 1).await;
    let copy = fleet.gateway.store.copy();
    write_others(&fleet, LOST_CHANGES);
    fleet.gateway.store.put("config", "main", config(2));
    let in_force = async |version: u64| {
        for node in 0..NODES {
            let has_it = async || fleet.gateway.node_status(node).await.bundle == Some(version);
            fleet.gateway.until("the configuration is in force", has_it).await;
        }
    };
    in_force(2).await;
    fleet.gateway.store.set_fault(StoreFault::Refuses);
    tokio::time::sleep(OUTAGE).await;
    fleet.gateway.store.restore_from(copy);
    fleet.gateway.store.put("config", "main", config(3));
    write_others(&fleet, 2 * LOST_CHANGES);
    in_force(3).await;
}

/// The backup is older than what the nodes know: a replica whose entry was deleted since is not used until it
/// writes its entry again.
#[tokio::test]
async fn test_a_deleted_entry_that_a_restore_brings_back_is_not_used() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
    tokio::time::sleep(SETTLED_AFTER).await;
    let copy = fleet.gateway.store.copy();
    fleet.gateway.store.delete("servers", &fleet.replicas[0].replica.id);
    for node in 0..NODES {
        let knows = async || fleet.gateway.log(node).contains("event=replica_leaves");
        fleet.gateway.until("each node knows that the replica has left", knows).await;
    }
    let from = Instant::now();
    restore(&fleet, copy).await;
    assert_all_served(&fleet.load(&[8.0; NODES], LOAD_DURATION, read).await, &fleet);
    assert_unused(&fleet, 0, from);
}

/// Nodes that have just started don't know yet whether the store is available, so that a deleted entry may
/// only have expired.
#[tokio::test]
async fn test_a_replica_whose_entry_expired_is_known_as_leaving_to_all_nodes() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 2).await;
    fleet.gateway.store.delete("servers", &fleet.replicas[0].replica.id);
    for node in 0..NODES {
        let knows = async || fleet.gateway.log(node).contains("event=replica_leaves");
        fleet.gateway.until("each node knows that the replica has left", knows).await;
    }
}

/// A replica whose entry the backup lacks writes it again soon, and is used in the meantime.
#[tokio::test]
async fn test_a_replica_whose_entry_the_backup_lacks_is_not_considered_gone() {
    let fleet = LoadedFleet::start(BOOKING, NODES, 1).await;
    let copy = fleet.gateway.store.copy();
    let new = fleet.gateway.start_replica(BOOKING, "booking-new", 4).await;
    fleet
        .gateway
        .until("it is used", async || {
            fleet.load(&[4.0; NODES], Duration::from_millis(250), read).await;
            new.replica.received_requests().len() > NODES
        })
        .await;
    fleet.gateway.store.set_fault(StoreFault::Refuses);
    tokio::time::sleep(OUTAGE).await;
    fleet.gateway.store.restore_from(copy);
    let loaded = async { fleet.load(&[8.0; NODES], LOAD_DURATION, read).await };
    let written = async {
        tokio::time::sleep(OUTAGE).await;
        fleet.gateway.write_entry(BOOKING, &new, "ready");
    };
    tokio::join!(loaded, written);
    let leaves = (0..NODES).filter(|node| fleet.gateway.log(*node).contains("event=replica_leaves")).count();
    assert_eq!(leaves, 0, "nodes that considered the replica gone\n{}", fleet.gateway.logs());
}
