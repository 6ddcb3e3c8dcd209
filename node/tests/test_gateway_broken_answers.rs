//! Answers that end early look broken to their callers, whatever marks the end of an answer and whichever
//! process ends; whole answers stay whole.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_testutils::gateway_replica::CopyFault;
use leadstage_testutils::gateway_replica::Framing;
use leadstage_testutils::gateway_replica::JSON_DOCUMENT;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::gateway_replica::StreamEnding;
use leadstage_testutils::gateway_replica::StreamFault;
use leadstage_testutils::metadata_store::replica_entry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::book;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::gateway_environment::tag;

/// Number of events in a generation of the stand-in engine.
const EVENTS: u64 = 60;
/// The number of generated events after which a stream ends early.
const ENDS_AFTER: u64 = 20;

fn ends(framing: Framing, events: u64, rest: &'static str) -> StreamFault {
    StreamFault::Ends(StreamEnding { framing, events, rest })
}

/// What a caller sees, in one word, and the number of whole events.
fn outcome(called: &CallResult) -> String {
    let how = if called.whole { "whole" } else { "broken" };
    format!("{how} {}", called.body.matches("\n\n").count())
}

/// Ends of streams inside an event.
const PARTS_OF_EVENTS: [&str; 5] =
    ["i", "id: 21", "id: 21\n", "id: 21\ndata: token 21\n", "id: 21\r\ndata: token 21\r\n"];

#[tokio::test]
async fn test_a_stream_that_ends_inside_an_event_looks_broken() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let mut rows = Vec::new();
    for framing in Framing::ALL {
        for part in PARTS_OF_EVENTS {
            gateway.engines.set_stream_faults([ends(framing, ENDS_AFTER, part)]);
            let called = gateway.call(0, chat("r-chat")).await;
            rows.push(format!("{framing:?} {part:?}: {}", outcome(&called)));
        }
    }
    insta::assert_snapshot!(rows.join("\n"), @r#"
    Chunked "i": broken 20
    Chunked "id: 21": broken 20
    Chunked "id: 21\n": broken 20
    Chunked "id: 21\ndata: token 21\n": broken 20
    Chunked "id: 21\r\ndata: token 21\r\n": broken 20
    Length "i": broken 20
    Length "id: 21": broken 20
    Length "id: 21\n": broken 20
    Length "id: 21\ndata: token 21\n": broken 20
    Length "id: 21\r\ndata: token 21\r\n": broken 20
    Unframed "i": broken 20
    Unframed "id: 21": broken 20
    Unframed "id: 21\n": broken 20
    Unframed "id: 21\ndata: token 21\n": broken 20
    Unframed "id: 21\r\ndata: token 21\r\n": broken 20
    "#);
}

#[tokio::test]
async fn test_a_resumable_stream_that_ends_inside_an_event_goes_on() {
    let mut rows = Vec::new();
    for framing in Framing::ALL {
        let (gateway, _bookings, _models) = Gateway::with_replicas(3).await;
        let second_end = ends(framing, 2 * ENDS_AFTER, "id: 41\ndata");
        gateway.engines.set_stream_faults([ends(framing, ENDS_AFTER, "id: 21\ndata"), second_end]);
        let called = gateway.call(0, tag("r-tag")).await;
        assert_eq!(called.events(), Some(EVENTS), "{framing:?}: {}\n{}", called.body, gateway.logs());
        rows.push(format!("{framing:?}: {}", outcome(&called)));
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    Chunked: whole 60
    Length: whole 60
    Unframed: whole 60
    ");
}

#[tokio::test]
async fn test_an_unframed_stream_that_ends_before_its_first_event_looks_broken() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(2).await;
    let mut rows = Vec::new();
    for framing in Framing::ALL {
        for req in [chat("r-chat"), tag("r-tag")] {
            gateway.engines.set_stream_faults([ends(framing, 0, "")]);
            let path = req.uri().path().to_owned();
            rows.push(format!("{framing:?} {path}: {}", outcome(&gateway.call(0, req).await)));
        }
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    Chunked /chat/x: whole 0
    Chunked /tag/x: whole 0
    Length /chat/x: whole 0
    Length /tag/x: whole 0
    Unframed /chat/x: broken 0
    Unframed /tag/x: whole 60
    ");
}

#[tokio::test]
async fn test_a_stream_that_was_resumed_without_any_event_goes_on() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(3).await;
    let empty = ends(Framing::Unframed, ENDS_AFTER, "");
    gateway.engines.set_stream_faults([ends(Framing::Unframed, ENDS_AFTER, "id: 21\ndata"), empty]);
    let called = gateway.call(0, tag("r-tag")).await;
    assert_eq!((called.whole, called.events()), (true, Some(EVENTS)), "{}", gateway.logs());
}

