//! Traffic between nodes by kind of message.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;

use crate::log_lines::Line;
use crate::table::Table;

/// The event that reports a node's totals since its start, as `KIND=MESSAGES/BYTES` for each kind of message.
pub const EVENT: &str = "peer_traffic";

/// Total number of messages and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct Totals {
    messages: u64,
    bytes: u64,
}

/// Collects the traffic that nodes log.
#[derive(Default)]
pub struct PeerTraffic {
    /// By node and kind of message, the totals of the node's previous processes and of its current one.
    totals: HashMap<(String, String), (Totals, Totals)>,
}

/// Traffic of one kind of message.
#[derive(Debug, PartialEq, Serialize)]
pub struct TrafficRow {
    kind: String,
    messages: u64,
    bytes: u64,
    /// Median and maximum of the bytes that a single node sent.
    node_bytes: (u64, u64),
}

impl PeerTraffic {
    /// Records the totals of a line.
    pub fn on_line(&mut self, line: &Line) {
        for (kind, value) in &line.pairs {
            let Some(total) = parse(value) else { continue };
            let (previous, current) = self.totals.entry((line.node.clone(), kind.clone())).or_default();
            // Totals lower than before are those of a new process.
            if total.messages < current.messages {
                previous.messages += current.messages;
                previous.bytes += current.bytes;
            }
            *current = total;
        }
    }

    /// Returns one row per kind of message, ordered by bytes, largest first.
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

/// Formats the rows as a table.
pub fn table(rows: &[TrafficRow]) -> Table {
    let mut table = Table::new(&["SENT TO NODES", "MESSAGES", "BYTES", "OF ONE NODE, MIDDLE, MOST"]);
    for row in rows {
        let (median, max) = row.node_bytes;
        let cells = [row.messages.to_string(), row.bytes.to_string(), format!("{median}, {max}")];
        table.add_row(std::iter::once(row.kind.clone()).chain(cells));
    }
    table
}
