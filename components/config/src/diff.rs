use crate::{Change, FleetConfig, SharedMap};

/// The changes that lead from one configuration to another.
///
/// Removals come last, so that nothing that is still used is removed. Keys that the desired
/// configuration lacks are withdrawn. A key that is withdrawn now and works in the desired
/// configuration is issued again, which [`apply`](crate::apply()) refuses.
pub fn diff(current: &FleetConfig, desired: &FleetConfig) -> Vec<Change> {
    let mut changes = Vec::new();
    for (id, organisation) in altered(&current.organisations, &desired.organisations) {
        let (id, organisation) = (id.clone().into(), organisation.clone());
        changes.push(Change::PutOrganisation { id, organisation });
    }
    for (id, service) in altered(&current.services, &desired.services) {
        changes.push(Change::PutService { id: id.clone(), service: service.clone() });
    }
    for (id, route) in altered(&current.routes, &desired.routes) {
        changes.push(Change::PutRoute { id: id.clone(), route: route.clone() });
    }
    diff_keys(current, desired, &mut changes);
    for id in dropped(&current.routes, &desired.routes) {
        changes.push(Change::RemoveRoute { id: id.clone() });
    }
    for id in dropped(&current.services, &desired.services) {
        changes.push(Change::RemoveService { id: id.clone() });
    }
    for id in dropped(&current.organisations, &desired.organisations) {
        changes.push(Change::RemoveOrganisation { id: id.clone().into() });
    }
    changes
}

fn diff_keys(current: &FleetConfig, desired: &FleetConfig, changes: &mut Vec<Change>) {
    for (digest, key) in altered(&current.keys, &desired.keys) {
        let same = current.keys.get(digest).filter(|old| old.organisation == key.organisation);
        if same.is_none_or(|old| old.withdrawn) {
            let (digest, organisation) = (*digest, key.organisation.clone().into());
            changes.push(Change::IssueKey { digest, organisation });
        }
        // The removal of an organisation withdraws its keys.
        let kept = desired.organisations.contains_key(&key.organisation);
        if key.withdrawn && (kept || same.is_none()) {
            changes.push(Change::WithdrawKey { digest: *digest });
        }
    }
    for digest in dropped(&current.keys, &desired.keys) {
        let key = &current.keys[digest];
        if !key.withdrawn && desired.organisations.contains_key(&key.organisation) {
            changes.push(Change::WithdrawKey { digest: *digest });
        }
    }
}

/// Entries of `desired` that `current` lacks or has with another value.
fn altered<'a, K: Ord, V: PartialEq>(
    current: &'a SharedMap<K, V>,
    desired: &'a SharedMap<K, V>,
) -> impl Iterator<Item = (&'a K, &'a V)> {
    desired.changes_since(current).filter_map(|change| Some((change.key, change.new?)))
}

/// Names of `current` that `desired` lacks.
fn dropped<'a, K: Ord, V: PartialEq>(
    current: &'a SharedMap<K, V>,
    desired: &'a SharedMap<K, V>,
) -> impl Iterator<Item = &'a K> {
    desired.changes_since(current).filter(|change| change.new.is_none()).map(|change| change.key)
}
