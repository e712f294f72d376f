//! Reports: measures as a table, and the files that a run leaves.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use crate::errors::{Result, file_error};
use crate::measures::must_be_zero;
use crate::runs::{RunOutcome, RunReport};

/// Width of the first column of a table.
const NAME_WIDTH: usize = 44;

/// Width of each other column.
const VALUE_WIDTH: usize = 16;

/// `store` writes the report and the records of a run into a folder.
///
/// # Errors
///
/// Names the file that cannot be written.
pub fn store(outcome: &RunOutcome, folder: &Path) -> Result<()> {
    fs::create_dir_all(folder).map_err(|error| file_error(&folder.display().to_string(), error))?;
    let report = serde_json::to_string_pretty(&outcome.report).unwrap_or_default();
    write_file(&folder.join("report.json"), &report)?;
    write_file(&folder.join("callers.jsonl"), &json_lines(&outcome.records.callers))?;
    write_file(&folder.join("upstreams.jsonl"), &json_lines(&outcome.records.upstreams))?;
    write_file(&folder.join("runs.jsonl"), &json_lines(&outcome.records.runs))
}

/// `load_report` reads the report that [`store`] wrote.
///
/// # Errors
///
/// Names the file that cannot be read, or that is no report.
pub fn load_report(folder: &Path) -> Result<RunReport> {
    let file = folder.join("report.json");
    let name = file.display().to_string();
    let text = fs::read_to_string(&file).map_err(|error| file_error(&name, error))?;
    serde_json::from_str(&text).map_err(|error| file_error(&name, error))
}

fn write_file(file: &Path, text: &str) -> Result<()> {
    fs::write(file, text).map_err(|error| file_error(&file.display().to_string(), error))
}

fn json_lines<T: serde::Serialize>(records: &[T]) -> String {
    let lines = records.iter().filter_map(|record| serde_json::to_string(record).ok());
    lines.fold(String::new(), |text, line| text + &line + "\n")
}

/// `CountRow` is the name of a figure and where it stands in a report.
type CountRow = (&'static str, fn(&RunReport) -> u64);

/// `table` prints reports side by side.
pub fn table(reports: &[RunReport]) -> String {
    let mut text = String::new();
    row(&mut text, "measure", reports.iter().map(|report| report.label.clone()));
    for position in 0..reports.first().map_or(0, |report| report.measures.services.len()) {
        service_rows(&mut text, reports, position);
    }
    let counts: [CountRow; 14] = [
        ("requests sent", |report| report.measures.sent_requests),
        ("requests answered", |report| report.measures.answered_requests),
        ("requests refused", |report| report.measures.refused_requests),
        ("answers cut, seen by the caller", |report| report.measures.cut_seen_answers),
        ("connections lost", |report| report.measures.lost_requests),
        ("answers cut unseen (must be 0)", |report| report.measures.cut_unseen_answers),
        ("answers of another request (must be 0)", |report| report.measures.foreign_answers),
        ("malformed answers (must be 0)", |report| report.measures.malformed_answers),
        ("double runs (must be 0)", |report| report.measures.double_runs),
        ("false \"not run\" (must be 0)", |report| report.measures.false_not_run),
        ("first byte p50, us", |report| report.measures.first_byte_p50_us),
        ("first byte p95, us", |report| report.measures.first_byte_p95_us),
        ("between tokens p50, us", |report| report.measures.token_gap_p50_us),
        ("between tokens p95, us", |report| report.measures.token_gap_p95_us),
    ];
    for (name, value) in counts {
        row(&mut text, name, reports.iter().map(|report| value(report).to_string()));
    }
    control_rows(&mut text, reports);
    refusal_rows(&mut text, reports);
    text
}

fn service_rows(text: &mut String, reports: &[RunReport], position: usize) {
    let services = || reports.iter().map(move |report| report.measures.services.get(position));
    let name = services().next().flatten().map_or("", |service| service.service.as_str());
    let gap = services()
        .map(|service| service.map_or_else(String::new, |one| format!("{:.0}", one.fairness_gap)));
    row(text, &format!("{name}: fairness gap, cost/share"), gap);
    let used = services().map(|service| {
        let percent = service.and_then(|one| one.utilisation_percent);
        percent.map_or_else(|| "nothing waited".to_owned(), |percent| format!("{percent:.1}"))
    });
    row(text, &format!("{name}: utilisation, %"), used);
    let contended = services().map(|service| {
        service.map_or_else(String::new, |one| format!("{:.0}", one.contended_percent))
    });
    row(text, &format!("{name}: time contended, %"), contended);
}

fn control_rows(text: &mut String, reports: &[RunReport]) {
    let mut classes: Vec<&String> =
        reports.iter().flat_map(|report| report.control_bytes_per_s.keys()).collect();
    classes.sort_unstable();
    classes.dedup();
    for class in classes {
        let values = reports.iter().map(|report| {
            let bytes = report.control_bytes_per_s.get(class).copied().unwrap_or(0.0);
            format!("{bytes:.0}")
        });
        row(text, &format!("control {class}, B/s an instance"), values);
    }
    let calls = reports.iter().map(|report| format!("{:.1}", report.platform_calls_per_s));
    row(text, "key-value calls/s, whole fleet", calls);
}

fn refusal_rows(text: &mut String, reports: &[RunReport]) {
    let mut reasons: Vec<&String> =
        reports.iter().flat_map(|report| report.refusals.keys()).collect();
    reasons.sort_unstable();
    reasons.dedup();
    for reason in reasons {
        let values = reports
            .iter()
            .map(|report| report.refusals.get(reason).copied().unwrap_or(0).to_string());
        row(text, &format!("refused: {reason}"), values);
    }
}

fn row(text: &mut String, name: &str, values: impl Iterator<Item = String>) {
    let _ = write!(text, "{name:<NAME_WIDTH$}");
    for value in values {
        let _ = write!(text, "{value:>VALUE_WIDTH$}");
    }
    text.push('\n');
}

/// `faults` names, for each report, the figures that must be 0 and are not.
pub fn faults(reports: &[RunReport]) -> Vec<String> {
    let of_report = |report: &RunReport| {
        let label = report.label.clone();
        must_be_zero(&report.measures).into_iter().map(move |fault| format!("{label}: {fault}"))
    };
    let mut faults: Vec<String> = reports.iter().flat_map(of_report).collect();
    for report in reports.iter().filter(|report| report.measures.answered_requests == 0) {
        faults.push(format!("{}: no request was answered", report.label));
    }
    faults
}

/// `cuts` names, for each report, answers that callers saw cut and connections that they lost: a
/// fault that ends no process must cause none.
pub fn cuts(reports: &[RunReport]) -> Vec<String> {
    let mut cuts = Vec::new();
    for report in reports {
        let figures = [
            ("cut_seen_answers", report.measures.cut_seen_answers),
            ("lost_requests", report.measures.lost_requests),
        ];
        for (name, value) in figures.iter().filter(|(_, value)| 0 < *value) {
            cuts.push(format!("{}: {name} is {value}", report.label));
        }
    }
    cuts
}
