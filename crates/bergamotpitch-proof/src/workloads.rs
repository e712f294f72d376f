//! Workloads: seeded open-loop arrivals of teams that are spread unevenly over the routers.

use std::time::Duration;

use bergamotpitch_core::units::Timestamp;

use crate::randoms::{self, Random};

/// `TeamLoad` is the load that one team puts on one service.
#[derive(Debug, Clone)]
pub struct TeamLoad {
    /// Index of the team in the sheet.
    pub team: usize,
    /// Index of the service in the sheet.
    pub service: usize,
    /// Mean arrivals a second.
    pub requests_per_second: f64,
    /// Weight of each router for this team.
    pub router_weights: Vec<f64>,
    /// Mean tokens of a short answer.
    pub short_tokens: u32,
    /// Mean tokens of a long answer.
    pub long_tokens: u32,
    /// Answers that are long, in percent.
    pub long_percent: u32,
    /// Mean tokens of a prompt.
    pub prompt_tokens: u32,
    /// Prefixes that the team's prompts share.
    pub prefixes: u64,
    /// When the load begins.
    pub begins: Timestamp,
    /// When it ends.
    pub ends: Timestamp,
}

impl Default for TeamLoad {
    fn default() -> Self {
        Self {
            team: 0,
            service: 0,
            requests_per_second: 1.0,
            router_weights: vec![1.0],
            short_tokens: 40,
            long_tokens: 400,
            long_percent: 10,
            prompt_tokens: 200,
            prefixes: 12,
            begins: Duration::ZERO,
            ends: Duration::from_secs(1_000_000),
        }
    }
}

/// `Call` is one arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// When.
    pub at: Timestamp,
    /// Index of the team.
    pub team: usize,
    /// Index of the service.
    pub service: usize,
    /// Index of the router that the balancer chooses.
    pub instance: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
}

/// `calls` draws the arrivals of all loads up to a time, in order of time.
pub fn calls(loads: &[TeamLoad], until: Timestamp, seed: u64) -> Vec<Call> {
    let mut calls = Vec::new();
    for (index, load) in loads.iter().enumerate() {
        let mut random = randoms::seeded(seed.wrapping_mul(1_000).wrapping_add(index as u64));
        let mut at = load.begins;
        loop {
            let wait = randoms::exponential(&mut random, 1.0 / load.requests_per_second);
            at += Duration::from_secs_f64(wait);
            if until.min(load.ends) <= at {
                break;
            }
            calls.push(draw_call(load, at, &mut random));
        }
    }
    calls.sort_by_key(|call| (call.at, call.team));
    calls
}

fn draw_call(load: &TeamLoad, at: Timestamp, random: &mut Random) -> Call {
    let long = randoms::unit(random) * 100.0 < f64::from(load.long_percent);
    let mean = if long { load.long_tokens } else { load.short_tokens };
    let prefix = (randoms::unit(random) * load.prefixes as f64) as u64;
    Call {
        at,
        team: load.team,
        service: load.service,
        instance: randoms::weighted(random, &load.router_weights),
        prompt_tokens: spread(load.prompt_tokens, random),
        answer_tokens: spread(mean, random),
        prefix: 1 + load.team as u64 * 1_000 + prefix,
    }
}

fn spread(mean: u32, random: &mut Random) -> u32 {
    ((f64::from(mean) * (0.5 + randoms::unit(random))) as u32).max(1)
}

/// `skewed_overload` is a steady overload of one service: the first three teams dominate, and each
/// team stands mostly before one or two of the routers.
pub fn skewed_overload(teams: usize, routers: usize, requests_per_second: f64) -> Vec<TeamLoad> {
    let weights: Vec<f64> = (0..teams).map(|team| if team < 3 { 6.0 } else { 1.5 }).collect();
    let total: f64 = weights.iter().sum();
    (0..teams)
        .map(|team| {
            let mut router_weights = vec![0.02; routers];
            router_weights[team % routers] = 1.0;
            router_weights[(team * 5 + 3) % routers] += 0.3;
            TeamLoad {
                team,
                requests_per_second: requests_per_second * weights[team] / total,
                router_weights,
                ..TeamLoad::default()
            }
        })
        .collect()
}
