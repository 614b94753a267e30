use crate::{Change, FleetConfig, SharedMap};

/// Computes the changes that turn one configuration into another.
///
/// Removals come last, so that nothing is removed while it is still referred to. Keys that the
/// desired configuration lacks are withdrawn. A withdrawn key that is valid in the desired
/// configuration is issued again, which [`apply`](crate::apply()) rejects.
pub fn diff(current: &FleetConfig, desired: &FleetConfig) -> Vec<Change> {
    let mut changes = Vec::new();
    for (id, organisation) in changed_entries(&current.organisations, &desired.organisations) {
        let (id, organisation) = (id.clone().into(), organisation.clone());
        changes.push(Change::PutOrganisation { id, organisation });
    }
    for (id, service) in changed_entries(&current.services, &desired.services) {
        changes.push(Change::PutService { id: id.clone(), service: service.clone() });
    }
    for (id, route) in changed_entries(&current.routes, &desired.routes) {
        changes.push(Change::PutRoute { id: id.clone(), route: route.clone() });
    }
    diff_keys(current, desired, &mut changes);
    for id in removed_keys(&current.routes, &desired.routes) {
        changes.push(Change::RemoveRoute { id: id.clone() });
    }
    for id in removed_keys(&current.services, &desired.services) {
        changes.push(Change::RemoveService { id: id.clone() });
    }
    for id in removed_keys(&current.organisations, &desired.organisations) {
        changes.push(Change::RemoveOrganisation { id: id.clone().into() });
    }
    changes
}

fn diff_keys(current: &FleetConfig, desired: &FleetConfig, changes: &mut Vec<Change>) {
    for (digest, key) in changed_entries(&current.keys, &desired.keys) {
        let same = current.keys.get(digest).filter(|old| old.organisation == key.organisation);
        if same.is_none_or(|old| old.withdrawn) {
            let (digest, organisation) = (*digest, key.organisation.clone().into());
            changes.push(Change::IssueKey { digest, organisation });
        }
        // Removing an organisation withdraws its keys, so they need no change of their own.
        let organisation_kept = desired.organisations.contains_key(&key.organisation);
        if key.withdrawn && (organisation_kept || same.is_none()) {
            changes.push(Change::WithdrawKey { digest: *digest });
        }
    }
    for digest in removed_keys(&current.keys, &desired.keys) {
        let key = &current.keys[digest];
        if !key.withdrawn && desired.organisations.contains_key(&key.organisation) {
            changes.push(Change::WithdrawKey { digest: *digest });
        }
    }
}

/// Entries of `desired` that are missing from `current` or have another value there.
fn changed_entries<'a, K: Ord, V: PartialEq>(
    current: &'a SharedMap<K, V>,
    desired: &'a SharedMap<K, V>,
) -> impl Iterator<Item = (&'a K, &'a V)> {
    desired.changes_since(current).filter_map(|change| Some((change.key, change.new?)))
}

/// Map keys of `current` that are missing from `desired`.
fn removed_keys<'a, K: Ord, V: PartialEq>(
    current: &'a SharedMap<K, V>,
    desired: &'a SharedMap<K, V>,
) -> impl Iterator<Item = &'a K> {
    desired.changes_since(current).filter(|change| change.new.is_none()).map(|change| change.key)
}
