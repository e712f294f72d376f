//! Sheets applied by racing operators, with lost answers and outages.

mod common;

use bergamotpitch_platform::{Applied, Error};

const SHEET: &str = r#"{ "domains": [{ "name": "a", "region": "r" }], "services": [],
    "upstreams": [], "teams": [] }"#;

/// Two operators read version 0 and both apply a sheet. If the second one won silently, the first
/// one's changes would vanish without anybody being told.
#[tokio::test]
async fn racing_operators() {
    let stage = common::start().await;
    let platform = &stage.platform;
    let first = platform.apply_sheet("first.json", SHEET, 0);
    let second = platform.apply_sheet("second.json", SHEET, 0);
    let results = tokio::join!(first, second);
    let results = [results.0.unwrap(), results.1.unwrap()];
    assert!(results.contains(&Applied::Applied { version: 1 }), "{results:?}");
    assert!(results.contains(&Applied::Conflict { version: 1 }), "{results:?}");
    let late = platform.apply_sheet("late.json", SHEET, 0).await.unwrap();
    assert_eq!(late, Applied::Conflict { version: 1 });
    stage.standin.close().await;
}

/// The answer to the write is lost after it took effect. An operator who is told of a failure would
/// apply the sheet again and find a conflict with itself.
#[tokio::test]
async fn lost_answer() {
    let stage = common::start().await;
    common::set_faults(&stage, r#"{ "lose_next_answers": 1 }"#).await;
    let applied = stage.platform.apply_sheet("sheet.json", SHEET, 0).await.unwrap();
    assert_eq!(applied, Applied::Applied { version: 1 });
    let held = stage.platform.read_sheet().await.unwrap().expect("a sheet was applied");
    assert_eq!(held.version, 1);
    stage.standin.close().await;
}

/// The service is out when the operator applies a sheet. Nothing was written, and the operator must
/// not be told that it is unknown.
#[tokio::test]
async fn service_out() {
    let stage = common::start().await;
    common::set_faults(&stage, r#"{ "outage": true }"#).await;
    let error = stage.platform.apply_sheet("sheet.json", SHEET, 0).await.unwrap_err();
    assert!(matches!(error, Error::Unreachable { .. }), "{error}");
    common::set_faults(&stage, "{}").await;
    assert_eq!(stage.platform.read_sheet().await.unwrap(), None);
    stage.standin.close().await;
}

/// A sheet that does not pass its check is never written; the operator gets file, field and reason.
#[tokio::test]
async fn bad_sheet() {
    let stage = common::start().await;
    let text = r#"{ "domains": [{ "name": "", "region": "r" }], "services": [], "upstreams": [],
        "teams": [] }"#;
    let error = stage.platform.apply_sheet("sheet.json", text, 0).await.unwrap_err();
    assert!(error.to_string().contains("sheet.json: domains[0].name"), "{error}");
    stage.standin.close().await;
}

/// A watch sees each version that is applied while it waits.
#[tokio::test]
async fn watched_change() {
    let stage = common::start().await;
    let empty = stage.platform.watch_sheet(0).await.unwrap();
    assert_eq!(empty.sheet, None);
    let watch = stage.platform.watch_sheet(empty.index.max(1));
    let apply = stage.platform.apply_sheet("sheet.json", SHEET, 0);
    let (watched, applied) = tokio::join!(watch, apply);
    assert_eq!(applied.unwrap(), Applied::Applied { version: 1 });
    assert_eq!(watched.unwrap().sheet.map(|sheet| sheet.version), Some(1));
    stage.standin.close().await;
}
