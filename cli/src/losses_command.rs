//! `leadstage report losses FILE`: outcomes of the streams that gateway nodes served, by route, cause and
//! time, where their time was spent, why some were late, which organisations they belong to, and the calls to
//! the store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use serde::Serialize;

use crate::args::Format;
use crate::error::CliError;
use crate::late_streams;
use crate::late_streams::LateStreams;
use crate::log_lines;
use crate::log_lines::Line;
use crate::log_lines::events;
use crate::organisation_losses;
use crate::organisation_losses::OrganisationLosses;
use crate::plot;
use crate::plot::Frame;
use crate::plot::Series;
use crate::store_calls;
use crate::store_calls::StoreCalls;
use crate::table::Table;

/// Length of the intervals by which streams are counted, in milliseconds.
const INTERVAL_MS: i64 = 2_000;

/// Outcome of a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    #[display("whole")]
    Whole,
    /// The gateway node ended without logging the end of the stream.
    #[display("node ended")]
    NodeEnded,
    /// The engine ended after a notice.
    #[display("engine lost, with notice")]
    EngineLeft,
    /// The engine ended or failed the stream without a notice.
    #[display("engine lost, no notice")]
    EngineFailed,
    #[display("out of time")]
    OutOfTime,
    #[display("caller left")]
    CallerLeft,
}

/// A stream, from the log lines of its node.
struct Stream {
    route: String,
    began_ms: i64,
    outcome: Outcome,
    /// Time until the stream was placed on an engine.
    waiting_ms: f64,
    /// Time from the placement until the response began.
    reading_ms: f64,
    /// Time from the first event to the end of the stream; 0 if its end is not logged.
    streaming_ms: f64,
    events: f64,
    moves: f64,
    longest_gap_ms: f64,
}

/// Number of streams of a route with the same outcome.
#[derive(Debug, PartialEq, Serialize)]
struct OutcomeCount {
    route: String,
    fate: Outcome,
    streams: usize,
}

/// Mean times of a route's complete streams by phase.
#[derive(Debug, PartialEq, Serialize)]
struct RouteTimes {
    route: String,
    streams: usize,
    waiting_ms: f64,
    reading_ms: f64,
    streaming_ms: f64,
    ms_per_event: f64,
    moves: f64,
    longest_gap_ms: f64,
}

/// Counts of the streams that began, and of the requests that were refused, in one interval.
#[derive(Debug, PartialEq, Serialize)]
struct Interval {
    from_s: i64,
    begun: usize,
    lost: usize,
    refused: usize,
}

/// The complete report.
#[derive(Debug, PartialEq, Serialize)]
struct Report {
    fates: Vec<OutcomeCount>,
    refused: BTreeMap<String, usize>,
    times: Vec<RouteTimes>,
    moments: Vec<Interval>,
    late: Vec<LateStreams>,
    organisations: Vec<OrganisationLosses>,
    store_calls: Vec<StoreCalls>,
}

/// Reports from log files, one per node, and draws the counts by interval if a plot file is given.
pub fn report_losses(files: &[PathBuf], plot: Option<&Path>, format: Format) -> Result<String, CliError> {
    let lines = log_lines::read_all(files)?;
    let report = build_report(&lines);
    if report.fates.is_empty() {
        return Err(CliError::Missing("a line about a stream in these logs"));
    }
    if let Some(path) = plot {
        draw(path, &report)?;
    }
    Ok(match format {
        Format::Json => {
            format!("{}\n", serde_json::to_string_pretty(&report).expect("plain data serialises"))
        }
        Format::Text => render(&report),
    })
}

fn build_report(lines: &[Line]) -> Report {
    let streams = collect_streams(lines);
    Report {
        fates: count_outcomes(&streams),
        refused: count_refusals(lines),
        times: mean_times(&streams),
        moments: count_by_interval(&streams, lines),
        late: late_streams::count_late_streams(lines, INTERVAL_MS),
        organisations: organisation_losses::count_by_organisation(lines),
        store_calls: store_calls::count_store_calls(lines, INTERVAL_MS),
    }
}

