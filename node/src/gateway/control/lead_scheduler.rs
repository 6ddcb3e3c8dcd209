//! A lead's work: grants engines, lets generations wait for room, and has running ones move
//! for balance.

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

/// A generation that wants an engine.
pub struct Ask {
    /// Names it.
    pub key: RunKey,
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
    /// Who gets the answer.
    pub asker: Asker,
}

/// Who asked for a place.
pub enum Asker {
    /// A request of this node.
    Here {
        /// The caller's id of the request, for logs.
        request: String,
        /// How a stream is told to move.
        stream: Option<StreamHandle>,
        /// Takes the answer.
        reply: PlaceReply,
    },
    /// Another node.
    There(SocketAddr),
}

/// An answer to a generation that wanted an engine.
pub struct Decision {
    /// The question.
    pub ask: Ask,
    /// The engine, already in the books.
    pub chosen: Result<Arc<ReplicaRecord>, NoRoom>,
}

/// What became of a question at once.
pub enum Outcome {
    /// It is answered.
    Decided(Box<Decision>),
    /// It waits; this node is to be told so.
    Waits(RunKey, Option<SocketAddr>),
}

/// Where a question waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Room {
    /// New generations of a service, for an engine with room in these regions.
    New(ServiceId, AllowedRegions),
    /// Generations that leave an engine, for their turn on its link.
    From(UpstreamId),
}

/// The services that this node leads.
#[derive(Default)]
pub struct LeadScheduler {
    policy: Policy,
    queues: HashMap<Room, LeadQueue<Ask>>,
    rebalancers: HashMap<ServiceId, Rebalancer>,
}

impl LeadScheduler {
    /// Leads no services yet.
    pub fn new(policy: Policy) -> Self {
        LeadScheduler { policy, ..LeadScheduler::default() }
    }

    /// Takes a question in.
    pub fn ask(&mut self, state: &mut PlacementState, ask: Ask, now: Timestamp) -> Outcome {
        let waits =
            if ask.wanted.from.is_some() { self.policy.copy_turns } else { self.policy.wait_for_room };
        if ask.patience.is_zero() || !waits {
            let chosen = choose(state, &ask, MayWait::No);
            let chosen = chosen.map_err(|_| state.no_room(&ask.wanted));
            return Outcome::Decided(Box::new(Decision { ask, chosen }));
        }
        let (room, terms) = (room_of(&ask), terms(state, &ask));
        let key = ask.key.clone();
        let there = match &ask.asker {
            Asker::There(address) => Some(*address),
            Asker::Here { .. } => None,
        };
        let queue = self.queues.entry(room.clone()).or_insert_with(|| LeadQueue::new(self.policy));
        match queue.ask(ask, &terms, &mut EnginesOf { state, room, now }, now) {
            QueueReply::Placed(ask, replica) => {
                Outcome::Decided(Box::new(Decision { ask, chosen: Ok(replica) }))
            }
            QueueReply::Refused(ask, expected) => Outcome::Decided(Box::new(refusal(ask, expected))),
            QueueReply::Waits => Outcome::Waits(key, there),
        }
    }

    /// Answers those that can go on now, and those that can't be expected to begin in time.
    pub fn settle(&mut self, state: &mut PlacementState, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (room, queue) in &mut self.queues {
            let mut engines = EnginesOf { state: &mut *state, room: room.clone(), now };
            for Settled { item: ask, outcome, waited } in queue.settle(&mut engines, now) {
                log_wait(&ask, &waited, outcome.is_ok());
                decisions.push(match outcome {
                    Ok(replica) => Decision { ask, chosen: Ok(replica) },
                    Err(expected) => refusal(ask, expected),
                });
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        decisions
    }

    /// Generations that wait.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(LeadQueue::len).sum()
    }

    /// Generations of a service that should move for balance.
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
        let engines = state.balanced(service).filter(|replica| replica.is_usable(now));
        rebalancer.due_moves(&state.load, engines, &traits, now)
    }
}

/// The engines, for those that wait in one place.
struct EnginesOf<'a> {
    state: &'a mut PlacementState,
    room: Room,
    now: Timestamp,
}

impl Engines<Ask> for EnginesOf<'_> {
    type Place = Arc<ReplicaRecord>;

    fn choose(&mut self, ask: &Ask) -> Result<Arc<ReplicaRecord>, Shortage> {
        choose(self.state, ask, MayWait::Yes)
    }

    /// Unknown for a turn on a link.
    fn time_until(&self, tokens: f64) -> Option<Duration> {
        match &self.room {
            Room::New(service, regions) if self.state.is_closed(service, regions) => Some(Duration::MAX),
            Room::New(service, _) => self.state.forecast(service).time_until(tokens, self.now),
            Room::From(_) => None,
        }
    }
}

/// What holds for a generation that may wait.
fn terms(state: &PlacementState, ask: &Ask) -> QueueTerms {
    let Ask { priority, patience, leaves_after, .. } = *ask;
    if ask.wanted.from.is_some() {
        return QueueTerms { priority, in_time: patience, may_wait: leaves_after, tokens: 0.0 };
    }
    let (service, size) = (&ask.wanted.service, ask.wanted.size.unwrap_or_default());
    let reading = state.load.prefill.usual_prefill_time(service, size.prompt);
    QueueTerms {
        priority,
        in_time: patience.saturating_sub(reading + MAX_QUEUED_PREFILL),
        may_wait: leaves_after.saturating_sub(reading),
        tokens: state.load.memory_of(service, size, 0),
    }
}

fn refusal(ask: Ask, expected: Option<Duration>) -> Decision {
    Decision { ask, chosen: Err(NoRoom { expected }) }
}

fn room_of(ask: &Ask) -> Room {
    match &ask.wanted.from {
        Some(engine) => Room::From(engine.clone()),
        None => Room::New(ask.wanted.service.clone(), ask.wanted.regions.clone()),
    }
}

/// Whether a generation may wait for an engine that reads it soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MayWait {
    Yes,
    No,
}

/// Finds a replica and puts the request into the books there. One that moves waits for its turn on its
/// engine's link like for an engine.
fn choose(state: &mut PlacementState, ask: &Ask, may_wait: MayWait) -> Result<Arc<ReplicaRecord>, Shortage> {
    if !state.copy_may_start(&ask.wanted) {
        return Err(Shortage::Engines);
    }
    let reads_soon = may_wait == MayWait::Yes && ask.wanted.from.is_none();
    let replica = state.choose(&ask.key, &ask.wanted, reads_soon)?;
    state.add(ask.key.clone(), &ask.wanted, &replica.id);
    Ok(replica)
}

/// One line for each new generation that waited: for what, and whether it was given an engine.
fn log_wait(ask: &Ask, waited: &ShortageTimes, given: bool) {
    if ask.wanted.from.is_some() || waited.sum().is_zero() {
        return;
    }
    info!(event = "waited", entry = &*ask.key.entry, run = ask.key.run, given, engines_ms = waited.engines.as_millis() as u64, reading_ms = waited.prefill.as_millis() as u64, memory_ms = waited.memory.as_millis() as u64; "a generation waited for an engine");
}
