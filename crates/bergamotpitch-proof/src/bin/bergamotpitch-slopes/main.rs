//! Measures what control costs against its sizes and fits straight lines to it.

mod claims;
mod costs;
mod flags;
mod memberships;
mod memories;
mod plots;
mod scenes;
mod sheets;
mod takeovers;
mod ticks;
mod wires;

use std::error::Error;
use std::path::Path;
use std::time::Duration;

use bergamotpitch_proof::capacity_pages::fill_page;
use bergamotpitch_proof::slopes::Results;

use crate::flags::BergamotpitchSlopes;

/// Real time that the warm-up and the measuring of one scene may take each, in milliseconds.
const DEFAULT_LIMIT_MS: u64 = 6_000;

#[global_allocator]
static HEAP: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

fn main() -> std::process::ExitCode {
    let flags = BergamotpitchSlopes::from_env_or_exit();
    let results = match &flags.from {
        Some(path) => match read(path) {
            Ok(results) => results,
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                return std::process::ExitCode::FAILURE;
            }
        },
        None => measure(&flags),
    };
    for slope in &results.slopes {
        println!(
            "{:32} {:12.4} + {:10.6} {} per {} (residual {:.1}%)",
            slope.name,
            slope.fit.intercept,
            slope.fit.slope,
            slope.unit,
            slope.variable,
            slope.fit.residual_percent
        );
    }
    match write(&flags, &results) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn read(path: &Path) -> Result<Results, Box<dyn Error>> {
    Ok(serde_json::from_str(&std::fs::read_to_string(path)?)?)
}

fn measure(flags: &BergamotpitchSlopes) -> Results {
    let limit = Duration::from_millis(flags.limit_ms.unwrap_or(DEFAULT_LIMIT_MS));
    let wants = |part: &str| flags.only.as_deref().is_none_or(|only| only == part);
    let mut slopes = Vec::new();
    if wants("sheets") {
        slopes.extend(sheets::measure());
    }
    if wants("wires") {
        slopes.extend(wires::measure());
    }
    if wants("claims") {
        slopes.extend(claims::measure());
    }
    if wants("memberships") {
        slopes.extend(memberships::measure());
    }
    if wants("memories") {
        slopes.extend(memories::measure(&HEAP));
    }
    if wants("takeovers") {
        slopes.extend(takeovers::measure());
    }
    if wants("ticks") {
        slopes.extend(ticks::measure(&HEAP, limit));
    }
    let date = flags.date.clone().unwrap_or_default();
    Results { command: "scripts/slopes".to_owned(), date, slopes }
}

fn write(flags: &BergamotpitchSlopes, results: &Results) -> Result<(), Box<dyn Error>> {
    let text = serde_json::to_string_pretty(results)?;
    std::fs::write(&flags.out, text + "\n")?;
    if let Some(path) = &flags.plot {
        plots::draw(path, &results.slopes)?;
    }
    if let Some(path) = &flags.page {
        let page = std::fs::read_to_string(path)?;
        std::fs::write(path, fill_page(&page, results)? + "\n")?;
    }
    Ok(())
}
