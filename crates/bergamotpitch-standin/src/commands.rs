//! The command line of `bergamotpitch-standin`.

use std::process::ExitCode;

use crate::batches::BatchOptions;
use crate::engines::EngineOptions;
use crate::errors::{Error, Result};
use crate::fleets::{FleetOptions, read_fleet_options, start_fleet};
use crate::platforms::PlatformOptions;
use crate::services::ServiceOptions;

mod flags {
    #![allow(missing_docs, reason = "the macro makes items that take no comments")]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-ins for the platform and for upstreams; each runs until it is interrupted.
        cmd bergamotpitch-standin {
            /// Print the version.
            optional --version

            /// Run the platform: key-value service and instance list.
            cmd platform {
                /// Address to listen on; may be given several times.
                repeated --address address: SocketAddr
                /// Writes a second above which calls are refused; 0 for no limit.
                optional --writes-per-s number: u32
                /// Reads a second above which calls are refused; 0 for no limit.
                optional --reads-per-s number: u32
                /// Time after which a change of the instance list is seen, in milliseconds.
                optional --list-lag-ms number: u64
            }

            /// Run a model engine.
            cmd engine {
                /// Address to listen on.
                required --address address: SocketAddr
                /// Name of the upstream.
                required --name name: String
                /// Requests that run at once.
                required --slots number: u32
                /// Platform to register with.
                optional --platform address: SocketAddr
                /// Failure domain that it stands in.
                optional --domain name: String
            }

            /// Run a plain service.
            cmd service {
                /// Address to listen on.
                required --address address: SocketAddr
                /// Name of the upstream.
                required --name name: String
                /// Calls that run at once.
                required --slots number: u32
                /// Platform to register with.
                optional --platform address: SocketAddr
                /// Failure domain that it stands in.
                optional --domain name: String
                /// File to append each run to.
                optional --run-file file: String
            }

            /// Run everything that a fleet file describes, in one process.
            cmd fleet {
                /// Fleet file: JSON with comments.
                required --file file: String
            }

            /// Check a fleet file and run nothing.
            cmd check {
                /// Fleet file: JSON with comments.
                required --file file: String
            }
        }
    }
}

/// `run_command_line` reads the command line and runs what it asks for.
pub fn run_command_line() -> ExitCode {
    env_logger::init_from_env(env_logger::Env::default().default_filter_or("info"));
    if std::env::args().nth(1).as_deref() == Some("--version") {
        println!("bergamotpitch-standin {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(flags::BergamotpitchStandin::from_env_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bergamotpitch-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: flags::BergamotpitchStandin) -> Result<()> {
    match flags.subcommand {
        flags::BergamotpitchStandinCmd::Platform(platform) => host(platform_fleet(&platform)?),
        flags::BergamotpitchStandinCmd::Engine(engine) => host(engine_fleet(engine)),
        flags::BergamotpitchStandinCmd::Service(service) => host(service_fleet(service)),
        flags::BergamotpitchStandinCmd::Fleet(fleet) => host(read_fleet_options(&fleet.file)?),
        flags::BergamotpitchStandinCmd::Check(check) => {
            let options = read_fleet_options(&check.file)?;
            let upstreams = options.engines.len() + options.services.len();
            println!("{}: good; {upstreams} upstreams", check.file);
            Ok(())
        }
    }
}

fn platform_fleet(flags: &flags::Platform) -> Result<FleetOptions> {
    if flags.address.is_empty() {
        return Err(Error::NoAddress);
    }
    let rates = crate::calls::RateLimits {
        writes_per_s: flags.writes_per_s.unwrap_or(0),
        reads_per_s: flags.reads_per_s.unwrap_or(0),
    };
    let list_lag_ms = flags.list_lag_ms.unwrap_or(0);
    let addresses = flags.address.clone();
    let platform = Some(PlatformOptions { addresses, rates, list_lag_ms });
    Ok(FleetOptions { platform, ..FleetOptions::default() })
}

fn engine_fleet(flags: flags::Engine) -> FleetOptions {
    let engine = EngineOptions {
        name: flags.name,
        address: flags.address,
        domain: flags.domain.unwrap_or_default(),
        batch: BatchOptions { slots: flags.slots, ..BatchOptions::default() },
        ..EngineOptions::default()
    };
    FleetOptions { register_at: flags.platform, engines: vec![engine], ..FleetOptions::default() }
}

fn service_fleet(flags: flags::Service) -> FleetOptions {
    let service = ServiceOptions {
        name: flags.name,
        address: flags.address,
        domain: flags.domain.unwrap_or_default(),
        slots: flags.slots,
        run_file: flags.run_file,
        ..ServiceOptions::default()
    };
    let services = vec![service];
    FleetOptions { register_at: flags.platform, services, ..FleetOptions::default() }
}

fn host(options: FleetOptions) -> Result<()> {
    let runtime = tokio::runtime::Runtime::new().map_err(Error::Runtime)?;
    runtime.block_on(async {
        let fleet = start_fleet(options).await?;
        for address in fleet.platform.iter().flat_map(|platform| &platform.addresses) {
            log::info!("platform listens on {address}");
        }
        for upstream in &fleet.upstreams {
            log::info!("{} listens on {}", upstream.name, upstream.address);
        }
        wait_for_signal().await;
        fleet.close().await;
        Ok(())
    })
}

async fn wait_for_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminated) = signal(SignalKind::terminate()) else {
        return futures::future::pending().await;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminated.recv() => {}
    }
}
