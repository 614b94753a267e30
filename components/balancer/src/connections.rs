use std::collections::BTreeMap;

use kernel::BackendLimits;
use kernel::prelude::*;

/// Part of the VM count that is kept for VMs not seen yet: a replacement overlaps with the VM
/// that it replaces, and the list of VMs lags.
const REPLACEMENT_PART: f64 = 0.25;
/// Homes that may use one backend server at once while views differ: the home, its predecessor
/// and its successor.
const RIVAL_HOMES: u32 = 3;

/// Connections that one VM may hold to a backend server so that the fleet stays under its limit.
///
/// `vms` counts the VMs of the fleet as this VM believes, `rank` is the place of this VM among
/// the homes of the service (0 is the home). An even split is used where it covers the slots; a
/// fleet with more VMs than that gives connections to the first of the ranking only.
pub fn connection_allowance(limits: BackendLimits, vms: usize, rank: usize) -> u32 {
    let sharers = (vms.max(1) as f64 * (1.0 + REPLACEMENT_PART)).ceil() as u32;
    let even = limits.connections / sharers;
    if even >= limits.slots {
        even
    } else if rank < RIVAL_HOMES as usize {
        limits.connections / RIVAL_HOMES
    } else {
        0
    }
}

/// Counts the connections of one VM to the backend servers of a service.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Open connections by backend server; never above its allowance when one is opened.
    open: BTreeMap<BackendId, u32>,
}

impl ConnectionPool {
    /// Counts one more connection; false if the allowance is used up.
    pub fn try_open(&mut self, backend: &str, allowance: u32) -> bool {
        let open = self.open.entry(backend.into()).or_default();
        let free = *open < allowance;
        *open += u32::from(free);
        free
    }

    /// Counts one connection less.
    pub fn close(&mut self, backend: &str) {
        if let Some(open) = self.open.get_mut(backend) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.open.remove(backend);
            }
        }
    }

    /// Connections that are above the allowance, after it shrank. The caller closes idle ones.
    pub fn surplus(&self, backend: &str, allowance: u32) -> u32 {
        self.open.get(backend).map_or(0, |open| open.saturating_sub(allowance))
    }
}
