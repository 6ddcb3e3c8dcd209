//! Caches the canary replicas of a new version until the replicas change.

use std::cell::RefCell;
use std::sync::Arc;

use leadstage_lib::gateway::canary;
use leadstage_lib::gateway::replicas::ReplicaTable;
use leadstage_lib::gateway::routing::ServiceId;
use leadstage_lib::gateway::upgrade::UpgradeOrder;
use leadstage_lib::ids::UpstreamId;

/// The canary replicas of the service that was queried last.
#[derive(Debug, Default)]
pub struct CanaryCache(RefCell<Option<CachedCanaries>>);

#[derive(Debug)]
struct CachedCanaries {
    service: ServiceId,
    order: UpgradeOrder,
    table_version: u64,
    ids: Arc<[UpstreamId]>,
}

impl CanaryCache {
    /// Returns the canary replicas of a service.
    pub fn of(
        &self,
        table: &ReplicaTable,
        service: &ServiceId,
        order: &UpgradeOrder,
        share: f64,
    ) -> Arc<[UpstreamId]> {
        let table_version = table.version();
        let mut entry = self.0.borrow_mut();
        let is_fresh = |cached: &&CachedCanaries| {
            cached.service == *service && cached.order == *order && cached.table_version == table_version
        };
        if let Some(cached) = entry.as_ref().filter(is_fresh) {
            return cached.ids.clone();
        }
        let ids = canary::canary_replicas(table, service, order, share);
        let (service, order) = (service.clone(), order.clone());
        *entry = Some(CachedCanaries { service, order, table_version, ids: ids.clone() });
        ids
    }
}
