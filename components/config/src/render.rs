use std::fmt;

use crate::{Change, FleetConfig};

/// Shows changes to a person, one line each: `+` creates, `~` changes, `-` removes.
pub struct Rendering<'a> {
    /// Configuration that the changes apply to.
    pub current: &'a FleetConfig,
    /// The changes.
    pub changes: &'a [Change],
}

impl fmt::Display for Rendering<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.changes.iter().try_for_each(|change| self.line(f, change))
    }
}

impl Rendering<'_> {
    fn line(&self, f: &mut fmt::Formatter<'_>, change: &Change) -> fmt::Result {
        match change {
            Change::PutOrganisation { id, organisation } => {
                let old = self.current.organisations.get(id);
                let fields = |o: &crate::Organisation| {
                    vec![
                        ("rate", format!("{}/s", o.rate.per_second)),
                        ("burst", o.rate.burst.to_string()),
                        ("weight", o.weight.to_string()),
                    ]
                };
                put(f, "organisation", id, old.map(fields), fields(organisation))
            }
            Change::PutService { id, service } => {
                let old = self.current.services.get(id);
                put(f, "service", id, old.map(service_fields), service_fields(service))
            }
            Change::PutRoute { id, route } => {
                let old = self.current.routes.get(id);
                put(f, "route", id, old.map(route_fields), route_fields(route))
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

type Fields = Vec<(&'static str, String)>;

fn put(
    f: &mut fmt::Formatter<'_>,
    kind: &str,
    id: &str,
    old: Option<Fields>,
    new: Fields,
) -> fmt::Result {
    write!(f, "{} {kind} {id}:", if old.is_some() { '~' } else { '+' })?;
    for (i, (name, value)) in new.iter().enumerate() {
        match old.as_ref().map(|old| &old[i].1) {
            None => write!(f, " {name} {value}")?,
            Some(was) if was != value => write!(f, " {name} {was} -> {value}")?,
            Some(_) => {}
        }
    }
    writeln!(f)
}

fn service_fields(service: &crate::Service) -> Fields {
    let backends = service.backends.iter().map(|backend| {
        let (limits, place) = (backend.limits, &backend.place);
        format!(
            "{}@{} ({}/{}, {} slots, {} connections{})",
            backend.id,
            backend.address,
            place.region,
            place.domain,
            limits.slots,
            limits.connections,
            if backend.draining { ", draining" } else { "" },
        )
    });
    vec![("floor", service.floor.to_string()), ("backends", list(backends))]
}

fn route_fields(route: &crate::Route) -> Fields {
    let text = |items: &[Box<str>], none: &str| {
        if items.is_empty() { none.to_owned() } else { list(items.iter().map(|i| i.to_string())) }
    };
    vec![
        ("prefix", route.prefix.to_string()),
        ("methods", text(&route.methods, "all")),
        ("service", route.service.to_string()),
        ("open", route.open.to_string()),
        ("idempotent", route.idempotent.to_string()),
        ("weight", route.weight.to_string()),
        ("deadline", format!("{} ms", route.deadline.as_millis())),
        ("organisations", text(&route.organisations, "all")),
    ]
}

fn list(items: impl Iterator<Item = String>) -> String {
    format!("[{}]", items.collect::<Vec<_>>().join(", "))
}
