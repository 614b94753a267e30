pub use std::time::Duration;

pub use crate::{
    BackendId, BackendSpec, ConfigVersion, DomainId, HealthStatus, Incarnation, OrganisationId,
    Outcome, Place, Rate, Refusal, RefusalKind, RegionId, RouteId, ServiceId, Uptime, VmId,
};
