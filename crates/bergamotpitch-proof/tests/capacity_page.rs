//! The capacity page agrees with the committed results.

use bergamotpitch_proof::capacity_pages::{fill_page, needs_of};
use bergamotpitch_proof::slopes::{Results, fit_line};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const RESULTS: &str = include_str!("../../../docs/results/slopes.json");

#[test]
fn page_numbers() {
    let filled = fill_page(PAGE, &results()).expect("each row can be filled");
    for (line, expected) in PAGE.lines().zip(filled.lines()) {
        assert_eq!(line, expected, "run scripts/slopes");
    }
}

/// A duty passes its budget and the page does not say so. An operator sizes the instances by the
/// page, and they fall behind at the size it was written for.
#[test]
fn passed_budgets() {
    let results = results();
    let needs = needs_of(PAGE, &results).expect("each row can be read");
    assert!(20 < needs.len(), "{} rows", needs.len());
    let broken = section("## What breaks a budget");
    for need in needs.iter().filter(|need| need.passed_times.is_some_and(|times| 1.0 < times)) {
        let name = format!("`{}`", need.slope);
        assert!(broken.contains(&name), "{} passes its budget and is not named", need.what);
    }
}

#[test]
fn fitted_lines() {
    for slope in results().slopes {
        assert!(4 <= slope.points.len(), "{} has {} sizes", slope.name, slope.points.len());
        let fit = fit_line(&slope.points);
        let near = |left: f64, right: f64| (left - right).abs() <= 1e-6 * (1.0 + right.abs());
        assert!(near(fit.slope, slope.fit.slope), "{}", slope.name);
        assert!(near(fit.intercept, slope.fit.intercept), "{}", slope.name);
        assert!(near(fit.residual_percent, slope.fit.residual_percent), "{}", slope.name);
    }
}

fn results() -> Results {
    serde_json::from_str(RESULTS).expect("the results are well formed")
}

fn section(heading: &str) -> &'static str {
    let (_, after) = PAGE.split_once(heading).expect("the page has the section");
    after.split_once("\n## ").map_or(after, |(section, _)| section)
}
