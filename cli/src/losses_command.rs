//! `leadstage report losses FILE`: what became of the streams that gateway nodes served, by
//! route, cause and moment, where their time went, why some were late, and the calls to the store.

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
use crate::plot;
use crate::plot::Frame;
use crate::plot::Series;
use crate::store_calls;
use crate::store_calls::StoreCalls;
use crate::table::Table;

/// Length of a moment, in milliseconds.
const MOMENT_MS: i64 = 2_000;

/// What became of a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fate {
    #[display("whole")]
    Whole,
    /// Its node ended without a word.
    #[display("node ended")]
    NodeEnded,
    /// Its engine ended after a notice.
    #[display("engine lost, with notice")]
    EngineLeft,
    /// Its engine ended, or failed it, without a notice.
    #[display("engine lost, no notice")]
    EngineFailed,
    #[display("out of time")]
    OutOfTime,
    #[display("caller left")]
    CallerLeft,
}

/// A stream, as its node's lines tell it.
struct Stream {
    route: String,
    began_ms: i64,
    fate: Fate,
    /// Time until it was placed.
    waiting_ms: f64,
    /// Time from there until its first event.
    reading_ms: f64,
    /// Time from its first event to its last, where it is known.
    streaming_ms: f64,
    events: f64,
    moves: f64,
    longest_gap_ms: f64,
}

/// How many streams of a kind came to something.
#[derive(Debug, PartialEq, Serialize)]
struct FateCount {
    route: String,
    fate: Fate,
    streams: usize,
}

/// Where the time of a route's whole streams went, on average.
#[derive(Debug, PartialEq, Serialize)]
struct Times {
    route: String,
    streams: usize,
    waiting_ms: f64,
    reading_ms: f64,
    streaming_ms: f64,
    ms_per_event: f64,
    moves: f64,
    longest_gap_ms: f64,
}

/// The streams that began in one moment.
#[derive(Debug, PartialEq, Serialize)]
struct Moment {
    from_s: i64,
    begun: usize,
    lost: usize,
    refused: usize,
}

/// The whole report.
#[derive(Debug, PartialEq, Serialize)]
struct Report {
    fates: Vec<FateCount>,
    refused: BTreeMap<String, usize>,
    times: Vec<Times>,
    moments: Vec<Moment>,
    late: Vec<LateStreams>,
    store_calls: Vec<StoreCalls>,
}

