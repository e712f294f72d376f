//! Orders: what this instance, while it holds its domain's lease, has the engines load.

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::engine_orders::orders::{OrderOptions, WantedModel};
use bergamotpitch_control::outputs::Event;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::id_of_name;
use bergamotpitch_core::sheets::{AcceptedSheet, UpstreamEntry};
use bergamotpitch_platform::{Options, OrderDriver, OrderNotice, OrderTarget, OrderWish, Platform};
use tokio::task::JoinSet;

use crate::contexts::Context;

/// Time between two looks at the sheet and at what engines report.
const WISH_INTERVAL: Duration = Duration::from_millis(500);

/// `spawn` starts the orders of this failure domain.
pub fn spawn(context: &Arc<Context>, tasks: &mut JoinSet<()>) {
    tasks.spawn(keep_wish(Arc::clone(context)));
}

async fn keep_wish(context: Arc<Context>) {
    let domain = context.settings.domain.clone();
    let options = Options { address: context.settings.platform_address, ..Options::default() };
    let noted = Arc::clone(&context);
    let driver = OrderDriver::start(
        Platform::new(options),
        &domain,
        OrderOptions::default(),
        move |notice| note(&noted, &notice),
    );
    let mut interval = tokio::time::interval(WISH_INTERVAL);
    loop {
        interval.tick().await;
        driver.set_wish(wish(&context));
    }
}

fn wish(context: &Context) -> OrderWish {
    let Some(accepted) = context.accepted.load_full() else { return OrderWish::default() };
    let targets = targets(context, &accepted);
    // A lease that orders nothing would only cost the platform its renewals.
    let is_candidate = *context.leading.borrow() && !context.is_draining() && !targets.is_empty();
    let domain_count = accepted.sheet.domains.len() as u32;
    OrderWish { is_candidate, domain_count, targets }
}

fn targets(context: &Context, accepted: &AcceptedSheet) -> Vec<OrderTarget> {
    accepted
        .sheet
        .upstreams
        .iter()
        .filter(|upstream| upstream.domain == context.settings.domain)
        .filter_map(|upstream| target(context, upstream))
        .collect()
}

fn target(context: &Context, entry: &UpstreamEntry) -> Option<OrderTarget> {
    let model = entry.model.clone()?;
    let upstream = id_of_name(&entry.name);
    // An engine that has reported nothing yet may have the model already.
    let reported_model = Some(context.reported_model(upstream)?);
    let checks_fencing = entry.checks_fencing;
    let wanted = WantedModel { upstream, model, reported_model, checks_fencing };
    Some(OrderTarget { wanted, address: entry.address })
}

fn note(context: &Context, notice: &OrderNotice) {
    let event = match notice {
        OrderNotice::LeaseWon { fencing } => Event::of_kind(EventKind::OrderLeaseWon)
            .with_detail(format!("fencing number {fencing}")),
        OrderNotice::LeaseLost { fencing } => Event::of_kind(EventKind::OrderLeaseLost)
            .with_detail(format!("fencing number {fencing}")),
        OrderNotice::OrderEnded { upstream, model, end } => Event::of_kind(EventKind::OrderSent)
            .with_upstream(*upstream)
            .with_detail(format!("load {model}: {end:?}")),
    };
    context.emit(event);
}
