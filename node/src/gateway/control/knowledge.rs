//! What a node knows of the replicas and of the requests at them.

mod eligible;

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use leadstage_lib::gateway::choice::EngineRequest;
use leadstage_lib::gateway::cold_start::ColdStartLimiter;
use leadstage_lib::gateway::cold_start::PlacedBy;
use leadstage_lib::gateway::evacuation;
use leadstage_lib::gateway::load::GenerationSize;
use leadstage_lib::gateway::load::LoadTracker;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replica_rate_limiter::ReplicaRateLimiter;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::room_forecast::RoomForecast;
use leadstage_lib::gateway::routing::EngineTraits;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::shortage::Shortage;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::VmId;
use log::info;

use crate::gateway::control::canary_cache::CanaryCache;
use crate::gateway::control::judged_services::JudgedServices;
use crate::gateway::peers::peer_message::Wanted;
use crate::gateway::shared::Shared;

/// The replicas, and the requests at them.
pub struct Knowledge {
    shared: Arc<Shared>,
    /// The replicas.
    pub replicas: ReplicaTable,
    /// The requests; those of other nodes as far as this node leads.
    pub book: LoadTracker,
    forecasts: HashMap<ServiceId, RoomForecast>,
    cold: RefCell<ColdStartLimiter>,
    /// The limits that replicas name.
    pub limits: RefCell<ReplicaRateLimiter>,
    /// The model services that this node leads.
    led: Vec<ServiceId>,
    tried: CanaryCache,
    /// Services whose upgrades are judged by what this node sees.
    pub judged: JudgedServices,
}

impl Knowledge {
    /// Knows nothing yet.
    pub fn new(shared: Arc<Shared>, own: VmId) -> Self {
        let policy = shared.settings.policy;
        Knowledge {
            shared,
            replicas: ReplicaTable::new(policy),
            book: LoadTracker::new(policy),
            forecasts: HashMap::new(),
            cold: RefCell::new(ColdStartLimiter::new(own)),
            limits: RefCell::default(),
            led: Vec::new(),
            tried: CanaryCache::default(),
            judged: JudgedServices::default(),
        }
    }

    /// What the engines of a service are; `None` for plain services.
    pub fn engine_traits(&self, service: &ServiceId) -> Option<EngineTraits> {
        self.shared.table()?.service(service)?.engine.clone()
    }

