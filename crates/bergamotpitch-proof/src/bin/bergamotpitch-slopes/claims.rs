//! Claims: calls and bytes to the key-value service against the rate of idempotency keys.

use std::collections::BTreeMap;
use std::time::Duration;

use bergamotpitch_control::idempotency::claim_queues::{
    self, ClaimEffect, ClaimOptions, ClaimQueues, ClaimRequest, ReadResult, SegmentReadResult,
    WriteResult,
};
use bergamotpitch_control::idempotency::claim_segments::{Segment, SegmentName};
use bergamotpitch_control::idempotency::claims::{
    Claim, ClaimDecision, ClaimKey, Outcome, ShardId, ShardRecord, claim_key, claim_size_bytes,
};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::units::Timestamp;
use bergamotpitch_proof::randoms::{self, Random};
use bergamotpitch_proof::slopes::{Point, Slope, repeated, slope_of};

/// Routers of the fleet.
const ROUTERS: usize = 790;

/// Time from a call to its effect, and from its effect to the answer.
const WAY: Duration = Duration::from_millis(2);

/// Time that a claimed request runs.
const RUN_TIME: Duration = Duration::from_millis(30);

const LENGTH: Duration = Duration::from_secs(6);

/// Wall-clock time of the run, in seconds.
const NOW_S: u64 = 1_790_000_000;

enum Due {
    Wish,
    Read(usize, ShardId),
    ReadBack(usize, ShardId, ShardRecord, u64),
    Write(usize, ShardId, ShardRecord, u64),
    WriteBack(usize, ShardId, WriteResult),
    SegmentReadBack(usize, ShardId, SegmentName),
    SegmentWriteBack(usize, ShardId),
    Outcome(usize, ClaimKey, u128),
    Round(usize),
}

struct Wished {
    key: ClaimKey,
    nonce: u128,
    at: Timestamp,
}

#[derive(Default)]
struct Counts {
    reads: usize,
    writes: usize,
    conflicts: usize,
    bytes: usize,
    won: usize,
    lost: usize,
    waits_ms: Vec<f64>,
}

struct Run {
    queues: Vec<ClaimQueues>,
    shards: HashMap<ShardId, (ShardRecord, u64)>,
    segments: HashMap<SegmentName, Segment>,
    wished: HashMap<u64, Wished>,
    due: BTreeMap<(Timestamp, u64), Due>,
    number: u64,
    now: Timestamp,
    random: Random,
    counts: Counts,
}

/// `measure` measures key rates of the whole fleet, and bytes against claims that are held.
pub fn measure() -> Vec<Slope> {
    let rates = [50, 100, 200, 400];
    let mut columns: Vec<Vec<Point>> = vec![Vec::new(); 4];
    for rate in rates {
        let counts = run(rate, 0);
        let row = [
            counts.reads as f64 / LENGTH.as_secs_f64(),
            counts.writes as f64 / LENGTH.as_secs_f64(),
            percentile(&counts.waits_ms, 99),
            100.0 * counts.lost as f64 / (counts.won + counts.lost).max(1) as f64,
        ];
        tell("keys a second", rate, &counts);
        for (column, value) in columns.iter_mut().zip(row) {
            column.push(repeated(rate as f64, vec![value]));
        }
    }
    let fixed = format!("{ROUTERS} routers, 64 shards, calls of 4 ms, empty shards at first");
    let names = [
        ("claim_reads_per_s", "reads/s"),
        ("claim_writes_per_s", "writes/s"),
        ("claim_wait_p99_ms", "ms"),
        ("claim_unavailable_percent", "%"),
    ];
    let mut slopes: Vec<Slope> = names
        .into_iter()
        .zip(columns)
        .map(|((name, unit), points)| slope_of(name, "keys/s", unit, fixed.clone(), points))
        .collect();
    let held = [0, 250, 500, 1_000];
    let bytes = held.map(|held| {
        let counts = run(50, held);
        tell("claims held by a shard", held, &counts);
        let per_key = counts.bytes as f64 / (counts.won + counts.lost).max(1) as f64;
        repeated(held as f64, vec![per_key])
    });
    let fixed = "50 keys/s; bytes of the values read and written for one key, with its outcome";
    slopes.push(slope_of("claim_bytes_per_key", "claims/shard", "bytes", fixed, bytes.to_vec()));
    slopes
}

