use std::net::SocketAddr;

use serde_json::{Value, json};

/// Header that names the backend server that may run a request.
pub const EXPECTED_INSTANCE_HEADER: &str = "expected-instance";
/// Path of entry answers.
pub const RESOLVE_PATH: &str = "/-/resolve";
/// Path of readiness.
pub const READINESS_PATH: &str = "/-/ready";

/// Entry of a backend server in the store, with four slots and no time of its start.
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
