//! What this node has sent to others, by kind of message.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// What a message to another node is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Which nodes are alive.
    Membership,
    /// Places for generations: questions, answers, and what became of them.
    Placing,
    /// All generations of the node, told to a lead.
    Inventory,
    /// News of the replicas.
    Replicas,
    /// Pulses of the store's watchers.
    Pulse,
    /// There is a newer configuration.
    Config,
    /// Halls were closed or opened.
    Halls,
    /// Requests under which replicas ended.
    Suspects,
    /// Limits that replicas name, and grants for them.
    Limits,
    /// Stages of upgrades, and how both versions answer.
    Upgrades,
    /// A configuration, or what differs, handed out.
    ConfigHandedOut,
    /// A list of replicas, or what differs, handed out.
    ReplicasHandedOut,
}

impl MessageKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [MessageKind; 12] = [
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
        MessageKind::ConfigHandedOut,
        MessageKind::ReplicasHandedOut,
    ];

    /// Its name in logs and metrics.
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
            MessageKind::ConfigHandedOut => "config_handed_out",
            MessageKind::ReplicasHandedOut => "replicas_handed_out",
        }
    }
}

/// Messages and bytes since the start.
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

/// What was sent of each kind; bytes without the headers of packets.
#[derive(Debug, Default)]
pub struct PeerTraffic([SentCounts; MessageKind::ALL.len()]);

impl PeerTraffic {
    /// A message was sent.
    pub fn on_sent(&self, kind: MessageKind, bytes: usize) {
        self.0[kind as usize].add(bytes);
    }

    /// What was sent of a kind.
    pub fn of(&self, kind: MessageKind) -> &SentCounts {
        &self.0[kind as usize]
    }
}
