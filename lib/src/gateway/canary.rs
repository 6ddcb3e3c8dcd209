//! Which requests a new version gets on trial, and at which of its replicas.
//!
//! Each node gives the new version a share of its own requests, so the share holds for all of them together,
//! whoever knows of whom: nobody has to hand shares out, and a side that is cut off keeps to it as well. Which
//! requests these are is a hash of the request's name, so that one which is placed again does not draw again.
//!
//! The share goes to few of the new replicas, so that each of these bears about what a present replica bears:
//! a version may be bad under load only.

use std::sync::Arc;

use crate::gateway::replica::Replica;
use crate::gateway::replica_record::SoftwareVersion;
use crate::gateway::replicas::ReplicaTable;
use crate::gateway::run_key::RunKey;
use crate::gateway::upgrade::Admission;
use crate::gateway::upgrade::Upgrade;
use crate::gateway::upgrade::UpgradeOrder;
use crate::ids::UpstreamId;
use crate::rendezvous;

/// The part of the share that the fleet may give which is given on trial. The rest is for the time in which
/// the new version gets everything and may still turn out to be bad.
const TRIAL_PART: f64 = 0.5;
/// New replicas that are tried at least: one alone may be bad by itself.
const MIN_CANARIES: usize = 2;

/// The share of the requests that a new version gets on trial, of the share that it may get.
pub fn trial_share(exposure_share: f64) -> f64 {
    exposure_share * TRIAL_PART
}

/// Whether a request is one of the share.
pub fn is_sampled(key: &RunKey, order: &UpgradeOrder, share: f64) -> bool {
    let hash = rendezvous::weight(&key.entry, &order.target);
    let hash = rendezvous::mix(hash ^ rendezvous::mix(key.run) ^ order.made);
    (hash as f64) < share * u64::MAX as f64
}

/// How many of the new replicas are tried, for a share of what so many present ones bear.
pub fn canary_count(share: f64, present: usize) -> usize {
    ((share * present as f64).ceil() as usize).max(MIN_CANARIES)
}

/// The replicas of `ids` that are tried, the same at all nodes that know the same ones.
pub fn pick_canaries<'a>(
    order: &UpgradeOrder,
    ids: impl Iterator<Item = &'a UpstreamId>,
    count: usize,
) -> Vec<&'a UpstreamId> {
    let mut ids: Vec<&UpstreamId> = ids.collect();
    ids.sort_by_cached_key(|id| std::cmp::Reverse(rendezvous::weight(&order.target, id)));
    ids.truncate(count);
    ids
}

/// Replicas of a service, by their versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionPool {
    /// All of them.
    All,
    /// Those of a version.
    Of(SoftwareVersion),
    /// Those of all others.
    Except(SoftwareVersion),
    /// These.
    Canaries(Arc<[UpstreamId]>),
}

impl VersionPool {
    /// Whether a replica is one of them.
    pub fn has(&self, replica: &Replica) -> bool {
        match self {
            VersionPool::All => true,
            VersionPool::Of(version) => replica.record.version == *version,
            VersionPool::Except(version) => replica.record.version != *version,
            VersionPool::Canaries(ids) => ids.contains(&replica.record.id),
        }
    }
}

/// Where a request may go while a service is being upgraded: to a later pool only where an earlier one has no replica
/// that takes it. `share` is what the new version gets on trial, `tried` tells the replicas that are tried.
pub fn pools(
    upgrade: &Upgrade,
    key: &RunKey,
    share: f64,
    canaries: impl FnOnce() -> Arc<[UpstreamId]>,
) -> Vec<VersionPool> {
    let order = &upgrade.order;
    let present = VersionPool::Except(order.target.clone());
    match upgrade.admission(&order.target) {
        Admission::Share if is_sampled(key, order, share) => vec![VersionPool::Canaries(canaries()), present],
        Admission::All => vec![VersionPool::Of(order.target.clone()), present],
        Admission::Share | Admission::Remainder | Admission::Fallback | Admission::None => vec![present],
    }
}

/// The replicas of a service that are tried, of all that stay.
pub fn canary_replicas(
    table: &ReplicaTable,
    service: &str,
    order: &UpgradeOrder,
    share: f64,
) -> Arc<[UpstreamId]> {
    let is_new = |replica: &&Replica| replica.record.version == order.target;
    let present = table.staying(service).filter(|replica| !is_new(replica)).count();
    let new = table.staying(service).filter(is_new).map(|replica| &replica.record.id);
    pick_canaries(order, new, canary_count(share, present)).into_iter().cloned().collect()
}

/// Whether generations may be moved to a replica for balance: not to one that is on trial, is given up or is to
/// become empty.
pub fn is_rebalance_target(replica: &Replica, upgrade: &Upgrade) -> bool {
    matches!(upgrade.admission(&replica.record.version), Admission::All | Admission::Remainder)
}
