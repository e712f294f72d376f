//! Drains: the end of a process that cuts no answer.
//!
//! Once the balancer has noticed, no request is taken on any more, whatever it waited for before: its body, its
//! place, or another upstream. What is open at the end of the grace is answered, as far as it can be.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::Route;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;
use http::StatusCode;
use tokio::sync::watch;

use crate::calls::{BUSY_RETURN, Call};
use crate::gateways::Gateway;
use crate::logs::decision;
use crate::refusals::Refusal;

/// `ROTATION_TIME` is how long callers may still be sent here after the instance stopped being
/// ready: the balancer asks once a second and believes the second miss.
const ROTATION_TIME: Duration = Duration::from_millis(2_400);

/// `END_MARGIN` is left of the grace for the process to end by itself.
const END_MARGIN: Duration = Duration::from_millis(400);

/// `ANSWER_MARGIN` is the part of it in which the last answers are written.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// `POLL_INTERVAL` is the time between two looks at what is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `Stage` is how far the end of a process has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It serves.
    #[default]
    Serving,
    /// It is no longer ready; callers may still be sent here.
    LeavesRotation,
    /// It takes on no request.
    RefusesNew,
    /// The grace is over, and what is still open is answered.
    GraceOver,
}

/// `DrainState` is the stage of one process, and when its grace is over.
#[derive(Debug, Default)]
pub(crate) struct DrainState {
    stage: watch::Sender<Stage>,
    end: Cell<Option<Timestamp>>,
}

impl DrainState {
    fn enter(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    fn is_at(&self, stage: Stage) -> bool {
        stage <= *self.stage.borrow()
    }

    /// `reached` waits for a stage.
    pub(crate) fn reached(&self, stage: Stage) -> impl Future<Output = ()> + use<> {
        let mut stages = self.stage.subscribe();
        async move {
            // The state lives as long as the process.
            let _ = stages.wait_for(|reached| stage <= *reached).await;
        }
    }
}

impl Gateway {
    /// `is_draining` tells whether the process is about to end.
    pub fn is_draining(&self) -> bool {
        self.drain.is_at(Stage::LeavesRotation)
    }

    /// `refuses_new` tells whether requests that come now are refused.
    pub fn refuses_new(&self) -> bool {
        self.drain.is_at(Stage::RefusesNew)
    }

    /// `note_answer_time` takes in how long a whole answer took.
    pub(crate) fn note_answer_time(&self, call: &Call) {
        let time = self.now().saturating_sub(call.sent.get());
        self.answer_times.borrow_mut().note(&call.route.name, time);
    }

    /// `may_end_in_time` tells whether an answer that begins now is expected to end before the process does.
    pub(crate) fn may_end_in_time(&self, route: &Route) -> bool {
        let Some(end) = self.drain.end.get() else { return true };
        // A stream that may go on elsewhere loses little, and all instances of a fleet may end in turn.
        if route.is_resumable && !self.refuses_new() {
            return true;
        }
        match self.answer_times.borrow().expected(&route.name) {
            Some(expected) => self.now() + expected <= end,
            None => !self.refuses_new(),
        }
    }

    /// `check_drain` refuses a call that is not expected to end before the process does.
    pub(crate) fn check_drain(&self, route: &Route) -> Result<(), Refusal> {
        match self.may_end_in_time(route) {
            true => Ok(()),
            false => Err(draining()),
        }
    }
}

/// `draining` refuses a request that another instance can serve at once.
pub(crate) fn draining() -> Refusal {
    Refusal::not_run(RefusalReason::Draining, BUSY_RETURN)
}

/// `unfinished` answers a call that is open when the grace is over.
pub(crate) fn unfinished(call: &Call) -> Refusal {
    match call.may_have_run.get() {
        true => Refusal::unknown(StatusCode::BAD_GATEWAY, RefusalReason::Draining),
        false => draining(),
    }
}

/// `drain` takes the instance out of rotation, serves what it has and what still comes, ends kept
/// connections between two requests, and returns when nothing is open or the grace is over.
pub async fn drain(gateway: &Rc<Gateway>) {
    let (began, started) = (gateway.now(), tokio::time::Instant::now());
    let end = began + gateway.options.grace.saturating_sub(END_MARGIN);
    gateway.drain.end.set(Some(end));
    gateway.drain.enter(Stage::LeavesRotation);
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
    gateway.drain.enter(Stage::RefusesNew);
    // What was lost on the way the first time.
    gateway.hand_over_origins().await;
    wait_until_closed(gateway, end).await;
    let unfinished = gateway.in_flight();
    if unfinished != 0 {
        gateway.hand_over_unfinished().await;
        gateway.drain.enter(Stage::GraceOver);
        wait_until_closed(gateway, end + ANSWER_MARGIN).await;
    }
    decision(
        EventKind::ProcessStopped,
        format_args!(
            "drained_ms={} unfinished={unfinished} in_flight={} connections={}",
            gateway.now().saturating_sub(began).as_millis(),
            gateway.in_flight(),
            gateway.connection_count()
        ),
    );
}

/// Waits until no request and no connection of a caller is open, or until a time.
async fn wait_until_closed(gateway: &Gateway, until: Timestamp) {
    loop {
        gateway.each_connection(|connection| connection.end());
        let is_open = gateway.in_flight() != 0 || gateway.connection_count() != 0;
        if !is_open || until <= gateway.now() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL.min(until.saturating_sub(gateway.now()))).await;
    }
}
