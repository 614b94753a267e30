//! A simple second opinion on what change sets do: flat lists, searched from front to back.

use config::{Access, Change, FleetConfig, KeyDigest, Lookup};
use kernel::RefusalKind;

/// Name, prefix, service, organisation that alone may use it.
type Route = (Box<str>, Box<str>, Box<str>, Option<Box<str>>);

/// What the configuration should hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Oracle {
    /// Newest version.
    pub version: u64,
    organisations: Vec<Box<str>>,
    services: Vec<Box<str>>,
    routes: Vec<Route>,
    /// Digest, organisation, whether it works. Nothing is ever taken out.
    keys: Vec<(KeyDigest, Box<str>, bool)>,
}

impl Oracle {
    /// Makes the changes, or none of them if one is not possible.
    pub fn accept(&mut self, changes: &[Change]) -> bool {
        let mut next = self.clone();
        next.version += 1;
        let possible = changes.iter().all(|change| next.step(change));
        let accepted = possible && !changes.is_empty() && next.is_whole();
        if accepted {
            *self = next;
        }
        accepted
    }

    fn step(&mut self, change: &Change) -> bool {
        match change {
            Change::PutOrganisation { id, organisation } => {
                self.organisations.retain(|old| old != id);
                self.organisations.push(id.clone());
                organisation.rate.per_second >= 0.0
            }
            Change::RemoveOrganisation { id } => {
                self.keys.iter_mut().filter(|key| key.1 == *id).for_each(|key| key.2 = false);
                let before = self.organisations.len();
                self.organisations.retain(|old| old != id);
                self.organisations.len() < before
            }
            Change::PutService { id, service } => {
                self.services.retain(|old| old != id);
                self.services.push(id.clone());
                service.min_healthy <= 1.0
            }
            Change::RemoveService { id } => {
                let before = self.services.len();
                self.services.retain(|old| old != id);
                self.services.len() < before
            }
            Change::PutRoute { id, route } => {
                self.routes.retain(|old| old.0 != *id);
                let only = route.organisations.first().cloned();
                self.routes.push((id.clone(), route.prefix.clone(), route.service.clone(), only));
                true
            }
            Change::RemoveRoute { id } => {
                let before = self.routes.len();
                self.routes.retain(|old| old.0 != *id);
                self.routes.len() < before
            }
            Change::IssueKey { digest, organisation } => {
                let fresh = self.keys.iter().all(|key| key.0 != *digest);
                self.keys.push((*digest, organisation.clone(), true));
                fresh
            }
            Change::WithdrawKey { digest } => {
                let key = self.keys.iter_mut().find(|key| key.0 == *digest);
                key.map(|key| key.2 = false).is_some()
            }
        }
    }

    /// Whether everything that is referred to exists and no two routes take the same requests.
    fn is_whole(&self) -> bool {
        let known = |organisation: &str| self.organisations.iter().any(|o| **o == *organisation);
        self.routes.iter().all(|(id, prefix, service, only)| {
            self.services.contains(service)
                && only.as_deref().is_none_or(known)
                && self.routes.iter().all(|other| other.0 == *id || other.1 != *prefix)
        }) && self.keys.iter().all(|key| !key.2 || known(&key.1))
    }

    /// Compares what requests with these keys on these paths get.
    pub fn check(&self, config: &FleetConfig, keys: &[&[u8]], paths: &[String]) {
        assert_eq!(config.version, self.version);
        let lookup = Lookup::new(config.clone().into());
        for path in paths {
            let found = lookup.find_route("GET", path);
            let wanted = self.routes.iter().find(|route| *route.1 == **path);
            assert_eq!(found.map(|found| found.id), wanted.map(|route| &*route.0));
            let (Some(found), Some(wanted)) = (found, wanted) else { continue };
            for key in keys {
                let digest = config::digest_key(key);
                let held = self.keys.iter().find(|key| key.0 == digest);
                let access = match held {
                    None => Access::Denied(RefusalKind::KeyUnknown),
                    Some((_, _, false)) => Access::Denied(RefusalKind::KeyWithdrawn),
                    Some((_, organisation, true)) => match &wanted.3 {
                        Some(only) if only != organisation => {
                            Access::Denied(RefusalKind::KeyForeign)
                        }
                        _ => Access::Granted(organisation.clone()),
                    },
                };
                assert_eq!(lookup.authorize(found.route, Some(key)), access);
            }
        }
    }
}
