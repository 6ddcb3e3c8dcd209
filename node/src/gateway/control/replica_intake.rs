//! Receives changes of the replicas, from the store, from other nodes and from the replicas themselves.
//! Moves generations away from engines that leave, and forwards changes to other nodes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use leadstage_lib::gateway::catch_up_age::CatchUpAge;
use leadstage_lib::gateway::replica::LeavingSign;
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

use crate::gateway::control::health_poller::HealthPoller;
use crate::gateway::control::placing::Placing;
use crate::gateway::messages::Fetched;
use crate::gateway::messages::FetchedReplicas;
use crate::gateway::messages::StoreUpdate;
use crate::gateway::messages::StreamCommand;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::fetching;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;

/// Time after which a replica that left is forgotten. Replicas continue to serve for at most a few seconds
/// after their entry is removed.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Largest number of replicas of one change that are logged with a line each. A starting node would
/// otherwise log a thousand lines, of which the log's limit keeps 300, and lose the lines that follow.
const MAX_LOGGED_INDIVIDUALLY: usize = 50;
/// Largest number of replicas with missing entries whose health is polled: an outage of the store may take the
/// entries of all replicas, and health checks are billed.
const MAX_POLLED_MISSING: usize = 16;
/// Bits that the link carries when one part of an update is sent to all nodes that this node sends it to.
const PART_BITS: f64 = 8.0 * 9_000.0 * 8.0;
/// Fraction of the link that updates may take.
const LINK_SHARE: f64 = 0.5;

/// Receives changes of the replicas and forwards them to other nodes.
pub struct ReplicaIntake {
    shared: Arc<Shared>,
    health_poller: HealthPoller,
    batcher: UpdateBatcher,
    /// Parts of updates that are still to be sent, in order.
    pending_parts: VecDeque<ReplicaUpdate>,
    relay: UpdateRelay,
    /// The revision of the store up to which the replicas are known.
    progress: UpdateProgress,
    /// When an update was last received.
    last_update: Timestamp,
    outages: StoreOutages,
    /// Whether this node follows the store.
    is_watcher: bool,
    /// The whole list, packed for other nodes, and the revision that it has.
    packed: Option<(Revision, Bytes)>,
    catch_up: ReplicaCatchUp,
    /// The latest revision up to which another node knows the replicas.
    newest_elsewhere: Revision,
    age: CatchUpAge<Revision>,
}

impl ReplicaIntake {
    /// Creates the state of a node that knows no replicas.
    pub fn new(shared: Arc<Shared>) -> Self {
        ReplicaIntake {
            health_poller: HealthPoller::new(shared.clone()),
            shared,
            batcher: UpdateBatcher::default(),
            pending_parts: VecDeque::new(),
            relay: UpdateRelay::default(),
            progress: UpdateProgress::default(),
            last_update: Timestamp::ZERO,
            outages: StoreOutages::default(),
            is_watcher: false,
            packed: None,
            catch_up: ReplicaCatchUp::new(&mut rand::rng()),
            newest_elsewhere: 0,
            age: CatchUpAge::default(),
        }
    }

    /// Whether all replicas are known up to some revision. Updates of a few replicas that arrive before the
    /// list don't count: a node that served with these alone would refuse requests that it can serve a
    /// moment later.
    pub fn is_known(&self) -> bool {
        self.progress.at() > 0
    }

    /// Whether another node knows replicas up to some revision.
    pub fn is_known_elsewhere(&self) -> bool {
        self.newest_elsewhere > 0
    }

    /// When an update was last received.
    pub fn last_update(&self) -> Timestamp {
        self.last_update
    }

    /// Up to when this node knows the replicas in the store if another node knows later changes; `answered_at` is
    /// when the store last answered a node.
    pub fn lags_since(&mut self, answered_at: Timestamp) -> Option<Timestamp> {
        self.age.update(self.progress.at(), self.newest_elsewhere, answered_at)
    }

    /// Treats replicas as gone whose entries stayed missing. A node that follows the store announces them,
    /// as the other nodes know the same revision and would not notice.
    pub fn tick(&mut self, placing: &mut Placing, fleet: &Fleet, is_watcher: bool) {
        let replicas = &mut placing.state.replicas;
        if std::mem::replace(&mut self.is_watcher, is_watcher) && !is_watcher {
            replicas.forget_missing();
        }
        let change = replicas.tick(self.shared.now(), FORGET_AFTER);
        self.on_missing_gone(placing, fleet, &change);
    }

