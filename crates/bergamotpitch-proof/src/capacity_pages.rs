//! Capacity pages: tables whose numbers follow from measured slopes.
//!
//! A page has two kinds of tables. Rows of the first name a slope, a size and a budget, and get the
//! value at that size and the verdict; rows of the second name a slope and get its line.

use crate::slopes::{Results, Slope};

/// Header of the table of needs.
pub const NEEDS_HEADER: &str =
    "| duty | what | slope | size | times | at full size | unit | budget | verdict |";

/// Header of the table of slopes.
pub const SLOPES_HEADER: &str = "| slope | at 0 | each | unit | for each | residual | spread |";

/// `Need` is a row of the table of needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// Duty and what of it.
    pub what: String,
    /// Name of the slope.
    pub slope: String,
    /// Times that the budget is passed; below 1 it is kept. None when there is no budget.
    pub passed_times: Option<f64>,
}

/// `fill_page` writes the numbers of results into a page.
///
/// # Errors
///
/// Names the row that cannot be filled and why.
///
/// ```
/// use bergamotpitch_proof::capacity_pages::{NEEDS_HEADER, fill_page};
/// use bergamotpitch_proof::slopes::{Fit, Results, Slope};
/// let fit = Fit { intercept: 1.0, slope: 0.5, residual_percent: 0.0 };
/// let slope = Slope { name: "step_us".into(), fit, ..Slope::default() };
/// let results = Results { slopes: vec![slope], ..Results::default() };
/// let page = format!("{NEEDS_HEADER}\n|---|\n| control | step | step_us | 8 | 2 | ? | us | 5 | ? |");
/// let filled = fill_page(&page, &results).unwrap();
/// assert!(filled.ends_with("| 8 | 2 | 10.0 | us | 5 | breaks it 2.0 times |"));
/// ```
pub fn fill_page(page: &str, results: &Results) -> Result<String, String> {
    let mut filled = Vec::new();
    let mut table = Table::None;
    for line in page.lines() {
        table = match line {
            NEEDS_HEADER => Table::Needs,
            SLOPES_HEADER => Table::Slopes,
            _ if line.starts_with('|') => table,
            _ => Table::None,
        };
        let is_row = line.starts_with('|') && !line.starts_with("|---");
        let is_header = line == NEEDS_HEADER || line == SLOPES_HEADER;
        filled.push(match table {
            Table::Needs if is_row && !is_header => fill_need(line, results)?,
            Table::Slopes if is_row && !is_header => fill_slope(line, results)?,
            _ => line.to_owned(),
        });
    }
    Ok(filled.join("\n"))
}

/// `needs_of` reads the table of needs of a page.
///
/// # Errors
///
/// Names the row that cannot be read and why.
pub fn needs_of(page: &str, results: &Results) -> Result<Vec<Need>, String> {
    let mut needs = Vec::new();
    let mut is_inside = false;
    for line in page.lines() {
        is_inside = line == NEEDS_HEADER || is_inside && line.starts_with('|');
        if is_inside && line != NEEDS_HEADER && !line.starts_with("|---") {
            needs.push(need_of(line, results)?.0);
        }
    }
    Ok(needs)
}

#[derive(Clone, Copy)]
enum Table {
    None,
    Needs,
    Slopes,
}

fn fill_need(line: &str, results: &Results) -> Result<String, String> {
    let (need, value) = need_of(line, results)?;
    let mut cells = cells_of(line, 9)?;
    let value = rounded(value);
    cells[5] = &value;
    let verdict = match need.passed_times {
        None => "-".to_owned(),
        Some(times) if times <= 1.0 => format!("fits, {:.0}%", 100.0 * times),
        Some(times) => format!("breaks it {times:.1} times"),
    };
    cells[8] = &verdict;
    Ok(format!("| {} |", cells.join(" | ")))
}

fn need_of(line: &str, results: &Results) -> Result<(Need, f64), String> {
    let cells = cells_of(line, 9)?;
    let number = |text: &str| {
        text.replace(',', "").parse::<f64>().map_err(|error| format!("{line}: {text}: {error}"))
    };
    let slope = find(results, cells[2], line)?;
    let value = cost_at(slope, number(cells[3])?) * number(cells[4])?;
    let passed_times = if cells[7] == "-" { None } else { Some(value / number(cells[7])?) };
    let what = format!("{}: {}", cells[0], cells[1]);
    Ok((Need { what, slope: slope.name.clone(), passed_times }, value))
}

// Where the size itself was measured, that counts: a line through a bent curve lies below its end.
fn cost_at(slope: &Slope, size: f64) -> f64 {
    let measured = slope.points.iter().find(|point| point.size == size);
    measured.map_or(slope.fit.at(size), |point| point.value)
}

fn fill_slope(line: &str, results: &Results) -> Result<String, String> {
    let cells = cells_of(line, 7)?;
    let slope = find(results, cells[0], line)?;
    let spread = slope.points.iter().map(|point| point.spread_percent).fold(0.0, f64::max);
    Ok(format!(
        "| {} | {} | {} | {} | {} | {:.1}% | {:.0}% |",
        slope.name,
        rounded(slope.fit.intercept),
        rounded(slope.fit.slope),
        slope.unit,
        slope.variable,
        slope.fit.residual_percent,
        spread
    ))
}

fn find<'a>(results: &'a Results, name: &str, line: &str) -> Result<&'a Slope, String> {
    let found = results.slopes.iter().find(|slope| slope.name == name);
    found.ok_or_else(|| format!("{line}: no slope \"{name}\" was measured"))
}

fn cells_of(line: &str, count: usize) -> Result<Vec<&str>, String> {
    let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
    if cells.len() != count {
        return Err(format!("{line}: has {} cells, not {count}", cells.len()));
    }
    Ok(cells)
}

fn rounded(value: f64) -> String {
    let size = value.abs();
    if size < 0.000_001 {
        "0".to_owned()
    } else if size < 0.1 {
        format!("{value:.5}")
    } else if size < 100.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.0}")
    }
}
