//! Tests of the operators interface over loopback.

mod fleet;
mod progress;
mod rpc;
mod tokens;
