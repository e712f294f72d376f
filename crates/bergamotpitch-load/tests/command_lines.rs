//! The command line of `bergamotpitch-load`: help, version, checks and exit codes.

use std::process::{Command, Output};

fn load(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotpitch-load")).args(arguments).output().unwrap()
}

#[test]
fn help_and_version() {
    assert!(load(&["--help"]).status.success());
    let version = load(&["--version"]);
    assert!(version.status.success());
    assert_eq!(String::from_utf8_lossy(&version.stdout), "bergamotpitch-load 0.1.0\n");
}

#[test]
fn faulty_experiment() {
    let file = format!("{}/faulty-experiment.jsonc", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&file, r#"{ "name": "x", "seed": -1 }"#).unwrap();
    let output = load(&["check", &file]);
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.starts_with(&format!("bergamotpitch-load: {file}: seed: ")), "{error}");
}
