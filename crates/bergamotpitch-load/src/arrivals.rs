//! Arrivals: the seeded schedule of an open-loop run.

use std::time::Duration;

use bergamotpitch_core::sheets::ServiceKind;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};

use crate::experiments::{Experiment, StreamEntry, TokenRange};

/// `PlannedRequest` is one request of the schedule.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// Number of the request in the run.
    pub number: u64,
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Position of its stream in the experiment.
    pub stream: usize,
    /// Position of its router in the experiment.
    pub router: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// Idempotency key, when it carries one.
    pub idempotency_key: Option<String>,
}

/// `schedule` plans all requests of an experiment, in order of time.
///
/// The same experiment always yields the same schedule.
pub fn schedule(experiment: &Experiment) -> Vec<PlannedRequest> {
    let mut planned = Vec::new();
    for (position, stream) in experiment.streams.iter().enumerate() {
        let seed = experiment.seed.wrapping_add(position as u64);
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        plan_stream(experiment, position, stream, &mut random, &mut planned);
    }
    planned.sort_by_key(|request| (request.at, request.stream));
    for (number, request) in planned.iter_mut().enumerate() {
        request.number = number as u64;
        if let Some(key) = &mut request.idempotency_key {
            *key = format!("{}-{}-{number}", experiment.name, experiment.seed);
        }
    }
    planned
}

fn plan_stream(
    experiment: &Experiment,
    position: usize,
    stream: &StreamEntry,
    random: &mut Xoshiro256PlusPlus,
    planned: &mut Vec<PlannedRequest>,
) {
    let mut at = 0.0;
    loop {
        // Exponential gaps between arrivals make the stream a Poisson process.
        at -= (1.0 - unit(random)).ln() / stream.rate_per_s;
        if experiment.duration_ms as f64 / 1_000.0 <= at {
            return;
        }
        let keyed = stream.kind == ServiceKind::Plain
            && random.next_u64() % 100 < u64::from(stream.keyed_percent);
        let name = &stream.routers[(random.next_u64() % stream.routers.len() as u64) as usize];
        let router = experiment.routers.iter().position(|router| router.name == *name).unwrap_or(0);
        planned.push(PlannedRequest {
            number: 0,
            at: Duration::from_secs_f64(at),
            stream: position,
            router,
            prompt_tokens: tokens(random, stream.prompt_tokens),
            answer_tokens: tokens(random, stream.answer_tokens),
            idempotency_key: keyed.then(String::new),
        });
    }
}

fn unit(random: &mut Xoshiro256PlusPlus) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

fn tokens(random: &mut Xoshiro256PlusPlus, range: TokenRange) -> u32 {
    range.least + (random.next_u64() % u64::from(range.most - range.least + 1)) as u32
}
