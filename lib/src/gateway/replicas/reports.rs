//! What the store and other nodes report of replicas, in any order.
//!
//! Each report was read at a revision of the store, and one that is older than a known change of its replica has
//! no effect.

use std::collections::HashSet;
use std::time::Duration;

use crate::gateway::replica::LeavingSign;
use crate::gateway::replica::Replica;
use crate::gateway::replica_list::AtRevision;
use crate::gateway::replica_list::ReplicaList;
use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::ReplicaRecord;
use crate::gateway::replica_updates::ReplicaUpdate;
use crate::gateway::replicas::ListChange;
use crate::gateway::replicas::ReplicaTable;
use crate::gateway::revision::Revision;
#[cfg(doc)]
use crate::gateway::store_outages::RELIST_GRACE;
use crate::ids::Timestamp;
use crate::ids::UpstreamId;

impl ReplicaTable {
    /// Whether a change of a replica is known that is newer than what was read of it at the store's revision
    /// `at`; false if that revision is 0, for unknown.
    fn is_outdated(&self, incarnation: &Incarnation, at: Revision) -> bool {
        let known = match self.get(&incarnation.id) {
            Some(replica) if replica.is_restarted_by(incarnation) => None,
            Some(replica) => Some(replica.known_at),
            None => self.early_departures.revision_of(incarnation),
        };
        at > 0 && known.is_some_and(|known| known > at)
    }

    /// Whether a replica that is not in the table is known to leave.
    pub fn has_left_early(&self, incarnation: &Incarnation) -> bool {
        self.get(&incarnation.id).is_none() && self.early_departures.revision_of(incarnation).is_some()
    }

    /// A replica's entry changed or appeared by the store's revision `at`, as seen by a node that follows the
    /// store and knows the replicas up to `known`. A replica that is not known at a later revision is gone.
    pub fn on_store_entry(
        &mut self,
        record: ReplicaRecord,
        at: Revision,
        known: Revision,
        now: Timestamp,
        change: &mut ListChange,
    ) {
        if at < self.listed_at || (at < known && self.get(&record.id).is_none()) {
            change.outdated += 1;
        } else {
            self.on_entry_at(record, at, now, change);
        }
    }

    /// A replica's entry was read at the store's revision `at`.
    fn on_entry_at(&mut self, record: ReplicaRecord, at: Revision, now: Timestamp, change: &mut ListChange) {
        if self.is_outdated(&record.incarnation(), at) {
            change.outdated += 1;
        } else {
            self.on_entry(record, now, change);
        }
    }

    /// A replica's entry was removed by the store's revision `at`, as seen by a node that follows the store. If
    /// the entry may only have expired, it counts as missing since `missing_since`. Returns whether it does.
    pub fn on_store_removal(
        &mut self,
        id: &str,
        at: Revision,
        missing_since: Option<Timestamp>,
        now: Timestamp,
        change: &mut ListChange,
    ) -> bool {
        if at < self.listed_at || self.is_outdated(&Incarnation { id: id.into(), born: 0 }, at) {
            change.outdated += 1;
            return false;
        }
        self.on_absent(id, at, missing_since, now, change);
        missing_since.is_some()
    }

    /// A replica has no entry at the store's revision `at`. If the entry may only have expired, it counts as missing
    /// since `missing_since`.
    fn on_absent(
        &mut self,
        id: &str,
        at: Revision,
        missing_since: Option<Timestamp>,
        now: Timestamp,
        change: &mut ListChange,
    ) {
        match missing_since {
            Some(since) => {
                self.on_missing(id, since);
                self.confirm(id, at);
            }
            None => self.on_unlisted(id, now, change),
        }
    }

    /// A whole list was read that is newer than all that is known. Replicas that it lacks are gone at once, or
    /// [`RELIST_GRACE`] after `missing_since` if their entries may have expired because the store was unavailable.
    pub fn on_list(
        &mut self,
        records: Vec<ReplicaRecord>,
        missing_since: Option<Timestamp>,
        now: Timestamp,
    ) -> ListChange {
        self.on_list_at(records, 0, missing_since, now)
    }

    /// A whole list was read at the store's revision `at`, with the consequences of [`Self::on_list`] for
    /// replicas of which nothing newer is known; 0 if it is newer than all that is known.
    fn on_list_at(
        &mut self,
        records: Vec<ReplicaRecord>,
        at: Revision,
        missing_since: Option<Timestamp>,
        now: Timestamp,
    ) -> ListChange {
        let mut change = ListChange::default();
        let listed: HashSet<UpstreamId> = records.iter().map(|r| r.id.clone()).collect();
        for record in records {
            self.on_entry_at(record, at, now, &mut change);
        }
        let is_missing =
            |replica: &&Replica| !listed.contains(&replica.record.id) && (at == 0 || replica.known_at <= at);
        let mut missing: Vec<UpstreamId> =
            self.iter().filter(is_missing).map(|replica| replica.record.id.clone()).collect();
        missing.sort_unstable();
        missing.iter().for_each(|id| self.on_absent(id, at, missing_since, now, &mut change));
        change
    }

