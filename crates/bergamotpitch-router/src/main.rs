//! The `bergamotpitch-router` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    bergamotpitch_router::commands::run()
}
