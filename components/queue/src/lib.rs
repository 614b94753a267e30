//! Queues for the requests of one service: a fair, deadline-aware one and a plain FIFO one.

mod fair;
mod naive;
mod organisation;
mod service_time;

pub use fair::FairQueue;
pub use naive::NaiveQueue;
pub use service_time::ServiceTimeEstimate;
