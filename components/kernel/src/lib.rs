//! Shared types, decision traits and the plug-in registry.

mod backend;
mod balancer;
mod detector;
mod ids;
mod limiter;
mod platform;
mod queue;
mod refusal;
mod registry;

/// The types that nearly every crate of the workspace uses.
pub mod prelude;

pub use backend::{BackendLimits, BackendSpec, Place, Standing};
pub use balancer::{Balancer, Pick, PickRequest};
pub use detector::{
    AttemptId, AttemptOutcome, BackendEvent, Detector, DetectorAction, EjectReason, LoadHint,
};
pub use ids::{
    BackendId, DomainId, Incarnation, OrganisationId, RegionId, RouteId, ServiceId, Uptime,
    Version, VmId,
};
pub use limiter::{Admission, GrantId, Limiter, LimiterAction, LimiterMessage, Rate};
pub use platform::{
    ObjectStore, Platform, PlatformError, Row, RowVersion, TableStore, Transaction, VmEntry,
    VmList, VmState,
};
pub use queue::{Queue, QueueError, Ticket, TicketId};
pub use refusal::{Outcome, Refusal, RefusalKind};
pub use registry::{
    BalancerPlugin, DetectorPlugin, LimiterPlugin, PlatformContext, PlatformPlugin, QueuePlugin,
    RegistryError, ServiceContext, VmContext, build_balancer, build_detector, build_limiter,
    build_platform, build_queue,
};
