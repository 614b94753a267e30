//! Fair and deadline-aware queue of one service.

mod fair;
mod naive;
mod organisation;
mod service_time;

pub use fair::FairQueue;
pub use naive::NaiveQueue;
pub use service_time::ServiceTime;
