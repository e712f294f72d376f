//! Sound parts: parts of prompts that were answered lately.

use bergamotpitch_core::HashMap;
use bergamotpitch_core::units::Timestamp;

use crate::traffic::crash_suspects::PartKey;

/// `Moment` is a time in milliseconds since this process started. What others tell of may lie before.
pub type Moment = i64;

/// `moment_of` returns a time of this process as a [`Moment`].
pub fn moment_of(time: Timestamp) -> Moment {
    Moment::try_from(time.as_millis()).unwrap_or(Moment::MAX)
}

/// `GENERATION_MS` is the time after which a generation of parts gives way to the next; a part is
/// remembered for once to twice as long.
const GENERATION_MS: Moment = 30_000;

/// `GENERATION_MAX` bounds a generation.
const GENERATION_MAX: usize = 4_096;

/// `SoundParts` are the parts that were answered in this generation and the one before.
#[derive(Debug, Default)]
pub struct SoundParts {
    recent: HashMap<PartKey, Moment>,
    older: HashMap<PartKey, Moment>,
    turned: Moment,
}

impl SoundParts {
    /// `note` takes in that a request with a part was answered at a time.
    pub fn note(&mut self, part: PartKey, at: Moment) {
        if GENERATION_MAX <= self.recent.len() && !self.recent.contains_key(&part) {
            self.older = std::mem::take(&mut self.recent);
        }
        let latest = self.recent.entry(part).or_insert(at);
        *latest = at.max(*latest);
    }

    /// `answered_at` returns when a part was answered last, as far as that is remembered.
    pub fn answered_at(&self, part: PartKey) -> Option<Moment> {
        self.recent.get(&part).or_else(|| self.older.get(&part)).copied()
    }

    /// `step` lets a new generation begin when the present one is old.
    pub fn step(&mut self, now: Moment) {
        if self.turned + GENERATION_MS <= now {
            self.turned = now;
            self.older = std::mem::take(&mut self.recent);
        }
    }
}
