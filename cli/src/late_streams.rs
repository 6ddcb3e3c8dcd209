//! Streams that completed but were late, by cause: waiting for an engine, a slow prefill, or a gap between
//! events.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;

use crate::log_lines;
use crate::log_lines::Line;
use crate::plot::Series;
use crate::table::Table;

/// Late streams of a route that began in one interval, each counted under one cause.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct LateStreams {
    route: String,
    from_s: i64,
    /// The first event would have been on time without the wait for an engine, which for the most part was a
    /// wait for memory.
    waited_memory: usize,
    /// As above, but for the most part a wait for an engine that can start the prefill soon.
    waited_reading: usize,
    /// As above, but for the most part a wait for any engine that accepts requests.
    waited_engines: usize,
    /// As above, but no lead logged what the wait was for.
    waited: usize,
    /// The first event would have been late even without the wait for an engine.
    read_late: usize,
    /// The first event was on time, but a later gap was too long; the stream did not move to another engine.
    gap: usize,
    /// As above, but the stream moved.
    gap_and_moved: usize,
}

/// Selects the count of a row to increment.
type Counter = fn(&mut LateStreams) -> &mut usize;

/// Reads a count of a row.
type CountOf = fn(&LateStreams) -> usize;

/// Counts late streams by route and by intervals of `interval_ms`.
pub fn count_late_streams(lines: &[Line], interval_ms: i64) -> Vec<LateStreams> {
    let ends: BTreeMap<&str, &Line> = log_lines::events(lines, "stream_end")
        .filter(|line| line.get("end") == "done")
        .map(|line| (line.get("request"), line))
        .collect();
    let waits: HashMap<(&str, &str), &Line> =
        log_lines::events(lines, "waited").map(|line| ((line.get("entry"), line.get("run")), line)).collect();
    let first = lines.iter().map(|line| line.at_ms).min().unwrap_or(0);
    let mut rows: BTreeMap<(&str, i64), LateStreams> = BTreeMap::new();
    for begin_line in log_lines::events(lines, "stream_begins") {
        let Some(end_line) = ends.get(begin_line.get("request")) else {
            continue;
        };
        let wait_line = waits.get(&(begin_line.get("entry"), begin_line.get("run"))).copied();
        let Some(count) = late_cause(begin_line, end_line, wait_line) else {
            continue;
        };
        let began_ms = begin_line.at_ms - begin_line.number("head_ms") as i64;
        let interval = (began_ms - first).div_euclid(interval_ms);
        let route = begin_line.get("route");
        let row = rows.entry((route, interval)).or_insert_with(|| LateStreams {
            route: route.to_owned(),
            from_s: interval * interval_ms / 1_000,
            ..LateStreams::default()
        });
        *count(row) += 1;
    }
    rows.into_values().collect()
}

/// The count that a stream belongs to; `None` if it was on time, or if its lines give no due time.
fn late_cause(begin_line: &Line, end_line: &Line, wait_line: Option<&Line>) -> Option<Counter> {
    let (due_ms, gap_due_ms) = (begin_line.number("due_ms"), begin_line.number("gap_due_ms"));
    let (first_event_ms, waited_ms) = (end_line.number("first_ms"), begin_line.number("placed_ms"));
    if due_ms == 0.0 {
        return None;
    }
    if first_event_ms > due_ms {
        return Some(if first_event_ms - waited_ms <= due_ms {
            main_wait_cause(wait_line)
        } else {
            |row| &mut row.read_late
        });
    }
    if gap_due_ms == 0.0 || end_line.number("gap_ms") <= gap_due_ms {
        return None;
    }
    Some(if end_line.number("moves") > 0.0 { |row| &mut row.gap_and_moved } else { |row| &mut row.gap })
}

/// The count for the resource that a stream waited for longest.
fn main_wait_cause(wait_line: Option<&Line>) -> Counter {
    let parts: [(&str, Counter); 3] = [
        ("memory_ms", |row| &mut row.waited_memory),
        ("reading_ms", |row| &mut row.waited_reading),
        ("engines_ms", |row| &mut row.waited_engines),
    ];
    let wait_parts = |line: &Line| parts.map(|(key, count)| (line.number(key), count));
    let longest =
        wait_line.and_then(|line| wait_parts(line).into_iter().max_by(|(a, _), (b, _)| a.total_cmp(b)));
    longest.filter(|(time, _)| *time > 0.0).map_or(|row| &mut row.waited, |(_, count)| count)
}

/// The causes with their names in tables and plots.
const CAUSES: [(&str, CountOf); 7] = [
    ("for memory", |row| row.waited_memory),
    ("for reading", |row| row.waited_reading),
    ("for engines", |row| row.waited_engines),
    ("waited", |row| row.waited),
    ("read late", |row| row.read_late),
    ("gap", |row| row.gap),
    ("gap, moved", |row| row.gap_and_moved),
];

/// Plot series of the late streams of all routes by interval, one for each cause that occurred.
pub fn series(rows: &[LateStreams]) -> Vec<Series> {
    let cause_series = |(name, count): (&str, CountOf)| {
        let mut points: BTreeMap<i64, usize> = rows.iter().map(|row| (row.from_s, 0)).collect();
        for row in rows {
            *points.entry(row.from_s).or_default() += count(row);
        }
        let points = points.into_iter().map(|(from_s, streams)| (from_s as f64, streams as f64)).collect();
        Series { name: format!("late: {name}"), points }
    };
    let series = CAUSES.into_iter().map(cause_series);
    series.filter(|series| series.points.iter().any(|(_, streams)| *streams > 0.0)).collect()
}

/// Formats the rows as a table.
pub fn table(rows: &[LateStreams]) -> Table {
    let causes = CAUSES.map(|(name, _)| name.to_uppercase());
    let headings: Vec<&str> =
        ["LATE ON ROUTE", "FROM S"].into_iter().chain(causes.iter().map(String::as_str)).collect();
    let mut table = Table::new(&headings);
    for row in rows {
        let named = [row.route.clone(), row.from_s.to_string()];
        table.add_row(named.into_iter().chain(CAUSES.map(|(_, count)| count(row).to_string())));
    }
    table
}
