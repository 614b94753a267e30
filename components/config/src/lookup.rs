use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use kernel::prelude::*;

use crate::shared_map::Place;
use crate::{FleetConfig, Route, digest_key};

/// What a request's key gives it on a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Access {
    /// The route is open; the request runs for nobody.
    Public,
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

/// A prefix without the slashes at its end, which do not count.
fn trim(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

fn hash(prefix: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    hasher.finish()
}

/// A configuration with the indexes that requests need.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// Hashes of the prefixes of routes, sorted, with the places of the routes. A map by prefix
    /// took 10 MB and 32 ms for each change at 54,000 routes.
    prefixes: Vec<(u64, Place)>,
}

impl Lookup {
    /// Builds the indexes.
    pub fn new(config: Arc<FleetConfig>) -> Self {
        let entry = |(place, _, route): (Place, _, &Route)| (hash(trim(&route.prefix)), place);
        let mut prefixes: Vec<_> = config.routes.places().map(entry).collect();
        prefixes.sort_unstable();
        Lookup { config, prefixes }
    }

    /// Finds the route with the longest prefix of whole segments that takes the method.
    pub fn find_route(&self, method: &str, path: &str) -> Option<RouteMatch<'_>> {
        let mut prefix = trim(path);
        loop {
            let hash = hash(prefix);
            let first = self.prefixes.partition_point(|entry| entry.0 < hash);
            // The routes of one prefix differ in their methods.
            for (_, place) in self.prefixes[first..].iter().take_while(|entry| entry.0 == hash) {
                let (id, route) = self.config.routes.at(*place);
                if trim(&route.prefix) != prefix {
                    continue;
                }
                if route.methods.is_empty() || route.methods.iter().any(|m| &**m == method) {
                    return Some(RouteMatch { id, route });
                }
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    /// Decides for whom a request with this key runs on the route.
    pub fn authorize(&self, route: &Route, key: Option<&[u8]>) -> Access {
        if route.public {
            return Access::Public;
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
                    && !route.organisations.iter().any(|id| key.organisation == *id) =>
            {
                Access::Denied(RefusalKind::KeyForeign)
            }
            Some(key) => Access::Granted(key.organisation.clone().into()),
        }
    }
}
