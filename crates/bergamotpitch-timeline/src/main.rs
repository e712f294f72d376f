//! The `bergamotpitch-timeline` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    bergamotpitch_timeline::commands::run_command_line()
}
