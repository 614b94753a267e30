use std::process::ExitCode;

use anyhow::{Context, Result};
use argh::FromArgs;
use config::{Change, KeyDigest, digest_key};
use operator::{EntryKind, OperatorError};
use serde::Serialize;

use super::Session;
use super::session::missing;

/// Manages the keys of organisations.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Issue(Issue),
    Withdraw(Withdraw),
    List(List),
}

/// Issues a new key and shows it once.
#[derive(FromArgs)]
#[argh(subcommand, name = "issue")]
struct Issue {
    /// organisation that requests with the key run for
    #[argh(positional)]
    organisation: String,
}

/// Withdraws a key for good.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// digest of the key as `key list` shows it
    #[argh(positional)]
    digest: KeyDigest,
}

/// Lists the digests of the keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// only the keys of this organisation
    #[argh(option)]
    organisation: Option<String>,
    /// withdrawn keys as well
    #[argh(switch)]
    withdrawn: bool,
}

/// Tries of a withdrawal that other changes keep coming before. It depends on none of them, and a
/// leaked key should not have to wait for the operator to try again.
const WITHDRAW_TRIES: usize = 5;

#[derive(Serialize)]
struct Issued {
    key: String,
    digest: KeyDigest,
    organisation: String,
    version: u64,
}

/// Runs the subcommand.
pub async fn run(session: &mut Session, args: Args) -> Result<ExitCode> {
    match args.action {
        Action::Issue(args) => issue(session, args.organisation).await,
        Action::Withdraw(args) => withdraw(session, args.digest).await,
        Action::List(args) => list(session, args).await,
    }
}

async fn issue(session: &mut Session, organisation: String) -> Result<ExitCode> {
    let config = session.config(&[EntryKind::Organisation]).await?;
    if !config.organisations.contains_key(&*organisation) {
        return Err(missing("organisation", &organisation));
    }
    let key = session.secrets.generate_key();
    let digest = digest_key(key.as_bytes());
    let change = Change::IssueKey { digest, organisation: organisation.as_str().into() };
    let applied = session.commit(&config, vec![change]).await.with_context(|| {
        format!("issuing a key with digest {digest}; withdraw it if the list has it")
    })?;
    let issued = Issued { key, digest, organisation, version: applied.version };
    session.report(&issued, |issued| {
        let Issued { key, digest, organisation, version } = issued;
        format!(
            "{key}\n\nThis is the only time that the key is shown. Its digest is {digest}.\n\
             Organisation {organisation}, accepted as version {version}.\n"
        )
    })
}

async fn withdraw(session: &mut Session, digest: KeyDigest) -> Result<ExitCode> {
    let mut tries = 1;
    loop {
        // Only the version is needed.
        let config = session.config(&[EntryKind::Unspecified]).await?;
        let result = session.commit_one(&config, Change::WithdrawKey { digest }).await;
        match result {
            Err(error)
                if tries < WITHDRAW_TRIES
                    && matches!(
                        error.downcast_ref::<OperatorError>(),
                        Some(OperatorError::Conflict { .. })
                    ) =>
            {
                tries += 1;
            }
            result => return result,
        }
    }
}

async fn list(session: &mut Session, args: List) -> Result<ExitCode> {
    let mut keys = session.config(&[EntryKind::Key]).await?.keys;
    let wanted =
        |organisation: &str| args.organisation.as_deref().is_none_or(|o| o == organisation);
    keys.retain(|_, key| (args.withdrawn || !key.withdrawn) && wanted(&key.organisation));
    let state = |withdrawn| if withdrawn { "withdrawn" } else { "works" }.to_owned();
    let rows = keys
        .iter()
        .map(|(digest, key)| {
            vec![digest.to_string(), key.organisation.to_string(), state(key.withdrawn)]
        })
        .collect();
    session.list(&keys, &["DIGEST", "ORGANISATION", "STATE"], rows)
}
