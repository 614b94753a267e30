use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use balancer::{rank_homes, rank_regions};
use kernel::VmEntry;
use kernel::prelude::*;

/// The VMs that this VM takes for live, with rankings that are computed once.
#[derive(Debug, Default)]
pub struct View {
    /// Live VMs; this VM is one of them unless it is leaving.
    pub vms: Vec<VmEntry>,
    /// Rankings by service and region.
    ranked: Mutex<HashMap<(ServiceId, RegionId), Vec<VmEntry>>>,
}

impl View {
    /// A view of these VMs.
    pub fn new(vms: Vec<VmEntry>) -> Self {
        View { vms, ranked: Mutex::default() }
    }

    /// VMs that may be home of the service in a region, best first.
    pub fn homes(&self, service: &str, region: &str) -> Vec<VmEntry> {
        let mut ranked = self.ranked.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (service.into(), region.into());
        let rank = || {
            let order = rank_homes(service, region, &self.vms);
            order.into_iter().filter_map(|i| self.vm(i)).cloned().collect()
        };
        ranked.entry(key).or_insert_with(rank).clone()
    }

    /// The VM with this incarnation.
    pub fn vm(&self, incarnation: Incarnation) -> Option<&VmEntry> {
        self.vms.iter().find(|vm| vm.incarnation == incarnation)
    }

    /// Regions other than the own one, in the order in which the service spills over to them.
    pub fn other_regions(&self, service: &str, own: &str) -> Vec<RegionId> {
        let mut regions = rank_regions(service, own, &self.vms);
        regions.retain(|r| &**r != own);
        regions
    }
}
