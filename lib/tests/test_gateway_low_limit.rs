//! A limit below one request a second, with calls at many nodes.
//!
//! The test guards against grants lost at the start of a limit. A newly limited replica is avoided for 3
//! s, and only then does the first node request a grant. While the account of the granting node was empty
//! at that time, the first grant came 4.1 s later: sixteen nodes with four calls a second each used ten
//! of the 12.8 requests allowed in 32 s, just the required three quarters, the tenth 0.12 s before the
//! end.

use std::time::Duration;

use leadstage_lib::gateway::limit_grants::GranterRole;
use leadstage_lib::gateway::replica_limits::LimitReport;
use leadstage_lib::gateway::replica_limits::ResponseTimes;
use leadstage_lib::gateway::replica_rate_limiter::ReplicaRateLimiter;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::ids::UpstreamId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::limit_windows;

const LIMIT: f64 = 0.4;
const NODES: usize = 16;
const CALLS_PER_SECOND: f64 = 4.0;
/// A medium urgency, which requires 1.4 saved grants.
const URGENCY: u8 = 4;
/// When the replica announces its limit.
const ANNOUNCED_AT: Duration = Duration::from_secs(20);
/// How long a newly limited replica is avoided.
const AVOIDED_FOR: Duration = Duration::from_secs(3);
const DURATION: Duration = Duration::from_secs(32);
/// Minimum and maximum time from when the limit takes effect to the first request for a grant.
const FIRST_REQUEST_S: (f64, f64) = (0.5, 0.75);
const MIN_USED_FRACTION: f64 = 0.75;
const SEEDS: u64 = 500;

fn replica() -> UpstreamId {
    "replica".into()
}

fn s(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn limiter() -> ReplicaRateLimiter {
    let mut limiter = ReplicaRateLimiter::default();
    let times = ResponseTimes { sent: ANNOUNCED_AT, received: ANNOUNCED_AT };
    limiter.limits.on_answer(&Incarnation { id: replica(), born: 1 }, LimitReport::Named(LIMIT), times);
    limiter.set_nodes(NODES, Duration::ZERO);
    limiter
}

/// Returns when the replica receives requests. Each call that may request a grant does so.
fn granted(seed: u64) -> Vec<Duration> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut limiters: Vec<ReplicaRateLimiter> = (0..NODES).map(|_| limiter()).collect();
    let takes_effect = ANNOUNCED_AT + AVOIDED_FOR;
    let mut calls: Vec<(Duration, usize)> = Vec::new();
    for node in 0..NODES {
        let first = rng.random_range(FIRST_REQUEST_S.0..FIRST_REQUEST_S.1);
        let count = (DURATION.as_secs_f64() * CALLS_PER_SECOND) as u32;
        calls.extend((0..count).map(|n| (takes_effect + s(first + f64::from(n) / CALLS_PER_SECOND), node)));
    }
    calls.retain(|(at, _)| *at < takes_effect + DURATION);
    calls.sort();
    let mut granted = Vec::new();
    for (now, node) in calls {
        if !limiters[node].may_request(&replica(), now, rng) {
            continue;
        }
        limiters[node].on_requested(&replica(), now);
        let grant = limiters[0].grant(&replica(), GranterRole::Primary, URGENCY, now);
        limiters[node].on_answer(&replica(), grant.ask_again_after, now);
        if grant.granted {
            granted.push(now);
        }
    }
    granted
}

#[test]
fn test_a_low_limit_is_used_from_when_it_takes_effect() {
    let needed = (LIMIT * DURATION.as_secs_f64() * MIN_USED_FRACTION).ceil() as usize;
    for seed in 0..SEEDS {
        let granted = granted(seed);
        assert!(granted.len() >= needed, "seed {seed}: {} of {needed}", granted.len());
        let max_in_window = limit_windows::max_within(&granted, s(limit_windows::WINDOW_S));
        assert!(
            max_in_window <= limit_windows::max_allowed(LIMIT),
            "seed {seed}: {max_in_window} in a window"
        );
        // There is a margin: the last required grant does not come at the very end.
        let last = granted[needed - 1] - ANNOUNCED_AT - AVOIDED_FOR;
        assert!(last <= DURATION - Duration::from_secs(1), "seed {seed}: the last needed one after {last:?}");
    }
}

/// A node that takes over long after a limit was announced has no saved grants, as its predecessor
/// granted them all.
#[test]
fn test_a_node_that_takes_over_has_no_saved_grants() {
    let mut limiter = limiter();
    let grant = limiter.grant(&replica(), GranterRole::Primary, 0, ANNOUNCED_AT + Duration::from_secs(30));
    assert!(!grant.granted, "{grant:?}");
}
