//! The `bergamotpitch-standin` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    bergamotpitch_standin::commands::run_command_line()
}
