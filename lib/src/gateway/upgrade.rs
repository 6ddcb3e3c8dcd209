//! Upgrades: the operator orders that the replicas of a service be replaced by replicas of another software
//! version. Both versions run side by side until one of them is abandoned.
//!
//! All nodes must converge to the same stage of an upgrade. Announcements are merged independently of the
//! order in which they arrive: for one order the later stage wins, and the set of orders is the one that was
//! announced with the higher revision of the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::bounded_duration;
use crate::gateway::replica_record::SoftwareVersion;
use crate::gateway::revision;
use crate::gateway::revision::Revision;
use crate::gateway::routing::ServiceId;
use crate::ids::Timestamp;

/// Limit on announced upgrades. Each message between nodes carries them, at about 30 bytes each.
pub const MAX_ANNOUNCED_UPGRADES: usize = 16;

/// Progress of an upgrade. Of two stages announced for the same order, the later one wins. The recheck and the
/// second switch are skipped unless answers were clearly slow in the switch.
#[derive(Clone, Copy, Debug, Deserialize, Display, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The new version gets a small share of the requests and is compared with the present one.
    #[display("trial")]
    Trial,
    /// The trial found no regression: all new requests go to the new version, and streams are moved to it.
    #[display("switch")]
    Switch,
    /// Answers were clearly slow in the switch, when the present version answered nothing to compare with: the
    /// new version gets a small share again and is compared side by side.
    #[display("recheck")]
    Recheck,
    /// The recheck found no regression either: all new requests go to the new version again.
    #[display("second_switch")]
    SecondSwitch,
    /// The full load showed no regression either; the success has to be reported to the operator.
    #[display("proven")]
    Proven,
    /// The new version is worse and gets no requests; the failure has to be reported to the operator.
    #[display("reverted")]
    Reverted,
    /// The failure is reported to the operator.
    #[display("failed")]
    Failed,
    /// The success is reported to the operator: the replicas of other versions end.
    #[display("succeeded")]
    Succeeded,
}

/// Which requests a version gets in a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// All requests.
    All,
    /// A share of the requests.
    Share,
    /// The requests that are not part of the share.
    Remainder,
    /// Requests that no replica of the other version accepts.
    Fallback,
    /// No requests.
    None,
}

impl Stage {
    /// Whether the upgrade has ended, so that its stage no longer changes.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Failed | Stage::Succeeded)
    }

    /// Whether the versions are still being judged.
    pub fn is_judged(self) -> bool {
        self < Stage::Proven
    }

    /// Whether all requests go to the new version while it is still being judged.
    pub fn is_switch(self) -> bool {
        matches!(self, Stage::Switch | Stage::SecondSwitch)
    }

    fn admission(self, is_target: bool) -> Admission {
        match (self, is_target) {
            (Stage::Trial | Stage::Recheck, true) => Admission::Share,
            (Stage::Trial | Stage::Recheck, false) => Admission::Remainder,
            (Stage::Switch | Stage::SecondSwitch | Stage::Proven | Stage::Succeeded, true) => Admission::All,
            (Stage::Switch | Stage::SecondSwitch | Stage::Proven | Stage::Succeeded, false) => {
                Admission::Fallback
            }
            (Stage::Reverted | Stage::Failed, true) => Admission::None,
            (Stage::Reverted | Stage::Failed, false) => Admission::All,
        }
    }
}

/// The operator's order of an upgrade.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct UpgradeOrder {
    /// Version that the service's replicas should have.
    pub target: SoftwareVersion,
    /// Time that the upgrade may take.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub within: Duration,
    /// Revision of the store at which the order was created. It identifies the order.
    pub made: Revision,
}

/// An upgrade as a node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upgrade {
    /// The order.
    pub order: UpgradeOrder,
    /// When the order was created, as far as this node knows.
    pub began: Timestamp,
    /// Stage that the upgrade has reached.
    pub stage: Stage,
    /// When this node learned of the stage.
    pub stage_since: Timestamp,
}

impl Upgrade {
    /// Which requests the replicas of a version get.
    pub fn admission(&self, version: &str) -> Admission {
        self.stage.admission(*self.order.target == *version)
    }

