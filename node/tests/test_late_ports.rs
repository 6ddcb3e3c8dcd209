//! Ports of the completions interface that come late.

use std::net::TcpListener;
use std::time::Duration;

use crate::environment::Env;
use crate::environment::Options;

/// How long a node that waits for a port is watched.
const WATCH_TIME: Duration = Duration::from_millis(600);

/// Starts a fleet with a node that has been killed, and the port of its address that `setting` names taken.
async fn fleet_with_taken_port(setting: &str) -> (Env, TcpListener) {
    let mut env = Env::start(Options { nodes: 1, engines: 1, ..Options::default() }).await;
    env.kill("entry-1");
    let address = match setting {
        "listen" => env.address("entry-1"),
        "admin" => env.admin(1),
        _ => env.address("entry-1").replace(":8080", ":8082"),
    };
    let taken = TcpListener::bind(address).expect("the port is free");
    env.start_node(1);
    env.until("the node misses its port", async |env: &Env| {
        let log = env.log("entry-1");
        assert!(!log.contains("event=failed"), "the node ended\n{log}");
        log.contains("event=port_unavailable")
    })
    .await;
    (env, taken)
}

/// Checks that a node whose port is taken serves once it is free.
async fn check_node_waits_for(setting: &str) {
    let (env, taken) = fleet_with_taken_port(setting).await;
    let watched_until = tokio::time::Instant::now() + WATCH_TIME;
    while tokio::time::Instant::now() < watched_until {
        let readiness = env.get(&env.admin(1), "/readyz").await.map_or(0, |reply| reply.status);
        assert_ne!(readiness, 200, "ready without its port `{setting}`");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    drop(taken);
    env.until_ready(1).await;
    let booked = env.book(1, None).await.expect("the node listens");
    assert_eq!(booked.status, 200, "{booked:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_completions_node_whose_callers_port_is_taken_serves_once_it_is_free() {
    check_node_waits_for("listen").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_completions_node_whose_admin_port_is_taken_serves_once_it_is_free() {
    check_node_waits_for("admin").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_completions_node_whose_peer_port_is_taken_serves_once_it_is_free() {
    check_node_waits_for("peer").await;
}

/// Guards against a stop that is not possible, or a failure, while a node waits for a port.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_completions_node_that_waits_for_a_port_can_be_stopped() {
    for setting in ["listen", "admin", "peer"] {
        let (mut env, _taken) = fleet_with_taken_port(setting).await;
        env.signal("entry-1", "-TERM");
        assert!(env.wait_for_exit("entry-1").await, "the stop is no failure ({setting})");
    }
}
