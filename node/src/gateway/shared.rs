//! State shared by the two threads of a gateway node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use leadstage_lib::gateway::answer_times::AnswerTimes;
use leadstage_lib::gateway::answer_times::CallTimes;
use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::config_text::ConfigText;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::part_blame::ServedParts;
use leadstage_lib::gateway::quarantine::CrashTable;
use leadstage_lib::gateway::replica_limits::LimitsInForce;
use leadstage_lib::gateway::replica_paths::ReplicaPaths;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_lib::gateway::routing::RouteId;
use leadstage_lib::gateway::routing::RoutingTable;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::suspect::SuspectName;
use leadstage_lib::gateway::token_pace::DEFAULT_TOKENS_PER_SECOND;
use leadstage_lib::gateway::upgrade::Upgrades;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::status::NodeStatus;
use leadstage_platform::store::Revision;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::gateway::held_bytes::HeldBytes;
use crate::gateway::messages::Outcome;
use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::Placed;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::GatewayMetrics;
use crate::gateway::settings::Bounds;
use crate::gateway::settings::GatewaySettings;
use crate::locks;

/// The phases of a node from its start to its end, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The node lacks the configuration, the list of replicas or the callers' port.
    Starting,
    /// The node serves requests.
    Serving,
    /// A planned stop has begun; callers are still served.
    Stopping,
    /// No new requests are accepted; requests that have been read are served to their end.
    Closing,
    /// All connections from callers are closed.
    Closed,
}

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug)]
struct PlannedStop {
    began: Timestamp,
    /// The bound that held at its beginning: the platform's own does not change with a reload.
    within: Duration,
}

/// State shared by the threads.
pub struct Shared {
    /// The node's settings.
    pub settings: GatewaySettings,
    /// The metric instruments.
    pub metrics: GatewayMetrics,
    /// Accounts for the bytes that the node buffers for callers and replicas.
    pub held: Arc<HeldBytes>,
    status: RwLock<NodeStatus>,
    /// Time from the start of the VM to the start of the process.
    started: Timestamp,
    control: UnboundedSender<ToControl>,
    table: RwLock<Option<(Arc<RoutingTable>, Arc<ConfigText>)>>,
    newest_config: AtomicU64,
    config_versions: watch::Sender<ConfigVersion>,
    phase: watch::Sender<Phase>,
    open: AtomicUsize,
    stop: OnceLock<PlannedStop>,
    serving_ended: CancellationToken,
    bounds: RwLock<Bounds>,
    crashes: watch::Sender<Arc<CrashTable>>,
    crash_digest: AtomicU64,
    served_parts: Mutex<ServedParts>,
    nodes: AtomicUsize,
    fleet_size: AtomicUsize,
    has_neighbour: AtomicBool,
    store_answers: AtomicBool,
    closed_halls: RwLock<Arc<ClosedHalls>>,
    limits: RwLock<Arc<LimitsInForce>>,
    limits_digest: AtomicU64,
    upgrades: RwLock<Arc<Upgrades>>,
    replicas_at: AtomicU64,
    paces: RwLock<HashMap<ServiceId, f64>>,
    call_times: Mutex<AnswerTimes>,
    paths: Mutex<HashMap<ServiceId, ReplicaPaths>>,
    tunnel_nodes: RwLock<Arc<[SocketAddr]>>,
}

impl Shared {
    /// Creates the state of a node that has just started.
    pub fn new(
        settings: GatewaySettings,
        control: UnboundedSender<ToControl>,
        metrics: GatewayMetrics,
    ) -> Self {
        Shared {
            bounds: RwLock::new(settings.bounds.clone()),
            nodes: AtomicUsize::new(1),
            fleet_size: AtomicUsize::new(1),
            has_neighbour: AtomicBool::new(false),
            store_answers: AtomicBool::new(true),
            closed_halls: RwLock::default(),
            limits: RwLock::default(),
            limits_digest: AtomicU64::new(0),
            upgrades: RwLock::default(),
            replicas_at: AtomicU64::new(0),
            paces: RwLock::default(),
            call_times: Mutex::default(),
            paths: Mutex::default(),
            tunnel_nodes: RwLock::default(),
            held: HeldBytes::new(settings.memory_bytes),
            settings,
            metrics,
            status: RwLock::default(),
            started: clock::since_boot(),
            control,
            table: RwLock::new(None),
            newest_config: AtomicU64::new(0),
            config_versions: watch::Sender::new(0),
            phase: watch::Sender::new(Phase::Starting),
            crashes: watch::Sender::new(Arc::default()),
            crash_digest: AtomicU64::new(0),
            served_parts: Mutex::default(),
            open: AtomicUsize::new(0),
            stop: OnceLock::new(),
            serving_ended: CancellationToken::new(),
        }
    }

