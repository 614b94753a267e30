//! Stand-ins for the platform and for backend servers; not shipped.

mod acceptor;
/// Stand-in for a backend server, with gray failures that can be switched on and off.
pub mod backend;
/// Command line of the stand-ins.
pub mod command;
mod fault_switches;
/// Stand-in for a backend server that speaks the protocol of the gateway.
pub mod gateway_backend;
/// Stand-in for the store that gateways read and write.
pub mod gateway_store;
/// Rows of other writers in the table of backend servers.
pub mod odd_entries;
/// Stand-in for the platform: transactional table, object store and list of VMs.
pub mod platform;
/// Stand-in for a backend server that sends arbitrary bytes.
pub mod raw_backend;
mod response;
mod server;
/// Names and messages of the gateway's protocols, for tests.
pub mod wire;

pub use server::Server;
