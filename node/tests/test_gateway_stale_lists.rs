//! Nodes that start while replicas change, and that read a list of the store which is older than what the
//! other nodes have told them.

use std::time::Duration;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::test_gateway_calls::arrivals;

/// Delay of the store's stale lists: other nodes have told a starting node their replicas by then.
const STALE_LIST_DELAY: Duration = Duration::from_millis(100);
/// Time between two calls: a replica that has just been listed gets few calls at first.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than the grace period after which replicas count as gone that a list lacks.
const AFTER_GRACE: Duration = Duration::from_millis(2_500);

/// A fleet of three ready nodes, of which nodes 0 and 1 are seeds, and two replicas for calls.
async fn fleet() -> (Gateway, Vec<RunningReplica>) {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let mut bookings = Vec::new();
    for id in ["booking-1", "booking-2"] {
        bookings.push(gateway.start_replica(BOOKING, id, 1).await);
    }
    for node in 0..3 {
        gateway.start_node_with(with_two_seeds);
        gateway.until_ready(node).await;
    }
    gateway.until_others_log(0, "event=store_watch").await;
    (gateway, bookings)
}

/// Adds node 1 to the seeds of a node's settings.
fn with_two_seeds(settings: String) -> String {
    let seeds = settings.lines().find(|line| line.starts_with("seeds:")).expect("a list of seeds");
    let first = seeds.split('\'').nth(1).expect("node 0");
    let both = format!("seeds: ['{first}', '{}']", first.replace(".11:", ".12:"));
    settings.replace(seeds, &both)
}

impl Gateway {
    /// Waits until all nodes but one have logged a text.
    async fn until_others_log(&self, node: usize, text: &str) {
        let others = || (0..self.nodes()).filter(|other| *other != node);
        self.until(text, async || others().all(|other| self.log(other).contains(text))).await;
    }

    /// Stops a node as planned.
    async fn stop(&mut self, node: usize) {
        self.signal(node, "-TERM");
        assert!(self.wait_for_exit(node).await, "it exits in order");
    }

    /// Starts a node again, and waits until it has read the store's stale list of replicas.
    async fn restart_until_stale_list_read(&mut self, node: usize) {
        let reads = || self.log(node).matches("event=replicas_read").count();
        let before = reads();
        self.restart_node(node);
        let reads = || self.log(node).matches("event=replicas_read").count();
        self.until("it has read the list", async || reads() > before).await;
        self.until_ready(node).await;
    }
}

/// Guards against the use of a draining replica by a node that was restarted meanwhile: the store's stale list
/// replaced the newer one of the other nodes.
#[tokio::test]
async fn test_a_restarted_node_does_not_use_a_replica_that_drains() {
    let (mut gateway, bookings) = fleet().await;
    gateway.stop(0).await;
    gateway.store.set_stale_lists(gateway.store.copy(), STALE_LIST_DELAY);
    gateway.drain(BOOKING, &bookings[1]);
    gateway.until_others_log(0, "event=replica_leaves upstream=booking-2").await;
    gateway.restart_until_stale_list_read(0).await;
    let before = arrivals(&bookings[1..]);
    for n in 0..30 {
        let called = gateway.call(0, read(&format!("r-{n}"))).await;
        assert_eq!(called.status, 200, "{called:?}");
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    assert_eq!(arrivals(&bookings[1..]), before, "{}", gateway.logs());
}

/// Guards against the loss of all replicas at a node that was restarted while they were replaced: the store's
/// stale list lacks the new ones.
#[tokio::test]
async fn test_a_restarted_node_uses_the_replicas_that_a_stale_list_lacks() {
    let (mut gateway, mut bookings) = fleet().await;
    gateway.stop(0).await;
    gateway.store.set_stale_lists(gateway.store.copy(), STALE_LIST_DELAY);
    let new = gateway.start_replica(BOOKING, "booking-3", 1).await;
    gateway.until_others_log(0, "event=replica_listed upstream=booking-3").await;
    for old in &bookings {
        gateway.drain(BOOKING, old);
    }
    gateway.until_others_log(0, "event=replica_leaves upstream=booking-2").await;
    gateway.restart_until_stale_list_read(0).await;
    tokio::time::sleep(AFTER_GRACE).await;
    for old in &mut bookings {
        old.server = None;
        gateway.store.delete("servers", &old.replica.id);
    }
    for n in 0..5 {
        let called = gateway.call(0, read(&format!("r-{n}"))).await;
        assert_eq!(called.status, 200, "{called:?}\n{}", gateway.logs());
    }
    assert_eq!(arrivals(&[new]), 5);
}
