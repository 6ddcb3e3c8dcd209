//! The control loop of a gateway node: takes each message and passes it to the part that
//! it concerns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::replica_list::ReplicaList;
use leadstage_lib::gateway::replica_news::NewsGathering;
use leadstage_lib::gateway::replica_news::ReplicaNews;
use leadstage_lib::gateway::replicas::LAPSED_GRACE;
use leadstage_lib::gateway::replicas::LeavingSign;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::ReplicaRecord;
use leadstage_lib::gateway::routing::ConfigVersion;
use leadstage_lib::gateway::routing::RoutingTable;
use leadstage_lib::gateway::watchers::PulseNumber;
use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::gateway::watchers::Watchers;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health::Health;
use leadstage_platform::store::Age;
use leadstage_platform::store::Change;
use leadstage_platform::store::Changes;
use leadstage_platform::store::Configuration;
use leadstage_platform::store::Revision;
use log::info;
use log::warn;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::gateway::control::follow;
use crate::gateway::control::lookout::Lookout;
use crate::gateway::control::placing::Placing;
use crate::gateway::control::watching::Watching;
use crate::gateway::messages::Fetched;
use crate::gateway::messages::News;
use crate::gateway::messages::Order;
use crate::gateway::messages::ToControl;
use crate::gateway::observability::metrics::Levels;
use crate::gateway::peers::fleet::FAN_OUT;
use crate::gateway::peers::fleet::FIRST_FAN_OUT;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::outbox::Outbox;
use crate::gateway::peers::outbox::node_id;
use crate::gateway::peers::peer_message::Datagram;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_message::Pulse;
use crate::gateway::peers::peer_port;
use crate::gateway::shared::Phase;
use crate::gateway::shared::Shared;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks at status and levels.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);
/// With many replicas news come together and take longer: with 3,000 another tenth of a second.
const NEWS_FIRST_PER_REPLICA: Duration = Duration::from_micros(30);
/// A store that is back tells of entries that lapsed meanwhile within this.
const LAPSES_TOLD_WITHIN: Duration = Duration::from_secs(1);
/// A replica that left is forgotten after this: the longest time that one serves on after
/// its entry is gone is a few seconds.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// What another node knows already usually comes by itself; it is fetched from that node if
/// it has not come within this.
const NEWS_FIRST: Duration = Duration::from_millis(120);

/// The state of the control loop.
pub struct Control {
    shared: Arc<Shared>,
    outbox: Outbox,
    fleet: Fleet,
    placing: Placing,
    lookout: Lookout,
    gathering: NewsGathering,
    replicas_known: bool,
    /// Until then, entries may have gone because the store was away.
    lapses_until: Timestamp,
    watchers: Watchers,
    watching: Watching,
    /// The store's revision up to which the replicas are known.
    replicas_at: Revision,
    /// The list for other nodes lacks changes.
    list_is_old: bool,
    /// When the configuration and news of the replicas last came.
    config_heard: Timestamp,
    replicas_heard: Timestamp,
    last_status: Timestamp,
    /// The configuration that another node was last asked for.
    config_wanted: ConfigVersion,
    /// Something is being fetched from another node.
    fetches_configuration: bool,
    fetches_replicas: bool,
}