    /// Replicas are gone whose entries were missing.
    fn on_missing_gone(&mut self, placing: &mut Placing, fleet: &Fleet, change: &ListChange) {
        if change.leaving.is_empty() {
            return;
        }
        let leaving = placing.state.replicas.leaving_of(&change.leaving);
        self.on_list_change(placing, change, 0);
        if self.is_watcher {
            self.announce_departures(placing, fleet, leaving);
        }
    }

    /// Announces replicas that leave, without a new revision.
    fn announce_departures(&self, placing: &Placing, fleet: &Fleet, leaving: Vec<Incarnation>) {
        let count = leaving.len();
        match self.sign(placing, leaving).into_parts(placing.state.replicas.len()) {
            Some(parts) => parts.iter().for_each(|part| self.send_update(fleet, part)),
            None => {
                info!(event = "news_not_told", added = 0, leaving = count, at = 0; "too many changes to send to other nodes")
            }
        }
    }

    /// Packs the changes that another node lacks. The whole list is packed once and reused for further
    /// requests until it changes.
    pub fn serve_list(&mut self, placing: &Placing, known: Revision, reply: oneshot::Sender<Bytes>) {
        if let Some((at, packed)) = &self.packed
            && known == 0
            && *at == self.progress.at()
        {
            // The requester may be gone.
            let _ = reply.send(packed.clone());
            return;
        }
        let list = placing.state.replicas.since(self.progress.at(), known);
        match list.pack() {
            Ok(packed) => {
                if known == 0 {
                    self.packed = Some((self.progress.at(), packed.clone()));
                }
                let _ = reply.send(packed);
            }
            Err(err) => {
                warn!(event = "replicas_unwritable", reason:% = err; "cannot pack the list of replicas")
            }
        }
    }

    /// The store answers no node that asks it, so entries may expire.
    pub fn on_store_unavailable(&mut self) {
        self.outages.on_store_unavailable(self.shared.now());
    }

    /// The store had not been unavailable: it answered other nodes while it turned those away that asked. Entries
    /// that disappeared were removed.
    pub fn on_outage_refuted(&mut self, placing: &mut Placing, fleet: &Fleet) {
        let now = self.shared.now();
        if self.outages.on_refuted(now) {
            let change = placing.state.replicas.end_missing(now);
            info!(event = "outage_refuted", missing = change.leaving.len(); "the store answers this node or another one while it turns others away");
            self.on_missing_gone(placing, fleet, &change);
        }
    }

    /// Polls the health of the engines that this node leads, as the store may not report that they leave.
    pub fn poll_health(&mut self, placing: &Placing, fleet: &Fleet) {
        if self.shared.settings.policy.look_out {
            self.health_poller.poll_all(self.shared.now(), placing.engines_in_use(fleet));
        }
    }

    /// A replica showed this node that it leaves, in a response or in a health check.
    pub fn on_sign(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        incarnation: &Incarnation,
        sign: LeavingSign,
    ) {
        let replicas = &mut placing.state.replicas;
        let was_leaving = replicas.get(&incarnation.id).is_some_and(|replica| replica.leaving.is_some());
        // A stronger sign is recorded, as it outweighs more evidence that the replica stays, but other
        // nodes already know that it leaves.
        if !replicas.on_sign(incarnation, sign, self.shared.now()) || was_leaving {
            return;
        }
        let change = ListChange { leaving: vec![incarnation.id.clone()], ..ListChange::default() };
        self.after_update(placing, &change, 0);
        self.send_update(fleet, &self.sign(placing, vec![incarnation.clone()]));
    }

    /// Returns the update that tells other nodes of a sign that replicas are leaving.
    fn sign(&self, placing: &Placing, leaving: Vec<Incarnation>) -> ReplicaUpdate {
        let known = self.progress.at().max(placing.state.replicas.known_at(&leaving));
        ReplicaUpdate::sign(leaving, known)
    }

