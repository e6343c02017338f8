use super::table::Row;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 560);
/// Length of a line sample in the legend, in pixels.
const SAMPLE_LENGTH: i32 = 20;

/// Plots the share of worth that each variant earns over the loads.
pub fn draw(path: &Path, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let min = rows.iter().map(|row| row.load).fold(f64::INFINITY, f64::min);
    let max = rows.iter().map(|row| row.load).fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(min..max.max(min + 0.1), 0.0..1.0)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("load relative to the users' sheet").y_desc("share of worth earned").draw()?;
    let mut names: Vec<&str> = Vec::new();
    for row in rows {
        if !names.contains(&row.variant) {
            names.push(row.variant);
        }
    }
    for (index, name) in names.iter().enumerate() {
        let variant_rows = rows.iter().filter(|row| row.variant == *name);
        let points: Vec<(f64, f64)> =
            variant_rows.map(|row| (row.load, row.total.earned_share())).collect();
        let colour = Palette99::pick(index).to_rgba();
        let line = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        line.label(*name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + SAMPLE_LENGTH, y)], colour.stroke_width(2))
        });
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
