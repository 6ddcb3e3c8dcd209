//! Entries of other writers under odd names in the list of replicas: nodes that start while they stand use the
//! replicas of all other entries, and no other.

use leadstage_testutils::metadata_store::NameReading;
use leadstage_testutils::metadata_store::replica_entry;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::config;

/// Names that have characters with a meaning in a URI, or that a URI can't have as they are.
const ODD_NAMES: [&str; 26] = [
    "0a&b",
    "5-2&",
    "5-2+",
    "5-2#",
    "5-2%",
    "5-2 ",
    "%26",
    "%zz",
    "a=b",
    "a?b",
    "a/b",
    ".",
    "..",
    "\"",
    "'",
    "m\n1",
    "m\u{0}",
    "\u{f1}",
    "\u{1f600}",
    "&watch=0",
    "+",
    "#",
    " ",
    "&",
    "m&more=false",
    "z&after=z#",
];
const NODES: usize = 2;
const REPLICAS: usize = 4;
const CALLS: usize = 40;

/// A fleet of [`NODES`] nodes and [`REPLICAS`] replicas, whose store serves lists in pages of `page_size`.
async fn fleet(reading: NameReading, page_size: usize) -> (Gateway, Vec<RunningReplica>) {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    gateway.store.set_name_reading(reading);
    gateway.store.set_page_size(page_size);
    let mut replicas = Vec::new();
    for n in 0..REPLICAS {
        replicas.push(gateway.start_replica(BOOKING, &format!("{n}-{n}"), 1).await);
    }
    for node in 0..NODES {
        gateway.start_node();
        gateway.until_ready(node).await;
    }
    (gateway, replicas)
}

/// Restarts all nodes at once.
async fn restart_all(gateway: &mut Gateway) {
    (0..NODES).for_each(|node| gateway.kill(node));
    (0..NODES).for_each(|node| gateway.restart_node(node));
    for node in 0..NODES {
        gateway.until_ready(node).await;
    }
}

/// Asserts that each call to each node succeeds and that all replicas are used.
async fn assert_served(gateway: &Gateway, replicas: &[RunningReplica], case: &str) {
    let received = || replicas.iter().map(|running| running.replica.received_requests().len());
    let before: Vec<usize> = received().collect();
    for node in 0..NODES {
        for call in 0..CALLS {
            let status = gateway.status_of(node, "/read/x", KEY).await;
            assert_eq!(status, 200, "{case}: call {call} to node {node}\n{}", gateway.logs());
        }
    }
    assert!(received().zip(before).all(|(now, before)| now > before), "{case}: all replicas are used");
}

/// Writes an entry under each name, restarts the nodes while they stand, and removes them.
async fn play(gateway: &mut Gateway, replicas: &[RunningReplica], names: &[&str], spec: &Value, case: &str) {
    names.iter().for_each(|name| gateway.store.put("servers", name, spec.clone()));
    restart_all(gateway).await;
    assert_served(gateway, replicas, case).await;
    names.iter().for_each(|name| gateway.store.delete("servers", name));
}

#[tokio::test]
async fn test_nodes_that_restart_beside_an_odd_name_serve() {
    for reading in [NameReading::Decoded, NameReading::FormDecoded, NameReading::AsSent] {
        let (mut gateway, replicas) = fleet(reading, 1).await;
        for page_size in [1, 3] {
            gateway.store.set_page_size(page_size);
            for name in ["0a&b", "1-1+", "2 # %", "z&%26+"] {
                let case = format!("{name} in pages of {page_size}, {reading:?}");
                play(&mut gateway, &replicas, &[name], &json!({}), &case).await;
            }
        }
    }
}

#[tokio::test]
async fn test_nodes_that_restart_beside_many_odd_names_serve() {
    for reading in [NameReading::Decoded, NameReading::FormDecoded, NameReading::AsSent] {
        let (mut gateway, replicas) = fleet(reading, 1).await;
        for page_size in [1, 3, 4, 10] {
            gateway.store.set_page_size(page_size);
            let case = format!("in pages of {page_size}, {reading:?}");
            play(&mut gateway, &replicas, &ODD_NAMES, &json!({}), &case).await;
        }
    }
}

/// Names of objects that are no configuration, halls that no replica is in, and no suspects.
#[tokio::test]
async fn test_nodes_that_restart_beside_odd_names_of_other_kinds_serve() {
    for reading in [NameReading::Decoded, NameReading::FormDecoded, NameReading::AsSent] {
        let (mut gateway, replicas) = fleet(reading, 1).await;
        for kind in ["config", "evacuations", "rollouts", "crash-suspects"] {
            ODD_NAMES.iter().for_each(|name| gateway.store.put(kind, name, json!({})));
        }
        for page_size in [1, 3, 4, 10] {
            gateway.store.set_page_size(page_size);
            restart_all(&mut gateway).await;
            assert_served(&gateway, &replicas, &format!("in pages of {page_size}, {reading:?}")).await;
        }
    }
}

/// The entries are valid but for their names; nobody listens at their address.
#[tokio::test]
async fn test_a_valid_entry_under_an_odd_name_is_not_used() {
    let (mut gateway, replicas) = fleet(NameReading::Decoded, 100).await;
    let listener = TcpListener::bind(format!("{}:0", gateway.replicas_ip())).await.expect("a port");
    let entry = replica_entry(BOOKING, listener.local_addr().expect("bound"), "hall-1", "ready");
    drop(listener);
    play(&mut gateway, &replicas, &ODD_NAMES, &entry, "after a restart").await;
    ODD_NAMES.iter().for_each(|name| gateway.store.put("servers", name, entry.clone()));
    let last = ODD_NAMES[ODD_NAMES.len() - 1];
    gateway
        .until("the entries are read", async || {
            let log = gateway.lines_with("event=object_unreadable");
            log.lines().filter(|line| line.contains(last)).count() > 1
        })
        .await;
    assert_served(&gateway, &replicas, "at running nodes").await;
}