    /// A health check of a replica ended.
    pub fn on_health(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        incarnation: Incarnation,
        health: Health,
    ) {
        let now = self.shared.now();
        self.health_poller.on_health(&incarnation.id, now);
        let sign = match health {
            Health::Well { cold } => return placing.state.replicas.on_cold(&incarnation.id, cold, now),
            Health::Unwell => LeavingSign::Unhealthy,
            Health::Leaving => LeavingSign::Announced,
            Health::Other => LeavingSign::Replaced,
            Health::Silent | Health::Broken | Health::Unreached | Health::Closed => {
                return placing.on_incarnation_failure(&incarnation);
            }
        };
        self.on_sign(placing, fleet, &incarnation, sign);
    }

    /// The store reported its replicas.
    pub fn on_store_update(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        update: StoreUpdate<ReplicaRecord>,
    ) {
        let (before, now) = (self.progress.at(), self.shared.now());
        let at = match &update {
            StoreUpdate::Listed { list, .. } => list.at,
            StoreUpdate::Changed(changes) => changes.at,
        };
        if revision::era(at) < revision::era(before) {
            info!(event = "store_era_old", era = revision::era(at), known = revision::era(before); "ignoring an answer from before the store was restored from a copy");
            return;
        }
        let change = match update {
            StoreUpdate::Listed { list, after_outage } => {
                info!(event = "replicas_read", replicas = list.items.len(), at, before, after_outage; "the store listed its replicas");
                self.check_era(at);
                // The store knows best which changes there are.
                self.newest_elsewhere = at;
                let missing_since = self.outages.missing_since(now).or(after_outage.then_some(now));
                let replicas = &mut placing.state.replicas;
                let change = replicas.on_store_list(list.items, at, before, missing_since, now);
                self.poll_missing(placing);
                change
            }
            StoreUpdate::Changed(changes) => self.on_changes(placing, changes),
        };
        self.progress.on_known(at);
        self.after_update(placing, &change, at);
        if before == 0 {
            fleet.announce_replicas();
        }
        let replicas = &placing.state.replicas;
        let added = change.added.iter().filter_map(|id| replicas.get(id));
        let added: Vec<ReplicaRecord> = added.map(|replica| (*replica.record).clone()).collect();
        // A replica that was removed and added again within one answer of the store is not leaving.
        let leaving = replicas.leaving_of(&change.leaving);
        // Sent without any change as well, so that no node considers the new revision a missed update.
        if at > before && before > 0 {
            let part = Part::default();
            self.batch(placing, fleet, ReplicaUpdate { before, at, added, leaving, part });
        } else if before > 0 && !(added.is_empty() && leaving.is_empty()) {
            info!(event = "news_kept", added = added.len(), leaving = leaving.len(), at, before; "changes from the store are not newer than the known revision, and are not forwarded");
        }
    }

    /// Detects that the store was restored from a copy. Replicas that the copy lacks are not gone: they
    /// write their entries again.
    fn check_era(&mut self, at: Revision) {
        let before = self.progress.at();
        if before > 0 && revision::era(at) > revision::era(before) {
            info!(event = "store_copy", era = revision::era(at), revision = revision::number(at); "the store was restored from a copy, which may lack replicas");
            self.outages.on_store_restored(self.shared.now());
        }
    }

    /// Polls the health of replicas whose entries are missing, unless these are many: one that leaves says so.
    fn poll_missing(&mut self, placing: &Placing) {
        let missing: Vec<&UpstreamId> = placing.state.replicas.missing().collect();
        if missing.is_empty() {
            return;
        }
        info!(event = "replicas_missing", replicas = missing.len(); "replicas are not listed, perhaps because the store was unavailable");
        if missing.len() <= MAX_POLLED_MISSING {
            let now = self.shared.now();
            for id in missing {
                self.health_poller.poll(placing.state.health_check_target(id), now);
            }
        }
    }

    fn on_changes(&mut self, placing: &mut Placing, changes: Changes<ReplicaRecord>) -> ListChange {
        let (known, now) = (self.progress.at(), self.shared.now());
        let mut change = ListChange::default();
        for event in changes.events {
            match event {
                Change::Put(record) => {
                    placing.state.replicas.on_store_entry(record, changes.at, known, now, &mut change)
                }
                // An entry that can no longer be parsed names no usable replica.
                Change::Gone(id) | Change::Unreadable(id) => {
                    self.on_removed(placing, &id, changes.at, &mut change)
                }
            }
        }
        change
    }

