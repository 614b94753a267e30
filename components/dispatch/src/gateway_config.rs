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
    pub path_prefix: Box<str>,
    /// Services that run the requests. Never empty; the sum of the weights is above 0.
    pub services: Vec<ServiceWeight>,
    /// True if a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub latency_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Most backend servers that one request may be sent to. At least 1.
    pub max_attempts: u32,
    /// True if no key is needed.
    pub public: bool,
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
    pub max_connections: u32,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a caller's connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // In force until the first configuration; common limits of HTTP servers.
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Parts of a configuration that have not been checked against each other.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfigParts {
    /// Version.
    pub version: Version,
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
pub enum GatewayConfigError {
    /// A route names no service, an unknown one, or only weights of zero.
    InvalidServices(RouteId),
    /// A route's prefix does not begin and end with a slash.
    InvalidPrefix(RouteId),
    /// Two routes have the same host and prefix.
    DuplicateRoute(RouteId),
    /// Two organisations have the same key.
    DuplicateKey(OrganisationId),
}

impl std::fmt::Display for GatewayConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            GatewayConfigError::InvalidServices(route) => {
                write!(f, "route {route} needs known services with a weight above 0")
            }
            GatewayConfigError::InvalidPrefix(route) => {
                write!(f, "the prefix of route {route} must begin and end with a slash")
            }
            GatewayConfigError::DuplicateRoute(route) => {
                write!(f, "route {route} has the host and prefix of another route")
            }
            GatewayConfigError::DuplicateKey(organisation) => {
                write!(f, "a key of organisation {organisation} belongs to another one too")
            }
        }
    }
}

impl std::error::Error for GatewayConfigError {}

/// Why a request has no route or no access to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AccessDenied {
    /// No route matches.
    NoRoute,
    /// The route needs a key and the request has none.
    NoKey,
    /// No organisation has this key.
    UnknownKey,
}

/// One version of the configuration with the indexes that requests need.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// Version.
    pub version: Version,
    /// Routes.
    pub routes: Vec<GatewayRoute>,
    /// Services by name.
    pub services: HashMap<ServiceId, GatewayService>,
    /// Organisations.
    pub organisations: Vec<GatewayOrganisation>,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// Routes by host and prefix.
    routes_by_host: HashMap<Box<str>, HashMap<Box<str>, RouteIndex>>,
    /// Organisations by key. Keys are random, so that a lookup's time tells nothing of others.
    keys: HashMap<Box<str>, OrganisationIndex>,
}

impl TryFrom<GatewayConfigParts> for GatewayConfig {
    type Error = GatewayConfigError;

    fn try_from(parts: GatewayConfigParts) -> Result<Self, GatewayConfigError> {
        let mut routes_by_host: HashMap<Box<str>, HashMap<Box<str>, RouteIndex>> = HashMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            let known = route.services.iter().all(|s| parts.services.contains_key(&s.service));
            if !known || route.services.iter().all(|s| s.weight == 0) {
                return Err(GatewayConfigError::InvalidServices(route.id.clone()));
            }
            if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
                return Err(GatewayConfigError::InvalidPrefix(route.id.clone()));
            }
            let host = routes_by_host.entry(route.host.clone()).or_default();
            if host.insert(route.path_prefix.clone(), index).is_some() {
                return Err(GatewayConfigError::DuplicateRoute(route.id.clone()));
            }
        }
        let mut keys = HashMap::new();
        let mut organisations = Vec::with_capacity(parts.organisations.len());
        for (organisation, own) in parts.organisations {
            let index = organisations.len();
            for key in own {
                if keys.insert(key, index).is_some_and(|other| other != index) {
                    return Err(GatewayConfigError::DuplicateKey(organisation.id));
                }
            }
            organisations.push(organisation);
        }
        Ok(GatewayConfig {
            version: parts.version,
            routes: parts.routes,
            services: parts.services,
            organisations,
            limits: parts.limits,
            routes_by_host,
            keys,
        })
    }
}

impl GatewayConfig {
    /// Finds the route of a host with the longest prefix of the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&GatewayRoute> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes_by_host = match self.routes_by_host.get(name) {
            Some(routes_by_host) => routes_by_host,
            None => self.routes_by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(index) = routes_by_host.get(&rest[..=slash]) {
                return self.routes.get(*index);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Decides for whom a request runs on a route; none on an open route.
    pub fn authorize(
        &self,
        route: &GatewayRoute,
        key: Option<&str>,
    ) -> Result<Option<&GatewayOrganisation>, AccessDenied> {
        if route.public || self.organisations.is_empty() {
            return Ok(None);
        }
        let key = key.ok_or(AccessDenied::NoKey)?;
        let index = self.keys.get(key).ok_or(AccessDenied::UnknownKey)?;
        Ok(self.organisations.get(*index))
    }
}
