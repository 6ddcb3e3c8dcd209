//! Messages between nodes: one datagram each, encoded with postcard.
//!
//! Datagrams need no connection, which a network cut could leave hanging. Every message may be lost, so
//! what must arrive is sent again.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::bounded_duration;
use leadstage_lib::gateway::call_sharing::CallShares;
use leadstage_lib::gateway::call_window::CallReport;
use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::inventory::Inventory;
use leadstage_lib::gateway::limit_grants::Grant;
use leadstage_lib::gateway::limit_grants::GrantRequestId;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::regions::AllowedRegions;
use leadstage_lib::gateway::replica_limits::AnnouncedLimit;
use leadstage_lib::gateway::replica_ramp::RampNews;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replica_updates::PackedUpdate;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::suspect::Suspect;
use leadstage_lib::gateway::trial_evidence::TrialReport;
use leadstage_lib::gateway::trial_reports::SampleCount;
use leadstage_lib::gateway::upgrade::AnnouncedUpgrades;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::gateway::watchers::PulseNumber;
use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::membership::MemberUpdate;
use leadstage_platform::store::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::observability::peer_traffic::MessageKind;

/// Maximum size of a datagram. Nearly all fit into one packet; the inventory of a busy node takes a few
/// packets.
pub const MAX_DATAGRAM_BYTES: usize = 18 << 10;
/// Maximum size of the inventory entries in one datagram; other fields take less than 100 bytes, and closed
/// halls 2,100 bytes if their names have the maximum length.
pub const MAX_INVENTORY_BYTES: usize = 15 << 10;

/// A datagram; `M` is a message, or a reference to one that is sent to several nodes.
#[derive(Debug, Deserialize, Serialize)]
pub struct Datagram<M = PeerMessage> {
    /// The sender's peer address.
    pub from: SocketAddr,
    /// The version of the sender's configuration; 0 without one.
    pub config: ConfigVersion,
    /// The store's revision up to which the sender knows the replicas.
    pub replicas_at: Revision,
    /// The halls that are closed, as far as the sender knows.
    pub closed_halls: ClosedHalls,
    /// Digest of the suspects that the sender knows.
    pub crash_digest: u64,
    /// Digest of the limits of replicas that the sender knows.
    pub limits_digest: u64,
    /// The upgrades, as far as the sender knows.
    pub upgrades: AnnouncedUpgrades,
    /// The message.
    pub message: M,
}

/// A message to another node.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Checks whether the receiver is alive; carries gossip.
    Probe(ProbeId, Gossip),
    /// Answers a probe; carries gossip back.
    ProbeAnswer(ProbeId, Gossip),
    /// Requests that the receiver probe another node on behalf of the sender.
    ProbeFor(ProbeId, SocketAddr),
    /// Requests a place for a generation from its lead.
    Place(RemotePlace),
    /// The replica where the generation is placed, or why there is no room.
    Placed(RunId, Result<ReplicaRecord, NoRoom>),
    /// The generation waits at the lead until an engine has room.
    Waits(RunId),
    /// The first event of the generation was received.
    FirstEvent(RunId),
    /// The generation is no longer at its engine.
    Ended(RunId),
    /// A generation of the sender failed at this engine.
    EngineFailed(Incarnation),
    /// The copy of the generation is complete, or was abandoned.
    Copied(RunId),
    /// The generation should move away from this engine.
    MoveAway(RunId, UpstreamId),
    /// The sender's requests at the replicas of services that the receiver leads, or a part of them.
    Inventory(Inventory),
    /// A replica update from a watcher of the store; forwarded unchanged.
    Replicas(PackedUpdate),
    /// A sign of life from a watcher of the store; forwarded unchanged.
    Pulse(Pulse),
    /// The sender has a newer configuration, whose version is in the datagram.
    NewConfig,
    /// Halls were closed or opened; the closed ones are in the datagram.
    HallsChanged,
    /// Requests and parts of prompts under which replicas ended. Receivers forward those that are new to them.
    Suspects(Vec<Suspect>),
    /// Limits that replicas announce or withdraw. Receivers forward those that are new to them.
    Limits(Vec<AnnouncedLimit>),
    /// How calls of the sender, or of a node that it heard from, were answered by replicas whose pace is
    /// limited. Receivers forward what is new to them.
    Ramps(Vec<RampNews>),
    /// Requests permission to send a request to a replica with a limit.
    AskGrant(AskGrant),
    /// Grants or denies that permission.
    Granted(GrantRequestId, Grant),
    /// An upgrade has reached another stage; all upgrades are in the datagram.
    UpgradesChanged,
    /// How the replicas of both versions have answered the sender's requests.
    AnswerCounts(CountsReport),
    /// The sender now knows the replicas, up to the revision in the datagram.
    NewReplicas,
    /// The sender, which judges an upgrade, has received a report from the receiver.
    CountsTaken(ReportId),
    /// The sender's calls to a plain service that looks short, for the node that shares it out.
    CallCounts(ServiceId, CallReport),
    /// The shares of a plain service's organisations, for a node that reported its calls.
    CallShares(ServiceId, CallShares),
}

