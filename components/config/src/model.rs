use kernel::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{KeyDigest, Name, SharedMap};

/// An organisation that uses the operator's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Rate and burst over the whole fleet.
    pub rate: Rate,
    /// Weight in the fair queue. Above 0.
    pub weight: f64,
}

/// A key of an organisation. The key itself is not kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Organisation that requests with this key run for.
    pub organisation: Name,
    /// True once the key was withdrawn; a withdrawn key never works again.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A service and its backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Least part of the backend servers that ejections must leave, in [0, 1].
    pub floor: f64,
    /// Backend servers; ids are unique.
    pub backends: Vec<BackendSpec>,
}

/// A route from a path to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix; matches whole segments. The longest matching prefix wins.
    pub prefix: Box<str>,
    /// Methods that the route takes; empty takes all.
    #[serde(default)]
    pub methods: Vec<Box<str>>,
    /// Service that runs the requests.
    pub service: ServiceId,
    /// True if no key is needed.
    #[serde(default)]
    pub open: bool,
    /// True if a request may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Weight inside an organisation's queue. Above 0.
    pub weight: f64,
    /// Time that a request without a deadline gets. Whole milliseconds, above 0.
    #[serde(rename = "deadline_ms", with = "crate::millis")]
    pub deadline: Duration,
    /// Organisations that may use the route; empty lets every key in.
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
