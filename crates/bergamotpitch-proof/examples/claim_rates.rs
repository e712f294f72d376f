//! Prints how many claims a second the routers make for how many calls to the key-value service,
//! over the number of shards and the time between two commits, without faults. Each claim has its
//! outcome recorded.

use std::time::Duration;

use bergamotpitch_control::idempotency::claim_queues::ClaimOptions;
use bergamotpitch_proof::claim_runs::{RunOptions, RunResult, run_claims};

/// Time over which claims arrive.
const TIME: Duration = Duration::from_secs(10);

fn main() {
    println!(
        "| routers | claims/s | live claims | warm-up s | shards | commit interval ms | writes/s | conflicts/s \
         | reads/s | claims a write | KB a claim | p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for router_count in [1, 8] {
        for claims_per_second in [50, 500] {
            for shard_count in [16, 32, 64] {
                for interval_ms in [20, 100] {
                    let row = Row { router_count, claims_per_second, shard_count, interval_ms };
                    print_row(row, 0, Duration::ZERO);
                }
            }
        }
    }
    for (claims_per_second, live_claims) in [(50, 43_200), (50, 432_000)] {
        for shard_count in [32, 64] {
            let row = Row { router_count: 8, claims_per_second, shard_count, interval_ms: 20 };
            // Once with routers that have read no segment yet, once after they have.
            print_row(row, live_claims, Duration::ZERO);
            print_row(row, live_claims, TIME * 3);
        }
    }
    println!("\n8 routers, a service that takes 300 writes/s and 2,000 reads/s:\n");
    println!(
        "| claims/s | shards | writes/s | conflicts/s | reads/s | refused/s | claims a write \
         | won % | p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for claims_per_second in [100, 200, 500, 1_000] {
        for shard_count in [16, 32, 64] {
            print_limited(claims_per_second, shard_count);
        }
    }
}

#[derive(Clone, Copy)]
struct Row {
    router_count: usize,
    claims_per_second: usize,
    shard_count: u32,
    interval_ms: u64,
}

fn print_row(row: Row, live_claims: usize, counted_from: Duration) {
    let Row { router_count, claims_per_second, shard_count, interval_ms } = row;
    let commit_interval = Duration::from_millis(interval_ms);
    let claims = ClaimOptions { shard_count, commit_interval, ..ClaimOptions::default() };
    let result = run_claims(RunOptions {
        router_count,
        key_count: claims_per_second * (counted_from + TIME).as_secs() as usize,
        arrival_time: counted_from + TIME,
        counted_from,
        attempt_limit: 1,
        refused_percent: 0.0,
        unrun_percent: 0.0,
        lost_percent: 0.0,
        live_claims,
        claims,
        ..RunOptions::default()
    });
    let seconds = TIME.as_secs_f64();
    let won = result.claim_times.len();
    let counts = result.kv.counts;
    println!(
        "| {router_count} | {claims_per_second} | {live_claims} | {} | {shard_count} | {interval_ms} \
         | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} | {:.1} | {:.1} |",
        counted_from.as_secs(),
        counts.writes as f64 / seconds,
        counts.conflicts as f64 / seconds,
        counts.reads as f64 / seconds,
        won as f64 / counts.writes as f64,
        counts.value_bytes as f64 / 1e3 / won as f64,
        percentile_ms(&result, 50),
        percentile_ms(&result, 99),
    );
}

// The service refuses calls above its rates; the claims that do not fit are refused as not run.
fn print_limited(claims_per_second: usize, shard_count: u32) {
    let claims = ClaimOptions { shard_count, ..ClaimOptions::default() };
    let result = run_claims(RunOptions {
        router_count: 8,
        key_count: claims_per_second * TIME.as_secs() as usize,
        arrival_time: TIME,
        attempt_limit: 1,
        refused_percent: 0.0,
        unrun_percent: 0.0,
        lost_percent: 0.0,
        call_rates: (300.0, 2_000.0),
        claims,
        ..RunOptions::default()
    });
    let seconds = TIME.as_secs_f64();
    let won = result.claim_times.len();
    let counts = result.kv.counts;
    let wished = claims_per_second as f64 * seconds;
    println!(
        "| {claims_per_second} | {shard_count} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} | {:.1} | {:.1} |",
        counts.writes as f64 / seconds,
        counts.conflicts as f64 / seconds,
        counts.reads as f64 / seconds,
        counts.refused as f64 / seconds,
        won as f64 / counts.writes as f64,
        100.0 * won as f64 / wished,
        percentile_ms(&result, 50),
        percentile_ms(&result, 99),
    );
}

fn percentile_ms(result: &RunResult, percent: usize) -> f64 {
    let mut times = result.claim_times.clone();
    times.sort_unstable();
    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
