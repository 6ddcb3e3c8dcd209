//! Carries connections of nodes that have lost their path to replicas: answers `CONNECT` on the peer port.
//!
//! The other node speaks HTTP with the replica through the tunnel, so that all it promises its callers holds
//! as on a connection of its own. An orderly end of the replica's connection is passed on as one. Any other end
//! of a tunnel is a reset, also that of this process: an orderly end would look like the end of an answer that
//! has neither a length nor chunks. When the other node closes, the replica's connection is closed at once. A
//! tunnel ends at a replica, never at another tunnel.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_platform::head_bound::HeadBoundStream;
use leadstage_platform::patient_stream::PatientStream;
use log::debug;
use log::info;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadHalf;
use tokio::io::WriteHalf;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::TunnelAnswer;
use crate::gateway::replica_dialer::ReplicaDialer;
use crate::gateway::reset_on_close;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// Timeout of the connection to the replica: the other node waits, and has waited for its own attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of open tunnels: each takes two file descriptors and two buffers.
const MAX_TUNNELS: usize = 500;
/// Size of the buffer for one direction of a tunnel.
const BUF_BYTES: usize = 8 << 10;
/// A tunnel without a request in progress counts as unused after this long without any bytes.
const IDLE_TIME: Duration = Duration::from_millis(500);
/// Interval at which a stopping node closes unused tunnels.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for the other node to close after the replica has: closing before all of its bytes are read would
/// reset the connection and lose the end of the answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The tunnels that this node carries.
#[derive(Clone)]
pub struct Tunnels {
    shared: Arc<Shared>,
    open: Rc<Cell<usize>>,
}

/// Counts one tunnel as open until it is dropped.
struct TunnelGuard(Rc<Cell<usize>>);

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Tunnels {
    /// Creates a node's tunnels; none is open.
    pub fn new(shared: Arc<Shared>) -> Self {
        Tunnels { shared, open: Rc::default() }
    }

    /// Answers a request for a tunnel, which opens with the answer.
    pub async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let replica = req.uri().authority().and_then(|authority| authority.as_str().parse().ok());
        let (answer, referral) = match replica {
            Some(replica) => self.open(replica, req).await,
            None => (TunnelAnswer::UnknownReplica, None),
        };
        debug!(event = "tunnel_requested", replica:? = replica, answer:? = answer; "another node requested a tunnel");
        self.shared.metrics.on_tunnel_requested(answer);
        let mut res = Response::new(Full::default());
        *res.status_mut() = match answer {
            TunnelAnswer::Opened => StatusCode::OK,
            TunnelAnswer::ReplicaRefused => StatusCode::BAD_GATEWAY,
            TunnelAnswer::ReplicaSilent => StatusCode::GATEWAY_TIMEOUT,
            TunnelAnswer::NoPath | TunnelAnswer::Busy => StatusCode::SERVICE_UNAVAILABLE,
            TunnelAnswer::UnknownReplica => StatusCode::FORBIDDEN,
        };
        if let Some(referral) = referral {
            let via = HeaderValue::from_str(&referral.to_string()).expect("an address is a valid value");
            res.headers_mut().insert(header::LOCATION, via);
        }
        res
    }

    /// Opens a tunnel; without a path, also returns another node that may open one.
    async fn open(&self, replica: SocketAddr, req: Request<Incoming>) -> (TunnelAnswer, Option<SocketAddr>) {
        if self.shared.phase() != Phase::Serving || self.open.get() >= MAX_TUNNELS {
            return (TunnelAnswer::Busy, None);
        }
        let Some(service) = self.service_at(replica).await else {
            return (TunnelAnswer::UnknownReplica, None);
        };
        let dialer = ReplicaDialer::new(self.shared.clone(), service);
        if dialer.lacks_path(replica) {
            return (TunnelAnswer::NoPath, dialer.referral());
        }
        let upstream = match dialer.dial_directly(replica, CONNECT_TIMEOUT).await {
            Ok(upstream) => upstream,
            Err(_) if dialer.lacks_path(replica) => return (TunnelAnswer::NoPath, dialer.referral()),
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
                return (TunnelAnswer::ReplicaRefused, None);
            }
            Err(_) => return (TunnelAnswer::ReplicaSilent, None),
        };
        self.open.set(self.open.get() + 1);
        let guard = TunnelGuard(self.open.clone());
        tokio::task::spawn_local(carry_upgraded(self.shared.clone(), req, replica, upstream, guard));
        (TunnelAnswer::Opened, None)
    }

    /// The service of the known replica at an address; tunnels lead nowhere else.
    async fn service_at(&self, address: SocketAddr) -> Option<ServiceId> {
        let (tx, rx) = oneshot::channel();
        self.shared.notify(ToControl::ServiceAt(address, tx));
        rx.await.ok().flatten()
    }
}

