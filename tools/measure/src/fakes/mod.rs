//! Small fakes of backend servers and of a fleet in front of them, in virtual time.

mod backend;
mod fault_schedule;
mod fleet;
mod requests;
mod seeds;
mod setup;

pub use backend::FakeBackend;
pub use fault_schedule::{Fault, FaultSchedule};
pub use fleet::FakeFleet;
pub use seeds::run_seeds;
pub use setup::{FleetKind, Report, Setup};
