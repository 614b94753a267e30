use std::time::Duration;

/// Name of an organisation, unique in the fleet.
pub type OrganisationId = Box<str>;
/// Name of a service, unique in the fleet.
pub type ServiceId = Box<str>;
/// Name of a route, unique in the fleet.
pub type RouteId = Box<str>;
/// Name of a backend server, unique in its service.
pub type BackendId = Box<str>;
/// Name of a VM of the fleet. A replacement VM may reuse it.
pub type VmId = Box<str>;
/// Name of a failure domain.
pub type DomainId = Box<str>;
/// Name of a region.
pub type RegionId = Box<str>;
/// Random id of one process start, never reused. Zero means none.
pub type Incarnation = u64;
/// Version of the fleet configuration. Increases monotonically.
pub type ConfigVersion = u64;
/// Time since the start of this process.
pub type Uptime = Duration;
