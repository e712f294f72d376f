//! The command line of `bergamotpitch-standin`: help, version and checks.

use std::process::{Command, Output};

fn standin(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotpitch-standin")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn help_and_version() {
    for arguments in [&["--help"][..], &["platform", "--help"], &["fleet", "--help"]] {
        assert!(standin(arguments).status.success(), "{arguments:?}");
    }
    let version = standin(&["--version"]);
    assert!(version.status.success());
    assert_eq!(text(&version.stdout), "bergamotpitch-standin 0.1.0\n");
}

#[test]
fn fleet_check() {
    let file = format!("{}/fleet.jsonc", env!("CARGO_TARGET_TMPDIR"));
    let good = r#"{ "engines": [{ "name": "e1", "address": "127.0.0.1:0" }] // One engine.
        }"#;
    std::fs::write(&file, good).unwrap();
    let output = standin(&["check", "--file", &file]);
    assert_eq!(text(&output.stdout), format!("{file}: good; 1 upstreams\n"));
    let bad = r#"{ "engines": [{ "name": "e1", "address": "127.0.0.1:0",
        "batch": { "slots": 0 } }] }"#;
    std::fs::write(&file, bad).unwrap();
    let output = standin(&["check", "--file", &file]);
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stdout));
    assert_eq!(
        text(&output.stderr),
        format!(
            "bergamotpitch-standin: {file}: engines[0].batch.slots: is 0; it must be at least \
             1\n"
        )
    );
}

#[test]
fn platform_without_address() {
    let output = standin(&["platform"]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(
        text(&output.stderr),
        "bergamotpitch-standin: platform: no address was given; add --address IP:PORT\n"
    );
}
