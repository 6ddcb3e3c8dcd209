//! `leadstage report fleet --logs FILE...`: propagation times of changes to all nodes, traffic between nodes
//! by kind of message, and counts of events such as fetches of missing configurations and replica lists.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;

use crate::args::Format;
use crate::error::CliError;
use crate::log_lines;
use crate::log_lines::Line;
use crate::peer_traffic;
use crate::peer_traffic::PeerTraffic;
use crate::peer_traffic::TrafficRow;
use crate::plot;
use crate::plot::Frame;
use crate::plot::Series;
use crate::propagation;
use crate::propagation::ChangePropagation;
use crate::propagation::PropagationRow;
use crate::table::Table;

/// Events whose lines are only counted.
const COUNTED_EVENTS: [&str; 13] = [
    "config_fetched",
    "replicas_fetched",
    "fetch_failed",
    "news_not_told",
    "store_watch",
    "store_lost",
    "store_regained",
    "store_history_gone",
    "lead_silent",
    "lead_lost",
    "datagram_too_large",
    "refused",
    "log_lines_left_out",
];
/// Maximum number of points in a series of the plot.
const MAX_POINTS: usize = 400;

/// Distribution of the times from the start of a process until it serves, in milliseconds.
#[derive(Debug, Default, PartialEq, Serialize)]
struct StartTimes {
    processes: usize,
    half_ms: i64,
    nearly_all_ms: i64,
    all_ms: i64,
}

/// The complete report.
#[derive(Debug, PartialEq, Serialize)]
struct Report {
    starts: StartTimes,
    spreads: Vec<PropagationRow>,
    traffic: Vec<TrafficRow>,
    /// For each event, the number of lines and of nodes that wrote them.
    counts: BTreeMap<String, (usize, usize)>,
}

/// Collects the data of the report line by line, so that the logs need not be held in memory.
#[derive(Default)]
struct ReportBuilder {
    propagation: ChangePropagation,
    traffic: PeerTraffic,
    /// For each node whose current process does not serve yet, the start time of the process.
    starting: BTreeMap<String, i64>,
    startup_ms: Vec<i64>,
    counts: BTreeMap<String, BTreeMap<String, usize>>,
}

impl ReportBuilder {
    fn on_line(&mut self, line: Line) {
        match line.get("event") {
            "start" => {
                self.propagation.on_start(&line);
                self.starting.insert(line.node.clone(), line.common_clock_ms());
            }
            "serving" => {
                let started = self.starting.remove(&line.node);
                self.startup_ms.extend(started.map(|started_ms| line.common_clock_ms() - started_ms));
            }
            peer_traffic::EVENT => self.traffic.on_line(&line),
            event if COUNTED_EVENTS.contains(&event) => {
                let by_node = self.counts.entry(event.to_owned()).or_default();
                *by_node.entry(line.node).or_default() += 1;
            }
            _ => self.propagation.on_line(&line),
        }
    }

    fn report(&mut self) -> Report {
        self.startup_ms.sort_unstable();
        let startup_percentile = |percent| propagation::percentile(&self.startup_ms, percent);
        let starts = StartTimes {
            processes: self.startup_ms.len(),
            half_ms: startup_percentile(50),
            nearly_all_ms: startup_percentile(99),
            all_ms: startup_percentile(100),
        };
        let counts = self.counts.iter();
        let counts = counts.map(|(event, by_node)| (event.clone(), (by_node.values().sum(), by_node.len())));
        Report {
            starts,
            spreads: self.propagation.rows(),
            traffic: self.traffic.rows(),
            counts: counts.collect(),
        }
    }
}

fn is_wanted(event: &str) -> bool {
    matches!(event, "start" | "serving" | peer_traffic::EVENT)
        || propagation::EVENTS.contains(&event)
        || COUNTED_EVENTS.contains(&event)
}

/// Reports from log files, and draws the propagation of changes if a plot file is given.
pub fn report_fleet(files: &[PathBuf], plot: Option<&Path>, format: Format) -> Result<String, CliError> {
    let mut builder = ReportBuilder::default();
    for file in files {
        log_lines::for_each(file, is_wanted, |line| builder.on_line(line))?;
    }
    let report = builder.report();
    if report.starts.processes == 0 && report.spreads.is_empty() {
        return Err(CliError::Missing("a line about a change in these logs"));
    }
    if let Some(path) = plot {
        draw(path, &builder.propagation)?;
    }
    Ok(match format {
        Format::Json => {
            format!("{}\n", serde_json::to_string_pretty(&report).expect("plain data serialises"))
        }
        Format::Text => render(&report),
    })
}

/// Draws the fraction of nodes that know a change by the time since the first node knew it.
fn draw(path: &Path, propagation: &ChangePropagation) -> Result<(), CliError> {
    let curves = propagation.curves();
    let longest = curves.values().filter_map(|delays| delays.last()).max().copied().unwrap_or(0).max(1);
    let frame = Frame {
        caption: "Nodes that know a change",
        x_label: "milliseconds since the first knows it",
        y_label: "part of the nodes",
        x: (0.0, longest as f64),
        min_y_max: 1.0,
    };
    let series = curves.into_iter().map(|(subject, delays)| {
        let step = delays.len().div_ceil(MAX_POINTS).max(1);
        let point = |index: usize| (delays[index] as f64, (index + 1) as f64 / delays.len() as f64);
        let indices = (0..delays.len()).step_by(step).chain(delays.len().checked_sub(1));
        Series { name: subject.to_string(), points: indices.map(point).collect() }
    });
    plot::write(path, &frame, series.collect())
}

fn render(report: &Report) -> String {
    let StartTimes { processes, half_ms, nearly_all_ms, all_ms } = report.starts;
    let mut starts = Table::new(&["STARTS", "SERVING MS, HALF", "99 IN 100", "ALL"]);
    starts.add_row([
        processes.to_string(),
        half_ms.to_string(),
        nearly_all_ms.to_string(),
        all_ms.to_string(),
    ]);
    let mut counts = Table::new(&["EVENT", "LINES", "NODES"]);
    for (event, (lines, nodes)) in &report.counts {
        counts.add_row([event.clone(), lines.to_string(), nodes.to_string()]);
    }
    let mut tables = vec![starts, propagation::table(&report.spreads)];
    if !report.traffic.is_empty() {
        tables.push(peer_traffic::table(&report.traffic));
    }
    if !report.counts.is_empty() {
        tables.push(counts);
    }
    tables.iter().map(Table::render).collect::<Vec<String>>().join("\n")
}
