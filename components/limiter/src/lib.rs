//! Token buckets and grants over all VMs.

mod account;
mod bucket;
mod demand;
mod naive;
mod purse;
mod ranking;
mod shares;
mod sources;
mod timing;

pub use bucket::Bucket;
pub use naive::Naive;
pub use purse::{Purse, Settled};
pub use ranking::Ranking;
pub use shares::Shares;
pub use timing::{GRANT_HELD, GRANT_VALID, RATE_UNITS};
