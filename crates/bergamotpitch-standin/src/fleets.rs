//! Fleets: one process that hosts a platform and many upstreams, described by one file.

use std::net::SocketAddr;

use bergamotpitch_core::HashSet;
use bergamotpitch_core::documents::parse_document;
use bergamotpitch_core::errors::{field_error, unreadable_error};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};

use crate::engines::{EngineOptions, start_engine};
use crate::errors::Result;
use crate::instances::{InstanceChange, UPSTREAMS};
use crate::platforms::{Platform, PlatformOptions, start_platform};
use crate::services::{ServiceOptions, start_service};
use crate::upstreams::Upstream;

/// `FleetOptions` describe everything that one process hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetOptions {
    /// The platform, when this process hosts it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub platform: Option<PlatformOptions>,
    /// Platform with which the upstreams are registered; the one hosted here when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub register_at: Option<SocketAddr>,
    /// Engines.
    pub engines: Vec<EngineOptions>,
    /// Plain services.
    pub services: Vec<ServiceOptions>,
}

/// `Fleet` is everything that runs in one process.
#[derive(Debug)]
pub struct Fleet {
    /// The platform, when it is hosted here.
    pub platform: Option<Platform>,
    /// Engines and services.
    pub upstreams: Vec<Upstream>,
}

impl Fleet {
    /// `close` stops everything.
    pub async fn close(self) {
        for upstream in self.upstreams {
            upstream.close().await;
        }
        if let Some(platform) = self.platform {
            platform.close().await;
        }
    }
}

/// `read_fleet_options` reads and checks a fleet file.
///
/// # Errors
///
/// Names the file, the field and the reason of the first fault found.
pub fn read_fleet_options(file: &str) -> Result<FleetOptions> {
    let text =
        std::fs::read_to_string(file).map_err(|error| unreadable_error(file, error.to_string()))?;
    parse_fleet_options(file, &text)
}

/// `parse_fleet_options` checks the text of a fleet file.
///
/// # Errors
///
/// Names the file, the field and the reason of the first fault found.
///
/// ```
/// use bergamotpitch_standin::fleets::parse_fleet_options;
/// let error = parse_fleet_options("fleet.json", r#"{ "motors": [] }"#).unwrap_err();
/// assert!(error.to_string().starts_with("fleet.json: motors: unknown field"));
/// ```
pub fn parse_fleet_options(file: &str, text: &str) -> Result<FleetOptions> {
    let options: FleetOptions = parse_document(file, text)?;
    check_names(file, &options)?;
    for (index, engine) in options.engines.iter().enumerate() {
        let field = |name: &str| format!("engines[{index}].batch.{name}");
        at_least_one(file, &field("slots"), engine.batch.slots)?;
        at_least_one(file, &field("prompt_tokens_per_step"), engine.batch.prompt_tokens_per_step)?;
    }
    for (index, service) in options.services.iter().enumerate() {
        at_least_one(file, &format!("services[{index}].slots"), service.slots)?;
    }
    if options.platform.as_ref().is_some_and(|platform| platform.addresses.is_empty()) {
        let reason = "is empty; name an address to listen on";
        return Err(field_error(file, "platform.addresses", reason).into());
    }
    Ok(options)
}

fn at_least_one(file: &str, field: &str, value: u32) -> Result<()> {
    if value == 0 {
        return Err(field_error(file, field, "is 0; it must be at least 1").into());
    }
    Ok(())
}

/// Records name their upstream; with one name twice nobody could tell whose they are.
fn check_names(file: &str, options: &FleetOptions) -> Result<()> {
    let engines = options.engines.iter().enumerate();
    let engines = engines.map(|(index, engine)| (format!("engines[{index}].name"), &engine.name));
    let services = options.services.iter().enumerate();
    let services =
        services.map(|(index, service)| (format!("services[{index}].name"), &service.name));
    let mut names = HashSet::default();
    for (field, name) in engines.chain(services) {
        if !names.insert(name) {
            return Err(field_error(file, &field, format!("\"{name}\" stands twice")).into());
        }
    }
    Ok(())
}

/// `start_fleet` starts the platform first and then every upstream, each registered once it listens.
///
/// # Errors
///
/// An address cannot be listened on, or a file of runs cannot be written.
pub async fn start_fleet(options: FleetOptions) -> Result<Fleet> {
    let platform = match options.platform {
        Some(platform) => Some(start_platform(platform).await?),
        None => None,
    };
    let hosted = platform.as_ref().and_then(|platform| platform.addresses.first().copied());
    let register_at = options.register_at.or(hosted);
    let mut upstreams = Vec::new();
    for engine in options.engines {
        upstreams.push(start_engine(engine).await?);
    }
    for service in options.services {
        upstreams.push(start_service(service).await?);
    }
    if let Some(platform) = register_at {
        for upstream in &upstreams {
            register(platform, upstream).await;
        }
    }
    Ok(Fleet { platform, upstreams })
}

async fn register(platform: SocketAddr, upstream: &Upstream) {
    let change = InstanceChange {
        list: UPSTREAMS.to_owned(),
        name: upstream.name.clone(),
        address: upstream.address,
        domain: upstream.shared.domain.clone(),
        leaving: false,
        gone: false,
    };
    let body = Full::new(Bytes::from(serde_json::to_vec(&change).unwrap_or_default()));
    let Ok(request) = Request::post(format!("http://{platform}/_instances")).body(body) else {
        return;
    };
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    if let Err(error) = client.request(request).await {
        log::warn!("{} cannot be registered at {platform}: {error}", upstream.name);
    }
}
