//! Randomized soak test: runs gateway processes under external faults, and checks the guarantees of
//! the gateway against what callers and backend servers observe.

mod connection;
mod faults;
mod limits;
mod proxy;
mod request;
mod response;
mod restores;
mod run;
mod traffic;

pub use proxy::{LinkMode, Proxy};
pub use run::{Report, SoakOptions, run};