fn collect_streams(lines: &[Line]) -> Vec<Stream> {
    let ends: HashMap<&str, &Line> =
        events(lines, "stream_end").map(|line| (line.get("request"), line)).collect();
    let mut notices: HashMap<&str, i64> = HashMap::new();
    for line in events(lines, "replica_leaves") {
        let first = notices.entry(line.get("upstream")).or_insert(line.at_ms);
        *first = line.at_ms.min(*first);
    }
    let begins = events(lines, "stream_begins");
    begins.map(|begin| build_stream(begin, ends.get(begin.get("request")).copied(), &notices)).collect()
}

fn build_stream(begin: &Line, end: Option<&Line>, notices: &HashMap<&str, i64>) -> Stream {
    let (waiting_ms, head_ms) = (begin.number("placed_ms"), begin.number("head_ms"));
    let end_number = |key| end.map_or(0.0, |end| end.number(key));
    Stream {
        route: begin.get("route").to_owned(),
        began_ms: begin.at_ms - head_ms as i64,
        outcome: end.map_or(Outcome::NodeEnded, |end| classify_end(end, notices)),
        waiting_ms,
        reading_ms: head_ms - waiting_ms,
        streaming_ms: end_number("took_ms") - end_number("first_ms"),
        events: end_number("events"),
        moves: end_number("moves"),
        longest_gap_ms: end_number("gap_ms"),
    }
}

fn classify_end(end: &Line, notices: &HashMap<&str, i64>) -> Outcome {
    let after_notice = notices.get(end.get("upstream")).is_some_and(|notice| *notice < end.at_ms);
    match end.get("end") {
        "done" => Outcome::Whole,
        "caller left" => Outcome::CallerLeft,
        "out of time" => Outcome::OutOfTime,
        _ if after_notice => Outcome::EngineLeft,
        _ => Outcome::EngineFailed,
    }
}

fn count_outcomes(streams: &[Stream]) -> Vec<OutcomeCount> {
    let mut counts: BTreeMap<(&str, Outcome), usize> = BTreeMap::new();
    for stream in streams {
        *counts.entry((&stream.route, stream.outcome)).or_default() += 1;
    }
    let rows = counts.into_iter();
    rows.map(|((route, fate), streams)| OutcomeCount { route: route.to_owned(), fate, streams }).collect()
}

fn count_refusals(lines: &[Line]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in events(lines, "refused") {
        *counts.entry(line.get("code").to_owned()).or_default() += 1;
    }
    counts
}

fn mean_times(streams: &[Stream]) -> Vec<RouteTimes> {
    let mut by_route: BTreeMap<&str, Vec<&Stream>> = BTreeMap::new();
    for stream in streams.iter().filter(|stream| stream.outcome == Outcome::Whole) {
        by_route.entry(&stream.route).or_default().push(stream);
    }
    by_route.into_iter().map(|(route, streams)| route_times(route, &streams)).collect()
}

fn route_times(route: &str, streams: &[&Stream]) -> RouteTimes {
    let sum = |field: fn(&Stream) -> f64| streams.iter().map(|stream| field(stream)).sum::<f64>();
    let mean = |field| sum(field) / streams.len() as f64;
    let gap_count = sum(|stream| (stream.events - 1.0).max(0.0)).max(1.0);
    RouteTimes {
        route: route.to_owned(),
        streams: streams.len(),
        waiting_ms: mean(|stream| stream.waiting_ms),
        reading_ms: mean(|stream| stream.reading_ms),
        streaming_ms: mean(|stream| stream.streaming_ms),
        ms_per_event: sum(|stream| stream.streaming_ms) / gap_count,
        moves: mean(|stream| stream.moves),
        longest_gap_ms: streams.iter().map(|stream| stream.longest_gap_ms).fold(0.0, f64::max),
    }
}

