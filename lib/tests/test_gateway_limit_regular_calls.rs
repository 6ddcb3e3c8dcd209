//! Limits of two replicas, and calls that come to few nodes at regular times.
//!
//! What was seen: one node got 30 calls a second, another one 8, a third one 1, all of middling urgency. In 8 s a
//! replica that named 4.4 requests a second got 26, of 35 that it named; three quarters are the aim.
//! The order of events: whoever grants saves up 3.74 grants a second; each node that asks pauses, and asks with its
//! next call after the pause, so asks came 300, 375 and 1,000 ms apart; a request of middling urgency
//! needs 1.4 grants saved up, and 2.0 are saved up at most.
//! The cause: what is saved up within 160 ms after a request could be granted is lost, and asks are further apart.
//! The evidence: its grants were 121 to 480 ms apart, 3.35 a second.

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

/// What the replicas name, in requests a second.
const LIMITS: [f64; 2] = [3.0, 4.4];
/// Calls a second at each node.
const CALLS_PER_SECOND: [f64; 6] = [30.0, 0.0, 0.0, 1.0, 8.0, 0.0];
/// The node that grants for both replicas.
const GRANTER: usize = 1;
/// Nodes grant nothing in their first 2 s.
const CALLS_BEGIN: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(8);
/// Calls of a regular load come as late as this.
const MAX_DELAY_S: f64 = 0.003;
const MIN_USED_FRACTION: f64 = 0.75;
const SEEDS: u64 = 400;
const URGENCIES: [u8; 3] = [0, 4, 9];

fn replica(n: usize) -> UpstreamId {
    format!("replica-{n}").into()
}

/// Knows both limits and all nodes.
fn limiter() -> ReplicaRateLimiter {
    let mut limiter = ReplicaRateLimiter::default();
    let times = ResponseTimes { sent: Duration::ZERO, received: Duration::ZERO };
    for (n, limit) in LIMITS.into_iter().enumerate() {
        limiter.limits.on_answer(&Incarnation { id: replica(n), born: 1 }, LimitReport::Named(limit), times);
    }
    limiter.set_nodes(CALLS_PER_SECOND.len(), Duration::ZERO);
    limiter
}

/// The calls of a regular load: when, and at which node.
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

/// When each replica gets a request. A call asks for one replica; what gets no grant goes elsewhere.
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

/// Three quarters of a limit are used in each of the plays, whatever the calls' urgency, by grants alone.
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
            .expect("a string takes it");
            assert!(max_in_window <= allowed, "{table}");
            assert!(min_used >= MIN_USED_FRACTION, "{table}");
        }
    }
    insta::assert_snapshot!(table);
}
