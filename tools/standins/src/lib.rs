//! Stand-ins for the platform and for backend servers; not shipped.

/// Stand-in for a backend server with switchable gray failures.
pub mod backend;
/// Command line of the stand-ins.
pub mod command;
mod door;
/// Stand-in for a backend server as the gateway meets it.
pub mod gateway_backend;
/// Stand-in for the platform's store as the gateway meets it.
pub mod gateway_store;
/// Stand-in for the platform's table, object store and list of VMs.
pub mod platform;
mod reply;
mod server;
mod switch;
/// Names and shapes of the platform's wire, for tests.
pub mod wire;

pub use server::Server;
