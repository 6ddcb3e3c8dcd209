//! Finds a replica for each request: plain calls are placed by this node, generations by the lead of the
//! service, or by this node while no lead answers.

mod call_shares;
mod plain_calls;
mod ramps;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use leadstage_lib::gateway::inventory::Inventory;
use leadstage_lib::gateway::lead::Leads;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::plain_shares::PlainShares;
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

use crate::gateway::control::grant_requests::GrantRequests;
use crate::gateway::control::inventories;
use crate::gateway::control::inventories::Inventories;
use crate::gateway::control::lead_requests::LeadRequest;
use crate::gateway::control::lead_requests::LeadRequests;
use crate::gateway::control::lead_scheduler;
use crate::gateway::control::lead_scheduler::Decision;
use crate::gateway::control::lead_scheduler::LeadScheduler;
use crate::gateway::control::lead_scheduler::PendingPlacement;
use crate::gateway::control::lead_scheduler::Requester;
use crate::gateway::control::placement_state::PlacementState;
use crate::gateway::messages::Outcome;
use crate::gateway::messages::PlaceReply;
use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::Placed;
use crate::gateway::messages::StreamCommand;
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

/// Ids per millisecond of the start time. The ids of a process start above those of the previous one.
const RUN_IDS_PER_MS: RunId = 1 << 10;
/// Maximum number of engines in a log line of paces.
const MAX_LOGGED_PACES: usize = 8;

/// Places requests on replicas.
pub struct Placing {
    shared: Arc<Shared>,
    outbox: Outbox,
    /// The replicas and the requests running on them.
    pub state: PlacementState,
    lead_scheduler: LeadScheduler,
    leads: Leads,
    /// Selects the nodes that grant requests to replicas with limits. Separate from `leads`: a node that is
    /// slow to grant may still lead.
    granters: Leads,
    lead_requests: LeadRequests,
    grant_requests: GrantRequests,
    streams: HashMap<RunId, StreamHandle>,
    /// This node's plain calls that a lead placed.
    calls_at_lead: HashSet<RunId>,
    inventories: Inventories,
    plain_shares: PlainShares,
    last_run: RunId,
    own: VmId,
    /// The version of the set of nodes that was last passed to `state`.
    fleet_version: Option<u64>,
}

impl Placing {
    /// Creates a state without replicas and requests.
    pub fn new(shared: Arc<Shared>, outbox: Outbox, own: VmId) -> Self {
        Placing {
            state: PlacementState::new(shared.clone(), own.clone()),
            lead_scheduler: LeadScheduler::new(shared.settings.policy),
            leads: Leads::default(),
            granters: Leads::default(),
            lead_requests: LeadRequests::new(shared.clone(), outbox.clone()),
            grant_requests: GrantRequests::new(shared.clone(), outbox.clone()),
            shared,
            outbox,
            streams: HashMap::new(),
            calls_at_lead: HashSet::new(),
            inventories: Inventories::default(),
            plain_shares: PlainShares::new(own.clone()),
            last_run: unix_millis() * RUN_IDS_PER_MS,
            own,
            fleet_version: None,
        }
    }

    /// Places a request, or sends it to the lead.
    pub fn place(&mut self, fleet: &Fleet, request: PlaceRequest, reply: PlaceReply) {
        self.last_run += 1;
        // A plain call waits only for the lead of a brittle service, which knows when there is room.
        let is_placed_at_once =
            request.wanted.size.is_none() && !self.state.is_brittle(&request.wanted.service);
        let patience = if is_placed_at_once { Duration::ZERO } else { request.patience };
        let pending = PendingPlacement {
            key: self.own_key(self.last_run),
            wanted: request.wanted,
            priority: request.priority,
            patience,
            leaves_after: request.leaves_after,
            requester: Requester::Local { request: request.request, stream: request.stream, reply },
        };
        if pending.wanted.size.is_none() {
            let wanted = &pending.wanted;
            self.state.ramps.on_call(&wanted.service, wanted.is_repeatable, self.shared.now());
        }
        if self.state.is_excluded_from_all(&pending.wanted) {
            let chosen = Err(self.state.no_room(&pending.wanted));
            return self.answer(Decision { pending, chosen });
        }
        if is_placed_at_once {
            if let Err(no_room) = self.admit_plain(&pending) {
                return self.answer(Decision { pending, chosen: Err(no_room) });
            }
            return self.place_plain(fleet, pending, 0);
        }
        match self.other_lead(fleet, &pending.wanted.service) {
            Some((lead, address)) => self.lead_requests.send(pending, lead, address),
            None => self.place_locally(pending),
        }
    }