    /// Returns the time since the process started, suspensions of the VM included.
    pub fn now(&self) -> Timestamp {
        clock::since_boot().saturating_sub(self.started)
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        locks::read(&self.table).as_ref().map(|(table, _)| table.clone())
    }

    /// Returns the version of the configuration in force; 0 before there is one.
    pub fn config_version(&self) -> ConfigVersion {
        self.table().map_or(0, |table| table.version)
    }

    /// Whether another node has a newer configuration, which may allow what this node's does not.
    pub fn lacks_newer_config(&self) -> bool {
        self.newest_config.load(Ordering::Relaxed) > self.config_version()
    }

    /// Publishes the newest configuration version of any other node.
    pub fn set_newest_config(&self, version: ConfigVersion) {
        self.newest_config.store(version, Ordering::Relaxed);
    }

    /// Returns the text of the configuration in force, to be served to other nodes.
    pub fn config_text(&self) -> Option<Arc<ConfigText>> {
        locks::read(&self.table).as_ref().map(|(_, text)| text.clone())
    }

    /// Puts a configuration in force unless it is older than or equal to the current one. Returns whether it
    /// was newer.
    pub fn set_table(&self, new: RoutingTable, text: Bytes) -> bool {
        let mut table = locks::write(&self.table);
        let version = new.version;
        let newer = table.as_ref().is_none_or(|(t, _)| t.version < version);
        if newer {
            let text = ConfigText::new(version, text, table.as_ref().map(|(_, text)| &**text));
            let old = table.replace((Arc::new(new), text));
            drop(table);
            // Freed after the lock is released: a large table takes some milliseconds to free, and requests
            // need not wait for that.
            drop(old);
            self.config_versions.send_replace(version);
        }
        newer
    }

    /// Returns a receiver that is notified of each new configuration.
    pub fn config_versions(&self) -> watch::Receiver<ConfigVersion> {
        self.config_versions.subscribe()
    }

    /// Returns the bounds that hold for the whole fleet.
    pub fn bounds(&self) -> Bounds {
        locks::read(&self.bounds).clone()
    }

    /// Replaces the bounds.
    pub fn set_bounds(&self, new: Bounds) {
        *locks::write(&self.bounds) = new;
    }

    /// Returns the number of nodes in the fleet that are considered alive, this one included.
    pub fn nodes(&self) -> usize {
        self.nodes.load(Ordering::Relaxed)
    }

    /// Returns the largest number of nodes that this node, or another one in its messages, has considered
    /// alive.
    pub fn fleet_size(&self) -> usize {
        self.fleet_size.load(Ordering::Relaxed)
    }

    /// Records the number of nodes that this node or another one considers alive.
    pub fn observe_fleet_size(&self, nodes: usize) {
        self.fleet_size.fetch_max(nodes, Ordering::Relaxed);
    }

    /// Whether another node of this node's hall is considered alive.
    pub fn has_neighbour(&self) -> bool {
        self.has_neighbour.load(Ordering::Relaxed)
    }

    /// Publishes whether another node of this node's hall is considered alive.
    pub fn set_has_neighbour(&self, has_neighbour: bool) {
        self.has_neighbour.store(has_neighbour, Ordering::Relaxed);
    }

    /// Publishes the number of nodes that are considered alive.
    pub fn set_nodes(&self, nodes: usize) {
        self.nodes.store(nodes, Ordering::Relaxed);
    }

    /// Whether the store answers this node, as far as it knows.
    pub fn store_answers(&self) -> bool {
        self.store_answers.load(Ordering::Relaxed)
    }

    /// Returns the store's revision up to which this node knows the replicas.
    pub fn replicas_at(&self) -> Revision {
        self.replicas_at.load(Ordering::Relaxed)
    }

    /// Publishes the store's revision up to which this node knows the replicas.
    pub fn set_replicas_at(&self, at: Revision) {
        self.replicas_at.store(at, Ordering::Relaxed);
    }

    /// Returns the halls that are closed, as far as this node knows.
    pub fn closed_halls(&self) -> Arc<ClosedHalls> {
        locks::read(&self.closed_halls).clone()
    }

    /// Publishes the closed halls.
    pub fn set_closed_halls(&self, halls: ClosedHalls) {
        *locks::write(&self.closed_halls) = Arc::new(halls);
    }

