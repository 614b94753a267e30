//! Tests of the fleet configuration.

mod apply;
mod common;
mod desired;
mod lookup;
mod memory;
mod oracle;
mod shared_map;
mod snapshot;
mod stateful;
mod store;
