//! The stand-in platform's keys, sessions, watches, faults and counts.

mod common;

use std::net::SocketAddr;

use bergamotpitch_standin::calls::{CallCounts, RateLimits};
use bergamotpitch_standin::platforms::{Platform, PlatformOptions, start_platform};
use common::{LOOPBACK, call, client, get, post};
use http::{Method, Request};
use tokio::io::AsyncWriteExt;

async fn platform(addresses: usize) -> Platform {
    let addresses = vec![LOOPBACK; addresses];
    let options = PlatformOptions { addresses, rates: RateLimits::default(), list_lag_ms: 0 };
    start_platform(options).await.unwrap()
}

async fn put(address: SocketAddr, path: &str, body: &str) -> String {
    call(address, Method::PUT, path, body).await.1
}

async fn read(address: SocketAddr, path: &str) -> serde_json::Value {
    serde_json::from_str(&get(address, path).await).unwrap()
}

#[tokio::test]
async fn compare_and_swap() {
    let platform = platform(1).await;
    let at = platform.addresses[0];
    assert_eq!(call(at, Method::GET, "/v1/kv/a/b", "").await.0, 404);
    assert_eq!(put(at, "/v1/kv/a/b?cas=0", "one").await, "true");
    assert_eq!(put(at, "/v1/kv/a/b?cas=0", "two").await, "false");
    let entry = read(at, "/v1/kv/a/b").await;
    assert_eq!(entry[0]["Value"], "b25l");
    let index = entry[0]["ModifyIndex"].as_u64().unwrap();
    assert_eq!(put(at, &format!("/v1/kv/a/b?cas={index}"), "two").await, "true");
    let counts: CallCounts = serde_json::from_str(&get(at, "/_calls").await).unwrap();
    assert_eq!((counts.reads, counts.writes, counts.conflicts), (2, 3, 1));
    assert_eq!(counts.by_prefix["a/b"], 5);
    platform.close().await;
}

#[tokio::test]
async fn lock_and_fencing() {
    let platform = platform(1).await;
    let at = platform.addresses[0];
    let mut sessions = Vec::new();
    for _ in 0..2 {
        let body = r#"{ "TTL": "10s", "Behavior": "release", "LockDelay": "0s" }"#;
        let text = put(at, "/v1/session/create", body).await;
        let document: serde_json::Value = serde_json::from_str(&text).unwrap();
        sessions.push(document["ID"].as_str().unwrap().to_owned());
    }
    let acquire = |session: &str| format!("/v1/kv/lock?acquire={session}");
    assert_eq!(put(at, &acquire(&sessions[0]), "x").await, "true");
    assert_eq!(put(at, &acquire(&sessions[1]), "y").await, "false");
    assert_eq!(put(at, &acquire(&sessions[0]), "z").await, "true");
    assert_eq!(read(at, "/v1/kv/lock").await[0]["LockIndex"], 1);
    put(at, &format!("/v1/session/destroy/{}", sessions[0]), "").await;
    assert_eq!(put(at, &acquire(&sessions[1]), "y").await, "true");
    let entry = read(at, "/v1/kv/lock").await;
    assert_eq!(entry[0]["LockIndex"], 2);
    assert_eq!(entry[0]["Session"], sessions[1].as_str());
    platform.close().await;
}

