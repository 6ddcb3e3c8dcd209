//! What a node takes the store for after a suspension.

use std::time::Duration;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::config;

/// Longer than a watch of the store waits, and than its answer may take.
const PAUSE: Duration = Duration::from_secs(5);

/// Guards against a store that is taken for lost though it has answered while the node was suspended: it is
/// listed again, and replicas whose entries go count as present for two more seconds.
#[tokio::test]
async fn test_a_store_that_answered_during_a_suspension_is_not_lost() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.until("the store is watched", async || gateway.log(0).contains("event=store_watch")).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateway.signal(0, "-STOP");
    gateway.store.put("config", "main", config(2));
    tokio::time::sleep(PAUSE).await;
    gateway.signal(0, "-CONT");
    gateway.until("version 2", async || gateway.log(0).contains("event=config_in_force version=2")).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!gateway.log(0).contains("event=store_lost"), "{}", gateway.logs());
}

/// Nodes of a fleet in which some don't watch the store.
const NODES: usize = 5;
/// Time in which the nodes of a fleet that has just started agree on who watches the store.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Several intervals at which watchers tell of themselves.
const PULSES_TIME: Duration = Duration::from_secs(2);

/// Guards against nodes that turn to the store after a suspension because they heard no watcher while they
/// did not run: each list is billed, and a whole fleet may be suspended at once.
#[tokio::test]
async fn test_a_suspended_node_does_not_begin_to_watch_the_store() {
    let (gateway, _booking) = Gateway::with_nodes(NODES).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let role_changes = |node: usize| gateway.log(node).matches("event=store_watch ").count();
    // A node that watches has changed its role once, one that has stopped to watch twice.
    let others: Vec<(usize, usize)> =
        (0..NODES).map(|node| (node, role_changes(node))).filter(|(_, changes)| changes % 2 == 0).collect();
    assert!(!others.is_empty(), "{}", gateway.logs());
    others.iter().for_each(|(node, _)| gateway.signal(*node, "-STOP"));
    tokio::time::sleep(PAUSE).await;
    others.iter().for_each(|(node, _)| gateway.signal(*node, "-CONT"));
    tokio::time::sleep(PULSES_TIME).await;
    let after: Vec<(usize, usize)> = others.iter().map(|(node, _)| (*node, role_changes(*node))).collect();
    assert_eq!(after, others, "role changes by node\n{}", gateway.logs());
}
