//! The control loop of a gateway node: takes each message and passes it to the part that
//! it concerns.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::replicas::LeavingSign;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaRecord;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_lib::gateway::routing::RoutingTable;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health::Health;
use leadstage_platform::store::Change;
use leadstage_platform::store::Changes;
use log::info;
use log::warn;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::gateway::config_port;
use crate::gateway::fleet::FAN_OUT;
use crate::gateway::fleet::Fleet;
use crate::gateway::lookout::Lookout;
use crate::gateway::messages::News;
use crate::gateway::messages::Order;
use crate::gateway::messages::ToControl;
use crate::gateway::metrics::Levels;
use crate::gateway::outbox::Outbox;
use crate::gateway::peer_message::Datagram;
use crate::gateway::peer_message::PeerMessage;
use crate::gateway::peer_message::ReplicaNews;
use crate::gateway::placing::Placing;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks at status and levels.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);
/// A replica that left is forgotten after this: the longest time that one serves on after
/// its entry is gone is a few seconds.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// A newer configuration that another node has usually comes from the store as well; it is
/// fetched from that node if it has not come within this.
const STORE_FIRST: Duration = Duration::from_millis(120);

/// The state of the control loop.
pub struct Control {
    shared: Arc<Shared>,
    outbox: Outbox,
    fleet: Fleet,
    placing: Placing,
    lookout: Lookout,
    replicas_known: bool,
    /// When the configuration and news of the replicas last came.
    config_at: Timestamp,
    replicas_at: Timestamp,
    last_status: Timestamp,
    /// A configuration is being fetched from another node.
    fetching: bool,
}

