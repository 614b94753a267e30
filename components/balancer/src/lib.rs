//! Load balancing over backend servers, and the ranking of VMs as homes of services.
//!
//! The home of a service in a region is the VM that schedules the requests of the service there.

mod connections;
mod home_balancer;
mod link_budget;
mod naive_balancer;
mod rank;
mod tracked_backend;

pub use connections::{ConnectionCounter, connection_limit};
pub use home_balancer::HomeBalancer;
pub use link_budget::{Direction, LinkBudget};
pub use naive_balancer::NaiveBalancer;
pub use rank::{rank_arbiters, rank_homes, rank_regions};
