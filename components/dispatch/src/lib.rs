//! Decisions of a gateway under load, as pure state machines: the caller passes in the time and
//! performs all input and output.
//!
//! The documentation of each main type names the load pattern that the type handles. A backend
//! server is gray while it fails most of its requests and still passes its health checks; such a
//! time is one gray period.

mod backends;
mod byte_budget;
mod change_log;
mod compression;
mod config_history;
mod crash_suspects;
mod domain_share;
mod election;
mod gateway_config;
mod health;
mod limit_table;
mod notice;
mod outage;
mod outcome_window;
mod pace;
mod permit_requests;
mod placement;
mod pull_sources;
mod queue_capacity;
mod quota;
mod request_limit;
mod retry_budget;
mod shed_rate;
mod short_hash;
mod shutdown;
mod store_watch;
mod traffic_split;
mod wait_queue;

pub use backends::{BackendEntry, BackendKey, BackendStart, BackendState, Backends, Reachability};
pub use byte_budget::ByteBudget;
pub use change_log::ChangeLog;
pub use compression::{compress, decompress};
pub use config_history::{ConfigHistory, ConfigPatch, ConfigUpdate, ConfigUpdateError};
pub use crash_suspects::{Crash, CrashSuspects, MAX_CRASHES};
pub use domain_share::{DomainShare, SpendingRight};
pub use election::{Election, LeaderClaim, PeerHeartbeat, Role};
pub use gateway_config::{
    AccessDenied, CallerLimits, GatewayConfig, GatewayConfigError, GatewayConfigParts,
    GatewayOrganisation, GatewayRoute, GatewayService, OrganisationIndex, RouteIndex, RouteKind,
    ServiceWeight,
};
pub use health::{Evidence, GrayDuration, Health};
pub use limit_table::{LimitChange, LimitReport, LimitTable};
pub use notice::{Availability, MAX_PAUSE, Notice, Notices, StartKey};
pub use outage::Outage;
pub use outcome_window::OutcomeWindow;
pub use pace::{DomainView, Pace, PaceRight};
pub use permit_requests::{MAX_REMOTE_WAITERS, PermitAddress, PermitRequests, RemoteWaiter};
pub use placement::{Coverage, Distance, Placement, PlacementRequest, PlacementWeights, place};
pub use pull_sources::{
    Announcement, DataVersions, PullDecision, PullFailure, PullSource, PullSources,
};
pub use queue_capacity::{CapacityInput, QueueCapacity};
pub use quota::{Quota, QuotaDecision};
pub use request_limit::{InvalidLimit, RequestLimit, StatedLimit};
pub use retry_budget::WindowedRetryBudget;
pub use shed_rate::ShedRate;
pub use short_hash::short_hash;
pub use shutdown::StopSchedule;
pub use store_watch::{WatchConditions, WatchReason, may_start_serving};
pub use traffic_split::TrafficSplit;
pub use wait_queue::{NextWaiter, NotQueued, WaitQueue, Waiter, WaiterId};
