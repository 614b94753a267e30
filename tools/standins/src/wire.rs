use std::net::SocketAddr;

use serde_json::{Value, json};

/// Header with the id of the backend server that a request is meant for.
pub const EXPECTED_INSTANCE_HEADER: &str = "expected-instance";
/// Header by which a backend server says that it has not run a request.
pub const NOT_RUN_HEADER: &str = "not-executed";
/// Path at which callers ask for addresses of VMs.
pub const RESOLVE_PATH: &str = "/-/resolve";
/// Path of the readiness check.
pub const READINESS_PATH: &str = "/-/ready";

/// Entry of a backend server in the store, with four slots and without its start time.
pub fn backend_entry(
    service: &str,
    address: SocketAddr,
    domain: &str,
    state: &str,
    sequence: u64,
) -> Value {
    json!({
        "service": service, "address": address, "zone": domain, "version": "v1", "slots": 4,
        "state": state, "cold_remaining_ms": 0, "sequence": sequence,
    })
}
