//! Parts of prompts and requests that crash upstreams: which ones routers refuse, and letting one in again.

use http::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::errors::{Error, Result};
use crate::operators::{ask, ask_all, parse_answer, router_error};
use crate::settings::RouterEntry;

/// Where routers list the parts.
const PARTS_PATH: &str = "/parts";

/// Where routers list the requests.
const REQUESTS_PATH: &str = "/requests";

#[derive(Debug, Deserialize)]
struct PartReport {
    service: String,
    part: String,
    #[serde(flatten)]
    state: SuspectState,
}

#[derive(Debug, Deserialize)]
struct RequestReport {
    digest: String,
    #[serde(flatten)]
    state: SuspectState,
}

#[derive(Debug, Deserialize)]
struct SuspectState {
    crashes: u64,
    is_blocked: bool,
    blocked_for_ms: i64,
}

/// `list_parts` asks every router which parts it suspects or refuses; one that does not answer is shown as
/// such.
///
/// # Errors
///
/// No router is known, or none answers.
pub async fn list_parts(routers: &[RouterEntry]) -> Result<String> {
    let render =
        |part: &PartReport| format!("{} {} {}", part.service, part.part, render_state(&part.state));
    list(routers, PARTS_PATH, "no part is suspected", render).await
}

/// `list_requests` asks every router which requests it refuses.
///
/// # Errors
///
/// No router is known, or none answers.
pub async fn list_requests(routers: &[RouterEntry]) -> Result<String> {
    let render =
        |request: &RequestReport| format!("{} {}", request.digest, render_state(&request.state));
    list(routers, REQUESTS_PATH, "no request is blocked", render).await
}

async fn list<T: DeserializeOwned>(
    routers: &[RouterEntry],
    path: &str,
    none: &str,
    render: impl Fn(&T) -> String,
) -> Result<String> {
    let mut text = String::new();
    let mut last_error = Some(Error::NoRouters);
    for (router, answer) in routers.iter().zip(ask_all(routers, path).await) {
        let name = &router.name;
        match answer.and_then(|answer| parse_answer::<Vec<T>>(router, path, &answer)) {
            Ok(reports) => {
                last_error = None;
                if reports.is_empty() {
                    text.push_str(&format!("{name}: {none}\n"));
                }
                for report in &reports {
                    text.push_str(&format!("{name}: {}\n", render(report)));
                }
            }
            Err(error) => {
                text.push_str(&format!("{name}: does not answer: {error}\n"));
                last_error = last_error.map(|_| error);
            }
        }
    }
    last_error.map_or(Ok(text), Err)
}

fn render_state(state: &SuspectState) -> String {
    let blocked = match (state.is_blocked, state.blocked_for_ms) {
        (false, _) => "suspected".to_owned(),
        (true, 0) => "blocked, may be tried".to_owned(),
        (true, for_ms) => format!("blocked for {for_ms} ms"),
    };
    format!("{blocked}, {} crashes", state.crashes)
}

/// `lift_part` asks the first router that answers to let a part in again; it tells the others.
///
/// # Errors
///
/// No router is known, or none answers.
pub async fn lift_part(routers: &[RouterEntry], service: &str, part: &str) -> Result<String> {
    lift(routers, &format!("{PARTS_PATH}/lift?service={service}&part={part}")).await
}

/// `lift_request` does so with a request.
///
/// # Errors
///
/// No router is known, or none answers.
pub async fn lift_request(routers: &[RouterEntry], digest: &str) -> Result<String> {
    lift(routers, &format!("{REQUESTS_PATH}/lift?digest={digest}")).await
}

async fn lift(routers: &[RouterEntry], path: &str) -> Result<String> {
    let mut last_error = Error::NoRouters;
    for router in routers {
        match ask(router, Method::POST, path).await {
            Ok(answer) if answer.status.is_success() => {
                return Ok(format!("{}: {}\n", router.name, answer.body.trim()));
            }
            Ok(answer) => {
                let reason = format!("status {}: {}", answer.status, answer.body.trim());
                return Err(router_error(router, path, reason));
            }
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
