//! Messages from the traffic thread and from the tasks of the control thread to the control loop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::answer_counts::Side;
use leadstage_lib::gateway::config_text::PartialConfig;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::limit_grants::GrantRequestId;
use leadstage_lib::gateway::pending_ends::CheckResult;
use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replica_limits::LimitReport;
use leadstage_lib::gateway::replica_limits::ResponseTimes;
use leadstage_lib::gateway::replica_list::ReplicaList;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_lib::gateway::routing::RouteId;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::suspect::Suspect;
use leadstage_lib::gateway::suspect::SuspectName;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::gateway::watchers::PulseNumber;
use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health::Health;
use leadstage_platform::store::Changes;
use leadstage_platform::store::Listed;
use leadstage_platform::store::Revision;
use leadstage_platform::store_kinds::StoredUpgrade;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::gateway::gap_meter::GapMeter;
use crate::gateway::peers::peer_message::Datagram;
use crate::gateway::peers::peer_message::Wanted;

/// A message to the control loop.
pub enum ToControl {
    /// A request needs a replica.
    Place(PlaceRequest, PlaceReply),
    /// The lead did not answer in time.
    LeadSilent(RunId),
    /// The node that grants requests to a replica with a limit did not answer in time.
    GrantSilent(GrantRequestId),
    /// The first event of a generation arrived.
    FirstEvent(RunId),
    /// The copy of a generation to this engine is complete.
    Copied(RunId),
    /// A request has left its replica.
    Ended(RunId, Outcome),
    /// A replica asked this node for a back-off of this length.
    Backoff(Incarnation, Duration),
    /// A replica showed that it is leaving.
    LeavingSign(Incarnation, LeavingSign),
    /// The result of a replica's health check.
    Health(Incarnation, Health),
    /// What a replica's answer says about its limit.
    LimitReport(Incarnation, LimitReport, ResponseTimes),
    /// Whether a replica says in its answers that it is brittle.
    Brittle(Incarnation, bool),
    /// A run broke off, possibly because its replica ended.
    RunBroke(BrokenRun),
    /// A run succeeded that speaks for these suspects.
    RunSucceeded(Vec<SuspectName>),
    /// The result of checking a replica after a run broke off there.
    CheckedAfterBreak(Incarnation, CheckResult),
    /// An update from the store of the requests during which replicas ended.
    Suspects(StoreUpdate<Suspect>),
    /// What the store holds about such a request after a write; `None` if the write failed.
    SuspectStored(Fingerprint, Option<StoredSuspect>),
    /// The batch of replica updates for other nodes is due.
    SendReplicaUpdates,
    /// The next part of the replica updates for other nodes is due.
    SendNextUpdatePart,
    /// An update of the replicas from the store.
    Replicas(StoreUpdate<ReplicaRecord>),
    /// An update of the upgrade orders from the store.
    Upgrades(StoreUpdate<StoredUpgrade>),
    /// A write of an upgrade's status to the store finished.
    UpgradeWritten(UpgradeWriteResult),
    /// A replica of a service that is being upgraded answered.
    Sampled(AnswerSample),
    /// An update of the closed halls from the store.
    ClosedHalls(StoreUpdate<HallId>),
    /// An update of the configuration from the store.
    Configuration(StoreUpdate<Bytes>),
    /// Another node that knows the replicas up to this revision requests the changes since, packed.
    ServeReplicas(Revision, oneshot::Sender<Bytes>),
    /// This node has no path to the replicas of a service, but others have.
    PathLost(ServiceId),
    /// This node reaches replicas of a service after it had reached several of them in vain.
    PathRestored(ServiceId),
    /// The service of the known replica at an address, if there is one.
    ServiceAt(SocketAddr, oneshot::Sender<Option<ServiceId>>),
    /// The result of a fetch from another node.
    Fetched(SocketAddr, Fetched),
    /// A single read of the configuration from the store finished; the configuration itself was sent
    /// before. Holds whether the store answered.
    ConfigurationRead(bool),
    /// A node that has a newer configuration may be queried now.
    ConfigurationDue,
    /// This node's own pulse as a watcher of the store, and whether the store answers.
    OwnPulse(PulseNumber, StoreState),
    /// A message from another node.
    Datagram(Datagram),
    /// The settings name different seeds.
    Seeds(Vec<SocketAddr>),
    /// The callers' port listens.
    CallersPortListens,
    /// A planned stop has begun.
    Stopping,
}

