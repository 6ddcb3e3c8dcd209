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

/// Reads JSON from a node's admin port.
pub async fn read<T: DeserializeOwned>(node: SocketAddr, path: &str) -> Result<T, CliError> {
    let answer = http::get(node, path).await?;
    let wrong = |reason: String| CliError::Answer { what: format!("{node}{path}"), reason };
    if answer.status != 200 {
        return Err(wrong(format!("HTTP status {}", answer.status)));
    }
    serde_json::from_slice(&answer.body).map_err(|err| wrong(err.to_string()))
}

/// Shows the status of all nodes that answer; fails if none does.
pub async fn status(nodes: &[SocketAddr], format: Format) -> Result<String, CliError> {
    let mut found: Vec<NodeStatus> = Vec::new();
    let mut failed = None;
    let mut silent = Vec::new();
    for node in nodes {
        match read(*node, "/status").await {
            Ok(status) => found.push(status),
            Err(err) => {
                silent.push(*node);
                failed = Some(err);
            }
        }
    }
    if found.is_empty()
        && let Some(err) = failed
    {
        return Err(err);
    }
    if format == Format::Json {
        return Ok(format!("{}\n", serde_json::to_string_pretty(&found).expect("plain data serialises")));
    }
    Ok(render(&found, &silent))
}

/// The status as text.
pub fn render(found: &[NodeStatus], silent: &[SocketAddr]) -> String {
    let mut out = nodes_table(found).render();
    for node in silent {
        out.push_str(&format!("{node}: no answer\n"));
    }
    out.push('\n');
    out.push_str(&pools_table(found).render());
    out.push('\n');
    out.push_str(&engines_table(found).render());
    out.push_str(&names("leaving upstreams", found.iter().flat_map(|n| &n.leaving)));
    out.push_str(&names("closed halls", found.iter().flat_map(|n| &n.closed_halls)));
    out.push_str(&names("quarantined requests", found.iter().flat_map(|n| &n.quarantined)));
    out.push_str(&names("limits of upstreams", found.iter().flat_map(|n| &n.limits)));
    out
}

/// A line that names each once; nothing where there is none.
fn names<'a>(what: &str, names: impl Iterator<Item = &'a String>) -> String {
    let names: BTreeSet<&str> = names.map(String::as_str).collect();
    if names.is_empty() {
        return String::new();
    }
    format!("\n{what}: {}\n", names.into_iter().collect::<Vec<_>>().join(", "))
}

fn nodes_table(found: &[NodeStatus]) -> Table {
    let mut table =
        Table::new(&["NODE", "HALL", "READY", "BUNDLE", "HASH", "OPEN", "OBJECT API", "PEERS ALIVE"]);
    for node in found {
        let alive = node.peers.iter().filter(|p| p.liveness == "alive").count();
        table.row([
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

fn pools_table(found: &[NodeStatus]) -> Table {
    let mut table = Table::new(&["POOL", "HALL", "LEAD", "RUNNING", "WAITING"]);
    for (node, pool) in found.iter().flat_map(|n| n.pools.iter().map(move |p| (n, p))) {
        let counts = [pool.running.to_string(), pool.waiting.to_string()];
        let [running, waiting] = counts;
        table.row([pool.model.clone(), pool.hall.clone(), node.vm.clone(), running, waiting]);
    }
    table
}

fn engines_table(found: &[NodeStatus]) -> Table {
    let mut table = Table::new(&["ENGINE", "POOL", "HALL", "STATE", "RUNNING", "MEMORY", "STEP"]);
    for pool in found.iter().flat_map(|n| &n.pools) {
        for engine in &pool.engines {
            let part = 100.0 * engine.held_tokens as f64 / engine.memory_tokens.max(1) as f64;
            table.row([
                engine.id.clone(),
                pool.model.clone(),
                pool.hall.clone(),
                engine.state.clone(),
                engine.running.to_string(),
                format!("{part:.0} %"),
                format!("{:.1} ms", engine.step_ms),
            ]);
        }
    }
    table
}

/// Shows what was decided for a request, from the node that handled it.
pub async fn explain(id: &str, nodes: &[SocketAddr], format: Format) -> Result<String, CliError> {
    let mut failed = None;
    for node in nodes {
        match read::<Vec<Decision>>(*node, &format!("/explain?id={id}")).await {
            Ok(decisions) if format == Format::Json => {
                return Ok(format!(
                    "{}\n",
                    serde_json::to_string_pretty(&decisions).expect("plain data serialises")
                ));
            }
            Ok(decisions) => return Ok(render_decisions(&decisions)),
            Err(err) => failed = Some(err),
        }
    }
    Err(failed.unwrap_or(CliError::Missing("--node IP:PORT")))
}

fn render_decisions(decisions: &[Decision]) -> String {
    let start = decisions.first().map_or(0, |d| d.at);
    let mut table = Table::new(&["AFTER", "FILTER", "DECISION"]);
    for decision in decisions {
        let after = format!("{} ms", decision.at.saturating_sub(start));
        table.row([after, decision.filter.clone(), decision.what.clone()]);
    }
    table.render()
}
