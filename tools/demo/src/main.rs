//! Starts a small fleet on loopback, makes one backend server gray and prints what happened.

mod demo_config;
mod report;
mod scenario;
mod traffic;

use std::process::ExitCode;

use argh::FromArgs;

/// Starts a small fleet on loopback, makes one backend server gray and prints what happened.
#[derive(FromArgs)]
struct Args {
    /// print JSON in place of text
    #[argh(switch)]
    json: bool,
}

async fn run(json: bool) -> anyhow::Result<ExitCode> {
    let report = scenario::run().await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        report.print();
    }
    Ok(if report.wrong == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn main() -> ExitCode {
    // The demo runs its own executable again for the fleet's processes, so that it needs no other
    // program.
    if let Some(result) = harness::reexec::run_subprocess() {
        return match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("demo subprocess failed: {error:#}");
                ExitCode::FAILURE
            }
        };
    }
    let args: Args = argh::from_env();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("demo: cannot start the Tokio runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(args.json)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}
