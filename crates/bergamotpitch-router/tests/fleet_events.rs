//! Routers tell of what happens around them: a platform that is lost, messages of strangers.

mod fleets;

use bergamotpitch_core::events::EventKind;
use fleets::{close_without_reverts, get_text, set_faults, start_fleet, wait_event};
use tokio::net::UdpSocket;

/// The platform goes out and comes back. An operator who reads why keyed calls were refused must find
/// both moments in the time line.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_lost_and_back() {
    let fleet = start_fleet("platform-events").await;
    let address = fleet.platform.addresses[1];
    // A watch that waits would notice the outage when it ends; a broken one notices it at once.
    set_faults(address, r#"{ "outage": true, "down_ms": 1 }"#).await;
    let lost = wait_event(&fleet, 2, EventKind::PlatformLost).await;
    set_faults(address, "{}").await;
    let back = wait_event(&fleet, 2, EventKind::PlatformBack).await;
    assert!(lost.time_us < back.time_us);
    close_without_reverts(fleet).await;
}

/// A stranger on the network sends to the port of the instances. Nothing is taken over from it, and
/// operators are told, or nobody would look for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stranger_on_peer_port() {
    let fleet = start_fleet("stranger").await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let forged = [7; 200];
    socket.send_to(&forged, fleet.routers[0].peer_address()).await.unwrap();
    let dropped = wait_event(&fleet, 0, EventKind::MessageDropped).await;
    assert_eq!(dropped.detail.as_deref(), Some("malformed: 1"));
    let metrics = get_text(fleet.routers[0].operator_address(), "/metrics").await;
    let is_counted = |line: &str| {
        line.starts_with("bergamotpitch_dropped_messages_total{")
            && line.contains("reason=\"malformed\"")
            && line.ends_with(" 1")
    };
    assert!(metrics.lines().any(is_counted), "{metrics}");
    close_without_reverts(fleet).await;
}
