//! Sheets are compared and applied, and `apply` tells the truth.

mod common;

use bergamotpitch_core::events::{EventKind, EventRecord};
use bergamotpitch_ctl::errors::{Error, exit_code};
use bergamotpitch_ctl::events::note_accepted;
use bergamotpitch_ctl::sheets::{apply, diff, show};
use common::{set_faults, sheet_file, start};

#[tokio::test]
async fn first_and_next() {
    let (standin, platform) = start().await;
    let (one, two) = (sheet_file("next", 1), sheet_file("next", 2));
    let text = apply(&platform, &one, None).await.unwrap().text;
    assert!(text.ends_with(&format!("applied {one} as version 1: 4 changes against version 0\n")));
    let text = diff(&platform, &two).await.unwrap();
    assert_eq!(text, "~ team goes: share: 1 -> 2\n1 changes against version 1\n");
    apply(&platform, &two, Some(1)).await.unwrap();
    assert!(show(&platform).await.unwrap().starts_with("// version 2: 1 domains, 1 services"));
    standin.close().await;
}

/// Two operators read version 1 and each applies a sheet of their own. If both were told that
/// theirs is in force, one of them would wait for a setting that never comes.
#[tokio::test]
async fn racing_operators() {
    let (standin, platform) = start().await;
    apply(&platform, &sheet_file("race", 1), None).await.unwrap();
    let (two, three) = (sheet_file("race", 2), sheet_file("race", 3));
    let (first, second) =
        tokio::join!(apply(&platform, &two, Some(1)), apply(&platform, &three, Some(1)));
    let (winner, loser) = match (&first, &second) {
        (Ok(_), Err(error)) => ("\"share\": 2", error),
        (Err(error), Ok(_)) => ("\"share\": 3", error),
        other => panic!("exactly one must win: {other:?}"),
    };
    assert!(matches!(loser, Error::Conflict { base: 1, held: 2, .. }), "{loser}");
    assert_eq!(exit_code(loser), 3);
    assert!(show(&platform).await.unwrap().contains(winner));
    standin.close().await;
}

/// The operator compares with version 1, goes for a coffee and applies; a colleague has applied
/// version 2 meanwhile. Without the base version the colleague's change would be lost unseen.
#[tokio::test]
async fn late_operator() {
    let (standin, platform) = start().await;
    apply(&platform, &sheet_file("late", 1), None).await.unwrap();
    apply(&platform, &sheet_file("late", 2), None).await.unwrap();
    let file = sheet_file("late", 3);
    let error = apply(&platform, &file, Some(1)).await.unwrap_err();
    assert_eq!(
        error.to_string(),
        format!(
            "nothing was applied: the sheet was to follow version 1, but version 2 was accepted \
             meanwhile; look at `sheet diff {file}` and apply again"
        )
    );
    standin.close().await;
}

/// The platform takes the write and its answer is lost. An operator who is told "failed" applies
/// again or undoes what is already in force.
#[tokio::test]
async fn lost_answer() {
    let (standin, platform) = start().await;
    set_faults(standin.addresses[0], r#"{ "lose_next_answers": 1 }"#).await;
    let accepted = apply(&platform, &sheet_file("lost", 1), None).await.unwrap();
    assert_eq!(accepted.version, 1);
    assert!(show(&platform).await.unwrap().starts_with("// version 1"));
    standin.close().await;
}

/// The platform is down. The operator must hear that nothing was changed, so that the sheet can be
/// applied again later without a look at what became of it.
#[tokio::test]
async fn platform_down() {
    let (standin, platform) = start().await;
    set_faults(standin.addresses[0], r#"{ "outage": true }"#).await;
    let error = apply(&platform, &sheet_file("down", 1), None).await.unwrap_err();
    assert_eq!(exit_code(&error), 4);
    assert!(error.to_string().ends_with("nothing was changed"), "{error}");
    set_faults(standin.addresses[0], "{}").await;
    assert_eq!(show(&platform).await.unwrap(), "// no sheet has been applied yet\n");
    standin.close().await;
}

#[tokio::test]
async fn faulty_file() {
    let (standin, platform) = start().await;
    let file = sheet_file("fault", 0);
    let error = apply(&platform, &file, None).await.unwrap_err();
    assert_eq!(exit_code(&error), 1);
    assert!(error.to_string().starts_with(&format!("{file}: teams[0].share: ")), "{error}");
    standin.close().await;
}

#[test]
fn accepted_event() {
    let file = format!("{}/accepted.jsonl", env!("CARGO_TARGET_TMPDIR"));
    // A file of an earlier run would make two lines.
    let _ = std::fs::remove_file(&file);
    note_accepted(&file, 7).unwrap();
    let text = std::fs::read_to_string(&file).unwrap();
    let event: EventRecord = serde_json::from_str(&text).unwrap();
    assert_eq!((event.kind, event.number), (EventKind::SheetAccepted, 202));
    assert_eq!(event.detail.as_deref(), Some("version 7"));
    let error = note_accepted("/", 7).unwrap_err().to_string();
    assert!(error.starts_with("version 7 was accepted, but / cannot be written: "), "{error}");
}
