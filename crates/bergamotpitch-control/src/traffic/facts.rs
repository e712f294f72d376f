//! Facts: what a request says of itself, in the product's own words.

use std::time::Duration;

/// `PartId` names one part of a prompt; equal parts of two prompts have equal ids.
pub type PartId = u64;

/// `PromptPart` is one part of a prompt, in the order in which an engine reads them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Name of the part.
    pub id: PartId,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// `RequestFacts` are what a request's headers say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Id of this attempt of the caller, as text; an upstream's answer must echo it.
    pub attempt_id: String,
    /// How long the caller waits from now on; `None` when it does not say.
    pub time_budget: Option<Duration>,
    /// Length of the whole prompt, in tokens; 0 for a plain call.
    pub prompt_tokens: u64,
    /// Most tokens that may be generated; 0 for a plain call.
    pub output_tokens_max: u64,
    /// The caller's estimate of the tokens that will be generated.
    pub output_tokens_hint: Option<u64>,
    /// Parts of the prompt, the shared ones first.
    pub prefix: Vec<PromptPart>,
    /// Id of the last event that the caller holds of a broken stream.
    pub resume_after: Option<String>,
    /// Id of the attempt that brought the first event of that stream.
    pub resumed_attempt_id: Option<String>,
    /// Whether the caller set a condition for which a sound upstream may turn the request away.
    pub has_condition: bool,
}

impl RequestFacts {
    /// `is_generation` tells whether an engine reads a prompt for this request.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::facts::RequestFacts;
    ///
    /// assert!(!RequestFacts::default().is_generation());
    /// assert!(RequestFacts { prompt_tokens: 7, ..Default::default() }.is_generation());
    /// ```
    pub fn is_generation(&self) -> bool {
        0 < self.prompt_tokens
    }

    /// `takes_up_stream` tells whether the caller goes on with a stream that broke off.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::facts::RequestFacts;
    ///
    /// let resume_after = Some("12".to_owned());
    /// assert!(RequestFacts { resume_after, ..Default::default() }.takes_up_stream());
    /// assert!(!RequestFacts::default().takes_up_stream());
    /// ```
    pub fn takes_up_stream(&self) -> bool {
        self.resume_after.is_some() || self.resumed_attempt_id.is_some()
    }

    /// `first_attempt_id` returns the id of the attempt that began the stream: this one, unless the caller
    /// goes on with another one's.
    pub fn first_attempt_id(&self) -> &str {
        self.resumed_attempt_id.as_deref().unwrap_or(&self.attempt_id)
    }

    /// `output_tokens` returns how many tokens the answer is expected to have.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::facts::RequestFacts;
    ///
    /// let facts = RequestFacts {
    ///     output_tokens_max: 80,
    ///     output_tokens_hint: Some(300),
    ///     ..Default::default()
    /// };
    /// assert_eq!(facts.output_tokens(), 80);
    /// ```
    pub fn output_tokens(&self) -> u64 {
        match self.output_tokens_hint {
            Some(hint) => hint.min(self.output_tokens_max),
            // Without a hint, answers are on average about half of their bound.
            None => self.output_tokens_max / 2,
        }
    }

    /// `shared_tokens` returns the length of the prompt's start that other requests share: all parts
    /// but the last.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::facts::{PromptPart, RequestFacts};
    ///
    /// let prefix = vec![PromptPart { id: 1, tokens: 500 }, PromptPart { id: 2, tokens: 70 }];
    /// let facts = RequestFacts { prompt_tokens: 570, prefix, ..Default::default() };
    /// assert_eq!((facts.shared_tokens(), facts.unshared_tokens()), (500, 70));
    /// ```
    pub fn shared_tokens(&self) -> u64 {
        self.prefix.iter().rev().skip(1).map(|part| u64::from(part.tokens)).sum()
    }

    /// `shared_parts` visits the parts of the prompt that other requests may hold too: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let shared = self.prefix.len().saturating_sub(1);
        self.prefix[..shared].iter().map(|part| part.id)
    }

    /// `shared_prefix` names the start of the prompt that other requests share, by its last part.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::facts::{PromptPart, RequestFacts};
    ///
    /// let prefix = vec![PromptPart { id: 1, tokens: 500 }, PromptPart { id: 2, tokens: 70 }];
    /// let facts = RequestFacts { prompt_tokens: 570, prefix, ..Default::default() };
    /// assert_eq!(facts.shared_prefix(), Some(1));
    /// assert_eq!(RequestFacts::default().shared_prefix(), None);
    /// ```
    pub fn shared_prefix(&self) -> Option<PartId> {
        self.prefix.iter().rev().nth(1).map(|part| part.id)
    }

    /// `unshared_tokens` returns the length of what no other request shares.
    pub fn unshared_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }

    /// `pool_tokens` returns the cost of the request in tokens of the pool: a token that is read
    /// counts one, a generated one [`GENERATED_TOKEN_COST`].
    ///
    /// ```
    /// use bergamotpitch_control::traffic::facts::RequestFacts;
    ///
    /// let facts =
    ///     RequestFacts { prompt_tokens: 100, output_tokens_max: 40, ..Default::default() };
    /// assert_eq!(facts.pool_tokens(), 140);
    /// ```
    pub fn pool_tokens(&self) -> u64 {
        self.prompt_tokens + GENERATED_TOKEN_COST * self.output_tokens()
    }
}

/// `GENERATED_TOKEN_COST` is what a generated token takes of the pool, in tokens that are read;
/// operators state the pool's rate with this weight.
pub const GENERATED_TOKEN_COST: u64 = 2;
