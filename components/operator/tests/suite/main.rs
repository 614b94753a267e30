//! Tests of the operators interface over loopback.

mod fleet;
mod rollout;
mod rpc;
mod tokens;
