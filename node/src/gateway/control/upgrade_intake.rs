//! Takes upgrades in, from the store or from other nodes, counts how both versions answer, and has them go on.
//!
//! Each message between nodes tells all upgrades. The nodes tell their counts to a few of them, the judges, which are the
//! first by a hash, so that no election is needed: all judges come to the same by the same counts. The
//! node that follows the store first tells the operator.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::answer_counts::Sample;
use leadstage_lib::gateway::process_pauses::ProcessPauses;
use leadstage_lib::gateway::rebroadcast::Rebroadcast;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::upgrade::AnnouncedUpgrade;
use leadstage_lib::gateway::upgrade::AnnouncedUpgrades;
use leadstage_lib::gateway::upgrade::Stage;
use leadstage_lib::gateway::upgrade::Upgrade;
use leadstage_lib::gateway::upgrade::UpgradeOrder;
use leadstage_lib::gateway::upgrade::Upgrades;
use leadstage_lib::gateway::upgrade_judge::Capacity;
use leadstage_lib::gateway::upgrade_judge::NextStage;
use leadstage_lib::gateway::upgrade_judge::Situation;
use leadstage_lib::gateway::watchers::WatchRole;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UnixMillis;
use leadstage_lib::ids::VmId;
use leadstage_platform::store::Change;
use leadstage_platform::store::Listed;
use leadstage_platform::store_kinds::StoredUpgrade;
use log::info;
use log::warn;

use crate::gateway::control::placing::Placing;
use crate::gateway::control::trial::Trial;
use crate::gateway::control::upgrade_store;
use crate::gateway::messages::AnswerSample;
use crate::gateway::messages::News;
use crate::gateway::messages::Order;
use crate::gateway::messages::StoredWord;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::CountsReport;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_message::ReportId;
use crate::gateway::peers::peer_message::TrialId;
use crate::gateway::shared::Shared;
use crate::shared::unix_millis;

/// A write to the store that failed is tried again after this.
const WRITE_AGAIN_AFTER: Duration = Duration::from_millis(300);

/// How a node learnt of it.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum Source {
    #[display("store")]
    Store,
    #[display("node")]
    Node,
    #[display("judge")]
    Judge,
}

/// A standby of who follows the store first writes what is final if it is still due after this: by then it would have
/// heard that it was written.
const STANDBY_WRITES_AFTER: Duration = Duration::from_millis(300);

/// An order as the store holds it, as far as this node follows the store, and the write of its status.
struct Stored {
    held: StoredUpgrade,
    is_writing: bool,
    write_from: Timestamp,
}

/// The way of upgrades into this node, and on to others.
pub struct UpgradeIntake {
    shared: Arc<Shared>,
    /// When the process began.
    started: UnixMillis,
    rebroadcast: Rebroadcast<ServiceId>,
    pauses: ProcessPauses,
    trials: BTreeMap<ServiceId, Trial>,
    stored: BTreeMap<ServiceId, Stored>,
}

