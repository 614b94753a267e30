use std::collections::BTreeMap;
use std::process::ExitCode;
use std::str::FromStr;

use anyhow::Result;
use argh::FromArgs;
use config::{Change, Service};
use kernel::{BackendLimits, BackendSpec, Place};
use operator::EntryKind;

use super::Session;
use super::session::{check_create, missing};
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
    /// name
    #[argh(positional)]
    id: String,
    /// least part of the backend servers that ejections must leave, 0 to 1
    #[argh(option)]
    floor: f64,
    /// backend server ID,IP:PORT,REGION,DOMAIN,SLOTS,CONNECTIONS and maybe ,draining; repeatable
    #[argh(option)]
    backend: Vec<Backend>,
    /// change the service if it exists
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
    /// name
    #[argh(positional)]
    id: String,
}

/// Removes a service that no route uses.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// name
    #[argh(positional)]
    id: String,
}

struct Backend(BackendSpec);

impl FromStr for Backend {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let form = "use ID,IP:PORT,REGION,DOMAIN,SLOTS,CONNECTIONS[,draining]";
        let parts: Vec<&str> = text.split(',').collect();
        let (parts, draining) = match parts.as_slice() {
            [parts @ .., "draining"] => (parts, true),
            parts => (parts, false),
        };
        let &[id, address, region, domain, slots, connections] = parts else {
            return Err(format!("{text:?} is not a backend server; {form}"));
        };
        let fault = |what: &str| format!("{what} of backend server {id:?} cannot be read; {form}");
        Ok(Backend(BackendSpec {
            id: id.into(),
            address: address.parse().map_err(|_| fault("the address"))?,
            place: Place { region: region.into(), domain: domain.into() },
            limits: BackendLimits {
                slots: slots.parse().map_err(|_| fault("the number of slots"))?,
                connections: connections.parse().map_err(|_| fault("the number of connections"))?,
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
            let backends = create.backend.into_iter().map(|Backend(backend)| backend).collect();
            let service = Service { min_healthy: create.floor, backends };
            let old = config.services.get(&id);
            check_create("service", &id, old, &service, create.replace)?;
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
            session.list(&config.services, &header, rows)
        }
        Action::Show(Show { id }) => {
            let service = config.services.get(&*id).ok_or_else(|| missing("service", &id))?;
            let one = BTreeMap::from([(&*id, service)]);
            session.report(&one, |_| {
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
