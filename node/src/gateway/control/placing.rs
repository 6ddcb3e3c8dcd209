//! Finds a replica for each request: for plain calls here, for generations at the service's
//! lead, or here while no lead answers.

mod plain_calls;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use leadstage_lib::gateway::inventory::Inventory;
use leadstage_lib::gateway::lead::Leads;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::run_key::RunId;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::UpstreamId;
use leadstage_lib::ids::VmId;
use leadstage_lib::status::NodeStatus;
use log::info;

use crate::gateway::control::grant_questions::GrantQuestions;
use crate::gateway::control::inventories::Inventories;
use crate::gateway::control::knowledge::Knowledge;
use crate::gateway::control::lead_desk;
use crate::gateway::control::lead_desk::Ask;
use crate::gateway::control::lead_desk::Asker;
use crate::gateway::control::lead_desk::Decision;
use crate::gateway::control::lead_desk::LeadDesk;
use crate::gateway::control::lead_questions::LeadQuestions;
use crate::gateway::control::lead_questions::Question;
use crate::gateway::messages::Order;
use crate::gateway::messages::Outcome;
use crate::gateway::messages::PlaceReply;
use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::Placed;
use crate::gateway::messages::StreamHandle;
use crate::gateway::observability::status;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::outbox::Outbox;
use crate::gateway::peers::outbox::address_of;
use crate::gateway::peers::outbox::node_id;
use crate::gateway::peers::peer_message::MAX_INVENTORY_BYTES;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_message::RemotePlace;
use crate::gateway::shared::Shared;
use crate::shared::unix_millis;

/// Ids of one process: those of its next start are higher.
const RUNS_PER_MILLI: RunId = 1 << 10;

/// Finds replicas.
pub struct Placing {
    shared: Arc<Shared>,
    outbox: Outbox,
    /// The replicas, and the requests at them.
    pub knowledge: Knowledge,
    desk: LeadDesk,
    leads: Leads,
    /// Who grants for replicas that name limits; one that is slow with a grant may still lead.
    granters: Leads,
    questions: LeadQuestions,
    grants: GrantQuestions,
    streams: HashMap<RunId, StreamHandle>,
    inventories: Inventories,
    last_run: RunId,
    own: VmId,
    /// Which nodes the knowledge was told of.
    fleet_version: Option<u64>,
}

impl Placing {
    /// Knows nothing yet.
    pub fn new(shared: Arc<Shared>, outbox: Outbox, own: VmId) -> Self {
        Placing {
            knowledge: Knowledge::new(shared.clone(), own.clone()),
            desk: LeadDesk::new(shared.settings.policy),
            leads: Leads::default(),
            granters: Leads::default(),
            questions: LeadQuestions::new(shared.clone(), outbox.clone()),
            grants: GrantQuestions::new(shared.clone(), outbox.clone()),
            shared,
            outbox,
            streams: HashMap::new(),
            inventories: Inventories::default(),
            last_run: unix_millis() * RUNS_PER_MILLI,
            own,
            fleet_version: None,
        }
    }

    /// Places a request, or asks the lead to.
    pub fn place(&mut self, fleet: &Fleet, request: PlaceRequest, reply: PlaceReply) {
        self.last_run += 1;
        let ask = Ask {
            key: self.own_key(self.last_run),
            wanted: request.wanted,
            priority: request.priority,
            patience: request.patience,
            leaves_after: request.leaves_after,
            asker: Asker::Here { request: request.request, stream: request.stream, reply },
        };
        if self.knowledge.is_kept_from_all(&ask.wanted) {
            let chosen = Err(self.knowledge.no_room(&ask.wanted));
            return self.answer(Decision { ask, chosen });
        }
        match self.lead_for(fleet, &ask) {
            Some((lead, address)) => self.questions.ask(ask, lead, address),
            None if ask.wanted.size.is_none() => self.place_plain(fleet, ask, 0),
            None => self.decide_here(ask),
        }
    }

    /// The other node that places this request, if there is one.
    fn lead_for(&self, fleet: &Fleet, ask: &Ask) -> Option<(VmId, SocketAddr)> {
        ask.wanted.size?;
        self.other_lead(fleet, &ask.wanted.service)
    }

    /// The lead of a service and where it is, unless it is this node.
    fn other_lead(&self, fleet: &Fleet, service: &ServiceId) -> Option<(VmId, SocketAddr)> {
        let lead = self.lead_of(fleet, service);
        let address = address_of(&lead).filter(|_| lead != self.own)?;
        Some((lead, address))
    }

    fn lead_of(&self, fleet: &Fleet, service: &ServiceId) -> VmId {
        self.leads.lead_of(service, &self.own, fleet.alive(), fleet.version(), self.shared.now())
    }

