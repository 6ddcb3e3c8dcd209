//! A client that receives a stream in the background.

use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use leadstage_testutils::engine_server::token_text;
use leadstage_testutils::http_client::HttpClient;
use serde_json::Value;
use tokio::task::JoinHandle;

/// How a stream ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEnd {
    /// With a finish reason and `[DONE]`.
    Complete,
    /// With a numeric error code, in an event of the stream or in the response.
    Code(u64),
    /// The connection failed, or the stream ended without a finish reason or `[DONE]`.
    Disconnected,
}

/// What a caller has received of a stream.
#[derive(Clone, Debug, Default)]
pub struct ReceivedStream {
    /// The texts of the tokens, in order.
    pub texts: Vec<String>,
    /// The id of the latest event.
    pub last_id: Option<String>,
    /// How the stream ended; `None` while it is open.
    pub end: Option<StreamEnd>,
    /// The `Retry-After` header of an error response.
    pub retry_after: Option<String>,
    finished: bool,
}

impl ReceivedStream {
    /// The generation that the latest event belongs to.
    pub fn generation(&self) -> Option<u64> {
        let id = self.last_id.as_ref()?;
        u64::from_str_radix(id.split('@').next()?, 16).ok()
    }

    /// Asserts that the texts are the tokens of a single generation from index `from` on, in order and each
    /// once.
    pub fn assert_in_order(&self, from: u64) {
        let Some(generation) = self.generation() else {
            return assert!(self.texts.is_empty());
        };
        let expected: Vec<String> =
            (from..from + self.texts.len() as u64).map(|index| token_text(generation, index)).collect();
        assert_eq!(self.texts, expected);
    }
}

/// A caller whose stream is received in the background.
pub struct Caller {
    received: Arc<Mutex<ReceivedStream>>,
    task: JoinHandle<()>,
}

/// The body of a chat request for a generation of `tokens` tokens.
pub fn chat_body(tokens: u64, stream: bool) -> String {
    format!(
        r#"{{"model":"m","stream":{stream},"stand_in_tokens":{tokens},"max_tokens":{tokens},"messages":[{{"role":"user","content":"hello"}}]}}"#
    )
}

impl Caller {
    /// Requests a stream of `tokens` tokens from `address`, or resumes one after `last_id` if it is given.
    pub fn start(
        client: &HttpClient,
        address: &str,
        token: &str,
        tokens: u64,
        last_id: Option<&str>,
    ) -> Caller {
        let uri = format!("http://{address}/v1/chat/completions");
        let mut req = Request::post(uri).header("authorization", format!("Bearer {token}"));
        if let Some(id) = last_id {
            req = req.header("last-event-id", id);
        }
        let req = req.body(Full::from(Bytes::from(chat_body(tokens, true)))).expect("valid");
        let received = Arc::new(Mutex::new(ReceivedStream::default()));
        let task = tokio::spawn(receive(client.clone(), req, received.clone()));
        Caller { received, task }
    }

    /// What has been received so far.
    pub fn received(&self) -> ReceivedStream {
        self.received.lock().expect("mutex is not poisoned").clone()
    }

    /// Closes the connection.
    pub fn disconnect(&self) {
        self.task.abort();
    }

    /// Waits for the end of the stream.
    pub async fn finish(self) -> ReceivedStream {
        self.finish_with_logs(String::new).await
    }

    /// Waits for the end of the stream; panics with the text of `logs` if it does not end within 60 s.
    pub async fn finish_with_logs(self, logs: impl FnOnce() -> String) -> ReceivedStream {
        let received = self.received.clone();
        let ended = tokio::time::timeout(std::time::Duration::from_secs(60), self.task).await;
        let so_far = received.lock().expect("mutex is not poisoned").clone();
        assert!(ended.is_ok(), "the stream did not end: {so_far:?}\n{}", logs());
        so_far
    }
}

async fn receive(client: HttpClient, req: Request<Full<Bytes>>, received: Arc<Mutex<ReceivedStream>>) {
    let end = receive_events(client, req, &received).await;
    received.lock().expect("mutex is not poisoned").end = Some(end);
}

async fn receive_events(
    client: HttpClient,
    req: Request<Full<Bytes>>,
    received: &Arc<Mutex<ReceivedStream>>,
) -> StreamEnd {
    let Ok(res) = client.request(req).await else {
        return StreamEnd::Disconnected;
    };
    if res.status() != 200 {
        let retry = res.headers().get("retry-after").and_then(|v| v.to_str().ok()).map(str::to_owned);
        received.lock().expect("mutex is not poisoned").retry_after = retry;
        let body = res.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        return StreamEnd::Code(error_code(&body));
    }
    let mut events = res.into_body().into_data_stream().eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else { return StreamEnd::Disconnected };
        if event.event == "error" {
            return StreamEnd::Code(error_code(event.data.as_bytes()));
        }
        let mut received = received.lock().expect("mutex is not poisoned");
        if event.data == "[DONE]" {
            return if received.finished { StreamEnd::Complete } else { StreamEnd::Disconnected };
        }
        received.add_event(&event.data, event.id);
    }
    StreamEnd::Disconnected
}

impl ReceivedStream {
    fn add_event(&mut self, data: &str, id: String) {
        let chunk: Value = serde_json::from_str(data).expect("JSON");
        let choice = &chunk["choices"][0];
        self.last_id = Some(id);
        match choice["delta"]["content"].as_str() {
            Some(text) if choice["finish_reason"].is_null() => self.texts.push(text.to_owned()),
            _ => self.finished = true,
        }
    }
}

fn error_code(body: &[u8]) -> u64 {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    body["error"]["code"].as_u64().unwrap_or(0)
}
