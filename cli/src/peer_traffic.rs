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
struct Totals {
    messages: u64,
    bytes: u64,
}

/// What nodes sent, as their lines tell it.
#[derive(Default)]
pub struct PeerTraffic {
    /// Of each node and kind, the sum of its ended processes and that of the present one.
    totals: HashMap<(String, String), (Totals, Totals)>,
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
            let Some(total) = parse(value) else { continue };
            let (previous, current) = self.totals.entry((line.node.clone(), kind.clone())).or_default();
            // A lower sum is that of a new process.
            if total.messages < current.messages {
                previous.messages += current.messages;
                previous.bytes += current.bytes;
            }
            *current = total;
        }
    }

    /// One row for each kind, the most bytes first.
    pub fn rows(&self) -> Vec<TrafficRow> {
        let mut by_kind: BTreeMap<&str, Vec<Totals>> = BTreeMap::new();
        for ((_, kind), (previous, current)) in &self.totals {
            let total = Totals {
                messages: previous.messages + current.messages,
                bytes: previous.bytes + current.bytes,
            };
            by_kind.entry(kind).or_default().push(total);
        }
        let mut rows: Vec<TrafficRow> =
            by_kind.into_iter().map(|(kind, totals)| traffic_row(kind, totals)).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.bytes));
        rows
    }
}

fn parse(value: &str) -> Option<Totals> {
    let (messages, bytes) = value.split_once('/')?;
    Some(Totals { messages: messages.parse().ok()?, bytes: bytes.parse().ok()? })
}

fn traffic_row(kind: &str, mut totals: Vec<Totals>) -> TrafficRow {
    totals.sort_by_key(|total| total.bytes);
    TrafficRow {
        kind: kind.to_owned(),
        messages: totals.iter().map(|total| total.messages).sum(),
        bytes: totals.iter().map(|total| total.bytes).sum(),
        node_bytes: (totals[totals.len() / 2].bytes, totals[totals.len() - 1].bytes),
    }
}

/// As a table.
pub fn table(rows: &[TrafficRow]) -> Table {
    let mut table = Table::new(&["SENT TO NODES", "MESSAGES", "BYTES", "OF ONE NODE, MIDDLE, MOST"]);
    for row in rows {
        let (median, max) = row.node_bytes;
        let cells = [row.messages.to_string(), row.bytes.to_string(), format!("{median}, {max}")];
        table.add_row(std::iter::once(row.kind.clone()).chain(cells));
    }
    table
}
