//! Resumable streams continue on another engine after the last event that the caller received.

use std::time::Duration;

use leadstage_testutils::gateway_replica::ReceivedRequest;
use leadstage_testutils::gateway_replica::StreamFault;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::chat;
use crate::gateway_environment::send;
use crate::gateway_environment::tag;

/// Number of events in a generation of the stand-in engine.
const EVENTS: u64 = 60;

/// The faults of successive engines that receive the stream.
struct FaultCase {
    name: &'static str,
    faults: &'static [StreamFault],
}

/// Longer than the latency objective, after which the engine is suspect, and shorter than twice the
/// objective, after which the stream is sent to another engine.
const RESPONSE_DELAY: Duration = Duration::from_millis(750);

const FAULT_CASES: [FaultCase; 14] = [
    FaultCase { name: "none", faults: &[] },
    FaultCase { name: "dies before its head", faults: &[StreamFault::NoHead] },
    FaultCase { name: "fails it", faults: &[StreamFault::Fails] },
    FaultCase { name: "did not run it", faults: &[StreamFault::NotExecuted] },
    FaultCase { name: "answers late", faults: &[StreamFault::Late(RESPONSE_DELAY)] },
    FaultCase { name: "never answers", faults: &[StreamFault::Hangs] },
    FaultCase { name: "breaks before an event", faults: &[StreamFault::BreaksAfter(0)] },
    FaultCase { name: "breaks between events", faults: &[StreamFault::BreaksAfter(7)] },
    FaultCase { name: "breaks inside an event", faults: &[StreamFault::BreaksInside(7)] },
    FaultCase { name: "breaks after the last event", faults: &[StreamFault::BreaksAfter(EVENTS)] },
    FaultCase { name: "falls silent", faults: &[StreamFault::StallsAfter(7)] },
    FaultCase {
        name: "the second breaks too",
        faults: &[StreamFault::BreaksAfter(7), StreamFault::BreaksInside(20)],
    },
    FaultCase {
        name: "all break",
        faults: &[StreamFault::BreaksAfter(7), StreamFault::BreaksAfter(20), StreamFault::BreaksAfter(30)],
    },
    FaultCase {
        name: "the second starts over",
        faults: &[StreamFault::BreaksAfter(7), StreamFault::StartsOver],
    },
];

fn received_requests(models: &[RunningReplica]) -> Vec<ReceivedRequest> {
    models.iter().flat_map(|model| model.replica.received_requests()).collect()
}

/// Returns the signature of the engine whose response head was sent to the caller.
fn first_engine_signature(logs: &str) -> Option<String> {
    let begins = logs.lines().find(|line| line.contains("event=stream_begins"))?;
    let engine = begins.split_whitespace().find_map(|word| word.strip_prefix("upstream="))?;
    Some(format!("sig-{engine}"))
}

