//! The daemon process: runs one VM of the fleet.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use settings::Settings;

/// Runs one VM of the papayareel fleet.
#[derive(FromArgs)]
struct Args {
    /// validate the settings file and exit
    #[argh(switch)]
    check: bool,

    /// settings file (JSON)
    #[argh(positional)]
    settings: PathBuf,
}

fn run(args: &Args) -> anyhow::Result<()> {
    let settings = Settings::load(&args.settings)?;
    if args.check {
        println!("{} is valid", args.settings.display());
        return Ok(());
    }
    daemon::start(settings)
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("papayareeld: {error:#}");
            ExitCode::FAILURE
        }
    }
}
