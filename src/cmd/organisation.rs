use std::collections::BTreeMap;
use std::process::ExitCode;

use anyhow::Result;
use argh::FromArgs;
use config::{Change, Organisation};
use kernel::Rate;
use operator::EntryKind;

use super::Session;
use super::session::{check_overwrite, not_found};

/// Manages organisations.
#[derive(FromArgs)]
#[argh(subcommand, name = "organisation")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Create(Create),
    List(List),
    Show(Show),
    Remove(Remove),
}

/// Creates an organisation.
#[derive(FromArgs)]
#[argh(subcommand, name = "create")]
struct Create {
    /// name of the organisation
    #[argh(positional)]
    id: String,
    /// rate limit in requests per second over the whole fleet
    #[argh(option)]
    rate: f64,
    /// number of requests allowed at once, at least 1
    #[argh(option)]
    burst: f64,
    /// weight in the fair queue, 1 by default
    #[argh(option, default = "1.0")]
    weight: f64,
    /// replace the organisation if it exists
    #[argh(switch)]
    replace: bool,
}

/// Lists the organisations.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Shows one organisation.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// name of the organisation
    #[argh(positional)]
    id: String,
}

/// Removes an organisation and withdraws its keys permanently.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// name of the organisation
    #[argh(positional)]
    id: String,
}

const HEADER: [&str; 5] = ["ORGANISATION", "RATE/S", "BURST", "WEIGHT", "KEYS"];

/// Runs the subcommand.
pub async fn run(session: &mut Session, args: Args) -> Result<ExitCode> {
    // Only `list` and `show` print the number of keys.
    let kinds: &[EntryKind] = match args.action {
        Action::List(_) | Action::Show(_) => &[EntryKind::Organisation, EntryKind::Key],
        Action::Create(_) | Action::Remove(_) => &[EntryKind::Organisation],
    };
    let config = session.config(kinds).await?;
    let row = |id: &str, organisation: &Organisation| {
        let Organisation { rate: Rate { per_second, burst }, weight } = organisation;
        let valid_keys =
            config.keys.values().filter(|key| !key.withdrawn && *key.organisation == *id);
        vec![
            id.to_owned(),
            per_second.to_string(),
            burst.to_string(),
            weight.to_string(),
            valid_keys.count().to_string(),
        ]
    };
    match args.action {
        Action::Create(create) => {
            let id: Box<str> = create.id.into();
            let rate = Rate { per_second: create.rate, burst: create.burst };
            let organisation = Organisation { rate, weight: create.weight };
            let existing = config.organisations.get(&id);
            check_overwrite("organisation", &id, existing, &organisation, create.replace)?;
            session.commit_one(&config, Change::PutOrganisation { id, organisation }).await
        }
        Action::List(List {}) => {
            let rows = config.organisations.iter().map(|(id, o)| row(id, o)).collect();
            session.print_entries(&config.organisations, &HEADER, rows)
        }
        Action::Show(Show { id }) => {
            let found = config.organisations.get(&*id);
            let organisation = found.ok_or_else(|| not_found("organisation", &id))?;
            let entries = BTreeMap::from([(&*id, organisation)]);
            session.print_entries(&entries, &HEADER, vec![row(&id, organisation)])
        }
        Action::Remove(Remove { id }) => {
            session.commit_one(&config, Change::RemoveOrganisation { id: id.into() }).await
        }
    }
}
