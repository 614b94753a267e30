//! Clients of the platform's table, object store and list of VMs: over HTTP and in memory.

mod http_platform;
mod memory;

pub use http_platform::HttpPlatform;
pub use memory::{InjectedFaults, MemoryPlatform, OperationCounts};
