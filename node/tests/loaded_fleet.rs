//! A fleet under constant load, and checks of the requests that its replicas received.

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

/// Limits are checked this long after they were first announced, when all nodes must respect them.
pub const LIMIT_APPLIES_AFTER: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// A window may hold `OVERSHOOT` times the requests that the limit allows, and `SLACK` requests more.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Minimum share of a replica's limit that is used while there are enough requests.
const MIN_USED_SHARE: f64 = 0.75;

/// A fleet with replicas of one service.
pub struct LoadedFleet {
    /// The fleet's nodes and store.
    pub gateway: Arc<Gateway>,
    /// The replicas, in the order in which they were started.
    pub replicas: Vec<RunningReplica>,
}

/// The result of one call of a load, with its duration.
#[derive(Debug)]
pub struct TimedCall {
    /// When the call began, after the beginning of the load.
    pub began_after: Duration,
    /// The result of the call.
    pub called: CallResult,
    /// Duration of the call.
    pub took: Duration,
}

impl LoadedFleet {
    /// Starts `nodes` nodes that know each other, and `replicas` replicas of a service.
    pub async fn start(service: &str, nodes: usize, replicas: usize) -> LoadedFleet {
        LoadedFleet::start_with(service, nodes, replicas, 4, |yaml| yaml).await
    }

    /// Like [`LoadedFleet::start`], with generations of `events` events and the nodes' settings changed by
    /// `change`.
    pub async fn start_with(
        service: &str,
        nodes: usize,
        replicas: usize,
        events: u64,
        change: impl Fn(String) -> String,
    ) -> LoadedFleet {
        let gateway = Gateway::start().await;
        let mut running = Vec::new();
        for n in 1..=replicas {
            running.push(gateway.start_replica(service, &format!("{service}-{n}"), events).await);
        }
        LoadedFleet::start_before(gateway, running, nodes, change).await
    }

    /// Starts `nodes` nodes that know each other before these replicas, with settings changed by `change`.
    pub async fn start_before(
        mut gateway: Gateway,
        replicas: Vec<RunningReplica>,
        nodes: usize,
        change: impl Fn(String) -> String,
    ) -> LoadedFleet {
        gateway.store.put("config", "main", config(1));
        for _ in 0..nodes {
            let node = gateway.start_node_with(&change);
            gateway.until_ready(node).await;
        }
        for node in 0..nodes {
            let knows_all = async || gateway.node_status(node).await.peers.len() == nodes - 1;
            gateway.until("a node knows all other nodes", knows_all).await;
        }
        LoadedFleet { gateway: Arc::new(gateway), replicas }
    }

    /// Has the first replicas announce these limits from now on; returns the time from which they are
    /// checked.
    pub fn announce_limits(&self, limits: &[f64]) -> Instant {
        for (running, limit) in self.replicas.iter().zip(limits) {
            running.replica.set_limit(Some(&limit.to_string()));
        }
        Instant::now() + LIMIT_APPLIES_AFTER
    }

    /// Sends calls to each node at its rate (`per_second`) for `duration` and returns the results of all. A
    /// request id begins with the number of the node that the request is sent to.
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
                let (began_after, began) = (began.elapsed(), Instant::now());
                let called = call(&address, req).await;
                TimedCall { began_after, called, took: began.elapsed() }
            });
        }
        calls.join_all().await
    }

    /// Arrival times at a replica of all requests, from `from` on.
    pub fn arrivals(&self, replica: usize, from: Instant) -> Vec<Instant> {
        let seen = self.replicas[replica].replica.received_requests();
        seen.into_iter().map(|seen| seen.at).filter(|at| *at >= from).collect()
    }

    /// Arrival times at a replica of the requests sent through a node, from `from` on.
    pub fn arrivals_through(&self, node: usize, replica: usize, from: Instant) -> Vec<Instant> {
        let through = format!("{node}-");
        let seen = self.replicas[replica].replica.received_requests();
        let requests = seen
            .into_iter()
            .filter(|seen| seen.header("leadstage-request-id").is_some_and(|id| id.starts_with(&through)));
        requests.map(|seen| seen.at).filter(|at| *at >= from).collect()
    }

    /// Asserts that no replica received more requests in any window than its limit allows.
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

    /// The maximum number of requests that a replica received in any window of this length.
    pub fn max_arrivals_within(&self, replica: usize, from: Instant, window: Duration) -> usize {
        let arrivals = self.arrivals(replica, from);
        let counts = arrivals.iter().map(|start| count_within(&arrivals, *start, *start + window));
        counts.max().unwrap_or(0)
    }

    /// Asserts that each replica received at least [`MIN_USED_SHARE`] of its limit in the given time.
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

/// Asserts that all calls were answered with 200 and a complete body.
pub fn assert_all_served(answers: &[TimedCall], fleet: &LoadedFleet) {
    for TimedCall { called, .. } in answers {
        assert!(called.status == 200 && called.whole, "{called:?}\n{}", fleet.gateway.logs());
    }
}
