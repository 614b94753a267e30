use kernel::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, Name, SharedMap};

/// An organisation that uses the operator's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Rate limit and burst over the whole fleet.
    pub rate: Rate,
    /// Weight in the fair queue, above 0.
    pub weight: f64,
}

/// An API key of an organisation, stored by its digest only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Organisation that requests with this key are accounted to.
    pub organisation: Name,
    /// True once the key is withdrawn; a withdrawn key is never valid again.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A service and its backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Minimum fraction of the backend servers that ejections must leave, in [0, 1].
    #[serde(rename = "floor")]
    pub min_healthy: f64,
    /// Backend servers; ids are unique.
    pub backends: Vec<BackendSpec>,
}

/// A route from a path to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, matched by whole segments; the longest match wins.
    pub prefix: Box<str>,
    /// Allowed HTTP methods; empty allows all.
    #[serde(default)]
    pub methods: Vec<Box<str>>,
    /// Service that handles the requests.
    pub service: ServiceId,
    /// True if requests need no key.
    #[serde(default, rename = "open")]
    pub public: bool,
    /// True if a request may be executed more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Weight within an organisation's queue, above 0.
    pub weight: f64,
    /// Time limit of a request that sets no deadline, in whole milliseconds above 0.
    #[serde(rename = "deadline_ms", with = "crate::millis")]
    pub deadline: Duration,
    /// Organisations that may use the route; empty allows every valid key.
    #[serde(default)]
    pub organisations: Vec<OrganisationId>,
}

/// The whole configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Version; 0 is the empty configuration of a new fleet.
    pub version: ConfigVersion,
    /// Organisations by name.
    pub organisations: SharedMap<Name, Organisation>,
    /// Keys by digest.
    pub keys: SharedMap<KeyDigest, Key>,
    /// Services by name.
    pub services: SharedMap<ServiceId, Service>,
    /// Routes by name.
    pub routes: SharedMap<RouteId, Route>,
}
