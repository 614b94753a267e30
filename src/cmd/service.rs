use std::collections::BTreeMap;
use std::process::ExitCode;
use std::str::FromStr;

use anyhow::Result;
use argh::FromArgs;
use config::{Change, Service};
use kernel::{BackendLimits, BackendSpec, Place};
use operator::EntryKind;

use super::Session;
use super::session::{check_overwrite, not_found};
use super::table::render_table;

/// Manages services.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
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

/// Creates a service.
#[derive(FromArgs)]
#[argh(subcommand, name = "create")]
struct Create {
    /// name of the service
    #[argh(positional)]
    id: String,
    /// minimum fraction of the backend servers that is never ejected, 0 to 1
    #[argh(option)]
    floor: f64,
    /// backend server ID,IP:PORT,REGION,DOMAIN,SLOTS,CONNECTIONS, optionally followed by
    /// ,draining; may be repeated
    #[argh(option)]
    backend: Vec<BackendArg>,
    /// replace the service if it exists
    #[argh(switch)]
    replace: bool,
}

/// Lists the services.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Shows one service and its backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// name of the service
    #[argh(positional)]
    id: String,
}

/// Removes a service that no route uses.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// name of the service
    #[argh(positional)]
    id: String,
}

/// Value of `--backend`.
struct BackendArg(BackendSpec);

impl FromStr for BackendArg {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let format = "use ID,IP:PORT,REGION,DOMAIN,SLOTS,CONNECTIONS[,draining]";
        let fields: Vec<&str> = text.split(',').collect();
        let (fields, draining) = match fields.as_slice() {
            [fields @ .., "draining"] => (fields, true),
            fields => (fields, false),
        };
        let &[id, address, region, domain, slots, connections] = fields else {
            return Err(format!("{text:?} is not a backend server; {format}"));
        };
        let invalid = |what: &str| format!("{what} of backend server {id:?} is invalid; {format}");
        Ok(BackendArg(BackendSpec {
            id: id.into(),
            address: address.parse().map_err(|_| invalid("the address"))?,
            place: Place { region: region.into(), domain: domain.into() },
            limits: BackendLimits {
                slots: slots.parse().map_err(|_| invalid("the number of slots"))?,
                connections: connections
                    .parse()
                    .map_err(|_| invalid("the number of connections"))?,
            },
            draining,
        }))
    }
}

/// Runs the subcommand.
pub async fn run(session: &mut Session, args: Args) -> Result<ExitCode> {
    let config = session.config(&[EntryKind::Service]).await?;
    match args.action {
        Action::Create(create) => {
            let id: Box<str> = create.id.into();
            let backends = create.backend.into_iter().map(|BackendArg(backend)| backend).collect();
            let service = Service { min_healthy: create.floor, backends };
            let existing = config.services.get(&id);
            check_overwrite("service", &id, existing, &service, create.replace)?;
            session.commit_one(&config, Change::PutService { id, service }).await
        }
        Action::List(List {}) => {
            let row = |id: &str, service: &Service| {
                let draining = service.backends.iter().filter(|backend| backend.draining).count();
                let slots: u32 = service.backends.iter().map(|backend| backend.limits.slots).sum();
                vec![
                    id.to_owned(),
                    service.min_healthy.to_string(),
                    service.backends.len().to_string(),
                    draining.to_string(),
                    slots.to_string(),
                ]
            };
            let header = ["SERVICE", "FLOOR", "BACKEND SERVERS", "DRAINING", "SLOTS"];
            let rows = config.services.iter().map(|(id, service)| row(id, service)).collect();
            session.print_entries(&config.services, &header, rows)
        }
        Action::Show(Show { id }) => {
            let service = config.services.get(&*id).ok_or_else(|| not_found("service", &id))?;
            let entries = BTreeMap::from([(&*id, service)]);
            session.print_result(&entries, |_| {
                format!("service {id}, floor {}\n{}", service.min_healthy, render_backends(service))
            })
        }
        Action::Remove(Remove { id }) => {
            session.commit_one(&config, Change::RemoveService { id: id.into() }).await
        }
    }
}

fn render_backends(service: &Service) -> String {
    let row = |backend: &BackendSpec| {
        vec![
            backend.id.to_string(),
            backend.address.to_string(),
            backend.place.region.to_string(),
            backend.place.domain.to_string(),
            backend.limits.slots.to_string(),
            backend.limits.connections.to_string(),
            if backend.draining { "yes" } else { "no" }.to_owned(),
        ]
    };
    let rows: Vec<_> = service.backends.iter().map(row).collect();
    let header =
        ["BACKEND SERVER", "ADDRESS", "REGION", "DOMAIN", "SLOTS", "CONNECTIONS", "DRAINING"];
    render_table(&header, &rows)
}
