//! Serves the configuration and the list of replicas to nodes that don't follow the store or have missed
//! updates, and tunnels to nodes that have lost their path to replicas.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use leadstage_lib::gateway::config_text::Edition;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_lib::gateway::transfer_slots;
use leadstage_lib::gateway::transfer_slots::TransferSlots;
use leadstage_platform::head_bound;
use leadstage_platform::head_bound::RequestHeads;
use leadstage_platform::store::Revision;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway::http_port;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::PeerBytes;
use crate::gateway::observability::peer_traffic::MessageKind;
use crate::gateway::peers::tunnel_port::Tunnels;
use crate::gateway::shared::Shared;

/// Path of the configuration, see [`leadstage_lib::gateway::config_text`]. The query is the version that
/// the requesting node has.
pub const CONFIG_PATH: &str = "/config";
/// Path of the replicas that a node knows. The query is the revision up to which the requesting node
/// knows them.
pub const REPLICAS_PATH: &str = "/replicas";
/// Responses up to this size, a few packets, need no transfer slot.
const MAX_BYTES_WITHOUT_SLOT: usize = 4 << 10;
/// The slot of a transfer that is slower than this is freed for another transfer, as its receiver may have
/// stalled; the slow transfer continues.
const MIN_BITS_PER_SECOND: f64 = 1e6;
/// The slot of a transfer is not freed for slowness before this time.
const MIN_SLOT_TIME: Duration = Duration::from_secs(1);

/// A slot for a large transfer, released on drop.
struct SlotGuard {
    transfer_slots: Rc<RefCell<TransferSlots>>,
    since: Instant,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.transfer_slots.borrow_mut().release(self.since.elapsed());
    }
}

/// The state that one connection needs to answer requests.
struct Connection {
    shared: Arc<Shared>,
    tunnels: Tunnels,
    transfer_slots: Rc<RefCell<TransferSlots>>,
    /// Task that holds the slot until the connection ends, which the receiver closes when it has everything.
    transfer: RefCell<Option<AbortOnDropHandle<()>>>,
}

/// Serves other nodes until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let max_transfers = transfer_slots::max_concurrent(shared.settings.link_bits_per_second());
    let transfer_slots = Rc::new(RefCell::new(TransferSlots::new(max_transfers)));
    let tunnels = Tunnels::new(shared.clone());
    loop {
        let stream = http_port::accept(&listener, "peer").await;
        let connection = Connection {
            shared: shared.clone(),
            tunnels: tunnels.clone(),
            transfer_slots: transfer_slots.clone(),
            transfer: RefCell::default(),
        };
        tokio::task::spawn_local(connection.serve(stream));
    }
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let (stream, heads) = head_bound::accept(stream);
        let service = service_fn(|mut req: Request<Incoming>| {
            let (this, heads) = (&self, &heads);
            async move {
                let has_ended = heads.drop_body(req.body_mut()).await;
                let mut res = if req.method() == Method::CONNECT {
                    this.connect(req, heads).await
                } else {
                    this.answer(&req).await
                };
                if !has_ended {
                    http_port::close_after(&mut res);
                }
                Ok::<_, Infallible>(res)
            }
        });
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // After an error, the requesting node retries.
        let _ = serving.with_upgrades().await;
    }

    async fn connect(&self, req: Request<Incoming>, heads: &RequestHeads) -> Response<Full<Bytes>> {
        let res = self.tunnels.answer(req).await;
        if res.status().is_success() {
            // The bytes in the tunnel are no further request.
            heads.expect_none();
        }
        res
    }

    async fn answer(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let known = req.uri().query().and_then(|known| known.parse().ok()).unwrap_or(0);
        let (res, kind) = match req.uri().path() {
            CONFIG_PATH => (self.configuration(req, known), MessageKind::ConfigServed),
            REPLICAS_PATH => (self.replicas(known).await, MessageKind::ReplicasServed),
            _ => return empty_response(StatusCode::NOT_FOUND),
        };
        let bytes = res.body().size_hint().lower() as usize;
        self.shared.metrics.on_peer_bytes(PeerBytes::ServedOut, bytes);
        self.shared.metrics.on_peer_sent(kind, bytes);
        res
    }

    fn configuration(&self, req: &Request<Incoming>, known: ConfigVersion) -> Response<Full<Bytes>> {
        let Some(text) = self.shared.config_text() else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        if text.version <= known {
            return empty_response(StatusCode::NOT_MODIFIED);
        }
        let (edition, bytes) = match text.encoded_for(known) {
            Ok(encoded) => encoded,
            Err(err) => {
                warn!(event = "config_unwritable", version = text.version, reason:% = err; "the configuration can't be compressed");
                return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
            }
        };
        let from = range_start(req.headers(), edition);
        let mut res = self.serve_bytes(bytes.slice(from.unwrap_or(0)..));
        if res.status() == StatusCode::OK {
            let tag = HeaderValue::from_str(&edition.to_string()).expect("numbers are a valid value");
            res.headers_mut().insert(header::ETAG, tag);
            if from.is_some() {
                *res.status_mut() = StatusCode::PARTIAL_CONTENT;
            }
        }
        res
    }

    async fn replicas(&self, known: Revision) -> Response<Full<Bytes>> {
        let (tx, rx) = oneshot::channel();
        self.shared.notify(ToControl::ServeReplicas(known, tx));
        match rx.await {
            Ok(packed) => self.serve_bytes(packed),
            // The control loop has logged the reason.
            Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// Responds with `bytes`, or with a `Retry-After` if too many large transfers are in progress.
    fn serve_bytes(&self, bytes: Bytes) -> Response<Full<Bytes>> {
        if bytes.len() > MAX_BYTES_WITHOUT_SLOT {
            if let Err(after) = self.transfer_slots.borrow_mut().try_acquire() {
                let mut res = empty_response(StatusCode::SERVICE_UNAVAILABLE);
                let after = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()));
                res.headers_mut().insert(header::RETRY_AFTER, after.expect("a number is a valid value"));
                return res;
            }
            self.hold_slot(bytes.len());
        }
        Response::new(Full::from(bytes))
    }

    fn hold_slot(&self, bytes: usize) {
        let slot = SlotGuard { transfer_slots: self.transfer_slots.clone(), since: Instant::now() };
        let max_time = Duration::from_secs_f64(bytes as f64 * 8.0 / MIN_BITS_PER_SECOND);
        let holder = tokio::task::spawn_local(async move {
            tokio::time::sleep(max_time.max(MIN_SLOT_TIME)).await;
            drop(slot);
        });
        self.transfer.replace(Some(AbortOnDropHandle::new(holder)));
    }
}

/// Returns the offset at which a node that has the beginning of an edition wants to continue.
fn range_start(headers: &HeaderMap, edition: Edition) -> Option<usize> {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    text(header::IF_RANGE).filter(|tag| *tag == edition.to_string())?;
    let from = text(header::RANGE)?.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok()?;
    (from <= edition.bytes).then_some(from)
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
