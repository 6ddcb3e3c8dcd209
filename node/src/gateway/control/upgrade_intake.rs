//! Receives upgrades from the store or from other nodes, counts how both versions answer, and advances
//! upgrades to their next stage.
//!
//! Each message between nodes carries all upgrades. The nodes report their counts to a few judges, which
//! are the first nodes by a hash. No election is needed: all judges reach the same decision from the same
//! counts. The first watcher of the store reports the result to the operator.

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
use crate::gateway::messages::StoreUpdate;
use crate::gateway::messages::StreamCommand;
use crate::gateway::messages::UpgradeWriteResult;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::CountsReport;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::peers::peer_message::ReportId;
use crate::gateway::peers::peer_message::TrialId;
use crate::gateway::shared::Shared;
use crate::shared::unix_millis;

/// Delay before a write to the store is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// How a node learned of a stage.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum Source {
    #[display("store")]
    Store,
    #[display("node")]
    Node,
    #[display("judge")]
    Judge,
}

/// Time after which a standby watcher writes a final status that the first watcher has not written. If it
/// had been written, the standby would have received the change by then.
const STANDBY_WRITE_DELAY: Duration = Duration::from_millis(300);

/// An order as the store holds it, known while this node follows the store, and the state of writing its
/// status.
struct StoredOrder {
    held: StoredUpgrade,
    is_writing: bool,
    next_write: Timestamp,
}

/// Receives upgrades, announces them to other nodes and advances them.
pub struct UpgradeIntake {
    shared: Arc<Shared>,
    /// When the process started.
    started: UnixMillis,
    rebroadcast: Rebroadcast<ServiceId>,
    pauses: ProcessPauses,
    trials: BTreeMap<ServiceId, Trial>,
    stored: BTreeMap<ServiceId, StoredOrder>,
}

impl UpgradeIntake {
    /// Creates the state of a node that knows no upgrades.
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

    /// The store reported the orders.
    pub fn on_store_update(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        update: StoreUpdate<StoredUpgrade>,
    ) {
        let now = self.shared.now();
        let mut announced = self.shared.upgrades().announced(now);
        match update {
            StoreUpdate::Listed { list: Listed { items, at, .. }, .. } => {
                announced = AnnouncedUpgrades { at, upgrades: Vec::new() };
                self.stored.clear();
                items.into_iter().for_each(|item| self.on_stored(item, &mut announced, now));
            }
            StoreUpdate::Changed(changes) => {
                announced.at = changes.at.max(announced.at);
                for event in changes.events {
                    match event {
                        Change::Put(item) => self.on_stored(item, &mut announced, now),
                        Change::Gone(name) | Change::Unreadable(name) => {
                            self.stored.remove(&*name);
                            announced.upgrades.retain(|upgrade| *upgrade.service != *name);
                        }
                    }
                }
            }
        }
        if self.merge(placing, announced, Source::Store) {
            fleet.notify(&PeerMessage::UpgradesChanged);
        }
    }

    /// Records a stored object, and adds its order to `announced`.
    fn on_stored(&mut self, held: StoredUpgrade, announced: &mut AnnouncedUpgrades, now: Timestamp) {
        let known = announced.upgrades.iter().position(|upgrade| upgrade.service == held.service);
        let known = known.map(|at| announced.upgrades.swap_remove(at));
        match &held.order {
            Ok(order) => {
                let known = known.filter(|known| known.order == *order);
                let stage = held.state.and_then(upgrade_store::stage_of).unwrap_or(Stage::Trial);
                announced.upgrades.push(AnnouncedUpgrade {
                    service: held.service.clone(),
                    order: order.clone(),
                    age: known.as_ref().map_or(Duration::ZERO, |known| known.age),
                    stage: known.map_or(stage, |known| known.stage.max(stage)),
                });
            }
            Err(reason) if held.state.is_none() => {
                warn!(event = "upgrade_refused", service = &*held.service, reason = reason.as_str(); "an order to upgrade a service is invalid")
            }
            Err(_) => {}
        }
        let next_write = self.stored.get(&held.service).map_or(now, |stored| stored.next_write);
        self.stored.insert(held.service.clone(), StoredOrder { held, is_writing: false, next_write });
    }

