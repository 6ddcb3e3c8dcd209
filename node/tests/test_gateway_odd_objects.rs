//! Odd objects of other writers in the store, some of which no JSON writer makes, and odd datagrams: nodes go on serving,
//! and follow what changes later.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::upgrade::AnnouncedUpgrades;
use serde_json::json;
use tokio::net::UdpSocket;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::config;

/// Kinds of objects that nodes read.
const KINDS: [&str; 5] = ["servers", "config", "crash-suspects", "evacuations", "rollouts"];
/// Levels of nesting, or digits, of an odd value.
const LEVELS: usize = 100_000;
/// Length of an odd text.
const TEXT_BYTES: usize = 100 << 10;
/// Maximum length of a line of a log.
const MAX_LINE_BYTES: usize = 2 << 10;

fn odd_specs() -> Vec<Vec<u8>> {
    let specs =
        ["1e999", "NaN", "{\"slots\": Infinity}", "{\"slots\": 01}", "{\"slots\": \"\0\"}", "\"\\ud800\""];
    let mut specs: Vec<Vec<u8>> = specs.map(|spec| spec.as_bytes().to_vec()).into();
    specs.push(["[".repeat(LEVELS), "]".repeat(LEVELS)].concat().into_bytes());
    specs.push("9".repeat(LEVELS).into_bytes());
    specs.push(b"\"\xff\xfe\"".to_vec());
    specs.push(format!("{{\"slots\": \"{}\"}}", "x".repeat(TEXT_BYTES)).into_bytes());
    specs
}

/// Sends calls to a node until one of them reaches the replica; all of them are served.
async fn until_used(gateway: &Gateway, node: usize, running: &RunningReplica) {
    let calls =
        || running.replica.received_requests().iter().filter(|req| req.line.contains("/read/")).count();
    let before = calls();
    gateway
        .until("the replica is used", async || {
            assert_eq!(gateway.status_of(node, "/read/x", KEY).await, 200, "{}", gateway.logs());
            calls() > before
        })
        .await;
}

#[tokio::test]
async fn test_odd_objects_neither_end_nodes_nor_keep_them_from_following_the_store() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let booking = gateway.start_replica(BOOKING, "booking", 1).await;
    let with_upgrades =
        |yaml: String| yaml.replace("bounds: {", "bounds: {exposure_share: 0.1, exposure_slack: 10, ");
    gateway.start_node_with(with_upgrades);
    gateway.until_ready(0).await;
    for (n, spec) in odd_specs().into_iter().enumerate() {
        for kind in KINDS {
            let name = format!("odd {n}");
            let metadata = json!({"name": name, "revision": 1, "made": 1}).to_string();
            let parts =
                [b"{\"metadata\": ", metadata.as_bytes(), b", \"spec\": ", &spec, b", \"status\": null}"];
            gateway.store.put_raw(kind, &name, parts.concat());
        }
        // The last name of a page is part of the path of the next one.
        gateway.store.set_page_size(1 + n % 3);
        let later = gateway.start_replica(BOOKING, &format!("later-{n}"), 1).await;
        until_used(&gateway, 0, &later).await;
        let started = gateway.start_node_with(with_upgrades);
        gateway.until_ready(started).await;
        until_used(&gateway, started, &later).await;
        gateway.drain(BOOKING, &later);
        gateway.store.put("config", "main", config(2 + n as u64));
        gateway
            .until("the next configuration is in force", async || {
                let in_force = format!("event=config_in_force version={}", 2 + n);
                gateway.log(0).contains(&in_force) && gateway.log(started).contains(&in_force)
            })
            .await;
        gateway.kill(started);
    }
    until_used(&gateway, 0, &booking).await;
    assert_eq!(gateway.ended(0), None, "it runs");
    let logged = gateway.lines_with("event=object_unreadable");
    assert!(logged.contains("kind=servers name=\"odd 0\""), "{logged}");
    assert!(logged.lines().all(|line| line.len() <= MAX_LINE_BYTES), "{logged:.4000}");
}

/// Guards against nodes that end because the path of a call to the store would have the name of an object.
#[tokio::test]
async fn test_names_that_a_path_cannot_have_do_not_end_nodes() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    gateway.start_node_with(|yaml| {
        yaml.replace("bounds: {", "bounds: {exposure_share: 0.1, exposure_slack: 10, ")
    });
    let _booking = gateway.start_replica(BOOKING, "booking", 1).await;
    gateway.until_ready(0).await;
    gateway.store.put("rollouts", "an odd name", json!({}));
    let status = || gateway.store.status("rollouts", "an odd name").expect("it exists");
    gateway.until("the order is refused", async || status()["state"] == "rolled_back").await;
    gateway.store.put("servers", "an odd name", json!({}));
    gateway.store.set_page_size(1);
    let later = gateway.start_node();
    gateway.until_ready(later).await;
    for node in [0, later] {
        gateway.until("it serves", async || gateway.status_of(node, "/read/x", KEY).await == 200).await;
    }
}

/// Datagrams that are cut, have odd bytes, or announce collections of any length.
#[tokio::test]
async fn test_odd_datagrams_do_not_end_nodes() {
    const MESSAGE_KINDS: u8 = 32;
    let (gateway, _booking) = Gateway::with_nodes(1).await;
    let from: SocketAddr = "127.0.0.1:7003".parse().expect("an address");
    let head = (from, 1_u64, 1_u64, ClosedHalls::default(), 0_u64, 0_u64, AnnouncedUpgrades::default());
    let head = postcard::to_stdvec(&head).expect("it can be encoded");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let to: SocketAddr = gateway.peer(0).parse().expect("an address");
    for kind in 0..MESSAGE_KINDS {
        for fill in [0, 1, 2, 0x7f, 0x80, 0xff] {
            for bytes in [0, 1, 2, 3, 7, 11, 30, 300, 9_000] {
                let mut datagram = [&*head, &[kind]].concat();
                datagram.resize(datagram.len() + bytes, fill);
                socket.send_to(&datagram, to).await.expect("it is sent");
            }
            // The socket of the node keeps all of them.
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    for at in 0..head.len() {
        socket.send_to(&head[..at], to).await.expect("it is sent");
        for byte in [0x7f, 0xff] {
            let mut datagram = [&*head, &[14]].concat();
            datagram[at] = byte;
            socket.send_to(&datagram, to).await.expect("it is sent");
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    gateway.until("it serves", async || gateway.status_of(0, "/read/x", KEY).await == 200).await;
}