/// A caller that has all events asks again.
#[tokio::test]
async fn test_an_unframed_stream_that_resumes_after_the_last_event_is_whole() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    gateway.engines.set_stream_faults([ends(Framing::Unframed, EVENTS, "")]);
    let mut req = tag("r-tag");
    req.headers_mut().insert("last-event-id", EVENTS.into());
    let called = gateway.call(0, req).await;
    assert_eq!((called.whole, &*called.body), (true, ""), "{}", gateway.logs());
}

/// What may follow the last event of a whole stream.
const RESTS_OF_WHOLE_STREAMS: [&str; 7] =
    ["", "\n", "\r\n", ": bye\n", ":\r\n", ": bye\n\n", ": two\n: comments\n\n\n"];

#[tokio::test]
async fn test_whole_streams_stay_whole() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    for framing in Framing::ALL {
        for rest in RESTS_OF_WHOLE_STREAMS {
            gateway.engines.set_stream_faults([ends(framing, EVENTS, rest)]);
            let called = gateway.call(0, chat("r-chat")).await;
            assert!(called.whole, "{framing:?} {rest:?}\n{}", gateway.logs());
            let events = called.body.strip_suffix(rest).map(|body| body.matches("\nid: ").count() + 1);
            assert_eq!(events, Some(EVENTS as usize), "{framing:?} {rest:?}: {}", called.body);
        }
    }
}

#[tokio::test]
async fn test_an_answer_to_a_stream_that_is_no_event_stream_stays_whole() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    for framing in Framing::ALL {
        gateway.engines.set_stream_faults([StreamFault::Json(framing)]);
        let called = gateway.call(0, chat("r-chat")).await;
        assert!(called.whole, "{framing:?}\n{}", gateway.logs());
        assert_eq!(called.body, JSON_DOCUMENT);
    }
}

/// What happens to an engine between two events of an unframed stream.
#[derive(Clone, Copy, Debug)]
enum EngineEnd {
    Dies,
    DiesWhileLeaving,
    AnotherReplicaTakesItsAddress,
}

async fn end_engine(gateway: &Gateway, models: &mut [RunningReplica], end: EngineEnd) {
    gateway.until("a generation runs", async || models.iter().any(|m| m.replica.running() > 0)).await;
    let engine = models.iter_mut().find(|m| m.replica.running() > 0).expect("a generation runs");
    tokio::time::sleep(engine.replica.event_interval * ENDS_AFTER as u32).await;
    match end {
        EngineEnd::Dies => engine.server = None,
        EngineEnd::DiesWhileLeaving => {
            engine.replica.set_copy_fault(CopyFault::CopyHangs);
            gateway.drain(MODEL, engine);
            tokio::time::sleep(engine.replica.event_interval * 10).await;
            engine.server = None;
        }
        EngineEnd::AnotherReplicaTakesItsAddress => {
            let server = engine.server.as_ref().expect("it serves");
            engine.replica.set_health_id("model-9");
            server.close_connections.notify_one();
        }
    }
}