    /// The lead of a service and its address, unless this node leads it.
    fn other_lead(&self, fleet: &Fleet, service: &ServiceId) -> Option<(VmId, SocketAddr)> {
        let lead = self.lead_of(fleet, service);
        let address = address_of(&lead).filter(|_| lead != self.own)?;
        Some((lead, address))
    }

    fn lead_of(&self, fleet: &Fleet, service: &ServiceId) -> VmId {
        self.leads.lead_of(service, &self.own, fleet.alive(), fleet.version(), self.shared.now())
    }

    fn place_locally(&mut self, pending: PendingPlacement) {
        self.update_progress();
        match self.lead_scheduler.submit(&mut self.state, pending, self.shared.now()) {
            lead_scheduler::Outcome::Decided(decision) => self.answer(*decision),
            lead_scheduler::Outcome::Waits(key, Some(address)) => {
                self.outbox.send(address, &PeerMessage::Waits(key.run))
            }
            lead_scheduler::Outcome::Waits(_, None) => {}
        }
    }

    /// Sends a decision to the local request or to the node that requested it.
    fn answer(&mut self, decision: Decision) {
        let Decision { pending, chosen } = decision;
        let run = pending.key.run;
        self.on_plain_decided(&pending, chosen.is_ok());
        match pending.requester {
            Requester::Remote(address) => {
                let placed = chosen.map(|record| (*record).clone());
                self.outbox.send(address, &PeerMessage::Placed(run, placed));
            }
            Requester::Local { request, stream, reply } => {
                match (&chosen, stream) {
                    (Ok(_), Some(stream)) => {
                        self.streams.insert(run, stream);
                    }
                    (Err(no_room), _) if no_room.over_share => {
                        let organisation = pending.wanted.organisation.as_deref().unwrap_or("");
                        self.shared.metrics.on_over_share();
                        info!(event = "over_share", request = request, run, service = &*pending.wanted.service, organisation, retry_after_ms = no_room.expected.map_or(0, |after| after.as_millis() as u64); "the organisation uses its share of the service");
                    }
                    (Err(no_room), _) => {
                        let replicas = self.state.count_open(&pending.wanted.service);
                        info!(event = "no_room", request = request, run, service = &*pending.wanted.service, replicas, excluded = pending.wanted.exclude.len(), patience_ms = pending.patience.as_millis() as u64, expected_ms = no_room.expected.map_or(0, |expected| expected.as_millis() as u64); "no replica has room");
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

    /// Handles the lead's decision.
    pub fn on_placed(&mut self, run: RunId, placed: Result<ReplicaRecord, NoRoom>) {
        let Some(LeadRequest { pending, lead, .. }) = self.lead_requests.take_answered(run) else {
            return;
        };
        self.leads.on_answer(&lead);
        let record = match placed {
            Ok(record) => record,
            Err(no_room) => return self.answer(Decision { pending, chosen: Err(no_room) }),
        };
        let known = self.state.replicas.get(&record.id);
        let is_open = self.shared.closed_halls().is_open(&record.hall);
        let leaves = known.is_some_and(|replica| replica.leaving.is_some())
            || self.state.replicas.has_left_early(&record.incarnation());
        if !is_open || leaves {
            return self.place_locally(pending);
        }
        let now = self.shared.now();
        if known.is_none() {
            self.state.replicas.on_entry(record.clone(), now, &mut ListChange::default());
        }
        self.state.add(pending.key.clone(), &pending.wanted, &record.id);
        if pending.wanted.size.is_none() {
            self.calls_at_lead.insert(run);
        }
        self.answer(Decision { pending, chosen: Ok(Arc::new(record)) });
    }

    /// Handles the lead's message that the request is queued there.
    pub fn on_waits(&mut self, run: RunId) {
        if let Some(lead) = self.lead_requests.on_waits(run) {
            self.leads.on_answer(lead);
        }
    }

    /// Handles a lead's timeout: this node places the generation with the state that it has.
    pub fn on_lead_silent(&mut self, run: RunId) {
        let Some(LeadRequest { pending, lead, .. }) = self.lead_requests.take_overdue(run) else {
            return;
        };
        info!(event = "lead_silent", lead = &*lead, service = &*pending.wanted.service, run; "the lead did not answer; placing the generation locally");
        self.shared.metrics.on_lead_timeout();
        self.leads.on_silence(&lead, self.shared.now());
        self.place_locally(pending);
    }

    /// Handles another node's request to place a generation, as the lead.
    pub fn on_place(&mut self, from: SocketAddr, remote: RemotePlace) {
        if remote.wanted.size.is_none() {
            self.state.on_told_brittle(&remote.wanted.service);
        }
        self.place_locally(PendingPlacement {
            key: RunKey { entry: node_id(from), run: remote.run },
            wanted: remote.wanted,
            priority: remote.priority,
            patience: remote.patience,
            leaves_after: remote.leaves_after,
            requester: Requester::Remote(from),
        });
    }

    /// Handles another node's report of its requests.
    pub fn on_inventory(&mut self, from: SocketAddr, inventory: Inventory) {
        let now = self.shared.now();
        self.state.load.on_inventory(&node_id(from), inventory.ids, inventory.runs, now);
    }

    /// Handles the loss of another node.
    pub fn on_node_gone(&mut self, node: &VmId) {
        self.state.load.on_entry_gone(node);
        for LeadRequest { pending, lead, .. } in self.lead_requests.take_for_lost_lead(node) {
            info!(event = "lead_lost", lead = &*lead, run = pending.key.run; "the lead with the queued generation is gone; placing it locally");
            self.place_locally(pending);
        }
    }

    /// Handles the lead's request that a generation of this node moves to balance load.
    pub fn on_move_away(&self, run: RunId, engine: UpstreamId) {
        if let Some(stream) = self.streams.get(&run) {
            // The send fails if the stream has just ended.
            let _ = stream.commands.send(StreamCommand::Rebalance(engine));
        }
    }

    /// A copy for a generation of this node is complete or was abandoned. The lead lets the next one start.
    pub fn on_own_copied(&mut self, fleet: &Fleet, run: RunId) {
        let key = self.own_key(run);
        let Some(run) = self.state.load.get(&key).filter(|run| run.copied_from.is_some()) else {
            return;
        };
        let replica = run.replica.clone();
        self.state.load.on_copied(&key);
        match self.other_lead_at(fleet, &replica) {
            Some(address) => self.outbox.send(address, &PeerMessage::Copied(key.run)),
            None => self.settle(),
        }
    }

    /// The address of the lead of a replica's service, unless this node leads it.
    fn other_lead_at(&self, fleet: &Fleet, replica: &str) -> Option<SocketAddr> {
        let service = &self.state.replicas.get(replica)?.record.service;
        self.other_lead(fleet, service).map(|(_, address)| address)
    }

    /// The first event of a generation of this node arrived.
    pub fn on_own_first_event(&mut self, fleet: &Fleet, run: RunId) {
        let key = self.own_key(run);
        let Some(replica) = self.state.load.get(&key).map(|run| run.replica.clone()) else {
            return;
        };
        self.record_first_event(&key);
        if let Some(address) = self.other_lead_at(fleet, &replica) {
            self.outbox.send(address, &PeerMessage::FirstEvent(run));
        }
    }

    /// The first event of a generation of another node arrived.
    pub fn on_first_event(&mut self, from: SocketAddr, run: RunId) {
        self.record_first_event(&RunKey { entry: node_id(from), run });
    }

    /// An engine that begins to answer is not failing, and has prefill capacity for another prompt.
    fn record_first_event(&mut self, key: &RunKey) {
        let now = self.shared.now();
        self.state.load.on_first_event(key, now);
        if let Some(run) = self.state.load.get(key) {
            self.state.replicas.on_answer(&run.replica, false, now);
        }
        self.settle();
    }

    /// A copy for a generation of another node is complete or was abandoned.
    pub fn on_copied(&mut self, from: SocketAddr, run: RunId) {
        self.state.load.on_copied(&RunKey { entry: node_id(from), run });
        self.settle();
    }

    /// A request has left its replica.
    pub fn on_ended(&mut self, fleet: &Fleet, run: RunId, outcome: Outcome) {
        self.on_own_copied(fleet, run);
        self.notify_lead_of_end(fleet, run, outcome);
        self.update_ramp(fleet, &self.own_key(run), outcome);
        self.end(run, outcome);
        // A request that is queued here may get its place.
        self.settle();
    }

    /// Notifies the lead that a request of this node that it knows ended, and whether its replica failed it.
    fn notify_lead_of_end(&mut self, fleet: &Fleet, run: RunId, outcome: Outcome) {
        let run_at_lead = self.state.load.get(&self.own_key(run));
        let is_call_at_lead = self.calls_at_lead.remove(&run);
        let is_known_to_lead =
            |run: &&Run| is_call_at_lead || inventories::placed_by_lead(&self.state, run).is_some();
        let run_at_lead = run_at_lead.filter(is_known_to_lead);
        let engine = run_at_lead.and_then(|run| self.state.replicas.get(&run.replica));
        let Some((engine, service)) =
            engine.map(|engine| (engine.record.incarnation(), engine.record.service.clone()))
        else {
            return;
        };
        let Some(lead) = self.other_lead_at(fleet, &engine.id) else {
            return;
        };
        self.outbox.send(lead, &PeerMessage::Ended(run));
        // While this node may have lost its path, its failures show nothing about the engine.
        let is_path_in_doubt = self.shared.with_paths(&service, |paths| paths.is_in_doubt());
        if matches!(outcome, Outcome::Errored | Outcome::Failed) && !is_path_in_doubt {
            self.outbox.send(lead, &PeerMessage::EngineFailed(engine));
        }
    }

    /// A generation of another node ended: a queued one may get its place.
    pub fn on_remote_ended(&mut self, from: SocketAddr, run: RunId) {
        self.state.remove(&RunKey { entry: node_id(from), run });
        self.settle();
    }

    /// An engine failed a generation of another node.
    pub fn on_engine_failed(&mut self, engine: &Incarnation) {
        info!(event = "engine_failed", upstream = &*engine.id; "an engine failed a generation of another node");
        self.on_incarnation_failure(engine);
    }

    /// A replica has restarted under the same id: the requests that ran there are lost. This node's streams
    /// keep their runs until they have found out whether they began afterwards.
    pub fn on_restarted(&mut self, id: &UpstreamId) {
        let streams = self.streams_at(id);
        let Some(replica) = self.state.replicas.get(id) else {
            return;
        };
        let of = replica.record.incarnation();
        info!(event = "replica_restarted", upstream = &**id, born = of.born, streams = streams.len(); "replica restarted under the same id");
        let kept = self.stream_runs_at(id);
        self.state.load.on_restarted(id);
        for (key, run) in kept {
            self.state.load.add(key, run, replica, self.shared.now());
        }
        self.state.limits.get_mut().limits.forget(id);
        for stream in streams {
            // The send fails if the stream has just ended.
            let _ = stream.commands.send(StreamCommand::Restarted(of.clone()));
        }
    }

    fn end(&mut self, run: RunId, outcome: Outcome) {
        self.streams.remove(&run);
        self.on_plain_ended(run, outcome);
        let key = self.own_key(run);
        let Some(run) = self.state.remove(&key) else {
            return;
        };
        let replicas = &mut self.state.replicas;
        match outcome {
            Outcome::Answered => replicas.on_answer(&run.replica, false, self.shared.now()),
            Outcome::Errored => replicas.on_answer(&run.replica, true, self.shared.now()),
            Outcome::Failed => {
                replicas.on_failure(&run.replica, self.shared.now());
                if run.size.is_none() {
                    self.ramp_after_failure(&run.replica);
                }
            }
            Outcome::Refused | Outcome::Withdrawn => {}
        }
    }

    /// The runs of this node's streams at a replica.
    fn stream_runs_at(&self, replica: &str) -> Vec<(RunKey, Run)> {
        let runs = self.state.load.runs_at(replica);
        let own = runs.filter(|(key, _)| key.entry == self.own && self.streams.contains_key(&key.run));
        own.map(|(key, run)| (key.clone(), run.clone())).collect()
    }

    /// This node's streams at a replica.
    pub fn streams_at(&self, replica: &str) -> Vec<StreamHandle> {
        let own = self.state.load.runs_at(replica).filter(|(key, _)| key.entry == self.own);
        own.filter_map(|(key, _)| self.streams.get(&key.run).cloned()).collect()
    }

    /// Does the lead's periodic work: decides queued requests and rebalances generations. The progress of
    /// this node's own streams must be up to date, as after [`Self::send_inventories`].
    pub fn lead(&mut self, fleet: &Fleet) {
        self.settle();
        let led_services = self.led_services(fleet);
        if self.fleet_version != Some(fleet.version()) {
            self.fleet_version = Some(fleet.version());
            self.state.on_fleet_change(fleet.alive().cloned());
        }
        self.state.on_tick(fleet.nodes(), led_services.clone());
        for service in led_services {
            self.rebalance(&service);
        }
    }

    /// Answers the queued requests that are decided now.
    pub fn settle(&mut self) {
        for decision in self.lead_scheduler.settle(&mut self.state, self.shared.now()) {
            self.answer(decision);
        }
    }

    /// The model services and the brittle ones that this node leads.
    fn led_services(&self, fleet: &Fleet) -> Vec<ServiceId> {
        let Some(table) = self.shared.table() else {
            return Vec::new();
        };
        let models = table
            .services()
            .filter(|service| service.engine.is_some() || self.state.is_brittle(&service.name));
        let names = models.map(|service| service.name.clone());
        names.filter(|service| self.lead_of(fleet, service) == self.own).collect()
    }

    /// Publishes the token rates of generations for the traffic thread.
    pub fn publish_paces(&self) {
        let paces = self.state.load.paces().all();
        self.shared.set_paces(paces.map(|(service, pace)| (service.clone(), pace)).collect());
    }

    /// Logs the paces of the engines of the services that this node leads: the median and the slowest ones.
    pub fn log_engine_paces(&self, fleet: &Fleet) {
        for service in self.led_services(fleet) {
            let engines = self.state.replicas.staying(&service).map(|replica| &replica.record.id);
            let pace = |id: &UpstreamId| Some((self.state.load.engine_paces().ms_per_token(id)?, id.clone()));
            let mut paces: Vec<(f64, UpstreamId)> = engines.filter_map(pace).collect();
            paces.sort_by(|(a, _), (b, _)| b.total_cmp(a));
            let Some((median, _)) = paces.get(paces.len() / 2) else { continue };
            let slowest = paces.iter().take(MAX_LOGGED_PACES).map(|(pace, id)| format!("{id}:{pace:.1}"));
            info!(event = "engine_paces", service = &*service, engines = paces.len(), median_token_ms:% = format_args!("{median:.1}"), slowest_token_ms = slowest.collect::<Vec<_>>().join(" "); "paces of the engines");
        }
    }

    /// The node's current status.
    pub fn status(&self, fleet: &Fleet) -> NodeStatus {
        status::status(
            &self.shared,
            fleet,
            &self.state,
            &self.led_services(fleet),
            self.lead_scheduler.waiting(),
        )
    }

    /// Number of generations that are queued at this node.
    pub fn waiting(&self) -> usize {
        self.lead_scheduler.waiting()
    }

    /// The engines with running generations of the services that this node leads, and the paths of their
    /// health endpoints.
    pub fn engines_in_use(&self, fleet: &Fleet) -> Vec<(Arc<ReplicaRecord>, String)> {
        let mut engines = Vec::new();
        for service in self.led_services(fleet) {
            let in_use = self.state.load.busy_replicas().filter(|id| {
                let replica = self.state.replicas.get(id);
                replica.is_some_and(|replica| replica.leaving.is_none() && replica.record.service == service)
            });
            engines.extend(in_use.filter_map(|id| self.state.health_check_target(id)));
        }
        engines
    }

    fn rebalance(&mut self, service: &ServiceId) {
        for due_move in self.lead_scheduler.due_moves(&self.state, service, self.shared.now()) {
            info!(event = "relief", upstream = &*due_move.from, entry = &*due_move.key.entry, run = due_move.key.run; "moving a generation to balance load");
            if due_move.key.entry == self.own {
                self.on_move_away(due_move.key.run, due_move.from);
            } else if let Some(address) = address_of(&due_move.key.entry) {
                self.outbox.send(address, &PeerMessage::MoveAway(due_move.key.run, due_move.from));
            }
        }
    }

    /// Sends the inventories that are due to the leads.
    pub fn send_inventories(&mut self, fleet: &Fleet) {
        self.update_progress();
        let (now, last) = (self.shared.now(), self.newest_settled());
        let mut inventories = std::mem::take(&mut self.inventories);
        let lead_of = |service: &ServiceId| self.other_lead(fleet, service).map(|(_, address)| address);
        for (lead, runs) in inventories.take_due(&self.state, &self.own, now, lead_of) {
            for part in Inventory::parts(runs, last, MAX_INVENTORY_BYTES) {
                self.outbox.send(lead, &PeerMessage::Inventory(part));
            }
        }
        self.inventories = inventories;
    }

    /// The newest request of this node before which no request is unanswered by a lead.
    fn newest_settled(&self) -> RunId {
        self.lead_requests.oldest().map_or(self.last_run, |run| run - 1)
    }

    fn update_progress(&mut self) {
        let now = self.shared.now();
        for (run, stream) in &self.streams {
            let key = RunKey { entry: self.own.clone(), run: *run };
            let is_copied = self.state.load.get(&key).is_some_and(|run| run.copied_from.is_some());
            // Until its copy is complete, the stream runs under its earlier key.
            if !is_copied {
                self.state.load.on_gaps(&key, stream.gaps.longest(), stream.gaps.take_at_engine());
            }
            self.state.load.on_progress(&key, stream.produced.load(Ordering::Relaxed), now);
        }
    }

    fn own_key(&self, run: RunId) -> RunKey {
        RunKey { entry: self.own.clone(), run }
    }
}
