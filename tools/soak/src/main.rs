//! Command line of the soak.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::{SoakOptions, run};

/// Randomized soak of gateway processes under faults.
#[derive(FromArgs)]
struct Args {
    /// first seed
    #[argh(option)]
    seed: u64,
    /// runs, with the seeds that follow
    #[argh(option, default = "1")]
    runs: u64,
    /// gateways
    #[argh(option, default = "6")]
    vms: u8,
    /// backend servers
    #[argh(option, default = "6")]
    targets: u8,
    /// seconds under faults in each run
    #[argh(option, default = "12")]
    seconds: u64,
    /// gateway program; by default the one beside this program
    #[argh(option)]
    program: Option<PathBuf>,
}

async fn play(args: Args) -> anyhow::Result<bool> {
    let beside = std::env::current_exe()?.with_file_name("papayareel-gateway");
    let program = args.program.unwrap_or(beside);
    let mut good = true;
    for seed in args.seed..args.seed + args.runs {
        let options = SoakOptions {
            program: program.clone().into(),
            seed,
            vms: args.vms,
            backends: args.targets,
            duration: Duration::from_secs(args.seconds),
        };
        let report = run(options).await?;
        println!("seed {seed}: {} of {} served, {:?}", report.served, report.sent, report.faults);
        for violation in &report.violations {
            good = false;
            println!("  broken: {violation}");
        }
    }
    Ok(good)
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let played = runtime.map_err(Into::into).and_then(|r| r.block_on(play(argh::from_env())));
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}
