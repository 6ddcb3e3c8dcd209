//! Which replicas a request may go to.
//!
//! What stands for good comes first: replicas that leave, closed halls, regions, the versions of an upgrade. Then what
//! passes: limits, cold starts, rests after failures. Replicas are picked at random and then looked at, so that a choice
//! among ten thousand costs what one among a hundred does, as long as most may get requests.

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

/// Replicas that are weighed for one request at most: the best of these is close to the best of all.
pub(super) const MAX_CANDIDATES: usize = 64;

/// What keeps replicas from getting a request, whatever they bear.
struct RequestFilter<'a> {
    wanted: &'a Wanted,
    halls: Arc<ClosedHalls>,
    /// Replicas that have just come into need are left to others, as there are some.
    skips_newly_limited: bool,
}

impl PlacementState {
    /// The replicas of a service that are not known to leave.
    pub fn staying<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Replica> + use<'a> {
        self.replicas.staying(service)
    }

    /// The replicas of a service that may get requests: they are not known to leave, and their halls are
    /// open.
    pub fn open<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Replica> + use<'a> {
        let halls = self.shared.closed_halls();
        self.replicas.staying(service).filter(move |replica| halls.is_open(&replica.record.hall))
    }

    /// How many these are.
    pub fn count_open(&self, service: &str) -> usize {
        let halls = self.shared.closed_halls();
        let open = self.replicas.staying_by_hall(service).filter(|(hall, _)| halls.is_open(hall));
        open.map(|(_, replicas)| replicas).sum()
    }

    /// Whether a request may go to none of the open replicas, as each has asked its node for rest or was tried.
    pub fn is_excluded_from_all(&self, wanted: &Wanted) -> bool {
        let excluded = wanted.exclude.len() + wanted.resting.len();
        !wanted.resting.is_empty()
            && excluded >= self.count_open(&wanted.service)
            && self.open(&wanted.service).all(|replica| is_excluded(wanted, &replica.record.id))
    }

    /// Whether a replica may get requests.
    pub fn is_open(&self, id: &str) -> bool {
        let halls = self.shared.closed_halls();
        self.replicas.get(id).is_some_and(|replica| takes_requests(replica, &halls))
    }

    /// The open replicas of a service that may be given generations for balance.
    pub fn rebalance_targets<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Replica> + use<'a> {
        let upgrade = self.shared.upgrades().of(service).cloned();
        self.open(service).filter(move |replica| {
            upgrade.as_ref().is_none_or(|upgrade| canary::is_rebalance_target(replica, upgrade))
        })
    }

    /// Whether a service has replicas where its requests may be served, but none of them in an open hall.
    pub fn is_closed(&self, service: &str, regions: &AllowedRegions) -> bool {
        let halls = self.shared.closed_halls();
        let allowed = |hall: &str| self.shared.settings.regions.allows(regions, hall);
        let mut there = self.replicas.staying_by_hall(service).map(|(hall, _)| hall).peekable();
        there.peek().is_some() && !there.any(|hall| allowed(hall) && halls.is_open(hall))
    }

    /// Some of the replicas that may get a request and that `accepts` takes; those that rest after failures only when
    /// there are no others.
    pub(super) fn candidates<'a>(
        &'a self,
        key: &RunKey,
        wanted: &Wanted,
        mut accepts: impl FnMut(&'a Replica) -> bool,
    ) -> Vec<&'a Replica> {
        let now = self.shared.now();
        let filter = self.filter(wanted);
        let pools = self.pools(key, wanted);
        let mut may_rest = false;
        // Accepted or not, some may get it.
        let mut is_any_eligible = false;
        loop {
            for pool in &pools {
                let candidates = self.sample(wanted, pool, |replica| {
                    let is_eligible = self.passes(&filter, replica)
                        && (may_rest || replica.is_usable(now))
                        && self.can_accept(replica, now);
                    is_any_eligible |= is_eligible;
                    is_eligible && accepts(replica)
                });
                if is_any_eligible {
                    return candidates;
                }
            }
            if may_rest {
                return Vec::new();
            }
            may_rest = true;
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
                let tried = ids.iter().filter_map(|id| self.replicas.get(id));
                tried.filter(|replica| replica.leaving.is_none() && accepts(replica)).collect()
            }
            VersionPool::All | VersionPool::Of(_) | VersionPool::Except(_) => {
                let (service, hall, rng) = (&wanted.service, &wanted.hall, &mut rand::rng());
                let is_accepted = |replica: &'a Replica| pool.has(replica) && accepts(replica);
                self.replicas.sample(service, hall, MAX_CANDIDATES, rng, is_accepted)
            }
        }
    }

    /// Where a request may go by version, the later pools only where an earlier one has nothing for it.
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

    /// Whether a request may go to a replica that names no limit, should that have room.
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

    /// What who finds no replica with room is told: where none may ever have it, that; where all replicas name
    /// limits, when these have room for one more caller.
    pub fn no_room(&self, wanted: &Wanted) -> NoRoom {
        if self.is_closed(&wanted.service, &wanted.regions) {
            return NoRoom { expected: Some(Duration::MAX) };
        }
        NoRoom { expected: self.limited_retry_delay(wanted) }
    }

    fn limited_retry_delay(&self, wanted: &Wanted) -> Option<Duration> {
        let service = &wanted.service;
        let mut limits = self.limits.borrow_mut();
        let regions = &self.shared.settings.regions;
        let mut open =
            self.open(service).filter(|replica| regions.allows(&wanted.regions, &replica.record.hall));
        let first = open.next()?;
        let limit = |replica: &Replica| limits.limits.limit(&replica.record.id);
        let named = open.try_fold(limit(first)?, |named, replica| Some(named + limit(replica)?))?;
        let nodes = if self.placed_by(service) == PlacedBy::Lead { 1 } else { self.shared.nodes() };
        Some(limits.next_retry_delay(service, named, nodes, self.shared.now()))
    }

    /// A replica that names a limit and that this node may ask a grant at, for a plain call.
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
        // The map of the limits has no order of its own.
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

/// Whether a request may not go to a replica that others may go to.
fn is_excluded(wanted: &Wanted, id: &UpstreamId) -> bool {
    wanted.exclude.contains(id) || wanted.resting.contains(id)
}

/// Whether a replica may get requests.
pub(super) fn takes_requests(replica: &Replica, halls: &ClosedHalls) -> bool {
    replica.leaving.is_none() && halls.is_open(&replica.record.hall)
}
