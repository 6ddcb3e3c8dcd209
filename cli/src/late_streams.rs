//! Why streams came whole and late: for how long they waited or were read, or a gap in them.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::log_lines;
use crate::log_lines::Line;
use crate::table::Table;

/// Late streams of a route that began in one moment, each counted once.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct LateStreams {
    route: String,
    from_s: i64,
    /// Their first events would have been in time without their wait for an engine.
    waited: usize,
    /// Their prompts were read too late, whatever they waited before.
    read_late: usize,
    /// They began in time and had a gap that was too long, without a move.
    gap: usize,
    /// The same, and they moved.
    gap_and_moved: usize,
}

/// Counts them by route and by moments of `moment_ms`.
pub fn late_streams(lines: &[Line], moment_ms: i64) -> Vec<LateStreams> {
    let ends: BTreeMap<&str, &Line> = log_lines::events(lines, "stream_end")
        .filter(|line| line.get("end") == "done")
        .map(|line| (line.get("request"), line))
        .collect();
    let first = lines.iter().map(|line| line.at_ms).min().unwrap_or(0);
    let mut late: BTreeMap<(&str, i64), LateStreams> = BTreeMap::new();
    for begin in log_lines::events(lines, "stream_begins") {
        let Some(end) = ends.get(begin.get("request")) else {
            continue;
        };
        let Some(count) = counter(begin, end) else {
            continue;
        };
        let began_ms = begin.at_ms - begin.number("head_ms") as i64;
        let moment = (began_ms - first).div_euclid(moment_ms);
        let route = begin.get("route");
        let row = late.entry((route, moment)).or_insert_with(|| LateStreams {
            route: route.to_owned(),
            from_s: moment * moment_ms / 1_000,
            ..LateStreams::default()
        });
        *count(row) += 1;
    }
    late.into_values().collect()
}

/// What a stream counts as; `None` if it was in time, or its lines don't say when it was due.
fn counter(begin: &Line, end: &Line) -> Option<fn(&mut LateStreams) -> &mut usize> {
    let (due, gap_due) = (begin.number("due_ms"), begin.number("gap_due_ms"));
    let (first_event, waited) = (end.number("first_ms"), begin.number("placed_ms"));
    if due == 0.0 {
        return None;
    }
    if first_event > due {
        return Some(if first_event - waited <= due {
            |row| &mut row.waited
        } else {
            |row| &mut row.read_late
        });
    }
    if gap_due == 0.0 || end.number("gap_ms") <= gap_due {
        return None;
    }
    Some(if end.number("moves") > 0.0 { |row| &mut row.gap_and_moved } else { |row| &mut row.gap })
}

/// As a table.
pub fn table(rows: &[LateStreams]) -> Table {
    let mut table = Table::new(&["LATE ON ROUTE", "FROM S", "WAITED", "READ LATE", "GAP", "GAP, MOVED"]);
    for row in rows {
        let [waited, read_late, gap, gap_and_moved] =
            [row.waited, row.read_late, row.gap, row.gap_and_moved].map(|n| n.to_string());
        table.row([row.route.clone(), row.from_s.to_string(), waited, read_late, gap, gap_and_moved]);
    }
    table
}
