use std::collections::HashMap;
use std::sync::Arc;

use kernel::prelude::*;

use crate::{FleetConfig, Route, digest_key};

/// What a request's key gives it on a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Access {
    /// The route is open; the request runs for nobody.
    Open,
    /// The request runs for this organisation.
    Granted(OrganisationId),
    /// The request must not run.
    Denied(RefusalKind),
}

/// A route that matches a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    /// Name of the route.
    pub id: &'a str,
    /// The route.
    pub route: &'a Route,
}

/// A configuration with the indexes that requests need.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// Routes by prefix; the routes of one prefix differ in their methods.
    prefixes: HashMap<Box<str>, Vec<RouteId>>,
}

impl Lookup {
    /// Builds the indexes.
    pub fn new(config: Arc<FleetConfig>) -> Self {
        let mut prefixes: HashMap<Box<str>, Vec<RouteId>> = HashMap::new();
        for (id, route) in &config.routes {
            let prefix = route.prefix.trim_end_matches('/');
            prefixes.entry(prefix.into()).or_default().push(id.clone());
        }
        Lookup { config, prefixes }
    }

    /// Finds the route with the longest prefix of whole segments that takes the method.
    pub fn route(&self, method: &str, path: &str) -> Option<RouteMatch<'_>> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            for id in self.prefixes.get(prefix).into_iter().flatten() {
                let route = &self.config.routes[id];
                if route.methods.is_empty() || route.methods.iter().any(|m| &**m == method) {
                    return Some(RouteMatch { id, route });
                }
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    /// Decides for whom a request with this key runs on the route.
    pub fn access(&self, route: &Route, key: Option<&[u8]>) -> Access {
        if route.open {
            return Access::Open;
        }
        let Some(key) = key else {
            return Access::Denied(RefusalKind::KeyMissing);
        };
        // The lookup is by digest, so that its time tells nothing about the key.
        match self.config.keys.get(&digest_key(key)) {
            None => Access::Denied(RefusalKind::KeyUnknown),
            Some(key) if key.withdrawn => Access::Denied(RefusalKind::KeyWithdrawn),
            Some(key) if !self.config.organisations.contains_key(&key.organisation) => {
                Access::Denied(RefusalKind::KeyUnknown)
            }
            Some(key)
                if !route.organisations.is_empty()
                    && !route.organisations.contains(&key.organisation) =>
            {
                Access::Denied(RefusalKind::KeyForeign)
            }
            Some(key) => Access::Granted(key.organisation.clone()),
        }
    }
}