#[tokio::test]
async fn test_an_unframed_stream_whose_engine_ends_between_events_is_not_taken_for_whole() {
    let mut rows = Vec::new();
    for end in [EngineEnd::Dies, EngineEnd::DiesWhileLeaving, EngineEnd::AnotherReplicaTakesItsAddress] {
        for req in [chat("r-chat"), tag("r-tag")] {
            let (gateway, _bookings, mut models) = Gateway::with_replicas(2).await;
            gateway.engines.set_stream_faults([StreamFault::Unframed]);
            let path = req.uri().path().to_owned();
            let (called, ()) = tokio::join!(gateway.call(0, req), end_engine(&gateway, &mut models, end));
            let events = called.events().unwrap_or_else(|| panic!("{end:?} {path}: {}", called.body));
            assert!(!called.whole || events == EVENTS, "{end:?} {path}: {events} events\n{}", gateway.logs());
            rows.push(format!("{end:?} {path}: whole {}", called.whole));
        }
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    Dies /chat/x: whole false
    Dies /tag/x: whole true
    DiesWhileLeaving /chat/x: whole false
    DiesWhileLeaving /tag/x: whole true
    AnotherReplicaTakesItsAddress /chat/x: whole false
    AnotherReplicaTakesItsAddress /tag/x: whole true
    ");
}

#[tokio::test]
async fn test_an_unframed_stream_stays_whole_while_its_engine_leaves_or_is_busy() {
    let (gateway, _bookings, models) = Gateway::with_replicas(1).await;
    gateway.engines.set_stream_faults([StreamFault::Unframed, StreamFault::Unframed]);
    models[0].replica.set_health_delay(Duration::from_secs(5));
    let called = gateway.call(0, chat("r-busy")).await;
    assert_eq!((called.whole, called.events()), (true, Some(EVENTS)), "{}", gateway.logs());
    models[0].replica.set_health_delay(Duration::ZERO);
    models[0].replica.set_leaving(Some("1"));
    let called = gateway.call(0, chat("r-leaving")).await;
    assert_eq!((called.whole, called.events()), (true, Some(EVENTS)), "{}", gateway.logs());
}

#[tokio::test]
async fn test_an_unframed_answer_whose_replica_ends_is_not_taken_for_whole() {
    let mut rows = Vec::new();
    for req in [book("r-book"), read("r-read")] {
        let (gateway, bookings, _models) = Gateway::with_replicas(2).await;
        bookings.iter().for_each(|running| running.replica.set_fault(ReplicaFault::UnframedCrash));
        let path = req.uri().path().to_owned();
        let called = gateway.call(0, req).await;
        rows.push(format!("{path}: {}, code {}", called.status, called.code()));
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    /book/x: 502, code 3001
    /read/x: 502, code 3001
    ");
}

#[tokio::test]
async fn test_a_call_whose_unframed_answer_broke_is_answered_by_another_replica() {
    let (gateway, bookings, _models) = Gateway::with_replicas(2).await;
    bookings[0].replica.set_fault(ReplicaFault::UnframedCrash);
    for n in 0..4 {
        let called = gateway.call(0, read(&format!("r-{n}"))).await;
        assert_eq!((called.status, &*called.body), (200, "booking-2 answers /read/x"), "{}", gateway.logs());
    }
}

#[tokio::test]
async fn test_an_unframed_answer_of_a_living_replica_is_whole() {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    bookings[0].replica.set_fault(ReplicaFault::Unframed);
    for req in [book("r-book"), read("r-read")] {
        let path = req.uri().path().to_owned();
        let called = gateway.call(0, req).await;
        assert_eq!((called.status, called.whole), (200, true), "{}", gateway.logs());
        assert_eq!(called.body, format!("booking-1 answers {path}"));
    }
}

/// The statuses and codes of a call that must not be repeated and of one that may be.
async fn codes_of_calls(gateway: &Gateway) -> String {
    let mut rows = Vec::new();
    for req in [book("r-book"), read("r-read")] {
        let path = req.uri().path().to_owned();
        let called = gateway.call(0, req).await;
        rows.push(format!("{path}: {}, code {}", called.status, called.code()));
    }
    rows.join("\n")
}

/// Guards against an empty success that looks whole: a replica closes its connection after a head that names neither
/// a length nor chunks, and runs on.
#[tokio::test]
async fn test_an_empty_success_without_a_length_is_not_taken_for_whole() {
    let (gateway, bookings, _models) = Gateway::with_replicas(2).await;
    bookings.iter().for_each(|running| running.replica.set_fault(ReplicaFault::UnframedEmpty));
    insta::assert_snapshot!(codes_of_calls(&gateway).await, @r"
    /book/x: 502, code 3001
    /read/x: 502, code 3001
    ");
    bookings[1].replica.set_fault(ReplicaFault::None);
    for n in 0..4 {
        let called = gateway.call(0, read(&format!("r-{n}"))).await;
        assert_eq!((called.status, &*called.body), (200, "booking-2 answers /read/x"), "{}", gateway.logs());
    }
}

/// Listens as a replica that passes its health checks and answers each call with `answer`, in which `ID` stands for
/// the request's id, and closes the connection in order.
async fn serve_raw_answer(ip: String, answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut req = Vec::new();
            while !req.ends_with(b"\r\n\r\n")
                && connection.read_buf(&mut req).await.is_ok_and(|read| read > 0)
            {}
            let req = String::from_utf8_lossy(&req).to_lowercase();
            let id = req.lines().find_map(|line| line.strip_prefix("leadstage-request-id: "));
            let answer = match id {
                Some(id) => answer.replace("ID", id),
                None => "HTTP/1.1 200 OK\r\nleadstage-instance-id: booking-1\r\ncontent-length: 0\r\n\r\n"
                    .to_owned(),
            };
            // The node may have closed the connection.
            let _ = connection.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Guards against a success made of a head that stops: a replica ends in the middle of a head and closes its
/// connection in order.
#[tokio::test]
async fn test_a_head_that_stops_is_no_success() {
    let mut rows = Vec::new();
    for answer in [
        "H",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nleadstage-req",
        "HTTP/1.1 200 OK\r\nleadstage-request-id: ID\r\n",
        "HTTP/1.1 200 OK\r\nleadstage-request-id: ID\r\ncontent-length: 5\r\n\r",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nleadstage-request-id: ID\r\n",
        "HTTP/1.1 200 OK\r\nleadstage-request-id: ID\r\n\r\n",
        "HTTP/1.0 200 OK\r\nleadstage-request-id: ID\r\n\r\n",
        "HTTP/1.1 200 OK\r\nleadstage-request-id: ID\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nleadstage-request-id: ID\r\n\r\n",
        "HTTP/1.1 500 Internal Server Error\r\nleadstage-request-id: ID\r\n\r\n",
    ] {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let address = serve_raw_answer(gateway.replicas_ip(), answer).await;
        gateway.store.put("servers", "booking-1", replica_entry("booking", address, "hall-1", "ready"));
        let node = gateway.start_node();
        gateway.until_ready(node).await;
        let called = gateway.call(node, book("r-book")).await;
        rows.push(format!("{answer:?}: {}, {}", called.status, called.code()));
    }
    insta::assert_snapshot!(rows.join("\n"));
}

/// Sends a request for a stream as HTTP/1.0, whose answers end with their connection. Returns the number of
/// events received, and how the connection ended.
async fn call_http_10(gateway: &Gateway, path: &str) -> (usize, io::Result<()>) {
    let mut stream = TcpStream::connect(gateway.client_address(0)).await.expect("the node accepts");
    let req = format!(
        "POST {path} HTTP/1.0\r\nhost: h.example\r\nauthorization: Token {KEY}\r\nleadstage-request-id: r-1\r\n\
         leadstage-deadline-ms: 8000\r\nleadstage-model: m\r\nleadstage-token-usage: 100,2000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(req.as_bytes()).await.expect("the node reads");
    let mut answer = Vec::new();
    let mut buf = vec![0; 4 << 10];
    let end = loop {
        match stream.read(&mut buf).await {
            Ok(0) => break Ok(()),
            Ok(read) => answer.extend_from_slice(&buf[..read]),
            Err(err) => break Err(err),
        }
    };
    (String::from_utf8_lossy(&answer).matches("\nid: ").count(), end)
}

#[tokio::test]
async fn test_a_broken_stream_looks_broken_to_a_caller_without_chunks() {
    let (mut gateway, _bookings, models) = Gateway::with_replicas(1).await;
    let mut rows = Vec::new();
    for fault in
        [StreamFault::None, StreamFault::BreaksInside(ENDS_AFTER), StreamFault::BreaksAfter(ENDS_AFTER)]
    {
        gateway.engines.set_stream_faults([fault]);
        let (events, end) = call_http_10(&gateway, "/chat/x").await;
        rows.push(format!("{fault:?}: {events} events, {:?}", end.map_err(|err| err.kind())));
    }
    let kill = async {
        gateway.until("a generation runs", async || models[0].replica.running() > 0).await;
        tokio::time::sleep(models[0].replica.event_interval * ENDS_AFTER as u32).await;
        gateway.signal(0, "-KILL");
    };
    let ((events, end), ()) = tokio::join!(call_http_10(&gateway, "/chat/x"), kill);
    assert!(events < EVENTS as usize, "the node was killed during the stream");
    rows.push(format!("node killed: {:?}", end.map_err(|err| err.kind())));
    gateway.kill(0);
    insta::assert_snapshot!(rows.join("\n"), @r"
    None: 60 events, Ok(())
    BreaksInside(20): 20 events, Err(ConnectionReset)
    BreaksAfter(20): 20 events, Err(ConnectionReset)
    node killed: Err(ConnectionReset)
    ");
}

/// The replicas whose answers end early are avoided like others that fail.
#[tokio::test]
async fn test_an_end_inside_an_event_is_held_against_its_engine() {
    let (gateway, _bookings, _models) = Gateway::with_replicas(2).await;
    gateway.engines.set_stream_faults([ends(Framing::Unframed, ENDS_AFTER, "id: 21\ndata")]);
    gateway.call(0, chat("r-chat")).await;
    let lines_with = |text: &str| gateway.log(0).lines().filter(|line| line.contains(text)).count();
    gateway.until("the stream's end is logged", async || lines_with("event=stream_end") == 1).await;
    assert_eq!(lines_with("event=run_broke"), 1, "{}", gateway.logs());
}

/// Lets the generation's engine leave as often as `moves`, each time after some events.
async fn move_generation(gateway: &Gateway, models: &[RunningReplica], moves: usize) {
    for _ in 0..moves {
        let runs =
            |running: &&RunningReplica| running.replica.running() > 0 && running.replica.copy_calls() == 0;
        gateway.until("a generation runs", async || models.iter().any(|running| runs(&running))).await;
        let engine = models.iter().find(runs).expect("a generation runs");
        tokio::time::sleep(engine.replica.event_interval * 5).await;
        gateway.drain(MODEL, engine);
        gateway.until("it has moved", async || engine.replica.running() == 0).await;
    }
}

#[tokio::test]
async fn test_a_stream_that_breaks_off_after_three_moves_is_not_taken_for_whole() {
    const MOVES: usize = 3;
    let mut rows = Vec::new();
    for framing in Framing::ALL {
        for rest in ["id: 51", "id: 51\ndata: token 51\n"] {
            let (gateway, _bookings, models) = Gateway::with_replicas(MOVES + 1).await;
            let moved = [ends(framing, EVENTS, ""); MOVES];
            gateway.engines.set_stream_faults(moved.into_iter().chain([ends(framing, 50, rest)]));
            let moving = move_generation(&gateway, &models, MOVES);
            let (called, ()) = tokio::join!(gateway.call(0, chat("r-chat")), moving);
            let log = gateway.log(0);
            let lost =
                log.matches("event=request_suspected").count() + log.matches("event=not_sent_again").count();
            let moves = log.matches("event=moved").count();
            rows.push(format!("{framing:?} {rest:?}: {}, {moves} moves, {lost} losses", outcome(&called)));
        }
    }
    insta::assert_snapshot!(rows.join("\n"), @r#"
    Chunked "id: 51": broken 50, 3 moves, 0 losses
    Chunked "id: 51\ndata: token 51\n": broken 50, 3 moves, 0 losses
    Length "id: 51": broken 50, 3 moves, 0 losses
    Length "id: 51\ndata: token 51\n": broken 50, 3 moves, 0 losses
    Unframed "id: 51": broken 50, 3 moves, 0 losses
    Unframed "id: 51\ndata: token 51\n": broken 50, 3 moves, 0 losses
    "#);
}
