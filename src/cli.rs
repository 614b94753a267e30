use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use operator::OperatorError;

use crate::cmd::{self, Session, UsageError};

/// The command failed.
const FAILED: u8 = 1;
/// The command line, a file or an option cannot be used; nothing was asked of the fleet.
const USAGE: u8 = 2;
/// Another change came first; nothing was changed.
const CONFLICT: u8 = 3;
/// The change was accepted and is not in force on every live VM.
pub const NOT_EVERYWHERE: u8 = 4;
/// No VM or no store answered; a later try can succeed.
const UNAVAILABLE: u8 = 5;

/// Manages a papayareel fleet. Exit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 not everywhere in
/// force, 5 unavailable.
#[derive(FromArgs)]
pub struct Args {
    /// address of a VM for operators, IP:PORT
    #[argh(option)]
    pub operator: Option<SocketAddr>,
    /// file that holds the operator token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// JSON file with operator, token_file and seed; the options win over it
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// id of the change; asking again with the same id has no second effect
    #[argh(option)]
    pub change_id: Option<String>,
    /// write JSON
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Organisation(cmd::organisation::Args),
    Service(cmd::service::Args),
    Route(cmd::route::Args),
    Key(cmd::key::Args),
    Apply(cmd::apply::Args),
    Status(cmd::status::Args),
    Explain(cmd::explain::Args),
    Trace(cmd::trace::Args),
}

/// Runs the command of this process.
pub fn run() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match Args::from_args(&["papayareel"], words.get(1..).unwrap_or_default()) {
        Ok(args) => execute(args),
        Err(EarlyExit { output, status: Ok(()) }) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(EarlyExit { output, status: Err(()) }) => {
            eprintln!("{output}");
            ExitCode::from(USAGE)
        }
    }
}

fn execute(args: Args) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(args)),
        Err(error) => Err(error.into()),
    };
    result.unwrap_or_else(|error| {
        eprintln!("papayareel: {error:#}");
        ExitCode::from(judge(&error))
    })
}

async fn dispatch(args: Args) -> anyhow::Result<ExitCode> {
    // It reads log lines and needs no VM to ask.
    if let Command::Trace(args) = args.command {
        return cmd::trace::run(args);
    }
    let mut session = Session::open(&args)?;
    match args.command {
        Command::Trace(args) => cmd::trace::run(args),
        Command::Organisation(args) => cmd::organisation::run(&mut session, args).await,
        Command::Service(args) => cmd::service::run(&mut session, args).await,
        Command::Route(args) => cmd::route::run(&mut session, args).await,
        Command::Key(args) => cmd::key::run(&mut session, args).await,
        Command::Apply(args) => cmd::apply::run(&mut session, args).await,
        Command::Status(args) => cmd::status::run(&mut session, args).await,
        Command::Explain(args) => cmd::explain::run(&mut session, args).await,
    }
}

/// Exit code for an error.
fn judge(error: &anyhow::Error) -> u8 {
    if error.is::<UsageError>() {
        return USAGE;
    }
    match error.downcast_ref::<OperatorError>() {
        Some(OperatorError::Conflict { .. }) => CONFLICT,
        Some(OperatorError::Unavailable(_) | OperatorError::UnknownOutcome { .. }) => UNAVAILABLE,
        _ => FAILED,
    }
}
