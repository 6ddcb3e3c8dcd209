//! Receives reports of suspects, under which replicas ended, from this node's own runs, from other nodes and
//! from the store. New reports are sent to other nodes and, where they must be kept, written to the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::crash_ledger::MAX_SUSPECTS_PER_MESSAGE;
use leadstage_lib::gateway::digest::FullSyncLimiter;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::pending_ends::CheckResult;
use leadstage_lib::gateway::pending_ends::PendingEnds;
use leadstage_lib::gateway::quarantine::CrashTable;
use leadstage_lib::gateway::quarantine::Quarantine;
use leadstage_lib::gateway::rebroadcast::Rebroadcast;
use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::stored_suspects::StoreRole;
use leadstage_lib::gateway::stored_suspects::StoredSuspects;
use leadstage_lib::gateway::suspect::Suspect;
use leadstage_lib::gateway::suspect::SuspectName;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::health;
use leadstage_platform::health::Health;
use leadstage_platform::store::Change;
use log::info;
use log::warn;

use crate::gateway::control::placing::Placing;
use crate::gateway::control::suspect_store;
use crate::gateway::messages::BrokenRun;
use crate::gateway::messages::StoreUpdate;
use crate::gateway::messages::StoredSuspect;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::replica_dialer::ReplicaDialer;
use crate::gateway::shared::Shared;
use crate::shared::unix_millis;

/// Time limit for the health check of a replica at which a run broke.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// How much later than a replica's end the notice that it leaves may arrive: through another node, or after
/// an interruption in following the store. A replica that ends unplanned is removed from the list only
/// after three missed heartbeats, about 3 s later.
const MAX_LEAVING_NOTICE_DELAY: Duration = Duration::from_secs(1);
/// Time between two passes that forget ends that no longer count.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Receives reports of suspects, and announces them to other nodes.
pub struct CrashIntake {
    shared: Arc<Shared>,
    ledger: CrashLedger,
    pending: PendingEnds,
    stored: StoredSuspects,
    rebroadcast: Rebroadcast<Fingerprint>,
    full_sync_limiter: FullSyncLimiter,
    last_forget: Timestamp,
}

impl CrashIntake {
    /// Creates the state of a node that has received no report.
    pub fn new(shared: Arc<Shared>) -> Self {
        CrashIntake {
            shared,
            ledger: CrashLedger::default(),
            pending: PendingEnds::default(),
            stored: StoredSuspects::default(),
            rebroadcast: Rebroadcast::default(),
            full_sync_limiter: FullSyncLimiter::default(),
            last_forget: Timestamp::ZERO,
        }
    }

    /// A run of this node broke at its replica.
    pub fn on_break(&mut self, placing: &Placing, run: BrokenRun) {
        let replica = placing.state.replicas.get(&run.replica.id);
        // A leaving replica ends by plan, whatever it runs.
        if replica.is_some_and(|replica| replica.leaving.is_some()) {
            return;
        }
        self.pending.on_break(run.replica, run.suspects, self.shared.now());
        self.check_pending(placing);
    }

    /// Checks replicas at which runs broke, announces recent changes again and starts the writes that are
    /// due.
    pub fn tick(&mut self, placing: &Placing, fleet: &Fleet, is_watcher: bool) {
        self.check_list(placing, fleet);
        self.check_pending(placing);
        let now = self.shared.now();
        if now >= self.last_forget + FORGET_INTERVAL {
            self.last_forget = now;
            if self.ledger.forget(unix_millis()) {
                self.publish();
            }
        }
        self.rebroadcast_due(fleet);
        let role = StoreRole { is_watcher, is_alone: fleet.nodes() == 1 };
        for write in self.stored.due_writes(&self.ledger, role, now, unix_millis()) {
            tokio::task::spawn_local(suspect_store::write(self.shared.clone(), write));
        }
    }

    fn rebroadcast_due(&mut self, fleet: &Fleet) {
        let announced: Vec<Suspect> = self
            .rebroadcast
            .take_due(self.shared.now())
            .iter()
            .filter_map(|fingerprint| self.ledger.get(fingerprint))
            .collect();
        if !announced.is_empty() {
            fleet.forward(&PeerMessage::Suspects(announced));
        }
    }

    fn check_pending(&mut self, placing: &Placing) {
        for incarnation in self.pending.due_checks(self.shared.now()) {
            match placing.state.health_check_target(&incarnation.id) {
                Some((replica, path)) => {
                    tokio::task::spawn_local(check_health(self.shared.clone(), replica, path));
                }
                None => {
                    info!(event = "break_unexplained", upstream = &*incarnation.id; "the replica at which a run broke is unknown")
                }
            }
        }
    }

