//! Orders through the driver, a stand-in platform and a stand-in engine.

mod common;

use std::time::Duration;

use bergamotpitch_control::engine_orders::orders::{OrderOptions, OrderResult, WantedModel};
use bergamotpitch_platform::{OrderDriver, OrderNotice, OrderTarget, OrderWish};
use bergamotpitch_standin::engines::{EngineOptions, start_engine};
use bergamotpitch_standin::upstreams::Upstream;
use tokio::sync::mpsc;

/// An instance that drains hands the lease on. The next one gets a higher fencing number, and its
/// order reaches the engine after the one before.
#[tokio::test]
async fn lease_handed_on() {
    let stage = common::start().await;
    let engine = start_engine(EngineOptions::default()).await.unwrap();
    let (first, mut notices) = driver(&stage);
    first.set_wish(wish(&engine, "roses-1"));
    assert_eq!(notices.recv().await, Some(OrderNotice::LeaseWon { fencing: 1 }));
    assert_eq!(notices.recv().await, Some(ended("roses-1", OrderResult::Taken)));
    first.close().await;
    assert_eq!(notices.recv().await, Some(OrderNotice::LeaseLost { fencing: 1 }));
    let (second, mut notices) = driver(&stage);
    second.set_wish(wish(&engine, "roses-2"));
    assert_eq!(notices.recv().await, Some(OrderNotice::LeaseWon { fencing: 2 }));
    assert_eq!(notices.recv().await, Some(ended("roses-2", OrderResult::Taken)));
    second.close().await;
    engine.close().await;
    stage.standin.close().await;
}

/// Two instances want the lease at once. Only one sends orders, so that the engine is not ordered to
/// and fro.
#[tokio::test]
async fn one_holder() {
    let stage = common::start().await;
    let engine = start_engine(EngineOptions::default()).await.unwrap();
    let (first, mut first_notices) = driver(&stage);
    let (second, mut second_notices) = driver(&stage);
    first.set_wish(wish(&engine, "roses-1"));
    second.set_wish(wish(&engine, "roses-1"));
    let winner = tokio::select! {
        notice = first_notices.recv() => notice,
        notice = second_notices.recv() => notice,
    };
    assert_eq!(winner, Some(OrderNotice::LeaseWon { fencing: 1 }));
    let next = tokio::select! {
        notice = first_notices.recv() => notice,
        notice = second_notices.recv() => notice,
    };
    assert_eq!(next, Some(ended("roses-1", OrderResult::Taken)));
    first.close().await;
    second.close().await;
    engine.close().await;
    stage.standin.close().await;
}

/// The answer to the lock is lost after it was taken. The instance reads that it holds it.
#[tokio::test]
async fn lost_answer() {
    let stage = common::start().await;
    let engine = start_engine(EngineOptions::default()).await.unwrap();
    common::set_faults(&stage, r#"{ "lose_answers_percent": 30 }"#).await;
    let (driver, mut notices) = driver(&stage);
    driver.set_wish(wish(&engine, "roses-1"));
    let won = notices.recv().await;
    assert!(matches!(won, Some(OrderNotice::LeaseWon { .. })), "{won:?}");
    assert_eq!(notices.recv().await, Some(ended("roses-1", OrderResult::Taken)));
    common::set_faults(&stage, "{}").await;
    driver.close().await;
    engine.close().await;
    stage.standin.close().await;
}

/// An engine that checks fencing numbers has seen a higher one. The order is refused, and the
/// instance gives up a lease that it holds no more.
#[tokio::test]
async fn old_number() {
    let stage = common::start().await;
    let options = EngineOptions { checks_fencing: true, ..EngineOptions::default() };
    let engine = start_engine(options).await.unwrap();
    common::post_to(engine.address, "/orders", r#"{ "fencing": 9, "model": "roses-9" }"#).await;
    let (driver, mut notices) = driver(&stage);
    driver.set_wish(wish(&engine, "roses-1"));
    assert_eq!(notices.recv().await, Some(OrderNotice::LeaseWon { fencing: 1 }));
    assert_eq!(notices.recv().await, Some(ended("roses-1", OrderResult::Refused)));
    assert_eq!(notices.recv().await, Some(OrderNotice::LeaseLost { fencing: 1 }));
    driver.close().await;
    engine.close().await;
    stage.standin.close().await;
}

fn driver(stage: &common::Stage) -> (OrderDriver, mpsc::UnboundedReceiver<OrderNotice>) {
    let options = OrderOptions {
        lease_ttl: Duration::from_secs(2),
        lease_margin: Duration::from_millis(200),
        renew_interval: Duration::from_millis(400),
        retry_delay: Duration::from_millis(50),
        order_flight_limit: Duration::from_millis(300),
        store_loads_per_minute: 6_000.0,
        ..OrderOptions::default()
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    let notify = move |notice| {
        let _ = sender.send(notice);
    };
    (OrderDriver::start(stage.platform.clone(), "is-reykjavik-a", options, notify), receiver)
}

fn wish(engine: &Upstream, model: &str) -> OrderWish {
    let wanted = WantedModel {
        upstream: 1,
        model: model.to_owned(),
        reported_model: None,
        checks_fencing: false,
    };
    let targets = vec![OrderTarget { wanted, address: engine.address }];
    OrderWish { is_candidate: true, domain_count: 1, targets }
}

fn ended(model: &str, end: OrderResult) -> OrderNotice {
    OrderNotice::OrderEnded { upstream: 1, model: model.to_owned(), end }
}
