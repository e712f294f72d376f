//! Checks of a sheet: names, references, ranges, and what may stand only once.

use std::net::SocketAddr;

use crate::collections::HashMap;
use crate::errors::{Result, field_error};
use crate::ids::id_of_name;
use crate::ranges::{self, check_range};
use crate::sheets::{DomainEntry, ServiceEntry, ServiceKind, Sheet, TeamEntry, UpstreamEntry};

/// Longest name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 128;

/// `check_sheet` checks a whole sheet.
///
/// # Errors
///
/// Names the field and the reason of the first fault found.
///
/// ```
/// use bergamotpitch_core::checks::check_sheet;
/// use bergamotpitch_core::sheets::Sheet;
/// let sheet = Sheet { domains: vec![], services: vec![], upstreams: vec![], teams: vec![] };
/// assert!(check_sheet("sheet.json", &sheet).is_ok());
/// ```
pub fn check_sheet(file: &str, sheet: &Sheet) -> Result<()> {
    let domains = check_names(file, "domains", &sheet.domains, |entry| &entry.name)?;
    let services = check_names(file, "services", &sheet.services, |entry| &entry.name)?;
    check_names(file, "upstreams", &sheet.upstreams, |entry| &entry.name)?;
    check_names(file, "teams", &sheet.teams, |entry| &entry.name)?;
    for (index, domain) in sheet.domains.iter().enumerate() {
        check_domain(file, index, domain)?;
    }
    for (index, service) in sheet.services.iter().enumerate() {
        check_service(file, index, service)?;
    }
    for (index, upstream) in sheet.upstreams.iter().enumerate() {
        check_upstream(file, index, upstream, &domains, &services)?;
    }
    check_addresses(file, &sheet.upstreams)?;
    for (index, team) in sheet.teams.iter().enumerate() {
        check_team(file, index, team, &services)?;
    }
    check_keys(file, &sheet.teams)
}

type NameTable<'a> = HashMap<u32, &'a str>;

fn check_names<'a, T>(
    file: &str,
    list: &str,
    entries: &'a [T],
    name_of: impl Fn(&'a T) -> &'a str,
) -> Result<NameTable<'a>> {
    let mut table = NameTable::default();
    for (index, entry) in entries.iter().enumerate() {
        let field = format!("{list}[{index}].name");
        let name = name_of(entry);
        check_name(file, &field, name)?;
        if let Some(other) = table.insert(id_of_name(name), name) {
            let reason = if other == name {
                format!("\"{name}\" stands twice")
            } else {
                format!("\"{name}\" and \"{other}\" have the same id; rename one of them")
            };
            return Err(field_error(file, &field, reason));
        }
    }
    Ok(table)
}

/// Names stand in paths, headers and messages, so that a slash or a control character would make
/// them unreachable or split a header; white space at an end cannot be seen.
fn check_name(file: &str, field: &str, name: &str) -> Result<()> {
    if name.is_empty() || name.contains('/') {
        return Err(field_error(file, field, format!("\"{name}\" is empty or holds a slash")));
    }
    if name.trim() != name || name.chars().any(char::is_control) {
        let reason = format!("{name:?} begins or ends with a space or holds a control character");
        return Err(field_error(file, field, reason));
    }
    if NAME_LIMIT_BYTES < name.len() {
        let size = name.len();
        let reason = format!("has {size} bytes; a name may have {NAME_LIMIT_BYTES}");
        return Err(field_error(file, field, reason));
    }
    Ok(())
}

fn check_domain(file: &str, index: usize, domain: &DomainEntry) -> Result<()> {
    if domain.region.is_empty() {
        let reason = "is empty; name the region, since traffic between regions is paid";
        return Err(field_error(file, &format!("domains[{index}].region"), reason));
    }
    check_name(file, &format!("domains[{index}].region"), &domain.region)
}

