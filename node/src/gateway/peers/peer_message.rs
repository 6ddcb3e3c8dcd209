//! What nodes tell each other: one datagram each, encoded with postcard.
//!
//! Datagrams hold no connection that a cut could leave hanging, and every message may be
//! lost: what must not be lost is told again.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::crash_ledger::Suspect;
use leadstage_lib::gateway::inventory::Inventory;
use leadstage_lib::gateway::limit_grants::Grant;
use leadstage_lib::gateway::limit_grants::GrantRequestId;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::regions::AllowedRegions;
use leadstage_lib::gateway::replica_limits::AnnouncedLimit;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replica_updates::PackedUpdate;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::trial_evidence::TrialReport;
use leadstage_lib::gateway::trial_reports::SampleCount;
use leadstage_lib::gateway::upgrade::AnnouncedUpgrades;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::gateway::watchers::PulseNumber;
use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::membership::News;
use leadstage_platform::store::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::observability::peer_traffic::MessageKind;

/// Bytes of a datagram at most. Nearly all fit into one packet; the inventory of a busy
/// node takes a few.
pub const MAX_DATAGRAM_BYTES: usize = 18 << 10;
/// Bytes of an inventory's requests in one datagram at most; what stands beside them takes less
/// than 100, and closed halls 2,100 where their names are the longest.
pub const MAX_INVENTORY: usize = 15 << 10;

/// A datagram; `M` is a message, or a reference to one that is sent to several nodes.
#[derive(Debug, Deserialize, Serialize)]
pub struct Datagram<M = PeerMessage> {
    /// The sender's peer address.
    pub from: SocketAddr,
    /// The sender's configuration; 0 without one.
    pub config: ConfigVersion,
    /// The store's revision up to which the sender knows the replicas.
    pub replicas_at: Revision,
    /// The halls that are closed, as far as the sender knows.
    pub closed_halls: ClosedHalls,
    /// Stands for what the sender knows of requests under which replicas ended.
    pub crash_digest: u64,
    /// Stands for the limits of replicas that the sender knows.
    pub limits_digest: u64,
    /// The upgrades, as far as the sender knows.
    pub upgrades: AnnouncedUpgrades,
    /// The message.
    pub message: M,
}

/// A message.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Are you there? Carries news of the fleet.
    Probe(ProbeId, Gossip),
    /// Yes. Carries news back.
    ProbeAnswer(ProbeId, Gossip),
    /// Probe that node for me.
    ProbeFor(ProbeId, SocketAddr),
    /// Place a generation.
    Place(RemotePlace),
    /// Where it goes; `None` if nowhere.
    Placed(RunId, Result<ReplicaRecord, NoRoom>),
    /// It waits at the lead until an engine has room.
    Waits(RunId),
    /// The generation's first event came.
    FirstEvent(RunId),
    /// The generation is no longer at its engine.
    Ended(RunId),
    /// An engine failed a generation of the sender.
    EngineFailed(Incarnation),
    /// The generation's copy is complete, or is not made after all.
    Copied(RunId),
    /// The generation should move away from this engine.
    MoveAway(RunId, UpstreamId),
    /// The sender's requests at the replicas of services that the receiver leads, or a part of them.
    Inventory(Inventory),
    /// What a watcher has learnt of the replicas; passed on unchanged.
    Replicas(PackedUpdate),
    /// A watcher of the store is there; passed on unchanged.
    Pulse(Pulse),
    /// The sender has a newer configuration; its version stands in the datagram.
    NewConfig,
    /// The sender has learnt that halls were closed or opened; they stand in the datagram.
    HallsChanged,
    /// Requests under which replicas ended. What is new is passed on.
    Suspects(Vec<Suspect>),
    /// Limits that replicas name, or take back. What is new is passed on.
    Limits(Vec<AnnouncedLimit>),
    /// May the sender send a request to a replica that names a limit?
    AskGrant(AskGrant),
    /// Whether it may.
    Granted(GrantRequestId, Grant),
    /// An upgrade has come to another stage; all stand in the datagram.
    UpgradesChanged,
    /// How the replicas of both versions have answered the sender's requests.
    AnswerCounts(CountsReport),
    /// The sender has come to know the replicas; up to which revision stands in the datagram.
    NewReplicas,
    /// The sender, who judges an upgrade, has a report of the receiver's.
    CountsTaken(ReportId),
}

