//! Nodes that are suspended while a response arrives, until after its deadline.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use leadstage_testutils::gateway_replica::ReplicaFault;
use tokio::net::TcpStream;

use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::book;
use crate::gateway_environment::chat;
use crate::gateway_environment::read;

/// Deadline of the requests. All responses are complete before it.
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Time from the arrival of a request at its replica to the suspension of its node.
const SUSPENDED_AFTER: Duration = Duration::from_millis(150);
/// Delay of the responses to plain calls: they arrive during the suspension.
const RESPONSE_DELAY: Duration = Duration::from_millis(400);
/// Callers that connect at the same time.
const CONNECTING_CALLERS: usize = 400;
/// A connection that finds the queue full is requested again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);
/// Longer than an idle connection has to rest before it is reused.
const REUSE_DELAY: Duration = Duration::from_millis(60);

fn with_deadline(mut req: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let deadline_ms = DEADLINE.as_millis().to_string();
    req.headers_mut().insert("leadstage-deadline-ms", deadline_ms.parse().expect("valid"));
    req
}

/// Sends a request, and suspends its node from soon after the request reached `replica` until the deadline
/// has passed.
async fn call_while_suspended(
    gateway: &Gateway,
    replica: &RunningReplica,
    req: Request<Full<Bytes>>,
) -> CallResult {
    let received = || replica.replica.received_requests().len();
    let before = received();
    let suspend = async {
        gateway.until("the request reaches the replica", async || received() > before).await;
        tokio::time::sleep(SUSPENDED_AFTER).await;
        gateway.signal(0, "-STOP");
        tokio::time::sleep(DEADLINE).await;
        gateway.signal(0, "-CONT");
    };
    let (called, ()) = tokio::join!(gateway.call(0, with_deadline(req)), suspend);
    assert_eq!(received(), before + 1, "the request is sent once\n{}", gateway.logs());
    called
}

/// Guards against a stream that ends early although all of its events had arrived at its node by the deadline.
#[tokio::test]
async fn test_a_stream_that_arrived_during_a_suspension_is_delivered() {
    let (gateway, _bookings, models) = Gateway::with_replicas(1).await;
    let called = call_while_suspended(&gateway, &models[0], chat("r-1")).await;
    assert!(called.whole, "{:?}\n{}", called.events(), gateway.logs());
    assert_eq!(called.events(), Some(60));
}

/// Guards against a call that fails, or is sent again, although its response had arrived at its node by the
/// deadline: on a new connection to the replica and on an idle one.
#[tokio::test]
async fn test_a_response_that_arrived_during_a_suspension_is_delivered() {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    bookings[0].replica.set_fault(ReplicaFault::Late(RESPONSE_DELAY));
    for req in [read("r-1"), read("r-2"), book("b-1")] {
        let called = call_while_suspended(&gateway, &bookings[0], req).await;
        assert_eq!((called.status, called.whole), (200, true), "{called:?}\n{}", gateway.logs());
        tokio::time::sleep(REUSE_DELAY).await;
    }
}

/// Guards against callers that wait a second, or fail, because their node can't queue their connections while
/// it is suspended for a moment.
#[tokio::test]
async fn test_many_callers_connect_while_their_node_is_suspended() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.signal(0, "-STOP");
    let address = gateway.client_address(0);
    let connecting = (0..CONNECTING_CALLERS).map(|_| TcpStream::connect(&address));
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, futures::future::join_all(connecting)).await;
    gateway.signal(0, "-CONT");
    let connected = connecting.expect("all connections are queued").iter().filter(|one| one.is_ok()).count();
    assert_eq!(connected, CONNECTING_CALLERS);
    assert_eq!(gateway.call(0, read("r-1")).await.status, 200, "{}", gateway.logs());
}
