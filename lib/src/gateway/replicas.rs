//! The state of all replicas, as known to a node.
//!
//! The cost of handling one request or one change does not depend on the number of replicas: replicas are
//! indexed by id and address, staying replicas by service and hall, changes by revision, and pending deadlines
//! by time.

mod reports;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;

use crate::gateway::early_departures::EarlyDepartures;
use crate::gateway::policy::Policy;
use crate::gateway::replica::LeavingSign;
use crate::gateway::replica::Replica;
use crate::gateway::replica_list::AtRevision;
use crate::gateway::replica_list::ReplicaList;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::ReplicaRecord;
use crate::gateway::revision::Revision;
use crate::gateway::routing::ServiceId;
use crate::gateway::service_index::ServiceIndex;
use crate::gateway::service_index::Slot;
use crate::gateway::store_outages::RELIST_GRACE;
use crate::ids::HallId;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

/// The changes that a new list or entry brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChange {
    /// Replicas that are now considered to be leaving.
    pub leaving: Vec<UpstreamId>,
    /// Replicas that appeared or are no longer leaving.
    pub added: Vec<UpstreamId>,
    /// The replicas among `added` that were not known, that restarted, or that are cold again.
    pub started: Vec<UpstreamId>,
    /// The replicas among `added` that restarted under the same id: none of their earlier state applies.
    pub restarted: Vec<UpstreamId>,
    /// The number of entries and signs that were ignored, as newer ones are known.
    pub outdated: usize,
    /// The number of replicas that leave and are not known.
    pub early: usize,
}

/// All replicas that this node knows.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    policy: Policy,
    slots: Vec<Option<Replica>>,
    free_slots: Vec<Slot>,
    by_id: HashMap<UpstreamId, Slot>,
    /// Replicas by address, which a new one may reuse while its predecessor is still known.
    by_address: BTreeSet<(SocketAddr, Slot)>,
    /// Staying replicas by service.
    staying: HashMap<ServiceId, ServiceIndex>,
    /// Replicas with a change that other nodes need to learn, by the store's revision.
    changed: BTreeSet<(Revision, UpstreamId)>,
    /// Replicas whose entries are missing, with the time since when.
    missing: BTreeMap<UpstreamId, Timestamp>,
    /// Replicas to forget, by the time at which they will have ended.
    ending: BTreeSet<(Timestamp, UpstreamId)>,
    /// Replicas that leave and are not in the table.
    early_departures: EarlyDepartures,
    /// The revision of the newest list that was read from the store.
    listed_at: Revision,
    /// The revision of the newest change of any forgotten replica.
    forgotten_up_to: Revision,
    /// Interned names that many replicas share.
    names: HashSet<Arc<str>>,
    /// Incremented with each change of the set of staying replicas.
    version: u64,
}

/// The properties of a replica that the table's indices depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
struct IndexKeys {
    address: SocketAddr,
    /// Its service and hall, if it stays.
    stays: Option<(ServiceId, HallId)>,
    ends_by: Option<Timestamp>,
    missing_since: Option<Timestamp>,
    changed_at: Option<Revision>,
}

impl IndexKeys {
    fn of(replica: &Replica) -> Self {
        let stays = replica.leaving.is_none();
        IndexKeys {
            address: replica.record.address,
            stays: stays.then(|| (replica.record.service.clone(), replica.record.hall.clone())),
            ends_by: replica.ends_by,
            missing_since: replica.missing_since,
            changed_at: Some(replica.changed_at).filter(|at| *at > 0),
        }
    }
}

impl ReplicaTable {
    /// Creates an empty table.
    pub fn new(policy: Policy) -> Self {
        ReplicaTable { policy, ..ReplicaTable::default() }
    }

    fn slot(&self, slot: Slot) -> Option<&Replica> {
        self.slots.get(slot as usize)?.as_ref()
    }

