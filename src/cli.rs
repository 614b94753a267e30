use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use operator::OperatorError;

use crate::cmd::{self, Session, UsageError};

/// The command failed for a reason without a code of its own.
const EXIT_FAILED: u8 = 1;
/// An argument or a file that the operator named is invalid; nothing was changed.
const EXIT_USAGE: u8 = 2;
/// Another change was committed first; nothing was changed.
const EXIT_CONFLICT: u8 = 3;
/// The change was accepted, but is not yet in force on every live VM.
pub const EXIT_NOT_IN_FORCE: u8 = 4;
/// The VM or the store did not respond, so the outcome of a change may be unknown; a retry may
/// succeed.
const EXIT_UNAVAILABLE: u8 = 5;

/// Manages a papayareel fleet. Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with
/// another change, 4 accepted but not yet in force on every live VM, 5 VM or store unavailable.
#[derive(FromArgs)]
pub struct Args {
    /// operator address of a VM, IP:PORT
    #[argh(option)]
    pub operator: Option<SocketAddr>,
    /// file that holds the operator token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// JSON file with operator, token_file and seed; options override it
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// id of the change; a change that is sent again with the same id is applied once
    #[argh(option)]
    pub change_id: Option<String>,
    /// print JSON
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

/// Runs the command that the process arguments name.
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match Args::from_args(&["papayareel"], arguments.get(1..).unwrap_or_default()) {
        Ok(args) => execute(args),
        Err(EarlyExit { output, status: Ok(()) }) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(EarlyExit { output, status: Err(()) }) => {
            eprintln!("{output}");
            ExitCode::from(EXIT_USAGE)
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
        ExitCode::from(exit_code(&error))
    })
}

async fn dispatch(args: Args) -> anyhow::Result<ExitCode> {
    // `trace` reads log lines from standard input and needs neither a VM nor a token.
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

fn exit_code(error: &anyhow::Error) -> u8 {
    if error.is::<UsageError>() {
        return EXIT_USAGE;
    }
    match error.downcast_ref::<OperatorError>() {
        Some(OperatorError::Conflict { .. }) => EXIT_CONFLICT,
        Some(OperatorError::Unavailable(_) | OperatorError::UnknownOutcome { .. }) => {
            EXIT_UNAVAILABLE
        }
        _ => EXIT_FAILED,
    }
}
