//! Batches: the sequences that an engine runs together, one token each a step.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::UnboundedSender;

use crate::prefixes::{
    BLOCK_TOKENS, BlockHash, CacheChange, PrefixCache, cached_blocks, store_blocks,
};
use crate::records::Outcome;

/// `BatchOptions` are the speeds and sizes of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BatchOptions {
    /// Sequences that run at once.
    pub slots: u32,
    /// Time of a step with an empty batch, in microseconds.
    pub step_us: u64,
    /// Time that each running sequence adds to a step, in microseconds.
    pub step_us_per_sequence: u64,
    /// Time to process one prompt token that is not cached, in microseconds.
    pub prompt_token_us: u64,
    /// Prompt tokens processed in one step at most.
    pub prompt_tokens_per_step: u32,
    /// Prompt tokens that the prefix cache holds.
    pub prefix_cache_tokens: u32,
}

impl Default for BatchOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            step_us: 8_000,
            step_us_per_sequence: 400,
            prompt_token_us: 20,
            prompt_tokens_per_step: 512,
            prefix_cache_tokens: 16_384,
        }
    }
}

/// `Batch` is what an engine runs and what waits inside it.
#[derive(Debug, Default)]
pub struct Batch {
    /// Speeds and sizes.
    pub options: BatchOptions,
    /// Sequences that wait for a slot, oldest first.
    pub waiting: VecDeque<Sequence>,
    /// Sequences that hold a slot.
    pub running: Vec<Sequence>,
    /// Prompts whose computation need not be repeated.
    pub cache: PrefixCache,
    /// Changes of the cache that were not published yet.
    pub cache_changes: Vec<CacheChange>,
}

/// `Sequence` is one request inside an engine.
#[derive(Debug)]
pub struct Sequence {
    /// Number that the engine gave it.
    pub number: u64,
    /// Blocks of its prompt.
    pub blocks: Vec<BlockHash>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the cache held when it got its slot.
    pub cached_tokens: u32,
    /// Prompt tokens that are still to be processed.
    pub prompt_left_tokens: u32,
    /// Number of the last token that was sent before this run began; 0 unless it is a resumption.
    pub resumed_after: u32,
    /// Number of the last token made.
    pub last_token: u32,
    /// Number of the token with which the answer ends.
    pub end_token: u32,
    /// When it came, in microseconds.
    pub arrived_us: u64,
    /// When it got its slot, in microseconds.
    pub started_us: Option<u64>,
    /// When its first token was made, in microseconds.
    pub first_token_us: Option<u64>,
    /// Where its tokens go; it is closed when the caller has left.
    pub tokens: UnboundedSender<u32>,
}

/// `Ended` is a sequence that left the batch.
#[derive(Debug)]
pub struct Ended {
    /// The sequence.
    pub sequence: Sequence,
    /// How it ended.
    pub outcome: Outcome,
}

/// `new_batch` makes an empty batch.
pub fn new_batch(options: BatchOptions) -> Batch {
    let limit_blocks = (options.prefix_cache_tokens / BLOCK_TOKENS) as usize;
    let mut batch = Batch { options, ..Batch::default() };
    batch.cache.limit_blocks = limit_blocks;
    batch
}

/// `begin_step` admits waiting sequences, processes prompts and returns how long the step takes.
///
/// ```
/// use std::time::Duration;
/// use bergamotpitch_standin::batches::{BatchOptions, begin_step, new_batch};
/// let mut batch = new_batch(BatchOptions::default());
/// assert_eq!(begin_step(&mut batch, 0), Duration::ZERO);
/// ```
pub fn begin_step(batch: &mut Batch, now_us: u64) -> Duration {
    admit(batch, now_us);
    if batch.running.is_empty() {
        return Duration::ZERO;
    }
    let prompt_tokens = process_prompts(batch);
    let options = &batch.options;
    let step_us = options.step_us
        + options.step_us_per_sequence * batch.running.len() as u64
        + options.prompt_token_us * u64::from(prompt_tokens);
    Duration::from_micros(step_us)
}

/// `end_step` makes one token for each sequence whose prompt is processed, and takes out those that
/// ended or whose caller left.
pub fn end_step(batch: &mut Batch, now_us: u64) -> Vec<Ended> {
    for sequence in &mut batch.running {
        if sequence.prompt_left_tokens == 0 && sequence.last_token < sequence.end_token {
            sequence.last_token += 1;
            sequence.first_token_us.get_or_insert(now_us);
            // A closed channel is noticed below, where the slot is freed.
            let _ = sequence.tokens.send(sequence.last_token);
        }
    }
    let mut ended = take_cancelled(&mut batch.waiting);
    let running = std::mem::take(&mut batch.running);
    for sequence in running {
        if sequence.end_token <= sequence.last_token {
            ended.push(Ended { sequence, outcome: Outcome::Answered });
        } else if sequence.tokens.is_closed() {
            ended.push(Ended { sequence, outcome: Outcome::Cancelled });
        } else {
            batch.running.push(sequence);
        }
    }
    ended
}

fn admit(batch: &mut Batch, now_us: u64) {
    while batch.running.len() < batch.options.slots as usize {
        let Some(mut sequence) = batch.waiting.pop_front() else { return };
        let cached_tokens = cached_blocks(&mut batch.cache, &sequence.blocks) * BLOCK_TOKENS;
        sequence.cached_tokens = cached_tokens;
        // A resumption computes the tokens that were sent already as if they were prompt.
        sequence.prompt_left_tokens =
            sequence.prompt_tokens.saturating_sub(cached_tokens) + sequence.resumed_after;
        sequence.started_us = Some(now_us);
        batch.running.push(sequence);
    }
}

fn process_prompts(batch: &mut Batch) -> u32 {
    let mut budget = batch.options.prompt_tokens_per_step;
    let mut processed = 0;
    for sequence in &mut batch.running {
        if sequence.prompt_left_tokens == 0 {
            continue;
        }
        let part = sequence.prompt_left_tokens.min(budget);
        sequence.prompt_left_tokens -= part;
        budget -= part;
        processed += part;
        if sequence.prompt_left_tokens == 0 {
            batch.cache_changes.extend(store_blocks(&mut batch.cache, &sequence.blocks));
        }
    }
    processed
}

fn take_cancelled(waiting: &mut VecDeque<Sequence>) -> Vec<Ended> {
    let (gone, stay): (VecDeque<Sequence>, VecDeque<Sequence>) =
        std::mem::take(waiting).into_iter().partition(|sequence| sequence.tokens.is_closed());
    *waiting = stay;
    gone.into_iter().map(|sequence| Ended { sequence, outcome: Outcome::Cancelled }).collect()
}