    /// Returns the limits that replicas announce, as far as this node knows.
    pub fn limits(&self) -> Arc<LimitsInForce> {
        locks::read(&self.limits).clone()
    }

    /// Returns the digest of the limits that this node knows.
    pub fn limits_digest(&self) -> u64 {
        self.limits_digest.load(Ordering::Relaxed)
    }

    /// Publishes the limits, with their digest for messages to other nodes.
    pub fn set_limits(&self, limits: LimitsInForce, digest: u64) {
        self.limits_digest.store(digest, Ordering::Relaxed);
        *locks::write(&self.limits) = Arc::new(limits);
    }

    /// Returns the upgrades of services, as far as this node knows.
    pub fn upgrades(&self) -> Arc<Upgrades> {
        locks::read(&self.upgrades).clone()
    }

    /// Publishes the upgrades.
    pub fn set_upgrades(&self, upgrades: Upgrades) {
        *locks::write(&self.upgrades) = Arc::new(upgrades);
    }

    /// Returns the suspects, under which replicas ended, and what is quarantined.
    pub fn crashes(&self) -> Arc<CrashTable> {
        self.crashes.borrow().clone()
    }

    /// Returns a receiver that is notified of each change of the suspects.
    pub fn crash_changes(&self) -> watch::Receiver<Arc<CrashTable>> {
        self.crashes.subscribe()
    }

    /// Publishes the suspects, with their digest for messages to other nodes.
    pub fn set_crashes(&self, crashes: CrashTable, digest: u64) {
        self.crash_digest.store(digest, Ordering::Relaxed);
        self.crashes.send_replace(Arc::new(crashes));
    }

    /// Returns the digest of what all nodes must know about the suspects.
    pub fn crash_digest(&self) -> u64 {
        self.crash_digest.load(Ordering::Relaxed)
    }

    /// Records that a run at a replica spoke for parts of its prompt.
    pub fn on_parts_served(&self, parts: &[SuspectName]) {
        let now = self.now();
        let mut served = locks::lock(&self.served_parts);
        parts.iter().for_each(|part| served.on_served(part.fingerprint, now));
    }

    /// Whether a run spoke lately for a part of prompts.
    pub fn has_served(&self, part: &Fingerprint) -> bool {
        locks::lock(&self.served_parts).has_served(part, self.now())
    }

    /// Returns the tokens per second of a generation of a service, as far as this node knows.
    pub fn tokens_per_second(&self, service: &ServiceId) -> f64 {
        let paces = locks::read(&self.paces);
        paces.get(service).copied().unwrap_or(DEFAULT_TOKENS_PER_SECOND)
    }

    /// Publishes the tokens per second of each service.
    pub fn set_paces(&self, paces: HashMap<ServiceId, f64>) {
        *locks::write(&self.paces) = paces;
    }

    /// Records how long a call of a route took at a replica.
    pub fn on_call_time(&self, route: &RouteId, took: Duration) {
        locks::lock(&self.call_times).observe(route, took, self.now());
    }

    /// Returns how long the calls of a route took at replicas lately; `None` if there were none.
    pub fn call_times(&self, route: &RouteId) -> Option<CallTimes> {
        locks::lock(&self.call_times).of(route, self.now())
    }

    /// Reads or updates what this node knows about its paths to the replicas of a service.
    pub fn with_paths<T>(&self, service: &ServiceId, access: impl FnOnce(&mut ReplicaPaths) -> T) -> T {
        let mut paths = locks::lock(&self.paths);
        access(paths.entry(service.clone()).or_default())
    }

    /// Returns the replicas to which the path is to be probed now, with their services.
    pub fn due_path_probes(&self) -> Vec<(ServiceId, SocketAddr)> {
        let now = self.now();
        let mut paths = locks::lock(&self.paths);
        let due = paths
            .iter_mut()
            .filter_map(|(service, paths)| Some((service.clone(), paths.due_probe(now, &mut rand::rng())?)));
        due.collect()
    }

    /// Whether a path to replicas of any service is lost or in doubt.
    pub fn has_impaired_path(&self) -> bool {
        locks::lock(&self.paths).values().any(ReplicaPaths::is_impaired)
    }

    /// Returns some other nodes that may carry this node's connections to replicas.
    pub fn tunnel_nodes(&self) -> Arc<[SocketAddr]> {
        locks::read(&self.tunnel_nodes).clone()
    }

