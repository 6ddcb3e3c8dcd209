//! The calls to the store of all nodes, by purpose and moment.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;

use crate::log_lines;
use crate::log_lines::Line;
use crate::table::Table;

/// The purposes, as the lines name them.
const PURPOSES: [&str; 5] = ["start", "read", "list", "watch", "pulse"];

/// The calls that nodes told of in one moment.
#[derive(Debug, PartialEq, Serialize)]
pub struct StoreCalls {
    from_s: i64,
    calls: BTreeMap<&'static str, u64>,
}

/// Counts them by moments of `moment_ms`. A node tells its sums since its start; where one is lower than
/// before, they are those of its next start.
pub fn store_calls(lines: &[Line], moment_ms: i64) -> Vec<StoreCalls> {
    let first = lines.iter().map(|line| line.at_ms).min().unwrap_or(0);
    let mut told: HashMap<&str, [u64; PURPOSES.len()]> = HashMap::new();
    let mut moments: BTreeMap<i64, StoreCalls> = BTreeMap::new();
    let mut lines: Vec<&Line> = log_lines::events(lines, "store_calls").collect();
    lines.sort_by_key(|line| line.at_ms);
    for line in lines {
        let moment = (line.at_ms - first).div_euclid(moment_ms);
        let empty = || StoreCalls { from_s: moment * moment_ms / 1_000, calls: BTreeMap::new() };
        let calls = &mut moments.entry(moment).or_insert_with(empty).calls;
        let sums = PURPOSES.map(|purpose| line.number(purpose) as u64);
        let before = told.insert(&line.node, sums).unwrap_or_default();
        let is_new_start = sums.iter().zip(before).any(|(sum, before)| *sum < before);
        let before = if is_new_start { Default::default() } else { before };
        for (at, purpose) in PURPOSES.into_iter().enumerate() {
            *calls.entry(purpose).or_default() += sums[at] - before[at];
        }
    }
    moments.into_values().collect()
}

/// As a table.
pub fn table(rows: &[StoreCalls]) -> Table {
    let mut table = Table::new(&["STORE CALLS FROM S", "START", "READ", "LIST", "WATCH", "PULSE"]);
    for row in rows {
        let calls = PURPOSES.map(|purpose| row.calls.get(purpose).copied().unwrap_or(0).to_string());
        let [start, read, list, watch, pulse] = calls;
        table.row([row.from_s.to_string(), start, read, list, watch, pulse]);
    }
    table
}
