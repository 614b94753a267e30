//! Homes of services and the choice of backend servers.

mod connections;
mod homes;
mod link;
mod member;
mod naive;
mod rank;

pub use connections::{ConnectionPool, connection_allowance};
pub use homes::Homes;
pub use link::{Direction, LinkBudget};
pub use naive::Naive;
pub use rank::{rank_arbiters, rank_homes, rank_regions};