impl PeerMessage {
    /// Returns the purpose of the message.
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
            | PeerMessage::MoveAway(..)
            | PeerMessage::Ramps(_) => MessageKind::Placing,
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
            PeerMessage::CallCounts(..) | PeerMessage::CallShares(..) => MessageKind::Shares,
        }
    }
}

/// Identifies a probe at the node that sent it.
pub type ProbeId = u64;

/// Membership updates and other facts about the fleet, sent with probes and their answers.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Gossip {
    /// The sender's hall; `None` in an answer on behalf of another node.
    pub hall: Option<HallId>,
    /// Whether the sender has a wide link.
    pub has_wide_link: bool,
    /// Membership updates about nodes, which are identified by their peer addresses.
    pub news: Vec<MemberUpdate>,
    /// Some nodes that the sender knows.
    pub known: Vec<KnownNode>,
    /// Number of nodes that the sender considers alive, itself included; 0 in an answer on behalf of another
    /// node.
    pub nodes: u32,
    /// Whether the sender is notified of nodes that follow the store; false in an answer on behalf of
    /// another node.
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

/// What a request requires of a replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Wanted {
    /// The service.
    pub service: ServiceId,
    /// Set for generations.
    pub size: Option<GenerationSize>,
    /// Tokens generated so far.
    pub produced: u32,
    /// For a generation that moves, the engine that it runs on.
    pub from: Option<UpstreamId>,
    /// The hall that received the request; for a generation that moves, the hall where it runs.
    pub hall: HallId,
    /// Replicas that must not be chosen.
    pub exclude: Vec<UpstreamId>,
    /// Replicas that have requested a back-off from the node that received the request.
    pub resting: Vec<UpstreamId>,
    /// Regions where the request may be served.
    pub regions: AllowedRegions,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// The organisation that the request is accounted to; `None` if the configuration has no organisations.
    pub organisation: Option<OrganisationId>,
    /// For generations, the longest gap between two events that still counts as in time.
    #[serde(deserialize_with = "bounded_duration::optional")]
    pub gap_objective: Option<Duration>,
}

impl Wanted {
    /// Returns the run of the request at a replica.
    pub fn at(&self, replica: &UpstreamId) -> Run {
        Run {
            replica: replica.clone(),
            size: self.size,
            produced: self.produced,
            copied_from: self.from.clone(),
            organisation: self.organisation.clone(),
            gap_objective: self.gap_objective,
            longest_gap: Duration::ZERO,
        }
    }
}

/// A request of a node to place a generation.
#[derive(Debug, Deserialize, Serialize)]
pub struct RemotePlace {
    /// Identifies the generation at the requesting node.
    pub run: RunId,
    /// What the generation requires of a replica.
    pub wanted: Wanted,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// For a new generation, the time until its first event is due; for one that moves, the maximum wait
    /// for its turn.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub patience: Duration,
    /// For a new generation, the time until its caller disconnects if it has received no event; at least
    /// the patience.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub leaves_after: Duration,
}

/// A request for permission to send one request to a replica with a limit.
#[derive(Debug, Deserialize, Serialize)]
pub struct AskGrant {
    /// Identifies the grant request at the requesting node.
    pub question: GrantRequestId,
    /// The replica's limit, as far as the requesting node knows.
    pub limit: AnnouncedLimit,
    /// The urgency of the request; 0 is the highest.
    pub urgency: u8,
}

/// Identifies the trial of a new version.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct TrialId {
    /// The service that is being upgraded.
    pub service: ServiceId,
    /// The store's revision at which the upgrade order was created.
    pub made: Revision,
}

/// Identifies a report of a node about a trial.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReportId {
    /// The trial.
    pub trial: TrialId,
    /// Number of samples in the report.
    pub counted: SampleCount,
    /// Time from the upgrade order to the report.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub as_of: Duration,
}

/// Report on how a node's requests to a service that is being upgraded were answered so far.
#[derive(Debug, Deserialize, Serialize)]
pub struct CountsReport {
    /// Identifies the report.
    pub id: ReportId,
    /// The report.
    pub report: TrialReport,
}

/// A periodic sign of life of a watcher of the store.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Pulse {
    /// The watcher's peer address.
    pub watcher: SocketAddr,
    /// Whether the watcher has a wide link.
    pub has_wide_link: bool,
    /// The sequence number of the pulse.
    pub number: PulseNumber,
    /// Whether the store answers the watcher.
    pub store: StoreState,
    /// Time since the watcher sent it, in ms, as far as the nodes that forwarded it held it.
    pub age_ms: u32,
}
