//! Streams of a node that is suspended: their ends, their engines and their moves.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use leadstage_testutils::gateway_replica::StreamFault;
use tokio::time::Instant;

use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::chat;
use crate::gateway_environment::tag;

/// Time from the arrival of a request at its replica to the suspension of its node.
const SUSPENDED_AFTER: Duration = Duration::from_millis(150);
/// A deadline after the last event.
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Events of a generation.
const EVENTS: u64 = 60;

fn with_deadline(mut req: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let deadline_ms = DEADLINE.as_millis().to_string().parse().expect("valid");
    req.headers_mut().insert("leadstage-deadline-ms", deadline_ms);
    req
}

/// Sends a request, and suspends its node for `pause` soon after the request reached one of `replicas`.
async fn call_while_suspended(
    gateway: &Gateway,
    replicas: &[RunningReplica],
    req: Request<Full<Bytes>>,
    pause: Duration,
) -> CallResult {
    let received = || received(replicas);
    let before = received();
    let suspend = async {
        gateway.until("the request reaches a replica", async || received() > before).await;
        tokio::time::sleep(SUSPENDED_AFTER).await;
        gateway.signal(0, "-STOP");
        tokio::time::sleep(pause).await;
        gateway.signal(0, "-CONT");
    };
    let (called, ()) = tokio::join!(gateway.call(0, req), suspend);
    called
}

fn received(replicas: &[RunningReplica]) -> usize {
    replicas.iter().map(|running| running.replica.received_requests().len()).sum()
}

/// Guards against a stream without a length that counts as cut though its end had arrived by the deadline.
#[tokio::test]
async fn test_an_unframed_stream_that_ended_during_a_suspension_is_complete() {
    let (gateway, _bookings, models) = Gateway::with_replicas(1).await;
    gateway.engines.set_stream_faults([StreamFault::Unframed]);
    let called = call_while_suspended(&gateway, &models, with_deadline(chat("r-1")), DEADLINE).await;
    assert!(called.whole, "{:?}\n{}", called.events(), gateway.logs());
    assert_eq!(called.events(), Some(EVENTS));
}

/// Bytes added to each event: the whole stream is larger than what may wait for its caller.
const PADDING: usize = 16 << 10;

/// Guards against a large stream that is cut while the events that had arrived are passed on.
#[tokio::test]
async fn test_a_large_stream_that_arrived_during_a_suspension_is_delivered() {
    let (gateway, _bookings, models) = Gateway::with_replicas(1).await;
    models[0].replica.set_padding(PADDING);
    let called = call_while_suspended(&gateway, &models, with_deadline(chat("r-1")), DEADLINE).await;
    assert!(called.whole, "{} bytes\n{}", called.body.len(), gateway.logs());
    assert!(called.body.len() > EVENTS as usize * PADDING);
}

/// Time from a deadline to the end of the suspension.
const JUST_AFTER: Duration = Duration::from_millis(25);

/// Guards against a stream that is cut because its node went on just after the deadline, instead of later.
#[tokio::test]
async fn test_a_stream_is_delivered_if_the_suspension_ends_just_after_its_deadline() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let suspend = async {
        let ends_at = Instant::now() + DEADLINE + JUST_AFTER;
        tokio::time::sleep(SUSPENDED_AFTER).await;
        gateway.signal(0, "-STOP");
        tokio::time::sleep_until(ends_at).await;
        gateway.signal(0, "-CONT");
    };
    let (called, ()) = tokio::join!(gateway.call(0, with_deadline(chat("r-1"))), suspend);
    assert!(called.whole, "{:?}\n{}", called.events(), gateway.logs());
}

/// Guards against a healthy engine that is taken for silent: a resumable stream is then read twice.
#[tokio::test]
async fn test_a_resumable_stream_stays_at_its_engine_after_a_suspension() {
    let (gateway, _bookings, models) = Gateway::with_replicas(2).await;
    for pause in [1_000, 2_000, 5_000] {
        let before = received(&models);
        let called = call_while_suspended(&gateway, &models, tag("r-1"), Duration::from_millis(pause)).await;
        assert!(called.whole, "{pause} ms: {:?}\n{}", called.events(), gateway.logs());
        assert_eq!(called.events(), Some(EVENTS));
        assert_eq!(received(&models), before + 1, "{pause} ms\n{}", gateway.logs());
    }
}

/// Delay of a response's head, during the suspension.
const HEAD_DELAY: Duration = Duration::from_millis(900);

/// Guards against an engine that is abandoned before the head of its response, which had arrived, is read.
#[tokio::test]
async fn test_an_engine_whose_head_arrived_during_a_suspension_is_kept() {
    let (gateway, _bookings, models) = Gateway::with_replicas(2).await;
    gateway.engines.set_stream_faults([StreamFault::Late(HEAD_DELAY)]);
    let called = call_while_suspended(&gateway, &models, tag("r-1"), Duration::from_secs(2)).await;
    assert!(called.whole, "{:?}\n{}", called.events(), gateway.logs());
    assert_eq!(received(&models), 1, "{}", gateway.logs());
}
