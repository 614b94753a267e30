use std::collections::HashMap;

use kernel::prelude::*;

/// Index of a route in its configuration.
pub type RouteIndex = usize;
/// Index of an organisation in its configuration.
pub type OrganisationIndex = usize;

/// A service and its weight in a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceWeight {
    /// Id of the service.
    pub service: ServiceId,
    /// Share of the requests, relative to the sum of the weights of the route.
    pub weight: u32,
}

/// What may be done with a request that may already have run, and how large it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// May run once at most, and has a body that weighs more than its service time does: where it
    /// goes depends on its size.
    Upload,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Idempotent
    }
}

/// A route from a host and path prefix to one or more services.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayRoute {
    /// Id of the route.
    pub id: RouteId,
    /// Host of the request, in lower case and without a port.
    pub host: Box<str>,
    /// Path prefix. Begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// Services that run the requests. Never empty, and the sum of the weights is above 0.
    pub services: Vec<ServiceWeight>,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Time after which the caller gets an error instead of a response.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub latency_objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Upper bound of the backend servers that one request may be sent to. At least 1.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// An organisation, whose keys authorize requests.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayOrganisation {
    /// Id of the organisation.
    pub id: OrganisationId,
    /// Priority that replaces that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Rate limit over all VMs; none is unlimited.
    pub rate: Option<Rate>,
}

/// Settings of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayService {
    /// Path for health checks.
    pub health_path: Box<str>,
    /// Connections that one backend server accepts from all VMs together.
    pub max_connections: u32,
}

/// Size and time limits for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Upper bound of a request's head.
    pub max_head_bytes: usize,
    /// Upper bound of a request's body.
    pub max_body_bytes: usize,
    /// Time within which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Common limits of HTTP servers, in force until the first configuration.
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Content of a configuration that has not been validated.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfigParts {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<GatewayRoute>,
    /// Services by id.
    pub services: HashMap<ServiceId, GatewayService>,
    /// Organisations with their keys.
    pub organisations: Vec<(GatewayOrganisation, Vec<Box<str>>)>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// Reason why a configuration is rejected as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GatewayConfigError {
    /// A route has no service, an unknown service or only weights of 0.
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
                write!(f, "route {route} needs known services and at least one weight above 0")
            }
            GatewayConfigError::InvalidPrefix(route) => {
                write!(f, "the path prefix of route {route} must begin and end with a slash")
            }
            GatewayConfigError::DuplicateRoute(route) => {
                write!(f, "route {route} has the same host and path prefix as another; change one")
            }
            GatewayConfigError::DuplicateKey(organisation) => {
                write!(
                    f,
                    "organisation {organisation} shares a key with another; remove it from one"
                )
            }
        }
    }
}

impl std::error::Error for GatewayConfigError {}

/// Reason why a request is denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AccessDenied {
    /// No route matches.
    NoRoute,
    /// The route needs a key, and the request has none.
    NoKey,
    /// The key belongs to no organisation.
    UnknownKey,
}

/// One version of the configuration, with indexes for the lookups of a request.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<GatewayRoute>,
    /// Services by id.
    pub services: HashMap<ServiceId, GatewayService>,
    /// All organisations.
    pub organisations: Vec<GatewayOrganisation>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Routes by host and path prefix.
    host_routes: HashMap<Box<str>, HashMap<Box<str>, RouteIndex>>,
    /// Organisations by key. Keys are random, so that the time of a lookup reveals nothing about
    /// other keys.
    keys: HashMap<Box<str>, OrganisationIndex>,
}

impl TryFrom<GatewayConfigParts> for GatewayConfig {
    type Error = GatewayConfigError;

    fn try_from(parts: GatewayConfigParts) -> Result<Self, GatewayConfigError> {
        let mut host_routes: HashMap<Box<str>, HashMap<Box<str>, RouteIndex>> = HashMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            let known = route.services.iter().all(|s| parts.services.contains_key(&s.service));
            if !known || route.services.iter().all(|s| s.weight == 0) {
                return Err(GatewayConfigError::InvalidServices(route.id.clone()));
            }
            if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
                return Err(GatewayConfigError::InvalidPrefix(route.id.clone()));
            }
            let host = host_routes.entry(route.host.clone()).or_default();
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
            host_routes,
            keys,
        })
    }
}

impl GatewayConfig {
    /// Finds the route of a host with the longest matching path prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&GatewayRoute> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.host_routes.get(name) {
            Some(prefixes) => prefixes,
            None => self.host_routes.get(name.to_ascii_lowercase().as_str())?,
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

    /// Authorizes a request on a route and returns its organisation. None is returned on a public
    /// route, and on any route while the configuration has no organisations.
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
