//! The HTTP client of the traffic threads. Each thread has its own, so that threads share no connections.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use leadstage_platform::arrival;
use tokio::net::TcpStream;

use crate::framing;

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the read buffer of a connection; the event of a token has about 200 bytes.
const READ_BUF_BYTES: usize = 2_048;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

thread_local! {
    static CLIENT: OnceCell<HttpClient> = const { OnceCell::new() };
}

/// Why a request to an upstream got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The connection failed: no byte of the request reached the upstream.
    NotSent,
    /// The request failed later; it may have reached the upstream.
    MayHaveRun,
    /// The response timed out; the request may have reached the upstream.
    TimedOut,
}

fn client() -> HttpClient {
    CLIENT.with(|cell| {
        cell.get_or_init(|| {
            let mut connector = HttpConnector::new();
            connector.set_nodelay(true);
            connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
            Client::builder(TokioExecutor::new())
                .pool_idle_timeout(IDLE_TIMEOUT)
                .pool_timer(TokioTimer::new())
                .http1_read_buf_exact_size(READ_BUF_BYTES)
                .build(connector)
        })
        .clone()
    })
}

/// Whether a process accepts connections at `address`.
pub async fn accepts_connections(address: SocketAddr) -> bool {
    let connected = arrival::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

/// Sends a request and waits up to `limit` for the head of the response.
pub async fn send(req: Request<Full<Bytes>>, limit: Duration) -> Result<Response<Incoming>, SendError> {
    match arrival::timeout(limit, client().request(req)).await {
        Ok(Ok(res)) if framing::is_final(res.status()) => Ok(res),
        Ok(Ok(_)) => Err(SendError::MayHaveRun),
        Ok(Err(err)) if err.is_connect() => Err(SendError::NotSent),
        Ok(Err(_)) => Err(SendError::MayHaveRun),
        Err(_) => Err(SendError::TimedOut),
    }
}