impl UpgradeIntake {
    /// Nothing has come yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        UpgradeIntake {
            shared,
            started: unix_millis(),
            rebroadcast: Rebroadcast::default(),
            pauses: ProcessPauses::default(),
            trials: BTreeMap::new(),
            stored: BTreeMap::new(),
        }
    }

    /// The store told of the orders.
    pub fn on_store_news(&mut self, placing: &mut Placing, fleet: &Fleet, news: News<StoredUpgrade>) {
        let now = self.shared.now();
        let mut told = self.shared.upgrades().announced(now);
        match news {
            News::Listed { list: Listed { items, at, .. }, .. } => {
                told = AnnouncedUpgrades { at, upgrades: Vec::new() };
                self.stored.clear();
                items.into_iter().for_each(|item| self.on_stored(item, &mut told, now));
            }
            News::Changed(changes) => {
                told.at = changes.at.max(told.at);
                for event in changes.events {
                    match event {
                        Change::Put(item) => self.on_stored(item, &mut told, now),
                        Change::Gone(name) | Change::Unreadable(name) => {
                            self.stored.remove(&*name);
                            told.upgrades.retain(|upgrade| *upgrade.service != *name);
                        }
                    }
                }
            }
        }
        if self.merge(placing, told, Source::Store) {
            fleet.notify(&PeerMessage::UpgradesChanged);
        }
    }

    /// Takes an object in, and puts what it orders into `told`.
    fn on_stored(&mut self, held: StoredUpgrade, told: &mut AnnouncedUpgrades, now: Timestamp) {
        let known = told.upgrades.iter().position(|upgrade| upgrade.service == held.service);
        let known = known.map(|at| told.upgrades.swap_remove(at));
        match &held.order {
            Ok(order) => {
                let known = known.filter(|known| known.order == *order);
                let stage = held.state.and_then(upgrade_store::stage_of).unwrap_or(Stage::Trial);
                told.upgrades.push(AnnouncedUpgrade {
                    service: held.service.clone(),
                    order: order.clone(),
                    age: known.as_ref().map_or(Duration::ZERO, |known| known.age),
                    stage: known.map_or(stage, |known| known.stage.max(stage)),
                });
            }
            Err(reason) if held.state.is_none() => {
                warn!(event = "upgrade_refused", service = &*held.service, reason = reason.as_str(); "an order to upgrade a service can't be followed")
            }
            Err(_) => {}
        }
        let write_from = self.stored.get(&held.service).map_or(now, |stored| stored.write_from);
        self.stored.insert(held.service.clone(), Stored { held, is_writing: false, write_from });
    }

    /// Another node told of them.
    pub fn on_told(&mut self, placing: &mut Placing, fleet: &Fleet, told: AnnouncedUpgrades) {
        // Nearly always there is none.
        if told.upgrades.is_empty() && told.at <= self.shared.upgrades().at() {
            return;
        }
        if self.merge(placing, told, Source::Node) {
            fleet.forward(&PeerMessage::UpgradesChanged);
        }
    }

    /// Returns whether it changed anything.
    fn merge(&mut self, placing: &mut Placing, told: AnnouncedUpgrades, source: Source) -> bool {
        let mut upgrades = (*self.shared.upgrades()).clone();
        let changed = upgrades.merge(told, self.shared.now());
        self.publish(placing, upgrades, &changed, source);
        !changed.is_empty()
    }

    fn publish(&mut self, placing: &mut Placing, upgrades: Upgrades, changed: &[ServiceId], source: Source) {
        self.trials.retain(|service, trial| {
            upgrades.of(service).is_some_and(|upgrade| upgrade.order == trial.order)
        });
        for (service, upgrade) in upgrades.iter() {
            let trial = || Trial::new(service.clone(), upgrade.order.clone(), self.shared.now());
            self.trials.entry(service.clone()).or_insert_with(trial);
        }
        self.shared.set_upgrades(upgrades.clone());
        for service in changed {
            self.rebroadcast.on_update(service.clone());
            match upgrades.of(service) {
                Some(upgrade) => self.on_stage(placing, service, upgrade, source),
                None => {
                    info!(event = "upgrade_withdrawn", service = &**service, by:% = source; "there is no order to upgrade a service any more")
                }
            }
        }
        if !changed.is_empty() {
            placing.settle();
        }
    }

    fn on_stage(&self, placing: &Placing, service: &ServiceId, upgrade: &Upgrade, source: Source) {
        let age_ms = self.shared.now().saturating_sub(upgrade.began).as_millis() as u64;
        info!(event = "upgrade_stage", service = &**service, target = &*upgrade.order.target, stage:% = upgrade.stage, by:% = source, age_ms; "the upgrade of a service is at this stage");
        if !matches!(upgrade.stage, Stage::Switch | Stage::Proven) {
            return;
        }
        let replaced = placing.knowledge.staying(service);
        let replaced = replaced.filter(|replica| replica.record.version != upgrade.order.target);
        for replica in replaced {
            for stream in placing.streams_at(&replica.record.id) {
                // A stream that has just ended needs no order.
                let _ = stream.orders.send(Order::Evacuate(replica.record.id.clone()));
            }
        }
    }

    /// A replica answered a request of this node. Times that a pause of this process has lengthened are left out.
    pub fn on_sample(&mut self, sample: AnswerSample) {
        let now = self.shared.now();
        let is_disturbed = match sample.sample {
            Sample::Took(_, took) => self.pauses.may_affect(now.saturating_sub(took), now),
            Sample::Failed => false,
        };
        if is_disturbed {
            return;
        }
        if let Some(trial) = self.trials.get_mut(&sample.service) {
            trial.on_sample(sample);
        }
    }

    /// Another node tells its counts.
    pub fn on_report(&mut self, fleet: &Fleet, from: VmId, report: CountsReport) {
        let now = self.shared.now();
        if let Some(trial) = self.trial(&report.id.trial) {
            trial.on_report(fleet, from, report, now);
        }
    }

    /// A judge has a report of this node.
    pub fn on_acknowledged(&mut self, placing: &mut Placing, fleet: &Fleet, judge: &VmId, report: &ReportId) {
        if let Some(trial) = self.trial(&report.trial) {
            trial.on_acknowledged(judge, report);
            self.note_judged(placing, fleet, &report.trial.service);
        }
    }

    fn note_judged(&self, placing: &mut Placing, fleet: &Fleet, service: &ServiceId) {
        let upgrades = self.shared.upgrades();
        if let (Some(upgrade), Some(trial)) = (upgrades.of(service), self.trials.get(service)) {
            let until = trial.is_judged_until(fleet, upgrade, self.shared.now());
            placing.knowledge.judged.note(service, until);
        }
    }

    fn trial(&mut self, id: &TrialId) -> Option<&mut Trial> {
        self.trials.get_mut(&id.service).filter(|trial| trial.is(id))
    }

    /// Does what is due: `role` is how this node follows the store, `store_answers` whether that answers
    /// somebody.
    pub fn tick(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        role: Option<WatchRole>,
        store_answers: bool,
    ) {
        self.pauses.tick(self.shared.now());
        if !self.rebroadcast.take_due(self.shared.now()).is_empty() {
            fleet.forward(&PeerMessage::UpgradesChanged);
        }
        for service in self.trials.keys().cloned().collect::<Vec<_>>() {
            self.report_and_judge(placing, fleet, &service, store_answers);
        }
        if let Some(role) = role {
            self.write_due(role);
        }
    }

    /// Reports what is due, and judges if this node is one of those that do.
    fn report_and_judge(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        service: &ServiceId,
        store_answers: bool,
    ) {
        let upgrades = self.shared.upgrades();
        let upgrade = upgrades.of(service).filter(|upgrade| upgrade.stage <= Stage::Switch);
        let (Some(upgrade), Some(trial)) = (upgrade, self.trials.get_mut(service)) else {
            return;
        };
        let judges = trial.report(fleet, upgrade, self.started, self.shared.now());
        self.note_judged(placing, fleet, service);
        if judges {
            self.judge(placing, fleet, service, store_answers);
        }
    }

    fn judge(&mut self, placing: &mut Placing, fleet: &Fleet, service: &ServiceId, store_answers: bool) {
        let now = self.shared.now();
        let mut upgrades = (*self.shared.upgrades()).clone();
        let (Some(upgrade), Some(trial)) = (upgrades.of(service), self.trials.get(service)) else {
            return;
        };
        let Some(bounds) = self.shared.bounds().exposure.filter(|_| upgrade.stage <= Stage::Switch) else {
            return;
        };
        let counts = trial.all();
        let situation = Situation {
            upgrade,
            counts: &counts,
            capacity: capacity(placing, service, &upgrade.order),
            has_streams: placing.knowledge.engine_traits(service).is_some(),
            store_answers,
            hearing: trial.coverage(fleet, upgrade, now),
            bounds,
        };
        let Some(NextStage { stage, reason }) = situation.next(now) else {
            return;
        };
        let (answered, exposed) = counts.answered();
        info!(event = "upgrade_judged", service = &**service, stage:% = stage, reason:% = reason, answered, exposed, nodes = trial.nodes(), hearing:? = situation.hearing; "an upgrade goes on");
        let order = upgrade.order.clone();
        upgrades.advance(service, &order, stage, now);
        self.publish(placing, upgrades, std::slice::from_ref(service), Source::Judge);
        fleet.notify(&PeerMessage::UpgradesChanged);
    }

    /// Tells the operator what became of orders, where the store says otherwise. Each write names the revision that it
    /// replaces, so it does no harm if two nodes write.
    fn write_due(&mut self, role: WatchRole) {
        let now = self.shared.now();
        let upgrades = self.shared.upgrades();
        for stored in self.stored.values_mut().filter(|stored| !stored.is_writing && stored.write_from <= now)
        {
            let upgrade = upgrades.of(&stored.held.service);
            if !writes(role, upgrade, now) {
                continue;
            }
            if let Some(word) = upgrade_store::word_due(&stored.held, upgrade.map(|upgrade| upgrade.stage)) {
                stored.is_writing = true;
                let writing = upgrade_store::write(self.shared.clone(), stored.held.clone(), word);
                tokio::task::spawn_local(writing);
            }
        }
    }

    /// A write of a status ended.
    pub fn on_written(&mut self, placing: &mut Placing, fleet: &Fleet, written: StoredWord) {
        let now = self.shared.now();
        let Some(stored) = self.stored.get_mut(&written.service) else {
            return;
        };
        stored.is_writing = false;
        stored.write_from = now + WRITE_AGAIN_AFTER;
        let Some(held) = written.held else {
            return;
        };
        info!(event = "upgrade_stored", service = &*written.service, state:? = held.state, revision = held.revision; "the operator is told of an upgrade");
        let (state, order) = (held.state, held.order.clone());
        stored.held = held;
        let stage = state.and_then(upgrade_store::stage_of);
        let (Some(stage), Ok(order)) = (stage, order) else {
            return;
        };
        let mut upgrades = (*self.shared.upgrades()).clone();
        if upgrades.advance(&written.service, &order, stage, now) {
            self.publish(placing, upgrades, &[written.service], Source::Store);
            fleet.notify(&PeerMessage::UpgradesChanged);
        }
    }
}

/// Whether a node that follows the store in this role tells the operator of an order.
fn writes(role: WatchRole, upgrade: Option<&Upgrade>, now: Timestamp) -> bool {
    let is_overdue = |upgrade: &Upgrade| {
        matches!(upgrade.stage, Stage::Proven | Stage::Reverted)
            && upgrade.stage_since + STANDBY_WRITES_AFTER <= now
    };
    role == WatchRole::First || upgrade.is_some_and(is_overdue)
}

/// Requests that the replicas of both versions take at once.
fn capacity(placing: &Placing, service: &ServiceId, order: &UpgradeOrder) -> Capacity {
    let mut capacity = Capacity::default();
    for replica in placing.knowledge.open(service) {
        let is_target = replica.record.version == order.target;
        let of = if is_target { &mut capacity.target } else { &mut capacity.present };
        *of += replica.record.slots;
    }
    capacity
}
