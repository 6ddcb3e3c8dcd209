//! Takes news of the replicas in, from wherever they come: the store, another node, or signs of
//! the replicas' own. What is new moves generations away from engines that leave, and is told
//! to other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::lapses::Lapses;
use leadstage_lib::gateway::replica_news::NewsGathering;
use leadstage_lib::gateway::replica_news::NewsRelay;
use leadstage_lib::gateway::replica_news::ReplicaNews;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replicas::LeavingSign;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::replicas::Replica;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health::Health;
use leadstage_platform::store::Change;
use leadstage_platform::store::Changes;
use leadstage_platform::store::Revision;
use log::info;

use crate::gateway::control::lookout::Lookout;
use crate::gateway::control::placing::Placing;
use crate::gateway::messages::Fetched;
use crate::gateway::messages::HandedReplicas;
use crate::gateway::messages::News;
use crate::gateway::messages::Order;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::fetching;
use crate::gateway::peers::fetching::NEWS_FIRST;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;

/// A replica that left is forgotten after this: the longest time that one serves on after
/// its entry is gone is a few seconds.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Replicas that are listed at once and get a line each; a starting node would else write a thousand,
/// of which the log's limit leaves 300, and lose what it says next.
const MOST_LOGGED_ALONE: usize = 50;
/// With many replicas news come together and take longer: with 3,000 another tenth of a second.
const NEWS_FIRST_PER_REPLICA: Duration = Duration::from_micros(30);

/// The way of news of the replicas into this node, and on to others.
pub struct ReplicaIntake {
    shared: Arc<Shared>,
    lookout: Lookout,
    gathering: NewsGathering,
    relay: NewsRelay,
    /// The store's revision up to which the replicas are known.
    at: Revision,
    /// When news last came.
    heard: Timestamp,
    lapses: Lapses,
    /// The list for other nodes lacks changes.
    list_is_old: bool,
    /// What another node knows is being fetched.
    fetches: bool,
    /// A node that was busy said that it may be asked from then on; news may come before.
    asks_from: Timestamp,
}

