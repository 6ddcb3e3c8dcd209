//! The lead of a modelled fleet: the load tracker, choice of engines, queue and forecasts of `leadstage-lib`,
//! combined as in a node.

use std::collections::HashMap;
use std::time::Duration;

use leadstage_lib::gateway::choice::EngineRequest;
use leadstage_lib::gateway::evacuation;
use leadstage_lib::gateway::lead_queue::Engines;
use leadstage_lib::gateway::lead_queue::LeadQueue;
use leadstage_lib::gateway::lead_queue::QueueReply;
use leadstage_lib::gateway::lead_queue::QueueTerms;
use leadstage_lib::gateway::lead_queue::Settled;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::LoadTracker;
use leadstage_lib::gateway::load::MAX_QUEUED_PREFILL;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::organisation_shares::OrganisationShares;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::rebalance::RebalanceMove;
use leadstage_lib::gateway::rebalance::Rebalancer;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::room_forecast::RoomForecast;
use leadstage_lib::gateway::routing::EngineTraits;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::shortage::Shortage;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use rand::rngs::SmallRng;

use crate::fleet_model::experiment::Engines as ModelledEngines;

const SERVICE: &str = "model";

/// A request to place a generation.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Id of the generation.
    pub run: RunId,
    /// The organisation that it is accounted to.
    pub organisation: Option<OrganisationId>,
    /// Its size.
    pub size: GenerationSize,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Time until its first event is due.
    pub first_event_due_in: Duration,
    /// Time until its caller leaves.
    pub leaves_after: Duration,
    /// Longest acceptable gap between two events.
    pub gap_objective: Duration,
}

/// The lead's reply to a placement request.
#[derive(Clone, Debug)]
pub enum PlacementReply {
    /// The generation was placed on an engine.
    Placed(RunId, UpstreamId),
    /// Refused, with the time until capacity is expected, if known.
    Refused(RunId, NoRoom),
    /// Queued; a reply follows later.
    Queued,
}

/// The lead of all engines.
pub struct Lead {
    /// Its view of the fleet.
    pub fleet: Fleet,
    queue: LeadQueue<PlacementRequest>,
    shares: Option<OrganisationShares>,
    rebalancer: Rebalancer,
}

/// What a lead knows of its engines and their generations.
pub struct Fleet {
    /// The engines.
    pub table: ReplicaTable,
    /// The load of the engines.
    pub load: LoadTracker,
    traits: EngineTraits,
    forecast: RoomForecast,
    hall: HallId,
}

/// Returns the key of a generation.
pub fn key(run: RunId) -> RunKey {
    RunKey { entry: "node".into(), run }
}

impl Lead {
    /// Creates a lead for engines of this kind that knows none of them yet.
    pub fn new(engines: &ModelledEngines, policy: Policy) -> Self {
        Lead {
            fleet: Fleet {
                table: ReplicaTable::new(policy),
                load: LoadTracker::new(policy),
                traits: EngineTraits {
                    batch: engines.batch as u32,
                    memory_tokens: engines.memory_tokens,
                    bytes_per_token: engines.bytes_per_token,
                    link_bits_per_second: engines.link_mbps * 1e6,
                    moves: true,
                    backups: false,
                    tokens_per_event: engines.tokens_per_event,
                },
                forecast: RoomForecast::default(),
                hall: "hall".into(),
            },
            queue: LeadQueue::new(policy),
            shares: policy.share_room.then(OrganisationShares::default),
            rebalancer: Rebalancer::default(),
        }
    }

    /// Places, queues or refuses a generation.
    pub fn place(&mut self, request: PlacementRequest, now: Timestamp, rng: &mut SmallRng) -> PlacementReply {
        let (run, terms) = (request.run, self.fleet.terms(&request));
        let mut engines = EnginesAt { fleet: &mut self.fleet, shares: self.shares.as_mut(), now, rng };
        match self.queue.ask(request, &terms, &mut engines, now) {
            QueueReply::Placed(_, engine) => PlacementReply::Placed(run, engine),
            QueueReply::Refused(_, expected) => {
                PlacementReply::Refused(run, NoRoom { expected, over_share: false })
            }
            QueueReply::OverShare(_, after) => {
                PlacementReply::Refused(run, NoRoom { expected: Some(after), over_share: true })
            }
            QueueReply::Waits => PlacementReply::Queued,
        }
    }

