//! Calls of all nodes to the store, by purpose and time.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;

use crate::log_lines;
use crate::log_lines::Line;
use crate::table::Table;

/// Purposes of calls; these are the keys of the log lines.
const PURPOSES: [&str; 5] = ["start", "read", "list", "watch", "pulse"];

/// Calls to the store that nodes logged in one interval.
#[derive(Debug, PartialEq, Serialize)]
pub struct StoreCalls {
    from_s: i64,
    calls: BTreeMap<&'static str, u64>,
}

/// Counts the calls by intervals of `interval_ms`. Nodes log totals since their start; if one of them is
/// lower than before, the node was restarted.
pub fn count_store_calls(lines: &[Line], interval_ms: i64) -> Vec<StoreCalls> {
    let first = lines.iter().map(|line| line.at_ms).min().unwrap_or(0);
    let mut last_totals: HashMap<&str, [u64; PURPOSES.len()]> = HashMap::new();
    let mut intervals: BTreeMap<i64, StoreCalls> = BTreeMap::new();
    let mut lines: Vec<&Line> = log_lines::events(lines, "store_calls").collect();
    lines.sort_by_key(|line| line.at_ms);
    for line in lines {
        let interval = (line.at_ms - first).div_euclid(interval_ms);
        let empty = || StoreCalls { from_s: interval * interval_ms / 1_000, calls: BTreeMap::new() };
        let calls = &mut intervals.entry(interval).or_insert_with(empty).calls;
        let totals = PURPOSES.map(|purpose| line.number(purpose) as u64);
        let previous = last_totals.insert(&line.node, totals).unwrap_or_default();
        let is_restart = totals.iter().zip(previous).any(|(total, previous)| *total < previous);
        let previous = if is_restart { Default::default() } else { previous };
        for (index, purpose) in PURPOSES.into_iter().enumerate() {
            *calls.entry(purpose).or_default() += totals[index] - previous[index];
        }
    }
    intervals.into_values().collect()
}

/// Formats the rows as a table.
pub fn table(rows: &[StoreCalls]) -> Table {
    let mut table = Table::new(&["STORE CALLS FROM S", "START", "READ", "LIST", "WATCH", "PULSE"]);
    for row in rows {
        let calls = PURPOSES.map(|purpose| row.calls.get(purpose).copied().unwrap_or(0).to_string());
        let [start, read, list, watch, pulse] = calls;
        table.add_row([row.from_s.to_string(), start, read, list, watch, pulse]);
    }
    table
}
