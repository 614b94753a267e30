use kernel::prelude::*;

use crate::check::Checker;
use crate::{
    Change, ChangeError, ChangeSet, Delta, FleetConfig, Key, KeyDigest, Route, ValidationErrorKind,
    ValidationErrors,
};

/// Validates a change set against the newest configuration and returns the next configuration.
///
/// An invalid change set is rejected as a whole, with every validation error at once.
pub fn apply(config: &FleetConfig, set: &ChangeSet) -> Result<(FleetConfig, Delta), ChangeError> {
    if set.base_version != config.version {
        return Err(ChangeError::Conflict { base: set.base_version, current: config.version });
    }
    let mut checker = Checker::default();
    checker.check_name("change_id", &set.change_id);
    if set.changes.is_empty() {
        checker.report("changes", ValidationErrorKind::EmptyChangeSet);
    }
    let mut next = config.clone();
    for (i, change) in set.changes.iter().enumerate() {
        let path = format!("changes[{i}]");
        checker.check_change(&path, change);
        if let Some(kind) = check_precondition(&next, change) {
            checker.report(path, kind);
        }
        apply_change(&mut next, change);
    }
    for (i, change) in set.changes.iter().enumerate() {
        check_references(&next, &format!("changes[{i}]"), change, &mut checker);
    }
    let errors = checker.into_errors();
    if !errors.is_empty() {
        return Err(ChangeError::Invalid(ValidationErrors(errors)));
    }
    next.version += 1;
    let changes = set.changes.clone();
    let delta = Delta { version: next.version, change_id: set.change_id.clone(), changes };
    Ok((next, delta))
}

/// Applies an accepted delta without validating it again.
///
/// Returns false and leaves the configuration as it is if the delta is not the next version.
pub fn replay(config: &mut FleetConfig, delta: &Delta) -> bool {
    if delta.version != config.version + 1 {
        return false;
    }
    for change in &delta.changes {
        apply_change(config, change);
    }
    config.version = delta.version;
    true
}

/// Checks that the state before a change allows it: what is removed exists, and an issued key is
/// new.
fn check_precondition(config: &FleetConfig, change: &Change) -> Option<ValidationErrorKind> {
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

/// Applies one change. A withdrawn key stays withdrawn, whatever the change.
fn apply_change(config: &mut FleetConfig, change: &Change) {
    match change {
        Change::PutOrganisation { id, organisation } => {
            config.organisations.insert(id.into(), organisation.clone());
        }
        Change::RemoveOrganisation { id } => {
            config.organisations.remove(id);
            // Collects the digests first, so that only the chunks that hold such keys are copied.
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

/// Checks in the final state that what one change refers to exists, and that nothing refers to
/// what it removed.
fn check_references(config: &FleetConfig, path: &str, change: &Change, checker: &mut Checker) {
    match change {
        Change::RemoveOrganisation { id } if !config.organisations.contains_key(id) => {
            // A route that allows only this organisation would allow every key once the
            // organisation is removed from its list.
            if let Some(route) = find_route_using(config, |route| route.organisations.contains(id))
            {
                checker.report(path, ValidationErrorKind::UsedByRoute(route));
            }
        }
        Change::RemoveService { id } if !config.services.contains_key(id) => {
            if let Some(route) = find_route_using(config, |route| route.service == *id) {
                checker.report(path, ValidationErrorKind::UsedByRoute(route));
            }
        }
        Change::PutRoute { id, .. } => {
            // A later change of the set may have replaced or removed this route.
            if let Some(route) = config.routes.get(id) {
                check_route(config, path, id, route, checker);
            }
        }
        Change::IssueKey { digest, organisation } => {
            let active = config.keys.get(digest).is_some_and(|key| !key.withdrawn);
            if active && !config.organisations.contains_key(organisation) {
                let kind = ValidationErrorKind::UnknownOrganisation(organisation.clone());
                checker.report(format!("{path}.organisation"), kind);
            }
        }
        _ => {}
    }
}

fn find_route_using(config: &FleetConfig, uses: impl Fn(&Route) -> bool) -> Option<RouteId> {
    config.routes.iter().find(|(_, route)| uses(route)).map(|(id, _)| id.clone())
}

fn check_route(config: &FleetConfig, path: &str, id: &str, route: &Route, checker: &mut Checker) {
    if !config.services.contains_key(&route.service) {
        let kind = ValidationErrorKind::UnknownService(route.service.clone());
        checker.report(format!("{path}.route.service"), kind);
    }
    for (i, organisation) in route.organisations.iter().enumerate() {
        if !config.organisations.contains_key(organisation) {
            let kind = ValidationErrorKind::UnknownOrganisation(organisation.clone());
            checker.report(format!("{path}.route.organisations[{i}]"), kind);
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
        checker.report(
            format!("{path}.route.prefix"),
            ValidationErrorKind::OverlappingRoute(other.clone()),
        );
    }
}
