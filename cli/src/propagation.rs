//! How long changes take to become known to all nodes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use derive_more::Display;
use serde::Serialize;

use crate::log_lines::Line;
use crate::table::Table;

/// What a change is about.
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

/// The events that tell of a change.
pub const EVENTS: [&str; 6] =
    ["config_in_force", "replica_listed", "replica_leaves", "node_changed", "hall_closed", "hall_opened"];

/// The change that a line tells of, and its name.
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

/// When each node learnt of each change.
#[derive(Default)]
pub struct ChangePropagation {
    known_at: HashMap<(Subject, String), HashMap<u32, i64>>,
    nodes: HashMap<String, u32>,
    /// When processes of each node started.
    starts: HashMap<u32, Vec<i64>>,
}

/// How far the changes of one subject went, and in what time: the middle and the worst of all changes.
#[derive(Debug, PartialEq, Serialize)]
pub struct PropagationRow {
    subject: Subject,
    changes: usize,
    /// Nodes that a change became known to.
    nodes: Summary,
    /// Time from the first node's knowledge to that of half of them, in milliseconds.
    half_ms: Summary,
    /// To that of 99 in 100.
    nearly_all_ms: Summary,
    /// To the last one's.
    all_ms: Summary,
}

/// The middle and the highest of some figures; for nodes, the lowest and the middle.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
struct Summary(i64, i64);

impl ChangePropagation {
    /// A process of a node started.
    pub fn on_start(&mut self, line: &Line) {
        let node = self.node_number(&line.node);
        self.starts.entry(node).or_default().push(line.common_clock_ms());
    }

    /// Takes a line in that may tell of a change.
    pub fn on_line(&mut self, line: &Line) {
        let Some(change) = change_of(line) else {
            return;
        };
        let (node, at) = (self.node_number(&line.node), line.common_clock_ms());
        let known_at = self.known_at.entry(change).or_default().entry(node).or_insert(at);
        *known_at = at.min(*known_at);
    }

    /// The times from the first node's knowledge of a change to that of each one, from short to long. A
    /// process that started meanwhile was not there to be told.
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

    /// One row for each subject.
    pub fn rows(&self) -> Vec<PropagationRow> {
        let mut by_subject: BTreeMap<Subject, Vec<Vec<i64>>> = BTreeMap::new();
        for ((subject, _), known_at) in &self.known_at {
            by_subject.entry(*subject).or_default().push(self.delays(known_at));
        }
        by_subject.into_iter().map(|(subject, changes)| propagation_row(subject, &changes)).collect()
    }

    /// For each subject, the part of the nodes that know a change by the time since its first, of all
    /// changes together.
    pub fn curves(&self) -> BTreeMap<Subject, Vec<i64>> {
        let mut curves: BTreeMap<Subject, Vec<i64>> = BTreeMap::new();
        for ((subject, _), known_at) in &self.known_at {
            curves.entry(*subject).or_default().extend(self.delays(known_at));
        }
        curves.values_mut().for_each(|delays| delays.sort_unstable());
        curves
    }
}

/// What so many of a hundred figures don't exceed, which stand from low to high; 0 of none.
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

/// As a table.
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
