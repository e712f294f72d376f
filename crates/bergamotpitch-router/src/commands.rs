//! Commands: the command line of the binary and its exit codes.

use std::path::Path;
use std::process::ExitCode;

use bergamotpitch_core::errors::unreadable_error;
use bergamotpitch_core::settings::{RouterSettings, parse_router_settings};

use crate::drains;
use crate::errors::{Error, Result, start_error};
use crate::routers::Router;
use flags::{BergamotpitchRouter, BergamotpitchRouterCmd, Serve};

/// Exit code of a process that failed.
pub const EXIT_FAILED: u8 = 1;

/// Exit code of a command line or settings that are wrong.
pub const EXIT_USAGE: u8 = 2;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Routes the requests of teams to upstreams. Exit codes: 0 in good order, 1 failed,
        /// 2 command line or settings are wrong.
        cmd bergamotpitch-router {
            /// Prints the version.
            optional --version

            /// Serves until SIGTERM, then drains.
            default cmd serve {
                /// File of the settings, JSON with comments.
                optional --settings file: PathBuf
            }

            /// Checks the settings and does nothing else.
            cmd check {
                /// File of the settings, JSON with comments.
                required --settings file: PathBuf
            }
        }
    }
}

/// `run` runs the command line of this process.
pub fn run() -> ExitCode {
    let flags = match BergamotpitchRouter::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            println!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("error: {error}; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if flags.version {
        println!("bergamotpitch-router {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let done = match flags.subcommand {
        BergamotpitchRouterCmd::Check(check) => check_settings(&check.settings),
        BergamotpitchRouterCmd::Serve(Serve { settings: Some(settings) }) => serve(&settings),
        BergamotpitchRouterCmd::Serve(Serve { settings: None }) => {
            eprintln!("error: flag is required: `--settings`; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    exit_code(done)
}

fn exit_code(done: Result<()>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ Error::Settings(_)) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn check_settings(file: &Path) -> Result<()> {
    read_settings(file)?;
    println!("{}: the settings are valid", file.display());
    Ok(())
}

fn serve(file: &Path) -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let settings = read_settings(file)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(start_error)?;
    runtime.block_on(async {
        let router = Router::start(settings).await?;
        drains::wait_for_signal_or_drain(router.context()).await;
        router.close().await;
        Ok(())
    })
}

fn read_settings(file: &Path) -> Result<RouterSettings> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::Settings(unreadable_error(&name, error.to_string())))?;
    parse_router_settings(&name, &text).map_err(Error::Settings)
}
