//! Measures what control costs against its sizes and fits straight lines to it.

mod claims;
mod costs;
mod flags;
mod memberships;
mod memories;
mod scenes;
mod sheets;
mod ticks;
mod wires;

use std::time::Duration;

use bergamotpitch_proof::slopes::Results;

use crate::flags::BergamotpitchSlopes;

#[global_allocator]
static HEAP: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

fn main() -> std::process::ExitCode {
    let flags = BergamotpitchSlopes::from_env_or_exit();
    let limit = Duration::from_millis(flags.limit_ms.unwrap_or(8_000));
    let wants = |part: &str| flags.only.as_deref().is_none_or(|only| only == part);
    let mut results = Results {
        command: "scripts/slopes".to_owned(),
        date: flags.date.clone().unwrap_or_default(),
        slopes: Vec::new(),
    };
    if wants("sheets") {
        results.slopes.extend(sheets::measure(1));
    }
    if wants("wires") {
        results.slopes.extend(wires::measure());
    }
    if wants("claims") {
        results.slopes.extend(claims::measure());
    }
    if wants("memberships") {
        results.slopes.extend(memberships::measure());
    }
    if wants("memories") {
        results.slopes.extend(memories::measure(&HEAP));
    }
    if wants("ticks") {
        results.slopes.extend(ticks::measure(limit));
    }
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
    let text = serde_json::to_string_pretty(&results).expect("results are JSON");
    if let Err(error) = std::fs::write(&flags.out, text + "\n") {
        eprintln!("{}: {error}", flags.out.display());
        return std::process::ExitCode::FAILURE;
    }
    std::process::ExitCode::SUCCESS
}
