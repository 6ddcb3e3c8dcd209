//! Propagation times of changes to all nodes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use derive_more::Display;
use serde::Serialize;

use crate::log_lines::Line;
use crate::table::Table;

/// Kind of a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    #[display("configuration")]
    Configuration,
    #[display("replica listed")]
    ReplicaListed,
    #[display("replica leaves")]
    ReplicaLeaves,
    #[display("node gone")]
    NodeGone,
    #[display("hall closed or opened")]
    Hall,
}

/// The events that report a change.
pub const EVENTS: [&str; 6] =
    ["config_in_force", "replica_listed", "replica_leaves", "node_changed", "hall_closed", "hall_opened"];

/// The change that a line reports: its kind, and a name that identifies it on all nodes.
fn change_of(line: &Line) -> Option<(Subject, String)> {
    Some(match line.get("event") {
        "config_in_force" => (Subject::Configuration, line.get("version").to_owned()),
        "replica_listed" => (Subject::ReplicaListed, line.get("upstream").to_owned()),
        "replica_leaves" => (Subject::ReplicaLeaves, line.get("upstream").to_owned()),
        "node_changed" if matches!(line.get("liveness"), "Dead" | "Left") => {
            (Subject::NodeGone, format!("{} {}", line.get("node"), line.get("incarnation")))
        }
        event @ ("hall_closed" | "hall_opened") => {
            (Subject::Hall, format!("{event} {} {}", line.get("hall"), line.get("at")))
        }
        _ => return None,
    })
}

/// Records when each node learned of each change.
#[derive(Default)]
pub struct ChangePropagation {
    known_at: HashMap<(Subject, String), HashMap<u32, i64>>,
    nodes: HashMap<String, u32>,
    /// Start times of the processes of each node.
    starts: HashMap<u32, Vec<i64>>,
}

/// How many nodes learned of the changes of one subject and how long it took: the median and the worst value
/// over all changes.
#[derive(Debug, PartialEq, Serialize)]
pub struct PropagationRow {
    subject: Subject,
    changes: usize,
    /// Number of nodes that learned of a change.
    nodes: Summary,
    /// Time from the first node that learned of a change until half of the nodes knew it, in milliseconds.
    half_ms: Summary,
    /// Time until 99 % of the nodes knew it.
    nearly_all_ms: Summary,
    /// Time until the last node knew it.
    all_ms: Summary,
}

/// The median and the maximum of a set of values; for numbers of nodes, the minimum and the median.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
struct Summary(i64, i64);

impl ChangePropagation {
    /// Records the start of a process.
    pub fn on_start(&mut self, line: &Line) {
        let node = self.node_number(&line.node);
        self.starts.entry(node).or_default().push(line.common_clock_ms());
    }

    /// Records the change that a line reports, if any.
    pub fn on_line(&mut self, line: &Line) {
        let Some(change) = change_of(line) else {
            return;
        };
        let (node, at) = (self.node_number(&line.node), line.common_clock_ms());
        let known_at = self.known_at.entry(change).or_default().entry(node).or_insert(at);
        *known_at = at.min(*known_at);
    }

    /// The times from the first node that learned of a change until each node did, in ascending order. Nodes
    /// whose process started in between are left out, because they could not be notified before.
    fn delays(&self, known_at: &HashMap<u32, i64>) -> Vec<i64> {
        let first = known_at.values().min().copied().unwrap_or_default();
        let was_running = |node: &u32, at: i64| {
            let starts = self.starts.get(node).map_or(&[][..], Vec::as_slice);
            !starts.iter().any(|start| first < *start && *start <= at)
        };
        let counted = known_at.iter().filter(|(node, at)| was_running(node, **at));
        let mut delays: Vec<i64> = counted.map(|(_, at)| at - first).collect();
        delays.sort_unstable();
        delays
    }

    fn node_number(&mut self, node: &str) -> u32 {
        let next = self.nodes.len() as u32;
        *self.nodes.entry(node.to_owned()).or_insert(next)
    }

    /// Returns one row per subject.
    pub fn rows(&self) -> Vec<PropagationRow> {
        let mut by_subject: BTreeMap<Subject, Vec<Vec<i64>>> = BTreeMap::new();
        for ((subject, _), known_at) in &self.known_at {
            by_subject.entry(*subject).or_default().push(self.delays(known_at));
        }
        by_subject.into_iter().map(|(subject, changes)| propagation_row(subject, &changes)).collect()
    }

    /// For each subject, the delays of all nodes over all of its changes, in ascending order.
    pub fn curves(&self) -> BTreeMap<Subject, Vec<i64>> {
        let mut curves: BTreeMap<Subject, Vec<i64>> = BTreeMap::new();
        for ((subject, _), known_at) in &self.known_at {
            curves.entry(*subject).or_default().extend(self.delays(known_at));
        }
        curves.values_mut().for_each(|delays| delays.sort_unstable());
        curves
    }
}

/// The given percentile of values in ascending order (nearest rank); 0 if there are none.
pub fn percentile(values: &[i64], percent: usize) -> i64 {
    let index = (values.len() * percent).div_ceil(100).max(1) - 1;
    values.get(index).copied().unwrap_or_default()
}

fn propagation_row(subject: Subject, changes: &[Vec<i64>]) -> PropagationRow {
    let summary = |percent: usize| {
        let mut values: Vec<i64> = changes.iter().map(|delays| percentile(delays, percent)).collect();
        values.sort_unstable();
        Summary(values[values.len() / 2], values[values.len() - 1])
    };
    let mut nodes: Vec<i64> = changes.iter().map(|delays| delays.len() as i64).collect();
    nodes.sort_unstable();
    PropagationRow {
        subject,
        changes: changes.len(),
        nodes: Summary(nodes[0], nodes[nodes.len() / 2]),
        half_ms: summary(50),
        nearly_all_ms: summary(99),
        all_ms: summary(100),
    }
}

/// Formats the rows as a table.
pub fn table(rows: &[PropagationRow]) -> Table {
    let mut table = Table::new(&[
        "CHANGE",
        "CHANGES",
        "NODES, FEWEST, MIDDLE",
        "HALF MS, MIDDLE, WORST",
        "99 IN 100",
        "ALL",
    ]);
    for row in rows {
        let cell = |Summary(a, b): Summary| format!("{a}, {b}");
        table.add_row([
            row.subject.to_string(),
            row.changes.to_string(),
            cell(row.nodes),
            cell(row.half_ms),
            cell(row.nearly_all_ms),
            cell(row.all_ms),
        ]);
    }
    table
}
