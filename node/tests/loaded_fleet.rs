//! A fleet under a load that goes on, and what its replicas got of it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::task::JoinSet;

use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::call;
use crate::gateway_environment::config;

/// A limit binds this long after it was first named.
pub const LIMIT_APPLIES_AFTER: Duration = Duration::from_secs(3);
/// The time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Times that a limit may be exceeded in some window, and requests beyond that.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Part of what a replica names that is used at least, while there is work for it.
const MIN_USED_SHARE: f64 = 0.75;

/// A fleet with replicas of one service.
pub struct LoadedFleet {
    /// The fleet.
    pub gateway: Arc<Gateway>,
    /// The replicas.
    pub replicas: Vec<RunningReplica>,
}

/// The answer to a call of a load.
#[derive(Debug)]
pub struct TimedCall {
    /// What came.
    pub called: CallResult,
    /// How long it took.
    pub took: Duration,
}

impl LoadedFleet {
    /// So many nodes that know each other, and so many replicas.
    pub async fn start(service: &str, nodes: usize, replicas: usize) -> LoadedFleet {
        LoadedFleet::start_with(service, nodes, replicas, 4, |yaml| yaml).await
    }

    /// The same, with generations of so many events and changed settings.
    pub async fn start_with(
        service: &str,
        nodes: usize,
        replicas: usize,
        events: u64,
        change: impl Fn(String) -> String,
    ) -> LoadedFleet {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let mut running = Vec::new();
        for n in 1..=replicas {
            running.push(gateway.start_replica(service, &format!("{service}-{n}"), events).await);
        }
        for _ in 0..nodes {
            let node = gateway.start_node_with(&change);
            gateway.until_ready(node).await;
        }
        for node in 0..nodes {
            let knows_all = async || gateway.node_status(node).await.peers.len() == nodes - 1;
            gateway.until("a node knows all others", knows_all).await;
        }
        LoadedFleet { gateway: Arc::new(gateway), replicas: running }
    }

    /// Has the first replicas name these limits from now on; returns when they bind.
    pub fn announce_limits(&self, limits: &[f64]) -> Instant {
        for (running, limit) in self.replicas.iter().zip(limits) {
            running.replica.set_limit(Some(&limit.to_string()));
        }
        Instant::now() + LIMIT_APPLIES_AFTER
    }

    /// Calls go to the nodes at so many a second each for a time; all answers. Their ids begin with their node's
    /// number.
    pub async fn load(
        &self,
        per_second: &[f64],
        duration: Duration,
        make: impl Fn(&str) -> Request<Full<Bytes>>,
    ) -> Vec<TimedCall> {
        let began = Instant::now();
        let mut due: Vec<(Duration, usize)> = Vec::new();
        for (node, rate) in per_second.iter().enumerate() {
            let calls = (duration.as_secs_f64() * rate) as u32;
            due.extend((0..calls).map(|n| (Duration::from_secs_f64((f64::from(n) + 0.5) / rate), node)));
        }
        due.sort();
        let mut calls = JoinSet::new();
        for (n, (at, node)) in due.into_iter().enumerate() {
            tokio::time::sleep_until((began + at).into()).await;
            let (address, req) = (self.gateway.client_address(node), make(&format!("{node}-{n}")));
            calls.spawn(async move {
                let began = Instant::now();
                let called = call(&address, req).await;
                TimedCall { called, took: began.elapsed() }
            });
        }
        calls.join_all().await
    }

    /// When requests came to a replica, from a moment on.
    pub fn arrivals(&self, replica: usize, from: Instant) -> Vec<Instant> {
        let seen = self.replicas[replica].replica.seen();
        seen.into_iter().map(|seen| seen.at).filter(|at| *at >= from).collect()
    }

    /// When requests of one node's callers came to a replica, from a moment on.
    pub fn arrivals_through(&self, node: usize, replica: usize, from: Instant) -> Vec<Instant> {
        let through = format!("{node}-");
        let seen = self.replicas[replica].replica.seen();
        let requests = seen
            .into_iter()
            .filter(|seen| seen.header("leadstage-request-id").is_some_and(|id| id.starts_with(&through)));
        requests.map(|seen| seen.at).filter(|at| *at >= from).collect()
    }

    /// Asserts that no replica got more in any window than its limit allows.
    pub fn assert_limits_kept(&self, limits: &[f64], from: Instant) {
        for (replica, limit) in limits.iter().enumerate() {
            let allowed = (limit * OVERSHOOT * WINDOW.as_secs_f64() + SLACK) as usize;
            let max = self.max_arrivals_within(replica, from, WINDOW);
            assert!(
                max <= allowed,
                "replica {replica}: limit {limit}/s, received {max} requests in 4 s, allowed {allowed}\n{}",
                self.gateway.logs()
            );
        }
    }

    /// The most requests that a replica got within a time.
    pub fn max_arrivals_within(&self, replica: usize, from: Instant, window: Duration) -> usize {
        let arrivals = self.arrivals(replica, from);
        let counts = arrivals.iter().map(|start| count_within(&arrivals, *start, *start + window));
        counts.max().unwrap_or(0)
    }

    /// Asserts that most of what each replica names was used in a time.
    pub fn assert_limits_used(&self, limits: &[f64], from: Instant, duration: Duration) {
        for (replica, limit) in limits.iter().enumerate() {
            let used = count_within(&self.arrivals(replica, from), from, from + duration) as f64;
            let allowed = limit * duration.as_secs_f64();
            assert!(
                used >= allowed * MIN_USED_SHARE,
                "replica {replica}: limit allows {allowed:.1} requests in this time, received {used}\n{}",
                self.gateway.logs()
            );
        }
    }
}

fn count_within(times: &[Instant], from: Instant, until: Instant) -> usize {
    times.iter().filter(|at| **at >= from && **at < until).count()
}

/// Asserts that all calls were served.
pub fn assert_all_served(answers: &[TimedCall], fleet: &LoadedFleet) {
    for TimedCall { called, .. } in answers {
        assert!(called.status == 200 && called.whole, "{called:?}\n{}", fleet.gateway.logs());
    }
}
