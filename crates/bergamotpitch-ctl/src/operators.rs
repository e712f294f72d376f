//! Calls to the routers' operator ports: status, explanations and drains.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::errors::{Error, Result};
use crate::settings::RouterEntry;

/// Longest time that a router may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// `status` asks every router how it is; one that does not answer is shown as such.
///
/// # Errors
///
/// No router is known, or none answers.
pub async fn status(routers: &[RouterEntry]) -> Result<String> {
    let mut text = String::new();
    let mut last_error = Error::NoRouters;
    let mut answered = 0;
    for (router, answer) in routers.iter().zip(ask_all(routers, "/status").await) {
        match answer {
            Ok(answer) => {
                answered += 1;
                text.push_str(&format!("{}: {}\n", router.name, answer.body.trim()));
            }
            Err(error) => {
                text.push_str(&format!("{}: does not answer: {error}\n", router.name));
                last_error = error;
            }
        }
    }
    if answered == 0 { Err(last_error) } else { Ok(text) }
}

/// `explain` asks every router what became of a request.
///
/// # Errors
///
/// No router that answers knows the request.
pub async fn explain(routers: &[RouterEntry], request: &str) -> Result<String> {
    if routers.is_empty() {
        return Err(Error::NoRouters);
    }
    let mut text = String::new();
    let mut silent = Vec::new();
    let path = format!("/explain/{request}");
    for (router, answer) in routers.iter().zip(ask_all(routers, &path).await) {
        match answer {
            Ok(answer) if answer.status.is_success() => {
                text.push_str(&format!("{}: {}\n", router.name, answer.body.trim()));
            }
            Ok(_) => {}
            Err(_) => silent.push(router.name.as_str()),
        }
    }
    if !text.is_empty() {
        return Ok(text);
    }
    let silent = match silent.len() {
        0 => String::new(),
        _ => format!("; these did not answer: {}", silent.join(", ")),
    };
    Err(Error::UnknownRequest { request: request.to_owned(), silent })
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
struct RouterAnswer {
    status: StatusCode,
    body: String,
}

async fn ask_all(routers: &[RouterEntry], path: &str) -> Vec<Result<RouterAnswer>> {
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

async fn ask(router: &RouterEntry, method: Method, path: &str) -> Result<RouterAnswer> {
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

fn router_error(router: &RouterEntry, path: &str, reason: impl ToString) -> Error {
    Error::Router {
        router: router.name.clone(),
        address: router.operator_address,
        path: path.to_owned(),
        reason: reason.to_string(),
    }
}
