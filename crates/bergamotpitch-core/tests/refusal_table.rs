//! docs/OPERATIONS.md tells what each reason of a refusal means, and names no other.

use bergamotpitch_core::refusals::RefusalReason;
use strum::{EnumMessage, IntoEnumIterator};

/// Reasons and their meanings in the table of the page.
fn documented() -> Vec<(String, String)> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let (_, rest) = page.split_once("## Reading a refusal").unwrap();
    let (section, _) = rest.split_once("\n## ").unwrap();
    section
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 5, "five cells: {line}");
            (cells[0].trim_matches('`').to_owned(), cells[2].to_owned())
        })
        .collect()
}

#[test]
fn reasons_and_code() {
    let coded: Vec<(String, String)> = RefusalReason::iter()
        .map(|reason| (reason.to_string(), reason.get_documentation().unwrap_or("").to_owned()))
        .collect();
    assert_eq!(documented(), coded);
}
