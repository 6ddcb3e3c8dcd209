//! The control loop of a gateway node: what is believed of the replicas, who gets which
//! request, and which streams must move.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::load::EngineRequest;
use leadstage_lib::gateway::load::LoadBook;
use leadstage_lib::gateway::load::Run;
use leadstage_lib::gateway::load::RunId;
use leadstage_lib::gateway::replicas::LeavingSign;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::Replica;
use leadstage_lib::gateway::replicas::ReplicaRecord;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::routing::RoutingTable;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::store::Change;
use leadstage_platform::store::Changes;
use log::info;
use log::warn;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::gateway::messages::News;
use crate::gateway::messages::Order;
use crate::gateway::messages::Outcome;
use crate::gateway::messages::PlaceRequest;
use crate::gateway::messages::Placed;
use crate::gateway::messages::StreamHandle;
use crate::gateway::messages::ToControl;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// A replica that left is forgotten after this: the longest time that one serves on after
/// its entry is gone is a few seconds.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The state of the control loop.
pub struct Control {
    shared: Arc<Shared>,
    replicas: ReplicaTable,
    replicas_known: bool,
    book: LoadBook,
    streams: HashMap<RunId, StreamHandle>,
    last_run: RunId,
}

impl Control {
    /// A loop that knows nothing yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Control {
            shared,
            replicas: ReplicaTable::default(),
            replicas_known: false,
            book: LoadBook::default(),
            streams: HashMap::new(),
            last_run: 0,
        }
    }

    /// Handles messages until the process ends.
    pub async fn run(mut self, mut rx: UnboundedReceiver<ToControl>) {
        let mut ticks = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, message: ToControl) {
        match message {
            ToControl::Place(request, reply) => {
                let placed = self.place(request);
                let run = placed.as_ref().map(|p| p.run);
                if reply.send(placed).is_err()
                    && let Some(run) = run
                {
                    self.end(run, Outcome::Withdrawn);
                }
            }
            ToControl::Ended(run, outcome) => self.end(run, outcome),
            ToControl::Sign(replica, sign) => self.on_sign(replica, sign),
            ToControl::Replicas(news) => self.on_replicas(news),
            ToControl::Configuration(news) => self.on_configuration(news),
        }
    }

    fn tick(&mut self) {
        let change = self.replicas.tick(self.shared.now(), FORGET_AFTER);
        self.on_list_change(change);
    }

    fn place(&mut self, request: PlaceRequest) -> Option<Placed> {
        let replica = self.choose(&request)?.record.clone();
        self.last_run += 1;
        let run = Run { replica: replica.id.clone(), size: request.size, produced: request.produced };
        self.book.add(self.last_run, run, self.shared.now());
        if let Some(stream) = request.stream {
            self.streams.insert(self.last_run, stream);
        }
        Some(Placed { run: self.last_run, replica })
    }

    fn choose(&mut self, request: &PlaceRequest) -> Option<&Replica> {
        self.update_progress();
        let now = self.shared.now();
        let table = self.shared.table()?;
        let engine = table.service(&request.service).and_then(|s| s.engine.as_ref());
        let allowed = |r: &&Replica| !request.exclude.contains(&r.record.id);
        let usable: Vec<&Replica> =
            self.replicas.of_service(&request.service).filter(|r| r.is_usable(now)).filter(allowed).collect();
        let candidates = usable.into_iter();
        let hall = &self.shared.settings.hall;
        let rng = &mut rand::rng();
        match (engine, request.size) {
            (Some(engine), Some(size)) => {
                let wanted = EngineRequest { size, engine, hall };
                self.book.choose_engine(candidates, &wanted, now, rng)
            }
            _ => self.book.choose_plain(candidates, hall, rng),
        }
    }

    fn update_progress(&mut self) {
        for (run, stream) in &self.streams {
            self.book.on_progress(*run, stream.produced.load(Ordering::Relaxed));
        }
    }

    fn end(&mut self, run: RunId, outcome: Outcome) {
        self.streams.remove(&run);
        let Some(run) = self.book.remove(run) else {
            return;
        };
        match outcome {
            Outcome::Answered => self.replicas.on_success(&run.replica),
            Outcome::Failed => self.replicas.on_failure(&run.replica, self.shared.now()),
            Outcome::Refused | Outcome::Withdrawn => {}
        }
    }

    fn on_sign(&mut self, replica: UpstreamId, sign: LeavingSign) {
        if self.replicas.on_sign(&replica, sign, self.shared.now()) {
            self.evacuate(&replica, sign);
        }
    }

    fn on_replicas(&mut self, news: News<ReplicaRecord>) {
        let now = self.shared.now();
        let change = match news {
            News::Listed { list, after_outage } => {
                self.replicas_known = true;
                self.replicas.on_list(list.items, after_outage, now)
            }
            News::Changed(changes) => self.on_replica_changes(changes),
        };
        self.on_list_change(change);
        self.check_ready();
    }

    fn on_replica_changes(&mut self, changes: Changes<ReplicaRecord>) -> ListChange {
        let now = self.shared.now();
        let mut change = ListChange::default();
        for event in changes.events {
            match event {
                Change::Put(record) => self.replicas.on_entry(record, now, &mut change),
                Change::Gone(id) => self.replicas.on_unlisted(&id, now, &mut change),
            }
        }
        change
    }

    fn on_list_change(&mut self, change: ListChange) {
        for id in &change.added {
            if let Some(replica) = self.replicas.get(id) {
                info!(event = "replica_listed", upstream = &**id, service = &*replica.record.service, hall = &*replica.record.hall, address:% = replica.record.address; "replica is listed");
            }
        }
        for id in &change.leaving {
            if let Some(sign) = self.replicas.get(id).and_then(|r| r.leaving) {
                self.evacuate(id, sign);
            }
        }
    }

    /// A replica leaves: its streams are told to move.
    fn evacuate(&mut self, id: &UpstreamId, sign: LeavingSign) {
        let runs: Vec<RunId> = self.book.at(id).map(|(run, _)| run).collect();
        info!(event = "replica_leaves", upstream = &**id, sign:% = sign, requests = runs.len(); "replica leaves");
        for run in runs {
            if let Some(stream) = self.streams.get(&run) {
                // A stream that has just ended needs no order.
                let _ = stream.orders.send(Order::Evacuate(id.clone()));
            }
        }
    }

    fn on_configuration(&mut self, news: News<Bytes>) {
        let texts: Vec<Bytes> = match news {
            News::Listed { list, .. } => list.items,
            News::Changed(changes) => changes
                .events
                .into_iter()
                .filter_map(|event| match event {
                    Change::Put(text) => Some(text),
                    Change::Gone(_) => None,
                })
                .collect(),
        };
        if let Some(newest) = texts.last() {
            self.take_configuration(newest);
        }
        self.check_ready();
    }

    fn take_configuration(&mut self, text: &Bytes) {
        match leadstage_platform::config::decode(text) {
            Ok(config) => {
                let version = config.version;
                if self.shared.set_table(RoutingTable::new(config)) {
                    info!(event = "config_in_force", version, bytes = text.len(); "configuration in force");
                }
            }
            Err(err) => {
                warn!(event = "config_unreadable", reason:% = err; "the configuration can't be read; the old one stays")
            }
        }
    }

    fn check_ready(&mut self) {
        if self.replicas_known && self.shared.table().is_some() && self.shared.advance(Phase::Serving) {
            info!(event = "serving"; "configuration and replicas are known");
        }
    }
}