    fn insert(&mut self, replica: Replica) {
        let slot = self.free_slots.pop().unwrap_or(self.slots.len() as Slot);
        let id = replica.record.id.clone();
        self.early_departures.on_known(&id);
        self.index(&id, slot, None, Some(&IndexKeys::of(&replica)));
        self.by_id.insert(id, slot);
        match self.slots.get_mut(slot as usize) {
            Some(entry) => *entry = Some(replica),
            None => self.slots.push(Some(replica)),
        }
    }

    /// Changes a replica, if it is known, and updates the indices.
    fn update<T>(&mut self, id: &str, change: impl FnOnce(&mut Replica) -> T) -> Option<T> {
        let slot = *self.by_id.get(id)?;
        let replica = self.slots.get_mut(slot as usize)?.as_mut()?;
        let before = IndexKeys::of(replica);
        let result = change(replica);
        let after = IndexKeys::of(replica);
        if before != after {
            let id = replica.record.id.clone();
            self.index(&id, slot, Some(&before), Some(&after));
        }
        Some(result)
    }

    fn forget(&mut self, id: &UpstreamId) {
        let Some(slot) = self.by_id.remove(id) else {
            return;
        };
        if let Some(replica) = self.slots[slot as usize].take() {
            self.forgotten_up_to = replica.changed_at.max(self.forgotten_up_to);
            self.index(id, slot, Some(&IndexKeys::of(&replica)), None);
        }
        self.free_slots.push(slot);
    }

    /// Updates the indices from a replica's state `before` to its state `after`.
    fn index(&mut self, id: &UpstreamId, slot: Slot, before: Option<&IndexKeys>, after: Option<&IndexKeys>) {
        let staying_before = before.and_then(|before| before.stays.as_ref());
        let staying_after = after.and_then(|after| after.stays.as_ref());
        if staying_before != staying_after {
            self.version += 1;
            if let Some((service, hall)) = staying_before
                && let Some(index) = self.staying.get_mut(service)
            {
                index.remove(hall, slot);
            }
            if let Some((service, hall)) = staying_after {
                self.staying.entry(service.clone()).or_default().insert(hall, slot);
            }
        }
        if let Some(before) = before {
            self.by_address.remove(&(before.address, slot));
        }
        if let Some(after) = after {
            self.by_address.insert((after.address, slot));
        }
        if let Some(by) = before.and_then(|before| before.ends_by) {
            self.ending.remove(&(by, id.clone()));
        }
        if let Some(by) = after.and_then(|after| after.ends_by) {
            self.ending.insert((by, id.clone()));
        }
        let (missing_before, missing_after) =
            (before.and_then(|b| b.missing_since), after.and_then(|a| a.missing_since));
        if missing_before != missing_after {
            match missing_after {
                Some(since) => self.missing.insert(id.clone(), since),
                None => self.missing.remove(id),
            };
        }
        let (changed_before, changed_after) =
            (before.and_then(|b| b.changed_at), after.and_then(|a| a.changed_at));
        if changed_before != changed_after {
            changed_before.map(|at| self.changed.remove(&(at, id.clone())));
            changed_after.map(|at| self.changed.insert((at, id.clone())));
        }
    }

    fn intern(&mut self, name: &Arc<str>) -> Arc<str> {
        if let Some(known) = self.names.get(name) {
            return known.clone();
        }
        self.names.insert(name.clone());
        name.clone()
    }

    /// Returns the record with its shared names interned.
    fn with_interned_names(&mut self, record: ReplicaRecord) -> ReplicaRecord {
        ReplicaRecord {
            service: self.intern(&record.service),
            hall: self.intern(&record.hall),
            version: self.intern(&record.version),
            ..record
        }
    }

