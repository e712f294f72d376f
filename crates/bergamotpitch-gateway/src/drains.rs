//! Drains: the end of a process that cuts no answer.

use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_core::events::EventKind;

use crate::gateways::Gateway;
use crate::logs::decision;

/// `ROTATION_TIME` is how long callers may still be sent here after the instance stopped being
/// ready: the balancer asks once a second and believes the second miss.
const ROTATION_TIME: Duration = Duration::from_millis(2_400);

/// `END_MARGIN` is left of the grace for the process to end by itself.
const END_MARGIN: Duration = Duration::from_millis(400);

/// `POLL_INTERVAL` is the time between two looks at what is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `drain` takes the instance out of rotation, serves what it has and what still comes, ends kept
/// connections between two requests, and returns when nothing is open or the grace is over.
pub async fn drain(gateway: &Rc<Gateway>) {
    let (began, started) = (gateway.now(), tokio::time::Instant::now());
    gateway.begin_drain();
    decision(
        EventKind::DrainBegan,
        format_args!(
            "in_flight={} connections={}",
            gateway.in_flight(),
            gateway.connection_count()
        ),
    );
    gateway.hand_over_origins().await;
    tokio::time::sleep_until(started + ROTATION_TIME).await;
    gateway.refuse_new();
    // What was lost on the way the first time.
    gateway.hand_over_origins().await;
    let end = began + gateway.options.grace.saturating_sub(END_MARGIN);
    loop {
        gateway.each_connection(|connection| connection.end());
        if gateway.in_flight() == 0 && gateway.connection_count() == 0 {
            break;
        }
        if end <= gateway.now() {
            gateway.hand_over_unfinished().await;
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    decision(
        EventKind::ProcessStopped,
        format_args!(
            "drained_ms={} in_flight={} connections={}",
            gateway.now().saturating_sub(began).as_millis(),
            gateway.in_flight(),
            gateway.connection_count()
        ),
    );
}
