use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use argh::FromArgs;
use config::{Change, Route};
use operator::EntryKind;

use super::Session;
use super::session::{check_create, missing};
use super::table::join;

/// Manages routes.
#[derive(FromArgs)]
#[argh(subcommand, name = "route")]
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

/// Creates a route.
#[derive(FromArgs)]
#[argh(subcommand, name = "create")]
struct Create {
    /// name
    #[argh(positional)]
    id: String,
    /// path prefix of whole segments
    #[argh(option)]
    prefix: String,
    /// service that runs the requests
    #[argh(option)]
    service: String,
    /// method such as GET; may be repeated; none takes all
    #[argh(option)]
    method: Vec<String>,
    /// needs no key
    #[argh(switch)]
    open: bool,
    /// a request may run more than once
    #[argh(switch)]
    idempotent: bool,
    /// weight inside an organisation's queue, 1 by default
    #[argh(option, default = "1.0")]
    weight: f64,
    /// milliseconds that a request without a deadline gets
    #[argh(option)]
    deadline_ms: u64,
    /// organisation that may use the route; may be repeated; none lets every key in
    #[argh(option)]
    organisation: Vec<String>,
    /// change the route if it exists
    #[argh(switch)]
    replace: bool,
}

/// Lists the routes.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Shows one route.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// name
    #[argh(positional)]
    id: String,
}

/// Removes a route.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// name
    #[argh(positional)]
    id: String,
}

const HEADER: [&str; 9] = [
    "ROUTE",
    "PREFIX",
    "METHODS",
    "SERVICE",
    "OPEN",
    "IDEMPOTENT",
    "WEIGHT",
    "DEADLINE",
    "ORGANISATIONS",
];

fn row(id: &str, route: &Route) -> Vec<String> {
    let yes = |flag| if flag { "yes" } else { "no" }.to_owned();
    vec![
        id.to_owned(),
        route.prefix.to_string(),
        join(&route.methods, "all"),
        route.service.to_string(),
        yes(route.public),
        yes(route.idempotent),
        route.weight.to_string(),
        format!("{} ms", route.deadline.as_millis()),
        join(&route.organisations, "all"),
    ]
}

/// Runs the subcommand.
pub async fn run(session: &mut Session, args: Args) -> Result<ExitCode> {
    let config = session.config(&[EntryKind::Route]).await?;
    match args.action {
        Action::Create(create) => {
            let boxed = |words: Vec<String>| words.into_iter().map(Into::into).collect();
            let route = Route {
                prefix: create.prefix.into(),
                methods: boxed(create.method),
                service: create.service.into(),
                public: create.open,
                idempotent: create.idempotent,
                weight: create.weight,
                deadline: Duration::from_millis(create.deadline_ms),
                organisations: boxed(create.organisation),
            };
            let id: Box<str> = create.id.into();
            check_create("route", &id, config.routes.get(&id), &route, create.replace)?;
            session.commit_one(&config, Change::PutRoute { id, route }).await
        }
        Action::List(List {}) => {
            let rows = config.routes.iter().map(|(id, route)| row(id, route)).collect();
            session.list(&config.routes, &HEADER, rows)
        }
        Action::Show(Show { id }) => {
            let route = config.routes.get(&*id).ok_or_else(|| missing("route", &id))?;
            session.list(&BTreeMap::from([(&*id, route)]), &HEADER, vec![row(&id, route)])
        }
        Action::Remove(Remove { id }) => {
            session.commit_one(&config, Change::RemoveRoute { id: id.into() }).await
        }
    }
}
