//! Lateness: whether this process keeps up.
//!
//! Load pattern: callers of one flooding team are sent to one small instance. Its processor falls
//! behind, each further request makes all others later, and the work is done for callers that have
//! left. Timers that fire late show it before any request does.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

/// `OVERLOAD_LATENESS` is how late a timer may be before new requests are refused: the processor is
/// behind, each further request makes all others later, and another instance may have time. A request
/// meets it some four times before its first event, and the shortest targets are 150 to 400 ms.
const OVERLOAD_LATENESS: Duration = Duration::from_millis(100);

/// `UNREADY_LATENESS` is how late timers may be over seconds before new callers are sent elsewhere.
/// All callers of a flooding team may reach one instance with little processor time. Until it is left
/// by some of them, the team gets less than one with callers at many instances.
const UNREADY_LATENESS: Duration = Duration::from_millis(30);

/// `LATENESS_GAIN` is the weight of one timer's lateness against those before.
const LATENESS_GAIN: f64 = 0.4;

/// `SLOW_LATENESS_GAIN` is the weight of one timer's lateness for [`UNREADY_LATENESS`]: the mean of
/// about the last two seconds.
const SLOW_LATENESS_GAIN: f64 = 0.06;

/// `Lateness` follows how late timers fire.
#[derive(Debug, Default)]
pub struct Lateness {
    quick: Cell<Duration>,
    slow: Cell<Duration>,
}

impl Lateness {
    /// `note` takes in how late one timer was.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_gateway::lateness::Lateness;
    ///
    /// let lateness = Lateness::default();
    /// lateness.note(Duration::from_millis(400));
    /// assert!(lateness.is_overloaded() && lateness.keeps_up());
    /// (0..3).for_each(|_| lateness.note(Duration::from_millis(400)));
    /// assert!(!lateness.keeps_up());
    /// ```
    pub fn note(&self, late: Duration) {
        self.quick.set(mean(self.quick.get(), late, LATENESS_GAIN));
        self.slow.set(mean(self.slow.get(), late, SLOW_LATENESS_GAIN));
    }

    /// `is_overloaded` tells whether new requests should be refused at once.
    pub fn is_overloaded(&self) -> bool {
        OVERLOAD_LATENESS < self.quick.get()
    }

    /// `keeps_up` tells whether new callers may be sent here.
    pub fn keeps_up(&self) -> bool {
        self.slow.get() < UNREADY_LATENESS
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (quick, slow) = (self.quick.get().as_millis(), self.slow.get().as_millis());
        write!(formatter, "late_quick_ms={quick} late_slow_ms={slow}")
    }
}

fn mean(before: Duration, late: Duration, gain: f64) -> Duration {
    before.mul_f64(1.0 - gain) + late.mul_f64(gain)
}