impl Control {
    /// A loop that knows nothing yet.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        let settings = &shared.settings;
        let fleet = Fleet::new(settings.peer, &settings.seeds, outbox.clone());
        let placing = Placing::new(shared.clone(), outbox.clone(), fleet.own().clone());
        let lookout = Lookout::new(shared.clone());
        Control {
            shared,
            outbox,
            fleet,
            placing,
            lookout,
            replicas_known: false,
            config_at: Timestamp::ZERO,
            replicas_at: Timestamp::ZERO,
            last_status: Timestamp::ZERO,
            fetching: false,
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
            ToControl::Place(request, reply) => self.placing.place(&self.fleet, request, reply),
            ToControl::LeadSilent(run) => self.placing.on_lead_silent(run),
            ToControl::FirstEvent(run) => self.placing.on_own_first_event(&self.fleet, run),
            ToControl::Copied(run) => self.placing.on_own_copied(&self.fleet, run),
            ToControl::Ended(run, outcome) => self.placing.on_ended(&self.fleet, run, outcome),
            ToControl::Sign(replica, sign) => self.on_sign(&replica, sign),
            ToControl::Health(replica, health) => self.on_health(&replica, health),
            ToControl::Replicas(news) => self.on_replicas(news),
            ToControl::Configuration(news) => self.on_configuration(news),
            ToControl::ConfigurationFrom(from, text) => {
                self.fetching = false;
                info!(event = "config_fetched", from:% = from, bytes = text.len(); "another node handed its configuration over");
                self.take_configuration(&text);
            }
            ToControl::ConfigurationNotFetched => self.fetching = false,
            ToControl::Datagram(datagram) => self.on_datagram(datagram),
            ToControl::Seeds(seeds) => self.fleet.set_seeds(&seeds),
            ToControl::Stopping => self.fleet.leave(),
        }
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        for node in self.fleet.tick(now) {
            self.placing.on_node_gone(&node);
        }
        self.shared.set_nodes(self.fleet.alive().count() + 1);
        let change = self.placing.knowledge.replicas.tick(now, FORGET_AFTER);
        self.on_list_change(&change);
        self.placing.knowledge.forget_gone();
        self.placing.tell_leads(&self.fleet);
        self.placing.lead(&self.fleet);
        let leads = self.placing.leads_any(&self.fleet);
        let engines = if leads { self.placing.engines_in_use(&self.fleet) } else { Vec::new() };
        self.lookout.tick(now, leads, engines);
        self.publish_status(now);
    }

    /// Publishes status and levels, when it is time.
    fn publish_status(&mut self, now: Timestamp) {
        if now < self.last_status + STATUS_INTERVAL {
            return;
        }
        self.last_status = now;
        self.shared.set_status(self.placing.status(&self.fleet));
        self.shared.metrics.on_levels(&Levels {
            waiting: self.placing.waiting(),
            open: self.shared.open_requests(),
            nodes: self.shared.nodes(),
            config_age: now.saturating_sub(self.config_at),
            replicas_age: now.saturating_sub(self.replicas_at),
        });
    }

    fn on_datagram(&mut self, datagram: Datagram) {
        let now = self.shared.now();
        let from = datagram.from;
        let mut gone = self.fleet.heard_from(from, now);
        self.compare_configuration(from, datagram.config);
        if datagram.store_heard {
            self.lookout.on_store_answers_others(now);
        }
        match datagram.message {
            PeerMessage::Probe(id, gossip) => gone.extend(self.fleet.on_probe(from, id, gossip, now)),
            PeerMessage::ProbeAnswer(id, gossip) => gone.extend(self.fleet.on_answer(id, gossip, now)),
            PeerMessage::ProbeFor(id, target) => self.fleet.on_probe_for(from, id, target, now),
            PeerMessage::Place(remote) => self.placing.on_place(from, remote),
            PeerMessage::Placed(run, record) => self.placing.on_placed(run, record),
            PeerMessage::Waits(run) => self.placing.on_waits(run),
            PeerMessage::FirstEvent(run) => self.placing.on_first_event(from, run),
            PeerMessage::Copied(run) => self.placing.on_copied(from, run),
            PeerMessage::MoveAway(run, engine) => self.placing.on_move_away(run, engine),
            PeerMessage::Inventory(inventory) => self.placing.on_inventory(from, inventory),
            PeerMessage::Replicas(news) => self.on_replica_news(news),
            PeerMessage::NewConfig => {}
        }
        for node in gone {
            self.placing.on_node_gone(&node);
        }
    }

    fn version(&self) -> ConfigVersion {
        self.shared.table().map_or(0, |table| table.version)
    }

    /// Fetches a configuration that another node has, unless the store brings it first.
    fn compare_configuration(&mut self, from: std::net::SocketAddr, theirs: ConfigVersion) {
        if self.fetching || theirs <= self.version() {
            return;
        }
        self.fetching = true;
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(STORE_FIRST).await;
            if shared.table().map_or(0, |table| table.version) < theirs {
                config_port::fetch(shared, from).await;
            } else {
                shared.tell(ToControl::ConfigurationNotFetched);
            }
        });
    }

    fn on_sign(&mut self, replica: &UpstreamId, sign: LeavingSign) {
        if self.placing.knowledge.replicas.on_sign(replica, sign, self.shared.now()) {
            self.evacuate(replica, sign);
        }
    }

    fn on_health(&mut self, replica: &UpstreamId, health: Health) {
        self.lookout.on_health(replica);
        let now = self.shared.now();
        let sign = match health {
            Health::Well => return,
            Health::Unwell => LeavingSign::Unwell,
            Health::Other => LeavingSign::Replaced,
            Health::Silent => return self.placing.knowledge.replicas.on_failure(replica, now),
        };
        if self.placing.knowledge.replicas.on_sign(replica, sign, now) {
            let change = ListChange { leaving: vec![replica.clone()], added: Vec::new() };
            self.on_list_change(&change);
            self.tell_replica_news(&change);
        }
    }

    fn on_replicas(&mut self, news: News<ReplicaRecord>) {
        let now = self.shared.now();
        self.replicas_at = now;
        let change = match news {
            News::Listed { list, after_outage } => {
                self.replicas_known = true;
                self.placing.knowledge.replicas.on_list(list.items, after_outage, now)
            }
            News::Changed(changes) => self.on_replica_changes(changes),
        };
        self.on_list_change(&change);
        self.tell_replica_news(&change);
        self.check_ready();
    }

    fn on_replica_changes(&mut self, changes: Changes<ReplicaRecord>) -> ListChange {
        let now = self.shared.now();
        let mut change = ListChange::default();
        for event in changes.events {
            match event {
                Change::Put(record) => self.placing.knowledge.replicas.on_entry(record, now, &mut change),
                Change::Gone(id) => self.placing.knowledge.replicas.on_unlisted(&id, now, &mut change),
            }
        }
        change
    }

    /// Another node learnt of replicas; what is new here is told on.
    fn on_replica_news(&mut self, news: ReplicaNews) {
        let now = self.shared.now();
        let mut change = ListChange::default();
        for record in news.added {
            if self.placing.knowledge.replicas.get(&record.id).is_none() {
                self.placing.knowledge.replicas.on_entry(record, now, &mut change);
            }
        }
        for id in news.leaving {
            if self.placing.knowledge.replicas.on_sign(&id, LeavingSign::Told, now) {
                change.leaving.push(id);
            }
        }
        self.on_list_change(&change);
        self.tell_replica_news(&change);
    }

    fn on_list_change(&mut self, change: &ListChange) {
        for id in &change.added {
            if let Some(replica) = self.placing.knowledge.replicas.get(id) {
                info!(event = "replica_listed", upstream = &**id, service = &*replica.record.service, hall = &*replica.record.hall, address:% = replica.record.address; "replica is listed");
            }
        }
        for id in &change.leaving {
            if let Some(sign) = self.placing.knowledge.replicas.get(id).and_then(|r| r.leaving) {
                self.evacuate(id, sign);
            }
        }
    }

    fn tell_replica_news(&self, change: &ListChange) {
        let records = change.added.iter().filter_map(|id| self.placing.knowledge.replicas.get(id));
        let added: Vec<ReplicaRecord> = records.map(|replica| (*replica.record).clone()).collect();
        if added.is_empty() && change.leaving.is_empty() {
            return;
        }
        for node in self.fleet.some(FAN_OUT) {
            let news = ReplicaNews { added: added.clone(), leaving: change.leaving.clone() };
            self.outbox.send(node, PeerMessage::Replicas(news));
        }
    }

    /// A replica leaves: its streams are told to move.
    fn evacuate(&mut self, id: &UpstreamId, sign: LeavingSign) {
        let streams = self.placing.streams_at(id);
        info!(event = "replica_leaves", upstream = &**id, sign:% = sign, streams = streams.len(); "replica leaves");
        for stream in streams {
            // A stream that has just ended needs no order.
            let _ = stream.orders.send(Order::Evacuate(id.clone()));
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
        // Only the newest of several counts.
        if let Some(newest) = texts.last() {
            self.take_configuration(newest);
        }
    }

    fn take_configuration(&mut self, text: &Bytes) {
        match leadstage_platform::config::decode(text) {
            Ok(config) => {
                let version = config.version;
                if self.shared.set_table(RoutingTable::new(config), text.clone()) {
                    self.config_at = self.shared.now();
                    info!(event = "config_in_force", version, bytes = text.len(); "configuration in force");
                    for node in self.fleet.some(FAN_OUT) {
                        self.outbox.send(node, PeerMessage::NewConfig);
                    }
                }
            }
            Err(err) => {
                warn!(event = "config_unreadable", reason:% = err; "the configuration can't be read; the old one stays")
            }
        }
        self.check_ready();
    }

    fn check_ready(&mut self) {
        if self.replicas_known && self.shared.table().is_some() && self.shared.advance(Phase::Serving) {
            info!(event = "serving"; "configuration and replicas are known");
        }
    }
}
