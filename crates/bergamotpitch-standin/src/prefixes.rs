//! Prefix caches: prompts in blocks, kept in limited memory.

use std::hash::Hasher;

use bergamotpitch_core::HashMap;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

/// Tokens in one block of a prompt.
pub const BLOCK_TOKENS: u32 = 16;

/// `BlockHash` identifies a block of a prompt together with everything before it.
pub type BlockHash = u64;

/// `PrefixCache` holds the blocks of recent prompts; the least recently used one goes first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// Blocks that fit.
    pub limit_blocks: usize,
    uses: HashMap<BlockHash, u64>,
    turn: u64,
}

/// `CacheChange` is one change of a prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was stored.
    Stored(BlockHash),
    /// The block was removed.
    Removed(BlockHash),
}

/// `prompt_blocks` returns the hashes of the whole blocks of a prompt.
///
/// ```
/// use bergamotpitch_standin::prefixes::prompt_blocks;
/// let short = "word ".repeat(20);
/// let long = "word ".repeat(40);
/// assert_eq!(prompt_blocks(&short)[0], prompt_blocks(&long)[0]);
/// assert_eq!(prompt_blocks(&long).len(), 2);
/// ```
pub fn prompt_blocks(prompt: &str) -> Vec<BlockHash> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hasher = FxHasher::default();
    let mut blocks = Vec::new();
    for block in words.chunks_exact(BLOCK_TOKENS as usize) {
        for word in block {
            hasher.write(word.as_bytes());
            hasher.write_u8(b' ');
        }
        blocks.push(hasher.finish());
    }
    blocks
}

/// `cached_blocks` counts the blocks at the start of a prompt that the cache holds, and marks them
/// as used.
pub fn cached_blocks(cache: &mut PrefixCache, blocks: &[BlockHash]) -> u32 {
    let held = blocks.iter().take_while(|block| cache.uses.contains_key(block)).count();
    touch(cache, &blocks[..held]);
    held as u32
}

/// `store_blocks` adds the blocks of a prompt and returns what changed.
pub fn store_blocks(cache: &mut PrefixCache, blocks: &[BlockHash]) -> Vec<CacheChange> {
    let new: Vec<BlockHash> =
        blocks.iter().copied().filter(|block| !cache.uses.contains_key(block)).collect();
    touch(cache, blocks);
    let mut changes: Vec<CacheChange> = new.into_iter().map(CacheChange::Stored).collect();
    while cache.limit_blocks < cache.uses.len() {
        let Some((oldest, _)) = cache.uses.iter().min_by_key(|(block, turn)| (**turn, **block))
        else {
            break;
        };
        let oldest = *oldest;
        cache.uses.remove(&oldest);
        changes.push(CacheChange::Removed(oldest));
    }
    changes
}

fn touch(cache: &mut PrefixCache, blocks: &[BlockHash]) {
    // Later blocks are of no use without earlier ones, so earlier ones count as used last.
    for block in blocks.iter().rev() {
        cache.turn += 1;
        cache.uses.insert(*block, cache.turn);
    }
}
