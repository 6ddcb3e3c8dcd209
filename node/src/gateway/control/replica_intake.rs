//! Takes news of the replicas in, from wherever they come: the store, another node, or signs of
//! the replicas' own. What is new moves generations away from engines that leave, and is told
//! to other nodes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replica_catch_up::ReplicaCatchUp;
use leadstage_lib::gateway::replica_catch_up::Source;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::replica_updates::PackedUpdate;
use leadstage_lib::gateway::replica_updates::Part;
use leadstage_lib::gateway::replica_updates::ReplicaUpdate;
use leadstage_lib::gateway::replica_updates::UpdateBatcher;
use leadstage_lib::gateway::replica_updates::UpdateProgress;
use leadstage_lib::gateway::replica_updates::UpdateRelay;
use leadstage_lib::gateway::replicas::ListChange;
use leadstage_lib::gateway::revision;
use leadstage_lib::gateway::store_outages::StoreOutages;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use leadstage_platform::health::Health;
use leadstage_platform::store::Change;
use leadstage_platform::store::Changes;
use leadstage_platform::store::Revision;
use log::info;
use log::warn;
use tokio::sync::oneshot;

use crate::gateway::control::lookout::Lookout;
use crate::gateway::control::placing::Placing;
use crate::gateway::messages::Fetched;
use crate::gateway::messages::HandedReplicas;
use crate::gateway::messages::News;
use crate::gateway::messages::Order;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::fetching;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;

/// A replica that left is forgotten after this: the longest time that one serves on after
/// its entry is gone is a few seconds.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Replicas that are listed at once and get a line each; a starting node would else write a thousand,
/// of which the log's limit leaves 300, and lose what it says next.
const MOST_LOGGED_ALONE: usize = 50;
/// What the nodes that are told one part of some news take of the link, in bits.
const PART_BITS: f64 = 8.0 * 9_000.0 * 8.0;
/// Part of the link that is for it.
const PART_OF_LINK: f64 = 0.5;
/// The way of news of the replicas into this node, and on to others.
pub struct ReplicaIntake {
    shared: Arc<Shared>,
    lookout: Lookout,
    gathering: UpdateBatcher,
    /// Parts of news that are to be told, one after the other.
    parts: VecDeque<ReplicaUpdate>,
    relay: UpdateRelay,
    /// Up to which revision of the store the replicas are known.
    progress: UpdateProgress,
    /// When news last came.
    heard: Timestamp,
    lapses: StoreOutages,
    /// This node follows the store.
    follows: bool,
    /// The whole list as other nodes are handed it, and up to which revision it holds.
    packed: Option<(Revision, Bytes)>,
    lack: ReplicaCatchUp,
}

