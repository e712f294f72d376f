//! Starts: at which engines the shared starts of prompts were read lately, over the whole fleet.
//!
//! Load pattern: requests on one subject reach many instances, and the engine that read its start is
//! full half of the time. An instance that knew only its own requests would send the next one to an
//! engine that has to read the start again, and a good part of what engines read under the worst load
//! would be such repeats. Instances therefore tell each other which engine read which start, and an
//! engine that lacks it fetches it from one that has it.

use std::collections::VecDeque;
use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_core::units::Timestamp;

use crate::traffic::facts::PartId;

/// `KEEP_TIME` is how long a start that is not used again is taken to be kept by a fully loaded engine,
/// whose memory fills with what it reads.
const KEEP_TIME: Duration = Duration::from_secs(12);

/// `TELL_TIME` is for how long peers are told of a start: in a fleet of a hundred instances a peer's
/// turn comes every 3 s.
const TELL_TIME: Duration = Duration::from_secs(3);

/// `TELL_AGAIN_TIME` is the time after which dispatchers tell each other again of a start that is still
/// used. Until then a start that was told is known, unless the message was lost.
const TELL_AGAIN_TIME: Duration = Duration::from_secs(3);

/// `TOLD_TOKENS_MIN` is the length of the shortest starts that are worth telling another domain:
/// shorter ones are read sooner than they are fetched.
const TOLD_TOKENS_MIN: u32 = 128;

/// `HOLDERS_MAX` is how many engines are remembered for one start, the latest used first.
const HOLDERS_MAX: usize = 4;

/// `STARTS_MAX` bounds the table to some megabytes.
const STARTS_MAX: usize = 16_384;

/// `SWEEP_INTERVAL` is the time between two looks for starts that are kept no more.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// `StartNote` tells that an engine was sent a prompt with a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartNote {
    /// The last shared part of the prompt; the parts before it belong to it.
    pub start: PartId,
    /// Length of the start, in tokens.
    pub tokens: u32,
    /// The engine, by the number of its life.
    pub upstream: UpstreamId,
    /// When it was last used there.
    pub used: Timestamp,
}

/// `Starts` is the table of all starts.
#[derive(Debug, Default)]
pub struct Starts {
    holders: HashMap<PartId, Vec<(UpstreamId, Timestamp)>>,
    own: VecDeque<StartNote>,
    told: HashMap<PartId, Timestamp>,
    untold: HashMap<PartId, StartNote>,
    next_sweep: Timestamp,
}

impl Starts {
    /// `sent` takes in a request that this instance sent.
    pub fn sent(&mut self, note: StartNote) {
        self.heard(note);
        self.own.push_back(note);
        let is_told =
            self.told.get(&note.start).is_some_and(|told| note.used < *told + TELL_AGAIN_TIME);
        if !is_told && TOLD_TOKENS_MIN <= note.tokens {
            self.untold.insert(note.start, note);
        }
    }

    /// `heard` takes in that a start was used at an engine.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::starts::{StartNote, Starts};
    ///
    /// let mut starts = Starts::default();
    /// let used = Duration::from_secs(1);
    /// starts.heard(StartNote { start: 7, tokens: 500, upstream: 1, used });
    /// starts.heard(StartNote { start: 7, tokens: 500, upstream: 2, used: 2 * used });
    /// assert_eq!(starts.holders(7, 3 * used).collect::<Vec<_>>(), [2, 1]);
    /// assert_eq!(starts.holders(7, 60 * used).count(), 0);
    /// ```
    pub fn heard(&mut self, note: StartNote) {
        if STARTS_MAX <= self.holders.len() && !self.holders.contains_key(&note.start) {
            return;
        }
        let holders = self.holders.entry(note.start).or_default();
        let known = holders.iter().position(|(upstream, _)| *upstream == note.upstream);
        let used = match known {
            Some(place) => holders.remove(place).1.max(note.used),
            None => note.used,
        };
        let place = holders.iter().position(|(_, other)| *other < used).unwrap_or(holders.len());
        holders.insert(place, (note.upstream, used));
        holders.truncate(HOLDERS_MAX);
    }

    /// `holders` returns the engines that are taken to keep a start, the latest used first.
    pub fn holders(&self, start: PartId, now: Timestamp) -> impl Iterator<Item = UpstreamId> {
        let holders = self.holders.get(&start).into_iter().flatten();
        holders.filter(move |(_, used)| now < *used + KEEP_TIME).map(|(upstream, _)| *upstream)
    }

    /// `own_notes` returns what peers are told: the latest use of each start at each engine.
    pub fn own_notes(&mut self, now: Timestamp) -> Vec<StartNote> {
        while self.own.front().is_some_and(|note| note.used + TELL_TIME <= now) {
            self.own.pop_front();
        }
        let mut latest: HashMap<(PartId, UpstreamId), StartNote> = HashMap::default();
        for note in &self.own {
            latest.insert((note.start, note.upstream), *note);
        }
        latest.into_values().collect()
    }

    /// `take_untold` returns what other dispatchers are to be told now: starts of which they were not
    /// told lately.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::starts::{StartNote, Starts};
    ///
    /// let mut starts = Starts::default();
    /// let now = Duration::from_secs(1);
    /// let note = StartNote { start: 7, tokens: 500, upstream: 1, used: now };
    /// starts.sent(note);
    /// assert_eq!(starts.take_untold(now), [note]);
    /// starts.sent(note);
    /// assert_eq!(starts.take_untold(now), []);
    /// ```
    pub fn take_untold(&mut self, now: Timestamp) -> Vec<StartNote> {
        let untold: Vec<StartNote> = std::mem::take(&mut self.untold).into_values().collect();
        self.told.extend(untold.iter().map(|note| (note.start, now)));
        untold
    }

    /// `step` forgets starts that are kept no more.
    pub fn step(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.holders.retain(|_, holders| {
            holders.retain(|(_, used)| now < *used + KEEP_TIME);
            !holders.is_empty()
        });
        self.told.retain(|_, told| now < *told + TELL_AGAIN_TIME);
    }
}