    fn decide_here(&mut self, ask: Ask) {
        self.update_progress();
        match self.desk.ask(&mut self.knowledge, ask, self.shared.now()) {
            lead_desk::Outcome::Decided(decision) => self.answer(*decision),
            lead_desk::Outcome::Waits(key, Some(there)) => {
                self.outbox.send(there, &PeerMessage::Waits(key.run))
            }
            lead_desk::Outcome::Waits(_, None) => {}
        }
    }

    /// Answers a question of this node or of another one.
    fn answer(&mut self, decision: Decision) {
        let Decision { ask, chosen } = decision;
        let run = ask.key.run;
        match ask.asker {
            Asker::There(there) => {
                let placed = chosen.map(|record| (*record).clone());
                self.outbox.send(there, &PeerMessage::Placed(run, placed));
            }
            Asker::Here { request, stream, reply } => {
                match (&chosen, stream) {
                    (Ok(_), Some(stream)) => {
                        self.streams.insert(run, stream);
                    }
                    (Err(no_room), _) => {
                        let replicas = self.knowledge.count_open(&ask.wanted.service);
                        info!(event = "no_room", request = request, run, service = &*ask.wanted.service, replicas, excluded = ask.wanted.exclude.len(), patience_ms = ask.patience.as_millis() as u64, expected_ms = no_room.expected.map_or(0, |expected| expected.as_millis() as u64); "no replica has room");
                    }
                    _ => {}
                }
                let placed = chosen.map(|replica| Placed { run, replica });
                if reply.send(placed).is_err() {
                    self.end(run, Outcome::Withdrawn);
                }
            }
        }
    }

    /// The lead answered.
    pub fn on_placed(&mut self, run: RunId, placed: Result<ReplicaRecord, NoRoom>) {
        let Some(Question { ask, lead, .. }) = self.questions.answered(run) else {
            return;
        };
        self.leads.on_answer(&lead);
        let record = match placed {
            Ok(record) => record,
            Err(no_room) => return self.answer(Decision { ask, chosen: Err(no_room) }),
        };
        let known = self.knowledge.replicas.get(&record.id);
        let is_open = self.shared.closed_halls().is_open(&record.hall);
        if !is_open || known.is_some_and(|replica| replica.leaving.is_some()) {
            return self.decide_here(ask);
        }
        let now = self.shared.now();
        if known.is_none() {
            self.knowledge.replicas.on_entry(record.clone(), now, &mut ListChange::default());
        }
        self.knowledge.add(ask.key.clone(), &ask.wanted, &record.id);
        self.answer(Decision { ask, chosen: Ok(Arc::new(record)) });
    }

    /// The request waits at the lead.
    pub fn on_waits(&mut self, run: RunId) {
        if let Some(lead) = self.questions.on_waits(run) {
            self.leads.on_answer(lead);
        }
    }

    /// The lead did not answer in time: this node chooses by what it knows.
    pub fn on_lead_silent(&mut self, run: RunId) {
        let Some(Question { ask, lead, .. }) = self.questions.overdue(run) else {
            return;
        };
        info!(event = "lead_silent", lead = &*lead, service = &*ask.wanted.service, run; "the lead did not answer: places alone");
        self.shared.metrics.on_lead_timeout();
        self.leads.on_silence(&lead, self.shared.now());
        self.decide_here(ask);
    }

    /// Another node asks this one, as the lead, to place a generation.
    pub fn on_place(&mut self, from: SocketAddr, remote: RemotePlace) {
        self.decide_here(Ask {
            key: RunKey { entry: node_id(from), run: remote.run },
            wanted: remote.wanted,
            priority: remote.priority,
            patience: remote.patience,
            leaves_after: remote.leaves_after,
            asker: Asker::There(from),
        });
    }

    /// Another node tells what it runs.
    pub fn on_inventory(&mut self, from: SocketAddr, inventory: Inventory) {
        let now = self.shared.now();
        self.knowledge.book.on_inventory(&node_id(from), inventory.ids, inventory.runs, now);
    }

    /// Another node is gone.
    pub fn on_node_gone(&mut self, node: &VmId) {
        self.knowledge.book.on_entry_gone(node);
        for Question { ask, lead, .. } in self.questions.of_lost_lead(node) {
            info!(event = "lead_lost", lead = &*lead, run = ask.key.run; "the lead is gone with what waited there: places alone");
            self.decide_here(ask);
        }
    }

    /// The lead wants a generation of this node to move for balance.
    pub fn on_move_away(&self, run: RunId, engine: UpstreamId) {
        if let Some(stream) = self.streams.get(&run) {
            // A stream that has just ended needs no order.
            let _ = stream.orders.send(Order::Relieve(engine));
        }
    }

