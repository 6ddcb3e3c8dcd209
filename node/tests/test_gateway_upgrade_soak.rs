//! A randomized soak test of upgrades to good and bad versions, while nodes are killed, suspended, stopped
//! and restarted and the store becomes unavailable and available again, in sequence and overlapping.
//!
//! A seed determines the schedule; odd seeds run a version that begins to fail. CI runs a few seeds. More are
//! run by hand, and each test takes those that belong to it: `LEADSTAGE_UPGRADE_SOAK_SEEDS=1..50
//! cargo test -p leadstage-node --test runner upgrade_soak -- --nocapture`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use leadstage_testutils::gateway_replica::GatewayReplica;
use leadstage_testutils::gateway_replica::PartialFault;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::metadata_store::StoreFault;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::call;
use crate::gateway_environment::read;
use crate::upgraded_fleet::UpgradedFleet;

/// Seeds that CI runs: one, and each that has failed.
const BAD_VERSIONS: &[u64] = &[1, 19];
/// 6, 16, 30, 34 and 48 guard against reverting a good version as slow because of the answers to requests
/// that queued up at suspended nodes.
const GOOD_VERSIONS: &[u64] = &[2, 6, 16, 30, 34, 48];
const NODES: usize = 6;
const REPLICAS: usize = 4;
const ORDER_DURATION: Duration = Duration::from_secs(6);
/// The time between two calls to a node.
const CALL_EVERY: Duration = Duration::from_millis(40);
/// How long after the order faults are injected.
const FAULTS_FOR: Duration = Duration::from_secs(7);
/// The time after the last fault within which the outcome is reported, whatever faults there were.
const FINISHED_WITHIN: Duration = Duration::from_secs(40);

struct UpgradeSoak {
    fleet: UpgradedFleet,
    rng: SmallRng,
    /// Suspended nodes and the times at which they resume.
    suspended: Vec<(usize, Instant)>,
}

impl UpgradeSoak {
    fn gateway(&mut self) -> &mut Gateway {
        Arc::get_mut(&mut self.fleet.fleet.gateway).expect("no other holder")
    }

    /// Injects one fault; some last longer than the time to the next one. With a probability of one half,
    /// a node fault is aimed at a node that others depend on, and at any node otherwise.
    fn inject_fault(&mut self) {
        let special_nodes = [self.fleet.judges()[0], self.fleet.judges()[1], self.fleet.first_watcher()];
        let node = match self.rng.random_bool(0.5) {
            true => special_nodes[self.rng.random_range(0..special_nodes.len())],
            false => self.rng.random_range(0..NODES),
        };
        let is_suspended = self.suspended.iter().any(|(suspended, _)| *suspended == node);
        match self.rng.random_range(0..6) {
            0 => self.gateway().kill(node),
            1 if !is_suspended => self.gateway().signal(node, "-TERM"),
            2 | 3 if !is_suspended => {
                let lasts = Duration::from_millis(self.rng.random_range(100..4_500));
                self.gateway().signal(node, "-STOP");
                self.suspended.push((node, Instant::now() + lasts));
            }
            4 => self.gateway().store.set_fault(StoreFault::Refuses),
            _ => self.gateway().store.set_fault(StoreFault::None),
        }
    }

    /// Resumes nodes whose suspension is over, and restarts processes that have ended, as the platform does.
    fn restore_nodes(&mut self, now: Instant) {
        let expired: Vec<usize> =
            self.suspended.iter().filter(|(_, until)| *until <= now).map(|(node, _)| *node).collect();
        self.suspended.retain(|(_, until)| *until > now);
        for node in expired {
            if self.gateway().ended(node).is_none() {
                self.gateway().signal(node, "-CONT");
            }
        }
        for node in 0..NODES {
            if self.gateway().ended(node).is_some() {
                self.suspended.retain(|(suspended, _)| *suspended != node);
                self.gateway().restart_node(node);
            }
        }
    }

