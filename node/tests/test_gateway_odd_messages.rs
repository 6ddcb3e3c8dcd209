//! Messages between nodes with values that no node sends.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::upgrade::AnnouncedUpgrades;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;

/// The position of `PeerMessage::Place` among the messages.
const PLACE: u32 = 3;

/// Sends a message from the node at `from` to the node at `to`.
async fn send<M: Serialize>(from: SocketAddr, to: SocketAddr, kind: u32, message: &M) {
    let head = (from, 0_u64, 0_u64, ClosedHalls::default(), 0_u64, 0_u64, AnnouncedUpgrades::default());
    let datagram = postcard::to_stdvec(&(head, kind, message)).expect("it can be encoded");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    socket.send_to(&datagram, to).await.expect("it is sent");
}

/// Guards against a time that ends the process when it is added to the current one.
#[tokio::test]
async fn test_a_node_outlives_generations_that_wait_for_ever() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let to: SocketAddr = gateway.peer(0).parse().expect("an address");
    let from = SocketAddr::new(to.ip(), 9);
    let ids: Vec<&str> = Vec::new();
    for run in 0..4_u64 {
        // The first one fills the engine, the others wait.
        let size = Some(if run == 0 { (33_000_u32, 900_u32) } else { (1, 900) });
        let (from_engine, regions, organisation) = (None::<&str>, None::<Vec<&str>>, None::<&str>);
        let limits = (regions, false, organisation, Some(Duration::MAX));
        let wanted = (MODEL, size, 0_u32, from_engine, "hall-1", &ids, &ids, limits);
        send(from, to, PLACE, &(run, wanted, 0_u8, Duration::MAX, Duration::MAX)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(gateway.ended(0), None, "the node ended\n{}", gateway.logs());
    assert!(gateway.log(0).contains("event=engine_chosen"), "the messages are read\n{}", gateway.logs());
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
}
