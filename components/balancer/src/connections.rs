use std::collections::BTreeMap;

use kernel::BackendLimits;
use kernel::prelude::*;

/// Margin for VMs that are not yet known, as a fraction of the known VMs: a replacement VM overlaps
/// with the VM that it replaces, and the list of VMs is eventually consistent.
const VM_COUNT_MARGIN: f64 = 0.25;
/// Maximum number of homes that use a backend server at the same time while VMs disagree about the
/// home: the current home, its predecessor and its successor.
const CONCURRENT_HOMES: u32 = 3;

/// Returns how many connections one VM may hold to a backend server without the fleet exceeding
/// the backend server's limit.
///
/// `vms` is the estimated number of VMs in the fleet. `rank` is the position of this VM in the
/// ranking of homes of the service; 0 is the home. Connections are divided evenly if each VM then
/// gets at least one connection per slot. In larger fleets only the first VMs of the ranking get
/// connections.
pub fn connection_limit(limits: BackendLimits, vms: usize, rank: usize) -> u32 {
    let max_vms = (vms.max(1) as f64 * (1.0 + VM_COUNT_MARGIN)).ceil() as u32;
    let even_share = limits.connections / max_vms;
    if even_share >= limits.slots {
        even_share
    } else if rank < CONCURRENT_HOMES as usize {
        limits.connections / CONCURRENT_HOMES
    } else {
        0
    }
}

/// Counts the open connections of one VM to the backend servers of a service.
#[derive(Debug, Default)]
pub struct ConnectionCounter {
    /// Open connections by backend server. A connection is only added below the limit, which may
    /// be lowered later.
    open: BTreeMap<BackendId, u32>,
}

impl ConnectionCounter {
    /// Adds a connection. Returns false, without adding it, if the limit is reached.
    pub fn try_add(&mut self, backend: &str, limit: u32) -> bool {
        let open = self.open.entry(backend.into()).or_default();
        let free = *open < limit;
        *open += u32::from(free);
        free
    }

    /// Removes a connection.
    pub fn remove(&mut self, backend: &str) {
        if let Some(open) = self.open.get_mut(backend) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.open.remove(backend);
            }
        }
    }

    /// Returns the number of connections in excess of the limit, after it was lowered. The caller
    /// closes idle ones.
    pub fn excess(&self, backend: &str, limit: u32) -> u32 {
        self.open.get(backend).map_or(0, |open| open.saturating_sub(limit))
    }
}