fn count_by_interval(streams: &[Stream], lines: &[Line]) -> Vec<Interval> {
    let first = lines.iter().map(|line| line.at_ms).min().unwrap_or(0);
    let interval_index = |at_ms: i64| (at_ms - first).div_euclid(INTERVAL_MS);
    let mut intervals: BTreeMap<i64, Interval> = BTreeMap::new();
    let empty = |index: i64| Interval { from_s: index * INTERVAL_MS / 1_000, begun: 0, lost: 0, refused: 0 };
    for stream in streams {
        let index = interval_index(stream.began_ms);
        let entry = intervals.entry(index).or_insert_with(|| empty(index));
        entry.begun += 1;
        entry.lost += usize::from(!matches!(stream.outcome, Outcome::Whole | Outcome::CallerLeft));
    }
    for line in events(lines, "refused") {
        let index = interval_index(line.at_ms);
        intervals.entry(index).or_insert_with(|| empty(index)).refused += 1;
    }
    intervals.into_values().collect()
}

/// Draws how many streams of each interval began, were lost, refused or late, the late ones by cause.
fn draw(path: &Path, report: &Report) -> Result<(), CliError> {
    let last = report.moments.last().map_or(1, |interval| interval.from_s.max(1));
    let frame = Frame {
        caption: "Streams by the moment when they began",
        x_label: "seconds of the logs",
        y_label: "streams",
        x: (0.0, last as f64),
        min_y_max: 1.0,
    };
    let count_series = |name: &str, count: fn(&Interval) -> usize| Series {
        name: name.to_owned(),
        points: report.moments.iter().map(|row| (row.from_s as f64, count(row) as f64)).collect(),
    };
    let mut series = vec![
        count_series("begun", |row| row.begun),
        count_series("lost", |row| row.lost),
        count_series("refused", |row| row.refused),
    ];
    series.extend(late_streams::series(&report.late));
    plot::write(path, &frame, series)
}

fn render(report: &Report) -> String {
    let mut fates = Table::new(&["ROUTE", "BECAME", "STREAMS"]);
    for row in &report.fates {
        fates.add_row([row.route.clone(), row.fate.to_string(), row.streams.to_string()]);
    }
    let mut refused = Table::new(&["REFUSED WITH", "REQUESTS"]);
    for (code, requests) in &report.refused {
        refused.add_row([code.clone(), requests.to_string()]);
    }
    let mut times = Table::new(&[
        "ROUTE",
        "WHOLE",
        "WAITING MS",
        "READING MS",
        "STREAMING MS",
        "MS PER EVENT",
        "MOVES",
        "LONGEST GAP MS",
    ]);
    for row in &report.times {
        times.add_row([
            row.route.clone(),
            row.streams.to_string(),
            format!("{:.0}", row.waiting_ms),
            format!("{:.0}", row.reading_ms),
            format!("{:.0}", row.streaming_ms),
            format!("{:.1}", row.ms_per_event),
            format!("{:.2}", row.moves),
            format!("{:.0}", row.longest_gap_ms),
        ]);
    }
    let mut moments = Table::new(&["FROM S", "BEGUN", "LOST", "REFUSED"]);
    for row in &report.moments {
        moments.add_row(
            [row.from_s, row.begun as i64, row.lost as i64, row.refused as i64].map(|n| n.to_string()),
        );
    }
    let mut tables = vec![fates, refused, times, moments];
    if !report.late.is_empty() {
        tables.push(late_streams::table(&report.late));
    }
    if !report.organisations.is_empty() {
        tables.push(organisation_losses::table(&report.organisations));
    }
    if !report.store_calls.is_empty() {
        tables.push(store_calls::table(&report.store_calls));
    }
    tables.iter().map(Table::render).collect::<Vec<String>>().join("\n")
}
