pub use std::time::Duration;

pub use crate::{
    BackendId, BackendSpec, DomainId, Incarnation, OrganisationId, Outcome, Place, Rate, Refusal,
    RefusalKind, RegionId, RouteId, ServiceId, Standing, Uptime, Version, VmId,
};
