//! The port for operators, which serves metrics and status.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::gateway::shared::Shared;

/// Answers a request of an operator.
pub fn answer(shared: &Arc<Shared>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    match req.uri().path() {
        "/metrics" => respond("text/plain; version=0.0.4", shared.metrics.text()),
        "/status" => {
            let status = serde_json::to_string(&shared.status()).expect("plain data serialises");
            respond("application/json", status)
        }
        _ => {
            let mut res = Response::new(Full::from("no such path"));
            *res.status_mut() = StatusCode::NOT_FOUND;
            res
        }
    }
}

fn respond(content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::from(body));
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
