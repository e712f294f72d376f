//! Callers: one request sent to a router, its answer read to the end and checked.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bergamotpitch_core::refusals::{Ran, RefusalReason};
use bergamotpitch_core::sheets::ServiceKind;
use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;

use crate::arrivals::PlannedRequest;
use crate::balancers::Balancer;
use crate::checks::{StreamCheck, is_own_call_answer, short_hash};
use crate::experiments::{Experiment, StreamEntry};
use crate::fetches::HttpClient;
use crate::records::{CallerOutcome, CallerRecord, Try};

/// Time that a caller waits beyond its deadline before it calls the request lost.
const PATIENCE: Duration = Duration::from_secs(60);

/// Header with the id that the router gave a request.
const REQUEST_ID_HEADER: &str = "bergamotpitch-request-id";

/// Tries that a caller makes of a request that carries an idempotency key.
const TRY_LIMIT: usize = 5;

/// Time between two tries when no refusal says when to come back.
const TRY_INTERVAL: Duration = Duration::from_millis(200);

/// `call` sends one planned request and returns what its caller saw.
///
/// A request with an idempotency key that is lost, cut or refused is tried again with the same key
/// through the next router of its stream, as a careful caller would.
pub async fn call(
    client: &HttpClient,
    experiment: &Experiment,
    balancer: &Balancer,
    planned: &PlannedRequest,
) -> CallerRecord {
    let stream = &experiment.streams[planned.stream];
    let body = request_body(experiment, stream, planned);
    let prompt = prompt(experiment, stream, planned);
    let mut record = CallerRecord {
        number: planned.number,
        team: stream.team.clone(),
        service: stream.service.clone(),
        body_hash: short_hash(&body),
        at_most_once: stream.kind == ServiceKind::Plain,
        tries: Vec::new(),
        sent_us: now_us(),
        first_byte_us: None,
        ended_us: 0,
        outcome: CallerOutcome::Lost,
        token_gaps_us: Vec::new(),
    };
    let mut wanted = planned.router;
    loop {
        let router = balancer.choose(experiment, stream, wanted);
        let address = experiment.routers[router].caller_address;
        let sending =
            Sending { address, stream, planned, body: body.clone(), prompt: prompt.clone() };
        let wait = try_once(client, &sending, &mut record).await;
        let is_over = planned.idempotency_key.is_none()
            || record.outcome == CallerOutcome::Answered
            || TRY_LIMIT <= record.tries.len();
        if is_over {
            record.ended_us = now_us();
            return record;
        }
        tokio::time::sleep(wait).await;
        wanted = next_router(experiment, stream, router);
    }
}

async fn try_once(
    client: &HttpClient,
    sending: &Sending<'_>,
    record: &mut CallerRecord,
) -> Duration {
    record.tries.push(Try { request_id: String::new(), outcome: CallerOutcome::Lost });
    let mut wait = TRY_INTERVAL;
    let limit = Duration::from_millis(sending.stream.deadline_ms) + PATIENCE;
    let exchange = exchange(client, sending, record, &mut wait);
    let outcome = tokio::time::timeout(limit, exchange).await.unwrap_or(CallerOutcome::Lost);
    record.outcome = outcome;
    if let Some(last) = record.tries.last_mut() {
        last.outcome = outcome;
    }
    wait
}

fn next_router(experiment: &Experiment, stream: &StreamEntry, router: usize) -> usize {
    let name = &experiment.routers[router].name;
    let position = stream.routers.iter().position(|other| other == name).unwrap_or(0);
    let next = &stream.routers[(position + 1) % stream.routers.len()];
    experiment.routers.iter().position(|other| other.name == *next).unwrap_or(router)
}

/// `now_us` returns the wall-clock time in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as u64
}

fn marker(experiment: &Experiment, planned: &PlannedRequest) -> String {
    // The number of the request makes each body of a run different, so that a body's hash names
    // the request in the upstreams' records.
    format!("{}-{}-{}", experiment.name, experiment.seed, planned.number)
}

fn prompt(experiment: &Experiment, stream: &StreamEntry, planned: &PlannedRequest) -> String {
    let filler = "bloom ".repeat(planned.prompt_tokens.saturating_sub(2) as usize);
    format!("{} {filler}{}", stream.team, marker(experiment, planned))
}

