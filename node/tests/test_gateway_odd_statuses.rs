//! Answers of replicas whose status is none that HTTP knows, or that no final answer has: no caller gets them as
//! an answer, whichever way they come.

use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::OpenLinks;
use leadstage_testutils::metadata_store::replica_entry;
use leadstage_testutils::scripted_server::HEALTHY;
use leadstage_testutils::scripted_server::ScriptedServer;

use crate::environment::Env;
use crate::environment::Options;
use crate::environment::error_code;
use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::book;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::read;
use crate::gateway_environment::tag;
use crate::test_gateway_partitioned_nodes::node_ip;

/// What follows the status in a status line, up to the end of the answer.
const REST: &str = " X\r\nleadstage-request-id: {id}\r\ncontent-length: 4\r\n\r\ndone";
const SOUND: &str = "HTTP/1.1 200 OK\r\nleadstage-request-id: {id}\r\ncontent-length: 4\r\n\r\ndone";
/// Statuses that are none, with digits of another script among them.
const STATUSES: [&str; 15] = [
    "000",
    "001",
    "099",
    "0",
    "00",
    "20",
    "2000",
    "-20",
    "+20",
    " ",
    "2x0",
    "\u{662}\u{660}\u{660}",
    "",
    "600",
    "999",
];

fn odd_answers() -> Vec<(String, String)> {
    let of_status = |status: &&str| (format!("{status:?}"), format!("HTTP/1.1 {status}{REST}"));
    let mut answers: Vec<_> = STATUSES.iter().map(of_status).collect();
    answers.extend(["100", "101", "102", "103", "199"].iter().map(of_status));
    for (first, then) in [("000", "200"), ("100", "000"), ("103", "000"), ("101", "200"), ("102", "099")] {
        answers.push((
            format!("{first}, then {then}"),
            format!("HTTP/1.1 {first} X\r\n\r\nHTTP/1.1 {then}{REST}"),
        ));
    }
    answers
}

/// A fleet of two nodes with one replica of each service, which only the second node reaches by itself.
async fn start(server: &ScriptedServer, mut gateway: Gateway) -> (Gateway, Vec<FaultyProxy>) {
    gateway.store.put("config", "main", config(1));
    let mut proxies = Vec::new();
    for service in [BOOKING, MODEL] {
        let proxy = FaultyProxy::start(&gateway.replicas_ip(), server.address).await;
        gateway.store.put("servers", service, replica_entry(service, proxy.address, "hall-1", "ready"));
        proxies.push(proxy);
    }
    for node in 0..2 {
        gateway.start_node();
        gateway.until_ready(node).await;
    }
    let ip = node_ip(&gateway, 0);
    proxies.iter().for_each(|proxy| proxy.partition(&[ip], OpenLinks::Hang));
    (gateway, proxies)
}

#[tokio::test]
async fn test_an_odd_status_is_no_answer_directly_or_through_another_node() {
    let gateway = Gateway::start().await;
    let address = format!("{}:0", gateway.replicas_ip()).parse().expect("an address");
    let server = ScriptedServer::start(address, Some(HEALTHY));
    server.set_answer(SOUND);
    let (gateway, proxies) = start(&server, gateway).await;
    let mut rows = Vec::new();
    for (name, answer) in odd_answers() {
        let mut outcomes = Vec::new();
        let calls = [
            (1, read("r-read"), read("r-sound")),
            (0, book("r-book"), read("r-sound")),
            (1, tag("r-tag"), chat("r-sound")),
            (0, chat("r-chat"), chat("r-sound")),
        ];
        for (node, req, sound) in calls {
            server.set_answer(SOUND);
            gateway
                .until("a sound answer is passed on", async || {
                    gateway.call(node, sound.clone()).await.status == 200
                })
                .await;
            server.set_answer(&answer);
            let called = gateway.call(node, req).await;
            outcomes.push(format!("{} {}", called.status, called.code()));
        }
        outcomes.dedup();
        rows.push(format!("{name}: {}", outcomes.join(", ")));
    }
    assert_eq!(proxies[0].connections_from(node_ip(&gateway, 0)), 0, "node 0 reaches no replica by itself");
    rows.retain(|row| !row.ends_with(": 502 3001"));
    assert!(rows.is_empty(), "{}", rows.join("\n"));
}

/// The completions interface.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_an_odd_status_of_a_plain_service_is_no_answer_on_the_completions_interface() {
    let mut env = Env::start(Options::default()).await;
    env.kill("booking-1");
    let server = ScriptedServer::start(env.address("booking-1").parse().expect("an address"), None);
    let mut rows = Vec::new();
    for (n, (name, answer)) in odd_answers().into_iter().enumerate() {
        server.set_answer(SOUND);
        env.until("a sound answer is passed on", async |env: &Env| {
            env.book(1, None).await.is_ok_and(|reply| reply.status == 200)
        })
        .await;
        server.set_answer(&answer);
        let mut outcomes = Vec::new();
        for key in [None, Some(&*format!("key-{n}"))] {
            let reply = env.book(1, key).await;
            outcomes.push(
                reply.map_or_else(|err| err, |reply| format!("{} {}", reply.status, error_code(&reply))),
            );
        }
        outcomes.dedup();
        rows.push(format!("{name}: {}", outcomes.join(", ")));
    }
    rows.retain(|row| !row.ends_with(": 502 3001"));
    assert!(rows.is_empty(), "{}", rows.join("\n"));
}

/// What follows an answer without a body belongs to no request.
#[tokio::test]
async fn test_bytes_after_an_answer_without_a_body_are_not_the_next_answer() {
    let gateway = Gateway::start().await;
    let address = format!("{}:0", gateway.replicas_ip()).parse().expect("an address");
    let server = ScriptedServer::start(address, Some(HEALTHY));
    let (gateway, _proxies) = start(&server, gateway).await;
    let mut rows = Vec::new();
    for status in ["204", "304"] {
        for node in [1, 0] {
            let more = SOUND.replace("done", "more");
            server.set_answer(&format!("HTTP/1.1 {status} X\r\nleadstage-request-id: {{id}}\r\n\r\n{more}"));
            let called = gateway.call(node, book("r-book")).await;
            server.set_answer(SOUND);
            let mut next = String::new();
            gateway
                .until("a sound answer is passed on", async || {
                    next = gateway.call(node, book("r-book")).await.body;
                    next == "done" || next == "more"
                })
                .await;
            rows.push(format!("{status}: {} {:?}, {next}", called.status, called.body));
        }
    }
    rows.dedup();
    insta::assert_snapshot!(rows.join("\n"), @r#"
    204: 204 "", done
    304: 304 "", done
    "#);
}