fn tell(variable: &str, size: usize, counts: &Counts) {
    let seconds = LENGTH.as_secs_f64();
    eprintln!(
        "{variable} {size}: {:.0} reads/s, {:.0} writes/s of which {:.0} conflicts, wait 50% {:.1} \
         99% {:.1} ms, {} won, {} unavailable, {:.0} kB/s",
        counts.reads as f64 / seconds,
        counts.writes as f64 / seconds,
        counts.conflicts as f64 / seconds,
        percentile(&counts.waits_ms, 50),
        percentile(&counts.waits_ms, 99),
        counts.won,
        counts.lost,
        counts.bytes as f64 / seconds / 1e3,
    );
}

fn percentile(values: &[f64], percent: usize) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() * percent / 100).copied().unwrap_or(0.0)
}

fn run(rate: usize, held: usize) -> Counts {
    let options = ClaimOptions::default();
    let mut run = Run {
        queues: (0..ROUTERS)
            .map(|router| ClaimQueues::new(ClaimOptions { seed: router as u64, ..options.clone() }))
            .collect(),
        shards: (0..options.shard_count).map(|shard| (shard, (filled(shard, held), 1))).collect(),
        segments: HashMap::default(),
        wished: HashMap::default(),
        due: BTreeMap::new(),
        number: 0,
        now: Duration::ZERO,
        random: randoms::seeded(11),
        counts: Counts::default(),
    };
    let mut at = Duration::ZERO;
    while at < LENGTH {
        at += Duration::from_secs_f64(randoms::exponential(&mut run.random, 1.0 / rate as f64));
        post(&mut run, at, Due::Wish);
    }
    while let Some(((at, _), due)) = run.due.pop_first() {
        if LENGTH < at {
            break;
        }
        run.now = at;
        happen(&mut run, due);
    }
    run.counts
}

fn filled(shard: ShardId, held: usize) -> ShardRecord {
    let claims = (0..held)
        .map(|number| Claim {
            key: claim_key("held", &shard.to_string(), &number.to_string()),
            fingerprint: claim_key("print", "", &number.to_string()),
            nonce: u128::MAX - number as u128,
            expires_s: NOW_S + 3_600,
            outcome: Some(outcome()),
        })
        .collect();
    ShardRecord { revision: 1, claims, segments: Vec::new() }
}

fn outcome() -> Outcome {
    Outcome { status: 201, headers: Vec::new(), body: Some(vec![b'x'; 200]) }
}

fn post(run: &mut Run, at: Timestamp, due: Due) {
    run.number += 1;
    run.due.insert((at, run.number), due);
}

