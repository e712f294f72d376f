//! The command line of `bergamotpitch-timeline`: help, version, checks and cut files.

use std::process::{Command, Output};

const LINE: &str = r#"{"time_us":7,"process":"router-1","number":1,"kind":"process_started"}"#;

fn timeline(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotpitch-timeline")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn event_file(name: &str, content: &str) -> String {
    let file = format!("{}/{name}.jsonl", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, content).unwrap();
    file
}

#[test]
fn help_and_version() {
    assert!(timeline(&["--help"]).status.success());
    let version = timeline(&["--version"]);
    assert!(version.status.success());
    assert_eq!(text(&version.stdout), "bergamotpitch-timeline 0.1.0\n");
}

#[test]
fn cut_file() {
    let file = event_file("cut", &format!("{LINE}\n{}", &LINE[..20]));
    let output = timeline(&[&file]);
    assert!(output.status.success());
    assert_eq!(text(&output.stdout), "    0.000000 router-1     1 process_started\n");
    let warning = format!("bergamotpitch-timeline: {file}: line 2 is cut and was passed over");
    assert!(text(&output.stderr).starts_with(&warning), "{}", text(&output.stderr));
}

#[test]
fn checked_files() {
    let good = event_file("good", &format!("{LINE}\n"));
    let output = timeline(&["check", &good]);
    assert_eq!(text(&output.stdout), "good; 1 events in 1 files\n");
    let bad = event_file("bad", "{}\n");
    let output = timeline(&["check", &bad]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).ends_with("1 lines are cut or malformed\n"));
}

#[test]
fn picture_file() {
    let file = event_file("picture", &format!("{LINE}\n"));
    let svg = format!("{}/picture.svg", env!("CARGO_TARGET_TMPDIR"));
    assert!(timeline(&["--svg", &svg, "--json", &file]).status.success());
    assert!(std::fs::read_to_string(&svg).unwrap().starts_with("<svg"));
    let output = timeline(&["--kind", "no_such_kind", &file]);
    assert!(!output.status.success());
}
