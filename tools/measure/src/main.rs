//! Runs one experiment and prints its figures; not shipped.

use std::process::ExitCode;

use argh::FromArgs;

use measure::Options;
use measure::experiments;
use measure::figure::{Figure, print_json, print_table};

/// Runs one experiment of the decision code and prints its figures beside their targets.
#[derive(FromArgs)]
struct Args {
    /// experiment to run; an unknown name prints the list
    #[argh(positional)]
    experiment: String,

    /// first seed; each run uses the next one
    #[argh(option, default = "1")]
    seed: u64,

    /// number of runs, each with its own seed
    #[argh(option, default = "10")]
    runs: u64,

    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

fn run(args: &Args) -> anyhow::Result<Vec<Figure>> {
    let options = Options { seed: args.seed, runs: args.runs };
    let experiment = experiments::ALL.iter().find(|e| e.name == args.experiment);
    let Some(experiment) = experiment else {
        let known: Vec<&str> = experiments::ALL.iter().map(|e| e.name).collect();
        anyhow::bail!(
            "no experiment is named {:?}; choose one of: {}",
            args.experiment,
            known.join(", ")
        );
    };
    (experiment.run)(&options)
}

fn main() -> ExitCode {
    // Experiments that start a fleet run this executable again for the fleet's processes.
    if let Some(result) = harness::reexec::run_subprocess() {
        return match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("measure subprocess failed: {error:#}");
                ExitCode::FAILURE
            }
        };
    }
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(figures) if args.json => print_json(&args.experiment, &figures),
        Ok(figures) => print_table(&args.experiment, &figures),
        Err(error) => {
            eprintln!("measure: {error:#}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
