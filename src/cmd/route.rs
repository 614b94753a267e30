use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use argh::FromArgs;
use config::{Change, Route};
use operator::EntryKind;

use super::Session;
use super::session::{check_overwrite, not_found};
use super::table::join_names;

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
    /// name of the route
    #[argh(positional)]
    id: String,
    /// path prefix, matched by whole segments
    #[argh(option)]
    prefix: String,
    /// service whose backend servers run the requests
    #[argh(option)]
    service: String,
    /// accepted method such as GET; may be repeated; all methods without it
    #[argh(option)]
    method: Vec<String>,
    /// make the route public: requests need no key
    #[argh(switch)]
    open: bool,
    /// requests are idempotent and may run more than once
    #[argh(switch)]
    idempotent: bool,
    /// weight within the queue of an organisation, 1 by default
    #[argh(option, default = "1.0")]
    weight: f64,
    /// default deadline of requests in milliseconds
    #[argh(option)]
    deadline_ms: u64,
    /// organisation that may use the route; may be repeated; all organisations without it
    #[argh(option)]
    organisation: Vec<String>,
    /// replace the route if it exists
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
    /// name of the route
    #[argh(positional)]
    id: String,
}

/// Removes a route.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// name of the route
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
    let yes_or_no = |flag| if flag { "yes" } else { "no" }.to_owned();
    vec![
        id.to_owned(),
        route.prefix.to_string(),
        join_names(&route.methods, "all"),
        route.service.to_string(),
        yes_or_no(route.public),
        yes_or_no(route.idempotent),
        route.weight.to_string(),
        format!("{} ms", route.deadline.as_millis()),
        join_names(&route.organisations, "all"),
    ]
}

/// Runs the subcommand.
pub async fn run(session: &mut Session, args: Args) -> Result<ExitCode> {
    let config = session.config(&[EntryKind::Route]).await?;
    match args.action {
        Action::Create(create) => {
            let boxed = |texts: Vec<String>| texts.into_iter().map(Into::into).collect();
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
            check_overwrite("route", &id, config.routes.get(&id), &route, create.replace)?;
            session.commit_one(&config, Change::PutRoute { id, route }).await
        }
        Action::List(List {}) => {
            let rows = config.routes.iter().map(|(id, route)| row(id, route)).collect();
            session.print_entries(&config.routes, &HEADER, rows)
        }
        Action::Show(Show { id }) => {
            let route = config.routes.get(&*id).ok_or_else(|| not_found("route", &id))?;
            session.print_entries(&BTreeMap::from([(&*id, route)]), &HEADER, vec![row(&id, route)])
        }
        Action::Remove(Remove { id }) => {
            session.commit_one(&config, Change::RemoveRoute { id: id.into() }).await
        }
    }
}
