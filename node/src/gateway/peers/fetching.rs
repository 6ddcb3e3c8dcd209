//! Fetches the configuration and the replica list from other nodes, see [`super::peer_port`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use leadstage_lib::gateway::config_text::ConfigText;
use leadstage_lib::gateway::config_text::Edition;
use leadstage_lib::gateway::config_text::PartialConfig;
use leadstage_lib::gateway::replica_list::ReplicaList;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_platform::connect::PersistentClient;
use leadstage_platform::store::Revision;
use log::info;

use crate::gateway::messages::Fetched;
use crate::gateway::messages::FetchedConfig;
use crate::gateway::messages::FetchedReplicas;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::PeerBytes;
use crate::gateway::peers::peer_port::CONFIG_PATH;
use crate::gateway::peers::peer_port::REPLICAS_PATH;
use crate::gateway::shared::Shared;

/// Time until a response must begin: enough for some round trips and for the scheduling delays of a busy
/// node with a small share of a core.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// When to retry at a busy node whose response has no valid `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper limit on the `Retry-After` of a busy node.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Fetches the configuration from another node, continuing after the `part` that was received already,
/// and sends the result to the control loop. If there is an `own` configuration, the difference to it is
/// enough.
pub async fn fetch_configuration(
    shared: Arc<Shared>,
    from: SocketAddr,
    own: Option<Arc<ConfigText>>,
    part: Option<PartialConfig>,
) {
    let known = own.as_ref().map_or(0, |own| own.version);
    let fetched = match request_configuration(&shared, from, known, part).await {
        Ok(part) => decode_edition(&part, own.as_deref(), from),
        Err(fetched) => fetched,
    };
    shared.notify(ToControl::Fetched(from, Fetched::Configuration(fetched)));
}

fn decode_edition(part: &PartialConfig, own: Option<&ConfigText>, from: SocketAddr) -> FetchedConfig {
    let edition = part.edition;
    match ConfigText::decode(edition, &part.buf, own) {
        Ok(text) => {
            info!(event = "config_fetched", from:% = from, edition:% = edition, bytes = edition.bytes, text = text.len(); "fetched the configuration from another node");
            FetchedConfig::Text(edition.version, text)
        }
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path = CONFIG_PATH, edition:% = edition, reason:% = err; "the configuration from another node can't be decoded");
            FetchedConfig::Unreadable
        }
    }
}

/// Requests the configuration from a node; returns a complete edition, or else the outcome to report.
async fn request_configuration(
    shared: &Shared,
    from: SocketAddr,
    known: ConfigVersion,
    part: Option<PartialConfig>,
) -> Result<PartialConfig, FetchedConfig> {
    let mut req = get_request(from, &format!("{CONFIG_PATH}?{known}"));
    if let Some(part) = &part {
        let headers = req.headers_mut();
        let value = |text: String| text.parse().expect("numbers are a valid value");
        headers.insert(header::IF_RANGE, value(part.edition.to_string()));
        headers.insert(header::RANGE, value(format!("bytes={}-", part.buf.len())));
    }
    let mut part = part;
    let mut had = part.as_ref().map_or(0, |part| part.buf.len());
    let response = PersistentClient::new(from)
        .fetch_into(req, RESPONSE_TIMEOUT, |res| body_buf(res, &mut part, &mut had))
        .await;
    let has = part.as_ref().map_or(0, |part| part.buf.len());
    shared.metrics.on_peer_bytes(PeerBytes::FetchedIn, has.saturating_sub(had));
    match response {
        Ok((status, headers)) => {
            if let Some(whole) = part.take_if(|part| status.is_success() && part.is_whole()) {
                return Ok(whole);
            }
            if status == StatusCode::SERVICE_UNAVAILABLE {
                return Err(FetchedConfig::Busy(retry_after(&headers), part));
            }
            info!(event = "fetch_failed", from:% = from, path = CONFIG_PATH, status = status.as_u16(); "another node did not serve its configuration");
            Err(FetchedConfig::Failed(part))
        }
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path = CONFIG_PATH, had, has, reason:% = err; "the configuration could not be fetched from another node");
            Err(FetchedConfig::Failed(part))
        }
    }
}

/// Returns the buffer for a response body: that of the part received so far, which `had` this many bytes,
/// or that of a new part.
fn body_buf<'p>(
    res: &Response<Incoming>,
    part: &'p mut Option<PartialConfig>,
    had: &mut usize,
) -> Option<&'p mut BytesMut> {
    let tag = res.headers().get(header::ETAG).and_then(|tag| tag.to_str().ok());
    let edition: Edition = tag?.parse().ok()?;
    match res.status() {
        StatusCode::PARTIAL_CONTENT => {}
        StatusCode::OK => (*part, *had) = (Some(PartialConfig::new(edition)), 0),
        _ => return None,
    }
    part.as_mut().filter(|part| part.edition == edition).map(|part| &mut part.buf)
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let after = headers.get(header::RETRY_AFTER).and_then(|after| after.to_str().ok());
    let after = after.and_then(|after| after.parse().ok());
    let after = after.and_then(|after| Duration::try_from_secs_f64(after).ok());
    after.unwrap_or(DEFAULT_RETRY_AFTER).min(MAX_RETRY_AFTER)
}

/// Fetches from another node the changes of the replicas since the revision `known`, and sends the result
/// to the control loop.
pub async fn fetch_replicas(shared: Arc<Shared>, from: SocketAddr, known: Revision) {
    let fetched = request_replicas(&shared, from, &format!("{REPLICAS_PATH}?{known}")).await;
    shared.notify(ToControl::Fetched(from, Fetched::Replicas(fetched)));
}

async fn request_replicas(shared: &Shared, from: SocketAddr, path: &str) -> FetchedReplicas {
    let response = PersistentClient::new(from).fetch(get_request(from, path), RESPONSE_TIMEOUT).await;
    match response {
        Ok(response) if response.status == StatusCode::OK => {
            shared.metrics.on_peer_bytes(PeerBytes::FetchedIn, response.body.len());
            decode_list(response.body, from)
        }
        Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
            FetchedReplicas::Busy(retry_after(&response.headers))
        }
        Ok(response) => {
            info!(event = "fetch_failed", from:% = from, path, status = response.status.as_u16(); "another node did not serve its replica list");
            FetchedReplicas::Nothing
        }
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path, reason:% = err; "the replica list could not be fetched from another node");
            FetchedReplicas::Nothing
        }
    }
}

fn decode_list(body: Bytes, from: SocketAddr) -> FetchedReplicas {
    match ReplicaList::unpack(&body) {
        Ok(list) => FetchedReplicas::List(list, body),
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path = REPLICAS_PATH, reason:% = err; "the replica list from another node can't be decoded");
            FetchedReplicas::Nothing
        }
    }
}

fn get_request(from: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    let req = Request::get(path).header(header::HOST, from.to_string()).body(Full::default());
    req.expect("the request is valid")
}