impl ReplicaIntake {
    /// Nothing has come yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        ReplicaIntake {
            lookout: Lookout::new(shared.clone()),
            shared,
            gathering: UpdateBatcher::default(),
            parts: VecDeque::new(),
            relay: UpdateRelay::default(),
            progress: UpdateProgress::default(),
            heard: Timestamp::ZERO,
            lapses: StoreOutages::default(),
            follows: false,
            packed: None,
            lack: ReplicaCatchUp::new(&mut rand::rng()),
        }
    }

    /// Whether the replicas are known, all up to some revision. News of a few that came before the
    /// list does not count: a node that served on it would refuse what it can serve a moment later.
    pub fn is_known(&self) -> bool {
        self.progress.at() > 0
    }

    /// When news last came.
    pub fn heard(&self) -> Timestamp {
        self.heard
    }

    /// Takes replicas that stayed missing for gone. Who follows the store tells the others, whose revision is the same.
    pub fn tick(&mut self, placing: &mut Placing, fleet: &Fleet, follows: bool) {
        let replicas = &mut placing.knowledge.replicas;
        if std::mem::replace(&mut self.follows, follows) && !follows {
            replicas.forget_missing();
        }
        let change = replicas.tick(self.shared.now(), FORGET_AFTER);
        if change.leaving.is_empty() {
            return;
        }
        let leaving = replicas.leaving_of(&change.leaving);
        self.on_list_change(placing, &change, 0);
        if follows {
            self.tell_departures(placing, fleet, leaving);
        }
    }

    /// Tells that replicas leave, with no new revision.
    fn tell_departures(&self, placing: &Placing, fleet: &Fleet, leaving: Vec<Incarnation>) {
        let count = leaving.len();
        let news = ReplicaUpdate { leaving, ..ReplicaUpdate::default() };
        match news.into_parts(placing.knowledge.replicas.len()) {
            Some(parts) => parts.iter().for_each(|part| self.notify(fleet, part)),
            None => {
                info!(event = "news_not_told", added = 0, leaving = count, at = 0; "more has changed than is told")
            }
        }
    }

    /// Packs what another node lacks. The whole list is packed once for all that ask for it until it changes.
    pub fn hand_out(&mut self, placing: &Placing, known: Revision, reply: oneshot::Sender<Bytes>) {
        if let Some((at, packed)) = &self.packed
            && known == 0
            && *at == self.progress.at()
        {
            // Whoever asked may be gone.
            let _ = reply.send(packed.clone());
            return;
        }
        let list = placing.knowledge.replicas.since(self.progress.at(), known);
        match list.pack() {
            Ok(packed) => {
                if known == 0 {
                    self.packed = Some((self.progress.at(), packed.clone()));
                }
                let _ = reply.send(packed);
            }
            Err(err) => {
                warn!(event = "replicas_unwritable", reason:% = err; "the list of replicas can't be packed")
            }
        }
    }

    /// The store answers nobody: entries may lapse.
    pub fn on_store_unavailable(&mut self) {
        self.lapses.on_store_unavailable(self.shared.now());
    }

    /// Asks the engines that this node leads whether they leave: the store may not tell.
    pub fn look_out(&mut self, placing: &Placing, fleet: &Fleet) {
        if self.shared.settings.policy.look_out {
            self.lookout.ask_all(self.shared.now(), placing.engines_in_use(fleet));
        }
    }

    /// A replica showed this node that it leaves: in an answer, or when it was asked for its health.
    pub fn on_sign(&mut self, placing: &mut Placing, fleet: &Fleet, of: &Incarnation, sign: LeavingSign) {
        let replicas = &mut placing.knowledge.replicas;
        let was_leaving = replicas.get(&of.id).is_some_and(|replica| replica.leaving.is_some());
        // A stronger sign of what is known holds against more, and is no news to others.
        if !replicas.on_sign(of, sign, self.shared.now()) || was_leaving {
            return;
        }
        let change = ListChange { leaving: vec![of.id.clone()], ..ListChange::default() };
        self.after_news(placing, &change, 0);
        self.notify(fleet, &ReplicaUpdate { leaving: vec![of.clone()], ..ReplicaUpdate::default() });
    }

    /// A replica was asked for its health.
    pub fn on_health(&mut self, placing: &mut Placing, fleet: &Fleet, of: Incarnation, health: Health) {
        let now = self.shared.now();
        self.lookout.on_health(&of.id, now);
        let sign = match health {
            Health::Well { cold } => return placing.knowledge.replicas.on_cold(&of.id, cold, now),
            Health::Unwell => LeavingSign::Unhealthy,
            Health::Leaving => LeavingSign::Announced,
            Health::Other => LeavingSign::Replaced,
            Health::Silent | Health::Closed => {
                return placing.knowledge.replicas.on_incarnation_failure(&of, now);
            }
        };
        self.on_sign(placing, fleet, &of, sign);
    }

    /// The store told of its replicas.
    pub fn on_store_news(&mut self, placing: &mut Placing, fleet: &Fleet, news: News<ReplicaRecord>) {
        let (before, now) = (self.progress.at(), self.shared.now());
        let at = match &news {
            News::Listed { list, .. } => list.at,
            News::Changed(changes) => changes.at,
        };
        if revision::era(at) < revision::era(before) {
            info!(event = "store_era_old", era = revision::era(at), known = revision::era(before); "an answer of the store is older than its return from a copy");
            return;
        }
        let change = match news {
            News::Listed { list, after_outage } => {
                self.note_era(at);
                let lapses = after_outage || self.lapses.missing_since(now).is_some();
                placing.knowledge.replicas.on_store_list(list.items, at, lapses, now)
            }
            News::Changed(changes) => self.on_changes(placing, changes),
        };
        self.progress.on_known(at);
        self.after_news(placing, &change, at);
        if before == 0 {
            fleet.announce_replicas();
        }
        let replicas = &placing.knowledge.replicas;
        let added = change.added.iter().filter_map(|id| replicas.get(id));
        let added: Vec<ReplicaRecord> = added.map(|replica| (*replica.record).clone()).collect();
        // One that went and came again within one answer of the store stays.
        let leaving = replicas.leaving_of(&change.leaving);
        // Without any change too, so that nobody takes the new revision for missed news.
        if at > before && before > 0 {
            let part = Part::default();
            self.gather(placing, fleet, ReplicaUpdate { before, at, added, leaving, part });
        } else if before > 0 && !(added.is_empty() && leaving.is_empty()) {
            info!(event = "news_kept", added = added.len(), leaving = leaving.len(), at, before; "news of the store is no newer than what is known, and not told");
        }
    }

    /// What a copy lacks is not gone: replicas write their entries again.
    fn note_era(&mut self, at: Revision) {
        let before = self.progress.at();
        if before > 0 && revision::era(at) > revision::era(before) {
            info!(event = "store_copy", era = revision::era(at), revision = revision::number(at); "the store has come back from a copy, which may lack replicas");
            self.lapses.on_store_unavailable(self.shared.now());
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
    fn gather(&mut self, placing: &Placing, fleet: &Fleet, news: ReplicaUpdate) {
        match self.gathering.add(news, self.shared.now()) {
            Some(Duration::ZERO) => self.tell_gathered(placing, fleet),
            Some(pause) => self.shared.notify_after(pause, ToControl::TellReplicas),
            None => {}
        }
    }

    /// Tells other nodes what was gathered.
    pub fn tell_gathered(&mut self, placing: &Placing, fleet: &Fleet) {
        let replicas = placing.knowledge.replicas.len();
        let Some(news) = self.gathering.take(replicas, self.shared.now()) else {
            return;
        };
        let (added, leaving, at) = (news.added.len(), news.leaving.len(), news.at);
        let Some(parts) = news.into_parts(replicas) else {
            info!(event = "news_not_told", added, leaving, at; "more has changed than is told: other nodes fetch it");
            return;
        };
        let is_idle = self.parts.is_empty();
        self.parts.extend(parts);
        if is_idle {
            self.tell_part(fleet);
        }
    }

    /// Tells the next part, and the one after it when the link has carried that.
    pub fn tell_part(&mut self, fleet: &Fleet) {
        let Some(part) = self.parts.pop_front() else {
            return;
        };
        self.notify(fleet, &part);
        if !self.parts.is_empty() {
            let link = self.shared.settings.link_bits_per_second() * PART_OF_LINK;
            self.shared.notify_after(Duration::from_secs_f64(PART_BITS / link), ToControl::TellPart);
        }
    }

    fn notify(&self, fleet: &Fleet, news: &ReplicaUpdate) {
        match news.pack() {
            Ok(packed) => fleet.notify(&PeerMessage::Replicas(packed)),
            Err(err) => {
                warn!(event = "replicas_unwritable", reason:% = err; "news of the replicas can't be packed")
            }
        }
    }

    /// A watcher learnt of replicas. What is new here is passed on.
    pub fn on_news(&mut self, placing: &mut Placing, fleet: &Fleet, from: SocketAddr, packed: PackedUpdate) {
        let is_sign = packed.at == 0;
        if !is_sign && self.progress.has(&packed) {
            return;
        }
        let news = match packed.unpack() {
            Ok(news) => news,
            Err(err) => {
                info!(event = "news_unreadable", from:% = from, reason:% = err; "another node's news can't be read");
                return;
            }
        };
        let now = self.shared.now();
        let mut change = ListChange::default();
        for record in &news.added {
            // One that is thought to leave may stay after all; one may have started again, or be cold.
            let known = placing.knowledge.replicas.get(&record.id);
            let is_new = |known: &Replica| {
                known.leaving.is_some() || known.is_missing() || known.record.born < record.born
            };
            if !record.cold.is_zero() || known.is_none_or(is_new) {
                placing.knowledge.replicas.on_entry(record.clone(), now, &mut change);
            }
        }
        for of in &news.leaving {
            if placing.knowledge.replicas.on_sign(of, LeavingSign::ReportedByPeer, now) {
                change.leaving.push(of.id.clone());
            }
        }
        let is_news = !change.added.is_empty() || !change.leaving.is_empty();
        if !is_sign && self.progress.on_part(&news) {
            // Something is still missing.
            self.compare(placing, fleet, from, news.at);
        }
        self.after_news(placing, &change, news.at);
        if self.relay.should_forward(&news, is_news) {
            fleet.forward(&PeerMessage::Replicas(packed));
        }
    }

    /// Another node knows the replicas up to this revision; what is missing here is fetched
    /// there unless it comes by itself.
    pub fn compare(&mut self, placing: &Placing, fleet: &Fleet, from: SocketAddr, theirs: Revision) {
        let own = self.progress.at();
        if theirs <= own {
            return;
        }
        let source = match (fleet.has_enough_in_hall(), fleet.is_near(from)) {
            (true, true) => Source::Near,
            (true, false) => Source::Far,
            (false, _) => Source::Any,
        };
        let replicas = placing.knowledge.replicas.len();
        let Some(pause) = self.lack.on_peer_revision(theirs, own, source, replicas, self.shared.now()) else {
            return;
        };
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            if shared.replicas_at() < theirs {
                let known = shared.replicas_at();
                fetching::fetch_replicas(shared, from, known).await;
            } else {
                shared.notify(ToControl::Fetched(from, Fetched::Replicas(HandedReplicas::Nothing)));
            }
        });
    }

    /// Another node answered, or did not.
    pub fn on_fetched(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        from: SocketAddr,
        handed: HandedReplicas,
    ) {
        self.lack.on_answer();
        let (list, packed) = match handed {
            HandedReplicas::List(list, packed) if list.at > self.progress.at() => (list, packed),
            HandedReplicas::Busy(after) => {
                return self.lack.on_busy(after, self.progress.at(), self.shared.now());
            }
            HandedReplicas::List(..) | HandedReplicas::Nothing => return,
        };
        let is_first = !self.is_known();
        info!(event = "replicas_fetched", from:% = from, whole = list.is_whole, staying = list.staying.len(), leaving = list.leaving.len(), at = list.at, before = self.progress.at(); "another node handed its replicas over");
        let at = list.at;
        let change = placing.knowledge.replicas.on_peer_list(list, self.shared.now());
        self.progress.on_known(at);
        self.after_news(placing, &change, at);
        if is_first {
            // It is handed on as it came.
            self.packed = Some((at, packed));
            fleet.announce_replicas();
        }
    }

    /// What follows from any news; `at` is its revision, 0 for a sign.
    fn after_news(&mut self, placing: &mut Placing, change: &ListChange, at: Revision) {
        self.heard = self.shared.now();
        self.on_list_change(placing, change, at);
        if self.shared.replicas_at() < self.progress.at() {
            self.lack.on_update();
            self.shared.set_replicas_at(self.progress.at());
        }
    }

    /// A change that is learnt with news which is not known whole is newer than all that is: whoever is handed what
    /// this node knows later on must get it.
    fn on_list_change(&mut self, placing: &mut Placing, change: &ListChange, at: Revision) {
        placing.knowledge.replicas.set_changed_at(change, at.max(self.progress.at()));
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
            info!(event = "replicas_listed", replicas = change.added.len(), at = self.progress.at(); "many replicas are listed");
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