impl PeerMessage {
    /// What it is for.
    pub fn kind(&self) -> MessageKind {
        match self {
            PeerMessage::Probe(..) | PeerMessage::ProbeAnswer(..) | PeerMessage::ProbeFor(..) => {
                MessageKind::Membership
            }
            PeerMessage::Place(_)
            | PeerMessage::Placed(..)
            | PeerMessage::Waits(_)
            | PeerMessage::FirstEvent(_)
            | PeerMessage::Ended(_)
            | PeerMessage::EngineFailed(_)
            | PeerMessage::Copied(_)
            | PeerMessage::MoveAway(..) => MessageKind::Placing,
            PeerMessage::Inventory(_) => MessageKind::Inventory,
            PeerMessage::Replicas(_) | PeerMessage::NewReplicas => MessageKind::Replicas,
            PeerMessage::Pulse(_) => MessageKind::Pulse,
            PeerMessage::NewConfig => MessageKind::Config,
            PeerMessage::HallsChanged => MessageKind::Halls,
            PeerMessage::Suspects(_) => MessageKind::Suspects,
            PeerMessage::Limits(_) | PeerMessage::AskGrant(_) | PeerMessage::Granted(..) => {
                MessageKind::Limits
            }
            PeerMessage::UpgradesChanged | PeerMessage::AnswerCounts(_) | PeerMessage::CountsTaken(..) => {
                MessageKind::Upgrades
            }
        }
    }
}

/// Names a probe of one node.
pub type ProbeId = u64;

/// News of the fleet.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Gossip {
    /// The sender's hall; `None` in an answer on behalf of another node.
    pub hall: Option<HallId>,
    /// Whether the sender has a wide link.
    pub has_wide_link: bool,
    /// What is thought of nodes; they are named by their peer addresses.
    pub news: Vec<News>,
    /// Some nodes that the sender knows.
    pub known: Vec<KnownNode>,
    /// How many it takes to be alive, itself included; 0 in an answer on behalf of another node.
    pub nodes: u32,
    /// Whether it hears of nodes that follow the store; not said in an answer on behalf of another one.
    pub hears_watchers: bool,
}

/// A node that another one knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KnownNode {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its hall, if that is known.
    pub hall: Option<HallId>,
    /// Whether it is known to have a wide link.
    pub has_wide_link: bool,
}

/// What a request wants of a replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Wanted {
    /// The service.
    pub service: ServiceId,
    /// Set for generations.
    pub size: Option<GenerationSize>,
    /// Tokens made so far.
    pub produced: u32,
    /// The engine that it runs on, for a generation that moves.
    pub from: Option<UpstreamId>,
    /// The hall where it came in; for a generation that moves, where it runs.
    pub hall: HallId,
    /// Replicas that are out of the question.
    pub exclude: Vec<UpstreamId>,
    /// Replicas that have asked the node of its caller for rest.
    pub resting: Vec<UpstreamId>,
    /// Where it may be served.
    pub regions: AllowedRegions,
}

impl Wanted {
    /// The request at a replica.
    pub fn at(&self, replica: &UpstreamId) -> Run {
        Run {
            replica: replica.clone(),
            size: self.size,
            produced: self.produced,
            copied_from: self.from.clone(),
        }
    }
}

/// A generation that a node wants placed.
#[derive(Debug, Deserialize, Serialize)]
pub struct RemotePlace {
    /// Names it at the asking node.
    pub run: RunId,
    /// What it wants.
    pub wanted: Wanted,
    /// Its urgency; 0 goes first.
    pub priority: u8,
    /// For a new generation, the time until its first event is due; for one that moves, how long
    /// it may wait for its turn.
    pub patience: Duration,
    /// For a new generation, the time until its caller leaves that has had no event; at least the
    /// patience.
    pub leaves_after: Duration,
}

/// A request that a node would send to a replica that names a limit.
#[derive(Debug, Deserialize, Serialize)]
pub struct AskGrant {
    /// Names the question at the asking node.
    pub question: GrantRequestId,
    /// The replica's limit, as far as the asking node knows.
    pub limit: AnnouncedLimit,
    /// Its urgency; 0 goes first.
    pub urgency: u8,
}

/// Names the trial of a new version.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct TrialId {
    /// The service that is being upgraded.
    pub service: ServiceId,
    /// The store's revision when the order was first made.
    pub made: Revision,
}

/// Names a report of a node.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReportId {
    /// The trial.
    pub trial: TrialId,
    /// Samples that it counts.
    pub counted: SampleCount,
    /// Time from the order to the report.
    pub as_of: Duration,
}

/// How a node's requests to a service that is being upgraded were answered so far.
#[derive(Debug, Deserialize, Serialize)]
pub struct CountsReport {
    /// Names it.
    pub id: ReportId,
    /// The report.
    pub report: TrialReport,
}

/// A watcher's pulse.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Pulse {
    /// The watcher's peer address.
    pub watcher: SocketAddr,
    /// Whether the watcher has a wide link.
    pub has_wide_link: bool,
    /// Numbers its pulses.
    pub number: PulseNumber,
    /// Whether the store answers it.
    pub store: StoreState,
}