    /// Publishes some other nodes that may carry this node's connections to replicas.
    pub fn set_tunnel_nodes(&self, nodes: Vec<SocketAddr>) {
        *locks::write(&self.tunnel_nodes) = nodes.into();
    }

    /// Publishes whether the store answers this node; returns whether that has changed.
    pub fn set_store_answers(&self, answers: bool) -> bool {
        self.store_answers.swap(answers, Ordering::Relaxed) != answers
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the node has reached `phase` or a later one.
    pub async fn wait_for_phase(&self, phase: Phase) {
        // The sender lives as long as the process.
        let _ = self.phase.subscribe().wait_for(|now| *now >= phase).await;
    }

    /// Waits up to `limit` while the node lacks the configuration or the list of replicas. Returns whether
    /// it has both.
    pub async fn wait_until_serving(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.wait_for_phase(Phase::Serving)).await.is_ok()
    }

    /// Advances to a phase unless it is already reached; returns whether the phase has changed.
    pub fn advance(&self, to: Phase) -> bool {
        self.phase.send_if_modified(|phase| {
            let later = *phase < to;
            *phase = to.max(*phase);
            later
        })
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.stop.get_or_init(|| PlannedStop { began: self.now(), within: self.bounds().stop_within });
        self.advance(Phase::Stopping);
    }

    /// Ends the time in which a planned stop serves requests: each that is not answered yet gets a failure.
    pub fn end_serving(&self) {
        self.serving_ended.cancel();
    }

    /// Waits until a planned stop serves requests no longer.
    pub async fn wait_for_end_of_serving(&self) {
        self.serving_ended.cancelled().await;
    }

    /// Returns the time within which a request that arrives now must be finished, if a planned stop has
    /// begun.
    pub fn remaining_serving_time(&self) -> Option<Duration> {
        let stop = self.stop.get()?;
        Some((stop.began + stop.within).saturating_sub(self.now()))
    }

    /// Returns the time since a planned stop began, if one has.
    pub fn time_since_stop(&self) -> Option<Duration> {
        Some(self.now().saturating_sub(self.stop.get()?.began))
    }

    /// Returns the latest published status.
    pub fn status(&self) -> NodeStatus {
        locks::read(&self.status).clone()
    }

    /// Publishes the status.
    pub fn set_status(&self, status: NodeStatus) {
        *locks::write(&self.status) = status;
    }

    /// Counts a request as open until the guard is dropped.
    pub fn open(self: &Arc<Self>) -> OpenGuard {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenGuard(self.clone())
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Sends a message to the control loop, which lives as long as the process.
    pub fn notify(&self, message: ToControl) {
        let _ = self.control.send(message);
    }

    /// Sends a message to the control loop after a pause; to be called only on the control thread.
    pub fn notify_after(self: &Arc<Self>, pause: Duration, message: ToControl) {
        let shared = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            shared.notify(message);
        });
    }

    /// Requests a place at a replica from the control loop.
    pub async fn place(self: &Arc<Self>, request: PlaceRequest) -> Result<RunGuard, NoRoom> {
        let (tx, rx) = oneshot::channel();
        self.notify(ToControl::Place(request, tx));
        let mut awaited = AwaitedPlace { shared: self.clone(), rx };
        let placed = (&mut awaited.rx).await.unwrap_or(Err(NoRoom::default()))?;
        Ok(RunGuard::new(self.clone(), placed))
    }
}

/// A place that a request waits for. If the request is dropped just when the place is assigned, the place
/// is released.
struct AwaitedPlace {
    shared: Arc<Shared>,
    rx: oneshot::Receiver<Result<Placed, NoRoom>>,
}

impl Drop for AwaitedPlace {
    fn drop(&mut self) {
        self.rx.close();
        if let Ok(Ok(placed)) = self.rx.try_recv() {
            drop(RunGuard::new(self.shared.clone(), placed));
        }
    }
}

/// A request's place at a replica; notifies the control loop when it is dropped.
pub struct RunGuard {
    shared: Arc<Shared>,
    /// The place.
    pub placed: Placed,
    /// When the place was assigned.
    pub placed_at: Instant,
    outcome: Outcome,
}

impl RunGuard {
    fn new(shared: Arc<Shared>, placed: Placed) -> Self {
        RunGuard { shared, placed, placed_at: Instant::now(), outcome: Outcome::Withdrawn }
    }

    /// Releases the place with an outcome.
    pub fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.shared.notify(ToControl::Ended(self.placed.run, self.outcome));
    }
}

/// Counts one request as open until it is dropped.
pub struct OpenGuard(Arc<Shared>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
