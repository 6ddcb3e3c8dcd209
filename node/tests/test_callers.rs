//! Responses to callers: the model list, responses without streaming, and the numeric code of each error.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::Full;
use leadstage_testutils::http_client;
use leadstage_testutils::http_client::Reply;

use crate::environment::Env;
use crate::environment::Options;
use crate::environment::error_code;
use crate::stream::Caller;
use crate::stream::chat_body;

async fn send_request(env: &Env, method: Method, path: &str, token: &str, body: impl Into<Bytes>) -> Reply {
    let uri = format!("http://{}{path}", env.address("entry-1"));
    let req = Request::builder().method(method).uri(uri).header("authorization", format!("Bearer {token}"));
    let req = req.body(Full::from(body.into())).expect("valid");
    http_client::send(&env.client, req).await.expect("a response")
}

async fn start(bounds: &str) -> Env {
    let args = ["--step-us", "2000"].map(str::to_owned).into();
    Env::start(Options {
        nodes: 1,
        engines: 1,
        engine_args: args,
        bounds: bounds.to_owned(),
        ..Options::default()
    })
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_invalid_requests_get_their_error_code() {
    let env = start("max_body_bytes: 20000").await;
    let chat = "/v1/chat/completions";
    let long = format!(r#"{{"model":"m","prompt":"{}"}}"#, "x".repeat(5_000));
    let cases = [
        ("bad JSON", Method::POST, chat, "token-a", b"{".to_vec()),
        ("bad UTF-8", Method::POST, chat, "token-a", b"{\"model\":\"\xff\"}".to_vec()),
        ("wrong type", Method::POST, chat, "token-a", br#"{"model":7,"messages":[]}"#.to_vec()),
        ("no messages", Method::POST, chat, "token-a", br#"{"model":"m"}"#.to_vec()),
        (
            "two choices",
            Method::POST,
            chat,
            "token-a",
            br#"{"model":"m","n":2,"messages":[{"role":"user"}]}"#.to_vec(),
        ),
        (
            "unknown model",
            Method::POST,
            chat,
            "token-a",
            br#"{"model":"x","messages":[{"role":"user"}]}"#.to_vec(),
        ),
        ("prompt too long", Method::POST, "/v1/completions", "token-a", long.into_bytes()),
        ("body too large", Method::POST, chat, "token-a", vec![b' '; 30_000]),
        ("wrong token", Method::POST, chat, "nobody", Vec::new()),
        ("wrong method", Method::GET, chat, "token-a", Vec::new()),
        ("no route", Method::GET, "/nowhere", "token-a", Vec::new()),
    ];
    let mut text = String::new();
    for (name, method, path, token, body) in cases {
        let reply = send_request(&env, method, path, token, body).await;
        text.push_str(&format!("{name}: {} {}\n", reply.status, error_code(&reply)));
    }
    insta::assert_snapshot!(text, @"
    bad JSON: 400 2001
    bad UTF-8: 400 2001
    wrong type: 400 2001
    no messages: 400 2001
    two choices: 400 2001
    unknown model: 404 2003
    prompt too long: 400 2006
    body too large: 413 2005
    wrong token: 401 2002
    wrong method: 405 2010
    no route: 404 2004
    ");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_complete_response_and_model_list() {
    let env = start("").await;
    let models = send_request(&env, Method::GET, "/v1/models", "token-a", "").await;
    assert_eq!(
        models.body,
        r#"{"data":[{"id":"m","object":"model","owned_by":"leadstage"}],"object":"list"}"#
    );
    let response =
        send_request(&env, Method::POST, "/v1/chat/completions", "token-a", chat_body(5, false)).await;
    let body: serde_json::Value = serde_json::from_str(&response.body).expect("JSON");
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(body["usage"]["completion_tokens"], 5);
    let words = body["choices"][0]["message"]["content"].as_str().expect("text").split_whitespace().count();
    assert_eq!((words, &body["choices"][0]["finish_reason"]), (5, &"stop".into()));
    let text = r#"{"model":"m","prompt":"once","stand_in_tokens":3}"#;
    let response = send_request(&env, Method::POST, "/v1/completions", "token-a", text).await;
    let body: serde_json::Value = serde_json::from_str(&response.body).expect("JSON");
    assert_eq!(body["choices"][0]["text"].as_str().expect("text").split_whitespace().count(), 3);
}

/// A request whose body is not complete within the bundle's `body_within` is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_slow_body() {
    let env = start("body_within: 300ms").await;
    let address = env.address("entry-1");
    let answer = tokio::task::spawn_blocking(move || {
        let mut stream = std::net::TcpStream::connect(address).expect("the node listens");
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-a\r\ncontent-length: 100\r\n\r\n{";
        stream.write_all(head.as_bytes()).expect("writable");
        let mut buf = [0; 4_096];
        let read = stream.read(&mut buf).expect("a response");
        String::from_utf8_lossy(&buf[..read]).into_owned()
    });
    let answer = answer.await.expect("the task does not panic");
    assert!(answer.starts_with("HTTP/1.1 408") && answer.contains("x-leadstage-code: 2007"), "{answer}");
}

/// A body that is too large is refused only after all of it has been received: if the connection were
/// closed earlier, the caller could lose the refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_large_body_is_read_to_its_end_before_it_is_refused() {
    let env = start("max_body_bytes: 20000").await;
    let address = env.address("entry-1");
    let answer = tokio::task::spawn_blocking(move || {
        let mut stream = std::net::TcpStream::connect(address).expect("the node listens");
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer token-a\r\ncontent-length: 60000\r\n\r\n";
        stream.write_all(head.as_bytes()).expect("writable");
        for _ in 0..3 {
            stream.write_all(&[b' '; 20_000]).expect("the node still reads");
            std::thread::sleep(std::time::Duration::from_millis(200));
        }
        let mut buf = [0; 4_096];
        let read = stream.read(&mut buf).expect("a response");
        String::from_utf8_lossy(&buf[..read]).into_owned()
    });
    let answer = answer.await.expect("the task does not panic");
    assert!(answer.starts_with("HTTP/1.1 413") && answer.contains("x-leadstage-code: 2005"), "{answer}");
}

/// The open requests of an organisation are limited: a refused request gets `Retry-After`, and other
/// organisations are not affected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_organisation_limit() {
    let env = start("").await;
    let address = env.address("entry-1");
    let open_stream = |token: &str, tokens| Caller::start(&env.client, &address, token, tokens, None);
    let streams = [open_stream("token-b", 2_000), open_stream("token-b", 2_000)];
    env.until("two open streams", async |_: &Env| streams.iter().all(|c| !c.received().texts.is_empty()))
        .await;
    let third = open_stream("token-b", 5).finish().await;
    assert_eq!(third.end, Some(crate::stream::StreamEnd::Code(2103)));
    assert!(third.retry_after.is_some());
    assert_eq!(open_stream("token-a", 5).finish().await.end, Some(crate::stream::StreamEnd::Complete));
    streams.iter().for_each(Caller::disconnect);
    env.until("the open requests to end", async |env: &Env| {
        env.status(1).await.is_some_and(|s| s["open"] == 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_admin_port() {
    let env = start("").await;
    let response =
        send_request(&env, Method::POST, "/v1/chat/completions", "token-a", chat_body(5, false)).await;
    let id = response.headers["x-request-id"].to_str().expect("text").to_owned();
    let explained = env.get(&env.admin(1), &format!("/explain?id={id}")).await.expect("a response");
    assert!(explained.body.contains("on engine-1 by lead entry-1"), "{}", explained.body);
    let metrics = env.get(&env.admin(1), "/metrics").await.expect("a response").body;
    let lines =
        ["leadstage_requests_total{code=\"1000\",organisation=\"a\"", "leadstage_stream_tokens_total"];
    assert!(lines.iter().all(|line| metrics.contains(line)), "{metrics}");
    assert!(
        !env.logs().contains("token-a") && !env.logs().contains("hello"),
        "a secret or a prompt in the logs"
    );
    assert_eq!(env.get(&env.admin(1), "/healthz").await.expect("a response").status, 200);
}
