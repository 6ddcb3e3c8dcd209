//! What the traffic thread and the tasks of the control thread tell the control loop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::answer_counts::Side;
use leadstage_lib::gateway::config_text::PartialConfig;
use leadstage_lib::gateway::crash_ledger::Suspect;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::limit_grants::GrantRequestId;
use leadstage_lib::gateway::pending_ends::Shown;
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
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::gateway::watchers::PulseNumber;
use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health::Health;
use leadstage_platform::store::Changes;
use leadstage_platform::store::Listed;
use leadstage_platform::store::Revision;
use leadstage_platform::store_kinds::StoredUpgrade;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::gateway::peers::peer_message::Datagram;
use crate::gateway::peers::peer_message::Wanted;

/// To the control loop.
pub enum ToControl {
    /// A request wants a replica.
    Place(PlaceRequest, PlaceReply),
    /// The lead did not answer within its bound.
    LeadSilent(RunId),
    /// Whoever grants requests to a replica that names a limit did not answer within its bound.
    GrantSilent(GrantRequestId),
    /// A generation's first event came.
    FirstEvent(RunId),
    /// The copy of a generation to this engine is complete.
    Copied(RunId),
    /// A request is no longer at its replica.
    Ended(RunId, Outcome),
    /// A replica showed that it leaves.
    LeavingSign(Incarnation, LeavingSign),
    /// A replica was asked for its health.
    Health(Incarnation, Health),
    /// What a replica's answer says of its limit.
    LimitReport(Incarnation, LimitReport, ResponseTimes),
    /// A run broke at its replica, perhaps as that ended.
    RunBroke(BrokenRun),
    /// A run of a request ended well that something speaks against.
    RunSucceeded(Fingerprint),
    /// A replica was asked after a run broke there.
    CheckedAfterBreak(Incarnation, Shown),
    /// News of the requests under which replicas ended, from the store.
    Suspects(StoreUpdate<Suspect>),
    /// What the store holds of such a request after a write; `None` if it was not written.
    SuspectStored(Fingerprint, Option<StoredSuspect>),
    /// It is time to tell other nodes what was gathered of the replicas.
    SendReplicaUpdates,
    /// It is time to tell them the next part of what is told.
    SendNextUpdatePart,
    /// News of the replicas from the store.
    Replicas(StoreUpdate<ReplicaRecord>),
    /// News of the orders to upgrade services, from the store.
    Upgrades(StoreUpdate<StoredUpgrade>),
    /// A write of what became of such an order ended.
    UpgradeWritten(UpgradeWriteResult),
    /// A replica of a service that is being upgraded answered.
    Sampled(AnswerSample),
    /// News of the closed halls from the store.
    ClosedHalls(StoreUpdate<HallId>),
    /// News of the configuration from the store.
    Configuration(StoreUpdate<Bytes>),
    /// Another node that knows the replicas up to this revision wants what it lacks, packed.
    ServeReplicas(Revision, oneshot::Sender<Bytes>),
    /// Another node was asked for what it knows.
    Fetched(SocketAddr, Fetched),
    /// The store was read once for its configuration, which came before; whether it answered.
    ConfigurationRead(bool),
    /// A node that has a newer configuration may be asked now.
    ConfigurationDue,
    /// This node's own pulse as a watcher of the store, and whether the store answers.
    OwnPulse(PulseNumber, StoreState),
    /// A message from another node.
    Datagram(Datagram),
    /// The settings name other seeds.
    Seeds(Vec<SocketAddr>),
    /// A planned stop has begun.
    Stopping,
}

/// A run that broke before its answer's end.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// What it ran.
    pub fingerprint: Fingerprint,
    /// Where.
    pub replica: Incarnation,
}

/// An answer of a replica of a service that is being upgraded.
#[derive(Clone, Debug)]
pub struct AnswerSample {
    /// The service.
    pub service: ServiceId,
    /// The request's route.
    pub route: RouteId,
    /// Which version answered.
    pub side: Side,
    /// What came.
    pub sample: Sample,
}

/// What the store holds of an order after a write.
#[derive(Clone, Debug)]
pub struct UpgradeWriteResult {
    /// The service.
    pub service: ServiceId,
    /// The object; `None` if that is not known.
    pub held: Option<StoredUpgrade>,
}

/// What the store holds of a request under which replicas ended.
#[derive(Clone, Debug)]
pub enum StoredSuspect {
    /// These ends, as of a revision.
    Kept(Suspect, Revision),
    /// Nothing.
    Removed,
}

/// What became of asking another node for its configuration. What came of it is kept.
#[derive(Debug)]
pub enum FetchedConfig {
    /// Its version and text.
    Text(ConfigVersion, Bytes),
    /// It hands out to others; it may be asked again after this.
    Busy(Duration, Option<PartialConfig>),
    /// It handed nothing over, or not all.
    Failed(Option<PartialConfig>),
    /// It does not fit to what is here, though it should.
    Unreadable,
}

/// What became of asking another node for its list of replicas.
#[derive(Debug)]
pub enum FetchedReplicas {
    /// The list, and as it came.
    List(ReplicaList, Bytes),
    /// It hands out to others; it may be asked again after this.
    Busy(Duration),
    /// Nothing, or it was no longer wanted.
    Nothing,
}

/// What another node handed over.
pub enum Fetched {
    /// Its configuration.
    Configuration(FetchedConfig),
    /// Its list of replicas.
    Replicas(FetchedReplicas),
}

/// What following a kind of objects brought.
pub enum StoreUpdate<T> {
    /// The whole list. `after_outage` is set if entries may have lapsed meanwhile.
    Listed {
        /// The list.
        list: Listed<T>,
        /// The store had been away.
        after_outage: bool,
    },
    /// Changes since the last news.
    Changed(Changes<T>),
}

/// Takes the answer to a request that wants a replica.
pub type PlaceReply = oneshot::Sender<Result<Placed, NoRoom>>;

/// A request that wants a replica.
pub struct PlaceRequest {
    /// The caller's id of the request, for logs.
    pub request: String,
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
    /// How a stream is told to move, and shows its progress.
    pub stream: Option<StreamHandle>,
}

/// The control loop's hold on a running stream.
#[derive(Clone)]
pub struct StreamHandle {
    /// Takes orders to the stream.
    pub commands: UnboundedSender<StreamCommand>,
    /// Tokens that the stream has made.
    pub produced: Arc<AtomicU32>,
}

/// What a stream is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamCommand {
    /// Its engine leaves: move the generation.
    Evacuate(UpstreamId),
    /// Its engine has started again under its id: the generation is lost there.
    Lost(Incarnation),
    /// Its engine fills up: move the generation if there is room elsewhere at once.
    Rebalance(UpstreamId),
}

/// A replica was chosen.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Names the request at this replica until [`ToControl::Ended`].
    pub run: RunId,
    /// The replica.
    pub replica: Arc<ReplicaRecord>,
}

/// How a request ended at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It was answered with an error of the replica's own.
    Errored,
    /// The replica failed it.
    Failed,
    /// The replica turned it away.
    Refused,
    /// It went away for reasons that say nothing of the replica.
    Withdrawn,
}
