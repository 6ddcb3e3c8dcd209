//! Opens connections to replicas: directly, or through another node while this one has no path.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::replica_paths::DialPlan;
use leadstage_lib::gateway::replica_paths::PathChange;
use leadstage_lib::gateway::replica_paths::ReplicaPaths;
use leadstage_lib::gateway::replica_paths::TunnelOutcome;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::arrival;
use leadstage_platform::connect;
use leadstage_platform::connect::Dial;
use log::info;
use log::warn;
use tokio::net::TcpStream;

use crate::gateway::observability::metrics::DialOutcome;
use crate::gateway::peers::tunnel_client;
use crate::gateway::peers::tunnel_client::TunnelError;
use crate::gateway::shared::Shared;

/// Time after which a tunnel is tried beside a direct connection that is not open yet. Connections within a
/// region open within some milliseconds.
const HEAD_START: Duration = Duration::from_millis(100);
/// Maximum number of nodes that are asked for a tunnel to a replica.
const MAX_VIAS: usize = 4;

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
            DialPlan::Tunnel { .. } if self.shared.tunnel_nodes().is_empty() => {
                self.dial_directly(replica, connect::CONNECT_TIMEOUT).await
            }
            DialPlan::Tunnel { probes_direct } => {
                if probes_direct {
                    self.spawn_probe(replica);
                }
                self.open_tunnel(replica).await
            }
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
        let (change, unreached) = self.with_paths(|paths, _| {
            let change = paths.on_direct(replica, dialed.is_ok());
            (change, paths.unreached())
        });
        if let Err(err) = &dialed {
            info!(event = "replica_unreached", replica:% = replica, reason:% = err.kind(), unreached; "no connection to a replica");
        }
        log_change(change, &self.service, replica);
        dialed
    }

    /// Probes the direct path to a replica unless a path was probed recently.
    pub fn probe_if_due(&self, replica: SocketAddr) {
        if self.with_paths(ReplicaPaths::take_probe) {
            self.spawn_probe(replica);
        }
    }

    fn spawn_probe(&self, replica: SocketAddr) {
        let dialer = self.clone();
        tokio::task::spawn_local(async move {
            // The outcome is recorded; the connection is not used.
            let _ = dialer.dial_directly(replica, connect::CONNECT_TIMEOUT).await;
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
        let mut tunnel = std::pin::pin!(self.open_tunnel(replica));
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
        log_change(change, &self.service, replica);
        tunnel
    }

    /// Opens a connection through another node, asking one after the other.
    async fn open_tunnel(&self, replica: SocketAddr) -> io::Result<TcpStream> {
        let mut tried = Vec::new();
        while tried.len() < MAX_VIAS {
            let Some(via) = self.choose_via(&tried) else {
                break;
            };
            tried.push(via);
            let opened = tunnel_client::open(via, replica).await;
            let outcome = match &opened {
                Ok(_) => TunnelOutcome::Opened,
                Err(TunnelError::ReplicaUnreached(_)) => TunnelOutcome::ReplicaUnreached,
                Err(_) => TunnelOutcome::Unavailable,
            };
            self.with_paths(|paths, now| paths.on_tunnel(replica, via, outcome, now));
            match opened {
                Ok(stream) => {
                    self.shared.metrics.on_dial(DialOutcome::Tunnelled);
                    return Ok(stream);
                }
                Err(err) => {
                    info!(event = "tunnel_failed", replica:% = replica, via:% = via, reason:% = err; "no tunnel to a replica through another node");
                    if let TunnelError::ReplicaUnreached(kind) = err {
                        return Err(kind.into());
                    }
                }
            }
        }
        self.shared.metrics.on_dial(DialOutcome::NoPath);
        Err(io::ErrorKind::NetworkUnreachable.into())
    }

    fn choose_via(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let nodes = self.shared.tunnel_nodes();
        self.with_paths(|paths, now| paths.choose_via(&nodes, tried, now, &mut rand::rng()))
    }
}

fn log_change(change: Option<PathChange>, service: &str, replica: SocketAddr) {
    match change {
        Some(PathChange::Lost) => {
            warn!(event = "path_lost", service, replica:% = replica; "this node reaches no replica of a service by itself")
        }
        Some(PathChange::Restored) => {
            warn!(event = "path_restored", service, replica:% = replica; "this node reaches replicas of a service again")
        }
        None => {}
    }
}
