//! Prefixes: which parts of prompts an engine likely keeps.
//!
//! Engines drop the least recently used parts when memory runs out, and tell late or never. The
//! table follows what was sent there and forgets in the same order.

use std::collections::VecDeque;

use bergamotpitch_core::HashMap;

use crate::traffic::facts::{PartId, PromptPart};

/// `KeptParts` is the guess of what one engine keeps.
#[derive(Debug, Default)]
pub struct KeptParts {
    parts: HashMap<PartId, Kept>,
    order: VecDeque<(PartId, u64)>,
    used_tokens: u64,
    clock: u64,
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u32,
    used: u64,
}

impl KeptParts {
    /// `kept_tokens` returns how many tokens at the start of a prompt need not be read again: a
    /// part counts only when all parts before it are kept too.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::facts::PromptPart;
    /// use bergamotpitch_control::traffic::prefixes::KeptParts;
    ///
    /// let mut kept = KeptParts::default();
    /// let (shared, own) = (PromptPart { id: 1, tokens: 500 }, PromptPart { id: 2, tokens: 70 });
    /// kept.note(&[shared, own], 10_000);
    /// assert_eq!(kept.kept_tokens(&[shared, PromptPart { id: 3, tokens: 90 }]), 500);
    /// ```
    pub fn kept_tokens(&self, prefix: &[PromptPart]) -> u64 {
        prefix
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id))
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    /// `note` takes in that a prompt is read, with room for `room_tokens` of parts.
    pub fn note(&mut self, prefix: &[PromptPart], room_tokens: u64) {
        for part in prefix {
            self.clock += 1;
            let kept = Kept { tokens: part.tokens, used: self.clock };
            if self.parts.insert(part.id, kept).is_none() {
                self.used_tokens += u64::from(part.tokens);
            }
            self.order.push_back((part.id, self.clock));
        }
        self.drop_oldest(room_tokens);
    }

    fn drop_oldest(&mut self, room_tokens: u64) {
        while room_tokens < self.used_tokens || 4 * self.parts.len() + 64 < self.order.len() {
            let Some((id, used)) = self.order.pop_front() else { return };
            let Some(kept) = self.parts.get(&id) else { continue };
            if kept.used != used {
                continue;
            }
            if self.used_tokens <= room_tokens {
                self.order.push_back((id, used));
                return;
            }
            self.used_tokens -= u64::from(kept.tokens);
            self.parts.remove(&id);
        }
    }
}
