//! `leadstage status` and `leadstage explain`.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use leadstage_lib::status::Decision;
use leadstage_lib::status::NodeStatus;
use serde::de::DeserializeOwned;

use crate::args::Format;
use crate::error::CliError;
use crate::http;
use crate::table::Table;

/// Requests a path of a node's admin port and parses the JSON response.
pub async fn read<T: DeserializeOwned>(node: SocketAddr, path: &str) -> Result<T, CliError> {
    let response = http::get(node, path).await?;
    let unexpected = |reason: String| CliError::UnexpectedResponse { what: format!("{node}{path}"), reason };
    if response.status != 200 {
        return Err(unexpected(format!("HTTP status {}", response.status)));
    }
    serde_json::from_slice(&response.body).map_err(|err| unexpected(err.to_string()))
}

/// Shows the status of all nodes that respond; fails if none does.
pub async fn show_status(nodes: &[SocketAddr], format: Format) -> Result<String, CliError> {
    let mut statuses: Vec<NodeStatus> = Vec::new();
    let mut last_error = None;
    let mut unreachable = Vec::new();
    for node in nodes {
        match read(*node, "/status").await {
            Ok(status) => statuses.push(status),
            Err(err) => {
                unreachable.push(*node);
                last_error = Some(err);
            }
        }
    }
    if statuses.is_empty()
        && let Some(err) = last_error
    {
        return Err(err);
    }
    if format == Format::Json {
        return Ok(format!("{}\n", serde_json::to_string_pretty(&statuses).expect("plain data serialises")));
    }
    Ok(render(&statuses, &unreachable))
}

/// Renders the status as text.
pub fn render(statuses: &[NodeStatus], unreachable: &[SocketAddr]) -> String {
    let mut out = nodes_table(statuses).render();
    for node in unreachable {
        out.push_str(&format!("{node}: no answer\n"));
    }
    out.push('\n');
    out.push_str(&pools_table(statuses).render());
    out.push('\n');
    out.push_str(&engines_table(statuses).render());
    out.push_str(&list_names("leaving upstreams", statuses.iter().flat_map(|n| &n.leaving)));
    out.push_str(&list_names("closed halls", statuses.iter().flat_map(|n| &n.closed_halls)));
    out.push_str(&list_names("quarantined requests", statuses.iter().flat_map(|n| &n.quarantined)));
    out.push_str(&list_names("limits of upstreams", statuses.iter().flat_map(|n| &n.limits)));
    out
}

/// Renders a line of sorted, distinct names; empty if there are none.
fn list_names<'a>(label: &str, names: impl Iterator<Item = &'a String>) -> String {
    let names: BTreeSet<&str> = names.map(String::as_str).collect();
    if names.is_empty() {
        return String::new();
    }
    format!("\n{label}: {}\n", names.into_iter().collect::<Vec<_>>().join(", "))
}

fn nodes_table(statuses: &[NodeStatus]) -> Table {
    let mut table =
        Table::new(&["NODE", "HALL", "READY", "BUNDLE", "HASH", "OPEN", "OBJECT API", "PEERS ALIVE"]);
    for node in statuses {
        let alive = node.peers.iter().filter(|p| p.liveness == "alive").count();
        table.add_row([
            node.vm.clone(),
            node.hall.clone(),
            node.readiness.clone(),
            node.bundle.map_or_else(|| "-".to_owned(), |n| n.to_string()),
            node.bundle_hash.chars().take(8).collect(),
            node.open.to_string(),
            if node.platform_reached { "reached".to_owned() } else { "not reached".to_owned() },
            format!("{alive}/{}", node.peers.len()),
        ]);
    }
    table
}

fn pools_table(statuses: &[NodeStatus]) -> Table {
    let mut table = Table::new(&["POOL", "HALL", "LEAD", "RUNNING", "WAITING"]);
    for (node, pool) in statuses.iter().flat_map(|n| n.pools.iter().map(move |p| (n, p))) {
        let counts = [pool.running.to_string(), pool.waiting.to_string()];
        let [running, waiting] = counts;
        table.add_row([pool.model.clone(), pool.hall.clone(), node.vm.clone(), running, waiting]);
    }
    table
}

fn engines_table(statuses: &[NodeStatus]) -> Table {
    let mut table = Table::new(&["ENGINE", "POOL", "HALL", "STATE", "RUNNING", "MEMORY", "STEP"]);
    for pool in statuses.iter().flat_map(|n| &n.pools) {
        for engine in &pool.engines {
            let used_percent = 100.0 * engine.held_tokens as f64 / engine.memory_tokens.max(1) as f64;
            table.add_row([
                engine.id.clone(),
                pool.model.clone(),
                pool.hall.clone(),
                engine.state.clone(),
                engine.running.to_string(),
                format!("{used_percent:.0} %"),
                format!("{:.1} ms", engine.step_ms),
            ]);
        }
    }
    table
}

/// Shows the decisions about a request, from the first node that knows it.
pub async fn explain(id: &str, nodes: &[SocketAddr], format: Format) -> Result<String, CliError> {
    let mut last_error = None;
    for node in nodes {
        match read::<Vec<Decision>>(*node, &format!("/explain?id={id}")).await {
            Ok(decisions) if format == Format::Json => {
                return Ok(format!(
                    "{}\n",
                    serde_json::to_string_pretty(&decisions).expect("plain data serialises")
                ));
            }
            Ok(decisions) => return Ok(render_decisions(&decisions)),
            Err(err) => last_error = Some(err),
        }
    }
    Err(last_error.unwrap_or(CliError::Missing("--node IP:PORT")))
}

fn render_decisions(decisions: &[Decision]) -> String {
    let start = decisions.first().map_or(0, |d| d.at);
    let mut table = Table::new(&["AFTER", "FILTER", "DECISION"]);
    for decision in decisions {
        let after = format!("{} ms", decision.at.saturating_sub(start));
        table.add_row([after, decision.filter.clone(), decision.what.clone()]);
    }
    table.render()
}
