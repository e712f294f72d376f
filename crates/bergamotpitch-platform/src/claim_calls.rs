//! Claim calls: the records of shards and their segments, read and written.

use bergamotpitch_control::idempotency::claim_queues::{
    ReadResult, SegmentReadResult, WriteResult,
};
use bergamotpitch_control::idempotency::claim_segments::{Segment, SegmentName};
use bergamotpitch_control::idempotency::claims::{ShardId, ShardRecord};
use bytes::Bytes;
use serde::Serialize;

use crate::clients::Platform;
use crate::errors::{Error, Result, malformed_error};

/// Prefix of the keys that hold the shards.
pub const CLAIMS_PREFIX: &str = "bergamotpitch/claims/";

/// `read_shard` reads the record of a shard.
pub(crate) async fn read_shard(platform: &Platform, shard: ShardId) -> ReadResult {
    match try_read_shard(platform, shard).await {
        Ok((record, index)) => ReadResult::Read { record, index },
        Err(Error::RateLimited) => ReadResult::RateLimited,
        Err(error) => {
            log::debug!("claims of shard {shard} cannot be read: {error}");
            ReadResult::Failed
        }
    }
}

async fn try_read_shard(platform: &Platform, shard: ShardId) -> Result<(ShardRecord, u64)> {
    let key = shard_key(shard);
    let Some(entry) = platform.get(&key).await? else {
        return Ok((ShardRecord::default(), 0));
    };
    let record = postcard::from_bytes(&entry.value)
        .map_err(|error| malformed_error(&key, error.to_string()))?;
    Ok((record, entry.modify_index))
}

/// `read_segment` reads a segment of a shard.
pub(crate) async fn read_segment(
    platform: &Platform,
    shard: ShardId,
    name: SegmentName,
) -> SegmentReadResult {
    let key = segment_key(shard, name);
    let entry = match platform.get(&key).await {
        Ok(entry) => entry,
        Err(error) => {
            log::debug!("the segment {key} cannot be read: {error}");
            None
        }
    };
    let segment = entry.and_then(|entry| postcard::from_bytes::<Segment>(&entry.value).ok());
    segment.map_or(SegmentReadResult::Failed, SegmentReadResult::Read)
}

/// `write_value` writes a record or a segment by compare-and-swap.
pub(crate) async fn write_value<T: Serialize>(
    platform: &Platform,
    key: &str,
    value: &T,
    base_index: u64,
) -> WriteResult {
    let Ok(value) = postcard::to_stdvec(value) else { return WriteResult::NoEffect };
    let error = match platform.put_cas(key, Bytes::from(value), base_index).await {
        Ok(()) => return WriteResult::Written,
        Err(error) => error,
    };
    log::debug!("{key} was not surely written: {error}");
    match error {
        Error::Conflict { .. } => WriteResult::Conflict,
        Error::RateLimited => WriteResult::RateLimited,
        Error::Unreachable { .. } | Error::TooLarge { .. } => WriteResult::NoEffect,
        Error::LostAnswer { .. } | Error::Malformed { .. } | Error::Sheet(_) => {
            WriteResult::Unconfirmed
        }
    }
}

/// `segment_key` is the key of a segment.
pub(crate) fn segment_key(shard: ShardId, name: SegmentName) -> String {
    format!("{CLAIMS_PREFIX}{shard}/{name:032x}")
}

/// `shard_key` is the key of a shard's record.
pub(crate) fn shard_key(shard: ShardId) -> String {
    format!("{CLAIMS_PREFIX}{shard}")
}
