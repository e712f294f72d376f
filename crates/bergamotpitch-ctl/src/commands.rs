//! The command line of `bergamotpitch-ctl`.

use std::process::ExitCode;

use bergamotpitch_platform::{Options, Platform};
use strum::EnumString;

use crate::errors::{Error, Result, exit_code, usage_error};
use crate::events::note_accepted;
use crate::keys::hash_key;
use crate::settings::{CtlSettings, parse_router, read_settings};
use crate::{operators, sheets, suspects};

mod flags {
    #![allow(missing_docs, reason = "the macro makes items that take no comments")]

    use std::net::SocketAddr;

    use super::SheetAction;

    xflags::xflags! {
        /// Commands for operators. Exit codes: 0 done; 1 a file has a fault, or the request is not
        /// known; 2 the command line has a fault; 3 another sheet was accepted first; 4 the
        /// platform or a router is out of reach and nothing was changed; 5 it is not known whether
        /// the sheet was applied.
        cmd bergamotpitch-ctl {
            /// Print the version.
            optional --version
            /// Settings file, JSON with comments: where the platform and the routers are.
            optional --settings file: String
            /// Address of the platform; it goes before the settings file.
            optional --platform address: SocketAddr
            /// Router to ask, NAME=IP:PORT of its operator port; may be given several times.
            repeated --router router: String

            /// Check the settings file and do nothing.
            cmd check {}

            /// Check, compare (diff), apply or show sheets. `check` reads a file whole, `diff`
            /// compares it with the accepted sheet, `apply` writes it unless another sheet was
            /// accepted first, `show` prints the accepted sheet.
            cmd sheet {
                /// One of check, diff, apply and show.
                required action: SheetAction
                /// Sheet file, JSON with comments; `show` takes none.
                optional file: String
                /// Version that an applied sheet follows, as `sheet diff` printed it; the version
                /// that is accepted now when absent.
                optional --base version: u64
                /// File that an accepted sheet is noted in, as an event for the time line.
                optional --event-file file: String
            }

            /// Ask every router how it is.
            cmd status {}

            /// Ask every router what became of a request.
            cmd explain {
                /// Request id, as the caller got it in `bergamotpitch-request-id`.
                required request: String
            }

            /// Make a router leave: it finishes what is in flight and ends.
            cmd drain {
                /// Name of the instance.
                required instance: String
            }

            /// Work with parts of prompts that crash upstreams. The routers are named by their metrics
            /// or relay addresses.
            cmd part {
                /// Ask every router which parts it suspects or refuses.
                cmd list {}
                /// Let a part in again, at all routers that the first one knows.
                cmd lift {
                    /// Service of the prompts.
                    required service: String
                    /// Id of the part, in hexadecimal, as `part list` prints it.
                    required part: String
                }
            }

            /// Ask every router which requests it refuses, as upstreams crash under them. The routers are
            /// named as for parts.
            cmd request {
                /// Let this one in again instead, by its digest, at all routers that the first one knows.
                optional --lift digest: String
            }

            /// Work with bearer keys.
            cmd key {
                /// Print the hash of a key as the sheet holds it.
                cmd hash {
                    /// The key; `-` reads it from the standard input.
                    required key: String
                }
            }
        }
    }
}

use flags::{BergamotpitchCtl as Flags, BergamotpitchCtlCmd as Command, KeyCmd, PartCmd};

/// `SheetAction` is what is to be done with a sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum SheetAction {
    /// Check a file.
    Check,
    /// Compare a file with the accepted sheet.
    Diff,
    /// Apply a file.
    Apply,
    /// Print the accepted sheet.
    Show,
}

/// `run_command_line` reads the command line and does what it asks for.
pub fn run_command_line() -> ExitCode {
    env_logger::init();
    if std::env::args().nth(1).as_deref() == Some("--version") {
        println!("bergamotpitch-ctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(Flags::from_env_or_exit()) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("bergamotpitch-ctl: {error}");
            ExitCode::from(exit_code(&error))
        }
    }
}

fn run(flags: Flags) -> Result<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| usage_error(format!("the runtime does not start: {error}")))?;
    runtime.block_on(run_command(flags))
}

async fn run_command(flags: Flags) -> Result<String> {
    let settings = settings_of(&flags)?;
    match flags.subcommand {
        Command::Check(_) => {
            let Some(file) = flags.settings else {
                return Err(usage_error("check: no file was given; add --settings FILE"));
            };
            Ok(format!("{file}: good; {} routers\n", settings.routers.len()))
        }
        Command::Sheet(sheet) => run_sheet(sheet, &settings).await,
        Command::Status(_) => operators::status(&settings.routers).await,
        Command::Explain(explain) => operators::explain(&settings.routers, &explain.request).await,
        Command::Drain(drain) => operators::drain(&settings.routers, &drain.instance).await,
        Command::Part(part) => match part.subcommand {
            PartCmd::List(_) => suspects::list_parts(&settings.routers).await,
            PartCmd::Lift(lift) => {
                suspects::lift_part(&settings.routers, &lift.service, &lift.part).await
            }
        },
        Command::Request(request) => match request.lift {
            None => suspects::list_requests(&settings.routers).await,
            Some(digest) => suspects::lift_request(&settings.routers, &digest).await,
        },
        Command::Key(key) => match key.subcommand {
            KeyCmd::Hash(hash) => Ok(format!("{}\n", hash_key(&read_key(hash.key)?))),
        },
    }
}

async fn run_sheet(sheet: flags::Sheet, settings: &CtlSettings) -> Result<String> {
    let action = sheet.action;
    if action == SheetAction::Show {
        return sheets::show(&platform_of(settings)?).await;
    }
    let Some(file) = sheet.file else {
        return Err(usage_error("sheet: no file was given; name the sheet file last"));
    };
    match action {
        SheetAction::Check | SheetAction::Show => sheets::check(&file),
        SheetAction::Diff => sheets::diff(&platform_of(settings)?, &file).await,
        SheetAction::Apply => {
            let platform = platform_of(settings)?;
            let applied = sheets::apply(&platform, &file, sheet.base).await?;
            if let Some(event_file) = &sheet.event_file {
                note_accepted(event_file, applied.version)?;
            }
            Ok(applied.text)
        }
    }
}

fn settings_of(flags: &Flags) -> Result<CtlSettings> {
    let mut settings = match &flags.settings {
        Some(file) => read_settings(file)?,
        None => CtlSettings::default(),
    };
    settings.platform_address = flags.platform.or(settings.platform_address);
    for router in &flags.router {
        settings.routers.push(parse_router(router)?);
    }
    Ok(settings)
}

fn platform_of(settings: &CtlSettings) -> Result<Platform> {
    let address = settings.platform_address.ok_or(Error::NoPlatform)?;
    Ok(Platform::new(Options { address, ..Options::default() }))
}

/// A key on the command line stands in the shell's history and in the list of processes; `-` avoids
/// both.
fn read_key(key: String) -> Result<String> {
    if key != "-" {
        return Ok(key);
    }
    let mut line = String::new();
    std::io::stdin()
        .read_line(&mut line)
        .map_err(|error| usage_error(format!("the standard input cannot be read: {error}")))?;
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}