    /// A whole list was read from the store at the revision `at`, by a node that knows the replicas up to
    /// `known`.
    ///
    /// A list that is older than `known` adds no replica: those that it alone has are gone. If the store was
    /// restored from a copy, entries of replicas that ended before the restore are older than that end; they
    /// are ignored and count as missing.
    pub fn on_store_list(
        &mut self,
        mut records: Vec<ReplicaRecord>,
        at: Revision,
        known: Revision,
        missing_since: Option<Timestamp>,
        now: Timestamp,
    ) -> ListChange {
        let listed = records.len();
        if at < self.listed_at {
            return ListChange { outdated: listed, ..ListChange::default() };
        }
        self.listed_at = at;
        records.retain(|record| match self.get(&record.id) {
            Some(known) => record.born > known.record.born || !known.ended_before_copy(at),
            None => at >= known && !self.early_departures.is_before_copy(&record.incarnation(), at),
        });
        let ignored = listed - records.len();
        let mut change = self.on_list_at(records, at, missing_since, now);
        change.outdated += ignored;
        change
    }

    /// The known state of a replica is that of the store's revision `at`, at least.
    fn confirm(&mut self, id: &str, at: Revision) {
        self.update(id, |replica| replica.known_at = replica.known_at.max(at));
    }

    /// As [`Self::confirm`], unless a later incarnation is known.
    fn confirm_incarnation(&mut self, incarnation: &Incarnation, at: Revision) {
        if self.get(&incarnation.id).is_some_and(|replica| replica.is_covered_by(incarnation)) {
            self.confirm(&incarnation.id, at);
        }
    }

    /// The latest revision at which the state of any of these replicas is known.
    pub fn known_at(&self, replicas: &[Incarnation]) -> Revision {
        let known = replicas.iter().filter_map(|incarnation| self.get(&incarnation.id));
        known.map(|replica| replica.known_at).max().unwrap_or(0)
    }

    /// Records the revision of the store at which a change became known.
    pub fn set_changed_at(&mut self, change: &ListChange, at: Revision) {
        for id in change.added.iter().chain(&change.leaving) {
            self.update(id, |replica| {
                replica.changed_at = replica.changed_at.max(at);
                replica.known_at = replica.known_at.max(at);
            });
        }
    }

    /// Another node sent its list, whole or only the changes.
    pub fn on_peer_list(&mut self, list: ReplicaList, now: Timestamp) -> ListChange {
        let at = list.at;
        let staying = list.staying.into_iter();
        let (confirmed, records): (Vec<(UpstreamId, Revision)>, Vec<ReplicaRecord>) = staying
            .map(|AtRevision { at, item }| ((item.id.clone(), at), self.without_stale_cold(item)))
            .unzip();
        let mut change = if list.is_whole {
            self.on_list_at(records, at, Some(now), now)
        } else {
            let mut change = ListChange::default();
            records.into_iter().for_each(|record| self.on_entry_at(record, at, now, &mut change));
            change
        };
        // A removal that precedes the other node's last change of a replica may arrive later.
        confirmed.iter().for_each(|(id, changed_at)| self.confirm(id, *changed_at));
        for AtRevision { at: changed_at, item } in list.leaving {
            self.on_peer_sign(&item, at, now, &mut change);
            self.confirm_incarnation(&item, changed_at);
        }
        change
    }

    /// Another node sent an update.
    pub fn on_peer_update(&mut self, update: &ReplicaUpdate, now: Timestamp) -> ListChange {
        let at = update.known_at();
        let mut change = ListChange::default();
        for record in &update.added {
            // A replica that is considered leaving may stay after all; another may have restarted, or be cold.
            let is_new = |known: &Replica| {
                known.leaving.is_some() || known.is_missing() || known.record.born < record.born
            };
            let is_change = !record.cold.is_zero() || self.get(&record.id).is_none_or(is_new);
            if self.is_outdated(&record.incarnation(), at) {
                change.outdated += 1;
                continue;
            }
            if is_change {
                self.on_entry(record.clone(), now, &mut change);
            }
            // An update that precedes this one may arrive later.
            self.confirm(&record.id, at);
        }
        for incarnation in &update.leaving {
            self.on_peer_sign(incarnation, at, now, &mut change);
            self.confirm_incarnation(incarnation, at);
        }
        change
    }

    /// Another node that knows the replicas up to the store's revision `at` reported that one is leaving.
    fn on_peer_sign(
        &mut self,
        incarnation: &Incarnation,
        at: Revision,
        now: Timestamp,
        change: &mut ListChange,
    ) {
        if self.is_outdated(incarnation, at) {
            change.outdated += 1;
        } else if self.get(&incarnation.id).is_none() {
            change.early += usize::from(self.early_departures.on_leaving(incarnation, at, now));
        } else if self.on_sign(incarnation, LeavingSign::ReportedByPeer, now) {
            change.leaving.push(incarnation.id.clone());
        }
    }

    /// A record from another node, without the remaining cold time if the replica is known. That time was
    /// valid when the other node read it; the replica would count as cold anew, and as changed for the next
    /// node that fetches the list.
    fn without_stale_cold(&self, record: ReplicaRecord) -> ReplicaRecord {
        let is_known = self.get(&record.id).is_some_and(|replica| replica.record.born >= record.born);
        let cold = if is_known { Duration::ZERO } else { record.cold };
        ReplicaRecord { cold, ..record }
    }
}