    /// A replica's entry changed or appeared. An entry of an earlier incarnation than the known one is
    /// ignored.
    pub fn on_entry(&mut self, record: ReplicaRecord, now: Timestamp, change: &mut ListChange) {
        let mut record = self.with_interned_names(record);
        let id = record.id.clone();
        let Some(replica) = self.get(&id) else {
            if record.leaving {
                change.leaving.push(id.clone());
            }
            change.added.push(id.clone());
            change.started.push(id);
            self.insert(Replica::new(record, now));
            return;
        };
        let known = replica.record.born;
        if record.born == 0 {
            record.born = known;
        }
        if record.born < known {
            return;
        }
        if known > 0 && record.born > known {
            if record.leaving {
                change.leaving.push(id.clone());
            }
            change.added.push(id.clone());
            change.started.push(id.clone());
            change.restarted.push(id.clone());
            self.update(&id, |replica| {
                let (changed_at, known_at) = (replica.changed_at, replica.known_at);
                *replica = Replica::new(record, now);
                (replica.changed_at, replica.known_at) = (changed_at, known_at);
            });
            return;
        }
        self.update(&id, |replica| {
            // Other nodes may have missed the entry too, and may no longer follow the store.
            let is_back = replica.missing_since.take().is_some() && replica.leaving.is_none();
            // A replica may turn cold again at any time; other nodes need to learn of it.
            let is_cold_again = !record.cold.is_zero() && replica.warm_at < now;
            if is_back || is_cold_again {
                change.added.push(id.clone());
            }
            if is_cold_again {
                change.started.push(id.clone());
            }
            replica.on_cold(record.cold, now);
            if record.leaving && replica.on_sign(LeavingSign::Listed, now) {
                change.leaving.push(id.clone());
            } else if !record.leaving && replica.leaving.is_some_and(LeavingSign::is_revocable) {
                replica.cancel_leaving();
                change.added.push(id.clone());
            }
            replica.record = Arc::new(record);
        });
    }

    /// A replica's entry was removed while the list was followed without interruption.
    pub fn on_unlisted(&mut self, id: &str, now: Timestamp, change: &mut ListChange) {
        self.on_entry_gone(id, LeavingSign::Unlisted, now, change);
    }

    fn on_entry_gone(&mut self, id: &str, sign: LeavingSign, now: Timestamp, change: &mut ListChange) {
        let is_new = self.update(id, |replica| {
            let is_new = replica.on_sign(sign, now);
            replica.on_entry_gone(now);
            is_new.then(|| replica.record.id.clone())
        });
        change.leaving.extend(is_new.flatten());
    }

    /// A replica's entry disappeared, perhaps only because the store was unavailable: the replica is
    /// considered gone if the entry is not back [`RELIST_GRACE`] after `since`.
    pub fn on_missing(&mut self, id: &str, since: Timestamp) {
        self.update(id, |replica| {
            replica.missing_since.get_or_insert(since);
        });
    }

    /// This node no longer follows the store; the nodes that do report entries that stay missing.
    pub fn forget_missing(&mut self) {
        let missing: Vec<UpstreamId> = self.missing().cloned().collect();
        for id in missing {
            self.update(&id, |replica| replica.missing_since = None);
        }
    }

    /// The replicas whose entries are missing.
    pub fn missing(&self) -> impl Iterator<Item = &UpstreamId> {
        self.missing.keys()
    }

    /// Treats the replicas as gone whose entries are missing: none of them has only expired.
    pub fn end_missing(&mut self, now: Timestamp) -> ListChange {
        let mut change = ListChange::default();
        let missing: Vec<UpstreamId> = self.missing().cloned().collect();
        missing.iter().for_each(|id| self.on_unlisted(id, now, &mut change));
        change
    }

