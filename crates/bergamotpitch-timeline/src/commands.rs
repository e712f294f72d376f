//! The command line of `bergamotpitch-timeline`.

use std::process::ExitCode;

use bergamotpitch_core::events::EventRecord;

use crate::errors::{Error, Result, undrawable_error};
use crate::files::{EventFile, merge_events, read_file};
use crate::filters::{Filter, filter_events};
use crate::leavings::render_leavings;
use crate::pictures::draw;
use crate::texts::{render_json_lines, render_text};
use crate::versions::{render_versions, reverts};

mod flags {
    #![allow(missing_docs, reason = "the macro makes items that take no comments")]

    use bergamotpitch_core::events::EventKind;

    xflags::xflags! {
        /// Merges the event files of all processes into one time line.
        cmd bergamotpitch-timeline {
            /// Print the version.
            optional --version

            /// Print the time line; this is done when no command is named.
            default cmd show {
                /// Event files of routers.
                repeated files: String
                /// Show the events of one request.
                optional --request request: String
                /// Show the events of one team.
                optional --team team: String
                /// Show the events of one instance: a router, or an upstream or peer that a router
                /// tells of.
                optional --instance instance: String
                /// Show the events of one kind, by its name in docs/EVENTS.md.
                optional --kind kind: EventKind
                /// Print JSON lines in place of text.
                optional --json
                /// Draw the time line as well, into this SVG file.
                optional --svg file: String
            }

            /// Tell for each version of the sheet how long it took to come into force, and whether
            /// any process went back; the exit code is 1 when one did.
            cmd sheets {
                /// Event files of routers and of `bergamotpitch-ctl sheet apply`.
                repeated files: String
            }

            /// Tell for each upstream that left how long it still got requests.
            cmd leavings {
                /// Event files of routers.
                repeated files: String
            }

            /// Check that every line of the event files holds an event.
            cmd check {
                /// Event files of routers.
                repeated files: String
            }
        }
    }
}

/// `run_command_line` reads the command line and does what it asks for.
pub fn run_command_line() -> ExitCode {
    env_logger::init_from_env(env_logger::Env::default().default_filter_or("info"));
    if std::env::args().nth(1).as_deref() == Some("--version") {
        println!("bergamotpitch-timeline {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = flags::BergamotpitchTimeline::from_env_or_exit();
    let result = match flags.subcommand {
        flags::BergamotpitchTimelineCmd::Show(show) => run_show(show),
        flags::BergamotpitchTimelineCmd::Sheets(sheets) => run_sheets(&sheets.files),
        flags::BergamotpitchTimelineCmd::Leavings(leavings) => run_leavings(&leavings.files),
        flags::BergamotpitchTimelineCmd::Check(check) => run_check(&check.files),
    };
    match result {
        Ok(text) => {
            // A reader such as `head` may close the pipe early; that is no fault.
            let _ = std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("bergamotpitch-timeline: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_show(show: flags::Show) -> Result<String> {
    let files = read_files(&show.files)?;
    warn_of_bad_lines(&show.files, &files);
    let filter =
        Filter { request: show.request, team: show.team, instance: show.instance, kind: show.kind };
    let events = filter_events(merge_events(files), &filter);
    if let Some(file) = &show.svg {
        write_picture(file, &events)?;
    }
    Ok(if show.json { render_json_lines(&events) } else { render_text(&events) })
}

fn run_sheets(names: &[String]) -> Result<String> {
    let files = read_files(names)?;
    warn_of_bad_lines(names, &files);
    let events = merge_events(files);
    let text = render_versions(&events);
    match reverts(&events).len() {
        0 => Ok(text),
        count => Err(Error::Reverts { count, text }),
    }
}

fn run_leavings(names: &[String]) -> Result<String> {
    let files = read_files(names)?;
    warn_of_bad_lines(names, &files);
    Ok(render_leavings(&merge_events(files)))
}

fn run_check(names: &[String]) -> Result<String> {
    let files = read_files(names)?;
    warn_of_bad_lines(names, &files);
    let lines = files.iter().map(|file| file.bad_lines.len()).sum();
    if 0 < lines {
        return Err(Error::BadLines { lines });
    }
    let events: usize = files.iter().map(|file| file.events.len()).sum();
    Ok(format!("good; {events} events in {} files\n", files.len()))
}

fn read_files(names: &[String]) -> Result<Vec<EventFile>> {
    if names.is_empty() {
        return Err(Error::NoFiles);
    }
    names.iter().map(|name| read_file(name)).collect()
}

fn warn_of_bad_lines(names: &[String], files: &[EventFile]) {
    for (name, file) in names.iter().zip(files) {
        for bad in &file.bad_lines {
            let what = if bad.is_cut { "is cut" } else { "holds no event" };
            eprintln!(
                "bergamotpitch-timeline: {name}: line {} {what} and was passed over: {}",
                bad.line, bad.reason
            );
        }
    }
}

fn write_picture(file: &str, events: &[EventRecord]) -> Result<()> {
    let svg = draw(file, events)?;
    std::fs::write(file, svg).map_err(|error| undrawable_error(file, error))
}
