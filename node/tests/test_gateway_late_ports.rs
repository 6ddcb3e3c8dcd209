//! Ports and addresses that come late: a node that starts waits for those that it needs, and needs no metrics
//! port.

use std::net::TcpListener;
use std::net::UdpSocket;
use std::time::Duration;

use leadstage_testutils::gateway_replica::ReplicaFault;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::WAIT_TIMEOUT;
use crate::gateway_environment::book;
use crate::gateway_environment::config;

/// An address that no interface has (RFC 5737). Nothing is sent to it.
const ABSENT_IP: &str = "192.0.2.1";
/// How long a node that waits for a port is watched.
const WATCH_TIME: Duration = Duration::from_millis(600);

/// A port of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Callers,
    Ready,
    Peer,
    PeerDatagrams,
    Metrics,
}

/// A port that is taken until this is dropped.
#[derive(Debug)]
enum Taken {
    Tcp { _listener: TcpListener },
    Udp { _socket: UdpSocket },
}

/// Takes a port of a node that has not been started.
fn take(gateway: &Gateway, node: usize, port: Port) -> Taken {
    let address = match port {
        Port::Callers => gateway.client_address(node),
        Port::Ready => gateway.ready(node),
        Port::Peer | Port::PeerDatagrams => gateway.peer(node),
        Port::Metrics => gateway.metrics(node),
    };
    if port == Port::PeerDatagrams {
        return Taken::Udp { _socket: UdpSocket::bind(address).expect("the port is free") };
    }
    Taken::Tcp { _listener: TcpListener::bind(address).expect("the port is free") }
}

/// Starts a fleet with a replica and without nodes.
async fn fleet() -> (Gateway, RunningReplica) {
    let gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let booking = gateway.start_replica(BOOKING, "booking-1", 1).await;
    (gateway, booking)
}

