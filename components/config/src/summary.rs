use std::collections::BTreeMap;
use std::fmt;

use crate::{Change, FleetConfig};

/// Formats changes for people, one line each: `+` creates, `~` changes, `-` removes.
pub struct ChangeSummary<'a> {
    /// Configuration before the changes.
    pub current: &'a FleetConfig,
    /// The changes.
    pub changes: &'a [Change],
}

impl fmt::Display for ChangeSummary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.changes.iter().try_for_each(|change| self.write_change(f, change))
    }
}

impl ChangeSummary<'_> {
    fn write_change(&self, f: &mut fmt::Formatter<'_>, change: &Change) -> fmt::Result {
        match change {
            Change::PutOrganisation { id, organisation } => {
                let old = self.current.organisations.get(id);
                let fields = |o: &crate::Organisation| {
                    vec![
                        field("rate", format!("{}/s", o.rate.per_second)),
                        field("burst", o.rate.burst),
                        field("weight", o.weight),
                    ]
                };
                write_put(f, "organisation", id, old.map(fields), fields(organisation))
            }
            Change::PutService { id, service } => {
                let old = self.current.services.get(id);
                write_put(f, "service", id, old.map(service_fields), service_fields(service))
            }
            Change::PutRoute { id, route } => {
                let old = self.current.routes.get(id);
                write_put(f, "route", id, old.map(route_fields), route_fields(route))
            }
            Change::RemoveOrganisation { id } => {
                let owned = |key: &&crate::Key| !key.withdrawn && key.organisation == *id;
                let keys = self.current.keys.values().filter(owned).count();
                writeln!(f, "- organisation {id} (withdraws its {keys} keys)")
            }
            Change::RemoveService { id } => writeln!(f, "- service {id}"),
            Change::RemoveRoute { id } => writeln!(f, "- route {id}"),
            Change::IssueKey { digest, organisation } => {
                writeln!(f, "+ key {digest} for organisation {organisation}")
            }
            Change::WithdrawKey { digest } => match self.current.keys.get(digest) {
                Some(key) => writeln!(f, "- key {digest} of organisation {}", key.organisation),
                None => writeln!(f, "- key {digest}"),
            },
        }
    }
}

/// Field names and values of an entry.
type Fields = Vec<(String, String)>;

fn field(name: &str, value: impl ToString) -> (String, String) {
    (name.to_owned(), value.to_string())
}

fn write_put(
    f: &mut fmt::Formatter<'_>,
    kind: &str,
    id: &str,
    old: Option<Fields>,
    new: Fields,
) -> fmt::Result {
    let mut text = format!("{} {kind} {id}:", if old.is_some() { '~' } else { '+' });
    let mut old: BTreeMap<String, String> = old.into_iter().flatten().collect();
    let created = old.is_empty();
    for (name, value) in new {
        match old.remove(&name) {
            Some(previous) if previous == value => {}
            Some(previous) => text += &format!(" {name} {previous} -> {value},"),
            None if created => text += &format!(" {name} {value},"),
            None => text += &format!(" new {name} {value},"),
        }
    }
    for name in old.keys() {
        text += &format!(" without {name},");
    }
    writeln!(f, "{}", text.trim_end_matches(','))
}

fn service_fields(service: &crate::Service) -> Fields {
    let backends = service.backends.iter().map(|backend| {
        let (limits, place) = (backend.limits, &backend.place);
        let value = format!(
            "({} in {}/{}, {} slots, {} connections{})",
            backend.address,
            place.region,
            place.domain,
            limits.slots,
            limits.connections,
            if backend.draining { ", draining" } else { "" },
        );
        (format!("backend server {}", backend.id), value)
    });
    std::iter::once(field("floor", service.min_healthy)).chain(backends).collect()
}

fn route_fields(route: &crate::Route) -> Fields {
    let list = |items: &[Box<str>]| match items {
        [] => "all".to_owned(),
        items => format!("[{}]", items.join(" ")),
    };
    vec![
        field("prefix", &route.prefix),
        field("methods", list(&route.methods)),
        field("service", &route.service),
        field("open", route.public),
        field("idempotent", route.idempotent),
        field("weight", route.weight),
        field("deadline", format!("{} ms", route.deadline.as_millis())),
        field("organisations", list(&route.organisations)),
    ]
}
