//! Chooses a replica for each request: plain calls here, generations at the service's
//! lead, or here while no lead answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use leadstage_lib::gateway::lead::Leads;
use leadstage_lib::gateway::load::EngineRequest;
use leadstage_lib::gateway::load::LoadBook;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::load::RunId;
use leadstage_lib::gateway::load::RunKey;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::Replica;
use leadstage_lib::gateway::replicas::ReplicaRecord;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::ids::VmId;
use log::info;
use tokio::sync::oneshot;

use crate::gateway::fleet::Fleet;
use crate::gateway::messages::Outcome;
use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::Placed;
use crate::gateway::messages::StreamHandle;
use crate::gateway::messages::ToControl;
use crate::gateway::outbox::Outbox;
use crate::gateway::outbox::address_of;
use crate::gateway::outbox::node_id;
use crate::gateway::peer_message::Inventory;
use crate::gateway::peer_message::PeerMessage;
use crate::gateway::peer_message::RemotePlace;
use crate::gateway::shared::Shared;
use crate::shared::unix_millis;

/// A lead that does not answer within this is passed over: ten times the round trip between
/// halls with a turn of a busy node in it, and little against the objectives.
const LEAD_LIMIT: Duration = Duration::from_millis(40);
/// Time between two inventories for a lead.
const INVENTORY_INTERVAL: Duration = Duration::from_millis(300);
/// Ids of one process: those of its next start are higher.
const RUNS_PER_MILLI: RunId = 1 << 10;

/// A request that waits for a lead's answer.
struct Pending {
    request: PlaceRequest,
    lead: VmId,
    reply: oneshot::Sender<Option<Placed>>,
}

/// What is known of replicas and of the requests at them.
pub struct Placing {
    shared: Arc<Shared>,
    outbox: Outbox,
    /// The replicas.
    pub replicas: ReplicaTable,
    book: LoadBook,
    leads: Leads,
    pending: HashMap<RunId, Pending>,
    streams: HashMap<RunId, StreamHandle>,
    /// Services whose lead got an inventory of this node that was not empty.
    told: HashMap<ServiceId, VmId>,
    last_inventory: Duration,
    last_run: RunId,
    own: VmId,
}

impl Placing {
    /// Knows nothing yet.
    pub fn new(shared: Arc<Shared>, outbox: Outbox, own: VmId) -> Self {
        Placing {
            shared,
            outbox,
            replicas: ReplicaTable::default(),
            book: LoadBook::default(),
            leads: Leads::default(),
            pending: HashMap::new(),
            streams: HashMap::new(),
            told: HashMap::new(),
            last_inventory: Duration::ZERO,
            last_run: unix_millis() * RUNS_PER_MILLI,
            own,
        }
    }

    /// Places a request, or asks the lead to.
    pub fn place(&mut self, fleet: &Fleet, request: PlaceRequest, reply: oneshot::Sender<Option<Placed>>) {
        self.last_run += 1;
        let run = self.last_run;
        match self.lead_for(fleet, &request) {
            Some(lead) => self.ask(run, lead, request, reply),
            None => self.place_here(run, request, reply),
        }
    }

    /// The other node that places this request, if there is one.
    fn lead_for(&self, fleet: &Fleet, request: &PlaceRequest) -> Option<VmId> {
        request.size?;
        let lead = self.lead_of(fleet, &request.service);
        (lead != self.own).then_some(lead)
    }

    fn lead_of(&self, fleet: &Fleet, service: &ServiceId) -> VmId {
        self.leads.lead_of(service, &self.own, fleet.alive(), self.shared.now()).clone()
    }

