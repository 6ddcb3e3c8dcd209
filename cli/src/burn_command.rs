//! `leadstage report burn`: the fleet's burn over several windows, as text, JSON or a plot.

use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use leadstage_lib::bundle::ServiceLevels;
use leadstage_lib::burn::BurnCounts;
use leadstage_lib::burn::BurnLine;
use leadstage_lib::burn::Indicator;
use leadstage_lib::status::BurnStatus;
use plotters::prelude::*;

use crate::args::Format;
use crate::error::CliError;
use crate::status_command;
use crate::table::Table;

/// Size of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 480);
/// Minutes on the plot.
const PLOT_MINUTES: u64 = 60;

/// Adds up the nodes' counts and reports; fails if a node does not answer, as the
/// report would be of a part of the fleet only.
pub async fn burn(nodes: &[SocketAddr], plot: Option<&Path>, format: Format) -> Result<String, CliError> {
    let mut counts = BurnCounts::default();
    let mut levels = ServiceLevels::default();
    for node in nodes {
        let status: BurnStatus = status_command::read(*node, "/burn").await?;
        counts.add(&status.counts);
        levels = status.levels;
    }
    let minute = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() / 60;
    if let Some(path) = plot {
        draw(path, &counts, &levels, minute).map_err(|err| CliError::Plot(err.to_string()))?;
    }
    let lines = counts.report(&levels, minute);
    Ok(match format {
        Format::Json => format!("{}\n", serde_json::to_string_pretty(&lines).expect("plain data serialises")),
        Format::Text => render(&lines),
    })
}

/// The report as text.
pub fn render(lines: &[BurnLine]) -> String {
    let mut table = Table::new(&["SERVICE LEVEL", "OBJECTIVE", "WINDOW", "EVENTS", "OVER", "BURN"]);
    for line in lines {
        let verdict = if line.burn > 1.0 { " (budget shrinks)" } else { "" };
        table.row([
            line.indicator.name().to_owned(),
            format!("{} % within {} ms", percent(line.share), line.within_ms),
            format!("{} min", line.window_s / 60),
            line.total.to_string(),
            line.bad.to_string(),
            format!("{:.2}{verdict}", line.burn),
        ]);
    }
    table.render()
}

fn percent(share: f64) -> String {
    let text = format!("{:.3}", share * 100.0);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Draws the burn of each minute of the last hour.
fn draw(
    path: &Path,
    counts: &BurnCounts,
    levels: &ServiceLevels,
    minute: u64,
) -> Result<(), Box<dyn std::error::Error>> {
    let first = minute.saturating_sub(PLOT_MINUTES - 1);
    let series: Vec<(Indicator, Vec<(f64, f64)>)> =
        Indicator::ALL.iter().map(|i| (*i, by_minute(counts, levels, *i, first..=minute))).collect();
    let values = series.iter().flat_map(|(_, points)| points.iter().map(|p| p.1));
    let most = values.fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let minutes = -(PLOT_MINUTES as f64)..0.0;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption("Service-level burn by minute (above 1 the budget shrinks)", ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(minutes, 0.0..most)?;
    chart.configure_mesh().x_desc("minutes ago").y_desc("burn").draw()?;
    for (at, (indicator, points)) in series.into_iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(indicator.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn by_minute(
    counts: &BurnCounts,
    levels: &ServiceLevels,
    indicator: Indicator,
    minutes: std::ops::RangeInclusive<u64>,
) -> Vec<(f64, f64)> {
    let last = *minutes.end();
    let allowed = 1.0 - indicator.level(levels).share;
    let burn = |minute: u64| {
        let tally = counts.minutes.get(&minute).map(|t| t[indicator as usize]).unwrap_or_default();
        if tally.total == 0 { 0.0 } else { tally.bad as f64 / tally.total as f64 / allowed }
    };
    minutes.map(|minute| (minute as f64 - last as f64, burn(minute))).collect()
}
