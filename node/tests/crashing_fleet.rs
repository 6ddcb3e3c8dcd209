//! A fleet whose replicas of one service end when they run a certain body, and are replaced.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::Instant;

use crate::gateway_environment::Called;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::config;

/// The body that ends replicas.
const CRASHING_BODY: &str = "ends replicas";
/// Nodes of a fleet.
pub const NODES: usize = 3;
/// Replicas of a service.
pub const REPLICAS: usize = 4;
/// Events of a generation.
pub const EVENTS: u64 = 60;
/// The caller comes back after this.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// An ended replica is no longer listed after this, as its heartbeats are missed.
const UNLISTED_AFTER: Duration = Duration::from_millis(1_500);
/// Replicas that have to end before the fleet can know.
pub const CRASHES_UNTIL_QUARANTINE: usize = 3;
/// Every node knows this long after the last of these ended.
const QUARANTINED_WITHIN: Duration = Duration::from_secs(3);
/// Sends that may still come after that.
pub const MAX_LATE_SENDS: usize = 3;

/// A fleet whose replicas of one service end when they run a certain body, and are replaced.
pub struct CrashingFleet {
    /// The fleet.
    pub gateway: Gateway,
    service: &'static str,
    /// All replicas that ever ran.
    pub replicas: Vec<RunningReplica>,
    attempts: usize,
}

impl CrashingFleet {
    /// Nodes that know each other.
    pub async fn start(service: &'static str) -> CrashingFleet {
        CrashingFleet::start_with(service, Gateway::start_node).await
    }

    /// Nodes that are started so.
    pub async fn start_with(
        service: &'static str,
        start_node: impl Fn(&mut Gateway) -> usize,
    ) -> CrashingFleet {
        let gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let mut fleet = CrashingFleet { gateway, service, replicas: Vec::new(), attempts: 0 };
        for _ in 0..REPLICAS {
            fleet.add_replica().await;
        }
        for _ in 0..NODES {
            let node = start_node(&mut fleet.gateway);
            fleet.gateway.until_ready(node).await;
        }
        let follows = async || fleet.gateway.logs().contains("event=store_watch");
        fleet.gateway.until("a node follows the store", follows).await;
        fleet
    }

    /// One replica more.
    pub async fn add_replica(&mut self) {
        let id = format!("{}-{}", self.service, self.replicas.len() + 1);
        let running = self.gateway.start_replica(self.service, &id, EVENTS).await;
        running.replica.set_ends_on(CRASHING_BODY);
        self.replicas.push(running);
    }

    /// Replicas that have ended.
    pub fn ended_count(&self) -> usize {
        self.replicas.iter().filter(|running| running.replica.has_ended()).count()
    }

    /// Requests with the body that reached replicas.
    pub fn sends(&self) -> usize {
        let seen = self.replicas.iter().flat_map(|running| running.replica.seen());
        seen.filter(|seen| seen.body == CRASHING_BODY).count()
    }

    /// The caller tries once more, at the next node. Replicas that end start again under another id
    /// meanwhile, and lapse.
    pub async fn attempt(&mut self, make_request: impl Fn(&str) -> Request<Full<Bytes>>) -> Called {
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

    /// Ended replicas are no longer listed, some time after their end.
    fn unlist_ended_replicas(&self) {
        for running in self.replicas.iter().filter(|running| running.replica.has_ended()) {
            let (store, id) = (self.gateway.store.clone(), running.replica.id.clone());
            tokio::spawn(async move {
                tokio::time::sleep(UNLISTED_AFTER).await;
                store.delete("servers", &id);
            });
        }
    }

    /// Tries until three replicas have ended and everyone may know; returns how many sends there were.
    pub async fn until_quarantined(&mut self, make_request: impl Fn(&str) -> Request<Full<Bytes>>) -> usize {
        while self.ended_count() < CRASHES_UNTIL_QUARANTINE {
            self.attempt(&make_request).await;
        }
        let deadline = Instant::now() + QUARANTINED_WITHIN;
        while Instant::now() < deadline {
            self.attempt(&make_request).await;
        }
        self.sends()
    }

    /// What each node sends to no replica.
    pub async fn quarantined(&self, node: usize) -> Vec<String> {
        self.gateway.node_status(node).await.quarantined
    }

    /// Asserts that nothing speaks against any request at any node.
    pub fn assert_no_request_suspected(&self) {
        for node in 0..NODES {
            let log = self.gateway.log(node);
            assert!(!log.contains("event=request_suspected"), "node {node}\n{}", self.gateway.logs());
        }
    }
}

/// A request whose body ends replicas.
pub fn with_crashing_body(req: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    req.map(|_| Full::from(CRASHING_BODY))
}
