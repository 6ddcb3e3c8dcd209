//! A lead's work: grants engines, lets generations wait for room, and has running ones move
//! for balance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::load::READS_AHEAD;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::rebalance::Rebalancer;
use leadstage_lib::gateway::rebalance::Relief;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::shortage::Shortage;
use leadstage_lib::gateway::shortage::ShortageClock;
use leadstage_lib::gateway::shortage::ShortageTimes;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::gateway::waiting::Waiting;
use leadstage_lib::gateway::waiting::WaitingRoom;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use log::info;

use crate::gateway::control::knowledge::Knowledge;
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
    Decided(Decision),
    /// It waits; this node is to be told so.
    Waits(RunKey, Option<SocketAddr>),
}

/// Where a question waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Room {
    /// New generations of a service, for an engine with room.
    New(ServiceId),
    /// Generations that leave an engine, for their turn on its link.
    From(UpstreamId),
}

/// Those that wait in one place.
#[derive(Default)]
struct Queue {
    room: WaitingRoom<Queued>,
    shortage: ShortageClock,
}

/// One that waits.
struct Queued {
    ask: Ask,
    /// What had been short in its queue when it came.
    from: ShortageTimes,
}

/// The services that this node leads.
#[derive(Default)]
pub struct LeadDesk {
    policy: Policy,
    rooms: HashMap<Room, Queue>,
    rebalancers: HashMap<ServiceId, Rebalancer>,
}

impl LeadDesk {
    /// Leads no services yet.
    pub fn new(policy: Policy) -> Self {
        LeadDesk { policy, ..LeadDesk::default() }
    }

    /// Takes a question in.
    pub fn ask(&mut self, knowledge: &mut Knowledge, ask: Ask, now: Timestamp) -> Outcome {
        let waits =
            if ask.wanted.from.is_some() { self.policy.copy_turns } else { self.policy.wait_for_room };
        if ask.patience.is_zero() || !waits {
            let chosen = choose(knowledge, &ask, MayWait::No);
            let chosen = chosen.map_err(|_| knowledge.no_room(&ask.wanted.service));
            return Outcome::Decided(Decision { ask, chosen });
        }
        let queue = self.rooms.entry(room_of(&ask)).or_default();
        if !queue.room.lets_pass(ask.priority, now) {
            return wait(queue, knowledge, ask, now);
        }
        match choose(knowledge, &ask, MayWait::Yes) {
            Ok(replica) => {
                queue.room.on_passed();
                Outcome::Decided(Decision { ask, chosen: Ok(replica) })
            }
            Err(shortage) => {
                queue.shortage.set(shortage, now);
                wait(queue, knowledge, ask, now)
            }
        }
    }

    /// Answers those that can go on now, and those that can't be expected to begin in time.
    pub fn settle(&mut self, knowledge: &mut Knowledge, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (name, queue) in &mut self.rooms {
            let times = queue.shortage.times(now);
            while let Some(first) = queue.room.pop(now) {
                match choose(knowledge, &first.item.ask, MayWait::Yes) {
                    Ok(replica) => {
                        log_wait(&first.item, &times, true);
                        decisions.push(Decision { ask: first.item.ask, chosen: Ok(replica) });
                    }
                    Err(shortage) => {
                        queue.shortage.set(shortage, now);
                        queue.room.put_back(first);
                        break;
                    }
                }
            }
            let lost = queue.room.lost(now, |tokens| expected(knowledge, name, tokens, now));
            decisions.extend(lost.into_iter().map(|(queued, expected)| {
                log_wait(&queued, &times, false);
                refusal(queued.ask, expected)
            }));
        }
        self.rooms.retain(|_, queue| !queue.room.is_empty());
        decisions
    }

    /// Generations that wait.
    pub fn waiting(&self) -> usize {
        self.rooms.values().map(|queue| queue.room.len()).sum()
    }

