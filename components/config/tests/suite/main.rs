//! Tests of the fleet configuration.

mod apply;
mod common;
mod memory;
mod store;
