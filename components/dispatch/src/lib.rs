//! Decisions of a gateway under load, without input, output or clock of their own.
//!
//! Each module names the load pattern that it answers.

mod backends;
mod budget;
mod catalogue;
mod change_log;
mod crashes;
mod duty;
mod election;
mod health;
mod outage;
mod outcomes;
mod placement;
mod quota;
mod shed_rate;
mod short_hash;
mod split;
mod stopping;
mod waiting;

pub use backends::{BackendEntry, BackendKey, BackendState, Backends, Identity, Reach};
pub use budget::RetryAllowance;
pub use catalogue::{
    CallerLimits, Catalogue, CatalogueFault, CatalogueParts, Denied, GatewayOrganisation,
    GatewayRoute, GatewayService, OrganisationIndex, RouteIndex, ServiceWeight,
};
pub use change_log::ChangeLog;
pub use crashes::{CrashSuspects, MAX_DEATHS};
pub use duty::Watcher;
pub use election::{Claim, Election, PeerBeat, Role};
pub use health::{Evidence, Health, SpellLength};
pub use outage::Outage;
pub use outcomes::Outcomes;
pub use placement::{Choice, Coverage, Distance, PlacementOptions, Request, place};
pub use quota::{Quota, QuotaVerdict};
pub use shed_rate::ShedRate;
pub use short_hash::short_hash;
pub use split::Split;
pub use stopping::may_start;
pub use waiting::{Rejected, Waiter, WaiterId, WaitingRoom};
