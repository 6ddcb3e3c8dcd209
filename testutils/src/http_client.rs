//! A small HTTP client for tests and tools, on `hyper-util`.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// The client's type.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client with its own pool of connections.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// A response read whole.
#[derive(Debug)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// Its body, as text.
    pub body: String,
}

/// Sends a request and reads the whole answer; the error is the client's own text.
pub async fn send(client: &HttpClient, req: http::Request<Full<Bytes>>) -> Result<Reply, String> {
    let res = client.request(req).await.map_err(|err| err.to_string())?;
    let status = res.status().as_u16();
    let headers = res.headers().clone();
    let body = res.into_body().collect().await.map_err(|err| err.to_string())?;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    Ok(Reply { status, headers, body })
}
