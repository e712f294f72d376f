//! Answers of the stand-in engine: text that follows from the prompt, so that a caller can tell
//! that an answer is its own and whole.

use serde::{Deserialize, Serialize};

/// Tokens generated when a request states no limit.
pub const DEFAULT_ANSWER_TOKENS: u32 = 64;

/// `ChatRequest` is the part of a chat completion request that the stand-in engine reads.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChatRequest {
    /// Model that is asked for.
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// True when the answer is to be streamed.
    pub stream: bool,
    /// Most tokens to generate.
    pub max_tokens: Option<u32>,
    /// Facts beside the prompt.
    pub metadata: ChatMetadata,
}

/// `ChatMessage` is one message of a conversation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// `ChatMetadata` tells the stand-in engine what a model would have decided by itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChatMetadata {
    /// Tokens after which the answer ends of itself, in decimal digits; `max_tokens` still bounds
    /// it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer_tokens: Option<String>,
}

/// `prompt_of` joins the messages of a request.
pub fn prompt_of(request: &ChatRequest) -> String {
    let contents: Vec<&str> =
        request.messages.iter().map(|message| message.content.as_str()).collect();
    contents.join("\n")
}

/// `prompt_tokens` counts the words of a prompt; the stand-in engine takes a word for a token.
///
/// ```
/// assert_eq!(bergamotpitch_standin::answers::prompt_tokens("two words"), 2);
/// ```
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.split_whitespace().count().max(1) as u32
}

/// `answer_tokens` returns the number of tokens in the answer to a request.
pub fn answer_tokens(request: &ChatRequest) -> u32 {
    let limit = request.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    let natural = request.metadata.answer_tokens.as_ref().and_then(|text| text.parse().ok());
    natural.unwrap_or(limit).min(limit).max(1)
}

/// `short_hash` returns the first eight hexadecimal digits of the BLAKE3 hash of some bytes.
pub fn short_hash(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex()[..8].to_owned()
}

/// `token_text` returns one token of an answer; tokens count from 1.
///
/// ```
/// use bergamotpitch_standin::answers::{short_hash, token_text};
/// assert_eq!(token_text(&short_hash(b"a prompt"), 1), format!("w1-{} ", short_hash(b"a prompt")));
/// ```
pub fn token_text(prompt_hash: &str, index: u32) -> String {
    format!("w{index}-{prompt_hash} ")
}

/// `answer_text` returns the whole answer to a prompt, as a caller must receive it.
///
/// ```
/// use bergamotpitch_standin::answers::{answer_text, short_hash};
/// let hash = short_hash(b"a prompt");
/// assert_eq!(answer_text("a prompt", 2), format!("w1-{hash} w2-{hash} "));
/// ```
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    let hash = short_hash(prompt.as_bytes());
    (1..=tokens).map(|index| token_text(&hash, index)).collect()
}
