//! The nodes that follow the store are stopped as planned or killed, all at the same time.

use std::time::Duration;

use leadstage_lib::ids::VmId;
use leadstage_lib::rendezvous;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::config;

/// Smallest time of the users' settings after which a replica whose entry is gone gets no request.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Smallest time of the users' settings after which a new configuration must be in force.
const CONFIG_TIME: Duration = Duration::from_millis(2_000);
const NODES: usize = 7;
/// What nodes are ranked by when they watch the store.
const RANKING: &str = "store watchers";

/// A fleet whose nodes have settled who follows the store.
async fn settled_fleet() -> Gateway {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    for id in ["booking-1", "booking-2"] {
        gateway.start_replica(BOOKING, id, 1).await;
    }
    for node in 0..NODES {
        gateway.start_node();
        gateway.until_ready(node).await;
    }
    gateway.until("three nodes follow the store", async || gateway.store_followers().len() == 3).await;
    // A node ranks itself among the others from 4 s after its start on.
    tokio::time::sleep(Duration::from_secs(5)).await;
    gateway
}

/// Kills all nodes but the one that ranks last, which would be the last to follow the store.
fn kill_all_but_last(gateway: &mut Gateway) -> usize {
    let weight = |node: &usize| rendezvous::weight(RANKING, &VmId::from(gateway.peer(*node)));
    let last = (0..NODES).min_by_key(weight).expect("there are nodes");
    (0..NODES).filter(|node| *node != last).for_each(|node| gateway.kill(node));
    last
}

/// Guards against late news of a replica that leaves without a word while the nodes that follow the store are
/// stopped: the others began to follow it 2 s later, and took the gap for an outage of the store.
#[tokio::test]
async fn test_an_entry_that_goes_during_a_handover_is_noticed_in_time() {
    let mut gateway = settled_fleet().await;
    let stopped = gateway.store_followers();
    for node in &stopped {
        gateway.signal(*node, "-TERM");
    }
    for node in &stopped {
        assert!(gateway.wait_for_exit(*node).await, "it exits in order");
    }
    gateway.store.delete("servers", "booking-2");
    tokio::time::sleep(DRAIN_TIME).await;
    for node in (0..NODES).filter(|node| !stopped.contains(node)) {
        let log = gateway.log(node);
        assert!(log.contains("event=replica_leaves upstream=booking-2"), "node {node}\n{}", gateway.logs());
    }
}

/// Guards against a node that serves with an outdated configuration after all nodes that followed the store were
/// killed: it waited for 3 s until it read the store itself.
#[tokio::test]
async fn test_a_configuration_is_in_force_in_time_after_the_watchers_were_killed() {
    let mut gateway = settled_fleet().await;
    let left = kill_all_but_last(&mut gateway);
    gateway.store.put("config", "main", config(2));
    tokio::time::sleep(CONFIG_TIME).await;
    let log = gateway.log(left);
    assert!(log.contains("event=config_in_force version=2"), "node {left}\n{}", gateway.logs());
}

/// Guards against a node that goes on sending to a replica whose entry goes after all nodes that followed the
/// store were killed.
#[tokio::test]
async fn test_an_entry_that_goes_is_noticed_in_time_after_the_watchers_were_killed() {
    let mut gateway = settled_fleet().await;
    let left = kill_all_but_last(&mut gateway);
    gateway.store.delete("servers", "booking-2");
    tokio::time::sleep(DRAIN_TIME).await;
    let log = gateway.log(left);
    assert!(log.contains("event=replica_leaves upstream=booking-2"), "node {left}\n{}", gateway.logs());
}
