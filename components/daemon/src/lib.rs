//! Starts every part of the daemon and stops it.

mod admin;
mod clock;
mod configuration;
mod event_log;
mod explain;
mod flags;
mod fleet;
mod instrumented_platform;
mod key_claims;
mod messaging;
mod operators;
mod overflow;
mod peer_handler;
mod periodic;
mod random;
mod recent_deltas;
mod recent_requests;
mod request_metrics;
mod rights;
mod shared;
mod start;
mod view;

pub use start::{run, start};
