//! Claim options: the constants of claims, and the guards that a proof switches off.

use std::time::Duration;

/// `ClaimOptions` are the constants of the claim queues.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Shards; the same number at every router, for as long as claims live.
    pub shard_count: u32,
    /// Time for which a claim holds.
    pub lifetime: Duration,
    /// Most that two wall clocks may differ.
    pub max_clock_skew: Duration,
    /// Record of a shard, in bytes, above which settled claims move into a segment.
    pub segment_bytes: usize,
    /// Largest record of a shard, in bytes; a fuller shard takes no new claims.
    pub shard_limit_bytes: usize,
    /// Largest outcome that is kept whole, in bytes; of a larger one the body is left out.
    pub outcome_limit_bytes: usize,
    /// Operations that may wait at this router.
    pub queue_limit_operations: usize,
    /// Shards that may be read or written at one time.
    pub calls_in_flight_limit: usize,
    /// Time between two commits to one shard by this router.
    pub commit_interval: Duration,
    /// Time that an outcome waits for a round that begins for another reason.
    pub outcome_delay: Duration,
    /// Time after which a wish to claim is given up.
    pub claim_timeout: Duration,
    /// Pause after a failed call; it doubles up to `max_backoff`.
    pub initial_backoff: Duration,
    /// Longest pause between two calls for one shard.
    pub max_backoff: Duration,
    /// Seed of the jitter.
    pub seed: u64,
    /// Guards that a test may switch off to show what they are for.
    pub guards: ClaimGuards,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            shard_count: 32,
            lifetime: Duration::from_secs(24 * 3600),
            max_clock_skew: Duration::from_secs(600),
            segment_bytes: 16_000,
            shard_limit_bytes: 900_000,
            outcome_limit_bytes: 2_048,
            queue_limit_operations: 10_000,
            calls_in_flight_limit: 16,
            commit_interval: Duration::from_millis(20),
            outcome_delay: Duration::from_millis(250),
            claim_timeout: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_secs(1),
            seed: 1,
            guards: ClaimGuards::default(),
        }
    }
}

/// `ClaimGuards` are the rules that a proof switches off one by one; all are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimGuards {
    /// A write whose answer was lost is read back before anybody is told what it did.
    pub reads_back: bool,
    /// A key is said to be taken only by a read that began after the wish came.
    pub reads_after_request: bool,
    /// A claim that was given up while in doubt is released once it is seen.
    pub releases_abandoned: bool,
    /// Keys are also looked for in the segments of a shard.
    pub searches_segments: bool,
    /// A segment is dropped only once no record can refer to it any more.
    pub keeps_unconfirmed_segments: bool,
    /// A release is settled only once no copy of the doubtful write can take effect any more.
    pub fences_unconfirmed: bool,
}

impl Default for ClaimGuards {
    fn default() -> Self {
        Self {
            reads_back: true,
            reads_after_request: true,
            releases_abandoned: true,
            searches_segments: true,
            keeps_unconfirmed_segments: true,
            fences_unconfirmed: true,
        }
    }
}
