//! Engine speeds: how fast the engines of a service read prompts, learned from their first events.
//!
//! Load pattern: another customer runs another model on other accelerators. Where the speed is
//! assumed and the engines are three times slower, each of them looks nearly empty; requests are
//! sent on that begin after their target, and the longest prompts wait behind them. The line that
//! is learned here holds for the whole service; how far one engine is off it is learned apart, by
//! its [`UpstreamLoad`](crate::traffic::engine_loads::UpstreamLoad).

/// `FIRST_FIXED_MS` is the fixed time that is assumed before any event was seen.
const FIRST_FIXED_MS: f64 = 20.0;

/// `FIRST_TOKEN_MS` is the time of a token that is assumed before any event was seen: that of a
/// model of 70 billion parameters on a few accelerators.
const FIRST_TOKEN_MS: f64 = 0.02;

/// `ASSUMED_PROMPTS` are the lengths of the prompts, in tokens, with which the assumed line is
/// entered; a handful of seen events outweighs them.
const ASSUMED_PROMPTS: [f64; 6] = [200.0, 200.0, 1_000.0, 1_000.0, 5_000.0, 5_000.0];

/// `DECAY` is what an event counts after each later one: the line follows the last hundred.
const DECAY: f64 = 0.99;

/// `EXCESS_FACTOR` bounds a time by a multiple of the expected one. Where more waited ahead than was
/// known, the time says little on how fast the engine reads, and it can be many times as long.
const EXCESS_FACTOR: f64 = 1.2;

/// `LEAST_EXPECTED_MS` bounds the weight of the shortest prompts, whose times are mostly chance.
const LEAST_EXPECTED_MS: f64 = 10.0;

/// `SPREAD_MIN` is how much the lengths of the prompts must differ, as a part of what they could, for
/// the time of a token to be told from the fixed one.
const SPREAD_MIN: f64 = 1e-3;

/// `TOKEN_MS_MIN` keeps the time of a token above 0, whatever was seen.
const TOKEN_MS_MIN: f64 = 1e-4;

/// `EngineSpeed` is a line through the times of first events over the prompt tokens read before
/// them: least squares of relative errors, in which older events count less.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// Time of a first event besides reading the prompt: the step that runs, set-up, one step of
    /// its own.
    pub fixed_ms: f64,
    /// Time that reading one token takes, together with the decoding steps in between.
    pub token_ms: f64,
    sums: Sums,
}

/// `Sums` are the weighted sums of a line's normal equations.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Sums {
    weight: f64,
    tokens: f64,
    squared_tokens: f64,
    times_ms: f64,
    products: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        let mut speed =
            Self { fixed_ms: FIRST_FIXED_MS, token_ms: FIRST_TOKEN_MS, sums: Sums::default() };
        for tokens in ASSUMED_PROMPTS {
            speed.enter(tokens, speed.time_ms(tokens));
        }
        speed
    }
}

impl EngineSpeed {
    /// `time_ms` returns the time until the first event of a request before which so many tokens
    /// are read, its own among them.
    pub fn time_ms(&self, tokens: f64) -> f64 {
        self.fixed_ms + self.reading_ms(tokens)
    }

    /// `reading_ms` returns the time that reading so many tokens takes.
    pub fn reading_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms
    }

    /// `note` takes in the time after which a first event came.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::engine_speeds::EngineSpeed;
    ///
    /// let mut speed = EngineSpeed::default();
    /// for round in 0..300 {
    ///     let tokens = f64::from(round % 20) * 500.0;
    ///     speed.note(tokens, 60.0 + 0.04 * tokens);
    /// }
    /// assert!((speed.time_ms(5_000.0) - 260.0).abs() < 10.0);
    /// ```
    pub fn note(&mut self, tokens: f64, seen_ms: f64) {
        self.enter(tokens, seen_ms.min(EXCESS_FACTOR * self.time_ms(tokens)));
        self.fit();
    }

    fn enter(&mut self, tokens: f64, time_ms: f64) {
        let expected_ms = self.time_ms(tokens).max(LEAST_EXPECTED_MS);
        let weight = 1.0 / (expected_ms * expected_ms);
        let sums = &mut self.sums;
        sums.weight = sums.weight * DECAY + weight;
        sums.tokens = sums.tokens * DECAY + weight * tokens;
        sums.squared_tokens = sums.squared_tokens * DECAY + weight * tokens * tokens;
        sums.times_ms = sums.times_ms * DECAY + weight * time_ms;
        sums.products = sums.products * DECAY + weight * tokens * time_ms;
    }

    fn fit(&mut self) {
        let Sums { weight, tokens, squared_tokens, times_ms, products } = self.sums;
        let spread = weight * squared_tokens - tokens * tokens;
        if SPREAD_MIN * weight * squared_tokens < spread {
            self.token_ms = ((weight * products - tokens * times_ms) / spread).max(TOKEN_MS_MIN);
        }
        self.fixed_ms = ((times_ms - self.token_ms * tokens) / weight).max(0.0);
    }
}
