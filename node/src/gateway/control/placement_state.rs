//! The state that placement decisions are based on: the replicas and the requests running on them.

mod eligible;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use leadstage_lib::gateway::brittle_replicas;
use leadstage_lib::gateway::brittle_replicas::BrittleReplicas;
use leadstage_lib::gateway::choice::EngineRequest;
use leadstage_lib::gateway::cold_start::ColdStartLimiter;
use leadstage_lib::gateway::cold_start::PlacedBy;
use leadstage_lib::gateway::evacuation;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::LoadTracker;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replica_ramp::RampCause;
use leadstage_lib::gateway::replica_ramp::ReplicaRamps;
use leadstage_lib::gateway::replica_rate_limiter::ReplicaRateLimiter;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::room_forecast::RoomForecast;
use leadstage_lib::gateway::routing::EngineTraits;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::shortage::Shortage;
use leadstage_lib::ids::OrganisationId;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::ids::VmId;
use log::info;

use crate::gateway::control::canary_cache::CanaryCache;
use crate::gateway::control::judged_services::JudgedServices;
use crate::gateway::peers::peer_message::Wanted;
use crate::gateway::shared::Shared;

/// The replicas and the requests running on them.
pub struct PlacementState {
    shared: Arc<Shared>,
    own: VmId,
    /// The replicas.
    pub replicas: ReplicaTable,
    /// The running requests: those of this node, and those of other nodes for the services that this node
    /// leads.
    pub load: LoadTracker,
    forecasts: HashMap<ServiceId, RoomForecast>,
    cold: RefCell<ColdStartLimiter>,
    /// The limits that replicas announce.
    pub limits: RefCell<ReplicaRateLimiter>,
    /// The pace of plain replicas that start or recover.
    pub ramps: ReplicaRamps,
    brittle: BrittleReplicas,
    /// The model services and the brittle ones that this node leads.
    led_services: Vec<ServiceId>,
    canary_replicas: CanaryCache,
    /// Services whose upgrades are judged by evidence that includes this node's.
    pub judged: JudgedServices,
}

impl PlacementState {
    /// Creates a state without replicas and requests.
    pub fn new(shared: Arc<Shared>, own: VmId) -> Self {
        let policy = shared.settings.policy;
        PlacementState {
            shared,
            own: own.clone(),
            replicas: ReplicaTable::new(policy),
            load: LoadTracker::new(policy),
            forecasts: HashMap::new(),
            cold: RefCell::new(ColdStartLimiter::new(own)),
            ramps: ReplicaRamps::new(policy),
            limits: RefCell::default(),
            brittle: BrittleReplicas::default(),
            led_services: Vec::new(),
            canary_replicas: CanaryCache::default(),
            judged: JudgedServices::default(),
        }
    }

    /// The traits of a service's engines; `None` for plain services.
    pub fn engine_traits(&self, service: &ServiceId) -> Option<EngineTraits> {
        self.shared.table()?.service(service)?.engine.clone()
    }

    /// Returns the best replica for a request, if one has room. For a generation that `may_wait`, only
    /// engines that can start its prefill soon are eligible.
    pub fn choose(
        &self,
        key: &RunKey,
        wanted: &Wanted,
        may_wait: bool,
    ) -> Result<Arc<ReplicaRecord>, Shortage> {
        let traits = self.engine_traits(&wanted.service);
        match (&traits, wanted.size) {
            (Some(traits), Some(size)) => self.choose_engine(key, wanted, traits, size, may_wait),
            _ => {
                let mut candidates = self.candidates(key, wanted, |_| true);
                let (now, rng) = (self.shared.now(), &mut rand::rng());
                self.ramps.filter(&mut candidates, wanted.is_repeatable, now, rng);
                let chosen =
                    self.load.choose_plain(candidates.into_iter(), &wanted.hall, traits.is_none(), now, rng);
                chosen.map(|replica| replica.record.clone()).ok_or(Shortage::Engines)
            }
        }
    }

