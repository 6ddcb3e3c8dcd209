//! Odd entries in the VM list: each affects itself alone.

use serde_json::Value;
use serde_json::json;

use crate::environment::Env;
use crate::environment::Options;
use crate::stream::Caller;
use crate::stream::StreamEnd;

/// Asserts that a node serves a stream and a call.
async fn assert_served(env: &Env, node: usize) {
    let address = env.address(&format!("entry-{node}"));
    let received = Caller::start(&env.client, &address, "token-a", 3, None).finish().await;
    assert_eq!(received.end, Some(StreamEnd::Complete), "{}", env.logs());
    assert!(env.book(node, None).await.is_ok_and(|reply| reply.status == 200), "{}", env.logs());
}

/// Entries that no node can read, and some that no JSON writer makes.
fn unreadable_entries() -> Vec<String> {
    let entry = json!({"id": "odd", "role": "engine", "hall": "h", "address": "10.0.0.1:9100", "serves": "m",
        "state": "live"});
    let mut entries = vec![json!(7), json!([]), Value::Null, json!({})];
    for field in ["id", "role", "hall", "address", "serves", "state"] {
        for value in [json!({"of": "another type"}), json!(1.5), Value::Null] {
            let mut odd = entry.clone();
            odd[field] = value;
            entries.push(odd);
        }
    }
    for (field, value) in [("role", "balancer"), ("state", "resting"), ("address", "host.example:80")] {
        let mut odd = entry.clone();
        odd[field] = value.into();
        entries.push(odd);
    }
    let mut entries: Vec<String> = entries.iter().map(Value::to_string).collect();
    entries.extend(["NaN", "{\"id\": 01}", "\"\u{0}\""].map(str::to_owned));
    entries
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_unreadable_vms_affect_no_other() {
    let mut env = Env::without_bundle(Options::default()).await;
    env.add_raw_vms(unreadable_entries()).await;
    for node in 1..=2 {
        env.kill(&format!("entry-{node}"));
        env.start_node(node);
    }
    env.roll_out(1).await;
    for node in 1..=2 {
        env.until_ready(node).await;
        env.until("the engines are up", async |env: &Env| env.engines_up().await == 2).await;
        assert_served(&env, node).await;
    }
    // Changes of other entries are still followed.
    env.set_vm_state("booking-1", "leaving").await;
    for node in 1..=2 {
        env.until("each node to list booking-1 as leaving", async |env: &Env| {
            env.status(node).await.unwrap_or_default()["leaving"].as_array().is_some_and(|l| !l.is_empty())
        })
        .await;
    }
}

/// A lead stores its fence under the name of its pool's hall.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_hall_with_an_odd_name_does_not_end_nodes() {
    let mut env = Env::start(Options::default()).await;
    for (n, hall) in ["hall 1", "a&b", "a+b", "a#b", "a%b", "a?b=c", "a\u{1}b", "\u{f1}"].iter().enumerate() {
        let engine = format!("engine-{}", 3 + n);
        env.start_engine(3 + n);
        env.set_vm_field(&engine, "hall", hall).await;
        env.until("the engine to load the adapter", async |env: &Env| {
            let orders = env.get(&env.address(&engine), "/stand-in/orders").await;
            orders.is_ok_and(|reply| reply.body == r#"["1:load:desk"]"#)
        })
        .await;
        for node in 1..=2 {
            assert_served(&env, node).await;
        }
    }
    let fences = env.get(&env.address("platform"), "/v1/list/fences").await.expect("a list");
    let fences: Vec<String> = serde_json::from_str(&fences.body).expect("names");
    assert_eq!(fences.len(), 9, "a fence for each hall: {fences:?}");
}