    /// A replica's entry was removed by the store's revision `at`.
    fn on_removed(&mut self, placing: &mut Placing, id: &str, at: Revision, change: &mut ListChange) {
        let now = self.shared.now();
        let missing_since = self.outages.missing_since(now);
        if placing.state.replicas.on_store_removal(id, at, missing_since, now, change) {
            info!(event = "replica_missing", upstream = id; "a replica is no longer listed, perhaps because the store was unavailable");
            self.health_poller.poll(placing.state.health_check_target(id), now);
        }
    }

    /// Sends an update to other nodes, batched with those that follow soon.
    fn batch(&mut self, placing: &Placing, fleet: &Fleet, update: ReplicaUpdate) {
        match self.batcher.add(update, self.shared.now()) {
            Some(Duration::ZERO) => self.send_updates(placing, fleet),
            Some(pause) => self.shared.notify_after(pause, ToControl::SendReplicaUpdates),
            None => {}
        }
    }

    /// Sends the batched updates to other nodes.
    pub fn send_updates(&mut self, placing: &Placing, fleet: &Fleet) {
        let replicas = placing.state.replicas.len();
        let Some(update) = self.batcher.take(replicas, self.shared.now()) else {
            return;
        };
        let (added, leaving, at) = (update.added.len(), update.leaving.len(), update.at);
        let Some(parts) = update.into_parts(replicas) else {
            info!(event = "news_not_told", added, leaving, at; "too many changes to send to other nodes, which fetch them instead");
            return;
        };
        let is_idle = self.pending_parts.is_empty();
        self.pending_parts.extend(parts);
        if is_idle {
            self.send_next_part(fleet);
        }
    }

    /// Sends the next part, and schedules the one after it for when the link has carried this one.
    pub fn send_next_part(&mut self, fleet: &Fleet) {
        let Some(part) = self.pending_parts.pop_front() else {
            return;
        };
        self.send_update(fleet, &part);
        if !self.pending_parts.is_empty() {
            let link = self.shared.settings.link_bits_per_second() * LINK_SHARE;
            self.shared
                .notify_after(Duration::from_secs_f64(PART_BITS / link), ToControl::SendNextUpdatePart);
        }
    }

    fn send_update(&self, fleet: &Fleet, update: &ReplicaUpdate) {
        match update.pack() {
            Ok(packed) => fleet.notify(&PeerMessage::Replicas(packed)),
            Err(err) => {
                warn!(event = "replicas_unwritable", reason:% = err; "cannot pack an update of the replicas")
            }
        }
    }

    /// Another node sent an update. It is forwarded if it is new to this node.
    pub fn on_peer_update(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        from: SocketAddr,
        packed: PackedUpdate,
    ) {
        let is_sign = packed.at == 0;
        if !is_sign && self.progress.has(&packed) {
            return;
        }
        let update = match packed.unpack() {
            Ok(update) => update,
            Err(err) => {
                info!(event = "news_unreadable", from:% = from, reason:% = err; "cannot unpack an update from another node");
                return;
            }
        };
        let change = placing.state.replicas.on_peer_update(&update, self.shared.now());
        let has_changes = !change.added.is_empty() || !change.leaving.is_empty();
        if !is_sign && self.progress.on_part(&update) {
            // An earlier update or another part is still missing.
            self.compare(placing, fleet, from, update.at);
        }
        self.after_update(placing, &change, update.known_at());
        if self.relay.should_forward(&update, has_changes) {
            fleet.forward(&PeerMessage::Replicas(packed));
        }
    }

