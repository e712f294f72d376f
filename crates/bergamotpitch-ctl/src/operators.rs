//! Calls to the routers' operator ports: status, explanations and drains.

use std::collections::BTreeSet;
use std::time::Duration;

use bergamotpitch_core::events::EventRecord;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::errors::{Error, Result};
use crate::settings::RouterEntry;

/// Longest time that a router may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// `RouterStatus` is the part of a router's status that is shown.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct RouterStatus {
    /// Failure domain that it stands in.
    pub domain: String,
    /// Version of the sheet in force; 0 when there is none.
    pub sheet_version: u64,
    /// True when the balancer should send requests there.
    pub ready: bool,
    /// True when it is leaving.
    pub draining: bool,
    /// Requests that wait there.
    pub queued_requests: u64,
    /// Requests that run there.
    pub running_requests: u64,
    /// Upstreams of the sheet in force.
    pub upstreams: Vec<UpstreamStatus>,
}

/// `UpstreamStatus` is the part of an upstream's status that is shown.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: String,
    /// True when it gets no new work because it is leaving.
    pub leaving: bool,
    /// True when it gets no new work because it failed.
    pub failing: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Explanation {
    events: Vec<EventRecord>,
}

/// `status` asks every router how it is; one that does not answer is shown as such.
///
/// # Errors
///
/// No router is known, or none answers.
pub async fn status(routers: &[RouterEntry]) -> Result<String> {
    let mut text = String::new();
    let mut last_error = Error::NoRouters;
    let mut versions = BTreeSet::new();
    for (router, answer) in routers.iter().zip(ask_all(routers, "/status").await) {
        match answer.and_then(|answer| parse_answer::<RouterStatus>(router, "/status", &answer)) {
            Ok(status) => {
                versions.insert(status.sheet_version);
                text.push_str(&render_status(&router.name, &status));
            }
            Err(error) => {
                text.push_str(&format!("{}: does not answer: {error}\n", router.name));
                last_error = error;
            }
        }
    }
    if versions.is_empty() {
        return Err(last_error);
    }
    if 1 < versions.len() {
        let versions: Vec<String> = versions.iter().map(u64::to_string).collect();
        let versions = versions.join(", ");
        text.push_str(&format!("the sheet is not the same everywhere: versions {versions}\n"));
    }
    Ok(text)
}

fn render_status(name: &str, status: &RouterStatus) -> String {
    let readiness = match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let mut text = format!(
        "{name}: {}, {readiness}, sheet version {}, {} queued, {} running\n",
        status.domain, status.sheet_version, status.queued_requests, status.running_requests
    );
    for upstream in &status.upstreams {
        if upstream.leaving {
            text.push_str(&format!("{name}: {} is leaving\n", upstream.name));
        }
        if upstream.failing {
            text.push_str(&format!("{name}: {} is failing\n", upstream.name));
        }
    }
    text
}

/// `explain` asks every router what became of a request, and prints its events in order of time.
///
/// # Errors
///
/// No router that answers knows the request.
pub async fn explain(routers: &[RouterEntry], request: &str) -> Result<String> {
    if routers.is_empty() {
        return Err(Error::NoRouters);
    }
    let mut events = Vec::new();
    let mut silent = Vec::new();
    let path = format!("/explain/{request}");
    for (router, answer) in routers.iter().zip(ask_all(routers, &path).await) {
        match answer {
            Ok(answer) if answer.status.is_success() => {
                events.extend(parse_answer::<Explanation>(router, &path, &answer)?.events);
            }
            // A router that does not know the request says so with another status.
            Ok(_) => {}
            Err(_) => silent.push(router.name.as_str()),
        }
    }
    events.sort_by_key(|event| event.time_us);
    if !events.is_empty() {
        return Ok(events.iter().map(render_event).collect());
    }
    let silent = match silent.len() {
        0 => String::new(),
        _ => format!("; these did not answer: {}", silent.join(", ")),
    };
    Err(Error::UnknownRequest { request: request.to_owned(), silent })
}

fn render_event(event: &EventRecord) -> String {
    let mut text = format!("{} {} {} {}", event.time_us, event.process, event.number, event.kind);
    let subjects = [
        ("team", &event.team),
        ("service", &event.service),
        ("upstream", &event.upstream),
        ("detail", &event.detail),
    ];
    for (name, value) in subjects {
        if let Some(value) = value {
            text.push_str(&format!(" {name}={value}"));
        }
    }
    text.push('\n');
    text
}

/// `drain` asks one router to leave.
///
/// # Errors
///
/// The router is not known, does not answer, or refuses.
pub async fn drain(routers: &[RouterEntry], name: &str) -> Result<String> {
    let Some(router) = routers.iter().find(|router| router.name == name) else {
        let known: Vec<&str> = routers.iter().map(|router| router.name.as_str()).collect();
        let known = known.join(", ");
        return Err(Error::UnknownRouter { name: name.to_owned(), known });
    };
    let answer = ask(router, Method::POST, "/drain").await?;
    if !answer.status.is_success() {
        let reason = format!("status {}: {}", answer.status, answer.body.trim());
        return Err(router_error(router, "/drain", reason));
    }
    Ok(format!("{name} is draining; it ends when nothing is in flight\n"))
}

/// `RouterAnswer` is what a router said.
#[derive(Debug)]
pub(crate) struct RouterAnswer {
    pub(crate) status: StatusCode,
    pub(crate) body: String,
}

pub(crate) fn parse_answer<T: DeserializeOwned>(
    router: &RouterEntry,
    path: &str,
    answer: &RouterAnswer,
) -> Result<T> {
    if !answer.status.is_success() {
        let reason = format!("status {}: {}", answer.status, answer.body.trim());
        return Err(router_error(router, path, reason));
    }
    serde_json::from_str(&answer.body).map_err(|error| router_error(router, path, error))
}

pub(crate) async fn ask_all(routers: &[RouterEntry], path: &str) -> Vec<Result<RouterAnswer>> {
    let mut asked = Vec::new();
    for router in routers {
        let (router, path) = (router.clone(), path.to_owned());
        asked.push(tokio::spawn(async move { ask(&router, Method::GET, &path).await }));
    }
    let mut answers = Vec::new();
    for (router, task) in routers.iter().zip(asked) {
        let answer = task.await;
        answers.push(answer.unwrap_or_else(|error| Err(router_error(router, path, error))));
    }
    answers
}

pub(crate) async fn ask(router: &RouterEntry, method: Method, path: &str) -> Result<RouterAnswer> {
    match tokio::time::timeout(CALL_TIMEOUT, exchange(router, method, path)).await {
        Ok(answer) => answer,
        Err(_) => Err(router_error(router, path, format!("no answer within {CALL_TIMEOUT:?}"))),
    }
}

async fn exchange(router: &RouterEntry, method: Method, path: &str) -> Result<RouterAnswer> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", router.operator_address))
        .body(Full::new(Bytes::new()))
        .map_err(|error| router_error(router, path, error))?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let response =
        client.request(request).await.map_err(|error| router_error(router, path, error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|error| router_error(router, path, error))?;
    Ok(RouterAnswer { status, body: String::from_utf8_lossy(&body.to_bytes()).into_owned() })
}

pub(crate) fn router_error(router: &RouterEntry, path: &str, reason: impl ToString) -> Error {
    Error::Router {
        router: router.name.clone(),
        address: router.operator_address,
        path: path.to_owned(),
        reason: reason.to_string(),
    }
}
