//! Usages: what engines' requests and answers say of tokens.

use bergamotpitch_core::sheets::{ServiceEntry, ServiceKind};
use bergamotpitch_core::units::CostUnits;
use serde::Deserialize;

/// Bytes of a prompt that one token stands for, on average, in Latin scripts.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of the first message that count as the prompt's prefix.
const PREFIX_BYTES: usize = 1_024;

/// Data of the last event of a stream.
pub const DONE: &str = "[DONE]";

/// `ChatRequest` is the part of an engine's request that is read.
#[derive(Debug, Default, Deserialize)]
pub struct ChatRequest {
    /// True when the answer is asked for as a stream of events.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    messages: Vec<ChatMessage>,
}

#[derive(Debug, Default, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: serde_json::Value,
}

impl ChatRequest {
    /// `prefix` hashes the beginning of the first message; 0 when there is none.
    pub fn prefix(&self) -> u64 {
        let Some(message) = self.messages.first() else { return 0 };
        let text = match &message.content {
            serde_json::Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        let bytes = &text.as_bytes()[..text.len().min(PREFIX_BYTES)];
        let hash = blake3::hash(bytes);
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        // Zero stands for no prefix.
        u64::from_le_bytes(first).max(1)
    }
}

/// `prompt_tokens_of_bytes` estimates the tokens of a prompt.
pub fn prompt_tokens_of_bytes(bytes: usize) -> u64 {
    (bytes / BYTES_PER_TOKEN) as u64
}

/// `Usage` is what an engine says of the tokens of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u64,
}

#[derive(Deserialize)]
struct Answer {
    #[serde(default)]
    usage: Option<Usage>,
}

/// `usage_of_json` reads the usage from an answer or an event; none when it has none.
///
/// ```
/// use bergamotpitch_router::usages::usage_of_json;
/// let event = br#"{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":5}}"#;
/// assert_eq!(usage_of_json(event).unwrap().completion_tokens, 5);
/// assert!(usage_of_json(br#"{"usage":null}"#).is_none());
/// ```
pub fn usage_of_json(json: &[u8]) -> Option<Usage> {
    let answer: Answer = serde_json::from_slice(json).ok()?;
    answer.usage
}

/// `cost_of_usage` weighs the tokens of one answer.
pub fn cost_of_usage(service: &ServiceEntry, usage: Usage) -> CostUnits {
    usage.prompt_tokens * service.prompt_token_cost
        + usage.completion_tokens * service.generated_token_cost
}

/// `Tally` counts the cost of an answer while it streams.
#[derive(Debug, Clone)]
pub struct Tally {
    prompt_cost: CostUnits,
    token_cost: CostUnits,
    counted_tokens: u64,
    usage_cost: Option<CostUnits>,
    /// True once the last event of the stream was seen.
    pub is_done: bool,
}

impl Tally {
    /// `of_prompt` begins with the cost that the prompt is thought to have.
    pub fn of_prompt(service: &ServiceEntry, prompt_cost: CostUnits) -> Self {
        Self {
            prompt_cost,
            token_cost: service.generated_token_cost,
            counted_tokens: 0,
            usage_cost: None,
            is_done: false,
        }
    }

    /// `count` takes in the data of one event.
    pub fn count(&mut self, service: &ServiceEntry, data: &str) {
        if data == DONE {
            self.is_done = true;
            return;
        }
        self.counted_tokens += 1;
        if !data.contains("\"usage\"") {
            return;
        }
        if let Some(usage) = usage_of_json(data.as_bytes()) {
            self.usage_cost = Some(cost_of_usage(service, usage));
        }
    }

    /// `counted_tokens` is how many events with tokens were seen.
    pub fn counted_tokens(&self) -> u64 {
        self.counted_tokens
    }

    /// `cost` is the cost so far: as the engine says, or else as counted.
    pub fn cost(&self) -> CostUnits {
        let counted = self.prompt_cost + self.counted_tokens * self.token_cost;
        self.usage_cost.unwrap_or(counted)
    }
}

/// `cost_of_answer` is the cost of an answer that came in one piece.
pub fn cost_of_answer(service: &ServiceEntry, is_success: bool, body: &[u8]) -> CostUnits {
    match service.kind {
        ServiceKind::Plain => service.call_cost,
        ServiceKind::Engine if !is_success => 0,
        ServiceKind::Engine => {
            usage_of_json(body).map_or(service.call_cost, |usage| cost_of_usage(service, usage))
        }
    }
}
