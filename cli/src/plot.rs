//! Plots of lines over time, as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::error::CliError;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Room above the highest value, as a part of it.
const HEADROOM: f64 = 1.1;

/// What stands around the lines.
pub struct Frame<'a> {
    /// Above them.
    pub caption: &'a str,
    /// Below them.
    pub x_label: &'a str,
    /// Beside them.
    pub y_label: &'a str,
    /// From the left to the right.
    pub x: (f64, f64),
    /// The top is no lower than this.
    pub min_y_max: f64,
}

/// A line and its name.
pub struct Series {
    /// The name.
    pub name: String,
    /// Its points from left to right.
    pub points: Vec<(f64, f64)>,
}

/// Writes a plot to a file.
pub fn write(path: &Path, frame: &Frame<'_>, series: Vec<Series>) -> Result<(), CliError> {
    draw(path, frame, series).map_err(|err| CliError::Plot(err.to_string()))
}

fn draw(path: &Path, frame: &Frame<'_>, series: Vec<Series>) -> Result<(), Box<dyn std::error::Error>> {
    let values = series.iter().flat_map(|series| series.points.iter().map(|(_, value)| *value));
    let top = values.fold(frame.min_y_max, f64::max) * HEADROOM;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .caption(frame.caption, ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(frame.x.0..frame.x.1, 0.0..top)?;
    chart.configure_mesh().x_desc(frame.x_label).y_desc(frame.y_label).draw()?;
    for (at, Series { name, points }) in series.into_iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
