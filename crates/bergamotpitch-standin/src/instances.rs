//! The instance list of the stand-in platform.

use serde::{Deserialize, Serialize};

/// `ROUTERS` is the name under which entry instances are listed.
pub const ROUTERS: &str = "bergamotpitch-router";

/// `UPSTREAMS` is the name under which upstreams are listed.
pub const UPSTREAMS: &str = "bergamotpitch-upstream";

/// `InstanceChange` registers an instance, changes it or takes it off the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceChange {
    /// List that it stands in: `bergamotpitch-router` or `bergamotpitch-upstream`.
    pub list: String,
    /// Name of the instance.
    pub name: String,
    /// Where it is reached.
    pub address: std::net::SocketAddr,
    /// Failure domain that it stands in.
    #[serde(default)]
    pub domain: String,
    /// True when it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// True when it is taken off the list.
    #[serde(default)]
    pub gone: bool,
}

/// `ListedEntry` is one line of the list as the platform's catalogue gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListedEntry {
    /// The instance.
    pub service: ListedService,
}

/// `ListedService` is an instance as the platform's catalogue gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListedService {
    /// Name of the instance.
    #[serde(rename = "ID")]
    pub id: String,
    /// Name of the list.
    pub service: String,
    /// IP number.
    pub address: String,
    /// Port.
    pub port: u16,
    /// Facts beside the address.
    pub meta: ListedMeta,
}

/// `ListedMeta` are the facts that an instance was registered with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMeta {
    /// Failure domain that it stands in.
    pub domain: String,
    /// `true` when it is leaving.
    pub leaving: String,
}

/// `apply_change` brings a change into a list.
pub fn apply_change(list: &mut Vec<InstanceChange>, change: InstanceChange) {
    list.retain(|entry| entry.list != change.list || entry.name != change.name);
    if !change.gone {
        list.push(change);
    }
    list.sort_by(|left, right| left.name.cmp(&right.name));
}

/// `listed_entries` returns the lines of one list.
pub fn listed_entries(list: &[InstanceChange], name: &str) -> Vec<ListedEntry> {
    list.iter().filter(|entry| entry.list == name).map(listed_entry).collect()
}

fn listed_entry(entry: &InstanceChange) -> ListedEntry {
    ListedEntry {
        service: ListedService {
            id: entry.name.clone(),
            service: entry.list.clone(),
            address: entry.address.ip().to_string(),
            port: entry.address.port(),
            meta: ListedMeta { domain: entry.domain.clone(), leaving: entry.leaving.to_string() },
        },
    }
}
