//! Fetches from other nodes what they hand out, see [`super::peer_port`].

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
use crate::gateway::messages::HandedConfig;
use crate::gateway::messages::HandedReplicas;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::PeerBytes;
use crate::gateway::peers::peer_port::CONFIG_PATH;
use crate::gateway::peers::peer_port::REPLICAS_PATH;
use crate::gateway::shared::Shared;

/// Time until an answer begins: some round trips, and the turns of a busy node with a small share
/// of a core.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// When to come back to a busy node that does not say.
const DEFAULT_BUSY: Duration = Duration::from_millis(100);
/// The longest that a busy node is left alone, whatever it says.
const LONGEST_BUSY: Duration = Duration::from_secs(1);

/// Fetches the configuration from another node, after the `part` of it that is here, and tells the
/// control loop. What differs from `own` is enough, where there is one.
pub async fn fetch_configuration(
    shared: Arc<Shared>,
    from: SocketAddr,
    own: Option<Arc<ConfigText>>,
    part: Option<PartialConfig>,
) {
    let known = own.as_ref().map_or(0, |own| own.version);
    let handed = match ask_for_configuration(&shared, from, known, part).await {
        Ok(part) => read_edition(&part, own.as_deref(), from),
        Err(handed) => handed,
    };
    shared.tell(ToControl::Fetched(from, Fetched::Configuration(handed)));
}

fn read_edition(part: &PartialConfig, own: Option<&ConfigText>, from: SocketAddr) -> HandedConfig {
    let edition = part.edition;
    match ConfigText::decode(edition, &part.buf, own) {
        Ok(text) => {
            info!(event = "config_fetched", from:% = from, edition:% = edition, bytes = edition.bytes, text = text.len(); "another node handed its configuration over");
            HandedConfig::Text(edition.version, text)
        }
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path = CONFIG_PATH, edition:% = edition, reason:% = err; "a node's configuration can't be read");
            HandedConfig::Unreadable
        }
    }
}

/// Asks a node; returns an edition that is whole, or what became of it otherwise.
async fn ask_for_configuration(
    shared: &Shared,
    from: SocketAddr,
    known: ConfigVersion,
    part: Option<PartialConfig>,
) -> Result<PartialConfig, HandedConfig> {
    let mut req = get(from, &format!("{CONFIG_PATH}?{known}"));
    if let Some(part) = &part {
        let headers = req.headers_mut();
        let value = |text: String| text.parse().expect("numbers are a valid value");
        headers.insert(header::IF_RANGE, value(part.edition.to_string()));
        headers.insert(header::RANGE, value(format!("bytes={}-", part.buf.len())));
    }
    let mut part = part;
    let mut had = part.as_ref().map_or(0, |part| part.buf.len());
    let answer = PersistentClient::new(from)
        .fetch_into(req, ANSWER_LIMIT, |res| buf_for(res, &mut part, &mut had))
        .await;
    let has = part.as_ref().map_or(0, |part| part.buf.len());
    shared.metrics.on_peer_bytes(PeerBytes::FetchedIn, has.saturating_sub(had));
    match answer {
        Ok((status, headers)) => {
            if let Some(whole) = part.take_if(|part| status.is_success() && part.is_whole()) {
                return Ok(whole);
            }
            if status == StatusCode::SERVICE_UNAVAILABLE {
                return Err(HandedConfig::Busy(come_back(&headers), part));
            }
            info!(event = "fetch_failed", from:% = from, path = CONFIG_PATH, status = status.as_u16(); "a node handed nothing out");
            Err(HandedConfig::Failed(part))
        }
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path = CONFIG_PATH, had, has, reason:% = err; "a node did not hand its configuration over");
            Err(HandedConfig::Failed(part))
        }
    }
}

/// Where an answer's body goes: on to the part that is here, which `had` so many bytes, or to a new one.
fn buf_for<'p>(
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

fn come_back(headers: &HeaderMap) -> Duration {
    let after = headers.get(header::RETRY_AFTER).and_then(|after| after.to_str().ok());
    let after = after.and_then(|after| after.parse().ok());
    let after = after.and_then(|after| Duration::try_from_secs_f64(after).ok());
    after.unwrap_or(DEFAULT_BUSY).min(LONGEST_BUSY)
}

/// Fetches from another node what changed of the replicas since the revision `known`, and
/// tells the control loop.
pub async fn fetch_replicas(shared: Arc<Shared>, from: SocketAddr, known: Revision) {
    let handed = ask_for_replicas(&shared, from, &format!("{REPLICAS_PATH}?{known}")).await;
    shared.tell(ToControl::Fetched(from, Fetched::Replicas(handed)));
}

async fn ask_for_replicas(shared: &Shared, from: SocketAddr, path: &str) -> HandedReplicas {
    let answer = PersistentClient::new(from).fetch(get(from, path), ANSWER_LIMIT).await;
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            shared.metrics.on_peer_bytes(PeerBytes::FetchedIn, answer.body.len());
            read_list(answer.body, from)
        }
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
            HandedReplicas::Busy(come_back(&answer.headers))
        }
        Ok(answer) => {
            info!(event = "fetch_failed", from:% = from, path, status = answer.status.as_u16(); "a node handed nothing out");
            HandedReplicas::Nothing
        }
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path, reason:% = err; "a node did not answer");
            HandedReplicas::Nothing
        }
    }
}

fn read_list(body: Bytes, from: SocketAddr) -> HandedReplicas {
    match ReplicaList::unpack(&body) {
        Ok(list) => HandedReplicas::List(list, body),
        Err(err) => {
            info!(event = "fetch_failed", from:% = from, path = REPLICAS_PATH, reason:% = err; "a node's list can't be read");
            HandedReplicas::Nothing
        }
    }
}

fn get(from: SocketAddr, path: &str) -> Request<Full<Bytes>> {
    let req = Request::get(path).header(header::HOST, from.to_string()).body(Full::default());
    req.expect("the request is valid")
}
