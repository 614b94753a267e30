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

/// Capacity of one backend server, over the whole fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BackendLimits {
    /// Requests that it runs at once. At least 1.
    pub slots: u32,
    /// Connections that it accepts. At least `slots`.
    pub connections: u32,
}

/// One backend server as the configuration describes it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BackendSpec {
    /// Unique in its service.
    pub id: BackendId,
    /// Address that it accepts HTTP/1.1 on.
    pub address: SocketAddr,
    /// Where it runs.
    pub place: Place,
    /// Its capacity.
    pub limits: BackendLimits,
    /// True once an operator has asked that it gets no new work.
    pub draining: bool,
}

/// What the detector thinks of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// Takes work.
    Healthy,
    /// Takes a share of its slots: slow start after a cold start or an ejection. In (0, 1].
    Ramping(f64),
    /// Takes work only when no better backend server has a free slot.
    Suspect,
    /// This VM cannot reach it; others may. Takes no work from this VM.
    Unreachable,
    /// Half-open: takes one idempotent trial at a time.
    HalfOpen,
    /// Takes no work.
    Ejected,
    /// Is leaving. Takes no new work.
    Draining,
}
