//! A model of a fleet that sends calls to a replica with a limit. It compares grants with a fixed share
//! of the limit for each node: the requests that the replica receives, and the number of messages.
//!
//! A replica may receive one and a half times its limit plus 5 requests in any 4 s, and should receive
//! three quarters of its limit while there are calls for it. Each call tries only this replica; if it is
//! not sent there, another replica takes it.

use std::fmt::Write;
use std::time::Duration;

use leadstage_lib::gateway::cold_start::PlacedBy;
use leadstage_lib::gateway::limit_grants::GranterRole;
use leadstage_lib::gateway::replica_limits::LimitReport;
use leadstage_lib::gateway::replica_limits::ResponseTimes;
use leadstage_lib::gateway::replica_rate_limiter::ReplicaRateLimiter;
use leadstage_lib::gateway::replica_record::Incarnation;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::UpstreamId;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::limit_windows;

const DURATION_S: f64 = 60.0;
/// When calls begin.
const CALLS_BEGIN_S: f64 = 5.0;
/// When the limit takes effect; its use is counted from here on.
const LIMIT_APPLIES_S: f64 = 8.0;
/// Grants that may accumulate while there are no calls.
const MAX_SAVED_IN_PAUSE: f64 = 2.0;
const SEEDS: u64 = 5;
/// Maximum delay until a request arrives at the replica, over a new connection.
const MAX_TRANSIT_S: f64 = 0.25;
/// Interval at which a node checks its view of the fleet.
const FLEET_CHECK_INTERVAL_S: f64 = 0.5;
/// When the fault at the granting node begins, and how long nodes do not notice it.
const FAULT_BEGINS_S: f64 = 20.0;
const FAULT_UNNOTICED_S: f64 = 4.0;
/// When the fault ends.
const FAULT_ENDS_S: f64 = 35.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    /// All nodes receive the same share of the calls.
    Even,
    /// One node receives seven of ten calls.
    Uneven,
    /// There are no calls for some time.
    Pause,
    /// Three of ten messages are lost.
    Lossy,
    /// The granting node answers half of the requests too late; a substitute is used for them.
    Slow,
    /// The granting node is gone, which is noticed after some seconds.
    Lost,
    /// A third of the nodes is partitioned from the others, but not from the replica.
    Cut,
}

const CASES: [Case; 7] =
    [Case::Even, Case::Uneven, Case::Pause, Case::Lossy, Case::Slow, Case::Lost, Case::Cut];

/// The node that receives a request for a grant.
#[derive(Clone, Copy, Debug)]
struct GrantTarget {
    granter: usize,
    role: GranterRole,
}

/// The method by which a fleet decides which calls go to the replica.
trait Method {
    /// Creates a fleet of `nodes` nodes.
    fn new(nodes: usize, limit: f64) -> Self;
    /// Changes the nodes' view of the fleet; `seen` returns how many nodes each one sees.
    fn on_fleet_change(&mut self, seen: impl Fn(usize) -> usize, now: Timestamp);
    /// Whether a call at a node goes to the replica; `granter` is `None` if the granting node does not
    /// answer.
    fn sends_to_replica(
        &mut self,
        node: usize,
        granter: Option<GrantTarget>,
        now: Timestamp,
        rng: &mut StdRng,
    ) -> bool;
    /// Requests a grant for a node that may request one; the granting node's answer arrives too late.
    fn on_late_answer(&mut self, node: usize, granter: usize, now: Timestamp, rng: &mut StdRng);
    /// The number of messages so far.
    fn messages(&self) -> u64;
}

/// A single node grants each call.
struct Grants {
    limiters: Vec<ReplicaRateLimiter>,
    replica: UpstreamId,
    messages: u64,
}

impl Method for Grants {
    fn new(nodes: usize, limit: f64) -> Self {
        let incarnation = Incarnation { id: "r".into(), born: 1 };
        let limiter = |_| {
            let mut limiter = ReplicaRateLimiter::default();
            let times = ResponseTimes { sent: Duration::ZERO, received: Duration::ZERO };
            limiter.limits.on_answer(&incarnation, LimitReport::Named(limit), times);
            limiter.set_nodes(nodes, Duration::ZERO);
            limiter
        };
        Grants { limiters: (0..nodes).map(limiter).collect(), replica: incarnation.id.clone(), messages: 0 }
    }

