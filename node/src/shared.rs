//! State shared by the control thread and the traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use leadstage_lib::bundle::Bundle;
use leadstage_lib::burn::BurnCounts;
use leadstage_lib::burn::Indicator;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::ids::VmId;
use leadstage_lib::retry::RetryBudget;
use leadstage_lib::rollout::BundleInForce;
use leadstage_lib::status::NodeStatus;
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::sync::CancellationToken;

use crate::control_message::ControlMessage;
use crate::decision_log::DecisionLog;
use crate::locks;
use crate::metrics::Metrics;

/// Whether the load balancer may send requests to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Not ready: the node has no bundle yet.
    NoBundle,
    /// Not ready: the callers' port is not bound yet.
    NoPort,
    /// Ready.
    Ready,
    /// Not ready: neither the object API nor a peer was reached within the bundle's limit.
    Alone,
    /// Not ready: a planned stop has begun.
    Stopping,
}

/// An upstream with its address.
#[derive(Clone, Debug)]
pub struct UpstreamAddress {
    /// Its id.
    pub id: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// The model or service that it serves.
    pub serves: String,
    /// Whether new requests may be sent to it.
    pub usable: bool,
}

/// All upstreams, by id.
pub type UpstreamTable = HashMap<UpstreamId, UpstreamAddress>;

/// State shared by the control thread and the traffic threads.
pub struct Shared {
    /// The id of this VM.
    pub vm: VmId,
    /// The hall of this VM.
    pub hall: HallId,
    /// Sends messages to the control thread.
    pub control: UnboundedSender<ControlMessage>,
    /// The metrics of this node.
    pub metrics: Metrics,
    /// The latest decisions, by request.
    pub decisions: Mutex<DecisionLog>,
    /// The retry budget.
    pub retries: Mutex<RetryBudget>,
    /// Cancelled when the time limit of a planned stop is reached: all requests end.
    pub stop_now: CancellationToken,
    /// Whether new requests are refused.
    closed: AtomicBool,
    callers_port_listens: AtomicBool,
    in_force: RwLock<Option<BundleInForce>>,
    readiness: RwLock<Readiness>,
    upstreams: RwLock<Arc<UpstreamTable>>,
    status: RwLock<NodeStatus>,
    burn: Mutex<BurnCounts>,
    open: AtomicU32,
    open_by_organisation: Mutex<HashMap<OrganisationId, u32>>,
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

impl Shared {
    /// Creates the state of a node that has just started.
    pub fn new(vm: VmId, hall: HallId, control: UnboundedSender<ControlMessage>, metrics: Metrics) -> Self {
        Shared {
            vm,
            hall,
            control,
            metrics,
            decisions: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(0.1)),
            stop_now: CancellationToken::new(),
            closed: AtomicBool::new(false),
            callers_port_listens: AtomicBool::new(false),
            in_force: RwLock::new(None),
            readiness: RwLock::new(Readiness::NoBundle),
            upstreams: RwLock::default(),
            status: RwLock::default(),
            burn: Mutex::default(),
            open: AtomicU32::new(0),
            open_by_organisation: Mutex::default(),
        }
    }

    /// Returns the bundle in force with its envelope.
    pub fn in_force(&self) -> Option<BundleInForce> {
        locks::read(&self.in_force).clone()
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        locks::read(&self.in_force).as_ref().map(|f| f.bundle.clone())
    }

    /// Puts a bundle in force if its number is higher than the current one. Returns whether it did.
    pub fn set_in_force(&self, new: BundleInForce) -> bool {
        let mut current = locks::write(&self.in_force);
        let newer = current.as_ref().is_none_or(|f| f.bundle.number < new.bundle.number);
        if newer {
            locks::lock(&self.retries).set_ratio(new.bundle.bounds.retry_ratio);
            *current = Some(new);
        }
        newer
    }

    /// Whether callers can connect to this node.
    pub fn callers_port_listens(&self) -> bool {
        self.callers_port_listens.load(Ordering::Relaxed)
    }

    /// Records that callers can connect to this node.
    pub fn set_callers_port_listens(&self) {
        self.callers_port_listens.store(true, Ordering::Relaxed);
    }

    /// Returns whether the load balancer may send requests to this node.
    pub fn readiness(&self) -> Readiness {
        *locks::read(&self.readiness)
    }

    /// Sets the readiness. Has no effect after a planned stop has begun.
    pub fn set_readiness(&self, new: Readiness) {
        let mut current = locks::write(&self.readiness);
        if *current != Readiness::Stopping {
            *current = new;
        }
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> Arc<UpstreamTable> {
        locks::read(&self.upstreams).clone()
    }

    /// Publishes the upstreams.
    pub fn set_upstreams(&self, table: UpstreamTable) {
        *locks::write(&self.upstreams) = Arc::new(table);
    }

    /// Returns the latest status.
    pub fn status(&self) -> NodeStatus {
        locks::read(&self.status).clone()
    }

    /// Publishes the status.
    pub fn set_status(&self, status: NodeStatus) {
        *locks::write(&self.status) = status;
    }

    /// Counts a good or bad event for its service level objective.
    pub fn observe(&self, indicator: Indicator, good: bool) {
        let minute = unix_millis() / 60_000;
        locks::lock(&self.burn).observe(indicator, good, minute);
    }

    /// Returns the counts for the error budgets.
    pub fn burn(&self) -> BurnCounts {
        locks::lock(&self.burn).clone()
    }

    /// Records a decision for `leadstage explain`.
    pub fn note(&self, request: u64, filter: &'static str, what: String) {
        locks::lock(&self.decisions).note(request, unix_millis(), filter, what);
    }

    /// Called when a request arrives; it adds to the retry budget.
    pub fn on_request(&self) {
        locks::lock(&self.retries).on_request();
    }

    /// Takes a retry from the budget. Returns whether one was left.
    pub fn take_retry(&self) -> bool {
        locks::lock(&self.retries).take()
    }

    /// Refuses new requests from now on. Called in a planned stop after the grace period for the load
    /// balancer.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused. A request is counted as open before this is checked, and a
    /// stop closes before it reads the count, so that at least one of the two sees the other.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Returns the number of open requests.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Counts a request as open until the guard is dropped. Fails if a limit is reached.
    pub fn open_guard(
        self: &Arc<Self>,
        organisation: &OrganisationId,
        max_open: u32,
        max_open_on_node: u32,
    ) -> Result<OpenGuard, OpenLimit> {
        let mut counts = locks::lock(&self.open_by_organisation);
        if self.open() >= max_open_on_node {
            return Err(OpenLimit::Node);
        }
        let count = counts.entry(organisation.clone()).or_default();
        if *count >= max_open {
            return Err(OpenLimit::Organisation);
        }
        *count += 1;
        self.open.fetch_add(1, Ordering::SeqCst);
        Ok(OpenGuard { shared: self.clone(), organisation: organisation.clone() })
    }
}

/// The limit on open requests that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenLimit {
    /// The limit of the node.
    Node,
    /// The limit of the organisation.
    Organisation,
}

/// Counts one request as open until dropped.
pub struct OpenGuard {
    shared: Arc<Shared>,
    organisation: OrganisationId,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut counts = locks::lock(&self.shared.open_by_organisation);
        if let Some(count) = counts.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.organisation);
            }
        }
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
    }
}