impl Control {
    /// A loop that knows nothing yet.
    pub fn new(shared: Arc<Shared>, outbox: Outbox) -> Self {
        let settings = &shared.settings;
        let fleet = Fleet::new(settings.peer, &settings.seeds, outbox.clone());
        let placing = Placing::new(shared.clone(), outbox.clone(), fleet.own().clone());
        let lookout = Lookout::new(shared.clone());
        let watchers = Watchers::new(fleet.own().clone());
        let watching = Watching::new(shared.clone());
        Control {
            shared,
            outbox,
            fleet,
            placing,
            lookout,
            gathering: NewsGathering::default(),
            replicas_known: false,
            lapses_until: Timestamp::ZERO,
            watchers,
            watching,
            replicas_at: 0,
            list_is_old: false,
            config_heard: Timestamp::ZERO,
            replicas_heard: Timestamp::ZERO,
            last_status: Timestamp::ZERO,
            config_wanted: 0,
            fetches_configuration: false,
            fetches_replicas: false,
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
            ToControl::TellReplicas => self.tell_gathered(),
            ToControl::Replicas(news) => self.on_replicas(news),
            ToControl::Configuration(news) => self.on_configuration(news),
            ToControl::Fetched(from, Fetched::Configuration(text)) => {
                self.on_fetched_configuration(from, text)
            }
            ToControl::Fetched(from, Fetched::Replicas(list)) => self.on_fetched_replicas(from, list),
            ToControl::OwnPulse(number, store) => self.on_own_pulse(number, store),
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
        if !change.leaving.is_empty() {
            self.on_list_change(&change);
        }
        self.placing.tell_leads(&self.fleet);
        self.placing.lead(&self.fleet);
        self.watching.set(self.watchers.role(self.fleet.alive(), now));
        if !self.watchers.store_answers(now) {
            self.lapses_until = now + LAPSED_GRACE + LAPSES_TOLD_WITHIN;
        }
        self.look_out(now);
        self.publish_list();
        self.publish_status(now);
    }

    /// Asks the engines that this node leads whether they leave, while the store may not tell.
    fn look_out(&mut self, now: Timestamp) {
        if self.watchers.doubts_store(now) || !self.watchers.store_answers(now) {
            self.lookout.ask_all(now, self.placing.engines_in_use(&self.fleet));
        }
    }

    /// Publishes status and levels, when it is time.
    fn publish_status(&mut self, now: Timestamp) {
        if now < self.last_status + STATUS_INTERVAL {
            return;
        }
        self.last_status = now;
        self.placing.knowledge.forget_gone();
        self.shared.set_status(self.placing.status(&self.fleet));
        self.shared.metrics.on_levels(&Levels {
            waiting: self.placing.waiting(),
            open: self.shared.open_requests(),
            nodes: self.shared.nodes(),
            config_age: now.saturating_sub(self.config_heard),
            replicas_age: now.saturating_sub(self.replicas_heard),
        });
    }

    /// Publishes the list for other nodes, if it changed: once for many changes.
    fn publish_list(&mut self) {
        if !std::mem::take(&mut self.list_is_old) {
            return;
        }
        self.shared.set_replica_list(self.placing.knowledge.replicas.list(self.replicas_at));
    }

    fn on_datagram(&mut self, datagram: Datagram) {
        let now = self.shared.now();
        let from = datagram.from;
        let mut gone = self.fleet.heard_from(from, now);
        self.compare_configuration(from, datagram.config);
        self.compare_replicas(from, datagram.replicas_at);
        match datagram.message {
            PeerMessage::Probe(id, gossip) => gone.extend(self.fleet.on_probe(from, id, gossip, now)),
            PeerMessage::ProbeAnswer(id, gossip) => gone.extend(self.fleet.on_answer(id, gossip, now)),
            PeerMessage::ProbeFor(id, target) => self.fleet.on_probe_for(from, id, target, now),
            PeerMessage::Place(remote) => self.placing.on_place(from, remote),
            PeerMessage::Placed(run, record) => self.placing.on_placed(run, record),
            PeerMessage::Waits(run) => self.placing.on_waits(run),
            PeerMessage::FirstEvent(run) => self.placing.on_first_event(from, run),
            PeerMessage::EngineFailed(engine) => self.placing.on_engine_failed(&engine),
            PeerMessage::Copied(run) => self.placing.on_copied(from, run),
            PeerMessage::MoveAway(run, engine) => self.placing.on_move_away(run, engine),
            PeerMessage::Inventory(inventory) => self.placing.on_inventory(from, inventory),
            PeerMessage::Replicas(news) => self.on_replica_news(from, news),
            PeerMessage::Pulse(pulse) => self.on_pulse(pulse),
            PeerMessage::NewConfig => {}
        }
        for node in gone {
            self.placing.on_node_gone(&node);
        }
    }

    /// Fetches a configuration that another node has, unless it comes by itself.
    fn compare_configuration(&mut self, from: SocketAddr, theirs: ConfigVersion) {
        if self.fetches_configuration || theirs <= self.shared.config_version() {
            return;
        }
        self.fetches_configuration = true;
        self.config_wanted = theirs;
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(NEWS_FIRST).await;
            if shared.config_version() < theirs {
                peer_port::fetch_configuration(shared, from).await;
            } else {
                shared.tell(ToControl::Fetched(from, Fetched::Configuration(None)));
            }
        });
    }

    fn on_fetched_configuration(&mut self, from: SocketAddr, text: Option<Bytes>) {
        self.fetches_configuration = false;
        if let Some(text) = text {
            info!(event = "config_fetched", from:% = from, bytes = text.len(); "another node handed its configuration over");
            self.take_configuration(&text);
        } else if self.shared.config_version() < self.config_wanted {
            let shared = self.shared.clone();
            let reading = follow::read_once::<Configuration>(shared, ToControl::Configuration, Age::Newest);
            tokio::task::spawn_local(reading);
        }
    }

    /// Fetches the replicas that another node knows, unless the news come by themselves.
    fn compare_replicas(&mut self, from: SocketAddr, theirs: Revision) {
        if self.fetches_replicas || theirs <= self.replicas_at {
            return;
        }
        self.fetches_replicas = true;
        let shared = self.shared.clone();
        let replicas = self.placing.knowledge.replicas.len() as u32;
        let pause = NEWS_FIRST + NEWS_FIRST_PER_REPLICA * replicas;
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            if shared.replicas_at() < theirs {
                let known = shared.replicas_at();
                peer_port::fetch_replicas(shared, from, known).await;
            } else {
                shared.tell(ToControl::Fetched(from, Fetched::Replicas(None)));
            }
        });
    }

    fn on_fetched_replicas(&mut self, from: SocketAddr, list: Option<ReplicaList>) {
        self.fetches_replicas = false;
        let Some(list) = list.filter(|list| list.at > self.replicas_at) else {
            return;
        };
        info!(event = "replicas_fetched", from:% = from, whole = list.is_whole, staying = list.staying.len(), leaving = list.leaving.len(), at = list.at, before = self.replicas_at; "another node handed its replicas over");
        self.replicas_at = list.at;
        let change = self.placing.knowledge.replicas.on_handed_list(list, self.shared.now());
        self.after_replica_news(&change);
    }

    fn on_own_pulse(&mut self, number: PulseNumber, store: StoreState) {
        let now = self.shared.now();
        self.watchers.on_own_pulse(store, now);
        self.look_out(now);
        let watcher = self.shared.settings.peer;
        self.tell(&PeerMessage::Pulse(Pulse { watcher, number, store }));
    }

    fn on_pulse(&mut self, pulse: Pulse) {
        let watcher = node_id(pulse.watcher);
        let now = self.shared.now();
        if self.watchers.on_pulse(&watcher, pulse.number, pulse.store, now) {
            self.look_out(now);
            self.pass_on(&PeerMessage::Pulse(pulse));
        }
    }

    /// Tells news of this node's own.
    fn tell(&self, message: &PeerMessage) {
        for node in self.fleet.some(FIRST_FAN_OUT) {
            self.outbox.send(node, message);
        }
    }

    /// Passes on what another node told; each that hears of it for the first time does so.
    fn pass_on(&self, message: &PeerMessage) {
        for node in self.fleet.some(FAN_OUT) {
            self.outbox.send(node, message);
        }
    }

    fn on_sign(&mut self, replica: &UpstreamId, sign: LeavingSign) {
        if self.placing.knowledge.replicas.on_sign(replica, sign, self.shared.now()) {
            self.evacuate(replica, sign);
        }
    }

    fn on_health(&mut self, replica: &UpstreamId, health: Health) {
        let now = self.shared.now();
        self.lookout.on_health(replica, now);
        let sign = match health {
            Health::Well => return,
            Health::Unwell => LeavingSign::Unwell,
            Health::Other => LeavingSign::Replaced,
            Health::Silent => return self.placing.knowledge.replicas.on_failure(replica, now),
        };
        if self.placing.knowledge.replicas.on_sign(replica, sign, now) {
            let change = ListChange { leaving: vec![replica.clone()], added: Vec::new() };
            self.after_replica_news(&change);
            let news = ReplicaNews { leaving: change.leaving, ..ReplicaNews::default() };
            self.tell(&PeerMessage::Replicas(news));
        }
    }

    fn on_replicas(&mut self, news: News<ReplicaRecord>) {
        let before = self.replicas_at;
        let (change, at) = match news {
            News::Listed { list, after_outage } => {
                let replicas = &mut self.placing.knowledge.replicas;
                (replicas.on_list(list.items, after_outage, self.shared.now()), list.at)
            }
            News::Changed(changes) => {
                let at = changes.at;
                (self.on_replica_changes(changes), at)
            }
        };
        self.replicas_at = self.replicas_at.max(at);
        self.after_replica_news(&change);
        let added = change.added.iter().filter_map(|id| self.placing.knowledge.replicas.get(id));
        let added: Vec<ReplicaRecord> = added.map(|replica| (*replica.record).clone()).collect();
        // Without any change too, so that nobody takes the new revision for missed news.
        if self.replicas_at > before {
            self.gather(ReplicaNews { before, at, added, leaving: change.leaving });
        }
    }

    /// Tells other nodes, together with what follows soon.
    fn gather(&mut self, news: ReplicaNews) {
        match self.gathering.add(news, self.shared.now()) {
            Some(Duration::ZERO) => self.tell_gathered(),
            Some(pause) => {
                let shared = self.shared.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(pause).await;
                    shared.tell(ToControl::TellReplicas);
                });
            }
            None => {}
        }
    }

    fn tell_gathered(&mut self) {
        let replicas = self.placing.knowledge.replicas.len();
        let Some(news) = self.gathering.take(replicas, self.shared.now()) else {
            return;
        };
        if news.fits() {
            self.tell(&PeerMessage::Replicas(news));
        } else {
            info!(event = "news_not_told", added = news.added.len(), leaving = news.leaving.len(), at = news.at; "too many changes for a message: other nodes fetch them");
        }
    }

    /// What follows from any news of the replicas.
    fn after_replica_news(&mut self, change: &ListChange) {
        self.replicas_known = true;
        self.replicas_heard = self.shared.now();
        self.on_list_change(change);
        self.shared.set_replicas_at(self.replicas_at);
        self.check_ready();
    }

    fn on_replica_changes(&mut self, changes: Changes<ReplicaRecord>) -> ListChange {
        let now = self.shared.now();
        let mut change = ListChange::default();
        for event in changes.events {
            match event {
                Change::Put(record) => self.placing.knowledge.replicas.on_entry(record, now, &mut change),
                Change::Gone(id) if now < self.lapses_until => {
                    info!(event = "replica_missing", upstream = id; "a replica is no longer listed, perhaps because the store was away");
                    self.placing.knowledge.replicas.on_missing(&id, now);
                    self.lookout.ask_about(self.placing.knowledge.asked_for_health(&id), now);
                }
                Change::Gone(id) => self.placing.knowledge.replicas.on_unlisted(&id, now, &mut change),
            }
        }
        change
    }

    /// A watcher learnt of replicas. News that is new here is passed on.
    fn on_replica_news(&mut self, from: SocketAddr, news: ReplicaNews) {
        let is_sign = news.at == 0;
        if !is_sign && news.at <= self.replicas_at {
            return;
        }
        let now = self.shared.now();
        let mut change = ListChange::default();
        for record in &news.added {
            // One that is thought to leave may stay after all.
            if self.placing.knowledge.replicas.get(&record.id).is_none_or(|known| known.leaving.is_some()) {
                self.placing.knowledge.replicas.on_entry(record.clone(), now, &mut change);
            }
        }
        for id in &news.leaving {
            if self.placing.knowledge.replicas.on_sign(id, LeavingSign::Told, now) {
                change.leaving.push(id.clone());
            }
        }
        let is_news = !change.added.is_empty() || !change.leaving.is_empty();
        if news.before <= self.replicas_at {
            self.replicas_at = self.replicas_at.max(news.at);
        } else {
            // Something between was missed.
            self.compare_replicas(from, news.at);
        }
        self.after_replica_news(&change);
        if is_news || !is_sign {
            self.pass_on(&PeerMessage::Replicas(news));
        }
    }

    fn on_list_change(&mut self, change: &ListChange) {
        self.placing.knowledge.replicas.mark(change, self.replicas_at);
        self.list_is_old = true;
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
                    self.config_heard = self.shared.now();
                    info!(event = "config_in_force", version, bytes = text.len(); "configuration in force");
                    self.pass_on(&PeerMessage::NewConfig);
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