    fn on_fleet_change(&mut self, seen: impl Fn(usize) -> usize, now: Timestamp) {
        for (node, limiter) in self.limiters.iter_mut().enumerate() {
            limiter.set_nodes(seen(node), now);
        }
    }

    fn sends_to_replica(
        &mut self,
        node: usize,
        granter: Option<GrantTarget>,
        now: Timestamp,
        rng: &mut StdRng,
    ) -> bool {
        if self.limiters[node].may_request(&self.replica, now, rng) {
            self.limiters[node].on_requested(&self.replica, now);
            self.messages += 1;
            if let Some(GrantTarget { granter, role }) = granter {
                let grant = self.limiters[granter].grant(&self.replica, role, 0, now);
                self.limiters[node].on_answer(&self.replica, grant.ask_again_after, now);
                self.messages += 1;
                if grant.granted {
                    return true;
                }
            }
        }
        let limiter = &mut self.limiters[node];
        let may_send = limiter.allows(&self.replica, PlacedBy::Node, now, rng);
        if may_send {
            limiter.on_assigned(&self.replica, PlacedBy::Node, now, rng);
        }
        may_send
    }

    fn on_late_answer(&mut self, node: usize, granter: usize, now: Timestamp, rng: &mut StdRng) {
        if !self.limiters[node].may_request(&self.replica, now, rng) {
            return;
        }
        self.limiters[granter].grant(&self.replica, GranterRole::Primary, 0, now);
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Each node has the same share of the limit, and accumulates at most one request.
struct Shares {
    limit: f64,
    seen: Vec<usize>,
    saved: Vec<(f64, Timestamp)>,
}

impl Method for Shares {
    fn new(nodes: usize, limit: f64) -> Self {
        Shares { limit, seen: vec![nodes; nodes], saved: vec![(0.0, Duration::ZERO); nodes] }
    }

    fn on_fleet_change(&mut self, seen: impl Fn(usize) -> usize, _now: Timestamp) {
        self.seen.iter_mut().enumerate().for_each(|(node, count)| *count = seen(node));
    }

    fn sends_to_replica(
        &mut self,
        node: usize,
        _granter: Option<GrantTarget>,
        now: Timestamp,
        _rng: &mut StdRng,
    ) -> bool {
        let rate = self.limit / self.seen[node] as f64;
        let (saved, at) = &mut self.saved[node];
        *saved = (*saved + (now - *at).as_secs_f64() * rate).min(1.0);
        *at = now;
        let may_send = *saved >= 1.0;
        *saved -= f64::from(u8::from(may_send));
        may_send
    }

    fn on_late_answer(&mut self, _node: usize, _granter: usize, _now: Timestamp, _rng: &mut StdRng) {}

    fn messages(&self) -> u64 {
        0
    }
}

#[derive(Debug, Default)]
struct Figures {
    /// The maximum number of requests in a window, relative to the allowed number.
    peak_ratio: f64,
    /// The used fraction of the limit.
    used: f64,
    /// The used fraction of the limit plus the grants that may be saved during a pause.
    used_with_saved: f64,
    /// Messages a second.
    messages: f64,
}

fn run<W: Method>(case: Case, nodes: usize, limit: f64, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut method = W::new(nodes, limit);
    let (mut arrivals, mut now, mut next_check) = (Vec::new(), CALLS_BEGIN_S, CALLS_BEGIN_S);
    let calls_per_second = (10.0 * limit).max(2.0);
    while now < DURATION_S {
        now += exponential(1.0 / calls_per_second, &mut rng);
        let is_faulty = (FAULT_BEGINS_S..FAULT_ENDS_S).contains(&now);
        let is_noticed = is_faulty && now >= FAULT_BEGINS_S + FAULT_UNNOTICED_S;
        if now >= next_check {
            next_check = now + FLEET_CHECK_INTERVAL_S;
            method.on_fleet_change(|node| seen(case, nodes, node, is_noticed), Duration::from_secs_f64(now));
        }
        if case == Case::Pause && is_faulty {
            continue;
        }
        let goes_to_busy_node = case == Case::Uneven && rng.random_bool(0.7);
        let mut node = if goes_to_busy_node { nodes - 1 } else { rng.random_range(0..nodes) };
        if case == Case::Lost && is_faulty && node == 0 {
            node = 1;
        }
        let granter = granter(case, nodes, node, is_faulty, is_noticed);
        let granter = granter.filter(|_| case != Case::Lossy || rng.random_bool(0.49));
        let mut granter = granter.map(|granter| GrantTarget { granter, role: GranterRole::Primary });
        if case == Case::Slow && rng.random_bool(0.5) {
            method.on_late_answer(node, 0, Duration::from_secs_f64(now), &mut rng);
            granter = Some(GrantTarget { granter: 1, role: GranterRole::Substitute });
        }
        if method.sends_to_replica(node, granter, Duration::from_secs_f64(now), &mut rng) {
            arrivals.push(now + rng.random::<f64>() * MAX_TRANSIT_S);
        }
    }
    arrivals.retain(|at| *at >= LIMIT_APPLIES_S);
    arrivals.sort_by(f64::total_cmp);
    let peak = limit_windows::max_within(&arrivals, limit_windows::WINDOW_S);
    let saved_in_pause = if case == Case::Pause { MAX_SAVED_IN_PAUSE } else { 0.0 };
    let idle = if case == Case::Pause { FAULT_ENDS_S - FAULT_BEGINS_S } else { 0.0 };
    let allowance = limit * (DURATION_S - LIMIT_APPLIES_S - idle);
    Figures {
        peak_ratio: peak as f64 / limit_windows::max_allowed(limit) as f64,
        used: arrivals.len() as f64 / allowance,
        used_with_saved: arrivals.len() as f64 / (allowance + saved_in_pause),
        messages: method.messages() as f64 / (DURATION_S - CALLS_BEGIN_S),
    }
}

/// Returns how many nodes a node sees.
fn seen(case: Case, nodes: usize, node: usize, is_noticed: bool) -> usize {
    let side = nodes / 3;
    match case {
        Case::Lost if is_noticed => nodes - 1,
        Case::Cut if is_noticed && node < side => side,
        Case::Cut if is_noticed => nodes - side,
        _ => nodes,
    }
}

/// Returns the node that grants requests of a node: the first one, unless it is gone or partitioned.
fn granter(case: Case, nodes: usize, node: usize, is_faulty: bool, is_noticed: bool) -> Option<usize> {
    let is_unreachable = match case {
        Case::Lost => is_faulty,
        Case::Cut => is_faulty && node >= nodes / 3,
        _ => false,
    };
    match (is_unreachable, is_noticed) {
        (false, _) => Some(0),
        (true, false) => None,
        (true, true) => Some(nodes - 1),
    }
}

fn exponential<R: Rng>(mean: f64, rng: &mut R) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns the maximum over the seeds for windows, and the mean for the other figures.
fn run_seeds<W: Method>(case: Case, nodes: usize, limit: f64) -> Figures {
    let runs: Vec<Figures> = (0..SEEDS).map(|seed| run::<W>(case, nodes, limit, seed)).collect();
    let mean = |of: fn(&Figures) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    Figures {
        peak_ratio: runs.iter().map(|figures| figures.peak_ratio).fold(0.0, f64::max),
        used: mean(|figures| figures.used),
        used_with_saved: mean(|figures| figures.used_with_saved),
        messages: mean(|figures| figures.messages),
    }
}

/// Grants keep to each limit and use it at each fleet size, however the calls are distributed; shares do
/// neither.
#[test]
fn test_grants_keep_and_use_limits_at_each_size() {
    let mut table = String::from("nodes limit case    shares: most used  grants: most used messages/s\n");
    for nodes in [6, 66, 410] {
        for limit in [0.4, 3.1, 30.0] {
            for case in CASES {
                let shares = run_seeds::<Shares>(case, nodes, limit);
                let grants = run_seeds::<Grants>(case, nodes, limit);
                writeln!(
                    table,
                    "{nodes:5} {limit:5} {:7} {:12.2} {:4.2} {:13.2} {:4.2} {:10.1}",
                    format!("{case:?}"),
                    shares.peak_ratio,
                    shares.used,
                    grants.peak_ratio,
                    grants.used,
                    grants.messages
                )
                .expect("writing to a string cannot fail");
                assert!(grants.peak_ratio <= 1.0, "{nodes} nodes, limit {limit}, {case:?}: {grants:?}");
                let is_steady = matches!(case, Case::Even | Case::Uneven | Case::Pause);
                assert!(
                    !is_steady || grants.used >= 0.75,
                    "{nodes} nodes, limit {limit}, {case:?}: {grants:?}"
                );
                assert!(grants.used_with_saved <= 1.0, "{nodes} nodes, limit {limit}, {case:?}: {grants:?}");
            }
        }
    }
    insta::assert_snapshot!(table);
}
