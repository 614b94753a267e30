//! Reference model of change sets: flat lists that are searched linearly.

use config::{Access, Change, FleetConfig, KeyDigest, Lookup};
use kernel::RefusalKind;

/// Name, prefix, service, and the only organisation that may use it, if it is restricted.
type Route = (Box<str>, Box<str>, Box<str>, Option<Box<str>>);

/// Expected content of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Oracle {
    /// Newest version.
    pub version: u64,
    organisations: Vec<Box<str>>,
    services: Vec<Box<str>>,
    routes: Vec<Route>,
    /// Digest, organisation, whether the key is valid. Entries are never removed.
    keys: Vec<(KeyDigest, Box<str>, bool)>,
}

impl Oracle {
    /// Applies the changes, or none of them if one is invalid.
    pub fn apply_set(&mut self, changes: &[Change]) -> bool {
        let mut next = self.clone();
        next.version += 1;
        let valid = changes.iter().all(|change| next.apply_change(change));
        let accepted = valid && !changes.is_empty() && next.is_consistent();
        if accepted {
            *self = next;
        }
        accepted
    }

    fn apply_change(&mut self, change: &Change) -> bool {
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
                let allowed = route.organisations.first().cloned();
                self.routes.push((
                    id.clone(),
                    route.prefix.clone(),
                    route.service.clone(),
                    allowed,
                ));
                true
            }
            Change::RemoveRoute { id } => {
                let before = self.routes.len();
                self.routes.retain(|old| old.0 != *id);
                self.routes.len() < before
            }
            Change::IssueKey { digest, organisation } => {
                let is_new = self.keys.iter().all(|key| key.0 != *digest);
                self.keys.push((*digest, organisation.clone(), true));
                is_new
            }
            Change::WithdrawKey { digest } => {
                let key = self.keys.iter_mut().find(|key| key.0 == *digest);
                key.map(|key| key.2 = false).is_some()
            }
        }
    }

    /// Whether every reference is valid and no two routes match the same requests.
    fn is_consistent(&self) -> bool {
        let known = |organisation: &str| self.organisations.iter().any(|o| **o == *organisation);
        self.routes.iter().all(|(id, prefix, service, allowed)| {
            self.services.contains(service)
                && allowed.as_deref().is_none_or(known)
                && self.routes.iter().all(|other| other.0 == *id || other.1 != *prefix)
        }) && self.keys.iter().all(|key| !key.2 || known(&key.1))
    }

    /// Compares the routes and access of requests with these keys and paths.
    pub fn check(&self, config: &FleetConfig, keys: &[&[u8]], paths: &[String]) {
        assert_eq!(config.version, self.version);
        let lookup = Lookup::new(config.clone().into());
        for path in paths {
            let found = lookup.find_route("GET", path);
            let expected = self.routes.iter().find(|route| *route.1 == **path);
            assert_eq!(found.map(|found| found.id), expected.map(|route| &*route.0));
            let (Some(found), Some(expected)) = (found, expected) else { continue };
            for key in keys {
                let digest = config::digest_key(key);
                let stored = self.keys.iter().find(|key| key.0 == digest);
                let access = match stored {
                    None => Access::Denied(RefusalKind::KeyUnknown),
                    Some((_, _, false)) => Access::Denied(RefusalKind::KeyWithdrawn),
                    Some((_, organisation, true)) => match &expected.3 {
                        Some(allowed) if allowed != organisation => {
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
