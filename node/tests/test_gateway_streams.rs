//! Streams through the gateway interface: each stream has one generation, whatever faults its engines have.

use std::time::Duration;

use leadstage_testutils::gateway_replica::CopyFault;
use leadstage_testutils::gateway_replica::StreamFault;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::time::Instant;

use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::WAIT_TIMEOUT;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;

/// Number of events in a generation of the stand-in engine.
const EVENTS: u64 = 60;

/// The number of generated events after which a fault is injected.
const FAULT_AFTER_EVENTS: u64 = 20;

/// A fault of the engine that runs a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The engine announces that it leaves.
    Leaves,
    /// The engine leaves, and no other engine has room for a copy.
    LeavesWithoutRoom,
    /// The engine leaves, its copies hang, and it dies.
    DiesWhileCopying,
    /// The engine leaves and stops the generation, but never responds to the stop call.
    StopHangs,
    /// The engine dies without announcing it.
    Dies,
    /// The engine leaves, and the other engines respond with errors when asked to resume the generation.
    TargetsFail,
    /// The engine leaves, and then so does the engine to which the generation moved.
    LeavesTwice,
}

/// Waits until an engine has generated about `event_count` events, and returns it.
async fn wait_for_running_engine<'a>(
    gateway: &Gateway,
    models: &'a mut [RunningReplica],
    event_count: u64,
) -> &'a mut RunningReplica {
    gateway.until("a generation runs", async || models.iter().any(|m| m.replica.running() > 0)).await;
    let at = models.iter().position(|m| m.replica.running() > 0).expect("a generation runs");
    let pause = models[at].replica.event_interval * event_count as u32;
    tokio::time::sleep(pause).await;
    &mut models[at]
}

async fn inject_fault(gateway: &Gateway, models: &mut [RunningReplica], fault: Fault) {
    let engine = wait_for_running_engine(gateway, models, FAULT_AFTER_EVENTS).await;
    match fault {
        Fault::Leaves => gateway.drain(MODEL, engine),
        Fault::LeavesWithoutRoom => {
            engine.replica.set_copy_fault(CopyFault::NoRoom);
            gateway.drain(MODEL, engine);
        }
        Fault::DiesWhileCopying => {
            engine.replica.set_copy_fault(CopyFault::CopyHangs);
            gateway.drain(MODEL, engine);
            tokio::time::sleep(engine.replica.event_interval * 10).await;
            engine.server = None;
        }
        Fault::StopHangs => {
            engine.replica.set_copy_fault(CopyFault::StopHangs);
            gateway.drain(MODEL, engine);
        }
        Fault::Dies => engine.server = None,
        Fault::TargetsFail => {
            let first = engine.replica.id.clone();
            for other in models.iter().filter(|m| m.replica.id != first) {
                other.replica.set_copy_fault(CopyFault::ResumeFails);
            }
            let engine = models.iter().find(|m| m.replica.id == first).expect("a generation runs");
            gateway.drain(MODEL, engine);
        }
        Fault::LeavesTwice => {
            let first = engine.replica.id.clone();
            gateway.drain(MODEL, engine);
            gateway
                .until("the generation moved", async || {
                    models.iter().any(|m| m.replica.id != first && m.replica.running() > 0)
                })
                .await;
            let second = models
                .iter()
                .find(|m| m.replica.id != first && m.replica.running() > 0)
                .expect("the generation moved");
            gateway.drain(MODEL, second);
        }
    }
}

/// Runs a stream with one fault. Returns the caller's result, how many engines ran the generation, and the
/// logs.
async fn run_with_fault(fault: Fault) -> (CallResult, usize, String) {
    let (gateway, _bookings, mut models) = Gateway::with_replicas(3).await;
    let (called, ()) =
        tokio::join!(gateway.call(0, chat("r-chat")), inject_fault(&gateway, &mut models, fault));
    let starts = models.iter().flat_map(|m| m.replica.received_requests());
    let fresh = starts.clone().filter(|seen| seen.header("kv-from").is_none()).count();
    assert_eq!(fresh, 1, "{fault:?}: a generation starts once\n{}", gateway.logs());
    (called, starts.count(), gateway.logs())
}

