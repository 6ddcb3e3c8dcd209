//! Answers the platform's balancer when it checks whether the node accepts connections.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// Returns 200 on the readiness path while the node serves, 503 otherwise, and 404 on any other path.
pub fn answer(shared: &Arc<Shared>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let status = match (req.uri().path(), shared.phase()) {
        (leadstage_platform::READY_PATH, Phase::Serving) => StatusCode::OK,
        (leadstage_platform::READY_PATH, _) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
