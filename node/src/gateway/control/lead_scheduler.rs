//! The lead's scheduler: assigns engines to generations, queues generations until an engine has room, and
//! moves running ones to balance load.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::lead_queue::Engines;
use leadstage_lib::gateway::lead_queue::LeadQueue;
use leadstage_lib::gateway::lead_queue::QueueReply;
use leadstage_lib::gateway::lead_queue::QueueTerms;
use leadstage_lib::gateway::lead_queue::Settled;
use leadstage_lib::gateway::load::MAX_QUEUED_PREFILL;
use leadstage_lib::gateway::organisation_shares::OrganisationShares;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::rebalance::RebalanceMove;
use leadstage_lib::gateway::rebalance::Rebalancer;
use leadstage_lib::gateway::regions::AllowedRegions;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::shortage::Shortage;
use leadstage_lib::gateway::shortage::ShortageTimes;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use log::info;

use crate::gateway::control::placement_state::PlacementState;
use crate::gateway::messages::PlaceReply;
use crate::gateway::messages::StreamHandle;
use crate::gateway::peers::peer_message::Wanted;

/// A request that needs a replica.
pub struct PendingPlacement {
    /// Identifies the request.
    pub key: RunKey,
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
    /// Receives the decision.
    pub requester: Requester,
}

/// The origin of a placement request.
pub enum Requester {
    /// A request of this node.
    Local {
        /// The caller's id of the request, for logs.
        request: String,
        /// Sends commands to the stream, such as to move.
        stream: Option<StreamHandle>,
        /// Receives the answer.
        reply: PlaceReply,
    },
    /// Another node.
    Remote(SocketAddr),
}

/// The decision on a placement request.
pub struct Decision {
    /// The request.
    pub pending: PendingPlacement,
    /// The replica, which already counts the request, or no room.
    pub chosen: Result<Arc<ReplicaRecord>, NoRoom>,
}

/// The immediate result of submitting a placement request.
pub enum Outcome {
    /// The request is decided.
    Decided(Box<Decision>),
    /// The request waits; the node at this address, if any, is to be notified.
    Waits(RunKey, Option<SocketAddr>),
}

/// Identifies a queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum QueueKey {
    /// New generations of a service that wait for an engine with room in these regions.
    Service(ServiceId, AllowedRegions),
    /// Generations that leave an engine and wait for their turn on its link.
    Engine(UpstreamId),
}

/// The queues and rebalancers of the services that this node leads.
#[derive(Default)]
pub struct LeadScheduler {
    policy: Policy,
    queues: HashMap<QueueKey, LeadQueue<PendingPlacement>>,
    /// Who uses how much of each service's engines.
    shares: HashMap<ServiceId, OrganisationShares>,
    rebalancers: HashMap<ServiceId, Rebalancer>,
}

impl LeadScheduler {
    /// Creates a scheduler without any services.
    pub fn new(policy: Policy) -> Self {
        LeadScheduler { policy, ..LeadScheduler::default() }
    }

    /// Places a request at once if possible; otherwise queues or refuses it.
    pub fn submit(
        &mut self,
        state: &mut PlacementState,
        pending: PendingPlacement,
        now: Timestamp,
    ) -> Outcome {
        let waits =
            if pending.wanted.from.is_some() { self.policy.copy_turns } else { self.policy.wait_for_room };
        if pending.patience.is_zero() || !waits {
            let chosen = choose(state, &pending, MayWait::No);
            let chosen = chosen.map_err(|_| state.no_room(&pending.wanted));
            return Outcome::Decided(Box::new(Decision { pending, chosen }));
        }
        let (key, terms) = (queue_key(&pending), terms(state, &pending));
        let run_key = pending.key.clone();
        let remote = match &pending.requester {
            Requester::Remote(address) => Some(*address),
            Requester::Local { .. } => None,
        };
        let shares = self.policy.share_room.then(|| shares_of(&mut self.shares, &key)).flatten();
        let queue = self.queues.entry(key.clone()).or_insert_with(|| LeadQueue::new(self.policy));
        match queue.ask(pending, &terms, &mut QueueEngines { state, shares, key, now }, now) {
            QueueReply::Placed(pending, replica) => {
                Outcome::Decided(Box::new(Decision { pending, chosen: Ok(replica) }))
            }
            QueueReply::Refused(pending, expected) => Outcome::Decided(Box::new(refusal(pending, expected))),
            QueueReply::OverShare(pending, after) => {
                Outcome::Decided(Box::new(refusal_over_share(pending, Some(after))))
            }
            QueueReply::Waits => Outcome::Waits(run_key, remote),
        }
    }

