//! The HTTP client of a traffic thread, one for each, so that no connection is shared
//! between threads.

use std::cell::OnceCell;
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

/// Time for a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An unused connection is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes read from an upstream at once; a token's event has about 200.
const READ_BUF_BYTES: usize = 2_048;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

thread_local! {
    static CLIENT: OnceCell<HttpClient> = const { OnceCell::new() };
}

/// Why an upstream gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection: not a byte of the request reached it.
    NotSent,
    /// The request may have reached it.
    MayHaveRun,
    /// Nothing came back in time; the request may have reached it.
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

/// Sends a request and waits `limit` for the head of the answer.
pub async fn send(req: Request<Full<Bytes>>, limit: Duration) -> Result<Response<Incoming>, SendError> {
    match tokio::time::timeout(limit, client().request(req)).await {
        Ok(Ok(res)) => Ok(res),
        Ok(Err(err)) if err.is_connect() => Err(SendError::NotSent),
        Ok(Err(_)) => Err(SendError::MayHaveRun),
        Err(_) => Err(SendError::TimedOut),
    }
}