impl ReplicaIntake {
    /// Nothing has come yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        ReplicaIntake {
            lookout: Lookout::new(shared.clone()),
            shared,
            gathering: NewsGathering::default(),
            relay: NewsRelay::default(),
            at: 0,
            heard: Timestamp::ZERO,
            lapses: Lapses::default(),
            list_is_old: false,
            fetches: false,
            asks_from: Timestamp::ZERO,
        }
    }

    /// Whether the replicas are known, all up to some revision. News of a few that came before the
    /// list does not count: a node that served on it would refuse what it can serve a moment later.
    pub fn is_known(&self) -> bool {
        self.at > 0
    }

    /// When news last came.
    pub fn heard(&self) -> Timestamp {
        self.heard
    }

    /// Takes replicas that stayed missing for gone, and publishes the list for other nodes, if
    /// it changed: once for many changes.
    pub fn tick(&mut self, placing: &mut Placing) {
        let change = placing.knowledge.replicas.tick(self.shared.now(), FORGET_AFTER);
        if !change.leaving.is_empty() {
            self.on_list_change(placing, &change);
        }
        if std::mem::take(&mut self.list_is_old) {
            self.shared.set_replica_list(placing.knowledge.replicas.list(self.at));
        }
    }

    /// The store answers nobody: entries may lapse.
    pub fn on_store_away(&mut self) {
        self.lapses.on_store_away(self.shared.now());
    }

    /// Asks the engines that this node leads whether they leave: the store may not tell.
    pub fn look_out(&mut self, placing: &Placing, fleet: &Fleet) {
        if self.shared.settings.policy.look_out {
            self.lookout.ask_all(self.shared.now(), placing.engines_in_use(fleet));
        }
    }

    /// A replica showed a request of this node that it leaves.
    pub fn on_sign(&mut self, placing: &mut Placing, of: &Incarnation, sign: LeavingSign) {
        if placing.knowledge.replicas.on_sign(of, sign, self.shared.now()) {
            self.evacuate(placing, &of.id, sign);
        }
    }

    /// A replica was asked for its health.
    pub fn on_health(&mut self, placing: &mut Placing, fleet: &Fleet, of: Incarnation, health: Health) {
        let now = self.shared.now();
        self.lookout.on_health(&of.id, now);
        let sign = match health {
            Health::Well { cold } => return placing.knowledge.replicas.on_cold(&of.id, cold, now),
            Health::Unwell => LeavingSign::Unwell,
            Health::Other => LeavingSign::Replaced,
            Health::Silent | Health::Closed => return placing.knowledge.replicas.on_failure_of(&of, now),
        };
        if placing.knowledge.replicas.on_sign(&of, sign, now) {
            let change = ListChange { leaving: vec![of.id.clone()], ..ListChange::default() };
            self.after_news(placing, &change);
            let news = ReplicaNews { leaving: vec![of], ..ReplicaNews::default() };
            fleet.tell(&PeerMessage::Replicas(news));
        }
    }

    /// The store told of its replicas.
    pub fn on_store_news(&mut self, placing: &mut Placing, fleet: &Fleet, news: News<ReplicaRecord>) {
        let before = self.at;
        let (change, at) = match news {
            News::Listed { list, after_outage } => {
                let replicas = &mut placing.knowledge.replicas;
                (replicas.on_list(list.items, after_outage, self.shared.now()), list.at)
            }
            News::Changed(changes) => {
                let at = changes.at;
                (self.on_changes(placing, changes), at)
            }
        };
        self.at = self.at.max(at);
        self.after_news(placing, &change);
        let replicas = &placing.knowledge.replicas;
        let added = change.added.iter().filter_map(|id| replicas.get(id));
        let added: Vec<ReplicaRecord> = added.map(|replica| (*replica.record).clone()).collect();
        // One that went and came again within one answer of the store stays.
        let leaving = replicas.leaving_of(&change.leaving);
        // Without any change too, so that nobody takes the new revision for missed news.
        if self.at > before {
            self.gather(placing, fleet, ReplicaNews { before, at, added, leaving });
        }
    }

    fn on_changes(&mut self, placing: &mut Placing, changes: Changes<ReplicaRecord>) -> ListChange {
        let now = self.shared.now();
        let mut change = ListChange::default();
        for event in changes.events {
            match event {
                Change::Put(record) => placing.knowledge.replicas.on_entry(record, now, &mut change),
                // What is no longer an entry of a replica names none to use.
                Change::Gone(id) | Change::Unreadable(id) => match self.lapses.missing_since(now) {
                    Some(since) => {
                        info!(event = "replica_missing", upstream = id; "a replica is no longer listed, perhaps because the store was away");
                        placing.knowledge.replicas.on_missing(&id, since);
                        self.lookout.ask_about(placing.knowledge.asked_for_health(&id), now);
                    }
                    None => placing.knowledge.replicas.on_unlisted(&id, now, &mut change),
                },
            }
        }
        change
    }

    /// Tells other nodes, together with what follows soon.
    fn gather(&mut self, placing: &Placing, fleet: &Fleet, news: ReplicaNews) {
        match self.gathering.add(news, self.shared.now()) {
            Some(Duration::ZERO) => self.tell_gathered(placing, fleet),
            Some(pause) => self.shared.tell_after(pause, ToControl::TellReplicas),
            None => {}
        }
    }

    /// Tells other nodes what was gathered.
    pub fn tell_gathered(&mut self, placing: &Placing, fleet: &Fleet) {
        let replicas = placing.knowledge.replicas.len();
        let Some(news) = self.gathering.take(replicas, self.shared.now()) else {
            return;
        };
        if news.fits() {
            fleet.tell(&PeerMessage::Replicas(news));
        } else {
            info!(event = "news_not_told", added = news.added.len(), leaving = news.leaving.len(), at = news.at; "too many changes for a message: other nodes fetch them");
        }
    }

    /// A watcher learnt of replicas. What is new here is passed on.
    pub fn on_news(&mut self, placing: &mut Placing, fleet: &Fleet, from: SocketAddr, news: ReplicaNews) {
        let is_sign = news.at == 0;
        if !is_sign && news.at <= self.at {
            return;
        }
        let now = self.shared.now();
        let mut change = ListChange::default();
        for record in &news.added {
            // One that is thought to leave may stay after all; one may have started again, or be cold.
            let known = placing.knowledge.replicas.get(&record.id);
            let is_new = |known: &Replica| known.leaving.is_some() || known.record.born < record.born;
            if !record.cold.is_zero() || known.is_none_or(is_new) {
                placing.knowledge.replicas.on_entry(record.clone(), now, &mut change);
            }
        }
        for of in &news.leaving {
            if placing.knowledge.replicas.on_sign(of, LeavingSign::Told, now) {
                change.leaving.push(of.id.clone());
            }
        }
        let is_news = !change.added.is_empty() || !change.leaving.is_empty();
        if news.before <= self.at {
            self.at = self.at.max(news.at);
        } else {
            // Something between was missed.
            self.compare(placing, from, news.at);
        }
        self.after_news(placing, &change);
        if self.relay.passes_on(&news, is_news) {
            fleet.pass_on(&PeerMessage::Replicas(news));
        }
    }

    /// Another node knows the replicas up to this revision; what is missing here is fetched
    /// there unless it comes by itself.
    pub fn compare(&mut self, placing: &Placing, from: SocketAddr, theirs: Revision) {
        if self.fetches || theirs <= self.at || self.shared.now() < self.asks_from {
            return;
        }
        self.fetches = true;
        let shared = self.shared.clone();
        let replicas = placing.knowledge.replicas.len() as u32;
        let pause = NEWS_FIRST + NEWS_FIRST_PER_REPLICA * replicas;
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            if shared.replicas_at() < theirs {
                let known = shared.replicas_at();
                fetching::fetch_replicas(shared, from, known).await;
            } else {
                shared.tell(ToControl::Fetched(from, Fetched::Replicas(HandedReplicas::Nothing)));
            }
        });
    }

    /// Another node answered, or did not.
    pub fn on_fetched(&mut self, placing: &mut Placing, from: SocketAddr, handed: HandedReplicas) {
        self.fetches = false;
        let list = match handed {
            HandedReplicas::List(list) if list.at > self.at => list,
            HandedReplicas::Busy(after) => {
                self.asks_from = self.shared.now() + after;
                return;
            }
            HandedReplicas::List(_) | HandedReplicas::Nothing => return,
        };
        info!(event = "replicas_fetched", from:% = from, whole = list.is_whole, staying = list.staying.len(), leaving = list.leaving.len(), at = list.at, before = self.at; "another node handed its replicas over");
        self.at = list.at;
        let change = placing.knowledge.replicas.on_handed_list(list, self.shared.now());
        self.after_news(placing, &change);
    }

    /// What follows from any news.
    fn after_news(&mut self, placing: &mut Placing, change: &ListChange) {
        self.heard = self.shared.now();
        self.on_list_change(placing, change);
        self.shared.set_replicas_at(self.at);
    }

    fn on_list_change(&mut self, placing: &mut Placing, change: &ListChange) {
        placing.knowledge.replicas.mark(change, self.at);
        self.list_is_old = true;
        self.log_added(placing, change);
        for id in &change.restarted {
            placing.on_restarted(id);
        }
        for id in &change.leaving {
            if let Some(sign) = placing.knowledge.replicas.get(id).and_then(|r| r.leaving) {
                self.evacuate(placing, id, sign);
            }
        }
    }

    fn log_added(&self, placing: &Placing, change: &ListChange) {
        if change.added.len() > MOST_LOGGED_ALONE {
            info!(event = "replicas_listed", replicas = change.added.len(), at = self.at; "many replicas are listed");
            return;
        }
        for id in &change.added {
            if let Some(replica) = placing.knowledge.replicas.get(id) {
                info!(event = "replica_listed", upstream = &**id, service = &*replica.record.service, hall = &*replica.record.hall, address:% = replica.record.address; "replica is listed");
            }
        }
    }

    /// A replica leaves: its streams are told to move.
    fn evacuate(&self, placing: &Placing, id: &UpstreamId, sign: LeavingSign) {
        let streams = if self.shared.settings.policy.evacuate { placing.streams_at(id) } else { Vec::new() };
        info!(event = "replica_leaves", upstream = &**id, sign:% = sign, streams = streams.len(); "replica leaves");
        for stream in streams {
            // A stream that has just ended needs no order.
            let _ = stream.orders.send(Order::Evacuate(id.clone()));
        }
    }
}
