//! Lateness: whether this process keeps up.
//!
//! Load pattern: callers of one flooding team are sent to one small instance. Its processor falls
//! behind, each further request makes all others later, and the work is done for callers that have
//! left. Timers that fire late show it before any request does.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

/// `OVERLOAD_LAG` is how late a timer may be before new requests are refused: the processor is
/// behind, each further request makes all others later, and another instance may have time. A request
/// meets it some four times before its first event, and the shortest targets are 150 to 400 ms.
const OVERLOAD_LAG: Duration = Duration::from_millis(100);

/// `UNREADY_LAG` is how late timers may be over seconds before new callers are sent elsewhere.
/// All callers of a flooding team may reach one instance with little processor time. Until it is left
/// by some of them, the team gets less than one with callers at many instances.
const UNREADY_LAG: Duration = Duration::from_millis(30);

/// `QUICK_LAG_GAIN` is the weight of one timer's lateness against those before.
const QUICK_LAG_GAIN: f64 = 0.4;

/// `SLOW_LAG_GAIN` is the weight of one timer's lateness for [`UNREADY_LAG`]: the mean of
/// about the last two seconds.
const SLOW_LAG_GAIN: f64 = 0.06;

/// `LoopLag` follows how late timers fire.
#[derive(Debug, Default)]
pub struct LoopLag {
    quick: Cell<Duration>,
    slow: Cell<Duration>,
}

impl LoopLag {
    /// `note` takes in how late one timer was.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_gateway::loop_lags::LoopLag;
    ///
    /// let loop_lag = LoopLag::default();
    /// loop_lag.note(Duration::from_millis(400));
    /// assert!(loop_lag.is_overloaded() && loop_lag.keeps_up());
    /// (0..3).for_each(|_| loop_lag.note(Duration::from_millis(400)));
    /// assert!(!loop_lag.keeps_up());
    /// ```
    pub fn note(&self, lag: Duration) {
        self.quick.set(mean(self.quick.get(), lag, QUICK_LAG_GAIN));
        self.slow.set(mean(self.slow.get(), lag, SLOW_LAG_GAIN));
    }

    /// `is_overloaded` tells whether new requests should be refused at once.
    pub fn is_overloaded(&self) -> bool {
        OVERLOAD_LAG < self.quick.get()
    }

    /// `keeps_up` tells whether new callers may be sent here.
    pub fn keeps_up(&self) -> bool {
        self.slow.get() < UNREADY_LAG
    }
}

impl fmt::Display for LoopLag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (quick, slow) = (self.quick.get().as_millis(), self.slow.get().as_millis());
        write!(formatter, "late_quick_ms={quick} late_slow_ms={slow}")
    }
}

fn mean(before: Duration, lag: Duration, gain: f64) -> Duration {
    before.mul_f64(1.0 - gain) + lag.mul_f64(gain)
}