#[tokio::test]
async fn watch_wakes() {
    let platform = platform(1).await;
    let at = platform.addresses[0];
    put(at, "/v1/kv/sheet", "1").await;
    let index = read(at, "/v1/kv/sheet").await[0]["ModifyIndex"].as_u64().unwrap();
    let path = format!("/v1/kv/sheet?index={index}&wait=60s");
    let watch = tokio::spawn(async move { get(at, &path).await });
    while !get(at, "/_calls").await.contains(r#""watches":1"#) {
        tokio::task::yield_now().await;
    }
    put(at, "/v1/kv/sheet", "2").await;
    assert!(watch.await.unwrap().contains(r#""Value":"Mg==""#));
    platform.close().await;
}

/// The platform takes a write and the connection breaks before its answer. The writer cannot know
/// whether it took effect; the value is there all the same.
#[tokio::test]
async fn lost_answer() {
    let platform = platform(1).await;
    let at = platform.addresses[0];
    post(at, "/_faults", r#"{ "lose_next_answers": 1 }"#).await;
    let request =
        Request::put(format!("http://{at}/v1/kv/k")).body("one".to_owned().into()).unwrap();
    assert!(client().request(request).await.is_err());
    assert_eq!(read(at, "/v1/kv/k").await[0]["Value"], "b25l");
    platform.close().await;
}

/// One failure domain loses the platform while another still reaches it: the faults of one address
/// must not be met at the other.
#[tokio::test]
async fn outage_of_one_address() {
    let platform = platform(2).await;
    post(platform.addresses[0], "/_faults", r#"{ "outage": true }"#).await;
    let (status, _) = call(platform.addresses[0], Method::PUT, "/v1/kv/k", "1").await;
    assert_eq!(status, 500);
    assert_eq!(put(platform.addresses[1], "/v1/kv/k", "1").await, "true");
    platform.close().await;
}

#[tokio::test]
async fn calls_over_rate() {
    let platform = platform(1).await;
    let at = platform.addresses[0];
    post(at, "/_rates", r#"{ "writes_per_s": 1 }"#).await;
    assert_eq!(put(at, "/v1/kv/k", "1").await, "true");
    assert_eq!(call(at, Method::PUT, "/v1/kv/k", "2").await.0, 429);
    assert_eq!(read(at, "/v1/kv/k").await[0]["Value"], "MQ==");
    platform.close().await;
}

#[tokio::test]
async fn instance_list() {
    let platform = platform(1).await;
    let at = platform.addresses[0];
    let change = |leaving: bool| {
        format!(
            r#"{{ "list": "bergamotpitch-upstream", "name": "e1", "address": "127.0.0.1:9000",
                 "domain": "zuid-a", "leaving": {leaving} }}"#
        )
    };
    post(at, "/_instances", &change(false)).await;
    let path = "/v1/health/service/bergamotpitch-upstream";
    let service = read(at, path).await[0]["Service"].clone();
    assert_eq!((&service["ID"], &service["Port"]), (&"e1".into(), &9000.into()));
    assert_eq!(service["Meta"]["leaving"], "false");
    post(at, "/_list_lag?ms=60000", "").await;
    post(at, "/_instances", &change(true)).await;
    assert_eq!(read(at, path).await[0]["Service"]["Meta"]["leaving"], "false");
    post(at, "/_list_lag?ms=0", "").await;
    assert_eq!(read(at, path).await[0]["Service"]["Meta"]["leaving"], "true");
    platform.close().await;
}

/// One address answers from a replica that lags. Its readers see an old value after others have seen
/// the new one.
#[tokio::test]
async fn frozen_reads() {
    let platform = platform(2).await;
    let (old, new) = (platform.addresses[0], platform.addresses[1]);
    put(new, "/v1/kv/k", "1").await;
    post(old, "/_faults", r#"{ "frozen": true }"#).await;
    put(new, "/v1/kv/k", "2").await;
    assert_eq!(read(old, "/v1/kv/k").await[0]["Value"], "MQ==");
    assert_eq!(read(new, "/v1/kv/k").await[0]["Value"], "Mg==");
    post(old, "/_faults", "{}").await;
    assert_eq!(read(old, "/v1/kv/k").await[0]["Value"], "Mg==");
    platform.close().await;
}

/// The platform is slow and the caller gives its write up. The write lands all the same, after the
/// caller has looked for it in vain.
#[tokio::test]
async fn late_write() {
    let platform = platform(2).await;
    let (slow, sound) = (platform.addresses[0], platform.addresses[1]);
    post(slow, "/_faults", r#"{ "slow_ms": 100 }"#).await;
    let mut stream = tokio::net::TcpStream::connect(slow).await.unwrap();
    stream.write_all(b"PUT /v1/kv/k HTTP/1.1\r\ncontent-length: 3\r\n\r\none").await.unwrap();
    drop(stream);
    while call(sound, Method::GET, "/v1/kv/k", "").await.0 == 404 {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    assert_eq!(read(sound, "/v1/kv/k").await[0]["Value"], "b25l");
    platform.close().await;
}
