//! Checks of answers: whether an answer is whole, and that of the caller's own request.
//!
//! The stand-ins derive each answer from the body of the request, so that a caller can tell its
//! own answer from any other.

use serde_json::Value;

use crate::records::CallerOutcome;

/// `StreamCheck` reads a streamed answer and compares it with the one expected.
#[derive(Debug, Clone)]
pub struct StreamCheck {
    digest: String,
    expected_tokens: u32,
    seen_tokens: u32,
    is_foreign: bool,
    is_done: bool,
    unread: Vec<u8>,
}

impl StreamCheck {
    /// `of_prompt` prepares the check of the answer to a prompt.
    pub fn of_prompt(prompt: &str, expected_tokens: u32) -> Self {
        Self {
            digest: short_hash(prompt),
            expected_tokens,
            seen_tokens: 0,
            is_foreign: false,
            is_done: false,
            unread: Vec::new(),
        }
    }

    /// `take` reads a piece of the stream and returns the number of tokens that it completed.
    pub fn take(&mut self, data: &[u8]) -> usize {
        let before = self.seen_tokens;
        self.unread.extend_from_slice(data);
        while let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.unread.drain(..=end).collect();
            self.take_line(String::from_utf8_lossy(&line).trim_end());
        }
        (self.seen_tokens - before) as usize
    }

    /// `outcome` tells, at the end of the stream, what the caller got.
    pub fn outcome(&self) -> CallerOutcome {
        if self.is_foreign {
            return CallerOutcome::Foreign;
        }
        if self.is_done && self.seen_tokens == self.expected_tokens {
            return CallerOutcome::Answered;
        }
        CallerOutcome::CutUnseen
    }

    fn take_line(&mut self, line: &str) {
        let Some(data) = line.strip_prefix("data:").map(str::trim) else { return };
        if data == "[DONE]" {
            self.is_done = true;
            return;
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            self.is_foreign = true;
            return;
        };
        let Some(token) = chunk["choices"][0]["delta"]["content"].as_str() else { return };
        // Each token carries its position, so that a repeated or missing token is noticed too.
        self.seen_tokens += 1;
        if token.trim() != format!("w{}-{}", self.seen_tokens, self.digest) {
            self.is_foreign = true;
        }
    }
}

/// `is_own_call_answer` tells whether a plain service's answer belongs to a request body.
pub fn is_own_call_answer(body: &str, answer: &[u8]) -> bool {
    let Ok(answer) = serde_json::from_slice::<Value>(answer) else { return false };
    answer["run"]["body_hash"].as_str() == Some(short_hash(body).as_str())
}

/// `short_hash` returns the first eight hexadecimal digits of a text's BLAKE3 hash.
///
/// ```
/// assert_eq!(bergamotpitch_load::checks::short_hash("a prompt").len(), 8);
/// ```
pub fn short_hash(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex()[..8].to_owned()
}
