//! Upstreams and nodes that leave, and recovery after a burst of failures.

use std::time::Duration;

use crate::environment::Env;
use crate::environment::Options;
use crate::environment::bundle_yaml;
use crate::environment::envelope;
use crate::stream::Caller;
use crate::stream::StreamEnd;

/// An engine that is reclaimed reports this itself, long before the VM list does. It gets no new work after
/// that, and its running streams are completed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_reclaimed_engine_gets_no_new_work() {
    let args = ["--step-us", "20000", "--lag-ms", "0"].map(str::to_owned).into();
    let env = Env::start(Options { engine_args: args, ..Options::default() }).await;
    let address = env.address("entry-1");
    let running: Vec<Caller> =
        (0..6).map(|_| Caller::start(&env.client, &address, "token-a", 150, None)).collect();
    env.until("work on both engines", async |env: &Env| {
        env.engine_load_field(1, "started").await > 0 && env.engine_load_field(2, "started").await > 0
    })
    .await;
    env.set_fault("engine-1", "reclaim").await;
    for node in 1..=2 {
        env.until("each node to list engine-1 as leaving", async |env: &Env| {
            let status = env.status(node).await.unwrap_or_default();
            status["leaving"].as_array().is_some_and(|l| l.iter().any(|e| e == "engine-1"))
        })
        .await;
    }
    let before = env.engine_load_field(1, "started").await;
    for node in [1, 2, 1, 2, 1, 2] {
        let address = env.address(&format!("entry-{node}"));
        let received = Caller::start(&env.client, &address, "token-a", 3, None).finish().await;
        assert_eq!(received.end, Some(StreamEnd::Complete));
    }
    assert_eq!(env.engine_load_field(1, "started").await, before, "new work on a leaving engine");
    for caller in running {
        let received = caller.finish().await;
        assert_eq!(received.end, Some(StreamEnd::Complete), "{received:?}");
        received.assert_in_order(0);
    }
}

/// A service's replica that the VM list marks as leaving gets no new calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_leaving_service_gets_no_new_call() {
    let mut env = Env::start(Options { engines: 0, ..Options::default() }).await;
    assert!(env.book(1, None).await.is_ok_and(|r| r.status == 200));
    env.set_vm_state("booking-1", "leaving").await;
    for node in 1..=2 {
        env.until("each node to list booking-1 as leaving", async |env: &Env| {
            env.status(node).await.unwrap_or_default()["leaving"].as_array().is_some_and(|l| !l.is_empty())
        })
        .await;
    }
    let before = env.bookings().await;
    let reply = env.book(2, None).await.expect("a response");
    assert_eq!((reply.status, crate::environment::error_code(&reply)), (503, 2104));
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(env.bookings().await, before);
}

/// Half of the fleet fails at once while streams run. Each stream is completed or ends with an error code,
/// and the fleet serves new requests as before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_recovers_after_a_burst_of_failures() {
    let args = ["--step-us", "10000"].map(str::to_owned).into();
    let options = Options { nodes: 4, engines: 4, engine_args: args, ..Options::default() };
    let mut env = Env::start(options).await;
    let streams: Vec<Caller> = (0..40)
        .map(|n| {
            Caller::start(&env.client, &env.address(&format!("entry-{}", n % 2 + 1)), "token-a", 100, None)
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    ["entry-3", "entry-4", "engine-3", "engine-4"].iter().for_each(|name| env.kill(name));
    env.set_fault("platform", "down").await;
    env.set_fault("engine-1", "cut").await;
    for stream in streams {
        let received = stream.finish().await;
        received.assert_in_order(0);
        assert!(
            matches!(received.end, Some(StreamEnd::Complete | StreamEnd::Code(4001 | 3001))),
            "{received:?}\n{}",
            env.logs()
        );
    }
    for node in [1, 2, 1, 2] {
        let address = env.address(&format!("entry-{node}"));
        let received = Caller::start(&env.client, &address, "token-a", 10, None).finish().await;
        assert_eq!(received.end, Some(StreamEnd::Complete), "{received:?}\n{}", env.logs());
    }
    env.until("the lead to count no running or waiting requests", async |env: &Env| {
        let lead = env.lead().await;
        let status = env.status(lead).await.unwrap_or_default();
        status["pools"][0]["running"] == 0 && status["pools"][0]["waiting"] == 0
    })
    .await;
}

/// A caller whose entry node died does not reconnect: its generation is finally cancelled, which frees the
/// engine's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_abandoned_generation_is_cancelled() {
    let args = ["--step-us", "100000"].map(str::to_owned).into();
    let mut env = Env::start(Options { engine_args: args, engines: 1, ..Options::default() }).await;
    let lead = env.lead().await;
    let entry = lead % 2 + 1;
    let caller = Caller::start(&env.client, &env.address(&format!("entry-{entry}")), "token-a", 2_000, None);
    env.until("tokens", async |_: &Env| caller.received().texts.len() > 2).await;
    env.until("the lead to count the request as running", async |env: &Env| {
        env.status(lead).await.unwrap_or_default()["pools"][0]["running"] == 1
    })
    .await;
    env.kill(&format!("entry-{entry}"));
    env.until("a cancellation", async |env: &Env| env.engine_load_field(1, "cancelled").await == 1).await;
}