    /// Replies to queued requests that can be placed now, and to requests that are not expected to start in
    /// time.
    pub fn settle(&mut self, now: Timestamp, rng: &mut SmallRng) -> Vec<PlacementReply> {
        if let Some(shares) = self.shares.as_mut().filter(|shares| shares.is_measurement_due(now)) {
            shares.on_measured(self.fleet.held_by_organisation(), now);
        }
        let mut engines = EnginesAt { fleet: &mut self.fleet, shares: self.shares.as_mut(), now, rng };
        let settled = self.queue.settle(&mut engines, now);
        let reply = |settled: Settled<PlacementRequest, UpstreamId>| match settled.outcome {
            Ok(engine) => PlacementReply::Placed(settled.item.run, engine),
            Err(expected) => {
                PlacementReply::Refused(settled.item.run, NoRoom { expected, over_share: settled.over_share })
            }
        };
        settled.into_iter().map(reply).collect()
    }

    /// Replaces the lead by one that knows the engines and, from the nodes' inventories, what runs there. The
    /// requests that waited are gone; their nodes place them again.
    pub fn take_over(&mut self, now: Timestamp) {
        let policy = self.fleet.load.policy;
        let entry = key(0).entry;
        let runs = self.fleet.load.runs_of_entry(&entry);
        let runs: Vec<(RunId, Run)> = runs.map(|(id, run)| (id, run.clone())).collect();
        self.fleet.load = LoadTracker::new(policy);
        self.fleet.load.on_inventory(&entry, 0..=RunId::MAX, runs, now);
        self.fleet.forecast = RoomForecast::default();
        self.queue = LeadQueue::new(policy);
        self.shares = policy.share_room.then(OrganisationShares::default);
    }

    /// Returns the generations that should move to balance the load.
    pub fn due_moves(&mut self, now: Timestamp) -> Vec<RebalanceMove> {
        let fleet = &self.fleet;
        let usable = fleet.table.of_service(SERVICE).into_iter().filter(|engine| engine.is_usable(now));
        self.rebalancer.due_moves(&fleet.load, usable, &fleet.traits, now)
    }
}

/// The engines at a point in time, as the queue uses them.
struct EnginesAt<'a> {
    fleet: &'a mut Fleet,
    shares: Option<&'a mut OrganisationShares>,
    now: Timestamp,
    rng: &'a mut SmallRng,
}

impl Engines<PlacementRequest> for EnginesAt<'_> {
    type Place = UpstreamId;

    fn choose(&mut self, request: &PlacementRequest) -> Result<UpstreamId, Shortage> {
        self.fleet.choose(request, self.now, self.rng)
    }

    fn time_until(&self, tokens: f64) -> Option<Duration> {
        self.fleet.forecast.time_until(tokens, self.now)
    }

    fn shares(&mut self) -> Option<&mut OrganisationShares> {
        self.shares.as_deref_mut()
    }
}

