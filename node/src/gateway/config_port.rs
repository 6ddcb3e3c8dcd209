//! Nodes hand the configuration to each other, for those that the store turns away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use leadstage_platform::connect::Link;
use log::info;

use crate::gateway::messages::ToControl;
use crate::gateway::shared::Shared;

/// Where a node hands its configuration out.
const CONFIG_PATH: &str = "/config";
/// Time for a whole configuration to arrive.
const FETCH_LIMIT: Duration = Duration::from_millis(1_000);

/// Hands the configuration out.
pub fn answer(shared: &Arc<Shared>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let text = shared.config_text().filter(|_| req.uri().path() == CONFIG_PATH);
    let status = if text.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND };
    let mut res = Response::new(Full::from(text.unwrap_or_default()));
    *res.status_mut() = status;
    res
}

/// Fetches the configuration from another node and tells the control loop.
pub async fn fetch(shared: Arc<Shared>, from: SocketAddr) {
    let req = Request::get(CONFIG_PATH).header(http::header::HOST, from.to_string()).body(Full::default());
    let answer = Link::new(from).call(req.expect("the request is valid"), FETCH_LIMIT).await;
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            shared.tell(ToControl::ConfigurationFrom(from, answer.body));
        }
        Ok(answer) => {
            info!(event = "config_not_fetched", from:% = from, status = answer.status.as_u16(); "a node handed out no configuration");
            shared.tell(ToControl::ConfigurationNotFetched);
        }
        Err(err) => {
            info!(event = "config_not_fetched", from:% = from, reason:% = err; "a node did not hand its configuration out");
            shared.tell(ToControl::ConfigurationNotFetched);
        }
    }
}
