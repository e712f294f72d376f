//! The command line of `bergamotpitch-ctl`: help, version, checks and exit codes.

use std::process::{Command, Output};

fn ctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotpitch-ctl")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn help_and_version() {
    assert!(ctl(&["--help"]).status.success());
    let version = ctl(&["--version"]);
    assert!(version.status.success());
    assert_eq!(text(&version.stdout), "bergamotpitch-ctl 0.1.0\n");
}

#[test]
fn settings_check() {
    let file = format!("{}/ctl-settings.jsonc", env!("CARGO_TARGET_TMPDIR"));
    let good = r#"{ "platform_address": "127.0.0.1:8500", // The platform.
        "routers": [{ "name": "router-1", "operator_address": "127.0.0.1:9301" }] }"#;
    std::fs::write(&file, good).unwrap();
    let output = ctl(&["check", "--settings", &file]);
    assert_eq!(text(&output.stdout), format!("{file}: good; 1 routers\n"));
    std::fs::write(&file, r#"{ "router": [] }"#).unwrap();
    let output = ctl(&["check", "--settings", &file]);
    assert_eq!(output.status.code(), Some(1));
    let start = format!("bergamotpitch-ctl: {file}: router: unknown field `router`");
    assert!(text(&output.stderr).starts_with(&start), "{}", text(&output.stderr));
}

#[test]
fn missing_platform() {
    let output = ctl(&["sheet", "show"]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        text(&output.stderr),
        "bergamotpitch-ctl: no address of the platform is known; give --platform or \
         \"platform_address\" in the settings\n"
    );
}

#[test]
fn key_hash() {
    let output = ctl(&["key", "hash", "key-tulip-lane"]);
    assert_eq!(
        text(&output.stdout),
        "c548d7808290cb4606aac28a88194020bdd303288b72bb6f7aa654d17110d0ae\n"
    );
}
