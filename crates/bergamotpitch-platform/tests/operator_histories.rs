//! Histories of operators that race each other while answers get lost.

mod common;

use std::sync::{Arc, Mutex};

use bergamotpitch_platform::{Applied, Error, Platform};
use bergamotpitch_proof::sheet_histories::{Applying, OperatorStep, Told, is_linearizable};

const SHEET: &str = r#"{ "domains": [], "services": [], "upstreams": [], "teams": [] }"#;

/// Operators, each with a client of its own.
const OPERATORS: usize = 4;

/// Sheets that each operator applies.
const APPLIES: usize = 6;

/// Four operators read the version in force and apply sheets against it while two of five answers
/// are lost. If one was told "applied" of a sheet that was not, or "conflict" of one that was, it
/// would undo or repeat a colleague's work.
#[tokio::test]
async fn lost_answers() {
    let steps = race(r#"{ "lose_answers_percent": 40 }"#).await;
    assert!(is_linearizable(&steps), "{steps:?}");
    let applied = steps
        .iter()
        .filter(|step| {
            matches!(step, OperatorStep::Ended { applying, .. }
            if matches!(applying.told, Told::Applied(_)))
        })
        .count();
    assert!(0 < applied);
}

/// The same without faults.
#[tokio::test]
async fn plain_race() {
    let steps = race("{}").await;
    assert!(is_linearizable(&steps), "{steps:?}");
}

/// The check fails when two operators are told that they made one version.
#[test]
fn two_authors() {
    let applying = Applying { base: 0, told: Told::Applied(1) };
    let steps = [
        OperatorStep::Begun { call: 0, applying },
        OperatorStep::Ended { call: 0, applying },
        OperatorStep::Begun { call: 1, applying },
        OperatorStep::Ended { call: 1, applying },
    ];
    assert!(is_linearizable(&steps[..2]));
    assert!(!is_linearizable(&steps));
}

/// The check fails when an operator is told of a conflict with a version that nobody wrote.
#[test]
fn false_conflict() {
    let applying = Applying { base: 0, told: Told::Conflict(1) };
    let steps =
        [OperatorStep::Begun { call: 0, applying }, OperatorStep::Ended { call: 0, applying }];
    assert!(!is_linearizable(&steps));
}

async fn race(faults: &str) -> Vec<OperatorStep> {
    let stage = common::start().await;
    common::set_faults(&stage, faults).await;
    let begun = Arc::new(Mutex::new(Vec::new()));
    let operators = (0..OPERATORS).map(|operator| {
        let platform = stage.platform.clone();
        tokio::spawn(operate(platform, operator, Arc::clone(&begun)))
    });
    for operator in futures::future::join_all(operators).await {
        operator.expect("the operator ends");
    }
    stage.standin.close().await;
    let log = std::mem::take(&mut *begun.lock().unwrap());
    complete(&log)
}

#[derive(Clone, Copy)]
enum Line {
    Begun(usize),
    Ended(usize, Applying),
}

async fn operate(platform: Platform, operator: usize, log: Arc<Mutex<Vec<Line>>>) {
    for turn in 0..APPLIES {
        let base = match platform.read_sheet().await {
            Ok(sheet) => sheet.map_or(0, |sheet| sheet.version),
            Err(_) => continue,
        };
        let call = operator * APPLIES + turn;
        log.lock().unwrap().push(Line::Begun(call));
        let told = match platform.apply_sheet("sheet.json", SHEET, base).await {
            Ok(Applied::Applied { version }) => Told::Applied(version),
            Ok(Applied::Conflict { version }) => Told::Conflict(version),
            Ok(Applied::Unknown) => Told::Unknown,
            Err(Error::Unreachable { .. } | Error::RateLimited) => Told::Failed,
            Err(error) => panic!("{error}"),
        };
        log.lock().unwrap().push(Line::Ended(call, Applying { base, told }));
    }
}

// A call's beginning names what it was told, which is known only at its end.
fn complete(log: &[Line]) -> Vec<OperatorStep> {
    let applying_of = |call: usize| {
        log.iter().find_map(|line| match line {
            Line::Ended(other, applying) if *other == call => Some(*applying),
            _ => None,
        })
    };
    log.iter()
        .filter_map(|line| match *line {
            Line::Begun(call) => {
                applying_of(call).map(|applying| OperatorStep::Begun { call, applying })
            }
            Line::Ended(call, applying) => Some(OperatorStep::Ended { call, applying }),
        })
        .collect()
}
