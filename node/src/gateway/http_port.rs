//! Accepts connections for all HTTP ports, and serves those whose responses need no waiting: the balancer's
//! and the operators'.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use leadstage_platform::connect;
use leadstage_platform::head_bound;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::gateway::shared::Shared;

/// Pause after a failed accept, in which file descriptors may become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Handles one request.
pub type Handler = fn(&Arc<Shared>, &Request<Incoming>) -> Response<Full<Bytes>>;

/// Accepts the next connection of a port; `port` is its name in logs. A connection whose peer falls silent
/// for good is closed automatically: otherwise it would use a file descriptor until the process ends.
pub async fn accept(listener: &TcpListener, port: &'static str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(err) = connect::detect_dead_peer(&stream) {
                    warn!(event = "socket_options", port, reason:% = err; "socket options could not be set");
                }
                return stream;
            }
            Err(err) => {
                warn!(event = "accept_failed", port, reason:% = err; "connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Lets the connection close once the response is sent.
pub fn close_after(res: &mut Response<Full<Bytes>>) {
    res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Serves `listener` until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, port: &'static str, handler: Handler) {
    loop {
        let stream = accept(&listener, port).await;
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let (stream, heads) = head_bound::accept(stream);
            let service = service_fn(|mut req: Request<Incoming>| {
                let (shared, heads) = (&shared, &heads);
                async move {
                    let has_ended = heads.drop_body(req.body_mut()).await;
                    let mut res = handler(shared, &req);
                    if !has_ended {
                        close_after(&mut res);
                    }
                    Ok::<_, Infallible>(res)
                }
            });
            // The client retries.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