/// Reports from log files, one for each node, and draws the moments if a file for that is named.
pub fn losses(files: &[PathBuf], plot: Option<&Path>, format: Format) -> Result<String, CliError> {
    let lines = log_lines::read_all(files)?;
    let report = report(&lines);
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

fn report(lines: &[Line]) -> Report {
    let streams = streams(lines);
    Report {
        fates: fates(&streams),
        refused: refused(lines),
        times: times(&streams),
        moments: moments(&streams, lines),
        late: late_streams::late_streams(lines, MOMENT_MS),
        store_calls: store_calls::store_calls(lines, MOMENT_MS),
    }
}

fn streams(lines: &[Line]) -> Vec<Stream> {
    let ends: HashMap<&str, &Line> =
        events(lines, "stream_end").map(|line| (line.get("request"), line)).collect();
    let mut notices: HashMap<&str, i64> = HashMap::new();
    for line in events(lines, "replica_leaves") {
        let first = notices.entry(line.get("upstream")).or_insert(line.at_ms);
        *first = line.at_ms.min(*first);
    }
    let begins = events(lines, "stream_begins");
    begins.map(|begin| stream(begin, ends.get(begin.get("request")).copied(), &notices)).collect()
}

fn stream(begin: &Line, end: Option<&Line>, notices: &HashMap<&str, i64>) -> Stream {
    let (waiting_ms, head_ms) = (begin.number("placed_ms"), begin.number("head_ms"));
    let of_end = |key| end.map_or(0.0, |end| end.number(key));
    Stream {
        route: begin.get("route").to_owned(),
        began_ms: begin.at_ms - head_ms as i64,
        fate: end.map_or(Fate::NodeEnded, |end| fate(end, notices)),
        waiting_ms,
        reading_ms: head_ms - waiting_ms,
        streaming_ms: of_end("took_ms") - of_end("first_ms"),
        events: of_end("events"),
        moves: of_end("moves"),
        longest_gap_ms: of_end("gap_ms"),
    }
}

fn fate(end: &Line, notices: &HashMap<&str, i64>) -> Fate {
    let had_notice = notices.get(end.get("upstream")).is_some_and(|notice| *notice < end.at_ms);
    match end.get("end") {
        "done" => Fate::Whole,
        "caller left" => Fate::CallerLeft,
        "out of time" => Fate::OutOfTime,
        _ if had_notice => Fate::EngineLeft,
        _ => Fate::EngineFailed,
    }
}

fn fates(streams: &[Stream]) -> Vec<FateCount> {
    let mut counts: BTreeMap<(&str, Fate), usize> = BTreeMap::new();
    for stream in streams {
        *counts.entry((&stream.route, stream.fate)).or_default() += 1;
    }
    let rows = counts.into_iter();
    rows.map(|((route, fate), streams)| FateCount { route: route.to_owned(), fate, streams }).collect()
}

fn refused(lines: &[Line]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in events(lines, "refused") {
        *counts.entry(line.get("code").to_owned()).or_default() += 1;
    }
    counts
}

fn times(streams: &[Stream]) -> Vec<Times> {
    let mut by_route: BTreeMap<&str, Vec<&Stream>> = BTreeMap::new();
    for stream in streams.iter().filter(|stream| stream.fate == Fate::Whole) {
        by_route.entry(&stream.route).or_default().push(stream);
    }
    by_route.into_iter().map(|(route, streams)| times_of(route, &streams)).collect()
}

fn times_of(route: &str, streams: &[&Stream]) -> Times {
    let sum = |part: fn(&Stream) -> f64| streams.iter().map(|stream| part(stream)).sum::<f64>();
    let mean = |part| sum(part) / streams.len() as f64;
    let pauses = sum(|stream| (stream.events - 1.0).max(0.0)).max(1.0);
    Times {
        route: route.to_owned(),
        streams: streams.len(),
        waiting_ms: mean(|stream| stream.waiting_ms),
        reading_ms: mean(|stream| stream.reading_ms),
        streaming_ms: mean(|stream| stream.streaming_ms),
        ms_per_event: sum(|stream| stream.streaming_ms) / pauses,
        moves: mean(|stream| stream.moves),
        longest_gap_ms: streams.iter().map(|stream| stream.longest_gap_ms).fold(0.0, f64::max),
    }
}

fn moments(streams: &[Stream], lines: &[Line]) -> Vec<Moment> {
    let first = lines.iter().map(|line| line.at_ms).min().unwrap_or(0);
    let moment = |at_ms: i64| (at_ms - first).div_euclid(MOMENT_MS);
    let mut moments: BTreeMap<i64, Moment> = BTreeMap::new();
    let empty = |at: i64| Moment { from_s: at * MOMENT_MS / 1_000, begun: 0, lost: 0, refused: 0 };
    for stream in streams {
        let at = moment(stream.began_ms);
        let entry = moments.entry(at).or_insert_with(|| empty(at));
        entry.begun += 1;
        entry.lost += usize::from(!matches!(stream.fate, Fate::Whole | Fate::CallerLeft));
    }
    for line in events(lines, "refused") {
        let at = moment(line.at_ms);
        moments.entry(at).or_insert_with(|| empty(at)).refused += 1;
    }
    moments.into_values().collect()
}

/// Draws how many streams began, were lost or late in each moment, and why.
fn draw(path: &Path, report: &Report) -> Result<(), CliError> {
    let last = report.moments.last().map_or(1, |moment| moment.from_s.max(1));
    let frame = Frame {
        caption: "Streams by the moment when they began",
        x_label: "seconds of the logs",
        y_label: "streams",
        x: (0.0, last as f64),
        least_top: 1.0,
    };
    let line = |name: &str, count: fn(&Moment) -> usize| Series {
        name: name.to_owned(),
        points: report.moments.iter().map(|row| (row.from_s as f64, count(row) as f64)).collect(),
    };
    let mut series = vec![
        line("begun", |row| row.begun),
        line("lost", |row| row.lost),
        line("refused", |row| row.refused),
    ];
    series.extend(late_streams::series(&report.late));
    plot::write(path, &frame, series)
}

fn render(report: &Report) -> String {
    let mut fates = Table::new(&["ROUTE", "BECAME", "STREAMS"]);
    for row in &report.fates {
        fates.row([row.route.clone(), row.fate.to_string(), row.streams.to_string()]);
    }
    let mut refused = Table::new(&["REFUSED WITH", "REQUESTS"]);
    for (code, requests) in &report.refused {
        refused.row([code.clone(), requests.to_string()]);
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
        times.row([
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
        moments
            .row([row.from_s, row.begun as i64, row.lost as i64, row.refused as i64].map(|n| n.to_string()));
    }
    let mut tables = vec![fates, refused, times, moments];
    if !report.late.is_empty() {
        tables.push(late_streams::table(&report.late));
    }
    if !report.store_calls.is_empty() {
        tables.push(store_calls::table(&report.store_calls));
    }
    tables.iter().map(Table::render).collect::<Vec<String>>().join("\n")
}
