//! What a node logs about its start.

use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::LinkFault;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::config;

#[tokio::test]
async fn test_a_long_start_names_what_it_waits_for_and_where_it_came_from() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let store = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    store.set(LinkFault::Silent);
    let late = gateway.start_lone_node_at(store.address);
    gateway
        .until("two reports", async || gateway.log(late).matches("for=replicas age_ms").count() >= 2)
        .await;
    store.set(LinkFault::None);
    gateway.until_ready(late).await;
    // Its store is silent, so that all comes from the first node.
    let other = FaultyProxy::start(&gateway.own_store_ip(), gateway.store_address()).await;
    other.set(LinkFault::Silent);
    let second = gateway.start_node_at(other.address);
    gateway.until_ready(second).await;
    let mut rows: Vec<String> = Vec::new();
    for node in [late, second] {
        let log = gateway.log(node);
        let lines =
            log.lines().filter(|line| line.contains("event=start_waits") || line.contains("event=serving"));
        rows.extend(lines.map(|line| masked(line.split_once(' ').expect("a time").1)));
    }
    // A loaded machine may see further reports, which say the same.
    rows.sort();
    rows.dedup();
    insta::assert_snapshot!(rows.join("\n"), @r#"
    level=INFO event=serving took_ms=N config_ms=N config_from=N.N.N.N:N replicas_ms=N replicas_from=N.N.N.N:N msg="the callers' port listens; configuration and replicas are known"
    level=INFO event=serving took_ms=N config_ms=N config_from=store replicas_ms=N replicas_from=store msg="the callers' port listens; configuration and replicas are known"
    level=WARN event=start_waits for=config age_ms=N nodes=N seen_elsewhere=false store_calls=N store_failed=N msg="the start still waits"
    level=WARN event=start_waits for=replicas age_ms=N nodes=N seen_elsewhere=false store_calls=N store_failed=N msg="the start still waits"
    "#);
}

/// A line with each number as `N`.
fn masked(line: &str) -> String {
    let mut masked = String::new();
    for char in line.chars() {
        let char = if char.is_ascii_digit() { 'N' } else { char };
        if !(char == 'N' && masked.ends_with('N')) {
            masked.push(char);
        }
    }
    masked
}
