//! Sends datagrams to other nodes and receives theirs.

use std::net::SocketAddr;
use std::sync::Arc;

use leadstage_lib::ids::VmId;
use log::debug;
use log::warn;
use tokio::net::UdpSocket;

use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::PeerBytes;
use crate::gateway::peers::peer_message::Datagram;
use crate::gateway::peers::peer_message::MAX_DATAGRAM_BYTES;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;

/// Sends datagrams to other nodes.
#[derive(Clone)]
pub struct Outbox {
    socket: Arc<UdpSocket>,
    shared: Arc<Shared>,
}

/// Returns the id of a node in membership and in the choice of leads: its peer address, as the list of
/// seeds holds nothing else.
pub fn node_id(address: SocketAddr) -> VmId {
    address.to_string().into()
}

/// Returns the peer address of a node.
pub fn address_of(node: &VmId) -> Option<SocketAddr> {
    node.parse().ok()
}

impl Outbox {
    /// Creates an outbox that sends through `socket`.
    pub fn new(socket: Arc<UdpSocket>, shared: Arc<Shared>) -> Self {
        Outbox { socket, shared }
    }

    /// Sends a message to one node. Like any datagram, it may be lost.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let config = self.shared.config_version();
        let from = self.shared.settings.peer;
        let replicas_at = self.shared.replicas_at();
        let closed_halls = (*self.shared.closed_halls()).clone();
        let crash_digest = self.shared.crash_digest();
        let limits_digest = self.shared.limits_digest();
        let upgrades = self.shared.upgrades().announced(self.shared.now());
        let datagram = Datagram {
            from,
            config,
            replicas_at,
            closed_halls,
            crash_digest,
            limits_digest,
            upgrades,
            message,
        };
        match postcard::to_stdvec(&datagram) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => match self.socket.try_send_to(&bytes, to) {
                Ok(sent) => {
                    self.shared.metrics.on_peer_bytes(PeerBytes::DatagramsOut, sent);
                    self.shared.metrics.on_peer_sent(message.kind(), sent);
                }
                Err(err) => {
                    debug!(event = "datagram_not_sent", to:% = to, reason:% = err; "a datagram was not sent")
                }
            },
            Ok(bytes) => {
                warn!(event = "datagram_too_large", to:% = to, bytes = bytes.len(); "a datagram is too large")
            }
            Err(err) => warn!(event = "datagram_unwritable", reason:% = err; "a datagram can't be encoded"),
        }
    }
}

/// Passes received datagrams to the control loop until the process ends.
pub async fn receive(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let read = match socket.recv_from(&mut buf).await {
            Ok((read, _)) => read,
            // The socket reports that an earlier datagram reached a closed port.
            Err(err) => {
                debug!(event = "datagram_not_received", reason:% = err; "the peer socket reported an error");
                tokio::task::yield_now().await;
                continue;
            }
        };
        shared.metrics.on_peer_bytes(PeerBytes::DatagramsIn, read);
        match postcard::from_bytes::<Datagram>(&buf[..read]) {
            Ok(datagram) => shared.notify(ToControl::Datagram(datagram)),
            Err(err) => debug!(event = "datagram_unreadable", reason:% = err; "a datagram can't be decoded"),
        }
    }
}
