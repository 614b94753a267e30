use std::collections::HashMap;

use kernel::prelude::*;

/// Position of a route in its catalogue.
pub type RouteIndex = usize;
/// Position of an organisation in its catalogue.
pub type OrganisationIndex = usize;

/// A service and its part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceWeight {
    /// Service.
    pub service: ServiceId,
    /// Part of the requests, relative to the other weights of the route.
    pub weight: u32,
}

/// A route from a host and path prefix to one or more services.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayRoute {
    /// Name of the route.
    pub id: RouteId,
    /// Host that callers name, in lower case and without a port.
    pub host: Box<str>,
    /// Path prefix. Begins and ends with a slash.
    pub prefix: Box<str>,
    /// Services that run the requests. Never empty; the sum of the weights is above 0.
    pub services: Vec<ServiceWeight>,
    /// True if a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most backend servers that one request may be sent to. At least 1.
    pub max_attempts: u32,
    /// True if no key is needed.
    pub open: bool,
}

/// An organisation whose keys admit requests.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayOrganisation {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// Rank that replaces that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Rate and burst over all VMs; none is unlimited.
    pub rate: Option<Rate>,
}

/// What the fleet knows of a service besides its backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayService {
    /// Path of the health check.
    pub health_path: Box<str>,
    /// Connections that one backend server accepts from all VMs together.
    pub connections: u32,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a caller's connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // In force until the first configuration; common limits of HTTP servers.
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Parts of a configuration that have not been checked against each other.
#[derive(Clone, Debug, Default)]
pub struct CatalogueParts {
    /// Version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<GatewayRoute>,
    /// Services by name.
    pub services: HashMap<ServiceId, GatewayService>,
    /// Organisations, with their keys.
    pub organisations: Vec<(GatewayOrganisation, Vec<Box<str>>)>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

/// Why a configuration is refused as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogueFault {
    /// A route names no service, an unknown one, or only weights of zero.
    Services(RouteId),
    /// A route's prefix does not begin and end with a slash.
    Prefix(RouteId),
    /// Two routes have the same host and prefix.
    SameRoute(RouteId),
    /// Two organisations have the same key.
    SharedKey(OrganisationId),
}

impl std::fmt::Display for CatalogueFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CatalogueFault::Services(route) => {
                write!(f, "route {route} needs known services with a weight above 0")
            }
            CatalogueFault::Prefix(route) => {
                write!(f, "the prefix of route {route} must begin and end with a slash")
            }
            CatalogueFault::SameRoute(route) => {
                write!(f, "route {route} has the host and prefix of another route")
            }
            CatalogueFault::SharedKey(organisation) => {
                write!(f, "a key of organisation {organisation} belongs to another one too")
            }
        }
    }
}

impl std::error::Error for CatalogueFault {}

/// Why a request has no route or no access to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// No route matches.
    NoRoute,
    /// The route needs a key and the request has none.
    NoKey,
    /// No organisation has this key.
    UnknownKey,
}

/// One version of the configuration with the indexes that requests need.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    /// Version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<GatewayRoute>,
    /// Services by name.
    pub services: HashMap<ServiceId, GatewayService>,
    /// Organisations.
    pub organisations: Vec<GatewayOrganisation>,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// Routes by host and prefix.
    prefixes: HashMap<Box<str>, HashMap<Box<str>, RouteIndex>>,
    /// Organisations by key. Keys are random, so that a lookup's time tells nothing of others.
    keys: HashMap<Box<str>, OrganisationIndex>,
}

impl TryFrom<CatalogueParts> for Catalogue {
    type Error = CatalogueFault;

    fn try_from(parts: CatalogueParts) -> Result<Self, CatalogueFault> {
        let mut prefixes: HashMap<Box<str>, HashMap<Box<str>, RouteIndex>> = HashMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            let known = route.services.iter().all(|s| parts.services.contains_key(&s.service));
            if !known || route.services.iter().all(|s| s.weight == 0) {
                return Err(CatalogueFault::Services(route.id.clone()));
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(CatalogueFault::Prefix(route.id.clone()));
            }
            let host = prefixes.entry(route.host.clone()).or_default();
            if host.insert(route.prefix.clone(), index).is_some() {
                return Err(CatalogueFault::SameRoute(route.id.clone()));
            }
        }
        let mut keys = HashMap::new();
        let mut organisations = Vec::with_capacity(parts.organisations.len());
        for (organisation, own) in parts.organisations {
            let index = organisations.len();
            for key in own {
                if keys.insert(key, index).is_some_and(|other| other != index) {
                    return Err(CatalogueFault::SharedKey(organisation.id));
                }
            }
            organisations.push(organisation);
        }
        Ok(Catalogue {
            version: parts.version,
            routes: parts.routes,
            services: parts.services,
            organisations,
            limits: parts.limits,
            prefixes,
            keys,
        })
    }
}

impl Catalogue {
    /// Finds the route of a host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&GatewayRoute> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.prefixes.get(name) {
            Some(prefixes) => prefixes,
            None => self.prefixes.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(index) = prefixes.get(&rest[..=slash]) {
                return self.routes.get(*index);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Decides for whom a request runs on a route; none on an open route.
    pub fn admit(
        &self,
        route: &GatewayRoute,
        key: Option<&str>,
    ) -> Result<Option<&GatewayOrganisation>, Denied> {
        if route.open || self.organisations.is_empty() {
            return Ok(None);
        }
        let key = key.ok_or(Denied::NoKey)?;
        let index = self.keys.get(key).ok_or(Denied::UnknownKey)?;
        Ok(self.organisations.get(*index))
    }
}
