//! The gateway process: runs one VM of the fleet on the platform.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use gateway::Options;

/// Runs one VM of the papayareel fleet on the platform.
#[derive(FromArgs)]
struct Args {
    /// JSON file with the timing options of the gateway; defaults apply without it
    #[argh(option)]
    settings: Option<PathBuf>,

    /// validate the settings files and exit
    #[argh(switch)]
    check: bool,

    /// seed of the random generator; random without it
    #[argh(option)]
    seed: Option<u64>,

    /// settings file of the platform; by default the file that the platform names
    #[argh(positional)]
    boot: Option<PathBuf>,
}

fn run(args: Args) -> anyhow::Result<()> {
    let options = match &args.settings {
        Some(path) => Options::read(path)?,
        None => Options::default(),
    };
    if args.check {
        let path = args.boot.unwrap_or_else(adapter::boot_config_path);
        adapter::read_boot_config(&path)?;
        println!("{} is valid", path.display());
        return Ok(());
    }
    gateway::run(args.boot, options, args.seed)
}

fn main() -> ExitCode {
    match run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("papayareel-gateway: {error:#}");
            ExitCode::FAILURE
        }
    }
}
