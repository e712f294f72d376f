//! Plots: one picture of all slopes, each with its points and its line.

use std::path::Path;

use bergamotpitch_proof::slopes::Slope;
use plotters::prelude::*;

const COLUMNS: usize = 4;
const WIDTH: u32 = 360;
const HEIGHT: u32 = 260;

/// `draw` writes the picture of some slopes.
pub fn draw(path: &Path, slopes: &[Slope]) -> Result<(), Box<dyn std::error::Error>> {
    let rows = slopes.len().div_ceil(COLUMNS).max(1);
    let size = (WIDTH * COLUMNS as u32, HEIGHT * rows as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, slope) in root.split_evenly((rows, COLUMNS)).iter().zip(slopes) {
        let largest = slope.points.iter().map(|point| point.size).fold(0.0, f64::max);
        let highest = slope
            .points
            .iter()
            .map(|point| point.value.max(slope.fit.at(point.size)))
            .fold(0.0, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(&slope.name, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..largest * 1.05 + 1e-9, 0.0..highest * 1.15 + 1e-9)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_labels(4)
            .y_labels(4)
            .x_desc(&slope.variable)
            .y_desc(&slope.unit)
            .draw()?;
        let ends = [0.0, largest].map(|at| (at, slope.fit.at(at)));
        chart.draw_series(LineSeries::new(ends, &BLUE))?;
        let dots = slope.points.iter().map(|point| (point.size, point.value));
        chart.draw_series(dots.map(|dot| Circle::new(dot, 3, RED.filled())))?;
    }
    root.present()?;
    Ok(())
}