    /// Another node announced its upgrades.
    pub fn on_announced(&mut self, placing: &mut Placing, fleet: &Fleet, announced: AnnouncedUpgrades) {
        // The usual case: no upgrade is in progress.
        if announced.upgrades.is_empty() && announced.at <= self.shared.upgrades().at() {
            return;
        }
        if self.merge(placing, announced, Source::Node) {
            fleet.forward(&PeerMessage::UpgradesChanged);
        }
    }

    /// Merges announced upgrades; returns whether that changed any.
    fn merge(&mut self, placing: &mut Placing, announced: AnnouncedUpgrades, source: Source) -> bool {
        let mut upgrades = (*self.shared.upgrades()).clone();
        let changed = upgrades.merge(announced, self.shared.now());
        self.publish(placing, upgrades, &changed, source);
        !changed.is_empty()
    }

    fn publish(&mut self, placing: &mut Placing, upgrades: Upgrades, changed: &[ServiceId], source: Source) {
        self.trials.retain(|service, trial| {
            upgrades.of(service).is_some_and(|upgrade| upgrade.order == trial.order)
        });
        for (service, upgrade) in upgrades.iter() {
            let trial = || Trial::new(service.clone(), upgrade.order.clone(), self.shared.now());
            let trial = self.trials.entry(service.clone()).or_insert_with(trial);
            trial.stages.on_stage(upgrade.stage, upgrade.stage_since);
        }
        self.shared.set_upgrades(upgrades.clone());
        for service in changed {
            self.rebroadcast.on_update(service.clone());
            match upgrades.of(service) {
                Some(upgrade) => self.on_stage(placing, service, upgrade, source),
                None => {
                    info!(event = "upgrade_withdrawn", service = &**service, by:% = source; "the order to upgrade a service was withdrawn")
                }
            }
        }
        if !changed.is_empty() {
            placing.settle();
        }
    }

    fn on_stage(&self, placing: &Placing, service: &ServiceId, upgrade: &Upgrade, source: Source) {
        let age_ms = self.shared.now().saturating_sub(upgrade.began).as_millis() as u64;
        info!(event = "upgrade_stage", service = &**service, target = &*upgrade.order.target, stage:% = upgrade.stage, by:% = source, age_ms; "the upgrade of a service reached a stage");
        if !(upgrade.stage.is_switch() || upgrade.stage == Stage::Proven) {
            return;
        }
        let replaced = placing.state.staying(service);
        let replaced = replaced.filter(|replica| replica.record.version != upgrade.order.target);
        for replica in replaced {
            for stream in placing.streams_at(&replica.record.id) {
                // The stream may have just ended.
                let _ = stream.commands.send(StreamCommand::Evacuate(replica.record.id.clone()));
            }
        }
    }

    /// A replica answered a request of this node. Times that a pause of this process may have lengthened
    /// are ignored.
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

    /// Another node reported its counts.
    pub fn on_report(&mut self, fleet: &Fleet, from: VmId, report: CountsReport) {
        let now = self.shared.now();
        if let Some(trial) = self.trial(&report.id.trial) {
            trial.on_report(fleet, from, report, now);
        }
    }

    /// A judge acknowledged a report of this node.
    pub fn on_acknowledged(&mut self, placing: &mut Placing, fleet: &Fleet, judge: &VmId, report: &ReportId) {
        if let Some(trial) = self.trial(&report.trial) {
            trial.on_acknowledged(judge, report);
            self.update_judged_until(placing, fleet, &report.trial.service);
        }
    }

    fn update_judged_until(&self, placing: &mut Placing, fleet: &Fleet, service: &ServiceId) {
        let upgrades = self.shared.upgrades();
        if let (Some(upgrade), Some(trial)) = (upgrades.of(service), self.trials.get(service)) {
            let until = trial.judged_until(fleet, upgrade, self.shared.now());
            placing.state.judged.set_judged_until(service, until);
        }
    }

    fn trial(&mut self, id: &TrialId) -> Option<&mut Trial> {
        self.trials.get_mut(&id.service).filter(|trial| trial.has_id(id))
    }

