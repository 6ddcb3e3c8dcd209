//! Asks other nodes for tunnels to replicas, see [`super::tunnel_port`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use leadstage_lib::gateway::replica_paths::Unreached;
use leadstage_lib::gateway::tunnel_search::ViaAnswer;
use leadstage_platform::arrival;
use leadstage_platform::connect;
use leadstage_platform::head_bound;
use leadstage_platform::head_bound::HeadBoundStream;
use tokio::net::TcpStream;

/// Timeout of the connection to the other node and of its answer: some round trips between halls, the time in
/// which it connects to the replica, and the scheduling delay of a busy node.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(220);

/// Why there is no tunnel.
#[derive(Debug, Display, Error, From)]
pub enum TunnelError {
    /// The other node did not reach the replica either.
    #[display("the replica was not reached: {}", io::ErrorKind::from(*_0))]
    #[from(skip)]
    ReplicaUnreached(#[error(not(source))] Unreached),
    /// The other node opens no tunnel.
    #[display("status {status}")]
    #[from(skip)]
    Rejected {
        /// The status.
        status: StatusCode,
        /// A node that opened tunnels for it recently.
        referral: Option<SocketAddr>,
    },
    /// The other node was not reached.
    Socket(io::Error),
    /// The other node's answer was not received.
    Http(hyper::Error),
    /// The other node did not answer in time.
    #[display("no answer in time")]
    TimedOut,
}

impl TunnelError {
    /// What the failure says about the node that was asked, and about the replica.
    pub fn answer(&self) -> ViaAnswer {
        match self {
            TunnelError::ReplicaUnreached(unreached) => ViaAnswer::ReplicaUnreached(*unreached),
            TunnelError::Rejected { referral, .. } => ViaAnswer::Unavailable { referral: *referral },
            TunnelError::Socket(_) | TunnelError::Http(_) | TunnelError::TimedOut => {
                ViaAnswer::Unavailable { referral: None }
            }
        }
    }
}

/// Opens a tunnel to `replica` through the node whose peer address is `via`. Bytes on the connection go to
/// the replica, and its answers come back.
pub async fn open(via: SocketAddr, replica: SocketAddr) -> Result<TcpStream, TunnelError> {
    let opening = arrival::timeout(TUNNEL_TIMEOUT, request(via, replica));
    opening.await.map_err(|_| TunnelError::TimedOut)?
}

async fn request(via: SocketAddr, replica: SocketAddr) -> Result<TcpStream, TunnelError> {
    let stream = connect::connect(via, None, TUNNEL_TIMEOUT).await?;
    let (mut sender, connection) = head_bound::handshake(&http1::Builder::new(), stream).await?;
    tokio::task::spawn_local(async move {
        // The request gets the error that ends the connection.
        let _ = connection.with_upgrades().await;
    });
    let req = Request::builder()
        .method(Method::CONNECT)
        .uri(replica.to_string())
        .header(header::HOST, replica.to_string())
        .body(Empty::<Bytes>::new())
        .expect("the request is valid");
    let res = sender.send_request(req).await?;
    match res.status() {
        StatusCode::OK => {}
        StatusCode::BAD_GATEWAY => {
            return Err(TunnelError::ReplicaUnreached(Unreached::Refused));
        }
        StatusCode::GATEWAY_TIMEOUT => {
            return Err(TunnelError::ReplicaUnreached(Unreached::Silent));
        }
        status => {
            let referral =
                res.headers().get(header::LOCATION).and_then(|via| via.to_str().ok()?.parse().ok());
            return Err(TunnelError::Rejected { status, referral });
        }
    }
    let parts = hyper::upgrade::on(res).await?.downcast::<TokioIo<HeadBoundStream>>();
    // A replica sends nothing before it has received a request, so no bytes were read beyond the answer.
    parts
        .map(|parts| parts.io.into_inner().into_inner())
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData).into())
}
