//! Requests that end each replica that begins to run them.
//!
//! What users saw: one summary of a failed build came again and again, with another request id and at
//! another node each time. Each replica that began it ended 0.1 s later, with all that ran there; 13 of a
//! service's 12 replicas ended in 14 s, and those that had started again ended once more.
//! The order of events: a caller's attempt is sent to one replica; that replica ends, the caller's
//! connection breaks; the caller comes back to another node, which has never heard of the request.
//! The cause: an attempt's end says something of its replica, and nothing of its request, neither at the
//! node that saw it nor at any other.
//! The evidence: the runs that broke before their first event at six nodes carry one fingerprint, that of
//! a request whose replicas were all gone afterwards.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::Instant;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Called;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;
use crate::gateway_environment::request;
use crate::gateway_environment::tag;

/// The body that ends replicas.
const ENDS_REPLICAS: &str = "ends replicas";
/// Nodes of a fleet.
const NODES: usize = 3;
/// Replicas of a service.
const REPLICAS: usize = 4;
/// Events of a generation.
const EVENTS: u64 = 60;
/// The caller comes back after this.
const COMES_BACK_AFTER: Duration = Duration::from_millis(300);
/// An ended replica is no longer listed after this, as its heartbeats are missed.
const LAPSES_AFTER: Duration = Duration::from_millis(1_500);
/// Replicas that have to end before the fleet can know.
const ENDS_UNTIL_KNOWN: usize = 3;
/// Every node knows this long after the last of these ended.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Sends that may still come after that.
const LATE_SENDS: usize = 3;

/// A fleet whose replicas of one service end when they run a certain body, and are replaced.
struct CrashingFleet {
    gateway: Gateway,
    service: &'static str,
    replicas: Vec<RunningReplica>,
    attempts: usize,
}

impl CrashingFleet {
    async fn start(service: &'static str) -> CrashingFleet {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let mut fleet = CrashingFleet { gateway, service, replicas: Vec::new(), attempts: 0 };
        for _ in 0..REPLICAS {
            fleet.add_replica().await;
        }
        for _ in 0..NODES {
            gateway = fleet.gateway;
            let node = gateway.start_node();
            gateway.until_ready(node).await;
            fleet.gateway = gateway;
        }
        fleet
    }

    async fn add_replica(&mut self) {
        let id = format!("{}-{}", self.service, self.replicas.len() + 1);
        let running = self.gateway.start_replica(self.service, &id, EVENTS).await;
        running.replica.set_ends_on(ENDS_REPLICAS);
        self.replicas.push(running);
    }

    /// Replicas that have ended.
    fn ended(&self) -> usize {
        self.replicas.iter().filter(|running| running.replica.has_ended()).count()
    }

    /// Requests with the body that reached replicas.
    fn sends(&self) -> usize {
        let seen = self.replicas.iter().flat_map(|running| running.replica.seen());
        seen.filter(|seen| seen.body == ENDS_REPLICAS).count()
    }

    /// The caller tries once more, at the next node. Replicas that end start again under another id
    /// meanwhile, and lapse.
    async fn attempt(&mut self, make: impl Fn(&str) -> Request<Full<Bytes>>) -> Called {
        let before = self.ended();
        self.attempts += 1;
        let node = self.attempts % NODES;
        let called = self.gateway.call(node, make(&format!("r-{}", self.attempts))).await;
        tokio::time::sleep(COMES_BACK_AFTER).await;
        for _ in before..self.ended() {
            self.add_replica().await;
        }
        self.lapse();
        called
    }

    /// Ended replicas are no longer listed, some time after their end.
    fn lapse(&self) {
        for running in self.replicas.iter().filter(|running| running.replica.has_ended()) {
            let (store, id) = (self.gateway.store.clone(), running.replica.id.clone());
            tokio::spawn(async move {
                tokio::time::sleep(LAPSES_AFTER).await;
                store.delete("servers", &id);
            });
        }
    }

    /// Tries until three replicas have ended and everyone may know; returns how many sends there were.
    async fn until_known(&mut self, make: impl Fn(&str) -> Request<Full<Bytes>>) -> usize {
        while self.ended() < ENDS_UNTIL_KNOWN {
            self.attempt(&make).await;
        }
        let known = Instant::now() + KNOWN_WITHIN;
        while Instant::now() < known {
            self.attempt(&make).await;
        }
        self.sends()
    }
}

/// A request whose body ends replicas.
fn ending(req: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    req.map(|_| Full::from(ENDS_REPLICAS))
}

/// The request comes at all nodes in turn, for longer than they need to learn of it. It must reach
/// hardly any replica after that, and whatever else there is must be served.
async fn check(service: &'static str, make: impl Fn(&str) -> Request<Full<Bytes>>) {
    let mut fleet = CrashingFleet::start(service).await;
    let ending_one = |id: &str| ending(make(id));
    let until_known = fleet.until_known(ending_one).await;
    for _ in 0..3 * NODES {
        fleet.attempt(ending_one).await;
    }
    let late = fleet.sends() - until_known;
    assert!(late <= LATE_SENDS, "{late} sends after everyone could know\n{}", fleet.gateway.logs());
    for node in 0..NODES {
        let called = fleet.gateway.call(node, make("r-sound")).await;
        assert!(called.status == 200 && called.whole, "{called:?}\n{}", fleet.gateway.logs());
    }
}

#[tokio::test]
async fn test_a_stream_that_ends_its_replicas_is_no_longer_sent() {
    check(MODEL, chat).await;
}

#[tokio::test]
async fn test_a_call_that_ends_its_replicas_is_no_longer_sent() {
    check(BOOKING, |id| request("GET", "/read/x", KEY, id)).await;
}

#[tokio::test]
async fn test_a_stream_that_goes_on_elsewhere_and_ends_its_replicas_is_no_longer_sent() {
    check(MODEL, tag).await;
}