    /// A copy for a generation of this node is complete, or is not made after all: the lead
    /// lets the next one start.
    pub fn on_own_copied(&mut self, fleet: &Fleet, run: RunId) {
        let key = self.own_key(run);
        let Some(run) = self.knowledge.book.get(&key).filter(|run| run.copied_from.is_some()) else {
            return;
        };
        let replica = run.replica.clone();
        self.knowledge.book.on_copied(&key);
        match self.other_lead_at(fleet, &replica) {
            Some(address) => self.outbox.send(address, &PeerMessage::Copied(key.run)),
            None => self.settle(),
        }
    }

    /// Where the lead of a replica's service is, unless it is this node.
    fn other_lead_at(&self, fleet: &Fleet, replica: &str) -> Option<SocketAddr> {
        let service = &self.knowledge.replicas.get(replica)?.record.service;
        self.other_lead(fleet, service).map(|(_, address)| address)
    }

    /// The first event of a generation of this node came.
    pub fn on_own_first_event(&mut self, fleet: &Fleet, run: RunId) {
        let key = self.own_key(run);
        let Some(replica) = self.knowledge.book.get(&key).map(|run| run.replica.clone()) else {
            return;
        };
        self.note_first_event(&key);
        if let Some(address) = self.other_lead_at(fleet, &replica) {
            self.outbox.send(address, &PeerMessage::FirstEvent(run));
        }
    }

    /// The first event of a generation of another node came.
    pub fn on_first_event(&mut self, from: SocketAddr, run: RunId) {
        self.note_first_event(&RunKey { entry: node_id(from), run });
    }

    /// An engine that begins to answer does not fail, and may be given another prompt to read.
    fn note_first_event(&mut self, key: &RunKey) {
        let now = self.shared.now();
        self.knowledge.book.on_first_event(key, now);
        if let Some(run) = self.knowledge.book.get(key) {
            self.knowledge.replicas.on_answer(&run.replica, false, now);
        }
        self.settle();
    }

    /// A copy for a generation of another node is complete, or is not made after all.
    pub fn on_copied(&mut self, from: SocketAddr, run: RunId) {
        self.knowledge.book.on_copied(&RunKey { entry: node_id(from), run });
        self.settle();
    }

    /// A request is no longer at its replica.
    pub fn on_ended(&mut self, fleet: &Fleet, run: RunId, outcome: Outcome) {
        self.on_own_copied(fleet, run);
        self.tell_end(fleet, run, outcome);
        self.end(run, outcome);
    }

    /// Tells the lead that a generation of this node ended, and whether its engine failed it.
    fn tell_end(&self, fleet: &Fleet, run: RunId, outcome: Outcome) {
        let generation = self.knowledge.book.get(&self.own_key(run)).filter(|run| run.size.is_some());
        let engine = generation.and_then(|run| self.knowledge.replicas.get(&run.replica));
        let Some(engine) = engine.map(|engine| engine.record.incarnation()) else {
            return;
        };
        let Some(lead) = self.other_lead_at(fleet, &engine.id) else {
            return;
        };
        self.outbox.send(lead, &PeerMessage::Ended(run));
        if matches!(outcome, Outcome::Errored | Outcome::Failed) {
            self.outbox.send(lead, &PeerMessage::EngineFailed(engine));
        }
    }

    /// A generation of another node ended: its room may let one that waits go on.
    pub fn on_other_ended(&mut self, from: SocketAddr, run: RunId) {
        self.knowledge.remove(&RunKey { entry: node_id(from), run });
        self.settle();
    }

    /// An engine failed a generation of another node.
    pub fn on_engine_failed(&mut self, engine: &Incarnation) {
        info!(event = "engine_failed", upstream = &*engine.id; "an engine failed another node's generation");
        self.knowledge.replicas.on_incarnation_failure(engine, self.shared.now());
    }

    /// A replica has started again under its id: what ran there is lost.
    pub fn on_restarted(&mut self, id: &UpstreamId) {
        let streams = self.streams_at(id);
        let Some(replica) = self.knowledge.replicas.get(id) else {
            return;
        };
        let of = replica.record.incarnation();
        info!(event = "replica_restarted", upstream = &**id, born = of.born, streams = streams.len(); "a replica has started again under its id");
        self.knowledge.book.on_restarted(id);
        self.knowledge.limits.get_mut().limits.forget(id);
        for stream in streams {
            // A stream that has just ended needs no order.
            let _ = stream.orders.send(Order::Lost(of.clone()));
        }
    }

    fn end(&mut self, run: RunId, outcome: Outcome) {
        self.streams.remove(&run);
        let key = self.own_key(run);
        let Some(run) = self.knowledge.remove(&key) else {
            return;
        };
        let replicas = &mut self.knowledge.replicas;
        match outcome {
            Outcome::Answered => replicas.on_answer(&run.replica, false, self.shared.now()),
            Outcome::Errored => replicas.on_answer(&run.replica, true, self.shared.now()),
            Outcome::Failed => replicas.on_failure(&run.replica, self.shared.now()),
            Outcome::Refused | Outcome::Withdrawn => {}
        }
    }

