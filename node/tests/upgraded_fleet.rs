//! A fleet in which the operator upgrades a service under load: new replicas run beside the old ones, and the
//! operator stops one of the two sets once the status of the upgrade order says which.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use leadstage_lib::rendezvous;
use leadstage_testutils::gateway_replica::PartialFault;
use leadstage_testutils::metadata_store::replica_entry;
use serde_json::Value;
use serde_json::json;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::RunningReplica;
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_fleet::TimedCall;

/// The share of all requests that a bad version may get, and the number that it may get in addition.
const EXPOSURE_SHARE: f64 = 0.2;
const EXPOSURE_SLACK: f64 = 20.0;
/// The time after which a reverted version gets no more requests: announcements take some tenths of a second.
const REVERTED_WITHIN: Duration = Duration::from_secs(2);
/// The number of events of a generation.
const EVENTS: u64 = 150;

/// A fleet with an upgrade in progress.
pub struct UpgradedFleet {
    /// The nodes, the store and the old replicas.
    pub fleet: LoadedFleet,
    /// The service that is upgraded.
    service: &'static str,
    /// The new replicas.
    pub new: Vec<RunningReplica>,
    /// When the order was put into the store.
    ordered_at: Instant,
}

/// The final state of an order and the time at which its status first reported it.
#[derive(Debug)]
pub struct OrderOutcome {
    /// `succeeded` or `rolled_back`, or the last state seen if the wait timed out.
    pub state: String,
    /// When the state was first seen.
    pub at: Instant,
}

impl UpgradedFleet {
    /// Starts the nodes and the old replicas of the service; an upgrade starts as many new replicas.
    pub async fn start(service: &'static str, nodes: usize, replicas: usize) -> UpgradedFleet {
        let fleet = LoadedFleet::start_with(service, nodes, replicas, EVENTS, with_exposure_bounds).await;
        UpgradedFleet { fleet, service, new: Vec::new(), ordered_at: Instant::now() }
    }

    /// The fleet's nodes and store.
    pub fn gateway(&self) -> &Gateway {
        &self.fleet.gateway
    }

    /// The nodes in the order in which they become judge of an upgrade of the service.
    pub fn judges(&self) -> Vec<usize> {
        self.ranked(&format!("judge of {}", self.service))
    }

    /// The first of the nodes that watch the store.
    pub fn first_watcher(&self) -> usize {
        self.ranked("store watchers")[0]
    }

    fn ranked(&self, key: &str) -> Vec<usize> {
        let mut nodes: Vec<usize> = (0..self.gateway().nodes()).collect();
        nodes.sort_by_key(|node| std::cmp::Reverse(rendezvous::weight(key, &self.gateway().peer(*node))));
        nodes
    }

    /// Starts a node that can reach the store but no other node.
    pub async fn start_isolated_node(&mut self) -> usize {
        let gateway = Arc::get_mut(&mut self.fleet.gateway).expect("no load is running");
        let unreachable = format!("{}:7001", gateway.own_store_ip());
        let seed = gateway.client_address(0);
        let node = gateway.start_node_with(|yaml| {
            with_exposure_bounds(yaml)
                .replace(&format!("seeds: ['{seed}']"), &format!("seeds: ['{unreachable}']"))
        });
        gateway.until_ready(node).await;
        node
    }

    /// Sleeps until the given time after the order.
    pub async fn sleep_until(&self, since_order: Duration) {
        tokio::time::sleep_until((self.ordered_at + since_order).into()).await;
    }

    /// Applies the fault to all new replicas; returns the current time.
    pub fn set_fault(&self, fault: &PartialFault) -> Instant {
        self.new.iter().for_each(|running| running.replica.set_partial_fault(fault.clone()));
        Instant::now()
    }

