//! Connections that fall silent for good, without a reset, while new ones work.

use std::collections::HashSet;
use std::time::Duration;

use http::Request;
use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::gateway_replica::ReplicaFault;
use tokio::time::Instant;

use crate::gateway_environment::Called;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::config;
use crate::gateway_environment::request;
use crate::gateway_environment::tag;

/// How long the callers of these tests wait for a plain call.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Calls at once that leave a node with as many unused connections to each replica as it keeps.
const CROWD: usize = 24;
/// An answered connection is used again after a short rest; this is longer.
const REST: Duration = Duration::from_millis(60);
/// Callers leave a stream after so long a silence.
const CALLERS_LEAVE_AFTER: Duration = Duration::from_millis(2_000);

/// A node whose replicas of plain calls are behind proxies, with unused connections to all.
async fn with_unused_connections() -> (Gateway, Vec<RunningReplica>, Vec<FaultyProxy>) {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let (mut replicas, mut proxies) = (Vec::new(), Vec::new());
    for id in ["booking-1", "booking-2"] {
        let running = gateway.start_replica("booking", id, 1).await;
        proxies.push(gateway.put_proxy_before("booking", &running).await);
        replicas.push(running);
    }
    gateway.start_node();
    gateway.until_ready(0).await;
    let crowd = (0..CROWD).map(|n| gateway.call(0, plain("/read/x", &format!("warm-{n}"))));
    for called in futures::future::join_all(crowd).await {
        assert_eq!(called.status, 200, "{}", gateway.logs());
    }
    tokio::time::sleep(REST).await;
    (gateway, replicas, proxies)
}

fn plain(path: &str, id: &str) -> Request<http_body_util::Full<bytes::Bytes>> {
    let mut req = request("POST", path, KEY, id);
    let deadline = DEADLINE.as_millis().to_string().parse().expect("valid");
    req.headers_mut().insert("leadstage-deadline-ms", deadline);
    req
}

async fn timed(gateway: &Gateway, path: &str, id: &str) -> (Called, Duration) {
    let began = Instant::now();
    let called = gateway.call(0, plain(path, id)).await;
    (called, began.elapsed())
}

/// Unused connections to both replicas had fallen silent. Calls that may repeat were sent on one
/// after the other of them, waited there until their deadline and came to nothing, though a new
/// connection answers within some milliseconds: three of the six calls ended with 504 after 1.5 s.
#[tokio::test]
async fn test_calls_that_may_repeat_outlive_silent_connections() {
    let (gateway, _replicas, proxies) = with_unused_connections().await;
    proxies.iter().for_each(FaultyProxy::silence_open);
    let mut rows = Vec::new();
    for n in 0..6 {
        let (called, took) = timed(&gateway, "/read/x", &format!("r-{n}")).await;
        rows.push((called.status, took < DEADLINE.mul_f64(0.7)));
    }
    assert_eq!(rows, vec![(200, true); 6], "statuses, and whether in time\n{}", gateway.logs());
}

/// What is sent on a silent connection may have run, so a call that runs at most once fails with
/// the first one. Those that followed were sent on the other silent connections to the same
/// replica, and failed too: three of the eight calls to two replicas.
#[tokio::test]
async fn test_one_silent_connection_to_a_replica_condemns_its_others() {
    let (gateway, replicas, proxies) = with_unused_connections().await;
    proxies.iter().for_each(FaultyProxy::silence_open);
    let mut failed = 0;
    for n in 0..8 {
        let (called, _took) = timed(&gateway, "/book/x", &format!("r-{n}")).await;
        failed += usize::from(called.status != 200);
    }
    assert!(failed <= replicas.len(), "{failed} of 8 failed\n{}", gateway.logs());
    let seen: Vec<_> = replicas.iter().flat_map(|running| running.replica.seen()).collect();
    let ids: HashSet<_> = seen.iter().filter_map(|seen| seen.header("leadstage-request-id")).collect();
    assert_eq!(ids.len(), seen.len(), "nothing is sent twice");
}

/// A replica that never answers what came on a kept connection looks the same: the call is sent to
/// the other one while there is time for its answer.
#[tokio::test]
async fn test_a_replica_that_never_answers_on_a_kept_connection_is_left_in_time() {
    let (gateway, replicas, _proxies) = with_unused_connections().await;
    replicas[0].replica.set_fault(ReplicaFault::Hangs);
    for n in 0..6 {
        let (called, _took) = timed(&gateway, "/read/x", &format!("r-{n}")).await;
        assert_eq!(called.status, 200, "{}", gateway.logs());
    }
}

/// A stream's connection falls silent midway while its engine goes on and is well: a resumable
/// stream goes on at the other engine before its caller leaves.
#[tokio::test]
async fn test_a_resumable_stream_goes_on_before_its_caller_leaves_a_silent_connection() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let mut models = Vec::new();
    for id in ["model-1", "model-2"] {
        let running = gateway.start_replica("model", id, 60).await;
        let proxy = gateway.put_proxy_before("model", &running).await;
        models.push((running, proxy));
    }
    gateway.start_node();
    gateway.until_ready(0).await;
    let (called, ()) = tokio::join!(gateway.call(0, tag("r-1")), async {
        gateway.until("it runs", async || models.iter().any(|(m, _)| m.replica.running() > 0)).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        models.iter().for_each(|(_, proxy)| proxy.silence_open());
    });
    assert!(called.whole && called.events() == Some(60), "{called:?}\n{}", gateway.logs());
    let log = gateway.log(0);
    let gap = log.split("gap_ms=").nth(1).and_then(|rest| rest.split_whitespace().next());
    let gap = gap.and_then(|gap| gap.parse().ok()).map(Duration::from_millis).expect("it is logged");
    assert!(gap < CALLERS_LEAVE_AFTER, "silent for {gap:?}\n{}", gateway.logs());
}