fn check_service(file: &str, index: usize, service: &ServiceEntry) -> Result<()> {
    let field = |name: &str| format!("services[{index}].{name}");
    let costs = [
        ("prompt_token_cost", service.prompt_token_cost, &ranges::COST),
        ("generated_token_cost", service.generated_token_cost, &ranges::COST),
        ("call_cost", service.call_cost, &ranges::COST),
        ("first_estimate_cost", service.first_estimate_cost, &ranges::FIRST_ESTIMATE),
    ];
    for (name, cost, range) in costs {
        check_range(file, &field(name), cost, range)?;
    }
    // Service that costs nothing is counted for nobody, so that a flood would take every slot.
    let (name, cost) = match service.kind {
        ServiceKind::Engine => ("generated_token_cost", service.generated_token_cost),
        ServiceKind::Plain => ("call_cost", service.call_cost),
    };
    if cost == 0 {
        let reason = "is 0; service that costs nothing cannot be shared fairly, use at least 1";
        return Err(field_error(file, &field(name), reason));
    }
    Ok(())
}

fn check_upstream(
    file: &str,
    index: usize,
    upstream: &UpstreamEntry,
    domains: &NameTable<'_>,
    services: &NameTable<'_>,
) -> Result<()> {
    let field = |name: &str| format!("upstreams[{index}].{name}");
    check_declared(file, &field("service"), services, &upstream.service)?;
    check_declared(file, &field("domain"), domains, &upstream.domain)?;
    check_range(file, &field("slots"), u64::from(upstream.slots), &ranges::SLOTS)?;
    if upstream.address.port() == 0 || upstream.address.ip().is_unspecified() {
        let reason = format!("{} cannot be reached; use an IP number and a port", upstream.address);
        return Err(field_error(file, &field("address"), reason));
    }
    Ok(())
}

/// Two upstreams at one address would be given twice the work that it can run.
fn check_addresses(file: &str, upstreams: &[UpstreamEntry]) -> Result<()> {
    let mut holders: HashMap<SocketAddr, &str> = HashMap::default();
    for (index, upstream) in upstreams.iter().enumerate() {
        if let Some(other) = holders.insert(upstream.address, &upstream.name) {
            let reason = format!("{} is the address of \"{other}\" as well", upstream.address);
            return Err(field_error(file, &format!("upstreams[{index}].address"), reason));
        }
    }
    Ok(())
}

fn check_team(file: &str, index: usize, team: &TeamEntry, services: &NameTable<'_>) -> Result<()> {
    let field = |name: &str| format!("teams[{index}].{name}");
    let numbers = [
        ("share", u64::from(team.share), &ranges::SHARE),
        (
            "queue_limit_requests",
            u64::from(team.queue_limit_requests),
            &ranges::QUEUE_LIMIT_REQUESTS,
        ),
        ("queue_limit_bytes", team.queue_limit_bytes, &ranges::QUEUE_LIMIT_BYTES),
        (
            "retry_budget_percent",
            u64::from(team.retry_budget_percent),
            &ranges::RETRY_BUDGET_PERCENT,
        ),
    ];
    for (name, value, range) in numbers {
        check_range(file, &field(name), value, range)?;
    }
    let is_hash =
        team.key_hash.len() == 64 && team.key_hash.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hash {
        let reason = "is not 64 hexadecimal digits; make it with `bergamotpitch-ctl key hash`";
        return Err(field_error(file, &field("key_hash"), reason));
    }
    if team.services.is_empty() {
        let reason = "is empty; a team needs at least one service";
        return Err(field_error(file, &field("services"), reason));
    }
    for (position, service) in team.services.iter().enumerate() {
        let field = field(&format!("services[{position}]"));
        check_declared(file, &field, services, service)?;
        if team.services[..position].contains(service) {
            return Err(field_error(file, &field, format!("\"{service}\" stands twice")));
        }
    }
    Ok(())
}

/// Two teams with one key could not be told apart: one would be served on the other's share.
fn check_keys(file: &str, teams: &[TeamEntry]) -> Result<()> {
    let mut holders: HashMap<String, &str> = HashMap::default();
    for (index, team) in teams.iter().enumerate() {
        if let Some(other) = holders.insert(team.key_hash.to_ascii_lowercase(), &team.name) {
            let reason = format!("is that of \"{other}\" as well; give each team its own key");
            return Err(field_error(file, &format!("teams[{index}].key_hash"), reason));
        }
    }
    Ok(())
}

fn check_declared(file: &str, field: &str, table: &NameTable<'_>, name: &str) -> Result<()> {
    if table.get(&id_of_name(name)) == Some(&name) {
        return Ok(());
    }
    Err(field_error(file, field, format!("\"{name}\" is not declared in this sheet")))
}