    /// The time from the order to `at`.
    pub fn since_order(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.ordered_at)
    }

    /// The arrival times of requests at the new version, starting at `from`.
    pub fn new_arrivals(&self, from: Instant) -> Vec<Instant> {
        let arrivals = self.new.iter().flat_map(|running| running.replica.received_requests());
        let mut arrivals: Vec<Instant> = arrivals.map(|seen| seen.at).filter(|at| *at >= from).collect();
        arrivals.sort();
        arrivals
    }

    /// Asserts that the new version gets no requests later than `within` after it began to fail.
    pub fn assert_reverted_within(&self, failing_since: Instant, within: Duration) {
        let arrivals = self.new_arrivals(failing_since);
        let last = arrivals.last().map_or(Duration::ZERO, |at| at.duration_since(failing_since));
        assert!(
            last <= within,
            "the new version got {} requests, the last {last:?} after it began to fail\n{}",
            arrivals.len(),
            self.logs()
        );
    }

    /// Puts an order into the store, and starts as many new replicas as there are old ones.
    pub async fn start_upgrade(&mut self, within: Duration, fault: Option<PartialFault>) {
        self.put_order(within.as_secs_f64());
        for n in 0..self.fleet.replicas.len() {
            let id = format!("{}-new-{n}", self.service);
            let running = self.fleet.gateway.start_unlisted_replica(&id, EVENTS).await;
            if let Some(fault) = &fault {
                running.replica.set_partial_fault(fault.clone());
            }
            self.list(&running, "v2", "ready");
            self.new.push(running);
        }
    }

    /// Puts the order into the store.
    pub fn put_order(&mut self, within_s: f64) {
        self.ordered_at = Instant::now();
        let order = json!({"service": self.service, "targetVersion": "v2", "durationS": within_s});
        self.gateway().store.put("rollouts", self.service, order);
    }

    fn list(&self, running: &RunningReplica, version: &str, state: &str) {
        let address = running.server.as_ref().expect("the replica is serving").address;
        let mut entry = replica_entry(self.service, address, "hall-1", state);
        entry["version"] = version.into();
        self.gateway().store.put("servers", &running.replica.id, entry);
    }

    /// The status of the order.
    pub fn status(&self) -> Value {
        self.gateway().store.status("rollouts", self.service).unwrap_or_default()
    }

    /// Waits until the status is final, but no longer than `at_most`. If the order succeeded, stops the old
    /// replicas at once.
    pub async fn finish_order(&mut self, at_most: Duration) -> OrderOutcome {
        let until = Instant::now() + at_most;
        let state = loop {
            let state = self.status()["state"].as_str().unwrap_or_default().to_owned();
            if matches!(&*state, "succeeded" | "rolled_back") || Instant::now() >= until {
                break state;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        };
        let at = Instant::now();
        if state == "succeeded" {
            for running in &mut self.fleet.replicas {
                running.server = None;
                self.fleet.gateway.store.delete("servers", &running.replica.id);
            }
        }
        OrderOutcome { state, at }
    }

    /// The number of requests that old and new replicas got between the order and `until`.
    pub fn request_counts(&self, until: Instant) -> (usize, usize) {
        let count = |running: &[RunningReplica]| {
            let arrivals = running.iter().flat_map(|running| running.replica.received_requests());
            arrivals.filter(|seen| seen.at >= self.ordered_at && seen.at < until).count()
        };
        (count(&self.fleet.replicas), count(&self.new))
    }

    /// Asserts that the new version got no more requests before `until` than the exposure bounds allow.
    pub fn assert_exposure(&self, until: Instant) {
        let (old, new) = self.request_counts(until);
        let allowed = EXPOSURE_SHARE * (old + new) as f64 + EXPOSURE_SLACK;
        assert!(
            new as f64 <= allowed,
            "{new} of {} requests went to the new version, {allowed} are allowed\n{}",
            old + new,
            self.logs()
        );
    }

    /// Asserts that the reverted version gets no requests later than [`REVERTED_WITHIN`] after the outcome.
    pub fn assert_no_later_requests(&self, outcome: &OrderOutcome) {
        let from = outcome.at + REVERTED_WITHIN;
        let arrivals = self.new.iter().flat_map(|running| running.replica.received_requests());
        let late = arrivals.filter(|seen| seen.at >= from).count();
        assert_eq!(late, 0, "requests went to a reverted version\n{}", self.logs());
    }

    /// All log lines about upgrades, followed by the last lines of all logs.
    pub fn logs(&self) -> String {
        let gateway = self.gateway();
        format!("{}\n{}", gateway.lines_with("event=upgrade_"), gateway.logs())
    }

    /// Sends `per_second` requests to each node in the background for the given time.
    pub fn load(
        &self,
        per_second: f64,
        lasts: Duration,
        make_request: fn(&str) -> Request<Full<Bytes>>,
    ) -> tokio::task::JoinHandle<Vec<TimedCall>> {
        self.load_with_rates(vec![per_second; self.fleet.gateway.nodes()], lasts, make_request)
    }

    /// Like [`UpgradedFleet::load`], with a separate rate for each node.
    pub fn load_with_rates(
        &self,
        per_second: Vec<f64>,
        lasts: Duration,
        make_request: fn(&str) -> Request<Full<Bytes>>,
    ) -> tokio::task::JoinHandle<Vec<TimedCall>> {
        let fleet = LoadedFleet { gateway: self.fleet.gateway.clone(), replicas: Vec::new() };
        tokio::spawn(async move { fleet.load(&per_second, lasts, make_request).await })
    }
}

/// Adds the exposure bounds to the settings of a node.
fn with_exposure_bounds(yaml: String) -> String {
    let bounds =
        format!("retry_slack: 100, exposure_share: {EXPOSURE_SHARE}, exposure_slack: {EXPOSURE_SLACK}");
    yaml.replace("retry_slack: 100", &bounds)
}

/// A fault that affects one of `every_nth` requests whose path starts with `prefix`.
pub fn partial_fault(
    fault: leadstage_testutils::gateway_replica::ReplicaFault,
    every_nth: usize,
    prefix: &str,
) -> Option<PartialFault> {
    Some(PartialFault { fault, every_nth, prefix: prefix.to_owned() })
}

/// The share of the answers that are successful and complete.
pub fn success_share(answers: &[TimedCall]) -> f64 {
    let successful =
        answers.iter().filter(|answer| answer.called.status == 200 && answer.called.whole).count();
    successful as f64 / answers.len().max(1) as f64
}