    /// Another node knows the replicas up to `peer_revision`. Fetches the missing changes from it, unless
    /// they arrive on their own before.
    pub fn compare(&mut self, placing: &Placing, fleet: &Fleet, from: SocketAddr, peer_revision: Revision) {
        let own = self.progress.at();
        self.newest_elsewhere = self.newest_elsewhere.max(peer_revision);
        if peer_revision <= own {
            return;
        }
        let source = match (fleet.has_enough_in_hall(), fleet.is_near(from)) {
            (true, true) => Source::Near,
            (true, false) => Source::Far,
            (false, _) => Source::Any,
        };
        let replicas = placing.state.replicas.len();
        let Some(pause) =
            self.catch_up.on_peer_revision(peer_revision, own, source, replicas, self.shared.now())
        else {
            return;
        };
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            if shared.replicas_at() < peer_revision {
                let known = shared.replicas_at();
                fetching::fetch_replicas(shared, from, known).await;
            } else {
                shared.notify(ToControl::Fetched(from, Fetched::Replicas(FetchedReplicas::Nothing)));
            }
        });
    }

    /// A query of another node for its replicas ended.
    pub fn on_fetched(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        from: SocketAddr,
        fetched: FetchedReplicas,
    ) {
        self.catch_up.on_answer();
        let (list, packed) = match fetched {
            FetchedReplicas::List(list, packed) if list.at > self.progress.at() => (list, packed),
            FetchedReplicas::Busy(after) => {
                return self.catch_up.on_busy(after, self.progress.at(), self.shared.now());
            }
            FetchedReplicas::List(..) | FetchedReplicas::Nothing => return,
        };
        let is_first = !self.is_known();
        info!(event = "replicas_fetched", from:% = from, whole = list.is_whole, staying = list.staying.len(), leaving = list.leaving.len(), at = list.at, before = self.progress.at(); "another node handed its replicas over");
        let at = list.at;
        let change = placing.state.replicas.on_peer_list(list, self.shared.now());
        self.progress.on_known(at);
        self.after_update(placing, &change, at);
        if is_first {
            // The list is served to other nodes as it was received, unless something newer was known.
            self.packed = (change.outdated == 0).then_some((at, packed));
            fleet.announce_replicas();
        }
    }

    /// Applies the consequences of any update; `at` is the revision up to which its sender knew the replicas, 0
    /// for a sign that this node saw itself.
    fn after_update(&mut self, placing: &mut Placing, change: &ListChange, at: Revision) {
        self.last_update = self.shared.now();
        self.on_list_change(placing, change, at);
        if self.shared.replicas_at() < self.progress.at() {
            self.catch_up.on_update();
            self.shared.set_replicas_at(self.progress.at());
        }
    }

    /// Records and logs changes, and evacuates replicas that leave. A change from an update that is not
    /// complete yet is recorded under that update's later revision, so that nodes that fetch from this one
    /// afterwards get it.
    fn on_list_change(&mut self, placing: &mut Placing, change: &ListChange, at: Revision) {
        if change.outdated + change.early > 0 {
            info!(event = "replica_news_early_or_old", outdated = change.outdated, early = change.early, at, known = self.progress.at(); "entries or signs are older than what is known of their replicas, or replicas leave that are not known");
            self.shared.metrics.on_outdated_replica_news(change.outdated);
        }
        if *change != ListChange::default() {
            // A sign has no revision of its own by which the packed list would be found to be old.
            self.packed = None;
        }
        placing.state.replicas.set_changed_at(change, at.max(self.progress.at()));
        self.log_added(placing, change);
        // Replicas that are known to this node from its start on have not just started themselves.
        if self.shared.replicas_at() > 0 {
            placing.on_started(&change.started);
        }
        for id in &change.restarted {
            placing.on_restarted(id);
        }
        for id in &change.leaving {
            if let Some(sign) = placing.state.replicas.get(id).and_then(|r| r.leaving) {
                self.evacuate(placing, id, sign);
            }
        }
    }

    fn log_added(&self, placing: &Placing, change: &ListChange) {
        if change.added.len() > MAX_LOGGED_INDIVIDUALLY {
            info!(event = "replicas_listed", replicas = change.added.len(), at = self.progress.at(); "many replicas are listed");
            return;
        }
        for id in &change.added {
            if let Some(replica) = placing.state.replicas.get(id) {
                info!(event = "replica_listed", upstream = &**id, service = &*replica.record.service, hall = &*replica.record.hall, address:% = replica.record.address; "replica is listed");
            }
        }
    }

    /// A replica leaves: orders its streams to move.
    fn evacuate(&self, placing: &Placing, id: &UpstreamId, sign: LeavingSign) {
        let streams = if self.shared.settings.policy.evacuate { placing.streams_at(id) } else { Vec::new() };
        info!(event = "replica_leaves", upstream = &**id, sign:% = sign, streams = streams.len(); "replica leaves");
        for stream in streams {
            // The stream may have just ended.
            let _ = stream.commands.send(StreamCommand::Evacuate(id.clone()));
        }
    }
}
