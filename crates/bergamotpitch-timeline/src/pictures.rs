//! Time lines as SVG pictures: one lane for each process, one colour for each kind.

use bergamotpitch_core::HashSet;
use bergamotpitch_core::events::{EventKind, EventRecord};
use plotters::prelude::*;

use crate::errors::{Result, undrawable_error};

/// Width of a picture, in pixels.
const WIDTH: u32 = 1_600;

/// Height of one lane, in pixels.
const LANE_HEIGHT: u32 = 48;

/// Height of everything but lanes and legend, in pixels.
const FRAME_HEIGHT: u32 = 110;

/// Height of one line of the legend, in pixels.
const LEGEND_HEIGHT: u32 = 22;

/// Length of the time axis against that of the time line; the legend stands in what is left.
const LEGEND_ROOM: f64 = 1.2;

/// Radius of a mark, in pixels.
const MARK_RADIUS: u32 = 3;

/// Widths of a mark that fit into a picture; marks that are closer are drawn as one.
const MARK_PLACES: f64 = 700.0;

/// `draw` writes the time line as an SVG picture and returns its text.
///
/// # Errors
///
/// The drawing library fails.
///
/// ```
/// use bergamotpitch_timeline::pictures::draw;
/// assert!(draw("empty.svg", &[]).unwrap().starts_with("<svg"));
/// ```
pub fn draw(file: &str, events: &[EventRecord]) -> Result<String> {
    let lanes = lanes(events);
    let kinds = kinds(events);
    let legend = kinds.len() as u32 * LEGEND_HEIGHT;
    let height = FRAME_HEIGHT + (lanes.len() as u32 * LANE_HEIGHT).max(legend);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        draw_chart(&root, events, &lanes, &kinds)
            .map_err(|reason| undrawable_error(file, reason))?;
        root.present().map_err(|reason| undrawable_error(file, reason))?;
    }
    Ok(svg)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_chart(
    root: &Area<'_>,
    events: &[EventRecord],
    lanes: &[&str],
    kinds: &[EventKind],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let first_us = events.first().map_or(0, |event| event.time_us);
    let last_us = events.last().map_or(0, |event| event.time_us);
    let length_s = (seconds(last_us - first_us)).max(0.001);
    let bottom = lanes.len().max(1) as f64;
    let mut chart = ChartBuilder::on(root)
        .caption("events by process", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(140)
        .build_cartesian_2d(0.0..length_s * LEGEND_ROOM, 0.0..bottom)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .x_desc("seconds since the first event")
        .y_labels(0)
        .draw()?;
    for (position, lane) in lanes.iter().enumerate() {
        let height = lane_height(lanes.len(), position);
        chart
            .draw_series([PathElement::new([(0.0, height), (length_s, height)], BLACK.mix(0.2))])?;
        let style = ("sans-serif", 14).into_font().color(&BLACK);
        let (x, y) = chart.backend_coord(&(0.0, height));
        root.draw(&Text::new((*lane).to_owned(), (x - 130, y - 8), style))?;
    }
    for (position, kind) in kinds.iter().enumerate() {
        let colour = Palette99::pick(position).to_rgba();
        let marks = marks(events, lanes, *kind, first_us, length_s);
        let series = marks.into_iter().map(|mark| Circle::new(mark, MARK_RADIUS, colour.filled()));
        chart
            .draw_series(series)?
            .label(format!("{} {kind}", kind.number()))
            .legend(move |(x, y)| Circle::new((x + 8, y), MARK_RADIUS, colour.filled()));
    }
    if !kinds.is_empty() {
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .position(SeriesLabelPosition::UpperRight)
            .draw()?;
    }
    Ok(())
}

fn marks(
    events: &[EventRecord],
    lanes: &[&str],
    kind: EventKind,
    first_us: u64,
    length_s: f64,
) -> Vec<(f64, f64)> {
    let mut drawn = HashSet::default();
    let mut marks = Vec::new();
    for event in events.iter().filter(|event| event.kind == kind) {
        let Ok(lane) = lanes.binary_search(&event.process.as_str()) else { continue };
        let time_s = seconds(event.time_us - first_us);
        // Without this a long run would draw as many marks as there are events, most of them over
        // each other, and no viewer would open the file.
        let place = (time_s / length_s * MARK_PLACES) as u32;
        if drawn.insert((lane, place)) {
            marks.push((time_s, lane_height(lanes.len(), lane)));
        }
    }
    marks
}

fn lanes(events: &[EventRecord]) -> Vec<&str> {
    let mut lanes: Vec<&str> = events.iter().map(|event| event.process.as_str()).collect();
    lanes.sort_unstable();
    lanes.dedup();
    lanes
}

fn kinds(events: &[EventRecord]) -> Vec<EventKind> {
    let mut kinds: Vec<EventKind> = events.iter().map(|event| event.kind).collect();
    kinds.sort_unstable_by_key(|kind| kind.number());
    kinds.dedup();
    kinds
}

fn lane_height(lanes: usize, position: usize) -> f64 {
    (lanes - position) as f64 - 0.5
}

fn seconds(time_us: u64) -> f64 {
    time_us as f64 / 1e6
}
