//! Takes in under which requests replicas ended: from this node's own runs, other nodes and the store. What
//! is new is told to other nodes and, where it must last, to the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::crash_ledger::CrashTable;
use leadstage_lib::gateway::crash_ledger::Standing;
use leadstage_lib::gateway::crash_ledger::Suspect;
use leadstage_lib::gateway::digest::TellingAll;
use leadstage_lib::gateway::fingerprint::Fingerprint;
use leadstage_lib::gateway::pending_ends::PendingEnds;
use leadstage_lib::gateway::pending_ends::Shown;
use leadstage_lib::gateway::rebroadcast::Rebroadcast;
use leadstage_lib::gateway::replica::LeavingSign;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::stored_suspects::StoreRole;
use leadstage_lib::gateway::stored_suspects::StoredSuspects;
use leadstage_lib::ids::Timestamp;
use leadstage_platform::health;
use leadstage_platform::health::Health;
use leadstage_platform::store::Change;
use log::info;
use log::warn;

use crate::gateway::control::placing::Placing;
use crate::gateway::control::suspect_store;
use crate::gateway::messages::BrokenRun;
use crate::gateway::messages::News;
use crate::gateway::messages::StoredSuspect;
use crate::gateway::messages::ToControl;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;
use crate::shared::unix_millis;

/// Time for a replica to answer that is asked after a run broke there.
const ASK_LIMIT: Duration = Duration::from_millis(300);
/// News that a replica leaves may come so much later than its end: through another node, or after a break
/// in following the store. A replica that ends without a plan is taken off the list only after three
/// missed heartbeats, some 3 s later.
const PLANS_COME_WITHIN: Duration = Duration::from_secs(1);
/// Time between two looks for ends that no longer count.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// The way of such news into this node, and on to others.
pub struct CrashIntake {
    shared: Arc<Shared>,
    ledger: CrashLedger,
    pending: PendingEnds,
    stored: StoredSuspects,
    rebroadcast: Rebroadcast<Fingerprint>,
    telling_all: TellingAll,
    forgot: Timestamp,
}

