//! Randomized soak: real gateways, faults from outside, promises checked from what callers and
//! backend servers see.

mod faults;
mod proxy;
mod run;
mod traffic;

pub use run::{Report, SoakOptions, run};