/// Whatever faults the engines have, the caller receives each event once, whole and in order, and an end only
/// after the last event. The head is that of the first engine, and no more engines are tried than the route
/// allows.
#[tokio::test]
async fn test_resumed_streams_have_no_gaps_or_repeats() {
    let mut rows = Vec::new();
    for (n, case) in FAULT_CASES.iter().enumerate() {
        let (gateway, _bookings, models) = Gateway::with_replicas(4).await;
        let id = format!("r-{n}");
        gateway.engines.set_stream_faults(case.faults.iter().copied());
        let called = gateway.call(0, tag(&id)).await;
        let events = called.events();
        let logs = gateway.logs();
        assert!(events.is_some() || called.status != 200, "{}: {}\n{logs}", case.name, called.body);
        if called.status == 200 {
            assert_eq!(called.whole, events == Some(EVENTS), "{}: {events:?}\n{logs}", case.name);
            let signature = called.header("leadstage-server-signature");
            assert_eq!(signature, first_engine_signature(&logs).as_deref(), "{}\n{logs}", case.name);
        }
        let seen = received_requests(&models);
        assert!(seen.len() <= 3, "{}: {} engines\n{logs}", case.name, seen.len());
        let mut resumed: Vec<&str> = seen.iter().filter_map(|seen| seen.header("last-event-id")).collect();
        resumed.sort_by_key(|id| id.len());
        rows.push(format!(
            "{}: status {}, whole {}, events {events:?}, engines {}, resumed after {resumed:?}",
            case.name,
            called.status,
            called.whole,
            seen.len()
        ));
        gateway.until("no generation runs", async || models.iter().all(|m| m.replica.running() == 0)).await;
    }
    insta::assert_snapshot!(rows.join("\n"), @r#"
    none: status 200, whole true, events Some(60), engines 1, resumed after []
    dies before its head: status 200, whole true, events Some(60), engines 2, resumed after []
    fails it: status 200, whole true, events Some(60), engines 2, resumed after []
    did not run it: status 200, whole true, events Some(60), engines 2, resumed after []
    answers late: status 200, whole true, events Some(60), engines 1, resumed after []
    never answers: status 200, whole true, events Some(60), engines 2, resumed after []
    breaks before an event: status 200, whole true, events Some(60), engines 2, resumed after []
    breaks between events: status 200, whole true, events Some(60), engines 2, resumed after ["7"]
    breaks inside an event: status 200, whole true, events Some(60), engines 2, resumed after ["7"]
    breaks after the last event: status 200, whole true, events Some(60), engines 2, resumed after ["60"]
    falls silent: status 200, whole true, events Some(60), engines 2, resumed after ["7"]
    the second breaks too: status 200, whole true, events Some(60), engines 3, resumed after ["7", "20"]
    all break: status 200, whole false, events Some(30), engines 3, resumed after ["7", "20"]
    the second starts over: status 200, whole true, events Some(60), engines 3, resumed after ["7", "7"]
    "#);
}

/// A caller that reconnects sends the ID of the last event that it received. On a resumable route the header
/// is forwarded to the engine, on other routes it is not.
#[tokio::test]
async fn test_last_event_id_of_a_caller_reaches_the_engine_on_resumable_routes() {
    let (gateway, _bookings, models) = Gateway::with_replicas(1).await;
    let mut reconnect = tag("r-1");
    reconnect.headers_mut().insert("last-event-id", "40".parse().expect("valid"));
    let called = gateway.call(0, reconnect).await;
    assert_eq!((called.whole, called.last_event_after(40)), (true, Some(EVENTS)), "{}", called.body);
    let mut other = chat("r-2");
    other.headers_mut().insert("last-event-id", "40".parse().expect("valid"));
    assert_eq!(gateway.call(0, other).await.events(), Some(EVENTS));
    let named: Vec<bool> = models[0]
        .replica
        .received_requests()
        .iter()
        .map(|seen| seen.header("last-event-id").is_some())
        .collect();
    assert_eq!(named, [true, false]);
}

/// If the engine of a reconnected caller breaks off before it sends an event, the stream is resumed after the
/// event in the caller's `last-event-id`, not from the first event.
#[tokio::test]
async fn test_a_reconnected_stream_resumes_after_a_break() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(2).await;
    gateway.engines.set_stream_faults([StreamFault::BreaksAfter(40)]);
    let mut reconnect = tag("r-1");
    reconnect.headers_mut().insert("last-event-id", "40".parse().expect("valid"));
    let called = gateway.call(0, reconnect).await;
    assert_eq!((called.whole, called.last_event_after(40)), (true, Some(EVENTS)), "{}", gateway.logs());
}

/// A stream that is not resumable ends where its engine breaks it off.
#[tokio::test]
async fn test_non_resumable_streams_are_not_retried() {
    let (gateway, _bookings, models) = Gateway::with_replicas(3).await;
    for fault in [StreamFault::NoHead, StreamFault::Fails, StreamFault::BreaksAfter(7)] {
        gateway.engines.set_stream_faults([fault]);
        let before = received_requests(&models).len();
        let called = gateway.call(0, chat("r-1")).await;
        assert!(called.status != 200 || !called.whole, "{fault:?}");
        assert_eq!(received_requests(&models).len(), before + 1, "{fault:?}");
    }
}

/// No engine is asked to resume a stream whose caller has disconnected.
#[tokio::test]
async fn test_a_stream_is_not_resumed_after_its_caller_disconnected() {
    let (gateway, _bookings, models) = Gateway::with_replicas(2).await;
    gateway.engines.set_stream_faults([StreamFault::StallsAfter(7)]);
    let answer = send(&gateway.client_address(0), tag("r-1")).await.expect("the stream begins");
    drop(answer);
    gateway.until("the generation ends", async || models.iter().all(|m| m.replica.running() == 0)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(received_requests(&models).len(), 1);
}
