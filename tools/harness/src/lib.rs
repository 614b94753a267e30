//! Starts fleets of processes on loopback for the demo and the tests; not shipped.

mod caller;
mod fleet;
mod gateway;
mod net;
/// Lets a program start itself again for the parts of a fleet.
pub mod parts;
mod process;
mod programs;
mod sample;
mod seen;
mod shape;
mod verdict;

pub use caller::{Caller, Reply, http};
pub use fleet::{Fleet, TOKEN};
pub use gateway::{GATEWAY_HOST, GATEWAY_KEY, GatewayFleet, gateway_request, within};
pub use net::Net;
pub use process::Process;
pub use programs::Programs;
pub use sample::{KEY, OTHER_KEY, SPARE_KEY, sample_changes, sample_shape};
pub use shape::{BackendShape, Shape, VmShape};
pub use verdict::Verdict;
