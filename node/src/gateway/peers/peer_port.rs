//! What nodes hand to each other whole: the configuration and the list of replicas, for
//! those that don't follow the store or missed some news.

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
use leadstage_platform::store::Revision;
use log::info;
use log::warn;

use crate::gateway::messages::Fetched;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::PeerBytes;
use crate::gateway::shared::Shared;

/// What another node knows already usually comes by itself, in datagrams; it is fetched from
/// that node if it has not come within this.
pub const NEWS_FIRST: Duration = Duration::from_millis(120);
/// Where a node hands its configuration out, as the operator wrote it.
const CONFIG_PATH: &str = "/config";
/// Where a node hands out what it knows of the replicas; the query is the revision up to
/// which the asking node knows them.
const REPLICAS_PATH: &str = "/replicas";
/// Time for either to arrive. Many nodes may fetch a large configuration over one small link
/// at once; the store's is wide, and is asked then.
const FETCH_LIMIT: Duration = Duration::from_millis(600);

/// Hands the configuration and the replicas out.
pub fn answer(shared: &Arc<Shared>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let body = match req.uri().path() {
        CONFIG_PATH => shared.config_text(),
        REPLICAS_PATH => replicas_since(shared, req.uri().query()),
        _ => None,
    };
    let bytes = body.as_ref().map_or(0, Bytes::len);
    shared.metrics.on_peer_bytes(PeerBytes::FetchedOut, bytes);
    let status = if body.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND };
    let mut res = Response::new(Full::from(body.unwrap_or_default()));
    *res.status_mut() = status;
    res
}

fn replicas_since(shared: &Shared, known: Option<&str>) -> Option<Bytes> {
    let known: Revision = known?.parse().ok()?;
    let list = shared.replica_list().since(known);
    match postcard::to_stdvec(&list) {
        Ok(bytes) => Some(Bytes::from(bytes)),
        Err(err) => {
            warn!(event = "replicas_unwritable", reason:% = err; "the list of replicas can't be encoded");
            None
        }
    }
}

/// Fetches the configuration from another node and tells the control loop.
pub async fn fetch_configuration(shared: Arc<Shared>, from: SocketAddr) {
    let text = fetch(&shared, from, CONFIG_PATH).await;
    shared.tell(ToControl::Fetched(from, Fetched::Configuration(text)));
}

/// Fetches from another node what changed of the replicas since the revision `known`, and
/// tells the control loop.
pub async fn fetch_replicas(shared: Arc<Shared>, from: SocketAddr, known: Revision) {
    let body = fetch(&shared, from, &format!("{REPLICAS_PATH}?{known}")).await;
    let list = body.and_then(|body| match postcard::from_bytes(&body) {
        Ok(list) => Some(list),
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path = REPLICAS_PATH, reason:% = err; "a node's list can't be read");
            None
        }
    });
    shared.tell(ToControl::Fetched(from, Fetched::Replicas(list)));
}

async fn fetch(shared: &Shared, from: SocketAddr, path: &str) -> Option<Bytes> {
    let req = Request::get(path).header(http::header::HOST, from.to_string()).body(Full::default());
    let answer = Link::new(from).call(req.expect("the request is valid"), FETCH_LIMIT).await;
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            shared.metrics.on_peer_bytes(PeerBytes::FetchedIn, answer.body.len());
            Some(answer.body)
        }
        Ok(answer) => {
            info!(event = "fetch_failed", from:% = from, path, status = answer.status.as_u16(); "a node handed nothing out");
            None
        }
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path, reason:% = err; "a node did not answer");
            None
        }
    }
}