    async fn inject_faults_until(&mut self, until: Instant) {
        while Instant::now() < until {
            self.inject_fault();
            self.restore_nodes(Instant::now());
            let pause = Duration::from_millis(self.rng.random_range(100..700));
            tokio::time::sleep(pause).await;
        }
        self.gateway().store.set_fault(StoreFault::None);
        self.restore_nodes(until + Duration::from_secs(3_600));
    }
}

/// Sends calls to a node continuously, and ignores their outcome.
async fn send_calls(front: String, node: usize) {
    let mut calls = JoinSet::new();
    for n in 0_u64.. {
        let (front, req) = (front.clone(), read(&format!("{node}-{n}")));
        calls.spawn(async move { call(&front, req).await });
        while calls.try_join_next().is_some() {}
        tokio::time::sleep(CALL_EVERY).await;
    }
}

async fn run_seed(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let is_bad = seed % 2 == 1;
    let fails_after = Duration::from_millis(rng.random_range(0..4_000));
    let bad = PartialFault { fault: ReplicaFault::Fails, every_nth: 2, prefix: "/".to_owned() };
    let fleet = UpgradedFleet::start(BOOKING, NODES, REPLICAS).await;
    let mut soak = UpgradeSoak { fleet, rng, suspended: Vec::new() };
    let mut clients = JoinSet::new();
    (0..NODES)
        .for_each(|node| drop(clients.spawn(send_calls(soak.fleet.gateway().client_address(node), node))));
    soak.fleet.start_upgrade(ORDER_DURATION, None).await;
    let ordered_at = Instant::now();
    let new: Vec<Arc<GatewayReplica>> =
        soak.fleet.new.iter().map(|running| running.replica.clone()).collect();
    let failing = AbortOnDropHandle::new(tokio::spawn(async move {
        tokio::time::sleep_until((ordered_at + fails_after).into()).await;
        if is_bad {
            new.iter().for_each(|replica| replica.set_partial_fault(bad.clone()));
        }
        ordered_at.elapsed()
    }));
    soak.inject_faults_until(ordered_at + FAULTS_FOR).await;
    let outcome = soak.fleet.finish_order(FINISHED_WITHIN).await;
    let reported_after = soak.fleet.since_order(outcome.at);
    let failed_after = failing.await.expect("the task that sets the fault ends");
    println!("seed {seed}: bad {is_bad}, from {failed_after:?} on; {} by {reported_after:?}", outcome.state);
    println!("{}", soak.fleet.gateway().lines_with("event=upgrade_judged"));
    let logs = || format!("seed {seed}\n{}", soak.fleet.logs());
    match is_bad {
        true => {
            assert_eq!(outcome.state, "rolled_back", "{}", logs());
            soak.fleet.assert_exposure(outcome.at);
            // By then all nodes know the outcome, and the requests that they sent before it have arrived.
            tokio::time::sleep(Duration::from_secs(3)).await;
            soak.fleet.assert_no_later_requests(&outcome);
        }
        false => assert_eq!(outcome.state, "succeeded", "{}", logs()),
    }
}

fn seeds(ci_seeds: &[u64], is_selected: impl Fn(u64) -> bool) -> Vec<u64> {
    let Ok(text) = std::env::var("LEADSTAGE_UPGRADE_SOAK_SEEDS") else {
        return ci_seeds.to_vec();
    };
    let (first, last) = text.split_once("..").unwrap_or((&text, &text));
    let number = |text: &str| text.parse().expect("LEADSTAGE_UPGRADE_SOAK_SEEDS is N or N..M");
    (number(first)..=number(last)).filter(|seed| is_selected(*seed)).collect()
}

/// Guards against a success of a bad version, requests to it beyond the exposure bounds, and requests to it
/// after it was reverted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_upgrade_soak_of_bad_versions() {
    for seed in seeds(BAD_VERSIONS, |seed| seed % 2 == 1) {
        run_seed(seed).await;
    }
}

/// Guards against reverting a good version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_upgrade_soak_of_good_versions() {
    for seed in seeds(GOOD_VERSIONS, |seed| seed % 2 == 0) {
        run_seed(seed).await;
    }
}
