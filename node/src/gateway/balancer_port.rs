//! The port where the platform's balancer asks whether the node takes connections.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::warn;
use tokio::net::TcpListener;

use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// Answers the balancer until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(event = "accept_failed", port = "ready", reason:% = err; "a connection could not be accepted");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|req: Request<Incoming>| {
                let answer = answer(&shared, &req);
                async move { Ok::<_, Infallible>(answer) }
            });
            // The balancer asks again by itself.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn answer(shared: &Shared, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let status = match (req.uri().path(), shared.phase()) {
        (leadstage_platform::READY_PATH, Phase::Serving) => StatusCode::OK,
        (leadstage_platform::READY_PATH, _) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
