//! The scripts of the review's cases. Usage, from the root of the repository: `review-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod cold;
mod config;
mod endless;
mod fleet;
mod gap;
mod http;
mod no_gap;
mod record;
mod replica;
mod slow_reader;
mod starts;
mod store;
mod token_counts;
mod unsigned;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// How a run of a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// Whether the run has the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::create(Path::new(folder));
    let verdict = match &**case {
        "token-counts" => token_counts::run(&record),
        "cold" => cold::run(&record),
        "endless" => endless::run(&record),
        "gap" => gap::run(&record),
        "no-gap" => no_gap::run(&record),
        "slow-reader" => slow_reader::run(&record),
        "starts" => starts::run(&record),
        "unsigned" => unsigned::run(&record),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("could not run: {text}")),
    };
    record.say(text);
    ExitCode::from(code)
}