impl CrashIntake {
    /// Nothing has come yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        CrashIntake {
            shared,
            ledger: CrashLedger::default(),
            pending: PendingEnds::default(),
            stored: StoredSuspects::default(),
            rebroadcast: Rebroadcast::default(),
            telling_all: TellingAll::default(),
            forgot: Timestamp::ZERO,
        }
    }

    /// A run of this node broke at its replica.
    pub fn on_break(&mut self, placing: &Placing, run: BrokenRun) {
        let replica = placing.knowledge.replicas.get(&run.replica.id);
        // It was to end, whatever it ran.
        if replica.is_some_and(|replica| replica.leaving.is_some()) {
            return;
        }
        self.pending.on_break(run.replica, run.fingerprint, self.shared.now());
        self.ask(placing);
    }

    /// Asks replicas at which runs broke, tells news again and writes what is due.
    pub fn tick(&mut self, placing: &Placing, fleet: &Fleet, follows: bool) {
        self.look_at_list(placing, fleet);
        self.ask(placing);
        let now = self.shared.now();
        if now >= self.forgot + FORGET_INTERVAL {
            self.forgot = now;
            if self.ledger.forget(unix_millis()) {
                self.publish();
            }
        }
        self.tell_again(fleet);
        let role = StoreRole { follows, is_alone: fleet.nodes() == 1 };
        for write in self.stored.writes(&self.ledger, role, now, unix_millis()) {
            tokio::task::spawn_local(suspect_store::write(self.shared.clone(), write));
        }
    }

    fn tell_again(&mut self, fleet: &Fleet) {
        let told: Vec<Suspect> = self
            .rebroadcast
            .take_due(self.shared.now())
            .iter()
            .filter_map(|of| self.ledger.get(of))
            .collect();
        if !told.is_empty() {
            fleet.pass_on(&PeerMessage::Suspects(told));
        }
    }

    fn ask(&mut self, placing: &Placing) {
        for of in self.pending.asks(self.shared.now()) {
            match placing.knowledge.asked_for_health(&of.id) {
                Some((replica, path)) => {
                    tokio::task::spawn_local(ask(self.shared.clone(), replica, path));
                }
                None => {
                    info!(event = "break_unexplained", upstream = &*of.id; "a replica at which a run broke is not known")
                }
            }
        }
    }

    /// A replica answered after a run broke there, or did not.
    pub fn on_asked(&mut self, placing: &Placing, fleet: &Fleet, of: &Incarnation, shown: Shown) {
        self.look_at_list(placing, fleet);
        info!(event = "asked_after_break", upstream = &*of.id, shown:? = shown; "a replica was asked as a run broke there");
        let ended_under = self.pending.on_shown(of, shown);
        self.on_ended(fleet, of, ended_under);
    }

    /// The list of replicas tells of some that they ended.
    fn look_at_list(&mut self, placing: &Placing, fleet: &Fleet) {
        let pending: Vec<(Incarnation, Timestamp)> =
            self.pending.replicas().map(|(replica, since)| (replica.clone(), since)).collect();
        for (of, since) in pending {
            let Some(replica) = placing.knowledge.replicas.get(&of.id) else {
                continue;
            };
            let is_later_start = replica.record.born > of.born && of.born > 0;
            let is_planned = replica.leaving_since < since + PLANS_COME_WITHIN;
            match replica.leaving {
                _ if is_later_start => self.on_gone(fleet, &of),
                Some(LeavingSign::Listed | LeavingSign::Announced) => self.pending.on_lives(&of),
                Some(_) if is_planned => self.pending.on_lives(&of),
                Some(LeavingSign::Unlisted | LeavingSign::Expired | LeavingSign::Replaced) => {
                    self.on_gone(fleet, &of)
                }
                Some(LeavingSign::ReportedByPeer | LeavingSign::Unhealthy) | None => {}
            }
        }
    }

    fn on_gone(&mut self, fleet: &Fleet, of: &Incarnation) {
        let ended_under = self.pending.on_gone(of);
        self.on_ended(fleet, of, ended_under);
    }

    fn on_ended(&mut self, fleet: &Fleet, of: &Incarnation, ended_under: BTreeSet<Fingerprint>) {
        let mut news = Vec::new();
        for fingerprint in ended_under {
            self.stored.on_own_end(fingerprint);
            news.extend(self.ledger.on_end(fingerprint, of.clone(), unix_millis()));
        }
        self.tell_news(fleet, news);
    }

    /// Publishes what is news here, and tells other nodes.
    fn tell_news(&mut self, fleet: &Fleet, news: Vec<Suspect>) {
        if !news.is_empty() {
            self.on_change(&news);
            fleet.tell(&PeerMessage::Suspects(news));
        }
    }

    /// A request that something speaks against ended well.
    pub fn on_ran_well(&mut self, fleet: &Fleet, fingerprint: Fingerprint) {
        self.clear(fleet, fingerprint, "it ended well");
    }

    fn clear(&mut self, fleet: &Fleet, fingerprint: Fingerprint, why: &str) {
        let news = self.ledger.clear(fingerprint);
        if !news.is_empty() {
            warn!(event = "request_cleared", fingerprint:% = fingerprint, reason = why; "nothing speaks against a request any more");
        }
        self.tell_news(fleet, news);
    }

    /// Another node told what it knows.
    pub fn on_told(&mut self, fleet: &Fleet, told: Vec<Suspect>) {
        let news = self.ledger.take(told, unix_millis());
        if !news.is_empty() {
            self.on_change(&news);
            fleet.pass_on(&PeerMessage::Suspects(news));
        }
    }

    /// Another node knows something else if its digest is another one: it is told all that is known here,
    /// and does the same.
    pub fn compare(&mut self, fleet: &Fleet, from: SocketAddr, digest: u64) {
        if self.telling_all.is_due(self.shared.crash_digest(), digest, self.shared.now()) {
            fleet.send(from, &PeerMessage::Suspects(self.ledger.agreed()));
        }
    }

    /// The store told what it holds.
    pub fn on_store_news(&mut self, fleet: &Fleet, news: News<Suspect>) {
        let mut removed = Vec::new();
        let mut told = Vec::new();
        match news {
            News::Listed { list, .. } => {
                removed = self.stored.on_listed(&list.items, list.at);
                told = list.items;
            }
            News::Changed(changes) => {
                for event in changes.events {
                    match event {
                        Change::Put(suspect) => {
                            self.stored.on_kept(&suspect, changes.at);
                            told.push(suspect);
                        }
                        Change::Gone(name) => removed.extend(
                            Fingerprint::parse(&name).filter(|of| self.stored.on_removed(of, changes.at)),
                        ),
                        Change::Unreadable(_) => {}
                    }
                }
            }
        }
        let news = self.ledger.take(told, unix_millis());
        self.tell_news(fleet, news);
        for fingerprint in removed {
            self.clear(fleet, fingerprint, "its object was removed");
        }
    }

    /// A write to the store ended.
    pub fn on_stored(&mut self, fleet: &Fleet, of: Fingerprint, stored: Option<StoredSuspect>) {
        self.stored.on_write_ended(of, stored.is_some(), self.shared.now());
        match stored {
            Some(StoredSuspect::Kept(suspect, at)) => {
                self.stored.on_kept(&suspect, at);
                self.on_told(fleet, vec![suspect]);
            }
            Some(StoredSuspect::Removed) => drop(self.stored.on_removed(&of, u64::MAX)),
            None => {}
        }
    }

    fn on_change(&mut self, news: &[Suspect]) {
        let before = self.shared.crashes();
        self.publish();
        let after = self.shared.crashes();
        for suspect in news {
            if self.ledger.is_agreed_on(&suspect.fingerprint) {
                self.rebroadcast.on_update(suspect.fingerprint);
            }
            log_change(suspect.fingerprint, &before, &after);
        }
    }

    fn publish(&self) {
        self.shared.set_crashes(self.ledger.table(), self.ledger.digest());
    }
}

/// One line for a suspicion and for the beginning and the end of a quarantine.
fn log_change(fingerprint: Fingerprint, before: &CrashTable, after: &CrashTable) {
    let is_quarantined = |table: &CrashTable| table.get(&fingerprint).is_some_and(Standing::is_quarantined);
    let ends = after.get(&fingerprint).map_or(0, |standing| standing.ends);
    match (is_quarantined(before), is_quarantined(after)) {
        (false, true) => {
            warn!(event = "request_quarantined", fingerprint:% = fingerprint, ends; "replicas end under a request: it is sent to none")
        }
        (true, false) => {
            warn!(event = "quarantine_ended", fingerprint:% = fingerprint, ends; "a request may be sent again")
        }
        _ if ends > 0 => {
            info!(event = "request_suspected", fingerprint:% = fingerprint, ends; "a replica ended under a request")
        }
        _ => {}
    }
}

async fn ask(shared: Arc<Shared>, replica: Arc<ReplicaRecord>, path: String) {
    let shown = match health::check(&replica, &path, ASK_LIMIT).await {
        Health::Well { .. } | Health::Unwell | Health::Leaving => Shown::Lives,
        Health::Other => Shown::Replaced,
        Health::Closed => Shown::PortClosed,
        Health::Silent => Shown::Silent,
    };
    shared.tell(ToControl::AskedAfterBreak(replica.incarnation(), shown));
}
