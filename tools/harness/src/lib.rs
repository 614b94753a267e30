//! Starts fleets of processes on loopback for the demo and the tests; not shipped.

mod caller;
mod fleet;
mod net;
mod process;
mod shape;

pub use caller::{Caller, Reply, http};
pub use fleet::{Fleet, Programs, TOKEN};
pub use net::Net;
pub use process::Process;
pub use shape::{BackendShape, Shape, VmShape};
