//! Runs the random schedules of claims, sheets and orders over a range of seeds and prints each
//! seed that breaks a promise; the same seed breaks it again.

use std::process::ExitCode;

use bergamotpitch_proof::soaks::{Subject, run_seed};
use strum::IntoEnumIterator;

mod flags {
    #![allow(missing_docs, reason = "the macro makes items that take no comments")]

    use bergamotpitch_proof::soaks::Subject;

    xflags::xflags! {
        /// Exit codes: 0 no promise is broken; 1 one is.
        cmd bergamotpitch-soak {
            /// First seed; 1 when absent.
            optional --from seed: u64
            /// Seeds for each subject; 1000 when absent.
            optional --count count: u64
            /// One of claims, sheets and orders; all when absent.
            optional --only subject: Subject
        }
    }
}

/// Seeds that are run when none are given.
const COUNT: u64 = 1_000;

fn main() -> ExitCode {
    let flags = flags::BergamotpitchSoak::from_env_or_exit();
    let from = flags.from.unwrap_or(1);
    let until = from + flags.count.unwrap_or(COUNT);
    let mut broken_seeds = 0;
    for subject in Subject::iter().filter(|subject| flags.only.is_none_or(|only| only == *subject))
    {
        let broken: u64 = (from..until).map(|seed| u64::from(report(subject, seed))).sum();
        println!("{subject}: seeds {from} to {}, {broken} break a promise", until - 1);
        broken_seeds += broken;
    }
    if broken_seeds == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn report(subject: Subject, seed: u64) -> bool {
    let broken = run_seed(subject, seed);
    for promise in &broken {
        println!("{subject}: seed {seed}: {promise}");
    }
    !broken.is_empty()
}