/// The lead makes each engine load the bundle's adapters once, under its fence. A new lead has a higher
/// epoch.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_engines_load_the_adapters() {
    let mut env = Env::start(Options { nodes: 3, ..Options::default() }).await;
    let orders = async |env: &Env, engine: &str| -> Vec<String> {
        let reply = env.get(&env.address(engine), "/stand-in/orders").await;
        reply.map(|r| serde_json::from_str(&r.body).expect("a list")).unwrap_or_default()
    };
    env.until("both engines to load the adapter", async |env: &Env| {
        !orders(env, "engine-1").await.is_empty() && !orders(env, "engine-2").await.is_empty()
    })
    .await;
    let lead = env.lead().await;
    env.kill(&format!("entry-{lead}"));
    env.start_engine(3);
    env.set_vm_state("engine-3", "live").await;
    env.until("engine-3 to load the adapter", async |env: &Env| !orders(env, "engine-3").await.is_empty())
        .await;
    assert_eq!(orders(&env, "engine-1").await, ["1:load:desk"]);
    assert_eq!(orders(&env, "engine-2").await, ["1:load:desk"]);
    assert_eq!(orders(&env, "engine-3").await, ["2:load:desk"]);
}

/// A stopping node completes its stream. After the load balancer's grace period it accepts no new requests,
/// however long the stream lasts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stopping_node_refuses_requests_after_the_grace_period() {
    let args = ["--step-us", "50000"].map(str::to_owned).into();
    let mut env = Env::start(Options { engine_args: args, ..Options::default() }).await;
    let address = env.address("entry-1");
    let stream = Caller::start(&env.client, &address, "token-a", 300, None);
    env.until("tokens", async |_: &Env| !stream.received().texts.is_empty()).await;
    env.signal("entry-1", "-TERM");
    env.until("entry-1 to refuse new requests", async |env: &Env| {
        env.book(1, None).await.is_ok_and(|reply| crate::environment::error_code(&reply) == 2108)
    })
    .await;
    let received = stream.finish().await;
    assert_eq!(
        (received.end.clone(), received.texts.len()),
        (Some(StreamEnd::Complete), 300),
        "{received:?}"
    );
    assert!(env.wait_for_exit("entry-1").await);
}

/// An engine that the bundle drains gets no new work, even if requests wait and it still reports its load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_drained_engine_gets_no_new_work() {
    let args = ["--step-us", "50000", "--max-batch", "1"].map(str::to_owned).into();
    let bounds = "stall_within: 5s\nmax_wait: 60s".to_owned();
    let env = Env::start(Options { engine_args: args, bounds, ..Options::default() }).await;
    let yaml = bundle_yaml(2, &env.options.bounds).replace("[desk]", "[desk], drained: [engine-2]");
    env.put_bundle(envelope(2, &yaml, "test").to_bytes()).await;
    for node in 1..=2 {
        env.until_bundle(node, 2).await;
    }
    let lead = env.lead().await;
    env.until("the lead to mark engine-2 as leaving", async |env: &Env| {
        let status = env.status(lead).await.unwrap_or_default();
        let engines = status["pools"][0]["engines"].as_array().cloned().unwrap_or_default();
        engines.iter().any(|e| e["id"] == "engine-2" && e["state"] == "leaving")
    })
    .await;
    let address = env.address("entry-1");
    let callers: Vec<Caller> =
        (0..3).map(|_| Caller::start(&env.client, &address, "token-a", 60, None)).collect();
    for caller in callers {
        assert_eq!(caller.finish().await.end, Some(StreamEnd::Complete));
    }
    assert_eq!(env.engine_load_field(2, "started").await, 0, "new work on a drained engine");
}
