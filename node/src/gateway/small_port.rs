//! Serves ports whose answers are at hand: the balancer's, the operators', the other nodes'.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use leadstage_platform::connect;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::gateway::shared::Shared;

/// Pause after a connection that could not be accepted, for descriptors to become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers one request.
pub type Answer = fn(&Arc<Shared>, &Request<Incoming>) -> Response<Full<Bytes>>;

/// The next connection of a port; `port` names it in logs. One whose peer falls silent for good
/// ends by itself: else it would take a descriptor until the process ends.
pub async fn accept(listener: &TcpListener, port: &'static str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(err) = connect::detect_dead_peer(&stream) {
                    warn!(event = "socket_options", port, reason:% = err; "a socket takes no options");
                }
                return stream;
            }
            Err(err) => {
                warn!(event = "accept_failed", port, reason:% = err; "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves `listener` until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, port: &'static str, answer: Answer) {
    loop {
        let stream = accept(&listener, port).await;
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|req: Request<Incoming>| {
                let answer = answer(&shared, &req);
                async move { Ok::<_, Infallible>(answer) }
            });
            // Whoever asked asks again.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
