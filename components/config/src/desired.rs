use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{FleetConfig, Key, KeyDigest, Name, Organisation, Route, Service, SharedMap};

/// Why a text is not a valid desired state.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{path}: {cause}; see the section \"Command line\" of docs/operating.md for the form")]
pub struct DesiredStateError {
    /// Path of the value, such as `services.stock.floor`; `.` is the whole file.
    pub path: Box<str>,
    /// Why the value is invalid.
    pub cause: Box<str>,
}

/// The state that an operator wants the fleet to have.
///
/// Only the keys may be left out: otherwise a file would remove every kind of entry that it does
/// not mention.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredState {
    /// Organisations by name.
    pub organisations: SharedMap<Name, Organisation>,
    /// Services by name.
    pub services: SharedMap<ServiceId, Service>,
    /// Routes by name.
    pub routes: SharedMap<RouteId, Route>,
    /// Keys by digest; `None` leaves the keys unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys: Option<SharedMap<KeyDigest, Key>>,
}

impl DesiredState {
    /// Parses a desired state from JSON.
    pub fn parse(json: &[u8]) -> Result<Self, DesiredStateError> {
        let mut reader = serde_json::Deserializer::from_slice(json);
        let state = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let path = error.path().to_string().into();
            DesiredStateError { path, cause: error.into_inner().to_string().into() }
        })?;
        reader.end().map_err(|error| {
            let cause = error.to_string().into();
            DesiredStateError { path: ".".into(), cause }
        })?;
        Ok(state)
    }

    /// The configuration that this state describes, with version and omitted keys of `current`.
    pub fn into_config(self, current: &FleetConfig) -> FleetConfig {
        FleetConfig {
            version: current.version,
            organisations: self.organisations,
            keys: self.keys.unwrap_or_else(|| current.keys.clone()),
            services: self.services,
            routes: self.routes,
        }
    }
}
