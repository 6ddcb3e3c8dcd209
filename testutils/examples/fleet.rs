//! Simulates a fleet of engines, once for each seed.
//!
//! Usage: `fleet EXPERIMENT.yaml [--seeds N] [--first N] [--load FACTOR]`. Prints the share of the possible
//! value that was earned, as the mean over the seeds with its standard error, and the outcomes of the
//! requests of each kind. `--load` multiplies the requests per second.

use std::process::ExitCode;

use leadstage_testutils::fleet_model;
use leadstage_testutils::fleet_model::experiment::Experiment;
use leadstage_testutils::fleet_model::report;
use lexopt::prelude::*;

const DEFAULT_SEEDS: u64 = 20;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("fleet: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let (mut paths, mut seeds, mut first, mut load) = (Vec::new(), DEFAULT_SEEDS, 1, 1.0);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seeds") => seeds = parser.value()?.parse()?,
            Long("first") => first = parser.value()?.parse()?,
            Long("load") => load = parser.value()?.parse()?,
            Value(path) => paths.push(path.string()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    for path in paths {
        let mut experiment = Experiment::parse(&std::fs::read_to_string(&path)?)?;
        experiment.kinds.iter_mut().for_each(|kind| kind.per_second *= load);
        let results = std::thread::scope(|scope| {
            let simulations: Vec<_> = (first..first + seeds)
                .map(|seed| {
                    scope.spawn({
                        let experiment = &experiment;
                        move || fleet_model::simulate(experiment, seed)
                    })
                })
                .collect();
            simulations
                .into_iter()
                .map(|simulation| simulation.join().expect("no simulation panics"))
                .collect::<Vec<_>>()
        });
        println!("{path}, {seeds} days, load {load}");
        print!("{}", report::table(&experiment, &results));
    }
    Ok(())
}