    /// The best replica for a request, if one has room; for a generation that `may_wait`, if one reads
    /// it soon.
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
                let candidates = self.candidates(key, wanted, |_| true).into_iter();
                let now = self.shared.now();
                let chosen = self.book.choose_plain(candidates, &wanted.hall, now, &mut rand::rng());
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
        };
        // Engines that read later are only asked whether they would have had memory.
        let mut later = Vec::new();
        let soon = self.candidates(key, wanted, |replica| {
            let is_soon = !may_wait || self.book.has_prefill_capacity(&replica.record.id, now);
            if !is_soon && later.len() < eligible::MOST_CONSIDERED {
                later.push(replica);
            }
            is_soon
        });
        let engines = soon.len() + later.len();
        let choice = self.book.choose_engine_or_shortage(soon, later, &request, now, &mut rand::rng())?;
        info!(event = "engine_chosen", run = key.run, entry = &*key.entry, upstream = &*choice.replica.record.id, service = &*wanted.service, prompt = size.prompt, expected = size.expected, produced = wanted.produced, engines, runs = choice.runs, fill:% = format_args!("{:.2}", choice.fill), wait_ms = choice.wait.as_millis() as u64, cost_ms:% = format_args!("{:.0}", choice.cost); "engine chosen");
        Ok(choice.replica.record.clone())
    }

    /// Whether the engine that a generation moves away from can start another copy; a new
    /// generation needs none.
    pub fn copy_may_start(&self, wanted: &Wanted) -> bool {
        let copies = wanted.from.as_ref().map_or(0, |engine| self.book.copies_from(engine));
        copies < evacuation::MAX_CONCURRENT_COPIES || !self.shared.settings.policy.copy_turns
    }

    /// Other nodes are alive than before.
    pub fn on_fleet(&mut self, nodes: impl Iterator<Item = VmId>) {
        self.cold.get_mut().set_nodes(nodes);
    }

    /// How many nodes there are, this one included, and the services that it leads.
    pub fn on_tick(&mut self, nodes: usize, led: Vec<ServiceId>) {
        self.limits.get_mut().set_nodes(nodes, self.shared.now());
        self.led = led;
    }

    /// Whether a replica bears another request of this node: all do that are warm and name no limit.
    fn bears_more(&self, replica: &Replica, now: Timestamp) -> bool {
        let giver = self.giver(&replica.record.service);
        let mut limits = self.limits.borrow_mut();
        limits.allows(&replica.record.id, giver, now, &mut rand::rng())
            && self.is_warm_enough(replica, giver, now)
    }

    /// Who this node is for a service's replicas.
    fn giver(&self, service: &ServiceId) -> PlacedBy {
        if self.led.contains(service) { PlacedBy::Lead } else { PlacedBy::Node }
    }

    fn is_warm_enough(&self, replica: &Replica, giver: PlacedBy, now: Timestamp) -> bool {
        let service = &replica.record.service;
        let rate = replica.is_cold(now).then(|| self.shared.table()?.service(service)?.cold_rate).flatten();
        let Some(rate) = rate else {
            return true;
        };
        let shared = self.shared.bounds().cold.shared_rate(rate);
        self.cold.borrow_mut().allows(&replica.record.id, giver, shared, now)
    }

    /// A hall was opened: its replicas may have turned cold meanwhile, and their entries tell that later.
    pub fn on_hall_opened(&mut self, hall: &str) {
        let now = self.shared.now();
        let Some(table) = self.shared.table() else {
            return;
        };
        let there = self.replicas.iter().filter(|replica| &*replica.record.hall == hall);
        let cold = there.filter_map(|replica| {
            let service = table.service(&replica.record.service)?;
            Some((replica.record.id.clone(), service.cold_for))
        });
        for (id, cold_for) in cold.collect::<Vec<_>>() {
            self.replicas.on_cold(&id, cold_for, now);
        }
    }

    /// A request is at a replica from now on.
    pub fn add(&mut self, key: RunKey, wanted: &Wanted, id: &str) {
        let now = self.shared.now();
        let giver = self.giver(&wanted.service);
        if let Some(replica) = self.replicas.get(id) {
            self.cold.get_mut().on_assigned(id, now);
            self.limits.get_mut().on_assigned(id, giver, now, &mut rand::rng());
            self.book.add(key, wanted.at(&replica.record.id), replica, now);
        }
    }

    /// A request is no longer at its replica. What it held there may be used by others, if the
    /// replica stays.
    pub fn remove(&mut self, key: &RunKey) -> Option<Run> {
        let now = self.shared.now();
        let run = self.book.remove(key)?;
        let halls = self.shared.closed_halls();
        let replica =
            self.replicas.get(&run.replica).filter(|replica| eligible::takes_requests(replica, &halls));
        if let (Some(size), Some(replica)) = (run.size, replica) {
            let forecast = self.forecasts.entry(replica.record.service.clone()).or_default();
            forecast.on_freed(f64::from(size.prompt + run.produced), now);
        }
        Some(run)
    }

    /// When the engines of a service are expected to have room.
    pub fn forecast(&self, service: &ServiceId) -> RoomForecast {
        self.forecasts.get(service).copied().unwrap_or_default()
    }

    /// A replica, and the path where it tells its health.
    pub fn asked_for_health(&self, id: &str) -> Option<(Arc<ReplicaRecord>, String)> {
        let record = self.replicas.get(id)?.record.clone();
        let path = self.shared.table()?.service(&record.service)?.health_path.clone();
        Some((record, path))
    }

    /// Forgets what was learnt of replicas that are no longer known.
    pub fn forget_gone(&mut self) {
        let replicas = &self.replicas;
        self.book.retain_replicas(|id| replicas.get(id).is_some());
        let now = self.shared.now();
        self.cold.get_mut().retain(|id| replicas.get(id).is_some_and(|replica| replica.is_cold(now)));
        self.limits.get_mut().retain(|id| replicas.get(id).is_some(), now);
    }
}
