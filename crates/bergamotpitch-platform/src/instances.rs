//! The platform's instance list; it lags, so that it is a hint and no more.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;

use crate::clients::Platform;
use crate::errors::{Result, malformed_error};

/// Name under which the platform lists the entry instances.
pub const ROUTER_SERVICE: &str = "bergamotpitch-router";

/// Name under which the platform lists the upstreams.
pub const UPSTREAM_SERVICE: &str = "bergamotpitch-upstream";

/// `Instance` is one line of the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Failure domain that it stands in; empty when the list names none.
    pub domain: String,
    /// True when the platform says that it is leaving.
    pub leaving: bool,
}

#[derive(Deserialize)]
struct Line {
    #[serde(rename = "Service")]
    service: Service,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    address: IpAddr,
    port: u16,
    #[serde(default)]
    meta: Meta,
}

#[derive(Default, Deserialize)]
struct Meta {
    #[serde(default)]
    domain: String,
    #[serde(default)]
    leaving: String,
}

impl Platform {
    /// `list_instances` reads the list of [`ROUTER_SERVICE`] or [`UPSTREAM_SERVICE`].
    ///
    /// # Errors
    ///
    /// `Unreachable`, `RateLimited` or `Malformed`.
    pub async fn list_instances(&self, service: &str) -> Result<Vec<Instance>> {
        let path = format!("/v1/health/service/{service}");
        let answer = self.read(&path, Duration::ZERO).await?;
        let lines: Vec<Line> = serde_json::from_slice(&answer.body)
            .map_err(|error| malformed_error(&path, error.to_string()))?;
        Ok(lines.into_iter().map(|line| instance_of_service(line.service)).collect())
    }
}

fn instance_of_service(service: Service) -> Instance {
    Instance {
        name: service.id,
        address: SocketAddr::new(service.address, service.port),
        domain: service.meta.domain,
        leaving: service.meta.leaving == "true",
    }
}
