//! For some seconds the load balancer hands most new connections to one node, while callers open more of them.

use std::time::Duration;

use leadstage_testutils::gateway_replica::ReplicaFault;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::read;

const NODES: usize = 3;
const REPLICAS: usize = 3;
/// Time for which requests come, evenly and then unevenly.
const SPAN: Duration = Duration::from_secs(3);
/// Requests a second while connections are spread evenly.
const EVEN_RATE: u32 = 40;
/// How many times as many come to the node that gets nine of ten connections.
const SURGE: u32 = 3;
/// One request in this many is for a stream.
const STREAM_STRIDE: u32 = 4;

/// Sends requests at `rate` a second, each on a new connection to the node that `node_for` picks; returns the
/// fraction that is served at the first attempt.
async fn served(gateway: &Gateway, rate: u32, node_for: impl Fn(u32) -> usize) -> f64 {
    let sent = rate * SPAN.as_secs() as u32;
    let calls = (0..sent).map(|n| {
        let node = node_for(n);
        async move {
            tokio::time::sleep(SPAN * n / sent).await;
            let id = format!("r-{rate}-{n}");
            let req = if n.is_multiple_of(STREAM_STRIDE) { chat(&id) } else { read(&id) };
            let called = gateway.call(node, req).await;
            called.status == 200 && called.whole
        }
    });
    let served = futures::future::join_all(calls).await;
    served.iter().filter(|served| **served).count() as f64 / f64::from(sent)
}

#[tokio::test]
async fn test_a_node_that_gets_most_new_connections_serves_their_requests() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let mut replicas = Vec::new();
    for n in 1..=REPLICAS {
        let booking = gateway.start_replica(BOOKING, &format!("booking-{n}"), 1).await;
        booking.replica.set_fault(ReplicaFault::Late(Duration::from_millis(20)));
        replicas.push(booking);
        replicas.push(gateway.start_replica(MODEL, &format!("model-{n}"), 10).await);
    }
    for node in 0..NODES {
        gateway.start_node();
        gateway.until_ready(node).await;
    }
    let evenly = served(&gateway, EVEN_RATE, |n| n as usize % NODES).await;
    let to_one = |n: u32| if n.is_multiple_of(10) { 1 + n as usize / 10 % (NODES - 1) } else { 0 };
    let unevenly = served(&gateway, EVEN_RATE * SURGE, to_one).await;
    assert!(evenly > 0.95, "{evenly}\n{}", gateway.logs());
    assert!(unevenly >= 0.75 * evenly, "{unevenly} of {evenly}\n{}", gateway.logs());
}
