//! Arrivals: what a caller's request says, checked and read within bounds.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::inputs::Arrival;
use bergamotpitch_core::ids::{RequestId, ServiceId, TeamId, id_of_name};
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::sheets::{ServiceEntry, ServiceKind};
use bergamotpitch_core::units::Timestamp;
use bytes::{Bytes, BytesMut};
use dropshot::Body;
use http::header::{AUTHORIZATION, CONTENT_LENGTH};
use http::{HeaderMap, Method, request};
use http_body_util::BodyExt;
use tokio::sync::OwnedSemaphorePermit;

use crate::contexts::{Context, HELD_UNIT_BYTES};
use crate::headers;
use crate::usages::{ChatRequest, prompt_tokens_of_bytes};

/// Time for which the rest of a body that is too large is read and thrown away. A caller that is
/// still sending when the connection closes may lose the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// `Head` is what a request says before its body.
#[derive(Debug, Clone)]
pub struct Head {
    /// Team that sent it.
    pub team: TeamId,
    /// Service that it asks for.
    pub service: ServiceEntry,
    /// Method.
    pub method: Method,
    /// Path and query towards the upstream.
    pub path: String,
    /// Headers towards the upstream.
    pub headers: HeaderMap,
    /// When it came.
    pub arrived: Timestamp,
    /// Time by which the answer must have begun.
    pub deadline: Timestamp,
}

/// `HeldBody` is a body that is held until its request has ended.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    _held: OwnedSemaphorePermit,
}

/// `check_head` finds the team, the service and the deadline of a request.
///
/// # Errors
///
/// Tells why the request is refused.
pub fn check_head(context: &Context, parts: &request::Parts) -> Result<Head, RefusalReason> {
    let snapshot = context.snapshot.load();
    if snapshot.version == 0 {
        return Err(RefusalReason::NotReady);
    }
    let key = bearer_key(&parts.headers).ok_or(RefusalReason::UnknownTeam)?;
    let team = snapshot.team_of_key(key).ok_or(RefusalReason::UnknownTeam)?;
    let (service_name, path) = split_path(parts).ok_or(RefusalReason::BadRequest)?;
    let service = snapshot.service_of_name(service_name).ok_or(RefusalReason::ServiceNotAllowed)?;
    let is_allowed = snapshot.team(team).is_some_and(|team| team.services.contains(&service.name));
    if !is_allowed {
        return Err(RefusalReason::ServiceNotAllowed);
    }
    let arrived = context.now();
    Ok(Head {
        team,
        service: service.clone(),
        method: parts.method.clone(),
        path,
        headers: headers::request_headers(&parts.headers),
        arrived,
        deadline: arrived + wait_of_headers(context, &parts.headers)?,
    })
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn split_path(parts: &request::Parts) -> Option<(&str, String)> {
    let path = parts.uri.path().strip_prefix('/')?;
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    if service.is_empty() {
        return None;
    }
    let query = parts.uri.query().map_or(String::new(), |query| format!("?{query}"));
    Some((service, format!("/{rest}{query}")))
}

fn wait_of_headers(context: &Context, headers: &HeaderMap) -> Result<Duration, RefusalReason> {
    let Some(value) = headers.get(headers::DEADLINE_MS) else {
        return Ok(Duration::from_millis(context.settings.deadline_ms));
    };
    let wait_ms: Option<u64> = value.to_str().ok().and_then(|value| value.trim().parse().ok());
    let wait_ms = wait_ms.ok_or(RefusalReason::BadRequest)?;
    // A caller's wait is not bounded by the default; a year stands for any longer one.
    Ok(Duration::from_millis(wait_ms.min(365 * 24 * 3_600_000)))
}

/// `read_body` reads a body within its limit and its time.
///
/// # Errors
///
/// Tells why the request is refused.
pub async fn read_body(
    context: &Arc<Context>,
    head: &Head,
    declared: &HeaderMap,
    mut body: Body,
) -> Result<HeldBody, RefusalReason> {
    let limit_bytes = context.settings.body_limit_bytes;
    let declared_bytes: Option<usize> = declared
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let is_too_large = declared_bytes.is_some_and(|bytes| limit_bytes < bytes);
    // A slow caller must not hold its place for longer than it is willing to wait for the answer.
    let time = context.until(head.deadline);
    let read = async {
        if is_too_large { Err(RefusalReason::BodyTooLarge) } else { read(context, &mut body).await }
    };
    let read = tokio::time::timeout(time, read).await;
    match read {
        Ok(Err(RefusalReason::BodyTooLarge)) => {
            let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(&mut body)).await;
            Err(RefusalReason::BodyTooLarge)
        }
        Ok(read) => read,
        Err(_) => Err(RefusalReason::DeadlinePassed),
    }
}

async fn read(context: &Arc<Context>, body: &mut Body) -> Result<HeldBody, RefusalReason> {
    let mut bytes = BytesMut::new();
    let mut held = hold(context, 0)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RefusalReason::BadRequest)?;
        let Ok(data) = frame.into_data() else { continue };
        if context.settings.body_limit_bytes < bytes.len() + data.len() {
            return Err(RefusalReason::BodyTooLarge);
        }
        held.merge(hold(context, data.len())?);
        bytes.extend_from_slice(&data);
    }
    Ok(HeldBody { bytes: bytes.freeze(), _held: held })
}

/// `hold` counts bytes of bodies; a flood is refused before it fills the memory.
fn hold(context: &Arc<Context>, bytes: usize) -> Result<OwnedSemaphorePermit, RefusalReason> {
    let units = u32::try_from(bytes.div_ceil(HELD_UNIT_BYTES)).unwrap_or(u32::MAX);
    Arc::clone(&context.free_bytes)
        .try_acquire_many_owned(units)
        .map_err(|_| RefusalReason::Overloaded)
}

async fn discard(body: &mut Body) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// `arrival_of_call` is what the control state is told of a request.
pub fn arrival_of_call(request: RequestId, head: &Head, body: &Bytes, chat: &Chat) -> Arrival {
    Arrival {
        request,
        team: head.team,
        service: service_id(&head.service),
        body_bytes: body.len() as u64,
        known_cost: chat.known_cost,
        prefix: chat.prefix,
        deadline: head.deadline,
        repeatable: head.service.repeatable || head.method.is_safe(),
    }
}

/// `Chat` is what the body of an engine's request says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Chat {
    /// True when the answer is asked for as a stream of events.
    pub streams: bool,
    /// Cost of the prompt, in cost units.
    pub known_cost: u64,
    /// Hash of the prompt's prefix; 0 when there is none.
    pub prefix: u64,
}

/// `read_chat` reads the body of an engine's request.
///
/// # Errors
///
/// `BadRequest` when a chat request is not JSON.
pub fn read_chat(head: &Head, body: &Bytes) -> Result<Chat, RefusalReason> {
    if head.service.kind != ServiceKind::Engine || head.method != Method::POST {
        return Ok(Chat { known_cost: head.service.call_cost, ..Chat::default() });
    }
    let chat: ChatRequest = serde_json::from_slice(body).map_err(|_| RefusalReason::BadRequest)?;
    Ok(Chat {
        streams: chat.stream,
        known_cost: prompt_tokens_of_bytes(body.len()) * head.service.prompt_token_cost,
        prefix: chat.prefix(),
    })
}

/// `service_id` is the id of a service of the sheet.
pub fn service_id(service: &ServiceEntry) -> ServiceId {
    id_of_name(&service.name)
}
