//! Streams of the stand-in engine: whole, broken and resumed, cancelled.

mod common;

use std::net::SocketAddr;

use bergamotpitch_standin::answers::answer_text;
use bergamotpitch_standin::batches::BatchOptions;
use bergamotpitch_standin::engines::{EngineOptions, LoadReport, start_engine};
use bergamotpitch_standin::records::{Outcome, Record};
use bergamotpitch_standin::upstreams::Upstream;
use bytes::Bytes;
use common::{LOOPBACK, client, get, json_lines, post};
use http::Request;
use http_body_util::{BodyExt, Full};

async fn quick_engine(slots: u32) -> Upstream {
    let batch = BatchOptions {
        slots,
        step_us: 200,
        step_us_per_sequence: 10,
        prompt_token_us: 1,
        ..BatchOptions::default()
    };
    start_engine(EngineOptions { address: LOOPBACK, batch, ..EngineOptions::default() })
        .await
        .unwrap()
}

fn chat(
    address: SocketAddr,
    prompt: &str,
    tokens: u32,
    after: Option<u32>,
) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "messages": [{ "role": "user", "content": prompt }], "stream": true, "max_tokens": tokens,
    });
    let mut request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("x-request-id", "r1")
        .header("bergamotpitch-team", "rose-shop");
    if let Some(after) = after {
        request = request.header("last-event-id", after);
    }
    request.body(Full::new(Bytes::from(body.to_string()))).unwrap()
}

/// Reads a stream until it ends or breaks; returns its text and whether `[DONE]` came.
async fn read_stream(request: Request<Full<Bytes>>) -> (String, bool, u32) {
    let mut body = client().request(request).await.unwrap().into_body();
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap()));
    }
    let mut content = String::new();
    let mut last_id = 0;
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            last_id = id.parse().unwrap();
        }
        let Some(data) = line.strip_prefix("data: {") else { continue };
        let chunk: serde_json::Value = serde_json::from_str(&format!("{{{data}")).unwrap();
        content.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
    }
    (content, text.ends_with("data: [DONE]\n\n"), last_id)
}

#[tokio::test]
async fn whole_answer() {
    let engine = quick_engine(2).await;
    let (text, done, last_id) = read_stream(chat(engine.address, "a card", 5, None)).await;
    assert_eq!((text, done, last_id), (answer_text("a card", 5), true, 6));
    let records: Vec<Record> = json_lines(&get(engine.address, "/_records").await);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].outcome, Outcome::Answered);
    assert_eq!((records[0].prompt_tokens, records[0].generated_tokens), (2, 5));
    assert_eq!(records[0].cost, 2 + 5 * 4);
    assert_eq!(records[0].team.as_deref(), Some("rose-shop"));
    engine.close().await;
}

/// The engine breaks the connection in the middle of an answer. A caller that asks again with the
/// number of the last event it has must get just the rest, or it would see words twice.
#[tokio::test]
async fn resumed_stream() {
    let engine = quick_engine(2).await;
    post(engine.address, "/_faults", r#"{ "break_after_tokens": 3, "times": 1 }"#).await;
    let (first, done, last_id) = read_stream(chat(engine.address, "a wreath", 8, None)).await;
    assert_eq!((done, last_id), (false, 3));
    let (rest, done, _) = read_stream(chat(engine.address, "a wreath", 8, Some(last_id))).await;
    assert!(done);
    assert_eq!(first + &rest, answer_text("a wreath", 8));
    engine.close().await;
}

/// A caller leaves while its answer streams. If the engine went on, the only slot would stay taken
/// and the next caller would wait for an answer that nobody reads.
#[tokio::test]
async fn cancelled_stream() {
    let engine = quick_engine(1).await;
    let mut body =
        client().request(chat(engine.address, "long", 1_000_000, None)).await.unwrap().into_body();
    assert!(body.frame().await.is_some());
    drop(body);
    let (text, done, _) = read_stream(chat(engine.address, "next", 2, None)).await;
    assert_eq!((text, done), (answer_text("next", 2), true));
    let records: Vec<Record> = json_lines(&get(engine.address, "/_records").await);
    assert_eq!(records[0].outcome, Outcome::Cancelled);
    let load: LoadReport = serde_json::from_str(&get(engine.address, "/load").await).unwrap();
    assert_eq!((load.running_requests, load.slots), (0, 1));
    engine.close().await;
}

#[tokio::test]
async fn refused_before_start() {
    let engine = quick_engine(1).await;
    post(engine.address, "/_faults", r#"{ "refuse": true, "leaving": true }"#).await;
    let response = client().request(chat(engine.address, "x", 1, None)).await.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["bergamotpitch-ran"], "not_run");
    assert_eq!(response.headers()["bergamotpitch-leaving"], "true");
    engine.close().await;
}