    /// Treats replicas as gone whose entries stayed missing, and forgets replicas that left long ago.
    pub fn tick(&mut self, now: Timestamp, forget_after: Duration) -> ListChange {
        let mut change = ListChange::default();
        let overdue = self.missing.iter().filter(|(_, since)| now > **since + RELIST_GRACE);
        let overdue: Vec<UpstreamId> = overdue.map(|(id, _)| id.clone()).collect();
        for id in overdue {
            self.on_entry_gone(&id, LeavingSign::Expired, now, &mut change);
        }
        while let Some((by, id)) = self.ending.first().cloned()
            && now > by + forget_after
        {
            self.forget(&id);
        }
        if let Some(at) = self.early_departures.forget(now, forget_after) {
            self.forgotten_up_to = at.max(self.forgotten_up_to);
        }
        change
    }

    /// A replica is cold for this long, because it reported so or because its hall was closed until now.
    pub fn on_cold(&mut self, id: &str, cold: Duration, now: Timestamp) {
        self.update(id, |replica| replica.on_cold(cold, now));
    }

    /// Returns all replicas for another node; they are known up to the revision `at`.
    pub fn list(&self, at: Revision) -> ReplicaList {
        self.build_list(at, 0, true, self.iter())
    }

    /// Returns what a node that knows the replicas up to `known` lacks: the changes since then, or the
    /// whole list if these are no longer known. This node knows the replicas up to `at`.
    pub fn since(&self, at: Revision, known: Revision) -> ReplicaList {
        if known < self.forgotten_up_to {
            return self.list(at);
        }
        if known == 0 {
            return ReplicaList { is_whole: false, ..self.list(at) };
        }
        let first = (known.saturating_add(1), UpstreamId::from(""));
        let changed = self.changed.range(first..).filter_map(|(_, id)| self.get(id));
        self.build_list(at, known, false, changed)
    }

