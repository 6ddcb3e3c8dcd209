//! Line plots in SVG format.

use std::path::Path;

use plotters::prelude::*;

use crate::error::CliError;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Ratio of the top of the y axis to the highest value.
const HEADROOM: f64 = 1.1;

/// Caption and axes of a plot.
pub struct Frame<'a> {
    /// Caption above the plot.
    pub caption: &'a str,
    /// Label of the x axis.
    pub x_label: &'a str,
    /// Label of the y axis.
    pub y_label: &'a str,
    /// Range of the x axis.
    pub x: (f64, f64),
    /// The y axis extends at least to this value.
    pub min_y_max: f64,
}

/// A named line of a plot.
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points ordered by x.
    pub points: Vec<(f64, f64)>,
}

/// Writes a plot to an SVG file.
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
