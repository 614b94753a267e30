//! The subcommands, one module each, and the modules that they share.

pub mod apply;
pub mod explain;
pub mod key;
pub mod organisation;
pub mod route;
pub mod service;
mod session;
pub mod status;
mod table;
pub mod trace;
mod wait;

pub use session::{Session, UsageError};
