//! Tests of the fleet configuration.

mod apply;
mod common;
mod desired;
mod memory;
mod oracle;
mod snapshot;
mod stateful;
mod store;
