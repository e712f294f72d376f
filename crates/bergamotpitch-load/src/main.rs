//! The `bergamotpitch-load` binary: open-loop load, measures and plots.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bergamotpitch_core::sheets::parse_sheet;
use bergamotpitch_load::errors::{Result, file_error};
use bergamotpitch_load::experiments::parse_experiment;
use bergamotpitch_load::plots::draw_service;
use bergamotpitch_load::reports::{cuts, faults, load_report, store, table};
use bergamotpitch_load::runs::run;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Loads a fleet, measures it and draws plots.
        cmd bergamotpitch-load {
            /// Print the version.
            optional --version
            /// Check an experiment file.
            cmd check {
                /// Experiment file.
                required file: PathBuf
            }
            /// Run an experiment and store its report, records and plots.
            cmd run {
                /// Experiment file.
                required file: PathBuf
                /// Sheet that is in force.
                required --sheet sheet: PathBuf
                /// Folder for the report, the records and the plots.
                required --out out: PathBuf
                /// Label that tells this run apart in a table.
                required --label label: String
            }
            /// Print stored reports side by side; fails when a figure that must be 0 is not.
            cmd table {
                /// Folders that runs were stored in.
                repeated folders: PathBuf
                /// Fail as well when a caller saw a cut answer or lost its connection.
                optional --uncut
            }
        }
    }
}

fn main() -> ExitCode {
    env_logger::init();
    // The macro wants a subcommand; the version is asked for without one.
    if std::env::args().nth(1).as_deref() == Some("--version") {
        println!("bergamotpitch-load {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = match flags::BergamotpitchLoad::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let done = match flags.subcommand {
        flags::BergamotpitchLoadCmd::Check(check) => check_file(&check.file),
        flags::BergamotpitchLoadCmd::Run(options) => run_file(&options),
        flags::BergamotpitchLoadCmd::Table(options) => print_table(&options),
    };
    match done {
        Ok(code) => code,
        Err(error) => {
            eprintln!("bergamotpitch-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check_file(file: &Path) -> Result<ExitCode> {
    parse_experiment(&file.display().to_string(), &read(file)?)?;
    println!("{}: well formed", file.display());
    Ok(ExitCode::SUCCESS)
}

fn run_file(options: &flags::Run) -> Result<ExitCode> {
    let experiment = parse_experiment(&options.file.display().to_string(), &read(&options.file)?)?;
    let sheet = parse_sheet(&options.sheet.display().to_string(), &read(&options.sheet)?)?;
    let runtime =
        tokio::runtime::Runtime::new().map_err(|error| file_error("tokio runtime", error))?;
    let outcome = runtime.block_on(run(experiment, &sheet, &options.label))?;
    store(&outcome, &options.out)?;
    for service in &outcome.report.measures.services {
        let file: PathBuf = options.out.join(format!("{}.svg", service.service));
        draw_service(&outcome, &service.service, &file)?;
    }
    print!("{}", table(std::slice::from_ref(&outcome.report)));
    Ok(ExitCode::SUCCESS)
}

fn print_table(options: &flags::Table) -> Result<ExitCode> {
    let reports =
        options.folders.iter().map(|folder| load_report(folder)).collect::<Result<Vec<_>>>()?;
    print!("{}", table(&reports));
    let mut faults = faults(&reports);
    if options.uncut {
        faults.extend(cuts(&reports));
    }
    for fault in &faults {
        eprintln!("bergamotpitch-load: {fault}");
    }
    Ok(if faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|error| file_error(&file.display().to_string(), error))
}
