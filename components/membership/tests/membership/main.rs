//! Tests of the failure detector in virtual time.

mod detection;
mod fleet;
mod stateful;