async fn carry_upgraded(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    replica: SocketAddr,
    upstream: TcpStream,
    _guard: TunnelGuard,
) {
    let upgraded = match hyper::upgrade::on(req).await {
        Ok(upgraded) => upgraded.downcast::<TokioIo<HeadBoundStream>>(),
        Err(err) => {
            info!(event = "tunnel_lost", replica:% = replica, reason:% = err; "a tunnel ended before it was used");
            return;
        }
    };
    let Ok(parts) = upgraded else {
        info!(event = "tunnel_lost", replica:% = replica, reason = "unknown transport"; "a tunnel ended before it was used");
        return;
    };
    let client = parts.io.into_inner().into_inner();
    if let Err(err) = reset_on_close::set(&client, true) {
        info!(event = "tunnel_lost", replica:% = replica, reason:% = err; "a tunnel ended before it was used");
        return;
    }
    let mut upstream = upstream;
    if upstream.write_all(&parts.read_buf).await.is_ok() {
        let activity = Activity::default();
        tokio::select! {
            () = carry(client, upstream, &activity) => {}
            () = until_idle_in_stop(&shared, &activity) => {}
        }
    }
}

/// What a tunnel carried last.
#[derive(Debug)]
struct Activity {
    at: Cell<Instant>,
    awaits_answer: Cell<bool>,
    /// Whether bytes of an answer wait for the other node, which may not read for some time.
    holds_answer: Cell<bool>,
}

impl Default for Activity {
    fn default() -> Self {
        Activity {
            at: Cell::new(Instant::now()),
            awaits_answer: Cell::new(false),
            holds_answer: Cell::new(false),
        }
    }
}

impl Activity {
    /// Bytes were received, and are about to be sent on.
    fn begin_bytes(&self, to_replica: bool) {
        self.at.set(Instant::now());
        self.awaits_answer.set(to_replica);
        if !to_replica {
            self.holds_answer.set(true);
        }
    }

    /// The received bytes were sent on.
    fn end_bytes(&self, to_replica: bool) {
        self.at.set(Instant::now());
        if !to_replica {
            self.holds_answer.set(false);
        }
    }

    fn is_idle(&self) -> bool {
        !self.awaits_answer.get() && !self.holds_answer.get() && self.at.get().elapsed() >= IDLE_TIME
    }
}

/// Waits until a planned stop has begun and the tunnel is unused; the stop waits for it as for a request.
async fn until_idle_in_stop(shared: &Arc<Shared>, activity: &Activity) {
    shared.wait_for_phase(Phase::Stopping).await;
    let _open = shared.open();
    while !activity.is_idle() {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
}

/// How one direction of a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyEnd {
    /// The sender closed.
    Closed,
    /// The sender's connection broke.
    Broken,
    /// The receiver's connection broke.
    ReceiverGone,
}

/// Carries bytes in both directions until either side closes or breaks.
async fn carry(client: TcpStream, upstream: TcpStream, activity: &Activity) {
    let (mut from_client, mut to_client) = tokio::io::split(PatientStream::new(client));
    let (mut from_replica, mut to_replica) = tokio::io::split(PatientStream::new(upstream));
    let requests = async {
        match copy(&mut from_client, &mut to_replica, activity, true).await {
            // The replica may have answered before it closed: that answer is still carried.
            CopyEnd::ReceiverGone => std::future::pending().await,
            CopyEnd::Closed | CopyEnd::Broken => {}
        }
    };
    let answers = copy(&mut from_replica, &mut to_client, activity, false);
    let end = tokio::select! {
        () = requests => None,
        end = answers => Some(end),
    };
    if end == Some(CopyEnd::Closed) {
        close(from_client.unsplit(to_client)).await;
    }
}

async fn copy(
    from: &mut ReadHalf<PatientStream>,
    to: &mut WriteHalf<PatientStream>,
    activity: &Activity,
    to_replica: bool,
) -> CopyEnd {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        match from.read(&mut buf).await {
            Ok(0) => return CopyEnd::Closed,
            Ok(read) => {
                activity.begin_bytes(to_replica);
                if to.write_all(&buf[..read]).await.is_err() {
                    return CopyEnd::ReceiverGone;
                }
                activity.end_bytes(to_replica);
            }
            Err(_) => return CopyEnd::Broken,
        }
    }
}

/// Closes the connection to the other node after the replica closed its own in order.
async fn close(mut client: PatientStream) {
    let closing = async {
        reset_on_close::set(client.get_ref(), false)?;
        client.shutdown().await?;
        let mut buf = vec![0; BUF_BYTES];
        while client.read(&mut buf).await? > 0 {}
        Ok::<_, io::Error>(())
    };
    // However this ends, the socket is closed now.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, closing).await;
}