/// A run that broke off before the end of its answer.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// The request and the parts of its prompt, as far as the end of the replica would count against them.
    pub suspects: Vec<SuspectName>,
    /// The replica that it ran on.
    pub replica: Incarnation,
}

/// An answer from a replica of a service that is being upgraded.
#[derive(Clone, Debug)]
pub struct AnswerSample {
    /// The service.
    pub service: ServiceId,
    /// The request's route.
    pub route: RouteId,
    /// The version that answered.
    pub side: Side,
    /// When the request was sent to the replica.
    pub began: Timestamp,
    /// The outcome and timing of the answer.
    pub sample: Sample,
}

/// What the store holds about an upgrade order after a write.
#[derive(Clone, Debug)]
pub struct UpgradeWriteResult {
    /// The service.
    pub service: ServiceId,
    /// The object; `None` if that is not known.
    pub held: Option<StoredUpgrade>,
}

/// What the store holds about a request during which replicas ended.
#[derive(Clone, Debug)]
pub enum StoredSuspect {
    /// The ends, as of a revision.
    Kept(Suspect, Revision),
    /// Nothing.
    Removed,
}

/// The result of fetching another node's configuration. The part that was received is kept.
#[derive(Debug)]
pub enum FetchedConfig {
    /// Its version and text.
    Text(ConfigVersion, Bytes),
    /// The node is busy serving others; it may be queried again after this time.
    Busy(Duration, Option<PartialConfig>),
    /// The fetch failed or is incomplete.
    Failed(Option<PartialConfig>),
    /// The configuration could not be decoded, although it should match the one that this node has.
    Unreadable,
}

/// The result of fetching another node's list of replicas.
#[derive(Debug)]
pub enum FetchedReplicas {
    /// The list, decoded and as received.
    List(ReplicaList, Bytes),
    /// The node is busy serving others; it may be queried again after this time.
    Busy(Duration),
    /// The fetch failed, or its result is no longer needed.
    Nothing,
}

/// Data fetched from another node.
pub enum Fetched {
    /// Its configuration.
    Configuration(FetchedConfig),
    /// Its list of replicas.
    Replicas(FetchedReplicas),
}

/// An update from following one kind of objects in the store.
pub enum StoreUpdate<T> {
    /// The whole list.
    Listed {
        /// The list.
        list: Listed<T>,
        /// The store was unavailable before, so entries may have expired in the meantime.
        after_outage: bool,
    },
    /// The changes since the previous update.
    Changed(Changes<T>),
}

/// Receives the answer to a request that needs a replica.
pub type PlaceReply = oneshot::Sender<Result<Placed, NoRoom>>;

/// A request that needs a replica.
pub struct PlaceRequest {
    /// The caller's id of the request, for logs.
    pub request: String,
    /// The requirements on the replica.
    pub wanted: Wanted,
    /// Its urgency; 0 is the most urgent.
    pub priority: u8,
    /// For a new generation, the time until its first event is due; for one that moves, the maximum time
    /// that it waits for its turn.
    pub patience: Duration,
    /// For a new generation, the time after which its caller leaves without an event; at least the
    /// patience.
    pub leaves_after: Duration,
    /// Sends commands to the stream, such as to move, and holds its progress.
    pub stream: Option<StreamHandle>,
}

/// The control loop's handle to a running stream.
#[derive(Clone)]
pub struct StreamHandle {
    /// Sends commands to the stream.
    pub commands: UnboundedSender<StreamCommand>,
    /// Number of tokens that the stream has produced.
    pub produced: Arc<AtomicU32>,
    /// The gaps between its events.
    pub gaps: Arc<GapMeter>,
}

/// A command to a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamCommand {
    /// Its engine is leaving: move the generation.
    Evacuate(UpstreamId),
    /// Its engine has restarted under the same id: the generation is lost there, unless it began afterwards.
    Restarted(Incarnation),
    /// Its engine is filling up: move the generation if another engine has room at once.
    Rebalance(UpstreamId),
}

/// The replica that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Identifies the request at this replica until [`ToControl::Ended`].
    pub run: RunId,
    /// The replica.
    pub replica: Arc<ReplicaRecord>,
}

/// How a request ended at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// The replica answered with an error of its own.
    Errored,
    /// The replica failed the request.
    Failed,
    /// The replica refused the request.
    Refused,
    /// The request was withdrawn for reasons unrelated to the replica.
    Withdrawn,
}
