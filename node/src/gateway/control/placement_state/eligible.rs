//! Selects the replicas that are eligible for a request.
//!
//! Lasting conditions are checked first: whether a replica is leaving, closed halls, regions, the versions
//! of an upgrade. Temporary ones follow: limits, cold starts, back-offs after failures. Replicas are
//! sampled at random before they are checked, so that a choice among ten thousand costs as much as one
//! among a hundred, as long as most are eligible.

use std::sync::Arc;
use std::time::Duration;

use leadstage_lib::gateway::canary;
use leadstage_lib::gateway::canary::VersionPool;
use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::cold_start::PlacedBy;
use leadstage_lib::gateway::regions::AllowedRegions;
use leadstage_lib::gateway::replica::Replica;
use leadstage_lib::gateway::replica_record::ReplicaRecord;
use leadstage_lib::gateway::run_key::RunKey;
use leadstage_lib::gateway::waiting::NoRoom;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use rand::seq::IndexedRandom;

use crate::gateway::control::placement_state::PlacementState;
use crate::gateway::peers::peer_message::Wanted;

/// Maximum number of replicas that are evaluated for a request: the best of a sample of this size is
/// close to the best of all.
pub(super) const MAX_CANDIDATES: usize = 64;

/// The conditions that exclude replicas from a request regardless of their load.
struct RequestFilter<'a> {
    wanted: &'a Wanted,
    halls: Arc<ClosedHalls>,
    /// Set if replicas that have just announced a limit are skipped, because there are replicas without
    /// one.
    skips_newly_limited: bool,
}

