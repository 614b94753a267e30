//! Small fakes of backend servers and of a fleet in front of them, in virtual time.

mod backend;
mod fleet;
mod requests;
mod script;
mod seeds;
mod setup;

pub use backend::FakeBackend;
pub use fleet::Fleet;
pub use script::{Fault, Script};
pub use seeds::run_seeds;
pub use setup::{Kind, Report, Setup};
