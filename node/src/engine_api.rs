//! Requests of the control thread to engines: load, orders, priority and cancellation.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use leadstage_lib::ids::GenerationId;
use leadstage_lib::pool_event::EngineLimits;
use leadstage_lib::pool_event::LoadReport;
use serde::Deserialize;

/// Timeout of a request to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The load report of an engine, in its wire format.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineReport {
    running: u32,
    waiting: u32,
    used_blocks: u64,
    total_blocks: u64,
    block_tokens: u32,
    max_batch: u32,
    step_us: u64,
    /// Whether the engine is about to be reclaimed.
    #[serde(default)]
    pub leaving: bool,
    /// Adapters that the engine has loaded.
    #[serde(default)]
    pub loaded: Vec<String>,
}

/// An engine's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine executes the order.
    Taken,
    /// The engine has seen a higher fence and rejects the order.
    OldFence,
    /// No response, or an unexpected one; the engine may execute the order.
    Unknown,
}

impl EngineReport {
    /// Returns the engine's limits.
    pub fn limits(&self) -> EngineLimits {
        EngineLimits { blocks: self.total_blocks, block_tokens: self.block_tokens, max_batch: self.max_batch }
    }

    /// Returns the engine's load.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.waiting,
            used_blocks: self.used_blocks,
            step: Duration::from_micros(self.step_us),
        }
    }
}

/// HTTP client for the API of the engines; clones share a connection pool.
#[derive(Clone, Debug)]
pub struct EngineApi {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl EngineApi {
    /// Creates a client for all engines.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        EngineApi { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Returns the response status and body, or `None` without a response in time.
    async fn exchange(&self, method: Method, uri: String, body: Bytes) -> Option<(u16, Bytes)> {
        let req = Request::builder().method(method).uri(uri).body(Full::from(body)).ok()?;
        let exchange = async {
            let res = self.client.request(req).await.ok()?;
            let status = res.status().as_u16();
            let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok()?
    }

    async fn call(&self, method: Method, uri: String) -> Option<Bytes> {
        let (status, body) = self.exchange(method, uri, Bytes::new()).await?;
        (status == 200).then_some(body)
    }

    /// Sends an order with the fence `epoch`.
    pub async fn send_order(&self, address: SocketAddr, epoch: u64, action: &str) -> OrderAnswer {
        let body = serde_json::json!({"fence": epoch, "action": action}).to_string();
        let answer = self.exchange(Method::POST, format!("http://{address}/v1/orders"), body.into()).await;
        match answer {
            Some((200, _)) => OrderAnswer::Taken,
            Some((409, _)) => OrderAnswer::OldFence,
            _ => OrderAnswer::Unknown,
        }
    }

    /// Fetches the engine's load; `None` without a valid response.
    pub async fn load(&self, address: SocketAddr) -> Option<EngineReport> {
        let body = self.call(Method::GET, format!("http://{address}/v1/load")).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Changes a generation's priority. A failure is ignored: the priority then stays.
    pub async fn set_priority(self, address: SocketAddr, generation: GenerationId, priority: i32) {
        let uri = format!("http://{address}/v1/generations/{generation:016x}/priority?value={priority}");
        self.call(Method::POST, uri).await;
    }

    /// Cancels a generation. A failure is ignored: the generation then runs to its end.
    pub async fn cancel(self, address: SocketAddr, generation: GenerationId) {
        self.call(Method::DELETE, format!("http://{address}/v1/generations/{generation:016x}")).await;
    }
}