fn request_body(experiment: &Experiment, stream: &StreamEntry, planned: &PlannedRequest) -> String {
    match stream.kind {
        ServiceKind::Engine => json!({
            "model": "default",
            "stream": true,
            "max_tokens": planned.answer_tokens,
            "messages": [{ "role": "user", "content": prompt(experiment, stream, planned) }],
        })
        .to_string(),
        ServiceKind::Plain => {
            json!({ "order": marker(experiment, planned), "team": stream.team }).to_string()
        }
    }
}

/// `Sending` is one request as it is sent.
#[derive(Debug)]
struct Sending<'a> {
    address: SocketAddr,
    stream: &'a StreamEntry,
    planned: &'a PlannedRequest,
    body: String,
    prompt: String,
}

async fn exchange(
    client: &HttpClient,
    sending: &Sending<'_>,
    record: &mut CallerRecord,
    wait: &mut Duration,
) -> CallerOutcome {
    let Ok(request) = request(sending) else { return CallerOutcome::Malformed };
    let Ok(response) = client.request(request).await else { return CallerOutcome::Lost };
    if let Some(last) = record.tries.last_mut() {
        last.request_id = header_text(&response, REQUEST_ID_HEADER);
    }
    if header_text(&response, header::CONTENT_TYPE.as_str()).starts_with("application/problem+json")
    {
        return read_refusal(response, wait).await;
    }
    if !response.status().is_success() {
        return CallerOutcome::Malformed;
    }
    match sending.stream.kind {
        ServiceKind::Engine => {
            let check = StreamCheck::of_prompt(&sending.prompt, sending.planned.answer_tokens);
            read_stream(response, check, record).await
        }
        ServiceKind::Plain => read_call(response, &sending.body, record).await,
    }
}

fn request(sending: &Sending<'_>) -> http::Result<Request<Full<Bytes>>> {
    let Sending { address, stream, planned, body, .. } = sending;
    let path = match stream.kind {
        ServiceKind::Engine => "v1/chat/completions",
        ServiceKind::Plain => "orders",
    };
    let mut builder = Request::post(format!("http://{address}/{}/{path}", stream.service))
        .header(header::AUTHORIZATION, format!("Bearer {}", stream.key))
        .header(header::CONTENT_TYPE, "application/json")
        .header("bergamotpitch-deadline-ms", stream.deadline_ms);
    if let Some(key) = &planned.idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::from(body.clone()))
}

fn header_text(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// `Problem` is the part of a refusal's problem details that callers act on.
#[derive(Debug, Deserialize)]
struct Problem {
    reason: RefusalReason,
    ran: Ran,
    #[serde(default)]
    retry_after_ms: u64,
}

async fn read_refusal(response: Response<Incoming>, wait: &mut Duration) -> CallerOutcome {
    let Ok(body) = response.into_body().collect().await else { return CallerOutcome::CutSeen };
    match serde_json::from_slice::<Problem>(&body.to_bytes()) {
        Ok(problem) => {
            *wait = TRY_INTERVAL.max(Duration::from_millis(problem.retry_after_ms));
            CallerOutcome::Refused { reason: problem.reason, ran: problem.ran }
        }
        Err(_) => CallerOutcome::Malformed,
    }
}

async fn read_call(
    response: Response<Incoming>,
    body: &str,
    record: &mut CallerRecord,
) -> CallerOutcome {
    let Ok(answer) = response.into_body().collect().await else { return CallerOutcome::CutSeen };
    record.first_byte_us = Some(now_us());
    if is_own_call_answer(body, &answer.to_bytes()) {
        CallerOutcome::Answered
    } else {
        CallerOutcome::Foreign
    }
}

async fn read_stream(
    response: Response<Incoming>,
    mut check: StreamCheck,
    record: &mut CallerRecord,
) -> CallerOutcome {
    let mut incoming = response.into_body();
    let mut last_us = None;
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else { return CallerOutcome::CutSeen };
        let Some(data) = frame.data_ref() else { continue };
        let time_us = now_us();
        record.first_byte_us.get_or_insert(time_us);
        let tokens = check.take(data);
        if 0 < tokens {
            if let Some(last_us) = last_us {
                record.token_gaps_us.push((time_us.saturating_sub(last_us) / tokens as u64) as u32);
            }
            last_us = Some(time_us);
        }
    }
    check.outcome()
}
