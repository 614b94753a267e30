use std::time::Duration;

/// Name of an organisation, unique in the fleet.
pub type OrganisationId = Box<str>;
/// Name of a service, unique in the fleet.
pub type ServiceId = Box<str>;
/// Name of a route, unique in the fleet.
pub type RouteId = Box<str>;
/// Name of a backend server, unique in its service.
pub type BackendId = Box<str>;
/// Name of a VM of the fleet; a replacement may reuse it.
pub type VmId = Box<str>;
/// Name of a failure domain.
pub type DomainId = Box<str>;
/// Name of a region.
pub type RegionId = Box<str>;
/// Random number of one process start, never reused. Zero is no incarnation.
pub type Incarnation = u64;
/// Version of the fleet configuration; it only grows.
pub type Version = u64;
/// Time since the start of this process.
pub type Uptime = Duration;
