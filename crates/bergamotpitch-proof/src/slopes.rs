//! Slopes: measured costs against size, with the straight line fitted to them.

use serde::{Deserialize, Serialize};

/// `Results` is what one run of the slopes command measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Command that made them.
    pub command: String,
    /// Date of the run.
    pub date: String,
    /// Slopes.
    pub slopes: Vec<Slope>,
}

/// `Slope` is a cost measured at several sizes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Name by which the capacity page refers to it.
    pub name: String,
    /// What was varied.
    pub variable: String,
    /// Unit of the values.
    pub unit: String,
    /// What was held fixed.
    pub fixed: String,
    /// Measurements, smallest size first.
    pub points: Vec<Point>,
    /// Line fitted to them.
    pub fit: Fit,
}

/// `Point` is the cost at one size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// Cost.
    pub value: f64,
    /// Largest less smallest of the repeats, in percent of the value.
    pub spread_percent: f64,
}

/// `Fit` is a straight line by least squares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Cost at size 0.
    pub intercept: f64,
    /// Cost of one more of the size.
    pub slope: f64,
    /// Root of the mean squared distance from the line, in percent of the mean value.
    pub residual_percent: f64,
}

impl Fit {
    /// `at` is the cost that the line gives for a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// `fit_line` fits a straight line to points.
///
/// ```
/// use bergamotpitch_proof::slopes::{Point, fit_line};
/// let point = |size, value| Point { size, value, spread_percent: 0.0 };
/// let fit = fit_line(&[point(1.0, 5.0), point(2.0, 7.0), point(4.0, 11.0)]);
/// assert!((fit.at(10.0) - 23.0).abs() < 1e-9);
/// ```
pub fn fit_line(points: &[Point]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let square = |value: f64| value * value;
    let variance: f64 = points.iter().map(|point| square(point.size - mean_size)).sum();
    let covariance: f64 =
        points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    let mut fit = Fit { intercept: mean_value - slope * mean_size, slope, residual_percent: 0.0 };
    let squares: f64 = points.iter().map(|point| square(point.value - fit.at(point.size))).sum();
    if mean_value != 0.0 {
        fit.residual_percent = 100.0 * (squares / count).sqrt() / mean_value.abs();
    }
    fit
}

/// `repeated` makes a point of the repeats of one measurement: their median and their spread.
pub fn repeated(size: f64, mut values: Vec<f64>) -> Point {
    values.sort_by(f64::total_cmp);
    let (Some(first), Some(last)) = (values.first(), values.last()) else {
        return Point { size, ..Point::default() };
    };
    let value = values[values.len() / 2];
    let spread_percent = if value == 0.0 { 0.0 } else { 100.0 * (last - first) / value };
    Point { size, value, spread_percent }
}

/// `slope_of` fits a line to points and names it.
pub fn slope_of(
    name: &str,
    variable: &str,
    unit: &str,
    fixed: impl Into<String>,
    points: Vec<Point>,
) -> Slope {
    let fit = fit_line(&points);
    Slope {
        name: name.to_owned(),
        variable: variable.to_owned(),
        unit: unit.to_owned(),
        fixed: fixed.into(),
        points,
        fit,
    }
}
