use std::io::{BufRead, IsTerminal, stdin};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use argh::FromArgs;
use config::{Change, ChangeSummary, DesiredState, diff};
use operator::{OperatorError, RolloutProgress};
use serde::Serialize;

use crate::cli::EXIT_NOT_IN_FORCE;

use super::session::read_file;
use super::wait::wait_until_in_force;
use super::{Session, UsageError};

/// Changes the configuration to the desired state in a JSON file.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Args {
    /// JSON file with organisations, services, routes and, optionally, keys
    #[argh(positional)]
    file: PathBuf,
    /// wait until every live VM has the change in force
    #[argh(switch)]
    wait: bool,
    /// time limit of --wait in seconds, 30 by default
    #[argh(option, default = "30")]
    time_limit: u64,
    /// make the change without asking for confirmation
    #[argh(switch)]
    yes: bool,
}

#[derive(Serialize)]
struct Outcome {
    version: u64,
    changes: Vec<Change>,
    progress: Option<RolloutProgress>,
}

/// Runs the subcommand.
pub async fn run(session: &mut Session, args: Args) -> Result<ExitCode> {
    let path = args.file.display();
    let desired = DesiredState::parse(read_file(&args.file)?.as_bytes())
        .map_err(|e| UsageError::error(format!("{path}: {e}")))?;
    let current = session.config(&[]).await?;
    let changes = diff(&current, &desired.into_config(&current));
    // Printed to standard error, so that standard output stays valid JSON with --json.
    eprint!("{}", ChangeSummary { current: &current, changes: &changes });
    let version = if changes.is_empty() {
        current.version
    } else {
        if !args.yes {
            confirm(changes.len(), current.version)?;
        }
        session.commit(&current, changes.clone()).await?.version
    };
    let mut outcome = Outcome { version, changes, progress: None };
    if args.wait {
        let progress = wait_until_in_force(
            session.client().await?,
            version,
            Duration::from_secs(args.time_limit),
        );
        outcome.progress = Some(progress.await.map_err(|error| progress_error(error, version))?);
    }
    session.print_result(&outcome, render)?;
    match outcome.progress {
        Some(progress) if !progress.is_complete() => Ok(ExitCode::from(EXIT_NOT_IN_FORCE)),
        _ => Ok(ExitCode::SUCCESS),
    }
}

fn progress_error(error: OperatorError, version: u64) -> anyhow::Error {
    let text = format!("version {version} was accepted, but reading its progress failed");
    anyhow::Error::from(error).context(text)
}

fn confirm(changes: usize, version: u64) -> Result<()> {
    if !stdin().is_terminal() {
        return Err(UsageError::error(
            "standard input is not a terminal to confirm the change on; give --yes to make it",
        ));
    }
    eprint!("Make these {changes} changes to version {version}? [y/N] ");
    let mut answer = String::new();
    stdin().lock().read_line(&mut answer).context("reading the answer")?;
    if !answer.trim().eq_ignore_ascii_case("y") {
        bail!("nothing was changed; answer y or give --yes to make the change");
    }
    Ok(())
}

fn render(outcome: &Outcome) -> String {
    let version = outcome.version;
    let mut text = match outcome.changes.len() {
        0 => format!("nothing to change in version {version}\n"),
        count => format!("{count} changes accepted as version {version}\n"),
    };
    let Some(progress) = &outcome.progress else { return text };
    let ready = progress.ready;
    if progress.is_complete() {
        text += &format!("in force on all {ready} live VMs\n");
    } else if progress.behind.is_empty() {
        text += "the queried VM knows no live VM; ask another VM for the status\n";
    } else {
        let behind = progress.behind.join(", ");
        text += &format!("in force on {ready} live VMs, not yet on: {behind}\n");
        text += "`papayareel status` shows when their configuration was last confirmed; they \
                 refuse requests to keyed routes while they cannot confirm that it is the newest\n";
    }
    if !progress.silent.is_empty() {
        text += &format!("silent VMs, not counted: {}\n", progress.silent.join(", "));
    }
    text
}
