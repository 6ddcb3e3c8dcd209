//! A generation at one engine.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;

use crate::gateway::shared::RunGuard;
use crate::gateway::upstream::exchange::Exchange;

/// A generation at one engine.
pub struct Leg {
    /// Its place there.
    pub run: RunGuard,
    /// Its answer; `None` once this node has hung up.
    pub exchange: Option<Exchange>,
}

impl Leg {
    /// The next part of the answer's body; never comes once this node has hung up.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        match &mut self.exchange {
            Some(exchange) => exchange.body.frame().await,
            None => std::future::pending().await,
        }
    }

    /// Whether the answer's end can be told from a connection that just closes.
    pub fn is_framed(&self) -> bool {
        self.exchange.as_ref().is_some_and(Exchange::is_framed)
    }
}