    /// Generations of a service that should move for balance.
    pub fn reliefs(&mut self, knowledge: &Knowledge, service: &ServiceId, now: Timestamp) -> Vec<Relief> {
        let Some(traits) = knowledge.engine_traits(service).filter(|_| self.policy.balance) else {
            return Vec::new();
        };
        let rebalancer = self.rebalancers.entry(service.clone()).or_default();
        let open = knowledge.open(service);
        let engines = open.into_iter().filter(|replica| replica.is_usable(now));
        rebalancer.reliefs(&knowledge.book, engines, &traits, now)
    }
}

/// Lets a generation wait if it can be expected to begin before its caller leaves, and refuses it
/// otherwise.
fn wait(queue: &mut Queue, knowledge: &Knowledge, ask: Ask, now: Timestamp) -> Outcome {
    let (service, size) = (&ask.wanted.service, ask.wanted.size.unwrap_or_default());
    let is_new = ask.wanted.from.is_none();
    let tokens = if is_new { knowledge.book.memory_of(service, size, 0) } else { 0.0 };
    let reading =
        if is_new { knowledge.book.reading.usual_time(service, size.prompt) } else { Duration::ZERO };
    let in_time = ask.patience.saturating_sub(reading + if is_new { READS_AHEAD } else { Duration::ZERO });
    let may_wait = ask.leaves_after.saturating_sub(reading);
    let tokens_before = queue.room.tokens_before(ask.priority, now);
    let expected = expected(knowledge, &room_of(&ask), tokens_before + tokens, now);
    if may_wait.is_zero() || expected.is_some_and(|expected| expected > may_wait) {
        return Outcome::Decided(refusal(ask, expected));
    }
    let there = match &ask.asker {
        Asker::There(address) => Some(*address),
        Asker::Here { .. } => None,
    };
    let key = ask.key.clone();
    let from = queue.shortage.times(now);
    queue.room.push(Waiting {
        priority: ask.priority,
        due: now + in_time,
        until: now + may_wait,
        tokens,
        item: Queued { ask, from },
    });
    Outcome::Waits(key, there)
}

/// Time until so much memory has become free for those that wait; unknown for a turn on a link.
fn expected(knowledge: &Knowledge, room: &Room, tokens: f64, now: Timestamp) -> Option<Duration> {
    match room {
        Room::New(service) if knowledge.is_closed(service) => Some(Duration::MAX),
        Room::New(service) => knowledge.forecast(service).time_until(tokens, now),
        Room::From(_) => None,
    }
}

fn refusal(ask: Ask, expected: Option<Duration>) -> Decision {
    Decision { ask, chosen: Err(NoRoom { expected }) }
}

fn room_of(ask: &Ask) -> Room {
    match &ask.wanted.from {
        Some(engine) => Room::From(engine.clone()),
        None => Room::New(ask.wanted.service.clone()),
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
fn choose(knowledge: &mut Knowledge, ask: &Ask, may_wait: MayWait) -> Result<Arc<ReplicaRecord>, Shortage> {
    if !knowledge.copy_may_start(&ask.wanted) {
        return Err(Shortage::Engines);
    }
    let reads_soon = may_wait == MayWait::Yes && ask.wanted.from.is_none();
    let replica = knowledge.choose(&ask.key, &ask.wanted, reads_soon)?;
    knowledge.add(ask.key.clone(), &ask.wanted, &replica.id);
    Ok(replica)
}

/// One line for each new generation that waited: for what, and whether it was given an engine.
fn log_wait(queued: &Queued, times: &ShortageTimes, given: bool) {
    let (ask, waited) = (&queued.ask, times.since(&queued.from));
    if ask.wanted.from.is_some() || waited.sum().is_zero() {
        return;
    }
    info!(event = "waited", entry = &*ask.key.entry, run = ask.key.run, given, engines_ms = waited.engines.as_millis() as u64, reading_ms = waited.reading.as_millis() as u64, memory_ms = waited.memory.as_millis() as u64; "a generation waited for an engine");
}
