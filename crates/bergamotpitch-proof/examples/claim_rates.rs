//! Prints how many claims a second the routers make for how many calls to the key-value service,
//! over the number of shards and the time between two commits, without faults. Each claim has its
//! outcome recorded.

use std::time::Duration;

use bergamotpitch_control::claim_queues::ClaimOptions;
use bergamotpitch_proof::claim_histories::ClaimStep;
use bergamotpitch_proof::claim_runs::{RunOptions, RunResult, run_claims};

/// Time over which claims arrive.
const TIME: Duration = Duration::from_secs(10);

fn main() {
    println!(
        "| routers | claims/s | shards | commit interval ms | writes/s | conflicts/s | reads/s | won claims a write | KB a claim | p50 ms | p99 ms | not won % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for router_count in [1, 8] {
        for claims_per_second in [50, 500] {
            for shard_count in [16, 64] {
                for interval_ms in [20, 100] {
                    print_row(router_count, claims_per_second, shard_count, interval_ms);
                }
            }
        }
    }
}

fn print_row(router_count: usize, claims_per_second: usize, shard_count: u32, interval_ms: u64) {
    let claims = ClaimOptions {
        shard_count,
        commit_interval: Duration::from_millis(interval_ms),
        ..ClaimOptions::default()
    };
    let result = run_claims(RunOptions {
        router_count,
        key_count: claims_per_second * TIME.as_secs() as usize,
        arrival_time: TIME,
        attempt_limit: 1,
        refused_percent: 0.0,
        unrun_percent: 0.0,
        lost_percent: 0.0,
        claims,
        ..RunOptions::default()
    });
    let seconds = TIME.as_secs_f64();
    let won = result.claim_times.len();
    let counts = result.kv.counts;
    println!(
        "| {router_count} | {claims_per_second} | {shard_count} | {interval_ms} | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} | {:.1} | {:.1} | {:.2} |",
        // Calls after the last arrival belong to its requests all the same.
        counts.writes as f64 / seconds,
        counts.conflicts as f64 / seconds,
        counts.reads as f64 / seconds,
        won as f64 / counts.writes as f64,
        counts.value_bytes as f64 / 1e3 / won as f64,
        percentile_ms(&result, 50),
        percentile_ms(&result, 99),
        lost_percent(&result),
    );
}

fn percentile_ms(result: &RunResult, percent: usize) -> f64 {
    let mut times = result.claim_times.clone();
    times.sort_unstable();
    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

fn lost_percent(result: &RunResult) -> f64 {
    let wished = result.records.iter().filter(|record| record.step == ClaimStep::Wished).count();
    100.0 * (wished - result.claim_times.len()) as f64 / wished.max(1) as f64
}
