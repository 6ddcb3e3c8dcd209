//! Opens connections to replicas: directly, or through another node while this one has no path.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use leadstage_lib::gateway::replica_paths::DialPlan;
use leadstage_lib::gateway::replica_paths::PathChange;
use leadstage_lib::gateway::replica_paths::ReplicaPaths;
use leadstage_lib::gateway::replica_paths::Unreached;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::tunnel_search::NotFound;
use leadstage_lib::gateway::tunnel_search::TunnelSearch;
use leadstage_lib::gateway::tunnel_search::ViaAnswer;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::arrival;
use leadstage_platform::connect;
use leadstage_platform::connect::Dial;
use log::info;
use log::warn;
use tokio::net::TcpStream;

use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::DialOutcome;
use crate::gateway::peers::tunnel_client;
use crate::gateway::peers::tunnel_client::TunnelError;
use crate::gateway::shared::Shared;

/// Time after which a tunnel is tried beside a direct connection that is not open yet. Connections within a
/// region open within some milliseconds.
const HEAD_START: Duration = Duration::from_millis(100);
/// Number of nodes that are asked at the same time while none is known to reach the replica.
const VIAS_AT_ONCE: usize = 3;

/// Opens connections to the replicas of a service.
#[derive(Clone)]
pub struct ReplicaDialer {
    shared: Arc<Shared>,
    service: ServiceId,
}

impl Dial for ReplicaDialer {
    /// Fails with [`io::ErrorKind::NetworkUnreachable`] if the failure shows nothing about the replica, as
    /// neither this node nor those that it asked have a path.
    async fn dial(&self, replica: SocketAddr) -> io::Result<TcpStream> {
        let plan = self.with_paths(|paths, now| paths.plan(replica, now));
        match plan {
            DialPlan::DirectOnly => self.dial_directly(replica, connect::CONNECT_TIMEOUT).await,
            DialPlan::DirectFirst => self.dial_both(replica).await,
            DialPlan::Fail(unreached) => {
                self.shared.metrics.on_dial(DialOutcome::NoPath);
                Err(io::ErrorKind::from(unreached).into())
            }
            DialPlan::Tunnel if self.shared.tunnel_nodes().is_empty() => {
                self.dial_directly(replica, connect::CONNECT_TIMEOUT).await
            }
            DialPlan::Tunnel => Box::pin(self.open_tunnel(replica, 1)).await,
        }
    }
}

impl ReplicaDialer {
    /// Creates a dialer that keeps what it learns in `shared`.
    pub fn new(shared: Arc<Shared>, service: ServiceId) -> Self {
        ReplicaDialer { shared, service }
    }

    fn with_paths<T>(&self, access: impl FnOnce(&mut ReplicaPaths, Timestamp) -> T) -> T {
        let now = self.shared.now();
        self.shared.with_paths(&self.service, |paths| access(paths, now))
    }

    /// Whether this node has no direct path to a replica that others may reach.
    pub fn lacks_path(&self, replica: SocketAddr) -> bool {
        self.with_paths(|paths, _| paths.lacks_path(replica))
    }

    /// Opens a direct connection within `limit`.
    pub async fn dial_directly(&self, replica: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
        // On a machine with several addresses, replicas see the one that other nodes know.
        let source = Some(self.shared.settings.peer.ip());
        let dialed = connect::connect(replica, source, limit).await;
        self.shared.metrics.on_dial(DialOutcome::of(&dialed));
        let (change, unreached, was_in_doubt) = self.with_paths(|paths, _| {
            let was_in_doubt = paths.is_in_doubt();
            let outcome = dialed.as_ref().map(drop).map_err(|err| Unreached::from(err.kind()));
            let change = paths.on_direct(replica, outcome);
            (change, paths.unreached(), was_in_doubt)
        });
        if was_in_doubt && dialed.is_ok() {
            self.shared.notify(ToControl::PathRestored(self.service.clone()));
        }
        if let Err(err) = &dialed {
            info!(event = "replica_unreached", replica:% = replica, reason:% = err.kind(), unreached; "no connection to a replica");
        }
        self.on_change(change, replica);
        dialed
    }

    /// Probes the path to a replica: directly, and also through other nodes unless these are known to reach
    /// replicas.
    pub fn spawn_probe(&self, replica: SocketAddr) {
        let dialer = self.clone();
        tokio::task::spawn_local(async move {
            // The outcome is recorded; the connection is not used.
            let _ = if dialer.lacks_path(replica) {
                dialer.dial_directly(replica, connect::CONNECT_TIMEOUT).await
            } else {
                dialer.dial_both(replica).await
            };
        });
    }

