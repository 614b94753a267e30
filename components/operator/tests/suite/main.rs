//! Tests of the operators interface, with client and server connected over loopback.

mod fleet;
mod rollout;
mod rpc;
mod tokens;
