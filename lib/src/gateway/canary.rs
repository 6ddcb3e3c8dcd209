//! Selects the requests that a new version gets during its trial, and the replicas that serve them.
//!
//! Each node sends the new version a share of its own requests, so the share holds for the fleet as a whole
//! without coordination, and also on both sides of a network partition. Requests are selected by a hash of
//! their run key, so that a request that is placed again gets the same result.
//!
//! The share goes to a few of the new replicas, so that each of them has about the load of a present
//! replica: a version may fail under load only.

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

/// Fraction of the allowed share of requests that is used during the trial. The remainder is left for the
/// switch, when the new version gets all requests and may still turn out to be bad.
const TRIAL_PART: f64 = 0.5;
/// Minimum number of canary replicas: a single one may be faulty by itself.
const MIN_CANARIES: usize = 2;

/// Share of the requests that a new version gets during its trial, given the share that it is allowed.
pub fn trial_share(exposure_share: f64) -> f64 {
    exposure_share * TRIAL_PART
}

/// Whether a request belongs to the share that goes to the new version.
pub fn is_sampled(key: &RunKey, order: &UpgradeOrder, share: f64) -> bool {
    let hash = rendezvous::weight(&key.entry, &order.target);
    let hash = rendezvous::mix(hash ^ rendezvous::mix(key.run) ^ order.made);
    (hash as f64) < share * u64::MAX as f64
}

/// Number of canary replicas that carry this share of the load of `present` replicas.
pub fn canary_count(share: f64, present: usize) -> usize {
    ((share * present as f64).ceil() as usize).max(MIN_CANARIES)
}

/// Picks the canary replicas from `ids`. All nodes that know the same replicas pick the same ones.
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

/// A set of a service's replicas, selected by version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionPool {
    /// All replicas.
    All,
    /// Replicas of this version.
    Of(SoftwareVersion),
    /// Replicas of all versions but this one.
    Except(SoftwareVersion),
    /// The canary replicas, by id.
    Canaries(Arc<[UpstreamId]>),
}

impl VersionPool {
    /// Whether a replica belongs to the pool.
    pub fn has(&self, replica: &Replica) -> bool {
        match self {
            VersionPool::All => true,
            VersionPool::Of(version) => replica.record.version == *version,
            VersionPool::Except(version) => replica.record.version != *version,
            VersionPool::Canaries(ids) => ids.contains(&replica.record.id),
        }
    }
}

/// Pools that a request may go to while a service is being upgraded, in order of preference: a later pool is
/// used only if no replica of the earlier ones accepts the request. `share` is the new version's share of
/// the requests during the trial, `canaries` returns the canary replicas.
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

/// The canary replicas of a service, out of all replicas that are not leaving.
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

/// Whether generations may be moved to a replica to balance load: not if its version is on trial, was
/// reverted or is being drained.
pub fn is_rebalance_target(replica: &Replica, upgrade: &Upgrade) -> bool {
    matches!(upgrade.admission(&replica.record.version), Admission::All | Admission::Remainder)
}
