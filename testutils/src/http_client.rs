//! A small HTTP client for tests and tools, on `hyper-util`.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// The HTTP client.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Returns a client with its own connection pool.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// Response status.
    pub status: u16,
    /// Response headers.
    pub headers: http::HeaderMap,
    /// Response body, as lossy UTF-8.
    pub body: String,
}

/// Sends a request and reads the whole response; an error is the text of the client's error.
pub async fn send(client: &HttpClient, req: http::Request<Full<Bytes>>) -> Result<Reply, String> {
    let res = client.request(req).await.map_err(|err| err.to_string())?;
    let status = res.status().as_u16();
    let headers = res.headers().clone();
    let body = res.into_body().collect().await.map_err(|err| err.to_string())?;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    Ok(Reply { status, headers, body })
}
