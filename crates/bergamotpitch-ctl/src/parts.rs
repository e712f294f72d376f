//! Parts of prompts that crash upstreams: which ones routers refuse, and letting one in again.

use http::Method;
use serde::Deserialize;

use crate::errors::{Error, Result};
use crate::operators::{ask, ask_all, parse_answer, router_error};
use crate::settings::RouterEntry;

/// Where routers list the parts.
const PARTS_PATH: &str = "/parts";

#[derive(Debug, Deserialize)]
struct PartReport {
    service: String,
    part: String,
    crashes: u64,
    is_blocked: bool,
    blocked_for_ms: i64,
}

/// `list` asks every router which parts it suspects or refuses; one that does not answer is shown as such.
///
/// # Errors
///
/// No router is known, or none answers.
pub async fn list(routers: &[RouterEntry]) -> Result<String> {
    let mut text = String::new();
    let mut last_error = Some(Error::NoRouters);
    for (router, answer) in routers.iter().zip(ask_all(routers, PARTS_PATH).await) {
        let parsed =
            answer.and_then(|answer| parse_answer::<Vec<PartReport>>(router, PARTS_PATH, &answer));
        match parsed {
            Ok(parts) => {
                last_error = None;
                text.push_str(&render_parts(&router.name, &parts));
            }
            Err(error) => {
                text.push_str(&format!("{}: does not answer: {error}\n", router.name));
                last_error = last_error.map(|_| error);
            }
        }
    }
    last_error.map_or(Ok(text), Err)
}

fn render_parts(name: &str, parts: &[PartReport]) -> String {
    if parts.is_empty() {
        return format!("{name}: no part is suspected\n");
    }
    let render = |part: &PartReport| {
        let state = match (part.is_blocked, part.blocked_for_ms) {
            (false, _) => "suspected".to_owned(),
            (true, 0) => "blocked, may be tried".to_owned(),
            (true, for_ms) => format!("blocked for {for_ms} ms"),
        };
        format!("{name}: {} {} {state}, {} crashes\n", part.service, part.part, part.crashes)
    };
    parts.iter().map(render).collect()
}

/// `lift` asks the first router that answers to let a part in again; it tells the others.
///
/// # Errors
///
/// No router is known, or none answers.
pub async fn lift(routers: &[RouterEntry], service: &str, part: &str) -> Result<String> {
    let path = format!("{PARTS_PATH}/lift?service={service}&part={part}");
    let mut last_error = Error::NoRouters;
    for router in routers {
        match ask(router, Method::POST, &path).await {
            Ok(answer) if answer.status.is_success() => {
                return Ok(format!("{}: {}\n", router.name, answer.body.trim()));
            }
            Ok(answer) => {
                let reason = format!("status {}: {}", answer.status, answer.body.trim());
                return Err(router_error(router, &path, reason));
            }
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
