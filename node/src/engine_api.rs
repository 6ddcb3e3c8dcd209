//! Calls of the control thread to engines: load, priority, cancel.

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

/// A call without an answer for this long counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes of an answer at most.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// An engine's report as it sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineReport {
    running: u32,
    waiting: u32,
    used_blocks: u64,
    total_blocks: u64,
    block_tokens: u32,
    max_batch: u32,
    step_us: u64,
    /// The engine is about to be taken back.
    #[serde(default)]
    pub leaving: bool,
    /// Adapters that it has loaded.
    #[serde(default)]
    pub loaded: Vec<String>,
}

/// How an engine took an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries it out.
    Taken,
    /// It knows a higher fence.
    OldFence,
    /// It did not answer; it may carry it out.
    Unknown,
}

impl EngineReport {
    /// The sizes in it.
    pub fn limits(&self) -> EngineLimits {
        EngineLimits { blocks: self.total_blocks, block_tokens: self.block_tokens, max_batch: self.max_batch }
    }

    /// The load in it.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.waiting,
            used_blocks: self.used_blocks,
            step: Duration::from_micros(self.step_us),
        }
    }
}

/// The client; clones share their connections.
#[derive(Clone, Debug)]
pub struct EngineApi {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl EngineApi {
    /// A client for all engines.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        EngineApi { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// A call's status and body, or `None` without an answer in time.
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

    /// Sends an order under a fence.
    pub async fn send_order(&self, address: SocketAddr, epoch: u64, action: &str) -> OrderAnswer {
        let body = serde_json::json!({"fence": epoch, "action": action}).to_string();
        let answer = self.exchange(Method::POST, format!("http://{address}/v1/orders"), body.into()).await;
        match answer {
            Some((200, _)) => OrderAnswer::Taken,
            Some((409, _)) => OrderAnswer::OldFence,
            _ => OrderAnswer::Unknown,
        }
    }

    /// The engine's load, or `None` when it does not answer.
    pub async fn load(&self, address: SocketAddr) -> Option<EngineReport> {
        let body = self.call(Method::GET, format!("http://{address}/v1/load")).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Changes a generation's priority; a failure changes nothing.
    pub async fn set_priority(self, address: SocketAddr, generation: GenerationId, priority: i32) {
        let uri = format!("http://{address}/v1/generations/{generation:016x}/priority?value={priority}");
        self.call(Method::POST, uri).await;
    }

    /// Cancels a generation; a failure leaves it to run to its end.
    pub async fn cancel(self, address: SocketAddr, generation: GenerationId) {
        self.call(Method::DELETE, format!("http://{address}/v1/generations/{generation:016x}")).await;
    }
}
