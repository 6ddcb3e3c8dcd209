//! Counts what this node has sent to other nodes, by kind of message.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The purpose of a message to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Membership: which nodes are alive.
    Membership,
    /// Placement of generations: requests, answers, and what became of the generations.
    Placing,
    /// The inventory of the node's generations, sent to a lead.
    Inventory,
    /// Replica updates.
    Replicas,
    /// Pulses of watchers of the store.
    Pulse,
    /// Announcements of a newer configuration.
    Config,
    /// Announcements that halls were closed or opened.
    Halls,
    /// Requests under which replicas ended.
    Suspects,
    /// Limits that replicas announce, and grants for them.
    Limits,
    /// Stages of upgrades, and counts of how both versions answer.
    Upgrades,
    /// Calls to plain services that look short, and the shares of their organisations.
    Shares,
    /// A configuration, or the difference to an older one, served to another node.
    ConfigServed,
    /// A list of replicas, or the changes to it, served to another node.
    ReplicasServed,
}

impl MessageKind {
    /// All kinds, in declaration order.
    pub const ALL: [MessageKind; 13] = [
        MessageKind::Membership,
        MessageKind::Placing,
        MessageKind::Inventory,
        MessageKind::Replicas,
        MessageKind::Pulse,
        MessageKind::Config,
        MessageKind::Halls,
        MessageKind::Suspects,
        MessageKind::Limits,
        MessageKind::Upgrades,
        MessageKind::Shares,
        MessageKind::ConfigServed,
        MessageKind::ReplicasServed,
    ];

    /// The name of the kind in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            MessageKind::Membership => "membership",
            MessageKind::Placing => "placing",
            MessageKind::Inventory => "inventory",
            MessageKind::Replicas => "replicas",
            MessageKind::Pulse => "pulse",
            MessageKind::Config => "config",
            MessageKind::Halls => "halls",
            MessageKind::Suspects => "suspects",
            MessageKind::Limits => "limits",
            MessageKind::Upgrades => "upgrades",
            MessageKind::Shares => "shares",
            MessageKind::ConfigServed => "config_handed_out",
            MessageKind::ReplicasServed => "replicas_handed_out",
        }
    }
}

/// Messages and bytes sent since the process started.
#[derive(Debug, Default)]
pub struct SentCounts {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl SentCounts {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl fmt::Display for SentCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.messages.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }
}

/// Messages and bytes sent, by kind; bytes don't include packet headers.
#[derive(Debug, Default)]
pub struct PeerTraffic([SentCounts; MessageKind::ALL.len()]);

impl PeerTraffic {
    /// Counts a message that was sent.
    pub fn on_sent(&self, kind: MessageKind, bytes: usize) {
        self.0[kind as usize].add(bytes);
    }

    /// Returns the counts of a kind.
    pub fn of(&self, kind: MessageKind) -> &SentCounts {
        &self.0[kind as usize]
    }
}