    /// Connects directly, and through a tunnel if that fails or takes long.
    async fn dial_both(&self, replica: SocketAddr) -> io::Result<TcpStream> {
        let mut direct = std::pin::pin!(self.dial_directly(replica, connect::CONNECT_TIMEOUT));
        let failure = match arrival::timeout(HEAD_START, &mut direct).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(err)) => Some(err),
            Err(_) => None,
        };
        if self.shared.tunnel_nodes().is_empty() {
            return match failure {
                Some(err) => Err(err),
                None => direct.await,
            };
        }
        let mut tunnel = Box::pin(self.open_tunnel(replica, VIAS_AT_ONCE));
        let direct_failure = match failure {
            Some(err) => err,
            None => tokio::select! {
                biased;
                dialed = &mut direct => match dialed {
                    Ok(stream) => return Ok(stream),
                    Err(err) => err,
                },
                tunnelled = &mut tunnel => return match tunnelled {
                    Ok(stream) => Ok(self.on_blocked(replica, stream)),
                    Err(_) => direct.await,
                },
            },
        };
        match tunnel.await {
            Ok(stream) => Ok(self.on_blocked(replica, stream)),
            Err(err) if err.kind() == io::ErrorKind::NetworkUnreachable && self.lacks_path(replica) => {
                Err(err)
            }
            Err(_) => Err(direct_failure),
        }
    }

    /// Records that a replica was reached through `tunnel` but not directly.
    fn on_blocked(&self, replica: SocketAddr, tunnel: TcpStream) -> TcpStream {
        let change = self.with_paths(|paths, now| paths.on_blocked(replica, now));
        info!(event = "path_blocked", replica:% = replica; "another node reaches a replica that this one does not");
        self.on_change(change, replica);
        tunnel
    }

    /// Opens a connection through another node; `at_once` nodes are asked at the same time.
    async fn open_tunnel(&self, replica: SocketAddr, at_once: usize) -> io::Result<TcpStream> {
        let own = self.shared.settings.peer;
        let mut search = TunnelSearch::new(replica, own, &self.shared.tunnel_nodes(), at_once);
        let mut opening = FuturesUnordered::new();
        loop {
            while let Some(via) = self.with_paths(|paths, now| search.next(paths, now, &mut rand::rng())) {
                opening.push(async move { (via, tunnel_client::open(via, replica).await) });
            }
            let Some((via, opened)) = opening.next().await else {
                break;
            };
            let answer = opened.as_ref().map_or_else(TunnelError::answer, |_| ViaAnswer::Opened);
            self.with_paths(|paths, now| search.on_answer(paths, via, answer, now));
            match opened {
                Ok(stream) => {
                    self.shared.metrics.on_dial(DialOutcome::Tunnelled);
                    return Ok(stream);
                }
                Err(err) => {
                    info!(event = "tunnel_failed", replica:% = replica, via:% = via, reason:% = err; "no tunnel to a replica through another node")
                }
            }
        }
        match self.with_paths(|paths, now| search.give_up(paths, now)) {
            NotFound::ReplicaUnreached(unreached) => Err(io::ErrorKind::from(unreached).into()),
            NotFound::NoPath => {
                self.shared.metrics.on_dial(DialOutcome::NoPath);
                Err(io::ErrorKind::NetworkUnreachable.into())
            }
        }
    }

    /// Returns a node that opened a tunnel for this one recently.
    pub fn referral(&self) -> Option<SocketAddr> {
        self.with_paths(|paths, now| paths.referral(now, &mut rand::rng()))
    }

    /// Forgets a replica that is gone.
    pub fn forget(&self, replica: SocketAddr) {
        let change = self.with_paths(|paths, _| paths.forget(replica));
        self.on_change(change, replica);
    }

    fn on_change(&self, change: Option<PathChange>, replica: SocketAddr) {
        match change {
            Some(PathChange::Lost) => {
                warn!(event = "path_lost", service = &*self.service, replica:% = replica; "this node reaches no replica of a service by itself");
                self.shared.notify(ToControl::PathLost(self.service.clone()));
            }
            Some(PathChange::Restored) => {
                warn!(event = "path_restored", service = &*self.service, replica:% = replica; "this node reaches replicas of a service again")
            }
            None => {}
        }
    }
}