fn happen(run: &mut Run, due: Due) {
    let now = run.now;
    let mut effects = Vec::new();
    let router = match due {
        Due::Wish => wish(run, &mut effects),
        Due::Round(router) => router,
        Due::Read(router, shard) => {
            let (record, index) = run.shards[&shard].clone();
            run.counts.reads += 1;
            run.counts.bytes += encoded_bytes(&record);
            post(run, now + WAY, Due::ReadBack(router, shard, record, index));
            return;
        }
        Due::Write(router, shard, record, base_index) => {
            let result = write(run, shard, record, base_index);
            post(run, now + WAY, Due::WriteBack(router, shard, result));
            return;
        }
        Due::ReadBack(router, shard, record, index) => {
            let result = ReadResult::Read { record, index };
            let queues = &mut run.queues[router];
            claim_queues::apply_read(queues, now, NOW_S, shard, result, &mut effects);
            router
        }
        Due::WriteBack(router, shard, result) => {
            let queues = &mut run.queues[router];
            claim_queues::apply_write(queues, now, shard, result, &mut effects);
            router
        }
        Due::SegmentReadBack(router, shard, name) => {
            let segment = run.segments.get(&name).cloned();
            let result = segment.map_or(SegmentReadResult::Failed, SegmentReadResult::Read);
            let queues = &mut run.queues[router];
            let named = (shard, name);
            claim_queues::apply_segment_read(queues, now, NOW_S, named, result, &mut effects);
            router
        }
        Due::SegmentWriteBack(router, shard) => {
            let queues = &mut run.queues[router];
            let result = WriteResult::Written;
            claim_queues::apply_segment_write(queues, now, shard, result, &mut effects);
            router
        }
        Due::Outcome(router, key, nonce) => {
            claim_queues::record_outcome(&mut run.queues[router], now, key, nonce, outcome());
            router
        }
    };
    claim_queues::run(&mut run.queues[router], now, &mut effects);
    for effect in effects {
        carry_out(run, router, effect);
    }
    if let Some(at) = run.queues[router].next_due() {
        post(run, at.max(now + Duration::from_micros(100)), Due::Round(router));
    }
}

fn wish(run: &mut Run, effects: &mut Vec<ClaimEffect>) -> usize {
    let router = (randoms::unit(&mut run.random) * ROUTERS as f64) as usize;
    run.number += 1;
    let ticket = run.number;
    let key = claim_key("team", "service", &ticket.to_string());
    let nonce = u128::MAX / 2 + u128::from(ticket);
    run.wished.insert(ticket, Wished { key, nonce, at: run.now });
    let wish = ClaimRequest { ticket, key, fingerprint: key, nonce };
    claim_queues::request_claim(&mut run.queues[router], run.now, NOW_S, wish, effects);
    router
}

fn write(run: &mut Run, shard: ShardId, record: ShardRecord, base_index: u64) -> WriteResult {
    run.counts.writes += 1;
    run.counts.bytes += encoded_bytes(&record);
    let Some(held) = run.shards.get_mut(&shard) else { return WriteResult::NoEffect };
    if held.1 != base_index {
        run.counts.conflicts += 1;
        return WriteResult::Conflict;
    }
    *held = (record, base_index + 1);
    WriteResult::Written
}

fn carry_out(run: &mut Run, router: usize, effect: ClaimEffect) {
    let at = run.now + WAY;
    match effect {
        ClaimEffect::Read { shard } => post(run, at, Due::Read(router, shard)),
        ClaimEffect::Write { shard, record, base_index } => {
            post(run, at, Due::Write(router, shard, record, base_index));
        }
        ClaimEffect::ReadSegment { shard, name } => {
            run.counts.reads += 1;
            run.counts.bytes += run
                .segments
                .get(&name)
                .map_or(0, |segment| segment.claims.iter().map(claim_size_bytes).sum());
            post(run, at + WAY, Due::SegmentReadBack(router, shard, name));
        }
        ClaimEffect::WriteSegment { shard, name, segment } => {
            run.counts.writes += 1;
            run.counts.bytes += segment.claims.iter().map(claim_size_bytes).sum::<usize>();
            run.segments.insert(name, segment);
            post(run, at + WAY, Due::SegmentWriteBack(router, shard));
        }
        ClaimEffect::DeleteSegment { name, .. } => {
            run.segments.remove(&name);
        }
        ClaimEffect::Answer { ticket, decision } => {
            let Some(wished) = run.wished.remove(&ticket) else { return };
            if !matches!(decision, ClaimDecision::Won { .. }) {
                run.counts.lost += 1;
                return;
            }
            run.counts.won += 1;
            run.counts.waits_ms.push((run.now - wished.at).as_secs_f64() * 1e3);
            post(run, run.now + RUN_TIME, Due::Outcome(router, wished.key, wished.nonce));
        }
    }
}

fn encoded_bytes(record: &ShardRecord) -> usize {
    postcard::experimental::serialized_size(record).unwrap_or(0)
}
