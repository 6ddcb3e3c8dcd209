//! Many replicas that send without end at the same time: the memory of a node stays bounded, and its other callers are
//! served.

use std::collections::BTreeMap;

use leadstage_testutils::endless_server;
use leadstage_testutils::endless_server::EndlessAnswer;
use leadstage_testutils::endless_server::EndlessServer;
use leadstage_testutils::metadata_store::replica_entry;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::book;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::gateway_environment::request;

/// Memory of the smallest VM in any deployment, in 10^6 bytes.
const MEMORY_MB: usize = 88;
/// Calls that are sent at the same time, and how often.
const CALLS: usize = 60;
const ROUNDS: usize = 5;
/// Callers that do not read their streams.
const SILENT_CALLERS: usize = 30;
/// Another service with a sound replica.
const OTHER: &str = "other";

const BODIES: [EndlessAnswer; 10] = [
    endless_server::INFORMATIONAL_HEADS,
    endless_server::HEADER_LINE,
    endless_server::HEADER_LINES,
    endless_server::BLANK_LINES,
    endless_server::CHUNK_EXTENSION,
    endless_server::TRAILERS,
    endless_server::CHUNKS,
    endless_server::WHITE_SPACE,
    endless_server::LONG_BODY,
    endless_server::LONG_BODY,
];
const STREAMS: [EndlessAnswer; 6] = [
    endless_server::EVENTS,
    endless_server::EVENTS,
    endless_server::EVENT,
    endless_server::COMMENTS,
    endless_server::CHUNKS,
    endless_server::WHITE_SPACE,
];

/// Starts a node whose services have these replicas, and another service with a sound one.
async fn start(servers: &mut Vec<EndlessServer>) -> Gateway {
    let gateway = Gateway::start().await;
    let mut config = config(1);
    let mut route = config["routes"][0].clone();
    (route["name"], route["pathPrefix"], route["service"]) = (OTHER.into(), "/other/".into(), OTHER.into());
    config["routes"].as_array_mut().expect("routes").push(route);
    let mut service = config["services"][0].clone();
    service["name"] = OTHER.into();
    config["services"].as_array_mut().expect("services").push(service);
    gateway.store.put("config", "main", config);
    let replicas =
        BODIES.map(|answer| (BOOKING, answer)).into_iter().chain(STREAMS.map(|answer| (MODEL, answer)));
    for (n, (service, answer)) in replicas.enumerate() {
        let server = EndlessServer::start(&gateway.replicas_ip(), answer).await;
        let mut entry = replica_entry(service, server.address, "hall-1", "ready");
        entry["slots"] = CALLS.into();
        gateway.store.put("servers", &format!("endless-{n}"), entry);
        servers.push(server);
    }
    gateway
}

/// The largest resident memory that a node's process had, in 10^6 bytes.
fn peak_mb(gateway: &Gateway) -> usize {
    gateway.memory_bytes(0, "VmHWM") / 1_000_000
}

/// Asks for a stream and reads nothing of it.
async fn silent_caller(gateway: &Gateway, path: &str, n: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small window");
    let address = gateway.client_address(0).parse().expect("an address");
    let mut stream = socket.connect(address).await.expect("the node accepts");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nleadstage-request-id: silent-{n}\r\nleadstage-deadline-ms: 8000\r\n\
        authorization: Token {KEY}\r\nleadstage-model: m\r\nleadstage-token-usage: 10,200\r\nlength-hint: 200\r\n\
        content-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    stream
}

#[tokio::test]
async fn test_callers_are_served_and_memory_is_bounded_while_many_replicas_send_without_end() {
    let mut servers = Vec::new();
    let mut gateway = start(&mut servers).await;
    let _sound = gateway.start_replica(OTHER, "sound", 1).await;
    gateway.start_node_with(|yaml| format!("{yaml}memory_mb: {MEMORY_MB}\n"));
    gateway.until_ready(0).await;
    let mut silent = Vec::new();
    let mut answers = BTreeMap::<(&str, u16, u64), usize>::new();
    for round in 0..ROUNDS {
        for n in 0..SILENT_CALLERS {
            silent.push(
                silent_caller(&gateway, ["/chat/x", "/tag/x"][n % 2], round * SILENT_CALLERS + n).await,
            );
        }
        let calls = (0..CALLS).flat_map(|n| {
            let id = |kind| format!("{kind}-{round}-{n}");
            [
                ("read", read(&id("read"))),
                ("book", book(&id("book"))),
                ("other", request("GET", "/other/x", KEY, &id("other"))),
            ]
            .map(async |(kind, req)| (kind, gateway.call(0, req).await))
        });
        for (kind, called) in futures::future::join_all(calls).await {
            *answers.entry((kind, called.status, called.code())).or_default() += 1;
        }
    }
    assert_eq!(answers.get(&("other", 200, 0)), Some(&(CALLS * ROUNDS)), "{answers:?}\n{}", gateway.logs());
    let is_told = |(kind, status, _): &(&str, u16, u64)| *kind == "other" || matches!(status, 502..=504);
    assert!(answers.keys().all(is_told), "{answers:?}");
    let peak = peak_mb(&gateway);
    assert!(peak < MEMORY_MB, "{peak} MB, {answers:?}");
}
