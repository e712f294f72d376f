//! Drops: messages from other instances that were not taken, as events and in the metrics.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::outputs::Event;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_wire::Endpoint;

use crate::contexts::Context;

/// Time between two looks at the counters; a flood of forged messages makes one event in it for each
/// reason, not one for each message.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// `report` tells of messages that were dropped since the last look, for as long as it runs.
pub async fn report(context: Arc<Context>, endpoint: Arc<Endpoint>) {
    // Counting from the first look instead would pass over what came before this task first ran: a
    // forged message in that moment would stand in no event.
    let mut told: Vec<_> =
        endpoint.dropped().all().into_iter().map(|(reason, _)| (reason, 0)).collect();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let counted = endpoint.dropped().all();
        for ((reason, count), (_, count_before)) in counted.iter().zip(&told) {
            let dropped = count - count_before;
            if 0 < dropped {
                let detail = format!("{reason}: {dropped}");
                context.emit(Event::of_kind(EventKind::MessageDropped).with_detail(detail));
                context.metrics.count_dropped_messages(reason.into(), dropped);
            }
        }
        told = counted;
    }
}
