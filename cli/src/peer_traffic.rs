//! What nodes send to each other, by kind.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;

use crate::log_lines::Line;
use crate::table::Table;

/// The event whose lines tell a node's sums since its start: for each kind `KIND=MESSAGES/BYTES`.
pub const EVENT: &str = "peer_traffic";

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct Sum {
    messages: u64,
    bytes: u64,
}

/// What nodes sent, as their lines tell it.
#[derive(Default)]
pub struct PeerTraffic {
    /// Of each node and kind, the sum of its ended processes and that of the present one.
    sums: HashMap<(String, String), (Sum, Sum)>,
}

/// One kind of message.
#[derive(Debug, PartialEq, Serialize)]
pub struct TrafficRow {
    kind: String,
    messages: u64,
    bytes: u64,
    /// Bytes that one node sent, in the middle and at the most.
    node_bytes: (u64, u64),
}

impl PeerTraffic {
    /// Takes a line in.
    pub fn on_line(&mut self, line: &Line) {
        for (kind, value) in &line.pairs {
            let Some(sum) = parse(value) else { continue };
            let (ended, present) = self.sums.entry((line.node.clone(), kind.clone())).or_default();
            // A lower sum is that of a new process.
            if sum.messages < present.messages {
                ended.messages += present.messages;
                ended.bytes += present.bytes;
            }
            *present = sum;
        }
    }

    /// One row for each kind, the most bytes first.
    pub fn rows(&self) -> Vec<TrafficRow> {
        let mut by_kind: BTreeMap<&str, Vec<Sum>> = BTreeMap::new();
        for ((_, kind), (ended, present)) in &self.sums {
            let sum = Sum { messages: ended.messages + present.messages, bytes: ended.bytes + present.bytes };
            by_kind.entry(kind).or_default().push(sum);
        }
        let mut rows: Vec<TrafficRow> = by_kind.into_iter().map(|(kind, sums)| row(kind, sums)).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.bytes));
        rows
    }
}

fn parse(value: &str) -> Option<Sum> {
    let (messages, bytes) = value.split_once('/')?;
    Some(Sum { messages: messages.parse().ok()?, bytes: bytes.parse().ok()? })
}

fn row(kind: &str, mut sums: Vec<Sum>) -> TrafficRow {
    sums.sort_by_key(|sum| sum.bytes);
    TrafficRow {
        kind: kind.to_owned(),
        messages: sums.iter().map(|sum| sum.messages).sum(),
        bytes: sums.iter().map(|sum| sum.bytes).sum(),
        node_bytes: (sums[sums.len() / 2].bytes, sums[sums.len() - 1].bytes),
    }
}

/// As a table.
pub fn table(rows: &[TrafficRow]) -> Table {
    let mut table = Table::new(&["SENT TO NODES", "MESSAGES", "BYTES", "OF ONE NODE, MIDDLE, MOST"]);
    for row in rows {
        let (middle, most) = row.node_bytes;
        let cells = [row.messages.to_string(), row.bytes.to_string(), format!("{middle}, {most}")];
        table.row(std::iter::once(row.kind.clone()).chain(cells));
    }
    table
}
