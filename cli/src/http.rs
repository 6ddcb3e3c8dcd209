//! HTTP client for the nodes' admin ports and the object API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Time limit of a request, including the response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// An HTTP request failed.
#[derive(Debug, Display, Error)]
#[display("{address}: {reason}")]
pub struct HttpError {
    /// Address of the server.
    pub address: SocketAddr,
    /// Cause of the failure.
    pub reason: String,
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// The object's version from the `etag` header, if there is one.
    pub version: Option<u64>,
    /// Response body.
    pub body: Bytes,
}

/// Sends a GET request.
pub async fn get(address: SocketAddr, path: &str) -> Result<Response, HttpError> {
    send(address, Request::get(format!("http://{address}{path}")).body(Full::default())).await
}

/// Writes an object if its present version is `expected`; 0 means that it must not exist.
pub async fn put(
    address: SocketAddr,
    path: &str,
    expected: u64,
    body: Vec<u8>,
) -> Result<Response, HttpError> {
    let req = Request::put(format!("http://{address}{path}")).header("if-match", expected);
    send(address, req.body(Full::from(body))).await
}

async fn send(address: SocketAddr, req: http::Result<Request<Full<Bytes>>>) -> Result<Response, HttpError> {
    let http_error = |reason: String| HttpError { address, reason };
    let req = req.map_err(|err| http_error(err.to_string()))?;
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let exchange = async {
        let res = client.request(req).await.map_err(|err| http_error(err.to_string()))?;
        let status = res.status().as_u16();
        let etag = res.headers().get("etag").and_then(|v| v.to_str().ok());
        let version = etag.and_then(|v| v.parse().ok());
        let body = res.into_body().collect().await.map_err(|err| http_error(err.to_string()))?.to_bytes();
        Ok(Response { status, version, body })
    };
    let outcome = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
    outcome.unwrap_or_else(|_| Err(http_error(format!("no answer within {REQUEST_TIMEOUT:?}"))))
}