    /// This node's streams at a replica.
    pub fn streams_at(&self, replica: &str) -> Vec<StreamHandle> {
        let own = self.knowledge.book.runs_at(replica).filter(|(key, _)| key.entry == self.own);
        own.filter_map(|(key, _)| self.streams.get(&key.run).cloned()).collect()
    }

    /// Does a lead's work that is due: answers who waits, and has generations move. The progress of
    /// this node's own streams must be up to date, as after [`Self::tell_leads`].
    pub fn lead(&mut self, fleet: &Fleet) {
        self.settle();
        let led = self.led(fleet);
        if self.fleet_version != Some(fleet.version()) {
            self.fleet_version = Some(fleet.version());
            self.knowledge.on_fleet(fleet.alive().cloned());
        }
        self.knowledge.on_tick(fleet.nodes(), led.clone());
        for service in led {
            self.rebalance(&service);
        }
    }

    /// Answers who waits here and can go on.
    pub fn settle(&mut self) {
        for decision in self.desk.settle(&mut self.knowledge, self.shared.now()) {
            self.answer(decision);
        }
    }

    /// The model services that this node leads.
    fn led(&self, fleet: &Fleet) -> Vec<ServiceId> {
        let Some(table) = self.shared.table() else {
            return Vec::new();
        };
        let models = table.services().filter(|service| service.engine.is_some());
        let names = models.map(|service| service.name.clone());
        names.filter(|service| self.lead_of(fleet, service) == self.own).collect()
    }

    /// Publishes how fast generations make tokens, for the traffic thread.
    pub fn publish_paces(&self) {
        let paces = self.knowledge.book.paces().all();
        self.shared.set_paces(paces.map(|(service, pace)| (service.clone(), pace)).collect());
    }

    /// The node's status as it is now.
    pub fn status(&self, fleet: &Fleet) -> NodeStatus {
        status::status(&self.shared, fleet, &self.knowledge, &self.led(fleet), self.desk.waiting())
    }

    /// Generations that wait here.
    pub fn waiting(&self) -> usize {
        self.desk.waiting()
    }

    /// The engines with generations, of the services that this node leads, and where they
    /// tell their health.
    pub fn engines_in_use(&self, fleet: &Fleet) -> Vec<(Arc<ReplicaRecord>, String)> {
        let mut engines = Vec::new();
        for service in self.led(fleet) {
            let in_use = self.knowledge.book.busy_replicas().filter(|id| {
                let replica = self.knowledge.replicas.get(id);
                replica.is_some_and(|replica| replica.leaving.is_none() && replica.record.service == service)
            });
            engines.extend(in_use.filter_map(|id| self.knowledge.asked_for_health(id)));
        }
        engines
    }

    fn rebalance(&mut self, service: &ServiceId) {
        for relief in self.desk.due_moves(&self.knowledge, service, self.shared.now()) {
            info!(event = "relief", upstream = &*relief.from, entry = &*relief.key.entry, run = relief.key.run; "a generation should move for balance");
            if relief.key.entry == self.own {
                self.on_move_away(relief.key.run, relief.from);
            } else if let Some(address) = address_of(&relief.key.entry) {
                self.outbox.send(address, &PeerMessage::MoveAway(relief.key.run, relief.from));
            }
        }
    }

    /// Tells the leads what this node runs, when it is time.
    pub fn tell_leads(&mut self, fleet: &Fleet) {
        self.update_progress();
        let (now, last) = (self.shared.now(), self.newest_settled());
        let mut inventories = std::mem::take(&mut self.inventories);
        let lead_of = |service: &ServiceId| self.other_lead(fleet, service).map(|(_, address)| address);
        for (lead, runs) in inventories.take(&self.knowledge, &self.own, now, lead_of) {
            for part in Inventory::parts(runs, last, MAX_INVENTORY_BYTES) {
                self.outbox.send(lead, &PeerMessage::Inventory(part));
            }
        }
        self.inventories = inventories;
    }

    /// The newest request of this node before which none waits for a lead.
    fn newest_settled(&self) -> RunId {
        self.questions.oldest().map_or(self.last_run, |run| run - 1)
    }

    fn update_progress(&mut self) {
        let now = self.shared.now();
        for (run, stream) in &self.streams {
            let key = RunKey { entry: self.own.clone(), run: *run };
            self.knowledge.book.on_progress(&key, stream.produced.load(Ordering::Relaxed), now);
        }
    }

    fn own_key(&self, run: RunId) -> RunKey {
        RunKey { entry: self.own.clone(), run }
    }
}
