//! Calls that arrive late in a planned stop, or that last until its end: each is answered, refused without
//! being run, or not accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use leadstage_testutils::faulty_proxy::OpenLinks;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::gateway_replica::StreamFault;
use leadstage_testutils::metadata_store::replica_entry;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::book;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::test_gateway_partitioned_nodes::node_ip;

/// Duration of calls that can't end in a stop of 6 s if they arrive at `LATE`.
const LONG_CALL: Duration = Duration::from_secs(3);
/// Times after the signal at which calls arrive when the balancer has detected the stop.
const LATE: [Duration; 3] =
    [Duration::from_millis(2_900), Duration::from_millis(3_100), Duration::from_millis(3_300)];
/// Time at which a call arrives that can end in time; the node listens until it has ended.
const IN_TIME: Duration = Duration::from_millis(2_000);
/// Longest time until a node refuses a call that it can't serve, on a busy machine.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);
/// The code of a call that its replica did not answer before the end of the stop.
const STOP_UNANSWERED: u64 = 3005;

/// Builds a call with an id.
type Builder = fn(&str) -> Request<Full<Bytes>>;

/// Sends calls on new connections, each at its time after `began`.
async fn call_at(
    gateway: &Gateway,
    node: usize,
    began: Instant,
    times: &[Duration],
    build: Builder,
) -> BTreeMap<String, CallResult> {
    let calls = times.iter().enumerate().map(|(n, at)| async move {
        let id = format!("late-{node}-{n}");
        tokio::time::sleep_until(began + *at).await;
        let called = gateway.call(node, build(&id)).await;
        (id, called)
    });
    join_all(calls).await.into_iter().collect()
}

