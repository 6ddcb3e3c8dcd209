//! Distribution of bundles to running nodes: each node applies the newest bundle, and numbers never
//! decrease, during outages of the object API, frozen processes and restarts.

use ed25519_dalek::SigningKey;
use leadstage_lib::signing::Envelope;
use leadstage_lib::signing::sign;
use leadstage_testutils::faulty_proxy::LinkFault;

use crate::environment::Env;
use crate::environment::Options;
use crate::environment::bundle_yaml;
use crate::environment::envelope;

async fn start() -> Env {
    Env::start(Options { nodes: 3, engines: 0, ..Options::default() }).await
}

/// The object API fails for all nodes after one of them has fetched a bundle; the others get it from that
/// peer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_peers_forward_a_bundle_in_an_outage() {
    let env = start().await;
    env.signal("entry-2", "-STOP");
    env.signal("entry-3", "-STOP");
    env.roll_out(2).await;
    env.until_bundle(1, 2).await;
    env.set_fault("platform", "down").await;
    env.signal("entry-2", "-CONT");
    env.signal("entry-3", "-CONT");
    env.until_bundle(2, 2).await;
    env.until_bundle(3, 2).await;
    env.until_ready(3).await;
}

/// A node that starts while the object API is down fetches a bundle of 0.3 MB from a peer, also over a link
/// on which the transfer takes three seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_a_large_bundle_is_fetched_from_a_peer_over_a_slow_link() {
    let options = Options { nodes: 2, engines: 0, ..Options::default() };
    let mut env = Env::start(options).await;
    env.kill("entry-2");
    let proxy = env.add_peer_proxy(1).await;
    let yaml = format!("{}\n# {}\n", bundle_yaml(2, &env.options.bounds), "x".repeat(300_000));
    env.put_bundle(envelope(2, &yaml, "test").to_bytes()).await;
    env.until_bundle(1, 2).await;
    proxy.set(LinkFault::Throttle(100_000));
    env.set_fault("platform", "down").await;
    env.start_node(2);
    env.until_bundle(2, 2).await;
}

/// A node that starts while the object API is down applies its peers' newest bundle; without peers it stays
/// not ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_restart_in_an_outage() {
    let mut env = start().await;
    env.roll_out(2).await;
    env.until_bundle(1, 2).await;
    env.set_fault("platform", "down").await;
    env.kill("entry-3");
    env.start_node(3);
    env.until_bundle(3, 2).await;
    env.until_ready(3).await;
    ["entry-1", "entry-2", "entry-3"].iter().for_each(|name| env.kill(name));
    env.start_node(1);
    env.until("a status of entry-1", async |env: &Env| env.status(1).await.is_some()).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let ready = env.get(&env.admin(1), "/readyz").await.expect("the node answers");
    assert_eq!((ready.status, ready.body.as_str()), (503, "no bundle"));
    env.set_fault("platform", "up").await;
    env.until_ready(1).await;
}

/// A node that is suspended (SIGSTOP) during a roll-out applies the new bundle once it continues.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_frozen_across_a_roll_out() {
    let env = start().await;
    env.signal("entry-1", "-STOP");
    env.roll_out(2).await;
    env.until_bundle(2, 2).await;
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    env.roll_out(3).await;
    env.until_bundle(2, 3).await;
    env.signal("entry-1", "-CONT");
    env.until_bundle(1, 3).await;
}

/// An outage of the object API alone makes no node unready; a node whose peers are gone too reports "alone".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_outage_alone_keeps_nodes_ready() {
    let options = Options { engines: 0, bounds: "alone_within: 2s".to_owned(), ..Options::default() };
    let mut env = Env::start(options).await;
    env.set_fault("platform", "down").await;
    tokio::time::sleep(std::time::Duration::from_secs(6)).await;
    for node in 1..=2 {
        let ready = env.get(&env.admin(node), "/readyz").await.expect("the node answers");
        assert_eq!(ready.status, 200, "entry-{node}: {}", ready.body);
    }
    env.kill("entry-2");
    env.until("entry-1 to report that it is alone", async |env: &Env| {
        env.get(&env.admin(1), "/readyz").await.is_ok_and(|r| r.body == "alone")
    })
    .await;
    env.set_fault("platform", "up").await;
    env.until_ready(1).await;
}

/// Forged, unsigned, altered and older bundles in the object API are applied by no node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_forged_bundles_are_refused_everywhere() {
    let env = start().await;
    env.roll_out(5).await;
    for node in 1..=3 {
        env.until_bundle(node, 5).await;
    }
    let yaml = bundle_yaml(9, "stall_within: 1s");
    let untrusted_key = SigningKey::from_bytes(&[6; 32]);
    let unsigned = Envelope { signatures: vec![], ..envelope(9, &yaml, "test") };
    let forged = Envelope { signatures: vec![sign(&yaml, &untrusted_key)], ..unsigned.clone() };
    let changed = Envelope { yaml: format!("{yaml}\n# more\n"), ..envelope(9, &yaml, "test") };
    let older = envelope(4, &bundle_yaml(4, "stall_within: 1s"), "test");
    for bytes in
        [unsigned.to_bytes(), forged.to_bytes(), changed.to_bytes(), older.to_bytes(), b"rubbish".to_vec()]
    {
        env.put_bundle(bytes).await;
    }
    env.roll_out(6).await;
    for node in 1..=3 {
        env.until_bundle(node, 6).await;
        let log = env.logs();
        assert!(!log.contains("number=9") && !log.contains("number=4"), "{log}");
    }
}