impl PlacementState {
    /// The replicas of a service that are not known to be leaving.
    pub fn staying<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Replica> + use<'a> {
        self.replicas.staying(service)
    }

    /// The replicas of a service that may receive requests: they are not known to be leaving, and their
    /// halls are open.
    pub fn open<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Replica> + use<'a> {
        let halls = self.shared.closed_halls();
        self.replicas.staying(service).filter(move |replica| halls.is_open(&replica.record.hall))
    }

    /// The number of replicas that [`Self::open`] returns.
    pub fn count_open(&self, service: &str) -> usize {
        let halls = self.shared.closed_halls();
        let open = self.replicas.staying_by_hall(service).filter(|(hall, _)| halls.is_open(hall));
        open.map(|(_, replicas)| replicas).sum()
    }

    /// Whether a request is excluded from all open replicas, because each has asked the request's node to
    /// back off or was tried before.
    pub fn is_excluded_from_all(&self, wanted: &Wanted) -> bool {
        let excluded = wanted.exclude.len() + wanted.resting.len();
        !wanted.resting.is_empty()
            && excluded >= self.count_open(&wanted.service)
            && self.open(&wanted.service).all(|replica| is_excluded(wanted, &replica.record.id))
    }

    /// Whether a replica may receive requests.
    pub fn is_open(&self, id: &str) -> bool {
        let halls = self.shared.closed_halls();
        self.replicas.get(id).is_some_and(|replica| takes_requests(replica, &halls))
    }

    /// The open replicas of a service that generations may be moved to for load balance.
    pub fn rebalance_targets<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Replica> + use<'a> {
        let upgrade = self.shared.upgrades().of(service).cloned();
        self.open(service).filter(move |replica| {
            upgrade.as_ref().is_none_or(|upgrade| canary::is_rebalance_target(replica, upgrade))
        })
    }

    /// Whether a service has replicas, but none that is in an open hall where the request may be served.
    pub fn is_closed(&self, service: &str, regions: &AllowedRegions) -> bool {
        let halls = self.shared.closed_halls();
        let allowed = |hall: &str| self.shared.settings.regions.allows(regions, hall);
        let mut halls_with_replicas = self.replicas.staying_by_hall(service).map(|(hall, _)| hall).peekable();
        halls_with_replicas.peek().is_some()
            && !halls_with_replicas.any(|hall| allowed(hall) && halls.is_open(hall))
    }

    /// Returns a sample of the replicas that are eligible for a request and for which `accepts` returns
    /// true. Replicas that back off after failures are included only if there are no others.
    pub(super) fn candidates<'a>(
        &'a self,
        key: &RunKey,
        wanted: &Wanted,
        mut accepts: impl FnMut(&'a Replica) -> bool,
    ) -> Vec<&'a Replica> {
        let now = self.shared.now();
        let filter = self.filter(wanted);
        let pools = self.pools(key, wanted);
        let mut may_use_backed_off = false;
        // Whether any replica is eligible, accepted or not.
        let mut is_any_eligible = false;
        loop {
            for pool in &pools {
                let candidates = self.sample(wanted, pool, |replica| {
                    let is_eligible = self.passes(&filter, replica)
                        && (may_use_backed_off || replica.is_usable(now))
                        && self.can_accept(replica, now);
                    is_any_eligible |= is_eligible;
                    is_eligible && accepts(replica)
                });
                if is_any_eligible {
                    return candidates;
                }
            }
            if may_use_backed_off {
                return Vec::new();
            }
            may_use_backed_off = true;
        }
    }

    fn sample<'a>(
        &'a self,
        wanted: &Wanted,
        pool: &VersionPool,
        mut accepts: impl FnMut(&'a Replica) -> bool,
    ) -> Vec<&'a Replica> {
        match pool {
            VersionPool::Canaries(ids) => {
                let canaries = ids.iter().filter_map(|id| self.replicas.get(id));
                canaries.filter(|replica| replica.leaving.is_none() && accepts(replica)).collect()
            }
            VersionPool::All | VersionPool::Of(_) | VersionPool::Except(_) => {
                let (service, hall, rng) = (&wanted.service, &wanted.hall, &mut rand::rng());
                let is_accepted = |replica: &'a Replica| pool.has(replica) && accepts(replica);
                self.replicas.sample(service, hall, MAX_CANDIDATES, rng, is_accepted)
            }
        }
    }

    /// The version pools for a request, in order of preference: a later pool is used only if the earlier
    /// ones have no eligible replica.
    fn pools(&self, key: &RunKey, wanted: &Wanted) -> Vec<VersionPool> {
        let upgrades = self.shared.upgrades();
        match upgrades.of(&wanted.service) {
            Some(upgrade) => {
                let is_judged = self.judged.may_try(&wanted.service, self.shared.now());
                let share = if is_judged { self.trial_share() } else { 0.0 };
                canary::pools(upgrade, key, share, || {
                    self.canary_replicas.of(&self.replicas, &wanted.service, &upgrade.order, share)
                })
            }
            None => vec![VersionPool::All],
        }
    }

    fn trial_share(&self) -> f64 {
        self.shared.bounds().exposure.map_or(0.0, |exposure| canary::trial_share(exposure.share))
    }

    fn filter<'a>(&self, wanted: &'a Wanted) -> RequestFilter<'a> {
        let halls = self.shared.closed_halls();
        let mut filter = RequestFilter { wanted, halls, skips_newly_limited: false };
        filter.skips_newly_limited = !self.shared.limits().is_empty() && self.is_any_unlimited(&filter);
        filter
    }

    fn passes(
        &self,
        RequestFilter { wanted, halls, skips_newly_limited }: &RequestFilter<'_>,
        replica: &Replica,
    ) -> bool {
        let id = &replica.record.id;
        let is_newly_limited = || self.limits.borrow().limits.is_newly_limited(id, self.shared.now());
        takes_requests(replica, halls)
            && !is_excluded(wanted, id)
            && self.shared.settings.regions.allows(&wanted.regions, &replica.record.hall)
            && !(*skips_newly_limited && is_newly_limited())
    }

    /// Whether a replica without a limit exists that may receive the request once it has room.
    pub fn has_unlimited(&self, wanted: &Wanted) -> bool {
        self.is_any_unlimited(&RequestFilter {
            wanted,
            halls: self.shared.closed_halls(),
            skips_newly_limited: false,
        })
    }

    fn is_any_unlimited(&self, filter: &RequestFilter<'_>) -> bool {
        let (limits, now) = (self.shared.limits(), self.shared.now());
        let is_unlimited =
            |replica: &Replica| replica.is_usable(now) && !limits.contains_key(&replica.record.id);
        let mut staying = self.staying(&filter.wanted.service);
        staying.any(|replica| is_unlimited(replica) && self.passes(filter, replica))
    }

    /// The reply for a request that finds no replica with room. It holds [`Duration::MAX`] if no replica
    /// may serve it (see [`Self::is_closed`]), and the retry delay if all replicas announce limits.
    pub fn no_room(&self, wanted: &Wanted) -> NoRoom {
        if self.is_closed(&wanted.service, &wanted.regions) {
            return NoRoom { expected: Some(Duration::MAX), over_share: false };
        }
        NoRoom { expected: self.limited_retry_delay(wanted), over_share: false }
    }

    fn limited_retry_delay(&self, wanted: &Wanted) -> Option<Duration> {
        let service = &wanted.service;
        let mut limits = self.limits.borrow_mut();
        let regions = &self.shared.settings.regions;
        let mut open =
            self.open(service).filter(|replica| regions.allows(&wanted.regions, &replica.record.hall));
        let first = open.next()?;
        let limit = |replica: &Replica| limits.limits.limit(&replica.record.id);
        let total = open.try_fold(limit(first)?, |total, replica| Some(total + limit(replica)?))?;
        let nodes = if self.placed_by(service) == PlacedBy::Lead { 1 } else { self.shared.nodes() };
        Some(limits.next_retry_delay(service, total, nodes, self.shared.now()))
    }

    /// Chooses a replica that announces a limit and for which this node may request a grant, for a plain
    /// call.
    pub fn choose_limited(&self, key: &RunKey, wanted: &Wanted) -> Option<Arc<ReplicaRecord>> {
        let limits = self.shared.limits();
        if limits.is_empty() {
            return None;
        }
        let now = self.shared.now();
        let filter = self.filter(wanted);
        let pools = self.pools(key, wanted);
        let mut limited: Vec<&Replica> = limits.keys().filter_map(|id| self.replicas.get(id)).collect();
        limited.retain(|replica| *replica.record.service == *wanted.service);
        // The map of limits is unordered.
        limited.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        pools.iter().find_map(|pool| self.choose_limited_from(&limited, pool, &filter, now))
    }

    fn choose_limited_from(
        &self,
        limited: &[&Replica],
        pool: &VersionPool,
        filter: &RequestFilter<'_>,
        now: Timestamp,
    ) -> Option<Arc<ReplicaRecord>> {
        let rng = &mut rand::rng();
        let mut candidates = limited.to_vec();
        candidates.retain(|replica| {
            pool.has(replica)
                && self.passes(filter, replica)
                && replica.is_usable(now)
                && self.limits.borrow_mut().may_request(&replica.record.id, now, rng)
                && self.is_warm_enough(replica, PlacedBy::Node, now)
        });
        candidates.choose(rng).map(|replica| replica.record.clone())
    }
}

/// Whether a replica is excluded for this request only.
fn is_excluded(wanted: &Wanted, id: &UpstreamId) -> bool {
    wanted.exclude.contains(id) || wanted.resting.contains(id)
}

/// Whether a replica may receive requests.
pub(super) fn takes_requests(replica: &Replica, halls: &ClosedHalls) -> bool {
    replica.leaving.is_none() && halls.is_open(&replica.record.hall)
}
