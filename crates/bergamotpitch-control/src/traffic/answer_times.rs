//! Answer times: for how long answers take, by route, so that an instance which is about to end takes on only what
//! ends before it.

use std::time::Duration;

use bergamotpitch_core::HashMap;

/// `MEAN_GAIN` and [`DEVIATION_GAIN`] are how much the latest answer counts, as in the estimate of a
/// retransmission timer (RFC 6298).
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// `DEVIATION_GAIN` see [`MEAN_GAIN`].
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// `DEVIATIONS` is how many mean deviations over the mean an answer is expected to take at most.
const DEVIATIONS: f64 = 2.0;

/// `AnswerTimes` estimates for how long the answers of each route take.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    of_route: HashMap<String, Estimate>,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

impl AnswerTimes {
    /// `note` takes in how long a whole answer took.
    pub fn note(&mut self, route: &str, time: Duration) {
        let time_s = time.as_secs_f64();
        match self.of_route.get_mut(route) {
            Some(estimate) => {
                let difference_s = time_s - estimate.mean_s;
                let deviation_s = difference_s.abs() - estimate.deviation_s;
                estimate.deviation_s += DEVIATION_GAIN * deviation_s;
                estimate.mean_s += MEAN_GAIN * difference_s;
            }
            None => {
                let first = Estimate { mean_s: time_s, deviation_s: time_s / 2.0 };
                self.of_route.insert(route.to_owned(), first);
            }
        }
    }

    /// `expected` returns how long an answer takes at most, as far as is known.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::answer_times::AnswerTimes;
    ///
    /// let mut times = AnswerTimes::default();
    /// assert_eq!(times.expected("drafts"), None);
    /// times.note("drafts", Duration::from_secs(3));
    /// assert_eq!(times.expected("drafts"), Some(Duration::from_secs(6)));
    /// ```
    pub fn expected(&self, route: &str) -> Option<Duration> {
        let estimate = self.of_route.get(route)?;
        let expected_s = estimate.mean_s + DEVIATIONS * estimate.deviation_s;
        Some(Duration::try_from_secs_f64(expected_s).unwrap_or(Duration::MAX))
    }
}
