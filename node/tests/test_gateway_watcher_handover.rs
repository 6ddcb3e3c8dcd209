//! The nodes that follow the store are stopped as planned, all at the same time.

use std::time::Duration;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::config;

/// Smallest time of the users' settings after which a replica whose entry is gone gets no request.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
const NODES: usize = 7;

/// The nodes that follow the store, by their logs.
fn followers(gateway: &Gateway) -> Vec<usize> {
    let follows = |node: &usize| {
        let log = gateway.log(*node);
        let last = log.lines().rfind(|line| line.contains("event=store_watch "));
        last.is_some_and(|line| line.contains("now=Some"))
    };
    (0..NODES).filter(follows).collect()
}

/// Guards against late news of a replica that leaves without a word while the nodes that follow the store are
/// stopped: the others began to follow it 2 s later, and took the gap for an outage of the store.
#[tokio::test]
async fn test_an_entry_that_goes_during_a_handover_is_noticed_in_time() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    for id in ["booking-1", "booking-2"] {
        gateway.start_replica(BOOKING, id, 1).await;
    }
    for node in 0..NODES {
        gateway.start_node();
        gateway.until_ready(node).await;
    }
    gateway.until("three nodes follow the store", async || followers(&gateway).len() == 3).await;
    // A node ranks itself among the others from 4 s after its start on.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let stopped = followers(&gateway);
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