/// With each fault, the events have no gap or repeat, the end comes only after the last event, and there is
/// one generation.
#[tokio::test]
async fn test_streams_survive_engine_faults_without_gaps_or_repeats() {
    let mut rows = Vec::new();
    for fault in [
        Fault::Leaves,
        Fault::LeavesWithoutRoom,
        Fault::DiesWhileCopying,
        Fault::StopHangs,
        Fault::Dies,
        Fault::TargetsFail,
        Fault::LeavesTwice,
    ] {
        let (called, engines, logs) = run_with_fault(fault).await;
        let events = called.events();
        assert!(events.is_some(), "{fault:?}: not just the events: {}\n{logs}", called.body);
        assert_eq!(called.whole, events == Some(EVENTS), "{fault:?}: {events:?} events\n{logs}");
        rows.push(format!("{fault:?}: whole {}, engines {engines}", called.whole));
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    Leaves: whole true, engines 2
    LeavesWithoutRoom: whole true, engines 1
    DiesWhileCopying: whole false, engines 1
    StopHangs: whole true, engines 2
    Dies: whole false, engines 1
    TargetsFail: whole true, engines 5
    LeavesTwice: whole true, engines 3
    ");
}

#[tokio::test]
async fn test_a_generation_ends_when_its_caller_disconnects() {
    let (gateway, _bookings, models) = Gateway::with_replicas(1).await;
    let (connection, res) = crate::gateway_environment::send(&gateway.client_address(0), chat("r-1"))
        .await
        .expect("the stream begins");
    assert_eq!(models[0].replica.running(), 1);
    drop((connection, res));
    gateway.until("the generation ends", async || models[0].replica.running() == 0).await;
    assert_eq!(models[0].replica.abandoned_requests(), ["r-1"]);
}

/// The faults of successive requests to engines: the stream and the calls that resume it.
struct RefusalCase {
    name: &'static str,
    faults: &'static [StreamFault],
}

/// A generation that was stopped to be moved can be resumed on the target engine, which has its copy, and on
/// the source engine, where it stopped.
const REFUSAL_CASES: [RefusalCase; 4] = [
    RefusalCase {
        name: "the target turns it away, then the source does",
        faults: &[StreamFault::None, StreamFault::NotExecuted, StreamFault::NotExecuted],
    },
    RefusalCase {
        name: "both turn it away twice",
        faults: &[
            StreamFault::None,
            StreamFault::NotExecuted,
            StreamFault::NotExecuted,
            StreamFault::NotExecuted,
            StreamFault::NotExecuted,
        ],
    },
    RefusalCase {
        name: "the target fails it, and the source turns it away",
        faults: &[StreamFault::None, StreamFault::Fails, StreamFault::NotExecuted],
    },
    RefusalCase {
        name: "both fail it",
        faults: &[StreamFault::None, StreamFault::Fails, StreamFault::Fails],
    },
];

/// Guards against breaking a stream whose complete generation is in the memory of two engines. It was stopped
/// to be moved, the briefly full target refuses it, the source does too, and neither is asked again. The logs
/// then show two refusals at the target and one at the source within 8 ms, followed by the end "engine lost".
#[tokio::test]
async fn test_a_stopped_generation_is_retried_until_an_engine_resumes_it() {
    let mut rows = Vec::new();
    for case in &REFUSAL_CASES {
        let (gateway, _bookings, mut models) = Gateway::with_replicas(2).await;
        gateway.engines.set_stream_faults(case.faults.iter().copied());
        let (called, ()) =
            tokio::join!(gateway.call(0, chat("r-chat")), inject_fault(&gateway, &mut models, Fault::Leaves));
        let events = called.events();
        assert!(events.is_some(), "{}: not just the events: {}", case.name, called.body);
        rows.push(format!("{}: whole {}", case.name, called.whole));
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    the target turns it away, then the source does: whole true
    both turn it away twice: whole true
    the target fails it, and the source turns it away: whole true
    both fail it: whole true
    ");
}

/// Guards against breaking a stream because the connection of the request to resume it broke, as a replica resets
/// connections beyond those that it accepts: "move_failed: no answer". A handle serves once, so the same engine may
/// be asked again; the other one may not.
#[tokio::test]
async fn test_a_request_to_resume_is_repeated_after_its_connection_broke() {
    let (gateway, _bookings, mut models) = Gateway::with_replicas(2).await;
    gateway.engines.set_stream_faults([StreamFault::None, StreamFault::NoHead, StreamFault::NoHead]);
    let (called, ()) =
        tokio::join!(gateway.call(0, chat("r-chat")), inject_fault(&gateway, &mut models, Fault::Leaves));
    assert!(called.whole, "{}", gateway.logs());
    assert_eq!(called.events(), Some(EVENTS));
    let mut received: Vec<_> = models.iter().map(|m| m.replica.received_requests().len()).collect();
    received.sort_unstable();
    assert_eq!(received, [1, 3], "{}", gateway.logs());
}

/// More than the number of resume calls that are sent while the caller waits.
const REFUSAL_COUNT: usize = 100;

/// Guards against breaking a stream whose engine still runs the generation. The stop call gets no connection,
/// for example because a large configuration saturates the node's link for a second, and the missing response
/// is mistaken for a completed stop. The engine with the copy is unreachable too, and the engine that still
/// runs the generation responds with 503 to the resume call. The log then has "stop_unanswered: no
/// connection: timed out", "not sent: timed out" and "503", and the engine generates events until the node
/// disconnects.
#[tokio::test]
async fn test_a_generation_continues_if_its_stop_was_never_sent() {
    let (gateway, _bookings, mut models) = Gateway::with_replicas(2).await;
    let refusals = std::iter::repeat_n(StreamFault::NotExecuted, REFUSAL_COUNT);
    gateway.engines.set_stream_faults(std::iter::once(StreamFault::None).chain(refusals));
    let leave = async {
        let engine = wait_for_running_engine(&gateway, &mut models, FAULT_AFTER_EVENTS).await;
        engine.replica.set_copy_fault(CopyFault::ClosesPort);
        gateway.drain(MODEL, engine);
    };
    let (called, ()) = tokio::join!(gateway.call(0, chat("r-chat")), leave);
    assert!(called.whole, "{:?} events\n{}", called.events(), gateway.logs());
    assert_eq!(called.events(), Some(EVENTS));
    let request_count: usize = models.iter().map(|m| m.replica.received_requests().len()).sum();
    assert_eq!(
        request_count,
        1,
        "no engine is asked to resume a generation that still runs\n{}",
        gateway.logs()
    );
}

/// Time from the break of the stream until the response to the stop call.
const STOP_RESPONSE_DELAY: Duration = Duration::from_millis(200);
/// Time until the engine with the copy responds to the resume call.
const RESUME_RESPONSE_DELAY: Duration = Duration::from_millis(800);

/// Guards against a generation that stays on a leaving engine and breaks with it. The response to its stop at
/// the first engine arrives while the second engine is asked to resume it, is read only when the stream runs
/// there, and is mistaken for the end of the move that has just begun. The log then has "replica_leaves" for
/// the second engine, and no copy from it after that.
#[tokio::test]
async fn test_a_late_answer_to_a_stop_does_not_end_the_next_move() {
    let (gateway, _bookings, mut models) = Gateway::with_replicas(3).await;
    gateway.engines.set_stream_faults([StreamFault::None, StreamFault::Late(RESUME_RESPONSE_DELAY)]);
    let leave_twice = async {
        let first = wait_for_running_engine(&gateway, &mut models, FAULT_AFTER_EVENTS).await;
        first.replica.set_copy_fault(CopyFault::StopLate(STOP_RESPONSE_DELAY));
        let first_id = first.replica.id.clone();
        gateway.drain(MODEL, first);
        let is_asked_to_resume =
            |m: &RunningReplica| m.replica.id != first_id && !m.replica.received_requests().is_empty();
        gateway.until("an engine got a resume call", async || models.iter().any(is_asked_to_resume)).await;
        let second = models.iter().find(|m| is_asked_to_resume(m)).expect("an engine got a resume call");
        gateway.drain(MODEL, second);
    };
    let (called, ()) = tokio::join!(gateway.call(0, chat("r-chat")), leave_twice);
    assert!(called.whole, "{}", gateway.logs());
    assert_eq!(called.events(), Some(EVENTS));
    let engines = models.iter().filter(|m| !m.replica.received_requests().is_empty()).count();
    assert_eq!(engines, 3, "the generation moved off the second engine too\n{}", gateway.logs());
}

/// Guards against sending a caller the first events of a stream as if the stream were complete. The engine
/// sends them without a length, so the end of the connection marks the end of the stream, and the connection
/// ends when the generation is stopped to be moved. The log then has "stream_end: done" with 33 of 60 events.
#[tokio::test]
async fn test_a_stopped_unframed_stream_is_resumed() {
    let (gateway, _bookings, mut models) = Gateway::with_replicas(2).await;
    gateway.engines.set_stream_faults([StreamFault::Unframed]);
    let (called, ()) =
        tokio::join!(gateway.call(0, chat("r-chat")), inject_fault(&gateway, &mut models, Fault::StopHangs));
    assert!(called.whole, "{}", gateway.logs());
    assert_eq!(called.events(), Some(EVENTS), "{}", gateway.logs());
}

/// An unframed stream that is not stopped ends with its connection.
#[tokio::test]
async fn test_an_unframed_stream_ends_with_its_connection() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.engines.set_stream_faults([StreamFault::Unframed]);
    let called = gateway.call(0, chat("r-chat")).await;
    assert!(called.whole, "{}", gateway.logs());
    assert_eq!(called.events(), Some(EVENTS));
}

/// How long a leaving engine accepts no connections.
const UNREACHABLE_FOR: Duration = Duration::from_millis(150);

/// Guards against a generation that stays on a leaving engine and breaks with it. The first copy call gets no
/// connection, for example because other traffic saturates the node's link, and the engine is considered dead
/// although its stream continues. The log then has "copy outcome=Err(Connect(..))", and no copy after that.
#[tokio::test]
async fn test_a_generation_moves_off_a_briefly_unreachable_engine() {
    let (gateway, _bookings, mut models) = Gateway::with_replicas(2).await;
    let leave = async {
        let engine = wait_for_running_engine(&gateway, &mut models, FAULT_AFTER_EVENTS).await;
        let server = engine.server.as_ref().expect("the replica serves");
        server.close_port.notify_one();
        tokio::time::sleep(engine.replica.event_interval).await;
        gateway.drain(MODEL, engine);
        gateway.until("the engine leaves", async || gateway.log(0).contains("event=replica_leaves")).await;
        tokio::time::sleep(UNREACHABLE_FOR).await;
        server.open_port.notify_one();
    };
    let (called, ()) = tokio::join!(gateway.call(0, chat("r-chat")), leave);
    assert!(called.whole, "{}", gateway.logs());
    assert_eq!(called.events(), Some(EVENTS));
    let engines = models.iter().filter(|m| !m.replica.received_requests().is_empty()).count();
    assert_eq!(engines, 2, "the generation moved off the engine\n{}", gateway.logs());
}

/// Longer than the time for which refusing engines are retried, and shorter than a caller waits.
const BOTH_UNREACHABLE_FOR: Duration = Duration::from_millis(1_800);

/// Index of the `chat` route in the configuration.
const CHAT_ROUTE_INDEX: usize = 2;
/// Callers wait for an event four times as long: 6 s.
const TARGET_LATENCY_MS: u64 = 1_500;

/// Guards against breaking a stream although two engines hold its generation's KV cache memory and neither
/// has refused it. Both are unreachable for slightly longer than refusing engines are retried, while the
/// caller would wait some seconds more for the next event.
#[tokio::test]
async fn test_a_stopped_generation_waits_for_unreachable_engines() {
    let (gateway, _bookings, mut models) = Gateway::with_replicas(2).await;
    let mut long_latency_config = config(2);
    long_latency_config["routes"][CHAT_ROUTE_INDEX]["targetLatencyMs"] = TARGET_LATENCY_MS.into();
    gateway.store.put("config", "main", long_latency_config);
    gateway
        .until("version 2 is in force", async || gateway.log(0).contains("event=config_in_force version=2"))
        .await;
    let leave = async {
        let first = wait_for_running_engine(&gateway, &mut models, FAULT_AFTER_EVENTS).await;
        first.replica.set_copy_fault(CopyFault::StopClosesPort);
        let first_id = first.replica.id.clone();
        let (first, second): (Vec<_>, Vec<_>) = models.iter().partition(|m| m.replica.id == first_id);
        let servers = [first[0], second[0]].map(|m| m.server.as_ref().expect("the replica serves"));
        servers[1].close_port.notify_one();
        gateway.drain(MODEL, first[0]);
        gateway
            .until("the engine is unreachable", async || gateway.log(0).contains("event=move_failed"))
            .await;
        tokio::time::sleep(BOTH_UNREACHABLE_FOR).await;
        for server in servers {
            server.open_port.notify_one();
        }
    };
    let (called, ()) = tokio::join!(gateway.call(0, chat("r-chat")), leave);
    assert!(called.whole, "{:?} events\n{}", called.events(), gateway.logs());
    assert_eq!(called.events(), Some(EVENTS));
}

/// Guards against a node that does not check the deadline while it waits for a slow caller. If a caller reads
/// 40 kB/s of a stream of 13 MB/s, the engine works on the stream for 20.6 s, although the caller set a
/// deadline of 3 s.
#[tokio::test]
async fn test_a_slowly_read_stream_ends_at_its_deadline() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let model = gateway.start_replica(MODEL, "model-1", 900).await;
    model.replica.set_padding(200_000);
    gateway.start_node();
    gateway.until_ready(0).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let front = gateway.client_address(0).parse().expect("an address");
    let mut stream = socket.connect(front).await.expect("the node listens");
    let head = format!(
        "POST /chat/x HTTP/1.1\r\nhost: h.example\r\nleadstage-request-id: r-1\r\n\
         leadstage-deadline-ms: 3000\r\nauthorization: Token {KEY}\r\nleadstage-model: m\r\n\
         leadstage-token-usage: 100,2000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    let began = Instant::now();
    gateway.until("a generation runs", async || model.replica.running() > 0).await;
    let mut buf = [0; 2_048];
    while model.replica.running() > 0 && began.elapsed() < WAIT_TIMEOUT {
        let taken = stream.read(&mut buf).await.expect("the connection is open");
        assert_ne!(taken, 0, "the stream continues");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let took = began.elapsed();
    assert!(took < Duration::from_secs(4), "ended after {took:?}\n{}", gateway.logs());
}
