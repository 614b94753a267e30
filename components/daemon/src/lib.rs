//! Starts every part of the daemon and stops it.

mod admin;
mod bus;
mod claims;
mod clock;
mod configuration;
mod explain;
mod flags;
mod fleet;
mod handler;
mod loops;
mod meters;
mod note;
mod observed;
mod operators;
mod random;
mod recent;
mod rights;
mod shared;
mod spill;
mod start;
mod trail;
mod view;

pub use start::{run, start};
