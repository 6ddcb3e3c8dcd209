//! Limits of two replicas, with calls that arrive at few nodes at regular times.
//!
//! The test guards against unused limits. Grants accumulate at 3.74 a second up to 2.0, and a request of
//! medium urgency needs 1.4. A node that has paused sends its next request with its next call, so with
//! 30, 8 and 1 calls a second at three nodes the requests were 300, 375 and 1,000 ms apart. Grants that
//! accumulate more than 160 ms after a request could be granted are lost: they were 121 to 480 ms apart,
//! 3.35 a second, and a replica with a limit of 4.4 a second received 26 of 35 requests in 8 s, below the
//! intended three quarters.

use std::fmt::Write;
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
use rand::seq::IndexedRandom;

use crate::limit_windows;

/// The limits of the replicas, in requests a second.
const LIMITS: [f64; 2] = [3.0, 4.4];
/// Calls a second at each node.
const CALLS_PER_SECOND: [f64; 6] = [30.0, 0.0, 0.0, 1.0, 8.0, 0.0];
/// The node that grants for both replicas.
const GRANTER: usize = 1;
/// Nodes grant nothing in their first 2 s.
const CALLS_BEGIN: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(8);
/// Maximum delay of a call against the regular times.
const MAX_DELAY_S: f64 = 0.003;
const MIN_USED_FRACTION: f64 = 0.75;
const SEEDS: u64 = 400;
const URGENCIES: [u8; 3] = [0, 4, 9];

fn replica(n: usize) -> UpstreamId {
    format!("replica-{n}").into()
}

/// Returns a rate limiter that knows both limits and all nodes.
fn limiter() -> ReplicaRateLimiter {
    let mut limiter = ReplicaRateLimiter::default();
    let times = ResponseTimes { sent: Duration::ZERO, received: Duration::ZERO };
    for (n, limit) in LIMITS.into_iter().enumerate() {
        limiter.limits.on_answer(&Incarnation { id: replica(n), born: 1 }, LimitReport::Named(limit), times);
    }
    limiter.set_nodes(CALLS_PER_SECOND.len(), Duration::ZERO);
    limiter
}

/// Returns the calls of a regular load: their times and nodes.
fn calls(rng: &mut StdRng) -> Vec<(Duration, usize)> {
    let mut calls = Vec::new();
    for (node, rate) in CALLS_PER_SECOND.into_iter().enumerate() {
        let phase: f64 = rng.random();
        for n in 0..(DURATION.as_secs_f64() * rate) as u32 {
            let at = (f64::from(n) + phase) / rate + rng.random::<f64>() * MAX_DELAY_S;
            calls.push((CALLS_BEGIN + Duration::from_secs_f64(at), node));
        }
    }
    calls.sort();
    calls
}

/// Returns when each replica receives requests. A call requests a grant for one replica; calls without a
/// grant go to other replicas.
fn granted(urgency: u8, seed: u64) -> [Vec<Duration>; LIMITS.len()] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut limiters = CALLS_PER_SECOND.map(|_| limiter());
    let mut granted = LIMITS.map(|_| Vec::new());
    for (now, node) in calls(&mut rng) {
        let mut candidates: Vec<usize> = (0..LIMITS.len()).collect();
        candidates.retain(|n| limiters[node].may_request(&replica(*n), now, &mut rng));
        let Some(n) = candidates.choose(&mut rng).copied() else {
            continue;
        };
        limiters[node].on_requested(&replica(n), now);
        let grant = limiters[GRANTER].grant(&replica(n), GranterRole::Primary, urgency, now);
        limiters[node].on_answer(&replica(n), grant.ask_again_after, now);
        if grant.granted {
            granted[n].push(now);
        }
    }
    granted
}

/// In each run, grants alone use three quarters of a limit, for any urgency of the calls.
#[test]
fn test_limits_are_used_by_regular_calls_of_few_nodes() {
    let window = Duration::from_secs_f64(limit_windows::WINDOW_S);
    let mut table = String::from("urgency limit  used: least mean  most in 4 s allowed\n");
    for urgency in URGENCIES {
        let runs: Vec<_> = (0..SEEDS).map(|seed| granted(urgency, seed)).collect();
        for (n, limit) in LIMITS.into_iter().enumerate() {
            let used = runs.iter().map(|run| run[n].len() as f64 / (limit * DURATION.as_secs_f64()));
            let min_used = used.clone().fold(f64::MAX, f64::min);
            let mean = used.sum::<f64>() / SEEDS as f64;
            let max_in_window =
                runs.iter().map(|run| limit_windows::max_within(&run[n], window)).max().unwrap_or(0);
            let allowed = limit_windows::max_allowed(limit);
            writeln!(
                table,
                "{urgency:7} {limit:5} {min_used:12.2} {mean:4.2} {max_in_window:12} {allowed:7}"
            )
            .expect("writing to a string cannot fail");
            assert!(max_in_window <= allowed, "{table}");
            assert!(min_used >= MIN_USED_FRACTION, "{table}");
        }
    }
    insta::assert_snapshot!(table);
}
