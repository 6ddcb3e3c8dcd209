//! `leadstage report fleet --logs FILE...`: how long changes took to become known to all nodes, what nodes
//! sent to each other by kind, and who lacked what and fetched it.

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
use crate::spreads;
use crate::spreads::SpreadRow;
use crate::spreads::Spreads;
use crate::table::Table;

/// Events of which the report only counts the lines.
const COUNTED: [&str; 13] = [
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
/// Points of a line of the plot at most.
const MOST_POINTS: usize = 400;

/// The times from the start of the processes to their serving, in milliseconds.
#[derive(Debug, Default, PartialEq, Serialize)]
struct Starts {
    processes: usize,
    half_ms: i64,
    nearly_all_ms: i64,
    all_ms: i64,
}

/// The whole report.
#[derive(Debug, PartialEq, Serialize)]
struct Report {
    starts: Starts,
    spreads: Vec<SpreadRow>,
    traffic: Vec<TrafficRow>,
    /// Lines by event, and the nodes that wrote some.
    counts: BTreeMap<String, (usize, usize)>,
}

/// What is gathered while the logs are read.
#[derive(Default)]
struct Gathered {
    spreads: Spreads,
    traffic: PeerTraffic,
    /// When the present process of each node started that does not serve yet.
    starting: BTreeMap<String, i64>,
    serving_after: Vec<i64>,
    counts: BTreeMap<String, BTreeMap<String, usize>>,
}

impl Gathered {
    fn on_line(&mut self, line: Line) {
        match line.get("event") {
            "start" => {
                self.spreads.on_start(&line);
                self.starting.insert(line.node.clone(), line.shared_ms());
            }
            "serving" => {
                let started = self.starting.remove(&line.node);
                self.serving_after.extend(started.map(|at| line.shared_ms() - at));
            }
            peer_traffic::EVENT => self.traffic.on_line(&line),
            event if COUNTED.contains(&event) => {
                let by_node = self.counts.entry(event.to_owned()).or_default();
                *by_node.entry(line.node).or_default() += 1;
            }
            _ => self.spreads.on_line(&line),
        }
    }

    fn report(&mut self) -> Report {
        self.serving_after.sort_unstable();
        let part = |hundredths| spreads::within(&self.serving_after, hundredths);
        let starts = Starts {
            processes: self.serving_after.len(),
            half_ms: part(50),
            nearly_all_ms: part(99),
            all_ms: part(100),
        };
        let counts = self.counts.iter();
        let counts = counts.map(|(event, by_node)| (event.clone(), (by_node.values().sum(), by_node.len())));
        Report {
            starts,
            spreads: self.spreads.rows(),
            traffic: self.traffic.rows(),
            counts: counts.collect(),
        }
    }
}

fn is_wanted(event: &str) -> bool {
    matches!(event, "start" | "serving" | peer_traffic::EVENT)
        || spreads::EVENTS.contains(&event)
        || COUNTED.contains(&event)
}

/// Reports from log files, and draws how changes spread if a file for that is named.
pub fn fleet(files: &[PathBuf], plot: Option<&Path>, format: Format) -> Result<String, CliError> {
    let mut gathered = Gathered::default();
    for file in files {
        log_lines::for_each(file, is_wanted, |line| gathered.on_line(line))?;
    }
    let report = gathered.report();
    if report.starts.processes == 0 && report.spreads.is_empty() {
        return Err(CliError::Missing("a line about a change in these logs"));
    }
    if let Some(path) = plot {
        draw(path, &gathered.spreads)?;
    }
    Ok(match format {
        Format::Json => {
            format!("{}\n", serde_json::to_string_pretty(&report).expect("plain data serialises"))
        }
        Format::Text => render(&report),
    })
}

/// Draws which part of the nodes knows a change, by the time since the first one does.
fn draw(path: &Path, spreads: &Spreads) -> Result<(), CliError> {
    let curves = spreads.curves();
    let longest = curves.values().filter_map(|delays| delays.last()).max().copied().unwrap_or(0).max(1);
    let frame = Frame {
        caption: "Nodes that know a change",
        x_label: "milliseconds since the first knows it",
        y_label: "part of the nodes",
        x: (0.0, longest as f64),
        least_top: 1.0,
    };
    let series = curves.into_iter().map(|(subject, delays)| {
        let step = delays.len().div_ceil(MOST_POINTS).max(1);
        let at = |place: usize| (delays[place] as f64, (place + 1) as f64 / delays.len() as f64);
        let places = (0..delays.len()).step_by(step).chain(delays.len().checked_sub(1));
        Series { name: subject.to_string(), points: places.map(at).collect() }
    });
    plot::write(path, &frame, series.collect())
}

fn render(report: &Report) -> String {
    let Starts { processes, half_ms, nearly_all_ms, all_ms } = report.starts;
    let mut starts = Table::new(&["STARTS", "SERVING MS, HALF", "99 IN 100", "ALL"]);
    starts.row([processes.to_string(), half_ms.to_string(), nearly_all_ms.to_string(), all_ms.to_string()]);
    let mut counts = Table::new(&["EVENT", "LINES", "NODES"]);
    for (event, (lines, nodes)) in &report.counts {
        counts.row([event.clone(), lines.to_string(), nodes.to_string()]);
    }
    let mut tables = vec![starts, spreads::table(&report.spreads)];
    if !report.traffic.is_empty() {
        tables.push(peer_traffic::table(&report.traffic));
    }
    if !report.counts.is_empty() {
        tables.push(counts);
    }
    tables.iter().map(Table::render).collect::<Vec<String>>().join("\n")
}