/// Number of runs of each request at some replicas.
fn runs(replicas: &[RunningReplica]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for replica in replicas {
        for seen in replica.replica.received_requests() {
            *runs.entry(seen.header("leadstage-request-id").unwrap_or("").to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Calls that reached a replica and have no answer, or one that denies that they were run.
fn lost(called: &BTreeMap<String, CallResult>, runs: &BTreeMap<String, usize>) -> Vec<String> {
    let is_lost = |called: &CallResult| !called.whole || matches!(called.status, 0 | 408 | 421 | 429 | 503);
    let lost = called.iter().filter(|(id, called)| runs.contains_key(*id) && is_lost(called));
    lost.map(|(id, called)| format!("{id}: {} {} {}", called.status, called.code(), called.body)).collect()
}

/// Status and code of each call.
fn answers(called: &BTreeMap<String, CallResult>) -> Vec<(u16, u64)> {
    called.values().map(|called| (called.status, called.code())).collect()
}

/// One call in time, and the late ones.
fn in_time_and_late() -> Vec<Duration> {
    [IN_TIME].into_iter().chain(LATE).collect()
}

/// Sends long calls late in the stop of the only node of a hall and checks that none is lost.
async fn check_late_calls_are_answered(build: Builder) {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    bookings[0].replica.set_fault(ReplicaFault::Late(LONG_CALL));
    gateway.signal(0, "-TERM");
    let called = call_at(&gateway, 0, Instant::now(), &in_time_and_late(), build).await;
    assert_eq!(lost(&called, &runs(&bookings)), [""; 0], "{called:?}\n{}", gateway.logs());
    let late_answer = (504, STOP_UNANSWERED);
    assert_eq!(answers(&called), [(200, 0), late_answer, late_answer, late_answer], "{called:?}");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Guards against a stop that cuts calls without an answer.
#[tokio::test]
async fn test_late_calls_that_outlast_a_stop_get_an_answer() {
    check_late_calls_are_answered(book).await;
}

#[tokio::test]
async fn test_late_repeatable_calls_that_outlast_a_stop_get_an_answer() {
    check_late_calls_are_answered(read).await;
}

/// Guards against losing the one slow call of a service whose other calls are quick.
#[tokio::test]
async fn test_an_unexpectedly_slow_call_gets_an_answer_at_the_end_of_a_stop() {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    for n in 0..20 {
        assert_eq!(gateway.call(0, book(&format!("quick-{n}"))).await.status, 200);
    }
    bookings[0].replica.set_fault(ReplicaFault::Late(LONG_CALL));
    gateway.signal(0, "-TERM");
    let called = call_at(&gateway, 0, Instant::now(), &in_time_and_late(), book).await;
    assert_eq!(lost(&called, &runs(&bookings)), [""; 0], "{called:?}\n{}", gateway.logs());
    assert_eq!(answers(&called)[1..], [(504, STOP_UNANSWERED); 3], "quick calls are taken: {called:?}");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Guards against sending calls to a replica when their route's recent calls show that they can't end in time.
#[tokio::test]
async fn test_calls_of_a_slow_route_are_refused_when_they_would_outlast_a_stop() {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    bookings[0].replica.set_fault(ReplicaFault::Late(LONG_CALL));
    let known = gateway.call(0, book("known")).await;
    assert_eq!(known.status, 200, "{known:?}");
    gateway.signal(0, "-TERM");
    let began = Instant::now();
    let early = [Duration::from_millis(300)];
    let (early, late) = tokio::join!(call_at(&gateway, 0, began, &early, book), async {
        tokio::time::sleep_until(began + LATE[0]).await;
        let sent = Instant::now();
        (gateway.call(0, book("refused")).await, sent.elapsed())
    });
    assert_eq!(answers(&early), [(200, 0)], "it ends in time: {early:?}");
    let (refused, took) = late;
    assert_eq!((refused.status, refused.code()), (503, 2108), "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert!(took < MAX_REFUSAL_TIME, "refused after {took:?}");
    assert!(!runs(&bookings).contains_key("refused"), "it was sent to no replica");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Guards against serving calls of unknown duration late in a stop although another node can serve them.
#[tokio::test]
async fn test_calls_of_unknown_duration_are_left_to_another_node_late_in_a_stop() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let booking = gateway.start_replica(BOOKING, "booking-1", 1).await;
    let model = gateway.start_replica(MODEL, "model-1", 300).await;
    for node in 0..2 {
        gateway.start_node();
        gateway.until_ready(node).await;
    }
    gateway.until("both nodes", async || gateway.node_status(0).await.peers.len() == 1).await;
    booking.replica.set_fault(ReplicaFault::Late(LONG_CALL));
    // A stream keeps the port open.
    let (stream, late) = tokio::join!(gateway.call(0, chat("stream")), async {
        gateway.until("a stream", async || model.replica.running() == 1).await;
        gateway.signal(0, "-TERM");
        let began = Instant::now();
        call_at(&gateway, 0, began, &LATE, book).await
    });
    assert_eq!(stream.events(), Some(300), "{stream:?}");
    assert_eq!(answers(&late), [(503, 2108); 3], "{late:?}\n{}", gateway.logs());
    assert!(runs(&[booking]).is_empty(), "they were sent to no replica");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Guards against refusing calls that their callers' deadlines end before the stop does.
#[tokio::test]
async fn test_calls_with_a_short_deadline_are_served_until_the_end_of_a_stop() {
    let (mut gateway, bookings, models) = Gateway::with_replicas(1).await;
    let short = |id: &str| {
        let mut req = book(id);
        req.headers_mut().insert("leadstage-deadline-ms", "700".parse().expect("valid"));
        req
    };
    let mut held = chat("held");
    held.headers_mut().insert("leadstage-token-usage", "100,300".parse().expect("valid"));
    gateway.engines.set_stream_faults([StreamFault::Late(Duration::from_millis(4_000))]);
    // A stream keeps the port open.
    let (_stream, (served, late)) = tokio::join!(gateway.call(0, held), async {
        gateway.until("a stream", async || models[0].replica.received_requests().len() == 1).await;
        gateway.signal(0, "-TERM");
        let began = Instant::now();
        let served = call_at(&gateway, 0, began, &[Duration::from_millis(3_800)], short).await;
        bookings[0].replica.set_fault(ReplicaFault::Late(LONG_CALL));
        (served, gateway.call(0, short("slow")).await)
    });
    assert_eq!(answers(&served), [(200, 0)], "{served:?}\n{}", gateway.logs());
    assert_eq!((late.status, late.code()), (504, 3004), "{late:?}\n{}", gateway.logs());
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Guards against sending a queued call when the room that it waited for is free too late in the stop.
#[tokio::test]
async fn test_a_queued_call_that_is_placed_too_late_in_a_stop_is_refused() {
    let mut gateway = Gateway::start().await;
    let mut patient = config(1);
    patient["routes"][1]["targetLatencyMs"] = 5_000.into();
    gateway.store.put("config", "main", patient);
    // A brittle replica gets no more calls at once than it has slots.
    let bookings = [gateway.start_replica(BOOKING, "booking-1", 1).await];
    bookings[0].replica.set_brittle(Some(100), 1, Duration::ZERO);
    let address = bookings[0].server.as_ref().expect("it serves").address;
    let mut entry = replica_entry(BOOKING, address, "hall-1", "ready");
    entry["slots"] = 1.into();
    gateway.store.put("servers", "booking-1", entry);
    gateway.start_node();
    gateway.until_ready(0).await;
    assert_eq!(gateway.call(0, read("known")).await.status, 200);
    bookings[0].replica.set_fault(ReplicaFault::Late(Duration::from_millis(4_500)));
    let queued_at = [Duration::ZERO, Duration::from_millis(700)];
    let (first, (queued, ())) = tokio::join!(gateway.call(0, book("first")), async {
        gateway.until("a call", async || bookings[0].replica.running() == 1).await;
        tokio::join!(call_at(&gateway, 0, Instant::now(), &queued_at, book), async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            gateway.signal(0, "-TERM");
        })
    });
    assert_eq!(first.status, 200, "{first:?}\n{}", gateway.logs());
    assert_eq!(lost(&queued, &runs(&bookings)), [""; 0], "{queued:?}\n{}", gateway.logs());
    assert_eq!(answers(&queued), [(503, 2108); 2], "{queued:?}\n{}", gateway.logs());
    assert!(queued.values().all(|called| called.header("retry-after").is_some()), "{queued:?}");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Guards against losing answers that replicas give while the node ends.
#[tokio::test]
async fn test_answers_at_the_end_of_a_stop_arrive_whole() {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    gateway.signal(0, "-TERM");
    let began = Instant::now();
    bookings[0].replica.set_fault(ReplicaFault::Late(Duration::from_millis(3_100)));
    // The answers arrive from 5.1 to 5.9 s after the signal.
    let times: Vec<Duration> = (0..20).map(|n| Duration::from_millis(2_000 + n * 40)).collect();
    let called = call_at(&gateway, 0, began, &times, book).await;
    assert_eq!(lost(&called, &runs(&bookings)), [""; 0], "{called:?}\n{}", gateway.logs());
    let served = answers(&called).iter().filter(|(status, _)| *status == 200).count();
    assert!(served > 0, "answers in time are passed on: {called:?}");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Sends long calls to a node whose settings file changes and which gets SIGHUP before and after SIGTERM.
async fn check_reload_around_stop(delay_before: Duration, delay_after: Duration, stop_within: &str) {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    bookings[0].replica.set_fault(ReplicaFault::Late(LONG_CALL));
    let settings = gateway.settings(0, gateway.store_address(), "");
    let changed = settings.replace("stop_within: 6s", &format!("stop_within: {stop_within}"));
    gateway.signal(0, "-HUP");
    tokio::time::sleep(delay_before).await;
    gateway.signal(0, "-TERM");
    let began = Instant::now();
    tokio::time::sleep(delay_after).await;
    std::fs::write(gateway.settings_path(0), changed).expect("writable");
    gateway.signal(0, "-HUP");
    let called = call_at(&gateway, 0, began, &in_time_and_late(), book).await;
    assert_eq!(lost(&called, &runs(&bookings)), [""; 0], "{called:?}\n{}", gateway.logs());
    assert!(called.values().all(|called| called.status != 0), "{called:?}\n{}", gateway.logs());
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Guards against a stop whose bounds change with a reload while it ends when it was to end before.
#[tokio::test]
async fn test_a_reload_in_a_stop_loses_no_calls() {
    tokio::join!(
        check_reload_around_stop(Duration::ZERO, Duration::ZERO, "9s"),
        check_reload_around_stop(Duration::from_millis(20), Duration::from_millis(20), "9s"),
        check_reload_around_stop(Duration::ZERO, Duration::from_millis(500), "3s"),
    );
}

/// Guards against lost calls when the nodes of a hall stop one after the other, so that the last one gets
/// all callers.
#[tokio::test]
async fn test_the_last_node_of_a_hall_that_stops_loses_no_calls() {
    let (mut gateway, booking) = Gateway::with_nodes(2).await;
    gateway.until("both nodes", async || gateway.node_status(0).await.peers.len() == 1).await;
    booking.replica.set_fault(ReplicaFault::Late(Duration::from_millis(1_500)));
    gateway.signal(0, "-TERM");
    let began = Instant::now();
    let times: Vec<Duration> = (0..30).map(|n| Duration::from_millis(100 + n * 200)).collect();
    let (first, second, ()) = tokio::join!(
        call_at(&gateway, 0, began, &times, book),
        call_at(&gateway, 1, began, &times, book),
        async {
            tokio::time::sleep(Duration::from_millis(700)).await;
            gateway.signal(1, "-TERM");
        },
    );
    let runs = runs(&[booking]);
    let called: BTreeMap<String, CallResult> = first.into_iter().chain(second).collect();
    assert_eq!(lost(&called, &runs), [""; 0], "{called:?}\n{}", gateway.logs());
    for (id, called) in called.iter().filter(|(_, called)| called.status == 503) {
        assert!(called.header("retry-after").is_some(), "{id}: {called:?}");
    }
    // The last node's own calls, as long as the balancer sends them there and they can end in time.
    let served = |id: &&String| called[*id].status == 200;
    assert_eq!(called.keys().filter(|id| id.starts_with("late-1-")).take(10).filter(served).count(), 10);
    assert!(gateway.wait_for_exit(0).await && gateway.wait_for_exit(1).await, "the stops are no failures");
}

/// Calls one after the other on one connection, until the node closes it.
async fn call_on_kept_connection(address: &str, name: &str) -> BTreeMap<String, CallResult> {
    let mut results = BTreeMap::new();
    let Ok(stream) = TcpStream::connect(address).await else { return results };
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("a connection");
    let connection = tokio::spawn(connection);
    for n in 0.. {
        if sender.ready().await.is_err() {
            break;
        }
        let id = format!("{name}-{n}");
        let mut called =
            CallResult { status: 0, headers: Default::default(), body: String::new(), whole: false };
        if let Ok(res) = sender.send_request(book(&id)).await {
            called.status = res.status().as_u16();
            called.headers = res.headers().clone();
            if let Ok(body) = res.into_body().collect().await {
                called.body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                called.whole = true;
            }
        }
        results.insert(id, called);
    }
    let _ = connection.await;
    results
}

/// Guards against lost calls of callers that keep their connections and open new ones until the process is gone.
#[tokio::test]
async fn test_callers_that_stay_until_a_node_is_gone_lose_no_calls() {
    let (mut gateway, bookings, _models) = Gateway::with_replicas(1).await;
    bookings[0].replica.set_fault(ReplicaFault::Late(Duration::from_millis(730)));
    let address = gateway.client_address(0);
    let callers = (0..12).map(|caller| {
        let address = address.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(60 * caller)).await;
            let mut called = BTreeMap::new();
            for connection in 0.. {
                let more = call_on_kept_connection(&address, &format!("{caller}-{connection}")).await;
                if more.is_empty() {
                    break;
                }
                called.extend(more);
            }
            called
        }
    });
    let (called, ended) = tokio::join!(join_all(callers), async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        gateway.signal(0, "-TERM");
        gateway.wait_for_exit(0).await
    });
    let called: BTreeMap<String, CallResult> = called.into_iter().flatten().collect();
    assert_eq!(lost(&called, &runs(&bookings)), [""; 0], "{}", gateway.logs());
    assert!(ended, "the stop is no failure");
}

/// Guards against a stream whose engine has not answered yet and that a stop cuts without an answer.
#[tokio::test]
async fn test_a_stream_that_has_not_begun_gets_an_answer_at_the_end_of_a_stop() {
    let (mut gateway, _bookings, models) = Gateway::with_replicas(1).await;
    gateway.engines.set_stream_faults([StreamFault::Hangs]);
    let (called, ()) = tokio::join!(gateway.call(0, chat("stream")), async {
        gateway.until("a stream", async || models[0].replica.running() == 1).await;
        gateway.signal(0, "-TERM");
    });
    assert_eq!((called.status, called.code()), (504, STOP_UNANSWERED), "{called:?}\n{}", gateway.logs());
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure");
}

/// Guards against calls that break when the node ends through which they reach their replica.
#[tokio::test]
async fn test_calls_through_another_node_that_stops_are_answered() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let booking = gateway.start_replica(BOOKING, "booking-1", 1).await;
    let proxy = gateway.put_proxy_before(BOOKING, &booking).await;
    for node in 0..2 {
        gateway.start_node();
        gateway.until_ready(node).await;
    }
    proxy.partition(&[node_ip(&gateway, 0)], OpenLinks::Reset);
    booking.replica.set_fault(ReplicaFault::Late(Duration::from_millis(100)));
    // Their connections lead through node 1, as there is no other one yet.
    let before = join_all((0..4).map(|n| gateway.call(0, read(["b-0", "b-1", "b-2", "b-3"][n])))).await;
    assert!(before.iter().all(|called| called.status == 200), "{before:?}\n{}", gateway.logs());
    gateway.start_node();
    gateway.until_ready(2).await;
    gateway.until("all nodes", async || gateway.node_status(0).await.peers.len() == 2).await;
    let began = Instant::now();
    // Frequent calls keep all tunnels in use.
    let times: Vec<Duration> = (0..140).map(|n| Duration::from_millis(n * 40)).collect();
    let (called, ()) = tokio::join!(call_at(&gateway, 0, began, &times, book), async {
        tokio::time::sleep_until(began + Duration::from_millis(400)).await;
        gateway.signal(1, "-TERM");
        tokio::time::sleep_until(began + Duration::from_millis(4_800)).await;
        booking.replica.set_fault(ReplicaFault::Late(Duration::from_millis(1_800)));
    });
    let runs = runs(&[booking]);
    assert_eq!(lost(&called, &runs), [""; 0], "{called:?}\n{}", gateway.logs());
    let broken: Vec<_> = called.iter().filter(|(_, called)| called.status == 502).collect();
    assert!(broken.is_empty(), "{broken:?}\n{}", gateway.logs());
    assert!(gateway.wait_for_exit(1).await, "the stop is no failure");
}
