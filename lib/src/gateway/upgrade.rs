//! Upgrades: the operator orders that the replicas of a service be replaced by some of another software
//! version, which run beside the present ones until one of the two is given up.
//!
//! All nodes must come to the same stage of an upgrade. What they tell each other is merged so that the order
//! of messages does not matter: of one order the later stage holds, and of two words on which orders there
//! are the one with the higher revision of the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::replica_record::SoftwareVersion;
use crate::gateway::revision;
use crate::gateway::revision::Revision;
use crate::gateway::routing::ServiceId;
use crate::ids::Timestamp;

/// Upgrades that are told at most; each message between nodes tells them, in some thirty bytes each.
pub const MAX_ANNOUNCED_UPGRADES: usize = 16;

/// How far an upgrade is. Of two words on the same order the later stage holds.
#[derive(Clone, Copy, Debug, Deserialize, Display, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The new version gets a small share of the requests and is compared with the present one.
    #[display("trial")]
    Trial,
    /// No sign speaks against it: all new requests go there, and streams move there.
    #[display("switch")]
    Switch,
    /// Nor does the whole load: the operator is to be told that it succeeded.
    #[display("proven")]
    Proven,
    /// It is worse than the present version and gets nothing; the operator is to be told.
    #[display("reverted")]
    Reverted,
    /// The operator knows that it failed.
    #[display("failed")]
    Failed,
    /// The operator knows that it succeeded: the replicas of other versions end.
    #[display("succeeded")]
    Succeeded,
}

/// What a version may get in a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Whatever comes.
    All,
    /// A share of the requests.
    Share,
    /// What the share leaves.
    Remainder,
    /// Nothing as long as there is another version.
    Fallback,
    /// Nothing.
    None,
}

impl Stage {
    /// Whether nothing changes any more.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Failed | Stage::Succeeded)
    }

    fn admission(self, is_target: bool) -> Admission {
        match (self, is_target) {
            (Stage::Trial, true) => Admission::Share,
            (Stage::Trial, false) => Admission::Remainder,
            (Stage::Switch | Stage::Proven | Stage::Succeeded, true) => Admission::All,
            (Stage::Switch | Stage::Proven | Stage::Succeeded, false) => Admission::Fallback,
            (Stage::Reverted | Stage::Failed, true) => Admission::None,
            (Stage::Reverted | Stage::Failed, false) => Admission::All,
        }
    }
}

/// What the operator ordered.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct UpgradeOrder {
    /// The version that the service's replicas should have.
    pub target: SoftwareVersion,
    /// The time that it may take.
    pub within: Duration,
    /// The store's revision when the order was first made: another one is another order.
    pub made: Revision,
}

/// An upgrade as a node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upgrade {
    /// The order.
    pub order: UpgradeOrder,
    /// When it was made, as far as this node knows.
    pub began: Timestamp,
    /// How far it is.
    pub stage: Stage,
    /// Since when.
    pub stage_since: Timestamp,
}

impl Upgrade {
    /// What replicas of a version may get.
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

/// An upgrade as a node tells it to another one.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct AnnouncedUpgrade {
    /// The service.
    pub service: ServiceId,
    /// The order.
    pub order: UpgradeOrder,
    /// Time since the order, as far as the sender knows.
    pub age: Duration,
    /// How far it is.
    pub stage: Stage,
}

/// All upgrades as a node tells them to another one.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct AnnouncedUpgrades {
    /// The store's revision up to which the sender knows which orders there are.
    pub at: Revision,
    /// The upgrades.
    pub upgrades: Vec<AnnouncedUpgrade>,
}

/// All upgrades that a node knows, by service.
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

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Upgrade)> {
        self.by_service.iter()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// The store's revision up to which it is known which orders there are; 0 where nothing is known.
    pub fn at(&self) -> Revision {
        self.at
    }

    /// What other nodes are told.
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

    /// Takes a word in; returns the services whose upgrades it changed.
    pub fn merge(&mut self, announced: AnnouncedUpgrades, now: Timestamp) -> Vec<ServiceId> {
        let is_newer = announced.at > self.at;
        let mut changed = BTreeSet::new();
        if is_newer && revision::era(announced.at) == revision::era(self.at) {
            let is_kept = |service: &ServiceId| announced.upgrades.iter().any(|one| one.service == *service);
            let withdrawn = self.by_service.extract_if(.., |service, _| !is_kept(service));
            changed.extend(withdrawn.map(|(service, _)| service));
        }
        // What a copy lacks was not withdrawn: the operator writes it again.
        self.at = announced.at.max(self.at);
        for announced in announced.upgrades {
            let service = announced.service.clone();
            if self.merge_one(announced, is_newer, now) {
                changed.insert(service);
            }
        }
        changed.into_iter().collect()
    }

    /// Returns whether the order or its stage is another one than before.
    fn merge_one(&mut self, announced: AnnouncedUpgrade, is_newer: bool, now: Timestamp) -> bool {
        let began = now.saturating_sub(announced.age);
        match self.by_service.get_mut(&announced.service) {
            Some(known) if known.order == announced.order => {
                known.began = known.began.min(began);
                known.advance(announced.stage, now)
            }
            // An older word knows nothing of which orders there are now.
            _ if !is_newer => false,
            _ => {
                let upgrade =
                    Upgrade { order: announced.order, began, stage: announced.stage, stage_since: now };
                self.by_service.insert(announced.service, upgrade);
                true
            }
        }
    }

    /// An upgrade has come to a later stage; returns whether that is news.
    pub fn advance(&mut self, service: &str, order: &UpgradeOrder, stage: Stage, now: Timestamp) -> bool {
        let known = self.by_service.get_mut(service).filter(|upgrade| upgrade.order == *order);
        known.is_some_and(|upgrade| upgrade.advance(stage, now))
    }
}
