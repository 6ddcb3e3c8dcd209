//! `leadstage report burn`: the fleet's burn rate over several windows, as text, JSON or a plot.

use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use leadstage_lib::bundle::ServiceLevels;
use leadstage_lib::burn::BurnCounts;
use leadstage_lib::burn::BurnLine;
use leadstage_lib::burn::Indicator;
use leadstage_lib::status::BurnStatus;

use crate::args::Format;
use crate::error::CliError;
use crate::plot;
use crate::plot::Frame;
use crate::plot::Series;
use crate::status_command;
use crate::table::Table;

/// Length of the plot in minutes.
const PLOT_MINUTES: u64 = 60;

/// Reports the burn rates from the summed counts of all nodes. Fails if a node does not answer, because the
/// report would cover only part of the fleet.
pub async fn report_burn(
    nodes: &[SocketAddr],
    plot: Option<&Path>,
    format: Format,
) -> Result<String, CliError> {
    let mut counts = BurnCounts::default();
    let mut levels = ServiceLevels::default();
    for node in nodes {
        let status: BurnStatus = status_command::read(*node, "/burn").await?;
        counts.add(&status.counts);
        levels = status.levels;
    }
    let minute = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() / 60;
    if let Some(path) = plot {
        draw(path, &counts, &levels, minute)?;
    }
    let lines = counts.report(&levels, minute);
    Ok(match format {
        Format::Json => format!("{}\n", serde_json::to_string_pretty(&lines).expect("plain data serialises")),
        Format::Text => render(&lines),
    })
}

/// Renders the report as text.
pub fn render(lines: &[BurnLine]) -> String {
    let mut table = Table::new(&["SERVICE LEVEL", "OBJECTIVE", "WINDOW", "EVENTS", "OVER", "BURN"]);
    for line in lines {
        let note = if line.burn > 1.0 { " (budget shrinks)" } else { "" };
        table.add_row([
            line.indicator.name().to_owned(),
            format!("{} % within {} ms", percent(line.share), line.within_ms),
            format!("{} min", line.window_s / 60),
            line.total.to_string(),
            line.bad.to_string(),
            format!("{:.2}{note}", line.burn),
        ]);
    }
    table.render()
}

fn percent(share: f64) -> String {
    let text = format!("{:.3}", share * 100.0);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Draws the burn rate of each minute of the last hour.
fn draw(path: &Path, counts: &BurnCounts, levels: &ServiceLevels, minute: u64) -> Result<(), CliError> {
    let first = minute.saturating_sub(PLOT_MINUTES - 1);
    let series = |indicator: &Indicator| Series {
        name: indicator.name().to_owned(),
        points: points_by_minute(counts, levels, *indicator, first..=minute),
    };
    let frame = Frame {
        caption: "Service-level burn by minute (above 1 the budget shrinks)",
        x_label: "minutes ago",
        y_label: "burn",
        x: (-(PLOT_MINUTES as f64), 0.0),
        min_y_max: 1.0,
    };
    plot::write(path, &frame, Indicator::ALL.iter().map(series).collect())
}

fn points_by_minute(
    counts: &BurnCounts,
    levels: &ServiceLevels,
    indicator: Indicator,
    minutes: std::ops::RangeInclusive<u64>,
) -> Vec<(f64, f64)> {
    let last = *minutes.end();
    let error_budget = 1.0 - indicator.level(levels).share;
    let burn = |minute: u64| {
        let tally = counts.minutes.get(&minute).map(|t| t[indicator as usize]).unwrap_or_default();
        if tally.total == 0 { 0.0 } else { tally.bad as f64 / tally.total as f64 / error_budget }
    };
    minutes.map(|minute| (minute as f64 - last as f64, burn(minute))).collect()
}
