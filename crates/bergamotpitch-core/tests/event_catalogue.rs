//! docs/EVENTS.md names every kind of event, and no other.

use bergamotpitch_core::events::EventKind;
use strum::{EnumMessage, IntoEnumIterator};

/// Number, name and meaning of one kind.
type Row = (u16, String, String);

fn documented() -> Vec<Row> {
    let page =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md"))
            .unwrap();
    let (_, catalogue) = page.split_once("## Catalogue").unwrap();
    let rows =
        catalogue.lines().filter(|line| line.starts_with("| ") && !line.contains("| number"));
    rows.map(|line| {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 4, "four cells: {line}");
        assert!(!cells[3].is_empty(), "what an operator does: {line}");
        (cells[0].parse().unwrap(), cells[1].trim_matches('`').to_owned(), cells[2].to_owned())
    })
    .collect()
}

fn coded() -> Vec<Row> {
    let mut rows: Vec<Row> = EventKind::iter()
        .map(|kind| {
            let meaning = kind.get_documentation().unwrap_or("").to_owned();
            (kind.number(), kind.to_string(), meaning)
        })
        .collect();
    rows.sort();
    rows
}

#[test]
fn catalogue_and_code() {
    let (documented, coded) = (documented(), coded());
    for row in &coded {
        assert!(documented.contains(row), "docs/EVENTS.md lacks or differs: {row:?}");
    }
    for row in &documented {
        assert!(coded.contains(row), "docs/EVENTS.md names what is not in the code: {row:?}");
    }
    assert_eq!(documented, coded, "docs/EVENTS.md is not in the order of numbers");
}

#[test]
fn numbers_differ() {
    let mut numbers: Vec<u16> = EventKind::iter().map(EventKind::number).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), EventKind::iter().count());
}
