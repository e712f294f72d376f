//! What an engine tells of itself: load with a lag, cache events late and with gaps, orders.

mod common;

use std::time::Duration;

use bergamotpitch_standin::caches::{CacheEvents, CacheOptions, publish_changes, visible_events};
use bergamotpitch_standin::engines::{EngineOptions, LoadReport, start_engine};
use bergamotpitch_standin::lags::{Lagged, publish, read};
use bergamotpitch_standin::orders::OrderRecord;
use bergamotpitch_standin::prefixes::CacheChange;
use common::{LOOPBACK, call, get, json_lines, post};
use http::Method;
use tokio::time::Instant;

#[test]
fn lagged_value() {
    let (start, lag) = (Instant::now(), Duration::from_millis(100));
    let mut lagged = Lagged::default();
    for (at_ms, value) in [(0, "old"), (50, "new"), (60, "newer")] {
        publish(&mut lagged, start + Duration::from_millis(at_ms), lag, value);
    }
    for (at_ms, seen) in [(60, "old"), (149, "old"), (150, "new"), (160, "newer")] {
        let now = start + Duration::from_millis(at_ms);
        assert_eq!(read(&lagged, now, lag), Some(&seen), "{at_ms}");
    }
}

#[test]
fn late_events_with_gaps() {
    let start = Instant::now();
    let options = CacheOptions { event_lag_ms: 100, gap_every: 3 };
    let mut events = CacheEvents::default();
    let changes: Vec<CacheChange> = (1..=6).map(CacheChange::Stored).collect();
    publish_changes(&mut events, &options, &changes, start);
    assert!(visible_events(&events, &options, "", start + Duration::from_millis(99)).is_empty());
    let seen = visible_events(&events, &options, "after=1", start + Duration::from_millis(100));
    let numbers: Vec<u64> = seen.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [2, 4, 5]);
}

/// A lease lapsed and its old holder wakes up and sends an order. An engine that checks refuses it;
/// one that does not obeys, and the list of orders shows it as stale.
#[tokio::test]
async fn orders_with_old_number() {
    for checks_fencing in [true, false] {
        let options = EngineOptions { address: LOOPBACK, checks_fencing, ..Default::default() };
        let engine = start_engine(options).await.unwrap();
        post(engine.address, "/orders", r#"{ "fencing": 2, "model": "new" }"#).await;
        let old = r#"{ "fencing": 1, "model": "old" }"#;
        let (status, _) = call(engine.address, Method::POST, "/orders", old).await;
        assert_eq!(status, if checks_fencing { 409 } else { 200 });
        let orders: Vec<OrderRecord> = json_lines(&get(engine.address, "/_orders").await);
        let seen: Vec<(u64, bool, bool)> =
            orders.iter().map(|order| (order.fencing, order.accepted, order.stale)).collect();
        assert_eq!(seen, [(2, true, false), (1, !checks_fencing, true)]);
        let chat = r#"{ "messages": [{ "role": "user", "content": "a" }], "max_tokens": 1 }"#;
        let (_, answer) = call(engine.address, Method::POST, "/v1/chat/completions", chat).await;
        let model = if checks_fencing { "new" } else { "old" };
        assert!(answer.contains(&format!("\"model\":\"{model}\"")), "{answer}");
        engine.close().await;
    }
}

/// An idle engine is ordered to load a model. Whoever orders it looks at its report; if that showed the
/// old model until the next request, the order would be given again and again.
#[tokio::test]
async fn model_of_idle_engine() {
    let options = EngineOptions { address: LOOPBACK, model_load_ms: 10, ..Default::default() };
    let engine = start_engine(options).await.unwrap();
    post(engine.address, "/orders", r#"{ "fencing": 1, "model": "new" }"#).await;
    while !get(engine.address, "/load").await.contains(r#""model":"new""#) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    engine.close().await;
}

#[tokio::test]
async fn leaving_load() {
    let engine =
        start_engine(EngineOptions { address: LOOPBACK, ..Default::default() }).await.unwrap();
    let load: LoadReport = serde_json::from_str(&get(engine.address, "/load").await).unwrap();
    assert_eq!((load.slots, load.leaving), (8, false));
    post(engine.address, "/_faults", r#"{ "leaving": true }"#).await;
    let load: LoadReport = serde_json::from_str(&get(engine.address, "/load").await).unwrap();
    assert!(load.leaving);
    engine.close().await;
}