    fn ask(&mut self, run: RunId, lead: VmId, request: PlaceRequest, reply: oneshot::Sender<Option<Placed>>) {
        let (Some(address), Some(size)) = (address_of(&lead), request.size) else {
            return self.place_here(run, request, reply);
        };
        let remote = RemotePlace {
            run,
            service: request.service.clone(),
            size,
            produced: request.produced,
            hall: request.hall.clone(),
            exclude: request.exclude.clone(),
        };
        self.outbox.send(address, PeerMessage::Place(remote));
        self.pending.insert(run, Pending { request, lead, reply });
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(LEAD_LIMIT).await;
            shared.tell(ToControl::LeadSilent(run));
        });
    }

    fn place_here(&mut self, run: RunId, request: PlaceRequest, reply: oneshot::Sender<Option<Placed>>) {
        let chosen = self.choose(&request.service, &wanted(&request));
        self.settle(run, request, chosen, reply);
    }

    /// Takes a choice into the books and answers the request.
    fn settle(
        &mut self,
        run: RunId,
        request: PlaceRequest,
        chosen: Option<Arc<ReplicaRecord>>,
        reply: oneshot::Sender<Option<Placed>>,
    ) {
        let Some(replica) = chosen else {
            // The request may have been given up meanwhile.
            let _ = reply.send(None);
            return;
        };
        let key = self.own_key(run);
        self.book.add(key, run_of(&wanted(&request), &replica.id), self.shared.now());
        if let Some(stream) = request.stream {
            self.streams.insert(run, stream);
        }
        if reply.send(Some(Placed { run, replica })).is_err() {
            self.end(run, Outcome::Withdrawn);
        }
    }

    /// The lead answered.
    pub fn on_placed(&mut self, run: RunId, record: Option<ReplicaRecord>) {
        let Some(Pending { request, lead, reply }) = self.pending.remove(&run) else {
            return;
        };
        self.leads.on_answer(&lead);
        let Some(record) = record else {
            return self.settle(run, request, None, reply);
        };
        let known = self.replicas.get(&record.id);
        if known.is_some_and(|replica| replica.leaving.is_some()) {
            return self.place_here(run, request, reply);
        }
        if known.is_none() {
            self.replicas.on_entry(record.clone(), self.shared.now(), &mut ListChange::default());
        }
        self.settle(run, request, Some(Arc::new(record)), reply);
    }

    /// The lead did not answer in time: this node chooses by what it knows.
    pub fn on_lead_silent(&mut self, run: RunId) {
        let Some(Pending { request, lead, reply }) = self.pending.remove(&run) else {
            return;
        };
        info!(event = "lead_silent", lead = &*lead, service = &*request.service, run; "the lead did not answer: places alone");
        self.leads.on_silence(&lead, self.shared.now());
        self.place_here(run, request, reply);
    }

    /// Another node asks this one, as the lead, to place a generation.
    pub fn on_place(&mut self, from: std::net::SocketAddr, remote: RemotePlace) {
        let wanted = Wanted {
            size: Some(remote.size),
            produced: remote.produced,
            hall: &remote.hall,
            exclude: &remote.exclude,
        };
        let chosen = self.choose(&remote.service, &wanted);
        if let Some(replica) = &chosen {
            let key = RunKey { entry: node_id(from), run: remote.run };
            self.book.add(key, run_of(&wanted, &replica.id), self.shared.now());
        }
        let record = chosen.map(|record| (*record).clone());
        self.outbox.send(from, PeerMessage::Placed(remote.run, record));
    }

    /// Another node tells what it runs.
    pub fn on_inventory(&mut self, from: std::net::SocketAddr, inventory: Inventory) {
        self.book.on_inventory(&node_id(from), inventory.runs, inventory.last);
    }

    /// Another node is gone.
    pub fn on_node_gone(&mut self, node: &VmId) {
        self.book.on_entry_gone(node);
    }

    /// A generation that was copied runs at its new engine now.
    pub fn on_arrived(&mut self, run: RunId) {
        let key = self.own_key(run);
        self.book.on_arrived(&key);
    }

    /// A request is no longer at its replica.
    pub fn end(&mut self, run: RunId, outcome: Outcome) {
        self.streams.remove(&run);
        let key = self.own_key(run);
        let Some(run) = self.book.remove(&key) else {
            return;
        };
        match outcome {
            Outcome::Answered => self.replicas.on_success(&run.replica),
            Outcome::Failed => self.replicas.on_failure(&run.replica, self.shared.now()),
            Outcome::Refused | Outcome::Withdrawn => {}
        }
    }

    /// This node's streams at a replica.
    pub fn streams_at(&self, replica: &str) -> Vec<StreamHandle> {
        let own = self.book.at(replica).filter(|(key, _)| key.entry == self.own);
        own.filter_map(|(key, _)| self.streams.get(&key.run).cloned()).collect()
    }

    /// Tells the leads what this node runs, when it is time.
    pub fn tell_leads(&mut self, fleet: &Fleet) {
        let now = self.shared.now();
        if now < self.last_inventory + INVENTORY_INTERVAL {
            return;
        }
        self.last_inventory = now;
        self.update_progress();
        let mut by_service: HashMap<ServiceId, Vec<(RunId, Run)>> = HashMap::new();
        for (key, run) in self.book.iter().filter(|(key, run)| key.entry == self.own && run.size.is_some()) {
            if let Some(replica) = self.replicas.get(&run.replica) {
                let service = replica.record.service.clone();
                by_service.entry(service).or_default().push((key.run, run.clone()));
            }
        }
        // A lead that was told of generations is told when there are none any more.
        for service in self.told.keys() {
            by_service.entry(service.clone()).or_default();
        }
        for (service, runs) in by_service {
            self.tell_lead(fleet, service, runs);
        }
    }

    fn tell_lead(&mut self, fleet: &Fleet, service: ServiceId, runs: Vec<(RunId, Run)>) {
        let lead = self.lead_of(fleet, &service);
        if runs.is_empty() {
            self.told.remove(&service);
        } else {
            self.told.insert(service, lead.clone());
        }
        if lead == self.own {
            return;
        }
        if let Some(address) = address_of(&lead) {
            let inventory = Inventory { runs, last: self.last_run };
            self.outbox.send(address, PeerMessage::Inventory(inventory));
        }
    }

    fn update_progress(&mut self) {
        for (run, stream) in &self.streams {
            let key = RunKey { entry: self.own.clone(), run: *run };
            self.book.on_progress(&key, stream.produced.load(Ordering::Relaxed));
        }
    }

    fn choose(&mut self, service: &ServiceId, wanted: &Wanted<'_>) -> Option<Arc<ReplicaRecord>> {
        self.update_progress();
        let now = self.shared.now();
        let table = self.shared.table()?;
        let engine = table.service(service).and_then(|s| s.engine.as_ref());
        let candidates = self.candidates(service, wanted.exclude);
        let rng = &mut rand::rng();
        let chosen = match (engine, wanted.size) {
            (Some(engine), Some(size)) => {
                let request = EngineRequest { size, engine, hall: wanted.hall, produced: wanted.produced };
                let engines = candidates.len();
                let choice = self.book.choose_engine(candidates.into_iter(), &request, now, rng);
                if let Some(choice) = &choice {
                    info!(event = "engine_chosen", upstream = &*choice.replica.record.id, service = &**service, prompt = size.prompt, expected = size.expected, produced = wanted.produced, engines, runs = choice.runs, fill:% = format_args!("{:.2}", choice.fill), wait_ms = choice.wait.as_millis() as u64, cost_ms:% = format_args!("{:.0}", choice.cost); "engine chosen");
                }
                choice.map(|choice| choice.replica)
            }
            _ => self.book.choose_plain(candidates.into_iter(), wanted.hall, rng),
        };
        chosen.map(|replica| replica.record.clone())
    }

    /// Replicas that may get a request; those that rest after failures only when there are
    /// no others.
    fn candidates(&self, service: &ServiceId, exclude: &[UpstreamId]) -> Vec<&Replica> {
        let now = self.shared.now();
        let staying: Vec<&Replica> = self
            .replicas
            .of_service(service)
            .filter(|r| r.leaving.is_none() && !exclude.contains(&r.record.id))
            .collect();
        let usable: Vec<&Replica> = staying.iter().filter(|r| r.is_usable(now)).copied().collect();
        if usable.is_empty() { staying } else { usable }
    }

    fn own_key(&self, run: RunId) -> RunKey {
        RunKey { entry: self.own.clone(), run }
    }
}

/// What is wanted of a replica.
struct Wanted<'a> {
    size: Option<leadstage_lib::gateway::load::GenerationSize>,
    produced: u32,
    hall: &'a leadstage_lib::ids::HallId,
    exclude: &'a [UpstreamId],
}

fn wanted(request: &PlaceRequest) -> Wanted<'_> {
    Wanted { size: request.size, produced: request.produced, hall: &request.hall, exclude: &request.exclude }
}

fn run_of(wanted: &Wanted<'_>, replica: &UpstreamId) -> Run {
    Run {
        replica: replica.clone(),
        size: wanted.size,
        produced: wanted.produced,
        arriving: wanted.produced > 0,
    }
}
