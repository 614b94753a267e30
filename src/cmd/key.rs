use std::process::ExitCode;

use anyhow::{Context, Result};
use argh::FromArgs;
use config::{Change, KeyDigest, digest_key};
use operator::{EntryKind, OperatorError};
use serde::Serialize;

use super::Session;
use super::session::not_found;

/// Manages the API keys of organisations.
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
    /// organisation that requests with the key are accounted to
    #[argh(positional)]
    organisation: String,
}

/// Withdraws a key permanently.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// digest of the key, as shown by `key list`
    #[argh(positional)]
    digest: KeyDigest,
}

/// Lists the digests of the keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// list only the keys of this organisation
    #[argh(option)]
    organisation: Option<String>,
    /// include withdrawn keys
    #[argh(switch)]
    withdrawn: bool,
}

/// Attempts at a withdrawal that conflicts with concurrent changes. A withdrawal does not depend on
/// other changes, and a leaked key should not stay valid until the operator repeats the command.
const MAX_WITHDRAW_ATTEMPTS: usize = 5;

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
        return Err(not_found("organisation", &organisation));
    }
    let key = session.secrets.generate_key();
    let digest = digest_key(key.as_bytes());
    let change = Change::IssueKey { digest, organisation: organisation.as_str().into() };
    let applied = session.commit(&config, vec![change]).await.with_context(|| {
        format!(
            "issuing a key with digest {digest}; if `papayareel key list` shows this digest, \
             withdraw it"
        )
    })?;
    let issued = Issued { key, digest, organisation, version: applied.version };
    session.print_result(&issued, |issued| {
        let Issued { key, digest, organisation, version } = issued;
        format!(
            "{key}\n\nThe key is not shown again. Its digest is {digest}.\n\
             Organisation {organisation}, accepted as version {version}.\n"
        )
    })
}

async fn withdraw(session: &mut Session, digest: KeyDigest) -> Result<ExitCode> {
    let mut attempts = 1;
    loop {
        // Only the configuration version is needed, so no entries are read.
        let config = session.config(&[EntryKind::Unspecified]).await?;
        let result = session.commit_one(&config, Change::WithdrawKey { digest }).await;
        match result {
            Err(error)
                if attempts < MAX_WITHDRAW_ATTEMPTS
                    && matches!(
                        error.downcast_ref::<OperatorError>(),
                        Some(OperatorError::Conflict { .. })
                    ) =>
            {
                attempts += 1;
            }
            result => return result,
        }
    }
}

async fn list(session: &mut Session, args: List) -> Result<ExitCode> {
    let mut keys = session.config(&[EntryKind::Key]).await?.keys;
    let is_selected =
        |organisation: &str| args.organisation.as_deref().is_none_or(|o| o == organisation);
    keys.retain(|_, key| (args.withdrawn || !key.withdrawn) && is_selected(&key.organisation));
    let state = |withdrawn| if withdrawn { "withdrawn" } else { "works" }.to_owned();
    let rows = keys
        .iter()
        .map(|(digest, key)| {
            vec![digest.to_string(), key.organisation.to_string(), state(key.withdrawn)]
        })
        .collect();
    session.print_entries(&keys, &["DIGEST", "ORGANISATION", "STATE"], rows)
}
