//! Plots: service per share of each team over the time of a run.

use std::path::Path;

use plotters::prelude::*;

use crate::errors::{Result, plot_error};
use crate::gaps::team_series;
use crate::runs::RunOutcome;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 540);

/// `draw_service` draws one line a team into an SVG file.
///
/// # Errors
///
/// Names the file when it cannot be drawn.
pub fn draw_service(outcome: &RunOutcome, service: &str, file: &Path) -> Result<()> {
    let name = file.display().to_string();
    draw(outcome, service, file).map_err(|error| plot_error(&name, error))
}

fn draw(
    outcome: &RunOutcome,
    service: &str,
    file: &Path,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let teams = team_series(service, &outcome.records, &outcome.ground);
    let last_s =
        teams.iter().flat_map(|team| team.points.last()).map(|point| point.0).fold(1.0, f64::max);
    let most =
        teams.iter().flat_map(|team| team.points.last()).map(|point| point.1).fold(1.0, f64::max);
    let root = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let caption = format!("{}: {service}, {}", outcome.report.name, outcome.report.label);
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..last_s, 0.0..most * 1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("cost units per share").draw()?;
    for (position, team) in teams.iter().enumerate() {
        let color = Palette99::pick(position).to_rgba();
        chart
            .draw_series(LineSeries::new(team.points.iter().copied(), color.stroke_width(2)))?
            .label(team.team.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