    /// Sends reports, judges upgrades and starts writes that are due. `role` is the role in which this node
    /// follows the store; `store_answers` says whether the store answers any node.
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
            self.write_due_statuses(role);
        }
    }

    /// Sends the reports that are due, and judges the upgrade if this node is a judge.
    fn report_and_judge(
        &mut self,
        placing: &mut Placing,
        fleet: &Fleet,
        service: &ServiceId,
        store_answers: bool,
    ) {
        let upgrades = self.shared.upgrades();
        let upgrade = upgrades.of(service).filter(|upgrade| upgrade.stage.is_judged());
        let (Some(upgrade), Some(trial)) = (upgrade, self.trials.get_mut(service)) else {
            return;
        };
        let judges = trial.report(fleet, upgrade, self.started, self.shared.now());
        self.update_judged_until(placing, fleet, service);
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
        let Some(bounds) = self.shared.bounds().exposure.filter(|_| upgrade.stage.is_judged()) else {
            return;
        };
        let counts = trial.all();
        let situation = Situation {
            upgrade,
            counts: &counts,
            capacity: capacity(placing, service, &upgrade.order),
            has_streams: placing.state.engine_traits(service).is_some(),
            store_answers,
            hearing: trial.coverage(fleet, upgrade, now),
            bounds,
        };
        let Some(NextStage { stage, reason }) = situation.next(now) else {
            return;
        };
        let (answered, exposed) = counts.answered();
        info!(event = "upgrade_judged", service = &**service, stage:% = stage, reason:% = reason, answered, exposed, nodes = trial.nodes(), hearing:? = situation.hearing; "the judge advances an upgrade to its next stage");
        let order = upgrade.order.clone();
        upgrades.advance(service, &order, stage, now);
        self.publish(placing, upgrades, std::slice::from_ref(service), Source::Judge);
        fleet.notify(&PeerMessage::UpgradesChanged);
    }

    /// Writes the state of orders for the operator where the stored status differs. Each write names the
    /// revision that it replaces, so it is harmless if two nodes write.
    fn write_due_statuses(&mut self, role: WatchRole) {
        let now = self.shared.now();
        let upgrades = self.shared.upgrades();
        for stored in self.stored.values_mut().filter(|stored| !stored.is_writing && stored.next_write <= now)
        {
            let upgrade = upgrades.of(&stored.held.service);
            if !is_writer(role, upgrade, now) {
                continue;
            }
            if let Some(status) =
                upgrade_store::due_status(&stored.held, upgrade.map(|upgrade| upgrade.stage))
            {
                stored.is_writing = true;
                let writing = upgrade_store::write(self.shared.clone(), stored.held.clone(), status);
                tokio::task::spawn_local(writing);
            }
        }
    }

    /// The write of a status ended.
    pub fn on_written(&mut self, placing: &mut Placing, fleet: &Fleet, written: UpgradeWriteResult) {
        let now = self.shared.now();
        let Some(stored) = self.stored.get_mut(&written.service) else {
            return;
        };
        stored.is_writing = false;
        stored.next_write = now + WRITE_RETRY_DELAY;
        let Some(held) = written.held else {
            return;
        };
        info!(event = "upgrade_stored", service = &*written.service, state:? = held.state, revision = held.revision; "the status of an upgrade is stored");
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

/// Whether a node that follows the store in this role writes the status of an order.
fn is_writer(role: WatchRole, upgrade: Option<&Upgrade>, now: Timestamp) -> bool {
    let is_overdue = |upgrade: &Upgrade| {
        matches!(upgrade.stage, Stage::Proven | Stage::Reverted)
            && upgrade.stage_since + STANDBY_WRITE_DELAY <= now
    };
    role == WatchRole::First || upgrade.is_some_and(is_overdue)
}

/// Number of concurrent requests that the replicas of each version accept.
fn capacity(placing: &Placing, service: &ServiceId, order: &UpgradeOrder) -> Capacity {
    let mut capacity = Capacity::default();
    for replica in placing.state.open(service) {
        let is_target = replica.record.version == order.target;
        let slots = if is_target { &mut capacity.target } else { &mut capacity.present };
        *slots += replica.record.slots;
    }
    capacity
}