impl Fleet {
    /// Handles an engine's entry in the replica list; `leaving` is the state in the entry.
    pub fn on_entry(&mut self, id: &UpstreamId, leaving: bool, now: Timestamp) {
        let record = ReplicaRecord {
            id: id.clone(),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1).into(),
            hall: self.hall.clone(),
            slots: self.traits.batch,
            leaving,
            cold: Duration::ZERO,
            born: 0,
            version: "v1".into(),
        };
        self.table.on_entry(record, now, &mut ListChange::default());
    }

    fn terms(&self, request: &PlacementRequest) -> QueueTerms {
        let prefill_time = self.load.prefill.usual_prefill_time(SERVICE, request.size.prompt);
        QueueTerms {
            organisation: request.organisation.clone(),
            prompt: request.size.prompt,
            priority: request.priority,
            in_time: request.first_event_due_in.saturating_sub(prefill_time + MAX_QUEUED_PREFILL),
            may_wait: request.leaves_after.saturating_sub(prefill_time),
            tokens: self.load.memory_of(SERVICE, request.size, 0),
        }
    }

    fn choose(
        &mut self,
        request: &PlacementRequest,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Result<UpstreamId, Shortage> {
        let engine_request = EngineRequest {
            size: request.size,
            engine: &self.traits,
            hall: &self.hall,
            produced: 0,
            moves: false,
            gap_objective: Some(request.gap_objective),
        };
        let usable = self.table.of_service(SERVICE).into_iter().filter(|engine| engine.is_usable(now));
        let (available, backlogged): (Vec<&Replica>, Vec<&Replica>) =
            usable.partition(|engine| self.load.has_prefill_capacity(&engine.record.id, now));
        let choice = self.load.choose_engine_or_shortage(available, backlogged, &engine_request, now, rng)?;
        let engine = choice.replica.clone();
        let run = Run {
            size: Some(request.size),
            organisation: request.organisation.clone(),
            gap_objective: Some(request.gap_objective),
            ..Run::default()
        };
        self.add(request.run, run, &engine, now);
        Ok(engine.record.id.clone())
    }

    /// Chooses the engine to which a generation is moved, and records its run there.
    pub fn choose_target(
        &mut self,
        run: RunId,
        from: &UpstreamId,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Option<UpstreamId> {
        if self.load.copies_from(from) >= evacuation::MAX_CONCURRENT_COPIES {
            return None;
        }
        let current = self.load.get(&key(run))?.clone();
        let (size, produced, gap_objective) = (current.size?, current.produced, current.gap_objective);
        let stays = self.table.get(from).is_some_and(|engine| engine.leaving.is_none());
        let request = EngineRequest {
            size,
            engine: &self.traits,
            hall: &self.hall,
            produced,
            moves: true,
            gap_objective: gap_objective.filter(|_| stays),
        };
        let others = self.table.of_service(SERVICE).into_iter().filter(|engine| engine.record.id != *from);
        let usable = others.filter(|engine| engine.is_usable(now));
        let engine = self.load.choose_engine(usable, &request, now, rng)?.replica.clone();
        let run_there = Run { copied_from: Some(from.clone()), ..current };
        self.add(run, run_there, &engine, now);
        Some(engine.record.id.clone())
    }

    fn add(&mut self, id: RunId, run: Run, engine: &Replica, now: Timestamp) {
        let run = Run { replica: engine.record.id.clone(), ..run };
        self.load.add(key(id), run, engine, now);
    }

    /// Tokens of memory that the generations of each organisation use.
    fn held_by_organisation(&self) -> HashMap<OrganisationId, f64> {
        let mut held = HashMap::new();
        for (_, run) in self.load.iter() {
            if let (Some(organisation), Some(size)) = (&run.organisation, run.size) {
                *held.entry(organisation.clone()).or_default() +=
                    self.load.memory_of(SERVICE, size, run.produced);
            }
        }
        held
    }

    /// Handles the end of a generation; if its engine stays, the freed memory is recorded for the forecast.
    pub fn on_ended(&mut self, run: RunId, now: Timestamp) {
        let Some(run) = self.load.remove(&key(run)) else { return };
        let stays = self.table.get(&run.replica).is_some_and(|replica| replica.leaving.is_none());
        if let Some(size) = run.size.filter(|_| stays) {
            self.forecast.on_freed(f64::from(size.prompt + run.produced), now);
        }
    }

    /// Returns the time to copy the KV cache memory of this many tokens.
    pub fn copy_time(&self, tokens: u32) -> Duration {
        self.traits.copy_time(tokens)
    }
}
