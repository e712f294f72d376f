//! The scripts of the review: stand-ins on loopback, the project's program as processes, and one case each.

mod callers;
mod children;
mod cut;
mod engines;
mod fleets;
mod http;
mod forgotten;
mod json;
mod links;
mod odd;
mod promise;
mod record;
mod reborn;
mod routers;
mod store;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

/// Runs a case: its name, the file for its record and a folder for settings and logs. It exits with 1 if the
/// rule was broken, 0 if it held, and 2 if the case could not run.
fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "engine") {
        return children::serve(&words[1..]);
    }
    let [case, record, folder] = words.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(record);
    let folder = Path::new(folder);
    let run = match case.as_str() {
        "reborn" => reborn::run,
        "cut" => cut::run,
        "forgotten" => forgotten::run,
        "odd" => odd::run,
        "promise" => promise::run,
        _ => {
            eprintln!("no case of that name: {case}");
            std::process::exit(2);
        }
    };
    // A fleet that is dropped ends its processes.
    let outcome = catch_unwind(AssertUnwindSafe(|| run(&record, folder, has_trouble)));
    std::process::exit(match outcome {
        Ok(is_broken) => i32::from(is_broken),
        Err(_) => 2,
    });
}
