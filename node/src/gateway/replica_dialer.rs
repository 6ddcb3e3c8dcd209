//! Opens connections to replicas, and records which ones this node reaches.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use leadstage_lib::gateway::replica_paths::PathChange;
use leadstage_platform::connect;
use leadstage_platform::connect::Dial;
use log::info;
use log::warn;
use tokio::net::TcpStream;

use crate::gateway::shared::Shared;

/// Opens connections to replicas.
#[derive(Clone)]
pub struct ReplicaDialer {
    shared: Arc<Shared>,
}

impl ReplicaDialer {
    /// Creates a dialer that records its outcomes in `shared`.
    pub fn new(shared: Arc<Shared>) -> Self {
        ReplicaDialer { shared }
    }
}

impl Dial for ReplicaDialer {
    async fn dial(&self, replica: SocketAddr) -> io::Result<TcpStream> {
        // On a machine with several addresses, replicas see the one that other nodes know.
        let source = Some(self.shared.settings.peer.ip());
        let dialed = connect::connect(replica, source, connect::CONNECT_TIMEOUT).await;
        let failure = dialed.as_ref().err().map(io::Error::kind);
        self.shared.metrics.on_dial(failure);
        let (change, unreached) = self.shared.with_paths(|paths| {
            let change = paths.on_direct(replica, failure.is_none());
            (change, paths.unreached())
        });
        if let Some(failure) = failure {
            info!(event = "replica_unreached", replica:% = replica, reason:% = failure, unreached; "no connection to a replica");
        }
        match change {
            Some(PathChange::Lost) => {
                warn!(event = "path_lost", unreached; "this node reaches no replica")
            }
            Some(PathChange::Restored) => {
                warn!(event = "path_restored", replica:% = replica; "this node reaches replicas again")
            }
            None => {}
        }
        dialed
    }
}