/// Waits until a node logs that a port is not available; panics if it ends instead.
async fn wait_until_port_is_missed(gateway: &mut Gateway, node: usize) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !gateway.log(node).contains("event=port_unavailable") {
        let ended = gateway.ended(node);
        assert_eq!(ended, None, "the node ended\n{}", gateway.logs());
        assert!(tokio::time::Instant::now() < deadline, "the node misses no port\n{}", gateway.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a node while `ports` are taken, and checks that it is not ready before they are free, and serves then.
async fn check_node_waits_for(ports: &[Port]) {
    let (mut gateway, _booking) = fleet().await;
    let taken: Vec<Taken> = ports.iter().map(|port| take(&gateway, 0, *port)).collect();
    gateway.start_node();
    wait_until_port_is_missed(&mut gateway, 0).await;
    let watched_until = tokio::time::Instant::now() + WATCH_TIME;
    while tokio::time::Instant::now() < watched_until {
        let ready = gateway.log(0).contains("event=serving") && ports != [Port::Ready];
        assert!(!ready, "the node is ready without {ports:?}\n{}", gateway.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(gateway.ended(0), None, "the node ended\n{}", gateway.logs());
    assert_eq!(gateway.log(0).matches("event=port_unavailable").count(), lines_of(ports));
    drop(taken);
    gateway.until_ready(0).await;
    let called = gateway.call(0, book("r-1")).await;
    assert_eq!(called.status, 200, "{called:?}\n{}", gateway.logs());
    gateway.until("the wait to be logged", async || gateway.log(0).contains("event=port_bound")).await;
}

/// The number of lines that tell of unavailable ports: one for each, whatever the number of attempts. A node that
/// lacks a peer port does not bind other ports yet.
fn lines_of(ports: &[Port]) -> usize {
    if ports.contains(&Port::Peer) || ports.contains(&Port::PeerDatagrams) { 1 } else { ports.len() }
}

#[tokio::test]
async fn test_a_node_whose_callers_port_is_taken_serves_once_it_is_free() {
    check_node_waits_for(&[Port::Callers]).await;
}

#[tokio::test]
async fn test_a_node_whose_ready_port_is_taken_serves_once_it_is_free() {
    check_node_waits_for(&[Port::Ready]).await;
}

#[tokio::test]
async fn test_a_node_whose_peer_port_is_taken_serves_once_it_is_free() {
    check_node_waits_for(&[Port::Peer]).await;
}

#[tokio::test]
async fn test_a_node_whose_datagram_port_is_taken_serves_once_it_is_free() {
    check_node_waits_for(&[Port::PeerDatagrams]).await;
}

#[tokio::test]
async fn test_a_node_whose_ports_are_all_taken_serves_once_they_are_free() {
    use Port::*;
    check_node_waits_for(&[Callers, Ready, Peer, PeerDatagrams, Metrics]).await;
}

/// Guards against a node that is ready while callers can't connect to it.
#[tokio::test]
async fn test_a_node_is_not_ready_while_its_callers_port_is_taken() {
    let (mut gateway, _booking) = fleet().await;
    let taken = take(&gateway, 0, Port::Callers);
    gateway.start_node();
    wait_until_port_is_missed(&mut gateway, 0).await;
    gateway.until("the ready port to listen", async || gateway.ready_status(0).await != 0).await;
    gateway.until("the configuration", async || gateway.log(0).contains("event=config_in_force")).await;
    tokio::time::sleep(WATCH_TIME).await;
    assert_eq!(gateway.ready_status(0).await, 503, "{}", gateway.logs());
    drop(taken);
    gateway.until_ready(0).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
}

#[tokio::test]
async fn test_a_node_without_its_metrics_port_serves() {
    let (mut gateway, _booking) = fleet().await;
    let taken = take(&gateway, 0, Port::Metrics);
    gateway.start_node();
    gateway.until_ready(0).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    wait_until_port_is_missed(&mut gateway, 0).await;
    drop(taken);
    gateway.until("metrics", async || gateway.node_status(0).await.vm == "node-0").await;
}

/// An address that can never be bound.
#[tokio::test]
async fn test_a_node_whose_metrics_address_is_invalid_serves() {
    let (mut gateway, _booking) = fleet().await;
    let metrics = format!("metrics: {}", gateway.metrics(0));
    gateway.start_node_with(|yaml| yaml.replace(&metrics, "metrics: '[fe80::1]:7004'"));
    gateway.until_ready(0).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
}

/// Starts a node with an address that is not there, and checks that the node waits and can be stopped.
async fn check_node_waits_for_address(setting: &str, address: impl Fn(&Gateway) -> String) {
    let (mut gateway, _booking) = fleet().await;
    let line = format!("{setting}: {}", address(&gateway));
    gateway.start_node_with(|yaml| yaml.replace(&line, &format!("{setting}: {ABSENT_IP}:7001")));
    wait_until_port_is_missed(&mut gateway, 0).await;
    tokio::time::sleep(WATCH_TIME).await;
    assert_eq!(gateway.ended(0), None, "the node ended\n{}", gateway.logs());
    assert!(!gateway.log(0).contains("event=serving") || setting == "ready", "{}", gateway.logs());
    gateway.signal(0, "-TERM");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure\n{}", gateway.logs());
}

/// Guards against a node that ends because its machine's interface is not up yet.
#[tokio::test]
async fn test_a_node_waits_for_the_address_of_its_callers_port() {
    check_node_waits_for_address("listen", |gateway| gateway.client_address(0)).await;
}

#[tokio::test]
async fn test_a_node_waits_for_the_address_of_its_ready_port() {
    check_node_waits_for_address("ready", |gateway| gateway.ready(0)).await;
}

#[tokio::test]
async fn test_a_node_waits_for_the_address_of_its_peer_port() {
    check_node_waits_for_address("peer", |gateway| gateway.peer(0)).await;
}

/// Guards against a process that is started while the earlier one still drains, and ends because of its ports.
#[tokio::test]
async fn test_a_process_started_beside_a_draining_one_takes_over_its_ports() {
    let (mut gateway, booking) = fleet().await;
    gateway.start_node();
    gateway.until_ready(0).await;
    booking.replica.set_fault(ReplicaFault::Late(Duration::from_millis(2_500)));
    let address = gateway.client_address(0);
    let open = tokio::spawn(async move { crate::gateway_environment::call(&address, book("r-1")).await });
    gateway.until("the call to run", async || !booking.replica.received_requests().is_empty()).await;
    gateway.signal(0, "-TERM");
    let settings = gateway.settings(0, gateway.store_address(), "");
    let new = gateway.start_node_with(|_| settings.clone());
    wait_until_port_is_missed(&mut gateway, new).await;
    assert_eq!(gateway.ended(0), None, "the earlier process still serves the call");
    let called = open.await.expect("no panic");
    assert_eq!(called.status, 200, "{called:?}");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure\n{}", gateway.logs());
    booking.replica.set_fault(ReplicaFault::None);
    gateway.until_ready(0).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    assert_eq!(gateway.ended(new), None, "{}", gateway.logs());
}

/// Starts a node whose `port` is taken, and checks that a planned stop ends it without a failure.
async fn check_stop_while_waiting_for(port: Port) {
    let (mut gateway, _booking) = fleet().await;
    let _taken = take(&gateway, 0, port);
    gateway.start_node();
    wait_until_port_is_missed(&mut gateway, 0).await;
    gateway.signal(0, "-TERM");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure\n{}", gateway.logs());
    assert!(gateway.log(0).contains("event=stopped"), "{}", gateway.logs());
    assert!(!gateway.log(0).contains("event=stop_bound"), "{}", gateway.logs());
}

#[tokio::test]
async fn test_a_node_that_waits_for_its_callers_port_can_be_stopped() {
    check_stop_while_waiting_for(Port::Callers).await;
}

#[tokio::test]
async fn test_a_node_that_waits_for_its_peer_port_can_be_stopped() {
    check_stop_while_waiting_for(Port::Peer).await;
}
