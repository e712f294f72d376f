//! Soaks: the random schedules of claims, sheets and orders, each a function of its seed.

use std::time::Duration;

use bergamotpitch_control::configuration::sheet_syncs::SheetGuards;
use bergamotpitch_control::engine_orders::order_leases::OrderGuards;
use bergamotpitch_control::idempotency::claim_queues::{ClaimGuards, ClaimOptions};
use strum::{Display, EnumIter, EnumString};

use crate::claim_histories::check_claims;
use crate::claim_runs::{RunOptions, run_claims};
use crate::fake_kvs::random_faults;
use crate::order_histories::check_orders;
use crate::order_runs::{self, OrderFleet, cut_holder, pause_holder, set_holding};
use crate::randoms::{seeded, unit};
use crate::sheet_histories::check_versions;
use crate::sheet_runs::{self, SheetFleet, accept, cut_platform, pause, restart, version_of};

/// Routers of today's deployments by failure domain.
const DOMAINS: [usize; 3] = [3, 3, 2];

/// Indexes of those routers.
const ALL_ROUTERS: [usize; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

/// Time within which an accepted sheet is in force everywhere after the last fault.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// `Subject` is what a schedule is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Subject {
    /// Claims on idempotency keys.
    Claims,
    /// Versions of the sheet.
    Sheets,
    /// Orders to engines that ignore fencing numbers.
    Orders,
}

/// `run_seed` runs one schedule and lists the promises that it breaks, in words.
///
/// ```
/// use bergamotpitch_proof::soaks::{Subject, run_seed};
/// assert!(run_seed(Subject::Claims, 1).is_empty());
/// ```
pub fn run_seed(subject: Subject, seed: u64) -> Vec<String> {
    match subject {
        Subject::Claims => {
            let result = run_claims(claim_schedule(seed, ClaimGuards::default()));
            let faults = check_claims(&result.records, &result.held);
            let mut broken: Vec<String> = faults.iter().map(|fault| format!("{fault:?}")).collect();
            if 0 < result.missing_segments {
                broken.push(format!("{} segments are gone", result.missing_segments));
            }
            broken
        }
        Subject::Sheets => {
            let fleet = sheet_schedule(seed, SheetGuards::default());
            let faults = check_versions(&fleet.history);
            let mut broken: Vec<String> = faults.iter().map(|fault| format!("{fault:?}")).collect();
            let late = (0..fleet.routers.len())
                .filter(|router| version_of(&fleet, *router) != fleet.version)
                .map(|router| {
                    format!("router {router} has version {}", version_of(&fleet, router))
                });
            broken.extend(late);
            broken
        }
        Subject::Orders => {
            let fleet = order_schedule(false, OrderGuards::default(), seed);
            check_orders(&fleet.history).iter().map(|order| format!("{order:?}")).collect()
        }
    }
}

/// `claim_schedule` draws faults of the key-value service, crashes and pauses.
pub fn claim_schedule(seed: u64, guards: ClaimGuards) -> RunOptions {
    let mut random = seeded(seed);
    let arrival_time = Duration::from_secs(10);
    RunOptions {
        arrival_time,
        faults: random_faults(&mut random, 6, arrival_time),
        crash_count: (seed % 4) as usize,
        pause_count: (seed % 3) as usize,
        claims: ClaimOptions {
            shard_count: 4,
            // Segments so small that many are made within a run.
            segment_bytes: if seed.is_multiple_of(2) { 300 } else { 16_000 },
            // Some routers give up sooner than a slow write lands.
            claim_timeout: Duration::from_millis(600 + 350 * (seed % 5)),
            guards,
            ..ClaimOptions::default()
        },
        seed,
        ..RunOptions::default()
    }
}

/// `sheet_schedule` runs restarts, pauses, cuts and changes of the sheet, then lets all heal.
pub fn sheet_schedule(seed: u64, guards: SheetGuards) -> SheetFleet {
    let mut fleet = sheet_runs::new_fleet(&DOMAINS, guards, seed);
    let mut random = seeded(seed);
    let mut draw = |most: usize| (unit(&mut random) * most as f64) as usize;
    for _ in 0..30 {
        let router = draw(8);
        match draw(8) {
            0 | 1 => {
                accept(&mut fleet);
            }
            2 => restart(&mut fleet, router, Duration::from_millis(draw(3_000) as u64)),
            3 => pause(&mut fleet, router, Duration::from_millis(draw(8_000) as u64)),
            4 => cut_platform(&mut fleet, &[router], draw(2) == 0),
            5 => cut_platform(&mut fleet, &ALL_ROUTERS, true),
            6 => cut_platform(&mut fleet, &ALL_ROUTERS, false),
            _ => {
                let other = draw(8);
                fleet.routers[router].cut_from = vec![other];
            }
        }
        sheet_runs::run_for(&mut fleet, Duration::from_millis(draw(2_000) as u64));
    }
    cut_platform(&mut fleet, &ALL_ROUTERS, false);
    fleet.routers.iter_mut().for_each(|router| router.cut_from.clear());
    accept(&mut fleet);
    // The longest pause may still last.
    sheet_runs::run_for(&mut fleet, Duration::from_secs(8) + IN_FORCE_LIMIT);
    fleet
}

/// `order_schedule` runs orders while holders are paused, cut from the platform and replaced.
pub fn order_schedule(checks_fencing: bool, guards: OrderGuards, seed: u64) -> OrderFleet {
    let mut fleet = order_runs::new_fleet(3, 3, checks_fencing, guards, seed);
    let mut random = seeded(seed);
    let mut draw_ms = |most: u64| Duration::from_millis((unit(&mut random) * most as f64) as u64);
    for round in 0..15 {
        fleet.wanted += 1;
        order_runs::run_for(&mut fleet, draw_ms(8_000));
        // The fault comes while orders of this change are being decided and sent.
        fleet.wanted += 1;
        order_runs::run_for(&mut fleet, draw_ms(600));
        match round % 5 {
            0..=2 => pause_holder(&mut fleet, Duration::from_secs(8) + draw_ms(12_000)),
            3 => cut_holder(&mut fleet),
            _ => set_holding(&mut fleet, round % 3, false),
        }
        for _ in 0..8 {
            fleet.wanted += 1;
            order_runs::run_for(&mut fleet, draw_ms(4_000));
        }
        fleet.holders.iter_mut().for_each(|holder| holder.platform_cut = false);
        (0..3).for_each(|holder| set_holding(&mut fleet, holder, true));
    }
    order_runs::run_for(&mut fleet, Duration::from_secs(120));
    fleet
}
