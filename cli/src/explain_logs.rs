//! `leadstage explain ID --logs FILE`: what the gateway nodes' logs say of a request, with
//! what they say of its upstreams and of the store and the configuration meanwhile.

use std::collections::BTreeSet;
use std::path::PathBuf;

use crate::args::Format;
use crate::error::CliError;
use crate::log_lines;
use crate::log_lines::Line;

/// Events that concern every request of their time.
const EVENTS_FOR_ALL: [&str; 6] =
    ["store_lost", "store_regained", "config_in_force", "stop", "reload", "log_lines_left_out"];
/// Events about an upstream that bear on its requests.
const EVENTS_OF_UPSTREAMS: [&str; 2] = ["replica_leaves", "replica_listed"];
/// How long before and after a request's own lines the other ones count, in milliseconds:
/// a replica ends some seconds after its notice.
const MARGIN_MS: i64 = 3_000;

/// Explains a request from log files, one for each node.
pub fn explain(id: &str, files: &[PathBuf], format: Format) -> Result<String, CliError> {
    let lines = log_lines::read_all(files)?;
    let chosen = choose(id, &lines);
    if chosen.is_empty() {
        return Err(CliError::Missing("a line about this request in these logs"));
    }
    if format == Format::Json {
        let pairs: Vec<_> = chosen.iter().map(|line| &line.pairs).collect();
        return Ok(format!("{}\n", serde_json::to_string_pretty(&pairs).expect("plain data serialises")));
    }
    Ok(render(&chosen))
}

/// The request's own lines, and those around them that bear on it.
fn choose<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.get("request") == id).collect();
    let (Some(first), Some(last)) =
        (own.iter().map(|line| line.at_ms).min(), own.iter().map(|line| line.at_ms).max())
    else {
        return Vec::new();
    };
    let nodes: BTreeSet<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let upstreams: BTreeSet<&str> =
        own.iter().flat_map(|line| ["upstream", "from", "to"].map(|key| line.get(key))).collect();
    let hosts = hosts(lines, &nodes);
    let runs: BTreeSet<&str> = own.iter().map(|line| line.get("run")).filter(|run| !run.is_empty()).collect();
    let around = first - MARGIN_MS..=last + MARGIN_MS;
    let bears = |line: &&Line| {
        let event = line.get("event");
        let for_all = EVENTS_FOR_ALL.contains(&event) && nodes.contains(line.node.as_str());
        let of_upstream = EVENTS_OF_UPSTREAMS.contains(&event)
            && upstreams.contains(line.get("upstream"))
            && nodes.contains(line.node.as_str());
        let of_run = runs.contains(line.get("run")) && is_of_nodes(line, &nodes, &hosts);
        around.contains(&line.at_ms) && (for_all || of_upstream || of_run)
    };
    let mut chosen: Vec<&Line> =
        lines.iter().filter(|line| line.get("request") == id || bears(line)).collect();
    chosen.sort_by_key(|line| line.at_ms);
    chosen
}

/// The hosts of nodes, as their first lines tell them.
fn hosts<'a>(lines: &'a [Line], nodes: &BTreeSet<&str>) -> BTreeSet<&'a str> {
    let starts = lines.iter().filter(|line| line.get("event") == "start");
    starts.filter(|line| nodes.contains(line.node.as_str())).map(|line| host(line.get("listen"))).collect()
}

fn host(address: &str) -> &str {
    address.rsplit_once(':').map_or(address, |(host, _)| host)
}

/// Whether a line that names a run is about one of these nodes: each numbers its runs itself.
/// A lead's line names the node; where no log tells its host, it counts.
fn is_of_nodes(line: &Line, nodes: &BTreeSet<&str>, hosts: &BTreeSet<&str>) -> bool {
    match line.get("entry") {
        "" => line.get("request").is_empty() && nodes.contains(line.node.as_str()),
        entry => hosts.is_empty() || hosts.contains(host(entry)),
    }
}

fn render(chosen: &[&Line]) -> String {
    let first = chosen.first().map_or(0, |line| line.at_ms);
    let mut out = String::new();
    for line in chosen {
        let rest: Vec<String> = line
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
            rest.join(" "),
        ));
    }
    out
}
