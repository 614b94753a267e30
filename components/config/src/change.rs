use kernel::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, Organisation, Route, Service};

/// One change of the fleet configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Creates or replaces an organisation.
    PutOrganisation {
        /// Name of the organisation.
        id: OrganisationId,
        /// New value.
        organisation: Organisation,
    },
    /// Removes an organisation and withdraws its keys.
    RemoveOrganisation {
        /// Name of the organisation.
        id: OrganisationId,
    },
    /// Creates or replaces a service.
    PutService {
        /// Name of the service.
        id: ServiceId,
        /// New value.
        service: Service,
    },
    /// Removes a service that no route uses.
    RemoveService {
        /// Name of the service.
        id: ServiceId,
    },
    /// Creates or replaces a route.
    PutRoute {
        /// Name of the route.
        id: RouteId,
        /// New value.
        route: Route,
    },
    /// Removes a route.
    RemoveRoute {
        /// Name of the route.
        id: RouteId,
    },
    /// Adds a key.
    IssueKey {
        /// Digest of the key.
        digest: KeyDigest,
        /// Organisation that requests with the key are accounted to.
        organisation: OrganisationId,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Digest of the key.
        digest: KeyDigest,
    },
}

/// Changes that are applied together or not at all.
///
/// Only the final state has to be valid: in one set, a route may come before its service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// Id of the change set. Sending the set again with the same id applies it only once.
    pub change_id: Box<str>,
    /// Version that the changes are based on; it has to be the newest one.
    pub base_version: ConfigVersion,
    /// The changes, in order; at least one.
    pub changes: Vec<Change>,
}

/// An accepted change set. Applied to the configuration of `version - 1`, it gives `version`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Version after the changes.
    pub version: ConfigVersion,
    /// Id of the change set.
    pub change_id: Box<str>,
    /// The changes, in order.
    pub changes: Vec<Change>,
}
