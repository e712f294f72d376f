//! Settings of `bergamotpitch-ctl`: where the platform and the routers' operator ports are.

use std::net::SocketAddr;

use bergamotpitch_core::documents::parse_document;
use bergamotpitch_core::errors::{field_error, unreadable_error};
use serde::{Deserialize, Serialize};

use crate::errors::{Result, usage_error};

/// `CtlSettings` are what an operator's file or command line tells.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CtlSettings {
    /// Address of the platform's key-value service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub platform_address: Option<SocketAddr>,
    /// Routers that can be asked.
    pub routers: Vec<RouterEntry>,
}

/// `RouterEntry` is a router that can be asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterEntry {
    /// Name of the instance.
    pub name: String,
    /// Address of its operator port.
    pub operator_address: SocketAddr,
}

/// `read_settings` reads and checks a settings file.
///
/// # Errors
///
/// Names the file, the field and the reason of the first fault found.
pub fn read_settings(file: &str) -> Result<CtlSettings> {
    let text =
        std::fs::read_to_string(file).map_err(|error| unreadable_error(file, error.to_string()))?;
    parse_settings(file, &text)
}

/// `parse_settings` checks the text of a settings file.
///
/// # Errors
///
/// Names the file, the field and the reason of the first fault found.
///
/// ```
/// use bergamotpitch_ctl::settings::parse_settings;
/// let error = parse_settings("ctl.json", r#"{ "router": [] }"#).unwrap_err();
/// assert!(error.to_string().starts_with("ctl.json: router: unknown field"));
/// ```
pub fn parse_settings(file: &str, text: &str) -> Result<CtlSettings> {
    let settings: CtlSettings = parse_document(file, text)?;
    for (index, router) in settings.routers.iter().enumerate() {
        if settings.routers[..index].iter().any(|earlier| earlier.name == router.name) {
            let reason = format!("\"{}\" stands twice; give each router one entry", router.name);
            return Err(field_error(file, &format!("routers[{index}].name"), reason).into());
        }
    }
    Ok(settings)
}

/// `parse_router` reads a router from a command line: `NAME=IP:PORT`.
///
/// # Errors
///
/// Says what is missing.
///
/// ```
/// use bergamotpitch_ctl::settings::parse_router;
/// assert_eq!(parse_router("router-1=127.0.0.1:24501").unwrap().name, "router-1");
/// assert!(parse_router("router-1").is_err());
/// ```
pub fn parse_router(text: &str) -> Result<RouterEntry> {
    let Some((name, address)) = text.split_once('=') else {
        return Err(usage_error(format!("--router {text}: has no \"=\"; write NAME=IP:PORT")));
    };
    let operator_address = address.parse().map_err(|_| {
        usage_error(format!("--router {text}: \"{address}\" is no IP number and port"))
    })?;
    Ok(RouterEntry { name: name.to_owned(), operator_address })
}
