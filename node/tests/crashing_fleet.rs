//! A fleet in which the replicas of one service crash on requests with a certain body, and are replaced.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use leadstage_testutils::gateway_replica::CrashTrigger;
use tokio::time::Instant;

use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::config;

/// The request body that crashes replicas.
const CRASHING_BODY: &str = "ends replicas";
/// The part of a prompt that crashes replicas.
pub const CRASHING_PART: &str = "bad0bad0";
/// The number of nodes in a fleet.
pub const NODES: usize = 3;
/// The number of live replicas of the service.
pub const REPLICAS: usize = 4;
/// The number of events of a generation.
pub const EVENTS: u64 = 60;
/// The time after which the caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The time after which a crashed replica is removed from the list because its heartbeats are missing.
const UNLISTED_AFTER: Duration = Duration::from_millis(1_500);
/// The number of crashed replicas that the fleet needs to quarantine a request.
pub const CRASHES_UNTIL_QUARANTINE: usize = 3;
/// The time after the last of these crashes within which all nodes have quarantined the request.
const QUARANTINED_WITHIN: Duration = Duration::from_secs(3);
/// The number of sends that are tolerated after that time.
pub const MAX_LATE_SENDS: usize = 3;

/// A fleet in which the replicas of one service crash on requests with a certain body, and are replaced.
pub struct CrashingFleet {
    /// The nodes and the store.
    pub gateway: Gateway,
    service: &'static str,
    trigger: CrashTrigger,
    /// All replicas that were started, including the crashed ones.
    pub replicas: Vec<RunningReplica>,
    attempts: usize,
}

impl CrashingFleet {
    /// Starts a fleet whose nodes know each other.
    pub async fn start(service: &'static str) -> CrashingFleet {
        CrashingFleet::start_with(service, Gateway::start_node).await
    }

    /// Starts a fleet whose nodes are started by `start_node`.
    pub async fn start_with(
        service: &'static str,
        start_node: impl Fn(&mut Gateway) -> usize,
    ) -> CrashingFleet {
        let trigger = CrashTrigger::Body(CRASHING_BODY.into());
        CrashingFleet::start_crashing_on(trigger, service, start_node).await
    }

    /// Starts a fleet whose replicas crash on `trigger` instead.
    pub async fn start_crashing_on(
        trigger: CrashTrigger,
        service: &'static str,
        start_node: impl Fn(&mut Gateway) -> usize,
    ) -> CrashingFleet {
        let gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let mut fleet = CrashingFleet { gateway, service, trigger, replicas: Vec::new(), attempts: 0 };
        for _ in 0..REPLICAS {
            fleet.add_replica().await;
        }
        for _ in 0..NODES {
            let node = start_node(&mut fleet.gateway);
            fleet.gateway.until_ready(node).await;
        }
        let follows = async || fleet.gateway.logs().contains("event=store_watch");
        fleet.gateway.until("a node watches the store", follows).await;
        fleet
    }

    /// Starts one more replica.
    pub async fn add_replica(&mut self) {
        let id = format!("{}-{}", self.service, self.replicas.len() + 1);
        let running = self.gateway.start_replica(self.service, &id, EVENTS).await;
        running.replica.set_crash_on(Some(self.trigger.clone()));
        self.replicas.push(running);
    }

    /// The number of replicas that have crashed.
    pub fn ended_count(&self) -> usize {
        self.replicas.iter().filter(|running| running.replica.has_crashed()).count()
    }

    /// The number of crashing requests that reached replicas.
    pub fn sends(&self) -> usize {
        let seen = self.replicas.iter().flat_map(|running| running.replica.received_requests());
        seen.filter(|seen| self.trigger.matches(&seen.headers, &seen.body)).count()
    }

    /// Sends the caller's next attempt to the next node. Replicas that crash meanwhile are replaced by ones
    /// with new ids, and removed from the list.
    pub async fn attempt(&mut self, make_request: impl Fn(&str) -> Request<Full<Bytes>>) -> CallResult {
        let before = self.ended_count();
        self.attempts += 1;
        let node = self.attempts % NODES;
        let called = self.gateway.call(node, make_request(&format!("r-{}", self.attempts))).await;
        tokio::time::sleep(RETRY_DELAY).await;
        for _ in before..self.ended_count() {
            self.add_replica().await;
        }
        self.unlist_ended_replicas();
        called
    }

    /// Removes crashed replicas from the store after [`UNLISTED_AFTER`].
    fn unlist_ended_replicas(&self) {
        for running in self.replicas.iter().filter(|running| running.replica.has_crashed()) {
            let (store, id) = (self.gateway.store.clone(), running.replica.id.clone());
            tokio::spawn(async move {
                tokio::time::sleep(UNLISTED_AFTER).await;
                store.delete("servers", &id);
            });
        }
    }

    /// Sends attempts until [`CRASHES_UNTIL_QUARANTINE`] replicas have crashed and all nodes have had time to
    /// quarantine the request; returns the number of sends so far.
    pub async fn until_quarantined(&mut self, make_request: impl Fn(&str) -> Request<Full<Bytes>>) -> usize {
        self.until_quarantined_after(CRASHES_UNTIL_QUARANTINE, make_request).await
    }

    /// [`Self::until_quarantined`] for a fleet that needs `crashes`.
    pub async fn until_quarantined_after(
        &mut self,
        crashes: usize,
        make_request: impl Fn(&str) -> Request<Full<Bytes>>,
    ) -> usize {
        while self.ended_count() < crashes {
            self.attempt(&make_request).await;
        }
        let deadline = Instant::now() + QUARANTINED_WITHIN;
        while Instant::now() < deadline {
            self.attempt(&make_request).await;
        }
        self.sends()
    }

    /// The fingerprints of requests that the node has in quarantine.
    pub async fn quarantined(&self, node: usize) -> Vec<String> {
        self.gateway.node_status(node).await.quarantined
    }

    /// Asserts that no node suspects any request.
    pub fn assert_no_request_suspected(&self) {
        for node in 0..NODES {
            let log = self.gateway.log(node);
            assert!(!log.contains("event=request_suspected"), "node {node}\n{}", self.gateway.logs());
        }
    }
}

/// Replaces the body of a request by the one that crashes replicas.
pub fn with_crashing_body(req: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    req.map(|_| Full::from(CRASHING_BODY))
}
