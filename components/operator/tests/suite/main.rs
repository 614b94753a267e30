//! Tests of the operators interface over loopback.

mod fleet;
mod rpc;
mod tokens;
