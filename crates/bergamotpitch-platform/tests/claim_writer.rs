//! Claims through the writer task and a stand-in platform.

mod common;

use std::time::Duration;

use bergamotpitch_control::idempotency::claim_queues::ClaimOptions;
use bergamotpitch_control::idempotency::claims::{
    ClaimKey, Outcome, claim_key, request_fingerprint,
};
use bergamotpitch_platform::{ClaimResult, ClaimToken, ClaimWriter};

/// Many requests claim one key at two routers at once. Only one may run, or a wreath would be
/// ordered twice.
#[tokio::test]
async fn one_winner() {
    let stage = common::start().await;
    let writers = [writer(&stage), writer(&stage)];
    let claims = (0..20).map(|index| writers[index % 2].claim(key("one"), fingerprint("a")));
    let results = futures::future::join_all(claims).await;
    let won = results.iter().filter(|result| matches!(result, ClaimResult::Won(_))).count();
    let unknown =
        results.iter().filter(|result| matches!(result, ClaimResult::OutcomeUnknown)).count();
    assert_eq!((won, unknown), (1, 19));
    stage.standin.close().await;
}

/// The caller repeats a request at another router after the answer got lost on its way. It gets the
/// answer that the first one got, and with another body it is told so.
#[tokio::test]
async fn second_taker() {
    let stage = common::start().await;
    let first = writer(&stage);
    let token = win(&first, "two").await;
    token.hand_over().expect("the claim is fresh").record(outcome());
    first.close(Duration::from_secs(5)).await;
    let second = writer(&stage);
    let result = second.claim(key("two"), fingerprint("a")).await;
    assert!(matches!(result, ClaimResult::Answered(found) if found == outcome()));
    let result = second.claim(key("two"), fingerprint("b")).await;
    assert!(matches!(result, ClaimResult::Mismatch));
    stage.standin.close().await;
}

/// A request is refused while it waits, or the upstream proves that it did not run. The caller is
/// told "not run" and must be able to send it again under the same key.
#[tokio::test]
async fn released_claim() {
    let stage = common::start().await;
    let writer = writer(&stage);
    win(&writer, "three").await.release();
    let handed_over = win(&writer, "three").await.hand_over().expect("the claim is fresh");
    drop(handed_over.proved_unrun());
    let token = win(&writer, "three").await;
    drop(token.hand_over());
    let result = writer.claim(key("three"), fingerprint("a")).await;
    assert!(matches!(result, ClaimResult::OutcomeUnknown));
    stage.standin.close().await;
}

/// The answer to the write of a claim is lost after it took effect. The claim is still won, once.
#[tokio::test]
async fn lost_answer() {
    let stage = common::start().await;
    let writer = writer(&stage);
    common::set_faults(&stage, r#"{ "lose_next_answers": 1 }"#).await;
    let token = win(&writer, "four").await;
    let result = writer.claim(key("four"), fingerprint("a")).await;
    assert!(matches!(result, ClaimResult::OutcomeUnknown));
    drop(token);
    stage.standin.close().await;
}

/// The key-value service is out. The request is refused as not run, and after the outage the same
/// key can be claimed, though every write before had lost its answer.
#[tokio::test]
async fn service_out() {
    let stage = common::start().await;
    let writer = writer(&stage);
    common::set_faults(&stage, r#"{ "hang": true }"#).await;
    let result = writer.claim(key("five"), fingerprint("a")).await;
    assert!(matches!(result, ClaimResult::Unavailable));
    common::set_faults(&stage, "{}").await;
    drop(win(&writer, "five").await);
    stage.standin.close().await;
}

/// The caller leaves while its claim is being made. Its next try must not hear "outcome unknown" of
/// a request that never ran.
#[tokio::test]
async fn caller_left() {
    let stage = common::start().await;
    let writer = writer(&stage);
    common::set_faults(&stage, r#"{ "slow_ms": 100 }"#).await;
    let claim = writer.claim(key("six"), fingerprint("a"));
    let left = tokio::time::timeout(Duration::from_millis(150), claim).await;
    assert!(left.is_err());
    common::set_faults(&stage, "{}").await;
    writer.clone().close(Duration::from_secs(5)).await;
    let next = common::client(stage.standin.addresses[0]);
    let next = ClaimWriter::start(next, ClaimOptions::default());
    drop(win(&next, "six").await);
    stage.standin.close().await;
}

fn writer(stage: &common::Stage) -> ClaimWriter {
    let options = ClaimOptions {
        claim_timeout: Duration::from_millis(1_000),
        outcome_delay: Duration::from_millis(5),
        ..ClaimOptions::default()
    };
    ClaimWriter::start(stage.platform.clone(), options)
}

async fn win(writer: &ClaimWriter, name: &str) -> ClaimToken {
    match writer.claim(key(name), fingerprint("a")).await {
        ClaimResult::Won(token) => token,
        other => panic!("the key {name} was not won: {other:?}"),
    }
}

fn key(name: &str) -> ClaimKey {
    claim_key("roses", "florist-crm-api", name)
}

fn fingerprint(body: &str) -> [u8; 16] {
    request_fingerprint("POST", "/orders", body.as_bytes())
}

fn outcome() -> Outcome {
    Outcome { status: 201, headers: Vec::new(), body: Some(b"order 7".to_vec()) }
}