    fn choose_engine(
        &self,
        key: &RunKey,
        wanted: &Wanted,
        traits: &EngineTraits,
        size: GenerationSize,
        may_wait: bool,
    ) -> Result<Arc<ReplicaRecord>, Shortage> {
        let now = self.shared.now();
        let request = EngineRequest {
            size,
            engine: traits,
            hall: &wanted.hall,
            produced: wanted.produced,
            moves: wanted.from.is_some(),
            gap_objective: wanted.gap_objective.filter(|_| !self.must_leave(wanted)),
        };
        // Engines with a prefill backlog are only checked for whether their memory would admit the
        // generation.
        let mut backlogged = Vec::new();
        let available = self.candidates(key, wanted, |replica| {
            let can_prefill_soon = !may_wait || self.load.has_prefill_capacity(&replica.record.id, now);
            if !can_prefill_soon && backlogged.len() < eligible::MAX_CANDIDATES {
                backlogged.push(replica);
            }
            can_prefill_soon
        });
        let engines = available.len() + backlogged.len();
        let choice =
            self.load.choose_engine_or_shortage(available, backlogged, &request, now, &mut rand::rng())?;
        info!(event = "engine_chosen", run = key.run, entry = &*key.entry, upstream = &*choice.replica.record.id, service = &*wanted.service, prompt = size.prompt, expected = size.expected, produced = wanted.produced, engines, runs = choice.runs, fill:% = format_args!("{:.2}", choice.fill), wait_ms = choice.wait.as_millis() as u64, gap_cost_ms:% = format_args!("{:.0}", choice.gap_cost), cost_ms:% = format_args!("{:.0}", choice.cost); "engine chosen");
        Ok(choice.replica.record.clone())
    }

    /// Whether a generation moves because its engine takes no requests any more. If its copy is late, it
    /// breaks, which is worse than long gaps, so it may go to any engine.
    fn must_leave(&self, wanted: &Wanted) -> bool {
        wanted.from.as_ref().is_some_and(|engine| !self.is_open(engine))
    }

    /// Whether the engine that a generation moves away from may start another copy. Always true for a new
    /// generation, which needs no copy.
    pub fn may_start_copy(&self, wanted: &Wanted) -> bool {
        let copies = wanted.from.as_ref().map_or(0, |engine| self.load.copies_from(engine));
        copies < evacuation::MAX_CONCURRENT_COPIES || !self.shared.settings.policy.copy_turns
    }

    /// Updates the set of nodes that are alive.
    pub fn on_fleet_change(&mut self, nodes: impl Iterator<Item = VmId>) {
        self.cold.get_mut().set_nodes(nodes);
    }

    /// Updates the number of nodes, including this one, and the services that this node leads.
    pub fn on_tick(&mut self, nodes: usize, led_services: Vec<ServiceId>) {
        self.limits.get_mut().set_nodes(nodes, self.shared.now());
        for service in led_services.iter().filter(|service| !self.led_services.contains(service)) {
            self.load.on_lead(service);
        }
        self.led_services = led_services;
    }

    /// Whether a replica can accept another request from this node: always true for replicas that are warm
    /// and announce no limit.
    fn can_accept(&self, replica: &Replica, now: Timestamp) -> bool {
        let placed_by = self.placed_by(&replica.record.service);
        let mut limits = self.limits.borrow_mut();
        limits.allows(&replica.record.id, placed_by, now, &mut rand::rng())
            && self.is_warm_enough(replica, placed_by, now)
            && self.has_brittle_room(replica, placed_by, now)
    }

    /// Whether a replica can take another request without turning one away, if its service is brittle.
    fn has_brittle_room(&self, replica: &Replica, placed_by: PlacedBy, now: Timestamp) -> bool {
        let record = &replica.record;
        if !self.brittle.is_brittle(&record.service, now) {
            return true;
        }
        let room = brittle_replicas::room(record.slots, placed_by, self.shared.nodes());
        self.load.runs_at(&record.id).count() < room
    }

    /// Whether a service has replicas that fall over when they turn many requests away.
    pub fn is_brittle(&self, service: &str) -> bool {
        self.brittle.is_brittle(service, self.shared.now())
    }

    /// A replica said in an answer whether it is brittle.
    pub fn on_brittle_report(&mut self, of: &Incarnation, is_brittle: bool) {
        if let Some(replica) = self.replicas.get(&of.id) {
            self.brittle.on_report(&replica.record, is_brittle);
        }
    }

    /// Another node sent this one a plain call to place, as its service is brittle.
    pub fn on_told_brittle(&mut self, service: &ServiceId) {
        self.brittle.on_told(service, self.shared.now());
    }

    /// The role in which this node places requests on a service's replicas.
    fn placed_by(&self, service: &ServiceId) -> PlacedBy {
        if self.led_services.contains(service) { PlacedBy::Lead } else { PlacedBy::Node }
    }

    fn is_warm_enough(&self, replica: &Replica, placed_by: PlacedBy, now: Timestamp) -> bool {
        let service = &replica.record.service;
        let rate = replica.is_cold(now).then(|| self.shared.table()?.service(service)?.cold_rate).flatten();
        let Some(rate) = rate else {
            return true;
        };
        let shared = self.shared.bounds().cold.shared_rate(rate);
        self.cold.borrow_mut().allows(&replica.record.id, placed_by, shared, now)
    }