    fn build_list<'a>(
        &'a self,
        at: Revision,
        known: Revision,
        is_whole: bool,
        replicas: impl Iterator<Item = &'a Replica>,
    ) -> ReplicaList {
        let forgotten_up_to = self.forgotten_up_to;
        let leaving = self.early_departures.since(known).collect();
        let mut list = ReplicaList { at, forgotten_up_to, is_whole, leaving, staying: Vec::new() };
        for replica in replicas {
            let changed_at = replica.changed_at;
            if replica.leaving.is_some() {
                list.leaving.push(AtRevision { at: changed_at, item: replica.record.incarnation() });
            } else {
                list.staying.push(AtRevision { at: changed_at, item: (*replica.record).clone() });
            }
        }
        list
    }

    /// A sign that a replica is leaving was seen; one of an earlier incarnation than the known one is
    /// ignored. Returns whether the sign was recorded.
    pub fn on_sign(&mut self, incarnation: &Incarnation, sign: LeavingSign, now: Timestamp) -> bool {
        let is_new = self.update(&incarnation.id, |r| r.is_covered_by(incarnation) && r.on_sign(sign, now));
        is_new.unwrap_or(false)
    }

    /// Returns the incarnations of those replicas among `ids` that are known to be leaving.
    pub fn leaving_of(&self, ids: &[UpstreamId]) -> Vec<Incarnation> {
        let replicas = ids.iter().filter_map(|id| self.get(id));
        replicas.filter(|replica| replica.leaving.is_some()).map(|r| r.record.incarnation()).collect()
    }

    /// A request of another node or a health check failed at an incarnation of a replica; it is ignored if
    /// the known incarnation is a later one.
    pub fn on_incarnation_failure(&mut self, incarnation: &Incarnation, now: Timestamp) {
        if self.get(&incarnation.id).is_some_and(|replica| replica.is_covered_by(incarnation)) {
            self.on_failure(&incarnation.id, now);
        }
    }

    /// A request failed there because of the replica.
    pub fn on_failure(&mut self, id: &str, now: Timestamp) {
        let backs_off = self.policy.rest_after_failures;
        self.update(id, |replica| replica.on_failure(backs_off, now));
    }

    /// Forgets the failures of the replicas of a service: they were not the replicas' own.
    pub fn forget_failures(&mut self, service: &str) {
        let ids: Vec<UpstreamId> = self.staying(service).map(|replica| replica.record.id.clone()).collect();
        for id in ids {
            self.update(&id, Replica::forget_failures);
        }
    }

    /// Forgets the failures of a replica: it answers again.
    pub fn on_recovered(&mut self, id: &str) {
        self.update(id, Replica::forget_failures);
    }

    /// Forgets the errors of a replica, as its pace takes account of them.
    pub fn forget_errors(&mut self, id: &str) {
        self.update(id, Replica::forget_errors);
    }

    /// A replica answered a request; `is_error` is set if the answer is an error of the replica's own.
    pub fn on_answer(&mut self, id: &str, is_error: bool, now: Timestamp) {
        self.update(id, |replica| replica.on_answer(is_error, now));
    }

    /// Returns a replica.
    pub fn get(&self, id: &str) -> Option<&Replica> {
        self.slot(*self.by_id.get(id)?)
    }

    /// The replicas of a service that are not known to be leaving, in no order.
    pub fn staying<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Replica> + use<'a> {
        let index = self.staying.get(service);
        index.into_iter().flat_map(ServiceIndex::iter).filter_map(|slot| self.slot(slot))
    }

    /// All replicas of a service including leaving ones, sorted by id. Scans the replicas of all services.
    pub fn of_service(&self, service: &str) -> Vec<&Replica> {
        let mut replicas: Vec<&Replica> =
            self.iter().filter(|replica| *replica.record.service == *service).collect();
        replicas.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        replicas
    }

    /// The number of staying replicas of a service in each hall.
    pub fn staying_by_hall<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (&'a HallId, usize)> + use<'a> {
        self.staying.get(service).into_iter().flat_map(ServiceIndex::halls)
    }

    /// Returns up to `max_count` staying replicas of a service, picked at random among those that `accepts`
    /// returns true for: half of them from `hall`, if it has so many, and the others from other halls. If
    /// there are more than that, only few are inspected; if few are accepted, all are.
    pub fn sample<'a, R: Rng>(
        &'a self,
        service: &str,
        hall: &str,
        max_count: usize,
        rng: &mut R,
        mut accepts: impl FnMut(&'a Replica) -> bool,
    ) -> Vec<&'a Replica> {
        let Some(index) = self.staying.get(service) else {
            return Vec::new();
        };
        // Two random number generators, as both orders are generated alternately.
        let mut far_rng = rand::rngs::SmallRng::from_rng(rng);
        let mut near_slots = index.shuffled_in(hall, rng);
        let mut far_slots = index.shuffled_outside(hall, &mut far_rng);
        let mut sample = Vec::new();
        self.fill(&mut sample, &mut near_slots, max_count / 2, &mut accepts);
        self.fill(&mut sample, &mut far_slots, max_count, &mut accepts);
        self.fill(&mut sample, &mut near_slots, max_count, &mut accepts);
        sample
    }

    /// Adds accepted replicas from `slots` until the sample has `up_to` entries.
    fn fill<'a>(
        &'a self,
        sample: &mut Vec<&'a Replica>,
        slots: &mut impl Iterator<Item = Slot>,
        up_to: usize,
        accepts: &mut impl FnMut(&'a Replica) -> bool,
    ) {
        while sample.len() < up_to
            && let Some(slot) = slots.next()
        {
            sample.extend(self.slot(slot).filter(|replica| accepts(replica)));
        }
    }

    /// The replicas at an address: the present one and predecessors that have not been forgotten yet.
    pub fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Replica> {
        let slots = self.by_address.range((address, Slot::MIN)..=(address, Slot::MAX));
        slots.filter_map(|(_, slot)| self.slot(*slot))
    }

    /// The number of known replicas.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// All replicas, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.slots.iter().flatten()
    }

    /// A counter that is incremented with each change of the set of staying replicas.
    pub fn version(&self) -> u64 {
        self.version
    }
}
