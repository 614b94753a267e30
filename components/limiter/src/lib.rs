//! Token buckets for the rates of organisations, and grants of tokens between VMs.

mod bucket;
mod demand;
mod grant_pool;
mod naive;
mod organisation;
mod ranking;
mod shares;
mod sources;
mod timing;

pub use bucket::Bucket;
pub use grant_pool::{GrantPool, SettledGrant};
pub use naive::NaiveLimiter;
pub use ranking::Ranking;
pub use shares::SharesLimiter;
pub use timing::{GRANT_RESERVATION, GRANT_VALIDITY, RATE_UNITS};