    /// Marks the replicas of a reopened hall as cold: they may have turned cold while it was closed, and
    /// their entries report that later.
    pub fn on_hall_opened(&mut self, hall: &str) {
        let now = self.shared.now();
        let Some(table) = self.shared.table() else {
            return;
        };
        let in_hall = self.replicas.iter().filter(|replica| &*replica.record.hall == hall);
        let cold = in_hall.filter_map(|replica| {
            let service = table.service(&replica.record.service)?;
            Some((replica.record.id.clone(), service.cold_for))
        });
        for (id, cold_for) in cold.collect::<Vec<_>>() {
            self.replicas.on_cold(&id, cold_for, now);
            if !cold_for.is_zero() {
                self.begin_ramp(&id, RampCause::Start, now);
            }
        }
    }

    /// Limits the pace of a plain replica from a time on.
    pub fn begin_ramp(&mut self, id: &UpstreamId, cause: RampCause, begins: Timestamp) {
        let now = self.shared.now();
        let Some(replica) = self.replicas.get(id) else {
            return;
        };
        let service = replica.record.service.clone();
        if !self.shared.settings.policy.ramp_up || self.engine_traits(&service).is_some() {
            return;
        }
        if self.ramps.begin(replica, cause, begins, now) {
            let pause_ms = begins.saturating_sub(now).as_millis() as u64;
            info!(event = "ramp_begins", upstream = &**id, service = &*service, cause:% = cause, pause_ms; "the replica gets calls as fast as its answers allow");
        }
        // The pace takes the place of the cost of its errors.
        self.replicas.forget_errors(id);
    }

    /// Records that a request was placed on a replica.
    pub fn add(&mut self, key: RunKey, wanted: &Wanted, id: &str) {
        let now = self.shared.now();
        let placed_by = self.placed_by(&wanted.service);
        if let Some(replica) = self.replicas.get(id) {
            if wanted.size.is_none() && wanted.from.is_none() && key.entry == self.own {
                self.ramps.on_sent(key.clone(), replica, now);
            }
            self.cold.get_mut().on_assigned(id, now);
            self.limits.get_mut().on_assigned(id, placed_by, now, &mut rand::rng());
            self.load.add(key, wanted.at(&replica.record.id), replica, now);
        }
    }

    /// Records that a request has left its replica. The memory that it frees counts in the forecast unless
    /// the replica is leaving or its hall is closed.
    pub fn remove(&mut self, key: &RunKey) -> Option<Run> {
        let now = self.shared.now();
        self.ramps.forget_call(key);
        let run = self.load.remove(key)?;
        let halls = self.shared.closed_halls();
        let replica =
            self.replicas.get(&run.replica).filter(|replica| eligible::takes_requests(replica, &halls));
        if let (Some(size), Some(replica)) = (run.size, replica) {
            let forecast = self.forecasts.entry(replica.record.service.clone()).or_default();
            forecast.on_freed(f64::from(size.prompt + run.produced), now);
        }
        Some(run)
    }

    /// Tokens of memory at a service's engines that the generations of each organisation use.
    pub fn held_by_organisation(&self, service: &ServiceId) -> HashMap<OrganisationId, f64> {
        let mut held = HashMap::new();
        let replicas = self.replicas.of_service(service);
        for (_, run) in replicas.iter().flat_map(|replica| self.load.runs_at(&replica.record.id)) {
            if let (Some(organisation), Some(size)) = (&run.organisation, run.size) {
                let tokens = self.load.memory_of(service, size, run.produced);
                *held.entry(organisation.clone()).or_default() += tokens;
            }
        }
        held
    }

    /// The forecast of when engines of a service will have room.
    pub fn forecast(&self, service: &ServiceId) -> RoomForecast {
        self.forecasts.get(service).copied().unwrap_or_default()
    }

    /// Returns a replica and the path of its health endpoint.
    pub fn health_check_target(&self, id: &str) -> Option<(Arc<ReplicaRecord>, String)> {
        let record = self.replicas.get(id)?.record.clone();
        let path = self.shared.table()?.service(&record.service)?.health_path.clone();
        Some((record, path))
    }

    /// The service of the known replica at an address, if there is one.
    pub fn service_at(&self, address: SocketAddr) -> Option<ServiceId> {
        let replica = self.replicas.at_address(address).min_by_key(|replica| replica.leaving.is_some())?;
        Some(replica.record.service.clone())
    }

    /// Drops the state of replicas that are no longer known.
    pub fn forget_gone(&mut self) {
        let replicas = &self.replicas;
        self.load.retain_replicas(|id| replicas.get(id).is_some());
        let now = self.shared.now();
        self.ramps.retain(|id| replicas.get(id).is_some());
        self.brittle.retain(|id| replicas.get(id).is_some(), now);
        self.cold.get_mut().retain(|id| replicas.get(id).is_some_and(|replica| replica.is_cold(now)));
        self.limits.get_mut().retain(|id| replicas.get(id).is_some(), now);
    }
}