    /// Decides the queued requests that can be placed now or are not expected to begin in time.
    pub fn settle(&mut self, state: &mut PlacementState, now: Timestamp) -> Vec<Decision> {
        self.measure_shares(state, now);
        let mut decisions = Vec::new();
        for (key, queue) in &mut self.queues {
            let shares = self.policy.share_room.then(|| shares_of(&mut self.shares, key)).flatten();
            let mut engines = QueueEngines { state: &mut *state, shares, key: key.clone(), now };
            for Settled { item: pending, outcome, over_share, waited } in queue.settle(&mut engines, now) {
                log_waited(&pending, &waited, outcome.is_ok());
                decisions.push(match outcome {
                    Ok(replica) => Decision { pending, chosen: Ok(replica) },
                    Err(after) if over_share => refusal_over_share(pending, after),
                    Err(expected) => refusal(pending, expected),
                });
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        decisions
    }

    /// Measures the memory that each organisation holds, where that decides who may use more.
    fn measure_shares(&mut self, state: &PlacementState, now: Timestamp) {
        for (service, shares) in &mut self.shares {
            if shares.is_measurement_due(now) {
                shares.on_measured(state.held_by_organisation(service), now);
            }
        }
    }

    /// Number of queued generations.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(LeadQueue::len).sum()
    }

    /// Generations of a service that should move now to balance load.
    pub fn due_moves(
        &mut self,
        state: &PlacementState,
        service: &ServiceId,
        now: Timestamp,
    ) -> Vec<RebalanceMove> {
        let Some(traits) = state.engine_traits(service).filter(|_| self.policy.balance) else {
            return Vec::new();
        };
        let rebalancer = self.rebalancers.entry(service.clone()).or_default();
        let engines = state.rebalance_targets(service).filter(|replica| replica.is_usable(now));
        rebalancer.due_moves(&state.load, engines, &traits, now)
    }
}

/// The engines as seen from one queue.
struct QueueEngines<'a> {
    state: &'a mut PlacementState,
    /// `None` if the engines are not shared between organisations.
    shares: Option<&'a mut OrganisationShares>,
    key: QueueKey,
    now: Timestamp,
}

impl Engines<PendingPlacement> for QueueEngines<'_> {
    type Place = Arc<ReplicaRecord>;

    fn choose(&mut self, pending: &PendingPlacement) -> Result<Arc<ReplicaRecord>, Shortage> {
        choose(self.state, pending, MayWait::Yes)
    }

    /// Unknown for generations that wait for their turn on a link.
    fn time_until(&self, tokens: f64) -> Option<Duration> {
        match &self.key {
            QueueKey::Service(service, regions) if self.state.is_closed(service, regions) => {
                Some(Duration::MAX)
            }
            QueueKey::Service(service, _) => self.state.forecast(service).time_until(tokens, self.now),
            QueueKey::Engine(_) => None,
        }
    }

    fn shares(&mut self) -> Option<&mut OrganisationShares> {
        self.shares.as_deref_mut()
    }
}

/// The shares that hold for a queue: those of its service, in all regions. Generations that wait for their
/// turn on a link have a place already.
fn shares_of<'a>(
    shares: &'a mut HashMap<ServiceId, OrganisationShares>,
    key: &QueueKey,
) -> Option<&'a mut OrganisationShares> {
    match key {
        QueueKey::Service(service, _) => Some(shares.entry(service.clone()).or_default()),
        QueueKey::Engine(_) => None,
    }
}

/// The queue terms for a generation that may wait.
fn terms(state: &PlacementState, pending: &PendingPlacement) -> QueueTerms {
    let PendingPlacement { priority, patience, leaves_after, .. } = *pending;
    if pending.wanted.from.is_some() || pending.wanted.size.is_none() {
        return QueueTerms { priority, in_time: patience, may_wait: leaves_after, ..QueueTerms::default() };
    }
    let (service, size) = (&pending.wanted.service, pending.wanted.size.unwrap_or_default());
    let prefill_time = state.load.prefill.usual_prefill_time(service, size.prompt);
    QueueTerms {
        organisation: pending.wanted.organisation.clone(),
        prompt: size.prompt,
        priority,
        in_time: patience.saturating_sub(prefill_time + MAX_QUEUED_PREFILL),
        may_wait: leaves_after.saturating_sub(prefill_time),
        tokens: state.load.memory_of(service, size, 0),
    }
}

fn refusal(pending: PendingPlacement, expected: Option<Duration>) -> Decision {
    Decision { pending, chosen: Err(NoRoom { expected, over_share: false }) }
}

fn refusal_over_share(pending: PendingPlacement, after: Option<Duration>) -> Decision {
    Decision { pending, chosen: Err(NoRoom { expected: after, over_share: true }) }
}

fn queue_key(pending: &PendingPlacement) -> QueueKey {
    match &pending.wanted.from {
        Some(engine) => QueueKey::Engine(engine.clone()),
        None => QueueKey::Service(pending.wanted.service.clone(), pending.wanted.regions.clone()),
    }
}

/// Whether a generation may wait for an engine that can start its prefill soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MayWait {
    Yes,
    No,
}

/// Chooses a replica and adds the request to its load. A generation that moves waits for its turn on its
/// engine's link as others wait for an engine.
fn choose(
    state: &mut PlacementState,
    pending: &PendingPlacement,
    may_wait: MayWait,
) -> Result<Arc<ReplicaRecord>, Shortage> {
    if !state.may_start_copy(&pending.wanted) {
        return Err(Shortage::Engines);
    }
    let needs_prefill_soon = may_wait == MayWait::Yes && pending.wanted.from.is_none();
    let replica = state.choose(&pending.key, &pending.wanted, needs_prefill_soon)?;
    state.add(pending.key.clone(), &pending.wanted, &replica.id);
    Ok(replica)
}

/// Logs one line for each new generation that waited: the time by shortage, and whether it was given an
/// engine.
fn log_waited(pending: &PendingPlacement, waited: &ShortageTimes, given: bool) {
    if pending.wanted.from.is_some() || waited.sum().is_zero() {
        return;
    }
    info!(event = "waited", entry = &*pending.key.entry, run = pending.key.run, given, engines_ms = waited.engines.as_millis() as u64, reading_ms = waited.prefill.as_millis() as u64, memory_ms = waited.memory.as_millis() as u64; "a generation waited for an engine");
}
