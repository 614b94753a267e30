//! Shared types, the traits of the decision components, and the plug-in registry.

mod backend;
mod balancer;
mod detector;
mod ids;
mod limiter;
mod platform;
mod queue;
mod refusal;
mod registry;

/// Types used by most crates of the workspace.
pub mod prelude;

pub use backend::{BackendLimits, BackendSpec, HealthStatus, Place};
pub use balancer::{Balancer, Pick, PickRequest};
pub use detector::{
    AttemptId, AttemptOutcome, BackendEvent, Detector, DetectorAction, EjectReason, LoadReport,
};
pub use ids::{
    BackendId, ConfigVersion, DomainId, Incarnation, OrganisationId, RegionId, RouteId, ServiceId,
    Uptime, VmId,
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
