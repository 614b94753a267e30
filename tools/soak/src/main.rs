//! Command line of the soak test.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::{SoakOptions, run};

/// Randomized soak test of gateway processes under faults.
#[derive(FromArgs)]
struct Args {
    /// first seed
    #[argh(option)]
    seed: u64,
    /// number of runs, each with the next seed
    #[argh(option, default = "1")]
    runs: u64,
    /// number of gateways
    #[argh(option, default = "6")]
    vms: u8,
    /// number of backend servers
    #[argh(option, default = "6")]
    targets: u8,
    /// duration of the faults in each run, in seconds
    #[argh(option, default = "12")]
    seconds: u64,
    /// the store comes back from older copies
    #[argh(switch)]
    restores: bool,
    /// gateway program (default: the one in the folder of this program)
    #[argh(option)]
    program: Option<PathBuf>,
}

async fn run_seeds(args: Args) -> anyhow::Result<bool> {
    let default_program = std::env::current_exe()?.with_file_name("papayareel-gateway");
    let program = args.program.unwrap_or(default_program);
    let mut passed = true;
    for seed in args.seed..args.seed + args.runs {
        let options = SoakOptions {
            program: program.clone().into(),
            seed,
            vms: args.vms,
            backends: args.targets,
            duration: Duration::from_secs(args.seconds),
            restores: args.restores,
        };
        let report = run(options).await?;
        println!("seed {seed}: {} of {} served, {:?}", report.served, report.sent, report.faults);
        println!("  restores of the store: {}", report.restores);
        println!("  ended: {:?}", report.reasons);
        println!("  read, not answered, not around planned work: {}", report.not_counted);
        for violation in &report.violations {
            passed = false;
            println!("  broken: {violation}");
        }
        if let Some(logs) = &report.logs {
            println!("  logs: {}", logs.display());
        }
    }
    Ok(passed)
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = runtime.map_err(Into::into).and_then(|r| r.block_on(run_seeds(argh::from_env())));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}
