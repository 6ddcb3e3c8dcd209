//! `leadstage explain ID --logs FILE`: the lines of the gateway nodes' logs about a request, and those about
//! its upstreams, the store and the configuration during that time.

use std::collections::BTreeSet;
use std::path::PathBuf;

use crate::args::Format;
use crate::error::CliError;
use crate::log_lines;
use crate::log_lines::Line;

/// Events that affect every request open on the node at that time.
const NODE_WIDE_EVENTS: [&str; 6] =
    ["store_lost", "store_regained", "config_in_force", "stop", "reload", "log_lines_left_out"];
/// Events of an upstream that affect its requests.
const UPSTREAM_EVENTS: [&str; 2] = ["replica_leaves", "replica_listed"];
/// How long before the first and after the last line of a request related lines are included, in
/// milliseconds. A replica ends some seconds after its notice.
const MARGIN_MS: i64 = 3_000;

/// Explains a request from log files, one per node.
pub fn explain(id: &str, files: &[PathBuf], format: Format) -> Result<String, CliError> {
    let lines = log_lines::read_all(files)?;
    let selected = select_lines(id, &lines);
    if selected.is_empty() {
        return Err(CliError::Missing("a line about this request in these logs"));
    }
    if format == Format::Json {
        let pairs: Vec<_> = selected.iter().map(|line| &line.pairs).collect();
        return Ok(format!("{}\n", serde_json::to_string_pretty(&pairs).expect("plain data serialises")));
    }
    Ok(render(&selected))
}

/// Selects the lines about the request and the related lines around them, ordered by time.
fn select_lines<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let request_lines: Vec<&Line> = lines.iter().filter(|line| line.get("request") == id).collect();
    let (Some(first), Some(last)) = (
        request_lines.iter().map(|line| line.at_ms).min(),
        request_lines.iter().map(|line| line.at_ms).max(),
    ) else {
        return Vec::new();
    };
    let nodes: BTreeSet<&str> = request_lines.iter().map(|line| line.node.as_str()).collect();
    let upstreams: BTreeSet<&str> =
        request_lines.iter().flat_map(|line| ["upstream", "from", "to"].map(|key| line.get(key))).collect();
    let hosts = hosts(lines, &nodes);
    let runs: BTreeSet<&str> =
        request_lines.iter().map(|line| line.get("run")).filter(|run| !run.is_empty()).collect();
    let time_range = first - MARGIN_MS..=last + MARGIN_MS;
    let is_related = |line: &&Line| {
        let event = line.get("event");
        let is_node_wide = NODE_WIDE_EVENTS.contains(&event) && nodes.contains(line.node.as_str());
        let is_about_upstream = UPSTREAM_EVENTS.contains(&event)
            && upstreams.contains(line.get("upstream"))
            && nodes.contains(line.node.as_str());
        let is_about_run = runs.contains(line.get("run")) && is_about_nodes(line, &nodes, &hosts);
        time_range.contains(&line.at_ms) && (is_node_wide || is_about_upstream || is_about_run)
    };
    let mut selected: Vec<&Line> =
        lines.iter().filter(|line| line.get("request") == id || is_related(line)).collect();
    selected.sort_by_key(|line| line.at_ms);
    selected
}

/// The hosts of the nodes, from the listen addresses in their `start` lines.
fn hosts<'a>(lines: &'a [Line], nodes: &BTreeSet<&str>) -> BTreeSet<&'a str> {
    let starts = lines.iter().filter(|line| line.get("event") == "start");
    starts.filter(|line| nodes.contains(line.node.as_str())).map(|line| host(line.get("listen"))).collect()
}

fn host(address: &str) -> &str {
    address.rsplit_once(':').map_or(address, |(host, _)| host)
}

/// Whether a line with a run number is about one of these nodes; run numbers are unique only per node. A
/// lead's line names the node by `entry`, and is included if no log gives the nodes' hosts. A line without
/// `entry` and `request` is about the node that wrote it.
fn is_about_nodes(line: &Line, nodes: &BTreeSet<&str>, hosts: &BTreeSet<&str>) -> bool {
    match line.get("entry") {
        "" => line.get("request").is_empty() && nodes.contains(line.node.as_str()),
        entry => hosts.is_empty() || hosts.contains(host(entry)),
    }
}

fn render(selected: &[&Line]) -> String {
    let first = selected.first().map_or(0, |line| line.at_ms);
    let mut out = String::new();
    for line in selected {
        let other_pairs: Vec<String> = line
            .pairs
            .iter()
            .filter(|(key, _)| !["ts", "level", "event", "msg", "request"].contains(&key.as_str()))
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        out.push_str(&format!(
            "{:>7} ms  {:<16} {:<16} {}  [{}]\n",
            line.at_ms - first,
            line.node,
            line.get("event"),
            line.get("msg"),
            other_pairs.join(" "),
        ));
    }
    out
}
