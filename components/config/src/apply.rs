use kernel::prelude::*;

use crate::check::Checker;
use crate::{
    Change, ChangeError, ChangeSet, Delta, FleetConfig, Key, KeyDigest, Route, ValidationErrorKind,
    ValidationErrors,
};

/// Applies a change set to the newest configuration and checks every value and reference.
///
/// The configuration is not changed on an error. Every fault is reported at once.
pub fn apply(config: &FleetConfig, set: &ChangeSet) -> Result<(FleetConfig, Delta), ChangeError> {
    if set.base_version != config.version {
        return Err(ChangeError::Conflict { base: set.base_version, current: config.version });
    }
    let mut checker = Checker::default();
    checker.name("change_id", &set.change_id);
    if set.changes.is_empty() {
        checker.add("changes", ValidationErrorKind::EmptyChangeSet);
    }
    let mut next = config.clone();
    for (i, change) in set.changes.iter().enumerate() {
        let at = format!("changes[{i}]");
        checker.change(&at, change);
        if let Some(kind) = find_obstacle(&next, change) {
            checker.add(at, kind);
        }
        enact(&mut next, change);
    }
    for (i, change) in set.changes.iter().enumerate() {
        check_references(&next, &format!("changes[{i}]"), change, &mut checker);
    }
    let faults = checker.into_faults();
    if !faults.is_empty() {
        return Err(ChangeError::Invalid(ValidationErrors(faults)));
    }
    next.version += 1;
    let changes = set.changes.clone();
    let delta = Delta { version: next.version, change_id: set.change_id.clone(), changes };
    Ok((next, delta))
}

/// Advances a configuration by a delta that was accepted before, without checking it again.
///
/// Returns false and changes nothing if the delta does not lead to the next version.
pub fn replay(config: &mut FleetConfig, delta: &Delta) -> bool {
    if delta.version != config.version + 1 {
        return false;
    }
    for change in &delta.changes {
        enact(config, change);
    }
    config.version = delta.version;
    true
}

/// What in the state before a change keeps it from being made.
fn find_obstacle(config: &FleetConfig, change: &Change) -> Option<ValidationErrorKind> {
    match change {
        Change::RemoveOrganisation { id } if !config.organisations.contains_key(id) => {
            Some(ValidationErrorKind::UnknownOrganisation(id.clone()))
        }
        Change::RemoveService { id } if !config.services.contains_key(id) => {
            Some(ValidationErrorKind::UnknownService(id.clone()))
        }
        Change::RemoveRoute { id } if !config.routes.contains_key(id) => {
            Some(ValidationErrorKind::UnknownRoute(id.clone()))
        }
        Change::IssueKey { digest, .. } => match config.keys.get(digest) {
            Some(key) if key.withdrawn => Some(ValidationErrorKind::KeyWithdrawn),
            Some(key) => Some(ValidationErrorKind::DuplicateKey(key.organisation.clone().into())),
            None => None,
        },
        Change::WithdrawKey { digest } if !config.keys.contains_key(digest) => {
            Some(ValidationErrorKind::UnknownKey(*digest))
        }
        _ => None,
    }
}

/// Makes a change. A key that was withdrawn stays so whatever the change says.
fn enact(config: &mut FleetConfig, change: &Change) {
    match change {
        Change::PutOrganisation { id, organisation } => {
            config.organisations.insert(id.into(), organisation.clone());
        }
        Change::RemoveOrganisation { id } => {
            config.organisations.remove(id);
            // Only the chunks that hold such keys are copied.
            let owned = config.keys.iter().filter(|(_, key)| key.organisation == *id);
            for digest in owned.map(|(digest, _)| *digest).collect::<Vec<_>>() {
                withdraw(config, &digest);
            }
        }
        Change::PutService { id, service } => {
            config.services.insert(id.clone(), service.clone());
        }
        Change::RemoveService { id } => {
            config.services.remove(id);
        }
        Change::PutRoute { id, route } => {
            config.routes.insert(id.clone(), route.clone());
        }
        Change::RemoveRoute { id } => {
            config.routes.remove(id);
        }
        Change::IssueKey { digest, organisation } => {
            let key = Key { organisation: organisation.into(), withdrawn: false };
            if !config.keys.contains_key(digest) {
                config.keys.insert(*digest, key);
            }
        }
        Change::WithdrawKey { digest } => withdraw(config, digest),
    }
}

fn withdraw(config: &mut FleetConfig, digest: &KeyDigest) {
    if let Some(key) = config.keys.get_mut(digest) {
        key.withdrawn = true;
    }
}

/// Checks in the final state what one change refers to or what refers to it.
fn check_references(config: &FleetConfig, at: &str, change: &Change, checker: &mut Checker) {
    match change {
        Change::RemoveOrganisation { id } if !config.organisations.contains_key(id) => {
            // Without this check a route that names only this organisation would let every key in
            // once the name is dropped from it.
            if let Some(route) = find_route(config, |route| route.organisations.contains(id)) {
                checker.add(at, ValidationErrorKind::UsedByRoute(route));
            }
        }
        Change::RemoveService { id } if !config.services.contains_key(id) => {
            if let Some(route) = find_route(config, |route| route.service == *id) {
                checker.add(at, ValidationErrorKind::UsedByRoute(route));
            }
        }
        Change::PutRoute { id, .. } => {
            // A later change of the set may have replaced or removed the route.
            if let Some(route) = config.routes.get(id) {
                check_route(config, at, id, route, checker);
            }
        }
        Change::IssueKey { digest, organisation } => {
            let works = config.keys.get(digest).is_some_and(|key| !key.withdrawn);
            if works && !config.organisations.contains_key(organisation) {
                let kind = ValidationErrorKind::UnknownOrganisation(organisation.clone());
                checker.add(format!("{at}.organisation"), kind);
            }
        }
        _ => {}
    }
}

fn find_route(config: &FleetConfig, uses: impl Fn(&Route) -> bool) -> Option<RouteId> {
    config.routes.iter().find(|(_, route)| uses(route)).map(|(id, _)| id.clone())
}

fn check_route(config: &FleetConfig, at: &str, id: &str, route: &Route, checker: &mut Checker) {
    if !config.services.contains_key(&route.service) {
        let kind = ValidationErrorKind::UnknownService(route.service.clone());
        checker.add(format!("{at}.route.service"), kind);
    }
    for (i, organisation) in route.organisations.iter().enumerate() {
        if !config.organisations.contains_key(organisation) {
            let kind = ValidationErrorKind::UnknownOrganisation(organisation.clone());
            checker.add(format!("{at}.route.organisations[{i}]"), kind);
        }
    }
    let prefix = route.prefix.trim_end_matches('/');
    let overlaps = |other: &Route| {
        other.prefix.trim_end_matches('/') == prefix
            && (route.methods.is_empty()
                || other.methods.is_empty()
                || route.methods.iter().any(|method| other.methods.contains(method)))
    };
    let other = config.routes.iter().find(|(other, route)| ***other != *id && overlaps(route));
    if let Some((other, _)) = other {
        checker.add(
            format!("{at}.route.prefix"),
            ValidationErrorKind::OverlappingRoute(other.clone()),
        );
    }
}