    fn advance(&mut self, stage: Stage, now: Timestamp) -> bool {
        let is_later = stage > self.stage;
        if is_later {
            (self.stage, self.stage_since) = (stage, now);
        }
        is_later
    }
}

/// An upgrade as a node announces it to other nodes.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct AnnouncedUpgrade {
    /// The service.
    pub service: ServiceId,
    /// The order.
    pub order: UpgradeOrder,
    /// Time since the order was created, as far as the sender knows.
    #[serde(deserialize_with = "bounded_duration::required")]
    pub age: Duration,
    /// Stage that the upgrade has reached.
    pub stage: Stage,
}

/// All upgrades as a node announces them to other nodes.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct AnnouncedUpgrades {
    /// Revision of the store up to which the sender knows the set of orders.
    pub at: Revision,
    /// The upgrades.
    pub upgrades: Vec<AnnouncedUpgrade>,
}

/// The upgrades that a node knows, by service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Upgrades {
    at: Revision,
    by_service: BTreeMap<ServiceId, Upgrade>,
}

impl Upgrades {
    /// The upgrade of a service.
    pub fn of(&self, service: &str) -> Option<&Upgrade> {
        self.by_service.get(service)
    }

    /// Iterates over all upgrades.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Upgrade)> {
        self.by_service.iter()
    }

    /// Whether no upgrade is known.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Revision of the store up to which the set of orders is known; 0 if nothing is known.
    pub fn at(&self) -> Revision {
        self.at
    }

    /// The announcement to other nodes.
    pub fn announced(&self, now: Timestamp) -> AnnouncedUpgrades {
        let upgrades =
            self.by_service.iter().take(MAX_ANNOUNCED_UPGRADES).map(|(service, upgrade)| AnnouncedUpgrade {
                service: service.clone(),
                order: upgrade.order.clone(),
                age: now.saturating_sub(upgrade.began),
                stage: upgrade.stage,
            });
        AnnouncedUpgrades { at: self.at, upgrades: upgrades.collect() }
    }

    /// Merges an announcement; returns the services whose upgrades it changed.
    pub fn merge(&mut self, announced: AnnouncedUpgrades, now: Timestamp) -> Vec<ServiceId> {
        let is_newer = announced.at > self.at;
        let mut changed = BTreeSet::new();
        if is_newer && revision::era(announced.at) == revision::era(self.at) {
            let is_kept = |service: &ServiceId| announced.upgrades.iter().any(|one| one.service == *service);
            let withdrawn = self.by_service.extract_if(.., |service, _| !is_kept(service));
            changed.extend(withdrawn.map(|(service, _)| service));
        }
        // An order that is missing in a restored copy of the store was not withdrawn: the operator writes it
        // again.
        self.at = announced.at.max(self.at);
        for announced in announced.upgrades {
            let service = announced.service.clone();
            if self.merge_one(announced, is_newer, now) {
                changed.insert(service);
            }
        }
        changed.into_iter().collect()
    }

    /// Returns whether the order or its stage changed.
    fn merge_one(&mut self, announced: AnnouncedUpgrade, is_newer: bool, now: Timestamp) -> bool {
        let began = now.saturating_sub(announced.age);
        match self.by_service.get_mut(&announced.service) {
            Some(known) if known.order == announced.order => {
                known.began = known.began.min(began);
                known.advance(announced.stage, now)
            }
            // Only an announcement at a later revision may add or replace an order.
            _ if !is_newer => false,
            _ => {
                let upgrade =
                    Upgrade { order: announced.order, began, stage: announced.stage, stage_since: now };
                self.by_service.insert(announced.service, upgrade);
                true
            }
        }
    }

    /// Sets a later stage of an upgrade; returns whether that changed it.
    pub fn advance(&mut self, service: &str, order: &UpgradeOrder, stage: Stage, now: Timestamp) -> bool {
        let known = self.by_service.get_mut(service).filter(|upgrade| upgrade.order == *order);
        known.is_some_and(|upgrade| upgrade.advance(stage, now))
    }
}
