//! Batches of the stand-in engine: slots, the time of a step, prompts and their cache.

use std::time::Duration;

use bergamotpitch_standin::batches::{
    Batch, BatchOptions, Sequence, begin_step, end_step, new_batch,
};
use bergamotpitch_standin::prefixes::{BLOCK_TOKENS, prompt_blocks};
use bergamotpitch_standin::records::Outcome;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

const STEP_US: u64 = 1_000;

fn batch(slots: u32, prefix_cache_tokens: u32) -> Batch {
    new_batch(BatchOptions {
        slots,
        step_us: STEP_US,
        step_us_per_sequence: 100,
        prompt_token_us: 10,
        prompt_tokens_per_step: 64,
        prefix_cache_tokens,
    })
}

/// Puts a sequence with a prompt of so many words into a batch.
fn submit(
    batch: &mut Batch,
    number: u64,
    word: &str,
    words: usize,
    end_token: u32,
) -> UnboundedReceiver<u32> {
    let prompt = format!("{word} ").repeat(words);
    let (tokens, received) = unbounded_channel();
    batch.waiting.push_back(Sequence {
        number,
        blocks: prompt_blocks(&prompt),
        prompt_tokens: words as u32,
        cached_tokens: 0,
        prompt_left_tokens: 0,
        resumed_after: 0,
        last_token: 0,
        end_token,
        arrived_us: 0,
        started_us: None,
        first_token_us: None,
        tokens,
    });
    received
}

fn us(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

#[test]
fn slots_and_step_time() {
    let mut batch = batch(2, 0);
    let _received: Vec<_> = (0..3).map(|number| submit(&mut batch, number, "w", 1, 2)).collect();
    // Two of three run; each adds its part, and one prompt token each is processed.
    assert_eq!(begin_step(&mut batch, 1), us(STEP_US + 2 * 100 + 2 * 10));
    assert_eq!((batch.running.len(), batch.waiting.len()), (2, 1));
    assert!(end_step(&mut batch, 2).is_empty());
    assert_eq!(begin_step(&mut batch, 3), us(STEP_US + 2 * 100));
    let ended = end_step(&mut batch, 4);
    assert_eq!(ended.len(), 2);
    assert!(ended.iter().all(|ended| ended.outcome == Outcome::Answered));
    assert_eq!(begin_step(&mut batch, 5), us(STEP_US + 100 + 10));
    assert_eq!((batch.running[0].number, batch.running[0].started_us), (2, Some(5)));
}

#[test]
fn prompt_over_many_steps() {
    let mut batch = batch(1, 0);
    let mut received = submit(&mut batch, 0, "w", 100, 1);
    assert_eq!(begin_step(&mut batch, 1), us(STEP_US + 100 + 64 * 10));
    assert!(end_step(&mut batch, 2).is_empty());
    assert!(received.try_recv().is_err(), "no token before the prompt is processed");
    assert_eq!(begin_step(&mut batch, 3), us(STEP_US + 100 + 36 * 10));
    assert_eq!(end_step(&mut batch, 4).len(), 1);
    assert_eq!(received.try_recv(), Ok(1));
}

#[test]
fn cached_prefix() {
    let mut batch = batch(1, 1_024);
    let _first = submit(&mut batch, 0, "w", 60, 1);
    begin_step(&mut batch, 1);
    end_step(&mut batch, 2);
    let _second = submit(&mut batch, 1, "w", 60, 1);
    // Three whole blocks of 16 are cached; the other 12 words are not.
    assert_eq!(begin_step(&mut batch, 3), us(STEP_US + 100 + 12 * 10));
    assert_eq!(batch.running[0].cached_tokens, 3 * BLOCK_TOKENS);
}

/// The cache holds two blocks and prompts of other teams push a block out. The engine must take the
/// time to process it again, or measured placement would look better than it is.
#[test]
fn limited_cache() {
    let mut batch = batch(1, 2 * BLOCK_TOKENS);
    for (number, word) in ["a", "b", "c", "b", "a"].into_iter().enumerate() {
        let _received = submit(&mut batch, number as u64, word, 16, 1);
        begin_step(&mut batch, 1);
        let cached = batch.running[0].cached_tokens;
        assert_eq!(cached, if number == 3 { BLOCK_TOKENS } else { 0 }, "{word} at {number}");
        end_step(&mut batch, 2);
    }
}

/// A caller leaves before its request got a slot. It must not take one later.
#[test]
fn cancelled_while_waiting() {
    let mut batch = batch(1, 0);
    let _first = submit(&mut batch, 0, "w", 1, 5);
    drop(submit(&mut batch, 1, "w", 1, 5));
    begin_step(&mut batch, 1);
    let ended = end_step(&mut batch, 2);
    assert_eq!((ended[0].sequence.number, ended[0].outcome), (1, Outcome::Cancelled));
    assert!(batch.waiting.is_empty());
}
