//! The stream of a generation from one engine.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;

use crate::gateway::shared::RunGuard;
use crate::gateway::upstream::exchange::Exchange;

/// The stream of a generation from one engine.
pub struct EngineStream {
    /// The run at the engine.
    pub run: RunGuard,
    /// The response of the engine; `None` once this node has closed the connection.
    pub exchange: Option<Exchange>,
}

impl EngineStream {
    /// Returns the next frame of the response body; never completes once this node has closed the
    /// connection.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        match &mut self.exchange {
            Some(exchange) => exchange.body.frame().await,
            None => std::future::pending().await,
        }
    }

    /// Whether the end of the response can be told apart from a connection that just closes.
    pub fn is_framed(&self) -> bool {
        self.exchange.as_ref().is_some_and(|exchange| exchange.is_framed)
    }

    /// Whether the response comes from the engine directly, not through another node.
    pub fn is_direct(&self) -> bool {
        self.exchange.as_ref().is_some_and(Exchange::is_direct)
    }
}
