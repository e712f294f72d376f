//! Chat completions of the stand-in engine, streamed or whole.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures::stream;
use http::request::Parts;
use http::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::answers::{
    ChatRequest, answer_tokens, prompt_of, prompt_tokens, short_hash, token_text,
};
use crate::batches::Sequence;
use crate::bodies::{
    Answer, Body, BrokenConnection, header_text, json_answer, stream_answer, text_answer,
};
use crate::engines::Engine;
use crate::faults::UpstreamFaults;
use crate::locks::lock;
use crate::prefixes::prompt_blocks;
use crate::upstreams::{REQUEST_ID, begin_record, broken, mark_leaving, meet_faults};

/// Header by which a caller says what it received of a broken stream.
pub const LAST_EVENT_ID: &str = "last-event-id";

#[derive(Debug, Serialize)]
struct ChunkDocument<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: Vec<ChunkChoice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct ChunkChoice {
    index: u32,
    delta: Delta,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct Delta {
    content: String,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

#[derive(Debug, Serialize)]
struct WholeDocument<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: Vec<WholeChoice>,
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct WholeChoice {
    index: u32,
    message: WholeMessage,
    finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
struct WholeMessage {
    role: &'static str,
    content: String,
}

/// `AnswerPlan` is everything that the answer to one request follows from.
#[derive(Debug)]
struct AnswerPlan {
    id: String,
    model: String,
    prompt_hash: String,
    end_token: u32,
    usage: Usage,
    break_after: Option<u32>,
    first_token: u32,
}

/// `answer_chat` answers a chat completion request.
pub async fn answer_chat(engine: Arc<Engine>, parts: Parts, body: &[u8]) -> Answer {
    let request: ChatRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return Ok(text_answer(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let record = begin_record(&engine.shared, &parts);
    let faults = match meet_faults(&engine.shared, &record).await {
        Ok(faults) => faults,
        Err(answer) => return answer,
    };
    let plan = plan_answer(&engine, &parts, &request, &faults);
    let (tokens, received) = unbounded_channel();
    let sequence = new_sequence(&engine, &plan, &request, record.arrived_us, tokens);
    lock(&engine.open_records).insert(sequence.number, record);
    lock(&engine.batch).waiting.push_back(sequence);
    engine.arrived.notify_one();
    let mut response = if request.stream {
        stream_tokens(plan, received)
    } else {
        match whole_answer(&plan, received, &faults).await {
            Ok(response) => response,
            Err(BrokenConnection) => return broken(),
        }
    };
    mark_leaving(&engine.shared, &mut response);
    Ok(response)
}

fn new_sequence(
    engine: &Engine,
    plan: &AnswerPlan,
    request: &ChatRequest,
    arrived_us: u64,
    tokens: UnboundedSender<u32>,
) -> Sequence {
    Sequence {
        number: engine.next_number.fetch_add(1, Ordering::Relaxed),
        blocks: prompt_blocks(&prompt_of(request)),
        prompt_tokens: plan.usage.prompt_tokens,
        cached_tokens: 0,
        prompt_left_tokens: 0,
        resumed_after: plan.first_token - 1,
        last_token: plan.first_token - 1,
        end_token: plan.end_token,
        arrived_us,
        started_us: None,
        first_token_us: None,
        tokens,
    }
}

fn plan_answer(
    engine: &Engine,
    parts: &Parts,
    request: &ChatRequest,
    faults: &UpstreamFaults,
) -> AnswerPlan {
    let prompt = prompt_of(request);
    let prompt_tokens = prompt_tokens(&prompt);
    let end_token = answer_tokens(request);
    // A resumption goes on behind the last token that the caller has.
    let received: u32 =
        header_text(parts, LAST_EVENT_ID).and_then(|text| text.parse().ok()).unwrap_or(0);
    AnswerPlan {
        id: header_text(parts, REQUEST_ID).unwrap_or_else(|| "no-request-id".to_owned()),
        model: lock(&engine.model).clone(),
        prompt_hash: short_hash(prompt.as_bytes()),
        end_token,
        usage: Usage {
            prompt_tokens,
            completion_tokens: end_token,
            total_tokens: prompt_tokens + end_token,
        },
        break_after: if faults.crash_before_answer { Some(0) } else { faults.break_after_tokens },
        first_token: received.min(end_token) + 1,
    }
}

/// `StreamState` is how far a stream has come.
struct StreamState {
    plan: AnswerPlan,
    received: UnboundedReceiver<u32>,
    sent: u32,
    ended: bool,
}

fn stream_tokens(plan: AnswerPlan, received: UnboundedReceiver<u32>) -> Response<Body> {
    let state = StreamState { plan, received, sent: 0, ended: false };
    stream_answer(stream::unfold(state, |mut state| async move {
        let event = next_event(&mut state).await?;
        Some((event, state))
    }))
}

async fn next_event(state: &mut StreamState) -> Option<Result<Bytes, BrokenConnection>> {
    if state.ended {
        return None;
    }
    if state.plan.break_after.is_some_and(|limit| limit <= state.sent) {
        state.ended = true;
        // The server flushes while the stream has nothing; without this the break would take back
        // tokens that count as sent.
        tokio::task::yield_now().await;
        return Some(Err(BrokenConnection));
    }
    match state.received.recv().await {
        Some(token) => {
            state.sent += 1;
            Some(Ok(token_event(&state.plan, token)))
        }
        None => {
            state.ended = true;
            Some(Ok(last_events(&state.plan)))
        }
    }
}

fn token_event(plan: &AnswerPlan, token: u32) -> Bytes {
    let document = ChunkDocument {
        id: &plan.id,
        object: "chat.completion.chunk",
        model: &plan.model,
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta { content: token_text(&plan.prompt_hash, token) },
            finish_reason: (token == plan.end_token).then_some("stop"),
        }],
        usage: None,
    };
    event_of(token, &document)
}

fn last_events(plan: &AnswerPlan) -> Bytes {
    let document = ChunkDocument {
        id: &plan.id,
        object: "chat.completion.chunk",
        model: &plan.model,
        choices: Vec::new(),
        usage: Some(plan.usage),
    };
    let mut bytes = event_of(plan.end_token + 1, &document).to_vec();
    bytes.extend_from_slice(b"data: [DONE]\n\n");
    bytes.into()
}

fn event_of(number: u32, document: &ChunkDocument<'_>) -> Bytes {
    let data = serde_json::to_string(document).unwrap_or_default();
    format!("id: {number}\ndata: {data}\n\n").into()
}

async fn whole_answer(
    plan: &AnswerPlan,
    mut received: UnboundedReceiver<u32>,
    faults: &UpstreamFaults,
) -> Result<Response<Body>, BrokenConnection> {
    let mut content = String::new();
    while let Some(token) = received.recv().await {
        content.push_str(&token_text(&plan.prompt_hash, token));
    }
    if faults.crash_before_answer || faults.break_after_tokens.is_some() {
        return Err(BrokenConnection);
    }
    let document = WholeDocument {
        id: &plan.id,
        object: "chat.completion",
        model: &plan.model,
        choices: vec![WholeChoice {
            index: 0,
            message: WholeMessage { role: "assistant", content },
            finish_reason: "stop",
        }],
        usage: plan.usage,
    };
    Ok(json_answer(StatusCode::OK, &document))
}
