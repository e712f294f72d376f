//! The `bergamotpitch-ctl` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    bergamotpitch_ctl::commands::run_command_line()
}