    /// The health check of a replica at which a run broke ended.
    pub fn on_checked_after_break(
        &mut self,
        placing: &Placing,
        fleet: &Fleet,
        incarnation: &Incarnation,
        result: CheckResult,
    ) {
        self.check_list(placing, fleet);
        info!(event = "asked_after_break", upstream = &*incarnation.id, shown:? = result; "checked the health of a replica at which a run broke");
        let suspects = self.pending.on_check_result(incarnation, result);
        self.on_ended(fleet, incarnation, suspects);
    }

    /// Checks in the list of replicas whether those at which runs broke have ended.
    fn check_list(&mut self, placing: &Placing, fleet: &Fleet) {
        let pending: Vec<(Incarnation, Timestamp)> =
            self.pending.replicas().map(|(replica, since)| (replica.clone(), since)).collect();
        for (incarnation, since) in pending {
            let Some(replica) = placing.state.replicas.get(&incarnation.id) else {
                continue;
            };
            let has_restarted = replica.record.born > incarnation.born && incarnation.born > 0;
            let is_planned = replica.leaving_since < since + MAX_LEAVING_NOTICE_DELAY;
            match replica.leaving {
                _ if has_restarted => self.on_gone(fleet, &incarnation),
                Some(LeavingSign::Listed | LeavingSign::Announced) => self.pending.on_alive(&incarnation),
                Some(_) if is_planned => self.pending.on_alive(&incarnation),
                Some(LeavingSign::Unlisted | LeavingSign::Expired | LeavingSign::Replaced) => {
                    self.on_gone(fleet, &incarnation)
                }
                Some(LeavingSign::ReportedByPeer | LeavingSign::Unhealthy) | None => {}
            }
        }
    }

    fn on_gone(&mut self, fleet: &Fleet, incarnation: &Incarnation) {
        let suspects = self.pending.on_gone(incarnation);
        self.on_ended(fleet, incarnation, suspects);
    }

    fn on_ended(&mut self, fleet: &Fleet, incarnation: &Incarnation, suspects: BTreeSet<SuspectName>) {
        let mut updated = Vec::new();
        for name in suspects {
            self.stored.on_own_end(name.fingerprint);
            updated.extend(self.ledger.on_end(name, incarnation.clone(), unix_millis()));
        }
        self.announce(fleet, updated);
    }

    /// Publishes changes on this node and sends them to other nodes.
    fn announce(&mut self, fleet: &Fleet, updated: Vec<Suspect>) {
        let updated = self.with_served_parts(updated);
        if !updated.is_empty() {
            self.on_change(&updated);
            for message in updated.chunks(MAX_SUSPECTS_PER_MESSAGE) {
                fleet.notify(&PeerMessage::Suspects(message.to_vec()));
            }
        }
    }

    /// Adds to changes that replicas have served the parts to this node.
    fn with_served_parts(&mut self, mut updated: Vec<Suspect>) -> Vec<Suspect> {
        for suspect in &mut updated {
            let fingerprint = suspect.name.fingerprint;
            if !suspect.has_served && self.shared.has_served(&fingerprint) {
                suspect.has_served = true;
                self.ledger.on_served(&fingerprint);
            }
        }
        updated
    }

    /// A run succeeded that speaks for these suspects.
    pub fn on_run_succeeded(&mut self, fleet: &Fleet, suspects: &[SuspectName]) {
        self.clear(fleet, suspects, "it ended well");
    }

