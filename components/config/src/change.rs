use kernel::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, Organisation, Route, Service};

/// One change of the fleet configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Creates or replaces an organisation.
    PutOrganisation {
        /// Its name.
        id: OrganisationId,
        /// What it becomes.
        organisation: Organisation,
    },
    /// Removes an organisation and withdraws its keys.
    RemoveOrganisation {
        /// Its name.
        id: OrganisationId,
    },
    /// Creates or replaces a service.
    PutService {
        /// Its name.
        id: ServiceId,
        /// What it becomes.
        service: Service,
    },
    /// Removes a service that no route uses.
    RemoveService {
        /// Its name.
        id: ServiceId,
    },
    /// Creates or replaces a route.
    PutRoute {
        /// Its name.
        id: RouteId,
        /// What it becomes.
        route: Route,
    },
    /// Removes a route.
    RemoveRoute {
        /// Its name.
        id: RouteId,
    },
    /// Lets a key in.
    IssueKey {
        /// Digest of the key.
        digest: KeyDigest,
        /// Organisation that requests with the key run for.
        organisation: OrganisationId,
    },
    /// Withdraws a key for good.
    WithdrawKey {
        /// Digest of the key.
        digest: KeyDigest,
    },
}

/// Changes that take effect together or not at all.
///
/// Only the final state has to be valid: a route may come before its service in one set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// Names the change set; asking again with the same id has no second effect.
    pub change_id: Box<str>,
    /// Version that the operator saw.
    pub base_version: ConfigVersion,
    /// The changes, in order. At least one.
    pub changes: Vec<Change>,
}

/// What one accepted change set did. Applied to version - 1 it gives version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Version that the delta leads to.
    pub version: ConfigVersion,
    /// Id of the change set.
    pub change_id: Box<str>,
    /// The changes, in order.
    pub changes: Vec<Change>,
}
