//! SVG plots of the comparison.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
    PathElement, Rectangle, SVGBackend, WHITE,
};

use crate::measure::{Measure, mean_and_deviation};
use crate::policy::Policy;

const SIZE: (u32, u32) = (760, 380);

/// Error of the plotting backend.
pub type Error = Box<dyn std::error::Error>;

/// Draws the goodput of each policy over the run, as mean over the seeds.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn timeline(
    path: &Path,
    title: &str,
    policies: &[Policy],
    results: &[Vec<Measure>],
) -> Result<(), Error> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let lines: Vec<Vec<f64>> = results.iter().map(|measures| mean_line(measures)).collect();
    let seconds = lines.first().map_or(0, Vec::len);
    let top = lines.iter().flatten().copied().fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16).into_font())
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("goodput, requests/s")
        .draw()?;
    for (index, (policy, line)) in policies.iter().zip(&lines).enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = line
            .iter()
            .enumerate()
            .map(|(at, value)| (at as f64, *value));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(policy.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Mean goodput per second over the runs, smoothed by a moving average of three seconds.
fn mean_line(measures: &[Measure]) -> Vec<f64> {
    let seconds = measures
        .first()
        .map_or(0, |measure| measure.good_per_second.len());
    (0..seconds)
        .map(|at| {
            let window = at.saturating_sub(1)..(at + 2).min(seconds);
            let count = (window.len() * measures.len()).max(1) as f64;
            let sum: f64 = measures
                .iter()
                .flat_map(|measure| &measure.good_per_second[window.clone()])
                .sum();
            sum / count
        })
        .collect()
}

/// Draws the mean of one measure as a bar for each policy, with its standard deviation over the seeds.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn bars(
    path: &Path,
    title: &str,
    policies: &[Policy],
    results: &[Vec<Measure>],
    value: fn(&Measure) -> f64,
) -> Result<(), Error> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let columns: Vec<(f64, f64)> = results
        .iter()
        .map(|measures| mean_and_deviation(&measures.iter().map(value).collect::<Vec<_>>()))
        .collect();
    let top = columns
        .iter()
        .map(|column| column.0 + column.1)
        .fold(0.001, f64::max)
        * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16).into_font())
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..columns.len() as f64, 0.0..top)?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).draw()?;
    for (index, (policy, (mean, deviation))) in policies.iter().zip(&columns).enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let left = index as f64;
        let corners = [(left + 0.15, 0.0), (left + 0.85, *mean)];
        chart
            .draw_series([Rectangle::new(corners, colour.filled())])?
            .label(policy.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        let middle = left + 0.5;
        let range = [
            (middle, (mean - deviation).max(0.0)),
            (middle, mean + deviation),
        ];
        chart.draw_series([PathElement::new(range, BLACK)])?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