    fn clear<'a>(
        &mut self,
        fleet: &Fleet,
        suspects: impl IntoIterator<Item = &'a SuspectName>,
        reason: &str,
    ) {
        let mut updated = Vec::new();
        for suspect in suspects {
            let cleared = self.ledger.clear(suspect.fingerprint);
            if !cleared.is_empty() {
                let event = if suspect.is_request() { "request_cleared" } else { "part_cleared" };
                info!(event = event, suspect:% = suspect, reason = reason; "a request or a part of prompts is no longer suspected");
            }
            updated.extend(cleared);
        }
        self.announce(fleet, updated);
    }

    /// The store no longer holds a suspect: an operator lifts its quarantine. A part is then cleared under all
    /// names in the quarantine, as it would apply to more requests with only some of them.
    fn on_removed_from_store(&mut self, fleet: &Fleet, fingerprint: Fingerprint) {
        let Some(removed) = self.ledger.get(&fingerprint).map(|suspect| suspect.name) else {
            return;
        };
        let crashes = self.shared.crashes();
        let quarantine = crashes.quarantines().iter().find(|quarantine| quarantine.names.contains(&removed));
        let names = quarantine.iter().flat_map(|quarantine| &quarantine.names);
        let of_part = names.filter(|name| name.kind.part() == removed.kind.part());
        self.clear(fleet, of_part.chain([&removed]), "its object was removed");
    }

    /// Another node announced suspects.
    pub fn on_announced(&mut self, fleet: &Fleet, announced: Vec<Suspect>) {
        let updated = self.ledger.merge(announced, unix_millis());
        let updated = self.with_served_parts(updated);
        if !updated.is_empty() {
            self.on_change(&updated);
            fleet.forward(&PeerMessage::Suspects(updated));
        }
    }

    /// Compares the digest of another node. If it differs, that node knows other suspects: this node sends
    /// it all that have to be known everywhere, and the other node does the same.
    pub fn compare(&mut self, fleet: &Fleet, from: SocketAddr, digest: u64) {
        if self.full_sync_limiter.is_due(self.shared.crash_digest(), digest, self.shared.now()) {
            fleet.send(from, &PeerMessage::Suspects(self.ledger.suspects_to_sync()));
        }
    }

    /// The store reported its suspects.
    pub fn on_store_update(&mut self, fleet: &Fleet, update: StoreUpdate<Suspect>) {
        let mut removed = Vec::new();
        let mut announced = Vec::new();
        match update {
            StoreUpdate::Listed { list, .. } => {
                removed = self.stored.on_listed(&list.items, list.at);
                announced = list.items;
            }
            StoreUpdate::Changed(changes) => {
                for event in changes.events {
                    match event {
                        Change::Put(suspect) => {
                            self.stored.on_put(&suspect, changes.at);
                            announced.push(suspect);
                        }
                        Change::Gone(name) => removed.extend(
                            Fingerprint::parse(&name)
                                .filter(|fingerprint| self.stored.on_removed(fingerprint, changes.at)),
                        ),
                        Change::Unreadable(_) => {}
                    }
                }
            }
        }
        let updated = self.ledger.merge(announced, unix_millis());
        self.announce(fleet, updated);
        for fingerprint in removed {
            self.on_removed_from_store(fleet, fingerprint);
        }
    }

    /// A write to the store ended.
    pub fn on_stored(&mut self, fleet: &Fleet, fingerprint: Fingerprint, stored: Option<StoredSuspect>) {
        self.stored.on_write_ended(fingerprint, stored.is_some(), self.shared.now());
        match stored {
            Some(StoredSuspect::Kept(suspect, at)) => {
                self.stored.on_put(&suspect, at);
                self.on_announced(fleet, vec![suspect]);
            }
            Some(StoredSuspect::Removed) => drop(self.stored.on_removed(&fingerprint, u64::MAX)),
            None => {}
        }
    }

    fn on_change(&mut self, updated: &[Suspect]) {
        let before = self.shared.crashes();
        self.publish();
        let after = self.shared.crashes();
        for Suspect { name, .. } in updated {
            if self.ledger.needs_sync(&name.fingerprint) {
                self.rebroadcast.on_update(name.fingerprint);
            }
            let ends = after.ends_of(&name.fingerprint);
            if ends > 0 {
                let event = if name.is_request() { "request_suspected" } else { "part_suspected" };
                info!(event = event, suspect:% = name, ends; "replicas ended under a request or a part of prompts");
            }
        }
        log_quarantines(&before, &after);
    }

    fn publish(&self) {
        self.shared.set_crashes(self.ledger.table(), self.ledger.digest());
    }
}

/// Logs the beginning and the end of quarantines.
fn log_quarantines(before: &CrashTable, after: &CrashTable) {
    let is_in = |table: &CrashTable, quarantine: &Quarantine| {
        table.quarantines().iter().any(|other| other.names == quarantine.names)
    };
    for quarantine in after.quarantines().iter().filter(|quarantine| !is_in(before, quarantine)) {
        let event = if quarantine.is_of_request() { "request_quarantined" } else { "part_quarantined" };
        warn!(event = event, names:% = quarantine, ends = quarantine.ends; "several replicas ended under a request or a part of prompts; it is quarantined");
    }
    for quarantine in before.quarantines().iter().filter(|quarantine| !is_in(after, quarantine)) {
        warn!(event = "quarantine_ended", names:% = quarantine; "a request or a part of prompts is no longer quarantined");
    }
}

async fn check_health(shared: Arc<Shared>, replica: Arc<ReplicaRecord>, path: String) {
    let result = match health::check(
        ReplicaDialer::new(shared.clone(), replica.service.clone()),
        &replica,
        &path,
        HEALTH_CHECK_TIMEOUT,
    )
    .await
    {
        Health::Well { .. } | Health::Unwell | Health::Leaving => CheckResult::Lives,
        Health::Other => CheckResult::Replaced,
        Health::Closed => CheckResult::PortClosed,
        Health::Unreached | Health::Broken | Health::Silent => CheckResult::Silent,
    };
    shared.notify(ToControl::CheckedAfterBreak(replica.incarnation(), result));
}
