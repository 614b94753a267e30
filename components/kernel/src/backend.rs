use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BackendId, DomainId, RegionId};

/// Region and failure domain of a VM or a backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// Region.
    pub region: RegionId,
    /// Failure domain inside the region.
    pub domain: DomainId,
}

/// Capacity of one backend server, shared by all VMs of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BackendLimits {
    /// Maximum number of requests that it runs concurrently. At least 1.
    pub slots: u32,
    /// Maximum number of open connections. At least `slots`.
    pub connections: u32,
}

/// A backend server as described by the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BackendSpec {
    /// Unique in its service.
    pub id: BackendId,
    /// Address on which it serves HTTP/1.1.
    pub address: SocketAddr,
    /// Region and failure domain in which it runs.
    pub place: Place,
    /// Capacity of the backend server.
    pub limits: BackendLimits,
    /// True once an operator has requested draining: it receives no new requests.
    pub draining: bool,
}

/// Health of a backend server as judged by the detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthStatus {
    /// Receives requests.
    Healthy,
    /// Slow start after a cold start or an ejection: only this fraction of its slots, in (0, 1],
    /// may be used.
    Ramping(f64),
    /// Receives requests only when no backend server in a better state has a free slot.
    Suspect,
    /// This VM cannot reach it, although other VMs may. Receives no requests from this VM.
    Unreachable,
    /// Half-open: receives one idempotent trial request at a time.
    HalfOpen,
    /// Receives no requests.
    Ejected,
    /// Shutting down or being removed. Receives no new requests.
    Draining,
}
